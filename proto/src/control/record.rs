//! Records that a replica makes durable, each encoded as one message.

use gradepaddle_control::Record;

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields, UnknownVariantSnafu};

/// Variant numbers of [`Record`].
const PROMISE: u64 = 1;
const VIEW: u64 = 2;
const SNAPSHOT: u64 = 3;
const CHANGED: u64 = 4;
const MOVED: u64 = 5;
const SNAPSHOT_DISCARDED: u64 = 6;

impl Encode for Record {
    fn encode(&self, to: &mut FieldWriter) {
        match self {
            Record::Promise(proposal_number) => write(to, PROMISE, proposal_number),
            Record::View(view) => write(to, VIEW, view),
            Record::Snapshot(data) => write(to, SNAPSHOT, data),
            Record::Changed { position, change } => {
                write(to, CHANGED, position);
                to.message(3, change);
            }
            Record::Moved(position) => write(to, MOVED, position),
            Record::SnapshotDiscarded => to.uint64(1, SNAPSHOT_DISCARDED),
        }
    }
}

/// Writes the variant number of a record and its content.
fn write<M: Encode>(to: &mut FieldWriter, variant: u64, content: &M) {
    to.uint64(1, variant);
    to.message(2, content);
}

impl Decode for Record {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        const NAME: &str = "record";
        Ok(match fields.uint64(1) {
            PROMISE => Record::Promise(fields.message(NAME, 2)?),
            VIEW => Record::View(fields.message(NAME, 2)?),
            SNAPSHOT => Record::Snapshot(fields.message(NAME, 2)?),
            CHANGED => {
                Record::Changed { position: fields.message(NAME, 2)?, change: fields.message(NAME, 3)? }
            }
            MOVED => Record::Moved(fields.message(NAME, 2)?),
            SNAPSHOT_DISCARDED => Record::SnapshotDiscarded,
            variant => return UnknownVariantSnafu { message: NAME, variant }.fail(),
        })
    }
}
