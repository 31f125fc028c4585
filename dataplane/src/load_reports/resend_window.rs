//! Items that have not been sent to all peers yet. Does no I/O.

use std::collections::VecDeque;

/// The new items of the last rounds. If a report does not reach all peers, each peer is reached once in several
/// rounds, and an item stays in the window for that many.
#[derive(Debug)]
pub struct ResendWindow<T> {
    rounds: VecDeque<Vec<T>>,
    /// Maximum number of items in one report.
    capacity: usize,
}

impl<T: Clone> ResendWindow<T> {
    /// Creates an empty window for reports of at most `capacity` items.
    pub fn new(capacity: usize) -> Self {
        ResendWindow { rounds: VecDeque::new(), capacity }
    }

    /// Adds the items of a new round, dropping those beyond the capacity, and keeps the last `rounds` rounds.
    pub fn push_round(&mut self, items: impl Iterator<Item = T>, rounds: usize) {
        self.rounds.push_back(items.take(self.capacity).collect());
        while self.rounds.len() > rounds {
            self.rounds.pop_front();
        }
    }

    /// The latest items, at most as many as a report can hold, oldest first.
    pub fn items(&self) -> Vec<T> {
        let count = self.rounds.iter().map(Vec::len).sum::<usize>();
        self.rounds.iter().flatten().skip(count.saturating_sub(self.capacity)).cloned().collect()
    }
}
