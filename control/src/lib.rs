//! The replicated control state of the fleet: a primary, its backups and witnesses agree on the configuration in force
//! and on the newest version of each model.
//!
//! Each core machine runs one [`Replica`], a state machine without I/O (sans-I/O): the caller passes it messages,
//! completed writes and the time with [`Replica::handle`], and carries out the [`Output`]s. That keeps the protocol
//! deterministic, so that tests can simulate thousands of sequences of events. It is a crate of its own so that no
//! other code can access its state.
//!
//! The protocol is primary-backup replication in numbered views (Viewstamped Replication Revisited, Liskov and Cowling
//! 2012). A view is chosen by Paxos: a candidate gets promises for an epoch, finds the newest state, installs it on the
//! backups, and has the view accepted (Paxos Made Simple, Lamport 2001; Vertical Paxos, Lamport et al. 2009, for a data
//! set that is smaller than the members). The primary acts under leases (Gray and Cheriton 1989). Pre-vote and
//! leadership transfer are those of Raft (Ongaro's thesis, sections 9.6 and 3.10). The argument for its safety is in
//! `docs/control-state.md`.
//!
//! | concern | modules |
//! | --- | --- |
//! | replica, dispatch of inputs | `replica`, `durability`, `disk` |
//! | forming a view | `election`, `pre_vote`, `prepare_phase`, `snapshot_installation`, `accept_phase`, `next_view` |
//! | voting for a view | `acceptor`, `known_view` |
//! | leading a view | `leadership`, `heartbeat`, `lease`, `proposals`, `replication`, `leadership_transfer` |
//! | changing members | `membership`, `view_change`, `joining`, `shutdown` |
//! | broken versions for tests | `fault_injection` |

mod accept_phase;
mod acceptor;
mod campaign;
mod config;
mod disaster_recovery;
mod disk;
mod durability;
mod election;
mod fault_injection;
mod heartbeat;
mod history;
mod input;
mod joining;
mod known_view;
mod leadership;
mod leadership_transfer;
mod lease;
mod member;
mod membership;
mod message;
mod next_view;
mod pre_vote;
mod prepare_phase;
mod proposals;
mod record;
mod replica;
mod replication;
mod shutdown;
mod snapshot_installation;
mod state;
mod status;
mod time;
mod transmission;
mod view;
mod view_change;

pub use config::ReplicaConfig;
pub use disaster_recovery::{EPOCH_GAP, RecoveryError, RecoveryPlan, RecoverySource, plan_recovery};
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
pub use time::Micros;
pub use view::{KnownView, ProposalNumber, View};
