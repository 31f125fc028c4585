//! Writes a request to a server and reads the head of its response.
//!
//! A response is accepted if it has this request's id and no other, and if the end of its body can be distinguished from a
//! broken connection. Before it, a bounded number of interim (1xx) responses and of surplus responses, those to other
//! requests, is skipped.

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::{Body, Connection, Framing, Head, ReadError};
use gradepaddle_placement::ServerLoadReport;

use crate::upstream_pool::PooledConnection;

/// Maximum number of responses read for one request, of which all but the last may be surplus ones.
const MAX_RESPONSES_READ: usize = 4;
/// Maximum body length of a surplus response that is skipped, in bytes.
const MAX_SURPLUS_BYTES: usize = 1 << 20;
/// Maximum number of heads read for one final response, of which all but the last may be interim (1xx) ones.
const MAX_HEADS_READ: usize = 16;

/// The media type of server-sent events (WHATWG HTML, section 9.2.5).
const EVENT_STREAM: &str = "text/event-stream";

/// Why an attempt yielded no response. The request may have been processed in either case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// The connection ended before the head of a response was complete.
    ConnectionLost,
    /// What was received is not a valid response to this request.
    InvalidResponse,
}

impl From<&ReadError> for ExchangeError {
    fn from(error: &ReadError) -> Self {
        match error {
            ReadError::Closed => ExchangeError::ConnectionLost,
            ReadError::Malformed { .. } | ReadError::HeadTooLong | ReadError::BodyTooLong => {
                ExchangeError::InvalidResponse
            }
        }
    }
}

/// A server's response whose head has been read.
pub(crate) struct UpstreamResponse {
    /// The connection, from which the body is still to be read.
    pub connection: Connection,
    /// The head of the response.
    pub head: Head,
    /// Its status code.
    pub status: u16,
    /// What is still to be read of the body.
    pub body: Body,
    /// How the body is framed on this connection.
    pub framing: Framing,
}

impl UpstreamResponse {
    /// True if the server says that it did not process the request. A 2xx or 3xx that says so contradicts itself and counts
    /// as processed.
    pub fn was_not_processed(&self) -> bool {
        self.status == 421 || (self.status >= 400 && self.head.get("x-not-run").is_some())
    }

    /// The server's own load report (`X-Server-Load`: running, waiting, slots).
    pub fn load(&self) -> Option<ServerLoadReport> {
        let text = self.head.get("x-server-load")?;
        let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>());
        let mut next = || numbers.next()?.ok();
        Some(ServerLoadReport { running: next()?, waiting: next()?, slots: next()? })
    }

    /// True if the response to a request on a streaming route is a stream of events: a success whose `Content-Type` names no
    /// other media type. A server may omit the field.
    pub fn is_event_stream(&self) -> bool {
        let media_type = self.head.get("content-type").map(|value| value.split(';').next().unwrap_or(value));
        let names_another =
            media_type.is_some_and(|media_type| !media_type.trim().eq_ignore_ascii_case(EVENT_STREAM));
        self.status == 200 && !names_another
    }

    /// The model version that generates the response (`Versions`).
    pub fn version(&self) -> Option<u64> {
        let text = self.head.get("versions")?;
        text.rsplit(['=', ':', ' ']).next()?.trim().parse().ok()
    }
}

/// A connection with a request that has no response yet. If this is dropped, the connection is reset, which discards
/// what is still in the socket's send buffer. After a plain close the kernel would go on delivering the request, and
/// the server would begin work that nobody waits for.
struct AbortOnDrop(Option<Connection>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        if let Some(connection) = &self.0 {
            connection.reset_on_drop();
        }
    }
}

/// Writes the request and reads the head of its response. The response may arrive before a long request has been written
/// completely; the rest of the request is then written while the response is read.
///
/// Not cancellation safe: if the future is dropped, the connection is reset, and the request may have been processed.
///
/// # Errors
///
/// [`ExchangeError`]: the connection ended, or what was received is not a valid response to the request.
pub(crate) async fn exchange(
    pooled: PooledConnection,
    request: &[&Chain],
    id: &[u8],
    method: &str,
) -> Result<UpstreamResponse, ExchangeError> {
    let mut unanswered = AbortOnDrop(Some(pooled.connection));
    let Some(connection) = &mut unanswered.0 else { return Err(ExchangeError::ConnectionLost) };
    connection.send(request);
    for _ in 0..MAX_RESPONSES_READ {
        let head = read_final_head(connection).await?;
        let status = head.status().map_err(|_| ExchangeError::InvalidResponse)?;
        let framing = body_framing(&head, method)?;
        let body = Body::new(framing).map_err(|_| ExchangeError::InvalidResponse)?;
        if matches_request_id(&head, id) {
            let Some(connection) = unanswered.0.take() else { break };
            return Ok(UpstreamResponse { connection, head, status, body, framing });
        }
        // A surplus response. While this request is a HEAD, the length of its body is unknown: that depends on the method of
        // the other request. If its body ends with the connection, no further response can follow.
        if method == "HEAD" || framing == Framing::UntilClose {
            return Err(ExchangeError::InvalidResponse);
        }
        skip_body(connection, body).await?;
    }
    Err(ExchangeError::InvalidResponse)
}

/// Reads the next head that does not belong to an interim response.
async fn read_final_head(connection: &mut Connection) -> Result<Head, ExchangeError> {
    for _ in 0..MAX_HEADS_READ {
        let head = connection.read_head().await.map_err(|error| ExchangeError::from(&error))?;
        match head.status() {
            Ok(100..=199) => {}
            Ok(_) => return Ok(head),
            Err(_) => return Err(ExchangeError::InvalidResponse),
        }
    }
    Err(ExchangeError::InvalidResponse)
}

/// How the body of a response is framed. A body without a length ends with the connection, whether the server announces the
/// close or not (RFC 9112, section 6.3); a reset of the connection is an error and not the end of the body.
fn body_framing(head: &Head, method: &str) -> Result<Framing, ExchangeError> {
    if method == "HEAD" || head.has_no_body() {
        return Ok(Framing::Length(0));
    }
    head.framing(Framing::UntilClose).map_err(|_| ExchangeError::InvalidResponse)
}

/// True if a response has this request's id and no other. A response without an id is accepted only if the request has none
/// either: otherwise it can't be distinguished from a surplus one.
fn matches_request_id(head: &Head, id: &[u8]) -> bool {
    let mut ids = head.get_all("x-request-id");
    ids.next().unwrap_or_default() == id && ids.all(|other| other == id)
}

/// Reads a surplus response to its end.
async fn skip_body(connection: &mut Connection, mut body: Body) -> Result<(), ExchangeError> {
    let mut bytes = Pool::default().chain();
    loop {
        match connection.read_body(&mut body, &mut bytes, MAX_SURPLUS_BYTES).await {
            Ok(true) => return Ok(()),
            Ok(false) if bytes.len() >= MAX_SURPLUS_BYTES => return Err(ExchangeError::InvalidResponse),
            Ok(false) => {}
            Err(error) => return Err(ExchangeError::from(&error)),
        }
    }
}
