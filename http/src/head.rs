//! The first line and the fields of a message (RFC 9110, section 5; RFC 9112, sections 2 to 6).

use std::ops::Range;

use crate::MalformedMessage;
use crate::buffers::Chain;
use crate::framing::Framing;

/// Hop-by-hop fields, which concern only one connection and are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];
/// The largest number of fields in a head.
const MAX_FIELDS: usize = 128;

/// The position in `input` after the empty line that ends a head, if the head is complete. The first `searched` bytes were
/// searched before.
pub fn find_end(input: &Chain, searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(3);
    let (mut line_length, mut start) = (1, 0);
    for slice in input.slices() {
        // Bytes that were searched before are skipped: a head may arrive byte by byte.
        for (at, byte) in slice.iter().enumerate().skip(from.saturating_sub(start)) {
            match byte {
                b'\n' if line_length == 0 => return Some(start + at + 1),
                b'\n' => line_length = 0,
                b'\r' => {}
                _ => line_length += 1,
            }
        }
        start += slice.len();
    }
    None
}

/// A parsed head. It keeps the text; names and values are ranges of it.
#[derive(Clone, Debug)]
pub struct Head {
    text: Vec<u8>,
    /// The ranges of the three parts of the first line.
    first_line: [Range<usize>; 3],
    fields: Vec<(Range<usize>, Range<usize>)>,
}

/// The fields of a head, by name and value.
pub type Fields<'a> = Vec<(&'a str, &'a [u8])>;

fn is_token(bytes: &[u8]) -> bool {
    let is_token_byte = |b: &u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b);
    !bytes.is_empty() && bytes.iter().all(is_token_byte)
}

impl Head {
    /// Parses a complete head, its empty line included.
    ///
    /// # Errors
    ///
    /// The violation of the syntax.
    pub fn parse(text: Vec<u8>) -> Result<Self, MalformedMessage> {
        let mut first_line = None;
        let mut fields = Vec::new();
        let mut start = 0;
        for end in (0..text.len()).filter(|i| text[*i] == b'\n') {
            let stop = if end > start && text[end - 1] == b'\r' { end - 1 } else { end };
            let line = start..stop;
            start = end + 1;
            if first_line.is_none() {
                first_line = Some(parse_first_line(&text, line)?);
            } else if !line.is_empty() {
                if fields.len() == MAX_FIELDS {
                    return Err(MalformedMessage::TooManyFields);
                }
                fields.push(parse_field(&text, line)?);
            }
        }
        Ok(Head { first_line: first_line.ok_or(MalformedMessage::NoFirstLine)?, fields, text })
    }

    fn first_line_part(&self, index: usize) -> &str {
        std::str::from_utf8(&self.text[self.first_line[index].clone()]).unwrap_or_default()
    }

