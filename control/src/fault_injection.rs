//! Faults that tests inject into the protocol, to show that their checks detect them.
//!
//! Everything that deviates from the protocol on purpose is in this file. Protocol code asks one predicate per fault;
//! without the feature `fault-injection` each of them is the constant `false`, and the branches behind them are
//! compiled out of production builds.

use std::sync::Arc;

use crate::{
    AcceptedHistory, ChangeCheck, ControlState, Data, Lease, LogPosition, Micros, Outcome, Output, Replica,
};

/// A fault of the protocol. A replica with one is a broken version, which the tests have to detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    /// Acknowledges a change before the backups have it.
    AcknowledgesEarly,
    /// Replies with a promise that isn't on the disk.
    ForgetsPromise,
    /// Promises an epoch to a candidate while the lease of another replica runs.
    IgnoresLease,
    /// The primary doesn't stop when its lease expires.
    LeadsForever,
    /// Has a view accepted before its backups hold the data.
    AcceptsBeforeInstall,
    /// A candidate takes the state from any member that promised, or an empty one, instead of the newest of the data
    /// set.
    TakesAnyData,
    /// A candidate takes any view for active, and so never needs a majority of the previous members.
    SkipsPreviousMembers,
    /// Promises epochs after a restart without waiting for the leases that it granted before.
    GrantsAfterRestart,
    /// Rejects a change as a conflict with one that is pending, before that one is committed.
    RejectsRivalEarly,
    /// A replica that shuts down doesn't wait until others hold its data or it has been removed from the view.
    ExitsAtOnce,
    /// Enlarges a view although a member doesn't reply, on the request of a joiner that may no longer exist; and a new
    /// primary restarts the timeouts of members that didn't reply in its campaign.
    GrowsAtOnce,
    /// The primary lets its state be read after its lease has expired.
    ReadsWithoutLease,
    /// Forgets the history of accepted configurations when a snapshot is installed.
    ForgetsHistoryAtInstall,
    /// Installs a snapshot under the position that it had before.
    InstallsWithoutEpoch,
}

/// The fault that is injected into one replica; always none without the feature `fault-injection`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FaultInjection {
    #[cfg(feature = "fault-injection")]
    injected: Option<InjectedFault>,
}

#[cfg(feature = "fault-injection")]
impl From<Option<InjectedFault>> for FaultInjection {
    fn from(injected: Option<InjectedFault>) -> FaultInjection {
        FaultInjection { injected }
    }
}

impl FaultInjection {
    #[cfg(feature = "fault-injection")]
    fn is(self, fault: InjectedFault) -> bool {
        self.injected == Some(fault)
    }

    #[cfg(not(feature = "fault-injection"))]
    fn is(self, _fault: InjectedFault) -> bool {
        false
    }

    pub(crate) fn acknowledges_early(self) -> bool {
        self.is(InjectedFault::AcknowledgesEarly)
    }

    pub(crate) fn forgets_promise(self) -> bool {
        self.is(InjectedFault::ForgetsPromise)
    }

    pub(crate) fn ignores_lease(self) -> bool {
        self.is(InjectedFault::IgnoresLease)
    }

    pub(crate) fn accepts_before_install(self) -> bool {
        self.is(InjectedFault::AcceptsBeforeInstall)
    }

    pub(crate) fn takes_any_data(self) -> bool {
        self.is(InjectedFault::TakesAnyData)
    }

    pub(crate) fn skips_previous_members(self) -> bool {
        self.is(InjectedFault::SkipsPreviousMembers)
    }

    pub(crate) fn grants_after_restart(self) -> bool {
        self.is(InjectedFault::GrantsAfterRestart)
    }

    pub(crate) fn exits_at_once(self) -> bool {
        self.is(InjectedFault::ExitsAtOnce)
    }

    pub(crate) fn grows_at_once(self) -> bool {
        self.is(InjectedFault::GrowsAtOnce)
    }

    /// The lease under which a primary leads although it may have none.
    pub(crate) fn lease_without_end(self, epoch: u64) -> Option<Lease> {
        self.is(InjectedFault::LeadsForever).then_some(Lease { epoch, until: Micros::MAX })
    }

    /// The lease under which a primary lets its state be read although it may have none.
    pub(crate) fn read_lease_without_end(self, epoch: u64) -> Option<Lease> {
        self.is(InjectedFault::ReadsWithoutLease).then_some(Lease { epoch, until: Micros::MAX })
    }

    /// The data that results from installing this state under this position.
    pub(crate) fn installed(
        self,
        position: LogPosition,
        source: LogPosition,
        state: Arc<ControlState>,
    ) -> Data {
        if self.is(InjectedFault::ForgetsHistoryAtInstall) {
            let without_history = ControlState { accepted: AcceptedHistory::default(), ..(*state).clone() };
            return Data { position, state: Arc::new(without_history) };
        }
        let position = if self.is(InjectedFault::InstallsWithoutEpoch) { source } else { position };
        Data { position, state }
    }
}

impl Replica {
    /// With [`InjectedFault::RejectsRivalEarly`], rejects queued changes that conflict with a pending change before
    /// that one is committed.
    pub(crate) fn inject_early_rejections(&mut self, out: &mut Vec<Output>) {
        if !self.config.injected_fault.is(InjectedFault::RejectsRivalEarly) {
            return;
        }
        let (Some(data), true) = (&self.stored.data, self.leadership.is_some()) else { return };
        let state = Arc::clone(&data.state);
        self.queue.retain(|proposal| match state.check(&proposal.change) {
            ChangeCheck::Conflict { current } => {
                let outcome = Outcome::Conflict { current };
                out.push(Output::Answer { proposal_id: proposal.proposal_id, outcome });
                false
            }
            _ => true,
        });
    }
}
