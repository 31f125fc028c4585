//! What the frames of the file hold: records, and in the first frame the identity besides.

use gradepaddle_control::{Record, RecoveredState, ReplicaId};
use gradepaddle_proto::{Decode, DecodeError, Encode, FieldWriter, Fields};

/// Field of the identity, in the first frame only.
const IDENTITY: u32 = 1;
/// Field of the records, repeated.
const RECORD: u32 = 2;

/// The content of a frame.
#[derive(Debug)]
pub(crate) struct Entry {
    pub id: Option<ReplicaId>,
    pub records: Vec<Record>,
}

impl Entry {
    /// Everything that was recovered or written so far.
    pub fn snapshot(kept: &RecoveredState) -> Entry {
        let mut records: Vec<Record> = kept.promised.map(Record::Promise).into_iter().collect();
        records.extend(kept.view.clone().map(Record::View));
        records.extend(kept.data.clone().map(Record::Snapshot));
        Entry { id: Some(kept.id), records }
    }
}

impl Encode for Entry {
    fn encode(&self, to: &mut FieldWriter) {
        to.optional_uint64(IDENTITY, self.id.map(|id| id.0));
        to.repeated_messages(RECORD, &self.records);
    }
}

impl Decode for Entry {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Entry {
            id: fields.optional_uint64(IDENTITY).map(ReplicaId),
            records: fields.repeated_messages(RECORD)?,
        })
    }
}
