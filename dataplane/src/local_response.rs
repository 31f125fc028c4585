//! Answers of the node's own.

use std::time::Duration;

use gradepaddle_http::buffers::{Chain, Pool};

/// An answer that no server gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LocalResponse {
    /// 400: the request can't be read or contradicts itself.
    BadRequest,
    /// 401: no tenant holds its key.
    Unauthorized,
    /// 404: no route.
    NotFound,
    /// 408: it did not come in time; it has not run.
    RequestTimeout,
    /// 413: its body is longer than the configuration allows.
    ContentTooLarge,
    /// 431: its head is longer than the configuration allows.
    HeadTooLarge,
    /// 503: a promise that it has not run and will not; the client may come back after the pause.
    Unavailable(Duration),
    /// 502: a server's answer was bad or broke off; nothing is promised.
    BadGateway,
    /// 504: no answer in time; nothing is promised.
    GatewayTimeout,
}

impl LocalResponse {
    fn status(self) -> &'static str {
        match self {
            LocalResponse::BadRequest => "400 Bad Request",
            LocalResponse::Unauthorized => "401 Unauthorized",
            LocalResponse::NotFound => "404 Not Found",
            LocalResponse::RequestTimeout => "408 Request Timeout",
            LocalResponse::ContentTooLarge => "413 Content Too Large",
            LocalResponse::HeadTooLarge => "431 Request Header Fields Too Large",
            LocalResponse::Unavailable(_) => "503 Service Unavailable",
            LocalResponse::BadGateway => "502 Bad Gateway",
            LocalResponse::GatewayTimeout => "504 Gateway Timeout",
        }
    }

    /// The whole answer. `id` is the request's own id, if it was read.
    pub fn write(self, pool: &Pool, id: Option<&[u8]>, close: bool) -> Chain {
        let mut out = pool.chain();
        out.push(b"HTTP/1.1 ");
        out.push(self.status().as_bytes());
        out.push(b"\r\nContent-Length: 0\r\n");
        if let Some(id) = id {
            out.push(b"X-Request-Id: ");
            out.push(id);
            out.push(b"\r\n");
        }
        if let LocalResponse::Unavailable(pause) = self {
            out.push(format!("Retry-After: {:.3}\r\n", pause.as_secs_f64()).as_bytes());
        }
        if close {
            out.push(b"Connection: close\r\n");
        }
        out.push(b"\r\n");
        out
    }
}
