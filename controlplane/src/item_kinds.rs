//! The kinds of items that are gossiped between nodes. A new kind needs a number that is not in use and a description of
//! its stamp.
//!
//! Numbers, keys and stamps are part of the wire format and must not change.

use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_gossip::{Item, Kind, Stamp};

/// The configuration in force; stamp: its version. One key.
pub const CONFIGURATION: Kind = Kind(1);
/// The newest announced version of a model; stamp: the version, then the epoch that extended its deadline.
pub const MODEL_VERSION: Kind = Kind(2);
/// A model server; stamp: its call count, then whether it was declared lost. See [`server_stamp`].
pub const SERVER: Kind = Kind(3);
/// A node's session; stamp: its incarnation, then a counter of changes.
pub const SESSION: Kind = Kind(4);
/// The reservation of a server that is about to load another model version; stamp: the fencing token, then a counter.
pub const RESERVATION: Kind = Kind(5);
/// Whether a cache store responds, as observed by its subscriber of rank 0; stamp: 0, then a counter.
pub const CACHE_STORE: Kind = Kind(6);

/// The key of the only configuration.
pub const CONFIGURATION_KEY: &str = "current";

/// The observation on which a published state of a server is based.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerObservation {
    /// The server's own call.
    Reported,
    /// A heartbeat timeout after that call.
    Lost,
}

/// The stamp of the state that a server reported in this call, or of its loss after this call.
pub fn server_stamp(call_count: u64, observation: ServerObservation) -> Stamp {
    Stamp { major: call_count, minor: u64::from(observation == ServerObservation::Lost) }
}

/// The stamp of a server that has left. Nothing supersedes it, since ids are never reused.
pub const SERVER_REMOVED: Stamp = Stamp { major: u64::MAX, minor: 0 };

/// A live item.
pub fn item(kind: Kind, key: &str, stamp: Stamp, payload: Vec<u8>) -> Item {
    Item { kind, key: Arc::from(key), stamp, payload: Arc::from(payload), removed: false }
}

/// A tombstone without a payload.
pub fn tombstone(kind: Kind, key: &str, stamp: Stamp) -> Item {
    Item { kind, key: Arc::from(key), stamp, payload: Arc::from([]), removed: true }
}

/// Number of low bits of a change counter that hold a hash of the node.
const NODE_BITS: u32 = 16;

/// The next change counter after `minor`. Nodes that increment the same counter concurrently get different results, since
/// two items with equal stamps must be the same item.
pub fn next_minor(minor: u64, own: SocketAddrV4) -> u64 {
    let node = crate::mix(u64::from(u32::from(*own.ip()))) & ((1 << NODE_BITS) - 1);
    ((minor >> NODE_BITS) + 1) << NODE_BITS | node
}
