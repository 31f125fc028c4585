//! Settings of a placer.

use std::sync::Arc;

use typed_builder::TypedBuilder;

use crate::time::Micros;

/// Settings of a [`Placer`](crate::Placer). `docs/placement.md` has the reasons for the defaults.
#[derive(Clone, Debug, PartialEq, TypedBuilder)]
pub struct PlacementConfig {
    /// The zone of this node.
    #[builder(default = Arc::from(""), setter(into))]
    pub own_zone: Arc<str>,
    /// Makes the single-use salts and the ejection jitter of this node differ from those of other nodes.
    #[builder(default = 0)]
    pub seed: u64,
    /// From this long before a model version becomes binding, no request is placed on an older one, because requests wait in
    /// the queues of servers. In microseconds; 1.5 s by default.
    #[builder(default = 1_500_000)]
    pub version_margin: Micros,
    /// An attempt that has not started this long before its version becomes outdated is withdrawn, so that the reset
    /// reaches the server in time. In microseconds; 250 ms by default.
    #[builder(default = 250_000)]
    pub start_margin: Micros,
    /// Retries that each request adds to the retry budget, over all nodes.
    #[builder(default = 0.2)]
    pub retry_ratio: f64,
    /// Retries that a window allows in addition to those, over all nodes.
    #[builder(default = 50.0)]
    pub retry_slack: f64,
    /// The length of that window in microseconds; 10 s by default.
    #[builder(default = 10_000_000)]
    pub retry_window: Micros,
    /// The maximum number of prompt keys in each of the two generations of the key table.
    #[builder(default = 20_000)]
    pub keys_per_generation: usize,
    /// The maximum number of pairs of chunk and holder in the prefix index.
    #[builder(default = 300_000)]
    pub max_index_entries: usize,
}
