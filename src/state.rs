//! The state of a balancer and a stable hash function. No decisions are taken here.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::fmt::{self, Write as _};
use std::hash::{BuildHasherDefault, Hasher};

use crate::api::{Id, Micros, Outcome, ServerState, Settings};
use crate::processor_sharing::ProcessorSharing;

/// FNV-1a with a final mix. It has no random seed, so that all gateways and all runs hash alike.
#[derive(Clone)]
pub struct Fnv1a(u64);

impl Default for Fnv1a {
    fn default() -> Self {
        Fnv1a(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for Fnv1a {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    fn finish(&self) -> u64 {
        mix(self.0)
    }
}

pub type FnvMap<K, V> = HashMap<K, V, BuildHasherDefault<Fnv1a>>;

/// A bijective 64-bit mixing function (the finalizer of `MurmurHash3`).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

/// A hash of a string that is the same on all gateways and in all versions.
pub fn hash(text: &str) -> u64 {
    let mut hasher = Fnv1a::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// The load balancer of one gateway: it takes in events and returns actions.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng_state: u64,
    pub(crate) servers: Vec<Upstream>,
    pub(crate) server_slots: FnvMap<Id, usize>,
    /// Indices in `servers` that may be reused.
    pub(crate) free_slots: Vec<usize>,
    pub(crate) ready: Vec<usize>,
    /// Servers that the list calls ready but that have not proven it by an answer.
    pub(crate) unproven: Vec<usize>,
    /// The servers that each class may be sent to.
    pub(crate) eligible: Vec<Vec<usize>>,
    pub(crate) list_received: bool,
    pub(crate) requests: FnvMap<Id, Request>,
    pub(crate) reviews: BinaryHeap<Reverse<(Micros, u64, Id)>>,
    pub(crate) review_sequence: u64,
    pub(crate) next_wake: Micros,
    pub(crate) next_poll: Micros,
    pub(crate) failed_polls: u32,
    pub(crate) recent_keys: FnvMap<u64, KeyEntry>,
    pub(crate) older_keys: FnvMap<u64, KeyEntry>,
    pub(crate) class_stats: Vec<ClassStats>,
    pub(crate) tenant_tokens: Vec<(f64, Micros)>,
    pub(crate) max_worth: f64,
    pub(crate) hit_cost_ratio: f64,
    pub(crate) retry_budget: f64,
    pub(crate) last_refresh: Micros,
    pub(crate) mean_rate: f64,
    /// Mean expected wait over the servers eligible for each class.
    pub(crate) mean_wait: Vec<f64>,
    /// Whether all servers have the same size.
    pub(crate) uniform_sizes: bool,
    /// Consecutive failures by zone.
    pub(crate) zone_health: BTreeMap<u32, ZoneHealth>,
    /// Number of ready servers in each zone.
    pub(crate) zone_sizes: BTreeMap<u32, usize>,
    pub(crate) summaries: Vec<ServerSummary>,
    /// Odds of a failure, by server and class.
    pub(crate) failure_odds: Vec<f64>,
    /// The elapsed time of the last decay and its factors, cached since servers often share them.
    pub(crate) decay_factors: (Micros, [f64; 4]),
    pub(crate) fleet: FleetStats,
}

impl Balancer {
    /// Feeds the whole state into a hash, so that a state-space search recognizes states it has
    /// visited. The settings are left out since they never change. Equal states may hash differently
    /// (a map can iterate over the same entries in another order); different states hash alike only
    /// by collision.
    pub fn digest(&self, state: &mut impl Hasher) {
        // An exhaustive pattern, so that a new field does not compile until it is added here.
        let Balancer {
            settings: _,
            rng_state,
            servers,
            server_slots,
            free_slots,
            ready,
            unproven,
            eligible,
            list_received,
            requests,
            reviews,
            review_sequence,
            next_wake,
            next_poll,
            failed_polls,
            recent_keys,
            older_keys,
            class_stats,
            tenant_tokens,
            max_worth,
            hit_cost_ratio,
            retry_budget,
            last_refresh,
            mean_rate,
            mean_wait,
            uniform_sizes,
            zone_health,
            zone_sizes,
            summaries,
            failure_odds,
            decay_factors,
            fleet,
        } = self;
        let mut text = HashWriter(state);
        // Hashing text cannot fail.
        let _ = write!(
            text,
            "{rng_state} {servers:?}{server_slots:?}{free_slots:?}{ready:?}{unproven:?}{eligible:?}{list_received}"
        );
        let _ = write!(
            text,
            "{requests:?}{reviews:?}{review_sequence} {next_wake} {next_poll} {failed_polls} {recent_keys:?}{older_keys:?}"
        );
        let _ = write!(
            text,
            "{class_stats:?}{tenant_tokens:?}{max_worth} {hit_cost_ratio} {retry_budget} {last_refresh} {mean_rate} "
        );
        let _ = write!(
            text,
            "{mean_wait:?}{uniform_sizes}{zone_health:?}{zone_sizes:?}{summaries:?}{failure_odds:?}{decay_factors:?}{fleet:?}"
        );
    }
}

/// A text sink that feeds what is written into a hasher.
struct HashWriter<'a, H>(&'a mut H);

impl<H: Hasher> fmt::Write for HashWriter<'_, H> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// What this gateway knows about a server.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    pub id: Id,
    pub hash: u64,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub state: ServerState,
    /// Its listed size, and its size relative to the mean server's.
    pub size: f64,
    pub relative_size: f64,
    /// It answers, or nothing has contradicted the list yet.
    pub proven: bool,
    /// It has answered this gateway.
    pub answered: bool,
    /// When the list first reported it as gone or left it out without having reported it as draining.
    pub dropped_since: Option<Micros>,
    /// When an unproven server may be tried again, and how many times in a row it did not answer.
    pub next_trial: Micros,
    pub failed_trials: u32,
    /// Number of starts; cached keys are lost at each.
    pub incarnation: u32,
    pub started_at: Option<Micros>,
    /// When the last attempt was sent to it.
    pub last_sent: Micros,
    pub in_flight: u32,
    /// Expected work of this gateway's attempts in flight.
    pub own_work: f64,
    /// Running mean of `own_work`, over about one answer time per other gateway: the value is
    /// multiplied by the number of other gateways, so it is averaged over as many more samples.
    pub mean_own_work: f64,
    /// How many of this gateway's attempts that mean rests on.
    pub own_samples: f64,
    /// Estimated work that the other gateways have in flight there.
    pub others_work: f64,
    /// Work of attempts that ended without an answer and may still occupy the server; it decays.
    pub lost_work: f64,
    /// Recent failure share by class; decays to the class's share over all servers.
    pub failure_shares: Vec<f64>,
    /// Decaying number of attempts that have ended there.
    pub recent_outcomes: f64,
    /// Consecutive errors by class, up to a bound.
    pub consecutive_errors: Vec<u32>,
    pub decayed_at: Micros,
    /// Decaying sums behind the service rate: the work up to and including each attempt, and the
    /// time it took.
    pub observed_work: f64,
    pub observed_time: f64,
    /// The last answer, or the first attempt sent while none was in flight.
    pub last_response: Micros,
    /// Since when this gateway may have an idle connection to it.
    pub idle_since: Option<Micros>,
    /// Decaying work answered within about `Settings::cold_overload_time`.
    pub answered_work: f64,
    /// Time and work of attempts sent to a cold server within `Settings::cold_overload_time`.
    pub cold_sends: VecDeque<(Micros, f64)>,
}

/// Consecutive failures in a zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneHealth {
    /// Consecutive attempts without an answer, over all its servers.
    pub failures: u32,
    /// When it may be tried again.
    pub next_trial: Micros,
}

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub server: usize,
    pub incarnation: u32,
    pub sent_at: Micros,
    pub work: f64,
    pub observed_work: f64,
    /// Total work at the server when the attempt was sent, and its number of requests.
    pub work_at_server: (f64, f64),
    /// 0 for a certain cache miss, 1 for a likely hit, `None` if unknown. Indexes `FleetStats::pace`.
    pub cache_hit: Option<usize>,
    /// How long the gateway's connections to the server had been idle; 0 if they were not.
    pub connection_idle: Micros,
    pub outcome: Option<Outcome>,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub class: usize,
    pub key: u64,
    pub keyed: bool,
    pub work: f64,
    /// The work comes from the client's hint, not from the class's latency target.
    pub has_work_hint: bool,
    /// It may be executed only once, unless its class is safe.
    pub run_once: bool,
    pub value: f64,
    /// When the client gives up, and when an answer becomes worthless.
    pub deadline: Micros,
    pub useful_until: Micros,
    pub attempts: Vec<Attempt>,
    pub streaming: bool,
    pub finished: bool,
}

