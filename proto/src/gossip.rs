//! The messages of `gradepaddle-gossip` as Protocol Buffers.

use std::sync::Arc;

use gradepaddle_gossip::{
    AgedItem, Block, BlockRefusal, BlockRequest, EncodingId, Entry, Item, Kind, Message, Offer, RangeDigest,
    RangeEntries, RefusalReason, Stamp,
};

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields, UnknownVariantSnafu};

/// Variant numbers of [`Message`].
const PUSH: u64 = 1;
const OFFER: u64 = 2;
const FETCH: u64 = 3;
const DIGEST: u64 = 4;
const ENTRIES: u64 = 5;
const ACKNOWLEDGE: u64 = 6;
const FETCH_BLOCK: u64 = 7;
const BLOCK: u64 = 8;
const BLOCK_REFUSED: u64 = 9;

impl Encode for Entry {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, u64::from(self.kind.0));
        to.string(2, &self.key);
        to.uint64(3, self.stamp.major);
        to.uint64(4, self.stamp.minor);
    }
}

impl Decode for Entry {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Entry {
            kind: Kind(fields.uint64(1) as u8),
            key: fields.string(2),
            stamp: Stamp { major: fields.uint64(3), minor: fields.uint64(4) },
        })
    }
}

impl Encode for EncodingId {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, u64::from(self.bytes));
        to.uint64(2, u64::from(self.checksum));
    }
}

impl Decode for EncodingId {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(EncodingId { bytes: fields.uint64(1) as u32, checksum: fields.uint64(2) as u32 })
    }
}

/// Encoded as an entry with one more field, which builds without block transfer skip.
impl Encode for Offer {
    fn encode(&self, to: &mut FieldWriter) {
        self.entry.encode(to);
        to.optional_message(8, self.encoding.as_ref());
    }
}

impl Decode for Offer {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Offer { entry: Entry::decode(fields)?, encoding: fields.optional_message(8)? })
    }
}

impl Encode for BlockRequest {
    fn encode(&self, to: &mut FieldWriter) {
        to.message(1, &self.entry);
        to.message(2, &self.encoding);
        to.uint64(3, self.offset);
        to.uint64(4, self.length);
    }
}

impl Decode for BlockRequest {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(BlockRequest {
            entry: fields.message("block request", 1)?,
            encoding: fields.message("block request", 2)?,
            offset: fields.uint64(3),
            length: fields.uint64(4),
        })
    }
}

impl Encode for Block {
    fn encode(&self, to: &mut FieldWriter) {
        to.message(1, &self.entry);
        to.message(2, &self.encoding);
        to.uint64(3, self.offset);
        to.bytes(4, &self.content);
        to.uint64(5, u64::from(self.age_ms));
    }
}

impl Decode for Block {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Block {
            entry: fields.message("block", 1)?,
            encoding: fields.message("block", 2)?,
            offset: fields.uint64(3),
            content: Arc::from(fields.bytes(4)),
            age_ms: u32::try_from(fields.uint64(5)).unwrap_or(u32::MAX),
        })
    }
}

impl Encode for BlockRefusal {
    fn encode(&self, to: &mut FieldWriter) {
        to.message(1, &self.entry);
        to.message(2, &self.encoding);
        to.bool(3, self.reason == RefusalReason::Busy);
    }
}

impl Decode for BlockRefusal {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(BlockRefusal {
            entry: fields.message("block refusal", 1)?,
            encoding: fields.message("block refusal", 2)?,
            reason: if fields.bool(3) { RefusalReason::Busy } else { RefusalReason::Unknown },
        })
    }
}

impl Encode for AgedItem {
    fn encode(&self, to: &mut FieldWriter) {
        self.item.entry().encode(to);
        to.bytes(5, &self.item.payload);
        to.bool(6, self.item.removed);
        to.uint64(7, u64::from(self.age_ms));
    }
}

impl Decode for AgedItem {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        let Entry { kind, key, stamp } = Entry::decode(fields)?;
        let item = Item { kind, key, stamp, payload: Arc::from(fields.bytes(5)), removed: fields.bool(6) };
        Ok(AgedItem { item, age_ms: u32::try_from(fields.uint64(7)).unwrap_or(u32::MAX) })
    }
}

impl Encode for RangeDigest {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, u64::from(self.index));
        to.uint64(2, self.hash);
    }
}

impl Decode for RangeDigest {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(RangeDigest { index: fields.uint64(1) as u16, hash: fields.uint64(2) })
    }
}

impl Encode for RangeEntries {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, u64::from(self.index));
        to.repeated_messages(2, &self.entries);
    }
}

impl Decode for RangeEntries {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(RangeEntries { index: fields.uint64(1) as u16, entries: fields.repeated_messages(2)? })
    }
}

impl Encode for Message {
    fn encode(&self, to: &mut FieldWriter) {
        match self {
            Message::Push { items, acknowledge, repair } => {
                to.uint64(1, PUSH);
                to.repeated_messages(2, items);
                to.bool(3, *acknowledge);
                to.bool(4, *repair);
            }
            Message::Offer { offers } => {
                to.uint64(1, OFFER);
                to.repeated_messages(2, offers);
            }
            Message::Fetch { entries, by_blocks } => {
                write_entries(to, FETCH, entries);
                to.bool(3, *by_blocks);
            }
            Message::FetchBlock(request) => write_nested(to, FETCH_BLOCK, request),
            Message::Block(block) => write_nested(to, BLOCK, block),
            Message::BlockRefused(refusal) => write_nested(to, BLOCK_REFUSED, refusal),
            Message::Digest { ranges, reply } => {
                to.uint64(1, DIGEST);
                to.repeated_messages(2, ranges);
                to.bool(3, *reply);
            }
            Message::Entries { ranges } => {
                to.uint64(1, ENTRIES);
                to.repeated_messages(2, ranges);
            }
            Message::Acknowledge { entries, shutting_down } => {
                write_entries(to, ACKNOWLEDGE, entries);
                to.bool(3, *shutting_down);
            }
        }
    }
}

fn write_nested<M: Encode>(to: &mut FieldWriter, variant: u64, message: &M) {
    to.uint64(1, variant);
    to.message(2, message);
}

fn write_entries(to: &mut FieldWriter, variant: u64, entries: &[Entry]) {
    to.uint64(1, variant);
    to.repeated_messages(2, entries);
}

impl Decode for Message {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(match fields.uint64(1) {
            PUSH => Message::Push {
                items: fields.repeated_messages(2)?,
                acknowledge: fields.bool(3),
                repair: fields.bool(4),
            },
            OFFER => Message::Offer { offers: fields.repeated_messages(2)? },
            FETCH => Message::Fetch { entries: fields.repeated_messages(2)?, by_blocks: fields.bool(3) },
            FETCH_BLOCK => Message::FetchBlock(fields.message("block request", 2)?),
            BLOCK => Message::Block(fields.message("block", 2)?),
            BLOCK_REFUSED => Message::BlockRefused(fields.message("block refusal", 2)?),
            DIGEST => Message::Digest { ranges: fields.repeated_messages(2)?, reply: fields.bool(3) },
            ENTRIES => Message::Entries { ranges: fields.repeated_messages(2)? },
            ACKNOWLEDGE => {
                Message::Acknowledge { entries: fields.repeated_messages(2)?, shutting_down: fields.bool(3) }
            }
            variant => return UnknownVariantSnafu { message: "gossip message", variant }.fail(),
        })
    }
}
