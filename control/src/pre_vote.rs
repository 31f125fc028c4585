//! Pre-vote: a replica asks whether a campaign would succeed before it uses up an epoch.
//!
//! Raft has the same step (Ongaro, Consensus: Bridging Theory and Practice, section 9.6). It keeps a replica that was
//! partitioned from raising epochs that interrupt a healthy primary.

use std::{collections::BTreeMap, net::SocketAddrV4};

use crate::{
    Body, KnownView, Micros, Output, PreVoteReply, Replica, ReplicaId, election::RESEND_INTERVAL,
    time::MILLISECOND,
};

/// How long a reply counts after its pre-vote was sent; allows for slow links in both directions.
const PRE_VOTE_VALIDITY: Micros = 1_000 * MILLISECOND;

/// A pre-vote in rounds; a round is repeated before all replies to the one before have arrived.
#[derive(Debug)]
pub(crate) struct PreVote {
    pub base_view: KnownView,
    /// The rounds whose replies count.
    pub rounds: Vec<PreVoteRound>,
    /// The members that would promise, with the time of the round that they replied to.
    pub granted: BTreeMap<ReplicaId, Micros>,
    pub next_send: Micros,
}

/// One round of a pre-vote.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PreVoteRound {
    /// Identifies the round in the replies: the current time plus a random number, so that an earlier round with the
    /// same number is unlikely.
    pub number: u64,
    pub sent_at: Micros,
}

impl PreVote {
    /// Drops the rounds that are too old, and the replies to them.
    pub fn expire_before(&mut self, time: Micros) {
        self.rounds.retain(|round| round.sent_at >= time);
        self.granted.retain(|_, sent_at| *sent_at >= time);
    }

    pub fn record_grant(&mut self, sender: ReplicaId, round: u64) {
        if let Some(round) = self.rounds.iter().find(|known| known.number == round) {
            self.granted.insert(sender, round.sent_at);
        }
    }

    pub fn has_quorum(&self) -> bool {
        self.base_view.quorum(&self.granted.keys().copied().collect())
    }
}

impl Replica {
    pub(crate) fn broadcast_pre_vote(&mut self, out: &mut Vec<Output>) {
        if self.election.pre_vote.as_ref().is_some_and(|pre_vote| self.now() < pre_vote.next_send) {
            return;
        }
        let Some(known) = self.stored.view.clone() else { return };
        let (now, round) = (self.now(), self.random_below(u64::MAX >> 34) + self.now());
        let before = self
            .election
            .pre_vote
            .take()
            .filter(|pre_vote| pre_vote.base_view.view.epoch >= known.view.epoch);
        let fresh =
            || PreVote { base_view: known, rounds: Vec::new(), granted: BTreeMap::new(), next_send: 0 };
        let mut pre_vote = before.unwrap_or_else(fresh);
        pre_vote.expire_before(now.saturating_sub(PRE_VOTE_VALIDITY));
        pre_vote.rounds.push(PreVoteRound { number: round, sent_at: now });
        pre_vote.next_send = now + RESEND_INTERVAL;
        if self.lease_forbids_promise(self.id, None) {
            pre_vote.granted.remove(&self.id);
        } else {
            pre_vote.granted.insert(self.id, now);
        }
        for member in pre_vote.base_view.view.everyone().iter().filter(|member| member.id != self.id) {
            self.send(member.address, Body::PreVote { round }, out);
        }
        self.election.pre_vote = Some(pre_vote);
        self.maybe_campaign(out);
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        from: SocketAddrV4,
        sender: ReplicaId,
        round: u64,
        out: &mut Vec<Output>,
    ) {
        let known = self
            .stored
            .view
            .as_ref()
            .is_none_or(|known| known.view.everyone().iter().any(|m| m.id == sender));
        let granted = known && !self.lease_forbids_promise(sender, None);
        let reply = Body::PreVoteReply(PreVoteReply {
            round,
            granted,
            promised: self.stored.promised,
            view: self.stored.view.clone(),
        });
        self.send(from, reply, out);
    }

    pub(crate) fn handle_pre_vote_reply(
        &mut self,
        sender: ReplicaId,
        PreVoteReply { round, granted, promised, view }: PreVoteReply,
        out: &mut Vec<Output>,
    ) {
        self.observe_epoch(promised.map_or(0, |proposal_number| proposal_number.epoch));
        if let Some(view) = view {
            self.learn_view(view, out);
        }
        let now = self.now();
        if let Some(pre_vote) = self.election.pre_vote.as_mut().filter(|_| granted) {
            pre_vote.expire_before(now.saturating_sub(PRE_VOTE_VALIDITY));
            pre_vote.record_grant(sender, round);
            self.maybe_campaign(out);
        }
    }

    fn maybe_campaign(&mut self, out: &mut Vec<Output>) {
        let granted_by_quorum = self.election.pre_vote.as_ref().is_some_and(PreVote::has_quorum);
        if granted_by_quorum && self.election.campaign.is_none() && !self.lease_forbids_promise(self.id, None)
        {
            self.election.pre_vote = None;
            self.start_campaign(None, None, out);
        }
    }
}
