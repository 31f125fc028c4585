//! The service table: discovery's list, read by a watch and handed on. When to watch anew, and what a list
//! means for an app server, is not decided here.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle::settings::{Deployment, intern_name, micros_from_ms};
use gradepaddle::{ListKind, Micros, Server, ServerState};
use gradepaddle_dispatch::{Failure, ListClock};
use serde::Deserialize;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};
use tracing::{debug, info, warn};

use crate::handover::{Handover, Table};
use crate::http::{ChunkedDecoder, Connection, Framing};
use crate::mail::{self, Change};
use crate::routed_task::Context;
use crate::sockets::Side;

/// How long the connection may take to come up.
const DIAL: Duration = Duration::from_secs(1);
/// The longest value of a watch: room for the list of some thousand app servers.
const MAX_VALUE: usize = 1024 * 1024;

/// What the table is asked.
pub enum Ask {
    /// Open a watch.
    Watch,
    /// Discovery is at this address from now on.
    Move(SocketAddr),
}

/// The mailbox of the table.
pub type Mailbox = mpsc::UnboundedSender<Ask>;

/// The list, or changes of it, as discovery writes them.
#[derive(Default, Deserialize)]
pub struct Listing {
    #[serde(default)]
    seq: u64,
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<Value>,
}

#[derive(Deserialize)]
struct Host {
    host: String,
    dial: Option<String>,
    #[serde(default)]
    site: String,
    #[serde(default)]
    class: String,
    #[serde(default)]
    block: u32,
    health: String,
    #[serde(default = "one")]
    share: f64,
    #[serde(default)]
    born_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// The values of a watch, one behind the other, however they are cut into lines and chunks.
#[derive(Default)]
struct Values {
    text: Vec<u8>,
}

impl Values {
    /// Takes in what came, and gives back the values that are whole by now. Fails where a value is no list, or is too
    /// long: nothing behind that can be trusted.
    fn take(&mut self, came: &[u8]) -> Result<Vec<Listing>, String> {
        self.text.extend_from_slice(came);
        let (mut whole, mut used) = (Vec::new(), 0);
        // A list ends with this; before that there is nothing to read, in however many pieces it comes.
        if came.contains(&b'}') {
            let mut values = serde_json::Deserializer::from_slice(&self.text).into_iter();
            while let Some(value) = values.next() {
                match value {
                    Ok(listing) => whole.push(listing),
                    Err(e) if e.is_eof() => break,
                    Err(e) => return Err(format!("what is no list: {e}")),
                }
                used = values.byte_offset();
            }
        }
        let space = self.text[used..].iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        self.text.drain(..used + space);
        match self.text.first() {
            Some(byte) if *byte != b'{' => Err("what is no list".into()),
            _ if self.text.len() >= MAX_VALUE => Err("a list that is too long".into()),
            _ => Ok(whole),
        }
    }

    /// True if half a value waits for its rest.
    fn is_amid(&self) -> bool {
        !self.text.is_empty()
    }
}

/// How a watch ended.
enum End {
    /// Without a word.
    Silent(String),
    /// Before there was a connection.
    Unreached(String),
    /// With a word: reset, turned down, spoilt.
    Failed(String),
}

impl From<&str> for End {
    fn from(why: &str) -> Self {
        End::Failed(why.to_owned())
    }
}

impl From<String> for End {
    fn from(why: String) -> Self {
        End::Failed(why)
    }
}

/// The actor's state.
pub struct ServiceTable {
    discovery: SocketAddr,
    deployment: Deployment,
    decision: mail::Mailbox,
    context: Rc<Context>,
    seq: u64,
    clock: ListClock,
    /// The entries as they were told, by id, where they are left for a process that may follow.
    left: Option<(Rc<Handover>, BTreeMap<String, Value>)>,
}

impl Listing {
    /// The newer of this list, which discovery at this address told once, and what the last process left. One
    /// that just was in service knows best; its version counts only where the same discovery told it.
    pub fn or_left(self, discovery: SocketAddr, left: Option<Table>, just_now: bool) -> Listing {
        let Some(left) = left else { return self };
        let same = left.discovery == discovery.to_string();
        if just_now || same && left.seq >= self.seq {
            return Listing { seq: if same { left.seq } else { 0 }, whole: true, hosts: left.hosts };
        }
        self
    }
}

impl ServiceTable {
    /// A table that holds nothing yet; what it comes to hold is left for a process that may follow.
    pub fn new(
        discovery: SocketAddr,
        deployment: Deployment,
        decision: mail::Mailbox,
        context: Rc<Context>,
        handover: Option<Rc<Handover>>,
    ) -> Self {
        let left = handover.map(|handover| (handover, BTreeMap::new()));
        let clock =
            ListClock::new(deployment.settings.gateway_count, u64::from(deployment.settings.gateway_index));
        ServiceTable { discovery, deployment, decision, context, seq: 0, clock, left }
    }

