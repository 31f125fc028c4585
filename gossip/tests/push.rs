//! Pushes, fetches and comparisons of a single node, message by message.

mod simulation;

use std::net::SocketAddrV4;

use googletest::prelude::*;
use gradepaddle_gossip::{
    AgedItem, Entry, FetchEvent, FetchStep, Gossip, GossipConfig, Item, Message, Output, Peer,
};
use simulation::{KIND, MS, SECOND, address, item, whole_offer};

/// A node that has sent its initial comparisons.
fn settled_node(peers: usize) -> Gossip {
    let mut node = Gossip::new(GossipConfig::builder().address(address(0)).seed(3).build(), 0);
    let peers: Vec<Peer> =
        (0..=peers).map(|peer| Peer { address: address(peer), same_zone: peer % 3 == 0 }).collect();
    node.set_peers(0, &peers);
    node.tick(0, &mut Vec::new());
    node
}

fn receive(node: &mut Gossip, now: u64, from: usize, message: Message) -> Vec<(SocketAddrV4, Message)> {
    let mut out = Vec::new();
    node.receive(now, address(from), message, &mut out);
    sent(out)
}

fn tick(node: &mut Gossip, now: u64) -> Vec<(SocketAddrV4, Message)> {
    let mut out = Vec::new();
    node.tick(now, &mut out);
    sent(out)
}

fn sent(out: Vec<Output>) -> Vec<(SocketAddrV4, Message)> {
    let sent = out.into_iter().filter_map(|output| match output {
        Output::Send { to, message } => Some((to, message)),
        _ => None,
    });
    sent.collect()
}

/// The items of an offer, if it is one and names the encoding of each.
fn offered(message: &Message) -> Option<Vec<Entry>> {
    let Message::Offer { offers } = message else { return None };
    offers.iter().map(|offer| offer.encoding.map(|_| offer.entry.clone())).collect()
}

fn push(items: &[Item], repair: bool) -> Message {
    push_aged(&items.iter().map(|item| (item, 0)).collect::<Vec<_>>(), repair)
}

/// Items with their ages in milliseconds.
fn push_aged(items: &[(&Item, u32)], repair: bool) -> Message {
    let items =
        items.iter().map(|(item, age_ms)| AgedItem { item: (*item).clone(), age_ms: *age_ms }).collect();
    Message::Push { items, acknowledge: false, repair }
}

/// A list of items that take `bytes` of payload each.
fn many(items: usize, bytes: usize) -> Vec<Item> {
    (0..items).map(|number| item(&format!("server-{number:05}"), 1, &vec![0; bytes])).collect()
}

#[gtest]
fn items_that_arrive_together_are_pushed_together_to_three_peers() {
    let mut node = settled_node(20);
    let items = many(5, 10);
    let sent = receive(&mut node, MS, 7, push(&items, false));
    expect_that!(sent.len(), eq(3));
    for (to, message) in &sent {
        expect_that!(*to, not(eq(address(7))));
        expect_that!(*message, eq(&push(&items, false)));
    }
    expect_that!(sent.iter().any(|(to, _)| *to == address(1)), eq(true), "the next one on the ring");
    expect_that!(receive(&mut node, 2 * MS, 8, push(&items, false)).len(), eq(0), "known already");
}

#[gtest]
fn in_a_small_fleet_all_peers_are_pushed_to() {
    let mut node = settled_node(4);
    let sent = receive(&mut node, MS, 2, push(&many(1, 10), false));
    let mut targets: Vec<SocketAddrV4> = sent.into_iter().map(|(to, _)| to).collect();
    targets.sort();
    expect_that!(targets, eq(&vec![address(1), address(3), address(4)]));
}

