//! A TCP relay between two processes that can stall or delay bytes in each direction, reset connections, and be restored.
//! Runs in user space only.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// The condition of one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Bytes pass after this delay.
    Open {
        /// Added to the time that the bytes take anyway.
        delay: Duration,
    },
    /// Bytes are held until the direction is open again. Neither side is notified, as when a machine is unreachable.
    Silent,
}

/// A direction without faults.
pub const CLEAR: Way = Way::Open { delay: Duration::ZERO };

/// The state of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    there: Way,
    back: Way,
    /// The address that connections are relayed to, once it is set.
    target: Option<SocketAddr>,
    /// Number of resets so far. Connections that were accepted before the latest reset are closed.
    resets: u32,
}

/// A relay that listens at an address of its own and connects to a target.
pub struct Link {
    /// The address to connect to.
    pub address: SocketAddr,
    state: watch::Sender<State>,
    accepts: JoinHandle<()>,
}

impl Link {
    /// Starts a link to this target, without faults.
    ///
    /// # Errors
    ///
    /// No port of the loopback interface can be bound.
    pub async fn to(target: SocketAddr) -> io::Result<Link> {
        let link = Self::unaimed().await?;
        link.aim(target);
        Ok(link)
    }

    /// Starts a link without a target, which resets all connections until [`Link::aim`] is called.
    ///
    /// # Errors
    ///
    /// No port of the loopback interface can be bound.
    pub async fn unaimed() -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (state, states) = watch::channel(State { there: CLEAR, back: CLEAR, target: None, resets: 0 });
        let accepts = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(relay(stream, states.clone()));
            }
        });
        Ok(Link { address, state, accepts })
    }

    /// Relays new connections to this target. Open connections are kept.
    pub fn aim(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = Some(target));
    }

    /// Sets the condition of each direction, to the target and back. Open connections are affected too.
    pub fn set(&self, there: Way, back: Way) {
        self.state.send_modify(|state| (state.there, state.back) = (there, back));
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.accepts.abort();
        self.reset();
    }
}

async fn relay(client: TcpStream, mut states: watch::Receiver<State>) {
    let State { resets: since, target, .. } = *states.borrow();
    let Some(target) = target else { return reset_connection(&client) };
    // The target refuses the connection. The link has already accepted it, so it resets it.
    let Ok(server) = TcpStream::connect(target).await else { return reset_connection(&client) };
    if client.set_nodelay(true).and(server.set_nodelay(true)).is_err() {
        return;
    }
    let ends =
        [client, server].map(|stream| socket2::SockRef::from(&stream).try_clone().map(|s| (s, stream)));
    let [Ok((client_end, client)), Ok((server_end, server))] = ends else { return };
    let ((client_reads, client_writes), (server_reads, server_writes)) =
        (tokio::io::split(client), tokio::io::split(server));
    let there = copy_direction(client_reads, server_writes, states.clone(), |state| state.there);
    let back = copy_direction(server_reads, client_writes, states.clone(), |state| state.back);
    let reset = async {
        // Fails if the link was dropped, which resets its connections too.
        let _ = states.wait_for(|state| state.resets != since).await;
        // Set before the sockets are dropped; otherwise the connections would be closed gracefully. Fails if a connection
        // has ended by itself.
        let _ = client_end.set_linger(Some(Duration::ZERO));
        let _ = server_end.set_linger(Some(Duration::ZERO));
    };
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        () = reset => {}
    }
}

/// Makes a connection end with a reset when it is dropped.
fn reset_connection(stream: &TcpStream) {
    // Fails if the connection has ended by itself.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// The number of chunks that are queued in each direction before the link stops reading.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Copies bytes in one direction, in order, until one side closes.
async fn copy_direction(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut states: watch::Receiver<State>,
    way: impl Fn(&State) -> Way,
) {
    let (chunks, mut queued) = mpsc::channel::<(Instant, Vec<u8>)>(MAX_QUEUED_CHUNKS);
    let reads = async move {
        let mut buffer = vec![0; 16 * 1024];
        while let Ok(count @ 1..) = from.read(&mut buffer).await {
            if chunks.send((Instant::now(), buffer[..count].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let writes = async move {
        while let Some((received_at, chunk)) = queued.recv().await {
            let open = states.wait_for(|state| way(state) != Way::Silent).await.map(|state| way(&state));
            let Ok(Way::Open { delay }) = open else { return };
            tokio::time::sleep_until(received_at + delay).await;
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        // The end of the stream is held back like bytes while the direction is silent.
        if states.wait_for(|state| way(state) != Way::Silent).await.is_ok() {
            let _ = to.shutdown().await;
        }
    };
    tokio::join!(reads, writes);
}

#[cfg(test)]
mod tests;
