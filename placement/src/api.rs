//! What the data plane hands to the engine and gets back: servers, services, requests, choices.

use std::net::SocketAddrV4;
use std::sync::Arc;

use typed_builder::TypedBuilder;

/// A time or a span in microseconds.
pub type Micros = u64;

/// What the list of servers says of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It announced its end and gets nothing new.
    Draining,
    /// Its heartbeats stopped; it is used only where no other server is left.
    Lost,
    /// It left, or was replaced.
    Gone,
}

/// The version of one model's weights that a server has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelVersion {
    /// The model's name.
    pub model: Arc<str>,
    /// The version of its weights; at one server it only grows.
    pub version: u64,
}

/// One incarnation of a server, as the list of servers knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// The id of the incarnation.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it is called.
    pub address: SocketAddrV4,
    /// Where it stands.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be chosen.
    pub state: ServerState,
    /// How long it is still slow after its start.
    pub warmup_left: Micros,
    /// The weights that it has.
    pub models: Vec<ModelVersion>,
}

/// A service of model servers, as configured.
#[derive(Clone, Debug, PartialEq, TypedBuilder)]
pub struct ModelService {
    /// Its name.
    #[builder(setter(into))]
    pub name: Arc<str>,
    /// Requests that one of its servers runs at once.
    #[builder(default = 0)]
    pub slots: u32,
    /// Tokens that one server's memory holds, of running requests and kept parts together; 0 if unknown.
    #[builder(default = 0)]
    pub cache_tokens: u64,
    /// Bytes that one kept token takes on a link.
    #[builder(default = 0)]
    pub token_bytes: u64,
    /// Speed of a server's link for moving kept parts.
    #[builder(default = 0.0)]
    pub link_mbps: f64,
    /// The models that it serves.
    #[builder(default)]
    pub models: Vec<Arc<str>>,
    /// Connections that one server accepts from all callers together; 0 if unknown.
    #[builder(default = 0)]
    pub max_connections: u32,
}

/// A store of kept parts, as configured.
#[derive(Clone, Debug, PartialEq, TypedBuilder)]
pub struct CacheStoreService {
    /// Its name, which also names it as a holder of kept parts.
    #[builder(setter(into))]
    pub name: Arc<str>,
    /// Where it is called.
    pub address: SocketAddrV4,
    /// Where it stands.
    #[builder(setter(into))]
    pub zone: Arc<str>,
    /// Tokens that it has room for.
    #[builder(default = 0)]
    pub cache_tokens: u64,
    /// Speed of its link.
    #[builder(default = 0.0)]
    pub link_mbps: f64,
}

/// One service of the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceSpec {
    /// Servers that run requests.
    Model(ModelService),
    /// A store of kept parts.
    Store(CacheStoreService),
}

/// One part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptChunk {
    /// From its hexadecimal id; longer ids are hashed.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// Whose kept parts a request may use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CacheIsolation {
    /// Those of all tenants that are not isolated; the number is a hash of the set of isolated ones, so that parts
    /// made before a change of that set are left behind.
    Shared(u64),
    /// Those of this isolated tenant alone.
    Tenant(Arc<str>),
}

/// What the choice of a server depends on.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The service that its route leads to.
    pub service: &'a str,
    /// The model that it names.
    pub model: Option<&'a str>,
    /// The parts of its prompt in order; the last belongs to the request or its session.
    pub parts: &'a [PromptChunk],
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// The most tokens that it may generate.
    pub tokens_out: u32,
    /// Its rank, 0 first.
    pub priority: u8,
    /// The time to its first event within which it earns its full worth.
    pub aim: Micros,
    /// The longest pause between its events within which they are in time; 0 if there is no such bound.
    pub gap: Micros,
    /// What is left of its deadline.
    pub time_left: Micros,
    /// Whose kept parts it may use.
    pub wall: CacheIsolation,
    /// The event after which a stream is taken up.
    pub resumed_from: Option<u64>,
}

/// The longest pause between two events of a stream that came whole.
#[derive(Clone, Copy, Debug)]
pub struct StreamPause<'a> {
    /// The service that served it.
    pub service: &'a str,
    /// The pause.
    pub longest: Micros,
}

