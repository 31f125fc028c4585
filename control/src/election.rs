//! Elections: when a replica campaigns for an epoch, and how a campaign starts, is repeated and ends.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    Micros, Output, ProposalNumber, Record, Replica,
    campaign::{Campaign, SnapshotSent, Stage},
    disk::Effect,
    membership::Membership,
    pre_vote::PreVote,
    prepare_phase::PROMISE_GRACE_PERIOD,
    time::MILLISECOND,
};

/// Interval at which pre-votes and the requests of a campaign are repeated.
pub(crate) const RESEND_INTERVAL: Micros = 150 * MILLISECOND;

/// Each backup waits this much longer than the one ranked before it.
const ELECTION_STAGGER: Micros = 120 * MILLISECOND;
/// The campaigns of replicas are spread over this interval.
const ELECTION_JITTER: Micros = 60 * MILLISECOND;

/// State of elections. `election.rs` owns the timers, `pre_vote.rs` the pre-vote, and the files of the
/// phases (`prepare_phase.rs`, `snapshot_installation.rs`, `accept_phase.rs`) the campaign.
#[derive(Debug)]
pub(crate) struct ElectionState {
    /// The highest epoch that this replica has seen anywhere.
    pub highest_epoch: u64,
    /// The last time at which a primary or a candidate was active, as far as is known here.
    pub last_heard: Micros,
    /// How much of the election timeout this replica waives.
    pub waived_timeout: Micros,
    pub pre_vote: Option<PreVote>,
    pub campaign: Option<Campaign>,
    /// Whether the latest campaign began because another primary's heartbeats were missing, and not by a leadership
    /// transfer from it.
    pub campaign_after_timeout: bool,
    /// Campaigns of this replica in a row that had a quorum and timed out.
    pub campaign_timeouts: u32,
    /// The latest candidate that was sent the data with a promise.
    pub snapshot_sent: Option<SnapshotSent>,
    /// State of the pseudo-random generator for retry delays and the numbers of pre-vote rounds.
    pub random_state: u64,
}

impl Replica {
    pub(crate) fn election_deadline(&self) -> Option<Micros> {
        if let Some(campaign) = &self.election.campaign {
            let grace_period_end = campaign
                .quorum_since
                .filter(|_| campaign.stage.collecting_promises())
                .map(|since| since + PROMISE_GRACE_PERIOD);
            let due = campaign.next_send.min(campaign.deadline());
            return Some(grace_period_end.map_or(due, |grace_period_end| grace_period_end.min(due)));
        }
        match &self.election.pre_vote {
            Some(pre_vote) => Some(pre_vote.next_send),
            None => self.election_due(),
        }
    }

    pub(crate) fn tick_election(&mut self, out: &mut Vec<Output>) {
        if let Some(campaign) = &self.election.campaign {
            if self.now() >= campaign.deadline() {
                self.election.campaign_timeouts += u32::from(campaign.quorum_since.is_some());
                self.abandon_campaign(out);
            } else if campaign.stage.collecting_promises() {
                self.maybe_start_installation(out);
            }
            self.resend_campaign(out);
        }
        if self.election.campaign.is_none() && self.election_due().is_some_and(|due| self.now() >= due) {
            self.broadcast_pre_vote(out);
        }
    }

