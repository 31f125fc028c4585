//! The retry budget, kept by each node alone: if each stays within its share, the sum over all nodes stays within
//! the bound, however uneven their shares of the requests are.

use crate::api::Micros;

/// What a node uses of its share. The rest covers windows that nodes cut differently.
const USED: f64 = 0.8;
/// Slices that a window is counted in.
const SLICES: usize = 100;
/// How many windows a larger number of balancers is remembered: those that fell silent may still repeat.
const REMEMBERED: u64 = 3;

/// Counts within a sliding window, by slices.
#[derive(Clone, Debug)]
struct Window {
    slice: Micros,
    /// The last slice counted in, and the counts of one window and of the slice that it cuts.
    last: u64,
    counts: [u32; SLICES + 1],
    sum: u64,
}

impl Window {
    fn new(length: Micros) -> Window {
        Window { slice: (length / SLICES as u64).max(1), last: 0, counts: [0; SLICES + 1], sum: 0 }
    }

    fn advance(&mut self, now: Micros) {
        let slice = now / self.slice;
        let steps = slice.saturating_sub(self.last).min(self.counts.len() as u64);
        for step in 0..steps {
            let place = ((slice - step) % self.counts.len() as u64) as usize;
            self.sum -= u64::from(std::mem::take(&mut self.counts[place]));
        }
        self.last = self.last.max(slice);
    }

    fn note(&mut self, now: Micros) {
        self.advance(now);
        self.counts[(self.last % self.counts.len() as u64) as usize] += 1;
        self.sum += 1;
    }

    /// All in the window and in the slice that its far end cuts.
    fn most(&mut self, now: Micros) -> u64 {
        self.advance(now);
        self.sum
    }

    /// What lies whole within the window.
    fn least(&mut self, now: Micros) -> u64 {
        self.advance(now);
        self.sum - u64::from(self.counts[((self.last + 1) % self.counts.len() as u64) as usize])
    }
}

/// One service's retry budget at one node.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    length: Micros,
    requests: Window,
    repeats: Window,
    balancers: usize,
    fewer_since: Micros,
}

impl RetryBudget {
    /// A budget of `ratio` times the requests in a window of `length`, and `slack`, over all balancers.
    pub fn new(ratio: f64, slack: f64, length: Micros) -> RetryBudget {
        let (requests, repeats) = (Window::new(length), Window::new(length));
        RetryBudget { ratio, slack, length, requests, repeats, balancers: 1, fewer_since: 0 }
    }

    /// How many balancers share the slack. More count at once, fewer only after some windows.
    pub fn set_balancer_count(&mut self, now: Micros, count: usize) {
        let count = count.max(1);
        if count >= self.balancers || now >= self.fewer_since + REMEMBERED * self.length {
            self.balancers = count;
            self.fewer_since = now;
        }
    }

    /// A request of a client came.
    pub fn record_request(&mut self, now: Micros) {
        self.requests.note(now);
    }

    /// A request was sent to another server.
    pub fn record_retry(&mut self, now: Micros) {
        self.repeats.note(now);
    }

    /// Whether one more repeat stays within this node's share.
    pub fn may_retry(&mut self, now: Micros) -> bool {
        let share = self.ratio * self.requests.least(now) as f64 + self.slack / self.balancers as f64;
        (self.repeats.most(now) + 1) as f64 <= USED * share
    }
}
