//! Responses that the node gives itself.

use std::time::Duration;

use gradepaddle_http::buffers::{Chain, Pool};

/// A response that no server gave. Its body is empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LocalResponse {
    /// 400: the request can't be parsed or contradicts itself.
    BadRequest,
    /// 401: its key belongs to no tenant.
    Unauthorized,
    /// 404: no route matches.
    NotFound,
    /// 408: it did not come in time; it was not processed.
    RequestTimeout,
    /// 413: its body is longer than the configuration allows.
    ContentTooLarge,
    /// 431: its head is longer than the configuration allows.
    HeadTooLarge,
    /// 503: it was not processed and will not be.
    Unavailable {
        /// After this the client may come back (`Retry-After`, in seconds with three decimals).
        retry_after: Duration,
    },
    /// 502: a server's response was invalid or broke off; the request may have been processed.
    BadGateway,
    /// 504: no response in time; the request may have been processed.
    GatewayTimeout,
}

impl LocalResponse {
    /// Status code and reason phrase.
    pub(crate) fn status(self) -> &'static str {
        match self {
            LocalResponse::BadRequest => "400 Bad Request",
            LocalResponse::Unauthorized => "401 Unauthorized",
            LocalResponse::NotFound => "404 Not Found",
            LocalResponse::RequestTimeout => "408 Request Timeout",
            LocalResponse::ContentTooLarge => "413 Content Too Large",
            LocalResponse::HeadTooLarge => "431 Request Header Fields Too Large",
            LocalResponse::Unavailable { .. } => "503 Service Unavailable",
            LocalResponse::BadGateway => "502 Bad Gateway",
            LocalResponse::GatewayTimeout => "504 Gateway Timeout",
        }
    }

    /// The bytes of the response. `id` is the request's own id, if it was read; `close` announces that the connection
    /// ends behind it.
    pub fn to_chain(self, pool: &Pool, id: Option<&[u8]>, close: bool) -> Chain {
        let mut out = pool.chain();
        out.push(b"HTTP/1.1 ");
        out.push(self.status().as_bytes());
        out.push(b"\r\nContent-Length: 0\r\n");
        if let Some(id) = id {
            out.push(b"X-Request-Id: ");
            out.push(id);
            out.push(b"\r\n");
        }
        if let LocalResponse::Unavailable { retry_after } = self {
            out.push(format!("Retry-After: {:.3}\r\n", retry_after.as_secs_f64()).as_bytes());
        }
        if close {
            out.push(b"Connection: close\r\n");
        }
        out.push(b"\r\n");
        out
    }
}
