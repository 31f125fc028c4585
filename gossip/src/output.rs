//! Requests and reports to the caller.

use std::net::SocketAddrV4;

use crate::{Item, Message};

/// A request to the caller, or a report.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message. It may be lost, duplicated or overtaken.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// An item is new here, one of another node or a published one; the higher stamp has won.
    Changed(Item),
    /// As many other nodes as were asked for have the item, or all where there are fewer.
    Acknowledged {
        /// The id given to [`crate::Gossip::publish_acknowledged`].
        publish_id: u64,
    },
    /// Not enough nodes acknowledged the item in time. It is gossiped all the same.
    AcknowledgmentFailed {
        /// The id given to [`crate::Gossip::publish_acknowledged`].
        publish_id: u64,
    },
}
