//! What a run is made of: read from TOML, each figure with its unit in its name and a default from the
//! operators' brief.

use std::fmt;

use gradepaddle::{Class, Effect, Group, Micros, Settings, Tenant};
use serde::{Deserialize, Serialize};

/// A whole scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Its name in reports.
    pub name: String,
    /// What it is about, in a line.
    pub about: String,
    /// How long it lasts.
    pub day: Day,
    /// The app servers.
    pub fleet: Fleet,
    /// The balancers.
    pub balancers: Balancers,
    /// What is asked, and how often.
    pub load: Load,
    /// What clients do.
    pub clients: Clients,
    /// Discovery.
    pub discovery: Discovery,
    /// The network.
    pub network: Network,
    /// Probes of app servers.
    pub probe: Probe,
    /// What app servers tell of their load.
    pub report: Report,
    /// What balancers are allowed, and the rules in figures.
    pub rules: Rules,
    /// How the result is counted.
    pub goal: Goal,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<ClassOf>,
    /// Branches and their shares.
    #[serde(rename = "branch")]
    pub branches: Vec<Branch>,
    /// What goes wrong, and when.
    #[serde(rename = "trouble")]
    pub troubles: Vec<Trouble>,
}

/// How long a run lasts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Day {
    /// Requests come for so long.
    pub length_s: f64,
    /// What comes before this is served but not counted.
    pub warm_up_s: f64,
}

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

/// What is asked.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// The share of what the fleet can do, counted without warm keys, that is asked for.
    pub of_capacity: f64,
    /// Instead of that: requests a second.
    pub per_second: Option<f64>,
    /// How the rate goes over the day.
    pub shape: Course,
    /// How far it swings round its mean.
    pub swing: f64,
    /// One swing takes so long.
    pub swing_s: f64,
    /// How much more the first zone gets than the last.
    pub zone_skew: f64,
    /// Distinct keys.
    pub keys: u32,
    /// How uneven they are (Zipf's exponent).
    pub key_zipf: f64,
    /// What branches may ask for, as a share of what the fleet can do.
    pub quota_of_capacity: f64,
    /// What a request beyond its branch's share is worth.
    pub over_share_worth: f64,
    /// Clients guess the work of a request, off by this coefficient of variation; without it they don't.
    pub hint_cv: Option<f64>,
}

/// How the rate goes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Course {
    /// The same throughout.
    #[default]
    Steady,
    /// From half of its mean to half as much again.
    Ramp,
}

/// What clients do.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Clients {
    /// Retries of their own.
    pub retries: u32,
    /// A try is given up after this share of the class's deadline.
    pub try_share: f64,
    /// They wait so long before they try again.
    pub backoff_ms: f64,
    /// The share that stays away for as long as a refusal asks.
    pub honour: f64,
    /// The share of tries whose client leaves at some moment before it would have given up.
    pub leaves: f64,
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

/// What balancers are allowed, and the rules in figures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Attempts for a request.
    pub max_attempts: u32,
    /// A second copy may be out, where the class allows a repeat.
    pub second_copies: bool,
    /// Attempts may be withdrawn.
    pub cancel: bool,
    /// App servers may be probed.
    pub probes: bool,
    /// Nothing new goes to an app server so long after the balancer was told that it drains or is gone.
    pub drain_grace_ms: f64,
    /// What balancers are told of cold app servers: the least they start with.
    pub cold_from: f64,
    /// And the longest that they take.
    pub warm_within_s: f64,
    /// Sent more than this many times what it can do ...
    pub fall_multiple: f64,
    /// ... over this long, a cold app server falls over.
    pub fall_s: f64,
    /// The longest pause that a refused client is told.
    pub max_pause_ms: f64,
    /// An answer may come so long after its client gave up.
    pub slack_ms: f64,
}

/// How a result is counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Goal {
    /// Weight of the whole day.
    pub whole: f64,
    /// Weight of its worst window.
    pub worst_window: f64,
    /// Weight of the worst-served class.
    pub worst_class: f64,
    /// Weight of the worst-served branch, within its share.
    pub worst_branch: f64,
    /// How long a window is.
    pub window_s: u32,
    /// Price of all failing only after its aim.
    pub late_fail: f64,
    /// Price of each request crossing zones once.
    pub cross_zone: f64,
    /// Price of as much work wasted as was asked for.
    pub waste: f64,
    /// Price of one probe for each request.
    pub probe: f64,
    /// What makes one request of a class worth more than another.
    pub worth_by: WorthBy,
}

