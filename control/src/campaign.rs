//! A campaign: one attempt of a candidate to form the view of an epoch.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{
    Data, FaultInjection, KnownView, LogPosition, Micros, ProposalNumber, ReplicaId, View,
    membership::Membership,
    time::MILLISECOND,
    transmission::{state_bytes, transfer_time},
};

/// Time limit of a campaign, to which the time for its writes and transfers is added. A campaign that exceeds it is
/// abandoned; the next one uses a higher epoch.
const CAMPAIGN_TIMEOUT: Micros = 1_200 * MILLISECOND;
/// Writes of a campaign that run one after the other: the candidate's promise, the others' promises, the state, the
/// view.
const CAMPAIGN_WRITES: Micros = 4;
/// Each consecutive campaign that had a quorum and timed out extends the time limit of the next one by this: disks of
/// other members may be slower than the candidate's own.
const TIMEOUT_EXTENSION: Micros = 600 * MILLISECOND;
/// At most this many consecutive campaigns extend the time limit.
const MAX_EXTENSIONS: u32 = 3;
/// A campaign that was rejected because of a rival candidate is abandoned this long after the first rejection, unless
/// it has a quorum.
const REJECTED_CAMPAIGN_TIMEOUT: Micros = 250 * MILLISECOND;

/// The content of a member's promise.
#[derive(Debug)]
pub(crate) struct ReceivedPromise {
    pub position: Option<LogPosition>,
    pub data: Option<Data>,
    pub healthy: bool,
}

/// A snapshot that was sent to a candidate together with a promise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SnapshotSent {
    pub proposal_number: ProposalNumber,
    /// The position of the candidate's own data when it asked.
    pub candidate_position: Option<LogPosition>,
    pub sent_at: Micros,
    pub repetitions: u32,
}

/// The phase that a campaign has reached.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Phase 1 of Paxos: promises are collected.
    CollectingPromises,
    /// The state is installed on the backups of the next view.
    InstallingSnapshots {
        view: Arc<View>,
        source: Data,
        installed: BTreeSet<ReplicaId>,
        /// How often a snapshot was sent to each backup; those that hold the source position need none.
        attempts: BTreeMap<ReplicaId, u64>,
        excluded: BTreeSet<ReplicaId>,
        since: Micros,
    },
    /// Phase 2 of Paxos: the view is sent to its members, and is immutable from here on.
    AcceptingView { view: Arc<View>, accepted: BTreeSet<ReplicaId> },
}

impl Stage {
    /// Whether promises are still collected.
    pub fn collecting_promises(&self) -> bool {
        matches!(self, Stage::CollectingPromises)
    }
}

/// One attempt to form a view.
#[derive(Debug)]
pub(crate) struct Campaign {
    pub epoch: u64,
    pub released: Option<ProposalNumber>,
    pub started: Micros,
    pub next_send: Micros,
    /// The latest view that any promise has reported.
    pub base_view: KnownView,
    pub position: Option<LogPosition>,
    pub promises: BTreeMap<ReplicaId, ReceivedPromise>,
    pub rejected: BTreeSet<ReplicaId>,
    /// When a member first rejected the campaign because of a rival candidate.
    pub rejected_since: Option<Micros>,
    pub quorum_since: Option<Micros>,
    pub membership: Option<Membership>,
    pub stage: Stage,
    /// How long a write takes at the candidate.
    pub expected_write: Micros,
    /// Campaigns of this candidate in a row that had a quorum and timed out.
    pub earlier_timeouts: u32,
}

impl Campaign {
    pub fn has_quorum(&self, fault: FaultInjection) -> bool {
        let present = self.promises.keys().copied().collect();
        let data_available = self.promises.keys().any(|id| self.usable_position(*id).is_some());
        self.base_view.quorum(&present) && (data_available || fault.takes_any_data())
    }

    /// The position that a member reported, if it belongs to the data set of the latest view.
    pub fn usable_position(&self, id: ReplicaId) -> Option<LogPosition> {
        let position = self.promises.get(&id)?.position?;
        (self.base_view.view.holds_data(id) && position.epoch >= self.base_view.view.epoch)
            .then_some(position)
    }

    pub fn all_promised(&self) -> bool {
        self.base_view.view.members.iter().all(|member| self.promises.contains_key(&member.id))
    }

    /// When the campaign times out.
    pub fn deadline(&self) -> Micros {
        let rejected =
            self.rejected_since.filter(|_| self.stage.collecting_promises() && self.quorum_since.is_none());
        let deadline = self.started + self.time_limit();
        rejected.map_or(deadline, |since| deadline.min(since + REJECTED_CAMPAIGN_TIMEOUT))
    }

    fn time_limit(&self) -> Micros {
        let extension = TIMEOUT_EXTENSION * Micros::from(self.earlier_timeouts.min(MAX_EXTENSIONS));
        let limit = CAMPAIGN_TIMEOUT + CAMPAIGN_WRITES * self.expected_write + extension;
        match &self.stage {
            // Allows for one backup that is replaced by another, or one transfer that is repeated.
            Stage::InstallingSnapshots { source, attempts, .. } => {
                limit + 2 * transfer_time(state_bytes(&source.state) * attempts.len())
            }
            _ => limit,
        }
    }

    pub fn cannot_reach_quorum(&self) -> bool {
        let everyone = self.base_view.view.everyone();
        let possible =
            everyone.iter().map(|member| member.id).filter(|id| !self.rejected.contains(id)).collect();
        !self.base_view.quorum(&possible)
    }
}
