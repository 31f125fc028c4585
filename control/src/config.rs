//! Settings of a replica, and the spans of time that the protocol uses.

use std::{net::SocketAddrV4, sync::Arc};

use typed_builder::TypedBuilder;

use crate::FaultInjection;

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
    #[builder(default, setter(into))]
    pub injected_fault: FaultInjection,
}

impl ReplicaConfig {
    /// Clocks of two replicas differ in rate by one part in this many at the most: what the margin of the lease allows.
    pub(crate) fn clock_drift(&self) -> u64 {
        (self.lease_duration / self.lease_margin.max(1)).saturating_sub(1).max(1)
    }
}
