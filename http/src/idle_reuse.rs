//! Learns for how long an idle connection can be reused, from the outcomes of requests on reused connections. No I/O.
//!
//! An app server closes connections that were idle for the time in the settings. If a middlebox drops them sooner and
//! without notice, a request written to such a connection is lost, and it may have run. The loss rate after an idle time
//! is compared with that on new connections, because resets with other causes say nothing about idle time.

use std::cell::RefCell;
use std::time::Duration;

use tokio::time::Instant;

/// The upper bound of the first bucket of idle times; the bound of each further bucket is twice that of the one before.
const FIRST_BUCKET: Duration = Duration::from_millis(50);
/// One bucket for new connections, and buckets of idle times up to 51 s, the last of which also has longer ones.
const BUCKETS: usize = 12;
/// Half-life of the observations, in seconds, after which idle times that were ruled out are tried again.
const HALF_LIFE_S: f64 = 20.0;
/// The fewest losses that rule out an idle time; fewer prove nothing.
const MIN_LOSSES: f64 = 2.0;
/// An idle time is ruled out if its loss rate exceeds that of new connections by more than this share of requests: the
/// handshake of a new connection costs an app server about this share of the work of a request.
const MAX_EXCESS_LOSS: f64 = 0.1;

/// Counts of answered and of lost requests by how long their connection had been idle.
pub struct IdleReuse(RefCell<Observations>);

struct Observations {
    /// By bucket, the first for new connections: the answered and the lost requests; both counts decay exponentially.
    by_bucket: [[f64; 2]; BUCKETS],
    decayed_at: Instant,
}

impl Observations {
    /// The factor by which the counts have decayed since `decayed_at`.
    fn decay(&self, now: Instant) -> f64 {
        (-now.saturating_duration_since(self.decayed_at).as_secs_f64() / HALF_LIFE_S).exp2()
    }
}

impl IdleReuse {
    /// Creates a record without observations.
    pub fn new(now: Instant) -> Self {
        IdleReuse(RefCell::new(Observations { by_bucket: Default::default(), decayed_at: now }))
    }

    /// Records whether a request was lost on a connection that had been idle for this time; `None` for a new connection.
    pub fn record(&self, now: Instant, idle: Option<Duration>, lost: bool) {
        let mut observations = self.0.borrow_mut();
        let decay = observations.decay(now);
        observations.decayed_at = now;
        observations.by_bucket.as_flattened_mut().iter_mut().for_each(|count| *count *= decay);
        observations.by_bucket[idle.map_or(0, bucket)][usize::from(lost)] += 1.0;
    }

    /// The idle time from which on connections must not be reused, by the observations so far.
    pub fn max_idle(&self, now: Instant) -> Duration {
        let observations = self.0.borrow();
        let decay = observations.decay(now);
        let loss_rate = |[answered, lost]: [f64; 2]| lost / (answered + lost).max(1.0);
        let baseline = loss_rate(observations.by_bucket[0]);
        let ruled_out = |counts: &[f64; 2]| {
            counts[1] * decay >= MIN_LOSSES && loss_rate(*counts) > baseline + MAX_EXCESS_LOSS
        };
        match observations.by_bucket[1..].iter().position(ruled_out) {
            None => Duration::MAX,
            Some(0) => Duration::ZERO,
            Some(index) => FIRST_BUCKET * (1 << (index - 1)),
        }
    }
}

/// The bucket of an idle time: 1 below [`FIRST_BUCKET`], then one more for each doubling.
fn bucket(idle: Duration) -> usize {
    let multiple = (idle.as_micros() / FIRST_BUCKET.as_micros()) as u64;
    multiple.checked_ilog2().map_or(1, |log| log as usize + 2).min(BUCKETS - 1)
}

#[cfg(test)]
mod tests;
