//! The service table: discovery's list, read by a watch and handed on. When to watch anew, and what a list
//! means for an app server, is not decided here.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle::settings::{Deployment, micros, place};
use gradepaddle::{ListKind, Server, State};
use serde::Deserialize;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tracing::{debug, info, warn};

use crate::handover::{Handover, Table};
use crate::http::{Chunks, Connection, Framing, line};
use crate::mail::{self, Change};
use crate::routed_task::Context;
use crate::sockets::Side;

/// Discovery sends an empty line every 2 s; a watch silent for this long is broken.
const SILENCE: Duration = Duration::from_secs(5);
/// How long the connection may take to come up.
const DIAL: Duration = Duration::from_secs(1);
/// The longest line of a watch: room for the list of some thousand app servers.
const MAX_LINE: usize = 1024 * 1024;

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

/// The actor's state.
pub struct ServiceTable {
    discovery: SocketAddr,
    deployment: Deployment,
    decision: mail::Mailbox,
    context: Rc<Context>,
    seq: u64,
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
        ServiceTable { discovery, deployment, decision, context, seq: 0, left }
    }

    /// Starts from the last list and watches whenever asked to.
    pub async fn run(mut self, known: Listing, mut inbox: mpsc::UnboundedReceiver<Ask>) {
        self.apply(known, ListKind::Cached);
        while let Some(ask) = inbox.recv().await {
            if let Ask::Move(to) = ask {
                self.moved(to);
            }
            // A move ends a watch for no fault, so it goes on at once at the new address.
            let why = loop {
                tokio::select! {
                    biased;
                    to = next_move(&mut inbox) => match to {
                        Some(to) => self.moved(to),
                        None => return,
                    },
                    why = self.watch() => break why,
                }
            };
            warn!(discovery = %self.discovery, seq = self.seq, "watch broken: {why}");
            self.decision.table(Change { seq: self.seq, kind: ListKind::Failed, entries: Vec::new() });
        }
    }

    /// Turns to another discovery. The table holds until that has told its list, but not its version:
    /// another discovery counts its own, and changes after ours might mean nothing there.
    fn moved(&mut self, to: SocketAddr) {
        info!(from = %self.discovery, %to, "discovery has moved");
        (self.discovery, self.seq) = (to, 0);
    }

    /// Watches until the watch ends, and says why it did.
    async fn watch(&mut self) -> String {
        debug!(seq = self.seq, "call for the list");
        let Some(permit) = self.context.budget.take(Side::Server) else {
            return "no descriptor left".into();
        };
        let mut connection = match timeout(DIAL, TcpStream::connect(self.discovery)).await {
            Ok(Ok(stream)) => Connection::new(stream, &self.context.pool, permit),
            Ok(Err(e)) => return e.to_string(),
            Err(_) => return "the connection did not come up".into(),
        };
        let mut request = self.context.pool.chain();
        let text = format!(
            "GET /registry/instances?stream=1&index={} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.seq, self.discovery
        );
        request.push(text.as_bytes());
        let head = timeout(SILENCE, async {
            connection.write(&[&request]).await.map_err(|e| e.to_string())?;
            connection.read_head().await.map_err(|fault| fault.to_string())
        });
        let head = match head.await {
            Ok(Ok(head)) => head,
            Ok(Err(why)) => return why,
            Err(_) => return "no answer".into(),
        };
        match head.status() {
            Ok(200) => {}
            Ok(status) => return format!("discovery answered {status}"),
            Err(why) => return why.into(),
        }
        if head.framing(Framing::UntilClose) != Ok(Framing::Chunked) {
            return "the answer is not chunked".into();
        }
        let (mut chunks, mut text) = (Chunks::new(), self.context.pool.chain());
        loop {
            let ended = match timeout(SILENCE, connection.read_chunks(&mut chunks, &mut text, MAX_LINE)).await
            {
                Ok(Ok(ended)) => ended,
                Ok(Err(fault)) => return fault.to_string(),
                Err(_) => return format!("silent for {} s", SILENCE.as_secs()),
            };
            loop {
                match line(&mut text, MAX_LINE) {
                    Ok(None) => break,
                    Ok(Some(line)) if line.trim_ascii().is_empty() => {}
                    Ok(Some(line)) => match serde_json::from_slice(&line) {
                        Ok(listing) => self.changed(listing),
                        Err(e) => return format!("a line that is no list: {e}"),
                    },
                    Err(fault) => return fault.to_string(),
                }
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
            "up" => State::Ready,
            "removed" => State::Gone,
            // A state that is not known here is at least not up: it gets nothing new.
            _ => State::Draining,
        };
        let mut address = None;
        if state != State::Gone {
            let dial = host.dial.as_deref().unwrap_or_default();
            address = dial.parse().ok();
            if address.is_none() {
                warn!(host = %host.host, dial, "skipped an entry of the list: no address");
                return None;
            }
        }
        let server = Server {
            id: host.host.into(),
            zone: place(&mut self.deployment.zones, &host.site),
            kind: place(&mut self.deployment.kinds, &host.class),
            cell: host.block,
            state,
            weight: host.share,
            started: (host.born_ms > 0.0).then(|| micros(host.born_ms)),
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
