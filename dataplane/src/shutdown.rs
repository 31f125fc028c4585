//! Graceful shutdown: requests are served, then rejected; open ones are answered; then no connection is accepted.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::data_plane::DataPlane;
use crate::lifecycle::Phase;

/// How often a process that ends looks for open requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the tasks of connections to see a new phase and close what is idle.
const PHASE_SETTLING: Duration = Duration::from_millis(60);

/// How long graceful shutdown takes, from its announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Requests that come are begun for this long. It covers the time until the platform sends nothing new.
    pub accepts_requests_for: Duration,
    /// Open requests may go on for this long.
    pub grace_period: Duration,
}

/// Shuts the data plane down. Returns once no request is open, at the latest after the grace period.
///
/// `hand_over` is what else has to be done before the process may end; it goes on beside the first phase, and limits
/// itself.
pub async fn shut_down(plane: &Rc<DataPlane>, times: ShutdownTimes, hand_over: impl Future<Output = ()>) {
    let announced = Instant::now();
    let deadline = announced + times.grace_period;
    plane.set_phase(Phase::Draining);
    let rejects_from = deadline.min(announced + times.accepts_requests_for);
    tokio::join!(hand_over, sleep_until(rejects_from));
    plane.set_phase(Phase::Closing);
    sleep(PHASE_SETTLING).await;
    wait_for_requests(plane, deadline).await;
    // What has been accepted by now is still answered. What waits to be accepted is reset unread.
    plane.set_phase(Phase::Closed);
    sleep(PHASE_SETTLING).await;
    wait_for_requests(plane, deadline).await;
}

/// Waits until no request is open, until the deadline.
async fn wait_for_requests(plane: &DataPlane, deadline: Instant) {
    while plane.open_requests() > 0 && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
}