/// Which servers may get another attempt.
#[derive(Clone, Copy, PartialEq)]
pub enum RetryScope {
    Any,
    Zone(u32),
    Cell(u32),
    Forbidden,
}

#[derive(Clone, Debug, Default)]
pub struct ClassStats {
    /// Running minimum and mean of the time to an answer.
    pub min_latency: f64,
    pub mean_latency: f64,
    /// Recent failure share over all servers.
    pub failure_share: f64,
    /// Extra time that its answers take at all servers, beyond that of the fastest class.
    pub own_delay: f64,
    pub latency_target: f64,
    /// Attempts in flight, and the decaying number of those that servers have ended.
    pub in_flight: u32,
    pub recently_ended: f64,
    pub decayed_at: Micros,
    /// Mean work of its requests.
    pub mean_work: f64,
}

#[derive(Clone, Debug)]
pub struct CacheHolder {
    pub server: usize,
    pub incarnation: u32,
    pub last_used: Micros,
}

/// The values of a server that each selection reads.
#[derive(Clone, Debug, Default)]
pub struct ServerSummary {
    pub hash: u64,
    /// Expected wait.
    pub wait: f64,
    /// Work done per microsecond.
    pub rate: f64,
    pub relative_size: f64,
    pub zone: u32,
    pub cell: u32,
    /// Has its full capacity and is proven.
    pub warm_and_proven: bool,
}

