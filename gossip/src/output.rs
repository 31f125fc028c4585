//! Actions for the caller to execute, and events.

use std::net::SocketAddrV4;

use crate::{Entry, Item, Message};

/// A step of the fetch of an item, for logging.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FetchEvent {
    /// The item.
    pub entry: Entry,
    /// The node that the item is fetched from.
    pub peer: SocketAddrV4,
    /// The step.
    pub step: FetchStep,
}

/// A step of a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchStep {
    /// The item was requested from the first node.
    Started,
    /// The item was requested from another node, since the previous one timed out, was busy or no longer had it.
    Retried {
        /// Bytes of the encoded form that have arrived.
        received: usize,
    },
    /// The fetch was given up: no further source is known, or the received bytes were invalid. A later offer or
    /// comparison starts it again.
    Abandoned,
    /// The item has arrived.
    Completed {
        /// Microseconds since the first request.
        elapsed: u64,
        /// The number of attempts, each with one source.
        attempts: u32,
    },
}

/// An action for the caller, or an event.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message. The transport may lose, duplicate or reorder messages.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// A step of the fetch of an item.
    Fetch(FetchEvent),
    /// An item from another node or a local publication was merged, since its stamp was the highest.
    Changed(Item),
    /// The item has reached its replication factor, or all peers if there are fewer.
    Acknowledged {
        /// The id given to [`crate::Gossip::publish_acknowledged`].
        publish_id: u64,
    },
    /// Not enough nodes acknowledged the item in time. It is still gossiped.
    AcknowledgmentFailed {
        /// The id given to [`crate::Gossip::publish_acknowledged`].
        publish_id: u64,
    },
}