/// What makes one request of a class worth more than another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorthBy {
    /// Nothing.
    #[default]
    Request,
    /// Its work.
    Work,
}

/// How heavy a tail is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Shape {
    /// None: all are the same.
    Fixed,
    /// Lognormal.
    #[default]
    Lognormal,
    /// Exponential, whatever the coefficient of variation.
    Exp,
    /// Pareto.
    Pareto,
}

/// May a class's requests run more than once?
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// Repeats are harmless.
    Safe,
    /// A repeat has no effect within the group of app servers that ran it first, for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// App servers that know of each other's keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Within {
    /// All of them.
    #[default]
    All,
    /// Those of a zone.
    Zone,
    /// Those of a cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassOf {
    /// Its name.
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
    /// What one takes on a standard core, in the mean, without a warm key.
    pub work_ms: f64,
    /// How that is spread.
    #[serde(default)]
    pub shape: Shape,
    /// Its coefficient of variation.
    #[serde(default)]
    pub cv: f64,
    /// That of one attempt beside the next.
    #[serde(default)]
    pub attempt_cv: f64,
    /// One waits on others for so long while it holds its slot.
    #[serde(default)]
    pub io_ms: f64,
    /// Wanted within this.
    pub aim_ms: f64,
    /// Given up after this.
    pub deadline_ms: f64,
    /// What one is worth.
    pub worth: f64,
    /// May it run again?
    pub effect: Repeats,
    /// Where a keyed one may.
    #[serde(default)]
    pub group: Within,
    /// And for how long after its first attempt was sent.
    #[serde(default)]
    pub window_ms: f64,
}

/// A branch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Branch {
    /// Its name.
    pub name: String,
    /// Its share of what the fleet can do.
    pub share: f64,
    /// What it asks for, beside its share.
    #[serde(default = "one")]
    pub usage: f64,
}

/// What goes wrong, and when.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trouble {
    /// From when on.
    pub at_s: f64,
    /// For how long.
    #[serde(default)]
    pub for_s: f64,
    /// What.
    #[serde(flatten)]
    pub kind: TroubleKind,
}

/// The troubles by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TroubleKind {
    /// A few keys draw this share of all traffic.
    HotKey {
        /// That share.
        share: f64,
        /// How many keys.
        #[serde(default = "one_key")]
        keys: u32,
    },
    /// Traffic falls and the fleet shrinks to this share, one app server after the other; both stay there.
    Shrink {
        /// What is left.
        to: f64,
        /// How long each of those that go drains.
        #[serde(default = "usual_drain")]
        drain_s: f64,
    },
    /// So many app servers more start, cold.
    Growth {
        /// How many.
        servers: u32,
    },
    /// Discovery is out of reach.
    DiscoveryDown {},
    /// The list runs further behind by this.
    DiscoveryStale {
        /// By so much.
        lag_s: f64,
    },
    /// The list calls this share of the fleet gone, though it is not.
    DiscoveryWrong {
        /// How much of it.
        share: f64,
    },
    /// This share of the balancers dies, and comes back when it is over with its last list only.
    BalancerCrash {
        /// How many of them.
        share: f64,
    },
    /// Balancers are restarted one after the other as planned.
    BalancerRestart {
        /// How many of them.
        share: f64,
    },
    /// App servers die; others replace them, under new ids, when it is over.
    ServerCrash {
        /// How many.
        #[serde(default = "one_key")]
        servers: u32,
    },
    /// App servers stop working but hold what they have.
    Hang {
        /// How many.
        #[serde(default = "one_key")]
        servers: u32,
    },
    /// App servers answer this share with an error at once.
    Errors {
        /// How many.
        #[serde(default = "one_key")]
        servers: u32,
        /// That share.
        #[serde(default = "one")]
        rate: f64,
    },
    /// App servers are slower by a factor.
    Slow {
        /// How many.
        #[serde(default = "one_key")]
        servers: u32,
        /// The factor.
        factor: f64,
    },
    /// Another program takes a part of a machine, on and off.
    Neighbour {
        /// How many machines.
        #[serde(default = "one_key")]
        servers: u32,
        /// That part.
        takes: f64,
        /// It is there for so long, and then away for so long.
        every_s: f64,
    },
    /// Some requests of one class cost many times the usual, and no hint says so.
    HeavyTail {
        /// The class's name.
        class: String,
        /// How many of them.
        share: f64,
        /// How many times the usual.
        factor: f64,
    },
    /// This share of attempts is reset on its way.
    Resets {
        /// That share.
        rate: f64,
    },
    /// Nothing gets into or out of a zone.
    ZoneCut {
        /// Which.
        zone: u32,
    },
    /// All between two zones is lost.
    LinkLost {
        /// One.
        from: u32,
        /// The other.
        to: u32,
    },
    /// All app servers of a zone die, and come back cold at once when it is over.
    ZoneRestart {
        /// Which.
        zone: u32,
    },
    /// Clients try again this many times, at once, whatever happened that they may repeat.
    RetryStorm {
        /// How many.
        retries: u32,
    },
    /// Traffic is this many times the usual.
    Surge {
        /// How many.
        factor: f64,
    },
    /// The whole fleet is replaced, so many at a time: each drains, goes, and a new one starts cold.
    Rolling {
        /// How many at a time.
        #[serde(default = "one_key")]
        batch: u32,
        /// How long each drains.
        #[serde(default = "usual_drain")]
        drain_s: f64,
    },
}

