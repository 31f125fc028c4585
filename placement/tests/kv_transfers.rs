//! Sources of KV transfers, saves to the cache store, and the prefix index.

mod common;

use common::*;
use googletest::prelude::*;
use gradepaddle_placement::*;

const NOW: Micros = 20_000 * MS;

/// The home of a subject, the salt of its requests, and a node that has not placed any request.
fn new_node(subject: u64, servers: u16) -> (std::sync::Arc<str>, String, Placer) {
    let placement = place(&mut placer(servers), NOW, subject, 1);
    (placement.server, placement.salt.expect("version known").to_string(), placer(servers))
}

fn cache_chunks(node: &mut Placer, holder: &str, salt: &str, chunks: &[PromptChunk]) {
    chunks.iter().for_each(|chunk| node.apply_cache_event(NOW - 100 * MS, holder, added(salt, chunk)));
}

fn address_of(id: &str) -> std::net::SocketAddrV4 {
    address(id[2..].parse().expect("a number"))
}

#[gtest]
fn a_busy_holder_is_the_source_for_another_server() {
    let (_, salt, mut node) = new_node(1, 3);
    cache_chunks(&mut node, "i-1", &salt, &long_prompt(1, 1)[..2]);
    let report = ServerLoadReport { running: 30, waiting: 10, slots: 48 };
    node.observe_server_load(NOW - MS, "i-1", report);
    let placement = place(&mut node, NOW, 1, 2);
    expect_that!(&*placement.server, not(eq("i-1")));
    expect_that!(placement.fetch, some(eq(address_of("i-1"))));
    expect_that!(placement.save, none());
}

#[gtest]
fn the_holder_of_the_longest_prefix_is_the_source_and_of_equals_the_nearest() {
    // i-0 and i-3 are in zone a, i-1 and i-4 in b, i-2 and i-5 in c.
    for (holders, selected, source) in [
        (vec![("i-1", 2), ("i-2", 1)], "i-0", "i-1"),
        (vec![("i-1", 2), ("i-3", 2)], "i-0", "i-3"),
        (vec![("i-3", 2), ("i-4", 2)], "i-0", "i-3"),
        (vec![("i-5", 2), ("i-3", 2), ("i-4", 2)], "i-2", "i-5"),
    ] {
        let (_, salt, mut node) = new_node(1, 6);
        for (holder, count) in &holders {
            cache_chunks(&mut node, holder, &salt, &long_prompt(1, 1)[..*count]);
        }
        let busy = ServerLoadReport { running: 40, waiting: 40, slots: 48 };
        for number in 0..6 {
            let id = format!("i-{number}");
            if id != selected {
                node.observe_server_load(NOW - MS, &id, busy);
            }
        }
        let placement = place(&mut node, NOW, 1, 2);
        expect_that!(&*placement.server, eq(selected));
        expect_that!(placement.fetch, some(eq(address_of(source))));
    }
}

#[gtest]
fn a_failed_removed_or_outdated_holder_is_no_source() {
    type Change = fn(&mut Placer);
    let changes: [Change; 6] = [
        |node| node.record_server_failure(NOW - 10 * MS, "i-1"),
        |node| node.record_source_failure(NOW - 10 * MS, "i-1"),
        |node| node.remove_server(NOW - 10 * MS, "i-1"),
        |node| node.update_server(NOW, ServerEntry { state: ServerState::Lost, ..entry(1, 1) }),
        |node| node.observe_version(NOW - 10 * MS, "i-1", MODEL, 2),
        |node| node.reset_cache_holder(NOW - 10 * MS, "i-1"),
    ];
    for change in changes {
        let (_, salt, mut node) = new_node(1, 3);
        cache_chunks(&mut node, "i-1", &salt, &long_prompt(1, 1)[..2]);
        change(&mut node);
        let tried = ["i-1".into()];
        let placement = node.place(NOW, &request(&long_prompt(1, 2)), &tried).expect("two are left");
        expect_that!(
            placement.fetch == Some(address_of("i-1")) && node.counters().guessed_fetches == 0,
            eq(false)
        );
    }
}

