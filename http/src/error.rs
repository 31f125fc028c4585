//! Why a message could not be read.

use std::fmt::{self, Display, Formatter};

/// Why no whole message came.
#[derive(Debug)]
pub enum ReadError {
    /// The other side ended the connection, or it broke.
    Closed,
    /// What came is no HTTP/1.1 message.
    Malformed(&'static str),
    /// The head is longer than it may be here; [`MAX_HEAD_BYTES`](crate::MAX_HEAD_BYTES) bytes if not told otherwise.
    HeadTooLong,
    /// The body is longer than it may be here; [`MAX_BODY_BYTES`](crate::MAX_BODY_BYTES) bytes if not told otherwise.
    BodyTooLong,
}

impl Display for ReadError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Closed => f.write_str("the connection ended"),
            ReadError::Malformed(what) => f.write_str(what),
            ReadError::HeadTooLong => f.write_str("the head is too long"),
            ReadError::BodyTooLong => f.write_str("the body is too long"),
        }
    }
}

impl std::error::Error for ReadError {}
