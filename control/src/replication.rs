//! What the primary does: one change at a time, from the queue to the backups; and the receiving side.

use std::{collections::BTreeSet, net::SocketAddrV4, sync::Arc};

use crate::{
    Body, Change, ControlState, Data, InjectedFault, KnownView, LogPosition, Outcome, Output, ProposalId,
    ProposalNumber, Record, Replica, ReplicaId, Replicate, SnapshotInstalled, View,
    config::MILLISECOND,
    disk::Effect,
    leadership::{Leadership, Pending, Proposal, VIEW_PAUSE},
    lease::{Contact, Renewals},
    state::ChangeCheck,
    transfer::{change_bytes, extra_patience},
    view::BOOTSTRAP_EPOCH,
};

/// A change is handed again to backups that haven't it this often.
const REPLICATE_EVERY: u64 = 150 * MILLISECOND;

impl Replica {
    pub(crate) fn lead_wake(&self) -> Option<u64> {
        let leadership = self.leadership.as_ref()?;
        let sending = leadership.pending.as_ref().filter(|_| self.campaign.is_none());
        let resend = sending.map(|pending| pending.next_send);
        let lapse = self.lease_until().filter(|until| *until > self.now());
        [Some(leadership.next_heartbeat), resend, lapse].into_iter().flatten().min()
    }

    /// Starts the system with its first view, unless this replica knows one.
    pub(crate) fn found(&mut self, view: View, out: &mut Vec<Output>) {
        if self.view.is_some() || self.promised.is_some() || view.epoch != BOOTSTRAP_EPOCH {
            return;
        }
        let view = Arc::new(view);
        let known = KnownView { view: Arc::clone(&view), active: true };
        self.promised = Some(view.proposal_number());
        self.view = Some(known.clone());
        self.note_epoch(view.epoch);
        self.hear();
        let mut records = vec![Record::Promise(view.proposal_number()), Record::View(known)];
        records.extend(self.founding_data(&view));
        let effect = (view.primary == self.id).then_some(Effect::Founded);
        self.persist(records, effect, out);
    }

    pub(crate) fn on_founded(&mut self) {
        let Some(known) = self.view.clone() else { return };
        let untouched =
            known.view.epoch == BOOTSTRAP_EPOCH && self.promised == Some(known.view.proposal_number());
        if untouched && self.leadership.is_none() {
            let everyone = known.view.members.iter().map(|member| member.id).collect();
            self.begin_leadership(known.view, &everyone);
        }
    }

    /// Leads the view, which is active from now on.
    ///
    /// `answered` are the members that took part in the campaign for it.
    pub(crate) fn lead(&mut self, view: Arc<View>, answered: &BTreeSet<ReplicaId>, out: &mut Vec<Output>) {
        self.view = Some(KnownView { view: Arc::clone(&view), active: false });
        self.note_active(out);
        if let Some(data) = &self.data {
            self.committed = Arc::clone(&data.state);
        }
        out.push(Output::Committed { state: Arc::clone(&self.committed) });
        let pending = self.leadership.as_mut().and_then(|leadership| leadership.pending.take());
        self.begin_leadership(view, answered);
        if let Some(pending) = pending {
            self.settle(pending, out);
        }
    }

    /// Decides about a change that was in replication when the view changed: it is part of the new view's state, or
    /// it never comes into force unless it is replicated anew.
    fn settle(&mut self, pending: Pending, out: &mut Vec<Output>) {
        let Some(proposal_id) = pending.proposal_id else { return };
        match self.committed.check(&pending.change) {
            ChangeCheck::AlreadyApplied => {
                out.push(Output::Answer { proposal_id, outcome: Outcome::Committed })
            }
            _ => self.queue.insert(0, Proposal { proposal_id, change: pending.change, since: pending.since }),
        }
    }

    fn begin_leadership(&mut self, view: Arc<View>, answered: &BTreeSet<ReplicaId>) {
        let now = self.now();
        self.hear();
        let before = self.leadership.take();
        let first_epoch = before.as_ref().map_or(view.epoch, |before| before.first_epoch);
        let patient = self.config.injected_fault == Some(InjectedFault::GrowsAtOnce);
        let (mut known, joiners, mut left, gone) = before
            .map(|before| (before.contacts, before.joiners, before.left, before.gone))
            .unwrap_or_default();
        let tell_until = now + self.config.shutdown_timeout;
        left.extend(view.previous_members.iter().map(|member| (member.id, (member.address, tell_until))));
        left.retain(|id, _| view.member(*id).is_none());
        let contacts = view.members.iter().filter(|member| member.id != self.id).map(|member| {
            let fresh = match answered.contains(&member.id) || patient {
                true => Contact::new(now),
                false => Contact::silent_in_campaign(now),
            };
            let mut contact = known.remove(&member.id).unwrap_or(fresh);
            contact.estranged = None;
            (member.id, contact)
        });
        self.leadership = Some(Leadership {
            epoch: view.epoch,
            contacts: contacts.collect(),
            first_epoch,
            joiners: joiners.into_iter().filter(|(id, _)| view.member(*id).is_none()).collect(),
            left,
            gone,
            pending: None,
            renewals: Renewals::default(),
            next_heartbeat: now,
            next_view_change: now + VIEW_PAUSE,
            view,
        });
    }

    /// Ends the own lead and any campaign, because somebody else was promised an epoch or has formed a view.
    pub(crate) fn step_down(&mut self, out: &mut Vec<Output>) {
        self.campaign = None;
        self.drop_leadership(out);
        self.dismiss_queue(out);
    }

