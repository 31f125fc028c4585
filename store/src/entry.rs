//! The content of a frame: records and, in the first frame of a log, the identity of the replica.

use gradepaddle_control::{Record, RecoveredState, ReplicaId};
use gradepaddle_proto::{Decode, DecodeError, Encode, FieldWriter, Fields};

/// Field number of the replica identity, which only the first frame has.
const IDENTITY_FIELD: u32 = 1;
/// Field number of the records, a repeated field.
const RECORD_FIELD: u32 = 2;

/// The content of a frame.
#[derive(Debug)]
pub(crate) struct Entry {
    pub id: Option<ReplicaId>,
    pub records: Vec<Record>,
}

impl Entry {
    /// The first entry of a log: the complete state.
    pub fn snapshot(state: &RecoveredState) -> Entry {
        let mut records: Vec<Record> = state.promised.map(Record::Promise).into_iter().collect();
        records.extend(state.view.clone().map(Record::View));
        records.extend(state.data.clone().map(Record::Snapshot));
        Entry { id: Some(state.id), records }
    }
}

impl Encode for Entry {
    fn encode(&self, to: &mut FieldWriter) {
        to.optional_uint64(IDENTITY_FIELD, self.id.map(|id| id.0));
        to.repeated_messages(RECORD_FIELD, &self.records);
    }
}

impl Decode for Entry {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Entry {
            id: fields.optional_uint64(IDENTITY_FIELD).map(ReplicaId),
            records: fields.repeated_messages(RECORD_FIELD)?,
        })
    }
}
