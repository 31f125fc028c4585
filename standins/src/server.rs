//! App servers: slots, a queue, a cold start, and whatever else may go wrong with them.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::{JoinHandle, JoinSet, spawn_local};
use tokio::time::Instant;

use crate::Ledger;
use crate::books::{Fact, Took};
use crate::wire;

/// How an app server takes requests from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// It serves.
    Well,
    /// It turns all away unseen.
    Full,
    /// It begins, and answers 500.
    Fails,
    /// It begins, and ends the connection without an answer.
    Resets,
    /// It begins, and says nothing.
    Hangs,
    /// It begins, and answers with half of what it announced.
    Spoils,
}

/// What an app server is made of.
#[derive(Clone, Copy, Debug)]
pub struct Make {
    /// Which of its zone's groups knows of its keys; also its zone.
    pub zone: usize,
    /// Requests in work at a time.
    pub slots: usize,
    /// Requests that may wait besides; more are turned away.
    pub queue: usize,
    /// What one takes when it is warm.
    pub work: Duration,
    /// The part of its pace that it starts with.
    pub cold_from: f64,
    /// How long it takes to be warm; none if it was started long ago.
    pub warm_after: Option<Duration>,
}

impl Default for Make {
    fn default() -> Self {
        Make { zone: 0, slots: 64, queue: 64, work: Duration::ZERO, cold_from: 1.0, warm_after: None }
    }
}

struct Inner {
    number: usize,
    make: Make,
    mood: Cell<Mood>,
    started: Instant,
    slots: Semaphore,
    held: Cell<usize>,
    ledger: Ledger,
    connections: RefCell<JoinSet<()>>,
}

/// One that runs. It vanishes when it is dropped: its connections end and its port refuses.
pub struct AppServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// As the list names it.
    pub name: String,
    inner: Rc<Inner>,
    accepts: JoinHandle<()>,
}

impl AppServer {
    /// Starts one.
    ///
    /// # Errors
    ///
    /// No port of the loopback interface can be bound.
    pub async fn start(number: usize, make: Make, ledger: Ledger) -> io::Result<AppServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let inner = Rc::new(Inner {
            number,
            make,
            mood: Cell::new(Mood::Well),
            started: Instant::now(),
            slots: Semaphore::new(make.slots),
            held: Cell::new(0),
            ledger,
            connections: RefCell::default(),
        });
        let of = inner.clone();
        let accepts = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let mut connections = of.connections.borrow_mut();
                // Those that have ended leave nothing behind.
                while connections.try_join_next().is_some() {}
                connections.spawn_local(serve(of.clone(), stream));
            }
        });
        Ok(AppServer { address, name: format!("s{number}"), inner, accepts })
    }

    /// Its zone.
    pub fn zone(&self) -> usize {
        self.inner.make.zone
    }

    /// How it takes requests from now on.
    pub fn set(&self, mood: Mood) {
        self.inner.mood.set(mood);
    }
}

impl Drop for AppServer {
    fn drop(&mut self) {
        self.accepts.abort();
        self.inner.connections.borrow_mut().abort_all();
    }
}

impl Inner {
    /// What a request takes now.
    fn takes(&self) -> Duration {
        let warm = self.make.warm_after.map_or(1.0, |after| {
            let part = self.started.elapsed().as_secs_f64() / after.as_secs_f64().max(1e-6);
            self.make.cold_from + (1.0 - self.make.cold_from) * part.min(1.0)
        });
        self.make.work.div_f64(warm.max(1e-3))
    }

    /// Takes one request. Nothing where the connection ends with it.
    async fn take(&self, message: &wire::Message) -> Option<String> {
        let Some(request) = message.get("x-correlation-id") else {
            return Some(wire::answer("404 Not Found", "", ""));
        };
        // The clients of this rig number their requests.
        let Ok(request) = request.parse() else { return Some(wire::answer("400 Bad Request", "", "")) };
        let mood = self.mood.get();
        let came = |took| Fact::Came { request, server: self.number, group: self.make.zone, took };
        if mood == Mood::Full || self.held.get() >= self.make.slots + self.make.queue {
            self.ledger.write(came(Took::TurnedAway));
            return Some(wire::answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", ""));
        }
        let body = format!("{request} by s{} at {}", self.number, self.ledger.now());
        self.ledger.write(came(Took::Begun(body.clone())));
        self.held.set(self.held.get() + 1);
        let held = Held(&self.held);
        let slot = self.slots.acquire().await;
        tokio::time::sleep(self.takes()).await;
        drop((slot, held));
        match mood {
            Mood::Well | Mood::Full => Some(wire::answer("200 OK", "", &body)),
            Mood::Fails => Some(wire::answer("500 Internal Server Error", "", "")),
            Mood::Resets => None,
            Mood::Spoils => Some(wire::answer("200 OK", "", &body).replace(" by ", " ")),
            Mood::Hangs => std::future::pending().await,
        }
    }
}

/// Counts a request as held until it is dropped, also where its connection ends first.
struct Held<'a>(&'a Cell<usize>);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve(of: Rc<Inner>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut stream = BufReader::new(stream);
    while let Ok(Some(message)) = wire::read(&mut stream).await {
        let answer = match message.path() {
            "/health/live" | "/stats" => {
                Some(wire::answer("200 OK", "", &format!("queue={}", of.held.get())))
            }
            _ => of.take(&message).await,
        };
        let Some(answer) = answer else { return };
        let spoilt = of.mood.get() == Mood::Spoils;
        if stream.get_mut().write_all(answer.as_bytes()).await.is_err() || spoilt {
            return;
        }
    }
}
