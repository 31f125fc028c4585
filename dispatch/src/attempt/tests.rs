use super::*;

const CAUSES: [Cause; 11] = [
    Cause::Served,
    Cause::Denied,
    Cause::Failed,
    Cause::Unprocessed,
    Cause::Spoilt,
    Cause::NoConnection,
    Cause::Closed,
    Cause::NotTried,
    Cause::Broke,
    Cause::OutOfTime,
    Cause::Withdrawn,
];

/// Guards against repeating an unsafe request: once it was written completely, only the app server's own statement proves
/// that it never ran.
#[test]
fn a_completely_written_attempt_may_have_run_unless_the_server_says_unprocessed() {
    for cause in CAUSES {
        let never = outcome(Extent::Whole, cause).never_ran();
        assert_eq!(never, cause == Cause::Unprocessed, "{cause:?}");
    }
}

/// Guards safe retries: a reset or a time-out before the last byte proves that the attempt never ran.
#[test]
fn an_incompletely_written_attempt_never_ran_unless_answered_or_withdrawn() {
    let open = [Cause::Served, Cause::Denied, Cause::Failed, Cause::Spoilt, Cause::Withdrawn];
    for extent in [Extent::Nothing, Extent::Part] {
        for cause in CAUSES {
            assert_eq!(outcome(extent, cause).never_ran(), !open.contains(&cause), "{extent:?} {cause:?}");
        }
    }
}
