//! The status of a replica as its caller sees it.

use crate::{KnownView, Micros, ReplicaId};

/// The role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Not a member of the latest view that it knows, or it knows none.
    NonMember,
    /// A member without data.
    Witness,
    /// A member that holds the data besides the primary.
    Backup,
    /// Campaigns to form a view.
    Candidate,
    /// Primary of the active view; its lease may have expired.
    Primary,
}

/// The status of a replica.
#[derive(Debug, Clone, PartialEq)]
pub struct Status {
    /// Its identity.
    pub id: ReplicaId,
    /// Its role.
    pub role: Role,
    /// The view that it has accepted.
    pub view: Option<KnownView>,
    /// The epoch in which it is primary within a valid lease.
    pub leading: Option<u64>,
    /// When the lease of a primary expires, in microseconds of the monotonic clock.
    pub lease_until: Option<Micros>,
    /// The number of changes in the state that it holds.
    pub sequence: Option<u64>,
    /// Whether writes to its disk succeed in time.
    pub disk_healthy: bool,
}
