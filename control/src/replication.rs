//! What the primary does: one change at a time, from the queue to the backups; and the receiving side.

use std::{collections::BTreeSet, net::SocketAddrV4, sync::Arc};

use crate::{
    Body, Change, ControlState, Data, KnownView, LogPosition, Outcome, Output, ProposalId, ProposalNumber,
    Record, Replica, ReplicaId, Replicate, SnapshotInstalled, View,
    config::MILLISECOND,
    disk::Effect,
    leadership::{Leadership, PendingChange, Proposal, VIEW_CHANGE_INTERVAL},
    lease::{LeaseRenewals, PeerState},
    state::ChangeCheck,
    transfer::{change_bytes, retransmission_delay},
    view::BOOTSTRAP_EPOCH,
};

/// A change is handed again to backups that haven't it this often.
const REPLICATION_RESEND_INTERVAL: u64 = 150 * MILLISECOND;

impl Replica {
    pub(crate) fn primary_deadline(&self) -> Option<u64> {
        let leadership = self.leadership.as_ref()?;
        let sending = leadership.pending.as_ref().filter(|_| self.campaign.is_none());
        let resend = sending.map(|pending| pending.next_send);
        let lapse = self.lease_until().filter(|until| *until > self.now());
        [Some(leadership.next_heartbeat), resend, lapse].into_iter().flatten().min()
    }

    /// Starts the system with its first view, unless this replica knows one.
    pub(crate) fn bootstrap(&mut self, view: View, out: &mut Vec<Output>) {
        if self.view.is_some() || self.promised.is_some() || view.epoch != BOOTSTRAP_EPOCH {
            return;
        }
        let view = Arc::new(view);
        let known = KnownView { view: Arc::clone(&view), active: true };
        self.promised = Some(view.proposal_number());
        self.view = Some(known.clone());
        self.observe_epoch(view.epoch);
        self.reset_election_timer();
        let mut records = vec![Record::Promise(view.proposal_number()), Record::View(known)];
        records.extend(self.bootstrap_data(&view));
        let effect = (view.primary == self.id).then_some(Effect::BootstrapDurable);
        self.persist(records, effect, out);
    }

    pub(crate) fn handle_bootstrap_durable(&mut self) {
        let Some(known) = self.view.clone() else { return };
        let untouched =
            known.view.epoch == BOOTSTRAP_EPOCH && self.promised == Some(known.view.proposal_number());
        if untouched && self.leadership.is_none() {
            let everyone = known.view.members.iter().map(|member| member.id).collect();
            self.start_leadership(known.view, &everyone);
        }
    }

    /// Leads the view, which is active from now on.
    ///
    /// `answered` are the members that took part in the campaign for it.
    pub(crate) fn become_primary(
        &mut self,
        view: Arc<View>,
        answered: &BTreeSet<ReplicaId>,
        out: &mut Vec<Output>,
    ) {
        self.view = Some(KnownView { view: Arc::clone(&view), active: false });
        self.mark_view_active(out);
        if let Some(data) = &self.data {
            self.committed = Arc::clone(&data.state);
        }
        out.push(Output::Committed { state: Arc::clone(&self.committed) });
        let pending = self.leadership.as_mut().and_then(|leadership| leadership.pending.take());
        self.start_leadership(view, answered);
        if let Some(pending) = pending {
            self.resolve_pending_change(pending, out);
        }
    }

    /// Decides about a change that was in replication when the view changed: it is part of the new view's state, or
    /// it never comes into force unless it is replicated anew.
    fn resolve_pending_change(&mut self, pending: PendingChange, out: &mut Vec<Output>) {
        let Some(proposal_id) = pending.proposal_id else { return };
        match self.committed.check(&pending.change) {
            ChangeCheck::AlreadyApplied => {
                out.push(Output::Answer { proposal_id, outcome: Outcome::Committed })
            }
            _ => self.queue.insert(0, Proposal { proposal_id, change: pending.change, since: pending.since }),
        }
    }

