//! Clients that read, leave, pipeline, end their connections and come back.

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::task::yield_now;

use crate::common::{Answer, Ask, Client, Ending};
use crate::history::{KINDS, Kind, Ledger};
use crate::random::{Random, bytes_of};
use crate::server::answer_body;

/// What a client does about one request.
#[derive(Clone, Copy, Debug)]
enum Act {
    Reads,
    /// Sends the next request behind it before it reads the answer.
    Pipelines,
    /// Leaves some turns after it has sent all.
    Leaves,
    /// Leaves before it has sent all.
    LeavesAmid,
    /// Leaves once the head of the answer is there.
    LeavesAtHead,
    /// Asks for the end of the connection.
    Ends,
}

pub struct Caller {
    pub front: SocketAddr,
    pub seed: u64,
    pub number: u64,
    pub ledger: Rc<Ledger>,
}

/// A request and what it is.
struct Request {
    ask: Ask,
    kind: Kind,
}

impl Caller {
    /// Makes so many exchanges, on one connection after the other.
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

    /// One exchange; gives the connection back where it can be used again.
    async fn exchange(&self, mut client: Client, random: &mut Random) -> Option<Client> {
        let act = match random.below(100) {
            0..=69 => Act::Reads,
            70..=79 => Act::Pipelines,
            80..=86 => Act::Leaves,
            87..=89 => Act::LeavesAmid,
            90..=94 => Act::LeavesAtHead,
            _ => Act::Ends,
        };
        let mut request = self.request(random);
        if matches!(act, Act::Ends) {
            request.ask = request.ask.field("Connection", "close");
        }
        let bytes = request.ask.bytes();
        match act {
            Act::Reads => {
                client.send(&bytes).await;
                self.read(&mut client, &request, true).await.then_some(client)
            }
            Act::Ends => {
                client.send(&bytes).await;
                self.read(&mut client, &request, true).await;
                None
            }
            Act::Pipelines => {
                let next = self.request(random);
                client.send(&[bytes, next.ask.bytes()].concat()).await;
                let whole = self.read(&mut client, &request, true).await;
                (whole && self.read(&mut client, &next, true).await).then_some(client)
            }
            Act::Leaves => {
                client.send(&bytes).await;
                for _ in 0..random.below(60) {
                    yield_now().await;
                }
                drop(client);
                self.ledger.left(&request.ask.id);
                None
            }
            Act::LeavesAmid => {
                client.send(&bytes[..random.below(bytes.len() as u64) as usize]).await;
                drop(client);
                self.ledger.left(&request.ask.id);
                None
            }
            Act::LeavesAtHead => {
                client.send(&bytes).await;
                client.see_or_end("\r\n\r\n").await;
                drop(client);
                self.ledger.left(&request.ask.id);
                None
            }
        }
    }

    fn request(&self, random: &mut Random) -> Request {
        let kind = random.one_of(&KINDS);
        let deadline_ms = random.one_of(&[100, 200, 500]);
        let length = random.one_of(&[0, 30, 30, 30, 30, 30, 5_000, 5_000, 20_000, 290_000]);
        let ask = Ask::post(kind.target).field("X-Deadline-Ms", &deadline_ms.to_string());
        let body = bytes_of(&ask.id, length);
        let ask = if random.percent(20) { ask.in_chunks(&[3000, 17]) } else { ask };
        self.ledger.sending(&ask.id, kind, deadline_ms);
        Request { ask: ask.body(&body), kind }
    }

    /// Reads an answer and judges it. True if the connection goes on.
    async fn read(&self, client: &mut Client, request: &Request, due: bool) -> bool {
        match client.answer_or_end().await {
            Ok(answer) => {
                self.judge(request, &answer);
                let ends = answer.field("Connection").is_some_and(|value| value == "close");
                answer.ending == Ending::Whole && !ends
            }
            Err(ending) => {
                if due {
                    self.ledger.broke(format!("LOST: no answer to {}: {ending:?}", request.ask.id));
                }
                false
            }
        }
    }

    fn judge(&self, request: &Request, answer: &Answer) {
        let id = &request.ask.id;
        let whole = answer.ending == Ending::Whole;
        if answer.field("X-Request-Id") != Some(id) {
            return self.ledger.broke(format!("MIXED: {id} got {answer:?}"));
        }
        let server = answer.field("X-Server-Seal").map(|seal| seal.split('.').nth(1).unwrap_or_default());
        self.ledger.count(|counts| match (answer.status, whole) {
            (_, false) => counts.cuts += 1,
            (200..300, true) => counts.successes += 1,
            (408 | 421 | 429 | 503, true) => counts.promises += 1,
            _ => counts.failures += 1,
        });
        match server {
            Some(server) if self.ledger.gave(id, server, answer.status) => {
                self.judge_body(request, server, answer, whole);
            }
            Some(server) => self.ledger.broke(format!("MIXED: {id}: {server} did not give {answer:?}")),
            None if answer.status < 300 => {
                self.ledger.broke(format!("MIXED: {id}: a success of nobody: {answer:?}"))
            }
            None => {}
        }
        if answer.promises() {
            self.ledger.promised(id);
        }
    }

    fn judge_body(&self, request: &Request, server: &str, answer: &Answer, whole: bool) {
        if answer.status != 200 {
            return;
        }
        let right = answer_body(request.kind, &request.ask.id, server, 0);
        let fits = if whole { answer.body == right } else { right.starts_with(&answer.body) };
        if !fits {
            let (id, got, wanted) = (&request.ask.id, answer.body.len(), right.len());
            self.ledger.broke(format!("MIXED: {id} at {server}, whole: {whole}: {got} bytes of {wanted}"));
        }
    }
}
