//! The rules of the design page, one by one.

mod bench;

use bench::{Bench, Disk, MILLISECOND, name, put};
use googletest::prelude::*;
use gradepaddle_control::{
    Body, Input, Message, Outcome, Output, Prepare, ProposalNumber, Replica, ReplicaConfig, ReplicaId, Role,
};

const TAKEN: Option<Outcome> = Some(Outcome::Committed);

/// A founded core with configuration 5, which came after 3, and version 4 of model `a`.
fn with_state(size: usize, losses: usize) -> Bench {
    let mut bench = Bench::founded(size, losses);
    for change in [put(0, 3, 30), put(3, 5, 50), name("a", 4)] {
        let proposal_id = bench.ask(0, change);
        bench.settle();
        assert_eq!(bench.answer(proposal_id), TAKEN);
    }
    bench
}

#[gtest]
fn changes_are_judged_by_what_is_committed() {
    let rows = [
        ("on top of the current one", put(5, 6, 60), Outcome::Committed),
        ("on top of an older one", put(3, 6, 60), Outcome::Conflict { current: 5 }),
        ("on top of none", put(0, 6, 60), Outcome::Conflict { current: 5 }),
        ("on top of one that isn't in force yet", put(6, 7, 60), Outcome::Unknown),
        ("above the current one and never above its base", put(7, 7, 60), Outcome::Conflict { current: 5 }),
        ("not above the current one", put(5, 5, 60), Outcome::VersionNotHigher { current: 5 }),
        ("the current one again", put(3, 5, 50), Outcome::Committed),
        ("an older one that was taken", put(0, 3, 30), Outcome::Committed),
        ("a higher name", name("a", 5), Outcome::Committed),
        ("the same name", name("a", 4), Outcome::Committed),
        ("a lower name", name("a", 2), Outcome::Committed),
        ("a new model", name("b", 1), Outcome::Committed),
    ];
    for (what, change, outcome) in rows {
        let mut bench = with_state(3, 1);
        let proposal_id = bench.ask(0, change);
        bench.settle();
        expect_that!(bench.answer(proposal_id), some(eq(outcome)), "{what}");
    }
}

#[gtest]
fn what_was_taken_before_is_in_force_unchanged_after_it_is_sent_again() {
    let mut bench = with_state(3, 1);
    for change in [put(0, 3, 30), name("a", 2)] {
        bench.ask(0, change);
        bench.settle();
    }
    expect_that!(bench.replica(0).state().current_version(), eq(5));
    expect_that!(bench.replica(0).state().models.get("a"), some(eq(&4)));
}

#[gtest]
fn nothing_is_acknowledged_before_all_of_the_data_set_has_it() {
    for slow in [0, 1, 2] {
        let mut bench = with_state(5, 2);
        bench.set_disk(slow, Disk::Hanging);
        let proposal_id = bench.ask(0, put(5, 6, 60));
        bench.run(300);
        expect_that!(bench.answer(proposal_id), none(), "place {slow}");
        bench.set_disk(slow, Disk::Well);
        bench.settle();
        expect_that!(bench.answer(proposal_id), eq(TAKEN), "place {slow}");
        for place in [0, 1, 2] {
            let kept = bench.seats[place].kept.data.as_ref().map(|data| data.state.current_version());
            expect_that!(kept, some(eq(6)), "place {place}");
        }
    }
}

#[gtest]
fn a_witness_keeps_no_data() {
    let bench = with_state(5, 2);
    for (place, keeps) in [(0, true), (1, true), (2, true), (3, false), (4, false)] {
        expect_that!(bench.seats[place].kept.data.is_some(), eq(keeps), "place {place}");
    }
}

#[gtest]
fn a_rival_is_judged_only_once_the_pending_change_is_decided() {
    let mut bench = with_state(3, 1);
    bench.set_disk(1, Disk::Hanging);
    let first = bench.ask(0, put(5, 6, 60));
    let rival = bench.ask(0, put(5, 7, 70));
    let again = bench.ask(0, put(5, 6, 60));
    bench.run(300);
    for proposal_id in [first, rival, again] {
        expect_that!(bench.answer(proposal_id), none());
    }
    bench.set_disk(1, Disk::Well);
    bench.settle();
    expect_that!(bench.answer(first), eq(TAKEN));
    expect_that!(bench.answer(rival), some(eq(Outcome::Conflict { current: 6 })));
    expect_that!(bench.answer(again), eq(TAKEN));
}

