//! Messages between replicas. Any of them may be lost, duplicated, delayed or reordered.

use std::sync::Arc;

use crate::{Change, ControlState, Data, KnownView, LogPosition, Member, Micros, ProposalNumber, ReplicaId};

/// A message between replicas.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// The sending replica.
    pub sender: ReplicaId,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq)]
pub enum Body {
    /// The primary of an active view asks for a lease.
    Heartbeat {
        /// The epoch of the active view.
        epoch: u64,
        /// When it was sent, in microseconds of the primary's monotonic clock.
        sent: Micros,
    },
    /// Reply to a heartbeat.
    HeartbeatReply(HeartbeatReply),
    /// Asks whether the receiver would promise an epoch. The reply is not binding.
    PreVote {
        /// The round of the pre-vote, which its reply carries.
        round: u64,
    },
    /// Reply to a pre-vote.
    PreVoteReply(PreVoteReply),
    /// Phase 1a of Paxos: the sender asks for the promise of an epoch.
    Prepare(Prepare),
    /// Phase 1b of Paxos: the epoch is promised to the receiver.
    Promise(Promise),
    /// The receiver's epoch is outdated, or a lease forbids a promise.
    Reject(Reject),
    /// A candidate installs its state on a future backup.
    InstallSnapshot(InstallSnapshot),
    /// Reply to an installation.
    SnapshotInstalled(SnapshotInstalled),
    /// A view to accept. It is only ever sent once all of its backups hold the data.
    Accept {
        /// The view.
        view: KnownView,
    },
    /// The view of this epoch is durable at the sender.
    Accepted {
        /// The epoch.
        epoch: u64,
    },
    /// The primary sends a change to a backup.
    Replicate(Replicate),
    /// The change is durable at the sender.
    Replicated {
        /// The epoch of the view.
        epoch: u64,
        /// The sequence after the change.
        sequence: u64,
    },
    /// A replica wants to become a member.
    Join {
        /// The replica.
        member: Member,
        /// Whether it takes part in the first start of the system.
        first_boot: bool,
    },
    /// The primary has released its leases and asks the receiver to become primary.
    TransferLeadership {
        /// The proposal number through which it has released them.
        released: ProposalNumber,
    },
}

/// Reply to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct HeartbeatReply {
    /// The epoch of the heartbeat.
    pub epoch: u64,
    /// The time that the heartbeat carried.
    pub sent: Micros,
    /// Whether the lease is granted.
    pub granted: bool,
    /// The latest promise of the sender.
    pub promised: Option<ProposalNumber>,
    /// The epoch of the view that the sender has accepted, 0 if none.
    pub view_epoch: u64,
    /// Whether the sender may hold data: its disk is healthy and it isn't shutting down.
    pub healthy: bool,
    /// Whether the sender is in a graceful shutdown.
    pub shutting_down: bool,
    /// Whether the sender would know after a restart that its view is active.
    pub activation_durable: bool,
}

/// Reply to a pre-vote.
#[derive(Debug, Clone, PartialEq)]
pub struct PreVoteReply {
    /// The round of the pre-vote that this replies to.
    pub round: u64,
    /// Whether the sender would promise an epoch to the candidate.
    pub granted: bool,
    /// The latest promise of the sender.
    pub promised: Option<ProposalNumber>,
    /// The view that the sender has accepted.
    pub view: Option<KnownView>,
}

/// Phase 1a of Paxos: the sender asks for the promise of an epoch.
#[derive(Debug, Clone, PartialEq)]
pub struct Prepare {
    /// The epoch.
    pub epoch: u64,
    /// The position of the data that the sender holds.
    pub position: Option<LogPosition>,
    /// For a leadership transfer: the proposal number through which the previous primary has released its leases.
    pub released: Option<ProposalNumber>,
}

/// Phase 1b of Paxos: the epoch is promised to the receiver.
#[derive(Debug, Clone, PartialEq)]
pub struct Promise {
    /// The epoch.
    pub epoch: u64,
    /// The view that the sender has accepted.
    pub view: Option<KnownView>,
    /// The position of the data that the sender holds.
    pub position: Option<LogPosition>,
    /// The data itself, where it is newer than what the candidate holds.
    pub data: Option<Data>,
    /// Whether the sender may hold data.
    pub healthy: bool,
}

/// The receiver's epoch is outdated, or a lease forbids a promise.
#[derive(Debug, Clone, PartialEq)]
pub struct Reject {
    /// The epoch that is rejected.
    pub epoch: u64,
    /// The latest promise of the sender.
    pub promised: Option<ProposalNumber>,
    /// The view that the sender has accepted.
    pub view: Option<KnownView>,
}

/// A candidate installs its state on a future backup.
#[derive(Debug, Clone, PartialEq)]
pub struct InstallSnapshot {
    /// The epoch of the candidate.
    pub epoch: u64,
    /// The sequence of the state.
    pub sequence: u64,
    /// The position under which the state was known before.
    pub source: LogPosition,
    /// How often the state has been sent to the receiver so far, this time included.
    pub attempt: u64,
    /// The state; left out where the receiver holds the source, or has been sent the state before.
    pub state: Option<Arc<ControlState>>,
}

/// Reply to an installation.
#[derive(Debug, Clone, PartialEq)]
pub struct SnapshotInstalled {
    /// The epoch.
    pub epoch: u64,
    /// Whether the state is durable at the sender; otherwise a snapshot has to be sent.
    pub complete: bool,
    /// The attempt of the installation that this replies to.
    pub attempt: u64,
}

/// The primary sends a change to a backup.
#[derive(Debug, Clone, PartialEq)]
pub struct Replicate {
    /// The epoch of the view.
    pub epoch: u64,
    /// The sequence after the change.
    pub sequence: u64,
    /// The change.
    pub change: Change,
}
