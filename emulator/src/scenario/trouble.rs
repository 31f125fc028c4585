//! Troubles: faults and load changes that a scenario injects.

use serde::{Deserialize, Serialize};

/// A trouble with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trouble {
    /// Start time.
    pub at_s: f64,
    /// Duration.
    #[serde(default)]
    pub for_s: f64,
    /// The kind of trouble, with its parameters.
    #[serde(flatten)]
    pub kind: TroubleKind,
}

/// The kinds of troubles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum TroubleKind {
    /// A few hot keys get this share of all traffic.
    HotKey {
        /// The share of traffic.
        share: f64,
        /// Number of hot keys.
        #[serde(default = "one_key")]
        keys: u32,
    },
    /// Traffic and the fleet shrink to this share, one app server after the other, and stay there.
    Shrink {
        /// The remaining share.
        to: f64,
        /// How long each removed app server drains.
        #[serde(default = "usual_drain")]
        drain_s: f64,
    },
    /// Additional app servers start, cold.
    Growth {
        /// Number of app servers.
        servers: u32,
    },
    /// Discovery is unreachable.
    DiscoveryDown {},
    /// Changes of the list are delayed further.
    DiscoveryStale {
        /// The additional delay.
        lag_s: f64,
    },
    /// The list says that a share of the app servers is gone, though they are up.
    DiscoveryWrong {
        /// The share of app servers.
        share: f64,
    },
    /// A share of the balancers crashes, and restarts at the end of the trouble with only its last list.
    BalancerCrash {
        /// The share of balancers.
        share: f64,
    },
    /// Planned restarts of balancers, one after the other.
    BalancerRestart {
        /// The share of balancers.
        share: f64,
    },
    /// App servers crash; at the end of the trouble others replace them, under new ids.
    ServerCrash {
        /// Number of app servers.
        #[serde(default = "one_key")]
        servers: u32,
    },
    /// App servers stop working but keep their requests and connections.
    Hang {
        /// Number of app servers.
        #[serde(default = "one_key")]
        servers: u32,
    },
    /// App servers answer a share of requests immediately with an error.
    Errors {
        /// Number of app servers.
        #[serde(default = "one_key")]
        servers: u32,
        /// The share of requests.
        #[serde(default = "one")]
        rate: f64,
    },
    /// App servers are slower.
    Slow {
        /// Number of app servers.
        #[serde(default = "one_key")]
        servers: u32,
        /// The factor by which they are slower.
        factor: f64,
    },
    /// Another program periodically takes a part of a machine's CPU.
    Neighbour {
        /// Number of machines.
        #[serde(default = "one_key")]
        servers: u32,
        /// The share of the CPU that it takes.
        takes: f64,
        /// It runs for this long, then stops for this long, alternately.
        every_s: f64,
    },
    /// Some requests of one class take many times the usual work, and hints don't show it.
    HeavyTail {
        /// The class's name.
        class: String,
        /// The share of the class's requests.
        share: f64,
        /// The factor on their work.
        factor: f64,
    },
    /// The connections of a share of attempts are reset.
    Resets {
        /// The share of attempts.
        rate: f64,
    },
    /// A zone is isolated from all others.
    ZoneCut {
        /// The zone's index.
        zone: u32,
    },
    /// All traffic between two zones is lost.
    LinkLost {
        /// One zone's index.
        from: u32,
        /// The other zone's index.
        to: u32,
    },
    /// All app servers of a zone crash, and start again cold at the same time at the end of the trouble.
    ZoneRestart {
        /// The zone's index.
        zone: u32,
    },
    /// Clients retry immediately, up to this many times, after every outcome that the class allows to retry.
    RetryStorm {
        /// Number of retries.
        retries: u32,
    },
    /// The rate of arrivals is multiplied.
    Surge {
        /// The factor.
        factor: f64,
    },
    /// A rolling replacement of the whole fleet in batches: each app server drains and stops, and a new one
    /// starts cold.
    Rolling {
        /// App servers per batch.
        #[serde(default = "one_key")]
        batch: u32,
        /// How long each app server drains.
        #[serde(default = "usual_drain")]
        drain_s: f64,
    },
}

impl TroubleKind {
    /// Its name in scenario files and results.
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
