//! News that not all others have been told yet. No I/O.

use std::collections::VecDeque;

/// What was new in the last rounds: where not all others are told each time, each is told once in several.
#[derive(Debug)]
pub struct ResendWindow<T> {
    rounds: VecDeque<Vec<T>>,
    /// As much as one message holds.
    most: usize,
}

impl<T: Clone> ResendWindow<T> {
    /// Of messages that hold so much.
    pub fn new(most: usize) -> Self {
        ResendWindow { rounds: VecDeque::new(), most }
    }

    /// Keeps what is new beside what was new in the rounds before, of so many in all.
    pub fn push_round(&mut self, fresh: impl Iterator<Item = T>, rounds: usize) {
        self.rounds.push_back(fresh.take(self.most).collect());
        while self.rounds.len() > rounds {
            self.rounds.pop_front();
        }
    }

    /// The latest, as many as a message holds, in the order in which they came.
    pub fn items(&self) -> Vec<T> {
        let count = self.rounds.iter().map(Vec::len).sum::<usize>();
        self.rounds.iter().flatten().skip(count.saturating_sub(self.most)).cloned().collect()
    }
}
