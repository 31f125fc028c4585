//! Upload state of a node: encoded forms of large items, the peers being served, and queued requests for blocks that have
//! not arrived here yet.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::block::BlockRequest;
use crate::encoding::{Encoded, EncodingId};
use crate::item::{KnownAge, Name};
use crate::{AgedItem, Entry, Stamp};

/// The most peers that are served at a time; requests of others are refused as busy.
const MAX_SERVED_PEERS: usize = 4;
/// A served peer that has requested nothing for this long loses its slot, in microseconds.
const SERVED_IDLE_US: u64 = 500_000;
/// The encoded form of a superseded item is kept for this long after its last use, in microseconds.
const RETENTION_US: u64 = 3_000_000;
/// The most encoded forms that are kept per name.
const MAX_RETAINED: usize = 4;

/// The encoded form of an item.
#[derive(Debug)]
pub(crate) struct Upload {
    stamp: Stamp,
    pub encoded: Encoded,
    pub age: KnownAge,
    used_at: u64,
}

/// A request for a block that has not arrived here yet.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct WaitingRequest {
    pub from: SocketAddrV4,
    pub request: BlockRequest,
}

/// The items that are sent to other nodes by blocks.
#[derive(Debug, Default)]
pub(crate) struct Uploads {
    /// Encoded forms by name, the newest one last.
    by_name: BTreeMap<Name, Vec<Upload>>,
    /// When each served peer last requested a block.
    served: BTreeMap<SocketAddrV4, u64>,
    waiting: Vec<WaitingRequest>,
}

impl Uploads {
    /// Returns the encoding of an item, and encodes it at the first use; `None` if it can't be sent by blocks.
    pub(crate) fn encoding(&mut self, now: u64, aged: &AgedItem) -> Option<EncodingId> {
        let entry = aged.item.entry();
        let known = self.by_name.get(&entry.name());
        let known = known.and_then(|all| all.iter().find(|upload| upload.stamp == entry.stamp));
        if let Some(known) = known {
            return Some(known.encoded.id);
        }
        let encoded = Encoded::of(&aged.item.payload)?;
        let id = encoded.id;
        self.store(now, &entry, encoded, KnownAge::new(now, aged.age_ms));
        Some(id)
    }

    /// Stores the encoded form of an item.
    pub(crate) fn store(&mut self, now: u64, entry: &Entry, encoded: Encoded, age: KnownAge) {
        let all = self.by_name.entry(entry.name()).or_default();
        all.push(Upload { stamp: entry.stamp, encoded, age, used_at: now });
        all.sort_by_key(|upload| upload.stamp);
        let surplus = all.len().saturating_sub(MAX_RETAINED);
        all.drain(..surplus);
    }

    /// Finds the encoded form of an item and marks it as used.
    pub(crate) fn find(&mut self, now: u64, entry: &Entry, encoding: EncodingId) -> Option<&Upload> {
        let all = self.by_name.get_mut(&entry.name())?;
        let found =
            all.iter_mut().find(|upload| upload.stamp == entry.stamp && upload.encoded.id == encoding)?;
        found.used_at = now;
        Some(found)
    }

    /// Drops encoded forms of superseded items that have not been used within [`RETENTION_US`].
    pub(crate) fn prune(&mut self, now: u64, is_current: impl Fn(&Name, Stamp) -> bool) {
        self.by_name.retain(|name, all| {
            all.retain(|upload| {
                is_current(name, upload.stamp) || now.saturating_sub(upload.used_at) < RETENTION_US
            });
            !all.is_empty()
        });
    }

    /// Admits a peer if it is already served or a slot is free. Returns whether it is admitted.
    pub(crate) fn admit(&mut self, now: u64, peer: SocketAddrV4) -> bool {
        self.served.retain(|_, requested_at| now.saturating_sub(*requested_at) < SERVED_IDLE_US);
        let admitted = self.served.contains_key(&peer) || self.served.len() < MAX_SERVED_PEERS;
        if admitted {
            self.served.insert(peer, now);
        }
        admitted
    }

    /// Frees the slot of a peer.
    pub(crate) fn release(&mut self, peer: SocketAddrV4) {
        self.served.remove(&peer);
    }

    /// Queues a request until its block has arrived here.
    pub(crate) fn wait(&mut self, from: SocketAddrV4, request: BlockRequest) {
        let waiting = WaitingRequest { from, request };
        if !self.waiting.contains(&waiting) {
            self.waiting.push(waiting);
        }
    }

    /// Removes and returns the queued requests for blocks of an item that end within its first `available` bytes.
    pub(crate) fn take_waiting(&mut self, entry: &Entry, available: usize) -> Vec<WaitingRequest> {
        let ready = self.waiting.extract_if(.., |waiting| {
            let WaitingRequest { request, .. } = waiting;
            request.entry == *entry && request.offset.saturating_add(request.length) <= available as u64
        });
        ready.collect()
    }
}
