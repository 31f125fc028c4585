//! What a balancer remembers: records and a fixed hash, no decisions.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::fmt::{self, Write as _};
use std::hash::{BuildHasherDefault, Hasher};

use crate::api::{Id, Micros, Outcome, ServerState, Settings};
use crate::processor_sharing::ProcessorSharing;

/// FNV-1a with a final mix: fixed, so that all gateways and all runs agree.
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

/// A bijective mix of 64 bits.
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    x ^ (x >> 33)
}

/// A hash of a text that is the same everywhere and in every version.
pub fn hash(text: &str) -> u64 {
    let mut hasher = Fnv1a::default();
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// One gateway's balancer.
#[derive(Clone, Debug, Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) rng_state: u64,
    pub(crate) servers: Vec<Upstream>,
    pub(crate) server_slots: FnvMap<Id, usize>,
    /// Places of servers that are forgotten.
    pub(crate) free_slots: Vec<usize>,
    pub(crate) ready: Vec<usize>,
    /// Ready by the list, but not by what they answer.
    pub(crate) unproven: Vec<usize>,
    /// The ready servers that each class may be sent to.
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
    /// Mean wait over the servers open to each class.
    pub(crate) mean_wait: Vec<f64>,
    /// All servers are of one size.
    pub(crate) uniform_sizes: bool,
    /// Zones from which nothing was heard since an attempt failed there.
    pub(crate) zone_health: BTreeMap<u32, ZoneHealth>,
    /// How many servers each zone has.
    pub(crate) zone_sizes: BTreeMap<u32, usize>,
    pub(crate) summaries: Vec<ServerSummary>,
    /// Failures by server and class, as odds.
    pub(crate) failure_odds: Vec<f64>,
    /// How much is kept over a time, as last asked for.
    pub(crate) decay_factors: (Micros, [f64; 4]),
    pub(crate) fleet: FleetStats,
}

impl Balancer {
    /// Feeds all that this balancer remembers into a hash, so that a search over orders of events knows
    /// states apart. Its settings are left out: they never change. Equal memories may come out unequal
    /// (where a table lists the same entries in another order), unequal ones never equal but for chance.
    pub fn digest(&self, state: &mut impl Hasher) {
        // Named one by one, so that a new field is not forgotten here.
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

/// Text that is hashed instead of kept.
struct HashWriter<'a, H>(&'a mut H);

impl<H: Hasher> fmt::Write for HashWriter<'_, H> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

/// What this gateway knows of a server.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    pub id: Id,
    pub hash: u64,
    pub zone: u32,
    pub kind: u32,
    pub cell: u32,
    pub state: ServerState,
    /// Its size, and that in sizes of a mean server.
    pub size: f64,
    pub relative_size: f64,
    /// Not known to be no server: it answers, or nothing has been sent to it yet.
    pub proven: bool,
    /// It has answered this gateway.
    pub answered: bool,
    /// Since when the list calls it gone, or names it no more, without having said that it drains.
    pub dropped_since: Option<Micros>,
    /// When an unproven server may be tried again, and how often in a row it did not answer.
    pub next_trial: Micros,
    pub failed_trials: u32,
    /// Counts starts: a key is held by one life of a server.
    pub incarnation: u32,
    pub started_at: Option<Micros>,
    /// The last send.
    pub last_sent: Micros,
    pub in_flight: u32,
    /// Expected work of my attempts that are out.
    pub own_work: f64,
    /// Its mean over about the time of one answer for each other gateway: the reading stands for
    /// so many others that it must be averaged over as many more.
    pub mean_own_work: f64,
    /// How many of my attempts stand behind that mean.
    pub own_samples: f64,
    /// Work that the other gateways are taken to have there.
    pub others_work: f64,
    /// Work of attempts that ended without an answer: it may still be there, and it fades.
    pub lost_work: f64,
    /// Share of failures lately, by class; fades to the class's share everywhere.
    pub failure_shares: Vec<f64>,
    /// How many attempts have ended there lately.
    pub recent_outcomes: f64,
    /// Errors in a row lately, by class.
    pub consecutive_errors: Vec<u32>,
    pub decayed_at: Micros,
    /// Sums behind the drain rate: work met and the time it took.
    pub observed_work: f64,
    pub observed_time: f64,
    /// The last answer, or the first send since nothing was out.
    pub last_response: Micros,
    /// Since when it may have an idle connection from here.
    pub idle_since: Option<Micros>,
    /// Work answered lately, over a fall window.
    pub answered_work: f64,
    /// What a cold server was sent within the fall window.
    pub cold_sends: VecDeque<(Micros, f64)>,
}

