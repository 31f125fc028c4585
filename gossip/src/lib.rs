//! Gossip of fleet state with anti-entropy repair, sans-I/O.
//!
//! Every node has every [`Item`]. A new item is pushed to a few peers, which push it on (rumor mongering); from time to time
//! a node compares hashes over ranges of keys with one peer, and both repair what differs (anti-entropy). Demers et al.,
//! "Epidemic Algorithms for Replicated Database Maintenance", PODC 1987. Of the items of one kind and key the highest
//! version stamp wins, so the order in which items arrive doesn't matter.
//!
//! The crate is a state machine apart from the control plane, which uses it: no clock, no socket and no thread, so that the
//! tests play fleets of hundreds of nodes in simulated time. The caller hands in messages and the time and carries out the
//! [`Output`]s. Mechanism and figures: `docs/gossip.md`.

mod acknowledgment;
mod anti_entropy;
mod block;
mod block_transfer;
mod budget;
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
