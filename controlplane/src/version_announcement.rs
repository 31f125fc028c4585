//! The payload that is gossiped with an announced model version, and the deadlines of the version. No I/O.

use gradepaddle_proto::{Decode, DecodeError, Encode, FieldWriter, Fields};

use crate::Micros;

/// The payload of an announced version; empty in its first publication and in those of older builds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionAnnouncement {
    /// How long before this publication the version was first announced, in microseconds.
    pub announced_before: Micros,
}

impl Encode for VersionAnnouncement {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.announced_before);
    }
}

impl Decode for VersionAnnouncement {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(VersionAnnouncement { announced_before: fields.uint64(1) })
    }
}

/// The deadlines after which no request may start on a version older than an announced one. The operators' rule VERSION.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionDeadlines {
    /// Microseconds from the latest publication (`versionMs`). A new publication restarts this time if the core was
    /// unstable.
    pub from_publication: Micros,
    /// Microseconds from the first announcement, however often the time was restarted (`versionAllMs`); `None` without
    /// such a bound. The operators count only periods without faults; as this counts all of the time, it never allows
    /// more than they do.
    pub from_announcement: Option<Micros>,
}

impl VersionDeadlines {
    /// How much longer requests may start on older versions, given the time since the latest publication and since the
    /// first announcement.
    pub fn remaining(&self, since_publication: Micros, since_announcement: Micros) -> Micros {
        let from_publication = self.from_publication.saturating_sub(since_publication);
        let bound = self.from_announcement;
        let from_announcement = bound.map_or(Micros::MAX, |bound| bound.saturating_sub(since_announcement));
        from_publication.min(from_announcement)
    }
}