/// Items that follow within 20 ms of a push are batched; an item isn't pushed to a node that has sent it in the meantime.
#[gtest]
fn items_in_quick_succession_are_batched() {
    let mut node = settled_node(4);
    let items = many(3, 10);
    expect_that!(receive(&mut node, MS, 1, push(&items[..1], false)).len(), eq(3));
    expect_that!(receive(&mut node, 2 * MS, 1, push(&items[1..2], false)).len(), eq(0));
    expect_that!(receive(&mut node, 3 * MS, 1, push(&items[2..], false)).len(), eq(0));
    expect_that!(receive(&mut node, 4 * MS, 2, push(&items[1..2], false)).len(), eq(0));
    expect_that!(node.next_wake(), eq(21 * MS));
    let mut sent = tick(&mut node, 21 * MS);
    sent.sort_by_key(|(to, _)| *to);
    // The items arrive at 2 and 3 ms and are pushed at 21 ms, so their ages are 19 and 18 ms.
    let both = push_aged(&[(&items[1], 19), (&items[2], 18)], false);
    let expected = vec![
        (address(2), push_aged(&[(&items[2], 18)], false)),
        (address(3), both.clone()),
        (address(4), both),
    ];
    expect_that!(sent, eq(&expected));
}

#[gtest]
fn a_repair_of_many_items_is_not_forwarded() {
    let mut node = settled_node(20);
    expect_that!(receive(&mut node, MS, 7, push(&many(9, 10), true)).len(), eq(0));
    let few: Vec<Item> = (0..8).map(|number| item(&format!("other-{number}"), 1, b"")).collect();
    expect_that!(receive(&mut node, 2 * MS, 7, push(&few, true)).len(), eq(3));
}

#[gtest]
fn messages_are_split_at_32_kib() {
    let mut node = settled_node(3);
    let items = many(100, 1_000);
    let sent = receive(&mut node, MS, 1, push(&items, false));
    expect_that!(sent.len(), eq(2 * 4));
    expect_that!(sent.iter().all(|(_, message)| message.size() <= 33 * 1_024), eq(true));
}

#[gtest]
fn large_payloads_are_offered_and_sent_when_fetched() {
    let mut node = settled_node(3);
    let (at_limit, large) = (item("at-limit", 1, &[0; 2_048]), item("large", 1, &[0; 2_049]));
    let sent = receive(&mut node, MS, 1, push(&[at_limit.clone(), large.clone()], false));
    let pushes =
        sent.iter().filter(|(_, message)| *message == push(std::slice::from_ref(&at_limit), false)).count();
    let offers = sent.iter().filter(|(_, message)| offered(message) == Some(vec![large.entry()])).count();
    expect_that!((pushes, offers, sent.len()), eq((2, 2, 4)));
    let fetch = |by_blocks| Message::Fetch { entries: vec![large.entry()], by_blocks };
    let answer = receive(&mut node, 2 * MS, 3, fetch(true));
    expect_that!(answer.len(), eq(1));
    expect_that!(offered(&answer[0].1), some(eq(&vec![large.entry()])));
    let answer = receive(&mut node, 2 * MS, 2, fetch(false));
    expect_that!(answer, eq(&vec![(address(2), push_aged(&[(&large, 1)], true))]));
}

/// One fetch is in flight at a time; after 300 ms it is retried at another source, and abandoned if there is none.
#[gtest]
fn an_offer_is_fetched_once_and_elsewhere_after_a_timeout() {
    let mut node = settled_node(9);
    let entry = item("large", 1, b"").entry();
    let offer = || whole_offer(std::slice::from_ref(&entry));
    let fetch = Message::Fetch { entries: vec![entry.clone()], by_blocks: true };
    expect_that!(receive(&mut node, MS, 3, offer()), eq(&vec![(address(3), fetch.clone())]));
    expect_that!(receive(&mut node, 2 * MS, 4, offer()).len(), eq(0));
    expect_that!(receive(&mut node, 3 * MS, 4, offer()).len(), eq(0));
    let fetches = |sent: Vec<(SocketAddrV4, Message)>| -> Vec<(SocketAddrV4, Message)> {
        sent.into_iter().filter(|(_, message)| matches!(message, Message::Fetch { .. })).collect()
    };
    expect_that!(fetches(tick(&mut node, 300 * MS)).len(), eq(0));
    expect_that!(fetches(tick(&mut node, 301 * MS)), eq(&vec![(address(4), fetch.clone())]));
    expect_that!(fetches(tick(&mut node, 601 * MS)).len(), eq(0));
    expect_that!(fetches(receive(&mut node, 602 * MS, 5, offer())), eq(&vec![(address(5), fetch)]));
}

