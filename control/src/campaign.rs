//! What a candidate and its voters keep in mind: a poll, a campaign, how far it has come.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    Data, InjectedFault, KnownView, LogPosition, ProposalNumber, ReplicaId, View,
    config::MILLISECOND,
    membership::Wanted,
    transfer::{state_bytes, transfer_time},
};

/// A campaign that takes longer begins anew with a higher epoch.
const CAMPAIGN_LIMIT: u64 = 1_200 * MILLISECOND;
/// A campaign that a rival has got in the way of begins anew this long after the first refusal if no quorum has come.
const RIVALRY_LIMIT: u64 = 250 * MILLISECOND;

/// Asks around whether a campaign would succeed, in rounds that are repeated before the answers are there.
#[derive(Debug)]
pub(crate) struct Poll {
    pub base: KnownView,
    /// The rounds whose answers count, with their times.
    pub rounds: Vec<(u64, u64)>,
    /// Who would promise, with the time of the round that was answered.
    pub granted: BTreeMap<ReplicaId, u64>,
    pub next_send: u64,
}

impl Poll {
    /// Forgets the rounds that are too old, and what was answered to them.
    pub fn forget_before(&mut self, time: u64) {
        self.rounds.retain(|(_, at)| *at >= time);
        self.granted.retain(|_, at| *at >= time);
    }

    pub fn grant(&mut self, sender: ReplicaId, round: u64) {
        let asked = self.rounds.iter().find(|(known, _)| *known == round);
        if let Some((_, at)) = asked {
            self.granted.insert(sender, *at);
        }
    }

    pub fn welcome(&self) -> bool {
        self.base.quorum(&self.granted.keys().copied().collect())
    }
}

/// What a member said when it promised.
#[derive(Debug)]
pub(crate) struct Promised {
    pub position: Option<LogPosition>,
    pub data: Option<Data>,
    pub healthy: bool,
}

/// Data that went to a candidate together with a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DataSent {
    pub proposal_number: ProposalNumber,
    /// What the candidate held.
    pub held: Option<LogPosition>,
    pub at: u64,
    pub repetitions: u32,
}

/// How far a campaign has come.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Promises are gathered.
    Gathering,
    /// The state goes to the backups of the view to be.
    Installing {
        view: Arc<View>,
        source: Data,
        installed: BTreeSet<ReplicaId>,
        /// How often the state has been sent whole to a backup; never to those that hold the source.
        attempts: BTreeMap<ReplicaId, u64>,
        passed_over: BTreeSet<ReplicaId>,
        since: u64,
    },
    /// The view is being accepted; it can't be altered any more.
    Accepting { view: Arc<View>, accepted: BTreeSet<ReplicaId> },
}

impl Stage {
    /// Whether promises are still gathered.
    pub fn gathering(&self) -> bool {
        matches!(self, Stage::Gathering)
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
    pub base: KnownView,
    pub position: Option<LogPosition>,
    pub promises: BTreeMap<ReplicaId, Promised>,
    pub refused: BTreeSet<ReplicaId>,
    /// When a member first refused because of a rival.
    pub refused_since: Option<u64>,
    pub quorum_since: Option<u64>,
    pub wanted: Option<Wanted>,
    pub stage: Stage,
}

impl Campaign {
    pub fn has_quorum(&self, injected_fault: Option<InjectedFault>) -> bool {
        let present = self.promises.keys().copied().collect();
        let holder = self.promises.keys().any(|id| self.usable(*id).is_some());
        self.base.quorum(&present) && (holder || injected_fault == Some(InjectedFault::TakesAnyData))
    }

    /// The position that a member of the latest view's data set has shown.
    pub fn usable(&self, id: ReplicaId) -> Option<LogPosition> {
        let position = self.promises.get(&id)?.position?;
        (self.base.view.holds_data(id) && position.epoch >= self.base.view.epoch).then_some(position)
    }

    pub fn everyone_promised(&self) -> bool {
        self.base.view.members.iter().all(|member| self.promises.contains_key(&member.id))
    }

    /// When the campaign has taken too long.
    pub fn ends(&self) -> u64 {
        let held_up = self.refused_since.filter(|_| self.stage.gathering() && self.quorum_since.is_none());
        let ends = self.started + self.limit();
        held_up.map_or(ends, |since| ends.min(since + RIVALRY_LIMIT))
    }

    fn limit(&self) -> u64 {
        match &self.stage {
            // One backup that is passed over for another, or one transfer that has to be made twice.
            Stage::Installing { source, attempts, .. } => {
                CAMPAIGN_LIMIT + 2 * transfer_time(state_bytes(&source.state) * attempts.len())
            }
            _ => CAMPAIGN_LIMIT,
        }
    }

    pub fn hopeless(&self) -> bool {
        let everyone = self.base.view.everyone();
        let possible =
            everyone.iter().map(|member| member.id).filter(|id| !self.refused.contains(id)).collect();
        !self.base.quorum(&possible)
    }
}
