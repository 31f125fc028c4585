//! A complete test fleet: app servers, discovery, processes and their clients.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};

use crate::Ledger;
use crate::books::{Allowed, Breach, Health, Repeats};
use crate::clients::{Ask, Clients};
use crate::discovery::{Discovery, Entry, zone_name};
use crate::front::{Front, Known};
use crate::process::Process;
use crate::relay::Link;
use crate::server::{AppServer, Make};

/// The drain grace.
const GRACE: Duration = Duration::from_secs(2);
/// The deduplication window of keyed requests.
const WINDOW: Duration = Duration::from_secs(6);

/// The classes in the fleet's settings; clients use them in rotation.
pub const ASKS: [Ask; 3] = [
    Ask { class: "status", repeats: Repeats::Safe, waits: Duration::from_millis(2500), user: 0 },
    Ask {
        class: "report",
        repeats: Repeats::Keyed { window: WINDOW.as_micros() as u64 },
        waits: Duration::from_secs(3),
        user: 0,
    },
    Ask { class: "dispatch", repeats: Repeats::Unsafe, waits: Duration::from_millis(1500), user: 0 },
];

/// The parameters of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The path of the program under test.
    pub program: PathBuf,
    /// Number of processes.
    pub processes: usize,
    /// Number of app servers, assigned to the zones in rotation.
    pub servers: usize,
    /// Number of zones.
    pub zones: usize,
    /// The properties of each app server.
    pub make: Make,
    /// The connections that go through a [`Link`], so that the test can inject faults: place and app server.
    pub links: Vec<(usize, usize)>,
}

/// A fleet of real processes with its fake app servers, discovery and clients.
pub struct Fleet {
    /// The record of all observations.
    pub ledger: Ledger,
    /// App servers by number; `None` for those that were shut down.
    pub servers: Vec<Option<AppServer>>,
    /// The discovery service that lists them.
    pub discovery: Discovery,
    /// Processes by place; `None` where a process was killed and not restarted.
    pub processes: Vec<Option<Process>>,
    /// The front, which assigns clients to processes.
    pub front: Front,
    /// The clients.
    pub clients: Clients,
    /// The links, by place and app server.
    pub links: Vec<((usize, usize), Link)>,
    plan: Plan,
    /// The number of the next process. A restarted process gets a new one.
    numbers: usize,
}

impl Fleet {
    /// Starts the app servers, then all processes concurrently, and waits until they are ready.
    ///
    /// # Errors
    ///
    /// No port can be bound, or a process does not start or does not get ready.
    pub async fn start(plan: Plan) -> io::Result<Fleet> {
        let ledger = Ledger::default();
        let discovery = Discovery::new(ledger.clone());
        let clients = Clients::new(ledger.clone());
        let (servers, processes, links) = (Vec::new(), Vec::new(), Vec::new());
        let front = Front::default();
        let mut fleet =
            Fleet { ledger, servers, discovery, processes, front, clients, links, plan, numbers: 0 };
        for _ in 0..fleet.plan.servers {
            fleet.add_server(0).await?;
        }
        for (place, server) in fleet.plan.links.clone() {
            let Some(of) = &fleet.servers[server] else { continue };
            let link = Link::to(of.address).await?;
            // The first process at each place has the place's number.
            fleet.discovery.detour(place, server, link.address);
            fleet.links.push(((place, server), link));
        }
        fleet.processes = (0..fleet.plan.processes).map(|_| None).collect();
        let all: Vec<usize> = (0..fleet.plan.processes).collect();
        fleet.start_processes(&all).await?;
        Ok(fleet)
    }

    /// Adds an app server, which discovery lists as up. For `born_ms` see [`Entry`].
    ///
    /// # Errors
    ///
    /// No port of the loopback interface can be bound.
    pub async fn add_server(&mut self, born_ms: u64) -> io::Result<usize> {
        let number = self.servers.len();
        let make = Make { zone: number % self.plan.zones, ..self.plan.make };
        let server = AppServer::start(number, make, self.ledger.clone()).await?;
        let (name, dial, zone) = (server.name.clone(), server.address, server.zone());
        self.servers.push(Some(server));
        self.discovery.enter(Entry { server: number, name, dial, zone, health: Health::Up, born_ms });
        Ok(number)
    }

    /// Sets the state that discovery reports for an app server.
    pub fn list(&self, server: usize, health: Health) {
        let Some(of) = &self.servers[server] else { return };
        let (name, dial, zone) = (of.name.clone(), of.address, of.zone());
        self.discovery.enter(Entry { server, name, dial, zone, health, born_ms: 0 });
    }

    /// Shuts an app server down without a change at discovery.
    pub fn vanish(&mut self, server: usize) {
        self.servers[server] = None;
    }

