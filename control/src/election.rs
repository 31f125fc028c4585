//! How a replica comes to form a view: poll, promises, and what it takes from them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
};

use crate::{
    Body, Data, InjectedFault, KnownView, LogPosition, Output, PreVoteReply, Prepare, Promise,
    ProposalNumber, Record, Reject, Replica, ReplicaId,
    campaign::{Campaign, DataSent, Poll, Promised, Stage},
    config::MILLISECOND,
    disk::Effect,
    membership::Wanted,
    transfer::{extra_patience, state_bytes},
};

/// Polls and requests of a campaign are repeated this often.
pub(crate) const RESEND_EVERY: u64 = 150 * MILLISECOND;
/// An answer to a poll counts for so long after the question; a link may take a while in each direction.
const POLL_VALID: u64 = 1_000 * MILLISECOND;
/// After a quorum has promised, the candidate waits this much longer for others, who may be better backups.
const GATHER: u64 = 40 * MILLISECOND;
/// Backups wait this much longer than the one ranked before them.
const STAGGER: u64 = 120 * MILLISECOND;
/// The campaigns of replicas are spread over this span.
const JITTER: u64 = 60 * MILLISECOND;

impl Replica {
    pub(crate) fn election_wake(&self) -> Option<u64> {
        if let Some(campaign) = &self.campaign {
            let gathered =
                campaign.quorum_since.filter(|_| campaign.stage.gathering()).map(|since| since + GATHER);
            let due = campaign.next_send.min(campaign.ends());
            return Some(gathered.map_or(due, |gathered| gathered.min(due)));
        }
        match &self.poll {
            Some(poll) => Some(poll.next_send),
            None => self.campaign_due(),
        }
    }

    pub(crate) fn advance_election(&mut self, out: &mut Vec<Output>) {
        if let Some(campaign) = &self.campaign {
            if self.now() >= campaign.ends() {
                self.abandon_campaign(out);
            } else if campaign.stage.gathering() {
                self.conclude_if_gathered(out);
            }
            self.resend_campaign(out);
        }
        if self.campaign.is_none() && self.campaign_due().is_some_and(|due| self.now() >= due) {
            self.ask_around(out);
        }
    }

    /// When this replica seeks to lead for want of a primary.
    fn campaign_due(&self) -> Option<u64> {
        let view = self.current_view()?;
        view.member(self.id)?;
        // One that is about to end may still be the only one that can pass the data on.
        if !self.disk.well(self.now()) {
            return None;
        }
        if self.has_lost_contact() {
            return Some(self.now());
        }
        if self.leadership.is_some() {
            return Some(
                self.lease_until()
                    .unwrap_or(0)
                    .max(self.last_heard)
                    .saturating_add(self.config.lease_duration),
            );
        }
        let patience = match view.backups.iter().position(|id| *id == self.id) {
            _ if view.primary == self.id => self.config.lease_duration,
            Some(rank) => self.config.lease_duration + rank as u64 * STAGGER,
            None => 2 * self.config.lease_duration + self.witness_rank() * STAGGER,
        };
        Some(self.last_heard + patience.saturating_sub(self.head_start) + self.spread(JITTER))
    }

    fn witness_rank(&self) -> u64 {
        let rank = |view: &Arc<crate::View>| {
            view.members.iter().filter(|member| !view.holds_data(member.id) && member.id < self.id).count()
        };
        self.current_view().map_or(0, rank) as u64
    }

    /// A span below the limit that stays the same for this replica and epoch.
    fn spread(&self, limit: u64) -> u64 {
        let mixed = (self.config.seed ^ self.id.0)
            .wrapping_add(self.highest_epoch)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        (mixed >> 32) % limit
    }