    /// Starts from the last list and watches whenever asked to.
    pub async fn run(mut self, known: Listing, mut inbox: mpsc::UnboundedReceiver<Ask>) {
        self.apply(known, ListKind::Cached);
        // Lists that have to be asked for are asked for in turn, as the decisions say. Pushed ones count from the first
        // moment on.
        let mut again = (!self.deployment.settings.poll_discovery).then(|| self.now());
        loop {
            let ask = tokio::select! {
                biased;
                ask = inbox.recv() => ask,
                () = sleep_until(self.instant(again)), if again.is_some() => Some(Ask::Watch),
            };
            match ask {
                None => return,
                Some(Ask::Watch) => {}
                Some(Ask::Move(to)) => self.moved(to),
            }
            // A move ends a watch for no fault, so it goes on at once at the new address; what has fallen silent is
            // broken, and waiting would only make it later.
            let (why, how) = loop {
                tokio::select! {
                    biased;
                    to = next_move(&mut inbox) => match to {
                        Some(to) => self.moved(to),
                        None => return,
                    },
                    end = self.watch() => match end {
                        End::Unreached(why) => break (why, Failure::Unreachable),
                        End::Failed(why) => break (why, Failure::TurnedDown),
                        End::Silent(what) => {
                            self.clock.silence_timed_out();
                            let behind = self.clock.is_behind(self.now());
                            warn!(discovery = %self.discovery, seq = self.seq, behind, "{what}: asked anew");
                        }
                    },
                }
            };
            again = Some(self.clock.call_failed(self.now(), how));
            warn!(discovery = %self.discovery, seq = self.seq, "watch broken: {why}");
            self.decision.table(Change { seq: self.seq, kind: ListKind::Failed, entries: Vec::new() });
        }
    }

    fn now(&self) -> Micros {
        self.context.clock.now()
    }

    fn instant(&self, at: Option<Micros>) -> Instant {
        self.context.clock.instant(at.unwrap_or(Micros::MAX))
    }

    /// Turns to another discovery. The table holds until that has told its list, but not its version:
    /// another discovery counts its own, and changes after ours might mean nothing there.
    fn moved(&mut self, to: SocketAddr) {
        info!(from = %self.discovery, %to, "discovery has moved");
        (self.discovery, self.seq) = (to, 0);
        self.clock.discovery_moved(self.now());
    }

    /// Watches until the watch ends, and says how it did.
    async fn watch(&mut self) -> End {
        debug!(seq = self.seq, "call for the list");
        let Some(permit) = self.context.budget.take(Side::Discovery) else {
            return End::Unreached("no descriptor left".into());
        };
        self.clock.call_started(self.now());
        let mut connection = match timeout(DIAL, TcpStream::connect(self.discovery)).await {
            Ok(Ok(stream)) => Connection::new(stream, &self.context.pool, permit),
            Ok(Err(e)) => return End::Unreached(e.to_string()),
            Err(_) => return End::Unreached("the connection did not come up".into()),
        };
        let mut request = self.context.pool.chain();
        let text = format!(
            "GET /registry/instances?stream=1&index={} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.seq, self.discovery
        );
        request.push(text.as_bytes());
        let head = timeout_at(self.instant(self.clock.silence_deadline()), async {
            connection.write(&[&request]).await.map_err(|e| e.to_string())?;
            connection.read_head().await.map_err(|fault| fault.to_string())
        });
        let head = match head.await {
            Ok(Ok(head)) => head,
            Ok(Err(why)) => return why.into(),
            Err(_) => return End::Silent("a call without an answer".into()),
        };
        match head.status() {
            Ok(200) => {}
            Ok(status) => return format!("discovery answered {status}").into(),
            Err(why) => return why.to_string().into(),
        }
        if head.framing(Framing::UntilClose) != Ok(Framing::Chunked) {
            return "the answer is not chunked".into();
        }
        let (mut chunks, mut came, mut values) =
            (ChunkedDecoder::new(), self.context.pool.chain(), Values::default());
        loop {
            let read = connection.read_chunks(&mut chunks, &mut came, MAX_VALUE);
            let ended = match timeout_at(self.instant(self.clock.silence_deadline()), read).await {
                Ok(Ok(ended)) => ended,
                Ok(Err(fault)) => return fault.to_string().into(),
                Err(_) if values.is_amid() => return End::Silent("half a list, then silence".into()),
                Err(_) => return End::Silent("a watch that is silent".into()),
            };
            let text = came.copy_front(came.len());
            came.consume(text.len());
            match values.take(&text) {
                Ok(listings) => {
                    for listing in listings {
                        self.clock.list_received(self.now());
                        self.changed(listing);
                    }
                }
                Err(why) => return why.into(),
            }
            // Half a value is no sign of life: what it would tell is still owed.
            if !values.is_amid() {
                self.clock.heartbeat_received(self.now());
            }
            if ended {
                return "discovery ended it".into();
            }
        }
    }

