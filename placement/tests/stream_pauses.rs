//! Pauses in streams: they are learned from complete streams, and considered only if they are near the event gap target.

mod common;

use std::sync::Arc;

use common::*;
use googletest::prelude::*;
use gradepaddle_placement::*;

const NOW: Micros = 20_000 * MS;
const PEER: u64 = 9;
const TARGET: Micros = 300 * MS;

fn long_request(chunks: &[PromptChunk], event_gap_target: Micros) -> PlacementRequest<'_> {
    PlacementRequest { event_gap_target, ..request(chunks) }
}

/// The home of an uncached long prompt, and the server selected where two streams of another balancer run at that home.
fn streams_at_home(pauses: &[Micros], event_gap_target: Micros) -> (Arc<str>, Arc<str>) {
    let chunks = long_prompt(1, 1);
    let mut node = placer(4);
    let home = node.place(NOW, &long_request(&chunks, event_gap_target), &[]).expect("a server").server;
    let mut node = placer(4);
    node.set_balancer_count(2);
    // An earlier request has the same target, which the service learns.
    node.place(NOW - 5_000 * MS, &long_request(&long_prompt(2, 2), event_gap_target), &[]).expect("a server");
    for longest in pauses {
        node.observe_stream_pause(StreamPause { service: SERVICE, longest: *longest });
    }
    // The peer's report is built from its `local_loads`, because a report identifies a server by its hash.
    let mut peer = placer(4);
    let placement = peer.place(NOW, &long_request(&chunks, event_gap_target), &[]).expect("a server");
    let mut reported = peer.local_loads(NOW);
    reported.iter_mut().for_each(|load| (load.backlog_ms, load.running) = (0.0, 2));
    assert_eq!(placement.server, home);
    node.apply_peer_loads(NOW - MS, PEER, 1, reported);
    let selected = node.place(NOW, &long_request(&chunks, event_gap_target), &[]).expect("a server").server;
    (home, selected)
}

#[gtest]
fn a_long_prefill_avoids_servers_whose_streams_it_would_delay() {
    let rows: Vec<(&str, Vec<Micros>, Micros, bool)> = vec![
        ("nothing is known of pauses", vec![], TARGET, true),
        ("pauses are short", vec![60 * MS; 100], TARGET, true),
        ("pauses are near the target", vec![290 * MS; 100], TARGET, false),
        ("pauses are beyond the target", vec![420 * MS; 100], TARGET, false),
        ("there is no target", vec![420 * MS; 100], 0, true),
        ("a single stream had a long pause", vec![5_000 * MS], TARGET, true),
    ];
    for (case, pauses, event_gap_target, stays) in rows {
        let (home, selected) = streams_at_home(&pauses, event_gap_target);
        expect_that!(selected == home, eq(stays), "{case}");
    }
}

/// Most streams do not run beside a long prefill, so the mean of their pauses is short. The pauses of the few that do are
/// learned nevertheless.
#[gtest]
fn the_longest_pauses_count_and_not_the_mean() {
    let mut pauses = Vec::new();
    for _ in 0..40 {
        pauses.push(400 * MS);
        pauses.extend([40 * MS; 9]);
    }
    let (home, selected) = streams_at_home(&pauses, TARGET);
    expect_that!(selected, not(eq(&home)));
}

#[gtest]
fn pauses_of_an_unknown_service_are_ignored() {
    let mut node = placer(2);
    node.observe_stream_pause(StreamPause { service: "other", longest: 9_000 * MS });
    expect_that!(place(&mut node, NOW, 1, 1).server.len(), gt(0));
}
