//! Rumor mongering: new items are pushed to a few peers, several in one message (Demers et al., PODC 1987, section 1.4).
//!
//! A new item is pushed to the next node on the ring of addresses and to random other nodes. The ring alone would reach
//! every node, but slowly; random targets alone reach nearly every node fast. The combination reaches every node fast as
//! long as no message is lost.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::config::micros;
use crate::fetch::{CompletedFetch, fetch_event};
use crate::item::Name;
use crate::message::{batches, item_size, offer_size};
use crate::{AgedItem, Entry, FetchStep, Gossip, Item, Message, Output};

/// A repair of at most this many items is forwarded. Larger repairs fill an empty node or follow a network partition, and
/// the other nodes run comparisons of their own.
const MAX_FORWARDED_REPAIRS: usize = 8;

/// New items to be pushed, batched for `batch_interval`.
#[derive(Debug, Default)]
pub(crate) struct PushQueue {
    /// The items, each with the nodes that are known to have it.
    known_by: BTreeMap<Name, Vec<SocketAddrV4>>,
    flush_at: Option<u64>,
    flushed_at: Option<u64>,
}

impl PushQueue {
    /// Records that a node has an item, so that the item, if queued, isn't pushed to it.
    pub(crate) fn mark_known_by(&mut self, name: Name, node: SocketAddrV4) {
        if !self.known_by.is_empty()
            && let Some(known_by) = self.known_by.get_mut(&name)
        {
            known_by.push(node);
        }
    }

    /// When the queue is flushed next; `u64::MAX` for never.
    pub(crate) fn next_due(&self) -> u64 {
        self.flush_at.unwrap_or(u64::MAX)
    }

    /// The nodes that are known to have all queued items.
    fn known_by_all(&self) -> Vec<SocketAddrV4> {
        let mut all = self.known_by.values();
        let mut known_by_all = all.next().cloned().unwrap_or_default();
        for known_by in all {
            known_by_all.retain(|node| known_by.contains(node));
        }
        known_by_all
    }
}

/// An item of a push that was newer than the known one.
struct Accepted {
    name: Name,
    /// Whether to forward the item if it was fetched; `None` if it was not.
    forward_fetched: Option<bool>,
}

impl Gossip {
    /// Queues a new item. Without peers it is not queued; comparisons with later peers find the item.
    pub(crate) fn enqueue_push(&mut self, name: Name, known_by: Vec<SocketAddrV4>) {
        if !self.peers.is_empty() {
            self.push_queue.known_by.insert(name, known_by);
        }
    }

    /// Pushes queued items, now or once `batch_interval` has passed since the last push.
    pub(crate) fn flush(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.push_queue.known_by.is_empty() {
            self.push_queue.flush_at = None;
            return;
        }
        let batch_interval = micros(self.config.batch_interval);
        let due = self.push_queue.flushed_at.map_or(now, |flushed_at| flushed_at + batch_interval);
        if now < due {
            self.push_queue.flush_at = Some(due);
            return;
        }
        self.push_queue.flush_at = None;
        self.push_queue.flushed_at = Some(now);
        self.push_all(now, out);
    }

    fn push_all(&mut self, now: u64, out: &mut Vec<Output>) {
        let targets = self.peers.targets(&mut self.rng, self.config.fanout, &self.push_queue.known_by_all());
        let known_by = std::mem::take(&mut self.push_queue.known_by);
        for target in targets {
            let lacking = known_by.iter().filter(|(_, nodes)| !nodes.contains(&target));
            let items = lacking.filter_map(|((kind, key), _)| self.items.aged(now, *kind, key)).collect();
            self.send_items(now, target, items, false, out);
        }
    }

    /// Whether an item is offered instead of pushed.
    pub(crate) fn is_large(&self, item: &Item) -> bool {
        item.payload.len() > self.config.offer_threshold_bytes
    }

