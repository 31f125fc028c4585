//! Writes responses: the daemon's own, and an app server's, buffered or streamed.

use std::io;

use gradepaddle::Micros;
use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::stall_budget::StallBudget;
use tokio::time::{Instant, timeout};

use crate::http::{self, Connection, Framing, Head, Response, ResponseStream};

/// A response to a client, whose head is not ended yet.
pub struct OutgoingResponse {
    head: Chain,
    body: Chain,
    /// The rest of a streamed body, and its framing towards the client.
    stream: Option<(Box<ResponseStream>, Framing)>,
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Internal Server Error",
    }
}

impl OutgoingResponse {
    /// A response of the daemon's own.
    pub fn local(pool: &Pool, status: u16, retry_after: Option<Micros>, text: &str) -> Self {
        let (mut head, mut body) = (pool.chain(), pool.chain());
        body.push(text.as_bytes());
        body.push(b"\n");
        let line = format!("HTTP/1.1 {status} {}\r\nContent-Type: text/plain\r\n", reason(status));
        head.push(line.as_bytes());
        if let Some(retry_after) = retry_after {
            head.push(format!("Retry-After: {:.3}\r\n", retry_after as f64 / 1e6).as_bytes());
        }
        http::push_framing_field(&mut head, Framing::Length(body.len() as u64));
        OutgoingResponse { head, body, stream: None }
    }

    /// An app server's response to this request, with its body unchanged.
    pub fn forwarded(pool: &Pool, request: &Head, response: Response) -> Self {
        let Response { head: from, body, stream } = response;
        let mut head = pool.chain();
        head.push(format!("HTTP/1.1 {}\r\n", from.status_line()).as_bytes());
        http::push_end_to_end_fields(&mut head, &from, &[]);
        let stream = stream.map(|stream| {
            let framing = match stream.framing {
                Framing::Length(length) => Framing::Length(length),
                // The client must be able to tell a complete body from a truncated one.
                _ if request.is_http_1_0() => Framing::UntilClose,
                _ => Framing::Chunked,
            };
            (stream, framing)
        });
        match &stream {
            Some((_, framing)) => http::push_framing_field(&mut head, *framing),
            None if request.method() == "HEAD" || from.has_no_body() => {}
            None => http::push_framing_field(&mut head, Framing::Length(body.len() as u64)),
        }
        OutgoingResponse { head, body, stream }
    }

    /// Writes the response. True if the connection is kept, false if it is to be closed; the response is complete in both
    /// cases.
    ///
    /// # Errors
    ///
    /// The error of the connection: the client has disconnected, or only a part of the response was written.
    pub async fn write(self, connection: &mut Connection, pool: &Pool, keep: bool) -> io::Result<bool> {
        let OutgoingResponse { mut head, body, stream } = self;
        let keep = keep && !matches!(stream, Some((_, Framing::UntilClose)));
        head.push(if keep { b"\r\n" as &[u8] } else { b"Connection: close\r\n\r\n" });
        let Some((stream, framing)) = stream else {
            connection.write(&[&head, &body]).await?;
            return Ok(keep);
        };
        let frame = |length, last| match framing {
            Framing::Chunked => http::chunk_frame(pool, length, last),
            _ => http::ChunkFrame::empty(pool),
        };
        let http::ChunkFrame { before, after } = frame(body.len(), false);
        connection.write(&[&head, &before, &body, &after]).await?;
        drop((head, before, body, after));
        let ResponseStream { connection: mut upstream, body: mut rest, pool_return, .. } = *stream;
        let mut stall_budget = StallBudget::for_reader();
        loop {
            let (since, mut part) = (Instant::now(), pool.chain());
            let read =
                timeout(stall_budget.remaining(), upstream.read_body(&mut rest, &mut part, pool.part_size()))
                    .await;
            stall_budget.record_wait(since.elapsed(), part.len());
            let Ok(Ok(last)) = read else {
                // The app server's response ended early or stalled: what the client has received must not look complete.
                connection.reset_on_drop();
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            let http::ChunkFrame { before, after } = frame(part.len(), last);
            connection.write(&[&before, &part, &after]).await?;
            if last {
                break;
            }
            // Lets other tasks run, however fast both sides are.
            tokio::task::yield_now().await;
        }
        // A connection with bytes behind the response can't be reused.
        if let Some(pool_return) = pool_return.and_then(|pool_return| pool_return.upgrade())
            && !upstream.has_input()
        {
            let _ = pool_return.send(upstream);
        }
        Ok(keep)
    }
}
