//! What a candidate and its voters keep in mind: a poll, a campaign, how far it has come.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    Data, FaultInjection, KnownView, LogPosition, ProposalNumber, ReplicaId, View,
    config::MILLISECOND,
    membership::Membership,
    transfer::{state_bytes, transfer_time},
};

/// A campaign that takes longer begins anew with a higher epoch.
const CAMPAIGN_TIMEOUT: u64 = 1_200 * MILLISECOND;
/// A campaign that a rival has got in the way of begins anew this long after the first refusal if no quorum has come.
const REJECTED_CAMPAIGN_TIMEOUT: u64 = 250 * MILLISECOND;

/// Asks around whether a campaign would succeed, in rounds that are repeated before the answers are there.
#[derive(Debug)]
pub(crate) struct PreVote {
    pub base_view: KnownView,
    /// The rounds whose answers count, with their times.
    pub rounds: Vec<(u64, u64)>,
    /// Who would promise, with the time of the round that was answered.
    pub granted: BTreeMap<ReplicaId, u64>,
    pub next_send: u64,
}

impl PreVote {
    /// Forgets the rounds that are too old, and what was answered to them.
    pub fn expire_before(&mut self, time: u64) {
        self.rounds.retain(|(_, at)| *at >= time);
        self.granted.retain(|_, at| *at >= time);
    }

    pub fn record_grant(&mut self, sender: ReplicaId, round: u64) {
        let asked = self.rounds.iter().find(|(known, _)| *known == round);
        if let Some((_, at)) = asked {
            self.granted.insert(sender, *at);
        }
    }

    pub fn has_quorum(&self) -> bool {
        self.base_view.quorum(&self.granted.keys().copied().collect())
    }
}

/// What a member said when it promised.
#[derive(Debug)]
pub(crate) struct ReceivedPromise {
    pub position: Option<LogPosition>,
    pub data: Option<Data>,
    pub healthy: bool,
}

/// Data that went to a candidate together with a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SnapshotSent {
    pub proposal_number: ProposalNumber,
    /// What the candidate held.
    pub candidate_position: Option<LogPosition>,
    pub sent_at: u64,
    pub repetitions: u32,
}

/// How far a campaign has come.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Promises are gathered.
    CollectingPromises,
    /// The state goes to the backups of the view to be.
    InstallingSnapshots {
        view: Arc<View>,
        source: Data,
        installed: BTreeSet<ReplicaId>,
        /// How often the state has been sent whole to a backup; never to those that hold the source.
        attempts: BTreeMap<ReplicaId, u64>,
        excluded: BTreeSet<ReplicaId>,
        since: u64,
    },
    /// The view is being accepted; it can't be altered any more.
    AcceptingView { view: Arc<View>, accepted: BTreeSet<ReplicaId> },
}

impl Stage {
    /// Whether promises are still gathered.
    pub fn collecting_promises(&self) -> bool {
        matches!(self, Stage::CollectingPromises)
    }
}

/// A try to form a view.
#[derive(Debug)]
pub(crate) struct Campaign {
    pub epoch: u64,
    pub released: Option<ProposalNumber>,
    pub started: u64,
    pub next_send: u64,
    /// The latest view that any promise has shown.
    pub base_view: KnownView,
    pub position: Option<LogPosition>,
    pub promises: BTreeMap<ReplicaId, ReceivedPromise>,
    pub rejected: BTreeSet<ReplicaId>,
    /// When a member first refused because of a rival.
    pub rejected_since: Option<u64>,
    pub quorum_since: Option<u64>,
    pub membership: Option<Membership>,
    pub stage: Stage,
}

impl Campaign {
    pub fn has_quorum(&self, fault: FaultInjection) -> bool {
        let present = self.promises.keys().copied().collect();
        let holder = self.promises.keys().any(|id| self.usable_position(*id).is_some());
        self.base_view.quorum(&present) && (holder || fault.takes_any_data())
    }

    /// The position that a member of the latest view's data set has shown.
    pub fn usable_position(&self, id: ReplicaId) -> Option<LogPosition> {
        let position = self.promises.get(&id)?.position?;
        (self.base_view.view.holds_data(id) && position.epoch >= self.base_view.view.epoch)
            .then_some(position)
    }

    pub fn all_promised(&self) -> bool {
        self.base_view.view.members.iter().all(|member| self.promises.contains_key(&member.id))
    }

    /// When the campaign has taken too long.
    pub fn deadline(&self) -> u64 {
        let held_up =
            self.rejected_since.filter(|_| self.stage.collecting_promises() && self.quorum_since.is_none());
        let ends = self.started + self.time_limit();
        held_up.map_or(ends, |since| ends.min(since + REJECTED_CAMPAIGN_TIMEOUT))
    }

    fn time_limit(&self) -> u64 {
        match &self.stage {
            // One backup that is passed over for another, or one transfer that has to be made twice.
            Stage::InstallingSnapshots { source, attempts, .. } => {
                CAMPAIGN_TIMEOUT + 2 * transfer_time(state_bytes(&source.state) * attempts.len())
            }
            _ => CAMPAIGN_TIMEOUT,
        }
    }

    pub fn cannot_reach_quorum(&self) -> bool {
        let everyone = self.base_view.view.everyone();
        let possible =
            everyone.iter().map(|member| member.id).filter(|id| !self.rejected.contains(id)).collect();
        !self.base_view.quorum(&possible)
    }
}
