//! Selects a server for a request: the candidate of its service with the lowest sum of LARD's three costs and some further
//! ones. Rendezvous hashing of key and server id decides between equal sums.

use gradepaddle::cost::{balancing, locality, mix, order, replacement};

use crate::candidate::Candidate;
use crate::ejection::EjectionReason;
use crate::server::Server;
use crate::time::{Micros, from_ms};
use crate::version_deadline::VersionDeadline;

/// The cost of a server in another zone, in milliseconds: less than any miss, so that it only decides between holders.
const CROSS_ZONE_COST_MS: f64 = 1.0;
/// The cost of a server whose version is older than the newest announced one, in milliseconds.
const OLDER_VERSION_COST_MS: f64 = 20.0;
/// The cost of a server whose version is unknown, in milliseconds: chunks that it caches can not be reused.
const UNKNOWN_VERSION_COST_MS: f64 = 60.0;
/// The cost of a prefill for each request that runs at the server and is delayed by it, as a share of the prefill's duration.
const DELAY_COST_SHARE: f64 = 0.4;
/// A prefill of up to this many milliseconds delays other requests only briefly, and should run where its shared chunks are.
const SHORT_PREFILL_MS: f64 = 100.0;
/// A prefill is assumed to cause a pause of running streams if its expected duration is at least this share of the learned
/// pause. The share is below 1 because inference engines differ, and some prefill much more slowly than expected.
const PAUSING_PREFILL_SHARE: f64 = 0.4;
/// The cost of a slower decode, as a share of the additional time: it delays the later events of the response, but not the
/// first one.
const SLOW_DECODE_COST_SHARE: f64 = 0.08;
/// The share of a server's memory that running requests may occupy before one is preempted.
const MAX_MEMORY_SHARE: f64 = 0.9;
/// The quantum that sums of costs are rounded to, as a share of the cost of a miss, and its bounds in milliseconds. Sums that
/// round to the same multiple are equal.
const QUANTUM_SHARE: f64 = 0.25;
const QUANTUM_RANGE_MS: [f64; 2] = [0.1, 4.0];

/// The terms of the costs of one selection. Times are in milliseconds unless stated otherwise.
#[derive(Clone, Debug)]
pub(crate) struct CostTerms {
    /// The time, in microseconds.
    pub(crate) now: Micros,
    /// The prompt's key.
    pub(crate) key: u64,
    /// LARD's load thresholds: below the first a wait costs nothing, above the second a server counts as overloaded.
    pub(crate) idle_ms: f64,
    pub(crate) overload_ms: f64,
    /// The cost of a miss of the shared prefix.
    pub(crate) miss_ms: f64,
    /// Prefill of the request's own tokens at standard speed.
    pub(crate) prefill_ms: f64,
    /// Whether some holder is believed to have the shared prefix, so that it can be transferred instead of computed.
    pub(crate) has_source: bool,
    /// The pause that streams beside a long prefill are expected to see; a prefill of this duration causes it.
    pub(crate) stream_pause_ms: f64,
    /// The cost of such a pause for each of these streams.
    pub(crate) paused_stream_cost_ms: f64,
    /// Decode of the request's response without a prefill beside it.
    pub(crate) decode_ms: f64,
    /// Tokens of the request.
    pub(crate) tokens: f64,
    /// Tokens that a server's memory holds; 0 if unknown.
    pub(crate) memory_tokens: f64,
    /// The interned number of the request's model.
    pub(crate) model: Option<u32>,
    /// The newest version that was announced.
    pub(crate) newest_version: u64,
    /// The oldest version that requests may be placed on.
    pub(crate) lowest_version: u64,
    /// The versions of the model that become binding later.
    pub(crate) upcoming_versions: Vec<VersionDeadline>,
    /// How long before a version's deadline an attempt has to have started, in microseconds.
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
    /// The lowest Load among the candidates that could be selected.
    pub(crate) least_load_ms: f64,
}

/// The version of the request's model at a candidate that may be selected; `None` if no version is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UsableVersion(Option<u64>);

