//! A body that is taken piece by piece: where it ends, and what is left of it. No I/O.

use crate::buffers::Chain;
use crate::framing::{ChunkedDecoder, Framing};
use crate::{MAX_BODY_BYTES, ReadError};

/// What is still to come of a body.
pub struct Body {
    remaining: Remaining,
    passed: u64,
    most: u64,
}

enum Remaining {
    Length(u64),
    ChunkedDecoder(ChunkedDecoder),
    UntilClose,
}

impl Body {
    /// A body framed so, of which nothing was taken, of [`MAX_BODY_BYTES`] bytes at most. Error: [`ReadError::BodyTooLong`].
    pub fn new(framing: Framing) -> Result<Self, ReadError> {
        Body::with_limit(framing, MAX_BODY_BYTES)
    }

    /// A body framed so, of which nothing was taken, of `most` bytes at most. Error: [`ReadError::BodyTooLong`] if it
    /// announces more.
    pub fn with_limit(framing: Framing, most: u64) -> Result<Self, ReadError> {
        let remaining = match framing {
            Framing::Length(length) if length > most => return Err(ReadError::BodyTooLong),
            Framing::Length(length) => Remaining::Length(length),
            Framing::Chunked => Remaining::ChunkedDecoder(ChunkedDecoder::with_limit(most)),
            Framing::UntilClose => Remaining::UntilClose,
        };
        Ok(Body { remaining, passed: 0, most })
    }

    /// Moves what has come, until `to` holds `most` bytes; true once the body is whole. Error: the chunks have no form,
    /// or the body is longer than it may be.
    pub fn take(&mut self, inbox: &mut Chain, to: &mut Chain, most: usize) -> Result<bool, ReadError> {
        let had = to.len();
        let room = most.saturating_sub(had);
        let whole = match &mut self.remaining {
            Remaining::Length(left) => {
                let here = (*left).min(room as u64) as usize;
                let here = here.min(inbox.len());
                inbox.move_front_to(here, to);
                *left -= here as u64;
                *left == 0
            }
            Remaining::ChunkedDecoder(chunks) => chunks.take(inbox, to, most)?,
            Remaining::UntilClose => {
                inbox.move_front_to(room.min(inbox.len()), to);
                false
            }
        };
        self.passed += (to.len() - had) as u64;
        if self.passed > self.most { Err(ReadError::BodyTooLong) } else { Ok(whole) }
    }

    /// The connection has ended, with nothing left to take: the body is whole if that ends it. Error:
    /// [`ReadError::Closed`] if it is cut short.
    pub fn finish(&self) -> Result<(), ReadError> {
        if matches!(self.remaining, Remaining::UntilClose) { Ok(()) } else { Err(ReadError::Closed) }
    }
}

#[cfg(test)]
mod tests;
