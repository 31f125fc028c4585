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

/// After SIGTERM, requests are accepted for this long: the platform checks readiness each second and takes a node out after
/// two misses. A request that came later than three seconds could be cut by the end, so it is rejected before.
const ACCEPTS_REQUESTS_FOR: Duration = Duration::from_millis(2600);
/// The process exits this long before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(600);

/// From SIGTERM to the exit of the process, at most.
pub fn grace_period(settings: &Settings) -> Duration {
    settings.bounds.grace.saturating_sub(GRACE_MARGIN)
}

/// Serves requests that still come, then those that are open, while the control state is handed over to other nodes.
pub async fn shut_down(
    settings: &Settings,
    plane: &Rc<DataPlane>,
    events: &mpsc::UnboundedSender<DriverEvent>,
    ready_to_exit: &Notify,
) {
    // Without a driver there is nothing to hand over.
    let _ = events.send(DriverEvent::Input(Input::ShutDown));
    let grace_period = grace_period(settings);
    let times = ShutdownTimes { accepts_requests_for: ACCEPTS_REQUESTS_FOR, grace_period };
    // Other nodes may need this replica for longer than clients need the node. A control state that no other node has
    // taken over in time stays on the disk.
    let hand_over = timeout(grace_period, ready_to_exit.notified());
    let (_, _) = tokio::join!(gradepaddle_dataplane::shut_down(plane, times, ready(())), hand_over);
}

#[cfg(test)]
mod tests;
