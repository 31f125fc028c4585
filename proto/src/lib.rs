//! The wire protocol between the processes of the fleet: frames, and messages in Protocol Buffers.
//!
//! A connection carries frames ([`frame`]), the body of a frame is an [`Envelope`]; a UDP datagram is a
//! [`PeerLoadReport`]. Messages of the sans-I/O crates `gradepaddle-control` and `gradepaddle-gossip` are encoded here, so
//! that those crates are independent of the wire format; `gradepaddle-store` writes the same records to disk.
//!
//! There is no generated code: [`Encode`] and [`Decode`] are implemented by hand. Builds of two versions run side by side
//! during an upgrade, so a field number is never reused and unknown fields are skipped.

mod call;
mod control;
mod envelope;
mod fields;
pub mod frame;
mod gossip;
mod load_report;
mod registration;
mod session;
mod version;

pub use call::{ControlCall, ForwardedCall, ForwardedReply};
pub use envelope::{Content, Envelope};
pub use fields::{Decode, DecodeError, Encode, FieldWriter, Fields};
pub use load_report::{CacheStoreReport, CachedPrefix, PeerLoadReport, PromptChunk, ServerLoad};
pub use registration::{ModelVersion, Registration};
pub use session::{Identity, SessionHeartbeat, SessionHeartbeatReply, ViewSummary};
pub use version::{VersionQuery, VersionReply};
