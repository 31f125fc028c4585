//! Tracks whether the saves that servers are asked for arrive at a cache store. The bandwidth of
//! the store's link is limited, and servers drop saves that would wait too long for it; only the store's events show which
//! saves arrived.

use std::collections::VecDeque;

use crate::time::Micros;

/// A save counts as lost if the store has not reported it after this long.
const ARRIVAL_TIMEOUT: Micros = 2_500_000;
/// The weight of one save in the moving average of arrivals.
const LEARNING_RATE: f64 = 1.0 / 8.0;
/// From this share of arrivals on, the store's link is assumed to have free capacity.
const HEALTHY_SHARE: f64 = 0.75;
/// The maximum number of saves that are tracked at once; further ones are not tracked.
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
    /// Records that a server was asked to save a prompt whose last shared chunk has this key.
    pub(crate) fn record_order(&mut self, now: Micros, chunk_key: u64) {
        if self.pending.len() < MAX_PENDING {
            self.pending.push_back(PendingSave { deadline: now + ARRIVAL_TIMEOUT, chunk_key });
        }
    }

    /// Records that the store reported a chunk.
    pub(crate) fn record_arrival(&mut self, chunk_key: u64) {
        let before = self.pending.len();
        self.pending.retain(|save| save.chunk_key != chunk_key);
        if self.pending.len() < before {
            self.learn(1.0);
        }
    }

    /// Whether most recent saves arrived. Counts saves whose timeout has passed as lost.
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
