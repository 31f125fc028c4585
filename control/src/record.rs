//! What a replica keeps on its disk.

use std::sync::Arc;

use crate::{Change, ControlState, KnownView, ProposalNumber, ReplicaId};

/// Identifies a state: no two states bear the same position.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct LogPosition {
    /// The epoch under which the state was installed or the latest change was written.
    pub epoch: u64,
    /// The number of changes since the founding.
    pub sequence: u64,
}

/// The replicated state as a replica holds it, the latest change perhaps not yet acknowledged.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Data {
    /// Its position.
    pub position: LogPosition,
    /// The state.
    pub state: Arc<ControlState>,
}

/// One piece of what has to be durable. Later records replace earlier ones of their kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The latest promise.
    Promise(ProposalNumber),
    /// The latest accepted view.
    View(KnownView),
    /// The whole state.
    Snapshot(Data),
    /// A change on top of the state that was written before.
    Changed {
        /// The position after the change.
        position: LogPosition,
        /// The change.
        change: Change,
    },
    /// The state stays the same and bears this position from now on.
    Moved(LogPosition),
    /// The state isn't kept here any longer.
    SnapshotDiscarded,
}

/// What a replica finds on its disk when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveredState {
    /// Its identity, made together with the disk.
    pub id: ReplicaId,
    /// The latest promise.
    pub promised: Option<ProposalNumber>,
    /// The latest accepted view.
    pub view: Option<KnownView>,
    /// The state, if this replica keeps it.
    pub data: Option<Data>,
}

impl RecoveredState {
    /// An empty disk of a replica with this identity.
    pub fn empty(id: ReplicaId) -> RecoveredState {
        RecoveredState { id, promised: None, view: None, data: None }
    }

    /// Takes in one record. One that builds on a state that was never written, because that write failed, changes
    /// nothing: the state that is here goes on bearing its own position.
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
