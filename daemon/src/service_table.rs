//! The service table: discovery's list of app servers, read over a watch and passed to the dispatch actor. When to open the
//! next watch, and what a list means for an app server, is decided elsewhere.

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

use crate::attempt::Context;
use crate::descriptor_budget::Side;
use crate::dispatch_handle::{DispatchHandle, TableUpdate};
use crate::handover::{Handover, Table};
use crate::http::{ChunkedDecoder, Connection, Framing};

/// The timeout for opening a connection to discovery.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The size limit of a list in bytes: room for some thousand app servers.
const MAX_LIST: usize = 1024 * 1024;

/// A command to the service table.
pub enum Command {
    /// Open a watch.
    Watch,
    /// Discovery is at this address from now on.
    SetDiscovery(SocketAddr),
}

/// The sender of commands to the service table.
pub type CommandSender = mpsc::UnboundedSender<Command>;

/// The list, or changes to it, in discovery's format.
#[derive(Default, Deserialize)]
pub struct HostList {
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

/// Decodes the stream of a watch into its JSON lists, however they are split into lines and chunks.
#[derive(Default)]
struct ListDecoder {
    buffer: Vec<u8>,
}

impl ListDecoder {
    /// Takes in received bytes and returns the lists that are complete by now. Fails if a value is not a list or is too
    /// long; nothing after that can be trusted.
    fn decode(&mut self, received: &[u8]) -> Result<Vec<HostList>, String> {
        self.buffer.extend_from_slice(received);
        let (mut complete, mut used) = (Vec::new(), 0);
        // Every list ends with a brace. Until one arrives, there is nothing to parse, however many pieces a list comes in.
        if received.contains(&b'}') {
            let mut values = serde_json::Deserializer::from_slice(&self.buffer).into_iter();
            while let Some(value) = values.next() {
                match value {
                    Ok(list) => complete.push(list),
                    Err(e) if e.is_eof() => break,
                    Err(e) => return Err(format!("invalid list: {e}")),
                }
                used = values.byte_offset();
            }
        }
        let space = self.buffer[used..].iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        self.buffer.drain(..used + space);
        match self.buffer.first() {
            Some(byte) if *byte != b'{' => Err("invalid list: not a JSON object".into()),
            _ if self.buffer.len() >= MAX_LIST => Err("list too long".into()),
            _ => Ok(complete),
        }
    }

