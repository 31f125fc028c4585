//! A connection between two processes of the fleet: a sequence of frames, each authenticated by a keyed hash.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use gradepaddle_book::frame::{ClusterKeys, FrameError, MAX_FRAME_BYTES, Session};
use gradepaddle_book::{Hello, Message, Outcome, Write};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// The timeout for the other side's greeting.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// The other side sends something at least every [`HEARTBEAT_INTERVAL`]; after a silence this long the connection is closed.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// The interval at which each side sends a packet, even if there is nothing to tell.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

/// A message between two processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Packet {
    /// A keeper's description of itself.
    Hello(Hello),
    /// A Raft message.
    Consensus(Box<Message>),
    /// Submits a write.
    Write(Write),
    /// A write is decided.
    Done {
        /// The number of the write.
        number: u64,
        /// Its outcome.
        outcome: Outcome,
    },
    /// A write was rejected.
    Turned {
        /// The number of the write.
        number: u64,
        /// The reason, as a text for the operator.
        why: String,
    },
    /// A reader asks to follow the keeper.
    Follow,
    /// The whole ledger.
    Whole(Vec<u8>),
    /// A write was applied.
    Applied {
        /// Its index in the log.
        index: u64,
        /// The write.
        write: Write,
    },
    /// A heartbeat.
    Pulse {
        /// The sender leads or is in contact with a leader, so its content is up to date.
        fresh: bool,
    },
}

/// Why a connection ended.
#[derive(Debug, Error)]
pub enum LineError {
    /// It failed.
    #[error("it broke ({0}); it is dialled anew")]
    Broken(#[from] io::Error),
    /// The other side closed it.
    #[error("the other side ended it; it is dialled anew")]
    Ended,
    /// Nothing was received in time.
    #[error("it fell silent; it is dialled anew")]
    Silent,
    /// An invalid frame was received.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Another process answers at the address.
    #[error("{0:?} answers where {1:?} was dialled; see the addresses in the fleet file")]
    Another(String, String),
}

/// One end of a connection.
pub struct PeerConnection {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    session: Session,
    /// When the last frame was received.
    last_received: Instant,
    /// The name of the process at the other end.
    pub name: String,
}

impl PeerConnection {
    /// Exchanges greetings: each side sends its name and its random number for this connection.
    ///
    /// # Errors
    ///
    /// [`LineError`] if the connection fails, the other side is silent, or it uses another cluster name or key.
    pub async fn handshake(
        stream: TcpStream,
        seal: ClusterKeys,
        own_name: &str,
        nonce: u64,
    ) -> Result<PeerConnection, LineError> {
        stream.set_nodelay(true)?;
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        let mut framed = Framed::new(stream, codec);
        let mut session = Session::new(seal, own_name, nonce);
        framed.send(Bytes::from(session.handshake()?)).await?;
        let first = timeout(HANDSHAKE_TIMEOUT, framed.next()).await.map_err(|_| LineError::Silent)?;
        let first = first.ok_or(LineError::Ended)??;
        let name = session.accept_handshake(&first)?;
        Ok(PeerConnection { framed, session, last_received: Instant::now(), name })
    }

    /// Sends a packet. If the other side does not read it within [`RECEIVE_TIMEOUT`], the connection is to be closed.
    ///
    /// # Errors
    ///
    /// [`LineError`] if the connection fails or the other side does not read for too long.
    pub async fn send(&mut self, packet: &Packet) -> Result<(), LineError> {
        let bytes = self.session.encode(packet)?;
        Ok(timeout(RECEIVE_TIMEOUT, self.framed.send(Bytes::from(bytes)))
            .await
            .map_err(|_| LineError::Silent)??)
    }

    /// Receives the next packet. Cancellation safe.
    ///
    /// # Errors
    ///
    /// [`LineError`] if the connection fails, or what is received is not a valid packet of this cluster.
    pub async fn receive(&mut self) -> Result<Packet, LineError> {
        // The timeout counts from the last frame, not from this call: a caller that selects over several events calls again
        // and again.
        let next = timeout_at(self.last_received + RECEIVE_TIMEOUT, self.framed.next());
        let bytes = next.await.map_err(|_| LineError::Silent)?.ok_or(LineError::Ended)??;
        self.last_received = Instant::now();
        Ok(self.session.decode(&bytes)?)
    }
}
