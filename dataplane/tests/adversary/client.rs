//! Clients that read, pipeline, disconnect, close their connections and reconnect.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::task::yield_now;

use crate::common::{BodyEnd, Client, ClientRequest, Response};
use crate::history::{History, ROUTE_KINDS, RouteKind};
use crate::random::{Random, bytes_of};
use crate::server::response_body;

/// What a client does with one request.
#[derive(Clone, Copy, Debug)]
enum Behavior {
    Reads,
    /// Sends the next request before it reads the response.
    Pipelines,
    /// Disconnects a random number of yields after it has sent the request.
    Disconnects,
    /// Disconnects before it has sent the complete request.
    DisconnectsWithinRequest,
    /// Disconnects once it has received the head of the response.
    DisconnectsAtHead,
    /// Requests that the connection be closed after the response.
    Closes,
}

pub struct AdversarialClient {
    pub front: SocketAddr,
    pub seed: u64,
    pub number: u64,
    pub history: Rc<History>,
}

/// A request and its kind of route.
struct TrackedRequest {
    sent: ClientRequest,
    kind: RouteKind,
}

impl AdversarialClient {
    /// Makes this many exchanges, and opens a new connection where the last one can't be reused.
    pub async fn run(self, exchanges: u64) {
        let mut random = Random::of(self.seed, &["client", &self.number.to_string()]);
        let mut client = None;
        for _ in 0..exchanges {
            let connection = match client.take() {
                Some(connection) => connection,
                None => Client::connect(self.front).await,
            };
            client = self.exchange(connection, &mut random).await;
        }
    }

    /// Makes one exchange; returns the connection if it can be reused.
    async fn exchange(&self, mut client: Client, random: &mut Random) -> Option<Client> {
        let behavior = match random.below(100) {
            0..=69 => Behavior::Reads,
            70..=79 => Behavior::Pipelines,
            80..=86 => Behavior::Disconnects,
            87..=89 => Behavior::DisconnectsWithinRequest,
            90..=94 => Behavior::DisconnectsAtHead,
            _ => Behavior::Closes,
        };
        let mut request = self.request(random, true);
        if matches!(behavior, Behavior::Closes) {
            request.sent = request.sent.field("Connection", "close");
        }
        let bytes = request.sent.bytes();
        match behavior {
            // HTTP/1.0 has no pipelining.
            Behavior::Pipelines if request.sent.http_1_0 => {
                client.send(&bytes).await;
                self.read(&mut client, &request, true).await.then_some(client)
            }
            Behavior::Reads => {
                client.send(&bytes).await;
                self.read(&mut client, &request, true).await.then_some(client)
            }
            Behavior::Closes => {
                client.send(&bytes).await;
                self.read(&mut client, &request, true).await;
                None
            }
            Behavior::Pipelines => {
                let next = self.request(random, false);
                client.send(&[bytes, next.sent.bytes()].concat()).await;
                let complete = self.read(&mut client, &request, true).await;
                (complete && self.read(&mut client, &next, true).await).then_some(client)
            }
            Behavior::Disconnects => {
                client.send(&bytes).await;
                for _ in 0..random.below(60) {
                    yield_now().await;
                }
                drop(client);
                self.history.client_left(&request.sent.id);
                None
            }
            Behavior::DisconnectsWithinRequest => {
                client.send(&bytes[..random.below(bytes.len() as u64) as usize]).await;
                drop(client);
                self.history.client_left(&request.sent.id);
                None
            }
            Behavior::DisconnectsAtHead => {
                client.send(&bytes).await;
                client.wait_for_or_end("\r\n\r\n").await;
                drop(client);
                self.history.client_left(&request.sent.id);
                None
            }
        }
    }

    fn request(&self, random: &mut Random, may_be_http_1_0: bool) -> TrackedRequest {
        let kind = random.one_of(&ROUTE_KINDS);
        let deadline_ms = random.one_of(&[100, 200, 500]);
        let length = random.one_of(&[0, 30, 30, 30, 30, 30, 5_000, 5_000, 20_000, 290_000]);
        let sent = ClientRequest::post(kind.target).field("X-Deadline-Ms", &deadline_ms.to_string());
        let body = bytes_of(&sent.id, length);
        let sent = match random.below(100) {
            0..=19 => sent.in_chunks(&[3000, 17]),
            20..=44 if may_be_http_1_0 => sent.http_1_0(),
            _ => sent,
        };
        self.history.record_request(&sent.id, kind, deadline_ms, sent.http_1_0);
        TrackedRequest { sent: sent.body(&body), kind }
    }

    /// Reads a response and checks it. True if the connection can be reused.
    async fn read(&self, client: &mut Client, request: &TrackedRequest, due: bool) -> bool {
        let response = match request.sent.http_1_0 {
            true => client.http_1_0_response_or_end().await,
            false => client.response_or_end().await,
        };
        match response {
            Ok(response) => {
                self.check(request, &response);
                let closes = response.field("Connection").is_some_and(|value| value == "close");
                response.body_end == BodyEnd::Complete && !closes && !request.sent.http_1_0
            }
            Err(body_end) => {
                if due {
                    self.history.violation(format!("no response to {}: {body_end:?}", request.sent.id));
                }
                false
            }
        }
    }

    fn check(&self, request: &TrackedRequest, response: &Response) {
        let id = &request.sent.id;
        let complete = response.body_end == BodyEnd::Complete;
        if response.field("X-Request-Id") != Some(id) {
            return self.history.violation(format!("wrong response: {id} got {response:?}"));
        }
        let server = response.field("X-Server-Seal").map(|seal| seal.split('.').nth(1).unwrap_or_default());
        self.history.count(|counts| match (response.status, complete) {
            (_, false) => counts.truncated += 1,
            (200..300, true) => counts.successes += 1,
            (408 | 421 | 429 | 503, true) => counts.says_not_processed += 1,
            _ => counts.failures += 1,
        });
        match server {
            Some(server) if self.history.has_responded(id, server, response.status) => {
                self.check_body(request, server, response, complete);
            }
            Some(server) => {
                self.history.violation(format!("wrong response: {id}: {server} did not send {response:?}"));
            }
            None if response.status < 300 => {
                self.history
                    .violation(format!("wrong response: {id}: no server sent this success: {response:?}"));
            }
            None => {}
        }
        if response.says_not_processed() {
            self.history.answered_not_processed(id);
        }
    }

    fn check_body(&self, request: &TrackedRequest, server: &str, response: &Response, complete: bool) {
        if response.status != 200 {
            return;
        }
        let expected = response_body(request.kind, &request.sent.id, server, 0);
        let matches = match complete {
            true => {
                response.body == expected
                    || self.history.may_look_complete(&request.sent.id, server, &response.body)
            }
            false => expected.starts_with(&response.body),
        };
        if !matches {
            let (id, got, wanted) = (&request.sent.id, response.body.len(), expected.len());
            self.history.violation(format!(
                "wrong body: {id} at {server}, complete: {complete}: {got} bytes of {wanted}"
            ));
        }
    }
}
