//! The interface of the decisions module: what a gateway tells it and what it asks for.
//!
//! All times are integer microseconds on one clock of the caller's choosing, which may begin
//! anywhere and only advances. Work is in microseconds on a standard core.

use std::fmt;
use std::sync::Arc;

/// A point in time, or a span, in microseconds.
pub type Micros = u64;

/// An id of a server or a request: opaque text, handed back unaltered.
pub type Id = Arc<str>;

/// May a request be run more than once?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeats are harmless.
    Safe,
    /// Repeats are dropped by the servers of one group, for `window` after the first attempt.
    Keyed {
        /// The servers that drop each other's repeats.
        scope: DeduplicationScope,
        /// How long they remember, from the sending of the first attempt that may have run.
        window: Micros,
    },
    /// Must never run twice.
    Unsafe,
}

/// The servers that know of each other's keyed requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time of the request's arrival has its full worth.
    pub latency_target: Micros,
    /// The aim grows by this multiple of the request's own work, up to the deadline.
    pub latency_target_per_work: f64,
    /// How long a client waits in all.
    pub deadline: Micros,
    /// The worth of one request.
    pub worth: f64,
    /// The share of its worth that an answer after the aim still has.
    pub late_worth: f64,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
    /// The zones whose servers it may be sent to, at every attempt; `None`: those of any zone.
    /// Both this and `kinds` bind. A zone without servers is no error. An empty list names no
    /// server: the class is sent nowhere and its requests are refused.
    pub zones: Option<Vec<u32>>,
    /// The machine types that it may be sent to, in the same way.
    pub kinds: Option<Vec<u32>>,
}

impl Class {
    /// May a request of this class be sent to servers of this zone and machine type?
    pub fn open_to(&self, zone: u32, kind: u32) -> bool {
        let names = |list: &Option<Vec<u32>>, it| list.as_ref().is_none_or(|l| l.contains(&it));
        names(&self.zones, zone) && names(&self.kinds, kind)
    }
}

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second, over all gateways, that count as within its share.
    pub quota: f64,
}

/// What a gateway is told at its start. [`Settings::default`] is a gateway on its own with one
/// safe class, no tenants, no zones and no reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes; requests name theirs by position.
    pub classes: Vec<Class>,
    /// Tenants; requests name theirs by position.
    pub tenants: Vec<Tenant>,
    /// What a request beyond its tenant's share is worth, as a fraction.
    pub over_quota_worth: f64,
    /// True if worth is counted for each unit of work, not for each request.
    pub worth_by_work: bool,
    /// The zone of this gateway.
    pub zone: Option<u32>,
    /// This gateway's number, below `gateways`.
    pub gateway_index: u32,
    /// How many gateways there are.
    pub gateway_count: u32,
    /// True if the server list has to be asked for.
    pub poll_discovery: bool,
    /// Ask at least this often when there is no subscription.
    pub max_poll_interval: Micros,
    /// True if servers do less work for a key that they met lately.
    pub warm_keys: bool,
    /// Running attempts may be withdrawn.
    pub cancel: bool,
    /// A request may have two attempts out at once.
    pub hedging: bool,
    /// Servers may be probed.
    pub probes: bool,
    /// Attempts a request may have in all.
    pub max_attempts: u32,
    /// The longest pause that a refused client is told.
    pub max_retry_after: Micros,
    /// A server starts at this fraction of its capacity or more.
    pub initial_capacity_share: f64,
    /// And is warm after this at the latest.
    pub max_warm_up_time: Micros,
    /// A cold server sent more than this multiple of its capacity ...
    pub cold_overload_factor: f64,
    /// ... for this long falls over.
    pub cold_overload_time: Micros,
    /// True if only a server seen as draining is closed to new requests. One that is called gone, or
    /// that a full list leaves out, without that stays usable while it answers. False: gone binds too.
    pub keep_gone_servers: bool,
    /// The caller hands events over at most this often.
    pub tick: Micros,
    /// What an attempt that crosses zones costs, in worth of a mean request.
    pub cross_zone_price: f64,
    /// What a new connection costs, in worth of a mean request.
    pub handshake_price: f64,
    /// What a hundred open connections a server cost, as a share of all worth.
    pub connection_price: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: vec![Class {
                latency_target: 1_000_000,
                latency_target_per_work: 0.0,
                deadline: 4_000_000,
                worth: 1.0,
                late_worth: 0.0,
                idempotency: Idempotency::Safe,
                zones: None,
                kinds: None,
            }],
            tenants: Vec::new(),
            over_quota_worth: 1.0,
            worth_by_work: false,
            zone: None,
            gateway_index: 0,
            gateway_count: 1,
            poll_discovery: false,
            max_poll_interval: 10_000_000,
            warm_keys: true,
            cancel: true,
            hedging: true,
            probes: false,
            max_attempts: 3,
            max_retry_after: 2_000_000,
            initial_capacity_share: 0.15,
            max_warm_up_time: 20_000_000,
            cold_overload_factor: 3.0,
            cold_overload_time: 3_000_000,
            keep_gone_servers: false,
            tick: 1_000,
            cross_zone_price: 0.0,
            handshake_price: 0.0,
            connection_price: 0.0,
        }
    }
}

