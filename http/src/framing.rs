//! How long a body is, and the chunked coding.

use crate::buffers::Chain;
use crate::{MAX_BODY_BYTES, ReadError};

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

/// A chunk's size line, and the lines behind the last chunk, are at most this long.
const MAX_LINE: usize = 1024;
const MAX_TRAILERS: usize = 32;

/// The state of a chunked body that is being read.
pub struct ChunkedDecoder {
    state: ChunkState,
    trailers: usize,
    most: u64,
}

enum ChunkState {
    Size,
    Data(u64),
    DataEnd,
    Trailers,
}

impl Default for ChunkedDecoder {
    fn default() -> Self {
        ChunkedDecoder::new()
    }
}

impl ChunkedDecoder {
    /// A body of which nothing has been taken, in chunks of [`MAX_BODY_BYTES`] bytes at most.
    pub fn new() -> Self {
        ChunkedDecoder::with_limit(MAX_BODY_BYTES)
    }

    /// A body of which nothing has been taken, in chunks of `most` bytes at most.
    pub fn with_limit(most: u64) -> Self {
        ChunkedDecoder { state: ChunkState::Size, trailers: 0, most }
    }

    /// Moves what has come of the body, until `body` holds `most`; true once it is whole.
    pub fn take(&mut self, inbox: &mut Chain, body: &mut Chain, most: usize) -> Result<bool, ReadError> {
        loop {
            match self.state {
                ChunkState::Size => {
                    let Some(line) = line(inbox, MAX_LINE)? else { return Ok(false) };
                    let digits = line.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
                    let valid = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
                    let text = std::str::from_utf8(digits).ok().filter(|_| valid);
                    let size = text.ok_or(ReadError::Malformed("a chunk's size is no number"))?;
                    let size = u64::from_str_radix(size, 16).map_err(|_| ReadError::BodyTooLong)?;
                    if size > self.most {
                        return Err(ReadError::BodyTooLong);
                    }
                    self.state = if size == 0 { ChunkState::Trailers } else { ChunkState::Data(size) };
                }
                ChunkState::Data(left) => {
                    let room = most.saturating_sub(body.len()).min(inbox.len());
                    let here = left.min(room as u64);
                    inbox.move_front_to(here as usize, body);
                    if here < left {
                        self.state = ChunkState::Data(left - here);
                        return Ok(false);
                    }
                    self.state = ChunkState::DataEnd;
                }
                ChunkState::DataEnd => match line(inbox, MAX_LINE)? {
                    None => return Ok(false),
                    Some(rest) if rest.is_empty() => self.state = ChunkState::Size,
                    Some(_) => return Err(ReadError::Malformed("a chunk is longer than its size")),
                },
                ChunkState::Trailers => match line(inbox, MAX_LINE)? {
                    None => return Ok(false),
                    Some(rest) if rest.is_empty() => return Ok(true),
                    Some(_) => self.trailers += 1,
                },
            }
            if self.trailers > MAX_TRAILERS {
                return Err(ReadError::Malformed("too many trailers"));
            }
        }
    }
}

/// Takes the next whole line, without its end; one of `most` bytes or more is too long.
fn line(inbox: &mut Chain, most: usize) -> Result<Option<Vec<u8>>, ReadError> {
    let Some(end) = inbox.bytes().take(most).position(|b| b == b'\n') else {
        return match inbox.len() < most {
            true => Ok(None),
            false => Err(ReadError::Malformed("a line is too long")),
        };
    };
    let mut text = inbox.copy_front(end);
    inbox.consume(end + 1);
    if text.last() == Some(&b'\r') {
        text.pop();
    }
    Ok(Some(text))
}
