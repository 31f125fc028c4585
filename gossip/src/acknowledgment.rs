//! Publishing an item with acknowledgment: the publisher waits until enough other nodes have it.
//!
//! The item is pushed to as many peers as acknowledgments are missing, and every `acknowledgment_retry_interval` to further
//! ones, until enough have acknowledged it or `acknowledgment_timeout` has passed.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use crate::config::micros;
use crate::peers::Peers;
use crate::replication_factor::{MissingAcknowledgments, ReplicationFactor};
use crate::{Entry, Gossip, Message, Output};

/// An item that waits for acknowledgments.
#[derive(Debug)]
pub(crate) struct PendingAcknowledgment {
    publish_id: u64,
    entry: Entry,
    /// As in [`ReplicationFactor`].
    count: usize,
    inside: usize,
    outside: usize,
    group: Vec<SocketAddrV4>,
    /// Peers that it was pushed to.
    pushed_to: BTreeSet<SocketAddrV4>,
    acknowledged_by: BTreeSet<SocketAddrV4>,
    /// When to push it to more peers, in microseconds.
    retry_at: u64,
    /// When to give up, in microseconds.
    deadline: u64,
}

/// The number of nodes inside and outside the group.
struct GroupCounts {
    inside: usize,
    outside: usize,
}

/// Nodes of the group that are not shutting down and have not acknowledged the item, by whether it was pushed to them.
struct GroupTargets {
    not_pushed_to: Vec<SocketAddrV4>,
    unresponsive: Vec<SocketAddrV4>,
}

impl PendingAcknowledgment {
    /// Counts the missing acknowledgments. Those of nodes that are no longer peers don't count: their copies may be gone
    /// with them.
    fn missing(&self, peers: &Peers, shutting_down: &BTreeSet<SocketAddrV4>) -> MissingAcknowledgments {
        let staying = self.count_by_group(peers.iter().filter(|peer| !shutting_down.contains(peer)));
        let acknowledged_by = self.acknowledged_by.iter().copied().filter(|holder| peers.contains(*holder));
        let durable =
            self.count_by_group(acknowledged_by.clone().filter(|holder| !shutting_down.contains(holder)));
        let inside = self.inside.min(staying.inside).saturating_sub(durable.inside);
        let outside = self.outside.min(staying.outside).saturating_sub(durable.outside);
        let missing = self.count.min(peers.len()).saturating_sub(acknowledged_by.count());
        MissingAcknowledgments { inside, outside, anywhere: missing.saturating_sub(inside + outside) }
    }

    fn count_by_group(&self, nodes: impl Iterator<Item = SocketAddrV4>) -> GroupCounts {
        let (inside, outside): (Vec<_>, Vec<_>) = nodes.partition(|node| self.group.contains(node));
        GroupCounts { inside: inside.len(), outside: outside.len() }
    }

    fn targets_in_group(&self, peers: &Peers, shutting_down: &BTreeSet<SocketAddrV4>) -> GroupTargets {
        let staying =
            self.group.iter().filter(|peer| peers.contains(**peer) && !shutting_down.contains(peer));
        let open = staying.filter(|peer| !self.acknowledged_by.contains(peer)).copied();
        let (not_pushed_to, unresponsive) = open.partition(|peer| !self.pushed_to.contains(peer));
        GroupTargets { not_pushed_to, unresponsive }
    }
}

impl Gossip {
    /// Pushes an item to peers with a request for acknowledgment and returns these peers. An [`Output`] reports the result.
    pub(crate) fn request_acknowledgments(
        &mut self,
        now: u64,
        entry: Entry,
        publish_id: u64,
        wanted: ReplicationFactor<'_>,
        out: &mut Vec<Output>,
    ) -> Vec<SocketAddrV4> {
        let mut pending = PendingAcknowledgment {
            publish_id,
            entry,
            count: wanted.count,
            inside: wanted.inside,
            outside: wanted.outside,
            group: wanted.group.to_vec(),
            pushed_to: BTreeSet::new(),
            acknowledged_by: BTreeSet::new(),
            retry_at: now,
            deadline: now + micros(self.config.acknowledgment_timeout),
        };
        if pending.missing(&self.peers, &self.shutting_down_peers).total() == 0 {
            out.push(Output::Acknowledged { publish_id });
            return Vec::new();
        }
        self.push_for_acknowledgment(now, &mut pending, out);
        let pushed_to = pending.pushed_to.iter().copied().collect();
        self.pending_acknowledgments.push(pending);
        pushed_to
    }

    /// Records that a peer holds items. The copies last only as long as the peer's process.
    pub(crate) fn handle_acknowledgment(
        &mut self,
        now: u64,
        from: SocketAddrV4,
        entries: &[Entry],
        shutting_down: bool,
        out: &mut Vec<Output>,
    ) {
        self.update_shutting_down(now, from, shutting_down);
        for pending in &mut self.pending_acknowledgments {
            let Entry { kind, key, stamp } = &pending.entry;
            let covers = |entry: &Entry| entry.kind == *kind && entry.key == *key && entry.stamp >= *stamp;
            if entries.iter().any(covers) {
                pending.acknowledged_by.insert(from);
            }
        }
        self.complete_acknowledged(out);
    }