    /// Starts processes at these places concurrently, and waits until they are ready. They start with the current list and
    /// without any state of their predecessors.
    ///
    /// # Errors
    ///
    /// No port can be bound, or a process does not start or does not get ready.
    pub async fn start_processes(&mut self, places: &[usize]) -> io::Result<()> {
        let mut starts = Vec::new();
        for place in places {
            let number = self.numbers;
            self.numbers += 1;
            let config = self.config(*place, number).await?;
            let (program, ledger) = (self.plan.program.clone(), self.ledger.clone());
            starts.push((
                *place,
                tokio::task::spawn_local(
                    async move { Process::start(&program, number, &config, ledger).await },
                ),
            ));
        }
        for (place, start) in starts {
            let process = start.await.map_err(io::Error::other)??;
            let (number, address, zone) = (process.number, process.address, place % self.plan.zones);
            self.front.take_in(Known { place, number, address, zone });
            self.processes[place] = Some(process);
        }
        Ok(())
    }

    /// Kills the process at a place, which the front notices after `notice`. Returns the process, to wait for its end.
    ///
    /// # Errors
    ///
    /// The process has ended already, or cannot be signalled.
    pub fn kill(&mut self, place: usize, notice: Duration) -> io::Result<Option<Process>> {
        let process = self.processes[place].take();
        if let Some(process) = &process {
            process.kill()?;
            self.front.lose(process.number, notice);
        }
        Ok(process)
    }

    /// The process at a place.
    ///
    /// # Panics
    ///
    /// There is none.
    pub fn process(&self, place: usize) -> &Process {
        self.processes[place].as_ref().expect("a process at this place")
    }

    /// The link from a place to an app server.
    ///
    /// # Panics
    ///
    /// The plan has no such link.
    pub fn link(&self, place: usize, server: usize) -> &Link {
        let link = self.links.iter().find(|(of, _)| *of == (place, server));
        link.map(|(_, link)| link).expect("a link that was planned")
    }

    /// The number and address of each process that was not killed, by place.
    pub fn alive(&self) -> Vec<(usize, SocketAddr)> {
        self.processes.iter().flatten().map(|process| (process.number, process.address)).collect()
    }

    /// Sends a request through the front at this interval, with zones and classes in rotation, until the returned flag is
    /// set to false.
    pub fn traffic(&self, each: Duration) -> Rc<Cell<bool>> {
        let (front, zones, more) = (self.front.clone(), self.plan.zones as u64, Rc::new(Cell::new(true)));
        let whom =
            move |serial: u64| front.pick((serial % zones) as usize).map(|one| (one.number, one.address));
        let what =
            |serial: u64| Ask { user: (serial * 7919 % 997) as u32, ..ASKS[(serial / 7 % 3) as usize] };
        self.clients.stream(each, whom, what, more.clone());
        more
    }

    /// Waits until every request has a result, and returns the violations of the rules.
    pub async fn verdict(&self) -> Vec<Breach> {
        self.ledger.until("the last answer", |books| books.heard() == books.asked()).await;
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let allowed = Allowed { grace: micros(GRACE), slack: micros(Duration::from_millis(250)) };
        self.ledger.read(|books| books.verdict(allowed))
    }

    async fn config(&self, place: usize, number: usize) -> io::Result<Value> {
        let discovery = self.discovery.open_to(number).await?;
        let zones: Vec<String> = (0..self.plan.zones).map(zone_name).collect();
        let class = |ask: &Ask| {
            let (effect, window) = match ask.repeats {
                Repeats::Safe => ("safe", 0),
                Repeats::Keyed { window } => ("keyed", window / 1000),
                Repeats::Unsafe => ("unsafe", 0),
            };
            json!({
                "name": ask.class, "aimMs": 600, "deadlineMs": ask.waits.as_millis() as u64, "effect": effect,
                "group": "zone", "windowMs": window,
            })
        };
        Ok(json!({
            "name": format!("b{place}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
            "seed": format!("{:x}", number + 1), "limits": { "sockets": 512 },
            "known": self.discovery.known_to(number),
            "settings": {
                "categories": ASKS.iter().map(class).collect::<Vec<_>>(), "realms": [], "discovery": "on_request",
                "failureDomains": zones, "kinds": ["std"], "extra": { "warmKeys": true },
                "me": place, "peersTotal": self.plan.processes, "myZone": zone_name(place % self.plan.zones),
                "limits": {
                    "cancel": true, "secondCopies": true, "connIdleMs": 15000, "dialTimeoutMs": 250, "tryLimit": 6,
                    "maxRetryAfterMs": 1500,
                },
                "rules": { "drainGraceMs": GRACE.as_millis() as u64 },
            },
        }))
    }
}
