//! Fetches of items that other nodes have offered or listed. Each item is fetched from one node at a time.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::config::micros;
use crate::item::Name;
use crate::message::{batches, entry_size};
use crate::{Entry, FetchEvent, FetchStep, Gossip, Message, Offer, Output, Stamp};

/// The most alternative sources that are kept for a fetch.
const MAX_ALTERNATIVES: usize = 8;

/// The fetch of one item.
#[derive(Debug)]
struct Fetch {
    stamp: Stamp,
    source: SocketAddrV4,
    alternatives: Vec<SocketAddrV4>,
    deadline: u64,
    forward: bool,
    started_at: u64,
    attempts: u32,
}

/// A fetch whose item has arrived.
#[derive(Clone, Copy)]
pub(crate) struct CompletedFetch {
    /// Whether to push the item to further peers.
    pub forward: bool,
    pub started_at: u64,
    pub attempts: u32,
}

/// Fetches that have timed out.
#[derive(Default)]
pub(crate) struct OverdueFetches {
    /// Items by the next node to request them from.
    retries: BTreeMap<SocketAddrV4, Vec<Entry>>,
    /// Items without an alternative source, with the node that they were last requested from.
    abandoned: Vec<(SocketAddrV4, Entry)>,
}

/// All fetches that are in flight.
#[derive(Debug)]
pub(crate) struct Fetches {
    timeout: u64,
    by_name: BTreeMap<Name, Fetch>,
    /// Deadlines in ascending order. Some belong to fetches that have completed.
    deadlines: VecDeque<(u64, Name)>,
}

impl Fetches {
    pub(crate) fn new(timeout: Duration) -> Self {
        Self { timeout: micros(timeout), by_name: BTreeMap::new(), deadlines: VecDeque::new() }
    }

    /// Registers that a node has an item that is missing here. Returns whether to fetch it from that node now; if a fetch is
    /// in flight already, the node becomes an alternative source. `forward`: whether to push the item to further peers
    /// when it arrives.
    pub(crate) fn request(&mut self, now: u64, from: SocketAddrV4, entry: &Entry, forward: bool) -> bool {
        if let Some(fetch) = self.by_name.get_mut(&entry.name()).filter(|fetch| fetch.stamp >= entry.stamp) {
            fetch.forward |= forward;
            if fetch.stamp == entry.stamp {
                fetch.add_alternative(from);
            }
            return false;
        }
        let fetch = Fetch {
            stamp: entry.stamp,
            source: from,
            alternatives: Vec::new(),
            deadline: 0,
            forward,
            started_at: now,
            attempts: 0,
        };
        self.start(now, entry.name(), fetch);
        true
    }

    /// Ends the fetch of an item that has arrived, and returns it if there was one.
    pub(crate) fn complete(&mut self, entry: &Entry) -> Option<CompletedFetch> {
        let name = entry.name();
        if self.by_name.get(&name)?.stamp > entry.stamp {
            return None;
        }
        let Fetch { forward, started_at, attempts, .. } = self.by_name.remove(&name)?;
        self.drop_completed_deadlines();
        Some(CompletedFetch { forward, started_at, attempts })
    }

    /// Returns the fetches that have timed out. Those without an alternative source are abandoned.
    pub(crate) fn overdue(&mut self, now: u64) -> OverdueFetches {
        let mut overdue = OverdueFetches::default();
        while self.next_due() <= now {
            let Some((_, name)) = self.deadlines.pop_front() else { break };
            let Some(mut fetch) = self.by_name.remove(&name) else { continue };
            if fetch.deadline > now {
                self.by_name.insert(name, fetch);
                continue;
            }
            let (kind, key) = name.clone();
            let entry = Entry { kind, key, stamp: fetch.stamp };
            if let Some(next) = fetch.alternatives.pop() {
                fetch.source = next;
                overdue.retries.entry(next).or_default().push(entry);
                self.start(now, name, fetch);
            } else {
                overdue.abandoned.push((fetch.source, entry));
            }
        }
        overdue
    }

