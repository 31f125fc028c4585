//! Reads a body part by part and finds its end. No I/O.

use crate::buffers::Chain;
use crate::framing::{ChunkedDecoder, Framing};
use crate::{MAX_BODY_BYTES, ReadError};

/// The unread rest of a body.
pub struct Body {
    remaining: Remaining,
    /// Bytes taken so far.
    taken: u64,
    /// Maximum length of the body in bytes.
    limit: u64,
}

enum Remaining {
    Length(u64),
    Chunked(ChunkedDecoder),
    UntilClose,
}

impl Body {
    /// Creates the reader of a new body of at most [`MAX_BODY_BYTES`].
    ///
    /// # Errors
    ///
    /// [`ReadError::BodyTooLong`] if its length is beyond that.
    pub fn new(framing: Framing) -> Result<Self, ReadError> {
        Body::with_limit(framing, MAX_BODY_BYTES)
    }

    /// Creates the reader of a new body of at most `limit` bytes.
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

    /// Moves bytes of the body from `input` to `to` until `to` has `max_length` bytes or `input` has no more of them;
    /// true once the body is complete.
    ///
    /// # Errors
    ///
    /// [`ReadError::Malformed`] if the chunks are malformed, [`ReadError::BodyTooLong`] beyond the limit.
    pub fn take(&mut self, input: &mut Chain, to: &mut Chain, max_length: usize) -> Result<bool, ReadError> {
        let initial_length = to.len();
        let space = max_length.saturating_sub(initial_length);
        let complete = match &mut self.remaining {
            Remaining::Length(remaining) => {
                let length = (*remaining).min(space as u64) as usize;
                let length = length.min(input.len());
                input.move_front_to(length, to);
                *remaining -= length as u64;
                *remaining == 0
            }
            Remaining::Chunked(decoder) => decoder.take(input, to, max_length)?,
            Remaining::UntilClose => {
                input.move_front_to(space.min(input.len()), to);
                false
            }
        };
        self.taken += (to.len() - initial_length) as u64;
        if self.taken > self.limit { Err(ReadError::BodyTooLong) } else { Ok(complete) }
    }

    /// Checks the end of the body after the connection has ended and everything buffered has been taken.
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
