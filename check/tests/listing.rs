//! Model checks of the service table's clock in every order of events, and of versions that are broken on purpose.

use gradepaddle_check::listing::{Broken, Case};

/// No request goes to a draining app server after its grace once the drain counts as delivered, in any order of events.
#[test]
fn no_request_goes_to_an_app_server_whose_drain_counts_as_delivered() {
    let found = Case::default().run();
    assert!(found.breach.is_none(), "{:?}", found.breach);
    assert!(found.learned && found.states > 100_000, "{} states", found.states);
}

/// The same holds where an overloaded discovery rejects calls late.
#[test]
fn a_late_rejection_leaves_time_for_another_call() {
    let found = Case { silent_calls: 0, refusal: 12, ..Case::default() }.run();
    assert!(found.breach.is_none(), "{:?}", found.breach);
}

/// Changes made during an outage are received in time after its end, of which the process is not notified, whichever call
/// was open then.
#[test]
fn changes_during_an_outage_are_received_in_time_after_it() {
    let case = Case { failures: 0, moves: 0, outages: 1, until: 36, ..Case::default() };
    let found = case.run();
    assert!(found.breach.is_none(), "{:?}", found.breach);
    let spaced = Case { broken: Broken::Spaced, silent_calls: 0, ..case }.run();
    assert!(spaced.breach.is_some(), "{} states", spaced.states);
}

/// Guards against a check that finds nothing: each version that is broken on purpose is caught.
#[test]
fn broken_versions_are_caught() {
    for broken in [Broken::Patient, Broken::Outage, Broken::Half, Broken::Spaced] {
        let found = Case { broken, ..Case::default() }.run();
        assert!(found.breach.is_some(), "{broken:?} in {} states", found.states);
    }
}
