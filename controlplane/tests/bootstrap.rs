//! The first view: which node makes it, when, and with which members.

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use common::{MS, SECOND, address, addresses, core_identity, identity};
use googletest::prelude::*;
use gradepaddle_control::View;
use gradepaddle_controlplane::Micros;
use gradepaddle_controlplane::bootstrap::{Bootstrap, BootstrapMessage};

const SEEDS: [u8; 3] = [1, 2, 3];

/// The bootstrap before any heartbeat of another seed.
fn without_seeds(losses: usize) -> Option<Bootstrap> {
    Bootstrap::new(address(1), &addresses(SEEDS), losses, true, 0)
}

/// The bootstrap after heartbeats of all seeds, none of which has a replica yet.
fn with_all_seeds(losses: usize) -> Option<Bootstrap> {
    let mut bootstrap = without_seeds(losses)?;
    for seed in SEEDS {
        bootstrap.handle_heartbeat(0, &identity(seed, 1));
    }
    Some(bootstrap)
}

/// Runs until the first view is sent. Returns the time and the messages.
fn first_sent(bootstrap: &mut Bootstrap, until: Micros) -> Option<(Micros, Vec<BootstrapMessage>)> {
    while bootstrap.next_wake() <= until {
        let now = bootstrap.next_wake();
        let sent = bootstrap.tick(now);
        if !sent.is_empty() {
            return Some((now, sent));
        }
    }
    None
}

/// The first view with these core machines in their zones.
fn first_view(losses: usize, cores: &[(u8, &str)]) -> Option<View> {
    let mut bootstrap = with_all_seeds(losses)?;
    for (number, zone) in cores {
        bootstrap.handle_heartbeat(100 * MS, &core_identity(*number, zone));
    }
    Some(first_sent(&mut bootstrap, 3 * SECOND)?.1.first()?.view.clone())
}

#[gtest]
fn only_the_lowest_seed_bootstraps_and_only_at_the_first_start() -> Result<()> {
    let seeds = addresses([3, 1, 2]);
    for (own, first_boot, bootstraps) in
        [(1, true, true), (2, true, false), (3, true, false), (4, true, false), (1, false, false)]
    {
        let bootstrap = Bootstrap::new(address(own), &seeds, 1, first_boot, 0);
        expect_that!(bootstrap.is_some(), eq(bootstraps), "node {own}, first start: {first_boot}");
    }
    expect_that!(Bootstrap::new(address(1), &[], 1, true, 0).is_none(), eq(true));
    Ok(())
}

#[gtest]
fn bootstrap_waits_a_second_and_until_no_new_core_machine_comes() -> Result<()> {
    let mut early = with_all_seeds(1).or_fail()?;
    early.handle_heartbeat(0, &core_identity(1, "a"));
    let (at, _) = first_sent(&mut early, 9 * SECOND).or_fail()?;
    expect_that!(at, all![ge(SECOND), le(1_500 * MS)]);

    let mut late = with_all_seeds(1).or_fail()?;
    late.handle_heartbeat(0, &core_identity(1, "a"));
    late.handle_heartbeat(950 * MS, &core_identity(2, "b"));
    let (at, sent) = first_sent(&mut late, 9 * SECOND).or_fail()?;
    expect_that!(at, all![ge(1_550 * MS), le(2 * SECOND)]);
    expect_that!(sent.len(), eq(2));
    Ok(())
}

#[gtest]
fn bootstrap_waits_for_the_other_seeds() -> Result<()> {
    // The seeds that send heartbeats, and when the first view is sent.
    let between = |from: Micros, until: Micros| Some((from, until));
    for (senders, wanted) in [
        (&[2, 3][..], between(SECOND, 1_500 * MS)),
        (&[2], between(4 * SECOND, 5 * SECOND)),
        (&[3], between(4 * SECOND, 5 * SECOND)),
        (&[], None),
        (&[8, 9], None),
    ] {
        let mut bootstrap = without_seeds(1).or_fail()?;
        bootstrap.handle_heartbeat(0, &core_identity(1, "a"));
        senders.iter().for_each(|seed| bootstrap.handle_heartbeat(0, &core_identity(*seed, "b")));
        let sent = first_sent(&mut bootstrap, 60 * SECOND).map(|(at, _)| at);
        let fits = match (sent, wanted) {
            (Some(at), Some((from, until))) => (from..=until).contains(&at),
            (sent, wanted) => sent.is_none() && wanted.is_none(),
        };
        expect_that!(fits, eq(true), "heartbeats of {senders:?}: {sent:?} instead of {wanted:?}");
    }
    Ok(())
}

#[gtest]
fn bootstrap_waits_for_a_late_seed() -> Result<()> {
    let mut bootstrap = without_seeds(1).or_fail()?;
    bootstrap.handle_heartbeat(0, &core_identity(1, "a"));
    bootstrap.handle_heartbeat(0, &core_identity(2, "b"));
    bootstrap.handle_heartbeat(2 * SECOND, &core_identity(3, "c"));
    let (at, sent) = first_sent(&mut bootstrap, 9 * SECOND).or_fail()?;
    expect_that!(at, all![ge(2_600 * MS), le(3 * SECOND)]);
    expect_that!(sent.len(), eq(3));
    Ok(())
}

