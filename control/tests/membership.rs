//! Changes of members, one by one: who comes in, who goes, and when one that leaves may end.

mod bench;

use bench::{Bench, Disk, put};
use googletest::prelude::*;
use gradepaddle_control::{Body, Input, Message, Outcome, ReplicaId};

const TAKEN: Option<Outcome> = Some(Outcome::Committed);

/// A founded core with configuration 5.
fn with_state(size: usize, losses: usize) -> Bench {
    let mut bench = Bench::founded(size, losses);
    change(&mut bench, put(0, 5, 50));
    bench
}

/// Has a change taken by whoever leads.
fn change(bench: &mut Bench, change: gradepaddle_control::Change) {
    let leader = bench.leader().expect("somebody leads");
    let proposal_id = bench.ask(leader, change);
    bench.settle();
    assert_eq!(bench.answer(proposal_id), TAKEN);
}

fn size(bench: &Bench) -> usize {
    bench.view(bench.leader().expect("somebody leads")).view.members.len()
}

#[gtest]
fn a_joiner_waits_beside_a_silent_member_and_then_takes_its_place() {
    for gone in [1, 2] {
        let mut bench = with_state(3, 1);
        bench.crash(gone);
        bench.run(1_000);
        let added = bench.add(false);
        bench.run(500);
        expect_that!(size(&bench), eq(3), "no larger majority while {gone} is silent");
        expect_that!(bench.members(), not(contains(eq(&added))));
        bench.run(1_500);
        let expected: Vec<usize> = (0..=added).filter(|place| *place != gone).collect();
        expect_that!(bench.members(), eq(&expected), "without {gone}");
    }
}

#[gtest]
fn a_joiner_comes_in_at_once_beside_members_that_are_all_there() {
    let mut bench = with_state(3, 1);
    bench.add(false);
    bench.run(300);
    expect_that!(bench.members(), elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]);
}

#[gtest]
fn a_joiner_comes_in_for_a_silent_primary_within_catch_up() {
    let mut bench = with_state(3, 1);
    bench.crash(0);
    let added = bench.add(false);
    bench.run(3_500);
    expect_that!(bench.members(), elements_are![eq(&1), eq(&2), eq(&added)]);
    expect_that!(bench.view(added).active, eq(true));
}

#[gtest]
fn a_joiner_whose_disk_refuses_writes_stays_outside() {
    let mut bench = with_state(3, 1);
    let added = bench.add(false);
    bench.set_disk(added, Disk::Full);
    // Something to write, by which it learns of its disk.
    bench.input(added, Input::Bootstrap { view: bench.first_view(3) });
    bench.run(2_000);
    expect_that!(bench.members(), not(contains(eq(&added))));
    bench.set_disk(added, Disk::Well);
    bench.run(3_000);
    expect_that!(bench.members(), contains(eq(&added)));
}

#[gtest]
fn the_word_of_a_replica_that_is_gone_takes_nobodys_place() {
    let mut bench = with_state(3, 1);
    // The machine of place 2 has lost its disk twice; what its first replica after that said comes late.
    let stale = gradepaddle_control::Member {
        id: ReplicaId(4_242),
        address: bench.seats[2].address,
        zone: "zone-2".into(),
    };
    let body = Body::Join { member: stale.clone(), first_boot: false };
    let from = bench.seats[2].address;
    bench.input(0, Input::Message { from, message: Message { sender: stale.id, body } });
    bench.run(5_000);
    expect_that!(bench.members(), elements_are![eq(&0), eq(&1), eq(&2)]);
    expect_that!(bench.view(0).view.member(stale.id), none());
}

#[gtest]
fn a_leaver_whose_successor_is_there_ends_only_when_the_others_go_on_without_it() {
    for leaver in [0, 1, 2] {
        let mut bench = with_state(3, 1);
        let added = bench.add(false);
        bench.run(500);
        bench.input(leaver, Input::ShutDown);
        expect_that!(bench.seats[leaver].may_end, eq(false), "place {leaver}");
        while !bench.seats[leaver].may_end {
            bench.run(5);
        }
        bench.crash(leaver);
        // From now on one more may be lost for good, whoever it is.
        let next = bench.leader().expect("somebody leads");
        bench.wipe(next);
        bench.run(3_000);
        change(&mut bench, put(5, 6, 60));
        expect_that!(bench.members(), contains(eq(&added)));
    }
}

#[gtest]
fn a_leaver_without_a_successor_keeps_its_place() {
    let mut bench = with_state(3, 1);
    bench.input(1, Input::ShutDown);
    bench.run(1_000);
    expect_that!(bench.seats[1].may_end, eq(true));
    expect_that!(bench.members(), elements_are![eq(&0), eq(&1), eq(&2)]);
    expect_that!(bench.backups(), elements_are![eq(&2)]);
}

