//! Messages between nodes. `gradepaddle-proto` encodes them.

use crate::block::block_size;
use crate::{AgedItem, Block, BlockRefusal, BlockRequest, Entry, Item, Offer};

/// Estimated overhead of a message, in bytes: its type, flags and lengths.
const MESSAGE_OVERHEAD_BYTES: usize = 16;
/// Estimated size of an entry without its key, in bytes: kind, stamp and lengths.
const ENTRY_OVERHEAD_BYTES: usize = 20;
/// Estimated size of the encoding id of an offered item, in bytes.
const ENCODING_BYTES: usize = 10;
/// Estimated size of an item without its key and payload, in bytes.
const ITEM_OVERHEAD_BYTES: usize = 28;
/// Estimated size of the digest of a range, in bytes: an index of at most two bytes and a hash of eight.
const RANGE_DIGEST_BYTES: usize = 10;
/// Estimated overhead of the list of entries of one range, in bytes.
const RANGE_ENTRIES_BYTES: usize = 5;

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Items with their payloads.
    Push {
        /// The items.
        items: Vec<AgedItem>,
        /// Whether the receiver must answer with [`Message::Acknowledge`] for those of the items that it holds after the
        /// merge.
        acknowledge: bool,
        /// Whether this repairs a difference between two nodes. Repairs of many items are not forwarded: they fill an empty
        /// node or follow a partition, and the other nodes run comparisons of their own.
        repair: bool,
    },
    /// Items with large payloads that the receiver may fetch from the sender.
    Offer {
        /// The items.
        offers: Vec<Offer>,
    },
    /// Requests items with these stamps or higher ones.
    Fetch {
        /// Names and stamps of the items.
        entries: Vec<Entry>,
        /// Whether large items are to be offered instead of sent, since the sender fetches them by blocks.
        by_blocks: bool,
    },
    /// Requests a block of an item that was offered with its encoding.
    FetchBlock(BlockRequest),
    /// A requested block.
    Block(Block),
    /// The refusal of a block request.
    BlockRefused(BlockRefusal),
    /// Hashes over ranges of keys, to be compared with the receiver's.
    Digest {
        /// In a request, all first-level ranges; in a reply, ranges that differ or finer ranges within them.
        ranges: Vec<RangeDigest>,
        /// Whether the receiver must answer with a digest, which is empty if nothing differs.
        reply: bool,
    },
    /// All entries of the sender in some ranges. The receiver sends its newer items and fetches its older ones.
    Entries {
        /// The ranges, each complete.
        ranges: Vec<RangeEntries>,
    },
    /// The sender has these items with these stamps or higher ones.
    Acknowledge {
        /// Names and stamps as they were pushed.
        entries: Vec<Entry>,
        /// Whether the sender is shutting down, so that its copies will be gone soon.
        shutting_down: bool,
    },
}

/// The hash of one range of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RangeDigest {
    /// The index of the range: 0 to 63 for the first level, 64 to 4159 for the finer ranges.
    pub index: u16,
    /// The XOR of the hashes of the range's entries; 0 for an empty range.
    pub hash: u64,
}

/// All entries of one range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeEntries {
    /// The index of the range, as in [`RangeDigest`].
    pub index: u16,
    /// The entries.
    pub entries: Vec<Entry>,
}

impl Message {
    /// Estimated encoded size in bytes, used by limits and counters.
    pub fn size(&self) -> usize {
        MESSAGE_OVERHEAD_BYTES
            + match self {
                Self::Push { items, .. } => items.iter().map(|aged| item_size(&aged.item)).sum(),
                Self::Offer { offers } => offers.iter().map(offer_size).sum(),
                Self::Fetch { entries, .. } | Self::Acknowledge { entries, .. } => entries_size(entries),
                Self::FetchBlock(BlockRequest { entry, .. })
                | Self::BlockRefused(BlockRefusal { entry, .. }) => entry_size(entry) + block_size(0),
                Self::Block(Block { entry, content, .. }) => entry_size(entry) + block_size(content.len()),
                Self::Digest { ranges, .. } => ranges.len() * RANGE_DIGEST_BYTES,
                Self::Entries { ranges } => ranges.iter().map(range_entries_size).sum(),
            }
    }
}

/// Estimated size of an item in a message, in bytes.
pub(crate) fn item_size(item: &Item) -> usize {
    ITEM_OVERHEAD_BYTES + item.key.len() + item.payload.len()
}

/// Estimated size of an entry in a message, in bytes.
pub(crate) fn entry_size(entry: &Entry) -> usize {
    ENTRY_OVERHEAD_BYTES + entry.key.len()
}

/// Estimated size of an offer in a message, in bytes.
pub(crate) fn offer_size(offer: &Offer) -> usize {
    entry_size(&offer.entry) + offer.encoding.map_or(0, |_| ENCODING_BYTES)
}

/// Estimated size of the entries of a range in a message, in bytes.
pub(crate) fn range_entries_size(range: &RangeEntries) -> usize {
    RANGE_ENTRIES_BYTES + entries_size(&range.entries)
}

fn entries_size(entries: &[Entry]) -> usize {
    entries.iter().map(entry_size).sum()
}

/// Splits a list into batches of at most `max` bytes each; a larger element forms a batch of its own.
pub(crate) fn batches<T>(list: Vec<T>, max: usize, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut batches: Vec<Vec<T>> = Vec::new();
    let mut remaining = 0;
    for element in list {
        let size = size(&element);
        if batches.is_empty() || size > remaining {
            batches.push(Vec::new());
            remaining = max;
        }
        remaining = remaining.saturating_sub(size);
        if let Some(batch) = batches.last_mut() {
            batch.push(element);
        }
    }
    batches
}
