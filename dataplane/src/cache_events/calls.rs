//! Calls to a cache store for its contents and its events.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use gradepaddle_http::buffers::{Chain, Pool};
use gradepaddle_http::{Body, Connection, Framing, ReadError};
use serde::Deserialize;
use snafu::{ResultExt, Snafu};
use tokio::net::TcpSocket;
use tokio::time::timeout;

/// How long the store waits for an event before it responds to a long poll (`Wait-Ms`), in milliseconds.
const WAIT_MS: u64 = 900;
/// Time-out for a response, after which the store counts as down. Longer than [`WAIT_MS`].
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1300);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum length of a response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 8 * 1024 * 1024;

/// Why a call to a cache store failed.
#[derive(Debug, Snafu)]
pub(super) enum CallError {
    #[snafu(display("connect timed out after {} ms", CONNECT_TIMEOUT.as_millis()))]
    ConnectTimeout,
    #[snafu(display("connect failed: {source}"))]
    Connect { source: io::Error },
    #[snafu(display("failed to write the request: {source}"))]
    Write { source: io::Error },
    #[snafu(display("no response within {} ms", RESPONSE_TIMEOUT.as_millis()))]
    ResponseTimeout,
    #[snafu(display("failed to read the response: {source}"))]
    Read { source: ReadError },
    #[snafu(display("the response status is not 200"))]
    Status,
    #[snafu(display("failed to parse the response: {source}"))]
    Parse { source: serde_json::Error },
}

/// The events of a store since a given one.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct Events {
    /// Changes with each restart of the store.
    pub epoch: u64,
    /// The token to pass to the next call.
    pub next_token: u64,
    /// Whether events before these were lost.
    #[serde(default)]
    pub lost: bool,
    /// In the order in which they happened.
    #[serde(default)]
    pub events: Vec<Event>,
}

/// One change. On the wire a list: number, `+` (added) or `-` (dropped), salt, chunk, tokens held now, model.
#[derive(Deserialize)]
pub(super) struct Event(
    #[expect(dead_code, reason = "position in the list")] pub u64,
    pub String,
    pub String,
    pub String,
    pub u32,
    pub String,
);

/// The current contents of a store.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct CacheContents {
    /// Changes with each restart of the store.
    pub epoch: u64,
    /// The token to pass to the first call for events.
    pub next_token: u64,
    #[serde(default, rename = "held")]
    pub chunks: Vec<CachedChunk>,
}

/// A chunk in the cache. On the wire a list: salt, chunk, tokens, model.
#[derive(Deserialize)]
pub(super) struct CachedChunk(pub String, pub String, pub u32, pub String);

/// A connection to a store.
pub(super) struct EventClient<'a> {
    address: SocketAddrV4,
    connection: Connection,
    pool: &'a Pool,
}

impl<'a> EventClient<'a> {
    /// Connects to a store.
    ///
    /// # Errors
    ///
    /// Connecting failed or timed out.
    pub async fn connect(address: SocketAddrV4, pool: &'a Pool) -> Result<Self, CallError> {
        let connecting = TcpSocket::new_v4().context(ConnectSnafu)?.connect(address.into());
        let connected = timeout(CONNECT_TIMEOUT, connecting).await.map_err(|_| CallError::ConnectTimeout)?;
        let stream = connected.context(ConnectSnafu)?;
        Ok(EventClient { address, connection: Connection::new(stream, pool, ()), pool })
    }

    /// Fetches the contents of the store.
    ///
    /// # Errors
    ///
    /// See [`CallError`]; the connection is unusable afterwards.
    pub async fn contents(&mut self) -> Result<CacheContents, CallError> {
        self.call("/v1/kv-list", None).await
    }

    /// Fetches the events since this token by a long poll.
    ///
    /// # Errors
    ///
    /// See [`CallError`]; the connection is unusable afterwards.
    pub async fn events(&mut self, since: u64) -> Result<Events, CallError> {
        self.call(&format!("/v1/kv-events?since={since}"), Some(WAIT_MS)).await
    }

    /// Makes a call and parses its response. `wait_ms` makes it a long poll.
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
