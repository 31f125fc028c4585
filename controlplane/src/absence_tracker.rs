//! How long nodes have been without a session. No I/O.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use crate::Micros;

/// For each absent node, the time at which it became absent.
#[derive(Default)]
pub struct AbsenceTracker {
    absent_since: HashMap<SocketAddrV4, Micros>,
}

impl AbsenceTracker {
    /// Replaces the set of absent nodes; a node that stays in it keeps the time of its first absence.
    pub fn update(&mut self, now: Micros, absent: impl IntoIterator<Item = SocketAddrV4>) {
        let absent: Vec<SocketAddrV4> = absent.into_iter().collect();
        self.absent_since.retain(|node, _| absent.contains(node));
        for node in absent {
            self.absent_since.entry(node).or_insert(now);
        }
    }

    /// True if the node has been absent for longer than `span` microseconds.
    pub fn absent_for_longer_than(&self, node: SocketAddrV4, now: Micros, span: Micros) -> bool {
        self.absent_since.get(&node).is_some_and(|since| now.saturating_sub(*since) > span)
    }
}
