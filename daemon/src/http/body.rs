//! A body that is taken piece by piece: where it ends, and what is left of it. No I/O.

use super::framing::{Chunks, Framing};
use super::{Fault, MAX_BODY};
use crate::buffers::Chain;

/// What is still to come of a body.
pub struct Body {
    left: Left,
    passed: u64,
}

enum Left {
    Length(u64),
    Chunks(Chunks),
    UntilClose,
}

impl Body {
    /// Of a body framed so, of which nothing was taken. One that announces too much is turned down at once.
    pub fn new(framing: Framing) -> Result<Self, Fault> {
        let left = match framing {
            Framing::Length(length) if length > MAX_BODY => return Err(Fault::LongBody),
            Framing::Length(length) => Left::Length(length),
            Framing::Chunked => Left::Chunks(Chunks::new()),
            Framing::UntilClose => Left::UntilClose,
        };
        Ok(Body { left, passed: 0 })
    }

    /// Moves what has come, until `to` holds `most`; true once the body is whole.
    pub fn take(&mut self, inbox: &mut Chain, to: &mut Chain, most: usize) -> Result<bool, Fault> {
        let had = to.len();
        let room = most.saturating_sub(had);
        let whole = match &mut self.left {
            Left::Length(left) => {
                let here = (*left).min(room as u64) as usize;
                let here = here.min(inbox.len());
                inbox.shift(here, to);
                *left -= here as u64;
                *left == 0
            }
            Left::Chunks(chunks) => chunks.take(inbox, to, most)?,
            Left::UntilClose => {
                inbox.shift(room.min(inbox.len()), to);
                false
            }
        };
        self.passed += (to.len() - had) as u64;
        if self.passed > MAX_BODY { Err(Fault::LongBody) } else { Ok(whole) }
    }

    /// The connection has ended, with nothing left to take: the body is whole if that ends it.
    pub fn end(&self) -> Result<(), Fault> {
        if matches!(self.left, Left::UntilClose) { Ok(()) } else { Err(Fault::Ended) }
    }
}

#[cfg(test)]
mod tests;
