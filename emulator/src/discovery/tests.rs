use super::*;
use crate::random::StreamId;

/// Checks that changes of one app server are detected in the order in which they happen, for any detection
/// delays.
#[test]
fn changes_of_one_app_server_are_detected_in_order() {
    let mut discovery = Discovery::new(Settings::default(), Stream::of(1, StreamId::Discovery, 0));
    for round in 0..200 {
        let now = round * 1000;
        let (one, two) =
            (discovery.detection_time(now, 0, true), discovery.detection_time(now + 1, 0, false));
        assert!(one < two);
    }
}

/// Checks the call rate limit: concurrent calls are queued, and fail if they wait longer than the time-out.
#[test]
fn calls_are_queued_and_fail_after_the_time_out() {
    let settings = Settings { calls_per_s: 2.0, timeout_ms: 1000.0, ..Settings::default() };
    let mut discovery = Discovery::new(settings, Stream::of(1, StreamId::Discovery, 0));
    let ends: Vec<ListCall> = (0..4).map(|_| discovery.request_list(0)).collect();
    let answered = |at| ListCall::Answered(at);
    assert_eq!(
        ends,
        [answered(500_000), answered(1_000_000), answered(1_500_000), ListCall::Failed(1_000_000)]
    );
    discovery.outages = 1;
    assert!(matches!(discovery.request_list(9_000_000), ListCall::Failed(_)));
}
