//! Settings.

use std::net::SocketAddrV4;
use std::time::Duration;

use typed_builder::TypedBuilder;

/// Settings of the dissemination; all nodes of a fleet have the same, but for address and seed.
#[derive(Debug, Clone, TypedBuilder)]
pub struct GossipConfig {
    /// The own address, by which the others know this node.
    pub address: SocketAddrV4,
    /// Where randomness comes from; another one on each node and at each start.
    pub seed: u64,
    /// To how many peers a new item is passed on.
    #[builder(default = 3)]
    pub fanout: usize,
    /// New items are collected for so long before they are passed on, unless none were passed on for as long.
    #[builder(default = Duration::from_millis(20))]
    pub batch_for: Duration,
    /// How often hashes are compared with a peer, give or take a quarter.
    #[builder(default = Duration::from_millis(500))]
    pub digest_every: Duration,
    /// Items with more payload than this (bytes) are offered, not pushed.
    #[builder(default = 2048)]
    pub offer_above: usize,
    /// How long an offerer has for sending what was fetched, before another one is asked.
    #[builder(default = Duration::from_millis(300))]
    pub fetch_again_after: Duration,
    /// How long a tombstone is kept.
    #[builder(default = Duration::from_secs(60))]
    pub tombstone_for: Duration,
    /// Messages are cut at about this size (bytes); a single larger item goes alone.
    #[builder(default = 32 * 1024)]
    pub max_bytes_per_message: usize,
    /// How many bytes a node sends per second for repairs and fetches, with bursts of a second's worth.
    #[builder(default = 8 * 1024 * 1024)]
    pub max_repair_bytes_per_second: u64,
    /// How often further peers are asked while an item is unconfirmed.
    #[builder(default = Duration::from_millis(100))]
    pub confirm_again_after: Duration,
    /// How long confirmations are waited for.
    #[builder(default = Duration::from_secs(2))]
    pub confirm_within: Duration,
}

/// A duration in the unit of `now`.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
