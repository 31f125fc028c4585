//! What travels with a named version of weights, and when the version binds. No I/O.

use gradepaddle_proto::{Decode, DecodeError, Encode, FieldWriter, Fields};

use crate::Micros;

/// The payload of a named version: empty in its first publication and in those of older builds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Naming {
    /// How long before this publication the version was named, in microseconds.
    pub named_before: Micros,
}

impl Encode for Naming {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.named_before);
    }
}

impl Decode for Naming {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Naming { named_before: fields.uint64(1) })
    }
}

/// How long after its naming nothing older may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionTimes {
    /// From its latest publication on: an unstable core lets the time begin anew.
    pub within: Micros,
    /// From its naming on, however often that was; none if there is no such bound. The operators count calm stretches
    /// only; all of the time is never less.
    pub in_all: Option<Micros>,
}

impl VersionTimes {
    /// For how much longer older versions may begin, so long after the latest publication and the naming.
    pub fn binds_in(&self, since_publication: Micros, since_naming: Micros) -> Micros {
        let within = self.within.saturating_sub(since_publication);
        let in_all = self.in_all.map_or(Micros::MAX, |bound| bound.saturating_sub(since_naming));
        within.min(in_all)
    }
}
