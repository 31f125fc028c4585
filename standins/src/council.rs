//! A cluster of real processes that replicate a book. Each has its own disk, which can be emptied, an operators' port, and
//! a separate link to each keeper, so that the test can partition any two.

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::books::Turn;
use crate::process::Process;
use crate::relay::{CLEAR, Link, Way};
use crate::server::{AppServer, Make};
use crate::{Error, Ledger, PATIENCE};

/// The name of the app server that all processes use.
pub const SERVER: &str = "s0";

/// The processes, of which the first ones are keepers, with their app server, disks and links.
pub struct Council {
    ledger: Ledger,
    program: PathBuf,
    keepers: usize,
    server: AppServer,
    /// By place; `None` where the process was killed.
    pub processes: Vec<Option<Process>>,
    /// The folders that outlive a process, with its fleet file and its disk.
    homes: Vec<TempDir>,
    /// The links, by place and keeper.
    links: Rc<BTreeMap<(usize, usize), Link>>,
    numbers: usize,
    /// Additional environment variables of processes that are started.
    pub more: Vec<(&'static str, String)>,
}

/// The result of a call that was acknowledged.
#[derive(Debug)]
pub struct Acknowledged {
    /// The answer.
    pub answer: String,
    /// How often the call was sent.
    pub attempts: u32,
}

impl Council {
    /// Starts this many processes concurrently, the first `keepers` of them as keepers, and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Those of [`Council::start_with`].
    pub async fn start(program: PathBuf, processes: usize, keepers: usize) -> io::Result<Council> {
        Self::start_with(program, processes, keepers, &[]).await
    }

