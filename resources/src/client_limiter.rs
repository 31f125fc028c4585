//! What the clients of one listening address may occupy together: connections, and bytes for connections and requests.
//!
//! If something is requested that isn't left, connections that wait for their client are evicted, the one that has waited
//! longest first. If none has waited for long enough, the request is refused.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use snafu::Snafu;
use tokio::time::{Instant, timeout};

use crate::byte_budget::{ByteBudget, Reservation};
use crate::eviction::{EvictionEntry, WaitKind, WaitingConnections};

/// An evicted connection has returned its resources within this time, unless its task can't be scheduled.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(50);

/// The bounds of one listening address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientBounds {
    /// Most connections at a time.
    pub max_connections: usize,
    /// Bytes reserved for each connection.
    pub connection_bytes: usize,
    /// Most bytes for all connections and their requests.
    pub total_bytes: usize,
}

/// Why nothing was reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum ReserveError {
    /// Other clients occupy what is requested; it may be free later.
    #[snafu(display("other clients occupy the memory"))]
    Occupied,
    /// It would not fit if there were no other client.
    #[snafu(display("{bytes} bytes are more than clients may occupy together"))]
    TooLarge {
        /// The bytes requested.
        bytes: usize,
    },
}

/// What a limiter has done since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimiterCounts {
    /// Connections that were refused, and reservations of requests.
    pub refused: u64,
    /// Connections that were evicted while they waited for their client.
    pub evicted: u64,
}

impl LimiterCounts {
    /// What was counted after `earlier`.
    pub fn since(self, earlier: LimiterCounts) -> LimiterCounts {
        LimiterCounts { refused: self.refused - earlier.refused, evicted: self.evicted - earlier.evicted }
    }
}

/// Limits the clients of one listening address. Clones share the same resources.
#[derive(Clone, Debug)]
pub struct ClientLimiter(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    bounds: ClientBounds,
    connections: Cell<usize>,
    bytes: ByteBudget,
    waiting: Rc<WaitingConnections>,
    last_serial: Cell<u64>,
    counts: Cell<LimiterCounts>,
}

/// The permit of an open connection, with the bytes reserved for it. Both are returned when this is dropped.
#[derive(Debug)]
#[must_use = "a dropped permit allows another connection"]
pub struct ConnectionPermit {
    limiter: ClientLimiter,
    serial: u64,
    /// Dropped after the connection count has been decremented.
    _bytes: Reservation,
}

impl ClientLimiter {
    /// A limiter of which nothing is occupied.
    pub fn new(bounds: ClientBounds) -> Self {
        ClientLimiter(Rc::new(Inner {
            bounds,
            connections: Cell::new(0),
            bytes: ByteBudget::new(bounds.total_bytes),
            waiting: Rc::default(),
            last_serial: Cell::new(0),
            counts: Cell::default(),
        }))
    }

    /// The number of connections that have a permit.
    pub fn connections(&self) -> usize {
        self.0.connections.get()
    }

    /// The bytes that clients may occupy together.
    pub fn total_bytes(&self) -> usize {
        self.0.bytes.total()
    }

    /// The bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.0.bytes.reserved()
    }

    /// What was refused and evicted since the start.
    pub fn counts(&self) -> LimiterCounts {
        self.0.counts.get()
    }

    /// A permit for a new connection. If none is left, connections that wait for their client are evicted. Cancellation safe.
    ///
    /// # Errors
    ///
    /// [`ReserveError`] if none becomes free.
    pub async fn admit(&self) -> Result<ConnectionPermit, ReserveError> {
        let bytes = self.0.bounds.connection_bytes;
        self.make_room(bytes, None, || self.try_admit()).await
    }

    fn try_admit(&self) -> Option<ConnectionPermit> {
        let connections = self.connections();
        if connections >= self.0.bounds.max_connections {
            return None;
        }
        let bytes = self.0.bytes.try_reserve(self.0.bounds.connection_bytes).ok()?;
        self.0.connections.set(connections + 1);
        Some(ConnectionPermit { limiter: self.clone(), serial: self.next_serial(), _bytes: bytes })
    }

    /// Calls `attempt` until it succeeds, and evicts a connection after each failure. `bytes` are what it reserves,
    /// `needed_by` is the connection for which it does so.
    async fn make_room<T>(
        &self,
        bytes: usize,
        needed_by: Option<u64>,
        attempt: impl Fn() -> Option<T>,
    ) -> Result<T, ReserveError> {
        if bytes > self.0.bytes.total() {
            self.count_refused();
            return Err(ReserveError::TooLarge { bytes });
        }
        loop {
            if let Some(made) = attempt() {
                return Ok(made);
            }
            // Created before the eviction, so that what is returned from now on is noticed, and nothing that was returned before.
            let released = self.0.bytes.released();
            if !self.0.waiting.evict_longest(Instant::now(), needed_by) {
                self.count_refused();
                return Err(ReserveError::Occupied);
            }
            self.count_evicted();
            // After a time-out the next connection is evicted.
            let _ = timeout(EVICTION_TIMEOUT, released).await;
        }
    }

    fn next_serial(&self) -> u64 {
        self.0.last_serial.set(self.0.last_serial.get() + 1);
        self.0.last_serial.get()
    }

    fn count_refused(&self) {
        let counts = self.counts();
        self.0.counts.set(LimiterCounts { refused: counts.refused + 1, ..counts });
    }

    fn count_evicted(&self) {
        let counts = self.counts();
        self.0.counts.set(LimiterCounts { evicted: counts.evicted + 1, ..counts });
    }
}

impl ConnectionPermit {
    /// Reserves bytes for a request on this connection. If they are not left, other connections that wait for their client
    /// are evicted. Cancellation safe.
    ///
    /// # Errors
    ///
    /// [`ReserveError`] if they don't become free.
    pub async fn reserve(&self, bytes: usize) -> Result<Reservation, ReserveError> {
        let budget = &self.limiter.0.bytes;
        self.limiter.make_room(bytes, Some(self.serial), || budget.try_reserve(bytes).ok()).await
    }

    /// Completes once this connection, which waits for its client from the first poll on, is needed for another one. Cancellation
    /// safe.
    pub async fn evicted_while(&self, kind: WaitKind) {
        self.wait(kind).evicted().await;
    }

    /// Enters this connection among those that wait for their client, until the entry is dropped.
    pub fn wait(&self, kind: WaitKind) -> EvictionEntry {
        self.limiter.0.waiting.enter(kind, self.limiter.next_serial(), self.serial)
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let connections = &self.limiter.0.connections;
        connections.set(connections.get() - 1);
    }
}