    /// Checks that this head begins a request of HTTP/1.
    ///
    /// # Errors
    ///
    /// The violation of the syntax of its first line.
    pub fn check_request(&self) -> Result<(), MalformedMessage> {
        if !is_token(self.first_line_part(0).as_bytes()) {
            return Err(MalformedMessage::InvalidMethod);
        }
        let target = self.first_line_part(1);
        if !target.starts_with('/') || !target.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(MalformedMessage::InvalidTarget);
        }
        match self.first_line_part(2) {
            "HTTP/1.1" | "HTTP/1.0" => Ok(()),
            _ => Err(MalformedMessage::UnsupportedRequestVersion),
        }
    }

    /// A request's method.
    pub fn method(&self) -> &str {
        self.first_line_part(0)
    }

    /// A request's path and query.
    pub fn target(&self) -> &str {
        self.first_line_part(1)
    }

    /// A request's path: its target without the query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A response's status, 100 to 599.
    ///
    /// # Errors
    ///
    /// The violation of the syntax of its first line.
    pub fn status(&self) -> Result<u16, MalformedMessage> {
        if !self.first_line_part(0).starts_with("HTTP/1.") {
            return Err(MalformedMessage::UnsupportedResponseVersion);
        }
        let status = self.first_line_part(1);
        match status.parse() {
            Ok(code @ 100..=599) if status.len() == 3 => Ok(code),
            _ => Err(MalformedMessage::InvalidStatus),
        }
    }

    /// A response's status and reason, as in its first line.
    pub fn status_line(&self) -> &str {
        let line = self.first_line[1].start..self.first_line[2].end;
        std::str::from_utf8(&self.text[line]).unwrap_or_default()
    }

    /// True if a response of this status has no body, whatever its fields say.
    pub fn has_no_body(&self) -> bool {
        matches!(self.first_line_part(1), "204" | "304")
    }

    /// All values of a field; the case of its name is ignored.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = move |(n, _): &&(Range<usize>, Range<usize>)| {
            self.text[n.clone()].eq_ignore_ascii_case(name.as_bytes())
        };
        self.fields.iter().filter(named).map(|(_, value)| &self.text[value.clone()])
    }

    /// The first value of a field, if it is text.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.get_all(name).next().and_then(|value| std::str::from_utf8(value).ok())
    }

    /// The end-to-end fields: those that do not concern this connection alone (RFC 9110, section 7.6.1).
    pub fn end_to_end(&self) -> Fields<'_> {
        let mut all = Vec::with_capacity(self.fields.len());
        for (name, value) in &self.fields {
            let name = std::str::from_utf8(&self.text[name.clone()]).unwrap_or_default();
            if !HOP_BY_HOP.iter().any(|hop| hop.eq_ignore_ascii_case(name))
                && !self.list_contains("connection", name)
            {
                all.push((name, &self.text[value.clone()]));
            }
        }
        all
    }

    /// True if a field whose value is a comma-separated list contains this word.
    pub fn list_contains(&self, field: &str, word: &str) -> bool {
        self.get_all(field)
            .flat_map(|value| value.split(|b| *b == b','))
            .any(|item| item.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }

    /// True if the sender wants the connection to stay open.
    pub fn keeps_alive(&self) -> bool {
        let http_1_0 = self.first_line_part(0) == "HTTP/1.0" || self.first_line_part(2) == "HTTP/1.0";
        !self.list_contains("connection", "close")
            && (!http_1_0 || self.list_contains("connection", "keep-alive"))
    }

    /// True for a request of HTTP/1.0, which has no chunked coding.
    pub fn is_http_1_0(&self) -> bool {
        self.first_line_part(2) == "HTTP/1.0"
    }

    /// How the body that follows is framed (RFC 9112, section 6.3); `default` if no field declares it.
    ///
    /// # Errors
    ///
    /// The error in the fields that declare the framing.
    pub fn framing(&self, default: Framing) -> Result<Framing, MalformedMessage> {
        let mut lengths = self.get_all("content-length").flat_map(|value| value.split(|b| *b == b','));
        let mut codings = self.get_all("transfer-encoding");
        match (lengths.next(), codings.next()) {
            (Some(_), Some(_)) => Err(MalformedMessage::LengthAndCoding),
            (None, None) => Ok(default),
            (None, Some(coding)) => match coding.eq_ignore_ascii_case(b"chunked") && codings.next().is_none()
            {
                true => Ok(Framing::Chunked),
                false => Err(MalformedMessage::UnknownCoding),
            },
            (Some(length), None) => {
                let length = length.trim_ascii();
                if lengths.any(|other| other.trim_ascii() != length) {
                    return Err(MalformedMessage::DifferingLengths);
                }
                let digits = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
                let number = std::str::from_utf8(length).ok().filter(|_| digits);
                // A length that doesn't fit a u64 is well-formed: the body is too long.
                number
                    .map(|n| Framing::Length(n.parse().unwrap_or(u64::MAX)))
                    .ok_or(MalformedMessage::InvalidLength)
            }
        }
    }
}

/// The ranges of the three parts of a first line.
fn parse_first_line(text: &[u8], line: Range<usize>) -> Result<[Range<usize>; 3], MalformedMessage> {
    let bytes = &text[line.clone()];
    if std::str::from_utf8(bytes).is_err() || bytes.iter().any(u8::is_ascii_control) {
        return Err(MalformedMessage::FirstLineNotText);
    }
    let space = |from: usize| (from..line.end).find(|i| text[*i] == b' ');
    let first_space = space(line.start).ok_or(MalformedMessage::FirstLineTooShort)?;
    // A response may omit its reason and the space before it.
    let second_space = space(first_space + 1).unwrap_or(line.end);
    Ok([line.start..first_space, first_space + 1..second_space, (second_space + 1).min(line.end)..line.end])
}

/// The ranges of a field's name and value.
fn parse_field(text: &[u8], line: Range<usize>) -> Result<(Range<usize>, Range<usize>), MalformedMessage> {
    let bytes = &text[line.clone()];
    let colon = bytes.iter().position(|b| *b == b':').ok_or(MalformedMessage::FieldWithoutColon)?;
    if !is_token(&bytes[..colon]) {
        return Err(MalformedMessage::InvalidFieldName);
    }
    let value = &bytes[colon + 1..];
    if value.iter().any(|b| b.is_ascii_control() && *b != b'\t') {
        return Err(MalformedMessage::InvalidFieldValue);
    }
    let leading_spaces = value.len() - value.trim_ascii_start().len();
    let start = line.start + colon + 1 + leading_spaces;
    Ok((line.start..line.start + colon, start..start + value.trim_ascii().len()))
}

#[cfg(test)]
mod tests;
