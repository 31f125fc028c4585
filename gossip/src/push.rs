//! Passing new items on to a few others, several in one message.
//!
//! A new item goes to the next node on the ring of addresses and to random others. The ring alone would reach everyone
//! slowly, the random ones reach nearly everyone fast; together they reach everyone fast as long as nothing is lost.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::config::micros;
use crate::item::Name;
use crate::message::{entry_size, item_size};
use crate::{Aged, Entry, Gossip, Message, Output};

/// Of the items that one repair brings, so many are passed on; more are the filling of a node that was empty or the
/// healing of a cut, where others repair for themselves.
const REPAIRED_PASSED_ON: usize = 8;

/// New items that wait for being passed on.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    /// With the nodes that are known to have them.
    known_by: BTreeMap<Name, Vec<SocketAddrV4>>,
    flush_at: Option<u64>,
    flushed_at: Option<u64>,
}

impl Rumours {
    /// A node has an item that may be waiting here.
    pub(crate) fn is_known_by(&mut self, name: Name, node: SocketAddrV4) {
        if !self.known_by.is_empty()
            && let Some(known_by) = self.known_by.get_mut(&name)
        {
            known_by.push(node);
        }
    }

    /// When items are to be passed on next.
    pub(crate) fn next_due(&self) -> u64 {
        self.flush_at.unwrap_or(u64::MAX)
    }

    /// The nodes that have all the waiting items.
    fn known_by_all(&self) -> Vec<SocketAddrV4> {
        let mut all = self.known_by.values();
        let mut common = all.next().cloned().unwrap_or_default();
        for known_by in all {
            common.retain(|node| known_by.contains(node));
        }
        common
    }
}

impl Gossip {
    /// A new item is to be passed on; without peers there is nobody to pass it on to, and comparisons do it later.
    pub(crate) fn pass_on(&mut self, name: Name, known_by: Vec<SocketAddrV4>) {
        if !self.peers.is_empty() {
            self.rumours.known_by.insert(name, known_by);
        }
    }

    /// Passes waiting items on, now or as soon as enough time has gone by since the last ones.
    pub(crate) fn flush(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.rumours.known_by.is_empty() {
            self.rumours.flush_at = None;
            return;
        }
        let batch_for = micros(self.config.batch_for);
        let due = self.rumours.flushed_at.map_or(now, |flushed_at| flushed_at + batch_for);
        if now < due {
            self.rumours.flush_at = Some(due);
            return;
        }
        self.rumours.flush_at = None;
        self.rumours.flushed_at = Some(now);
        self.flush_all(now, out);
    }

    fn flush_all(&mut self, now: u64, out: &mut Vec<Output>) {
        let targets = self.peers.targets(&mut self.rng, self.config.fanout, &self.rumours.known_by_all());
        let known_by = std::mem::take(&mut self.rumours.known_by);
        for target in targets {
            let unknown = known_by.iter().filter(|(_, nodes)| !nodes.contains(&target));
            let items = unknown.filter_map(|((kind, key), _)| self.replica.aged(now, *kind, key)).collect();
            self.send_items(target, items, false, out);
        }
    }

    /// Sends items: small ones whole, large ones as an offer.
    pub(crate) fn send_items(
        &mut self,
        to: SocketAddrV4,
        items: Vec<Aged>,
        repair: bool,
        out: &mut Vec<Output>,
    ) {
        let (large, small): (Vec<Aged>, Vec<Aged>) =
            items.into_iter().partition(|aged| aged.item.payload.len() > self.config.offer_above);
        self.send_whole(to, small, repair, out);
        let offers = large.iter().map(|aged| aged.item.entry()).collect();
        self.send_entries(to, offers, |entries| Message::Offer { entries }, out);
    }

    /// Sends items whole, in messages of bounded size.
    pub(crate) fn send_whole(
        &mut self,
        to: SocketAddrV4,
        items: Vec<Aged>,
        repair: bool,
        out: &mut Vec<Output>,
    ) {
        for items in chunks(items, self.config.max_bytes_per_message, |aged| item_size(&aged.item)) {
            self.send(to, Message::Push { items, acknowledge: false, repair }, out);
        }
    }

    /// Sends entries in messages of bounded size.
    pub(crate) fn send_entries(
        &mut self,
        to: SocketAddrV4,
        entries: Vec<Entry>,
        message: fn(Vec<Entry>) -> Message,
        out: &mut Vec<Output>,
    ) {
        for entries in chunks(entries, self.config.max_bytes_per_message, entry_size) {
            self.send(to, message(entries), out);
        }
    }

