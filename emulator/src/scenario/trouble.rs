//! What goes wrong, and when.

use serde::{Deserialize, Serialize};

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
