//! The first line and the fields of a message (RFC 9110, section 5; RFC 9112, sections 2 to 6).

use std::ops::Range;

use crate::MalformedMessage;
use crate::buffers::Chain;
use crate::framing::Framing;

/// Fields that speak of one connection only and are never passed on.
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
/// The most fields of a head.
const MAX_FIELDS: usize = 128;

/// Where a head ends in what was read, just behind its empty line, if it is complete. The first
/// `searched` bytes were searched before.
pub fn find_end(inbox: &Chain, searched: usize) -> Option<usize> {
    let from = searched.saturating_sub(3);
    let (mut line, mut start) = (1, 0);
    for slice in inbox.slices() {
        // Buffers that were searched are skipped: a head may come byte by byte.
        for (at, byte) in slice.iter().enumerate().skip(from.saturating_sub(start)) {
            match byte {
                b'\n' if line == 0 => return Some(start + at + 1),
                b'\n' => line = 0,
                b'\r' => {}
                _ => line += 1,
            }
        }
        start += slice.len();
    }
    None
}

/// A parsed head. It keeps the text; names and values are spans of it.
#[derive(Clone, Debug)]
pub struct Head {
    text: Vec<u8>,
    /// The three parts of the first line.
    first: [Range<usize>; 3],
    fields: Vec<(Range<usize>, Range<usize>)>,
}

/// The fields of a head, by name and value.
pub type Fields<'a> = Vec<(&'a str, &'a [u8])>;

fn is_token(bytes: &[u8]) -> bool {
    let ok = |b: &u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(b);
    !bytes.is_empty() && bytes.iter().all(ok)
}

impl Head {
    /// Parses a complete head, its empty line included.
    ///
    /// # Errors
    ///
    /// What is wrong with its form.
    pub fn parse(text: Vec<u8>) -> Result<Self, MalformedMessage> {
        let mut first = None;
        let mut fields = Vec::new();
        let mut start = 0;
        for end in (0..text.len()).filter(|i| text[*i] == b'\n') {
            let stop = if end > start && text[end - 1] == b'\r' { end - 1 } else { end };
            let line = start..stop;
            start = end + 1;
            if first.is_none() {
                first = Some(first_line(&text, line)?);
            } else if !line.is_empty() {
                if fields.len() == MAX_FIELDS {
                    return Err(MalformedMessage::TooManyFields);
                }
                fields.push(field(&text, line)?);
            }
        }
        Ok(Head { first: first.ok_or(MalformedMessage::NoFirstLine)?, fields, text })
    }

    fn part(&self, at: usize) -> &str {
        std::str::from_utf8(&self.text[self.first[at].clone()]).unwrap_or_default()
    }

    /// Checks that this head begins a request of HTTP/1.
    ///
    /// # Errors
    ///
    /// What is wrong with its first line.
    pub fn check_request(&self) -> Result<(), MalformedMessage> {
        if !is_token(self.part(0).as_bytes()) {
            return Err(MalformedMessage::InvalidMethod);
        }
        let target = self.part(1);
        if !target.starts_with('/') || !target.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(MalformedMessage::InvalidTarget);
        }
        match self.part(2) {
            "HTTP/1.1" | "HTTP/1.0" => Ok(()),
            _ => Err(MalformedMessage::UnsupportedRequestVersion),
        }
    }

    /// A request's method.
    pub fn method(&self) -> &str {
        self.part(0)
    }

    /// A request's path and query.
    pub fn target(&self) -> &str {
        self.part(1)
    }

    /// A request's path: its target without the query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A response's status, 100 to 599.
    ///
    /// # Errors
    ///
    /// What is wrong with its first line.
    pub fn status(&self) -> Result<u16, MalformedMessage> {
        if !self.part(0).starts_with("HTTP/1.") {
            return Err(MalformedMessage::UnsupportedResponseVersion);
        }
        let status = self.part(1);
        match status.parse() {
            Ok(code @ 100..=599) if status.len() == 3 => Ok(code),
            _ => Err(MalformedMessage::InvalidStatus),
        }
    }

    /// A response's status with its reason.
    pub fn status_line(&self) -> &str {
        let line = self.first[1].start..self.first[2].end;
        std::str::from_utf8(&self.text[line]).unwrap_or_default()
    }

    /// True if a response of this status has no body, whatever its fields say.
    pub fn has_no_body(&self) -> bool {
        matches!(self.part(1), "204" | "304")
    }

    /// All values of a field, whose name is compared without case.
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
        let http_1_0 = self.part(0) == "HTTP/1.0" || self.part(2) == "HTTP/1.0";
        !self.list_contains("connection", "close")
            && (!http_1_0 || self.list_contains("connection", "keep-alive"))
    }

    /// True for a request of HTTP/1.0, which has no chunked coding.
    pub fn is_http_1_0(&self) -> bool {
        self.part(2) == "HTTP/1.0"
    }

    /// How the body that follows is framed (RFC 9112, section 6.3); `default` if the head does not say.
    ///
    /// # Errors
    ///
    /// What is wrong with the fields that say it.
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
                // A length of more digits than any body has is no error of form: it is too long.
                number
                    .map(|n| Framing::Length(n.parse().unwrap_or(u64::MAX)))
                    .ok_or(MalformedMessage::InvalidLength)
            }
        }
    }
}

/// The spans of the three parts of a first line.
fn first_line(text: &[u8], line: Range<usize>) -> Result<[Range<usize>; 3], MalformedMessage> {
    let bytes = &text[line.clone()];
    if std::str::from_utf8(bytes).is_err() || bytes.iter().any(u8::is_ascii_control) {
        return Err(MalformedMessage::FirstLineNotText);
    }
    let space = |from: usize| (from..line.end).find(|i| text[*i] == b' ');
    let one = space(line.start).ok_or(MalformedMessage::FirstLineTooShort)?;
    // A response may leave its reason out, and the space before it.
    let two = space(one + 1).unwrap_or(line.end);
    Ok([line.start..one, one + 1..two, (two + 1).min(line.end)..line.end])
}

/// The spans of a field's name and value.
fn field(text: &[u8], line: Range<usize>) -> Result<(Range<usize>, Range<usize>), MalformedMessage> {
    let bytes = &text[line.clone()];
    let colon = bytes.iter().position(|b| *b == b':').ok_or(MalformedMessage::FieldWithoutColon)?;
    if !is_token(&bytes[..colon]) {
        return Err(MalformedMessage::InvalidFieldName);
    }
    let value = &bytes[colon + 1..];
    if value.iter().any(|b| b.is_ascii_control() && *b != b'\t') {
        return Err(MalformedMessage::InvalidFieldValue);
    }
    let lead = value.len() - value.trim_ascii_start().len();
    let start = line.start + colon + 1 + lead;
    Ok((line.start..line.start + colon, start..start + value.trim_ascii().len()))
}

#[cfg(test)]
mod tests;
