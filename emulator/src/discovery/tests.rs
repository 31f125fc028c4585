use super::*;
use crate::random::Party;

/// Guards a list that runs ahead of itself: what happened first is noticed first, whatever is drawn.
#[test]
fn changes_of_one_app_server_are_noticed_in_their_order() {
    let mut discovery = Discovery::new(Settings::default(), Stream::of(1, Party::Discovery, 0));
    for round in 0..200 {
        let now = round * 1000;
        let (one, two) = (discovery.noticed_at(now, 0, true), discovery.noticed_at(now + 1, 0, false));
        assert!(one < two);
    }
}

/// Guards the bound on calls: those that come at once wait in turn, and fail when that takes too long.
#[test]
fn calls_wait_in_turn_and_fail_when_they_wait_too_long() {
    let settings = Settings { calls_per_s: 2.0, timeout_ms: 1000.0, ..Settings::default() };
    let mut discovery = Discovery::new(settings, Stream::of(1, Party::Discovery, 0));
    let ends: Vec<Call> = (0..4).map(|_| discovery.call(0)).collect();
    let answered = |at| Call::Answered(at);
    assert_eq!(ends, [answered(500_000), answered(1_000_000), answered(1_500_000), Call::Failed(1_000_000)]);
    discovery.outages = 1;
    assert!(matches!(discovery.call(9_000_000), Call::Failed(_)));
}