/// A server that may get the attempt, with the terms of its cost.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub server: usize,
    pub hash_rank: u64,
    pub wait: f64,
    pub failure_cost: f64,
    pub load: f64,
    /// How likely the server has the key cached; whether it is one of the key's home servers, on which
    /// all gateways agree by hash; and whether it is in this gateway's key table.
    pub cached_probability: f64,
    pub is_home: bool,
    pub in_key_table: bool,
}

/// The servers believed to have a key cached, and its decaying number of arrivals here.
#[derive(Clone, Debug, Default)]
pub struct KeyEntry {
    pub holders: Vec<CacheHolder>,
    pub arrivals: f64,
    pub last_arrival: Micros,
}

pub struct Selection {
    pub server: usize,
    /// Whether the server is in this gateway's key table for the key.
    pub in_key_table: bool,
    /// How likely the server has the key cached.
    pub cached_probability: f64,
    pub wait: f64,
    /// Expected time to an answer.
    pub expected: f64,
    pub below_overload: bool,
}

/// Statistics over all servers, zero at the start.
#[derive(Clone, Debug, Default)]
pub struct FleetStats {
    pub mean_work: f64,
    /// Mean time per unit of work on an otherwise empty server, for cache misses and for hits.
    pub pace: [f64; 2],
    /// Decaying sums of `Upstream::observed_work` and `observed_time` over all servers, and the mean
    /// of an attempt's `observed_work`.
    pub observed: [f64; 2],
    pub mean_observed_work: f64,
    /// Whether servers process requests one after the other or concurrently.
    pub sharing: ProcessorSharing,
    /// Assumed work, done at a rate of 1, that outweighs the first observations of the rate.
    pub prior_work: f64,
    /// Mean of this gateway's work at a server, over a few answer times.
    pub mean_own_work: f64,
    /// Recent share of attempts that timed out.
    pub timeout_share: f64,
    /// Work that arrives at this gateway, per microsecond.
    pub offered_rate: f64,
    pub last_arrival: Micros,
    /// Decaying number of arrivals, with the same half-life as those of each key.
    pub arrivals: f64,
    /// Attempts answered and lost, by how long the connection had been idle before (buckets double).
    pub idle_gaps: [[f64; 2]; 8],
    pub arrivals_decayed_at: Micros,
    pub kind_rates: BTreeMap<u32, f64>,
    /// Sum and number of answer times per unit of work, by machine type.
    pub kind_paces: BTreeMap<u32, [f64; 2]>,
}
