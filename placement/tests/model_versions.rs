//! Model versions and their deadlines, cache isolation, and the cache salts that separate cached chunks.

mod common;

use std::collections::BTreeSet;

use common::*;
use googletest::prelude::*;
use gradepaddle_placement::*;

const ANNOUNCED_AT: Micros = 10_000 * MS;
/// The time from an announcement to its deadline.
const TIME_TO_DEADLINE: Micros = 8_000 * MS;

fn selected_servers(node: &mut Placer, now: Micros) -> BTreeSet<std::sync::Arc<str>> {
    (0..40)
        .filter_map(|subject| {
            let chunks = long_prompt(subject, subject);
            let placement = node.place(now, &request(&chunks), &[]).ok()?;
            node.record_end(now, placement.attempt, AttemptOutcome::ClientGone, None, None);
            Some(placement.server)
        })
        .collect()
}

#[gtest]
fn salts_differ_by_version_isolation_and_model_and_agree_between_nodes() {
    let isolations = [
        CacheIsolation::Shared(0),
        CacheIsolation::Shared(1),
        CacheIsolation::Tenant("x".into()),
        CacheIsolation::Tenant("y".into()),
    ];
    let mut salts = BTreeSet::new();
    for version in [1, 2] {
        for isolation in &isolations {
            for model in [MODEL, "m1"] {
                let salt = |seed| {
                    let mut node = placer_of(PlacementConfig::builder().seed(seed).build(), 0);
                    let models = vec![ModelVersion { model: model.into(), version }];
                    node.update_server(0, ServerEntry { models, ..entry(0, version) });
                    let chunks = long_prompt(1, 1);
                    let request = PlacementRequest {
                        model: Some(model),
                        isolation: isolation.clone(),
                        ..request(&chunks)
                    };
                    let placement = node.place(1, &request, &[]).expect("ready");
                    expect_that!(placement.expect_version, some(eq(version)));
                    placement.salt.expect("always set")
                };
                expect_that!(salt(1), eq(&salt(2)));
                salts.insert(salt(1));
            }
        }
    }
    expect_that!(salts.len(), eq(16));
}

#[gtest]
fn nothing_is_shared_where_the_version_is_unknown() {
    let mut salts = BTreeSet::new();
    for seed in [1, 2] {
        let mut node = placer_of(PlacementConfig::builder().seed(seed).build(), 0);
        node.update_server(0, ServerEntry { models: vec![], ..entry(0, 1) });
        for own in 0..20 {
            let placement = place(&mut node, 1 + own, 1, own);
            expect_that!(placement.expect_version, none());
            expect_that!((placement.fetch, placement.save), eq((None, None)));
            salts.insert(placement.salt.expect("always set"));
        }
        expect_that!(node.counters().unknown_versions, eq(20));
    }
    expect_that!(salts.len(), eq(40));
}

#[gtest]
fn isolated_chunks_are_neither_counted_nor_a_source() {
    let mut node = placer(6);
    node.record_cache_contact(0, "none");
    let chunks = long_prompt(3, 1);
    let request_with = |isolation: CacheIsolation| PlacementRequest { isolation, ..request(&chunks) };
    let shared = node.place(2_000 * MS, &request_with(CacheIsolation::Shared(0)), &[]).expect("ready");
    serve(&mut node, 2_000 * MS, &shared);
    let isolated =
        node.place(3_000 * MS, &request_with(CacheIsolation::Tenant("t".into())), &[]).expect("ready");
    expect_that!(isolated.salt, not(eq(&shared.salt)));
    expect_that!(node.counters().cached, eq(0));
    let again = node.place(3_000 * MS, &request_with(CacheIsolation::Shared(0)), &[]).expect("ready");
    expect_that!(again.salt, eq(&shared.salt));
    expect_that!(node.counters().cached, eq(1));
}

#[gtest]
fn newer_versions_are_preferred_and_older_ones_left_out_in_time() {
    let mut node = placer(6);
    node.announce_version(ANNOUNCED_AT + TIME_TO_DEADLINE, MODEL, 2);
    node.observe_version(ANNOUNCED_AT + 1, "i-0", MODEL, 2);
    node.observe_version(ANNOUNCED_AT + 1, "i-1", MODEL, 2);
    let new = BTreeSet::from(["i-0".into(), "i-1".into()]);
    let at = ANNOUNCED_AT + 2_000 * MS;
    expect_that!(selected_servers(&mut node, at), eq(&new));
    // Before the deadline, servers with the old version get requests for which the newer ones are too loaded.
    let open: Vec<_> = (0..40).map(|own| place(&mut node, at, own, own)).collect();
    expect_that!(node.server_statuses(at).filter(|s| s.in_flight > 0).count(), gt(2));
    for placement in open {
        node.record_end(at, placement.attempt, AttemptOutcome::ClientGone, None, None);
    }
    // From 8 s less 1.5 s after the announcement they get nothing, however loaded the others are.
    let due = ANNOUNCED_AT + 6_500 * MS;
    expect_that!(selected_servers(&mut node, due), eq(&new));
    for subject in 0..80 {
        let placement = place(&mut node, due, subject, subject);
        expect_that!(placement.expect_version, some(eq(2)));
    }
}