#[gtest]
fn the_only_seed_bootstraps_alone() -> Result<()> {
    let mut bootstrap = Bootstrap::new(address(1), &addresses([1]), 1, true, 0).or_fail()?;
    bootstrap.handle_heartbeat(0, &core_identity(1, "a"));
    let (at, sent) = first_sent(&mut bootstrap, 9 * SECOND).or_fail()?;
    expect_that!(at, le(1_500 * MS));
    expect_that!((sent.len(), sent[0].view.backups.len()), eq((1, 0)));
    Ok(())
}

#[gtest]
fn repeated_heartbeats_do_not_delay_the_first_view() -> Result<()> {
    let mut bootstrap = with_all_seeds(1).or_fail()?;
    for now in (0..3 * SECOND).step_by(100_000) {
        bootstrap.handle_heartbeat(now, &core_identity(1, "a"));
        bootstrap.handle_heartbeat(now, &core_identity(2, "b"));
        if !bootstrap.tick(now).is_empty() {
            return verify_that!(now, le(1_500 * MS));
        }
    }
    fail!("no first view was made")
}

#[gtest]
fn all_core_machines_become_members_and_no_others() -> Result<()> {
    let mut bootstrap = with_all_seeds(1).or_fail()?;
    for number in [1, 2, 3, 6, 7] {
        bootstrap.handle_heartbeat(0, &core_identity(number, "a"));
    }
    bootstrap.handle_heartbeat(0, &identity(4, 1));
    let stranger = gradepaddle_proto::Identity { first_boot: false, ..core_identity(5, "a") };
    bootstrap.handle_heartbeat(0, &stranger);
    let (_, sent) = first_sent(&mut bootstrap, 9 * SECOND).or_fail()?;
    let to: BTreeSet<SocketAddrV4> = sent.iter().map(|message| message.to).collect();
    expect_that!(to, eq(&addresses([1, 2, 3, 6, 7]).into_iter().collect::<BTreeSet<_>>()));
    expect_that!(sent.iter().all(|message| message.view == sent[0].view), eq(true));
    expect_that!(sent[0].view.members.len(), eq(5));
    expect_that!((sent[0].view.epoch, sent[0].view.target_size), eq((1, 5)));
    expect_that!(sent[0].view.previous_members, is_empty());
    Ok(())
}

#[gtest]
fn the_bootstrapping_node_is_the_primary_if_it_is_a_core_machine() -> Result<()> {
    let view = first_view(1, &[(2, "b"), (1, "a"), (3, "c")]).or_fail()?;
    expect_that!(view.member(view.primary).or_fail()?.address, eq(address(1)));
    let view = first_view(1, &[(2, "b"), (3, "c")]).or_fail()?;
    expect_that!(view.member(view.primary).or_fail()?.address, any![eq(address(2)), eq(address(3))]);
    Ok(())
}

#[gtest]
fn backups_are_as_many_as_losses_and_in_other_zones() -> Result<()> {
    let nine: Vec<(u8, &str)> =
        (1..=9).map(|number| (number, ["a", "b", "c"][usize::from(number) % 3])).collect();
    for (losses, wanted) in [(0, 1), (1, 1), (2, 2), (3, 3)] {
        let view = first_view(losses, &nine).or_fail()?;
        expect_that!(view.backups.len(), eq(wanted), "{losses} losses");
        let own = &view.member(view.primary).or_fail()?.zone;
        let near =
            view.backups.iter().filter(|id| view.member(**id).is_some_and(|one| one.zone == *own)).count();
        expect_that!(near, eq(0), "{losses} losses");
        expect_that!(view.backups, not(contains(eq(&view.primary))));
    }
    Ok(())
}

#[gtest]
fn backups_come_from_the_own_zone_where_there_is_no_other() -> Result<()> {
    expect_that!(first_view(2, &[(1, "a"), (2, "a"), (3, "a")]).or_fail()?.backups.len(), eq(2));
    expect_that!(first_view(2, &[(1, "a"), (2, "b")]).or_fail()?.backups.len(), eq(1));
    expect_that!(first_view(1, &[(1, "a")]).or_fail()?.backups.len(), eq(0));
    Ok(())
}

#[gtest]
fn without_core_machines_there_is_no_first_view_until_one_comes() -> Result<()> {
    let mut bootstrap = with_all_seeds(1).or_fail()?;
    expect_that!(first_sent(&mut bootstrap, 5 * SECOND).is_none(), eq(true));
    bootstrap.handle_heartbeat(5 * SECOND, &core_identity(2, "b"));
    expect_that!(first_sent(&mut bootstrap, 7 * SECOND).is_some(), eq(true));
    Ok(())
}

#[gtest]
fn the_first_view_is_resent_for_a_while_and_never_changes() -> Result<()> {
    let mut bootstrap = with_all_seeds(1).or_fail()?;
    bootstrap.handle_heartbeat(0, &core_identity(1, "a"));
    bootstrap.handle_heartbeat(0, &core_identity(2, "b"));
    let (at, first) = first_sent(&mut bootstrap, 9 * SECOND).or_fail()?;
    bootstrap.handle_heartbeat(at + 1, &core_identity(3, "c"));
    let mut again = 0;
    while bootstrap.next_wake() < Micros::MAX {
        let now = bootstrap.next_wake();
        let sent = bootstrap.tick(now);
        expect_that!(sent.is_empty() || sent == first, eq(true));
        again += usize::from(!sent.is_empty());
        verify_that!(now, le(20 * SECOND))?;
    }
    expect_that!(again, ge(5));
    expect_that!(bootstrap.has_view(), eq(true));
    Ok(())
}
