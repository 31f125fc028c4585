//! A link between two processes that can be cut, delayed, made one-way or reset, and healed. User space only.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// What happens to bytes of one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// They pass, so much later.
    Open {
        /// On top of what the way takes anyhow.
        delay: Duration,
    },
    /// They are held until it is open again: as when a machine can not be reached, nothing is said.
    Silent,
}

/// A way as it is without any fault.
pub const CLEAR: Way = Way::Open { delay: Duration::ZERO };

/// The state of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct State {
    there: Way,
    back: Way,
    /// Where it leads, if anywhere yet.
    target: Option<SocketAddr>,
    /// Counts resets: connections from before the last one end.
    resets: u32,
}

/// A link with an address of its own, before an address that it leads to.
pub struct Link {
    /// What is to be dialled.
    pub address: SocketAddr,
    state: watch::Sender<State>,
    accepts: JoinHandle<()>,
}

impl Link {
    /// One that leads there, with no fault yet.
    ///
    /// # Errors
    ///
    /// No port of the loopback interface can be bound.
    pub async fn to(target: SocketAddr) -> io::Result<Link> {
        let link = Self::unaimed().await?;
        link.aim(target);
        Ok(link)
    }

    /// One that leads nowhere yet: it ends what is dialled.
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
                spawn_local(pass(stream, states.clone()));
            }
        });
        Ok(Link { address, state, accepts })
    }

    /// Leads there from now on; what is open stays.
    pub fn aim(&self, target: SocketAddr) {
        self.state.send_modify(|state| state.target = Some(target));
    }

    /// What holds from now on towards the target and back, for open connections too.
    pub fn set(&self, there: Way, back: Way) {
        self.state.send_modify(|state| (state.there, state.back) = (there, back));
    }

    /// Ends all connections that are open.
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

async fn pass(near: TcpStream, mut states: watch::Receiver<State>) {
    let State { resets: since, target, .. } = *states.borrow();
    let Some(target) = target else { return end(&near) };
    // A target that is not there refuses; so does the link, as far as it still can.
    let Ok(far) = TcpStream::connect(target).await else { return end(&near) };
    if near.set_nodelay(true).and(far.set_nodelay(true)).is_err() {
        return;
    }
    let ends = [near, far].map(|stream| socket2::SockRef::from(&stream).try_clone().map(|s| (s, stream)));
    let [Ok((near_end, near)), Ok((far_end, far))] = ends else { return };
    let ((near_reads, near_writes), (far_reads, far_writes)) =
        (tokio::io::split(near), tokio::io::split(far));
    let there = carry(near_reads, far_writes, states.clone(), |state| state.there);
    let back = carry(far_reads, near_writes, states.clone(), |state| state.back);
    let reset = async {
        // A link that is gone resets what is left of it.
        let _ = states.wait_for(|state| state.resets != since).await;
        // Before anything is dropped, or it would end in good order. It may have ended by itself in the same moment.
        let _ = near_end.set_linger(Some(Duration::ZERO));
        let _ = far_end.set_linger(Some(Duration::ZERO));
    };
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        () = reset => {}
    }
}

/// Ends a connection by a reset.
fn end(stream: &TcpStream) {
    // It may have ended by itself.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Bytes that wait at a time for each direction, in pieces: a reader that is faster waits.
const PIECES: usize = 16;

/// Carries bytes one way, in their order, until one side ends.
async fn carry(
    mut from: ReadHalf<TcpStream>,
    mut to: WriteHalf<TcpStream>,
    mut states: watch::Receiver<State>,
    way: impl Fn(&State) -> Way,
) {
    let (pieces, mut waiting) = mpsc::channel::<(Instant, Vec<u8>)>(PIECES);
    let reads = async move {
        let mut buffer = vec![0; 16 * 1024];
        while let Ok(count @ 1..) = from.read(&mut buffer).await {
            if pieces.send((Instant::now(), buffer[..count].to_vec())).await.is_err() {
                return;
            }
        }
    };
    let writes = async move {
        while let Some((came, piece)) = waiting.recv().await {
            let open = states.wait_for(|state| way(state) != Way::Silent).await.map(|state| way(&state));
            let Ok(Way::Open { delay }) = open else { return };
            tokio::time::sleep_until(came + delay).await;
            if to.write_all(&piece).await.is_err() {
                return;
            }
        }
        // The end is passed on like bytes: not while nothing passes.
        if states.wait_for(|state| way(state) != Way::Silent).await.is_ok() {
            let _ = to.shutdown().await;
        }
    };
    tokio::join!(reads, writes);
}

#[cfg(test)]
mod tests;
