use proptest::prelude::*;

use super::*;

/// Guards the front's 0.2 s and the operators' 4 s: clients are kept until no new ones come, and disconnected early enough
/// that a request of 2 s completes. A drain that was resumed leaves nothing behind.
#[test]
fn a_drain_proceeds_in_steps_and_can_be_resumed_at_any_of_them() {
    let mut state = DrainState::default();
    assert_eq!((state.policy(9), state.next_change(9)), (TrafficPolicy::SERVING, None));
    assert!(state.drain(1_000) && !state.drain(700_000), "only the first call counts");
    let at = |state: &DrainState, ms: u64| state.policy(1_000 + ms * 1_000);
    assert_eq!(at(&state, 0), TrafficPolicy { ready: false, ..TrafficPolicy::SERVING });
    assert!(
        !at(&state, 300).closes_after_response
            && at(&state, 500).closes_after_response
            && at(&state, 500).keeps_idle
    );
    let after_close = at(&state, 2_000);
    assert!(after_close.rejects && !after_close.keeps_idle && after_close.accepts);
    assert_eq!(state.next_change(2_000_000), None);
    assert!(state.resume());
    assert_eq!(at(&state, 2_000), TrafficPolicy::SERVING);
}

/// Guards every combination of drain and SIGTERM: neither allows what the other forbids, and nothing reverts a
/// termination. `next_change` names every moment at which the policy changes.
#[test]
fn drain_and_sigterm_combine_in_any_order() {
    let event = prop_oneof![Just('d'), Just('r'), Just('t'), Just('h')];
    let events = prop::collection::vec((event, 0..900_000u64), 0..8);
    proptest!(gradepaddle_http::testing::deterministic_config(), |(events in events, wait in 0..5_000_000u64)| {
        let (mut state, mut now) = (DrainState::default(), 0);
        for (event, pause) in events {
            now += pause;
            match event {
                'd' => drop(state.drain(now)),
                'r' => prop_assert_eq!(state.resume(), !state.is_terminating()),
                event => state.terminate(now, event == 'h'),
            }
            let policy = state.policy(now);
            let without_successor = state.terminating.is_some_and(|(_, has_successor)| !has_successor);
            prop_assert_eq!(policy.ready, !state.is_drained() && !without_successor);
            prop_assert!(policy.accepts || policy.closes_after_response, "a process that does not accept closes after responses");
            prop_assert!(policy.keeps_idle || policy.closes_after_response);
        }
        let mut at = now;
        while let Some(due) = state.next_change(at).filter(|due| *due <= now + wait) {
            prop_assert_eq!(state.policy(due - 1), state.policy(at));
            at = due;
        }
        prop_assert_eq!(state.policy(now + wait), state.policy(at));
        if state.is_terminating() && wait >= TERMINATE_CLOSE_AFTER {
            prop_assert!(!state.policy(now + wait).accepts && !state.policy(now + wait).keeps_idle);
        }
    });
}
