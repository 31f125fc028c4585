//! Routes: which requests go to which services, and on what terms.

use serde::Deserialize;
use std::sync::Arc;
use std::time::Duration;

/// Rank of a route that states none.
pub(super) const DEFAULT_PRIORITY: u8 = 5;
/// Number of servers for a request of a route that states none.
pub(super) const DEFAULT_MAX_ATTEMPTS: u32 = 1;

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name.
    pub name: Arc<str>,
    /// Host of its requests, as the body has it.
    pub host: Arc<str>,
    /// What the paths of its requests begin with.
    pub path_prefix: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may be held; above 0.
    pub timeout: Duration,
    /// Time within which an answer earns its full worth; the time-out where the body states none.
    pub latency_target: Duration,
    /// Rank; 0 is the highest.
    pub priority: u8,
    /// Its services with their weights, all above 0: each service once, in the order of their first mention.
    pub split: Vec<Target>,
    /// Most servers that one request may be sent to; at least 1.
    pub max_attempts: u32,
    /// Whether its requests need no key.
    pub public: bool,
    /// Whether its requests name parts of prompts, which are worth going back for.
    pub sticky: bool,
    /// Whether its streams may be taken up at another server.
    pub resumable: bool,
    /// Longest pause between the events of a stream that is still in time.
    pub event_gap_target: Option<Duration>,
}

/// A service of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Name of the service.
    pub service: Arc<str>,
    /// Its part of the route's requests, in proportion to the other weights; finite and above 0.
    pub weight: f64,
}

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(try_from = "String")]
pub enum RouteKind {
    /// A request may run more than once.
    Safe,
    /// A request may run at most once.
    Unsafe,
    /// The answer is a series of events; a request may run at most once unless it may be resumed.
    Streaming,
}

impl Route {
    /// Whether a request that may have run may be sent to another server.
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RouteKind::Safe => true,
            RouteKind::Unsafe => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

impl TryFrom<String> for RouteKind {
    type Error = String;

    fn try_from(name: String) -> Result<Self, String> {
        match name.as_str() {
            "safe" => Ok(Self::Safe),
            "unsafe" => Ok(Self::Unsafe),
            "streaming" => Ok(Self::Streaming),
            _ => Err(format!("unknown kind {name:?}")),
        }
    }
}
