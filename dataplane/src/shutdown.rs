//! Graceful shutdown: new requests are first served, then rejected while open ones are completed; finally no more
//! connections are accepted.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::data_plane::DataPlane;
use crate::lifecycle::Phase;

/// How often shutdown checks for open requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the connection tasks to notice a new phase and close idle connections.
const PHASE_SETTLING: Duration = Duration::from_millis(60);

/// Durations of graceful shutdown, measured from its announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// New requests are accepted for this long. It covers the time until the platform stops sending new requests.
    pub accepts_requests_for: Duration,
    /// Open requests may continue for this long.
    pub grace_period: Duration,
}

/// Shuts the data plane down. Returns once no request is open, at the latest after the grace period.
///
/// `hand_over` is what else has to be done before the process may exit. It runs concurrently with the first phase, which
/// lasts at least until it is done, and has its own time limit.
pub async fn shut_down(plane: &Rc<DataPlane>, times: ShutdownTimes, hand_over: impl Future<Output = ()>) {
    let announced = Instant::now();
    let deadline = announced + times.grace_period;
    plane.set_phase(Phase::Draining);
    let rejects_from = deadline.min(announced + times.accepts_requests_for);
    tokio::join!(hand_over, sleep_until(rejects_from));
    plane.set_phase(Phase::Closing);
    sleep(PHASE_SETTLING).await;
    wait_for_requests(plane, deadline).await;
    // Connections accepted by now are still served. Those waiting to be accepted are reset unread.
    plane.set_phase(Phase::Closed);
    sleep(PHASE_SETTLING).await;
    wait_for_requests(plane, deadline).await;
}

/// Waits until no request is open, at most until the deadline.
async fn wait_for_requests(plane: &DataPlane, deadline: Instant) {
    while plane.open_requests() > 0 && Instant::now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
}
