//! Connection pool for servers: keeps idle connections by server and opens new ones. The idle time up to which
//! connections are reused is learned from the outcomes of requests.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_http::buffers::Pool;
use gradepaddle_http::idle_reuse::IdleReuse;
use gradepaddle_http::{Connection, Head};
use gradepaddle_resources::SocketBuffers;
use tokio::net::TcpSocket;
use tokio::time::{Instant, timeout};

/// Time-out for connecting; a server normally accepts within one or two milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection is no longer reused, if its server names none (`Keep-Alive`).
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection is no longer reused from this long before its server would close it: a request could cross the server's
/// close and be lost.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of idle connections kept for each server.
const MAX_IDLE_PER_SERVER: usize = 16;
/// One in this many of the connections that a server accepts may be idle, summed over all nodes.
const IDLE_CONNECTION_SHARE: usize = 2;

/// How many idle connections are kept at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdleLimits {
    /// To each server.
    pub per_server: usize,
    /// To all servers.
    pub total: usize,
}

impl IdleLimits {
    /// The limits of one of `nodes` nodes, which may keep `total` idle connections. `max_connections` holds, for each
    /// service, how many connections one of its servers accepts from all nodes together; 0 for a service without a limit.
    pub fn new(total: usize, nodes: usize, max_connections: impl Iterator<Item = u32>) -> Self {
        let lowest = max_connections.filter(|limit| *limit > 0).min();
        let share =
            lowest.map_or(MAX_IDLE_PER_SERVER, |limit| limit as usize / IDLE_CONNECTION_SHARE / nodes.max(1));
        IdleLimits { per_server: share.clamp(1, MAX_IDLE_PER_SERVER), total }
    }
}

/// An idle connection.
struct IdleConnection {
    connection: Connection,
    since: Instant,
    /// Not reused from this time on.
    expires: Instant,
}

/// The idle connections to all servers.
pub(crate) struct UpstreamPool {
    idle: RefCell<HashMap<Arc<str>, Vec<IdleConnection>>>,
    limits: Cell<IdleLimits>,
    idle_reuse: IdleReuse,
}

/// A connection on which a request can be sent.
pub(crate) struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// How long it had been idle; none for a new connection.
    pub idle: Option<Duration>,
}

impl UpstreamPool {
    /// Creates an empty pool.
    pub fn new(limits: IdleLimits) -> Self {
        UpstreamPool {
            idle: RefCell::default(),
            limits: Cell::new(limits),
            idle_reuse: IdleReuse::new(Instant::now()),
        }
    }

    /// Sets the limits for connections released from now on. Connections already kept beyond them stay until they expire.
    pub fn set_limits(&self, limits: IdleLimits) {
        self.limits.set(limits);
    }

    /// The number of idle connections to all servers.
    fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Takes the most recently used idle connection to this server that may be reused.
    fn take(&self, id: &str) -> Option<PooledConnection> {
        let now = Instant::now();
        let max_idle = self.idle_reuse.max_idle(now);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(id)?;
        while let Some(candidate) = connections.pop() {
            let idle = now.saturating_duration_since(candidate.since);
            if now < candidate.expires && idle < max_idle && candidate.connection.is_idle() {
                return Some(PooledConnection { connection: candidate.connection, idle: Some(idle) });
            }
        }
        None
    }

    /// Returns a connection to this server, idle or new; none if connecting failed or timed out. Cancellation safe: an idle
    /// connection is taken without an `await`.
    pub async fn connect(&self, id: &str, address: SocketAddrV4, pool: &Pool) -> Option<PooledConnection> {
        if let Some(pooled) = self.take(id) {
            return Some(pooled);
        }
        let socket = TcpSocket::new_v4().ok()?;
        // Without this the kernel may hold more of a response that its client reads slowly; it is served nevertheless.
        let _ = socket.set_recv_buffer_size(SocketBuffers::DEFAULT.size as u32);
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(address.into())).await.ok()?.ok()?;
        Some(PooledConnection { connection: Connection::new(stream, pool, ()), idle: None })
    }

    /// Returns a connection to the pool after its response was read to the end; `head` is the head of that response. The
    /// connection is closed if it can't be used for another request or exceeds the limits.
    pub fn release(&self, id: &Arc<str>, connection: Connection, head: &Head) {
        let limits = self.limits.get();
        if self.idle_count() >= limits.total
            || !head.keeps_alive()
            || connection.has_input()
            || connection.has_unsent()
        {
            return;
        }
        let now = Instant::now();
        let expires = now
            + keep_alive_timeout(head).unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_TIMEOUT_MARGIN);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id.clone()).or_default();
        if connections.len() < limits.per_server {
            connections.push(IdleConnection { connection, since: now, expires });
        }
    }

    /// Records whether a request was lost on a connection that had been idle for `idle` (none for a new one). The
    /// longest idle time up to which connections are reused is learned from this.
    pub fn record_outcome(&self, idle: Option<Duration>, lost: bool) {
        self.idle_reuse.record(Instant::now(), idle, lost);
    }

    /// Closes all idle connections to a server.
    pub fn close_idle(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes connections that have expired or were closed by their server.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|kept| now < kept.expires && kept.connection.is_idle());
            !connections.is_empty()
        });
    }
}

/// How long a server keeps an idle connection open (`Keep-Alive: timeout=`, in seconds).
fn keep_alive_timeout(head: &Head) -> Option<Duration> {
    let text = head.get("keep-alive")?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

#[cfg(test)]
mod tests;