/// The fetch steps that an input causes, each with its source.
fn fetch_steps(
    node: &mut Gossip,
    input: impl FnOnce(&mut Gossip, &mut Vec<Output>),
) -> Vec<(SocketAddrV4, FetchStep)> {
    let mut out = Vec::new();
    input(node, &mut out);
    let steps = out.into_iter().filter_map(|output| match output {
        Output::Fetch(FetchEvent { peer, step, .. }) => Some((peer, step)),
        _ => None,
    });
    steps.collect()
}

#[gtest]
fn each_step_of_a_fetch_is_reported() {
    let mut node = settled_node(9);
    let item = item("large", 1, &[1; 5_000]);
    let offer = || whole_offer(&[item.entry()]);
    let steps = fetch_steps(&mut node, |node, out| node.receive(MS, address(3), offer(), out));
    expect_that!(steps, eq(&vec![(address(3), FetchStep::Started)]));
    let steps = fetch_steps(&mut node, |node, out| node.receive(2 * MS, address(4), offer(), out));
    expect_that!(steps, eq(&vec![]));
    let steps = fetch_steps(&mut node, |node, out| node.tick(301 * MS, out));
    expect_that!(steps, eq(&vec![(address(4), FetchStep::Retried { received: 0 })]));
    let steps = fetch_steps(&mut node, |node, out| node.tick(601 * MS, out));
    expect_that!(steps, eq(&vec![(address(4), FetchStep::Abandoned)]));
    receive(&mut node, 602 * MS, 5, offer());
    let arrives = |node: &mut Gossip, out: &mut Vec<Output>| {
        node.receive(612 * MS, address(5), push(std::slice::from_ref(&item), true), out);
    };
    let completed = FetchStep::Completed { elapsed: 10 * MS, attempts: 1 };
    expect_that!(fetch_steps(&mut node, arrives), eq(&vec![(address(5), completed)]));
}

/// A newer stamp is fetched although the fetch of an older one is in flight, and the fetched item is offered to others.
#[gtest]
fn a_newer_offer_is_fetched_at_once() {
    let mut node = settled_node(9);
    let (older, newer) = (item("large", 1, &[1; 5_000]), item("large", 2, &[2; 5_000]));
    receive(&mut node, MS, 3, whole_offer(&[older.entry()]));
    let sent = receive(&mut node, 2 * MS, 4, whole_offer(&[newer.entry()]));
    expect_that!(
        sent,
        eq(&vec![(address(4), Message::Fetch { entries: vec![newer.entry()], by_blocks: true })])
    );
    let sent = receive(&mut node, 3 * MS, 4, push(std::slice::from_ref(&newer), true));
    expect_that!(sent.len(), eq(3));
    let offer = Some(vec![newer.entry()]);
    expect_that!(sent.iter().all(|(to, message)| *to != address(4) && offered(message) == offer), eq(true));
    receive(&mut node, 4 * MS, 3, push(&[older], true));
    expect_that!(node.get(KIND, "large"), some(eq(&newer)));
}

