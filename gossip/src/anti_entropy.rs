//! Anti-entropy: two nodes compare hashes over ranges of keys and repair the differences (Demers et al., "Epidemic
//! Algorithms for Replicated Database Maintenance", PODC 1987, section 1.3).
//!
//! The initiator sends the hashes of the 64 first-level ranges. For each range whose hash differs, the responder:
//!
//! - sends all items of the range if it is empty at the initiator;
//! - requests the range by answering with a hash of 0 if it is empty at the responder;
//! - lists the entries of the range if there are few, and both nodes send each other the newer items;
//! - answers with the hashes of the 64 finer ranges if there are many.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::message::{batches, item_size, range_entries_size};
use crate::{Entry, Gossip, Kind, Message, Output, RangeDigest, RangeEntries, Stamp};

/// A first-level range with more entries than this is compared by its finer ranges.
const MAX_LISTED_ENTRIES: usize = 32;
/// The most first-level ranges that one comparison divides into their finer ranges.
const MAX_SUBDIVIDED_RANGES: usize = 16;
/// A repair of more than [`SMALL_REPAIR_ITEMS`] leaves out items that were merged within this time, in microseconds: the
/// push that delivered them here is likely in flight to the other node as well.
const IN_FLIGHT_US: u64 = 100_000;
/// A repair of at most this many items includes those that were merged recently.
const SMALL_REPAIR_ITEMS: usize = 8;

/// The differences between the ranges of a remote node and those of this node.
#[derive(Default)]
struct Differences {
    /// Digests to reply with.
    reply_ranges: Vec<RangeDigest>,
    /// Ranges to compare entry by entry.
    entry_lists: Vec<RangeEntries>,
    /// Entries of ranges that are empty at the remote node.
    missing_there: Vec<Entry>,
    /// The number of first-level ranges that are compared by their finer ranges.
    subdivided: usize,
}

impl Gossip {
    /// Starts a comparison by sending the hashes of this node's first-level ranges.
    pub(crate) fn start_comparison(&mut self, with: SocketAddrV4, out: &mut Vec<Output>) {
        self.counters.comparisons += 1;
        self.send(with, Message::Digest { ranges: self.items.ranges().digests(), reply: true }, out);
    }

    /// Compares the hashes of a remote node with the local ones, and sends what the differences require.
    pub(crate) fn handle_digest(
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
        let mut differences = Differences::default();
        for range in ranges {
            self.compare_range(range, &mut differences);
        }
        if reply || !differences.reply_ranges.is_empty() {
            self.send(from, Message::Digest { ranges: differences.reply_ranges, reply: false }, out);
        }
        self.send_lists(now, from, differences.entry_lists, out);
        self.repair(now, from, differences.missing_there, out);
    }

    fn compare_range(&self, remote: RangeDigest, differences: &mut Differences) {
        let ranges = self.items.ranges();
        let Some(local) = ranges.hash(remote.index).filter(|local| *local != remote.hash) else { return };
        if remote.hash == 0 {
            differences.missing_there.extend(ranges.entries(remote.index).cloned());
        } else if local == 0 {
            differences.reply_ranges.push(RangeDigest { index: remote.index, hash: local });
        } else if !ranges.is_top_range_larger_than(remote.index, MAX_LISTED_ENTRIES) {
            let entries = ranges.entries(remote.index).cloned().collect();
            differences.entry_lists.push(RangeEntries { index: remote.index, entries });
        } else if differences.subdivided < MAX_SUBDIVIDED_RANGES {
            differences.subdivided += 1;
            differences.reply_ranges.extend(ranges.digests_within(remote.index));
        }
    }

    /// Compares listed entries with the local ones: sends items that are newer here, and fetches those that are newer there.
    pub(crate) fn handle_entries(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        ranges: Vec<RangeEntries>,
        out: &mut Vec<Output>,
    ) {
        let mut missing_there = Vec::new();
        let mut missing_here = Vec::new();
        for range in ranges {
            self.missing_there(&range, &mut missing_there);
            missing_here.extend(range.entries.into_iter().filter(|entry| !self.is_known(entry)));
        }
        let is_small_repair = missing_here.len() <= SMALL_REPAIR_ITEMS;
        self.fetch(now, from, missing_here, is_small_repair, out);
        self.repair(now, from, missing_there, out);
    }