#[gtest]
fn a_joiner_comes_in_at_once_for_a_member_that_said_that_it_leaves() {
    let mut bench = with_state(3, 1);
    bench.input(1, Input::ShutDown);
    bench.run(500);
    bench.crash(1);
    bench.add(false);
    bench.run(300);
    expect_that!(bench.members(), elements_are![eq(&0), eq(&2), eq(&3)]);
}

#[gtest]
fn a_leaver_with_the_only_copy_waits_until_another_has_it() {
    let mut bench = with_state(3, 1);
    bench.crash(1);
    bench.set_disk(2, Disk::Hanging);
    bench.input(0, Input::ShutDown);
    bench.run(4_000);
    expect_that!(bench.seats[0].may_end, eq(false), "nobody else has the state");
    bench.set_disk(2, Disk::Well);
    bench.run(1_500);
    expect_that!(bench.leader(), some(eq(2)));
    bench.start(1);
    bench.run(2_500);
    expect_that!(bench.seats[0].may_end, eq(true));
    bench.crash(0);
    change(&mut bench, put(5, 6, 60));
}

#[gtest]
fn a_leaver_is_forced_to_end_at_its_limit() {
    let mut bench = with_state(3, 1);
    bench.crash(1);
    bench.crash(2);
    bench.input(0, Input::ShutDown);
    bench.run(6_900);
    expect_that!(bench.seats[0].may_end, eq(false));
    bench.run(200);
    expect_that!(bench.seats[0].may_end, eq(true));
}

#[gtest]
fn all_backups_leave_one_after_the_other() {
    let mut bench = with_state(5, 2);
    for (leaver, if_match) in [(1, 5), (2, 6), (3, 7)] {
        let added = bench.add(false);
        bench.run(500);
        bench.input(leaver, Input::ShutDown);
        while !bench.seats[leaver].may_end {
            bench.run(5);
        }
        bench.crash(leaver);
        bench.run(300);
        expect_that!(bench.backups().len(), eq(2));
        expect_that!(bench.members(), all![contains(eq(&added)), not(contains(eq(&leaver)))]);
        change(&mut bench, put(if_match, if_match + 1, u128::from(if_match) * 10 + 10));
    }
}

#[gtest]
fn half_of_the_core_leaves_at_once_beside_its_successors() {
    for (founded, losses) in [(3, 1), (5, 2), (8, 2)] {
        let mut bench = with_state(founded, losses);
        let leavers: Vec<usize> = (0..founded / 2).collect();
        let added: Vec<usize> = leavers.iter().map(|_| bench.add(false)).collect();
        bench.run(200);
        leavers.iter().for_each(|leaver| bench.input(*leaver, Input::ShutDown));
        bench.run(6_000);
        for leaver in &leavers {
            expect_that!(bench.seats[*leaver].may_end, eq(true), "{leaver} of {founded}");
            bench.crash(*leaver);
        }
        change(&mut bench, put(5, 6, 60));
        let expected: Vec<usize> = (founded / 2..founded).chain(added).collect();
        expect_that!(bench.members(), eq(&expected), "{founded}");
    }
}

#[gtest]
fn an_even_core_goes_on_without_a_member_that_is_gone() {
    let mut bench = with_state(4, 1);
    bench.crash(3);
    bench.run(2_800);
    expect_that!(bench.members(), elements_are![eq(&0), eq(&1), eq(&2)]);
    // It bears another loss for good.
    bench.wipe(0);
    bench.run(3_000);
    change(&mut bench, put(5, 6, 60));
    // Who comes back is a member again.
    bench.start(3);
    bench.start(0);
    bench.run(6_000);
    expect_that!(bench.members(), elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]);
}

#[gtest]
fn an_odd_core_keeps_a_member_that_is_gone() {
    for (founded, losses) in [(3, 1), (5, 2)] {
        let mut bench = with_state(founded, losses);
        bench.crash(founded - 1);
        bench.run(10_000);
        expect_that!(size(&bench), eq(founded));
    }
}

#[gtest]
fn with_fewer_live_members_than_copies_wanted_there_is_still_a_backup() {
    let mut bench = with_state(5, 2);
    bench.crash(1);
    bench.crash(2);
    bench.run(3_000);
    expect_that!(bench.backups(), elements_are![eq(&3), eq(&4)]);
    change(&mut bench, put(5, 6, 60));
    bench.input(3, Input::ShutDown);
    bench.run(3_000);
    expect_that!(bench.backups(), elements_are![eq(&4)]);
    change(&mut bench, put(6, 7, 70));
}

#[gtest]
fn one_that_was_left_out_enlarges_nothing_for_good() {
    let mut bench = with_state(3, 1);
    bench.cut(2);
    bench.add(false);
    bench.run(4_000);
    bench.mend();
    bench.run(5_000);
    expect_that!(size(&bench), eq(4));
    expect_that!(bench.view(0).view.target_size, eq(3));
}
