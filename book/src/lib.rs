//! What balancers hold in common: a log that keepers replicate among themselves, and the state that follows from it. The
//! design and the ways weighed are in `docs/fleet-book.md`.
//!
//! No sockets and no clock: [`Keeper`] takes ticks, messages and what the disk has kept, and gives back what is to be
//! sent, kept and told. The consensus is the `raft` library's. The one edge that touches a disk is [`store::Disk`].

pub mod bans;
pub mod frame;
mod keeper;
mod ledger;
mod log;
mod message;
pub mod store;

pub use keeper::{Hello, Keeper, Output, Refused, Status, Timing, initial_batch};
pub use ledger::{Content, Ledger, LedgerError, Outcome, Write};
pub use log::{Entry, HardState, Membership, PersistentState, Snapshot};
pub use message::{Message, MessageError};

/// Names a keeper's disk: drawn when the disk is made, so that one that was emptied is another keeper.
pub type KeeperId = u64;