    /// Like [`Council::start`], with additional environment variables. Processes that are started later get those that
    /// [`Council::more`] holds then.
    ///
    /// # Errors
    ///
    /// No port can be bound, no temporary folder can be made, or a process does not start or does not get ready.
    pub async fn start_with(
        program: PathBuf,
        processes: usize,
        keepers: usize,
        more: &[(&'static str, String)],
    ) -> io::Result<Council> {
        let ledger = Ledger::default();
        let server = AppServer::start(0, Make::default(), ledger.clone()).await?;
        let mut links = BTreeMap::new();
        for from in 0..processes {
            for to in (0..keepers).filter(|to| *to != from) {
                links.insert((from, to), Link::unaimed().await?);
            }
        }
        let homes = (0..processes).map(|_| tempfile::tempdir()).collect::<io::Result<_>>()?;
        let more = more.to_vec();
        let mut council = Council {
            ledger,
            program,
            keepers,
            server,
            processes: (0..processes).map(|_| None).collect(),
            homes,
            links: Rc::new(links),
            numbers: 0,
            more,
        };
        council.start_places(&(0..processes).collect::<Vec<_>>()).await?;
        Ok(council)
    }

    /// Starts processes at these places concurrently, with their existing disks.
    ///
    /// # Errors
    ///
    /// A configuration file cannot be written, or a process does not start or does not get ready.
    pub async fn start_places(&mut self, places: &[usize]) -> io::Result<()> {
        let mut starting = JoinSet::new();
        for place in places.iter().copied() {
            let file = self.homes[place].path().join("fleet.toml");
            std::fs::write(&file, self.fleet_file(place))?;
            let mut more = self.more.clone();
            more.push(("GRADEPADDLE_FLEET", file.display().to_string()));
            more.push(("RELAY_ADMIN_ADDR", "127.0.0.1:0".into()));
            let (program, number) = (self.program.clone(), self.numbers);
            let (config, ledger) = (self.config(place), self.ledger.clone());
            self.numbers += 1;
            let (links, keepers) = (self.links.clone(), self.keepers);
            starting.spawn_local(async move {
                let process = Process::start_with(&program, number, &config, ledger, &more).await?;
                if place < keepers
                    && let Some(fleet) = process.fleet
                {
                    links.iter().filter(|((_, to), _)| *to == place).for_each(|(_, link)| link.aim(fleet));
                }
                Ok::<_, io::Error>((place, process))
            });
        }
        while let Some(started) = starting.join_next().await {
            let (place, process) = started.map_err(io::Error::other)??;
            self.processes[place] = Some(process);
        }
        Ok(())
    }

    fn fleet_file(&self, place: usize) -> String {
        let keeper = |to: usize| {
            let address = match self.links.get(&(place, to)) {
                Some(link) => link.address.to_string(),
                // Its own address, which it does not connect to.
                None => format!("127.0.0.1:{}", to + 1),
            };
            format!("[[keeper]]\nname = \"b{to}\"\naddress = \"{address}\"\n")
        };
        let keepers: String = (0..self.keepers).map(keeper).collect();
        let disk = self.disk(place);
        let secret = "5a".repeat(32);
        format!(
            "cluster = \"rig\"\nlisten = \"127.0.0.1:0\"\ndisk = {:?}\n{keepers}[[key]]\nid = 1\nsecret = \"{secret}\"\n",
            disk.display().to_string()
        )
    }

    fn disk(&self, place: usize) -> PathBuf {
        self.homes[place].path().join("book.redb")
    }

    fn config(&self, place: usize) -> Value {
        json!({
            "name": format!("b{place}"), "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1",
            "seed": format!("{:x}", self.numbers + 1), "limits": { "sockets": 512 },
            "known": { "seq": 1, "whole": true, "hosts": [{
                "host": SERVER, "dial": self.server.address.to_string(), "site": "zone-0", "class": "std",
                "block": 0, "health": "up", "share": 1.0, "born_ms": 0,
            }] },
            "settings": {
                "categories": [{ "name": "status", "aimMs": 600, "deadlineMs": 2000, "effect": "safe" }],
                "realms": [], "discovery": "on_request", "failureDomains": ["zone-0"], "kinds": ["std"],
                "me": place, "peersTotal": self.processes.len(), "myZone": "zone-0",
                "limits": { "cancel": true, "peers": true, "tryLimit": 3 }, "rules": {},
            },
        })
    }

    /// Whether the process at a place has ended, by itself or because the test killed it.
    pub fn has_ended(&self, place: usize) -> bool {
        let turn = |of: &Process| self.ledger.read(|books| books.last_turn(of.number));
        self.processes[place].as_ref().is_none_or(|of| matches!(turn(of), Some(Turn::Ended(_))))
    }

    /// The process at a place.
    ///
    /// # Panics
    ///
    /// There is none.
    pub fn process(&self, place: usize) -> &Process {
        self.processes[place].as_ref().expect("a process at this place")
    }

    /// Kills the process at a place, and waits for its end.
    ///
    /// # Errors
    ///
    /// The process has ended already, or cannot be signalled.
    pub async fn kill(&mut self, place: usize) -> io::Result<()> {
        if let Some(process) = self.processes[place].take() {
            process.kill()?;
            process.ended().await;
        }
        Ok(())
    }

    /// Removes the disk of a process that is not running.
    ///
    /// # Errors
    ///
    /// The file cannot be removed, for example because there is none.
    pub fn empty(&self, place: usize) -> io::Result<()> {
        std::fs::remove_file(self.disk(place))
    }

    /// Returns the content of the disk of a process that is not running.
    ///
    /// # Errors
    ///
    /// The file cannot be read.
    pub fn copy_of(&self, place: usize) -> io::Result<Vec<u8>> {
        std::fs::read(self.disk(place))
    }

    /// Replaces the disk of a process that is not running.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn put_back(&self, place: usize, disk: &[u8]) -> io::Result<()> {
        std::fs::write(self.disk(place), disk)
    }

    /// Partitions two groups: no bytes pass between them in either direction.
    pub fn part(&self, these: &[usize], those: &[usize]) {
        self.set(these, those, Way::Silent, Way::Silent);
        self.set(those, these, Way::Silent, Way::Silent);
    }

    /// Sets the condition of the links from one group to the other, for each direction.
    pub fn set(&self, these: &[usize], those: &[usize], there: Way, back: Way) {
        let within = |(from, to): &(usize, usize)| these.contains(from) && those.contains(to);
        self.links.iter().filter(|(pair, _)| within(pair)).for_each(|(_, link)| link.set(there, back));
    }

    /// Removes all faults from the links.
    pub fn heal(&self) {
        self.links.values().for_each(|link| link.set(CLEAR, CLEAR));
    }

    /// Sends a line to the operators' port of a process and returns the answer.
    ///
    /// # Errors
    ///
    /// The process has no operators' port, or the connection to it fails.
    pub async fn call(&self, place: usize, line: &str) -> io::Result<String> {
        let door = self.process(place).door.ok_or(Error::NoDoor)?;
        let mut stream = TcpStream::connect(door).await?;
        stream.write_all(format!("{line}\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok(answer.trim_end().to_owned())
    }

    /// The state of the book as the process at a place reports it; null if the process does not answer.
    pub async fn view(&self, place: usize) -> Value {
        let Some(process) = &self.processes[place] else { return Value::Null };
        if process.door.is_none() {
            return Value::Null;
        }
        let said = self.call(place, "book").await.unwrap_or_default();
        said.strip_prefix("SUCCESS ").and_then(|text| serde_json::from_str(text).ok()).unwrap_or_default()
    }

    /// Waits until the view of each of these places satisfies the predicate.
    ///
    /// # Panics
    ///
    /// A view does not satisfy it within [`PATIENCE`].
    pub async fn until(&self, what: &str, places: &[usize], says: impl Fn(&Value) -> bool) {
        let waits = async {
            for place in places {
                while !says(&self.view(*place).await) {
                    tokio::task::yield_now().await;
                }
            }
        };
        if timeout(PATIENCE, waits).await.is_err() {
            let mut views = Vec::new();
            for place in places {
                views.push(self.view(*place).await.to_string());
            }
            panic!("{what} did not come: {}", views.join("\n"));
        }
    }

    /// Waits until one of these places is the leader, and returns it.
    ///
    /// # Panics
    ///
    /// None of them becomes leader within [`PATIENCE`].
    pub async fn leader(&self, among: &[usize]) -> usize {
        let poll_leader = async {
            loop {
                for place in among {
                    if self.view(*place).await["leads"] == true {
                        return *place;
                    }
                }
            }
        };
        timeout(PATIENCE, poll_leader).await.expect("a leader")
    }

    /// Repeats a call until it succeeds, and returns the answer.
    ///
    /// # Panics
    ///
    /// It does not succeed within [`PATIENCE`].
    pub async fn succeeds(&self, place: usize, line: &str) -> String {
        self.acknowledged(place, line).await.answer
    }

    /// Repeats a call until it is acknowledged. The answer to a repetition can differ from that to the first call: the
    /// first may have taken effect and been acknowledged too late.
    ///
    /// # Panics
    ///
    /// It is not acknowledged within [`PATIENCE`].
    pub async fn acknowledged(&self, place: usize, line: &str) -> Acknowledged {
        let calls = async {
            let mut attempts = 0;
            loop {
                attempts += 1;
                match self.call(place, line).await {
                    Ok(answer) if answer.starts_with("SUCCESS") => return Acknowledged { answer, attempts },
                    Ok(_) | Err(_) => tokio::task::yield_now().await,
                }
            }
        };
        timeout(PATIENCE, calls).await.unwrap_or_else(|_| panic!("{line:?} at {place} does not succeed"))
    }

    /// Sends requests to a place until one is answered with this status. A change of the book takes a moment to reach the
    /// balancer, and an app server whose ban has ended gets little traffic at first because of slow start.
    ///
    /// # Panics
    ///
    /// No answer has this status within [`PATIENCE`].
    pub async fn answers(&self, place: usize, status: u16) {
        let asks = async {
            for id in 1_000_000 * (place as u64 + 1).. {
                if self.asks(place, id).await.is_ok_and(|answer| answer == status) {
                    return;
                }
            }
        };
        timeout(PATIENCE, asks).await.unwrap_or_else(|_| panic!("{place} does not answer {status}"));
    }

    /// Sends one request to a place and returns the status of the answer.
    ///
    /// # Errors
    ///
    /// The connection fails, or the answer has no status line.
    pub async fn asks(&self, place: usize, id: u64) -> io::Result<u16> {
        let mut stream = TcpStream::connect(self.process(place).address).await?;
        let request = format!(
            "GET /status HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: {id}\r\nX-Service-Class: status\r\n\
             Cookie: user=u1\r\nX-Time-Left: 1.5\r\nConnection: close\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        let status = answer.split(' ').nth(1).and_then(|text| text.parse().ok());
        Ok(status.ok_or(Error::NoStatus { answer })?)
    }
}
