//! How many other nodes must have an item, and which, before its publication is acknowledged.

use std::net::SocketAddrV4;

/// How many other nodes must have an item before its publication is acknowledged, and which.
///
/// All nodes of the group may lose their memory at the same time, for example by a power loss, and any number of the nodes
/// outside it may be removed; so copies can be required both inside and outside the group. Nodes that are shutting down
/// count only towards `count`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicationFactor<'a> {
    /// The total number of nodes, or all peers if there are fewer.
    pub count: usize,
    /// Nodes that may be lost together; items are pushed to them first.
    pub group: &'a [SocketAddrV4],
    /// The minimum number inside the group, or all of the group if it is smaller.
    pub inside: usize,
    /// The minimum number outside the group, or all nodes there if there are fewer.
    pub outside: usize,
}

impl<'a> ReplicationFactor<'a> {
    /// Requires `count` copies on any nodes, preferably on those of `prefer`.
    pub fn anywhere(count: usize, prefer: &'a [SocketAddrV4]) -> ReplicationFactor<'a> {
        ReplicationFactor { count, group: prefer, inside: 0, outside: 0 }
    }
}

/// The number of missing acknowledgments.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MissingAcknowledgments {
    pub inside: usize,
    pub outside: usize,
    /// In addition to those, from any nodes.
    pub anywhere: usize,
}

impl MissingAcknowledgments {
    pub fn total(self) -> usize {
        self.inside + self.outside + self.anywhere
    }
}