/// Interner one attempt that was chosen, until it ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptId(pub u64);

/// Where a request goes, and with which headers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Interner the attempt in what follows; it counts as in flight until `record_end`.
    pub attempt: AttemptId,
    /// The chosen server's id (`X-Target-Server`).
    pub server: Arc<str>,
    /// Its address.
    pub address: SocketAddrV4,
    /// Where it takes kept parts from (`Kv-Fetch`).
    pub fetch: Option<SocketAddrV4>,
    /// Where it sends parts once read (`Kv-Save`).
    pub save: Option<SocketAddrV4>,
    /// The version that it must have (`Expect-Version`).
    pub expect_version: Option<u64>,
    /// The text that bounds reuse of parts (`Cache-Salt`).
    pub salt: Option<Arc<str>>,
}

/// Why no server was chosen. No attempt was made for the request, as far as this choice goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No server is ready, or none has the version that is due.
    NoServer {
        /// When to come back.
        retry_after: Micros,
    },
    /// Every server is full and none would begin in time.
    Overloaded {
        /// When to come back.
        retry_after: Micros,
    },
}

/// An attempt whose first event came on weights that were too old by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutdatedStart {
    /// The version that it began on.
    pub version: u64,
    /// The oldest version that may begin.
    pub binding: u64,
    /// How long it waited for its first event.
    pub waited: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Served,
    /// The server said that it did not run the request.
    NotRun,
    /// 421: another server answers there now, or the id is another's.
    Misdirected,
    /// 421: the weights are of another version than expected.
    VersionMismatch,
    /// It was taken back, since it had not begun as its server's weights got too old.
    Outdated,
    /// No connection came up.
    ConnectFailed,
    /// Reset, or cut midway.
    Broken,
    /// Nothing came in time.
    TimedOut,
    /// The client left.
    ClientGone,
    /// The server's own failure.
    ServerError,
}

/// What `X-Server-Load` says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Places.
    pub slots: u32,
}

/// One event of a holder's `kv-events`. A repeat of what is known changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent<'a> {
    /// A part is kept now, with this many tokens.
    Added {
        /// The salt that it is kept under.
        salt: &'a str,
        /// The part's id, as in `PromptChunk`.
        part: u64,
        /// Tokens kept now.
        tokens: u32,
        /// The model that it was made by.
        model: &'a str,
    },
    /// A part, or its end, was dropped.
    Dropped {
        /// The salt that it was kept under.
        salt: &'a str,
        /// The part's id, as in `PromptChunk`.
        part: u64,
        /// Tokens kept now: 0 when all is gone.
        tokens: u32,
        /// The model that it was made by.
        model: &'a str,
    },
}

/// Settings of an engine. The defaults are those of docs/placement.md.
#[derive(Clone, Debug, PartialEq, TypedBuilder)]
pub struct PlacementConfig {
    /// Where this node stands.
    #[builder(default = Arc::from(""), setter(into))]
    pub own_zone: Arc<str>,
    /// Makes the unique salts and the numbers of attempts of this node its own.
    #[builder(default = 0)]
    pub seed: u64,
    /// From so long before a version binds, nothing is placed on older ones: requests wait in servers' queues.
    #[builder(default = 1_500_000)]
    pub version_margin: Micros,
    /// What has not begun so long before its version is too old is taken back: that has to reach the server in time.
    #[builder(default = 250_000)]
    pub begin_margin: Micros,
    /// Repeats that each request pays for, over all nodes.
    #[builder(default = 0.2)]
    pub retry_ratio: f64,
    /// Repeats that are free in a window, over all nodes.
    #[builder(default = 50.0)]
    pub retry_slack: f64,
    /// The length of that window.
    #[builder(default = 10_000_000)]
    pub retry_window: Micros,
    /// Prompt keys in each half of the key table.
    #[builder(default = 20_000)]
    pub keys: usize,
    /// Parts and holders in the index of kept parts.
    #[builder(default = 300_000)]
    pub kept: usize,
}
