//! The selection of a server: the least sum of LARD's three costs over the candidates of a service, with the hash order of
//! key and server id for equal sums.

use gradepaddle::cost::{balancing, locality, mix, order, replacement};

use crate::candidate::Candidate;
use crate::ejection::EjectionReason;
use crate::server::Server;
use crate::time::{Micros, from_ms};
use crate::version_deadline::VersionDeadline;

/// The cost of crossing zones in milliseconds: less than any miss, so that it only decides between holders.
const CROSS_ZONE_MS: f64 = 1.0;
/// The cost of a server whose version is older than the newest announced one, in milliseconds.
const OLDER_VERSION_MS: f64 = 20.0;
/// The cost of a server whose version is unknown, in milliseconds: nothing that it caches can be found again.
const UNKNOWN_VERSION_MS: f64 = 60.0;
/// What a prefill costs each request that runs at the server and is delayed by it, as a share of its duration.
const DELAYED_REQUEST_SHARE: f64 = 0.4;
/// A prefill up to this many milliseconds delays nobody for long, and is better done where its shared chunks are.
const SHORT_PREFILL_MS: f64 = 100.0;
/// A prefill that is expected to last for this share of the pause that streams see is one of those that cause it: inference
/// engines differ, and some prefill much more slowly than expected.
const PAUSING_PREFILL_SHARE: f64 = 0.4;
/// The cost of a longer decode, as a share of the additional time: its events come late, its first one does not.
const SLOW_DECODE_SHARE: f64 = 0.08;
/// The share of a server's memory that running requests may occupy before one is preempted.
const MAX_MEMORY_SHARE: f64 = 0.9;
/// Sums within this share of a miss are equal, between these bounds in milliseconds.
const QUANTUM_SHARE: f64 = 0.25;
const QUANTUM_RANGE_MS: [f64; 2] = [0.1, 4.0];

/// What one selection depends on. Times are in milliseconds unless said otherwise.
#[derive(Clone, Debug)]
pub(crate) struct CostTerms {
    /// The time, in microseconds.
    pub(crate) now: Micros,
    /// The prompt's key.
    pub(crate) key: u64,
    /// LARD's thresholds: below the first a wait is not felt, above the second a server counts as overloaded.
    pub(crate) idle: f64,
    pub(crate) overload: f64,
    /// What a miss of the shared prefix costs.
    pub(crate) miss: f64,
    /// Prefill of the request's own tokens at standard speed.
    pub(crate) prefill_ms: f64,
    /// Whether somebody is believed to have the shared prefix, so that it is transferred instead of computed.
    pub(crate) has_source: bool,
    /// A prefill of this duration pauses the streams beside it as long.
    pub(crate) pause_ms: f64,
    /// What such a pause costs for each of these streams.
    pub(crate) pause_cost: f64,
    /// Decode of the request's response without a prefill beside it.
    pub(crate) decode_ms: f64,
    /// Tokens of the request.
    pub(crate) tokens: f64,
    /// Tokens that a server's memory holds; 0 if unknown.
    pub(crate) memory_tokens: f64,
    /// The number of the request's model.
    pub(crate) model: Option<u32>,
    /// The newest version that was announced.
    pub(crate) newest_version: u64,
    /// The oldest version that requests may be placed on.
    pub(crate) lowest_version: u64,
    /// The versions of the model that become binding later.
    pub(crate) upcoming_versions: Vec<VersionDeadline>,
    /// How long before a deadline an attempt has to have started, in microseconds.
    pub(crate) start_margin: Micros,
    /// The zone of this node.
    pub(crate) zone: u16,
}

/// The result of a selection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Selection {
    /// The index of the selected candidate.
    pub(crate) candidate: usize,
    /// The version that its server is believed to have.
    pub(crate) version: Option<u64>,
    /// The share of the shared prefix that it is believed to have cached.
    pub(crate) cached_share: f64,
    /// Whether every sum was infinite.
    pub(crate) all_overloaded: bool,
    /// Whether no candidate that could be selected has a free slot.
    pub(crate) all_full: bool,
    /// The least Load among them.
    pub(crate) least_load_ms: f64,
}

/// The version of a request's model at a candidate that may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UsableVersion(Option<u64>);

/// What decides between candidates before their hash; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CostRank {
    /// Whether the request was tried there before.
    retried: bool,
    ejection: EjectionReason,
    overloaded: bool,
    /// The sum of the costs, or the Load where that is infinite, in quanta.
    cost: i64,
}

/// The order of candidates; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    cost: CostRank,
    hash_order: u64,
}

impl CostTerms {
    /// The version at a candidate; `None` if it may not be used.
    fn usable_version(&self, candidate: &Candidate, servers: &[Server]) -> Option<UsableVersion> {
        let Some(model) = self.model else { return Some(UsableVersion(None)) };
        let version = if candidate.model == model {
            candidate.version
        } else {
            servers[candidate.server as usize].version_of(model)
        };
        let is_allowed =
            self.lowest_version == 0 || version.is_some_and(|version| version >= self.lowest_version);
        (is_allowed && self.starts_in_time(candidate, version.unwrap_or(0))).then_some(UsableVersion(version))
    }

    /// Whether a request that waits there for as long as expected starts before the version is outdated.
    fn starts_in_time(&self, candidate: &Candidate, version: u64) -> bool {
        let expected = self.now + from_ms(self.load(candidate)) + self.start_margin;
        !self.upcoming_versions.iter().any(|newer| newer.version > version && newer.at < expected)
    }

    fn load(&self, candidate: &Candidate) -> f64 {
        // A long prompt takes longer at a slow server, and whoever follows it waits as long.
        f64::from(candidate.load_ms) + self.prefill_ms * (f64::from(candidate.slowness) - 1.0).max(0.0)
    }