/// Why settings were turned down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(pub(crate) String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {}", self.0)
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Says what makes no sense in these settings, if anything.
    ///
    /// # Errors
    ///
    /// The first setting that makes no sense.
    pub fn check(&self) -> Result<(), SettingsError> {
        let bad = |text: String| Err(SettingsError(text));
        let share = |x: f64| x.is_finite() && (0.0..=1.0).contains(&x);
        if self.classes.is_empty() {
            return bad("there is no class".into());
        }
        for (i, class) in self.classes.iter().enumerate() {
            if class.latency_target == 0 || class.deadline == 0 {
                return bad(format!("class {i}: aim and deadline must be above 0"));
            }
            if !(class.worth.is_finite() && class.worth >= 0.0 && share(class.late_worth)) {
                return bad(format!("class {i}: worth must be 0 or more, late worth from 0 to 1"));
            }
            if !(class.latency_target_per_work.is_finite() && class.latency_target_per_work >= 0.0) {
                return bad(format!("class {i}: aim stretch must be 0 or more"));
            }
        }
        if self.tenants.iter().any(|t| !t.quota.is_finite() || t.quota < 0.0) {
            return bad("a tenant's quota must be 0 or more".into());
        }
        if self.gateway_count == 0 || self.gateway_index >= self.gateway_count {
            return bad(format!(
                "own number {} is not below {} gateways",
                self.gateway_index, self.gateway_count
            ));
        }
        if !share(self.initial_capacity_share) || !share(self.over_quota_worth) {
            return bad("cold share and over-share worth must lie from 0 to 1".into());
        }
        if !(self.cold_overload_factor.is_finite() && self.cold_overload_factor > 0.0) {
            return bad("fall multiple must be above 0".into());
        }
        if [self.cross_zone_price, self.handshake_price, self.connection_price].iter().any(|p| !p.is_finite())
        {
            return bad("prices must be finite".into());
        }
        if self.max_attempts == 0 {
            return bad("at least one attempt must be allowed".into());
        }
        Ok(())
    }
}

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Takes requests.
    Ready,
    /// Finishes its work and takes nothing new.
    Draining,
    /// Removed.
    #[default]
    Gone,
}

/// One entry of the server list.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its id, the same at every gateway.
    pub id: Id,
    /// Its zone.
    pub zone: u32,
    /// Its machine type.
    pub kind: u32,
    /// The servers that share its knowledge of keyed requests.
    pub cell: u32,
    /// Whether it takes requests.
    pub state: ServerState,
    /// Its size, compared with others'.
    pub weight: f64,
    /// When it last started, if lately.
    pub started: Option<Micros>,
}

/// What a list brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changes only.
    Delta,
    /// Everything; a server not named is gone.
    Full,
    /// Everything as held when this gateway last ran: possibly out of date.
    Cached,
    /// A call failed or a subscription broke: no entries, the last list holds.
    Failed,
}

/// A load report; servers fill what they measure.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests held.
    pub in_flight: Option<f64>,
    /// Requests that wait for service.
    pub queue: Option<f64>,
    /// Recent service time without waiting.
    pub service_time: Option<f64>,
    /// Errors a second.
    pub errors_per_second: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// The server turned the request itself down: it found it at fault, as any other would.
    Denied,
    /// Turned away unseen.
    Overloaded,
    /// No answer in time; it may have run or may still.
    TimedOut,
    /// No connection: it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Withdrawn; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// True if the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request that has come in.
#[derive(Clone, Debug)]
pub struct Arrival<'a> {
    /// Its id, never used again.
    pub id: Id,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings, if it has one.
    pub tenant: Option<usize>,
    /// The client gives up after this.
    pub ttl: Micros,
    /// Expected work, if known.
    pub work_hint: Option<f64>,
    /// What it is about.
    pub key: Option<&'a str>,
    /// Nothing names it to servers that drop repeats: whatever its class says, it may run once only.
    pub run_once: bool,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd<'a> {
    /// The request.
    pub request: &'a str,
    /// The attempt, counted from 0.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Micros,
    /// True if the request has had its final answer, by this outcome or before.
    pub request_finished: bool,
    /// The report that came along.
    pub report: Option<LoadReport>,
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The server list, or changes of it.
    List {
        /// What the entries stand for.
        kind: ListKind,
        /// The entries.
        servers: Vec<Server>,
    },
    /// A request has come in. It gets exactly one final answer: an [`Event::AttemptEnded`] with
    /// `request_finished`, or an [`Action::Reject`] or [`Action::Fail`].
    Request(Arrival<'a>),
    /// A streamed answer has begun: the attempt is the client's from now on.
    Streaming {
        /// The request.
        request: &'a str,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnd<'a>),
    /// The client has left: nothing is owed for the request any more.
    ClientDisconnected {
        /// The request.
        request: &'a str,
    },
    /// A timer asked for with [`Action::Wake`] is due.
    Wake,
    /// A probe has ended.
    ProbeEnded {
        /// The server.
        server: &'a str,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took: Micros,
        /// The report that came along.
        report: Option<LoadReport>,
    },
}

/// What the gateway is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// The request.
        request: Id,
        /// The server.
        server: Id,
        /// Give the attempt up at this time.
        deadline: Micros,
    },
    /// Answer that the request was refused and may be tried again without harm.
    Reject {
        /// The request.
        request: Id,
        /// Ask the client to stay away for this long.
        retry_after: Micros,
    },
    /// Answer that the request failed.
    Fail {
        /// The request.
        request: Id,
    },
    /// Withdraw an attempt.
    Cancel {
        /// The request.
        request: Id,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// Send an [`Event::Wake`] at this time or soon after.
    Wake {
        /// When.
        at: Micros,
    },
    /// Probe a server.
    Probe {
        /// The server.
        server: Id,
    },
    /// Close the idle connections to a server.
    CloseIdleConnections {
        /// The server.
        server: Id,
    },
    /// Subscribe to changes of the server list.
    Subscribe,
    /// A line for the operators.
    Log {
        /// The text.
        text: String,
    },
}
