//! Counters of requests and attempts since the process started.

use std::cell::Cell;

/// Counters of the data plane; they never decrease.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests read to their last byte.
    pub requests: Cell<u64>,
    /// Responses of servers with a 2xx status that were forwarded completely.
    pub responses: Cell<u64>,
    /// 503 responses of the node itself: the request was not processed and will not be.
    pub rejected: Cell<u64>,
    /// Requests answered before any attempt: no route, no valid key, draining, no configuration.
    pub denied: Cell<u64>,
    /// Requests that failed, or whose response was interrupted.
    pub failed: Cell<u64>,
    /// Attempts beyond the first of a request.
    pub retries: Cell<u64>,
    /// Attempts withdrawn because they had not begun when their server's model version was about to become outdated.
    pub withdrawn: Cell<u64>,
    /// Streams resumed at another server.
    pub resumed: Cell<u64>,
}

/// Adds one.
pub(crate) fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
