//! A member that was away, lost its disk or got an old copy of it back never leads with less than was acknowledged,
//! nor helps another to.

mod bench;

use bench::{Bench, put};
use googletest::prelude::*;
use gradepaddle_control::{Outcome, RecoveredState};

const TAKEN: Option<Outcome> = Some(Outcome::Committed);

/// Puts so many more versions in force.
fn change(bench: &mut Bench, count: u64) {
    for _ in 0..count {
        let leader = bench.leader().expect("somebody leads");
        let version = bench.replica(leader).state().current_version();
        let proposal_id = bench.ask(leader, put(version, version + 1, u128::from(version) + 1));
        bench.run(20);
        assert_eq!(bench.answer(proposal_id), TAKEN, "version {}", version + 1);
    }
}

/// Runs and looks at each step that whoever leads holds this version; says whether somebody leads at the end.
fn leads_only_with(bench: &mut Bench, version: u64, milliseconds: u64) -> bool {
    for _ in 0..milliseconds / 20 {
        bench.run(20);
        if let Some(leader) = bench.leader() {
            assert_eq!(bench.replica(leader).state().current_version(), version, "place {leader} leads");
        }
    }
    bench.leader().is_some()
}

/// The disk of a place as it is now.
fn copy(bench: &Bench, place: usize) -> RecoveredState {
    bench.seats[place].kept.clone()
}

/// The machine comes back with a copy of its disk that was made before.
fn restore(bench: &mut Bench, place: usize, copy: RecoveredState) {
    bench.crash(place);
    bench.seats[place].kept = copy;
    bench.start(place);
}

#[gtest]
fn a_member_that_was_away_for_hundreds_of_changes_leads_with_all_of_them_or_not_at_all() {
    for away in 0..3 {
        for lost in (0..3).filter(|lost| *lost != away) {
            let mut bench = Bench::founded(3, 1);
            change(&mut bench, 10);
            bench.crash(away);
            bench.run(4_000);
            change(&mut bench, 200);
            bench.crash(lost);
            bench.start(away);
            let led = leads_only_with(&mut bench, 210, 6_000);
            // What is left beside the one that was away holds the data: two copies, of which one is lost.
            expect_that!(led, eq(true), "{away} was away, {lost} is lost");
            change(&mut bench, 5);
        }
    }
}

#[gtest]
fn emptied_members_cannot_lead_without_the_data_and_do_when_it_is_back() {
    let mut bench = Bench::founded(3, 1);
    change(&mut bench, 50);
    // Both copies at once, which is more than is promised to be borne: one for good, one for a while.
    bench.wipe(1);
    bench.start(1);
    bench.crash(0);
    expect_that!(leads_only_with(&mut bench, 50, 8_000), eq(false));
    bench.start(0);
    expect_that!(leads_only_with(&mut bench, 50, 6_000), eq(true));
    change(&mut bench, 5);
}

#[gtest]
fn a_backup_that_got_an_old_copy_of_its_disk_back_is_brought_up_to_date() {
    for (what, views) in [("of the same view", 0), ("of an earlier view", 2)] {
        let mut bench = Bench::founded(3, 1);
        change(&mut bench, 10);
        let old = copy(&bench, 1);
        change(&mut bench, 20);
        for _ in 0..views {
            bench.crash(0);
            bench.run(4_000);
            bench.start(0);
            bench.run(4_000);
        }
        let version = bench.replica(bench.leader().expect("somebody leads")).state().current_version();
        if bench.leader() != Some(1) {
            restore(&mut bench, 1, old);
        }
        let leader = bench.leader().expect("somebody leads");
        let proposal_id = bench.ask(leader, put(version, version + 1, 7_777));
        bench.run(3_000);
        expect_that!(bench.answer(proposal_id), eq(TAKEN), "{what}");
        change(&mut bench, 20);
        bench.crash(bench.leader().expect("somebody leads"));
        expect_that!(leads_only_with(&mut bench, version + 21, 6_000), eq(true), "{what}");
    }
}
