//! Frames and messages between the processes of the fleet, by Protocol Buffers.
//!
//! [`frame`] cuts a connection into bodies, [`Envelope`] is what a body carries. Messages of other packages are written
//! here, so that those packages know nothing of bytes.

mod control;
mod envelope;
mod fields;
pub mod frame;
mod load;
mod node;
mod registry;
mod spread;

pub use envelope::{Content, Envelope};
pub use fields::{Decode, DecodeError, Encode, FieldWriter, Fields};
pub use load::{KeptPrompt, LoadShare, PromptPart, ServerShare, StoreReport};
pub use node::{
    ControlCall, Forward, Forwarded, Identity, NewestAsk, NewestTold, SessionBeat, SessionGrant, ViewSummary,
};
pub use registry::{Registration, Weights};
