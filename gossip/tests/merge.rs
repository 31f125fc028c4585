//! Merging items is commutative and idempotent: order, repetition and grouping don't matter.

mod simulation;

use std::sync::Arc;

use gradepaddle_gossip::{AgedItem, Gossip, GossipConfig, Item, Kind, Message, Output, RangeDigest, Stamp};
use proptest::prelude::*;
use simulation::{SECOND, address};

/// Items whose payload and `removed` flag are functions of kind, key and stamp, since items with equal stamps must be
/// identical.
fn items() -> impl Strategy<Value = Vec<Item>> {
    let item = (0_u8..3, 0_u8..6, 0_u64..4, 0_u64..3).prop_map(|(kind, key, major, minor)| Item {
        kind: Kind(kind),
        key: Arc::from(format!("key-{key}")),
        stamp: Stamp { major, minor },
        payload: Arc::from([kind, key, major as u8, minor as u8]),
        removed: (u64::from(key) + major + minor) % 4 == 0,
    });
    prop::collection::vec(item, 0..40)
}

fn node(number: usize) -> Gossip {
    Gossip::new(GossipConfig::builder().address(address(number)).seed(number as u64).build(), SECOND)
}

fn receive(node: &mut Gossip, items: &[Item], at_once: usize) -> Vec<Output> {
    let mut out = Vec::new();
    for items in items.chunks(at_once) {
        let items = items.iter().map(|item| AgedItem { item: item.clone(), age_ms: 0 }).collect();
        node.receive(
            SECOND,
            address(99),
            Message::Push { items, acknowledge: false, repair: false },
            &mut out,
        );
    }
    out
}

fn content(node: &Gossip) -> (Vec<Item>, Vec<Option<Stamp>>) {
    let kinds = (0..3).map(Kind);
    let items = kinds.clone().flat_map(|kind| node.items(kind).cloned()).collect();
    let names = kinds.flat_map(|kind| (0..6).map(move |key| (kind, format!("key-{key}"))));
    (items, names.map(|(kind, key)| node.stamp(kind, &key)).collect())
}

/// The range hashes that the node sends in a comparison.
fn digests(node: &mut Gossip) -> Vec<RangeDigest> {
    node.set_peers(SECOND, &[gradepaddle_gossip::Peer { address: address(98), same_zone: true }]);
    let mut out = Vec::new();
    node.tick(SECOND, &mut out);
    let sent = out.into_iter().find_map(|output| match output {
        Output::Send { message: Message::Digest { ranges, reply: true }, .. } => Some(ranges),
        _ => None,
    });
    sent.expect("a node with a new peer compares at once")
}

proptest! {
    #[test]
    fn order_and_grouping_do_not_matter(
        (items, shuffled) in items().prop_flat_map(|items| (Just(items.clone()), Just(items).prop_shuffle())),
        at_once in 1_usize..10,
    ) {
        let (mut one, mut other) = (node(1), node(2));
        receive(&mut one, &items, 1);
        receive(&mut other, &shuffled, at_once);
        prop_assert_eq!(content(&one), content(&other));
        prop_assert_eq!(digests(&mut one), digests(&mut other));
    }

    #[test]
    fn repetition_does_not_matter(items in items()) {
        let (mut one, mut other) = (node(1), node(2));
        receive(&mut one, &items, 3);
        receive(&mut other, &items, 3);
        let changes = receive(&mut other, &items, 5);
        prop_assert!(!changes.iter().any(|output| matches!(output, Output::Changed(_))));
        prop_assert_eq!(content(&one), content(&other));
        prop_assert_eq!(digests(&mut one), digests(&mut other));
    }

    #[test]
    fn the_newest_stamp_wins(items in items()) {
        let mut one = node(1);
        receive(&mut one, &items, 4);
        for item in &items {
            let newest = items.iter().filter(|other| (other.kind, &other.key) == (item.kind, &item.key));
            let newest = newest.max_by_key(|other| other.stamp).filter(|newest| !newest.removed);
            prop_assert_eq!(one.get(item.kind, &item.key), newest);
        }
        let live = (0..3).map(|kind| one.items(Kind(kind)).count()).sum::<usize>();
        prop_assert_eq!(one.len(), live);
    }

    /// Whatever two nodes hold, a comparison makes them equal.
    #[test]
    fn comparing_makes_two_nodes_equal(here in items(), there in items()) {
        let (mut one, mut other) = (node(1), node(2));
        receive(&mut one, &here, 4);
        receive(&mut other, &there, 4);
        let (mut to_other, mut to_one) = (Vec::new(), Vec::new());
        one.set_peers(SECOND, &[gradepaddle_gossip::Peer { address: address(2), same_zone: true }]);
        other.set_peers(SECOND, &[gradepaddle_gossip::Peer { address: address(1), same_zone: true }]);
        // Items merged less than 100 ms ago are left out of repairs, so the comparison is run later.
        let mut now = 2 * SECOND;
        one.tick(now, &mut to_other);
        while !to_one.is_empty() || !to_other.is_empty() {
            now += 30_000;
            to_one = exchange(now, 1, std::mem::take(&mut to_other), &mut other);
            to_other = exchange(now, 2, std::mem::take(&mut to_one), &mut one);
        }
        prop_assert_eq!(content(&one), content(&other));
    }
}

/// Delivers one node's messages to the other and returns the replies.
fn exchange(now: u64, from: usize, sent: Vec<Output>, to: &mut Gossip) -> Vec<Output> {
    let mut out = Vec::new();
    for output in sent {
        if let Output::Send { message, .. } = output {
            to.receive(now, address(from), message, &mut out);
        }
    }
    out.retain(|output| matches!(output, Output::Send { .. }));
    out
}
