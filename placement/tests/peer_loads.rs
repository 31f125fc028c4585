//! Reports between balancers: loads in flight and completed prefills. Also pauses of servers and extended deadlines, which the
//! control plane orders.

mod common;

use common::*;
use googletest::prelude::*;
use gradepaddle::cost::hash;
use gradepaddle_placement::*;

const NOW: Micros = 20_000 * MS;
const PEER: u64 = 99;
/// The time from an announcement to its deadline.
const TIME_TO_DEADLINE: Micros = 8_000 * MS;

fn load(server: &str, backlog_ms: f64) -> LocalLoad {
    LocalLoad { server: hash(server), backlog_ms, running: 1, tokens: 9_000 }
}

/// A node beside one other balancer.
fn pair(servers: u16) -> Placer {
    let mut node = placer(servers);
    node.set_balancer_count(2);
    node
}

/// The server that a new prompt of this subject is placed on.
fn home(servers: u16, subject: u64) -> String {
    place(&mut pair(servers), NOW, subject, 1).server.to_string()
}

#[gtest]
fn a_long_prefill_of_another_balancer_is_avoided() {
    let home = home(3, 1);
    let mut node = pair(3);
    node.apply_peer_loads(NOW - MS, PEER, 1, vec![load(&home, 900.0)]);
    expect_that!(&*place(&mut node, NOW, 1, 1).server, not(eq(&*home)));
}

#[gtest]
fn reported_loads_count_down_and_expire() {
    let home = home(3, 1);
    for (reported_ago, case) in [(1_000 * MS, "prefilled meanwhile"), (3_000 * MS, "expired")] {
        let mut node = pair(3);
        node.apply_peer_loads(NOW - reported_ago, PEER, 1, vec![load(&home, 900.0)]);
        expect_that!(&*place(&mut node, NOW, 1, 1).server, eq(&*home), "{case}");
    }
}

#[gtest]
fn a_stale_report_changes_nothing() {
    let home = home(3, 1);
    let mut node = pair(3);
    node.apply_peer_loads(NOW - 2 * MS, PEER, 5, vec![load(&home, 900.0)]);
    node.apply_peer_loads(NOW - MS, PEER, 4, Vec::new());
    expect_that!(&*place(&mut node, NOW, 1, 1).server, not(eq(&*home)));
    let mut node = pair(3);
    node.apply_peer_loads(NOW - 2 * MS, PEER, 5, vec![load(&home, 900.0)]);
    node.apply_peer_loads(NOW - MS, PEER, 6, Vec::new());
    expect_that!(&*place(&mut node, NOW, 1, 1).server, eq(&*home));
}

#[gtest]
fn local_loads_are_reported_until_they_end() {
    let mut node = pair(3);
    let placement = place(&mut node, NOW, 1, 1);
    let reported = node.local_loads(NOW);
    expect_that!(reported.len(), eq(1));
    expect_that!((reported[0].server, reported[0].running), eq((hash(&placement.server), 1)));
    expect_that!(reported[0].backlog_ms, gt(100.0));
    serve(&mut node, NOW, &placement);
    expect_that!(node.local_loads(NOW + 200 * MS), is_empty());
}

#[gtest]
fn a_prefill_seen_by_one_balancer_is_a_source_at_another() {
    let (mut one, mut other) = (pair(6), pair(6));
    let first = place(&mut one, NOW, 1, 1);
    serve(&mut one, NOW, &first);
    let seen = one.take_prefill_reports();
    expect_that!(seen.len(), eq(1));
    expect_that!(one.take_prefill_reports(), is_empty());
    other.apply_peer_prefill_reports(NOW + 200 * MS, &seen);
    // The holder is busy, so the next request goes elsewhere and fetches the chunks.
    other.apply_peer_loads(NOW + 200 * MS, PEER, 1, vec![load(&first.server, 900.0)]);
    let next = place(&mut other, NOW + 201 * MS, 1, 2);
    expect_that!(&*next.server, not(eq(&*first.server)));
    expect_that!(next.fetch, some(eq(first.address)));
}

#[gtest]
fn the_store_is_a_source_even_where_the_chunks_are_believed_cached() {
    let mut node = pair(3);
    node.record_cache_contact(NOW - MS, STORE);
    let first = place(&mut node, NOW, 1, 1);
    serve(&mut node, NOW, &first);
    node.record_cache_contact(NOW + 200 * MS, STORE);
    let next = place(&mut node, NOW + 200 * MS, 1, 2);
    expect_that!(&next.server, eq(&first.server));
    expect_that!(next.fetch, some(eq(store_address())));
}

#[gtest]
fn a_long_prefill_goes_where_it_delays_nobody() {
    let chunks = [chunk(1, 2_520), chunk(1_001, 3_780), chunk(7, 30_000)];
    let home = pair(2).place(NOW, &request(&chunks), &[]).expect("a server is ready").server;
    let mut node = pair(2);
    let streams = LocalLoad { server: hash(&home), backlog_ms: 0.0, running: 20, tokens: 20_000 };
    node.apply_peer_loads(NOW - MS, PEER, 1, vec![streams]);
    let placement = node.place(NOW, &request(&chunks), &[]).expect("a server is ready");
    expect_that!(&*placement.server, not(eq(&*home)));
    // A short prefill stays at its key's home.
    let mut node = pair(2);
    node.apply_peer_loads(NOW - MS, PEER, 1, vec![streams]);
    let short = [chunk(1, 2_520), chunk(1_001, 3_780), chunk(7, 600)];
    let kept = pair(2).place(NOW, &request(&short), &[]).expect("a server is ready").server;
    expect_that!(node.place(NOW, &request(&short), &[]).expect("a server is ready").server, eq(&kept));
}

#[gtest]
fn a_paused_server_gets_nothing_until_it_is_resumed() {
    let home = home(2, 1);
    let mut node = pair(2);
    node.pause_server(NOW, &home, 8_000 * MS);
    expect_that!(&*place(&mut node, NOW + 4_000 * MS, 1, 1).server, not(eq(&*home)));
    node.pause_server(NOW + 4_000 * MS, &home, 0);
    expect_that!(&*place(&mut node, NOW + 4_001 * MS, 2, 2).server, anything());
    let mut released = pair(2);
    released.pause_server(NOW, &home, 8_000 * MS);
    released.pause_server(NOW + MS, &home, 0);
    expect_that!(&*place(&mut released, NOW + 2 * MS, 1, 1).server, eq(&*home));
}

#[gtest]
fn an_extended_deadline_counts_unless_the_version_is_binding_already() {
    let mut node = pair(2);
    node.announce_version(NOW + TIME_TO_DEADLINE, MODEL, 2);
    node.extend_version_deadline(NOW + TIME_TO_DEADLINE + 6_000 * MS, MODEL, 2);
    // 8 s less the margin of 1.5 s: without the extension, placements would need the new version from 6.5 s on, and now do from
    // 12.5 s on.
    expect_that!(node.place(NOW + 12_000 * MS, &request(&long_prompt(1, 1)), &[]).is_ok(), eq(true));
    expect_that!(node.place(NOW + 13_000 * MS, &request(&long_prompt(1, 2)), &[]).is_err(), eq(true));
    node.extend_version_deadline(NOW + TIME_TO_DEADLINE + 13_000 * MS, MODEL, 2);
    expect_that!(node.place(NOW + 14_000 * MS, &request(&long_prompt(1, 3)), &[]).is_err(), eq(true));
}
