//! The times at which the list clock asks for calls, waits and counts changes as delivered.

use gradepaddle::Micros;
use gradepaddle_dispatch::{
    DELIVERY_BOUND, Failure, HEARTBEAT_INTERVAL, ListClock, RECONNECT_INTERVAL, RETRY_INTERVALS,
};

const S: Micros = 1_000_000;

/// Guards the times that the fleet trial relies on: a silent watch is replaced by a call while there is time for two calls
/// before the missed changes count as delivered, and so is a silent call.
#[test]
fn a_silence_leaves_time_for_two_calls() {
    let mut clock = ListClock::default();
    clock.call_started(0);
    assert_eq!(clock.silence_deadline(), Some(3 * S));
    clock.list_received(S);
    clock.heartbeat_received(3 * S);
    assert_eq!(clock.silence_deadline(), Some(3 * S + HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL / 4));
    let mut calls = Vec::new();
    for _ in 0..4 {
        let now = clock.silence_deadline().expect("it is open");
        clock.silence_timed_out();
        clock.call_started(now);
        calls.push(now);
    }
    assert_eq!(calls, [5_500_000, 7_250_000, 8_250_000, 9_250_000]);
    assert!(calls[1] < 3 * S + DELIVERY_BOUND && clock.is_behind(3 * S + DELIVERY_BOUND));
    // After that moment a busy discovery is not called every second.
    assert_eq!(clock.silence_deadline(), Some(9_250_000 + 3 * S));
    clock.list_received(10 * S);
    assert!(!clock.is_behind(20 * S));
}

/// Guards a slow discovery against needless calls, and the silence limit against staying long after one late heartbeat.
#[test]
fn a_late_heartbeat_extends_the_silence_limit_for_a_while() {
    let mut clock = ListClock::default();
    clock.call_started(0);
    clock.list_received(0);
    clock.heartbeat_received(2_400_000);
    assert_eq!(clock.silence_deadline(), Some(2_400_000 + 3 * S));
    let mut now = 2_400_000;
    for _ in 0..8 {
        now += HEARTBEAT_INTERVAL;
        clock.heartbeat_received(now);
    }
    assert_eq!(clock.silence_deadline(), Some(now + HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL / 4));
}

/// Guards the delivery bound, which counts from the unobserved moment at which discovery is back: whatever failed, and
/// however often, the next call is made soon, and the calls of processes that failed together are spread.
#[test]
fn failed_calls_are_followed_up_in_time_however_many_there_were() {
    for (how, within) in
        [(Failure::Unreachable, RECONNECT_INTERVAL), (Failure::TurnedDown, RETRY_INTERVALS[0])]
    {
        let mut clock = ListClock::new(3, 1);
        let mut now = 0;
        for _ in 0..40 {
            clock.call_started(now);
            let by = clock.call_failed(now, how);
            assert!(by >= now + within / 2 && by <= now + within, "{how:?}: {by} after {now}");
            now = by;
        }
    }
    for processes in [3u32, 300] {
        let mut calls: Vec<_> = (0..300)
            .map(|seed| ListClock::new(processes, seed).call_failed(S, Failure::TurnedDown))
            .collect();
        calls.sort_unstable();
        let within = RETRY_INTERVALS[usize::from(processes > 100)];
        let most = calls.windows(61).map(|some| some[60] - some[0]).min().expect("many calls");
        assert!(calls[299] <= S + within, "{processes} processes: the last call at {}", calls[299]);
        assert!(most > within / 20, "{processes} processes: 60 of 300 calls within {most} us");
    }
}

/// Guards both kinds of wait: an overloaded discovery gets time to serve all other processes, and changes missed in an
/// outage count from its end, which is after the last failed call.
#[test]
fn a_busy_discovery_gets_a_longer_wait_and_one_after_an_outage_does_not() {
    let mut clock = ListClock::new(300, 7);
    clock.call_started(0);
    clock.call_failed(3 * S, Failure::TurnedDown);
    clock.call_started(4 * S);
    assert_eq!(clock.silence_deadline(), Some(7 * S));
    clock.call_failed(5 * S, Failure::Unreachable);
    assert!(!clock.is_behind(6 * S - 1) && clock.is_behind(6 * S), "what the first call missed");
    clock.call_failed(20 * S, Failure::Unreachable);
    assert!(!clock.is_behind(25 * S));
    clock.call_started(21 * S);
    assert_eq!(clock.silence_deadline(), Some(21 * S + 5 * S / 2));
    let mut moved = ListClock::default();
    moved.discovery_moved(10 * S);
    moved.call_started(10 * S);
    assert_eq!(moved.silence_deadline(), Some(12 * S));
}
