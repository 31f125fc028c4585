//! How many nodes must have an item before its publication is acknowledged, and where.

use std::net::SocketAddrV4;

/// How many other nodes must have an item before its publication is acknowledged, and which.
///
/// Nodes of the group may all lose their memory at the same moment, and those beside it may go in any number; so copies
/// can be asked for on both sides. Nodes that are shutting down count for `count` only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicationFactor<'a> {
    /// How many altogether, or all peers where there are fewer.
    pub count: usize,
    /// Nodes that may be lost together; they are asked before others.
    pub group: &'a [SocketAddrV4],
    /// How many in the group at least, or all of it.
    pub inside: usize,
    /// How many outside the group at least, or all that are there.
    pub outside: usize,
}

impl<'a> ReplicationFactor<'a> {
    /// Copies anywhere, preferably at these nodes.
    pub fn anywhere(count: usize, prefer: &'a [SocketAddrV4]) -> ReplicationFactor<'a> {
        ReplicationFactor { count, group: prefer, inside: 0, outside: 0 }
    }
}

/// How many acknowledgments are missing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Missing {
    pub inside: usize,
    pub outside: usize,
    /// Beside those, wherever.
    pub anywhere: usize,
}

impl Missing {
    pub fn total(self) -> usize {
        self.inside + self.outside + self.anywhere
    }
}
