//! How a replica comes to form a view: poll, promises, and what it takes from them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
};

use crate::{
    Body, Data, KnownView, LogPosition, Output, PreVoteReply, Prepare, Promise, ProposalNumber, Record,
    Reject, Replica, ReplicaId,
    campaign::{Campaign, PreVote, ReceivedPromise, SnapshotSent, Stage},
    config::MILLISECOND,
    disk::Effect,
    membership::Membership,
    transfer::{retransmission_delay, state_bytes},
};

/// Polls and requests of a campaign are repeated this often.
pub(crate) const RESEND_INTERVAL: u64 = 150 * MILLISECOND;
/// An answer to a poll counts for so long after the question; a link may take a while in each direction.
const PRE_VOTE_VALIDITY: u64 = 1_000 * MILLISECOND;
/// After a quorum has promised, the candidate waits this much longer for others, who may be better backups.
const PROMISE_GRACE_PERIOD: u64 = 40 * MILLISECOND;
/// Backups wait this much longer than the one ranked before them.
const ELECTION_STAGGER: u64 = 120 * MILLISECOND;
/// The campaigns of replicas are spread over this span.
const ELECTION_JITTER: u64 = 60 * MILLISECOND;

impl Replica {
    pub(crate) fn election_deadline(&self) -> Option<u64> {
        if let Some(campaign) = &self.campaign {
            let gathered = campaign
                .quorum_since
                .filter(|_| campaign.stage.collecting_promises())
                .map(|since| since + PROMISE_GRACE_PERIOD);
            let due = campaign.next_send.min(campaign.deadline());
            return Some(gathered.map_or(due, |gathered| gathered.min(due)));
        }
        match &self.pre_vote {
            Some(pre_vote) => Some(pre_vote.next_send),
            None => self.election_due(),
        }
    }

    pub(crate) fn tick_election(&mut self, out: &mut Vec<Output>) {
        if let Some(campaign) = &self.campaign {
            if self.now() >= campaign.deadline() {
                self.abandon_campaign(out);
            } else if campaign.stage.collecting_promises() {
                self.maybe_start_installation(out);
            }
            self.resend_campaign(out);
        }
        if self.campaign.is_none() && self.election_due().is_some_and(|due| self.now() >= due) {
            self.broadcast_pre_vote(out);
        }
    }

