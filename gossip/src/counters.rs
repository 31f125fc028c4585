//! Counters for metrics and tests.

/// Totals of a node since its start. Bytes are estimated by [`crate::Message::size`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Messages sent.
    pub messages_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Bytes received.
    pub bytes_received: u64,
    /// Items from other nodes that were newer than the local ones.
    pub items_accepted: u64,
    /// Items from other nodes that were already known with the same or a higher stamp.
    pub items_duplicate: u64,
    /// Comparisons started.
    pub comparisons: u64,
    /// Items sent because a comparison showed that another node lacked them.
    pub repairs: u64,
    /// Items requested from other nodes.
    pub fetches: u64,
    /// Items and entry lists that were not sent because of the rate limit of repairs; a later comparison finds them again.
    pub repairs_deferred: u64,
}