#[gtest]
fn others_name_the_primary() {
    let mut bench = with_state(3, 1);
    let primary = Some(bench.seats[0].address);
    for place in [1, 2] {
        let proposal_id = bench.ask(place, put(5, 6, 60));
        expect_that!(bench.answer(proposal_id), some(eq(Outcome::NotPrimary { primary })));
    }
}

#[gtest]
fn a_change_without_a_decision_gets_no_clear_answer() {
    let mut bench = with_state(3, 1);
    bench.cut(0);
    let pending = bench.ask(0, put(5, 6, 60));
    let queued = bench.ask(0, put(5, 7, 70));
    bench.run(3_600);
    expect_that!(bench.answer(pending), some(eq(Outcome::Unknown)));
    expect_that!(bench.answer(queued), some(eq(Outcome::NotPrimary { primary: None })));
}

#[gtest]
fn a_primary_that_is_cut_off_stops_before_another_begins() {
    let mut bench = with_state(3, 1);
    bench.cut(0);
    let mut gap = 0;
    for _ in 0..1_000 {
        bench.run(5);
        match bench.leader() {
            None => gap += 1,
            Some(0) => {}
            Some(other) => {
                expect_that!(other, eq(1), "the backup takes over");
                break;
            }
        }
    }
    expect_that!(gap, gt(0), "there is a while without a leader");
    expect_that!(gap, lt(100), "it is short");
    expect_that!(bench.replica(1).state().current_version(), eq(5));
}

#[gtest]
fn a_primary_that_was_frozen_doesnt_lead_when_it_wakes() {
    let bench = with_state(3, 1);
    let woken = bench.now + 2_000 * MILLISECOND;
    expect_that!(bench.replica(0).leading(bench.now), some(eq(1)));
    expect_that!(bench.replica(0).leading(woken), none());
}

fn message(sender: u64, body: Body) -> Message {
    Message { sender: ReplicaId(sender), body }
}

/// What a member answers to a request for a promise.
fn prepare(
    bench: &mut Bench,
    place: usize,
    sender: u64,
    epoch: u64,
    released: Option<ProposalNumber>,
) -> Option<Body> {
    let now = bench.now;
    let seat = &mut bench.seats[place];
    let from = "10.0.0.250:7640".parse().expect("an address");
    let body = Body::Prepare(Prepare { epoch, position: None, released });
    let mut out = Vec::new();
    let replica = seat.replica.as_mut().expect("it runs");
    replica.handle(now, Input::Message { from, message: message(sender, body) }, &mut out);
    let written: Vec<_> = out
        .iter()
        .filter_map(|output| match output {
            Output::Persist { write_id, .. } => Some(*write_id),
            _ => None,
        })
        .collect();
    for write_id in written {
        replica.handle(now, Input::WriteCompleted { write_id }, &mut out);
    }
    out.into_iter().find_map(|output| match output {
        Output::Send { to, message } if to == from => Some(message.body),
        _ => None,
    })
}

#[gtest]
fn promises_and_refusals() {
    let holder = ProposalNumber { epoch: 1, candidate: ReplicaId(1_000) };
    let older = ProposalNumber { epoch: 0, candidate: ReplicaId(1_000) };
    let foreign = ProposalNumber { epoch: 9, candidate: ReplicaId(1_001) };
    // candidate, epoch, released, time since the last heartbeat, whether it is promised
    let rows = [
        ("within the lease of another", 1_002, 2, None, 0, false),
        ("after the lease", 1_002, 2, None, 1_600, true),
        ("an old epoch after the lease", 1_002, 1, None, 1_600, false),
        ("by the holder of the lease itself", 1_000, 2, None, 0, true),
        ("the holder with an old epoch", 1_000, 1, None, 0, true),
        ("handed over", 1_002, 2, Some(holder), 0, true),
        ("handed over before this lease", 1_002, 2, Some(older), 0, false),
        ("handed over by somebody else", 1_002, 2, Some(foreign), 0, false),
        ("by one that isn't a member", 5_000, 2, None, 1_600, false),
    ];
    for (what, candidate, epoch, released, wait, promised) in rows {
        let mut bench = with_state(3, 1);
        bench.now += wait * MILLISECOND;
        let answer = prepare(&mut bench, 1, candidate, epoch, released);
        let is_promise = matches!(answer, Some(Body::Promise(_)));
        expect_that!(is_promise, eq(promised), "{what}: {answer:?}");
    }
}