impl TroubleKind {
    /// Its name.
    pub fn name(&self) -> &'static str {
        match self {
            TroubleKind::HotKey { .. } => "hot_key",
            TroubleKind::Shrink { .. } => "shrink",
            TroubleKind::Growth { .. } => "growth",
            TroubleKind::DiscoveryDown {} => "discovery_down",
            TroubleKind::DiscoveryStale { .. } => "discovery_stale",
            TroubleKind::DiscoveryWrong { .. } => "discovery_wrong",
            TroubleKind::BalancerCrash { .. } => "balancer_crash",
            TroubleKind::BalancerRestart { .. } => "balancer_restart",
            TroubleKind::ServerCrash { .. } => "server_crash",
            TroubleKind::Hang { .. } => "hang",
            TroubleKind::Errors { .. } => "errors",
            TroubleKind::Slow { .. } => "slow",
            TroubleKind::Neighbour { .. } => "neighbour",
            TroubleKind::HeavyTail { .. } => "heavy_tail",
            TroubleKind::Resets { .. } => "resets",
            TroubleKind::ZoneCut { .. } => "zone_cut",
            TroubleKind::LinkLost { .. } => "link_lost",
            TroubleKind::ZoneRestart { .. } => "zone_restart",
            TroubleKind::RetryStorm { .. } => "retry_storm",
            TroubleKind::Surge { .. } => "surge",
            TroubleKind::Rolling { .. } => "rolling",
        }
    }
}

fn one() -> f64 {
    1.0
}

fn one_key() -> u32 {
    1
}

fn usual_drain() -> f64 {
    4.0
}

