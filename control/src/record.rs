//! The records that a replica stores, and the state that they add up to.

use std::sync::Arc;

use crate::{Change, ControlState, KnownView, ProposalNumber, ReplicaId};

/// The position of a state in the replicated log; no two states have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct LogPosition {
    /// The epoch under which the state was installed or the latest change was written.
    pub epoch: u64,
    /// The number of changes since the bootstrap.
    pub sequence: u64,
}

/// The replicated state as a replica holds it; its latest change may not be committed yet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Data {
    /// Its position.
    pub position: LogPosition,
    /// The state.
    pub state: Arc<ControlState>,
}

/// One record of the stored state. A later record replaces earlier ones of its kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The latest promise.
    Promise(ProposalNumber),
    /// The latest accepted view.
    View(KnownView),
    /// A snapshot of the state.
    Snapshot(Data),
    /// A change on top of the state that was written before.
    Changed {
        /// The position after the change.
        position: LogPosition,
        /// The change.
        change: Change,
    },
    /// The state is unchanged and gets this position.
    Moved(LogPosition),
    /// The replica no longer holds the state.
    SnapshotDiscarded,
}

/// What a replica recovers from its disk when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveredState {
    /// Its identity, created together with the stored state.
    pub id: ReplicaId,
    /// The latest promise.
    pub promised: Option<ProposalNumber>,
    /// The latest accepted view.
    pub view: Option<KnownView>,
    /// The state, if this replica holds it.
    pub data: Option<Data>,
}

impl RecoveredState {
    /// An empty disk of a replica with this identity.
    pub fn empty(id: ReplicaId) -> RecoveredState {
        RecoveredState { id, promised: None, view: None, data: None }
    }

    /// Applies one record. A record that builds on a state that was never written, because its write failed, changes
    /// nothing: the state keeps its own position.
    pub fn apply(&mut self, record: Record) {
        match record {
            Record::Promise(proposal_number) => self.promised = Some(proposal_number),
            Record::View(view) => self.view = Some(view),
            Record::Snapshot(data) => self.data = Some(data),
            Record::Changed { position, change } => {
                let base = LogPosition { sequence: position.sequence.wrapping_sub(1), ..position };
                if let Some(data) = self.data.as_mut().filter(|data| data.position == base) {
                    data.state = Arc::new(data.state.after(&change));
                    data.position = position;
                }
            }
            Record::Moved(position) => {
                let fits = |data: &&mut Data| {
                    data.position.sequence == position.sequence && data.position < position
                };
                if let Some(data) = self.data.as_mut().filter(fits) {
                    data.position = position;
                }
            }
            Record::SnapshotDiscarded => self.data = None,
        }
    }
}
