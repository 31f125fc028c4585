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

/// Guards the line that everything unsafe rests on: written whole, only the app server's own word
/// proves that it never ran.
#[test]
fn what_was_written_whole_may_have_run_whatever_ended_it() {
    for cause in CAUSES {
        let never = outcome(Extent::Whole, cause).never_ran();
        assert_eq!(never, cause == Cause::Unprocessed, "{cause:?}");
    }
}

/// Guards repeats that are free: a break or a time-out before the last byte proves that it never ran.
#[test]
fn what_was_not_written_whole_never_ran_unless_it_was_answered_or_withdrawn() {
    let open = [Cause::Served, Cause::Denied, Cause::Failed, Cause::Spoilt, Cause::Withdrawn];
    for extent in [Extent::Nothing, Extent::Part] {
        for cause in CAUSES {
            assert_eq!(outcome(extent, cause).never_ran(), !open.contains(&cause), "{extent:?} {cause:?}");
        }
    }
}
