//! The primary of an active view: how its leadership starts and ends, and what it does meanwhile.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
};

use crate::{
    Change, ChangeCheck, KnownView, LogPosition, Micros, Outcome, Output, ProposalId, Replica, ReplicaId,
    View,
    joining::Joiner,
    lease::{LeaseRenewals, PeerState},
    proposals::Proposal,
    time::MILLISECOND,
};

/// Shortest time between two view changes.
pub(crate) const VIEW_CHANGE_INTERVAL: Micros = 200 * MILLISECOND;

/// The change that is being replicated.
#[derive(Debug)]
pub(crate) struct PendingChange {
    /// The proposal to answer; none once it has timed out.
    pub proposal_id: Option<ProposalId>,
    pub change: Change,
    pub position: LogPosition,
    pub since: Micros,
    pub durable: BTreeSet<ReplicaId>,
    pub next_send: Micros,
    /// How often it was sent to the backups.
    pub transmissions: u32,
}

/// What the primary of an active view keeps in memory.
#[derive(Debug)]
pub(crate) struct Leadership {
    pub epoch: u64,
    pub view: Arc<View>,
    /// The first epoch of this uninterrupted leadership: replies to heartbeats of earlier epochs are ignored.
    pub first_epoch: u64,
    pub peers: BTreeMap<ReplicaId, PeerState>,
    pub joiners: BTreeMap<ReplicaId, Joiner>,
    /// Removed members, which are notified that the view without them is active.
    pub removed: BTreeMap<ReplicaId, RemovedMember>,
    /// Replicas whose machine came back with an empty disk, as another replica.
    pub replaced: BTreeSet<ReplicaId>,
    pub pending: Option<PendingChange>,
    pub lease_renewals: LeaseRenewals,
    pub next_heartbeat: Micros,
    pub next_view_change: Micros,
}

/// A member that was removed from the view.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RemovedMember {
    pub address: SocketAddrV4,
    pub notify_until: Micros,
}

impl Replica {
    pub(crate) fn primary_deadline(&self) -> Option<Micros> {
        let leadership = self.leadership.as_ref()?;
        let sending = leadership.pending.as_ref().filter(|_| self.election.campaign.is_none());
        let resend = sending.map(|pending| pending.next_send);
        let lease_expiry = self.lease_until().filter(|until| *until > self.now());
        [Some(leadership.next_heartbeat), resend, lease_expiry].into_iter().flatten().min()
    }

    pub(crate) fn tick_primary(&mut self, out: &mut Vec<Output>) {
        if self.leadership.is_none() {
            return;
        }
        self.maybe_broadcast_heartbeat(out);
        self.process_queue(out);
        self.maybe_send_change(out);
        if !self.healthy() && self.transfer_target().is_some() {
            return self.transfer_leadership(out);
        }
        if self.disk.is_healthy(self.now()) {
            self.maybe_change_view(out);
        }
    }

    /// Becomes primary of the view, which is active from now on.
    ///
    /// `replied` are the members that replied in the campaign for it.
    pub(crate) fn become_primary(
        &mut self,
        view: Arc<View>,
        replied: &BTreeSet<ReplicaId>,
        out: &mut Vec<Output>,
    ) {
        self.election.campaign_timeouts = 0;
        self.stored.view = Some(KnownView { view: Arc::clone(&view), active: false });
        self.activate_view(out);
        if let Some(data) = &self.stored.data {
            self.committed = Arc::clone(&data.state);
        }
        out.push(Output::Committed { state: Arc::clone(&self.committed) });
        let pending = self.leadership.as_mut().and_then(|leadership| leadership.pending.take());
        self.start_leadership(view, replied);
        if let Some(pending) = pending {
            self.resolve_pending_change(pending, out);
        }
    }

    /// Resolves a change that was being replicated when the view changed: it is part of the new view's state, or
    /// it isn't committed unless it is replicated again.
    fn resolve_pending_change(&mut self, pending: PendingChange, out: &mut Vec<Output>) {
        let Some(proposal_id) = pending.proposal_id else { return };
        match self.committed.check(&pending.change) {
            ChangeCheck::AlreadyApplied => {
                out.push(Output::Answer { proposal_id, outcome: Outcome::Committed });
            }
            _ => self.queue.insert(0, Proposal { proposal_id, change: pending.change, since: pending.since }),
        }
    }

    pub(crate) fn start_leadership(&mut self, view: Arc<View>, replied: &BTreeSet<ReplicaId>) {
        let now = self.now();
        self.reset_election_timer();
        let before = self.leadership.take();
        let first_epoch = before.as_ref().map_or(view.epoch, |before| before.first_epoch);
        let fresh_timeouts = self.config.injected_fault.grows_at_once();
        let (mut known, joiners, mut removed, replaced) = before
            .map(|before| (before.peers, before.joiners, before.removed, before.replaced))
            .unwrap_or_default();
        let notify_until = now + self.config.shutdown_timeout;
        removed.extend(
            view.previous_members
                .iter()
                .map(|member| (member.id, RemovedMember { address: member.address, notify_until })),
        );
        removed.retain(|id, _| view.member(*id).is_none());
        let peers = view.members.iter().filter(|member| member.id != self.id).map(|member| {
            let fresh = match replied.contains(&member.id) || fresh_timeouts {
                true => PeerState::new(now),
                false => PeerState::unresponsive_in_campaign(now),
            };
            let mut peer = known.remove(&member.id).unwrap_or(fresh);
            peer.diverged_since = None;
            (member.id, peer)
        });
        self.leadership = Some(Leadership {
            epoch: view.epoch,
            peers: peers.collect(),
            first_epoch,
            joiners: joiners.into_iter().filter(|(id, _)| view.member(*id).is_none()).collect(),
            removed,
            replaced,
            pending: None,
            lease_renewals: LeaseRenewals::default(),
            next_heartbeat: now,
            next_view_change: now + VIEW_CHANGE_INTERVAL,
            view,
        });
    }

    /// Ends this replica's leadership and campaign, because another replica was promised an epoch or has formed a view.
    pub(crate) fn step_down(&mut self, out: &mut Vec<Output>) {
        self.election.campaign = None;
        self.end_leadership(out);
        self.reject_queued_proposals(out);
    }

    /// Ends this replica's leadership; the outcome of a change that was being replicated is unknown.
    pub(crate) fn end_leadership(&mut self, out: &mut Vec<Output>) {
        let Some(leadership) = self.leadership.take() else { return };
        if let Some(proposal_id) = leadership.pending.and_then(|pending| pending.proposal_id) {
            out.push(Output::Answer { proposal_id, outcome: Outcome::Unknown });
        }
    }

    pub(crate) fn other_primary_address(&self) -> Option<SocketAddrV4> {
        self.primary_address().filter(|address| *address != self.config.address)
    }
}
