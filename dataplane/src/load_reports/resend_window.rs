//! Items that not all peers have been sent yet. No I/O.

use std::collections::VecDeque;

/// The new items of the last rounds: where a report does not reach all peers, each peer is reached once in several
/// rounds, and an item stays in the window for as many.
#[derive(Debug)]
pub struct ResendWindow<T> {
    rounds: VecDeque<Vec<T>>,
    /// Items that one report holds at most.
    capacity: usize,
}

impl<T: Clone> ResendWindow<T> {
    /// An empty window for reports of at most `capacity` items.
    pub fn new(capacity: usize) -> Self {
        ResendWindow { rounds: VecDeque::new(), capacity }
    }

    /// Adds the items of a new round, of which those beyond the capacity are dropped, and keeps `rounds` rounds in all.
    pub fn push_round(&mut self, items: impl Iterator<Item = T>, rounds: usize) {
        self.rounds.push_back(items.take(self.capacity).collect());
        while self.rounds.len() > rounds {
            self.rounds.pop_front();
        }
    }

    /// The latest items, as many as a report holds, oldest first.
    pub fn items(&self) -> Vec<T> {
        let count = self.rounds.iter().map(Vec::len).sum::<usize>();
        self.rounds.iter().flatten().skip(count.saturating_sub(self.capacity)).cloned().collect()
    }
}