/// The criteria that decide between candidates before their hash order, most significant first; lower is better.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CostRank {
    /// Whether an earlier attempt of the request was sent there.
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

    /// Whether a request that waits there for as long as expected starts before the version is outdated, by the start margin.
    fn starts_in_time(&self, candidate: &Candidate, version: u64) -> bool {
        let expected = self.now + from_ms(self.load(candidate)) + self.start_margin;
        !self.upcoming_versions.iter().any(|newer| newer.version > version && newer.at < expected)
    }

    /// The candidate's Load, plus the additional time that the request's prefill takes there if the server is slow.
    fn load(&self, candidate: &Candidate) -> f64 {
        // At a slow server, a long prompt takes longer, and later requests wait as much longer.
        f64::from(candidate.load_ms) + self.prefill_ms * (f64::from(candidate.slowness) - 1.0).max(0.0)
    }

    fn is_overloaded(&self, candidate: &Candidate, load: f64) -> bool {
        let is_out_of_memory = self.memory_tokens > 0.0
            && f64::from(candidate.tokens) + self.tokens > MAX_MEMORY_SHARE * self.memory_tokens;
        is_out_of_memory || balancing(load, self.idle_ms, self.overload_ms).is_infinite()
    }

    /// The sum of LARD's three costs and the further ones. It is finite: overload, which LARD makes an infinite cost, is
    /// tested by [`Self::is_overloaded`].
    fn cost(&self, candidate: &Candidate, load: f64, cached_share: f64, version: Option<u64>) -> f64 {
        let wait = balancing(load, self.idle_ms, f64::INFINITY);
        let delayed =
            (self.prefill_ms - SHORT_PREFILL_MS).max(0.0) * f64::from(candidate.running) * DELAY_COST_SHARE;
        let paused = self.pause_cost(candidate, load, cached_share);
        let slow_decode = self.decode_ms * f64::from(candidate.decode_slowdown) * SLOW_DECODE_COST_SHARE;
        wait + delayed
            + paused
            + slow_decode
            + locality(self.miss_ms, cached_share)
            + replacement(load, self.idle_ms, self.miss_ms, cached_share)
            + self.zone_cost(candidate, cached_share)
            + self.version_cost(version)
    }

    /// The cost of another zone, only where chunks are cached. Among servers that would all miss, the key's home is selected
    /// in whichever zone it is.
    fn zone_cost(&self, candidate: &Candidate, cached_share: f64) -> f64 {
        if candidate.zone == self.zone || cached_share <= 0.0 { 0.0 } else { CROSS_ZONE_COST_MS }
    }

    fn version_cost(&self, version: Option<u64>) -> f64 {
        match version {
            _ if self.model.is_none() => 0.0,
            None => UNKNOWN_VERSION_COST_MS,
            Some(version) if version < self.newest_version => OLDER_VERSION_COST_MS,
            Some(_) => 0.0,
        }
    }

    /// The cost of the pauses of the streams that run there, if the server would prefill for so long that they may miss their
    /// event gap target.
    fn pause_cost(&self, candidate: &Candidate, load: f64, cached_share: f64) -> f64 {
        if self.paused_stream_cost_ms <= 0.0 {
            return 0.0;
        }
        let shared_ms = if self.has_source { 0.0 } else { self.miss_ms * (1.0 - cached_share) };
        let prefilling_ms = load + (self.prefill_ms + shared_ms) * f64::from(candidate.slowness);
        if prefilling_ms < PAUSING_PREFILL_SHARE * self.stream_pause_ms {
            return 0.0;
        }
        self.paused_stream_cost_ms * f64::from(candidate.running)
    }

    /// The rank of a candidate by rendezvous hashing of key and server id.
    fn hash_order(&self, candidate: &Candidate) -> u64 {
        order(mix(candidate.hash ^ self.key), 1.0, true)
    }
}

/// Selects a candidate; `cached_shares` has the share of the shared prefix that each one is believed to have cached. A server
/// in `tried` is selected again only if no other one is left and it is not ejected.
pub(crate) fn select(
    terms: &CostTerms,
    candidates: &[Candidate],
    cached_shares: &[f32],
    servers: &[Server],
    tried: &[u32],
) -> Option<Selection> {
    let quantum = (QUANTUM_SHARE * terms.miss_ms).clamp(QUANTUM_RANGE_MS[0], QUANTUM_RANGE_MS[1]);
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
        // Overloaded candidates have an infinite sum of costs; among them, the lowest Load wins.
        let sum = if overloaded {
            load
        } else {
            terms.cost(candidate, load, f64::from(cached_shares[index]), version)
        };
        let cost = CostRank { retried, ejection, overloaded, cost: (sum / quantum + 0.5) as i64 };
        // The hash is computed only if the costs do not decide already.
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
        // If only ejected servers are left, the length of their queues is unknown.
        all_full: all_full && least_load_ms.is_finite(),
        least_load_ms,
    })
}

/// The home of a key, which serves it as long as all candidates are idle: the first in hash order of the candidates that have
/// this version and are not ejected.
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
