//! What a placer returns for a request, and what the data plane reports back about the attempt.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::time::Micros;

/// The id of one attempt, from its placement until its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// The server that was selected for a request, and the fields that the request carries to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The id of the attempt, which counts as in flight until [`Placer::record_end`](crate::Placer::record_end).
    pub attempt: AttemptId,
    /// The id of the selected server (`X-Target-Server`).
    pub server: Arc<str>,
    /// Its address.
    pub address: SocketAddrV4,
    /// The holder that it fetches cached chunks from (`Kv-Fetch`).
    pub fetch: Option<SocketAddrV4>,
    /// The cache store that it saves chunks to (`Kv-Save`).
    pub save: Option<SocketAddrV4>,
    /// The model version that it must have (`Expect-Version`).
    pub expect_version: Option<u64>,
    /// The salt that limits the reuse of cached chunks (`Cache-Salt`).
    pub salt: Option<Arc<str>>,
}

/// Why no server was selected. No attempt was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No server is ready, or none has the version that is required.
    NoServer {
        /// When to retry, in microseconds from now.
        retry_after: Micros,
    },
    /// All servers are full, and none would start the request in time.
    Overloaded {
        /// When to retry, in microseconds from now.
        retry_after: Micros,
    },
}

/// An attempt that started on a version which was no longer allowed by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutdatedStart {
    /// The version that it started on.
    pub version: u64,
    /// The oldest version that may be started on.
    pub binding: u64,
    /// How long it waited for its first event, in microseconds.
    pub waited: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete response was received.
    Served,
    /// The server stated that it did not process the request.
    NotProcessed,
    /// 421: another server has that address now, or the id is another server's.
    Misdirected,
    /// 421: the server has another model version than expected.
    VersionMismatch,
    /// It was withdrawn, since it had not started when its version became outdated.
    Outdated,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection was reset, or closed before the response was complete.
    ConnectionBroken,
    /// The response timed out.
    TimedOut,
    /// The client disconnected.
    ClientGone,
    /// The server responded with an error of its own.
    ServerError,
}

/// The value of `X-Server-Load`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that the server runs at once.
    pub slots: u32,
}
