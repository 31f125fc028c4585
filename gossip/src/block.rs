//! Blocks of the encoded form of large items: offers, requests, blocks and refusals.

use std::sync::Arc;

use crate::encoding::EncodingId;
use crate::{Entry, Message};

/// Estimated bytes of a block or block request besides entry and content: encoding, offset, length and age.
const BLOCK_OVERHEAD_BYTES: usize = 24;

/// An item that the sender has or is downloading, and can be fetched from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The name and stamp of the item.
    pub entry: Entry,
    /// The encoding in which the sender serves blocks; `None` if it sends only the whole item.
    pub encoding: Option<EncodingId>,
}

/// Requests a block of an offered item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockRequest {
    /// The item.
    pub entry: Entry,
    /// The encoding that the block belongs to.
    pub encoding: EncodingId,
    /// Offset of the block in the encoded form, in bytes.
    pub offset: u64,
    /// Length of the block, in bytes.
    pub length: u64,
}

/// A block of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// The item.
    pub entry: Entry,
    /// The encoding that the block belongs to.
    pub encoding: EncodingId,
    /// Offset of the block in the encoded form, in bytes.
    pub offset: u64,
    /// Time since the item was published, in milliseconds, without its time in transit.
    pub age_ms: u32,
    /// The bytes of the block.
    pub content: Arc<[u8]>,
}

/// The refusal of a block request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BlockRefusal {
    /// The item.
    pub entry: Entry,
    /// The requested encoding.
    pub encoding: EncodingId,
    /// Why the request is refused.
    pub reason: RefusalReason,
}

/// Why a block request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The sender already serves as many nodes as it allows at a time.
    Busy,
    /// The sender does not have the item in that encoding.
    Unknown,
}

/// Estimated size of a block in a message besides its entry, in bytes.
pub(crate) fn block_size(content: usize) -> usize {
    BLOCK_OVERHEAD_BYTES + content
}

impl From<BlockRequest> for Message {
    fn from(request: BlockRequest) -> Self {
        Message::FetchBlock(request)
    }
}