    /// True if a list has been received in part.
    fn has_partial_list(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// How a watch ended.
enum WatchEnd {
    /// Discovery fell silent.
    Silent(String),
    /// No connection was opened.
    Unreachable(String),
    /// Discovery ended or reset the watch, rejected the request, or sent something invalid.
    Failed(String),
}

impl From<&str> for WatchEnd {
    fn from(why: &str) -> Self {
        WatchEnd::Failed(why.to_owned())
    }
}

impl From<String> for WatchEnd {
    fn from(why: String) -> Self {
        WatchEnd::Failed(why)
    }
}

/// The actor's state.
pub struct ServiceTable {
    discovery: SocketAddr,
    deployment: Deployment,
    dispatch: DispatchHandle,
    context: Rc<Context>,
    seq: u64,
    clock: ListClock,
    /// The entries by id, as discovery sent them, if they are handed over to a successor process.
    handover: Option<(Rc<Handover>, BTreeMap<String, Value>)>,
}

impl HostList {
    /// The newer of this configured list, which discovery at this address sent at some time, and the table that the previous
    /// process has handed over. A process that was in service until `just_now` has the newest table. A version counts only
    /// where the same discovery sent both.
    pub fn or_handed_over(self, discovery: SocketAddr, table: Option<Table>, just_now: bool) -> HostList {
        let Some(table) = table else { return self };
        let same = table.discovery == discovery.to_string();
        if just_now || same && table.seq >= self.seq {
            return HostList { seq: if same { table.seq } else { 0 }, whole: true, hosts: table.hosts };
        }
        self
    }
}

impl ServiceTable {
    /// An empty table; with `handover`, its content is handed over to a successor process.
    pub fn new(
        discovery: SocketAddr,
        deployment: Deployment,
        dispatch: DispatchHandle,
        context: Rc<Context>,
        handover: Option<Rc<Handover>>,
    ) -> Self {
        let handover = handover.map(|handover| (handover, BTreeMap::new()));
        let clock =
            ListClock::new(deployment.settings.gateway_count, u64::from(deployment.settings.gateway_index));
        ServiceTable { discovery, deployment, dispatch, context, seq: 0, clock, handover }
    }

    /// Starts from `initial`, the last known list, and opens a watch at each [`Command::Watch`].
    pub async fn run(mut self, initial: HostList, mut commands: mpsc::UnboundedReceiver<Command>) {
        self.apply(initial, ListKind::Cached);
        // Where discovery is asked on request, the dispatch actor says when. Where lists are pushed, they count from the
        // start, so the first watch is opened at once.
        let mut retry_at = (!self.deployment.settings.poll_discovery).then(|| self.now());
        loop {
            let command = tokio::select! {
                biased;
                command = commands.recv() => command,
                () = sleep_until(self.instant(retry_at)), if retry_at.is_some() => Some(Command::Watch),
            };
            match command {
                None => return,
                Some(Command::Watch) => {}
                Some(Command::SetDiscovery(to)) => self.set_discovery(to),
            }
            // A new address ends the watch without a failure, so the next one is opened there at once. So it is after a
            // silence: the watch is broken, and waiting would only delay the next list.
            let (why, how) = loop {
                tokio::select! {
                    biased;
                    to = next_discovery(&mut commands) => match to {
                        Some(to) => self.set_discovery(to),
                        None => return,
                    },
                    end = self.watch() => match end {
                        WatchEnd::Unreachable(why) => break (why, Failure::Unreachable),
                        WatchEnd::Failed(why) => break (why, Failure::TurnedDown),
                        WatchEnd::Silent(what) => {
                            self.clock.silence_timed_out();
                            let behind = self.clock.is_behind(self.now());
                            warn!(discovery = %self.discovery, seq = self.seq, behind, "{what}; opening a new watch");
                        }
                    },
                }
            };
            retry_at = Some(self.clock.call_failed(self.now(), how));
            warn!(discovery = %self.discovery, seq = self.seq, "watch broken: {why}");
            self.dispatch.update_table(TableUpdate {
                seq: self.seq,
                kind: ListKind::Failed,
                entries: Vec::new(),
            });
        }
    }

    fn now(&self) -> Micros {
        self.context.clock.now()
    }

    fn instant(&self, at: Option<Micros>) -> Instant {
        self.context.clock.instant(at.unwrap_or(Micros::MAX))
    }

    /// Changes to another discovery. The entries stay until it has sent its list, but the version is dropped: each discovery
    /// counts its own versions, and changes after ours might mean nothing there.
    fn set_discovery(&mut self, to: SocketAddr) {
        info!(from = %self.discovery, %to, "discovery has moved");
        (self.discovery, self.seq) = (to, 0);
        self.clock.discovery_moved(self.now());
    }

    /// Opens a watch, reads it until it ends, and returns how it did.
    async fn watch(&mut self) -> WatchEnd {
        debug!(seq = self.seq, "call for the list");
        let Some(permit) = self.context.budget.take(Side::Discovery) else {
            return WatchEnd::Unreachable("no descriptor left".into());
        };
        self.clock.call_started(self.now());
        let mut connection = match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.discovery)).await {
            Ok(Ok(stream)) => Connection::new(stream, &self.context.pool, permit),
            Ok(Err(e)) => return WatchEnd::Unreachable(e.to_string()),
            Err(_) => return WatchEnd::Unreachable("connect timed out".into()),
        };
        let mut request = self.context.pool.chain();
        let text = format!(
            "GET /registry/instances?stream=1&index={} HTTP/1.1\r\nHost: {}\r\n\r\n",
            self.seq, self.discovery
        );
        request.push(text.as_bytes());
        let head = timeout_at(self.instant(self.clock.silence_deadline()), async {
            connection.write(&[&request]).await.map_err(|e| e.to_string())?;
            connection.read_head().await.map_err(|error| error.to_string())
        });
        let head = match head.await {
            Ok(Ok(head)) => head,
            Ok(Err(why)) => return why.into(),
            Err(_) => return WatchEnd::Silent("discovery sent no response".into()),
        };
        match head.status() {
            Ok(200) => {}
            Ok(status) => return format!("discovery answered {status}").into(),
            Err(why) => return why.to_string().into(),
        }
        if head.framing(Framing::UntilClose) != Ok(Framing::Chunked) {
            return "the response is not chunked".into();
        }
        let (mut chunks, mut received, mut decoder) =
            (ChunkedDecoder::new(), self.context.pool.chain(), ListDecoder::default());
        loop {
            let read = connection.read_chunks(&mut chunks, &mut received, MAX_LIST);
            let ended = match timeout_at(self.instant(self.clock.silence_deadline()), read).await {
                Ok(Ok(ended)) => ended,
                Ok(Err(error)) => return error.to_string().into(),
                Err(_) if decoder.has_partial_list() => {
                    return WatchEnd::Silent("discovery fell silent within a list".into());
                }
                Err(_) => return WatchEnd::Silent("the watch fell silent".into()),
            };
            let text = received.copy_front(received.len());
            received.consume(text.len());
            match decoder.decode(&text) {
                Ok(lists) => {
                    for list in lists {
                        self.clock.list_received(self.now());
                        self.apply_received(list);
                    }
                }
                Err(why) => return why.into(),
            }
            // A part of a list is no sign of life: the list is still owed.
            if !decoder.has_partial_list() {
                self.clock.heartbeat_received(self.now());
            }
            if ended {
                return "discovery ended it".into();
            }
        }
    }

