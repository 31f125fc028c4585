//! The key table: which servers are believed to have a key cached, and how often it is requested.

use crate::api::Micros;
use crate::balancer::load::KEY_HALF_LIFE;
use crate::state::Balancer;

/// Keys in each of the two generations of the table.
const GENERATION_KEYS: usize = 20_000;

impl Balancer {
    /// Counts an arrival of a key and moves its entry into the recent generation of the table. When that generation is full, it
    /// replaces the older one, whose entries are evicted.
    pub(super) fn touch_key(&mut self, now: Micros, key: u64) {
        if !self.recent_keys.contains_key(&key)
            && let Some(set) = self.older_keys.remove(&key)
        {
            self.recent_keys.insert(key, set);
        }
        if self.recent_keys.len() >= GENERATION_KEYS {
            self.older_keys = std::mem::take(&mut self.recent_keys);
            if let Some(set) = self.older_keys.remove(&key) {
                self.recent_keys.insert(key, set);
            }
        }
        let fade = |since: Micros| (-(now.saturating_sub(since) as f64) / KEY_HALF_LIFE).exp2();
        self.fleet.arrivals = self.fleet.arrivals * fade(self.fleet.arrivals_decayed_at) + 1.0;
        self.fleet.arrivals_decayed_at = now;
        let entry = self.recent_keys.entry(key).or_default();
        (entry.arrivals, entry.last_arrival) = (entry.arrivals * fade(entry.last_arrival) + 1.0, now);
    }
}
