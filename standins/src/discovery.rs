//! A fake discovery service with complete lists and watches. Each process calls a separate address, so that the record
//! shows which process received what.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinSet, spawn_local};

use crate::Ledger;
use crate::books::{Fact, Health};
use crate::wire;

/// An app server as listed by discovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its number in the recorded facts.
    pub server: usize,
    /// Its name.
    pub name: String,
    /// Its address.
    pub dial: SocketAddr,
    /// Its zone.
    pub zone: usize,
    /// Its state.
    pub health: Health,
    /// When it last started, in milliseconds of Unix time; 0 for long ago.
    pub born_ms: u64,
}

struct Inner {
    /// All changes in order. The version of the list is their number.
    changes: Vec<Entry>,
    /// How often the watches of each process were silenced.
    silences: BTreeMap<usize, u32>,
    /// Replaced addresses: process, app server, and the address that the process is given.
    detours: Vec<(usize, usize, SocketAddr)>,
    ledger: Ledger,
}

/// The discovery service.
#[derive(Clone)]
pub struct Discovery {
    inner: Rc<RefCell<Inner>>,
    /// Whether the service is up, and the version of its list.
    state: Rc<watch::Sender<(bool, usize)>>,
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

impl Discovery {
    /// A service with an empty list.
    pub fn new(ledger: Ledger) -> Self {
        let inner = Inner { changes: Vec::new(), silences: BTreeMap::new(), detours: Vec::new(), ledger };
        Discovery { inner: Rc::new(RefCell::new(inner)), state: Rc::new(watch::Sender::new((true, 0))) }
    }

    /// Adds a change and sends it to all watches.
    pub fn enter(&self, entry: Entry) {
        let version = {
            let Inner { changes, ledger, .. } = &mut *self.inner.borrow_mut();
            ledger.write(Fact::Changed { server: entry.server, health: entry.health });
            changes.push(entry);
            changes.len()
        };
        self.state.send_modify(|state| state.1 = version);
    }

    /// Gives this process another address for an app server. Call it before the app server is sent to the process.
    pub fn detour(&self, process: usize, server: usize, dial: SocketAddr) {
        self.inner.borrow_mut().detours.push((process, server, dial));
    }

    /// Silences the open watches of this process. New watches work.
    pub fn fall_silent(&self, process: usize) {
        let Inner { silences, ledger, .. } = &mut *self.inner.borrow_mut();
        *silences.entry(process).or_default() += 1;
        ledger.write(Fact::Silenced { process });
    }

    fn silences(&self, process: usize) -> u32 {
        self.inner.borrow().silences.get(&process).copied().unwrap_or_default()
    }

    /// Sets whether the service is up. While it is down, calls fail and watches end.
    pub fn set_up(&self, up: bool) {
        self.state.send_modify(|state| state.0 = up);
    }

    /// Opens the address at which this process calls the service.
    ///
    /// # Errors
    ///
    /// No port of the loopback interface can be bound.
    pub async fn open_to(&self, process: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let of = self.clone();
        spawn_local(async move {
            let mut calls = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while calls.try_join_next().is_some() {}
                calls.spawn_local(of.clone().call(process, stream));
            }
        });
        Ok(address)
    }

    /// The current entry of each app server, removed ones included, in the order in which they were first added.
    fn whole(&self) -> Vec<Entry> {
        let mut latest: Vec<Entry> = Vec::new();
        for entry in &self.inner.borrow().changes {
            match latest.iter_mut().find(|known| known.server == entry.server) {
                Some(known) => *known = entry.clone(),
                None => latest.push(entry.clone()),
            }
        }
        latest
    }

    /// The list as it is sent to a process.
    fn list(&self, process: usize, version: usize, whole: bool, entries: &[Entry]) -> Value {
        let inner = self.inner.borrow();
        // A complete list omits removed app servers.
        let named = entries.iter().filter(|entry| !whole || entry.health != Health::Removed);
        let hosts: Vec<Value> = named
            .map(|entry| {
                let detour = inner.detours.iter().rev().find(|(p, s, _)| (*p, *s) == (process, entry.server));
                let dial = detour.map_or(entry.dial, |(.., dial)| *dial);
                json!({
                    "host": entry.name, "dial": dial.to_string(), "site": zone_name(entry.zone), "class": "std",
                    "block": entry.zone, "health": entry.health.name(), "share": 1.0, "born_ms": entry.born_ms,
                })
            })
            .collect();
        json!({ "seq": version, "whole": whole, "hosts": hosts })
    }

    /// The complete list that a process gets in its configuration.
    pub fn known_to(&self, process: usize) -> Value {
        let version = self.state.borrow().1;
        self.list(process, version, true, &self.whole())
    }

    /// Records entries before they are sent, because the process may have them from then on.
    fn tell(&self, process: usize, entries: &[Entry]) {
        let ledger = self.inner.borrow().ledger.clone();
        for entry in entries {
            ledger.write(Fact::Told { process, server: entry.server, health: entry.health });
        }
    }

    async fn call(self, process: usize, stream: TcpStream) {
        let mut states = self.state.subscribe();
        let mut stream = BufReader::new(stream);
        while let Ok(Some(message)) = wire::read(&mut stream).await {
            let (up, version) = *states.borrow_and_update();
            if !up {
                return;
            }
            let watches = message.path().contains("stream=1");
            let index = message.path().split("index=").nth(1).and_then(|text| text.parse().ok());
            // A watch continues from the process's version, and starts with a complete list if that version is unknown.
            let from = index.filter(|index| watches && *index > 0 && *index <= version);
            let whole = from.is_none();
            let entries = match from {
                Some(from) => self.inner.borrow().changes[from..version].to_vec(),
                None => self.whole(),
            };
            let list = self.list(process, version, whole, &entries).to_string();
            self.inner.borrow().ledger.write(Fact::Hears { process });
            self.tell(process, &entries);
            if !watches {
                let answer = wire::answer("200 OK", "Content-Type: application/json\r\n", &list);
                if stream.get_mut().write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
            if stream.get_mut().write_all((head + &chunk(&list)).as_bytes()).await.is_err() {
                return;
            }
            return self.watch(process, stream.into_inner(), states, version).await;
        }
    }

    async fn watch(
        &self,
        process: usize,
        mut stream: TcpStream,
        mut states: watch::Receiver<(bool, usize)>,
        mut sent_version: usize,
    ) {
        let silences = self.silences(process);
        loop {
            let changed = tokio::time::timeout(
                std::time::Duration::from_secs(2),
                states.wait_for(|s| !s.0 || s.1 > sent_version),
            )
            .await;
            if self.silences(process) > silences {
                // Sends nothing more, and waits until the process closes the connection.
                let mut rest = [0; 64];
                while let Ok(1..) = stream.read(&mut rest).await {}
                return;
            }
            let text = match changed.map(|state| state.map(|state| *state)) {
                Ok(Ok((true, version))) => {
                    let entries = self.inner.borrow().changes[sent_version..version].to_vec();
                    sent_version = version;
                    self.tell(process, &entries);
                    chunk(&self.list(process, version, false, &entries).to_string())
                }
                // The service is down or was dropped.
                Ok(_) => return,
                Err(_) => chunk(""),
            };
            if stream.write_all(text.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
