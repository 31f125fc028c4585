//! What the caller is to do.

use std::net::SocketAddrV4;

use crate::{Item, Message};

/// One thing that the caller is to do or to know.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// A newer item was taken in, an own one included.
    Changed(Item),
    /// As many other nodes as were asked for hold the item (or all, where there are fewer).
    Acknowledged {
        /// The publish_id given to `publish_acknowledged`.
        publish_id: u64,
    },
    /// Not enough other nodes said in time that they hold the item. It is spread all the same.
    AcknowledgmentFailed {
        /// The publish_id given to `publish_acknowledged`.
        publish_id: u64,
    },
}