    fn is_overloaded(&self, candidate: &Candidate, load: f64) -> bool {
        let is_out_of_memory = self.memory_tokens > 0.0
            && f64::from(candidate.tokens) + self.tokens > MAX_MEMORY_SHARE * self.memory_tokens;
        is_out_of_memory || balancing(load, self.idle, self.overload).is_infinite()
    }

    /// The sum of the three costs without its infinite part, and of what is charged besides.
    fn cost(&self, candidate: &Candidate, load: f64, cached_share: f64, version: Option<u64>) -> f64 {
        let wait = balancing(load, self.idle, f64::INFINITY);
        let delayed = (self.prefill_ms - SHORT_PREFILL_MS).max(0.0)
            * f64::from(candidate.running)
            * DELAYED_REQUEST_SHARE;
        let paused = self.pause_cost(candidate, load, cached_share);
        let slow_decode = self.decode_ms * f64::from(candidate.decode_slowdown) * SLOW_DECODE_SHARE;
        wait + delayed
            + paused
            + slow_decode
            + locality(self.miss, cached_share)
            + replacement(load, self.idle, self.miss, cached_share)
            + self.zone_cost(candidate, cached_share)
            + self.version_cost(version)
    }

    /// Of servers that would all miss, the home decides, wherever it is.
    fn zone_cost(&self, candidate: &Candidate, cached_share: f64) -> f64 {
        if candidate.zone == self.zone || cached_share <= 0.0 { 0.0 } else { CROSS_ZONE_MS }
    }

    fn version_cost(&self, version: Option<u64>) -> f64 {
        match version {
            _ if self.model.is_none() => 0.0,
            None => UNKNOWN_VERSION_MS,
            Some(version) if version < self.newest_version => OLDER_VERSION_MS,
            Some(_) => 0.0,
        }
    }

    /// What it costs the streams that run there if the server prefills for so long that they pause beyond their target.
    fn pause_cost(&self, candidate: &Candidate, load: f64, cached_share: f64) -> f64 {
        if self.pause_cost <= 0.0 {
            return 0.0;
        }
        let shared_ms = if self.has_source { 0.0 } else { self.miss * (1.0 - cached_share) };
        let prefills_for = load + (self.prefill_ms + shared_ms) * f64::from(candidate.slowness);
        if prefills_for < PAUSING_PREFILL_SHARE * self.pause_ms {
            return 0.0;
        }
        self.pause_cost * f64::from(candidate.running)
    }

    fn hash_order(&self, candidate: &Candidate) -> u64 {
        order(mix(candidate.hash ^ self.key), 1.0, true)
    }
}

/// Selects a candidate; `cached_shares` has the share of the shared prefix that each one is believed to have cached. A server
/// that was tried before is selected again only if no other one is left, and it is not ejected.
pub(crate) fn select(
    terms: &CostTerms,
    candidates: &[Candidate],
    cached_shares: &[f32],
    servers: &[Server],
    tried: &[u32],
) -> Option<Selection> {
    let quantum = (QUANTUM_SHARE * terms.miss).clamp(QUANTUM_RANGE_MS[0], QUANTUM_RANGE_MS[1]);
    let mut best: Option<(Rank, usize, Option<u64>)> = None;
    let mut all_full = true;
    let mut least_load_ms = f64::INFINITY;
    for (index, candidate) in candidates.iter().enumerate() {
        let Some(UsableVersion(version)) = terms.usable_version(candidate, servers) else { continue };
        let ejection = candidate.ejection_reason(terms.now);
        let retried = !tried.is_empty() && tried.contains(&candidate.server);
        if retried && ejection != EjectionReason::None {
            continue;
        }
        let load = terms.load(candidate);
        if ejection <= EjectionReason::Rejecting && !retried {
            all_full &= ejection == EjectionReason::Rejecting || candidate.running >= candidate.slots;
            least_load_ms = least_load_ms.min(load);
        }
        let overloaded = terms.is_overloaded(candidate, load);
        // If all sums are infinite, the least Load wins.
        let sum = if overloaded {
            load
        } else {
            terms.cost(candidate, load, f64::from(cached_shares[index]), version)
        };
        let cost = CostRank { retried, ejection, overloaded, cost: (sum / quantum + 0.5) as i64 };
        // The hash is computed only where the costs don't settle it already.
        if best.as_ref().is_some_and(|(least, ..)| cost > least.cost) {
            continue;
        }
        let rank = Rank { cost, hash_order: terms.hash_order(candidate) };
        if best.as_ref().is_none_or(|(least, ..)| rank < *least) {
            best = Some((rank, index, version));
        }
    }
    let (rank, candidate, version) = best?;
    Some(Selection {
        candidate,
        version,
        cached_share: f64::from(cached_shares[candidate]),
        all_overloaded: rank.cost.overloaded,
        // Where only ejected servers are left, nothing is known of a queue.
        all_full: all_full && least_load_ms.is_finite(),
        least_load_ms,
    })
}

/// The candidate that a key belongs to as long as all are idle: the first in hash order of those with this version.
pub(crate) fn home(
    terms: &CostTerms,
    candidates: &[Candidate],
    servers: &[Server],
    version: Option<u64>,
) -> Option<usize> {
    let is_suitable = |candidate: &Candidate| {
        candidate.ejected_until <= terms.now
            && terms.usable_version(candidate, servers) == Some(UsableVersion(version))
    };
    let suitable = candidates.iter().enumerate().filter(|(_, candidate)| is_suitable(candidate));
    suitable.min_by_key(|(_, candidate)| terms.hash_order(candidate)).map(|(index, _)| index)
}
