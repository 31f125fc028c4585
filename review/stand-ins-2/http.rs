//! As much of HTTP/1.1 as clients, servers and the platform need here.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::time::Duration;

pub struct Message {
    /// The first line.
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub status: u16,
    pub body: Vec<u8>,
    /// The body was read to its end.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.fields
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Method and path of a request.
    pub fn request_line(&self) -> (&str, &str) {
        let mut parts = self.first.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }
}

/// Reads the first line and the fields; none at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let first = first.trim_end().to_owned();
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok(Some(Message { first, fields, status, body: Vec::new(), complete: false }))
}

/// Reads the body that the head announces; with `keep` false it is read and discarded.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, keep: bool) -> std::io::Result<()> {
    let chunked =
        message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16).unwrap_or(0);
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                message.complete = true;
                return Ok(());
            }
            if keep {
                message.body.extend_from_slice(&chunk[..size]);
            }
        }
    }
    let mut left: usize = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut part = vec![0; 65536];
    while left > 0 {
        let wanted = left.min(part.len());
        let count = reader.read(&mut part[..wanted])?;
        if count == 0 {
            return Ok(());
        }
        if keep {
            message.body.extend_from_slice(&part[..count]);
        }
        left -= count;
    }
    message.complete = true;
    Ok(())
}

/// Sends one request on a new connection and reads its answer.
pub fn call(to: SocketAddrV4, head: &[u8], body: &[u8], limit: Duration) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    stream.write_all(head)?;
    stream.write_all(body)?;
    let mut reader = BufReader::new(stream);
    let closed = || std::io::Error::new(std::io::ErrorKind::UnexpectedEof, "closed without an answer");
    let mut answer = read_head(&mut reader)?.ok_or_else(closed)?;
    read_body(&mut reader, &mut answer, true)?;
    Ok(answer)
}

/// Like [`call`], and follows a 307 twice.
pub fn call_following(
    to: SocketAddrV4,
    head: &str,
    body: &[u8],
    limit: Duration,
) -> std::io::Result<Message> {
    let mut to = to;
    let mut answer = call(to, head.as_bytes(), body, limit)?;
    for _ in 0..2 {
        let location = answer.header("location").filter(|_| answer.status == 307).unwrap_or_default();
        let address =
            location.trim_start_matches("http://").split('/').next().and_then(|text| text.parse().ok());
        let Some(address) = address else { break };
        to = address;
        answer = call(to, head.as_bytes(), body, limit)?;
    }
    Ok(answer)
}

/// The platform's question for readiness.
pub fn is_ready(at: SocketAddrV4) -> bool {
    let head = format!("GET /v1/ready HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    call(at, head.as_bytes(), b"", Duration::from_secs(1)).is_ok_and(|answer| answer.status == 200)
}
