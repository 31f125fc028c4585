//! The key table: which servers are believed to have a key cached, and how often it comes.

use crate::api::Micros;
use crate::balancer::load::KEY_HALF_LIFE;
use crate::state::Balancer;

/// Keys in each of the two generations of the table.
const GENERATION_KEYS: usize = 20_000;

impl Balancer {
    /// Brings a key's set into the young generation of the table; when that is full, the old one is forgotten.
    pub(super) fn touch_key(&mut self, now: Micros, key: u64) {
        if !self.young.contains_key(&key)
            && let Some(set) = self.old.remove(&key)
        {
            self.young.insert(key, set);
        }
        if self.young.len() >= GENERATION_KEYS {
            self.old = std::mem::take(&mut self.young);
            if let Some(set) = self.old.remove(&key) {
                self.young.insert(key, set);
            }
        }
        let fade = |since: Micros| (-(now.saturating_sub(since) as f64) / KEY_HALF_LIFE).exp2();
        self.tally.arrivals = self.tally.arrivals * fade(self.tally.recalled) + 1.0;
        self.tally.recalled = now;
        let entry = self.young.entry(key).or_default();
        (entry.came, entry.last) = (entry.came * fade(entry.last) + 1.0, now);
    }
}
