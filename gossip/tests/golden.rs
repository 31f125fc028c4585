//! The range hashes and estimated message sizes of fixed items. Nodes of two builds can compare ranges only if both
//! compute the same hashes.

mod simulation;

use std::sync::Arc;

use googletest::prelude::*;
use gradepaddle_gossip::{
    AgedItem, Gossip, GossipConfig, Item, Kind, Message, Output, RangeDigest, RangeEntries, Stamp,
};
use simulation::{address, whole_offer};

fn item(kind: u8, key: &str, major: u64, minor: u64) -> Item {
    let stamp = Stamp { major, minor };
    Item { kind: Kind(kind), key: key.into(), stamp, payload: Arc::from(*b"payload"), removed: false }
}

/// A node that has published items.
fn node(items: impl IntoIterator<Item = Item>) -> Gossip {
    let mut node = Gossip::new(GossipConfig::builder().address(address(0)).seed(5).build(), 0);
    for item in items {
        node.publish(0, item, &mut Vec::new());
    }
    node
}

/// The digests of the digest message in an output: (index, hash).
fn digests(out: Vec<Output>) -> Vec<(u16, u64)> {
    let messages = out.into_iter().filter_map(|output| match output {
        Output::Send { message: Message::Digest { ranges, .. }, .. } => Some(ranges),
        _ => None,
    });
    messages.flatten().map(|range| (range.index, range.hash)).collect()
}

#[gtest]
fn the_hashes_of_a_few_items_stay_the_same() {
    let few = [item(1, "server-1", 1, 0), item(2, "server-1", u64::MAX, 7), item(255, "", 0, 0)];
    let mut out = Vec::new();
    node(few).compare_with(address(1), &mut out);
    let ranges = digests(out);
    expect_that!(
        ranges.iter().map(|(index, _)| *index).collect::<Vec<_>>(),
        eq(&(0..64).collect::<Vec<_>>())
    );
    let filled: Vec<(u16, u64)> = ranges.into_iter().filter(|(_, hash)| *hash != 0).collect();
    expect_that!(
        filled,
        eq(&[(29, 0xa0c5_f5d4_28c4_3c54), (35, 0x9f3d_58e3_128d_09bd), (56, 0x718f_208b_5d19_5434)])
    );
}

#[gtest]
fn the_hashes_of_finer_ranges_stay_the_same() {
    let mut node = node((0..4000).map(|number| item(3, &format!("key-{number}"), number, 1)));
    let question = Message::Digest { ranges: vec![RangeDigest { index: 7, hash: 1 }], reply: true };
    let mut out = Vec::new();
    node.receive(0, address(1), question, &mut out);
    let finer = digests(out);
    let indices: Vec<u16> = finer.iter().map(|(index, _)| *index).collect();
    expect_that!(indices, eq(&(512..576).collect::<Vec<_>>()));
    let filled = finer.iter().filter(|(_, hash)| *hash != 0);
    expect_that!(
        filled.copied().take(3).collect::<Vec<_>>(),
        eq(&[(515, 0xf123_7f53_31a2_dea2), (516, 0xe7eb_06c4_b789_7c88), (517, 0xa036_345d_eccb_a454)])
    );
    let all = finer.iter().fold(0_u64, |sum, (index, hash)| {
        sum.wrapping_mul(31).wrapping_add(u64::from(*index)).wrapping_add(*hash)
    });
    expect_that!(all, eq(17_308_311_688_375_916_100));
}

#[gtest]
fn the_estimated_message_sizes_stay_the_same() {
    let item = item(1, "server-1", 1, 0);
    let entry = item.entry();
    let items = vec![AgedItem { item: item.clone(), age_ms: 5 }, AgedItem { item, age_ms: 0 }];
    let digest = RangeDigest { index: 4159, hash: u64::MAX };
    let ranges = vec![RangeEntries { index: 3, entries: vec![entry.clone(), entry.clone()] }];
    let entries = vec![entry];
    let sizes = [
        Message::Push { items, acknowledge: true, repair: false }.size(),
        whole_offer(&entries).size(),
        Message::Fetch { entries: entries.clone(), by_blocks: true }.size(),
        Message::Digest { ranges: vec![digest; 3], reply: true }.size(),
        Message::Entries { ranges }.size(),
        Message::Acknowledge { entries, shutting_down: false }.size(),
    ];
    expect_that!(sizes, eq([102, 44, 44, 46, 77, 44]));
}
