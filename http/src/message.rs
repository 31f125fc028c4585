//! Requests with streamed bodies, and the framing of outgoing messages.

use std::cell::RefCell;

use tokio::sync::mpsc;

use crate::buffers::{Chain, Pool};
use crate::{Framing, Head};

/// A request.
pub struct Request {
    /// Its first line and fields.
    pub head: Head,
    /// Its body without framing, or the beginning of one that is streamed.
    pub body: Chain,
    /// The rest of a body that is streamed.
    pub rest: Option<BodyStream>,
}

/// The rest of a request's body, which its client is still sending.
pub struct BodyStream {
    /// The length of the complete body in bytes, if its client announced it.
    pub length: Option<u64>,
    /// The channel of the parts. Once a part has been received, only its receiver can still send the complete request.
    pub parts: RefCell<Option<mpsc::Receiver<BodyPart>>>,
}

/// A part of a streamed body.
pub struct BodyPart {
    /// The bytes, without framing.
    pub bytes: Chain,
    /// Whether this is the last part.
    pub last: bool,
}

impl Request {
    /// How its body is framed when it is sent to an app server; `None` if it has no body.
    pub fn framing(&self) -> Option<Framing> {
        match &self.rest {
            Some(BodyStream { length: Some(length), .. }) => Some(Framing::Length(*length)),
            Some(_) => Some(Framing::Chunked),
            None if self.body.is_empty() && matches!(self.head.method(), "GET" | "HEAD") => None,
            None => Some(Framing::Length(self.body.len() as u64)),
        }
    }
}

/// The bytes before and after the data of a chunk (RFC 9112, section 7.1).
pub struct ChunkFrame {
    /// The size line.
    pub before: Chain,
    /// The line end, followed by the last chunk if the body ends.
    pub after: Chain,
}

impl ChunkFrame {
    /// The empty frame for a body that isn't chunked.
    pub fn empty(pool: &Pool) -> Self {
        ChunkFrame { before: pool.chain(), after: pool.chain() }
    }
}

/// The frame of a chunk of `length` bytes, which ends the body if `last`.
pub fn chunk_frame(pool: &Pool, length: usize, last: bool) -> ChunkFrame {
    let (mut before, mut after) = (pool.chain(), pool.chain());
    // A chunk of length 0 would end the body.
    if length > 0 {
        before.push(format!("{length:x}\r\n").as_bytes());
        after.push(b"\r\n");
    }
    if last {
        after.push(b"0\r\n\r\n");
    }
    ChunkFrame { before, after }
}

/// Appends the field that declares the framing of a body, if the framing needs one.
pub fn push_framing_field(to: &mut Chain, framing: Framing) {
    match framing {
        Framing::Length(length) => to.push(format!("Content-Length: {length}\r\n").as_bytes()),
        Framing::Chunked => to.push(b"Transfer-Encoding: chunked\r\n"),
        Framing::UntilClose => {}
    }
}

/// Appends the end-to-end fields of a head (RFC 9110, section 7.6.1), except those named in `except`.
pub fn push_end_to_end_fields(to: &mut Chain, head: &Head, except: &[&str]) {
    for (name, value) in head.end_to_end() {
        if !except.iter().any(|other| other.eq_ignore_ascii_case(name)) {
            to.push(name.as_bytes());
            to.push(b": ");
            to.push(value);
            to.push(b"\r\n");
        }
    }
}