#[gtest]
fn no_server_is_selected_while_none_has_the_required_version() {
    let mut node = placer(3);
    node.announce_version(ANNOUNCED_AT + TIME_TO_DEADLINE, MODEL, 2);
    expect_that!(selected_servers(&mut node, ANNOUNCED_AT + 6_499 * MS).len(), gt(0));
    expect_that!(selected_servers(&mut node, ANNOUNCED_AT + 6_500 * MS).len(), eq(0));
    // A late heartbeat with the old version does not help; a report of the new one does.
    node.update_server(ANNOUNCED_AT + 6_600 * MS, entry(0, 1));
    expect_that!(selected_servers(&mut node, ANNOUNCED_AT + 6_600 * MS).len(), eq(0));
    node.update_server(ANNOUNCED_AT + 6_700 * MS, entry(0, 2));
    expect_that!(selected_servers(&mut node, ANNOUNCED_AT + 6_700 * MS).len(), eq(1));
    // A server without a known version is left out, too, and so is a new server with the old version.
    node.update_server(ANNOUNCED_AT + 6_800 * MS, ServerEntry { models: vec![], ..entry(7, 1) });
    node.update_server(ANNOUNCED_AT + 6_800 * MS, entry(8, 1));
    expect_that!(selected_servers(&mut node, ANNOUNCED_AT + 6_800 * MS).len(), eq(1));
}

#[gtest]
fn two_announced_versions_become_binding_in_turn() {
    let mut node = placer_of(PlacementConfig::builder().build(), 0);
    (0..3).for_each(|n| node.update_server(0, entry(n, u64::from(n) + 1)));
    node.announce_version(ANNOUNCED_AT + TIME_TO_DEADLINE, MODEL, 2);
    node.announce_version(ANNOUNCED_AT + TIME_TO_DEADLINE + 3_000 * MS, MODEL, 3);
    // An old announcement that arrives late changes nothing.
    node.announce_version(ANNOUNCED_AT + TIME_TO_DEADLINE + 4_000 * MS, MODEL, 1);
    let usable_servers = |node: &mut Placer, at| {
        let chunks = long_prompt(1, 1);
        let mut tried = Vec::new();
        while let Ok(placement) = node.place(at, &request(&chunks), &tried) {
            // Every attempt is ended, because later requests are expected to wait as long as an unanswered one.
            node.record_end(at, placement.attempt, AttemptOutcome::ClientGone, None, None);
            if tried.contains(&placement.server) {
                break;
            }
            tried.push(placement.server);
        }
        tried.len()
    };
    expect_that!(usable_servers(&mut node, ANNOUNCED_AT + 6_499 * MS), eq(3));
    expect_that!(usable_servers(&mut node, ANNOUNCED_AT + 6_501 * MS), eq(2));
    expect_that!(usable_servers(&mut node, ANNOUNCED_AT + 9_499 * MS), eq(2));
    expect_that!(usable_servers(&mut node, ANNOUNCED_AT + 9_501 * MS), eq(1));
}

#[gtest]
fn a_server_whose_queue_outlasts_its_version_is_left_out() {
    // The server does not answer: a later request is expected to wait as long as the first, and version 2 is binding after
    // 8 s. Nothing else excludes it before 6.5 s.
    for (waited, selected) in [(3_000, true), (3_700, true), (4_100, false), (5_000, false)] {
        let mut node = placer(1);
        node.announce_version(ANNOUNCED_AT + TIME_TO_DEADLINE, MODEL, 2);
        place(&mut node, ANNOUNCED_AT, 1, 1);
        let placement = node.place(ANNOUNCED_AT + waited * MS, &request(&long_prompt(1, 2)), &[]);
        expect_that!(placement.is_ok(), eq(selected), "after {waited} ms");
    }
}

