//! How long this node may act on its configuration: evidence of which version was the newest, and when. No I/O.
//!
//! A revoked key has to stop working at every node within a bound, even at a node behind a network partition. So a node
//! accepts keys only while it has evidence, no older than the bound, that no configuration newer than its own had been
//! acknowledged. Only the primary can create such evidence, within its lease; other nodes pass theirs on with its age.
//! The time of the evidence is counted from when its query was sent, however long the reply took, so the clocks of two
//! nodes need not be synchronized.

use std::collections::BTreeMap;

use crate::Micros;

/// Interval between queries for evidence.
const QUERY_INTERVAL: Micros = 500_000;
/// Interval between queries while the evidence is stale, or there is none.
const STALE_QUERY_INTERVAL: Micros = 150_000;
/// Evidence older than this is stale: additional nodes are queried.
const STALE_AFTER: Micros = 1_500_000;
/// A reply that comes later than this after its query is ignored.
const QUERY_TIMEOUT: Micros = 5_000_000;
/// The maximum number of versions for which evidence is kept.
const MAX_VERSIONS: usize = 8;

/// Evidence that no configuration newer than `version` had been acknowledged, and how old that evidence is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NewestVersion {
    /// The version, 0 if there was no configuration.
    pub version: u64,
    /// The age of this evidence in microseconds.
    pub age: Micros,
}

/// The evidence that a node has, and the queries for more of it.
#[derive(Debug)]
pub struct StalenessBound {
    /// The maximum age of evidence; `None` if keys do not depend on evidence.
    bound: Option<Micros>,
    /// For each version, the latest time at which it was the newest.
    newest_at: BTreeMap<u64, Micros>,
    /// When each query without a reply was sent, by query id.
    sent_queries: BTreeMap<u64, Micros>,
    next_query_at: Micros,
}

impl StalenessBound {
    /// The state without any evidence. If `bound` is `None`, nothing is ever queried.
    pub fn new(bound: Option<Micros>, now: Micros) -> Self {
        StalenessBound {
            bound,
            newest_at: BTreeMap::new(),
            sent_queries: BTreeMap::new(),
            next_query_at: now,
        }
    }

    /// True if keys depend on evidence.
    pub fn is_required(&self) -> bool {
        self.bound.is_some()
    }

    /// Returns true if a query is due, and then schedules the next one.
    pub fn poll_query_due(&mut self, now: Micros) -> bool {
        let due = self.is_required() && now >= self.next_query_at;
        if due {
            self.next_query_at = now + if self.is_stale(now) { STALE_QUERY_INTERVAL } else { QUERY_INTERVAL };
            self.sent_queries.retain(|_, sent| now.saturating_sub(*sent) < QUERY_TIMEOUT);
        }
        due
    }

    /// When [`StalenessBound::poll_query_due`] is true next.
    pub fn next_wake(&self) -> Micros {
        if self.is_required() { self.next_query_at } else { Micros::MAX }
    }

    /// Records that a query was sent.
    pub fn query_sent(&mut self, now: Micros, query_id: u64) {
        self.sent_queries.insert(query_id, now);
    }

    /// True if the evidence is so old that additional nodes should be queried.
    pub fn is_stale(&self, now: Micros) -> bool {
        self.latest().is_none_or(|(_, at)| now.saturating_sub(at) > STALE_AFTER)
    }

    /// Handles the reply to a query. A reply to an unknown query changes nothing.
    pub fn handle_reply(&mut self, query_id: u64, newest: NewestVersion) {
        if let Some(sent) = self.sent_queries.remove(&query_id) {
            self.observe(sent.saturating_sub(newest.age), newest.version);
        }
    }

    /// Records that `version` was the newest version at the time `at`.
    pub fn observe(&mut self, at: Micros, version: u64) {
        let latest = self.newest_at.entry(version).or_insert(at);
        *latest = at.max(*latest);
        while self.newest_at.len() > MAX_VERSIONS {
            self.newest_at.pop_first();
        }
    }

    /// The latest evidence, for a node that queries this one.
    pub fn newest(&self, now: Micros) -> Option<NewestVersion> {
        let (version, at) = self.latest()?;
        Some(NewestVersion { version, age: now.saturating_sub(at) })
    }

    fn latest(&self) -> Option<(u64, Micros)> {
        self.newest_at.iter().map(|(version, at)| (*version, *at)).max_by_key(|(_, at)| *at)
    }

    /// Until when the keys of configuration `version` may be accepted; 0 without evidence. `None` if there is no bound.
    pub fn valid_until(&self, version: u64) -> Option<Micros> {
        let bound = self.bound?;
        let observed = self.newest_at.range(..=version).map(|(_, at)| *at);
        Some(observed.max().map_or(0, |at| at.saturating_add(bound)))
    }
}
