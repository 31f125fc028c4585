//! Connections to servers: idle ones by server, and new ones. How long an idle one is reused is learned.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_http::buffers::Pool;
use gradepaddle_http::idle_reuse::IdleReuse;
use gradepaddle_http::{Connection, Head};
use tokio::net::TcpSocket;
use tokio::time::{Instant, timeout};

/// A connection that does not come up within this is given up: a server accepts within a millisecond or two.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which a connection is no longer reused, if its server names none (`Keep-Alive`).
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection is no longer reused from this long before its server would close it: a request could cross the close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);
/// Idle connections kept for each server at most.
const MAX_IDLE_PER_SERVER: usize = 16;
/// Descriptors of a process that the platform reserves for files outside its disk folder (`DEPLOY.md`).
const RESERVED_DESCRIPTORS: u64 = 200;
/// One in this many of the other descriptors may be an idle connection to a server.
const IDLE_DESCRIPTOR_SHARE: u64 = 4;
/// One in this many of the connections that a server accepts may be idle, summed over all nodes.
const IDLE_CONNECTION_SHARE: usize = 2;

/// How many idle connections are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct IdleLimits {
    /// To each server.
    pub per_server: usize,
    /// To all servers.
    pub total: usize,
}

impl IdleLimits {
    /// The limits of one of `nodes` nodes that may open `open_files` descriptors. `max_connections` is what each server
    /// accepts from all nodes, by its service; 0 where it names no limit.
    pub fn new(open_files: u64, nodes: usize, max_connections: impl Iterator<Item = u32>) -> Self {
        let fewest = max_connections.filter(|most| *most > 0).min();
        let share =
            fewest.map_or(MAX_IDLE_PER_SERVER, |most| most as usize / IDLE_CONNECTION_SHARE / nodes.max(1));
        let total = open_files.saturating_sub(RESERVED_DESCRIPTORS) / IDLE_DESCRIPTOR_SHARE;
        IdleLimits { per_server: share.clamp(1, MAX_IDLE_PER_SERVER), total: total as usize }
    }
}

/// An idle connection.
struct IdleConnection {
    connection: Connection,
    since: Instant,
    /// Not reused from here on.
    expires: Instant,
}

/// Idle connections to all servers.
pub(crate) struct UpstreamPool {
    idle: RefCell<HashMap<Arc<str>, Vec<IdleConnection>>>,
    limits: Cell<IdleLimits>,
    idle_reuse: IdleReuse,
}

/// A connection that can take a request.
pub(crate) struct PooledConnection {
    /// The connection.
    pub connection: Connection,
    /// How long it had been idle; none for a new one.
    pub idle: Option<Duration>,
}

impl UpstreamPool {
    /// A pool without connections.
    pub fn new(limits: IdleLimits) -> Self {
        UpstreamPool {
            idle: RefCell::default(),
            limits: Cell::new(limits),
            idle_reuse: IdleReuse::new(Instant::now()),
        }
    }

    /// Sets how many connections are kept from now on. What is kept beyond that expires by itself.
    pub fn set_limits(&self, limits: IdleLimits) {
        self.limits.set(limits);
    }

    /// The idle connections to all servers.
    fn idle_count(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// The idle connection to this server that was used last and may be reused.
    fn take(&self, id: &str) -> Option<PooledConnection> {
        let now = Instant::now();
        let trusted = self.idle_reuse.max_idle(now);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(id)?;
        while let Some(one) = connections.pop() {
            let idle = now.saturating_duration_since(one.since);
            if now < one.expires && idle < trusted && one.connection.is_idle() {
                return Some(PooledConnection { connection: one.connection, idle: Some(idle) });
            }
        }
        None
    }

    /// A connection to this server, idle or new; none if it did not come up. Cancellation safe: an idle connection is
    /// taken without an `await`.
    pub async fn connect(&self, id: &str, address: SocketAddrV4, pool: &Pool) -> Option<PooledConnection> {
        if let Some(lease) = self.take(id) {
            return Some(lease);
        }
        let socket = TcpSocket::new_v4().ok()?;
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(address.into())).await.ok()?.ok()?;
        Some(PooledConnection { connection: Connection::new(stream, pool, ()), idle: None })
    }

    /// Takes a connection back whose response was read to its end; `head` is the head of that response. A connection that
    /// can bear no other request, or is beyond the limits, is closed.
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
        let expires =
            now + keep_alive(head).unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_TIMEOUT_MARGIN);
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(id.clone()).or_default();
        if connections.len() < limits.per_server {
            connections.push(IdleConnection { connection, since: now, expires });
        }
    }

    /// Learns how long idle connections can be reused: whether a request was lost on one that had been idle for `idle`,
    /// none for a new one.
    pub fn record_outcome(&self, idle: Option<Duration>, lost: bool) {
        self.idle_reuse.record(Instant::now(), idle, lost);
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, id: &str) {
        self.idle.borrow_mut().remove(id);
    }

    /// Closes connections that have expired or were closed by their server.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        idle.retain(|_, connections| {
            connections.retain(|one| now < one.expires && one.connection.is_idle());
            !connections.is_empty()
        });
    }
}

/// How long a server keeps an idle connection (`Keep-Alive: timeout=`, in seconds).
fn keep_alive(head: &Head) -> Option<Duration> {
    let text = head.get("keep-alive")?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

#[cfg(test)]
mod tests;
