//! Settings of a replica, and the spans of time that the protocol uses.

use std::{net::SocketAddrV4, sync::Arc};

use typed_builder::TypedBuilder;

/// One millisecond in the unit of the steady clock.
pub(crate) const MILLISECOND: u64 = 1_000;

/// Settings of a replica.
#[derive(Debug, Clone, TypedBuilder)]
pub struct ReplicaConfig {
    /// The internal address of this machine.
    pub address: SocketAddrV4,
    /// Its zone.
    #[builder(setter(into))]
    pub zone: Arc<str>,
    /// Whether the whole system starts for the first time.
    #[builder(default = false)]
    pub first_boot: bool,
    /// How many machines may be lost at once.
    #[builder(default = 1)]
    pub machine_losses: usize,
    /// The length of a lease in microseconds.
    #[builder(default = 1_500 * MILLISECOND)]
    pub lease_duration: u64,
    /// How much sooner the primary stops than its lease runs out, in microseconds.
    #[builder(default = 100 * MILLISECOND)]
    pub lease_margin: u64,
    /// The time between heartbeats in microseconds.
    #[builder(default = 300 * MILLISECOND)]
    pub heartbeat_interval: u64,
    /// The longest time to an answer in microseconds.
    #[builder(default = 3_500 * MILLISECOND)]
    pub proposal_timeout: u64,
    /// How long a replica that is about to end waits at most until others hold what it holds, in microseconds.
    #[builder(default = 7_000 * MILLISECOND)]
    pub shutdown_timeout: u64,
    /// Spreads the campaigns of replicas.
    #[builder(default = 0)]
    pub seed: u64,
    /// A fault for tests of the tests; never set in service.
    #[builder(default)]
    pub injected_fault: Option<InjectedFault>,
}

impl ReplicaConfig {
    /// Clocks of two replicas differ in rate by one part in this many at the most: what the margin of the lease allows.
    pub(crate) fn clock_drift(&self) -> u64 {
        (self.lease_duration / self.lease_margin.max(1)).saturating_sub(1).max(1)
    }
}

/// Faults of the protocol that tests build in to show that they would be noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    /// Acknowledges a change before the backups have it.
    AcknowledgesEarly,
    /// Replies with a promise that isn't on the disk.
    ForgetsPromise,
    /// Grants an epoch while the lease of another runs.
    IgnoresLease,
    /// The primary never stops for want of a lease.
    LeadsForever,
    /// Has a view accepted before its backups hold the data.
    AcceptsBeforeInstall,
    /// Takes the state from whoever answers, or none, instead of the newest of the data set.
    TakesAnyData,
    /// Counts any view as active, and never asks the members of the view before.
    SkipsPrior,
    /// Grants again after a restart without waiting for the leases that it forgot.
    GrantsAfterRestart,
    /// Judges a rival of a pending change at once.
    JudgesRivalEarly,
    /// A replica that is to end doesn't wait until others hold what it holds or it has been taken out of the view.
    EndsAtOnce,
    /// Enlarges a view although a member is silent, on the word of a joiner that may be gone; and a new primary begins
    /// to wait for silent members anew.
    GrowsAtOnce,
    /// The primary lets its state be read after its lease has run out.
    ReadsWithoutLease,
    /// Forgets the accepted orders when a state is installed.
    ForgetsOrdersAtInstall,
    /// Installs a state under the position that it had before.
    InstallsWithoutEpoch,
}
