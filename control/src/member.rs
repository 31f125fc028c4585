//! The identity of a replica, and the member of a view.

use std::{fmt, net::SocketAddrV4, sync::Arc};

/// The identity of a replica: a random number, created together with its stored state.
///
/// A machine that lost its disk comes back with another identity, because it no longer knows its promises.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// A member of a view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its identity.
    pub id: ReplicaId,
    /// Its internal address.
    pub address: SocketAddrV4,
    /// The zone of its machine; backups prefer other zones than the primary's.
    pub zone: Arc<str>,
}
