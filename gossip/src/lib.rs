//! Gossip of fleet state with anti-entropy repair, sans-I/O.
//!
//! Every [`Item`] is replicated to every node. A new item is pushed to a few peers, which forward it (rumor mongering);
//! periodically a node compares hashes over ranges of keys with one peer, and both repair the differences (anti-entropy).
//! See Demers et al., "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987. Of the items of one kind and
//! key the highest version stamp wins, so the order in which items arrive doesn't matter.
//!
//! The crate is a state machine without clock, sockets or threads, so that tests can run fleets of hundreds of nodes in
//! simulated time. The caller, the control plane, passes in messages and the time, and executes the [`Output`]s. Mechanism
//! and figures: `docs/gossip.md`.

mod acknowledgment;
mod anti_entropy;
mod block;
mod block_transfer;
mod config;
mod counters;
mod download;
mod encoding;
mod fetch;
mod gossip;
mod item;
mod item_store;
mod message;
mod output;
mod peers;
mod push;
mod ranges;
mod replication_factor;
mod token_bucket;
mod upload;

pub use block::{Block, BlockRefusal, BlockRequest, Offer, RefusalReason};
pub use config::GossipConfig;
pub use counters::Counters;
pub use encoding::EncodingId;
pub use gossip::Gossip;
pub use item::{AgedItem, Entry, Item, Kind, Stamp};
pub use message::{Message, RangeDigest, RangeEntries};
pub use output::{FetchEvent, FetchStep, Output};
pub use peers::Peer;
pub use replication_factor::ReplicationFactor;
