//! Reads requests: the head, the body up to the buffer limit, and the rest of the body as a stream.

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::stall_budget::StallBudget;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use crate::descriptor_budget::EvictionEntry;
use crate::http::{Body, BodyPart, BodyStream, Connection, Framing, HeadSearch, ReadError, Request};

/// A client may send this many bytes of its next request while it waits for a response.
const MAX_PIPELINED: usize = 8 * 1024;

/// Why a request could not be read.
pub enum RequestError {
    /// The client has disconnected.
    Disconnected,
    /// The request is invalid or did not arrive in time: the status and reason for the client.
    Rejected(u16, String),
}

impl RequestError {
    /// Status and reason of the response, if the client is still connected.
    pub fn response(self) -> Option<(u16, String)> {
        match self {
            RequestError::Disconnected => None,
            RequestError::Rejected(status, why) => Some((status, why)),
        }
    }

    fn timed_out() -> Self {
        RequestError::Rejected(408, "the request did not come in time".to_owned())
    }
}

impl From<ReadError> for RequestError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Closed => RequestError::Disconnected,
            ReadError::HeadTooLong => RequestError::Rejected(431, error.to_string()),
            ReadError::BodyTooLong => RequestError::Rejected(413, error.to_string()),
            ReadError::Malformed { .. } => RequestError::Rejected(400, error.to_string()),
        }
    }
}

/// The rest of a request's body, streamed from the client to the attempt that forwards it.
pub struct Upload {
    body: Body,
    parts: mpsc::Sender<BodyPart>,
    /// The bytes of the next part that have been read.
    part: Chain,
    stall_budget: StallBudget,
}

/// Reads a request: its head, until this time, and its body up to the buffer limit. `eviction_entry` is touched whenever
/// bytes arrive.
///
/// # Errors
///
/// [`RequestError`]: the client has disconnected, was too slow, or sent an invalid request.
pub async fn read(
    connection: &mut Connection,
    pool: &Pool,
    until: Instant,
    eviction_entry: &mut EvictionEntry,
) -> Result<(Request, Option<Upload>), RequestError> {
    let mut search = HeadSearch::default();
    let head = loop {
        if let Some(head) = connection.take_head(&mut search)? {
            break head;
        }
        tokio::select! {
            biased;
            read = timeout_at(until, connection.fill()) => match read {
                Err(_) => return Err(RequestError::timed_out()),
                Ok(Ok(1..)) => eviction_entry.touch(),
                Ok(_) => return Err(RequestError::Disconnected),
            },
            () = eviction_entry.evicted() => return Err(RequestError::Disconnected),
        }
    };
    head.check_request().map_err(ReadError::from)?;
    let framing = head.framing(Framing::Length(0)).map_err(ReadError::from)?;
    let mut rest = Body::new(framing)?;
    if head.list_contains("expect", "100-continue") && !connection.has_input() {
        let mut interim = pool.chain();
        interim.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        connection.write(&[&interim]).await.map_err(|_| RequestError::Disconnected)?;
    }
    let (mut body, mut stall_budget) = (pool.chain(), StallBudget::for_sender());
    loop {
        let limit = pool.max_buffered_body();
        let complete = tokio::select! {
            biased;
            complete = read_more(connection, &mut rest, &mut body, limit, &mut stall_budget) => complete?,
            () = eviction_entry.evicted() => return Err(RequestError::Disconnected),
        };
        eviction_entry.touch();
        if complete {
            return Ok((Request { head, body, rest: None }, None));
        }
        if body.len() >= limit {
            break;
        }
    }
    let length = if let Framing::Length(length) = framing { Some(length) } else { None };
    let (sender, parts) = mpsc::channel(1);
    let stream = BodyStream { length, parts: Some(parts).into() };
    let upload = Upload { body: rest, parts: sender, part: pool.chain(), stall_budget };
    Ok((Request { head, body, rest: Some(stream) }, Some(upload)))
}

/// Reads more of a body; true once it is complete. Cancellation safe.
async fn read_more(
    connection: &mut Connection,
    rest: &mut Body,
    to: &mut Chain,
    limit: usize,
    stall_budget: &mut StallBudget,
) -> Result<bool, RequestError> {
    let (since, before) = (Instant::now(), to.len());
    let read = timeout(stall_budget.remaining(), connection.read_body(rest, to, limit)).await;
    stall_budget.record_wait(since.elapsed(), to.len() - before);
    Ok(read.map_err(|_| RequestError::timed_out())??)
}

/// While a client waits for its response: forwards the next part of its upload, and returns true once that was the last one.
/// If there is no upload, only notices that the client disconnects. Cancellation safe.
///
/// # Errors
///
/// [`RequestError`]: the client has disconnected, was too slow, or sent an invalid body.
pub async fn forward_upload(
    connection: &mut Connection,
    upload: &mut Option<Upload>,
    pool: &Pool,
) -> Result<bool, RequestError> {
    let Some(Upload { body, parts, part: bytes, stall_budget }) = upload else {
        // What the client has pipelined is not read on, but it may still disconnect.
        if connection.buffered_bytes() >= MAX_PIPELINED {
            connection.peer_closed().await;
            return Err(RequestError::Disconnected);
        }
        return match connection.fill().await {
            Ok(1..) => Ok(false),
            _ => Err(RequestError::Disconnected),
        };
    };
    let slot = tokio::select! {
        biased;
        Ok(slot) = parts.reserve() => slot,
        // If the attempt that forwarded the body has ended, the final answer is about to arrive and says how.
        () = connection.peer_closed() => return Err(RequestError::Disconnected),
    };
    let last = read_more(connection, body, bytes, pool.part_size(), stall_budget).await?;
    slot.send(BodyPart { bytes: std::mem::replace(bytes, pool.chain()), last });
    // Lets other tasks run, however fast this client is.
    tokio::task::yield_now().await;
    if last {
        *upload = None;
    }
    Ok(last)
}
