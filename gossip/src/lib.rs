//! Dissemination of fleet state: passed on to a few others, repaired by digests, sans-I/O.
//!
//! Every node holds every item. A node passes a new item on to a few others; from time to time it compares hashes
//! over ranges of keys with one other node, and both repair what differs. The newest stamp of a key wins, so the order
//! in which items come does not matter. There is no clock, no socket and no thread: the caller hands in messages and
//! the time, and carries out the [`Output`]s. The mechanism and its figures: `docs/gossip.md`.

mod acknowledgment;
mod anti_entropy;
mod budget;
mod config;
mod counters;
mod fetch;
mod gossip;
mod item;
mod message;
mod output;
mod peers;
mod push;
mod ranges;
mod replica;
mod replication_factor;

pub use config::GossipConfig;
pub use counters::Counters;
pub use gossip::Gossip;
pub use item::{Aged, Entry, Item, Kind, Stamp};
pub use message::{Message, RangeDigest, RangeEntries};
pub use output::Output;
pub use peers::Peer;
pub use replication_factor::ReplicationFactor;