impl Default for Day {
    fn default() -> Self {
        Day { length_s: 48.0, warm_up_s: 1.0 }
    }
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

impl Default for Load {
    fn default() -> Self {
        Load {
            of_capacity: 0.5,
            per_second: None,
            shape: Course::Steady,
            swing: 0.28,
            swing_s: 20.0,
            zone_skew: 0.17,
            keys: 1300,
            key_zipf: 1.0,
            quota_of_capacity: 0.8,
            over_share_worth: 0.05,
            hint_cv: None,
        }
    }
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 3, try_share: 0.48, backoff_ms: 200.0, honour: 0.2, leaves: 0.0 }
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

impl Default for Rules {
    fn default() -> Self {
        Rules {
            max_attempts: 6,
            second_copies: true,
            cancel: true,
            probes: false,
            drain_grace_ms: 1000.0,
            cold_from: 0.36,
            warm_within_s: 7.7,
            fall_multiple: 3.0,
            fall_s: 2.0,
            max_pause_ms: 2000.0,
            slack_ms: 70.0,
        }
    }
}

impl Default for Goal {
    fn default() -> Self {
        Goal {
            whole: 0.35,
            worst_window: 0.35,
            worst_class: 0.2,
            worst_branch: 0.1,
            window_s: 10,
            late_fail: 0.05,
            cross_zone: 0.021,
            waste: 0.02,
            probe: 0.01,
            worth_by: WorthBy::Request,
        }
    }
}

/// The classes of the operators' brief.
pub fn usual_classes() -> Vec<ClassOf> {
    let class =
        |name: &str, share, work_ms, shape, cv, attempt_cv, aim_ms, deadline_ms, worth, effect| ClassOf {
            name: name.into(),
            share,
            work_ms,
            shape,
            cv,
            attempt_cv,
            aim_ms,
            deadline_ms,
            worth,
            effect,
            io_ms: 0.0,
            group: Within::All,
            window_ms: 0.0,
        };
    vec![
        class("voorraad", 0.38, 92.0, Shape::Pareto, 2.1, 0.35, 1200.0, 5000.0, 1.0, Repeats::Safe),
        class("bestelling", 0.33, 95.0, Shape::Pareto, 2.1, 0.25, 2000.0, 6000.0, 2.0, Repeats::Unsafe),
        class("afrekening", 0.15, 107.0, Shape::Lognormal, 2.1, 0.37, 2000.0, 6000.0, 5.0, Repeats::Unsafe),
        class("bezorging", 0.14, 190.0, Shape::Lognormal, 2.1, 0.32, 2500.0, 6000.0, 5.0, Repeats::Unsafe),
    ]
}

/// The branches of the operators' brief.
pub fn usual_branches() -> Vec<Branch> {
    let shares = [
        ("utrecht", 0.44),
        ("amersfoort", 0.10),
        ("zwolle", 0.09),
        ("arnhem", 0.08),
        ("apeldoorn", 0.08),
        ("deventer", 0.07),
        ("ede", 0.07),
        ("hilversum", 0.07),
    ];
    shares.into_iter().map(|(name, share)| Branch { name: name.into(), share, usage: 1.0 }).collect()
}

/// What is wrong with a scenario, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The field, as in `fleet.servers`.
    pub field: String,
    /// What is wrong with it.
    pub why: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.field, self.why)
    }
}

impl std::error::Error for Fault {}

