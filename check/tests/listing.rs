//! The list's clock in every order of events, and versions of it that are broken on purpose.

use gradepaddle_check::listing::{Broken, Case};

/// Guards the list's clock, whatever comes in which order.
#[test]
fn nothing_goes_to_an_app_server_that_counts_as_told() {
    let found = Case::default().run();
    assert!(found.breach.is_none(), "{:?}", found.breach);
    assert!(found.learned && found.states > 100_000, "{} states", found.states);
}

/// Guards the same where discovery has so much to do that it turns calls down late.
#[test]
fn a_call_that_is_turned_down_late_leaves_time_for_another() {
    let found = Case { silent_calls: 0, refusal: 12, ..Case::default() }.run();
    assert!(found.breach.is_none(), "{:?}", found.breach);
}

/// Guards the time that runs from the end of an outage, which nobody tells, whatever call was open then.
#[test]
fn what_an_outage_hid_is_learned_in_time_after_it() {
    let case = Case { failures: 0, moves: 0, outages: 1, until: 36, ..Case::default() };
    let found = case.run();
    assert!(found.breach.is_none(), "{:?}", found.breach);
    let spaced = Case { broken: Broken::Spaced, silent_calls: 0, ..case }.run();
    assert!(spaced.breach.is_some(), "{} states", spaced.states);
}

/// Guards the check: what is broken on purpose is caught.
#[test]
fn clocks_that_are_broken_are_caught() {
    for broken in [Broken::Patient, Broken::Outage, Broken::Half, Broken::Spaced] {
        let found = Case { broken, ..Case::default() }.run();
        assert!(found.breach.is_some(), "{broken:?} in {} states", found.states);
    }
}
