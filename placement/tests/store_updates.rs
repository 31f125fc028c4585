//! Updates of a store's cache, which a balancer that subscribes to its events forwards to the others.

mod common;

use common::*;
use googletest::prelude::*;
use gradepaddle_placement::*;

const NOW: Micros = 20_000 * MS;

/// The salt of version 1.
fn salt() -> String {
    place(&mut placer(3), NOW, 1, 1).salt.expect("version known").to_string()
}

/// An update of a store: chunks of the prompt by index, and their cached tokens.
fn update(store: &str, chunks: &[(usize, u32)]) -> StoreUpdate {
    let ids = long_prompt(1, 1);
    let chunks = chunks
        .iter()
        .map(|(at, tokens)| CachedTokens { key: chunk_key(&salt(), ids[*at].id), tokens: *tokens });
    StoreUpdate { store: holder_hash(store), reset: false, chunks: chunks.collect() }
}

/// A node that does not subscribe to the store's events, after it received these updates in order.
fn node_with_updates(updates: &[StoreUpdate]) -> Placer {
    let mut node = placer(3);
    node.record_cache_contact(NOW, STORE);
    updates.iter().for_each(|update| node.apply_peer_store_update(NOW - 100 * MS, update));
    node
}

#[gtest]
fn store_updates_reach_nodes_that_do_not_subscribe() {
    let whole = update(STORE, &[(0, 2_520), (1, 3_780)]);
    let reset = StoreUpdate { reset: true, ..update(STORE, &[]) };
    // The updates, whether the store is known to have the chunks, and whether they are saved there.
    let rows = [
        ("nothing", vec![], false, true),
        ("all chunks", vec![whole.clone()], true, false),
        ("the common chunk", vec![update(STORE, &[(0, 2_520)])], true, true),
        ("one dropped", vec![whole.clone(), update(STORE, &[(1, 0)])], true, true),
        ("dropped and added again", vec![whole.clone(), update(STORE, &[(1, 0), (1, 3_780)])], true, false),
        ("added and dropped", vec![update(STORE, &[(0, 2_520), (0, 0)])], false, true),
        ("restarted", vec![whole.clone(), reset.clone()], false, true),
        ("of an unknown store", vec![update("another", &[(0, 2_520), (1, 3_780)])], false, true),
    ];
    for (case, updates, known, saves) in rows {
        let mut node = node_with_updates(&updates);
        let placement = place(&mut node, NOW, 1, 2);
        expect_that!(placement.fetch, some(eq(store_address())), "{case}");
        expect_that!(node.counters().guessed_fetches == 0, eq(known), "{case}");
        expect_that!(placement.save.is_some(), eq(saves), "{case}");
    }
}

#[gtest]
fn store_updates_are_taken_once_and_bounded() {
    let mut node = placer(3);
    (0..1_000).for_each(|_| node.queue_store_update(update(STORE, &[(0, 2_520)])));
    expect_that!(node.take_store_updates(), len(all![gt(100), le(256)]));
    expect_that!(node.take_store_updates(), is_empty());
}
