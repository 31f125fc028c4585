//! App servers, balancers, discovery, the network, probes and load reports.

use serde::{Deserialize, Serialize};

/// The app servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Number of app servers, assigned to the zones round-robin.
    pub servers: u32,
    /// Number of zones (data centres).
    pub zones: u32,
    /// Number of app servers per cell. The members of a cell know each other's idempotency keys; the cell is
    /// only passed on in the entries of the list.
    pub cell_size: u32,
    /// Cores per app server.
    pub cores: u32,
    /// Machine kinds, assigned in proportion to their share; one standard kind if empty.
    #[serde(rename = "kind")]
    pub kinds: Vec<MachineKind>,
    /// Mean speed relative to a standard core.
    pub speed: f64,
    /// Coefficient of variation of the speed between app servers.
    pub speed_cv: f64,
    /// Replaces `speed` and `speed_cv`: the speeds of the app servers, assigned round-robin.
    pub speeds: Vec<f64>,
    /// Concurrent requests in work per core.
    pub slots_per_core: u32,
    /// Queue length per core; further requests are rejected unprocessed.
    pub queue_per_core: u32,
    /// Relative slowdown of all work for each request held per core beyond `thrash_at`.
    pub thrash: f64,
    /// Requests held per core above which `thrash` applies.
    pub thrash_at: f64,
    /// The share of its capacity that a cold app server starts with.
    pub cold_from: f64,
    /// The duration of the warm-up.
    pub warm_s: f64,
    /// The share of work saved if the key is cached.
    pub key_gain: f64,
    /// How long a key stays cached after its last use.
    pub key_s: f64,
    /// Cached keys per core.
    pub keys_per_core: u32,
    /// Mean interval between pauses; 0 for none.
    pub pause_every_s: f64,
    /// Mean length of a pause.
    pub pause_ms: f64,
    /// Share of requests that end in an error.
    pub error_rate: f64,
    /// An app server drops a cancelled attempt that is still queued.
    pub cancel_stops_work: bool,
    /// Network round trips to open a connection.
    pub handshake_rtts: f64,
    /// Work of a new connection at the app server.
    pub handshake_us: f64,
    /// Limit of open connections per core.
    pub connections_per_core: u32,
    /// The share of capacity lost when the connection limit is reached; proportionally less below it.
    pub full_tax: f64,
    /// Idle connections are closed after this time.
    pub idle_s: f64,
    /// Time-out for opening a connection.
    pub dial_ms: f64,
}

/// A machine kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineKind {
    /// Its share of the fleet.
    pub share: f64,
    /// Cores per app server.
    pub cores: u32,
    /// Its speed relative to the fleet's.
    #[serde(default = "one")]
    pub speed: f64,
}

/// The balancers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Balancers {
    /// Number of balancers, assigned to the zones round-robin.
    pub count: u32,
    /// CPU time available per second; 0 for unlimited.
    pub cpu_ms_per_s: f64,
    /// CPU time that one event takes.
    pub event_us: f64,
    /// The front detects the crash of a balancer after this time, minimum and maximum.
    pub notice_s: [f64; 2],
}

/// Discovery.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// How balancers get the list.
    pub mode: ListMode,
    /// Detection delay of a change that is reported to discovery, minimum and maximum.
    pub notice_s: [f64; 2],
    /// Detection delay of a change that is not reported, such as a crash, minimum and maximum.
    pub silent_notice_s: [f64; 2],
    /// Delay added to both.
    pub lag_s: f64,
    /// Largest additional delay until a balancer receives a change; it differs between balancers.
    pub spread_ms: f64,
    /// Calls answered per second; calls beyond that are queued.
    pub calls_per_s: f64,
    /// A call that is queued for longer fails.
    pub timeout_ms: f64,
    /// Polling interval of a balancer, in the mode `asked`.
    pub ask_every_s: f64,
}

/// How balancers get the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListMode {
    /// A watch that delivers changes until it is interrupted.
    #[default]
    Watched,
    /// Polling; each call returns the full list.
    Asked,
}

/// The network: one-way delays, without jitter.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Network {
    /// Within a zone.
    pub same_ms: f64,
    /// Between two zones.
    pub cross_ms: f64,
    /// Between a client and its balancer.
    pub client_ms: f64,
    /// Mean additional delay from queueing, as a share of the delay.
    pub jitter: f64,
}

/// Probes of app servers, if the rules allow them.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Probe {
    /// Work of a probe at the app server.
    pub work_us: f64,
    /// The probe waits in the queue and takes a slot like a request; otherwise it is answered at once.
    pub deep: bool,
    /// The time-out of a probe.
    pub timeout_ms: f64,
}

/// Load reports of app servers: the number of queued requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Report {
    /// Which answers carry reports.
    pub how: Reporting,
    /// The refresh interval.
    pub period_ms: f64,
    /// The delay from a refresh until its value is reported.
    pub delay_ms: f64,
    /// Coefficient of variation of the reported value.
    pub noise: f64,
}

/// Which answers carry load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reporting {
    /// None.
    #[default]
    Never,
    /// Answers to probes.
    Probes,
    /// All answers.
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
            mode: ListMode::Watched,
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
