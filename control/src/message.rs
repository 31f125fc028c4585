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
    HeartbeatReply {
        /// The epoch of the heartbeat.
        epoch: u64,
        /// The time of the heartbeat.
        sent: u64,
        /// Whether the lease is granted.
        granted: bool,
        /// The latest promise of the sender.
        promised: Option<ProposalNumber>,
        /// The epoch of the view that the sender has accepted, 0 if none.
        view_epoch: u64,
        /// Whether the sender may hold data: its disk is well and it isn't leaving.
        healthy: bool,
        /// Whether the process of the sender is about to end in good order.
        shutting_down: bool,
        /// Whether the sender would know after a restart that its view is active.
        activation_durable: bool,
    },
    /// Would the receiver promise this epoch? Binds nobody.
    PreVote {
        /// The epoch that would be asked for.
        epoch: u64,
    },
    /// Answer to a poll.
    PreVoteReply {
        /// The epoch of the poll.
        epoch: u64,
        /// Whether it would be promised.
        granted: bool,
        /// The latest promise of the sender.
        promised: Option<ProposalNumber>,
        /// The view that the sender has accepted.
        view: Option<KnownView>,
    },
    /// The sender asks to be promised an epoch.
    Prepare {
        /// The epoch.
        epoch: u64,
        /// What the sender holds of the data.
        position: Option<LogPosition>,
        /// The proposal number up to which the primary of before has given up its lead, for a hand-over.
        released: Option<ProposalNumber>,
    },
    /// The epoch is promised to the receiver.
    Promise {
        /// The epoch.
        epoch: u64,
        /// The view that the sender has accepted.
        view: Option<KnownView>,
        /// The position of the data that the sender holds.
        position: Option<LogPosition>,
        /// The data itself, where it is newer than what the candidate holds.
        data: Option<Data>,
        /// Whether the sender may hold data.
        healthy: bool,
    },
    /// The receiver's epoch has been overtaken, or a lease stands against it.
    Reject {
        /// The epoch that is refused.
        epoch: u64,
        /// The latest promise of the sender.
        promised: Option<ProposalNumber>,
        /// The view that the sender has accepted.
        view: Option<KnownView>,
    },
    /// A candidate hands its state to a future backup.
    InstallSnapshot {
        /// The epoch of the candidate.
        epoch: u64,
        /// The sequence of the state.
        sequence: u64,
        /// The position under which the state was known before.
        source: LogPosition,
        /// How often the state has been sent to the receiver so far, this time included.
        attempt: u64,
        /// The state; left out where the receiver holds the source, or has been sent the state before.
        state: Option<Arc<ControlState>>,
    },
    /// Answer to an installation.
    SnapshotInstalled {
        /// The epoch.
        epoch: u64,
        /// Whether the state is durable at the sender; otherwise it has to be sent whole.
        complete: bool,
        /// The attempt of the installation that is answered.
        attempt: u64,
    },
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
    Replicate {
        /// The epoch of the view.
        epoch: u64,
        /// The sequence after the change.
        sequence: u64,
        /// The change.
        change: Change,
    },
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