    /// When this replica seeks to lead for want of a primary.
    fn election_due(&self) -> Option<u64> {
        let view = self.current_view()?;
        view.member(self.id)?;
        // One that is about to end may still be the only one that can pass the data on.
        if !self.disk.is_healthy(self.now()) {
            return None;
        }
        if self.has_lost_quorum() {
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
        let timeout = match view.backups.iter().position(|id| *id == self.id) {
            _ if view.primary == self.id => self.config.lease_duration,
            Some(rank) => self.config.lease_duration + rank as u64 * ELECTION_STAGGER,
            None => 2 * self.config.lease_duration + self.witness_rank() * ELECTION_STAGGER,
        };
        Some(self.last_heard + timeout.saturating_sub(self.waived_timeout) + self.spread(ELECTION_JITTER))
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

    fn broadcast_pre_vote(&mut self, out: &mut Vec<Output>) {
        if self.pre_vote.as_ref().is_some_and(|pre_vote| self.now() < pre_vote.next_send) {
            return;
        }
        let Some(known) = self.view.clone() else { return };
        let (now, round) = (self.now(), self.random_below(u64::MAX >> 34) + self.now());
        let before =
            self.pre_vote.take().filter(|pre_vote| pre_vote.base_view.view.epoch >= known.view.epoch);
        let fresh =
            || PreVote { base_view: known, rounds: Vec::new(), granted: BTreeMap::new(), next_send: 0 };
        let mut pre_vote = before.unwrap_or_else(fresh);
        pre_vote.expire_before(now.saturating_sub(PRE_VOTE_VALIDITY));
        pre_vote.rounds.push((round, now));
        pre_vote.next_send = now + RESEND_INTERVAL;
        if self.lease_forbids_promise(self.id, None) {
            pre_vote.granted.remove(&self.id);
        } else {
            pre_vote.granted.insert(self.id, now);
        }
        for member in pre_vote.base_view.view.everyone().iter().filter(|member| member.id != self.id) {
            self.send(member.address, Body::PreVote { epoch: round }, out);
        }
        self.pre_vote = Some(pre_vote);
        self.maybe_campaign(out);
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        from: SocketAddrV4,
        sender: ReplicaId,
        epoch: u64,
        out: &mut Vec<Output>,
    ) {
        let known =
            self.view.as_ref().is_none_or(|known| known.view.everyone().iter().any(|m| m.id == sender));
        let granted = known && !self.lease_forbids_promise(sender, None);
        let reply = Body::PreVoteReply(PreVoteReply {
            epoch,
            granted,
            promised: self.promised,
            view: self.view.clone(),
        });
        self.send(from, reply, out);
    }

    pub(crate) fn handle_pre_vote_reply(
        &mut self,
        sender: ReplicaId,
        PreVoteReply { epoch: round, granted, promised, view }: PreVoteReply,
        out: &mut Vec<Output>,
    ) {
        self.observe_epoch(promised.map_or(0, |proposal_number| proposal_number.epoch));
        if let Some(view) = view {
            self.learn_view(view, out);
        }
        let now = self.now();
        if let Some(pre_vote) = self.pre_vote.as_mut().filter(|_| granted) {
            pre_vote.expire_before(now.saturating_sub(PRE_VOTE_VALIDITY));
            pre_vote.record_grant(sender, round);
            self.maybe_campaign(out);
        }
    }

    fn maybe_campaign(&mut self, out: &mut Vec<Output>) {
        let granted_by_quorum = self.pre_vote.as_ref().is_some_and(PreVote::has_quorum);
        if granted_by_quorum && self.campaign.is_none() && !self.lease_forbids_promise(self.id, None) {
            self.pre_vote = None;
            self.start_campaign(None, None, out);
        }
    }

    /// Whether a lease forbids this replica to promise anything to the candidate.
    pub(crate) fn lease_forbids_promise(
        &self,
        candidate: ReplicaId,
        released: Option<ProposalNumber>,
    ) -> bool {
        if self.config.injected_fault.ignores_lease() {
            return false;
        }
        let own_lead = candidate != self.id && self.leading(self.now()).is_some();
        own_lead || self.granted_lease.is_some_and(|grant| grant.blocks(self.now(), candidate, released))
    }

    pub(crate) fn start_campaign(
        &mut self,
        released: Option<ProposalNumber>,
        membership: Option<Membership>,
        out: &mut Vec<Output>,
    ) {
        let Some(mut base) = self.view.clone() else { return };
        base.active |= self.config.injected_fault.skips_previous_members();
        self.observe_epoch(self.promised_epoch().max(base.view.epoch));
        let epoch = self.highest_epoch + 1;
        self.observe_epoch(epoch);
        let proposal_number = ProposalNumber { epoch, candidate: self.id };
        self.promised = Some(proposal_number);
        self.campaign_after_timeout = released.is_none() && base.view.primary != self.id;
        self.campaign = Some(Campaign {
            epoch,
            released,
            started: self.now(),
            next_send: self.now() + RESEND_INTERVAL,
            base_view: base,
            position: self.data.as_ref().map(|data| data.position),
            promises: BTreeMap::new(),
            rejected: BTreeSet::new(),
            rejected_since: None,
            quorum_since: None,
            membership,
            stage: Stage::CollectingPromises,
        });
        // Others are asked only once the own promise is durable, so that an epoch is never used twice.
        self.persist(vec![Record::Promise(proposal_number)], Some(Effect::OwnPromise { epoch }), out);
    }

    pub(crate) fn handle_own_promise(&mut self, epoch: u64, out: &mut Vec<Output>) {
        let position = self.data.as_ref().map(|data| data.position);
        let (data, healthy) = (self.data.clone(), self.healthy());
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| campaign.epoch == epoch) else {
            return;
        };
        campaign.promises.insert(self.id, ReceivedPromise { position, data, healthy });
        self.broadcast_prepare(out);
        self.maybe_record_quorum(out);
    }

    /// Asks all who haven't promised yet.
    pub(crate) fn broadcast_prepare(&mut self, out: &mut Vec<Output>) {
        let Some(campaign) = &self.campaign else { return };
        if !campaign.promises.contains_key(&self.id) {
            return;
        }
        let Campaign { epoch, position, released, .. } = *campaign;
        for member in campaign.base_view.view.everyone() {
            if !campaign.promises.contains_key(&member.id) {
                self.send(member.address, Body::Prepare(Prepare { epoch, position, released }), out);
            }
        }
    }

    pub(crate) fn handle_prepare(
        &mut self,
        from: SocketAddrV4,
        sender: ReplicaId,
        Prepare { epoch, position, released }: Prepare,
        out: &mut Vec<Output>,
    ) {
        self.observe_epoch(epoch);
        let proposal_number = ProposalNumber { epoch, candidate: sender };
        let repeated = self.promised == Some(proposal_number);
        let member =
            self.view.as_ref().is_none_or(|known| known.view.everyone().iter().any(|m| m.id == sender));
        if !repeated
            && (epoch <= self.promised_epoch() || !member || self.lease_forbids_promise(sender, released))
        {
            let rejection = Body::Reject(Reject { epoch, promised: self.promised, view: self.view.clone() });
            return self.send(from, rejection, out);
        }
        let mut records = Vec::new();
        self.reset_election_timer();
        if !repeated {
            self.promised = Some(proposal_number);
            self.pre_vote = None;
            self.step_down(out);
            records.push(Record::Promise(proposal_number));
        }
        let reply = self.make_promise(proposal_number, position);
        if self.config.injected_fault.forgets_promise() {
            return self.send(from, reply, out);
        }
        let effect = self.reply_once_durable(from, reply);
        self.persist(records, effect, out);
    }

    fn make_promise(&mut self, proposal_number: ProposalNumber, held: Option<LogPosition>) -> Body {
        let newer = self.data.clone().filter(|data| held.is_none_or(|held| held < data.position));
        let data = newer.filter(|data| self.should_send_snapshot(proposal_number, held, data));
        Body::Promise(Promise {
            epoch: proposal_number.epoch,
            view: self.view.clone(),
            position: self.data.as_ref().map(|data| data.position),
            data,
            healthy: self.healthy(),
        })
    }

    /// Notes that the data goes to a candidate, unless it went before and may still be on its way.
    fn should_send_snapshot(
        &mut self,
        proposal_number: ProposalNumber,
        held: Option<LogPosition>,
        data: &Data,
    ) -> bool {
        let before = self
            .snapshot_sent
            .filter(|sent| sent.proposal_number == proposal_number && sent.candidate_position == held);
        let timeout = |sent: SnapshotSent| retransmission_delay(state_bytes(&data.state), sent.repetitions);
        if before.is_some_and(|sent| self.now() < sent.sent_at + timeout(sent)) {
            return false;
        }
        let repetitions = before.map_or(0, |sent| sent.repetitions + 1);
        self.snapshot_sent = Some(SnapshotSent {
            proposal_number,
            candidate_position: held,
            sent_at: self.now(),
            repetitions,
        });
        true
    }

    pub(crate) fn handle_promise(
        &mut self,
        sender: ReplicaId,
        Promise { epoch, view, position, data, healthy }: Promise,
        out: &mut Vec<Output>,
    ) {
        let Some(campaign) = self.campaign.as_mut() else { return };
        if campaign.epoch != epoch || !campaign.stage.collecting_promises() {
            return;
        }
        let before = campaign.promises.remove(&sender).filter(|before| before.position == position);
        let data = data.or_else(|| before.and_then(|before| before.data));
        campaign.promises.insert(sender, ReceivedPromise { position, data, healthy });
        if let Some(view) = view {
            self.maybe_rebase(view, out);
        }
        self.maybe_record_quorum(out);
    }

    /// Bases the campaign on a later view that somebody knows.
    fn maybe_rebase(&mut self, mut shown: KnownView, out: &mut Vec<Output>) {
        shown.active |= self.config.injected_fault.skips_previous_members();
        let Some(campaign) = self.campaign.as_mut() else { return };
        if shown.view.epoch == campaign.base_view.view.epoch {
            campaign.base_view.active |= shown.active;
        } else if shown.view.epoch > campaign.base_view.view.epoch {
            campaign.base_view = shown;
            campaign.membership = None;
            campaign.quorum_since = None;
            self.end_leadership(out);
            let Some(campaign) = self.campaign.as_mut() else { return };
            if campaign.base_view.view.epoch >= campaign.epoch
                || campaign.base_view.view.member(self.id).is_none()
            {
                let learnt = campaign.base_view.clone();
                self.abandon_campaign(out);
                return self.learn_view(learnt, out);
            }
            self.broadcast_prepare(out);
        }
    }

    fn maybe_record_quorum(&mut self, out: &mut Vec<Output>) {
        let (now, fault) = (self.now(), self.config.injected_fault);
        let Some(campaign) = self.campaign.as_mut() else { return };
        if campaign.stage.collecting_promises()
            && campaign.quorum_since.is_none()
            && campaign.has_quorum(fault)
        {
            campaign.quorum_since = Some(now);
        }
        self.maybe_start_installation(out);
    }

    fn maybe_start_installation(&mut self, out: &mut Vec<Output>) {
        let Some(campaign) = &self.campaign else { return };
        let Some(since) = campaign.quorum_since else { return };
        let gathered = campaign.all_promised() || self.now() >= since + PROMISE_GRACE_PERIOD;
        if !campaign.stage.collecting_promises() || !gathered {
            return;
        }
        match self.newest_data() {
            Some(data) => self.start_installation(data, out),
            None => self.request_data(out),
        }
    }

    /// The newest state among those that the data set of the latest view has shown.
    fn newest_data(&self) -> Option<Data> {
        let campaign = self.campaign.as_ref()?;
        if self.config.injected_fault.takes_any_data() {
            let any = campaign.promises.values().find_map(|promised| promised.data.clone());
            return Some(any.unwrap_or_default());
        }
        let best = campaign.promises.keys().filter_map(|id| campaign.usable_position(*id)).max()?;
        let held = campaign.promises.values().filter_map(|promised| promised.data.as_ref());
        held.chain(&self.data).find(|data| data.position == best).cloned()
    }

    /// Has the promises repeated together with the data, because the own turned out to be worthless.
    fn request_data(&mut self, out: &mut Vec<Output>) {
        let Some(campaign) = self.campaign.as_mut() else { return };
        if campaign.position.take().is_some() {
            campaign.promises.retain(|id, _| *id == self.id);
            campaign.quorum_since = None;
            self.broadcast_prepare(out);
        }
    }

    pub(crate) fn handle_reject(
        &mut self,
        sender: ReplicaId,
        Reject { epoch, promised, view }: Reject,
        out: &mut Vec<Output>,
    ) {
        let now = self.now();
        self.observe_epoch(promised.map_or(0, |proposal_number| proposal_number.epoch));
        if let Some(view) = view {
            self.learn_view(view, out);
        }
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| campaign.epoch == epoch) else {
            return;
        };
        if promised.is_some_and(|proposal_number| proposal_number.epoch >= epoch) {
            campaign.rejected.insert(sender);
            campaign.rejected_since.get_or_insert(now);
            if campaign.cannot_reach_quorum() {
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
            let pause = self.random_below(2 * ELECTION_JITTER);
            self.last_heard = self.now() + pause;
            self.waived_timeout = self.config.lease_duration;
            self.reject_queued_proposals(out);
        }
    }

    fn resend_campaign(&mut self, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(campaign) = self.campaign.as_mut().filter(|campaign| now >= campaign.next_send) else {
            return;
        };
        campaign.next_send = now + RESEND_INTERVAL;
        if !campaign.promises.contains_key(&self.id) {
            let epoch = campaign.epoch;
            return self.persist(Vec::new(), Some(Effect::OwnPromise { epoch }), out);
        }
        if campaign.stage.collecting_promises() {
            self.broadcast_prepare(out);
        } else {
            self.resend_stage(out);
        }
    }
}
