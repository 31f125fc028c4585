//! The messages, records and replicated state of `gradepaddle-control` as Protocol Buffers.
//!
//! Field and variant numbers are a contract with the other nodes of the fleet and with files that an earlier build wrote:
//! a number is never given to another meaning. `proto/tests/golden.rs` pins the bytes.

mod message;
mod record;
mod state;
