//! Calls for the events of a store, and for the list of what it keeps.

use std::net::SocketAddrV4;
use std::time::Duration;

use gradepaddle_http::buffers::Pool;
use gradepaddle_http::{Body, Connection, Framing};
use serde::Deserialize;
use tokio::net::TcpSocket;
use tokio::time::timeout;

/// A call is held for this long, in milliseconds, unless something happens.
const WAIT_MS: u64 = 900;
/// A call is answered within this, or its source is down.
const ANSWER_WITHIN: Duration = Duration::from_millis(1300);
const DIAL_WITHIN: Duration = Duration::from_millis(300);
/// The longest answer that is read, in bytes.
const ANSWER_BYTES: u64 = 8 * 1024 * 1024;

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

/// Number, + or -, salt, part, tokens kept now, model.
#[derive(Deserialize)]
pub(super) struct Event(
    #[expect(dead_code, reason = "position in the tuple")] pub u64,
    pub String,
    pub String,
    pub String,
    pub u32,
    pub String,
);

/// What a store keeps at this moment.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct CacheContents {
    pub epoch: u64,
    pub next_token: u64,
    #[serde(default)]
    pub held: Vec<CachedChunk>,
}

/// Salt, part, tokens, model.
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
    pub async fn connect(address: SocketAddrV4, pool: &'a Pool) -> Option<Self> {
        let dialled = timeout(DIAL_WITHIN, TcpSocket::new_v4().ok()?.connect(address.into())).await;
        let stream = dialled.ok()?.ok()?;
        Some(EventClient { address, connection: Connection::new(stream, pool, ()), pool })
    }

    /// Asks for what is kept.
    pub async fn contents(&mut self) -> Option<CacheContents> {
        self.call("/v1/kv-list", None).await
    }

    /// Asks for the events after this one, for as long as a call is held.
    pub async fn events(&mut self, since: u64) -> Option<Events> {
        self.call(&format!("/v1/kv-events?since={since}"), Some(WAIT_MS)).await
    }

    async fn call<T: for<'d> Deserialize<'d>>(&mut self, path: &str, wait_ms: Option<u64>) -> Option<T> {
        let (address, pool) = (self.address, self.pool);
        let wait = wait_ms.map(|wait| format!("Wait-Ms: {wait}\r\n")).unwrap_or_default();
        let mut request = pool.chain();
        request.push(format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n{wait}\r\n").as_bytes());
        let connection = &mut self.connection;
        let answer = async {
            connection.write(&[&request]).await.ok()?;
            let head = connection.read_head().await.ok()?;
            let framing = head.framing(Framing::UntilClose).ok()?;
            let mut body = Body::new_within(framing, ANSWER_BYTES).ok()?;
            let mut bytes = pool.chain();
            while !connection.read_piece(&mut body, &mut bytes, usize::MAX).await.ok()? {}
            let bytes = bytes.copy(bytes.len());
            (head.status() == Ok(200)).then(|| serde_json::from_slice(&bytes).ok())?
        };
        timeout(ANSWER_WITHIN, answer).await.ok()?
    }
}
