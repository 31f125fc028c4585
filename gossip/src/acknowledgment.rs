//! Items whose publisher waits until other nodes hold them.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use crate::config::micros;
use crate::peers::Peers;
use crate::replication_factor::{Missing, ReplicationFactor};
use crate::{Entry, Gossip, Message, Output};

/// One item that waits for confirmations.
#[derive(Debug)]
pub(crate) struct Waiting {
    publish_id: u64,
    entry: Entry,
    count: usize,
    inside: usize,
    outside: usize,
    group: Vec<SocketAddrV4>,
    asked: BTreeSet<SocketAddrV4>,
    holders: BTreeSet<SocketAddrV4>,
    ask_at: u64,
    give_up_at: u64,
}

impl Waiting {
    /// How many more nodes have to hold it. Holders that have left don't count: their copy may be gone with them.
    fn missing(&self, peers: &Peers, leaving: &BTreeSet<SocketAddrV4>) -> Missing {
        let (staying_inside, staying_outside) =
            self.sides(peers.iter().filter(|peer| !leaving.contains(peer)));
        let holders = self.holders.iter().copied().filter(|holder| peers.contains(*holder));
        let (held_inside, held_outside) =
            self.sides(holders.clone().filter(|holder| !leaving.contains(holder)));
        let inside = self.inside.min(staying_inside).saturating_sub(held_inside);
        let outside = self.outside.min(staying_outside).saturating_sub(held_outside);
        let lacking = self.count.min(peers.len()).saturating_sub(holders.count());
        Missing { inside, outside, anywhere: lacking.saturating_sub(inside + outside) }
    }

    /// How many of some nodes are in the group, and how many are not.
    fn sides(&self, nodes: impl Iterator<Item = SocketAddrV4>) -> (usize, usize) {
        let (inside, outside): (Vec<_>, Vec<_>) = nodes.partition(|node| self.group.contains(node));
        (inside.len(), outside.len())
    }

    /// Nodes of the group that stay: those that were not asked, and those that were and did not confirm.
    fn group_to_ask(
        &self,
        peers: &Peers,
        leaving: &BTreeSet<SocketAddrV4>,
    ) -> (Vec<SocketAddrV4>, Vec<SocketAddrV4>) {
        let staying = self.group.iter().filter(|peer| peers.contains(**peer) && !leaving.contains(peer));
        let open = staying.filter(|peer| !self.holders.contains(peer)).copied();
        open.partition(|peer| !self.asked.contains(peer))
    }
}

impl Gossip {
    /// Asks peers for copies of an item; returns which. The output says when it is confirmed.
    pub(crate) fn begin_confirmation(
        &mut self,
        now: u64,
        entry: Entry,
        publish_id: u64,
        copies: ReplicationFactor<'_>,
        out: &mut Vec<Output>,
    ) -> Vec<SocketAddrV4> {
        let mut waiting = Waiting {
            publish_id,
            entry,
            count: copies.count,
            inside: copies.inside,
            outside: copies.outside,
            group: copies.group.to_vec(),
            asked: BTreeSet::new(),
            holders: BTreeSet::new(),
            ask_at: now,
            give_up_at: now + micros(self.config.confirm_within),
        };
        if waiting.missing(&self.peers, &self.leaving_peers).total() == 0 {
            out.push(Output::Acknowledged { publish_id });
            return Vec::new();
        }
        self.ask_for_copies(now, &mut waiting, out);
        let asked = waiting.asked.iter().copied().collect();
        self.waiting.push(waiting);
        asked
    }

    /// A peer holds items, for as long as it stays.
    pub(crate) fn receive_confirm(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        entries: &[Entry],
        leaving: bool,
        out: &mut Vec<Output>,
    ) {
        self.note_leaving(now, from, leaving);
        for waiting in &mut self.waiting {
            let Entry { kind, key, stamp } = &waiting.entry;
            let is_held = |entry: &Entry| entry.kind == *kind && entry.key == *key && entry.stamp >= *stamp;
            if entries.iter().any(is_held) {
                waiting.holders.insert(from);
            }
        }
        self.settle_confirmations(out);
    }

