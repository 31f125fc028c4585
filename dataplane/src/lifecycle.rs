//! The shutdown phase of the process, and the number of open requests.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::watch;

/// The phases of graceful shutdown, in order. A process never goes back to an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are accepted.
    Serving,
    /// Shutdown is announced: requests are still served, and each response closes its connection.
    Draining,
    /// No new request is processed: idle connections are closed, and requests that still arrive are rejected. Open requests
    /// continue.
    Closing,
    /// Connections are no longer accepted.
    Closed,
}

/// The phase of the process and the number of open requests.
pub(crate) struct Lifecycle {
    phase: watch::Sender<Phase>,
    open_requests: Rc<Cell<usize>>,
}

impl Lifecycle {
    /// Creates the lifecycle of a process in [`Phase::Serving`].
    pub fn new() -> Self {
        Lifecycle { phase: watch::Sender::new(Phase::Serving), open_requests: Rc::default() }
    }

    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Waits until the process is in this phase or a later one. Cancellation safe: it only reads.
    pub async fn phase_reached(&self, reached: Phase) {
        // An error would mean that the sender is gone; it lives as long as `self`.
        let _ = self.phase.subscribe().wait_for(|phase| *phase >= reached).await;
    }

    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// Counts a request as open until the guard is dropped.
    #[must_use]
    pub fn track_request(&self) -> OpenRequestGuard {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequestGuard(self.open_requests.clone())
    }
}

/// Counts one request as open until it is dropped.
pub(crate) struct OpenRequestGuard(Rc<Cell<usize>>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