    /// Collects entries that are newer here than in the list, or missing from it.
    fn missing_there(&self, remote: &RangeEntries, missing: &mut Vec<Entry>) {
        let listed: BTreeMap<(Kind, &str), Stamp> =
            remote.entries.iter().map(|entry| ((entry.kind, &*entry.key), entry.stamp)).collect();
        let unlisted = |entry: &&Entry| !listed.contains_key(&(entry.kind, &*entry.key));
        missing.extend(self.items.ranges().entries(remote.index).filter(unlisted).cloned());
        let known =
            remote.entries.iter().filter_map(|entry| Some((entry, self.items.get(entry.kind, &entry.key)?)));
        missing
            .extend(known.filter(|(entry, local)| local.stamp > entry.stamp).map(|(_, local)| local.entry()));
    }

    /// Sends items that another node requested.
    pub(crate) fn handle_fetch(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        entries: Vec<Entry>,
        by_blocks: bool,
        out: &mut Vec<Output>,
    ) {
        let mut items = Vec::new();
        for entry in entries {
            let aged = self.items.aged(now, entry.kind, &entry.key);
            let Some(aged) = aged.filter(|aged| aged.item.stamp >= entry.stamp) else {
                self.register_whole_item_request(from, &entry, by_blocks);
                continue;
            };
            let is_offered = by_blocks && self.is_large(&aged.item);
            if self.try_spend_repair_budget(
                now,
                if is_offered { entry.key.len() } else { item_size(&aged.item) },
            ) {
                items.push(aged);
            }
        }
        self.counters.repairs += items.len() as u64;
        if by_blocks {
            self.send_items(now, from, items, true, out);
        } else {
            self.send_push(from, items, true, out);
        }
    }

    /// Registers a node without block transfer to be sent an item once its download completes here.
    fn register_whole_item_request(&mut self, to: SocketAddrV4, entry: &Entry, by_blocks: bool) {
        if let Some(download) = self.downloads.get_mut(entry).filter(|_| !by_blocks)
            && !download.whole_item_waiters.contains(&to)
        {
            download.whole_item_waiters.push(to);
        }
    }

    fn is_known(&self, entry: &Entry) -> bool {
        self.items.holds(entry.kind, &entry.key, entry.stamp)
    }

    /// Sends items that another node lacks, within the rate limit of repairs.
    fn repair(&mut self, now: u64, to: SocketAddrV4, missing: Vec<Entry>, out: &mut Vec<Output>) {
        let in_flight_since = now.saturating_sub(IN_FLIGHT_US);
        let is_small_repair = missing.len() <= SMALL_REPAIR_ITEMS;
        let mut items = Vec::new();
        for entry in missing {
            let is_in_flight = !is_small_repair && self.items.is_merged_after(&entry, in_flight_since);
            let Some(aged) = self.items.aged(now, entry.kind, &entry.key).filter(|_| !is_in_flight) else {
                continue;
            };
            let is_offered = self.is_large(&aged.item);
            if self.try_spend_repair_budget(
                now,
                if is_offered { entry.key.len() } else { item_size(&aged.item) },
            ) {
                items.push(aged);
            }
        }
        self.counters.repairs += items.len() as u64;
        self.send_items(now, to, items, true, out);
    }

    fn send_lists(
        &mut self,
        now: u64,
        to: SocketAddrV4,
        entry_lists: Vec<RangeEntries>,
        out: &mut Vec<Output>,
    ) {
        for ranges in batches(entry_lists, self.config.max_bytes_per_message, range_entries_size) {
            let message = Message::Entries { ranges };
            if self.try_spend_repair_budget(now, message.size()) {
                self.send(to, message, out);
            }
        }
    }

    fn try_spend_repair_budget(&mut self, now: u64, bytes: usize) -> bool {
        let allowed = self.repair_limiter.try_consume(now, bytes);
        self.counters.repairs_deferred += u64::from(!allowed);
        allowed
    }
}