    fn changed(&mut self, listing: Listing) {
        // Changes come in order; one from before our version would bring back what has passed.
        if !listing.whole && listing.seq < self.seq {
            warn!(seq = listing.seq, held = self.seq, "skipped changes older than the table");
            return;
        }
        let kind = if listing.whole { ListKind::Full } else { ListKind::Delta };
        self.apply(listing, kind);
    }

    /// Keeps the entries as they were told, where they are to be left.
    fn note(&mut self, listing: &Listing, kind: ListKind) {
        let Some((_, entries)) = &mut self.left else { return };
        if kind != ListKind::Delta {
            entries.clear();
        }
        for host in &listing.hosts {
            let Some(id) = host.get("host").and_then(Value::as_str) else { continue };
            match host.get("health").and_then(Value::as_str) {
                Some("removed") => drop(entries.remove(id)),
                _ => drop(entries.insert(id.to_owned(), host.clone())),
            }
        }
    }

    /// Leaves the table as it is now known.
    fn leave(&self, seq: u64) {
        if let Some((handover, entries)) = &self.left {
            handover.leave_table(self.discovery, seq, entries.values().cloned().collect());
        }
    }

    fn apply(&mut self, listing: Listing, kind: ListKind) {
        self.note(&listing, kind);
        // Only what discovery told: one that starts on an old list must not leave that over a newer one.
        let changes = kind == ListKind::Full || !listing.hosts.is_empty() || listing.seq != self.seq;
        if kind != ListKind::Cached && changes {
            self.leave(listing.seq);
        }
        self.seq = listing.seq;
        let mut entries = Vec::with_capacity(listing.hosts.len());
        for host in listing.hosts {
            match serde_json::from_value::<Host>(host) {
                Ok(host) => entries.extend(self.entry(host)),
                // One entry that cannot be read must not cost the rest of the list.
                Err(e) => warn!("skipped an entry of the list: {e}"),
            }
        }
        self.decision.table(Change { seq: self.seq, kind, entries });
    }

    /// One entry as the decisions take it, with its address unless it is gone.
    fn entry(&mut self, host: Host) -> Option<(Server, Option<SocketAddr>)> {
        let state = match host.health.as_str() {
            "up" => ServerState::Ready,
            "removed" => ServerState::Gone,
            // A state that is not known here is at least not up: it gets nothing new.
            _ => ServerState::Draining,
        };
        let mut address = None;
        if state != ServerState::Gone {
            let dial = host.dial.as_deref().unwrap_or_default();
            address = dial.parse().ok();
            if address.is_none() {
                warn!(host = %host.host, dial, "skipped an entry of the list: no address");
                return None;
            }
        }
        let server = Server {
            id: host.host.into(),
            zone: intern_name(&mut self.deployment.zones, &host.site),
            kind: intern_name(&mut self.deployment.kinds, &host.class),
            cell: host.block,
            state,
            weight: host.share,
            started: (host.born_ms > 0.0).then(|| micros_from_ms(host.born_ms)),
        };
        Some((server, address))
    }
}

/// The next move. Meanwhile a watch is on, so others that are asked for are not wanted: one call ends in
/// one failure.
async fn next_move(inbox: &mut mpsc::UnboundedReceiver<Ask>) -> Option<SocketAddr> {
    loop {
        if let Ask::Move(to) = inbox.recv().await? {
            return Some(to);
        }
    }
}

#[cfg(test)]
mod tests;
