//! HTTP/1.1 (RFC 9112): heads, framing, pooled buffers and connections.
//!
//! Two programs share this package: the balancer (`daemon`) and the nodes of the router fleet (`dataplane`,
//! `controlplane`). Heads, framing and bodies do no I/O; [`Connection`] connects them to a socket. Buffers come from one
//! [`buffers::Pool`] per thread, so types that hold buffers can't be sent to another thread.

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
pub use error::{MalformedMessage, ReadError};
pub use framing::{ChunkedDecoder, Framing};
pub use head::{Fields, Head};
pub use message::{
    BodyPart, BodyStream, ChunkFrame, Request, chunk_frame, push_end_to_end_fields, push_framing_field,
};

/// The longest head that is read, in bytes, unless a connection has another limit.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The longest body that is read, in bytes, unless a body has another limit. Bodies of 32 MB occur; longer ones are
/// mistakes or attacks.
pub const MAX_BODY_BYTES: u64 = 40 * 1024 * 1024;