#[gtest]
fn the_store_is_a_source_while_it_has_contact() {
    type Change = (fn(&mut Placer), Micros);
    let (home, salt, mut node) = new_node(1, 3);
    cache_chunks(&mut node, STORE, &salt, &long_prompt(1, 1)[..2]);
    let placement = place(&mut node, NOW, 1, 2);
    expect_that!(placement.server, eq(&home));
    expect_that!(placement.fetch, some(eq(store_address())));
    expect_that!(placement.save, none());
    expect_that!(node.counters().guessed_fetches, eq(0));
    // A store that failed, has no recent contact or was reset is not a source.
    let changes: [Change; 2] =
        [(|node| node.record_source_failure(NOW - 10 * MS, STORE), NOW), (|_| {}, NOW + 3_000 * MS)];
    for (change, at) in changes {
        let (_, salt, mut node) = new_node(1, 3);
        cache_chunks(&mut node, STORE, &salt, &long_prompt(1, 1)[..2]);
        change(&mut node);
        let placement = place(&mut node, at, 1, 2);
        expect_that!((placement.fetch, placement.save), eq((None, None)));
    }
    let (_, salt, mut node) = new_node(1, 3);
    cache_chunks(&mut node, STORE, &salt, &long_prompt(1, 1)[..2]);
    node.reset_cache_holder(NOW - 10 * MS, STORE);
    let placement = place(&mut node, NOW, 1, 2);
    expect_that!(placement.save, some(eq(store_address())));
}

#[gtest]
fn new_chunks_are_saved_once() {
    let mut node = placer(3);
    node.record_cache_contact(NOW, STORE);
    let first = place(&mut node, NOW, 1, 1);
    expect_that!(first.save, some(eq(store_address())));
    // Another server that computes them at the same time does not save them as well.
    let meanwhile = node.place(NOW, &request(&long_prompt(1, 9)), std::slice::from_ref(&first.server));
    let meanwhile = meanwhile.expect("others are ready");
    expect_that!(meanwhile.save, none());
    node.record_end(NOW, meanwhile.attempt, AttemptOutcome::ClientGone, None, None);
    serve(&mut node, NOW, &first);
    node.record_cache_contact(NOW + 200 * MS, STORE);
    expect_that!(place(&mut node, NOW + 200 * MS, 1, 2).save, none());
    // Nor does another server later, before the store has reported them.
    let elsewhere =
        node.place(NOW + 210 * MS, &request(&long_prompt(1, 3)), std::slice::from_ref(&first.server));
    expect_that!(elsewhere.expect("others are ready").save, none());
}

#[gtest]
fn short_prefixes_are_not_transferred() {
    let mut node = placer(3);
    node.record_cache_contact(NOW, STORE);
    let chunks = [chunk(1, 20), chunk(2, 40), chunk(3, 600)];
    let placement = node.place(NOW, &request(&chunks), &[]).expect("ready");
    expect_that!((placement.fetch, placement.save), eq((None, None)));
}

#[gtest]
fn chunks_count_as_cached_after_the_first_event() {
    let mut node = placer(3);
    let placement = place(&mut node, NOW, 1, 1);
    expect_that!(node.table_sizes().index_entries, eq(0));
    node.record_first_event(NOW + 200 * MS, placement.attempt);
    expect_that!(node.table_sizes().index_entries, eq(3));
    node.record_first_event(NOW + 300 * MS, placement.attempt);
    expect_that!(node.table_sizes().index_entries, eq(3));
    node.reset_cache_holder(NOW + 400 * MS, &placement.server);
    expect_that!(node.table_sizes().index_entries, eq(0));
}

#[gtest]
fn the_index_is_bounded_by_each_holders_capacity_and_in_all() {
    let mut node = placer(2);
    for id in 0..1_000 {
        node.apply_cache_event(NOW, "i-0", added("s", &chunk(id, 3_000)));
    }
    // 35 chunks are within the capacity of 105,065 tokens. The index has the prefills of all balancers, so that nothing beyond
    // the capacity can still be cached.
    expect_that!(node.table_sizes().index_entries, eq(35));
    // The least recently used was evicted.
    let before = node.table_sizes().index_entries;
    node.apply_cache_event(
        NOW,
        "i-0",
        CacheEvent::Dropped { salt: "s", chunk: 999, tokens: 0, model: MODEL },
    );
    node.apply_cache_event(NOW, "i-0", CacheEvent::Dropped { salt: "s", chunk: 0, tokens: 0, model: MODEL });
    expect_that!(node.table_sizes().index_entries, eq(before - 1));
    let mut node = placer_of(PlacementConfig::builder().max_index_entries(1_000).build(), 4);
    for id in 0..2_000 {
        for number in 0..4 {
            node.apply_cache_event(NOW, &format!("i-{number}"), added("s", &chunk(id, 10)));
        }
    }
    expect_that!(node.table_sizes().index_entries, le(1_000));
}

