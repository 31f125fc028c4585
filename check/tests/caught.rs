//! Tests of the model checker: it must find the faults of broken versions and no violations in the production code.

use gradepaddle_check::broken::Broken;
use gradepaddle_check::explore::{ChooserKind, Exploration};
use gradepaddle_check::report;
use gradepaddle_check::sizes::{Kind, Sizes};

/// Guards against a checker that finds nothing: each version that is broken on purpose violates the expected property.
#[test]
fn each_broken_version_violates_the_expected_property() {
    let mut count = 0;
    for broken in Broken::all() {
        let found = report::broken_version(broken).run();
        let property = found.breaches.first().map(|breach| breach.property);
        assert_eq!(property, broken.expected_breach(), "{}", broken.name());
        count += 1;
    }
    assert!(count >= 8);
}

/// Guards against false positives and against a search that covers too little: a small case without a fault has no
/// violations, is explored completely, and has more than 1000 states.
#[test]
fn production_rules_have_no_violation_in_small_cases() {
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

/// Guards against a search whose result changes from run to run.
#[test]
fn the_production_balancer_has_no_violation_and_two_runs_see_the_same_states() {
    let run = || {
        let sizes = Sizes { crashes: 1, ..Sizes::default() };
        let (name, broken) = ("decisions".to_owned(), Broken::Nothing);
        Exploration { name, sizes, chooser: ChooserKind::Production, depth: Some(6), broken }.run()
    };
    let (one, two) = (run(), run());
    assert!(one.breaches.is_empty(), "{}", report::trace(&one.breaches[0]));
    assert_eq!((one.states, one.depth), (two.states, two.depth));
}
