//! Settings of a replica.

use std::{net::SocketAddrV4, sync::Arc};

use typed_builder::TypedBuilder;

use crate::{FaultInjection, Micros, time::MILLISECOND};

/// Settings of a replica.
#[derive(Debug, Clone, TypedBuilder)]
pub struct ReplicaConfig {
    /// The internal address of this machine.
    pub address: SocketAddrV4,
    /// The zone of this machine.
    #[builder(setter(into))]
    pub zone: Arc<str>,
    /// Whether the system starts for the first time.
    #[builder(default = false)]
    pub first_boot: bool,
    /// How many machines may be lost at once; the number of backups that a view should have.
    #[builder(default = 1)]
    pub machine_losses: usize,
    /// The length of a lease in microseconds.
    #[builder(default = 1_500 * MILLISECOND)]
    pub lease_duration: Micros,
    /// How long before the expiry of its lease the primary stops acting on it, in microseconds. It covers clock
    /// drift.
    #[builder(default = 100 * MILLISECOND)]
    pub lease_margin: Micros,
    /// The time between heartbeats in microseconds.
    #[builder(default = 300 * MILLISECOND)]
    pub heartbeat_interval: Micros,
    /// After this time a proposal is answered, if need be with [`crate::Outcome::Unknown`], in microseconds.
    #[builder(default = 3_500 * MILLISECOND)]
    pub proposal_timeout: Micros,
    /// The longest time that a graceful shutdown waits until no other replica depends on this one, in microseconds.
    #[builder(default = 7_000 * MILLISECOND)]
    pub shutdown_timeout: Micros,
    /// Seed of the jitter between the campaigns of replicas.
    #[builder(default = 0)]
    pub seed: u64,
    /// A fault to inject, by which tests show that they detect it; never set in production.
    #[builder(default, setter(into))]
    pub injected_fault: FaultInjection,
}

impl ReplicaConfig {
    /// The clocks of two replicas differ in rate by at most one part in this many: what the lease margin allows for.
    pub(crate) fn clock_drift(&self) -> u64 {
        (self.lease_duration / self.lease_margin.max(1)).saturating_sub(1).max(1)
    }
}
