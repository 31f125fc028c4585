//! The messages, records and replicated state of `gradepaddle-control` as Protocol Buffers.
//!
//! Field and variant numbers are shared with other nodes of the fleet and with files that an earlier build wrote: a number
//! is never reused for another meaning. `proto/tests/golden.rs` pins the bytes.

mod message;
mod record;
mod state;
