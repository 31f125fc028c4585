//! The gossip state machine of one node.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use fastrand::Rng;

use crate::acknowledgment::PendingAcknowledgment;
use crate::config::micros;
use crate::download::Downloads;
use crate::fetch::Fetches;
use crate::item_store::ItemStore;
use crate::peers::Peers;
use crate::push::PushQueue;
use crate::token_bucket::TokenBucket;
use crate::upload::Uploads;
use crate::{AgedItem, Counters, GossipConfig, Item, Kind, Message, Output, Peer, ReplicationFactor, Stamp};

/// The number of peers that a node compares with immediately when it gets its first peers.
const INITIAL_COMPARISONS: usize = 2;
/// Delay from these to the next comparison, in microseconds. It repairs what was in flight during the first ones.
const FOLLOW_UP_COMPARISON_DELAY_US: u64 = 200_000;
/// The approximate number of peers that compare with a new node per `digest_interval`, besides those that select it at
/// random.
const NEW_PEER_COMPARISONS_PER_INTERVAL: u64 = 4;

/// The gossip state machine of one node. `now` is always the time of this process's monotonic clock in microseconds.
#[derive(Debug)]
pub struct Gossip {
    pub(crate) config: GossipConfig,
    pub(crate) rng: Rng,
    pub(crate) peers: Peers,
    pub(crate) items: ItemStore,
    pub(crate) push_queue: PushQueue,
    pub(crate) fetches: Fetches,
    pub(crate) downloads: Downloads,
    pub(crate) uploads: Uploads,
    pub(crate) pending_acknowledgments: Vec<PendingAcknowledgment>,
    /// Whether this node is shutting down.
    pub(crate) shutting_down: bool,
    /// Peers that have reported that they are shutting down.
    pub(crate) shutting_down_peers: BTreeSet<SocketAddrV4>,
    pub(crate) repair_limiter: TokenBucket,
    pub(crate) counters: Counters,
    compare_at: u64,
    /// Scheduled comparisons with new peers.
    new_peer_comparisons: BTreeSet<(u64, SocketAddrV4)>,
}

impl Gossip {
    /// Creates a node without items or peers.
    pub fn new(config: GossipConfig, now: u64) -> Self {
        Self {
            rng: Rng::with_seed(config.seed),
            peers: Peers::new(config.address),
            items: ItemStore::new(config.tombstone_ttl),
            push_queue: PushQueue::default(),
            fetches: Fetches::new(config.fetch_timeout),
            downloads: Downloads::new(config.fetch_timeout),
            uploads: Uploads::default(),
            pending_acknowledgments: Vec::new(),
            shutting_down: false,
            shutting_down_peers: BTreeSet::new(),
            repair_limiter: TokenBucket::new(config.max_repair_bytes_per_second, now),
            counters: Counters::default(),
            compare_at: u64::MAX,
            new_peer_comparisons: BTreeSet::new(),
            config,
        }
    }

    /// Replaces the list of peers; an entry of this node itself is ignored. Resulting messages are sent by the next
    /// [`Gossip::tick`], for which [`Gossip::next_wake`] returns the time.
    pub fn set_peers(&mut self, now: u64, peers: &[Peer]) {
        let had_no_peers = self.peers.is_empty();
        let added = self.peers.replace(peers);
        self.shutting_down_peers.retain(|address| self.peers.contains(*address));
        self.new_peer_comparisons.retain(|(_, address)| self.peers.contains(*address));
        if self.peers.is_empty() {
            self.compare_at = u64::MAX;
        } else if had_no_peers {
            let first = self.peers.random(&mut self.rng, INITIAL_COMPARISONS, &[]);
            self.new_peer_comparisons.extend(first.into_iter().map(|address| (now, address)));
            self.compare_at = now + FOLLOW_UP_COMPARISON_DELAY_US;
        } else {
            self.schedule_new_peer_comparisons(now, added);
        }
    }

    /// Schedules comparisons with new peers, each at a random time, so that not all nodes contact a new one at once.
    fn schedule_new_peer_comparisons(&mut self, now: u64, added: Vec<SocketAddrV4>) {
        let interval = micros(self.config.digest_interval);
        let window = (interval * self.peers.len() as u64 / NEW_PEER_COMPARISONS_PER_INTERVAL).max(interval);
        for address in added {
            self.new_peer_comparisons.insert((now + self.rng.u64(0..=window), address));
        }
    }

    /// Starts a comparison with a node that need not be a peer. After a long network partition, the nodes of the two sides
    /// have dropped each other as peers; only this call reconnects them.
    pub fn compare_with(&mut self, node: SocketAddrV4, out: &mut Vec<Output>) {
        self.start_comparison(node, out);
    }

    /// Publishes an item. Returns whether it is newer than the known item of its name; otherwise it is discarded.
    pub fn publish(&mut self, now: u64, item: Item, out: &mut Vec<Output>) -> bool {
        let is_new = self.merge_own(now, &item, out);
        if is_new {
            self.end_download(now, &item.entry(), out);
            self.enqueue_push(item.entry().name(), Vec::new());
            self.flush(now, out);
        }
        is_new
    }

