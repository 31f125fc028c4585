//! Saves to a cache store whose link is saturated, and the cost of transfers in addition to their duration.

mod common;

use common::*;
use googletest::prelude::*;
use gradepaddle_placement::*;

const NOW: Micros = 20_000 * MS;
/// After this time a save has arrived or counts as lost.
const SAVE_TIMEOUT: Micros = 3_000 * MS;

/// Places a prompt of a subject with this many own tokens, and returns whether it is saved to the store.
fn is_saved(node: &mut Placer, now: Micros, subject: u64, own: u32) -> bool {
    node.record_cache_contact(now, STORE);
    let mut chunks = long_prompt(subject, subject);
    chunks[2].tokens = own;
    let placement = node.place(now, &request(&chunks), &[]).expect("a server is ready");
    serve(node, now, &placement);
    placement.save.is_some()
}

/// Causes a save for each subject, one after the other; if `saves_arrive`, the store reports them.
fn request_saves(
    node: &mut Placer,
    from: Micros,
    subjects: std::ops::Range<u64>,
    saves_arrive: bool,
) -> Micros {
    let salt = place(&mut placer(6), NOW, 1, 1).salt.expect("version known").to_string();
    let mut now = from;
    for subject in subjects {
        expect_that!(is_saved(node, now, subject, 1_000), eq(true), "{subject}");
        if saves_arrive {
            long_prompt(subject, subject)[..2]
                .iter()
                .for_each(|chunk| node.apply_cache_event(now, STORE, added(&salt, chunk)));
        }
        now += 100 * MS;
    }
    now + SAVE_TIMEOUT
}

#[gtest]
fn mostly_unshared_prompts_are_saved_only_while_saves_arrive() {
    let mut node = placer(6);
    expect_that!(is_saved(&mut node, NOW, 1, 20_000), eq(true));
    let now = request_saves(&mut node, NOW + 100 * MS, 2..12, false);
    // Mostly shared prompts are still saved, which shows when the link has capacity again.
    expect_that!(is_saved(&mut node, now, 20, 1_000), eq(true));
    expect_that!(is_saved(&mut node, now, 21, 20_000), eq(false));
    let now = request_saves(&mut node, now, 30..50, true);
    expect_that!(is_saved(&mut node, now, 60, 1_000), eq(true));
    expect_that!(is_saved(&mut node, now, 61, 20_000), eq(true));
}

#[gtest]
fn chunks_computed_beside_a_transfer_are_saved() {
    let salt = place(&mut placer(6), NOW, 1, 1).salt.expect("version known").to_string();
    let mut node = placer(6);
    // Another server has only the common chunk cached.
    node.apply_cache_event(NOW - MS, "i-1", added(&salt, &long_prompt(1, 1)[0]));
    node.observe_server_load(NOW - MS, "i-1", ServerLoadReport { running: 40, waiting: 40, slots: 48 });
    node.record_cache_contact(NOW, STORE);
    let placement = place(&mut node, NOW, 1, 1);
    expect_that!(placement.fetch, some(eq(address(1))));
    expect_that!(placement.save, some(eq(store_address())));
}

/// A transfer evicts other prompts at its destination, so a short wait at the holder is better.
#[gtest]
fn a_short_wait_at_the_holder_is_preferred_to_a_transfer() {
    for (backlog_ms, stays) in [(80.0, true), (400.0, false)] {
        let mut node = placer(3);
        node.set_balancer_count(2);
        let first = place(&mut node, NOW, 1, 1);
        serve(&mut node, NOW, &first);
        let now = NOW + 200 * MS;
        let load = LocalLoad { server: holder_hash(&first.server), backlog_ms, running: 1, tokens: 9_000 };
        node.apply_peer_loads(now, 99, 1, vec![load]);
        expect_that!(place(&mut node, now, 1, 2).server == first.server, eq(stays), "{backlog_ms} ms");
    }
}
