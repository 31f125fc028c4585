//! The messages of `gradepaddle-gossip` as Protocol Buffers.

use std::sync::Arc;

use gradepaddle_gossip::{Aged, Entry, Item, Kind, Message, RangeDigest, RangeEntries, Stamp};

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields, UnknownVariantSnafu};

const PUSH: u64 = 1;
const OFFER: u64 = 2;
const FETCH: u64 = 3;
const DIGEST: u64 = 4;
const ENTRIES: u64 = 5;
const ACKNOWLEDGE: u64 = 6;

impl Encode for Entry {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, u64::from(self.kind.0));
        to.text(2, &self.key);
        to.number(3, self.stamp.major);
        to.number(4, self.stamp.minor);
    }
}

impl Decode for Entry {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Entry {
            kind: Kind(fields.number(1) as u8),
            key: fields.text(2),
            stamp: Stamp { major: fields.number(3), minor: fields.number(4) },
        })
    }
}

impl Encode for Aged {
    fn encode(&self, to: &mut FieldWriter) {
        self.item.entry().encode(to);
        to.bytes(5, &self.item.payload);
        to.truth(6, self.item.removed);
        to.number(7, u64::from(self.age_ms));
    }
}

impl Decode for Aged {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        let Entry { kind, key, stamp } = Entry::decode(fields)?;
        let item = Item { kind, key, stamp, payload: Arc::from(fields.bytes(5)), removed: fields.truth(6) };
        Ok(Aged { item, age_ms: u32::try_from(fields.number(7)).unwrap_or(u32::MAX) })
    }
}

impl Encode for RangeDigest {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, u64::from(self.index));
        to.number(2, self.hash);
    }
}

impl Decode for RangeDigest {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(RangeDigest { index: fields.number(1) as u16, hash: fields.number(2) })
    }
}

impl Encode for RangeEntries {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, u64::from(self.index));
        to.messages(2, &self.entries);
    }
}

impl Decode for RangeEntries {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(RangeEntries { index: fields.number(1) as u16, entries: fields.messages(2)? })
    }
}

impl Encode for Message {
    fn encode(&self, to: &mut FieldWriter) {
        match self {
            Message::Push { items, acknowledge, repair } => {
                to.number(1, PUSH);
                to.messages(2, items);
                to.truth(3, *acknowledge);
                to.truth(4, *repair);
            }
            Message::Offer { entries } => list(to, OFFER, entries),
            Message::Fetch { entries } => list(to, FETCH, entries),
            Message::Digest { ranges, reply } => {
                to.number(1, DIGEST);
                to.messages(2, ranges);
                to.truth(3, *reply);
            }
            Message::Entries { ranges } => {
                to.number(1, ENTRIES);
                to.messages(2, ranges);
            }
            Message::Acknowledge { entries, leaving } => {
                list(to, ACKNOWLEDGE, entries);
                to.truth(3, *leaving);
            }
        }
    }
}

fn list(to: &mut FieldWriter, variant: u64, entries: &[Entry]) {
    to.number(1, variant);
    to.messages(2, entries);
}

impl Decode for Message {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(match fields.number(1) {
            PUSH => Message::Push {
                items: fields.messages(2)?,
                acknowledge: fields.truth(3),
                repair: fields.truth(4),
            },
            OFFER => Message::Offer { entries: fields.messages(2)? },
            FETCH => Message::Fetch { entries: fields.messages(2)? },
            DIGEST => Message::Digest { ranges: fields.messages(2)?, reply: fields.truth(3) },
            ENTRIES => Message::Entries { ranges: fields.messages(2)? },
            ACKNOWLEDGE => Message::Acknowledge { entries: fields.messages(2)?, leaving: fields.truth(3) },
            variant => return UnknownVariantSnafu { message: "spread message", variant }.fail(),
        })
    }
}