    fn ask_around(&mut self, out: &mut Vec<Output>) {
        if self.poll.as_ref().is_some_and(|poll| self.now() < poll.next_send) {
            return;
        }
        let Some(known) = self.view.clone() else { return };
        let (now, round) = (self.now(), self.draw(u64::MAX >> 34) + self.now());
        let before = self.poll.take().filter(|poll| poll.base.view.epoch >= known.view.epoch);
        let fresh = || Poll { base: known, rounds: Vec::new(), granted: BTreeMap::new(), next_send: 0 };
        let mut poll = before.unwrap_or_else(fresh);
        poll.forget_before(now.saturating_sub(POLL_VALID));
        poll.rounds.push((round, now));
        poll.next_send = now + RESEND_EVERY;
        if self.barred(self.id, None) {
            poll.granted.remove(&self.id);
        } else {
            poll.granted.insert(self.id, now);
        }
        for member in poll.base.view.everyone().iter().filter(|member| member.id != self.id) {
            self.send(member.address, Body::PreVote { epoch: round }, out);
        }
        self.poll = Some(poll);
        self.campaign_if_welcome(out);
    }

    pub(crate) fn on_poll(
        &mut self,
        from: SocketAddrV4,
        sender: ReplicaId,
        epoch: u64,
        out: &mut Vec<Output>,
    ) {
        let known =
            self.view.as_ref().is_none_or(|known| known.view.everyone().iter().any(|m| m.id == sender));
        let granted = known && !self.barred(sender, None);
        let reply = Body::PreVoteReply(PreVoteReply {
            epoch,
            granted,
            promised: self.promised,
            view: self.view.clone(),
        });
        self.send(from, reply, out);
    }

    pub(crate) fn on_poll_reply(
        &mut self,
        sender: ReplicaId,
        PreVoteReply { epoch: round, granted, promised, view }: PreVoteReply,
        out: &mut Vec<Output>,
    ) {
        self.note_epoch(promised.map_or(0, |proposal_number| proposal_number.epoch));
        if let Some(view) = view {
            self.learn_view(view, out);
        }
        let now = self.now();
        if let Some(poll) = self.poll.as_mut().filter(|_| granted) {
            poll.forget_before(now.saturating_sub(POLL_VALID));
            poll.grant(sender, round);
            self.campaign_if_welcome(out);
        }
    }

    fn campaign_if_welcome(&mut self, out: &mut Vec<Output>) {
        let welcome = self.poll.as_ref().is_some_and(Poll::welcome);
        if welcome && self.campaign.is_none() && !self.barred(self.id, None) {
            self.poll = None;
            self.begin_campaign(None, None, out);
        }
    }

    /// Whether a lease forbids this replica to promise anything to the candidate.
    pub(crate) fn barred(&self, candidate: ReplicaId, released: Option<ProposalNumber>) -> bool {
        if self.config.injected_fault == Some(InjectedFault::IgnoresLease) {
            return false;
        }
        let own_lead = candidate != self.id && self.leading(self.now()).is_some();
        own_lead || self.granted.is_some_and(|grant| grant.blocks(self.now(), candidate, released))
    }

    pub(crate) fn begin_campaign(
        &mut self,
        released: Option<ProposalNumber>,
        wanted: Option<Wanted>,
        out: &mut Vec<Output>,
    ) {
        let Some(mut base) = self.view.clone() else { return };
        base.active |= self.config.injected_fault == Some(InjectedFault::SkipsPrior);
        self.note_epoch(self.promised_epoch().max(base.view.epoch));
        let epoch = self.highest_epoch + 1;
        self.note_epoch(epoch);
        let proposal_number = ProposalNumber { epoch, candidate: self.id };
        self.promised = Some(proposal_number);
        self.from_silence = released.is_none() && base.view.primary != self.id;
        self.campaign = Some(Campaign {
            epoch,
            released,
            started: self.now(),
            next_send: self.now() + RESEND_EVERY,
            base,
            position: self.data.as_ref().map(|data| data.position),
            promises: BTreeMap::new(),
            refused: BTreeSet::new(),
            refused_since: None,
            quorum_since: None,
            wanted,
            stage: Stage::Gathering,
        });
        // Others are asked only once the own promise is durable, so that an epoch is never used twice.
        self.persist(vec![Record::Promise(proposal_number)], Some(Effect::OwnPromise { epoch }), out);
    }

