//! Routes: which requests go to which services, with their timeouts, priorities and retry rules.

use serde::Deserialize;
use snafu::Snafu;
use std::sync::Arc;
use std::time::Duration;

/// Default priority of a route.
pub(super) const DEFAULT_PRIORITY: u8 = 5;
/// Default number of attempts for a request.
pub(super) const DEFAULT_MAX_ATTEMPTS: u32 = 1;

/// A route (`routes`).
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host of its requests, as the body has it.
    pub host: Arc<str>,
    /// Prefix of the paths of its requests (`pathPrefix`).
    pub path_prefix: Arc<str>,
    /// Which of its requests are idempotent (`kind`).
    pub kind: RouteKind,
    /// Longest time until a request has its response (`timeoutMs`); above 0.
    pub timeout: Duration,
    /// Time within which a response has its full value (`targetMs`); the timeout by default.
    pub latency_target: Duration,
    /// Priority; 0 is the highest, 5 the default.
    pub priority: u8,
    /// Its services with their weights (`trafficSplit`, or `backend` alone), all above 0: each service once, in the
    /// order of their first mention.
    pub split: Vec<Target>,
    /// Maximum number of servers that a request may be sent to (`tries`); at least 1, which is the default.
    pub max_attempts: u32,
    /// Whether its requests need no API key; `false` by default.
    pub public: bool,
    /// Whether its requests name prompt chunks, so that a server with the cached prefix is preferred; `false` by default.
    pub sticky: bool,
    /// Whether its streams may be resumed at another server; `false` by default.
    pub resumable: bool,
    /// Longest gap between two events of a stream for which the second counts as in time (`gap_aim_ms`); none by default.
    pub event_gap_target: Option<Duration>,
}

/// A service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its share of the route's requests, relative to the other weights; finite and above 0.
    pub weight: f64,
}

/// Whether requests of a route are idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(try_from = "String")]
pub enum RouteKind {
    /// Idempotent: a request may run more than once (`safe`).
    Safe,
    /// A request may run at most once (`unsafe`).
    Unsafe,
    /// The response is a stream of events; a request may run at most once unless the route is resumable (`streaming`).
    Streaming,
}

/// The error for an unknown kind of route.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("unknown kind {name:?}"))]
pub struct UnknownRouteKind {
    /// The name given.
    pub name: String,
}

impl Route {
    /// Whether a request that may have run already may be retried at another server.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

impl TryFrom<String> for RouteKind {
    type Error = UnknownRouteKind;

    fn try_from(name: String) -> Result<Self, UnknownRouteKind> {
        match name.as_str() {
            "safe" => Ok(Self::Safe),
            "unsafe" => Ok(Self::Unsafe),
            "streaming" => Ok(Self::Streaming),
            _ => Err(UnknownRouteKind { name }),
        }
    }
}
