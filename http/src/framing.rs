//! How long a body is, and the chunked coding (RFC 9112, sections 6 and 7).

use crate::buffers::Chain;
use crate::{MAX_BODY_BYTES, MalformedMessage, ReadError};

/// The end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// After so many bytes.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// Where the connection ends.
    UntilClose,
}

/// The longest size line or trailer line, in bytes.
const MAX_LINE_BYTES: usize = 1024;
/// The most trailer fields.
const MAX_TRAILERS: usize = 32;

/// Decodes a chunked body.
pub struct ChunkedDecoder {
    state: ChunkState,
    trailers: usize,
    /// The longest chunk, in bytes.
    limit: u64,
}

/// What is due next.
enum ChunkState {
    Size,
    /// So many bytes of a chunk.
    Data(u64),
    /// The line end behind a chunk.
    DataEnd,
    Trailers,
}

impl Default for ChunkedDecoder {
    fn default() -> Self {
        ChunkedDecoder::new()
    }
}

impl ChunkedDecoder {
    /// For a body of which nothing has been taken, in chunks of [`MAX_BODY_BYTES`] at most.
    pub fn new() -> Self {
        ChunkedDecoder::with_limit(MAX_BODY_BYTES)
    }

    /// For a body of which nothing has been taken, in chunks of `limit` bytes at most.
    pub fn with_limit(limit: u64) -> Self {
        ChunkedDecoder { state: ChunkState::Size, trailers: 0, limit }
    }

    /// Moves what has come of the body, until `body` holds `most` bytes; true once it is complete.
    ///
    /// # Errors
    ///
    /// [`ReadError::Malformed`] if the chunks have no valid form, [`ReadError::BodyTooLong`] for a chunk beyond the limit.
    pub fn take(&mut self, inbox: &mut Chain, body: &mut Chain, most: usize) -> Result<bool, ReadError> {
        loop {
            match self.state {
                ChunkState::Size => {
                    let Some(line) = take_line(inbox)? else { return Ok(false) };
                    let size = self.chunk_size(&line)?;
                    self.state = if size == 0 { ChunkState::Trailers } else { ChunkState::Data(size) };
                }
                ChunkState::Data(remaining) => {
                    let space = most.saturating_sub(body.len()).min(inbox.len());
                    let here = remaining.min(space as u64);
                    inbox.move_front_to(here as usize, body);
                    if here < remaining {
                        self.state = ChunkState::Data(remaining - here);
                        return Ok(false);
                    }
                    self.state = ChunkState::DataEnd;
                }
                ChunkState::DataEnd => match take_line(inbox)? {
                    None => return Ok(false),
                    Some(rest) if rest.is_empty() => self.state = ChunkState::Size,
                    Some(_) => return Err(MalformedMessage::ChunkTooLong.into()),
                },
                ChunkState::Trailers => match take_line(inbox)? {
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

    /// The size in a size line; extensions behind it are ignored.
    fn chunk_size(&self, line: &[u8]) -> Result<u64, ReadError> {
        let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
        let valid = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
        let text = std::str::from_utf8(digits).ok().filter(|_| valid);
        let text = text.ok_or(MalformedMessage::InvalidChunkSize)?;
        // More digits than a u64 has are no error of form: the chunk is too long.
        let size = u64::from_str_radix(text, 16).map_err(|_| ReadError::BodyTooLong)?;
        if size > self.limit { Err(ReadError::BodyTooLong) } else { Ok(size) }
    }
}

/// Takes the next complete line, without its end.
fn take_line(inbox: &mut Chain) -> Result<Option<Vec<u8>>, MalformedMessage> {
    let Some(end) = inbox.bytes().take(MAX_LINE_BYTES).position(|b| b == b'\n') else {
        return match inbox.len() < MAX_LINE_BYTES {
            true => Ok(None),
            false => Err(MalformedMessage::LineTooLong),
        };
    };
    let mut text = inbox.copy_front(end);
    inbox.consume(end + 1);
    if text.last() == Some(&b'\r') {
        text.pop();
    }
    Ok(Some(text))
}
