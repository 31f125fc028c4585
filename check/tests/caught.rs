//! The check itself: it must catch what is broken, and must not cry where nothing is.

use gradepaddle_check::broken::Broken;
use gradepaddle_check::explore::{ChooserKind, Exploration};
use gradepaddle_check::report;
use gradepaddle_check::sizes::{Kind, Sizes};

/// Guards against a check that can not fail: each version that is broken on purpose is caught, by the
/// promise that it breaks.
#[test]
fn each_broken_version_is_caught_by_the_promise_that_it_breaks() {
    let mut count = 0;
    for broken in Broken::all() {
        let found = report::broken(broken).run();
        let property = found.breaches.first().map(|breach| breach.property);
        assert_eq!(property, broken.expected_breach(), "{}", broken.name());
        count += 1;
    }
    assert!(count >= 8);
}

/// Guards against a check that cries wolf, or sees next to nothing: the same small case with nothing
/// broken holds, and comes to its end with the hard cases in it.
#[test]
fn with_nothing_broken_the_same_cases_hold() {
    for kind in [Kind::Safe, Kind::Unsafe, Kind::Keyed, Kind::Nameless] {
        let sizes = Sizes {
            transactions: 1,
            attempts: 2,
            deadline: 2,
            leaves: 0,
            classes: vec![kind],
            ..Sizes::default()
        };
        let (name, broken) = ("small".to_owned(), Broken::Nothing);
        let exploration = Exploration { name, sizes, chooser: ChooserKind::Adversary, depth: None, broken };
        let found = exploration.run();
        assert!(found.breaches.is_empty(), "{}", report::trace(&found.breaches[0]));
        assert!(!found.cut && found.states > 1_000, "{} states", found.states);
    }
}

/// Guards against a search whose verdict changes from run to run.
#[test]
fn the_decisions_hold_and_two_runs_see_the_same_states() {
    let run = || {
        let sizes = Sizes { crashes: 1, ..Sizes::default() };
        let (name, broken) = ("decisions".to_owned(), Broken::Nothing);
        Exploration { name, sizes, chooser: ChooserKind::Production, depth: Some(6), broken }.run()
    };
    let (one, two) = (run(), run());
    assert!(one.breaches.is_empty(), "{}", report::trace(&one.breaches[0]));
    assert_eq!((one.states, one.depth), (two.states, two.depth));
}