    /// Tells of what is confirmed by now.
    pub(crate) fn settle_confirmations(&mut self, out: &mut Vec<Output>) {
        let (peers, leaving) = (&self.peers, &self.leaving_peers);
        let confirmed = self.waiting.extract_if(.., |waiting| waiting.missing(peers, leaving).total() == 0);
        out.extend(confirmed.map(|waiting| Output::Acknowledged { publish_id: waiting.publish_id }));
    }

    /// Asks further peers and gives up, where it is time.
    pub(crate) fn tick_confirmations(&mut self, now: u64, out: &mut Vec<Output>) {
        self.settle_confirmations(out);
        let given_up = self.waiting.extract_if(.., |waiting| waiting.give_up_at <= now);
        out.extend(given_up.map(|waiting| Output::AcknowledgmentFailed { publish_id: waiting.publish_id }));
        let mut all = std::mem::take(&mut self.waiting);
        for waiting in all.iter_mut().filter(|waiting| waiting.ask_at <= now) {
            self.ask_for_copies(now, waiting, out);
        }
        self.waiting = all;
    }

    /// When there is something to do about confirmations next.
    pub(crate) fn next_confirmation(&self) -> u64 {
        self.waiting.iter().map(|waiting| waiting.ask_at.min(waiting.give_up_at)).min().unwrap_or(u64::MAX)
    }

    fn ask_for_copies(&mut self, now: u64, waiting: &mut Waiting, out: &mut Vec<Output>) {
        waiting.ask_at = now + micros(self.config.confirm_again_after);
        let Some(aged) = self.replica.aged(now, waiting.entry.kind, &waiting.entry.key) else { return };
        for to in self.copy_holders(waiting) {
            waiting.asked.insert(to);
            self.send(to, Message::Push { items: vec![aged.clone()], acknowledge: true, repair: false }, out);
        }
    }

    /// A peer that is about to end takes its copies with it: others are asked at once.
    fn note_leaving(&mut self, now: u64, peer: SocketAddrV4, leaving: bool) {
        if !leaving {
            self.leaving_peers.remove(&peer);
        } else if self.leaving_peers.insert(peer) {
            self.waiting.iter_mut().for_each(|waiting| waiting.ask_at = now);
        }
    }

    /// Whom to ask for a copy: nodes of the group and outside it as far as they lack, the group first, then any that
    /// were not asked; when all were, all that did not confirm.
    fn copy_holders(&mut self, waiting: &mut Waiting) -> Vec<SocketAddrV4> {
        let missing = waiting.missing(&self.peers, &self.leaving_peers);
        let (mut chosen, asked_in_vain) = waiting.group_to_ask(&self.peers, &self.leaving_peers);
        chosen.truncate(missing.inside + missing.anywhere);
        let again = missing.inside.saturating_sub(chosen.len());
        chosen.extend(asked_in_vain.into_iter().take(again));
        chosen.extend(self.outside_to_ask(waiting, missing.outside));
        let excluded: Vec<SocketAddrV4> = waiting.asked.iter().chain(&chosen).copied().collect();
        let lacking = missing.total().saturating_sub(chosen.len());
        chosen.extend(self.peers.random(&mut self.rng, lacking, &excluded));
        if chosen.is_empty() {
            let holders: Vec<SocketAddrV4> = waiting.holders.iter().copied().collect();
            chosen = self.peers.random(&mut self.rng, missing.total(), &holders);
        }
        chosen
    }

    /// Nodes outside the group that stay: those that were not asked before those that did not confirm.
    fn outside_to_ask(&mut self, waiting: &Waiting, count: usize) -> Vec<SocketAddrV4> {
        if count == 0 {
            return Vec::new();
        }
        let mut excluded: Vec<SocketAddrV4> =
            waiting.group.iter().chain(&self.leaving_peers).copied().collect();
        let without = excluded.len();
        excluded.extend(waiting.asked.iter().chain(&waiting.holders));
        let fresh = self.peers.random(&mut self.rng, count, &excluded);
        if !fresh.is_empty() {
            return fresh;
        }
        excluded.truncate(without);
        excluded.extend(&waiting.holders);
        self.peers.random(&mut self.rng, count, &excluded)
    }
}
