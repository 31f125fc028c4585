use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use gradepaddle_config::Settings;
use gradepaddle_controlplane::driver::DriverEvent;
use gradepaddle_controlplane::node::Input;
use gradepaddle_resources::ResourcePlan;
use slog::{Discard, Logger, o};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep};

use super::{ACCEPTS_REQUESTS_FOR, grace_period, shut_down};
use crate::planes;

/// Longest time of the data plane's own shutdown after the accepting phase, without open requests.
const IDLE_SHUTDOWN: Duration = Duration::from_millis(200);

fn settings() -> Settings {
    Settings::parse("nodeName = \"n-1\"\nip = \"10.0.0.1\"\nzone = \"west\"\n[timeBounds]\ngraceS = 8\n")
        .expect("the settings are valid")
}

/// Duration of a shutdown whose control state is handed over after this time, or never if `None`.
async fn shutdown_with_hand_over(after: Option<Duration>) -> Duration {
    let settings = settings();
    let plane = planes::data_plane(&settings, ResourcePlan::new(260, 4_100), &Logger::root(Discard, o!()));
    let (events, mut receiver) = mpsc::unbounded_channel();
    let ready_to_exit = Rc::new(Notify::new());
    let handed_over = Rc::clone(&ready_to_exit);
    let driver = async move {
        let asked = matches!(receiver.recv().await, Some(DriverEvent::Input(Input::ShutDown)));
        expect_true!(asked, "the control plane is asked to hand over");
        if let Some(after) = after {
            sleep(after).await;
            handed_over.notify_one();
        }
    };
    let started = Instant::now();
    let (took, ()) = tokio::join!(
        async {
            shut_down(&settings, &plane, &events, &ready_to_exit).await;
            started.elapsed()
        },
        driver,
    );
    took
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_process_waits_for_its_hand_over() {
    let late = Duration::from_secs(5);
    let took = shutdown_with_hand_over(Some(late)).await;
    expect_that!(took, all![ge(late), lt(late + IDLE_SHUTDOWN)]);
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_hand_over_at_once_does_not_shorten_the_time_for_requests() {
    let took = shutdown_with_hand_over(Some(Duration::ZERO)).await;
    expect_that!(took, all![ge(ACCEPTS_REQUESTS_FOR), lt(ACCEPTS_REQUESTS_FOR + IDLE_SHUTDOWN)]);
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_hand_over_that_never_ends_is_given_up_before_the_process_is_killed() {
    let settings = settings();
    let took = shutdown_with_hand_over(None).await;
    expect_that!(took, eq(grace_period(&settings)));
    expect_that!(took, lt(settings.bounds.grace));
}
