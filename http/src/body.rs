//! A body that is read part by part: where it ends, and what is still to come. No I/O.

use crate::buffers::Chain;
use crate::framing::{ChunkedDecoder, Framing};
use crate::{MAX_BODY_BYTES, ReadError};

/// What is still to come of a body.
pub struct Body {
    remaining: Remaining,
    /// Bytes taken so far.
    taken: u64,
    /// Bytes that the body may have.
    limit: u64,
}

enum Remaining {
    Length(u64),
    Chunked(ChunkedDecoder),
    UntilClose,
}

impl Body {
    /// A body of which nothing was taken, of [`MAX_BODY_BYTES`] at most.
    ///
    /// # Errors
    ///
    /// [`ReadError::BodyTooLong`] if its length is beyond that.
    pub fn new(framing: Framing) -> Result<Self, ReadError> {
        Body::with_limit(framing, MAX_BODY_BYTES)
    }

    /// A body of which nothing was taken, of `limit` bytes at most.
    ///
    /// # Errors
    ///
    /// [`ReadError::BodyTooLong`] if its length is beyond that.
    pub fn with_limit(framing: Framing, limit: u64) -> Result<Self, ReadError> {
        let remaining = match framing {
            Framing::Length(length) if length > limit => return Err(ReadError::BodyTooLong),
            Framing::Length(length) => Remaining::Length(length),
            Framing::Chunked => Remaining::Chunked(ChunkedDecoder::with_limit(limit)),
            Framing::UntilClose => Remaining::UntilClose,
        };
        Ok(Body { remaining, taken: 0, limit })
    }

    /// Moves what has come, until `to` holds `most` bytes; true once the body is complete.
    ///
    /// # Errors
    ///
    /// [`ReadError::Malformed`] if the chunks have no valid form, [`ReadError::BodyTooLong`] beyond the limit.
    pub fn take(&mut self, inbox: &mut Chain, to: &mut Chain, most: usize) -> Result<bool, ReadError> {
        let had = to.len();
        let space = most.saturating_sub(had);
        let complete = match &mut self.remaining {
            Remaining::Length(remaining) => {
                let here = (*remaining).min(space as u64) as usize;
                let here = here.min(inbox.len());
                inbox.move_front_to(here, to);
                *remaining -= here as u64;
                *remaining == 0
            }
            Remaining::Chunked(decoder) => decoder.take(inbox, to, most)?,
            Remaining::UntilClose => {
                inbox.move_front_to(space.min(inbox.len()), to);
                false
            }
        };
        self.taken += (to.len() - had) as u64;
        if self.taken > self.limit { Err(ReadError::BodyTooLong) } else { Ok(complete) }
    }

    /// The connection has ended, with nothing left to take.
    ///
    /// # Errors
    ///
    /// [`ReadError::Closed`] if that truncates the body.
    pub fn finish(&self) -> Result<(), ReadError> {
        if matches!(self.remaining, Remaining::UntilClose) { Ok(()) } else { Err(ReadError::Closed) }
    }
}

#[cfg(test)]
mod tests;
