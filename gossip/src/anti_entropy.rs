//! Comparing with another node, and repairing what differs.
//!
//! A question carries the hashes of the 64 ranges of the first level. The other node goes on only where its own differ:
//! it sends all of a range that is empty at the asker, has a range sent that is empty here, lists a range with few
//! entries, and answers with the hashes of the 64 finer ranges of one with many. Listed ranges are repaired both ways.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::message::{item_size, range_entries_size};
use crate::push::chunks;
use crate::{Entry, Gossip, Kind, Message, Output, RangeDigest, RangeEntries, Stamp};

/// A range of the first level with more entries is compared by its finer ranges.
const LISTED_AT_MOST: usize = 32;
/// In one comparison, so many ranges of the first level are compared by their finer ones.
const DIVIDED_AT_MOST: usize = 16;
/// A repair of more items leaves out those that came so shortly before that they are likely on their way.
const SETTLING_US: u64 = 100_000;
/// Repairs of so few items leave nothing out.
const FEW_ITEMS: usize = 8;

/// What a node does about the ranges that differ.
#[derive(Default)]
struct Findings {
    answer: Vec<RangeDigest>,
    lists: Vec<RangeEntries>,
    lacking_there: Vec<Entry>,
    divided: usize,
}

impl Gossip {
    /// Begins a comparison.
    pub(crate) fn compare(&mut self, with: SocketAddrV4, out: &mut Vec<Output>) {
        self.counters.comparisons += 1;
        self.send(with, Message::Digest { ranges: self.replica.ranges().digests(), reply: true }, out);
    }

    /// Compares hashes with the own ones and goes on where they differ.
    pub(crate) fn receive_digest(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        mut ranges: Vec<RangeDigest>,
        reply: bool,
        out: &mut Vec<Output>,
    ) {
        if !ranges.is_empty() {
            let start = self.rng.usize(0..ranges.len());
            ranges.rotate_left(start);
        }
        let mut findings = Findings::default();
        for range in ranges {
            self.find(range, &mut findings);
        }
        if reply || !findings.answer.is_empty() {
            self.send(from, Message::Digest { ranges: findings.answer, reply: false }, out);
        }
        self.send_lists(now, from, findings.lists, out);
        self.repair(now, from, findings.lacking_there, out);
    }

    fn find(&self, theirs: RangeDigest, findings: &mut Findings) {
        let ranges = self.replica.ranges();
        let Some(own) = ranges.hash(theirs.index).filter(|own| *own != theirs.hash) else { return };
        if theirs.hash == 0 {
            findings.lacking_there.extend(ranges.entries(theirs.index).cloned());
        } else if own == 0 {
            findings.answer.push(RangeDigest { index: theirs.index, hash: own });
        } else if !ranges.is_divided_above(theirs.index, LISTED_AT_MOST) {
            let entries = ranges.entries(theirs.index).cloned().collect();
            findings.lists.push(RangeEntries { index: theirs.index, entries });
        } else if findings.divided < DIVIDED_AT_MOST {
            findings.divided += 1;
            findings.answer.extend(ranges.digests_within(theirs.index));
        }
    }

    /// Compares lists with the own entries: sends what is newer here, fetches what is newer there.
    pub(crate) fn receive_entries(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        ranges: Vec<RangeEntries>,
        out: &mut Vec<Output>,
    ) {
        let mut lacking_there = Vec::new();
        let mut lacking_here = Vec::new();
        for range in ranges {
            self.lacking_there(&range, &mut lacking_there);
            lacking_here.extend(range.entries.into_iter().filter(|entry| !self.is_held(entry)));
        }
        let few = lacking_here.len() <= FEW_ITEMS;
        self.fetch(now, from, lacking_here, few, out);
        self.repair(now, from, lacking_there, out);
    }

    /// What is newer here than in the list, or not in it.
    fn lacking_there(&self, theirs: &RangeEntries, lacking: &mut Vec<Entry>) {
        let listed: BTreeMap<(Kind, &str), Stamp> =
            theirs.entries.iter().map(|entry| ((entry.kind, &*entry.key), entry.stamp)).collect();
        let unlisted = |entry: &&Entry| !listed.contains_key(&(entry.kind, &*entry.key));
        lacking.extend(self.replica.ranges().entries(theirs.index).filter(unlisted).cloned());
        let held = theirs
            .entries
            .iter()
            .filter_map(|entry| Some((entry, self.replica.get(entry.kind, &entry.key)?)));
        lacking.extend(held.filter(|(entry, own)| own.stamp > entry.stamp).map(|(_, own)| own.entry()));
    }

    /// Sends what was fetched.
    pub(crate) fn receive_fetch(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        entries: Vec<Entry>,
        out: &mut Vec<Output>,
    ) {
        let mut items = Vec::new();
        for entry in entries {
            let aged = self.replica.aged(now, entry.kind, &entry.key);
            let Some(aged) = aged.filter(|aged| aged.item.stamp >= entry.stamp) else { continue };
            if self.may_repair(now, item_size(&aged.item)) {
                items.push(aged);
            }
        }
        self.counters.repairs += items.len() as u64;
        self.send_whole(from, items, true, out);
    }

    fn is_held(&self, entry: &Entry) -> bool {
        self.replica.holds(entry.kind, &entry.key, entry.stamp)
    }

    /// Sends what another node lacks.
    fn repair(&mut self, now: u64, to: SocketAddrV4, lacking: Vec<Entry>, out: &mut Vec<Output>) {
        let settled_at = now.saturating_sub(SETTLING_US);
        let few = lacking.len() <= FEW_ITEMS;
        let mut items = Vec::new();
        for entry in lacking {
            let is_on_its_way = !few && self.replica.is_taken_after(&entry, settled_at);
            let Some(aged) = self.replica.aged(now, entry.kind, &entry.key).filter(|_| !is_on_its_way) else {
                continue;
            };
            let is_offered = aged.item.payload.len() > self.config.offer_above;
            if self.may_repair(now, if is_offered { entry.key.len() } else { item_size(&aged.item) }) {
                items.push(aged);
            }
        }
        self.counters.repairs += items.len() as u64;
        self.send_items(to, items, true, out);
    }

    fn send_lists(&mut self, now: u64, to: SocketAddrV4, lists: Vec<RangeEntries>, out: &mut Vec<Output>) {
        for ranges in chunks(lists, self.config.max_bytes_per_message, range_entries_size) {
            let message = Message::Entries { ranges };
            if self.may_repair(now, message.size()) {
                self.send(to, message, out);
            }
        }
    }

    fn may_repair(&mut self, now: u64, bytes: usize) -> bool {
        let may = self.budget.spend(now, bytes);
        self.counters.repairs_put_off += u64::from(!may);
        may
    }
}