    /// Sends items: small ones with their payload, large ones as an offer.
    pub(crate) fn send_items(
        &mut self,
        now: u64,
        to: SocketAddrV4,
        items: Vec<AgedItem>,
        repair: bool,
        out: &mut Vec<Output>,
    ) {
        let (large, small): (Vec<AgedItem>, Vec<AgedItem>) =
            items.into_iter().partition(|aged| self.is_large(&aged.item));
        self.send_push(to, small, repair, out);
        let offers = large.iter().map(|aged| self.offer(now, aged)).collect();
        for offers in batches(offers, self.config.max_bytes_per_message, offer_size) {
            self.send(to, Message::Offer { offers }, out);
        }
    }

    /// Sends items with their payload, in messages of bounded size.
    pub(crate) fn send_push(
        &mut self,
        to: SocketAddrV4,
        items: Vec<AgedItem>,
        repair: bool,
        out: &mut Vec<Output>,
    ) {
        for items in batches(items, self.config.max_bytes_per_message, |aged| item_size(&aged.item)) {
            self.send(to, Message::Push { items, acknowledge: false, repair }, out);
        }
    }

    /// Merges items, acknowledges them if requested, and queues new ones to be forwarded.
    pub(crate) fn handle_push(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        items: &[AgedItem],
        acknowledge: bool,
        repair: bool,
        out: &mut Vec<Output>,
    ) {
        let accepted: Vec<Accepted> =
            items.iter().filter_map(|aged| self.merge_from(now, from, aged, out)).collect();
        if acknowledge {
            let entries = items.iter().map(|aged| aged.item.entry());
            let entries =
                entries.filter(|entry| self.items.holds(entry.kind, &entry.key, entry.stamp)).collect();
            self.send(from, Message::Acknowledge { entries, shutting_down: self.shutting_down }, out);
        }
        if repair {
            self.send_newer_tombstones(now, from, items.iter().map(|aged| aged.item.entry()), out);
        }
        let is_small_batch = accepted.len() <= MAX_FORWARDED_REPAIRS;
        for Accepted { name, forward_fetched } in accepted {
            if forward_fetched.unwrap_or(is_small_batch || !repair) {
                self.enqueue_push(name, vec![from]);
            }
        }
        self.flush(now, out);
    }

    /// Merges an item from another node. `None` if it was not new.
    fn merge_from(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        aged: &AgedItem,
        out: &mut Vec<Output>,
    ) -> Option<Accepted> {
        let entry = aged.item.entry();
        let fetch = self.fetches.complete(&entry);
        if let Some(CompletedFetch { started_at, attempts, .. }) = fetch {
            let elapsed = now.saturating_sub(started_at);
            out.push(fetch_event(entry.clone(), from, FetchStep::Completed { elapsed, attempts }));
        }
        let forward_fetched = fetch.map(|fetch| fetch.forward);
        if self.items.merge(now, aged) {
            self.counters.items_accepted += 1;
            out.push(Output::Changed(aged.item.clone()));
            self.end_download(now, &entry, out);
            return Some(Accepted { name: entry.name(), forward_fetched });
        }
        self.counters.items_duplicate += 1;
        if self.items.get(entry.kind, &entry.key).is_some_and(|item| item.stamp == entry.stamp) {
            self.push_queue.mark_known_by(entry.name(), from);
        }
        None
    }

    /// Sends a node the tombstones, including dormant ones, that are newer than its entries.
    pub(crate) fn send_newer_tombstones(
        &mut self,
        now: u64,
        to: SocketAddrV4,
        entries: impl Iterator<Item = Entry>,
        out: &mut Vec<Output>,
    ) {
        let known = entries.filter_map(|entry| Some((entry.stamp, self.items.get(entry.kind, &entry.key)?)));
        let newer = known.filter(|(stamp, local)| local.removed && local.stamp > *stamp);
        let items = newer.filter_map(|(_, local)| self.items.aged(now, local.kind, &local.key)).collect();
        self.send_push(to, items, true, out);
    }
}
