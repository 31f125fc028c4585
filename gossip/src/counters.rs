//! Counters, for metrics and tests.

/// What a node has sent, received and taken in since its start. Bytes go by [`crate::Message::size`].
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
    /// Newer items taken in from others.
    pub items_taken: u64,
    /// Items received that were held already, in this or a newer stamp.
    pub items_known: u64,
    /// Comparisons begun.
    pub comparisons: u64,
    /// Items sent because another node lacked them in a comparison.
    pub repairs: u64,
    /// Fetches sent.
    pub fetches: u64,
    /// Items not sent for want of repair bytes; a later comparison finds them again.
    pub repairs_put_off: u64,
}
