//! HTTP/1.1 as far as the protocol page uses it: a head, and a body of a length that is told.

use std::io;

use snafu::ResultExt;
use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

use crate::error::{BodyNotTextSnafu, ContentLengthSnafu, Error};

/// The longest head and the longest body that are read.
const MOST: usize = 256 * 1024;

/// A request or an answer.
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

    /// The status of an answer; 0 if it is none.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The path of a request with its query.
    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    /// As it is written.
    pub fn text(&self) -> String {
        let headers: String =
            self.headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        format!("{}\r\n{headers}\r\n{}", self.first, self.body)
    }

    /// This side is to close the connection behind it.
    pub fn closes(&self) -> bool {
        self.get("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads a message; nothing where the connection ends before one.
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
        if !line.ends_with('\n') || size > MOST {
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
    if length > MOST {
        return Err(Error::BodyTooLong.into());
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).await?;
    message.body = String::from_utf8(body).context(BodyNotTextSnafu)?;
    Ok(Some(message))
}

/// An answer with this body.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}
