//! Whether the saves that servers are asked for arrive at a cache store. Its link carries only so much, and transfers that
//! would wait there too long are dropped by the servers; only the store's events show that.

use std::collections::VecDeque;

use crate::time::Micros;

/// A save that no event has shown after this is taken to be lost.
const ARRIVAL_TIMEOUT: Micros = 2_500_000;
/// Weight of one save in the moving average of arrivals.
const LEARNING_RATE: f64 = 1.0 / 8.0;
/// From this share of arrivals on, the link is taken to have capacity left.
const HEALTHY_SHARE: f64 = 0.75;
/// Saves that are tracked at once; further ones count for nothing.
const MAX_PENDING: usize = 64;

#[derive(Clone, Copy, Debug)]
struct PendingSave {
    deadline: Micros,
    /// The chunk whose arrival shows that the save succeeded.
    chunk_key: u64,
}

/// The saves that this node asked for, and the share of them that arrived.
#[derive(Debug)]
pub(crate) struct SaveTracker {
    pending: VecDeque<PendingSave>,
    arrived_share: f64,
}

impl Default for SaveTracker {
    fn default() -> Self {
        SaveTracker { pending: VecDeque::new(), arrived_share: 1.0 }
    }
}

impl SaveTracker {
    /// A server was asked to save a prompt whose last shared chunk has this key.
    pub(crate) fn record_order(&mut self, now: Micros, chunk_key: u64) {
        if self.pending.len() < MAX_PENDING {
            self.pending.push_back(PendingSave { deadline: now + ARRIVAL_TIMEOUT, chunk_key });
        }
    }

    /// The store reported a chunk.
    pub(crate) fn record_arrival(&mut self, chunk_key: u64) {
        let before = self.pending.len();
        self.pending.retain(|save| save.chunk_key != chunk_key);
        if self.pending.len() < before {
            self.learn(1.0);
        }
    }

    /// Whether saves arrive, as far as is known by now.
    pub(crate) fn saves_arrive(&mut self, now: Micros) -> bool {
        while self.pending.front().is_some_and(|save| save.deadline <= now) {
            self.pending.pop_front();
            self.learn(0.0);
        }
        self.arrived_share >= HEALTHY_SHARE
    }

    fn learn(&mut self, arrived: f64) {
        self.arrived_share += (arrived - self.arrived_share) * LEARNING_RATE;
    }
}
