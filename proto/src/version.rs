//! Queries for the newest version of the configuration, which a node uses to bound the staleness of its own.

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields};

/// Requests the version of the newest configuration that may have been acknowledged to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionQuery {
    /// Identifies the query at the node that sent it.
    pub query_id: u64,
}

/// The answer to a [`VersionQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionReply {
    /// The id of the query that this answers.
    pub query_id: u64,
    /// The version of the newest configuration, 0 if there was none.
    pub version: u64,
    /// The age of this information when the reply was sent, in microseconds.
    pub age: u64,
}

impl Encode for VersionQuery {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.query_id);
    }
}

impl Decode for VersionQuery {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(VersionQuery { query_id: fields.uint64(1) })
    }
}

impl Encode for VersionReply {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.query_id);
        to.uint64(2, self.version);
        to.uint64(3, self.age);
    }
}

impl Decode for VersionReply {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(VersionReply { query_id: fields.uint64(1), version: fields.uint64(2), age: fields.uint64(3) })
    }
}