#[gtest]
fn dropping_and_adding_chunks_does_not_grow_the_index() {
    let mut node = placer(1);
    for id in 0..100 {
        node.apply_cache_event(NOW, "i-0", added("s", &chunk(id, 16)));
    }
    let bytes = node.table_sizes().index_bytes;
    for turn in 0..10_000 {
        let id = turn % 100;
        node.apply_cache_event(
            NOW,
            "i-0",
            CacheEvent::Dropped { salt: "s", chunk: id, tokens: 0, model: MODEL },
        );
        node.apply_cache_event(NOW, "i-0", added("s", &chunk(id, 16)));
    }
    expect_that!(node.table_sizes().index_entries, eq(100));
    expect_that!(node.table_sizes().index_bytes, le(2 * bytes + 8_192));
    // A partially evicted chunk counts with its remaining tokens.
    node.apply_cache_event(NOW, "i-0", CacheEvent::Dropped { salt: "s", chunk: 1, tokens: 8, model: MODEL });
    expect_that!(node.table_sizes().index_entries, eq(100));
}

#[gtest]
fn an_index_entry_takes_few_bytes() {
    let mut node = placer_of(PlacementConfig::builder().max_index_entries(200_000).build(), 100);
    let mut count = 0;
    for number in 0..100u64 {
        for id in 0..1_500 {
            node.apply_cache_event(NOW, &format!("i-{number}"), added("s", &chunk(number * 1_500 + id, 16)));
            count += 1;
        }
    }
    let TableSizes { index_entries: entries, index_bytes: bytes, .. } = node.table_sizes();
    expect_that!(entries, eq(count));
    let each = bytes as f64 / count as f64;
    println!("{entries} entries of one holder each, {each:.0} bytes an entry");
    expect_that!(each, le(100.0));
}

#[gtest]
fn chunk_ids_and_lists_are_parsed() {
    let list = PromptChunk::parse_list("5c1e07a2:800,91bd3f06:410,e4402b7d:250").expect("well formed");
    expect_that!(list, eq(&[chunk(0x5c1e_07a2, 800), chunk(0x91bd_3f06, 410), chunk(0xe440_2b7d, 250)]));
    expect_that!(PromptChunk::parse_id("00000000000000ff"), eq(255));
    expect_that!(
        PromptChunk::parse_id("5c1e07a25c1e07a25c1e07a2"),
        eq(PromptChunk::parse_id("5c1e07a25c1e07a25c1e07a2"))
    );
    expect_that!(
        PromptChunk::parse_id("5c1e07a25c1e07a25c1e07a2"),
        not(eq(PromptChunk::parse_id("5c1e07a25c1e07a25c1e07a3")))
    );
    for wrong in ["", "a", "a:", "a:b", "a:1,", "a:-1"] {
        expect_that!(PromptChunk::parse_list(wrong), none());
    }
}

/// Seen on kctc-grown: of the chunks that were fetched from a holder which had not used them for long, nine in ten were evicted
/// there, since a holder caches more chunks than other nodes know of. The store retains them for longer.
#[gtest]
fn a_holder_with_long_unused_chunks_comes_after_the_store() {
    for (unused, source) in [(100 * MS, address_of("i-1")), (5_000 * MS, store_address())] {
        let (_, salt, mut node) = new_node(1, 3);
        // Prefills that evict other chunks: ten prompts per second, each of a sixteenth of the server's memory.
        for number in 0..100 {
            let event = chunk(5_000 + number, 6_500);
            node.apply_cache_event(number * 100 * MS, "i-1", added(&salt, &event));
        }
        for chunk in &long_prompt(1, 1)[..2] {
            node.apply_cache_event(NOW - unused, "i-1", added(&salt, chunk));
        }
        node.record_cache_contact(NOW, STORE);
        let busy = ServerLoadReport { running: 40, waiting: 40, slots: 48 };
        node.observe_server_load(NOW - MS, "i-1", busy);
        let placement = place(&mut node, NOW, 1, 2);
        expect_that!(placement.fetch, some(eq(source)), "unused for {unused}");
    }
}
