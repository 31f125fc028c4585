//! What replicas say to each other. Any message may be lost, repeated, delayed or overtaken.

use std::sync::Arc;

use crate::{Change, ControlState, Data, KnownView, LogPosition, Member, ProposalNumber, ReplicaId};

/// A message between replicas.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// The replica that says it.
    pub sender: ReplicaId,
    /// What it says.
    pub body: Body,
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq)]
pub enum Body {
    /// The primary of an active view asks for a lease.
    Heartbeat {
        /// The epoch of the active view.
        epoch: u64,
        /// The steady time of the primary at sending.
        sent: u64,
    },
    /// Answer to a heartbeat.
    HeartbeatReply(HeartbeatReply),
    /// Would the receiver promise this epoch? Binds nobody.
    PreVote {
        /// The epoch that would be asked for.
        epoch: u64,
    },
    /// Answer to a poll.
    PreVoteReply(PreVoteReply),
    /// The sender asks to be promised an epoch.
    Prepare(Prepare),
    /// The epoch is promised to the receiver.
    Promise(Promise),
    /// The receiver's epoch has been overtaken, or a lease stands against it.
    Reject(Reject),
    /// A candidate hands its state to a future backup.
    InstallSnapshot(InstallSnapshot),
    /// Answer to an installation.
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
    /// The primary hands a change to a backup.
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
        /// Whether it takes part in the first start of the whole system.
        first_boot: bool,
    },
    /// The primary has given up its lead and asks the receiver to take over.
    TransferLeadership {
        /// The proposal number up to which it has given up.
        released: ProposalNumber,
    },
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, PartialEq)]
pub struct HeartbeatReply {
    /// The epoch of the heartbeat.
    pub epoch: u64,
    /// The time of the heartbeat.
    pub sent: u64,
    /// Whether the lease is granted.
    pub granted: bool,
    /// The latest promise of the sender.
    pub promised: Option<ProposalNumber>,
    /// The epoch of the view that the sender has accepted, 0 if none.
    pub view_epoch: u64,
    /// Whether the sender may hold data: its disk is well and it isn't leaving.
    pub healthy: bool,
    /// Whether the process of the sender is about to end in good order.
    pub shutting_down: bool,
    /// Whether the sender would know after a restart that its view is active.
    pub activation_durable: bool,
}

/// Answer to a poll.
#[derive(Debug, Clone, PartialEq)]
pub struct PreVoteReply {
    /// The epoch of the poll.
    pub epoch: u64,
    /// Whether it would be promised.
    pub granted: bool,
    /// The latest promise of the sender.
    pub promised: Option<ProposalNumber>,
    /// The view that the sender has accepted.
    pub view: Option<KnownView>,
}

/// The sender asks to be promised an epoch.
#[derive(Debug, Clone, PartialEq)]
pub struct Prepare {
    /// The epoch.
    pub epoch: u64,
    /// What the sender holds of the data.
    pub position: Option<LogPosition>,
    /// The proposal number up to which the primary of before has given up its lead, for a hand-over.
    pub released: Option<ProposalNumber>,
}

/// The epoch is promised to the receiver.
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

/// The receiver's epoch has been overtaken, or a lease stands against it.
#[derive(Debug, Clone, PartialEq)]
pub struct Reject {
    /// The epoch that is refused.
    pub epoch: u64,
    /// The latest promise of the sender.
    pub promised: Option<ProposalNumber>,
    /// The view that the sender has accepted.
    pub view: Option<KnownView>,
}

/// A candidate hands its state to a future backup.
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

/// Answer to an installation.
#[derive(Debug, Clone, PartialEq)]
pub struct SnapshotInstalled {
    /// The epoch.
    pub epoch: u64,
    /// Whether the state is durable at the sender; otherwise it has to be sent whole.
    pub complete: bool,
    /// The attempt of the installation that is answered.
    pub attempt: u64,
}

/// The primary hands a change to a backup.
#[derive(Debug, Clone, PartialEq)]
pub struct Replicate {
    /// The epoch of the view.
    pub epoch: u64,
    /// The sequence after the change.
    pub sequence: u64,
    /// The change.
    pub change: Change,
}