#[gtest]
fn an_attempt_has_to_start_before_its_version_is_outdated() {
    let mut node = placer(3);
    let waiting = place(&mut node, ANNOUNCED_AT, 1, 1);
    let started = place(&mut node, ANNOUNCED_AT, 2, 2);
    node.record_first_event(ANNOUNCED_AT + MS, started.attempt);
    expect_that!(node.start_deadline(waiting.attempt), none());
    node.announce_version(ANNOUNCED_AT + TIME_TO_DEADLINE, MODEL, 2);
    node.announce_version(ANNOUNCED_AT + TIME_TO_DEADLINE + 2_000 * MS, MODEL, 3);
    // A quarter of a second before version 2 is binding, whatever was announced since.
    expect_that!(node.start_deadline(waiting.attempt), some(eq(ANNOUNCED_AT + TIME_TO_DEADLINE - 250 * MS)));
    expect_that!(node.start_deadline(started.attempt), none());
    node.extend_version_deadline(ANNOUNCED_AT + TIME_TO_DEADLINE + 1_000 * MS, MODEL, 2);
    expect_that!(node.start_deadline(waiting.attempt), some(eq(ANNOUNCED_AT + TIME_TO_DEADLINE + 750 * MS)));
    // An attempt on version 2 may wait until version 3 is binding.
    node.observe_version(ANNOUNCED_AT + 2 * MS, "i-0", MODEL, 2);
    node.observe_version(ANNOUNCED_AT + 2 * MS, "i-1", MODEL, 2);
    node.observe_version(ANNOUNCED_AT + 2 * MS, "i-2", MODEL, 2);
    let newer = place(&mut node, ANNOUNCED_AT + 3 * MS, 3, 3);
    expect_that!(node.start_deadline(newer.attempt), some(eq(ANNOUNCED_AT + TIME_TO_DEADLINE + 1_750 * MS)));
}

#[gtest]
fn an_outdated_start_is_reported_and_counted() {
    let mut node = placer(1);
    let late = place(&mut node, ANNOUNCED_AT, 1, 1);
    let loaded = place(&mut node, ANNOUNCED_AT, 2, 2);
    node.announce_version(ANNOUNCED_AT + TIME_TO_DEADLINE, MODEL, 2);
    expect_that!(node.outdated_start(ANNOUNCED_AT + TIME_TO_DEADLINE - 1, late.attempt, None), none());
    let outdated = node.outdated_start(ANNOUNCED_AT + TIME_TO_DEADLINE, late.attempt, None);
    expect_that!(outdated, some(eq(OutdatedStart { version: 1, binding: 2, waited: TIME_TO_DEADLINE })));
    // Its response states that the server has loaded the newer version meanwhile.
    expect_that!(node.outdated_start(ANNOUNCED_AT + TIME_TO_DEADLINE, loaded.attempt, Some(2)), none());
    expect_that!(node.counters().outdated_starts, eq(1));
}

#[gtest]
fn versions_at_a_server_only_grow() {
    let mut node = placer(1);
    let expected = |node: &mut Placer, now| place(node, now, 1, now).expect_version;
    node.observe_version(1, "i-0", MODEL, 3);
    node.update_server(2, entry(0, 2));
    node.observe_version(3, "i-0", MODEL, 1);
    expect_that!(expected(&mut node, 4), some(eq(3)));
    // A server that denies its version has an unknown one until it reports another.
    let placement = place(&mut node, 5, 1, 5);
    node.record_end(6, placement.attempt, AttemptOutcome::VersionMismatch, None, None);
    expect_that!(expected(&mut node, 7), none());
    node.update_server(8, entry(0, 3));
    expect_that!(expected(&mut node, 9), none());
    let placement = place(&mut node, 10, 1, 10);
    let reported = [ModelVersion { model: MODEL.into(), version: 4 }];
    node.record_end(11, placement.attempt, AttemptOutcome::Served, None, Some(&reported));
    expect_that!(expected(&mut node, 12), some(eq(4)));
}

#[gtest]
fn chunks_of_an_older_version_do_not_count_as_cached() {
    let mut node = placer(3);
    let old = place(&mut node, 2_000 * MS, 1, 1);
    serve(&mut node, 2_000 * MS, &old);
    (0..3).for_each(|n| node.observe_version(3_000 * MS, &format!("i-{n}"), MODEL, 2));
    let new = place(&mut node, 4_000 * MS, 1, 2);
    expect_that!(new.salt, not(eq(&old.salt)));
    expect_that!(node.counters().cached, eq(0));
    // The home stays the same.
    expect_that!(new.server, eq(&old.server));
}
