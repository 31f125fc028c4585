//! Whether what servers are told to save arrives at a store: its link carries only so much, and moves that would wait there
//! too long are not begun. Nothing tells of that but the store's events.

use std::collections::VecDeque;

use crate::api::Micros;

/// A save has arrived after this, as far as others can tell, or never will.
const ARRIVES_WITHIN: Micros = 2_500_000;
/// Weight of one save in the share that arrives.
const LEARN: f64 = 1.0 / 8.0;
/// From this share on that arrives, the link has room.
const ARRIVING: f64 = 0.75;
/// SaveTracker that are looked after at once; further ones tell nothing.
const WAITING_MOST: usize = 64;

/// The saves that this node ordered, and the share of them that arrived.
#[derive(Debug)]
pub(crate) struct SaveTracker {
    /// When each should have arrived, and the part that shows it.
    waiting: VecDeque<(Micros, u64)>,
    arrived: f64,
}

impl Default for SaveTracker {
    fn default() -> Self {
        SaveTracker { waiting: VecDeque::new(), arrived: 1.0 }
    }
}

impl SaveTracker {
    /// A server was told to save a prompt whose last shared part this is.
    pub(crate) fn ordered(&mut self, now: Micros, part: u64) {
        if self.waiting.len() < WAITING_MOST {
            self.waiting.push_back((now + ARRIVES_WITHIN, part));
        }
    }

    /// The store told that it keeps a part now.
    pub(crate) fn told(&mut self, part: u64) {
        let before = self.waiting.len();
        self.waiting.retain(|(_, waiting)| *waiting != part);
        if self.waiting.len() < before {
            self.learn(1.0);
        }
    }

    /// Whether saves arrive, as far as is known by now.
    pub(crate) fn arrive(&mut self, now: Micros) -> bool {
        while self.waiting.front().is_some_and(|(by, _)| *by <= now) {
            self.waiting.pop_front();
            self.learn(0.0);
        }
        self.arrived >= ARRIVING
    }

    fn learn(&mut self, arrived: f64) {
        self.arrived += (arrived - self.arrived) * LEARN;
    }
}