    /// When the next fetch may time out; `u64::MAX` for never.
    pub(crate) fn next_due(&self) -> u64 {
        self.deadlines.front().map_or(u64::MAX, |(deadline, _)| *deadline)
    }

    fn start(&mut self, now: u64, name: Name, mut fetch: Fetch) {
        fetch.deadline = now + self.timeout;
        fetch.attempts += 1;
        self.deadlines.push_back((fetch.deadline, name.clone()));
        self.by_name.insert(name, fetch);
    }

    fn drop_completed_deadlines(&mut self) {
        while self.deadlines.front().is_some_and(|(_, name)| !self.by_name.contains_key(name)) {
            self.deadlines.pop_front();
        }
    }
}

impl Fetch {
    fn add_alternative(&mut self, source: SocketAddrV4) {
        let is_known = source == self.source || self.alternatives.contains(&source);
        if !is_known && self.alternatives.len() < MAX_ALTERNATIVES {
            self.alternatives.push(source);
        }
    }
}

impl Gossip {
    /// Fetches offered items that are missing here, by blocks if the offer names the encoding.
    pub(crate) fn handle_offer(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        offers: Vec<Offer>,
        out: &mut Vec<Output>,
    ) {
        for Offer { entry, .. } in &offers {
            if self.items.holds_exactly(entry.kind, &entry.key, entry.stamp) {
                self.push_queue.mark_known_by(entry.name(), from);
            }
        }
        self.send_newer_tombstones(now, from, offers.iter().map(|offer| offer.entry.clone()), out);
        let (by_blocks, whole): (Vec<Offer>, Vec<Offer>) =
            offers.into_iter().partition(|offer| offer.encoding.is_some());
        for offer in by_blocks {
            let pending_fetch = self.fetches.complete(&offer.entry);
            let forward = pending_fetch.is_none_or(|fetch| fetch.forward);
            self.download(now, &offer, &[from], forward, out);
        }
        self.fetch(now, from, whole.into_iter().map(|offer| offer.entry).collect(), true, out);
    }

    /// Fetches the items that are missing here from a node that has them.
    pub(crate) fn fetch(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        entries: Vec<Entry>,
        forward: bool,
        out: &mut Vec<Output>,
    ) {
        let missing = entries.into_iter().filter(|entry| {
            !self.items.holds(entry.kind, &entry.key, entry.stamp) && !self.downloads.add_source(entry, from)
        });
        let wanted = missing.filter(|entry| self.fetches.request(now, from, entry, forward)).collect();
        self.send_fetch(from, wanted, FetchStep::Started, out);
    }

    /// Requests items whose fetch has timed out from other nodes.
    pub(crate) fn retry_fetches(&mut self, now: u64, out: &mut Vec<Output>) {
        let overdue = self.fetches.overdue(now);
        for (from, entries) in overdue.retries {
            self.send_fetch(from, entries, FetchStep::Retried { received: 0 }, out);
        }
        let abandoned = overdue.abandoned.into_iter();
        out.extend(abandoned.map(|(peer, entry)| fetch_event(entry, peer, FetchStep::Abandoned)));
    }

    fn send_fetch(
        &mut self,
        from: SocketAddrV4,
        entries: Vec<Entry>,
        step: FetchStep,
        out: &mut Vec<Output>,
    ) {
        self.counters.fetches += entries.len() as u64;
        out.extend(entries.iter().map(|entry| fetch_event(entry.clone(), from, step)));
        for entries in batches(entries, self.config.max_bytes_per_message, entry_size) {
            self.send(from, Message::Fetch { entries, by_blocks: true }, out);
        }
    }
}

/// Creates the report of a step of a fetch.
pub(crate) fn fetch_event(entry: Entry, peer: SocketAddrV4, step: FetchStep) -> Output {
    Output::Fetch(FetchEvent { entry, peer, step })
}
