//! Pauses in streams: learned from complete streams, and taken into account only near the streams' target.

mod common;

use std::sync::Arc;

use common::*;
use googletest::prelude::*;
use gradepaddle_placement::*;

const NOW: Micros = 20_000 * MS;
const PEER: u64 = 9;
const BOUND: Micros = 300 * MS;

fn long_request(chunks: &[PromptChunk], event_gap_target: Micros) -> PlacementRequest<'_> {
    PlacementRequest { event_gap_target, ..request(chunks) }
}

/// The home of an uncached long prompt, and the server selected where two streams of another balancer run at that home.
fn streams_at_home(pauses: &[Micros], event_gap_target: Micros) -> (Arc<str>, Arc<str>) {
    let chunks = long(1, 1);
    let mut node = placer(4);
    let home = node.place(NOW, &long_request(&chunks, event_gap_target), &[]).expect("a server").server;
    let mut node = placer(4);
    node.set_balancer_count(2);
    // An earlier request has the target, too.
    node.place(NOW - 5_000 * MS, &long_request(&long(2, 2), event_gap_target), &[]).expect("a server");
    for longest in pauses {
        node.observe_stream_pause(StreamPause { service: SERVICE, longest: *longest });
    }
    // Reports name a server by its hash.
    let mut other = placer(4);
    let chosen = other.place(NOW, &long_request(&chunks, event_gap_target), &[]).expect("a server");
    let mut told = other.local_loads(NOW);
    told.iter_mut().for_each(|load| (load.backlog_ms, load.running) = (0.0, 2));
    assert_eq!(chosen.server, home);
    node.apply_peer_loads(NOW - MS, PEER, 1, told);
    let taken = node.place(NOW, &long_request(&chunks, event_gap_target), &[]).expect("a server").server;
    (home, taken)
}

#[gtest]
fn a_long_prefill_avoids_servers_whose_streams_it_would_delay() {
    let rows: Vec<(&str, Vec<Micros>, Micros, bool)> = vec![
        ("nothing is known of pauses", vec![], BOUND, true),
        ("pauses are short", vec![60 * MS; 100], BOUND, true),
        ("pauses are near the bound", vec![290 * MS; 100], BOUND, false),
        ("pauses are beyond the bound", vec![420 * MS; 100], BOUND, false),
        ("there is no bound", vec![420 * MS; 100], 0, true),
        ("one stream alone told of a long one", vec![5_000 * MS], BOUND, true),
    ];
    for (what, pauses, event_gap_target, stays) in rows {
        let (home, taken) = streams_at_home(&pauses, event_gap_target);
        expect_that!(taken == home, eq(stays), "{what}");
    }
}

/// Most streams meet no long prefill: the pauses of the few that do are learned all the same.
#[gtest]
fn the_longest_pauses_count_and_not_the_mean() {
    let mut pauses = Vec::new();
    for _ in 0..40 {
        pauses.push(400 * MS);
        pauses.extend([40 * MS; 9]);
    }
    let (home, taken) = streams_at_home(&pauses, BOUND);
    expect_that!(taken, not(eq(&home)));
}

#[gtest]
fn pauses_of_an_unknown_service_are_ignored() {
    let mut node = placer(2);
    node.observe_stream_pause(StreamPause { service: "other", longest: 9_000 * MS });
    expect_that!(place(&mut node, NOW, 1, 1).server.len(), gt(0));
}
