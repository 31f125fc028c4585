//! Reads the line that an operator sends, from pieces of any length.

/// The length limit of a line in bytes, including its end.
pub const MAX_LINE: usize = 256;

/// Why the received bytes are not a valid line. The operator gets the reason, and nothing changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidLine {
    /// Longer than [`MAX_LINE`].
    TooLong,
    /// The caller stopped sending within the line: the rest of it may be missing.
    Truncated,
    /// There are more bytes after the line.
    TrailingData,
    /// Not UTF-8.
    NotUtf8,
    /// Contains a control character.
    ControlCharacter,
}

impl std::fmt::Display for InvalidLine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            InvalidLine::TooLong => "the line is too long",
            InvalidLine::Truncated => "the line has no end",
            InvalidLine::TrailingData => "more than one line",
            InvalidLine::NotUtf8 => "the line is not UTF-8",
            InvalidLine::ControlCharacter => "the line holds a control character",
        })
    }
}

/// Collects the bytes of one line.
#[derive(Default)]
pub struct LineReader {
    text: Vec<u8>,
}

impl LineReader {
    /// Takes in received bytes and returns the line once it is complete. A line ends with a line feed, which a carriage return
    /// may precede.
    pub fn take(&mut self, bytes: &[u8]) -> Option<Result<String, InvalidLine>> {
        let room = MAX_LINE - self.text.len();
        self.text.extend(&bytes[..bytes.len().min(room)]);
        let Some(end) = self.text.iter().position(|b| *b == b'\n') else {
            return (self.text.len() == MAX_LINE).then_some(Err(InvalidLine::TooLong));
        };
        if end + 1 < self.text.len() || bytes.len() > room {
            return Some(Err(InvalidLine::TrailingData));
        }
        let text = &self.text[..end];
        let Ok(text) = std::str::from_utf8(text.strip_suffix(b"\r").unwrap_or(text)) else {
            return Some(Err(InvalidLine::NotUtf8));
        };
        Some(if text.contains(char::is_control) {
            Err(InvalidLine::ControlCharacter)
        } else {
            Ok(text.to_owned())
        })
    }

    /// The error for a caller that stops sending before the line is complete.
    pub fn end_of_input(&self) -> InvalidLine {
        InvalidLine::Truncated
    }
}

#[cfg(test)]
mod tests;
