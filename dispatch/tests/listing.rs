//! The list's clock by its figures.

use gradepaddle::Micros;
use gradepaddle_dispatch::{BEAT, Failure, KNOCK, ListClock, RECALL, TOLD};

const S: Micros = 1_000_000;

/// Guards the times that the fleet trial counts by: a watch that falls silent is asked anew with time for two calls
/// before what it missed counts as told, and a call that says nothing likewise.
#[test]
fn a_silence_leaves_time_for_two_calls() {
    let mut clock = ListClock::default();
    clock.called(0);
    assert_eq!(clock.silent_at(), Some(3 * S));
    clock.told(S);
    clock.beats(3 * S);
    assert_eq!(clock.silent_at(), Some(3 * S + BEAT + BEAT / 4));
    let mut calls = Vec::new();
    for _ in 0..4 {
        let now = clock.silent_at().expect("it is open");
        clock.fell_silent();
        clock.called(now);
        calls.push(now);
    }
    assert_eq!(calls, [5_500_000, 7_250_000, 8_250_000, 9_250_000]);
    assert!(calls[1] < 3 * S + TOLD && clock.is_behind(3 * S + TOLD));
    // Behind that moment a busy discovery is not asked every second.
    assert_eq!(clock.silent_at(), Some(9_250_000 + 3 * S));
    clock.told(10 * S);
    assert!(!clock.is_behind(20 * S));
}

/// Guards a discovery that is slow against calls that it does not need, and the limit against one slow beat that
/// would stretch it for ever.
#[test]
fn a_slow_beat_is_no_silence_and_is_forgotten() {
    let mut clock = ListClock::default();
    clock.called(0);
    clock.told(0);
    clock.beats(2_400_000);
    assert_eq!(clock.silent_at(), Some(2_400_000 + 3 * S));
    let mut now = 2_400_000;
    for _ in 0..8 {
        now += BEAT;
        clock.beats(now);
    }
    assert_eq!(clock.silent_at(), Some(now + BEAT + BEAT / 4));
}

/// Guards the time that runs from the moment at which discovery is back, unseen by us: whatever failed, and however
/// often, the next call comes soon; and those of a fleet that failed together come apart.
#[test]
fn failed_calls_are_followed_up_in_time_however_many_there_were() {
    for (how, within) in [(Failure::Unreachable, KNOCK), (Failure::TurnedDown, RECALL[0])] {
        let mut clock = ListClock::new(3, 1);
        let mut now = 0;
        for _ in 0..40 {
            clock.called(now);
            let by = clock.failed(now, how);
            assert!(by >= now + within / 2 && by <= now + within, "{how:?}: {by} after {now}");
            now = by;
        }
    }
    for processes in [3u32, 300] {
        let mut calls: Vec<_> =
            (0..300).map(|seed| ListClock::new(processes, seed).failed(S, Failure::TurnedDown)).collect();
        calls.sort_unstable();
        let within = RECALL[usize::from(processes > 100)];
        let most = calls.windows(61).map(|some| some[60] - some[0]).min().expect("many calls");
        assert!(calls[299] <= S + within, "{processes} processes: the last call at {}", calls[299]);
        assert!(most > within / 20, "{processes} processes: 60 of 300 calls within {most} us");
    }
}

/// Guards both kinds of wait: one that is busy is waited for until all others may have had their turn, and what was
/// missed in an outage counts from its end, which is after the last call that failed.
#[test]
fn a_busy_discovery_is_waited_for_and_one_that_was_away_is_not() {
    let mut clock = ListClock::new(300, 7);
    clock.called(0);
    clock.failed(3 * S, Failure::TurnedDown);
    clock.called(4 * S);
    assert_eq!(clock.silent_at(), Some(7 * S));
    clock.failed(5 * S, Failure::Unreachable);
    assert!(!clock.is_behind(6 * S - 1) && clock.is_behind(6 * S), "what the first call missed");
    clock.failed(20 * S, Failure::Unreachable);
    assert!(!clock.is_behind(25 * S));
    clock.called(21 * S);
    assert_eq!(clock.silent_at(), Some(21 * S + 5 * S / 2));
    let mut moved = ListClock::default();
    moved.moved(10 * S);
    moved.called(10 * S);
    assert_eq!(moved.silent_at(), Some(12 * S));
}