impl Scenario {
    /// Reads a scenario; faults name line, column and field.
    ///
    /// # Errors
    ///
    /// The text is no TOML of this format, or a field makes no sense ([`Scenario::check`]).
    pub fn parse(text: &str) -> Result<Scenario, String> {
        let mut scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string().trim_end().to_owned())?;
        if scenario.classes.is_empty() {
            scenario.classes = usual_classes();
        }
        if scenario.branches.is_empty() {
            scenario.branches = usual_branches();
        }
        scenario.check().map_err(|fault| match line_of(text, &fault.field) {
            Some(line) => format!("line {line}: {fault}"),
            None => fault.to_string(),
        })?;
        Ok(scenario)
    }

    /// The brief's deployment on an ordinary day.
    pub fn usual() -> Scenario {
        Scenario { classes: usual_classes(), branches: usual_branches(), ..Scenario::default() }
    }

    /// Says what makes no sense, if anything.
    ///
    /// # Errors
    ///
    /// The first field that lies outside its bounds or contradicts another one.
    pub fn check(&self) -> Result<(), Fault> {
        let above = |field: &str, value: f64, least: f64, most: f64| {
            if value.is_finite() && (least..=most).contains(&value) {
                return Ok(());
            }
            Err(Fault { field: field.into(), why: format!("{value} is not from {least} to {most}") })
        };
        let (fleet, load) = (&self.fleet, &self.load);
        above("day.length_s", self.day.length_s, 1.0, 86_400.0)?;
        above("day.warm_up_s", self.day.warm_up_s, 0.0, self.day.length_s)?;
        above("fleet.servers", f64::from(fleet.servers), 1.0, 50_000.0)?;
        above("fleet.zones", f64::from(fleet.zones), 1.0, 64.0)?;
        above("fleet.cores", f64::from(fleet.cores), 1.0, 1_024.0)?;
        above("fleet.speed", fleet.speed, 1e-3, 1e3)?;
        fleet.speeds.iter().try_for_each(|speed| above("fleet.speeds", *speed, 1e-3, 1e3))?;
        above("fleet.slots_per_core", f64::from(fleet.slots_per_core), 1.0, 1e4)?;
        above("fleet.cold_from", fleet.cold_from, 1e-3, 1.0)?;
        above("fleet.key_gain", fleet.key_gain, 0.0, 0.99)?;
        above("fleet.error_rate", fleet.error_rate, 0.0, 1.0)?;
        above("balancers.count", f64::from(self.balancers.count), 1.0, 1_000.0)?;
        above("load.of_capacity", load.of_capacity, 1e-3, 20.0)?;
        if let Some(rate) = load.per_second {
            above("load.per_second", rate, 1e-3, 1e7)?;
        }
        above("load.swing", load.swing, 0.0, 1.0)?;
        above("load.keys", f64::from(load.keys), 1.0, 1e7)?;
        above("load.key_zipf", load.key_zipf, 0.0, 5.0)?;
        above("clients.retries", f64::from(self.clients.retries), 0.0, 100.0)?;
        above("clients.try_share", self.clients.try_share, 0.01, 1.0)?;
        above("clients.honour", self.clients.honour, 0.0, 1.0)?;
        if let Some(cv) = load.hint_cv {
            above("load.hint_cv", cv, 0.0, 100.0)?;
        }
        above("probe.work_us", self.probe.work_us, 0.0, 1e9)?;
        above("probe.timeout_ms", self.probe.timeout_ms, 1e-3, 1e6)?;
        above("report.period_ms", self.report.period_ms, 1e-3, 1e6)?;
        above("report.delay_ms", self.report.delay_ms, 0.0, 1e6)?;
        above("report.noise", self.report.noise, 0.0, 10.0)?;
        above("rules.max_attempts", f64::from(self.rules.max_attempts), 1.0, 100.0)?;
        above("discovery.calls_per_s", self.discovery.calls_per_s, 1e-3, 1e6)?;
        for (at, class) in self.classes.iter().enumerate() {
            let field = |name: &str| format!("class[{at}].{name}");
            above(&field("share"), class.share, 0.0, 1e6)?;
            above(&field("work_ms"), class.work_ms, 1e-3, 1e6)?;
            above(&field("aim_ms"), class.aim_ms, 1e-3, 1e6)?;
            above(&field("deadline_ms"), class.deadline_ms, class.aim_ms, 1e6)?;
            above(&field("worth"), class.worth, 0.0, 1e6)?;
            above(&field("io_ms"), class.io_ms, 0.0, 1e6)?;
            let least = if class.effect == Repeats::Keyed { 1e-3 } else { 0.0 };
            above(&field("window_ms"), class.window_ms, least, 1e6)?;
        }
        if self.classes.iter().map(|class| class.share).sum::<f64>() <= 0.0 {
            return Err(Fault { field: "class".into(), why: "no class has a share above 0".into() });
        }
        for (at, trouble) in self.troubles.iter().enumerate() {
            let field = |name: &str| format!("trouble[{at}].{name}");
            above(&field("at_s"), trouble.at_s, 0.0, self.day.length_s)?;
            above(&field("for_s"), trouble.for_s, 0.0, self.day.length_s)?;
            let zone =
                |name, zone: u32| above(&field(name), f64::from(zone), 0.0, f64::from(fleet.zones - 1));
            match &trouble.kind {
                TroubleKind::ZoneCut { zone: z } | TroubleKind::ZoneRestart { zone: z } => zone("zone", *z)?,
                TroubleKind::LinkLost { from, to } => zone("from", *from).and_then(|()| zone("to", *to))?,
                TroubleKind::HotKey { share, .. }
                | TroubleKind::DiscoveryWrong { share }
                | TroubleKind::BalancerCrash { share }
                | TroubleKind::BalancerRestart { share }
                | TroubleKind::Errors { rate: share, .. }
                | TroubleKind::Resets { rate: share } => above(&field("share or rate"), *share, 0.0, 1.0)?,
                TroubleKind::Shrink { to, .. } => above(&field("to"), *to, 0.01, 1.0)?,
                TroubleKind::Slow { factor, .. } | TroubleKind::Surge { factor } => {
                    above(&field("factor"), *factor, 0.01, 1_000.0)?;
                }
                TroubleKind::Neighbour { takes, every_s, .. } => {
                    above(&field("takes"), *takes, 0.0, 0.99)?;
                    above(&field("every_s"), *every_s, 0.01, 86_400.0)?;
                }
                TroubleKind::HeavyTail { class, share, factor } => {
                    above(&field("share"), *share, 0.0, 1.0)?;
                    above(&field("factor"), *factor, 0.01, 1_000.0)?;
                    if !self.classes.iter().any(|of| of.name == *class) {
                        return Err(Fault {
                            field: field("class"),
                            why: format!("no class is called {class:?}"),
                        });
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// What a balancer is told.
    pub fn settings(&self, me: u32) -> Settings {
        let class = |class: &ClassOf| Class {
            aim: millis(class.aim_ms),
            aim_stretch: 0.0,
            deadline: millis(class.deadline_ms),
            worth: class.worth,
            late_worth: 0.0,
            effect: match class.effect {
                Repeats::Safe => Effect::Safe,
                Repeats::Keyed => {
                    let group = match class.group {
                        Within::All => Group::All,
                        Within::Zone => Group::Zone,
                        Within::Cell => Group::Cell,
                    };
                    Effect::Keyed { group, window: millis(class.window_ms) }
                }
                Repeats::Unsafe => Effect::Unsafe,
            },
            zones: None,
            kinds: None,
        };
        let quotas = self.quotas();
        Settings {
            classes: self.classes.iter().map(class).collect(),
            tenants: quotas.into_iter().map(|quota| Tenant { quota }).collect(),
            over_share_worth: self.load.over_share_worth,
            worth_by_work: self.goal.worth_by == WorthBy::Work,
            zone: Some(me % self.fleet.zones),
            me,
            gateways: self.balancers.count,
            ask_discovery: true,
            ask_within: 10_000_000,
            warm_keys: self.fleet.key_gain > 0.0,
            cancel: self.rules.cancel,
            second_copies: self.rules.second_copies,
            probes: self.rules.probes,
            max_attempts: self.rules.max_attempts,
            max_pause: millis(self.rules.max_pause_ms),
            cold_from: self.rules.cold_from,
            warm_within: seconds(self.rules.warm_within_s),
            fall_multiple: self.rules.fall_multiple,
            fall_after: seconds(self.rules.fall_s),
            tick: 0,
            cross_zone_price: self.goal.cross_zone,
            ..Settings::default()
        }
    }

    /// Mean work of a request in microseconds, without a warm key.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes.iter().map(|class| class.share * class.work_ms * 1000.0).sum::<f64>() / shares
    }

    /// Work a second, in microseconds, that the fleet gets done when warm.
    pub fn capacity(&self) -> f64 {
        let (mut parts, mut shares) = (0.0, 0.0);
        for kind in &self.fleet.kinds {
            parts += kind.share * f64::from(kind.cores) * kind.speed;
            shares += kind.share;
        }
        let cores = if shares > 0.0 { parts / shares } else { f64::from(self.fleet.cores) };
        let speeds = &self.fleet.speeds;
        let given = speeds.iter().sum::<f64>() / speeds.len().max(1) as f64;
        let speed = if speeds.is_empty() { self.fleet.speed } else { given };
        f64::from(self.fleet.servers) * cores * speed * 1e6
    }

    /// Requests a second that the whole fleet could answer if no key were ever warm, which is what the
    /// operators' brief calls its capacity. With warm keys it can do up to twice as much.
    pub fn full_rate(&self) -> f64 {
        self.capacity() / self.mean_work()
    }

    /// Requests a second, in the mean.
    pub fn rate(&self) -> f64 {
        self.load.per_second.unwrap_or(self.load.of_capacity * self.full_rate())
    }

    /// Requests a second within each branch's share.
    pub fn quotas(&self) -> Vec<f64> {
        let all = self.load.quota_of_capacity * self.full_rate();
        self.branches.iter().map(|branch| (branch.share * all).max(1.0)).collect()
    }
}

/// Milliseconds of a scenario.
pub fn millis(ms: f64) -> Micros {
    // The cast saturates: negative and non-finite values become 0.
    (ms * 1000.0).round() as Micros
}

/// Seconds of a scenario.
pub fn seconds(s: f64) -> Micros {
    millis(s * 1000.0)
}

/// The line of a field such as `fleet.servers` or `class[1].share`, as far as it is written there.
fn line_of(text: &str, field: &str) -> Option<usize> {
    let (section, key) = field.rsplit_once('.')?;
    let (name, nth) = match section.split_once('[') {
        Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()?),
        None => (section, 0),
    };
    let (single, many) = (format!("[{name}]"), format!("[[{name}]]"));
    let mut seen = 0;
    let mut inside = false;
    for (at, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            inside = line == single || (line == many && seen == nth);
            seen += usize::from(line == many);
        }
        let named =
            line.split('=').next().is_some_and(|name| key.split(" or ").any(|key| name.trim() == key));
        if inside && named {
            return Some(at + 1);
        }
    }
    None
}

#[cfg(test)]
mod tests;
