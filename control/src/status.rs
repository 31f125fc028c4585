//! A glance at a replica from outside.

use crate::{KnownView, ReplicaId};

/// What a replica does at present.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Not a member of the view that it knows, or knows none.
    NonMember,
    /// A member without data.
    Witness,
    /// Holds the data for a primary.
    Backup,
    /// Seeks to form a view.
    Candidate,
    /// Leads the active view, perhaps without a lease at the moment.
    Primary,
}

/// A glance at a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Its identity.
    pub id: ReplicaId,
    /// Its role.
    pub role: Role,
    /// The view that it has accepted.
    pub view: Option<KnownView>,
    /// The epoch in which it leads within a lease.
    pub leading: Option<u64>,
    /// Until when the lease of a primary runs, in microseconds of the steady clock.
    pub lease_until: Option<u64>,
    /// The number of changes in the state that it holds.
    pub sequence: Option<u64>,
    /// Whether its disk takes writes.
    pub disk_healthy: bool,
}
