//! What holders say of their memory, as one balancer hears it and tells it to the others.

mod common;

use common::*;
use googletest::prelude::*;
use gradepaddle_engine::*;

const NOW: Micros = 20_000 * MS;
/// How long a node goes by drops being told, and how late a drop may be told.
const DROPS_KNOWN: Micros = 2_500 * MS;
const DROP_DELAY: Micros = 700 * MS;

/// What it is about, parts with the tokens that are left of them, and the source that is asked then.
type Row = (&'static str, &'static [(usize, u32)], std::net::SocketAddrV4);

/// The salt of version 1, and a node with three servers to which i-1 is believed to keep a subject's parts since then.
fn holding(since: Micros) -> (String, Engine) {
    let salt = choose(&mut engine(3), NOW, 1, 1).salt.expect("version known").to_string();
    let mut node = engine(3);
    long(1, 1)[..2].iter().for_each(|part| node.kept_event(since, "i-1", added(&salt, part)));
    (salt, node)
}

/// Changes at a holder: its part by number among those of the subject, and the tokens that are kept.
fn changes(holder: &str, salt: &str, parts: &[(usize, u32)]) -> KeptChanges {
    let ids = long(1, 1);
    let parts =
        parts.iter().map(|(at, tokens)| KeptTokens { key: kept_key(salt, ids[*at].id), tokens: *tokens });
    KeptChanges { holder: holder_hash(holder), whole: true, everything: false, parts: parts.collect() }
}

/// Where the next request of the subject takes its parts from, with i-1 too busy to run it and the slower store known to
/// have them too.
fn fetched_from(node: &mut Engine, at: Micros) -> Option<std::net::SocketAddrV4> {
    let salt = choose(&mut engine(3), at, 1, 1).salt.expect("version known").to_string();
    long(1, 1)[..2].iter().for_each(|part| node.kept_event(at, STORE, added(&salt, part)));
    node.observe_load(at, "i-1", LoadReport { running: 40, waiting: 40, slots: 48 });
    choose(node, at, 1, 2).fetch
}

#[gtest]
fn a_holder_that_dropped_a_part_is_no_source_of_it() {
    let rows: [Row; 5] = [
        ("nothing", &[], address(1)),
        ("the subject's part", &[(1, 0)], store_address()),
        ("the common part before it", &[(0, 0)], store_address()),
        ("the end of the subject's part", &[(1, 600)], store_address()),
        ("more than was known of", &[(1, 9_000)], address(1)),
    ];
    for (what, parts, source) in rows {
        let (salt, mut node) = holding(NOW - 3_000 * MS);
        node.peer_kept_changes(NOW - MS, &changes("i-1", &salt, parts));
        expect_that!(fetched_from(&mut node, NOW), some(eq(source)), "{what}");
    }
}

/// Events come late: a part may have been read there again before its drop is told.
#[gtest]
fn a_drop_that_is_older_than_the_last_use_changes_nothing() {
    for (used_ago, source) in [(DROP_DELAY - 10 * MS, address(1)), (DROP_DELAY + 10 * MS, store_address())] {
        let (salt, mut node) = holding(NOW - used_ago);
        node.peer_kept_changes(NOW, &changes("i-1", &salt, &[(1, 0)]));
        expect_that!(fetched_from(&mut node, NOW), some(eq(source)), "used {used_ago} ago");
    }
}

/// What is told of a holder's drops stands in the place of the guess by age, for as long as it is told.
#[gtest]
fn a_holder_whose_drops_are_told_keeps_what_it_was_not_said_to_drop() {
    let rows = [
        ("told", true, 100 * MS, address(1)),
        ("told, but not all of it", false, 100 * MS, store_address()),
        ("told long ago", true, DROPS_KNOWN + 100 * MS, store_address()),
    ];
    for (what, whole, told_ago, source) in rows {
        let (salt, mut node) = holding(NOW - 6_000 * MS);
        // It had to make room all the time, so that by its age the part should be gone.
        for number in 0..100 {
            node.kept_event(
                NOW - 10_000 * MS + number * 100 * MS,
                "i-1",
                added(&salt, &part(5_000 + number, 900)),
            );
        }
        for number in 0..60 {
            let key = kept_key(&salt, 5_000 + number);
            let parts = vec![KeptTokens { key, tokens: 0 }];
            let holder = holder_hash("i-1");
            let drops = KeptChanges { holder, whole: false, everything: false, parts };
            node.peer_kept_changes(NOW - 9_000 * MS + number * 100 * MS, &drops);
        }
        node.peer_kept_changes(NOW - told_ago, &KeptChanges { whole, ..changes("i-1", &salt, &[]) });
        expect_that!(fetched_from(&mut node, NOW), some(eq(source)), "{what}");
    }
}

#[gtest]
fn a_holder_that_restarted_keeps_nothing() {
    let (salt, mut node) = holding(NOW - 3_000 * MS);
    node.peer_kept_changes(NOW, &KeptChanges { everything: true, ..changes("i-1", &salt, &[]) });
    expect_that!(fetched_from(&mut node, NOW), some(eq(store_address())));
    // Of a holder that this node does not know nothing is taken in.
    let (salt, mut node) = holding(NOW - 3_000 * MS);
    node.peer_kept_changes(NOW, &KeptChanges { everything: true, ..changes("i-9", &salt, &[]) });
    expect_that!(fetched_from(&mut node, NOW), some(eq(address(1))));
}

#[gtest]
fn what_a_store_keeps_is_known_where_nobody_listens_to_it() {
    let (salt, _) = holding(NOW);
    let mut node = engine(3);
    node.holder_heard(NOW, STORE);
    node.peer_kept_changes(NOW - 100 * MS, &changes(STORE, &salt, &[(0, 2_520), (1, 3_780)]));
    let choice = choose(&mut node, NOW, 1, 2);
    expect_that!((choice.fetch, choice.save), eq((Some(store_address()), None)));
    expect_that!(node.counters().guesses, eq(0));
    // Dropped there, it is saved again.
    node.peer_kept_changes(NOW, &changes(STORE, &salt, &[(1, 0)]));
    let mut other = engine(3);
    other.holder_heard(NOW, STORE);
    other.peer_kept_changes(NOW - 100 * MS, &changes(STORE, &salt, &[(0, 2_520), (1, 3_780)]));
    other.peer_kept_changes(NOW, &changes(STORE, &salt, &[(1, 0)]));
    expect_that!(choose(&mut other, NOW, 1, 2).save, some(eq(store_address())));
}

#[gtest]
fn what_this_node_hears_counts_here_and_is_told_once() {
    let (salt, mut node) = holding(NOW - 3_000 * MS);
    let heard = changes("i-1", &salt, &[(1, 0)]);
    node.server_changed(NOW, heard.clone());
    expect_that!(node.take_kept_changes(), eq(&vec![heard]));
    expect_that!(node.take_kept_changes(), is_empty());
    expect_that!(fetched_from(&mut node, NOW), some(eq(store_address())));
}

#[gtest]
fn servers_that_keep_parts_and_take_requests_are_listened_to() {
    let mut node = engine(5);
    node.set_server(NOW, ServerEntry { state: ServerState::Lost, ..entry(1, 1) });
    node.set_server(NOW, ServerEntry { state: ServerState::Draining, ..entry(2, 1) });
    node.set_server(NOW, ServerEntry { service: "plain".into(), ..entry(3, 1) });
    node.remove_server(NOW, "i-4");
    let ids: Vec<_> = node.keeping_servers().into_iter().map(|server| server.id.to_string()).collect();
    expect_that!(ids, eq(&["i-0", "i-2"]));
}
