//! A connection between two processes of the fleet: frames one after the other, each under its keyed hash.

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

/// The other side has this long to say who it is.
const MEET: Duration = Duration::from_secs(1);
/// It says something at least each [`PULSE`]; silent for this long it is gone.
pub const SILENT: Duration = Duration::from_secs(2);
/// Between two words of a side that has nothing to say.
pub const PULSE: Duration = Duration::from_millis(400);

/// What processes say to each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Packet {
    /// A keeper tells of itself.
    Hello(Hello),
    /// A word of the consensus.
    Consensus(Box<Message>),
    /// A write is handed in.
    Write(Write),
    /// What came of it.
    Done {
        /// Which.
        number: u64,
        /// What.
        outcome: Outcome,
    },
    /// It was not taken in, for this reason.
    Turned {
        /// Which.
        number: u64,
        /// Why.
        why: String,
    },
    /// A reader wants to follow.
    Follow,
    /// The whole ledger.
    Whole(Vec<u8>),
    /// A write took effect.
    Applied {
        /// Where.
        index: u64,
        /// What.
        write: Write,
    },
    /// Still there.
    Pulse {
        /// The sender hears from a leader, or leads: what it tells is new.
        fresh: bool,
    },
}

/// Why a connection ended.
#[derive(Debug, Error)]
pub enum LineError {
    /// It broke.
    #[error("it broke ({0}); it is dialled anew")]
    Broken(#[from] io::Error),
    /// It was ended.
    #[error("the other side ended it; it is dialled anew")]
    Ended,
    /// Nothing came.
    #[error("it fell silent; it is dialled anew")]
    Silent,
    /// What came is not taken.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Another process answers at the address.
    #[error("{0:?} answers where {1:?} was dialled; see the addresses in the fleet file")]
    Another(String, String),
}

/// One side of it.
pub struct Line {
    framed: Framed<TcpStream, LengthDelimitedCodec>,
    session: Session,
    /// When the other side last said something.
    heard: Instant,
    /// Who is at the other side.
    pub name: String,
}

impl Line {
    /// Meets the other side: each says who it is and what it has drawn for this connection.
    ///
    /// # Errors
    ///
    /// [`LineError`] if the connection fails, the other side is silent, or its seal is another one.
    pub async fn meet(
        stream: TcpStream,
        seal: ClusterKeys,
        own: &str,
        drawn: u64,
    ) -> Result<Line, LineError> {
        stream.set_nodelay(true)?;
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        let mut framed = Framed::new(stream, codec);
        let mut session = Session::new(seal, own, drawn);
        framed.send(Bytes::from(session.handshake()?)).await?;
        let first = timeout(MEET, framed.next()).await.map_err(|_| LineError::Silent)?;
        let first = first.ok_or(LineError::Ended)??;
        let name = session.accept_handshake(&first)?;
        Ok(Line { framed, session, heard: Instant::now(), name })
    }

    /// Says something. What the other side does not take for too long ends the connection.
    ///
    /// # Errors
    ///
    /// [`LineError`] if the connection fails or takes nothing for too long.
    pub async fn say(&mut self, packet: &Packet) -> Result<(), LineError> {
        let bytes = self.session.encode(packet)?;
        Ok(timeout(SILENT, self.framed.send(Bytes::from(bytes))).await.map_err(|_| LineError::Silent)??)
    }

    /// What the other side says next. Safe to drop midway.
    ///
    /// # Errors
    ///
    /// [`LineError`] if the connection fails, or what comes is no packet under this seal.
    pub async fn hear(&mut self) -> Result<Packet, LineError> {
        // Counted over all calls: whoever waits for other things beside this one calls again and again.
        let next = timeout_at(self.heard + SILENT, self.framed.next());
        let bytes = next.await.map_err(|_| LineError::Silent)?.ok_or(LineError::Ended)??;
        self.heard = Instant::now();
        Ok(self.session.decode(&bytes)?)
    }
}
