//! Configuration of the gossip protocol.

use std::net::SocketAddrV4;
use std::time::Duration;

use typed_builder::TypedBuilder;

/// Configuration of the gossip protocol. It is the same on all nodes of a fleet, except for address and seed.
#[derive(Debug, Clone, TypedBuilder)]
pub struct GossipConfig {
    /// The address of this node, by which the others identify it.
    pub address: SocketAddrV4,
    /// Seed of the random number generator. It must differ between nodes and between starts of a node.
    pub seed: u64,
    /// The number of peers that a new item is pushed to.
    #[builder(default = 3)]
    pub fanout: usize,
    /// Minimum time between two pushes; items that arrive in between are batched.
    #[builder(default = Duration::from_millis(20))]
    pub batch_interval: Duration,
    /// Mean interval between anti-entropy comparisons, with a jitter of ±25 %.
    #[builder(default = Duration::from_millis(500))]
    pub digest_interval: Duration,
    /// Items with a larger payload are offered instead of pushed, in bytes.
    #[builder(default = 2048)]
    pub offer_threshold_bytes: usize,
    /// How long to wait for a fetched item before it is requested from another node.
    #[builder(default = Duration::from_millis(300))]
    pub fetch_timeout: Duration,
    /// How long a tombstone is kept after its publication. It must exceed the longest partition that a node survives with
    /// its items; otherwise that node may bring a removed item back.
    #[builder(default = Duration::from_secs(60))]
    pub tombstone_ttl: Duration,
    /// Approximate size at which messages are split, in bytes; an item that is larger is sent in a message of its own.
    #[builder(default = 32 * 1024)]
    pub max_bytes_per_message: usize,
    /// Rate limit of repairs and fetches, in bytes per second, with bursts of one second's worth.
    #[builder(default = 8 * 1024 * 1024)]
    pub max_repair_bytes_per_second: u64,
    /// The interval at which an item is pushed to further peers while acknowledgments are missing.
    #[builder(default = Duration::from_millis(100))]
    pub acknowledgment_retry_interval: Duration,
    /// How long to wait for acknowledgments before the publication is reported as failed.
    #[builder(default = Duration::from_secs(2))]
    pub acknowledgment_timeout: Duration,
}

/// Converts a duration to microseconds, the unit of `now`.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
