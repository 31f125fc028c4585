//! Leases: what a member grants, and how long the primary may act on what it was granted.

use std::collections::BTreeMap;

use crate::{ProposalNumber, ReplicaConfig, ReplicaId, View, config::MILLISECOND};

/// So many heartbeats without a renewal of the lease show that the primary has lost contact.
const MAX_FAILED_RENEWALS: u32 = 4;

/// The right to act as the primary, which a majority has granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lease {
    /// The epoch in which the holder leads.
    pub epoch: u64,
    /// Until when, in microseconds of the holder's steady clock.
    pub until: u64,
}

/// A lease as the member sees it that granted it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct GrantedLease {
    /// The promise under which it was granted.
    pub proposal_number: ProposalNumber,
    /// Until when nobody else is promised anything.
    pub expires_at: u64,
}

impl GrantedLease {
    /// Whether the grant forbids a promise to the candidate.
    pub fn blocks(&self, now: u64, candidate: ReplicaId, released: Option<ProposalNumber>) -> bool {
        let given_up = released.is_some_and(|proposal_number| {
            proposal_number.candidate == self.proposal_number.candidate
                && proposal_number.epoch >= self.proposal_number.epoch
        });
        now < self.expires_at && candidate != self.proposal_number.candidate && !given_up
    }
}

/// What a member knows of its primary's clock: a heartbeat of that one's process, and when it came.
///
/// A process leads in an epoch that no other process leads in, and its steady clock is never set, so what it sent later
/// in that epoch left later by as much as its clock says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PrimaryClock {
    /// The epoch of the heartbeat.
    pub epoch: u64,
    /// When it was sent, by the primary's clock.
    pub sent: u64,
    /// When it came, by the member's clock.
    pub heard: u64,
}

impl PrimaryClock {
    /// When another heartbeat of the epoch left at the latest, by the member's clock. The clocks differ in rate by one
    /// part in `drift` at the most.
    pub fn sent_at(&self, sent: u64, drift: u64) -> u64 {
        let later = sent.saturating_sub(self.sent);
        self.heard + later + later.div_ceil(drift)
    }
}

/// What the primary knows of another member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PeerState {
    /// When the latest heartbeat was sent for which the member granted a lease.
    pub lease_sent: Option<u64>,
    /// When an echo last came, or when the primary began to wait for one.
    pub last_heard: u64,
    /// Whether any echo has come.
    pub has_replied: bool,
    /// Whether the member may hold data.
    pub healthy: bool,
    /// Whether the member is about to end in good order.
    pub shutting_down: bool,
    /// The epoch of the view that the member would know to be active after a restart, 0 if there is none.
    pub active_epoch_durable: u64,
    /// Since when the member has been bound by a promise beyond the primary's, or has lacked changes that it had.
    pub diverged_since: Option<u64>,
}

/// A member that had no part in the campaign of a new primary counts as silent for this long already.
const UNRESPONSIVE_IN_CAMPAIGN: u64 = 1_300 * MILLISECOND;

impl PeerState {
    /// A member from which nothing has come yet.
    pub fn new(now: u64) -> PeerState {
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

    /// A member that was asked during the campaign of a new primary and hasn't answered.
    pub fn unresponsive_in_campaign(now: u64) -> PeerState {
        PeerState { last_heard: now.saturating_sub(UNRESPONSIVE_IN_CAMPAIGN), ..PeerState::new(now) }
    }

    /// Whether the member has answered within the span.
    pub fn is_live(&self, now: u64, span: u64) -> bool {
        self.has_replied && now < self.last_heard + span
    }
}

/// Heartbeats in a row that did not renew the lease.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LeaseRenewals {
    lease_until: Option<u64>,
    failed: u32,
}

impl LeaseRenewals {
    /// Notes that another heartbeat is due, and until when the lease runs by now.
    pub fn record(&mut self, lease_until: Option<u64>) {
        let renewed = lease_until > self.lease_until;
        self.failed = if renewed { 0 } else { self.failed.saturating_add(1) };
        self.lease_until = lease_until;
    }

    /// Whether the primary has lost contact: its lease has run out, and heartbeats don't bring it back.
    ///
    /// A primary that was frozen has sent none meanwhile and still tries.
    pub fn quorum_lost(&self, now: u64) -> bool {
        self.failed >= MAX_FAILED_RENEWALS && self.lease_until.is_none_or(|until| now >= until)
    }
}

/// Until when the primary may act: a majority, itself included, has granted it the lease.
pub(crate) fn lease_until(
    config: &ReplicaConfig,
    view: &View,
    peers: &BTreeMap<ReplicaId, PeerState>,
) -> Option<u64> {
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
