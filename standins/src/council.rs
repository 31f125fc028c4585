//! Processes that keep a book together: each with a disk of its own that can be emptied, an operators' door, and a link of
//! its own to each keeper, so that any two can be cut off from each other.

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

/// The app server that they all have.
pub const SERVER: &str = "s0";

/// The processes, the first of them keepers, with what is round them.
pub struct Council {
    ledger: Ledger,
    program: PathBuf,
    keepers: usize,
    server: AppServer,
    /// By place; none where it was killed.
    pub processes: Vec<Option<Process>>,
    /// What outlives a process: its fleet file and its disk.
    homes: Vec<TempDir>,
    /// From a place to a keeper.
    links: Rc<BTreeMap<(usize, usize), Link>>,
    numbers: usize,
    /// More for the environment of those that are started.
    pub more: Vec<(&'static str, String)>,
}

/// An acknowledged call.
#[derive(Debug)]
pub struct Acknowledged {
    /// The answer.
    pub answer: String,
    /// How often the call was sent.
    pub attempts: u32,
}

impl Council {
    /// Starts so many processes at once, the first `keepers` of them as keepers, and waits until they are ready.
    ///
    /// # Errors
    ///
    /// Those of [`Council::start_with`].
    pub async fn start(program: PathBuf, processes: usize, keepers: usize) -> io::Result<Council> {
        Self::start_with(program, processes, keepers, &[]).await
    }

    /// The same with more in their environment; those that are started later have it only as [`Council::more`] then says.
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

    /// Starts processes at these places, all at once, with the disks that are there.
    ///
    /// # Errors
    ///
    /// A configuration file cannot be written, or a process does not start or does not get ready.
    pub async fn start_places(&mut self, places: &[usize]) -> io::Result<()> {
        let mut starting = JoinSet::new();
        for place in places.iter().copied() {
            let file = self.homes[place].path().join("fleet.toml");
            std::fs::write(&file, self.file(place))?;
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

    fn file(&self, place: usize) -> String {
        let keeper = |to: usize| {
            let address = match self.links.get(&(place, to)) {
                Some(link) => link.address.to_string(),
                // Its own, which it does not dial.
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

    /// True if the process at a place has ended, by itself or by the rig.
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

    /// Takes away the disk of one that does not run.
    ///
    /// # Errors
    ///
    /// The file cannot be removed; most often there is none.
    pub fn empty(&self, place: usize) -> io::Result<()> {
        std::fs::remove_file(self.disk(place))
    }

    /// The disk of one that does not run, as it is now.
    ///
    /// # Errors
    ///
    /// The file cannot be read.
    pub fn copy_of(&self, place: usize) -> io::Result<Vec<u8>> {
        std::fs::read(self.disk(place))
    }

    /// Puts this in place of the disk of one that does not run.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn put_back(&self, place: usize, disk: &[u8]) -> io::Result<()> {
        std::fs::write(self.disk(place), disk)
    }

    /// Nothing passes between these and those, either way.
    pub fn part(&self, these: &[usize], those: &[usize]) {
        self.set(these, those, Way::Silent, Way::Silent);
        self.set(those, these, Way::Silent, Way::Silent);
    }

    /// What holds on links from these to those: there, and back.
    pub fn set(&self, these: &[usize], those: &[usize], there: Way, back: Way) {
        let within = |(from, to): &(usize, usize)| these.contains(from) && those.contains(to);
        self.links.iter().filter(|(pair, _)| within(pair)).for_each(|(_, link)| link.set(there, back));
    }

    /// All passes again.
    pub fn heal(&self) {
        self.links.values().for_each(|link| link.set(CLEAR, CLEAR));
    }

    /// What is said at the door of a place.
    ///
    /// # Errors
    ///
    /// The process has no door, or the connection to it fails.
    pub async fn call(&self, place: usize, line: &str) -> io::Result<String> {
        let door = self.process(place).door.ok_or(Error::NoDoor)?;
        let mut stream = TcpStream::connect(door).await?;
        stream.write_all(format!("{line}\n").as_bytes()).await?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await?;
        Ok(answer.trim_end().to_owned())
    }

    /// What the book says of itself at a place; nothing where nobody answers.
    pub async fn view(&self, place: usize) -> Value {
        let Some(process) = &self.processes[place] else { return Value::Null };
        if process.door.is_none() {
            return Value::Null;
        }
        let said = self.call(place, "book").await.unwrap_or_default();
        said.strip_prefix("SUCCESS ").and_then(|text| serde_json::from_str(text).ok()).unwrap_or_default()
    }

    /// Waits until the views of all that run are so.
    ///
    /// # Panics
    ///
    /// They are not in [`PATIENCE`].
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

    /// The place of the leader, once there is one among these.
    ///
    /// # Panics
    ///
    /// None of them leads within [`PATIENCE`].
    pub async fn leader(&self, among: &[usize]) -> usize {
        let looks = async {
            loop {
                for place in among {
                    if self.view(*place).await["leads"] == true {
                        return *place;
                    }
                }
            }
        };
        timeout(PATIENCE, looks).await.expect("a leader")
    }

    /// Calls until the answer begins so.
    ///
    /// # Panics
    ///
    /// It does not in [`PATIENCE`].
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

    /// Asks a place again and again until it answers so: what the book says takes a moment to get to the decisions, and
    /// one that is called back is cold and is sent little at first.
    ///
    /// # Panics
    ///
    /// It does not in [`PATIENCE`].
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

    /// The status with which a place answers one request.
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
