//! App servers, balancers, and what lies between them: discovery, network, probes and load reports.

use serde::{Deserialize, Serialize};

/// The app servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// How many, spread over the zones in turn.
    pub servers: u32,
    /// Data centres.
    pub zones: u32,
    /// App servers that know of each other's keys; for the entries of the list only.
    pub cell_size: u32,
    /// Cores of each.
    pub cores: u32,
    /// Kinds of machines, given out in turn by their share; one standard kind if empty.
    #[serde(rename = "kind")]
    pub kinds: Vec<MachineKind>,
    /// Speed beside a standard core, a mean.
    pub speed: f64,
    /// Its coefficient of variation from one app server to the next.
    pub speed_cv: f64,
    /// Instead of those: the speed of each, in turn.
    pub speeds: Vec<f64>,
    /// Requests in work at a time, for each core.
    pub slots_per_core: u32,
    /// Requests that may wait, for each core; beyond that they are turned away unseen.
    pub queue_per_core: u32,
    /// What each request held beyond `thrash_at` a core adds to the time of all.
    pub thrash: f64,
    /// See `thrash`.
    pub thrash_at: f64,
    /// The share of its capacity with which one starts.
    pub cold_from: f64,
    /// It is warm after this.
    pub warm_s: f64,
    /// The share of work saved for a key that it met lately.
    pub key_gain: f64,
    /// How long a key is remembered.
    pub key_s: f64,
    /// How many keys are remembered for each core.
    pub keys_per_core: u32,
    /// A pause comes so often, in the mean; 0 for never.
    pub pause_every_s: f64,
    /// And lasts so long.
    pub pause_ms: f64,
    /// Share of requests that end in an error.
    pub error_rate: f64,
    /// An attempt that is withdrawn stops the work on it.
    pub cancel_stops_work: bool,
    /// Round trips of a new connection.
    pub handshake_rtts: f64,
    /// What a new connection costs the app server.
    pub handshake_us: f64,
    /// Connections that one holds, for each core.
    pub connections_per_core: u32,
    /// The share of capacity that a full table of connections takes.
    pub full_tax: f64,
    /// A connection idle for so long is closed.
    pub idle_s: f64,
    /// A connection that is not up by then has failed.
    pub dial_ms: f64,
}

/// A kind of machines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    /// Its part of the fleet.
    pub share: f64,
    /// Its cores.
    pub cores: u32,
    /// Its speed beside the fleet's.
    #[serde(default = "one")]
    pub speed: f64,
}

/// The balancers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Balancers {
    /// How many, spread over the zones in turn.
    pub count: u32,
    /// CPU time for decisions, for each second; 0 for no bound.
    pub cpu_ms_per_s: f64,
    /// What an event costs of it.
    pub event_us: f64,
    /// The front notices that one has died after so long, at least and at most.
    pub notice_s: [f64; 2],
}

/// Discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// How balancers get the list.
    pub mode: Listing,
    /// A change that is told to discovery shows after so long, at least and at most.
    pub notice_s: [f64; 2],
    /// One that is not, such as a death, after so long.
    pub silent_notice_s: [f64; 2],
    /// And on top of that.
    pub lag_s: f64,
    /// From one balancer to the next it differs by so much.
    pub spread_ms: f64,
    /// Calls that it answers a second; those that come wait in turn.
    pub calls_per_s: f64,
    /// A call that waits for longer fails.
    pub timeout_ms: f64,
    /// Where each call brings the whole list: a balancer asks so often.
    pub ask_every_s: f64,
}

/// How balancers get the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Listing {
    /// By a watch that brings changes until it breaks.
    #[default]
    Watched,
    /// By calls, each of which brings all of it.
    Asked,
}

/// The network. One way, without jitter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Within a zone.
    pub same_ms: f64,
    /// From one zone to another.
    pub cross_ms: f64,
    /// Between a client and its balancer.
    pub client_ms: f64,
    /// What queues add, in the mean, as a share of those.
    pub jitter: f64,
}

/// Probes of app servers, where the rules allow them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Probe {
    /// What one costs its app server.
    pub work_us: f64,
    /// It waits in the queue and takes a slot like a request; else it is answered at once.
    pub deep: bool,
    /// One without an answer by then is over.
    pub timeout_ms: f64,
}

/// What app servers tell of their load: the requests that wait.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Report {
    /// Where it comes along.
    pub how: Reporting,
    /// It is refreshed so often.
    pub period_ms: f64,
    /// And is so old when it is told.
    pub delay_ms: f64,
    /// Its coefficient of variation round the truth.
    pub noise: f64,
}

/// Where load reports come along.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reporting {
    /// Nowhere.
    #[default]
    Never,
    /// With answers to probes.
    Probes,
    /// With all answers.
    Answers,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            servers: 10,
            zones: 3,
            cell_size: 6,
            cores: 1,
            kinds: Vec::new(),
            speed: 0.97,
            speed_cv: 0.14,
            speeds: Vec::new(),
            slots_per_core: 1,
            queue_per_core: 480,
            thrash: 0.0,
            thrash_at: 10.0,
            cold_from: 0.47,
            warm_s: 5.6,
            key_gain: 0.61,
            key_s: 14.0,
            keys_per_core: 34,
            pause_every_s: 7.0,
            pause_ms: 80.0,
            error_rate: 0.0005,
            cancel_stops_work: false,
            handshake_rtts: 1.5,
            handshake_us: 2300.0,
            connections_per_core: 750,
            full_tax: 0.11,
            idle_s: 5.0,
            dial_ms: 250.0,
        }
    }
}

impl Default for Balancers {
    fn default() -> Self {
        Balancers { count: 3, cpu_ms_per_s: 8.0, event_us: 6.0, notice_s: [1.7, 3.4] }
    }
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            mode: Listing::Watched,
            notice_s: [0.78, 4.5],
            silent_notice_s: [4.8, 14.0],
            lag_s: 1.3,
            spread_ms: 60.0,
            calls_per_s: 4.3,
            timeout_ms: 3000.0,
            ask_every_s: 5.0,
        }
    }
}

impl Default for Network {
    fn default() -> Self {
        Network { same_ms: 0.17, cross_ms: 4.0, client_ms: 0.8, jitter: 0.2 }
    }
}

impl Default for Probe {
    fn default() -> Self {
        Probe { work_us: 500.0, deep: true, timeout_ms: 150.0 }
    }
}

impl Default for Report {
    fn default() -> Self {
        Report { how: Reporting::Never, period_ms: 200.0, delay_ms: 80.0, noise: 0.14 }
    }
}

fn one() -> f64 {
    1.0
}
