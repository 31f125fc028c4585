//! The subset of HTTP/1.1 that the protocol uses: a head, and a body with `Content-Length`.

use std::io;

use snafu::ResultExt;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

use crate::error::{BodyNotTextSnafu, ContentLengthSnafu, Error};

/// The longest head and the longest body that are read, in bytes.
const MAX_LEN: usize = 256 * 1024;

/// A request or response.
pub struct Message {
    /// Its first line.
    pub first: String,
    headers: Vec<(String, String)>,
    pub body: String,
}

impl Message {
    /// The value of a header, by its name in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(of, _)| of == name).map(|(_, value)| value.as_str())
    }

    /// The status of a response; 0 if the message is not a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The path of a request with its query.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// The message as text.
    pub fn text(&self) -> String {
        let headers: String =
            self.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        format!("{}\r\n{headers}\r\n{}", self.first, self.body)
    }

    /// Whether the message asks to close the connection after it.
    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads a message. Returns `None` if the connection ends before its first byte.
pub async fn read(from: &mut (impl AsyncBufRead + Unpin)) -> io::Result<Option<Message>> {
    let mut lines = Vec::new();
    let mut size = 0;
    loop {
        let mut line = String::new();
        let count = from.read_line(&mut line).await?;
        size += count;
        if count == 0 && lines.is_empty() {
            return Ok(None);
        }
        if !line.ends_with('\n') || size > MAX_LEN {
            return Err(Error::Head.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        lines.push(line.to_owned());
    }
    let mut lines = lines.into_iter();
    let first = lines.next().ok_or(Error::NoFirstLine)?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| {
            let (name, value) = line.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        })
        .collect();
    let mut message = Message { first, headers, body: String::new() };
    let length: usize = match message.get("content-length") {
        Some(text) => text.parse().context(ContentLengthSnafu)?,
        None => 0,
    };
    if length > MAX_LEN {
        return Err(Error::BodyTooLong.into());
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).await?;
    message.body = String::from_utf8(body).context(BodyNotTextSnafu)?;
    Ok(Some(message))
}

/// Formats a response with this body.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}
