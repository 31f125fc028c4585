//! Selection of servers: homes of keys, spreading under load, server states, ejection and rejections.

mod common;

use std::collections::BTreeSet;

use common::*;
use googletest::prelude::*;
use gradepaddle_placement::*;

#[gtest]
fn nodes_agree_on_the_home_of_an_unknown_key() {
    let nodes = [("a", 1), ("b", 2), ("c", 3)];
    let mut nodes =
        nodes.map(|(zone, seed)| placer_of(PlacementConfig::builder().own_zone(zone).seed(seed).build(), 18));
    let mut used = BTreeSet::new();
    for subject in 0..200 {
        let now = 2_000 * MS + subject * 1_000 * MS;
        let homes = nodes.each_mut().map(|node| {
            let placement = place(node, now, subject, subject);
            serve(node, now, &placement);
            placement.server
        });
        expect_that!(homes[1], eq(&homes[0]));
        expect_that!(homes[2], eq(&homes[0]));
        used.insert(homes[0].clone());
    }
    expect_that!(used.len(), eq(18));
}

#[gtest]
fn a_removed_server_moves_only_its_own_keys() {
    let homes = |count| {
        let mut node = placer(count);
        (0..100u64).map(move |subject| {
            let now = 2_000 * MS + subject * 1_000 * MS;
            let placement = place(&mut node, now, subject, subject);
            serve(&mut node, now, &placement);
            placement.server
        })
    };
    for (all, fewer) in homes(9).zip(homes(8)) {
        if &*all != "i-8" {
            expect_that!(fewer, eq(&all));
        }
    }
}

#[gtest]
fn a_key_stays_at_its_cached_server_spreads_under_load_and_returns() {
    let mut node = placer(6);
    let mut now = 2_000 * MS;
    let first = place(&mut node, now, 1, 1);
    serve(&mut node, now, &first);
    now += 300 * MS;
    let again = place(&mut node, now, 1, 2);
    expect_that!(again.server, eq(&first.server));
    // No request ends, so servers are added to the key's set, each of which fetches the chunks from a holder.
    let mut used = BTreeSet::new();
    let mut open = vec![again];
    for own in 0..30 {
        let placement = place(&mut node, now + own * MS, 1, 10 + own);
        used.insert(placement.server.clone());
        open.push(placement);
    }
    expect_that!(used.len(), ge(3));
    for placement in open {
        serve(&mut node, now + 100 * MS, &placement);
    }
    // Once all prefills are complete, one of its holders serves it again, by the lowest sum of costs.
    now += 5_000 * MS;
    let later: BTreeSet<_> = (0..5)
        .map(|own| {
            let at = now + own * 1_000 * MS;
            let placement = place(&mut node, at, 1, 100 + own);
            serve(&mut node, at, &placement);
            placement.server
        })
        .collect();
    expect_that!(later.len(), eq(1));
}

#[gtest]
fn a_prefix_common_to_many_keys_attracts_none_of_them() {
    let mut node = placer(6);
    // Subjects 0, 4, 8 ... share their first chunk; its first holder must not become home of all.
    let mut used = BTreeSet::new();
    for turn in 0..20u64 {
        let now = 2_000 * MS + turn * 1_000 * MS;
        let placement = place(&mut node, now, 4 * turn, turn);
        serve(&mut node, now, &placement);
        used.insert(placement.server);
    }
    expect_that!(used.len(), ge(5));
}

#[gtest]
fn a_server_that_reports_the_chunks_as_cached_is_preferred() {
    for holder in 0..6 {
        let mut node = placer(6);
        let salt = place(&mut node, 0, 9, 1).salt.expect("version known");
        let mut node = placer(6);
        for shared in &long_prompt(9, 1)[..2] {
            node.apply_cache_event(1_900 * MS, &format!("i-{holder}"), added(&salt, shared));
        }
        expect_that!(&*place(&mut node, 2_000 * MS, 9, 2).server, eq(&*format!("i-{holder}")));
        // Once evicted there, the home serves it.
        for shared in &long_prompt(9, 1)[..2] {
            let event = CacheEvent::Dropped { salt: &salt, chunk: shared.id, tokens: 0, model: MODEL };
            node.apply_cache_event(2_100 * MS, &format!("i-{holder}"), event);
        }
        expect_that!(node.table_sizes().index_entries, eq(0));
    }
}

