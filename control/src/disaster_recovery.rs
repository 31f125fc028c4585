//! Recovery by decision of an operator after a quorum is lost for good: one replica forms a view of its own from its
//! stored state.
//!
//! This gives up guarantees of the protocol: changes that only lost replicas held are gone, and only the operator can
//! rule out that a quorum of the old view still runs. So it is a pure function of the stored state, and only a command
//! of the stopped node calls it.

use std::sync::Arc;

use snafu::Snafu;

use crate::{Data, KnownView, LogPosition, Member, Record, RecoveredState, View};

/// The epoch of the recovered view is higher by this than any that this replica has seen: lost replicas may have seen
/// later epochs, and fencing tokens of those may have reached servers.
pub const EPOCH_GAP: u64 = 1_000_000;

/// What to recover from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoverySource {
    /// The state that this replica holds.
    StoredState,
    /// Nothing: all replicas that held the state are lost.
    EmptyState,
}

/// Why a stored state can't be recovered from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum RecoveryError {
    /// The replica was a witness: it voted, but held no data.
    #[snafu(display("this replica holds no state; recover at one that was primary or backup"))]
    NoState,
    /// The replica holds a state, so that an empty one would throw it away.
    #[snafu(display("this replica holds a state; recover from that"))]
    StateExists,
}

/// What a recovery writes, and what it keeps and gives up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecoveryPlan {
    /// To be written to the replica's disk, in this order.
    pub records: Vec<Record>,
    /// The epoch of the new view.
    pub epoch: u64,
    /// The version of the configuration that is kept; 0 for none.
    pub configuration_version: u64,
    /// The replicas of the last known view that are given up, this one left out.
    pub abandoned: Vec<Member>,
}

/// Plans a view in which `member`, the replica of this stored state, is the only member and the primary. Once it runs,
/// other replicas join it as after any loss.
///
/// # Errors
///
/// [`RecoveryError`] if the source does not fit what is stored.
pub fn plan_recovery(
    stored: &RecoveredState,
    member: Member,
    source: RecoverySource,
) -> Result<RecoveryPlan, RecoveryError> {
    let state = match (source, &stored.data) {
        (RecoverySource::StoredState, Some(data)) => data.clone(),
        (RecoverySource::StoredState, None) => return Err(RecoveryError::NoState),
        (RecoverySource::EmptyState, Some(_)) => return Err(RecoveryError::StateExists),
        (RecoverySource::EmptyState, None) => Data::default(),
    };
    let known = stored.view.as_ref().map(|known| &known.view);
    let promised_epoch = stored.promised.map_or(0, |promised| promised.epoch);
    let view_epoch = known.map_or(0, |view| view.epoch);
    let epoch = promised_epoch.max(view_epoch).max(state.position.epoch) + EPOCH_GAP;
    let view = Arc::new(View {
        epoch,
        primary: member.id,
        backups: Vec::new(),
        previous_members: Vec::new(),
        target_size: known.map_or(1, |view| view.target_size),
        members: vec![member.clone()],
    });
    let abandoned = known.map_or_else(Vec::new, |view| view.everyone());
    let position = LogPosition { epoch, sequence: state.position.sequence };
    Ok(RecoveryPlan {
        epoch,
        configuration_version: state.state.current_version(),
        abandoned: abandoned.into_iter().filter(|other| other.id != member.id).collect(),
        records: vec![
            Record::Promise(view.proposal_number()),
            Record::Snapshot(Data { position, state: state.state }),
            Record::View(KnownView { view, active: true }),
        ],
    })
}
