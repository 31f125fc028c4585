//! Frames on a connection between two nodes: length, checksum, body.

use snafu::{Snafu, ensure};

/// The longest body, in bytes: a configuration of 4 MiB with what is round it.
pub const MAX_BODY_BYTES: usize = 6 * 1024 * 1024;
/// Bytes of the length and the checksum before a body.
pub const HEADER_BYTES: usize = 8;

/// Why a connection can't be read on.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The length is beyond [`MAX_BODY_BYTES`].
    #[snafu(display("a frame of {length} bytes is too long"))]
    TooLong {
        /// The length that was told.
        length: usize,
    },
    /// The checksum is not that of the body.
    #[snafu(display("a frame's checksum does not fit its body"))]
    Checksum,
}

/// Appends a frame with this body.
pub fn write(body: &[u8], to: &mut Vec<u8>) {
    to.extend_from_slice(&(body.len() as u32).to_le_bytes());
    to.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    to.extend_from_slice(body);
}

/// Cuts what comes on a connection into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    pending: Vec<u8>,
    start: usize,
}

impl FrameReader {
    /// Takes in bytes as they come.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.start > 0 {
            self.pending.drain(..self.start);
            self.start = 0;
        }
        self.pending.extend_from_slice(bytes);
    }

    /// The body of the next frame, if it is all there.
    ///
    /// # Errors
    ///
    /// [`FrameError`]; the connection is of no more use then.
    pub fn next_body(&mut self) -> Result<Option<&[u8]>, FrameError> {
        let pending = &self.pending[self.start..];
        let Some((head, rest)) = pending.split_at_checked(HEADER_BYTES) else { return Ok(None) };
        let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (length, checksum) = (word(0) as usize, word(4));
        ensure!(length <= MAX_BODY_BYTES, TooLongSnafu { length });
        let Some(body) = rest.get(..length) else { return Ok(None) };
        ensure!(crc32fast::hash(body) == checksum, ChecksumSnafu);
        let from = self.start + HEADER_BYTES;
        self.start = from + length;
        Ok(Some(&self.pending[from..from + length]))
    }
}
