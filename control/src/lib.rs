//! Replicated control state of the router fleet: one primary, its backups, and witnesses, as a state machine
//! without input or output of its own.
//!
//! Each core machine runs one [`Replica`]. The caller hands it messages, completed writes and the time, and carries
//! out the [`Output`]s. The protocol and the argument for its safety are in `docs/control-state.md`.

mod campaign;
mod config;
mod disk;
mod election;
mod fault_injection;
mod heartbeat;
mod history;
mod input;
mod installation;
mod leadership;
mod leadership_transfer;
mod lease;
mod member;
mod membership;
mod message;
mod record;
mod replica;
mod replication;
mod state;
mod status;
mod transfer;
mod view;
mod view_change;

pub use config::ReplicaConfig;
pub use fault_injection::FaultInjection;
#[cfg(feature = "fault-injection")]
pub use fault_injection::InjectedFault;
pub use history::{
    ACCEPTED_HISTORY_BYTES, ACCEPTED_HISTORY_ENTRIES, AcceptedConfiguration, AcceptedHistory, HistoryLookup,
};
pub use input::{Input, Outcome, Output, ProposalId, WriteId};
pub use lease::Lease;
pub use member::{Member, ReplicaId};
pub use message::{
    Body, HeartbeatReply, InstallSnapshot, Message, PreVoteReply, Prepare, Promise, Reject, Replicate,
    SnapshotInstalled,
};
pub use record::{Data, LogPosition, Record, RecoveredState};
pub use replica::{LeaseRead, Replica};
pub use state::{Change, ChangeCheck, ControlState, Fingerprint, StoredConfiguration};
pub use status::{Role, Status};
pub use view::{KnownView, ProposalNumber, View};
