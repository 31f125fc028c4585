//! The retry budget. Each node limits its own retries to its share of the bound, so that the sum over all nodes stays within
//! the bound, however unevenly requests are distributed over them. Nodes exchange no messages for this.

use crate::time::Micros;

/// The part of its share that a node uses. The rest is a margin, since the windows of different nodes are not aligned.
const USED_SHARE: f64 = 0.8;
/// The number of slices that a window is divided into.
const SLICES: usize = 100;
/// A decrease of the number of balancers takes effect after this many windows: balancers that are no longer counted may still
/// retry.
const DECREASE_DELAY_WINDOWS: u64 = 3;

/// Counts events within a sliding window, in slices.
#[derive(Clone, Debug)]
struct SlidingWindow {
    slice_length: Micros,
    /// The number of the latest slice.
    last_slice: u64,
    /// The counts of one window, and of the slice that the start of the window divides.
    counts: [u32; SLICES + 1],
    sum: u64,
}

impl SlidingWindow {
    fn new(length: Micros) -> SlidingWindow {
        SlidingWindow {
            slice_length: (length / SLICES as u64).max(1),
            last_slice: 0,
            counts: [0; SLICES + 1],
            sum: 0,
        }
    }

    fn index(&self, slice: u64) -> usize {
        (slice % self.counts.len() as u64) as usize
    }

    fn advance(&mut self, now: Micros) {
        let slice = now / self.slice_length;
        let steps = slice.saturating_sub(self.last_slice).min(self.counts.len() as u64);
        for step in 0..steps {
            let index = self.index(slice - step);
            self.sum -= u64::from(std::mem::take(&mut self.counts[index]));
        }
        self.last_slice = self.last_slice.max(slice);
    }

    fn record(&mut self, now: Micros) {
        self.advance(now);
        let index = self.index(self.last_slice);
        self.counts[index] += 1;
        self.sum += 1;
    }

    /// All events of the window and of the slice that the start of the window divides.
    fn upper_bound(&mut self, now: Micros) -> u64 {
        self.advance(now);
        self.sum
    }

    /// The events of the slices that lie within the window completely.
    fn lower_bound(&mut self, now: Micros) -> u64 {
        self.advance(now);
        self.sum - u64::from(self.counts[self.index(self.last_slice + 1)])
    }
}

/// The retry budget of one service at one node.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Micros,
    requests: SlidingWindow,
    retries: SlidingWindow,
    balancers: usize,
    /// When the number of balancers was last set.
    balancers_set_at: Micros,
}

impl RetryBudget {
    /// Creates a budget of `ratio` times the requests in a window of this length (in microseconds) plus `slack`, over all
    /// balancers.
    pub fn new(ratio: f64, slack: f64, window: Micros) -> RetryBudget {
        RetryBudget {
            ratio,
            slack,
            window,
            requests: SlidingWindow::new(window),
            retries: SlidingWindow::new(window),
            balancers: 1,
            balancers_set_at: 0,
        }
    }

    /// Sets how many balancers share the slack. An increase takes effect at once, a decrease only after some windows.
    pub fn set_balancer_count(&mut self, now: Micros, count: usize) {
        let count = count.max(1);
        if count >= self.balancers || now >= self.balancers_set_at + DECREASE_DELAY_WINDOWS * self.window {
            self.balancers = count;
            self.balancers_set_at = now;
        }
    }

    /// Counts a request of a client.
    pub fn record_request(&mut self, now: Micros) {
        self.requests.record(now);
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now: Micros) {
        self.retries.record(now);
    }

    /// Whether one more retry stays within this node's share.
    pub fn may_retry(&mut self, now: Micros) -> bool {
        let share = self.ratio * self.requests.lower_bound(now) as f64 + self.slack / self.balancers as f64;
        (self.retries.upper_bound(now) + 1) as f64 <= USED_SHARE * share
    }
}
