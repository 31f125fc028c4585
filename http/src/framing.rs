//! The length of a message body and the chunked transfer coding (RFC 9112, sections 6 and 7).

use crate::buffers::Chain;
use crate::{MAX_BODY_BYTES, MalformedMessage, ReadError};

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After this many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// At the end of the connection.
    UntilClose,
}

/// The longest size line or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// The most bytes of chunk extensions of one body beyond those of its chunks: the limit of the body's length doesn't bound
/// them.
const MAX_EXCESS_EXTENSION_BYTES: u64 = 64 * 1024;
/// The largest number of trailer fields.
const MAX_TRAILERS: usize = 32;

/// Decodes a chunked body.
pub struct ChunkedDecoder {
    state: ChunkState,
    trailers: usize,
    /// Bytes of chunk extensions that were ignored.
    extension_bytes: u64,
    /// The sum of the sizes of all chunks so far, in bytes.
    chunk_bytes: u64,
    /// The longest chunk, in bytes.
    limit: u64,
}

/// The part that is expected next.
enum ChunkState {
    Size,
    /// The remaining bytes of a chunk.
    Data(u64),
    /// The line end after a chunk.
    DataEnd,
    Trailers,
}

impl Default for ChunkedDecoder {
    fn default() -> Self {
        ChunkedDecoder::new()
    }
}

impl ChunkedDecoder {
    /// Creates a decoder for a new body in chunks of at most [`MAX_BODY_BYTES`].
    pub fn new() -> Self {
        ChunkedDecoder::with_limit(MAX_BODY_BYTES)
    }

    /// Creates a decoder for a new body in chunks of at most `limit` bytes.
    pub fn with_limit(limit: u64) -> Self {
        ChunkedDecoder { state: ChunkState::Size, trailers: 0, extension_bytes: 0, chunk_bytes: 0, limit }
    }

    /// Moves decoded bytes from `input` to `body` until `body` has `max_length` bytes or `input` has no more of them; true
    /// once the body is complete.
    ///
    /// # Errors
    ///
    /// [`ReadError::Malformed`] if the chunks are malformed, [`ReadError::BodyTooLong`] for a chunk beyond the limit.
    pub fn take(
        &mut self,
        input: &mut Chain,
        body: &mut Chain,
        max_length: usize,
    ) -> Result<bool, ReadError> {
        loop {
            match self.state {
                ChunkState::Size => {
                    let Some(line) = take_line(input)? else { return Ok(false) };
                    let size = self.chunk_size(&line)?;
                    self.state = if size == 0 { ChunkState::Trailers } else { ChunkState::Data(size) };
                }
                ChunkState::Data(remaining) => {
                    let space = max_length.saturating_sub(body.len()).min(input.len());
                    let length = remaining.min(space as u64);
                    input.move_front_to(length as usize, body);
                    if length < remaining {
                        self.state = ChunkState::Data(remaining - length);
                        return Ok(false);
                    }
                    self.state = ChunkState::DataEnd;
                }
                ChunkState::DataEnd => match take_line(input)? {
                    None => return Ok(false),
                    Some(rest) if rest.is_empty() => self.state = ChunkState::Size,
                    Some(_) => return Err(MalformedMessage::ChunkTooLong.into()),
                },
                ChunkState::Trailers => match take_line(input)? {
                    None => return Ok(false),
                    Some(rest) if rest.is_empty() => return Ok(true),
                    Some(_) => self.trailers += 1,
                },
            }
            if self.trailers > MAX_TRAILERS {
                return Err(MalformedMessage::TooManyTrailers.into());
            }
        }
    }

    /// Parses the size in a size line; chunk extensions after it are counted and ignored.
    fn chunk_size(&mut self, line: &[u8]) -> Result<u64, ReadError> {
        let digits = line.split(|b| *b == b';').next().unwrap_or_default();
        self.extension_bytes += (line.len() - digits.len()) as u64;
        let digits = digits.trim_ascii();
        let valid = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
        let text = std::str::from_utf8(digits).ok().filter(|_| valid);
        let text = text.ok_or(MalformedMessage::InvalidChunkSize)?;
        // A number that doesn't fit a u64 is well-formed: the chunk is too long.
        let size = u64::from_str_radix(text, 16).map_err(|_| ReadError::BodyTooLong)?;
        if size > self.limit {
            return Err(ReadError::BodyTooLong);
        }
        self.chunk_bytes = self.chunk_bytes.saturating_add(size);
        if self.extension_bytes > self.chunk_bytes.saturating_add(MAX_EXCESS_EXTENSION_BYTES) {
            return Err(MalformedMessage::ExtensionsTooLong.into());
        }
        Ok(size)
    }
}

/// Takes the next complete line, without its line end.
fn take_line(input: &mut Chain) -> Result<Option<Vec<u8>>, MalformedMessage> {
    let Some(end) = input.bytes().take(MAX_LINE_BYTES).position(|b| b == b'\n') else {
        return match input.len() < MAX_LINE_BYTES {
            true => Ok(None),
            false => Err(MalformedMessage::LineTooLong),
        };
    };
    let mut text = input.copy_front(end);
    input.consume(end + 1);
    if text.last() == Some(&b'\r') {
        text.pop();
    }
    Ok(Some(text))
}