#[gtest]
fn an_epoch_is_promised_once() {
    let mut bench = with_state(3, 1);
    bench.now += 1_600 * MILLISECOND;
    for (candidate, promised) in [(1_002, true), (1_000, false), (1_002, true)] {
        let answer = prepare(&mut bench, 1, candidate, 2, None);
        expect_that!(matches!(answer, Some(Body::Promise(_))), eq(promised), "{candidate}");
    }
}

#[gtest]
fn a_member_that_restarted_waits_for_leases_that_it_forgot() {
    // candidate, time since the restart, whether it is promised
    for (candidate, wait, promised) in
        [(1_002, 0, false), (1_002, 1_400, false), (1_002, 1_501, true), (1_000, 0, true)]
    {
        let mut bench = with_state(3, 1);
        bench.crash(1);
        bench.start(1);
        bench.now += wait * MILLISECOND;
        let answer = prepare(&mut bench, 1, candidate, 2, None);
        expect_that!(matches!(answer, Some(Body::Promise(_))), eq(promised), "{candidate} after {wait}");
    }
}

#[gtest]
fn nothing_is_said_before_it_is_durable() {
    let mut bench = with_state(3, 1);
    bench.now += 1_600 * MILLISECOND;
    bench.set_disk(1, Disk::Hanging);
    let now = bench.now;
    let from = bench.seats[2].address;
    let body = Body::Prepare(Prepare { epoch: 2, position: None, released: None });
    let mut out = Vec::new();
    let replica = bench.seats[1].replica.as_mut().expect("it runs");
    replica.handle(now, Input::Message { from, message: message(1_002, body) }, &mut out);
    let said = out.iter().any(
        |output| matches!(output, Output::Send { message, .. } if matches!(message.body, Body::Promise(_))),
    );
    expect_that!(said, eq(false));
}

#[gtest]
fn a_primary_that_restarts_leads_again_at_once_under_a_new_epoch() {
    let mut bench = with_state(3, 1);
    bench.crash(0);
    bench.run(200);
    bench.start(0);
    bench.run(200);
    expect_that!(bench.leader(), some(eq(0)));
    expect_that!(bench.replica(0).leading(bench.now), some(gt(1)));
    expect_that!(bench.replica(0).state().current_version(), eq(5));
}

#[gtest]
fn all_that_lose_power_come_back_with_the_state() {
    let mut bench = with_state(3, 1);
    (0..3).for_each(|place| bench.crash(place));
    bench.run(100);
    (0..3).for_each(|place| bench.start(place));
    bench.run(400);
    let leader = bench.leader().expect("somebody leads");
    expect_that!(bench.replica(leader).state().current_version(), eq(5));
}

#[gtest]
fn as_many_as_may_be_lost_take_nothing_with_them() {
    for (size, losses, lost) in
        [(3, 1, vec![0]), (3, 1, vec![1]), (5, 2, vec![0, 1]), (5, 2, vec![0, 2]), (8, 2, vec![1, 2])]
    {
        let mut bench = with_state(size, losses);
        (0..size).for_each(|place| bench.crash(place));
        lost.iter().for_each(|place| bench.wipe(*place));
        (0..size).for_each(|place| bench.start(place));
        bench.run(6_000);
        let leader = bench.leader().expect("somebody leads");
        expect_that!(bench.replica(leader).state().current_version(), eq(5), "{size} without {lost:?}");
        expect_that!(bench.members(), eq(&(0..size).collect::<Vec<_>>()), "{size} without {lost:?}");
        expect_that!(bench.backups().len(), eq(losses));
    }
}

