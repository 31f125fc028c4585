//! Configuration of the gossip.

use std::net::SocketAddrV4;
use std::time::Duration;

use typed_builder::TypedBuilder;

/// Configuration of the gossip. All nodes of a fleet have the same, except for address and seed.
#[derive(Debug, Clone, TypedBuilder)]
pub struct GossipConfig {
    /// The address of this node, by which the others identify it.
    pub address: SocketAddrV4,
    /// Seed of all random choices; a different one on each node and at each start.
    pub seed: u64,
    /// How many peers a new item is pushed to.
    #[builder(default = 3)]
    pub fanout: usize,
    /// The shortest time between two pushes; items that arrive meanwhile are batched.
    #[builder(default = Duration::from_millis(20))]
    pub batch_interval: Duration,
    /// Mean time between two comparisons with a peer; jittered by a quarter.
    #[builder(default = Duration::from_millis(500))]
    pub digest_interval: Duration,
    /// Payload above which an item is offered instead of pushed, in bytes.
    #[builder(default = 2048)]
    pub offer_threshold_bytes: usize,
    /// How long to wait for a fetched item before another node is asked for it.
    #[builder(default = Duration::from_millis(300))]
    pub fetch_timeout: Duration,
    /// How long a tombstone is kept after its publication. Longer than any partition after which a node still has its
    /// items, or a removed item may come back.
    #[builder(default = Duration::from_secs(60))]
    pub tombstone_ttl: Duration,
    /// Approximate size at which messages are split, in bytes; a single larger item is sent alone.
    #[builder(default = 32 * 1024)]
    pub max_bytes_per_message: usize,
    /// Rate limit of repairs and fetches, in bytes per second, with bursts of one second's worth.
    #[builder(default = 8 * 1024 * 1024)]
    pub max_repair_bytes_per_second: u64,
    /// How often further peers are asked while acknowledgments of an item are missing.
    #[builder(default = Duration::from_millis(100))]
    pub acknowledgment_retry_interval: Duration,
    /// How long acknowledgments are waited for.
    #[builder(default = Duration::from_secs(2))]
    pub acknowledgment_timeout: Duration,
}

/// A duration in microseconds, the unit of `now`.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
