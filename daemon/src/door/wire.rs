//! The line that a caller sends, cut out of what comes in pieces.

/// The longest line, its end included.
pub const MAX_LINE: usize = 256;

/// Why a caller's bytes are no line. Each is answered, and changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// Longer than [`MAX_LINE`].
    Long,
    /// The caller ended its sending amid the line: the rest of it may be missing.
    Cut,
    /// More stands behind the line.
    More,
    /// Not UTF-8.
    NoText,
    /// A control character.
    Control,
}

impl std::fmt::Display for Flaw {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Flaw::Long => "the line is too long",
            Flaw::Cut => "the line has no end",
            Flaw::More => "more than one line",
            Flaw::NoText => "the line is not UTF-8",
            Flaw::Control => "the line holds a control character",
        })
    }
}

/// A line that is being read.
#[derive(Default)]
pub struct Line {
    text: Vec<u8>,
}

impl Line {
    /// Takes what has come; the line once it is there. It ends with a line feed, or a carriage return and one.
    pub fn take(&mut self, bytes: &[u8]) -> Option<Result<String, Flaw>> {
        let room = MAX_LINE - self.text.len();
        self.text.extend(&bytes[..bytes.len().min(room)]);
        let Some(end) = self.text.iter().position(|b| *b == b'\n') else {
            return (self.text.len() == MAX_LINE).then_some(Err(Flaw::Long));
        };
        if end + 1 < self.text.len() || bytes.len() > room {
            return Some(Err(Flaw::More));
        }
        let text = &self.text[..end];
        let Ok(text) = std::str::from_utf8(text.strip_suffix(b"\r").unwrap_or(text)) else {
            return Some(Err(Flaw::NoText));
        };
        Some(if text.contains(char::is_control) { Err(Flaw::Control) } else { Ok(text.to_owned()) })
    }

    /// The caller has ended its sending.
    pub fn end(&self) -> Flaw {
        Flaw::Cut
    }
}

#[cfg(test)]
mod tests;
