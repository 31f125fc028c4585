//! What nodes say to each other. Serialisation is done elsewhere (`proto`).

use crate::{Aged, Entry, Item};

/// Bytes assumed around a message: its type, flags and lengths.
const MESSAGE_OVERHEAD_BYTES: usize = 16;
/// Bytes assumed for an entry beside its key: kind, stamp and lengths.
const ENTRY_OVERHEAD_BYTES: usize = 20;
/// Bytes assumed for an item beside its key and payload.
const ITEM_OVERHEAD_BYTES: usize = 28;
/// Bytes assumed for the digest of a range: an index of at most two and a hash of eight bytes.
const RANGE_DIGEST_BYTES: usize = 10;
/// Bytes assumed for the head of a list of entries of one range.
const RANGE_ENTRIES_BYTES: usize = 5;

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Whole items.
    Push {
        /// The items.
        items: Vec<Aged>,
        /// The receiver is to answer with [`Message::Acknowledge`] for what it then holds.
        acknowledge: bool,
        /// Sent because two nodes differed, not because the items are new: many at once are not passed on.
        repair: bool,
    },
    /// Items with large payloads that the sender holds, to be fetched by whoever lacks them.
    Offer {
        /// Names and stamps of the items.
        entries: Vec<Entry>,
    },
    /// Asks for items, of these stamps or newer ones.
    Fetch {
        /// Names and stamps of the items.
        entries: Vec<Entry>,
    },
    /// Hashes over ranges of keys, to be compared with the receiver's own.
    Digest {
        /// Ranges of the first level in a question; whichever differ, or ranges within them, in an answer.
        ranges: Vec<RangeDigest>,
        /// The receiver is to answer with a digest, an empty one where nothing differs.
        reply: bool,
    },
    /// All that the sender holds in some ranges. The receiver sends what it has newer and fetches what it has older.
    Entries {
        /// The ranges, each whole.
        ranges: Vec<RangeEntries>,
    },
    /// The sender holds these items, of these stamps or newer ones.
    Acknowledge {
        /// Names and stamps as they were pushed.
        entries: Vec<Entry>,
        /// The sender is about to end.
        leaving: bool,
    },
}

/// The hash over the entries of one range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RangeDigest {
    /// Which range: 0 to 63 for the first level, 64 to 4159 for the ranges within them.
    pub index: u16,
    /// The exclusive or of the hashes of the range's entries; zero for an empty range.
    pub hash: u64,
}

/// All entries of one range.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeEntries {
    /// Which range, numbered as in [`RangeDigest`].
    pub index: u16,
    /// The entries.
    pub entries: Vec<Entry>,
}

impl Message {
    /// About how many bytes the message takes when it is serialised; limits and counters go by it.
    pub fn size(&self) -> usize {
        MESSAGE_OVERHEAD_BYTES
            + match self {
                Self::Push { items, .. } => items.iter().map(|aged| item_size(&aged.item)).sum(),
                Self::Offer { entries } | Self::Fetch { entries } | Self::Acknowledge { entries, .. } => {
                    entries_size(entries)
                }
                Self::Digest { ranges, .. } => ranges.len() * RANGE_DIGEST_BYTES,
                Self::Entries { ranges } => ranges.iter().map(range_entries_size).sum(),
            }
    }
}

/// About how many bytes an item takes in a message.
pub(crate) fn item_size(item: &Item) -> usize {
    ITEM_OVERHEAD_BYTES + item.key.len() + item.payload.len()
}

/// About how many bytes an entry takes in a message.
pub(crate) fn entry_size(entry: &Entry) -> usize {
    ENTRY_OVERHEAD_BYTES + entry.key.len()
}

/// About how many bytes the list of a range takes in a message.
pub(crate) fn range_entries_size(range: &RangeEntries) -> usize {
    RANGE_ENTRIES_BYTES + entries_size(&range.entries)
}

fn entries_size(entries: &[Entry]) -> usize {
    entries.iter().map(entry_size).sum()
}