    /// Reports and forgets items that have enough acknowledgments.
    pub(crate) fn complete_acknowledged(&mut self, out: &mut Vec<Output>) {
        let (peers, shutting_down) = (&self.peers, &self.shutting_down_peers);
        let acknowledged = self
            .pending_acknowledgments
            .extract_if(.., |pending| pending.missing(peers, shutting_down).total() == 0);
        out.extend(acknowledged.map(|pending| Output::Acknowledged { publish_id: pending.publish_id }));
    }

    /// Pushes items whose retry is due to further peers, and fails those that have reached their deadline.
    pub(crate) fn tick_acknowledgments(&mut self, now: u64, out: &mut Vec<Output>) {
        self.complete_acknowledged(out);
        let failed = self.pending_acknowledgments.extract_if(.., |pending| pending.deadline <= now);
        out.extend(failed.map(|pending| Output::AcknowledgmentFailed { publish_id: pending.publish_id }));
        let mut all = std::mem::take(&mut self.pending_acknowledgments);
        for pending in all.iter_mut().filter(|pending| pending.retry_at <= now) {
            self.push_for_acknowledgment(now, pending, out);
        }
        self.pending_acknowledgments = all;
    }

    /// When [`Gossip::tick_acknowledgments`] is due next; `u64::MAX` for never.
    pub(crate) fn next_acknowledgment_due(&self) -> u64 {
        self.pending_acknowledgments
            .iter()
            .map(|pending| pending.retry_at.min(pending.deadline))
            .min()
            .unwrap_or(u64::MAX)
    }

    fn push_for_acknowledgment(
        &mut self,
        now: u64,
        pending: &mut PendingAcknowledgment,
        out: &mut Vec<Output>,
    ) {
        pending.retry_at = now + micros(self.config.acknowledgment_retry_interval);
        let Some(aged) = self.items.aged(now, pending.entry.kind, &pending.entry.key) else { return };
        for to in self.acknowledgment_targets(pending) {
            pending.pushed_to.insert(to);
            self.send(to, Message::Push { items: vec![aged.clone()], acknowledge: true, repair: false }, out);
        }
    }

    /// Updates whether a peer is shutting down. The copies of such a peer are about to be lost, so missing acknowledgments
    /// are requested from other peers without waiting for the retry interval.
    fn update_shutting_down(&mut self, now: u64, peer: SocketAddrV4, shutting_down: bool) {
        if !shutting_down {
            self.shutting_down_peers.remove(&peer);
        } else if self.shutting_down_peers.insert(peer) {
            self.pending_acknowledgments.iter_mut().for_each(|pending| pending.retry_at = now);
        }
    }

    /// Selects the next peers to push to: nodes inside and outside the group as far as acknowledgments are missing there,
    /// then any peers that the item was not pushed to yet; if there are none, those that did not acknowledge it.
    fn acknowledgment_targets(&mut self, pending: &mut PendingAcknowledgment) -> Vec<SocketAddrV4> {
        let missing = pending.missing(&self.peers, &self.shutting_down_peers);
        let GroupTargets { not_pushed_to: mut chosen, unresponsive } =
            pending.targets_in_group(&self.peers, &self.shutting_down_peers);
        chosen.truncate(missing.inside + missing.anywhere);
        let repeated = missing.inside.saturating_sub(chosen.len());
        chosen.extend(unresponsive.into_iter().take(repeated));
        chosen.extend(self.targets_outside(pending, missing.outside));
        let excluded: Vec<SocketAddrV4> = pending.pushed_to.iter().chain(&chosen).copied().collect();
        let still_missing = missing.total().saturating_sub(chosen.len());
        chosen.extend(self.peers.random(&mut self.rng, still_missing, &excluded));
        if chosen.is_empty() {
            let acknowledged_by: Vec<SocketAddrV4> = pending.acknowledged_by.iter().copied().collect();
            chosen = self.peers.random(&mut self.rng, missing.total(), &acknowledged_by);
        }
        chosen
    }

    /// Selects nodes outside the group that are not shutting down: those that the item was not pushed to yet, or if there
    /// are none, those that did not acknowledge it.
    fn targets_outside(&mut self, pending: &PendingAcknowledgment, count: usize) -> Vec<SocketAddrV4> {
        if count == 0 {
            return Vec::new();
        }
        let mut excluded: Vec<SocketAddrV4> =
            pending.group.iter().chain(&self.shutting_down_peers).copied().collect();
        let base_len = excluded.len();
        excluded.extend(pending.pushed_to.iter().chain(&pending.acknowledged_by));
        let not_pushed_to = self.peers.random(&mut self.rng, count, &excluded);
        if !not_pushed_to.is_empty() {
            return not_pushed_to;
        }
        excluded.truncate(base_len);
        excluded.extend(&pending.acknowledged_by);
        self.peers.random(&mut self.rng, count, &excluded)
    }
}
