//! What goes into a replica and what comes out.

use std::{net::SocketAddrV4, sync::Arc};

use crate::{Change, ControlState, Message, Record, View};

/// Names a write to the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);

/// Names a proposal, chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// What a replica is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message came.
    Message {
        /// The internal address of the machine from which it came.
        from: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// A write is durable.
    WriteCompleted {
        /// The write.
        write_id: WriteId,
    },
    /// A write has failed; any part of it may be on the disk.
    WriteFailed {
        /// The write.
        write_id: WriteId,
    },
    /// A change is asked for.
    Propose {
        /// Names the answer.
        proposal_id: ProposalId,
        /// The change.
        change: Change,
    },
    /// The first view, at the first start of the whole system.
    Bootstrap {
        /// The view, of epoch 1.
        view: View,
    },
    /// Internal addresses at which members may be found, for a replica that isn't a member.
    Peers(Vec<SocketAddrV4>),
    /// The process is about to end in good order.
    ShutDown,
}

/// What the caller is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The internal address.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Make these records durable together, in the order of the write ids.
    Persist {
        /// Names the write for [`Input::WriteCompleted`].
        write_id: WriteId,
        /// The records; an empty list tests the disk.
        records: Vec<Record>,
    },
    /// A proposal is answered.
    Answer {
        /// The proposal.
        proposal_id: ProposalId,
        /// The answer.
        outcome: Outcome,
    },
    /// A committed state is known here, at the primary.
    Committed {
        /// The state.
        state: Arc<ControlState>,
    },
    /// This replica leads from now on, within its lease.
    BecamePrimary {
        /// The epoch.
        epoch: u64,
    },
    /// This replica doesn't lead any longer.
    SteppedDown,
    /// The process may end.
    ReadyToExit,
}

/// The answer to a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The change is durable wherever it has to be.
    Committed,
    /// Another version is current; the change isn't and won't be in force.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The version isn't above the current one; the change isn't and won't be in force.
    VersionNotHigher {
        /// The current version.
        current: u64,
    },
    /// This replica doesn't lead and has done nothing with the change.
    NotPrimary {
        /// Whom to ask, if known.
        primary: Option<SocketAddrV4>,
    },
    /// The change may come into force or not.
    Unknown,
}
