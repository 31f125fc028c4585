//! Frames on a connection between two nodes.
//!
//! A frame is the length of its body (4 bytes), the CRC-32 of its body (4 bytes, IEEE 802.3), both little-endian, and the
//! body. After a corrupted frame the frame boundaries are unknown, so a connection must be closed at the first error.

use snafu::{Snafu, ensure};

/// The maximum length of a body, in bytes. A configuration of 4 MiB with its envelope fits.
pub const MAX_BODY_BYTES: usize = 6 * 1024 * 1024;
/// Length of the header before a body, in bytes.
pub const HEADER_BYTES: usize = 8;

/// Why no further frame can be read from a connection.
#[derive(Debug, Snafu, Clone, PartialEq, Eq)]
pub enum FrameError {
    /// The length exceeds [`MAX_BODY_BYTES`].
    #[snafu(display("a frame of {length} bytes is too long"))]
    TooLong {
        /// The length in the header, in bytes.
        length: usize,
    },
    /// The checksum in the header doesn't match the body.
    #[snafu(display("a frame's checksum does not fit its body"))]
    Checksum,
}

/// Appends a frame with this body, which has at most [`MAX_BODY_BYTES`].
pub fn write(body: &[u8], to: &mut Vec<u8>) {
    to.extend_from_slice(&(body.len() as u32).to_le_bytes());
    to.extend_from_slice(&crc32fast::hash(body).to_le_bytes());
    to.extend_from_slice(body);
}

/// Splits the bytes that arrive on a connection into frames.
#[derive(Debug, Default)]
pub struct FrameReader {
    /// Received bytes. Those before `start` have been returned and are dropped by the next [`FrameReader::push`].
    pending: Vec<u8>,
    /// Offset of the next frame in `pending`.
    start: usize,
}

impl FrameReader {
    /// Appends received bytes; they need not end at a frame boundary.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.start == self.pending.len() {
            // The memory of a long frame isn't kept for the short ones after it.
            self.pending = Vec::new();
        } else {
            self.pending.drain(..self.start);
        }
        self.start = 0;
        let missing = self.incomplete_length().saturating_sub(self.pending.len());
        self.pending.reserve_exact(missing.min(MAX_BODY_BYTES).max(bytes.len()));
        self.pending.extend_from_slice(bytes);
    }

    /// The length of the frame that is incomplete, with its header, in bytes; 0 while that isn't known. Call it after
    /// [`FrameReader::next_body`] has returned `None`.
    pub fn incomplete_length(&self) -> usize {
        let Some(header) = self.pending[self.start..].first_chunk::<HEADER_BYTES>() else { return 0 };
        HEADER_BYTES + u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize
    }

    /// Returns the body of the next frame, or `None` if it is incomplete.
    ///
    /// # Errors
    ///
    /// [`FrameError::TooLong`] for a length above [`MAX_BODY_BYTES`], as soon as the header has been received;
    /// [`FrameError::Checksum`] for a corrupted body. All later calls fail as well, so close the connection.
    pub fn next_body(&mut self) -> Result<Option<&[u8]>, FrameError> {
        let pending = &self.pending[self.start..];
        let Some((head, rest)) = pending.split_at_checked(HEADER_BYTES) else { return Ok(None) };
        let word = |at: usize| u32::from_le_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let (length, checksum) = (word(0) as usize, word(4));
        ensure!(length <= MAX_BODY_BYTES, TooLongSnafu { length });
        let Some(body) = rest.get(..length) else { return Ok(None) };
        ensure!(crc32fast::hash(body) == checksum, ChecksumSnafu);
        let body_start = self.start + HEADER_BYTES;
        self.start = body_start + length;
        Ok(Some(&self.pending[body_start..self.start]))
    }
}
