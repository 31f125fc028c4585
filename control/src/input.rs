//! The inputs that a replica handles and the outputs that its caller carries out.

use std::{net::SocketAddrV4, sync::Arc};

use crate::{Change, ControlState, Message, Record, View};

/// Identifies a write to the disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WriteId(pub u64);

/// Identifies a proposal; chosen by the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProposalId(pub u64);

/// An input to a replica.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message was received.
    Message {
        /// The internal address of the sending machine.
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
    /// A change is proposed.
    Propose {
        /// Identifies the proposal in [`Output::Answer`].
        proposal_id: ProposalId,
        /// The change.
        change: Change,
    },
    /// The first view, at the first start of the system.
    Bootstrap {
        /// The view, of epoch 1.
        view: View,
    },
    /// Internal addresses at which members may be found, for a replica that isn't a member.
    Peers(Vec<SocketAddrV4>),
    /// The process begins a graceful shutdown.
    ShutDown,
}

/// An action that the caller carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message.
    Send {
        /// The internal address of the receiver.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Make these records durable atomically, in the order of the write ids.
    Persist {
        /// Identifies the write in [`Input::WriteCompleted`] and [`Input::WriteFailed`].
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
    /// The primary has committed a state.
    Committed {
        /// The state.
        state: Arc<ControlState>,
    },
    /// This replica is primary from now on, within its lease.
    BecamePrimary {
        /// The epoch.
        epoch: u64,
    },
    /// This replica is no longer primary, or its lease has expired.
    SteppedDown,
    /// No other replica depends on this process any longer: it may exit.
    ReadyToExit,
}

/// The result of a proposal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The change is committed: durable on the primary and all backups.
    Committed,
    /// Another version is current; the change was not and won't be committed.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The version isn't higher than the current one; the change was not and won't be committed.
    VersionNotHigher {
        /// The current version.
        current: u64,
    },
    /// This replica isn't primary and hasn't started to replicate the change.
    NotPrimary {
        /// The internal address of the primary, if known.
        primary: Option<SocketAddrV4>,
    },
    /// The change may be committed or not.
    Unknown,
}