#[gtest]
fn one_that_ends_in_good_order_hands_over() {
    let mut bench = with_state(3, 1);
    bench.input(0, Input::ShutDown);
    bench.run(250);
    expect_that!(bench.leader(), some(eq(1)));
    expect_that!(bench.seats[0].may_end, eq(true));
    expect_that!(bench.backups(), elements_are![eq(&2)]);
}

#[gtest]
fn a_backup_and_a_witness_that_end_in_good_order_hold_nothing_up() {
    for (place, within) in [(1, 900), (2, 10)] {
        let mut bench = with_state(3, 1);
        bench.input(place, Input::ShutDown);
        bench.run(within);
        expect_that!(bench.seats[place].may_end, eq(true), "place {place}");
        expect_that!(bench.backups(), not(contains(eq(&place))));
    }
}

#[gtest]
fn one_that_is_about_to_end_is_better_than_no_backup() {
    let mut bench = with_state(3, 1);
    bench.crash(2);
    bench.run(2_500);
    bench.input(0, Input::ShutDown);
    bench.run(500);
    expect_that!(bench.leader(), some(eq(1)));
    expect_that!(bench.backups(), elements_are![eq(&0)]);
}

#[gtest]
fn a_disk_in_trouble_makes_room_for_another() {
    for disk in [Disk::Full, Disk::Hanging] {
        for place in [0, 1] {
            let mut bench = with_state(3, 1);
            bench.set_disk(place, disk);
            let proposal_id = bench.ask(0, put(5, 6, 60));
            bench.run(2_000);
            let leader = bench.leader().expect("somebody leads");
            let data_set: Vec<usize> = bench.backups().into_iter().chain([leader]).collect();
            expect_that!(data_set, not(contains(eq(&place))), "{disk:?} at {place}");
            expect_that!(bench.answer(proposal_id), some(any![eq(Outcome::Committed), eq(Outcome::Unknown)]));
            let again = bench.ask(leader, put(5, 6, 60));
            bench.settle();
            expect_that!(bench.answer(again), eq(TAKEN), "{disk:?} at {place}");
        }
    }
}

#[gtest]
fn a_disk_that_is_well_again_counts_again() {
    let mut bench = with_state(3, 1);
    bench.set_disk(1, Disk::Full);
    bench.ask(0, put(5, 6, 60));
    bench.run(1_500);
    expect_that!(bench.replica(1).status().disk_healthy, eq(false));
    bench.set_disk(1, Disk::Well);
    bench.run(1_100);
    expect_that!(bench.replica(1).status().disk_healthy, eq(true));
}

#[gtest]
fn a_silent_backup_is_replaced_sooner_if_a_change_waits() {
    for (waits, within) in [(true, 1_000), (false, 1_800)] {
        let mut bench = with_state(3, 1);
        bench.crash(1);
        let proposal_id = waits.then(|| bench.ask(0, put(5, 6, 60)));
        bench.run(700);
        expect_that!(bench.backups(), elements_are![eq(&1)]);
        bench.run(within - 700);
        expect_that!(bench.backups(), elements_are![eq(&2)], "a change waits: {waits}");
        if let Some(proposal_id) = proposal_id {
            expect_that!(bench.answer(proposal_id), eq(TAKEN));
        }
    }
}

#[gtest]
fn a_machine_with_an_emptied_disk_comes_in_for_the_one_it_was() {
    let mut bench = with_state(3, 1);
    bench.wipe(2);
    bench.start(2);
    bench.run(1_500);
    expect_that!(bench.members(), elements_are![eq(&0), eq(&1), eq(&2)]);
    expect_that!(bench.view(0).view.members.len(), eq(3));
}

#[gtest]
fn a_machine_at_another_address_comes_in_for_the_one_that_is_gone() {
    for gone in [1, 2] {
        let mut bench = with_state(3, 1);
        bench.crash(gone);
        let added = bench.add(false);
        bench.run(4_000);
        let expected: Vec<usize> = (0..=added).filter(|place| *place != gone).collect();
        expect_that!(bench.members(), eq(&expected), "without {gone}");
        expect_that!(bench.view(0).view.target_size, eq(3));
    }
}

