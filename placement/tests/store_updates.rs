//! Updates of a store's cache, which a subscribed balancer forwards to those that are not.

mod common;

use common::*;
use googletest::prelude::*;
use gradepaddle_placement::*;

const NOW: Micros = 20_000 * MS;

/// The salt of version 1.
fn salt() -> String {
    place(&mut placer(3), NOW, 1, 1).salt.expect("version known").to_string()
}

/// Changes at a store: chunks of a subject by number, and their cached tokens.
fn changes(store: &str, chunks: &[(usize, u32)]) -> StoreUpdate {
    let ids = long(1, 1);
    let chunks = chunks
        .iter()
        .map(|(at, tokens)| CachedTokens { key: chunk_key(&salt(), ids[*at].id), tokens: *tokens });
    StoreUpdate { store: holder_hash(store), reset: false, chunks: chunks.collect() }
}

/// A node that does not subscribe, after it got these updates one after the other.
fn told(all: &[StoreUpdate]) -> Placer {
    let mut node = placer(3);
    node.record_cache_contact(NOW, STORE);
    all.iter().for_each(|changes| node.apply_peer_store_update(NOW - 100 * MS, changes));
    node
}

#[gtest]
fn store_updates_reach_nodes_that_do_not_subscribe() {
    let whole = changes(STORE, &[(0, 2_520), (1, 3_780)]);
    let reset = StoreUpdate { reset: true, ..changes(STORE, &[]) };
    // The updates, whether the store is known to have the chunks, and whether they are saved there.
    let rows = [
        ("nothing", vec![], false, true),
        ("all chunks", vec![whole.clone()], true, false),
        ("the common chunk", vec![changes(STORE, &[(0, 2_520)])], true, true),
        ("one dropped", vec![whole.clone(), changes(STORE, &[(1, 0)])], true, true),
        (
            "dropped and taken in again",
            vec![whole.clone(), changes(STORE, &[(1, 0), (1, 3_780)])],
            true,
            false,
        ),
        ("taken in and dropped", vec![changes(STORE, &[(0, 2_520), (0, 0)])], false, true),
        ("restarted", vec![whole.clone(), reset.clone()], false, true),
        ("of a store that is not known", vec![changes("another", &[(0, 2_520), (1, 3_780)])], false, true),
    ];
    for (what, all, known, saves) in rows {
        let mut node = told(&all);
        let choice = place(&mut node, NOW, 1, 2);
        expect_that!(choice.fetch, some(eq(store_address())), "{what}");
        expect_that!(node.counters().guessed_fetches == 0, eq(known), "{what}");
        expect_that!(choice.save.is_some(), eq(saves), "{what}");
    }
}

#[gtest]
fn store_updates_are_taken_once_and_bounded() {
    let mut node = placer(3);
    (0..1_000).for_each(|_| node.queue_store_update(changes(STORE, &[(0, 2_520)])));
    expect_that!(node.take_store_updates(), len(all![gt(100), le(256)]));
    expect_that!(node.take_store_updates(), is_empty());
}
