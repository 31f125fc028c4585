//! Replicated control state of the router fleet: one primary, its backups, and witnesses, as a state machine
//! without input or output of its own.
//!
//! Each core machine runs one [`Replica`]. The caller hands it messages, completed writes and the time, and carries
//! out the [`Output`]s. The protocol and the argument for its safety are in `docs/control-state.md`.

mod campaign;
mod config;
mod disk;
mod election;
mod handover;
mod heartbeat;
mod history;
mod input;
mod installation;
mod leadership;
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

pub use config::{Flaw, ReplicaConfig};
pub use history::{ACCEPTED_BYTES, ACCEPTED_KEPT, AcceptedConfiguration, AcceptedHistory, Remembered};
pub use input::{Input, Outcome, Output, Ticket, Token};
pub use lease::HeldLease;
pub use member::{Member, ReplicaId};
pub use message::{Body, Message};
pub use record::{Data, Position, Record, Recovered};
pub use replica::{Reading, Replica};
pub use state::{Change, ControlState, Fingerprint, Judgement, StoredConfiguration};
pub use status::{Role, Status};
pub use view::{Ballot, KnownView, View};