    /// Ends the own lead; what was in replication has no clear answer.
    pub(crate) fn drop_leadership(&mut self, out: &mut Vec<Output>) {
        let Some(leadership) = self.leadership.take() else { return };
        if let Some(proposal_id) = leadership.pending.and_then(|pending| pending.proposal_id) {
            out.push(Output::Answer { proposal_id, outcome: Outcome::Unknown });
        }
    }

    /// Answers those whose changes have not been begun.
    pub(crate) fn dismiss_queue(&mut self, out: &mut Vec<Output>) {
        let outcome = Outcome::NotPrimary { primary: self.other_primary() };
        let dismissed = std::mem::take(&mut self.queue);
        out.extend(
            dismissed
                .into_iter()
                .map(|proposal| Output::Answer { proposal_id: proposal.proposal_id, outcome }),
        );
    }

    pub(crate) fn other_primary(&self) -> Option<SocketAddrV4> {
        self.primary_address().filter(|address| *address != self.config.address)
    }

    pub(crate) fn propose(&mut self, proposal_id: ProposalId, change: Change, out: &mut Vec<Output>) {
        if self.leadership.is_none() && self.campaign.is_none() {
            let outcome = Outcome::NotPrimary { primary: self.other_primary() };
            return out.push(Output::Answer { proposal_id, outcome });
        }
        self.queue.push(Proposal { proposal_id, change, since: self.now() });
    }

    pub(crate) fn expire_queue(&mut self, out: &mut Vec<Output>) {
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

    pub(crate) fn advance_lead(&mut self, out: &mut Vec<Output>) {
        if self.leadership.is_none() {
            return;
        }
        self.beat(out);
        self.serve_queue(out);
        self.resend_change(out);
        if !self.healthy() && self.successor().is_some() {
            return self.hand_over(out);
        }
        if self.disk.well(self.now()) {
            self.change_view_if_wanted(out);
        }
    }

    /// Judges the changes whose turn has come, and begins with the first that is to be replicated.
    fn serve_queue(&mut self, out: &mut Vec<Output>) {
        while self.ready_for_change() && !self.queue.is_empty() {
            let Proposal { proposal_id, change, since } = self.queue.remove(0);
            match self.committed.check(&change).outcome() {
                Some(outcome) => out.push(Output::Answer { proposal_id, outcome }),
                None => self.begin_change(proposal_id, change, since, out),
            }
        }
        if self.config.injected_fault == Some(InjectedFault::JudgesRivalEarly) {
            self.check_rivals_early(out);
        }
    }

    fn check_rivals_early(&mut self, out: &mut Vec<Output>) {
        let (Some(data), true) = (&self.data, self.leadership.is_some()) else { return };
        let state = Arc::clone(&data.state);
        self.queue.retain(|proposal| match state.check(&proposal.change) {
            ChangeCheck::Conflict { current } => {
                out.push(Output::Answer {
                    proposal_id: proposal.proposal_id,
                    outcome: Outcome::Conflict { current },
                });
                false
            }
            _ => true,
        });
    }

    fn ready_for_change(&self) -> bool {
        let Some(leadership) = &self.leadership else { return false };
        let own_epoch = self.promised == Some(leadership.view.proposal_number());
        let free = leadership.pending.is_none() && self.campaign.is_none() && own_epoch;
        free && self.leading(self.now()).is_some()
    }

    fn begin_change(&mut self, proposal_id: ProposalId, change: Change, since: u64, out: &mut Vec<Output>) {
        let (Some(leadership), Some(data)) = (&self.leadership, &self.data) else { return };
        let position = LogPosition { epoch: leadership.epoch, sequence: data.position.sequence + 1 };
        let state = Arc::new(self.committed.after(&change));
        self.data = Some(Data { position, state });
        let pending = Pending {
            proposal_id: Some(proposal_id),
            change: change.clone(),
            position,
            since,
            durable: BTreeSet::new(),
            next_send: self.now(),
            sendings: 0,
        };
        if let Some(leadership) = self.leadership.as_mut() {
            leadership.pending = Some(pending);
        }
        // Asked for first: what waits for no record of its own must find this one under way.
        self.persist(vec![Record::Changed { position, change }], Some(Effect::OwnWrite { position }), out);
        self.resend_change(out);
    }

    fn resend_change(&mut self, out: &mut Vec<Output>) {
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
        let repeat = pending.since + REPLICATE_EVERY <= now && !pending.durable.contains(&own_id);
        let waiting = view.backups.iter().filter(|id| !pending.durable.contains(id));
        let addresses: Vec<_> =
            waiting.filter_map(|id| view.member(*id)).map(|member| member.address).collect();
        let bytes = change_bytes(&pending.change) * addresses.len();
        pending.next_send = now + REPLICATE_EVERY + extra_patience(bytes, pending.sendings);
        pending.sendings += 1;
        let change = pending.change.clone();
        let position = pending.position;
        for address in addresses {
            self.send(address, Body::Replicate(Replicate { epoch, sequence, change: change.clone() }), out);
        }
        if repeat {
            self.persist(Vec::new(), Some(Effect::OwnWrite { position }), out);
        }
    }

    pub(crate) fn on_replicate(
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

    pub(crate) fn on_replicated(&mut self, sender: ReplicaId, position: LogPosition, out: &mut Vec<Output>) {
        let early = self.config.injected_fault == Some(InjectedFault::AcknowledgesEarly);
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
    pub(crate) fn note_outdated_backup(&mut self, backup: ReplicaId, epoch: u64) {
        let now = self.now();
        let Some(leadership) = self.leadership.as_mut().filter(|lead| lead.epoch == epoch) else { return };
        if let Some(contact) = leadership.contacts.get_mut(&backup) {
            contact.estranged = contact.estranged.or(Some(now));
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