#[gtest]
fn draining_lost_and_removed_servers_get_nothing() {
    for state in [ServerState::Draining, ServerState::Lost, ServerState::Gone] {
        let mut node = placer(4);
        for number in 0..3 {
            node.update_server(0, ServerEntry { state, ..entry(number, 1) });
        }
        for subject in 0..50 {
            let placement = place(&mut node, 2_000 * MS + subject, subject, subject);
            expect_that!(&*placement.server, eq("i-3"));
            node.record_end(2_000 * MS + subject, placement.attempt, AttemptOutcome::ClientGone, None, None);
        }
    }
}

#[gtest]
fn lost_servers_are_a_last_resort_and_draining_ones_are_never_used() {
    let mut node = placer(2);
    node.update_server(0, ServerEntry { state: ServerState::Lost, ..entry(0, 1) });
    node.update_server(0, ServerEntry { state: ServerState::Draining, ..entry(1, 1) });
    expect_that!(&*place(&mut node, 1, 1, 1).server, eq("i-0"));
    node.remove_server(2, "i-0");
    let rejected = node.place(3, &request(&long_prompt(1, 2)), &[]);
    expect_that!(rejected, err(eq(&Rejection::NoServer { retry_after: 300 * MS })));
}

#[gtest]
fn a_failing_server_is_ejected_for_a_growing_time() {
    for outcome in [
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::ConnectionBroken,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ServerError,
    ] {
        let mut node = placer(3);
        let mut now = 2_000 * MS;
        for span in [200, 400, 800, 1_600, 2_000, 2_000] {
            let home = place(&mut node, now, 5, now);
            node.record_end(now, home.attempt, outcome, None, None);
            let other = place(&mut node, now + span * MS - 2, 5, now + 1);
            expect_that!(other.server, not(eq(&home.server)));
            node.record_end(now + span * MS - 1, other.attempt, AttemptOutcome::ClientGone, None, None);
            // The ejection has ended. With the other servers removed, the next attempt goes to the server again and fails.
            now += span * MS;
            let status = node.server_statuses(now).find(|s| s.id == home.server).expect("known");
            expect_that!(status.is_ejected, eq(false));
            for rest in node.server_statuses(now).filter(|s| s.id != home.server).collect::<Vec<_>>() {
                node.remove_server(now, &rest.id);
            }
            let number: u16 = home.server[2..].parse().expect("a number");
            let trial = place(&mut node, now, 5, now + 2);
            expect_that!(trial.server, eq(&home.server));
            node.record_end(now, trial.attempt, AttemptOutcome::ClientGone, None, None);
            (0..3).filter(|n| *n != number).for_each(|n| node.update_server(now, entry(n, 1)));
        }
    }
}

#[gtest]
fn simultaneous_failures_count_once_and_an_answer_resets_them() {
    let mut node = placer(1);
    let now = 2_000 * MS;
    let many: Vec<_> = (0..8).map(|own| place(&mut node, now, 1, own)).collect();
    for placement in &many {
        node.record_end(now + 10, placement.attempt, AttemptOutcome::ConnectionBroken, None, None);
    }
    let is_ejected = |node: &Placer, now| node.server_statuses(now).next().expect("one").is_ejected;
    expect_that!(is_ejected(&node, now + 199 * MS), eq(true));
    expect_that!(is_ejected(&node, now + 201 * MS), eq(false));
    // The only server is selected although it is ejected.
    let trial = place(&mut node, now + 20, 1, 100);
    node.record_first_event(now + 50 * MS, trial.attempt);
    expect_that!(is_ejected(&node, now + 51 * MS), eq(false));
}