/// About three of four comparisons are with peers of the same zone, although these are the minority.
#[gtest]
fn comparisons_prefer_peers_of_the_same_zone() {
    let mut node = settled_node(30);
    let (mut same_zone, mut all) = (0, 0);
    while all < 1_000 {
        let now = node.next_wake();
        for (to, message) in tick(&mut node, now) {
            expect_that!(matches!(message, Message::Digest { reply: true, .. }), eq(true));
            expect_that!(to, not(eq(address(0))));
            all += 1;
            same_zone += u32::from((to.ip().octets()[3] - 1) % 3 == 0);
        }
    }
    expect_that!(same_zone, all!(ge(700), le(800)));
}

/// A node with equal hashes replies with an empty digest, which gets no reply.
#[gtest]
fn equal_digests_end_the_comparison() {
    let (mut one, mut other) = (settled_node(3), settled_node(3));
    let items = many(50, 10);
    for node in [&mut one, &mut other] {
        receive(node, MS, 3, push(&items, false));
    }
    let now = one.next_wake().max(SECOND);
    let question =
        tick(&mut one, now).into_iter().find(|(_, message)| matches!(message, Message::Digest { .. }));
    let (_, question) = question.expect("a comparison is due");
    let answer = receive(&mut other, SECOND, 1, question);
    let empty = Message::Digest { ranges: Vec::new(), reply: false };
    expect_that!(answer, eq(&vec![(address(1), empty.clone())]));
    expect_that!(receive(&mut one, SECOND, 2, empty).len(), eq(0));
}

/// Digests and entry lists with an index out of range are ignored.
#[gtest]
fn unknown_ranges_are_ignored() {
    let mut node = settled_node(3);
    let ranges = vec![gradepaddle_gossip::RangeDigest { index: u16::MAX, hash: 1 }];
    expect_that!(receive(&mut node, MS, 1, Message::Digest { ranges, reply: false }).len(), eq(0));
    let ranges = vec![gradepaddle_gossip::RangeEntries { index: 4_160, entries: Vec::new() }];
    expect_that!(receive(&mut node, MS, 1, Message::Entries { ranges }).len(), eq(0));
}

/// With forty peers, a new one is compared with within `500 ms x 40 / 4`, regardless of the random selection.
#[gtest]
fn new_peers_are_compared_with_soon() {
    let mut node = settled_node(30);
    let peers: Vec<Peer> = (1..=40).map(|peer| Peer { address: address(peer), same_zone: true }).collect();
    node.set_peers(SECOND, &peers);
    let mut contacted = Vec::new();
    while node.next_wake() <= 6 * SECOND {
        let now = node.next_wake();
        contacted.extend(tick(&mut node, now).into_iter().map(|(to, _)| to));
    }
    for new in 31..=40 {
        expect_that!(contacted.contains(&address(new)), eq(true), "peer {new}");
    }
}

/// The number of items that are sent to a node whose ranges are all empty.
fn sent_to_an_empty_node(node: &mut Gossip, now: u64) -> usize {
    let ranges = (0..64).map(|index| gradepaddle_gossip::RangeDigest { index, hash: 0 }).collect();
    let sent = receive(node, now, 2, Message::Digest { ranges, reply: true });
    let items = sent.iter().map(|(_, message)| match message {
        Message::Push { items, .. } => items.len(),
        _ => 0,
    });
    items.sum()
}

/// A repair of more than eight items leaves out those merged in the last 100 ms; a smaller one leaves out none.
#[gtest]
fn a_large_repair_leaves_out_items_in_flight() {
    let mut node = settled_node(20);
    receive(&mut node, 1_000 * MS, 7, push(&many(8, 10), false));
    expect_that!(sent_to_an_empty_node(&mut node, 1_050 * MS), eq(8));
    receive(&mut node, 1_080 * MS, 7, push(&[item("ninth", 1, b"")], false));
    expect_that!(sent_to_an_empty_node(&mut node, 1_090 * MS), eq(0));
    expect_that!(sent_to_an_empty_node(&mut node, 1_150 * MS), eq(8));
    expect_that!(sent_to_an_empty_node(&mut node, 1_200 * MS), eq(9));
}
