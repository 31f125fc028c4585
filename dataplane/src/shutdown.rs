//! The way to the end of a process: requests are served, then refused; what is open is answered; then nothing is taken.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, sleep_until};

use crate::data_plane::{DataPlane, Phase};

/// How often an ending process looks whether requests are open.
const LOOK_EVERY: Duration = Duration::from_millis(20);
/// Connections that became idle are closed in order within this.
const CLOSES_WITHIN: Duration = Duration::from_millis(60);

/// How long an ending process goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// From the announcement of the end, requests that come are begun for this long. It covers the time until the
    /// platform sends nothing new.
    pub accepts_requests_for: Duration,
    /// From the announcement of the end, open requests may go on for this long.
    pub grace_period: Duration,
}

/// Ends the data plane in order. Returns once no request is open, at the latest after `grace_period`.
///
/// `hand_over` is what else has to be done before the process may end; it goes on beside the first phase, and limits
/// itself.
pub async fn shut_down(plane: &Rc<DataPlane>, times: ShutdownTimes, hand_over: impl Future<Output = ()>) {
    let begun = Instant::now();
    let last = begun + times.grace_period;
    plane.set_phase(Phase::Draining);
    let refuses_from = last.min(begun + times.accepts_requests_for);
    tokio::join!(hand_over, sleep_until(refuses_from));
    plane.set_phase(Phase::Closing);
    sleep(CLOSES_WITHIN).await;
    requests_end(plane, last).await;
    // What has been accepted by now is still answered. What waits to be accepted is reset unread.
    plane.set_phase(Phase::Closed);
    sleep(CLOSES_WITHIN).await;
    requests_end(plane, last).await;
}

/// Waits until no request is open, for as long as the process may stay.
async fn requests_end(plane: &DataPlane, last: Instant) {
    while plane.open_requests() > 0 && Instant::now() < last {
        sleep(LOOK_EVERY).await;
    }
}
