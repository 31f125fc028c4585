//! Answers as they go out: the daemon's own, and an app server's, whole or as it flows.

use std::io;

use gradepaddle::Micros;
use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::stall_budget::StallBudget;
use tokio::time::{Instant, timeout};

use crate::http::{self, Answer, Connection, Flow, Framing, Head};

/// An answer, its head still open.
pub struct Outgoing {
    head: Chain,
    body: Chain,
    /// What follows behind that, and how it is framed towards the client.
    flow: Option<(Box<Flow>, Framing)>,
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

impl Outgoing {
    /// An answer of the daemon's own.
    pub fn plain(pool: &Pool, status: u16, pause: Option<Micros>, text: &str) -> Self {
        let (mut head, mut body) = (pool.chain(), pool.chain());
        body.push(text.as_bytes());
        body.push(b"\n");
        let line = format!("HTTP/1.1 {status} {}\r\nContent-Type: text/plain\r\n", reason(status));
        head.push(line.as_bytes());
        if let Some(pause) = pause {
            head.push(format!("Retry-After: {:.3}\r\n", pause as f64 / 1e6).as_bytes());
        }
        http::push_framing_field(&mut head, Framing::Length(body.len() as u64));
        Outgoing { head, body, flow: None }
    }

    /// An app server's answer to this request, its body unchanged.
    pub fn passed_on(pool: &Pool, request: &Head, answer: Answer) -> Self {
        let Answer { head: from, body, flow } = answer;
        let mut head = pool.chain();
        head.push(format!("HTTP/1.1 {}\r\n", from.status_line()).as_bytes());
        http::push_end_to_end_fields(&mut head, &from, &[]);
        let flow = flow.map(|flow| {
            let framing = match flow.framing {
                Framing::Length(length) => Framing::Length(length),
                // The client must be able to tell an end from a break.
                _ if request.is_http_1_0() => Framing::UntilClose,
                _ => Framing::Chunked,
            };
            (flow, framing)
        });
        match &flow {
            Some((_, framing)) => http::push_framing_field(&mut head, *framing),
            None if request.method() == "HEAD" || from.has_no_body() => {}
            None => http::push_framing_field(&mut head, Framing::Length(body.len() as u64)),
        }
        Outgoing { head, body, flow }
    }

    /// Writes it. True if the connection stays, false if it is to end, with the answer whole in both cases.
    ///
    /// # Errors
    ///
    /// The error of the connection: the client has gone, or a part of the answer is written.
    pub async fn write(self, connection: &mut Connection, pool: &Pool, keep: bool) -> io::Result<bool> {
        let Outgoing { mut head, body, flow } = self;
        let keep = keep && !matches!(flow, Some((_, Framing::UntilClose)));
        head.push(if keep { b"\r\n" as &[u8] } else { b"Connection: close\r\n\r\n" });
        let Some((flow, framing)) = flow else {
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
        let Flow { connection: mut from, body: mut rest, parking, .. } = *flow;
        let mut stall_budget = StallBudget::for_reader();
        loop {
            let (since, mut piece) = (Instant::now(), pool.chain());
            let read =
                timeout(stall_budget.remaining(), from.read_body(&mut rest, &mut piece, pool.part_size()))
                    .await;
            stall_budget.record_wait(since.elapsed(), piece.len());
            let Ok(Ok(last)) = read else {
                // Broken off, or standing still: what the client has must not look whole.
                connection.reset_on_drop();
                return Err(io::ErrorKind::UnexpectedEof.into());
            };
            let http::ChunkFrame { before, after } = frame(piece.len(), last);
            connection.write(&[&before, &piece, &after]).await?;
            if last {
                break;
            }
            // Others have their turn, however fast both sides are.
            tokio::task::yield_now().await;
        }
        // With more than belongs to the answer it is of no further use.
        if let Some(parking) = parking.and_then(|parking| parking.upgrade())
            && !from.has_input()
        {
            let _ = parking.send(from);
        }
        Ok(keep)
    }
}
