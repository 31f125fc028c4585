//! Leases: what a member grants, and how long the primary may act on the grants (Gray and Cheriton, Leases, 1989).

use std::collections::BTreeMap;

use crate::{Micros, ProposalNumber, ReplicaConfig, ReplicaId, View, time::MILLISECOND};

/// After this many heartbeats without a renewal of its lease the primary has lost its quorum.
const MAX_FAILED_RENEWALS: u32 = 4;

/// The right to act as the primary, granted by a majority.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The epoch in which the holder is primary.
    pub epoch: u64,
    /// When it expires, in microseconds of the holder's monotonic clock.
    pub until: Micros,
}

/// A lease on the side of the member that granted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GrantedLease {
    /// The promise under which it was granted.
    pub proposal_number: ProposalNumber,
    /// Until this time no other replica is promised anything.
    pub expires_at: Micros,
}

impl GrantedLease {
    /// Whether the grant forbids a promise to the candidate.
    pub fn blocks(&self, now: Micros, candidate: ReplicaId, released: Option<ProposalNumber>) -> bool {
        let released_by_holder = released.is_some_and(|proposal_number| {
            proposal_number.candidate == self.proposal_number.candidate
                && proposal_number.epoch >= self.proposal_number.epoch
        });
        now < self.expires_at && candidate != self.proposal_number.candidate && !released_by_holder
    }
}

/// What a member knows of its primary's clock: one heartbeat of that process, and when it arrived.
///
/// An epoch has one primary process, and its monotonic clock is never set: the time between the sending of two of its
/// heartbeats is the difference of the times that they carry, up to the clock drift.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PrimaryClock {
    /// The epoch of the heartbeat.
    pub epoch: u64,
    /// When it was sent, by the primary's clock.
    pub sent: Micros,
    /// When it arrived, by the member's clock.
    pub heard: Micros,
}

impl PrimaryClock {
    /// The latest time at which another heartbeat of the epoch was sent, by the member's clock. The rates of the clocks
    /// differ by at most one part in `drift`.
    pub fn sent_at(&self, sent: Micros, drift: u64) -> Micros {
        let elapsed = sent.saturating_sub(self.sent);
        self.heard + elapsed + elapsed.div_ceil(drift)
    }
}

/// What the primary knows of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerState {
    /// When the latest heartbeat was sent for which the member granted a lease.
    pub lease_sent: Option<Micros>,
    /// When a reply last arrived, or when the primary began to wait for one.
    pub last_heard: Micros,
    /// Whether any reply has arrived.
    pub has_replied: bool,
    /// Whether the member may hold data.
    pub healthy: bool,
    /// Whether the member is in a graceful shutdown.
    pub shutting_down: bool,
    /// The epoch of the view that the member would know to be active after a restart, 0 if there is none.
    pub active_epoch_durable: u64,
    /// Since when the member has been bound by a promise of a later epoch, or has lacked changes that it
    /// acknowledged.
    pub diverged_since: Option<Micros>,
}

/// A member that didn't reply in the campaign of a new primary counts as having been unresponsive for this long.
const UNRESPONSIVE_IN_CAMPAIGN: Micros = 1_300 * MILLISECOND;

impl PeerState {
    /// A member that hasn't replied yet.
    pub fn new(now: Micros) -> PeerState {
        PeerState {
            lease_sent: None,
            last_heard: now,
            has_replied: false,
            healthy: true,
            shutting_down: false,
            active_epoch_durable: 0,
            diverged_since: None,
        }
    }

    /// A member that was asked during the campaign of a new primary and didn't reply.
    pub fn unresponsive_in_campaign(now: Micros) -> PeerState {
        PeerState { last_heard: now.saturating_sub(UNRESPONSIVE_IN_CAMPAIGN), ..PeerState::new(now) }
    }

    /// Whether the member has replied within the timeout.
    pub fn is_live(&self, now: Micros, timeout: Micros) -> bool {
        self.has_replied && now < self.last_heard + timeout
    }
}

/// Counts consecutive heartbeats that didn't renew the lease.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LeaseRenewals {
    lease_until: Option<Micros>,
    failed: u32,
}

impl LeaseRenewals {
    /// Records that another heartbeat is due, and when the lease expires now.
    pub fn record(&mut self, lease_until: Option<Micros>) {
        let renewed = lease_until > self.lease_until;
        self.failed = if renewed { 0 } else { self.failed.saturating_add(1) };
        self.lease_until = lease_until;
    }

    /// Whether the primary has lost its quorum: its lease has expired, and heartbeats don't renew it.
    ///
    /// A process that was suspended has sent no heartbeats meanwhile, so it tries to renew first.
    pub fn quorum_lost(&self, now: Micros) -> bool {
        self.failed >= MAX_FAILED_RENEWALS && self.lease_until.is_none_or(|until| now >= until)
    }
}

/// When the lease of the primary expires: a majority, including itself, has granted it until then.
pub(crate) fn lease_until(
    config: &ReplicaConfig,
    view: &View,
    peers: &BTreeMap<ReplicaId, PeerState>,
) -> Option<Micros> {
    let needed = view.members.len() / 2;
    if needed == 0 {
        return Some(u64::MAX);
    }
    let others = view.members.iter().filter(|member| member.id != view.primary);
    let mut sent: Vec<u64> =
        others.filter_map(|member| peers.get(&member.id).and_then(|peer| peer.lease_sent)).collect();
    sent.sort_unstable_by(|left, right| right.cmp(left));
    sent.get(needed - 1).map(|sent| sent + config.lease_duration - config.lease_margin)
}
