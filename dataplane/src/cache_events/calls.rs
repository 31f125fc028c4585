//! Calls to a cache store: for its contents, and for its events.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::{Body, Connection, Framing, ReadError};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpSocket;
use tokio::time::timeout;

/// The store holds a call for events this long unless something happens (`Wait-Ms`), in milliseconds.
const WAIT_MS: u64 = 900;
/// A call is answered within this, or the store is down. Longer than [`WAIT_MS`].
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1300);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest response that is read, in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;

/// Why a call to a cache store failed.
#[derive(Debug, Snafu)]
pub(super) enum CallError {
    #[snafu(display("the connection did not come up within {} ms", CONNECT_TIMEOUT.as_millis()))]
    ConnectTimeout,
    #[snafu(display("the connection did not come up: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("the request could not be written: {source}"))]
    Write { source: io::Error },
    #[snafu(display("no response came within {} ms", RESPONSE_TIMEOUT.as_millis()))]
    ResponseTimeout,
    #[snafu(display("the response could not be read: {source}"))]
    Read { source: ReadError },
    #[snafu(display("the response is not a success"))]
    Status,
    #[snafu(display("the response can't be parsed: {source}"))]
    Parse { source: serde_json::Error },
}

/// What changed since the event that was asked from.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Events {
    /// Another one after each restart of the store.
    pub epoch: u64,
    /// The event to ask from next.
    pub next_token: u64,
    /// Whether there is a gap before these events.
    #[serde(default)]
    pub lost: bool,
    /// In the order in which they happened.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// On the wire a list: number, `+` or `-`, salt, chunk, tokens held now, model.
#[derive(Deserialize)]
pub(super) struct Event(
    #[expect(dead_code, reason = "position in the list")] pub u64,
    pub String,
    pub String,
    pub String,
    pub u32,
    pub String,
);

/// What a store holds now.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct CacheContents {
    pub epoch: u64,
    /// The event to ask from next.
    pub next_token: u64,
    #[serde(default, rename = "held")]
    pub chunks: Vec<CachedChunk>,
}

/// On the wire a list: salt, chunk, tokens, model.
#[derive(Deserialize)]
pub(super) struct CachedChunk(pub String, pub String, pub u32, pub String);

/// A connection to a store for such calls.
pub(super) struct EventClient<'a> {
    address: SocketAddrV4,
    connection: Connection,
    pool: &'a Pool,
}

impl<'a> EventClient<'a> {
    /// Connects.
    ///
    /// # Errors
    ///
    /// The connection did not come up in time.
    pub async fn connect(address: SocketAddrV4, pool: &'a Pool) -> Result<Self, CallError> {
        let connecting = TcpSocket::new_v4().context(ConnectSnafu)?.connect(address.into());
        let connected = timeout(CONNECT_TIMEOUT, connecting).await.map_err(|_| CallError::ConnectTimeout)?;
        let stream = connected.context(ConnectSnafu)?;
        Ok(EventClient { address, connection: Connection::new(stream, pool, ()), pool })
    }

    /// Asks for what the store holds.
    ///
    /// # Errors
    ///
    /// As [`CallError`] says; the connection is of no more use.
    pub async fn contents(&mut self) -> Result<CacheContents, CallError> {
        self.call("/v1/kv-list", None).await
    }

    /// Asks for the events after this one, in a long poll.
    ///
    /// # Errors
    ///
    /// As [`CallError`] says; the connection is of no more use.
    pub async fn events(&mut self, since: u64) -> Result<Events, CallError> {
        self.call(&format!("/v1/kv-events?since={since}"), Some(WAIT_MS)).await
    }

    async fn call<T: for<'d> Deserialize<'d>>(
        &mut self,
        path: &str,
        wait_ms: Option<u64>,
    ) -> Result<T, CallError> {
        let address = self.address;
        let wait = wait_ms.map(|wait| format!("Wait-Ms: {wait}\r\n")).unwrap_or_default();
        let mut request = self.pool.chain();
        request.push(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n{wait}\r\n").as_bytes());
        let response = timeout(RESPONSE_TIMEOUT, self.exchange(&request)).await;
        let body = response.map_err(|_| CallError::ResponseTimeout)??;
        serde_json::from_slice(&body).context(ParseSnafu)
    }

    /// Writes a request and reads the body of its response.
    async fn exchange(&mut self, request: &Chain) -> Result<Vec<u8>, CallError> {
        let connection = &mut self.connection;
        connection.write(&[request]).await.context(WriteSnafu)?;
        let head = connection.read_head().await.context(ReadSnafu)?;
        let framing = head.framing(Framing::UntilClose).map_err(ReadError::from).context(ReadSnafu)?;
        let mut body = Body::with_limit(framing, MAX_RESPONSE_BYTES).context(ReadSnafu)?;
        let mut bytes = self.pool.chain();
        while !connection.read_body(&mut body, &mut bytes, usize::MAX).await.context(ReadSnafu)? {}
        if head.status() != Ok(200) {
            return Err(CallError::Status);
        }
        Ok(bytes.copy_front(bytes.len()))
    }
}
