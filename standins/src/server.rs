//! Fake app servers with a concurrency limit, a queue, a slow warm-up and injected faults.

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

/// How an app server handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// It serves them.
    Well,
    /// It rejects all without processing them.
    Full,
    /// It starts to process them, and answers with status 500.
    Fails,
    /// It starts to process them, and closes the connection without an answer.
    Resets,
    /// It starts to process them, and never answers.
    Hangs,
    /// It starts to process them, and sends an answer that is shorter than its `Content-Length`.
    Spoils,
}

/// The properties of an app server.
#[derive(Clone, Copy, Debug)]
pub struct Make {
    /// Its zone, whose app servers form the group that shares idempotency keys.
    pub zone: usize,
    /// Number of requests that are processed concurrently.
    pub slots: usize,
    /// Number of further requests that may wait; the rest are rejected.
    pub queue: usize,
    /// The processing time of a request when the server is warm.
    pub work: Duration,
    /// The fraction of its full speed that it starts with.
    pub cold_from: f64,
    /// How long the warm-up takes; `None` if it is warm from the start.
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

/// A running app server. When this is dropped, its connections end and its port refuses new ones.
pub struct AppServer {
    /// Its address.
    pub address: SocketAddr,
    /// Its name in discovery's list.
    pub name: String,
    inner: Rc<Inner>,
    accepts: JoinHandle<()>,
}

impl AppServer {
    /// Starts an app server.
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
                // Removes the results of tasks that have ended.
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

    /// Sets how it handles requests from now on.
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
    /// The current processing time of a request.
    fn takes(&self) -> Duration {
        let warm = self.make.warm_after.map_or(1.0, |after| {
            let part = self.started.elapsed().as_secs_f64() / after.as_secs_f64().max(1e-6);
            self.make.cold_from + (1.0 - self.make.cold_from) * part.min(1.0)
        });
        self.make.work.div_f64(warm.max(1e-3))
    }

    /// Handles one request. Returns `None` if the connection is to be closed without an answer.
    async fn take(&self, message: &wire::Message) -> Option<String> {
        let Some(request) = message.get("x-correlation-id") else {
            return Some(wire::answer("404 Not Found", "", ""));
        };
        // The clients of this harness use numbers as request ids.
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

/// Counts a request as waiting or in progress until this is dropped, also if its connection ends first.
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