/// A zone that does not answer.
#[derive(Clone, Debug, Default)]
pub struct ZoneHealth {
    /// Failures in a row, at any of its servers.
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
    /// All the work ahead of it, and of how many requests.
    pub work_at_server: (f64, f64),
    /// A miss or a hit for sure.
    pub cache_hit: Option<usize>,
    /// How long its connection had been idle, if it was.
    pub connection_idle: Micros,
    pub outcome: Option<Outcome>,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub class: usize,
    pub key: u64,
    pub keyed: bool,
    pub work: f64,
    /// That work is its client's guess, not the mean of its class.
    pub has_work_hint: bool,
    /// It may run once only, unless its class is safe.
    pub run_once: bool,
    pub value: f64,
    /// When the client gives up, and when an answer stops being worth anything.
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
    /// Running low and mean of the time to an answer.
    pub min_latency: f64,
    pub mean_latency: f64,
    /// Share of its attempts that fail lately, at any server.
    pub failure_share: f64,
    /// What its answers take everywhere beyond what other classes' do.
    pub own_delay: f64,
    pub latency_target: f64,
    /// Attempts that are out, and those that servers ended lately.
    pub in_flight: u32,
    pub recently_ended: f64,
    pub decayed_at: Micros,
    /// Mean work of its requests, as hinted.
    pub mean_work: f64,
}

#[derive(Clone, Debug)]
pub struct CacheHolder {
    pub server: usize,
    pub incarnation: u32,
    pub last_used: Micros,
}

/// What each choice reads of a server.
#[derive(Clone, Debug, Default)]
pub struct ServerSummary {
    pub hash: u64,
    /// Expected wait.
    pub wait: f64,
    /// How fast it works.
    pub rate: f64,
    pub relative_size: f64,
    pub zone: u32,
    pub cell: u32,
    /// Neither cold nor unproven.
    pub warm_and_proven: bool,
}

/// A server that may take the request.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub server: usize,
    pub hash_rank: u64,
    pub wait: f64,
    pub failure_cost: f64,
    pub load: f64,
    /// How likely it holds the key, whether by agreement, and whether in this gateway's table.
    pub cached_probability: f64,
    pub is_home: bool,
    pub in_key_table: bool,
}

/// What is known of a key: who holds it, and how often it came here lately.
#[derive(Clone, Debug, Default)]
pub struct KeyEntry {
    pub holders: Vec<CacheHolder>,
    pub arrivals: f64,
    pub last_arrival: Micros,
}

pub struct Selection {
    pub server: usize,
    /// In this gateway's table for the key.
    pub in_key_table: bool,
    /// How likely the server is warm for the key.
    pub cached_probability: f64,
    pub wait: f64,
    /// Expected time to an answer.
    pub expected: f64,
    pub below_overload: bool,
}

/// Figures over all servers, zero at the start.
#[derive(Clone, Debug, Default)]
pub struct FleetStats {
    pub mean_work: f64,
    /// Mean time by work on an otherwise empty server, for hits and for misses.
    pub pace: [f64; 2],
    /// Sums over all servers like a server's own, and the mean work met.
    pub observed: [f64; 2],
    pub mean_observed_work: f64,
    /// How servers share their time among requests.
    pub sharing: ProcessorSharing,
    /// Work that stands for a rate of one until the first answers have told the rate.
    pub prior_work: f64,
    /// Mean of my work at a server, over the time of a few answers.
    pub mean_own_work: f64,
    /// Share of attempts lately that brought no answer in time.
    pub timeout_share: f64,
    /// Work that comes in here, by time.
    pub offered_rate: f64,
    pub last_arrival: Micros,
    /// Arrivals lately, faded as those of each key.
    pub arrivals: f64,
    /// Attempts answered and lost, by how long the connection had been idle.
    pub idle_gaps: [[f64; 2]; 8],
    pub arrivals_decayed_at: Micros,
    pub kind_rates: BTreeMap<u32, f64>,
    /// Sum and number of answer times by work, of each kind.
    pub kind_paces: BTreeMap<u32, [f64; 2]>,
}
