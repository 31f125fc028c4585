//! The kinds of items that `gradepaddle-gossip` carries between the nodes. Adding one: a number here, its stamp below.

use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_gossip::{Item, Kind, Stamp};

/// The configuration in force; stamp: its version. One key.
pub const CONFIGURATION: Kind = Kind(1);
/// The newest named version of a model's weights; stamp: the version.
pub const WEIGHTS: Kind = Kind(2);
/// A model server; stamp: its call count, then what was concluded without a call. See [`server_stamp`].
pub const SERVER: Kind = Kind(3);
/// A node's session; stamp: its incarnation, then a counter of changes.
pub const SESSION: Kind = Kind(4);
/// A server that is being brought to other weights and is better left alone; stamp: the fence, then a counter.
pub const ORDERED: Kind = Kind(5);

/// Whether a store of kept parts answers, by the first node that listens to it; stamp: 0, then a counter.
pub const STORE: Kind = Kind(6);

/// The key of the only configuration.
pub const CONFIGURATION_KEY: &str = "current";

/// What was concluded of a server at one call count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conclusion {
    /// What the call said.
    Told,
    /// No heartbeat came after it.
    Lost,
}

/// The stamp of what a server said at this call, or of what its silence after it means.
pub fn server_stamp(call_count: u64, conclusion: Conclusion) -> Stamp {
    Stamp { major: call_count, minor: u64::from(conclusion == Conclusion::Lost) }
}

/// The stamp of a server that has left: nothing comes after it, since ids are never used again.
pub const SERVER_GONE: Stamp = Stamp { major: u64::MAX, minor: 0 };

/// An item.
pub fn item(kind: Kind, key: &str, stamp: Stamp, payload: Vec<u8>) -> Item {
    Item { kind, key: Arc::from(key), stamp, payload: Arc::from(payload), removed: false }
}

/// A tombstone.
pub fn removal(kind: Kind, key: &str, stamp: Stamp) -> Item {
    Item { kind, key: Arc::from(key), stamp, payload: Arc::from([]), removed: true }
}

/// Bits of a counter that tell nodes apart.
const NODE_BITS: u32 = 16;

/// The next counter of changes after `minor`, different at nodes that count on at the same moment: items of equal stamps
/// have to be the same.
pub fn next_minor(minor: u64, own: SocketAddrV4) -> u64 {
    let node = crate::mix(u64::from(u32::from(*own.ip()))) & ((1 << NODE_BITS) - 1);
    ((minor >> NODE_BITS) + 1) << NODE_BITS | node
}