    /// When this replica campaigns unless it hears from a primary before.
    fn election_due(&self) -> Option<Micros> {
        let view = self.current_view()?;
        view.member(self.id)?;
        // A replica that shuts down may campaign: it can be the only one that has the data.
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
                    .max(self.election.last_heard)
                    .saturating_add(self.config.lease_duration),
            );
        }
        let timeout = match view.backups.iter().position(|id| *id == self.id) {
            _ if view.primary == self.id => self.config.lease_duration,
            Some(rank) => self.config.lease_duration + rank as u64 * ELECTION_STAGGER,
            None => 2 * self.config.lease_duration + self.witness_rank() * ELECTION_STAGGER,
        };
        Some(
            self.election.last_heard
                + timeout.saturating_sub(self.election.waived_timeout)
                + self.jitter(ELECTION_JITTER),
        )
    }

    fn witness_rank(&self) -> u64 {
        let rank = |view: &Arc<crate::View>| {
            view.members.iter().filter(|member| !view.holds_data(member.id) && member.id < self.id).count()
        };
        self.current_view().map_or(0, rank) as u64
    }

    /// A duration below the limit that depends only on this replica and the epoch.
    fn jitter(&self, limit: u64) -> u64 {
        let mixed = (self.config.seed ^ self.id.0)
            .wrapping_add(self.election.highest_epoch)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15);
        (mixed >> 32) % limit
    }

    pub(crate) fn start_campaign(
        &mut self,
        released: Option<ProposalNumber>,
        membership: Option<Membership>,
        out: &mut Vec<Output>,
    ) {
        let Some(mut base) = self.stored.view.clone() else { return };
        base.active |= self.config.injected_fault.skips_previous_members();
        self.observe_epoch(self.promised_epoch().max(base.view.epoch));
        let epoch = self.election.highest_epoch + 1;
        self.observe_epoch(epoch);
        let proposal_number = ProposalNumber { epoch, candidate: self.id };
        self.stored.promised = Some(proposal_number);
        self.election.campaign_after_timeout = released.is_none() && base.view.primary != self.id;
        self.election.campaign = Some(Campaign {
            epoch,
            released,
            started: self.now(),
            next_send: self.now() + RESEND_INTERVAL,
            base_view: base,
            position: self.stored.data.as_ref().map(|data| data.position),
            promises: BTreeMap::new(),
            rejected: BTreeSet::new(),
            rejected_since: None,
            quorum_since: None,
            membership,
            stage: Stage::CollectingPromises,
            expected_write: self.disk.expected_write(),
            earlier_timeouts: self.election.campaign_timeouts,
        });
        // Other members are asked only once this replica's own promise is durable, so that it never uses an epoch
        // again after a restart.
        self.persist(vec![Record::Promise(proposal_number)], Some(Effect::OwnPromise { epoch }), out);
    }

    /// Ends a campaign that can't succeed; the primary of an active view stays primary.
    pub(crate) fn abandon_campaign(&mut self, out: &mut Vec<Output>) {
        if self.election.campaign.take().is_none() {
            return;
        }
        if self.leadership.is_none() {
            let pause = self.random_below(2 * ELECTION_JITTER);
            self.election.last_heard = self.now() + pause;
            self.election.waived_timeout = self.config.lease_duration;
            self.reject_queued_proposals(out);
        }
    }

    fn resend_campaign(&mut self, out: &mut Vec<Output>) {
        let now = self.now();
        let Some(campaign) = self.election.campaign.as_mut().filter(|campaign| now >= campaign.next_send)
        else {
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

    /// Restarts the election timer, because a primary or a candidate is active.
    pub(crate) fn reset_election_timer(&mut self) {
        self.reset_election_timer_at(self.now());
    }

    /// Restarts the election timer as of the time at which the message was sent.
    pub(crate) fn reset_election_timer_at(&mut self, time: Micros) {
        if time >= self.election.last_heard {
            self.election.last_heard = time;
            self.election.waived_timeout = 0;
        }
    }

    pub(crate) fn observe_epoch(&mut self, epoch: u64) {
        self.election.highest_epoch = self.election.highest_epoch.max(epoch);
    }

    /// A pseudo-random number below the limit.
    pub(crate) fn random_below(&mut self, limit: u64) -> u64 {
        self.election.random_state = self
            .election
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.election.random_state >> 33) % limit.max(1)
    }

    /// A primary that restarts campaigns at once: its lease blocks only others.
    pub(crate) fn waive_timeout_of_returning_primary(mut self) -> Replica {
        if self.stored.view.as_ref().is_some_and(|known| known.view.primary == self.id) {
            self.election.waived_timeout = self.config.lease_duration;
        }
        self
    }
}