    /// Publishes an item and reports [`Output::Acknowledged`] once enough other nodes have it with this stamp or a higher
    /// one (immediately if there are no peers), or [`Output::AcknowledgmentFailed`] after `acknowledgment_timeout`. An item that
    /// is already known is acknowledged in the same way.
    pub fn publish_acknowledged(
        &mut self,
        now: u64,
        item: Item,
        publish_id: u64,
        replication: ReplicationFactor<'_>,
        out: &mut Vec<Output>,
    ) {
        let is_new = self.merge_own(now, &item, out);
        let pushed_to = self.request_acknowledgments(now, item.entry(), publish_id, replication, out);
        if is_new {
            self.enqueue_push(item.entry().name(), pushed_to);
            self.flush(now, out);
        }
    }

    /// Marks this node as shutting down: its acknowledgments from now on tell publishers that its copies will be lost.
    pub fn shut_down(&mut self) {
        self.shutting_down = true;
    }

    fn merge_own(&mut self, now: u64, item: &Item, out: &mut Vec<Output>) -> bool {
        let is_new = self.items.merge(now, &AgedItem { item: item.clone(), age_ms: 0 });
        if is_new {
            out.push(Output::Changed(item.clone()));
        }
        is_new
    }

    /// Handles a message from another node.
    pub fn receive(&mut self, now: u64, from: SocketAddrV4, message: Message, out: &mut Vec<Output>) {
        self.counters.messages_received += 1;
        self.counters.bytes_received += message.size() as u64;
        self.items.expire(now);
        match message {
            Message::Push { items, acknowledge, repair } => {
                self.handle_push(now, from, &items, acknowledge, repair, out);
            }
            Message::Offer { offers } => self.handle_offer(now, from, offers, out),
            Message::Fetch { entries, by_blocks } => self.handle_fetch(now, from, entries, by_blocks, out),
            Message::FetchBlock(request) => self.handle_fetch_block(now, from, request, out),
            Message::Block(block) => self.handle_block(now, from, &block, out),
            Message::BlockRefused(refusal) => self.handle_block_refusal(now, from, &refusal, out),
            Message::Digest { ranges, reply } => self.handle_digest(now, from, ranges, reply, out),
            Message::Entries { ranges } => self.handle_entries(now, from, ranges, out),
            Message::Acknowledge { entries, shutting_down } => {
                self.handle_acknowledgment(now, from, &entries, shutting_down, out);
            }
        }
    }

    /// Performs all actions that are due. Call it at [`Gossip::next_wake`]; calls at other times are harmless.
    pub fn tick(&mut self, now: u64, out: &mut Vec<Output>) {
        self.items.expire(now);
        self.flush(now, out);
        self.retry_fetches(now, out);
        self.retry_downloads(now, out);
        self.tick_acknowledgments(now, out);
        while self.new_peer_comparisons.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, peer)) = self.new_peer_comparisons.pop_first() else { break };
            self.start_comparison(peer, out);
        }
        if self.compare_at <= now {
            self.compare_at = now + self.jittered_digest_interval();
            self.uploads.prune(now, |(kind, key), stamp| self.items.holds_exactly(*kind, key, stamp));
            if let Some(partner) = self.peers.partner(&mut self.rng) {
                self.start_comparison(partner, out);
            }
        }
    }

    fn jittered_digest_interval(&mut self) -> u64 {
        let interval = micros(self.config.digest_interval);
        self.rng.u64(interval - interval / 4..=interval + interval / 4)
    }

    /// When [`Gossip::tick`] is due next; `u64::MAX` for never.
    pub fn next_wake(&self) -> u64 {
        let new_peer_comparison = self.new_peer_comparisons.first().map_or(u64::MAX, |(at, _)| *at);
        let due = [
            self.compare_at,
            new_peer_comparison,
            self.push_queue.next_due(),
            self.fetches.next_due(),
            self.downloads.next_due(),
            self.items.next_due(),
            self.next_acknowledgment_due(),
        ];
        due.into_iter().min().unwrap_or(u64::MAX)
    }

    /// Returns the item of this name; `None` if it is unknown or was removed.
    pub fn get(&self, kind: Kind, key: &str) -> Option<&Item> {
        self.items.get(kind, key).filter(|item| !item.removed)
    }

    /// Time since the publication of the item of this name or its tombstone, in microseconds, without its time in transit.
    pub fn age(&self, now: u64, kind: Kind, key: &str) -> Option<u64> {
        self.items.age(now, kind, key)
    }

    /// The highest known stamp of a name, including that of a tombstone. A new item must have a higher one.
    pub fn stamp(&self, kind: Kind, key: &str) -> Option<Stamp> {
        self.items.get(kind, key).map(|item| item.stamp)
    }

    /// The items of one kind in the order of their keys, without tombstones.
    pub fn items(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.items.items(kind)
    }

    /// The number of items, without tombstones.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no items besides tombstones.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    pub(crate) fn send(&mut self, to: SocketAddrV4, message: Message, out: &mut Vec<Output>) {
        self.counters.messages_sent += 1;
        self.counters.bytes_sent += message.size() as u64;
        out.push(Output::Send { to, message });
    }
}