    fn apply_received(&mut self, list: HostList) {
        // Changes arrive in order. Changes older than the held version would restore an outdated state.
        if !list.whole && list.seq < self.seq {
            warn!(seq = list.seq, held = self.seq, "skipped changes older than the table");
            return;
        }
        let kind = if list.whole { ListKind::Full } else { ListKind::Delta };
        self.apply(list, kind);
    }

    /// Records the entries as discovery sent them, if they are handed over.
    fn record_entries(&mut self, list: &HostList, kind: ListKind) {
        let Some((_, entries)) = &mut self.handover else { return };
        if kind != ListKind::Delta {
            entries.clear();
        }
        for host in &list.hosts {
            let Some(id) = host.get("host").and_then(Value::as_str) else { continue };
            match host.get("health").and_then(Value::as_str) {
                Some("removed") => drop(entries.remove(id)),
                _ => drop(entries.insert(id.to_owned(), host.clone())),
            }
        }
    }

    /// Stores the current table for a successor process.
    fn hand_over(&self, seq: u64) {
        if let Some((handover, entries)) = &self.handover {
            handover.store_table(self.discovery, seq, entries.values().cloned().collect());
        }
    }

    fn apply(&mut self, list: HostList, kind: ListKind) {
        self.record_entries(&list, kind);
        // Only what discovery sent is handed over: a process that starts from an old list must not replace a newer one.
        let changes = kind == ListKind::Full || !list.hosts.is_empty() || list.seq != self.seq;
        if kind != ListKind::Cached && changes {
            self.hand_over(list.seq);
        }
        self.seq = list.seq;
        let mut entries = Vec::with_capacity(list.hosts.len());
        for host in list.hosts {
            match serde_json::from_value::<Host>(host) {
                Ok(host) => entries.extend(self.entry(host)),
                // One invalid entry must not cost the rest of the list.
                Err(e) => warn!("skipped an entry of the list: {e}"),
            }
        }
        self.dispatch.update_table(TableUpdate { seq: self.seq, kind, entries });
    }

    /// An entry in dispatch's terms, with its address unless it is removed.
    fn entry(&mut self, host: Host) -> Option<(Server, Option<SocketAddr>)> {
        let state = match host.health.as_str() {
            "up" => ServerState::Ready,
            "removed" => ServerState::Gone,
            // An unknown state is at least not `up`, so the app server gets no new requests.
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

/// The next address of discovery. Requests for a watch are dropped, since one is open: each watch reports one failure.
async fn next_discovery(commands: &mut mpsc::UnboundedReceiver<Command>) -> Option<SocketAddr> {
    loop {
        if let Command::SetDiscovery(to) = commands.recv().await? {
            return Some(to);
        }
    }
}

#[cfg(test)]
mod tests;
