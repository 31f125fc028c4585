//! Frames and messages between the processes of the fleet, by Protocol Buffers.
//!
//! [`frame`] cuts a connection into bodies, [`Envelope`] is what a body carries. Messages of other packages are written
//! here, so that those packages know nothing of bytes.

mod control;
mod envelope;
mod fields;
pub mod frame;
mod gossip;
mod load;
mod node;
mod registry;

pub use envelope::{Content, Envelope};
pub use fields::{Decode, DecodeError, Encode, FieldWriter, Fields};
pub use load::{CacheStoreReport, CachedPrefix, PeerLoadReport, PromptChunk, ServerLoad};
pub use node::{
    ControlCall, ForwardedCall, ForwardedReply, Identity, SessionHeartbeat, SessionHeartbeatReply,
    VersionQuery, VersionReply, ViewSummary,
};
pub use registry::{ModelVersion, Registration};