#[gtest]
fn a_rejecting_server_is_ejected_for_a_moment() {
    let mut node = placer(3);
    let now = 2_000 * MS;
    let home = place(&mut node, now, 5, 1);
    node.record_end(now, home.attempt, AttemptOutcome::NotProcessed, None, None);
    expect_that!(place(&mut node, now + 149 * MS, 5, 2).server, not(eq(&home.server)));
    let back = node.server_statuses(now + 301 * MS).find(|s| s.id == home.server).expect("known");
    expect_that!(back.is_ejected, eq(false));
}

#[gtest]
fn servers_tried_before_come_last() {
    let mut node = placer(3);
    let now = 2_000 * MS;
    let mut tried = Vec::new();
    for turn in 0..3 {
        let placement = node.place(now + turn, &request(&long_prompt(5, turn)), &tried).expect("one is left");
        expect_that!(tried.contains(&placement.server), eq(false));
        node.record_end(now + turn, placement.attempt, AttemptOutcome::NotProcessed, None, None);
        tried.push(placement.server);
    }
    expect_that!(node.place(now + 5, &request(&long_prompt(5, 9)), &tried), err(anything()));
    expect_that!(node.place(now + 400 * MS, &request(&long_prompt(5, 10)), &tried), ok(anything()));
}

#[gtest]
fn load_counts_the_requests_of_other_balancers() {
    let mut node = placer(3);
    node.set_balancer_count(9);
    let now = 2_000 * MS;
    let home = place(&mut node, now, 5, 1);
    serve(&mut node, now, &home);
    let busy = ServerLoadReport { running: 20, waiting: 9, slots: 48 };
    node.observe_server_load(now + 200 * MS, &home.server, busy);
    expect_that!(place(&mut node, now + 210 * MS, 5, 2).server, not(eq(&home.server)));
    // The report ages.
    let loads: Vec<f64> = [220, 700, 1_300]
        .map(|at| {
            let chunks = long_prompt(6 + at, 3);
            let placement = node.place(now + at * MS, &request(&chunks), &[]).expect("ready");
            node.record_end(now + at * MS, placement.attempt, AttemptOutcome::ClientGone, None, None);
            node.server_statuses(now + at * MS).find(|s| s.id == home.server).expect("known").load_ms
        })
        .to_vec();
    expect_that!(loads[1], lt(loads[0]));
    expect_that!(loads[2], lt(loads[1]));
}

#[gtest]
fn the_slowness_of_a_server_is_learned() {
    let mut node = placer(1);
    let mut now = 2_000 * MS;
    for own in 0..20 {
        // Nothing of it is cached yet, so 7,600 tokens are computed: 200 ms at standard speed.
        let chunks = [chunk(10 * own, 2_600), chunk(10 * own + 1, 5_000)];
        let placement = node.place(now, &request(&chunks), &[]).expect("ready");
        node.record_first_event(now + 262 * MS, placement.attempt);
        node.record_end(now + 400 * MS, placement.attempt, AttemptOutcome::Served, None, None);
        now += 1_000 * MS;
    }
    let slowness = node.server_statuses(now).next().expect("one").slowness;
    expect_that!(slowness, all!(gt(1.2), lt(1.35)));
}

#[gtest]
fn a_new_server_counts_at_the_mean_load_for_a_moment() {
    let mut node = placer(3);
    let now = 2_000 * MS;
    for own in 0..30 {
        place(&mut node, now, own, own);
    }
    let at = now + 30 * MS;
    place(&mut node, at, 77, 77);
    let loads: Vec<f64> = node.server_statuses(at).map(|s| s.load_ms).collect();
    let mean = loads.iter().sum::<f64>() / 3.0;
    node.update_server(at, entry(9, 1));
    let fresh =
        |node: &Placer, now| node.server_statuses(now).find(|s| &*s.id == "i-9").expect("known").load_ms;
    expect_that!(fresh(&node, at), near(mean, 0.2 * mean));
    // The mean counts for a limited time only: among overloaded servers, a new one would otherwise never be selected.
    let placement = place(&mut node, at + 1_100 * MS, 78, 78);
    expect_that!(&*placement.server, eq("i-9"));
}