    pub(crate) fn on_own_promise(&mut self, epoch: u64, out: &mut Vec<Output>) {
        let position = self.data.as_ref().map(|data| data.position);
        let (data, healthy) = (self.data.clone(), self.healthy());
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| campaign.epoch == epoch) else {
            return;
        };
        campaign.promises.insert(self.id, Promised { position, data, healthy });
        self.send_prepares(out);
        self.note_quorum(out);
    }

    /// Asks all who haven't promised yet.
    pub(crate) fn send_prepares(&mut self, out: &mut Vec<Output>) {
        let Some(campaign) = &self.campaign else { return };
        if !campaign.promises.contains_key(&self.id) {
            return;
        }
        let Campaign { epoch, position, released, .. } = *campaign;
        for member in campaign.base.view.everyone() {
            if !campaign.promises.contains_key(&member.id) {
                self.send(member.address, Body::Prepare(Prepare { epoch, position, released }), out);
            }
        }
    }

    pub(crate) fn on_prepare(
        &mut self,
        from: SocketAddrV4,
        sender: ReplicaId,
        Prepare { epoch, position, released }: Prepare,
        out: &mut Vec<Output>,
    ) {
        self.note_epoch(epoch);
        let proposal_number = ProposalNumber { epoch, candidate: sender };
        let repeated = self.promised == Some(proposal_number);
        let member =
            self.view.as_ref().is_none_or(|known| known.view.everyone().iter().any(|m| m.id == sender));
        if !repeated && (epoch <= self.promised_epoch() || !member || self.barred(sender, released)) {
            let refusal = Body::Reject(Reject { epoch, promised: self.promised, view: self.view.clone() });
            return self.send(from, refusal, out);
        }
        let mut records = Vec::new();
        self.hear();
        if !repeated {
            self.promised = Some(proposal_number);
            self.poll = None;
            self.step_down(out);
            records.push(Record::Promise(proposal_number));
        }
        let reply = self.promise_for(proposal_number, position);
        if self.config.injected_fault == Some(InjectedFault::ForgetsPromise) {
            return self.send(from, reply, out);
        }
        let effect = self.reply_once_durable(from, reply);
        self.persist(records, effect, out);
    }

    fn promise_for(&mut self, proposal_number: ProposalNumber, held: Option<LogPosition>) -> Body {
        let newer = self.data.clone().filter(|data| held.is_none_or(|held| held < data.position));
        let data = newer.filter(|data| self.may_send_data(proposal_number, held, data));
        Body::Promise(Promise {
            epoch: proposal_number.epoch,
            view: self.view.clone(),
            position: self.data.as_ref().map(|data| data.position),
            data,
            healthy: self.healthy(),
        })
    }

    /// Notes that the data goes to a candidate, unless it went before and may still be on its way.
    fn may_send_data(
        &mut self,
        proposal_number: ProposalNumber,
        held: Option<LogPosition>,
        data: &Data,
    ) -> bool {
        let before =
            self.data_sent.filter(|sent| sent.proposal_number == proposal_number && sent.held == held);
        let patience = |sent: DataSent| extra_patience(state_bytes(&data.state), sent.repetitions);
        if before.is_some_and(|sent| self.now() < sent.at + patience(sent)) {
            return false;
        }
        let repetitions = before.map_or(0, |sent| sent.repetitions + 1);
        self.data_sent = Some(DataSent { proposal_number, held, at: self.now(), repetitions });
        true
    }

    pub(crate) fn on_promise(
        &mut self,
        sender: ReplicaId,
        Promise { epoch, view, position, data, healthy }: Promise,
        out: &mut Vec<Output>,
    ) {
        let Some(campaign) = self.campaign.as_mut() else { return };
        if campaign.epoch != epoch || !campaign.stage.gathering() {
            return;
        }
        let before = campaign.promises.remove(&sender).filter(|before| before.position == position);
        let data = data.or_else(|| before.and_then(|before| before.data));
        campaign.promises.insert(sender, Promised { position, data, healthy });
        if let Some(view) = view {
            self.consider_base(view, out);
        }
        self.note_quorum(out);
    }

    /// Bases the campaign on a later view that somebody knows.
    fn consider_base(&mut self, mut shown: KnownView, out: &mut Vec<Output>) {
        shown.active |= self.config.injected_fault == Some(InjectedFault::SkipsPrior);
        let Some(campaign) = self.campaign.as_mut() else { return };
        if shown.view.epoch == campaign.base.view.epoch {
            campaign.base.active |= shown.active;
        } else if shown.view.epoch > campaign.base.view.epoch {
            campaign.base = shown;
            campaign.wanted = None;
            campaign.quorum_since = None;
            self.drop_leadership(out);
            let Some(campaign) = self.campaign.as_mut() else { return };
            if campaign.base.view.epoch >= campaign.epoch || campaign.base.view.member(self.id).is_none() {
                let learnt = campaign.base.clone();
                self.abandon_campaign(out);
                return self.learn_view(learnt, out);
            }
            self.send_prepares(out);
        }
    }

    fn note_quorum(&mut self, out: &mut Vec<Output>) {
        let (now, injected_fault) = (self.now(), self.config.injected_fault);
        let Some(campaign) = self.campaign.as_mut() else { return };
        if campaign.stage.gathering()
            && campaign.quorum_since.is_none()
            && campaign.has_quorum(injected_fault)
        {
            campaign.quorum_since = Some(now);
        }
        self.conclude_if_gathered(out);
    }

    fn conclude_if_gathered(&mut self, out: &mut Vec<Output>) {
        let Some(campaign) = &self.campaign else { return };
        let Some(since) = campaign.quorum_since else { return };
        let gathered = campaign.everyone_promised() || self.now() >= since + GATHER;
        if !campaign.stage.gathering() || !gathered {
            return;
        }
        match self.best_data() {
            Some(data) => self.install(data, out),
            None => self.ask_for_data(out),
        }
    }

    /// The newest state among those that the data set of the latest view has shown.
    fn best_data(&self) -> Option<Data> {
        let campaign = self.campaign.as_ref()?;
        if self.config.injected_fault == Some(InjectedFault::TakesAnyData) {
            let any = campaign.promises.values().find_map(|promised| promised.data.clone());
            return Some(any.unwrap_or_default());
        }
        let best = campaign.promises.keys().filter_map(|id| campaign.usable(*id)).max()?;
        let held = campaign.promises.values().filter_map(|promised| promised.data.as_ref());
        held.chain(&self.data).find(|data| data.position == best).cloned()
    }

    /// Has the promises repeated together with the data, because the own turned out to be worthless.
    fn ask_for_data(&mut self, out: &mut Vec<Output>) {
        let Some(campaign) = self.campaign.as_mut() else { return };
        if campaign.position.take().is_some() {
            campaign.promises.retain(|id, _| *id == self.id);
            campaign.quorum_since = None;
            self.send_prepares(out);
        }
    }

    pub(crate) fn on_refuse(
        &mut self,
        sender: ReplicaId,
        Reject { epoch, promised, view }: Reject,
        out: &mut Vec<Output>,
    ) {
        let now = self.now();
        self.note_epoch(promised.map_or(0, |proposal_number| proposal_number.epoch));
        if let Some(view) = view {
            self.learn_view(view, out);
        }
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| campaign.epoch == epoch) else {
            return;
        };
        if promised.is_some_and(|proposal_number| proposal_number.epoch >= epoch) {
            campaign.refused.insert(sender);
            campaign.refused_since.get_or_insert(now);
            if campaign.hopeless() {
                self.abandon_campaign(out);
            }
        }
    }

    /// Ends a campaign that can't succeed; a primary of an active view goes on leading.
    pub(crate) fn abandon_campaign(&mut self, out: &mut Vec<Output>) {
        if self.campaign.take().is_none() {
            return;
        }
        if self.leadership.is_none() {
            let pause = self.draw(2 * JITTER);
            self.last_heard = self.now() + pause;
            self.head_start = self.config.lease_duration;
            self.dismiss_queue(out);
        }
    }

    fn resend_campaign(&mut self, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| now >= campaign.next_send) else {
            return;
        };
        campaign.next_send = now + RESEND_EVERY;
        if !campaign.promises.contains_key(&self.id) {
            let epoch = campaign.epoch;
            return self.persist(Vec::new(), Some(Effect::OwnPromise { epoch }), out);
        }
        if campaign.stage.gathering() {
            self.send_prepares(out);
        } else {
            self.resend_stage(out);
        }
    }
}
