//! Connections to servers: idle ones by server, and new ones.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_http::buffers::Pool;
use gradepaddle_http::idling::Idling;
use gradepaddle_http::{Connection, Head};
use tokio::net::TcpSocket;
use tokio::time::{Instant, timeout};

/// A connection that does not come up within this is given up: a server's answers within a millisecond or two.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// An idle connection is used again for this long if its server said nothing of it.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);
/// A connection is given up this long before its server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept for each server.
const MAX_IDLE_PER_SERVER: usize = 16;

/// An idle connection.
struct IdleConnection {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// Idle connections to all servers.
pub(crate) struct UpstreamPool {
    idle: RefCell<HashMap<Arc<str>, Vec<IdleConnection>>>,
    idling: Idling,
}

/// A connection that can take a request.
pub(crate) struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// How long it had been idle; none for a new one.
    pub idle: Option<Duration>,
}

impl UpstreamPool {
    pub fn new() -> Self {
        UpstreamPool { idle: RefCell::default(), idling: Idling::new(Instant::now()) }
    }

    /// An idle connection to this server that can be trusted, the one used last.
    fn take(&self, id: &str) -> Option<PooledConnection> {
        let now = Instant::now();
        let trusted = self.idling.trusted(now);
        let mut idle = self.idle.borrow_mut();
        let parked = idle.get_mut(id)?;
        while let Some(one) = parked.pop() {
            let idle = now.saturating_duration_since(one.since);
            if now < one.until && idle < trusted && one.connection.is_quiet() {
                return Some(PooledConnection { connection: one.connection, idle: Some(idle) });
            }
        }
        None
    }

    /// A connection to this server, idle or new. `None`: it did not come up.
    pub async fn connect(&self, id: &str, address: SocketAddrV4, pool: &Pool) -> Option<PooledConnection> {
        if let Some(lease) = self.take(id) {
            return Some(lease);
        }
        let socket = TcpSocket::new_v4().ok()?;
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(address.into())).await.ok()?.ok()?;
        Some(PooledConnection { connection: Connection::new(stream, pool, ()), idle: None })
    }

    /// Keeps a connection whose exchange is over. `head` is that of the answer.
    pub fn release(&self, id: &Arc<str>, connection: Connection, head: &Head) {
        if !head.keeps_alive() || connection.has_input() || connection.has_unsent() {
            return;
        }
        let now = Instant::now();
        let until = now + keep_alive(head).unwrap_or(IDLE_DEFAULT).saturating_sub(IDLE_MARGIN);
        let mut idle = self.idle.borrow_mut();
        let parked = idle.entry(id.clone()).or_default();
        if parked.len() < MAX_IDLE_PER_SERVER {
            parked.push(IdleConnection { connection, since: now, until });
        }
    }

    /// Learns how long idle connections can be trusted.
    pub fn record_outcome(&self, idle: Option<Duration>, lost: bool) {
        self.idling.note(Instant::now(), idle, lost);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes what has been idle for too long or was closed by its server.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, parked| {
            parked.retain(|one| now < one.until && one.connection.is_quiet());
            !parked.is_empty()
        });
    }
}

/// The time that a server keeps an idle connection, from its `Keep-Alive` field.
fn keep_alive(head: &Head) -> Option<Duration> {
    let text = head.get("keep-alive")?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
