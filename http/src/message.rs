//! Requests with bodies that flow, and the parts of text that frame a message on its way out.

use std::cell::RefCell;

use tokio::sync::mpsc;

use crate::buffers::{Chain, Pool};
use crate::{Framing, Head};

/// A request.
pub struct Request {
    /// Its first line and headers.
    pub head: Head,
    /// Its body without framing, or what is kept of one that flows.
    pub body: Chain,
    /// What follows behind that.
    pub rest: Option<BodyStream>,
}

/// The rest of a request's body, as its client sends it.
pub struct BodyStream {
    /// How long the whole body is, if its client said so.
    pub length: Option<u64>,
    /// Where the parts come from. Whoever has used one of them is the only one to pass the request on.
    pub parts: RefCell<Option<mpsc::Receiver<BodyPart>>>,
}

/// A piece of a body.
pub struct BodyPart {
    /// The bytes, without framing.
    pub bytes: Chain,
    /// None follows.
    pub last: bool,
}

impl Request {
    /// How its body is framed on the way to an app server; none if it has none.
    pub fn framing(&self) -> Option<Framing> {
        match &self.rest {
            Some(BodyStream { length: Some(length), .. }) => Some(Framing::Length(*length)),
            Some(_) => Some(Framing::Chunked),
            None if self.body.is_empty() && matches!(self.head.method(), "GET" | "HEAD") => None,
            None => Some(Framing::Length(self.body.len() as u64)),
        }
    }
}

/// What stands before and behind a piece of a body in chunks.
pub fn chunk(pool: &Pool, length: usize, last: bool) -> (Chain, Chain) {
    let (mut before, mut after) = (pool.chain(), pool.chain());
    // A chunk of no length would end the body.
    if length > 0 {
        before.push(format!("{length:x}\r\n").as_bytes());
        after.push(b"\r\n");
    }
    if last {
        after.push(b"0\r\n\r\n");
    }
    (before, after)
}

/// Appends the field that says how a body is framed, if one has to.
pub fn push_framing_field(to: &mut Chain, framing: Framing) {
    match framing {
        Framing::Length(length) => to.push(format!("Content-Length: {length}\r\n").as_bytes()),
        Framing::Chunked => to.push(b"Transfer-Encoding: chunked\r\n"),
        Framing::UntilClose => {}
    }
}

/// Appends the fields that are meant for the far end, but for those named.
pub fn push_end_to_end_fields(to: &mut Chain, head: &Head, but: &[&str]) {
    for (name, value) in head.end_to_end() {
        if !but.iter().any(|other| other.eq_ignore_ascii_case(name)) {
            to.push(name.as_bytes());
            to.push(b": ");
            to.push(value);
            to.push(b"\r\n");
        }
    }
}
