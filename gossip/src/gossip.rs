//! The dissemination as its caller sees it.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use fastrand::Rng;

use crate::acknowledgment::Waiting;
use crate::budget::Budget;
use crate::config::micros;
use crate::fetch::Fetches;
use crate::peers::Peers;
use crate::push::Rumours;
use crate::replica::Replica;
use crate::{Aged, Counters, GossipConfig, Item, Kind, Message, Output, Peer, ReplicationFactor, Stamp};

/// With how many peers a node that had none compares at once.
const FIRST_COMPARISONS: usize = 2;
/// How long after these the next comparison follows (microseconds): it finds what was on its way during the first.
const SECOND_COMPARISON_US: u64 = 200_000;
/// How many of its peers compare with a new node in one `digest_every`, roughly, beside those that choose it anyway.
const INTRODUCTIONS_PER_DIGEST: u64 = 4;

/// One node's part in the dissemination. `now` is always the time of a steady clock in microseconds.
#[derive(Debug)]
pub struct Gossip {
    pub(crate) config: GossipConfig,
    pub(crate) rng: Rng,
    pub(crate) peers: Peers,
    pub(crate) replica: Replica,
    pub(crate) rumours: Rumours,
    pub(crate) fetches: Fetches,
    pub(crate) waiting: Vec<Waiting>,
    /// This node is about to end.
    pub(crate) leaving: bool,
    /// Peers that have said that they are about to end.
    pub(crate) leaving_peers: BTreeSet<SocketAddrV4>,
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
            replica: Replica::new(config.tombstone_for),
            rumours: Rumours::default(),
            fetches: Fetches::new(config.fetch_again_after),
            waiting: Vec::new(),
            leaving: false,
            leaving_peers: BTreeSet::new(),
            budget: Budget::new(config.max_repair_bytes_per_second, now),
            counters: Counters::default(),
            compare_at: u64::MAX,
            introductions: BTreeSet::new(),
            config,
        }
    }

    /// Takes the whole current list of other nodes (an own entry is passed over). What is to be done about it is done
    /// by the next [`Gossip::tick`], which [`Gossip::next_wake`] then asks for at once if needed.
    pub fn set_peers(&mut self, now: u64, peers: &[Peer]) {
        let was_alone = self.peers.is_empty();
        let added = self.peers.replace(peers);
        self.leaving_peers.retain(|address| self.peers.contains(*address));
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

    /// Compares with new peers soon, each at a random time, so that not all nodes come to a new one at once.
    fn introduce(&mut self, now: u64, added: Vec<SocketAddrV4>) {
        let every = micros(self.config.digest_every);
        let window = (every * self.peers.len() as u64 / INTRODUCTIONS_PER_DIGEST).max(every);
        for address in added {
            self.introductions.insert((now + self.rng.u64(0..=window), address));
        }
    }

    /// Compares with a node that need not be a peer. Two parts of a fleet that were cut off from each other for long have
    /// forgotten each other as peers, and come together again by this alone.
    pub fn compare_with(&mut self, node: SocketAddrV4, out: &mut Vec<Output>) {
        self.compare(node, out);
    }

    /// Publishes an own item. Returns whether it is newer than what was held; otherwise nothing happens.
    pub fn publish(&mut self, now: u64, item: Item, out: &mut Vec<Output>) -> bool {
        let is_new = self.take_own(now, &item, out);
        if is_new {
            self.pass_on(item.entry().name(), Vec::new());
            self.flush(now, out);
        }
        is_new
    }

    /// Publishes an own item and says [`Output::Acknowledged`] once as many other nodes as wanted hold it in this stamp or
    /// a newer one (at once where there are none); [`Output::AcknowledgmentFailed`] if that takes too long. An item that is held
    /// already is confirmed all the same.
    pub fn publish_acknowledged(
        &mut self,
        now: u64,
        item: Item,
        publish_id: u64,
        copies: ReplicationFactor<'_>,
        out: &mut Vec<Output>,
    ) {
        let is_new = self.take_own(now, &item, out);
        let asked = self.begin_confirmation(now, item.entry(), publish_id, copies, out);
        if is_new {
            self.pass_on(item.entry().name(), asked);
            self.flush(now, out);
        }
    }

    /// This node is about to end: its copies don't count for others from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    fn take_own(&mut self, now: u64, item: &Item, out: &mut Vec<Output>) -> bool {
        let is_new = self.replica.take(now, &Aged { item: item.clone(), age_ms: 0 });
        if is_new {
            out.push(Output::Changed(item.clone()));
        }
        is_new
    }

    /// Takes a message from another node.
    pub fn receive(&mut self, now: u64, from: SocketAddrV4, message: Message, out: &mut Vec<Output>) {
        self.counters.messages_received += 1;
        self.counters.bytes_received += message.size() as u64;
        self.replica.expire(now);
        match message {
            Message::Push { items, acknowledge, repair } => {
                self.receive_push(now, from, &items, (acknowledge, repair), out)
            }
            Message::Offer { entries } => self.receive_offer(now, from, entries, out),
            Message::Fetch { entries } => self.receive_fetch(now, from, entries, out),
            Message::Digest { ranges, reply } => self.receive_digest(now, from, ranges, reply, out),
            Message::Entries { ranges } => self.receive_entries(now, from, ranges, out),
            Message::Acknowledge { entries, leaving } => {
                self.receive_confirm(now, from, &entries, leaving, out)
            }
        }
    }

    /// Does what is due; to be called at [`Gossip::next_wake`], and harmless at any other time.
    pub fn tick(&mut self, now: u64, out: &mut Vec<Output>) {
        self.replica.expire(now);
        self.flush(now, out);
        self.fetch_again(now, out);
        self.tick_confirmations(now, out);
        while self.introductions.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, peer)) = self.introductions.pop_first() else { break };
            self.compare(peer, out);
        }
        if self.compare_at <= now {
            self.compare_at = now + self.jittered_digest_interval();
            if let Some(partner) = self.peers.partner(&mut self.rng) {
                self.compare(partner, out);
            }
        }
    }

    fn jittered_digest_interval(&mut self) -> u64 {
        let every = micros(self.config.digest_every);
        self.rng.u64(every - every / 4..=every + every / 4)
    }

    /// When [`Gossip::tick`] is to be called next; `u64::MAX` if there is nothing to wait for.
    pub fn next_wake(&self) -> u64 {
        let introduction = self.introductions.first().map_or(u64::MAX, |(at, _)| *at);
        let due = [
            self.compare_at,
            introduction,
            self.rumours.next_due(),
            self.fetches.next_due(),
            self.replica.next_due(),
            self.next_confirmation(),
        ];
        due.into_iter().min().unwrap_or(u64::MAX)
    }

    /// The item of this name; none if it was removed.
    pub fn get(&self, kind: Kind, key: &str) -> Option<&Item> {
        self.replica.get(kind, key).filter(|item| !item.removed)
    }

    /// How long ago (microseconds) the item of this name, or its tombstone, was published, without its time on the way.
    pub fn age(&self, now: u64, kind: Kind, key: &str) -> Option<u64> {
        self.replica.age(now, kind, key)
    }

    /// The newest stamp that is known of a name, that of a tombstone included: what is published must be above it.
    pub fn stamp(&self, kind: Kind, key: &str) -> Option<Stamp> {
        self.replica.get(kind, key).map(|item| item.stamp)
    }

    /// The items of one kind in the order of their keys, without removed ones.
    pub fn items(&self, kind: Kind) -> impl Iterator<Item = &Item> {
        self.replica.items(kind)
    }

    /// How many items are held, without removed ones.
    pub fn len(&self) -> usize {
        self.replica.len()
    }

    /// Whether no items are held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What was sent, received and taken in so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    pub(crate) fn send(&mut self, to: SocketAddrV4, message: Message, out: &mut Vec<Output>) {
        self.counters.messages_sent += 1;
        self.counters.bytes_sent += message.size() as u64;
        out.push(Output::Send { to, message });
    }
}
