//! The book: state that all balancers share. It is the result of applying a log that the keepers replicate with Raft. A
//! keeper is a Raft member that stores the log on its disk. The design and its alternatives are in `docs/fleet-book.md`.
//!
//! The crate uses no sockets and no clock: [`Keeper`] takes ticks, messages and the disk's acknowledgements, and returns
//! what to send, persist and report. Consensus is implemented by the `raft` library. Only [`store::Disk`] does I/O.

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

/// Identifies a keeper by its disk. The id is drawn at random when the disk file is created, so a keeper whose disk was
/// emptied counts as another member.
pub type KeeperId = u64;