#[gtest]
fn a_late_founder_enlarges_the_core_for_good() {
    for (first_boot, target) in [(true, 4), (false, 3)] {
        let mut bench = with_state(3, 1);
        bench.add(first_boot);
        bench.run(1_500);
        expect_that!(bench.members().len(), eq(4));
        expect_that!(bench.view(0).view.target_size, eq(target));
    }
}

#[gtest]
fn one_that_was_left_out_joins_again() {
    let mut bench = with_state(3, 1);
    bench.cut(2);
    bench.add(false);
    bench.run(4_000);
    expect_that!(bench.members(), elements_are![eq(&0), eq(&1), eq(&3)]);
    bench.mend();
    bench.run(5_000);
    expect_that!(bench.members(), elements_are![eq(&0), eq(&1), eq(&2), eq(&3)]);
}

#[gtest]
fn a_calm_core_keeps_its_view_and_writes_nothing() {
    for (size, losses) in [(1, 1), (2, 1), (3, 1), (5, 2), (8, 2)] {
        let mut bench = with_state(size, losses);
        let before: Vec<_> = bench.seats.iter().map(|seat| seat.writes).collect();
        bench.run(30_000);
        let after: Vec<_> = bench.seats.iter().map(|seat| seat.writes).collect();
        expect_that!(after, eq(&before), "{size} replicas");
        expect_that!(bench.replica(0).leading(bench.now), some(eq(1)), "{size} replicas");
    }
}

#[gtest]
fn a_minority_changes_nothing() {
    let mut bench = with_state(5, 2);
    for place in [2, 3, 4] {
        bench.crash(place);
    }
    let proposal_id = bench.ask(0, put(5, 6, 60));
    bench.run(3_000);
    expect_that!(bench.leader(), none());
    expect_that!(bench.answer(proposal_id), none());
    for place in [2, 3, 4] {
        bench.start(place);
    }
    bench.run(4_000);
    let leader = bench.leader().expect("somebody leads");
    let again = bench.ask(leader, put(5, 6, 60));
    bench.settle();
    expect_that!(bench.answer(again), eq(TAKEN));
}

#[gtest]
fn founding_is_for_replicas_that_know_nothing() {
    let mut bench = with_state(3, 1);
    let mut other = bench.first_view(3);
    other.primary = bench.seats[2].kept.id;
    (0..3).for_each(|place| bench.input(place, Input::Bootstrap { view: other.clone() }));
    bench.run(500);
    expect_that!(bench.leader(), some(eq(0)));
    expect_that!(bench.replica(0).state().current_version(), eq(5));
}

#[gtest]
fn one_that_missed_the_founding_is_told() {
    let mut bench = Bench::bare(3, 1);
    let view = bench.first_view(3);
    bench.input(0, Input::Bootstrap { view: view.clone() });
    bench.input(2, Input::Bootstrap { view });
    bench.run(1_000);
    expect_that!(bench.leader(), some(eq(0)));
    let proposal_id = bench.ask(0, put(0, 1, 10));
    bench.settle();
    expect_that!(bench.answer(proposal_id), eq(TAKEN));
    expect_that!(bench.replica(1).status().role, eq(Role::Backup));
}

#[gtest]
fn an_empty_disk_alone_only_asks_to_join() {
    let address = "10.0.0.9:7640".parse().expect("an address");
    let config = ReplicaConfig::builder().address(address).zone("z").build();
    let mut replica = Replica::new(config, gradepaddle_control::RecoveredState::empty(ReplicaId(9)), 0);
    let mut out = Vec::new();
    let peer = "10.0.0.1:7640".parse().expect("an address");
    replica.handle(0, Input::Peers(vec![peer]), &mut out);
    for second in 1..20 {
        replica.handle(second * 1_000 * MILLISECOND, Input::Tick, &mut out);
    }
    let joins = out.iter().filter(
        |output| matches!(output, Output::Send { message, .. } if matches!(message.body, Body::Join { .. })),
    );
    expect_that!(joins.count(), eq(20));
    expect_that!(out.len(), eq(20));
}