    /// Takes in items, confirms them if asked to, and passes on what is new.
    pub(crate) fn receive_push(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        items: &[Aged],
        (acknowledge, repair): (bool, bool),
        out: &mut Vec<Output>,
    ) {
        let taken: Vec<(Name, Option<bool>)> =
            items.iter().filter_map(|aged| self.take_from(now, from, aged, out)).collect();
        if acknowledge {
            let entries = items.iter().map(|aged| aged.item.entry());
            let entries =
                entries.filter(|entry| self.replica.holds(entry.kind, &entry.key, entry.stamp)).collect();
            self.send(from, Message::Acknowledge { entries, leaving: self.leaving }, out);
        }
        if repair {
            self.tell_tombstones(now, from, items.iter().map(|aged| aged.item.entry()), out);
        }
        let few = taken.len() <= REPAIRED_PASSED_ON;
        for (name, fetched) in taken {
            if fetched.unwrap_or(few || !repair) {
                self.pass_on(name, vec![from]);
            }
        }
        self.flush(now, out);
    }

    /// Takes in an item from another node. Returns its name if it was new, and whether a fetch for it is to be passed on.
    fn take_from(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        aged: &Aged,
        out: &mut Vec<Output>,
    ) -> Option<(Name, Option<bool>)> {
        let entry = aged.item.entry();
        let fetched = self.fetches.arrived(&entry);
        if self.replica.take(now, aged) {
            self.counters.items_taken += 1;
            out.push(Output::Changed(aged.item.clone()));
            return Some((entry.name(), fetched));
        }
        self.counters.items_known += 1;
        if self.replica.get(entry.kind, &entry.key).is_some_and(|item| item.stamp == entry.stamp) {
            self.rumours.is_known_by(entry.name(), from);
        }
        None
    }

    /// Fetches what is offered and lacking.
    pub(crate) fn receive_offer(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        entries: Vec<Entry>,
        out: &mut Vec<Output>,
    ) {
        for entry in &entries {
            if self.replica.get(entry.kind, &entry.key).is_some_and(|item| item.stamp == entry.stamp) {
                self.rumours.is_known_by(entry.name(), from);
            }
        }
        self.tell_tombstones(now, from, entries.iter().cloned(), out);
        self.fetch(now, from, entries, true, out);
    }

    /// A node holds items of which some were removed since: sends it those tombstones, quiet ones too.
    fn tell_tombstones(
        &mut self,
        now: u64,
        to: SocketAddrV4,
        entries: impl Iterator<Item = Entry>,
        out: &mut Vec<Output>,
    ) {
        let held = entries.filter_map(|entry| Some((entry.stamp, self.replica.get(entry.kind, &entry.key)?)));
        let newer = held.filter(|(stamp, own)| own.removed && own.stamp > *stamp);
        let items = newer.filter_map(|(_, own)| self.replica.aged(now, own.kind, &own.key)).collect();
        self.send_whole(to, items, true, out);
    }

    /// Asks a node for what it holds and is lacking here.
    pub(crate) fn fetch(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        entries: Vec<Entry>,
        pass_on: bool,
        out: &mut Vec<Output>,
    ) {
        let lacking =
            entries.into_iter().filter(|entry| !self.replica.holds(entry.kind, &entry.key, entry.stamp));
        let wanted = lacking.filter(|entry| self.fetches.want(now, from, entry, pass_on)).collect();
        self.ask(from, wanted, out);
    }

    /// Asks other nodes for what did not come in time.
    pub(crate) fn fetch_again(&mut self, now: u64, out: &mut Vec<Output>) {
        for (from, entries) in self.fetches.overdue(now) {
            self.ask(from, entries, out);
        }
    }

    fn ask(&mut self, from: SocketAddrV4, entries: Vec<Entry>, out: &mut Vec<Output>) {
        self.counters.fetches += entries.len() as u64;
        self.send_entries(from, entries, |entries| Message::Fetch { entries }, out);
    }
}

/// Cuts a list into parts whose sizes add up to a bound at most; what is larger by itself goes alone.
pub(crate) fn chunks<T>(list: Vec<T>, max: usize, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for element in list {
        let size = size(&element);
        if parts.is_empty() || size > room {
            parts.push(Vec::new());
            room = max;
        }
        room = room.saturating_sub(size);
        if let Some(part) = parts.last_mut() {
            part.push(element);
        }
    }
    parts
}