    fn start_leadership(&mut self, view: Arc<View>, answered: &BTreeSet<ReplicaId>) {
        let now = self.now();
        self.reset_election_timer();
        let before = self.leadership.take();
        let first_epoch = before.as_ref().map_or(view.epoch, |before| before.first_epoch);
        let fresh_timeouts = self.config.injected_fault.grows_at_once();
        let (mut known, joiners, mut removed, replaced) = before
            .map(|before| (before.peers, before.joiners, before.removed, before.replaced))
            .unwrap_or_default();
        let tell_until = now + self.config.shutdown_timeout;
        removed.extend(view.previous_members.iter().map(|member| (member.id, (member.address, tell_until))));
        removed.retain(|id, _| view.member(*id).is_none());
        let peers = view.members.iter().filter(|member| member.id != self.id).map(|member| {
            let fresh = match answered.contains(&member.id) || fresh_timeouts {
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

    /// Ends the own lead and any campaign, because somebody else was promised an epoch or has formed a view.
    pub(crate) fn step_down(&mut self, out: &mut Vec<Output>) {
        self.campaign = None;
        self.end_leadership(out);
        self.reject_queued_proposals(out);
    }

    /// Ends the own lead; what was in replication has no clear answer.
    pub(crate) fn end_leadership(&mut self, out: &mut Vec<Output>) {
        let Some(leadership) = self.leadership.take() else { return };
        if let Some(proposal_id) = leadership.pending.and_then(|pending| pending.proposal_id) {
            out.push(Output::Answer { proposal_id, outcome: Outcome::Unknown });
        }
    }

    /// Answers those whose changes have not been begun.
    pub(crate) fn reject_queued_proposals(&mut self, out: &mut Vec<Output>) {
        let outcome = Outcome::NotPrimary { primary: self.other_primary_address() };
        let rejected = std::mem::take(&mut self.queue);
        out.extend(
            rejected
                .into_iter()
                .map(|proposal| Output::Answer { proposal_id: proposal.proposal_id, outcome }),
        );
    }

    pub(crate) fn other_primary_address(&self) -> Option<SocketAddrV4> {
        self.primary_address().filter(|address| *address != self.config.address)
    }

    pub(crate) fn propose(&mut self, proposal_id: ProposalId, change: Change, out: &mut Vec<Output>) {
        if self.leadership.is_none() && self.campaign.is_none() {
            let outcome = Outcome::NotPrimary { primary: self.other_primary_address() };
            return out.push(Output::Answer { proposal_id, outcome });
        }
        self.queue.push(Proposal { proposal_id, change, since: self.now() });
    }

    pub(crate) fn expire_proposals(&mut self, out: &mut Vec<Output>) {
        let (now, limit) = (self.now(), self.config.proposal_timeout);
        let outcome = Outcome::NotPrimary { primary: None };
        let overdue = |proposal: &mut Proposal| now >= proposal.since + limit;
        for proposal in self.queue.extract_if(.., overdue) {
            out.push(Output::Answer { proposal_id: proposal.proposal_id, outcome });
        }
        let pending = self.leadership.as_mut().and_then(|leadership| leadership.pending.as_mut());
        if let Some(pending) = pending.filter(|pending| now >= pending.since + limit) {
            let answer = |proposal_id| Output::Answer { proposal_id, outcome: Outcome::Unknown };
            out.extend(pending.proposal_id.take().map(answer));
        }
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

    /// Judges the changes whose turn has come, and begins with the first that is to be replicated.
    fn process_queue(&mut self, out: &mut Vec<Output>) {
        while self.can_start_change() && !self.queue.is_empty() {
            let Proposal { proposal_id, change, since } = self.queue.remove(0);
            match self.committed.check(&change).outcome() {
                Some(outcome) => out.push(Output::Answer { proposal_id, outcome }),
                None => self.start_change(proposal_id, change, since, out),
            }
        }
        self.inject_early_rejections(out);
    }

    fn can_start_change(&self) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let own_epoch = self.promised == Some(leadership.view.proposal_number());
        let free = leadership.pending.is_none() && self.campaign.is_none() && own_epoch;
        free && self.leading(self.now()).is_some()
    }

    fn start_change(&mut self, proposal_id: ProposalId, change: Change, since: u64, out: &mut Vec<Output>) {
        let (Some(leadership), Some(data)) = (&self.leadership, &self.data) else { return };
        let position = LogPosition { epoch: leadership.epoch, sequence: data.position.sequence + 1 };
        let state = Arc::new(self.committed.after(&change));
        self.data = Some(Data { position, state });
        let pending = PendingChange {
            proposal_id: Some(proposal_id),
            change: change.clone(),
            position,
            since,
            durable: BTreeSet::new(),
            next_send: self.now(),
            transmissions: 0,
        };
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.pending = Some(pending);
        }
        // Asked for first: what waits for no record of its own must find this one under way.
        self.persist(vec![Record::Changed { position, change }], Some(Effect::OwnChange { position }), out);
        self.maybe_send_change(out);
    }

    fn maybe_send_change(&mut self, out: &mut Vec<Output>) {
        let (now, own_id) = (self.now(), self.id);
        if self.campaign.is_some() {
            return;
        }
        let Some(leadership) = self.leadership.as_mut() else { return };
        let view = Arc::clone(&leadership.view);
        let Some(pending) = leadership.pending.as_mut().filter(|pending| now >= pending.next_send) else {
            return;
        };
        let LogPosition { epoch, sequence } = pending.position;
        let repeat = pending.since + REPLICATION_RESEND_INTERVAL <= now && !pending.durable.contains(&own_id);
        let waiting = view.backups.iter().filter(|id| !pending.durable.contains(id));
        let addresses: Vec<_> =
            waiting.filter_map(|id| view.member(*id)).map(|member| member.address).collect();
        let bytes = change_bytes(&pending.change) * addresses.len();
        pending.next_send =
            now + REPLICATION_RESEND_INTERVAL + retransmission_delay(bytes, pending.transmissions);
        pending.transmissions += 1;
        let change = pending.change.clone();
        let position = pending.position;
        for address in addresses {
            self.send(address, Body::Replicate(Replicate { epoch, sequence, change: change.clone() }), out);
        }
        if repeat {
            self.persist(Vec::new(), Some(Effect::OwnChange { position }), out);
        }
    }

    pub(crate) fn handle_replicate(
        &mut self,
        from: SocketAddrV4,
        sender: ReplicaId,
        Replicate { epoch, sequence, change }: Replicate,
        out: &mut Vec<Output>,
    ) {
        let position = LogPosition { epoch, sequence };
        let bound = self.promised == Some(ProposalNumber { epoch, candidate: sender });
        let backs =
            self.current_view().is_some_and(|view| view.epoch == epoch && view.backups.contains(&self.id));
        if !bound || !backs {
            return;
        }
        let follows = |data: &Data| data.position.epoch == epoch && data.position.sequence + 1 >= sequence;
        let Some(data) = self.data.clone().filter(follows) else {
            // Only a disk that went back to an older copy leads here. The primary would wait for ever.
            return self.send(
                from,
                Body::SnapshotInstalled(SnapshotInstalled { epoch, complete: false, attempt: 0 }),
                out,
            );
        };
        let reply = self.reply_once_durable(from, Body::Replicated { epoch, sequence });
        if data.position.sequence + 1 == sequence {
            self.data = Some(Data { position, state: Arc::new(data.state.after(&change)) });
            self.persist(vec![Record::Changed { position, change }], reply, out);
        } else if data.position == position {
            self.persist(Vec::new(), reply, out);
        }
    }

    pub(crate) fn handle_replicated(
        &mut self,
        sender: ReplicaId,
        position: LogPosition,
        out: &mut Vec<Output>,
    ) {
        let early = self.config.injected_fault.acknowledges_early();
        let Some(leadership) = self.leadership.as_mut() else { return };
        let Some(pending) = leadership.pending.as_mut().filter(|pending| pending.position == position) else {
            return;
        };
        pending.durable.insert(sender);
        let backups = leadership.view.backups.iter().all(|id| pending.durable.contains(id));
        // Once the own promise has gone on, the state is settled by the view that is being formed.
        let own_epoch = self.promised == Some(leadership.view.proposal_number());
        if own_epoch && pending.durable.contains(&self.id) && (backups || early) {
            self.commit(out);
        }
    }

    /// A backup of the present view lacks changes that it has acknowledged: a new view installs the state there anew.
    pub(crate) fn mark_backup_outdated(&mut self, backup: ReplicaId, epoch: u64) {
        let now = self.now();
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.epoch == epoch) else { return };
        if let Some(peer) = leadership.peers.get_mut(&backup) {
            peer.diverged_since = peer.diverged_since.or(Some(now));
        }
    }

    fn commit(&mut self, out: &mut Vec<Output>) {
        let Some(pending) = self.leadership.as_mut().and_then(|leadership| leadership.pending.take()) else {
            return;
        };
        let Some(data) = &self.data else { return };
        self.committed = Arc::clone(&data.state);
        out.push(Output::Committed { state: Arc::clone(&self.committed) });
        let answer = |proposal_id| Output::Answer { proposal_id, outcome: Outcome::Committed };
        out.extend(pending.proposal_id.map(answer));
    }

    /// The state that was committed last, shared.
    pub fn shared_state(&self) -> Arc<ControlState> {
        Arc::clone(&self.committed)
    }
}
