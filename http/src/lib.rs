//! HTTP/1.1 codec, pooled buffers and connections, shared by the balancer and the fleet.
//!
//! Heads, framing and bodies do no I/O; [`Connection`] joins them to a socket. Buffers come from one [`buffers::Pool`]
//! for each thread: nothing here but the plain values can be sent to another.

mod body;
pub mod buffers;
mod connection;
mod error;
mod framing;
mod head;
pub mod idle_reuse;
mod message;
pub mod stall_budget;
#[cfg(any(test, feature = "testing"))]
pub mod testing;

pub use body::Body;
pub use connection::{Connection, HeadSearch};
pub use error::ReadError;
pub use framing::{ChunkedDecoder, Framing};
pub use head::{Fields, Head};
pub use message::{BodyPart, BodyStream, Request, chunk, push_end_to_end_fields, push_framing_field};

/// The longest head that is read, in bytes, where a connection is not told otherwise.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The longest body that is passed on, in bytes, where a body is not told otherwise: bodies of 32 MB occur, and longer
/// ones are nobody's.
pub const MAX_BODY_BYTES: u64 = 40 * 1024 * 1024;
