//! The state machine of one node, as its caller drives it.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use fastrand::Rng;

use crate::acknowledgment::PendingAcknowledgment;
use crate::budget::Budget;
use crate::config::micros;
use crate::download::Downloads;
use crate::fetch::Fetches;
use crate::item_store::ItemStore;
use crate::peers::Peers;
use crate::push::PushQueue;
use crate::upload::Uploads;
use crate::{AgedItem, Counters, GossipConfig, Item, Kind, Message, Output, Peer, ReplicationFactor, Stamp};

/// With how many peers a node that had none compares immediately.
const FIRST_COMPARISONS: usize = 2;
/// How long after these the next comparison follows, in microseconds: it finds what was in flight during the first ones.
const SECOND_COMPARISON_US: u64 = 200_000;
/// About how many peers compare with a new node in one `digest_interval`, beside those that choose it at random.
const INTRODUCTIONS_PER_DIGEST: u64 = 4;

/// One node of the gossip. `now` is always the time of this process's monotonic clock in microseconds.
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
    /// This node is shutting down.
    pub(crate) shutting_down: bool,
    /// Peers that have reported that they are shutting down.
    pub(crate) shutting_down_peers: BTreeSet<SocketAddrV4>,
    pub(crate) budget: Budget,
    pub(crate) counters: Counters,
    compare_at: u64,
    /// When to compare with new peers.
    introductions: BTreeSet<(u64, SocketAddrV4)>,
}

impl Gossip {
    /// A node without items or peers.
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
            budget: Budget::new(config.max_repair_bytes_per_second, now),
            counters: Counters::default(),
            compare_at: u64::MAX,
            introductions: BTreeSet::new(),
            config,
        }
    }

    /// Replaces the list of peers; an entry of this node itself is ignored. The messages that follow from it are sent by the
    /// next [`Gossip::tick`], which [`Gossip::next_wake`] then asks for.
    pub fn set_peers(&mut self, now: u64, peers: &[Peer]) {
        let was_alone = self.peers.is_empty();
        let added = self.peers.replace(peers);
        self.shutting_down_peers.retain(|address| self.peers.contains(*address));
        self.introductions.retain(|(_, address)| self.peers.contains(*address));
        if self.peers.is_empty() {
            self.compare_at = u64::MAX;
        } else if was_alone {
            let first = self.peers.random(&mut self.rng, FIRST_COMPARISONS, &[]);
            self.introductions.extend(first.into_iter().map(|address| (now, address)));
            self.compare_at = now + SECOND_COMPARISON_US;
        } else {
            self.introduce(now, added);
        }
    }

    /// Schedules comparisons with new peers, each at a random time, so that a new node isn't visited by all others at once.
    fn introduce(&mut self, now: u64, added: Vec<SocketAddrV4>) {
        let every = micros(self.config.digest_interval);
        let window = (every * self.peers.len() as u64 / INTRODUCTIONS_PER_DIGEST).max(every);
        for address in added {
            self.introductions.insert((now + self.rng.u64(0..=window), address));
        }
    }

    /// Compares with a node that need not be a peer. After a long network partition, the two sides no longer have each other
    /// as peers; only this brings them together.
    pub fn compare_with(&mut self, node: SocketAddrV4, out: &mut Vec<Output>) {
        self.start_comparison(node, out);
    }

    /// Publishes an item. Returns whether it is newer than the known one of its name; otherwise nothing happens.
    pub fn publish(&mut self, now: u64, item: Item, out: &mut Vec<Output>) -> bool {
        let is_new = self.merge_own(now, &item, out);
        if is_new {
            self.end_download(now, &item.entry(), out);
            self.enqueue_push(item.entry().name(), Vec::new());
            self.flush(now, out);
        }
        is_new
    }

    /// Publishes an item and reports [`Output::Acknowledged`] once as many other nodes as wanted have it in this stamp or a
    /// newer one (immediately where there are none), or [`Output::AcknowledgmentFailed`] after `acknowledgment_timeout`. An
    /// item that is known already is acknowledged in the same way.
    pub fn publish_acknowledged(
        &mut self,
        now: u64,
        item: Item,
        publish_id: u64,
        replication: ReplicationFactor<'_>,
        out: &mut Vec<Output>,
    ) {
        let is_new = self.merge_own(now, &item, out);
        let asked = self.request_acknowledgments(now, item.entry(), publish_id, replication, out);
        if is_new {
            self.enqueue_push(item.entry().name(), asked);
            self.flush(now, out);
        }
    }

    /// This node shuts down: from now on its copies don't count for publishers that wait for acknowledgments.
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

    /// Does what is due. To be called at [`Gossip::next_wake`]; harmless at any other time.
    pub fn tick(&mut self, now: u64, out: &mut Vec<Output>) {
        self.items.expire(now);
        self.flush(now, out);
        self.retry_fetches(now, out);
        self.retry_downloads(now, out);
        self.tick_acknowledgments(now, out);
        while self.introductions.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, peer)) = self.introductions.pop_first() else { break };
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
        let every = micros(self.config.digest_interval);
        self.rng.u64(every - every / 4..=every + every / 4)
    }

    /// When [`Gossip::tick`] is due next; `u64::MAX` for never.
    pub fn next_wake(&self) -> u64 {
        let introduction = self.introductions.first().map_or(u64::MAX, |(at, _)| *at);
        let due = [
            self.compare_at,
            introduction,
            self.push_queue.next_due(),
            self.fetches.next_due(),
            self.downloads.next_due(),
            self.items.next_due(),
            self.next_acknowledgment_due(),
        ];
        due.into_iter().min().unwrap_or(u64::MAX)
    }

    /// The item of this name; none if it was removed.
    pub fn get(&self, kind: Kind, key: &str) -> Option<&Item> {
        self.items.get(kind, key).filter(|item| !item.removed)
    }

    /// Time since the publication of the item of this name or its tombstone, in microseconds, without its time in transit.
    pub fn age(&self, now: u64, kind: Kind, key: &str) -> Option<u64> {
        self.items.age(now, kind, key)
    }

    /// The highest known stamp of a name, that of a tombstone included. An item must have a higher one to be published.
    pub fn stamp(&self, kind: Kind, key: &str) -> Option<Stamp> {
        self.items.get(kind, key).map(|item| item.stamp)
    }

    /// The items of one kind in the order of their keys, without removed ones.
    pub fn items(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.items.items(kind)
    }

    /// The number of items, without removed ones.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no items but removed ones.
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