#[gtest]
fn a_server_whose_memory_would_fill_is_avoided() {
    let mut node = placer(2);
    let now = 2_000 * MS;
    let home = place(&mut node, now, 5, 1);
    serve(&mut node, now, &home);
    // Ten of 9,203 tokens fit into nine tenths of 105,065; they are in decode, so no prefill waits.
    let mut at_home = 0;
    for own in 0..20 {
        let at = now + (own + 1) * 300 * MS;
        let placement = place(&mut node, at, 5, 10 + own);
        node.record_first_event(at + 80 * MS, placement.attempt);
        at_home += u32::from(placement.server == home.server);
    }
    expect_that!(at_home, eq(10));
}

#[gtest]
fn only_a_full_fleet_rejects_and_only_requests_that_would_be_late() {
    let mut node = placer_of(PlacementConfig::builder().own_zone("a").build(), 0);
    (0..2).for_each(|n| node.update_server(0, ServerEntry { slots: 4, ..entry(n, 1) }));
    let now = 2_000 * MS;
    let chunks = long_prompt(1, 1);
    let urgent = PlacementRequest { time_left: 300 * MS, ..request(&chunks) };
    // With free slots nothing is rejected, even if it would be late.
    for _ in 0..7 {
        expect_that!(node.place(now, &urgent, &[]), ok(anything()));
    }
    let mut rejected = 0;
    for _ in 0..4 {
        rejected += u32::from(matches!(node.place(now, &urgent, &[]), Err(Rejection::Overloaded { .. })));
    }
    expect_that!(rejected, ge(3));
    // A request with time left waits.
    expect_that!(node.place(now, &request(&chunks), &[]), ok(anything()));
    let Err(Rejection::Overloaded { retry_after }) = node.place(now, &urgent, &[]) else {
        panic!("all slots are taken");
    };
    expect_that!(retry_after, all!(ge(50 * MS), le(2_000 * MS)));
    expect_that!(node.counters().rejected_overloaded, ge(4));
}

#[gtest]
fn an_unknown_or_empty_service_has_no_server() {
    let mut node = placer(0);
    let chunks = long_prompt(1, 1);
    for service in [SERVICE, "elsewhere"] {
        let request = PlacementRequest { service, ..request(&chunks) };
        expect_that!(node.place(1, &request, &[]), err(matches_pattern!(Rejection::NoServer { .. })));
    }
}

#[gtest]
fn requests_without_chunks_or_model_are_spread() {
    let mut node = placer(6);
    let used: BTreeSet<_> = (0..60u64)
        .map(|turn| {
            let now = 2_000 * MS + turn * 1_000 * MS;
            let request =
                PlacementRequest { model: None, prompt_tokens: 0, max_output_tokens: 0, ..request(&[]) };
            let placement = node.place(now, &request, &[]).expect("ready");
            expect_that!(placement.expect_version, none());
            expect_that!(placement.fetch, none());
            serve(&mut node, now, &placement);
            placement.server
        })
        .collect();
    expect_that!(used.len(), eq(6));
}

#[gtest]
fn attempts_at_a_removed_server_have_no_effect() {
    let mut node = placer(1);
    let old = place(&mut node, 1, 1, 1);
    node.remove_server(2, "i-0");
    node.update_server(3, entry(5, 1));
    node.record_first_event(4, old.attempt);
    node.record_end(5, old.attempt, AttemptOutcome::ConnectionBroken, None, None);
    let status: Vec<_> = node.server_statuses(6).collect();
    expect_that!(status.len(), eq(1));
    expect_that!(status[0].in_flight, eq(0));
    expect_that!(status[0].is_ejected, eq(false));
    expect_that!(status[0].cached_chunks, eq(0));
    expect_that!(node.in_flight(), eq(0));
}
