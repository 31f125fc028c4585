//! Graceful shutdown, within the time that the platform gives a process after SIGTERM (`graceS`).

use std::future::ready;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle_config::Settings;
use gradepaddle_controlplane::driver::DriverEvent;
use gradepaddle_controlplane::node::Input;
use gradepaddle_dataplane::{DataPlane, ShutdownTimes};
use tokio::sync::{Notify, mpsc};
use tokio::time::timeout;

/// Time after SIGTERM during which requests are accepted. The platform checks readiness every second and takes a node out
/// of service after two failed checks. A request that arrives later than 3 s after SIGTERM could be cut off by the exit of
/// the process, so requests are rejected before that.
const ACCEPTS_REQUESTS_FOR: Duration = Duration::from_millis(2600);
/// The process exits this long before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(600);

/// The longest time from SIGTERM to the exit of the process.
pub fn grace_period(settings: &Settings) -> Duration {
    settings.bounds.grace.saturating_sub(GRACE_MARGIN)
}

/// Accepts requests for a while, then completes the open ones, while the control state is handed over to other nodes.
pub async fn shut_down(
    settings: &Settings,
    plane: &Rc<DataPlane>,
    events: &mpsc::UnboundedSender<DriverEvent>,
    ready_to_exit: &Notify,
) {
    // If the driver has ended, there is nothing to hand over.
    let _ = events.send(DriverEvent::Input(Input::ShutDown));
    let grace_period = grace_period(settings);
    let times = ShutdownTimes { accepts_requests_for: ACCEPTS_REQUESTS_FOR, grace_period };
    // Other nodes may need this replica for longer than clients need the node. If the hand-over doesn't complete in time,
    // the control state stays on the disk.
    let hand_over = timeout(grace_period, ready_to_exit.notified());
    let (_, _) = tokio::join!(gradepaddle_dataplane::shut_down(plane, times, ready(())), hand_over);
}

#[cfg(test)]
mod tests;
