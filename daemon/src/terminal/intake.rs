//! Requests as they come in: the head, as much of the body as is kept, and the rest as it flows.

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::stall_budget::StallBudget;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use crate::http::{Body, BodyPart, BodyStream, Connection, Framing, HeadSearch, ReadError, Request};
use crate::sockets::Waiting;

/// A client may send this much of its next request while it waits.
const AHEAD: usize = 8 * 1024;

/// Why no request came.
pub enum Unread {
    /// Its client has gone.
    Gone,
    /// It is at fault, or did not come in time: what its client is told.
    Told(u16, String),
}

impl Unread {
    /// Status and reason, if there is somebody to be told.
    pub fn told(self) -> Option<(u16, String)> {
        match self {
            Unread::Gone => None,
            Unread::Told(status, why) => Some((status, why)),
        }
    }

    fn late() -> Self {
        Unread::Told(408, "the request did not come in time".to_owned())
    }
}

impl From<ReadError> for Unread {
    fn from(fault: ReadError) -> Self {
        match fault {
            ReadError::Closed => Unread::Gone,
            ReadError::HeadTooLong => Unread::Told(431, fault.to_string()),
            ReadError::BodyTooLong => Unread::Told(413, fault.to_string()),
            ReadError::Malformed { .. } => Unread::Told(400, fault.to_string()),
        }
    }
}

/// The rest of a request's body, on its way from the client to whoever passes it on.
pub struct Upload {
    body: Body,
    pieces: mpsc::Sender<BodyPart>,
    /// What has been read of the next piece.
    piece: Chain,
    stall_budget: StallBudget,
}

/// Reads a request: its head by this time, and its body as far as that is kept. `waiting` is kept up with what
/// comes.
///
/// # Errors
///
/// [`Unread`]: the client has gone, was too slow, or sent something that is no request.
pub async fn read(
    connection: &mut Connection,
    pool: &Pool,
    until: Instant,
    waiting: &mut Waiting,
) -> Result<(Request, Option<Upload>), Unread> {
    let mut search = HeadSearch::default();
    let head = loop {
        if let Some(head) = connection.take_head(&mut search)? {
            break head;
        }
        tokio::select! {
            biased;
            read = timeout_at(until, connection.fill()) => match read {
                Err(_) => return Err(Unread::late()),
                Ok(Ok(1..)) => waiting.touch(),
                Ok(_) => return Err(Unread::Gone),
            },
            () = waiting.unwanted() => return Err(Unread::Gone),
        }
    };
    head.check_request().map_err(ReadError::from)?;
    let framing = head.framing(Framing::Length(0)).map_err(ReadError::from)?;
    let mut rest = Body::new(framing)?;
    if head.list_contains("expect", "100-continue") && !connection.has_input() {
        let mut go_on = pool.chain();
        go_on.push(b"HTTP/1.1 100 Continue\r\n\r\n");
        connection.write(&[&go_on]).await.map_err(|_| Unread::Gone)?;
    }
    let (mut body, mut stall_budget) = (pool.chain(), StallBudget::for_sender());
    loop {
        let most = pool.max_buffered_body();
        let whole = tokio::select! {
            biased;
            whole = piece(connection, &mut rest, &mut body, most, &mut stall_budget) => whole?,
            () = waiting.unwanted() => return Err(Unread::Gone),
        };
        waiting.touch();
        if whole {
            return Ok((Request { head, body, rest: None }, None));
        }
        if body.len() >= most {
            break;
        }
    }
    let length = if let Framing::Length(length) = framing { Some(length) } else { None };
    let (sender, pieces) = mpsc::channel(1);
    let rest_of = BodyStream { length, parts: Some(pieces).into() };
    let upload = Upload { body: rest, pieces: sender, piece: pool.chain(), stall_budget };
    Ok((Request { head, body, rest: Some(rest_of) }, Some(upload)))
}

/// Reads more of a body; true once it is whole. Safe to drop midway.
async fn piece(
    connection: &mut Connection,
    rest: &mut Body,
    to: &mut Chain,
    most: usize,
    stall_budget: &mut StallBudget,
) -> Result<bool, Unread> {
    let (since, had) = (Instant::now(), to.len());
    let read = timeout(stall_budget.remaining(), connection.read_body(rest, to, most)).await;
    stall_budget.record_wait(since.elapsed(), to.len() - had);
    Ok(read.map_err(|_| Unread::late())??)
}

/// While a client waits for its answer: passes on more of what it sends, true once that is all, or else notices
/// that it leaves. Safe to drop midway.
///
/// # Errors
///
/// [`Unread`]: the client has gone, was too slow, or what it sends is no body.
pub async fn more(
    connection: &mut Connection,
    upload: &mut Option<Upload>,
    pool: &Pool,
) -> Result<bool, Unread> {
    let Some(Upload { body, pieces, piece: bytes, stall_budget }) = upload else {
        // What has been sent ahead is left where it is, but its client may still leave.
        if connection.buffered_bytes() >= AHEAD {
            connection.peer_closed().await;
            return Err(Unread::Gone);
        }
        return match connection.fill().await {
            Ok(1..) => Ok(false),
            _ => Err(Unread::Gone),
        };
    };
    let place = tokio::select! {
        biased;
        Ok(place) = pieces.reserve() => place,
        // Where whoever passed it on has ended, the answer is on its way, and says how.
        () = connection.peer_closed() => return Err(Unread::Gone),
    };
    let last = piece(connection, body, bytes, pool.part_size(), stall_budget).await?;
    place.send(BodyPart { bytes: std::mem::replace(bytes, pool.chain()), last });
    // Others have their turn, however fast this client is.
    tokio::task::yield_now().await;
    if last {
        *upload = None;
    }
    Ok(last)
}
