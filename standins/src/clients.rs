//! Clients: each request on a connection of its own kind, counted from the time at which it was meant.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::Ledger;
use crate::books::{Answer, Fact, Repeats, Request};
use crate::wire;

/// What is asked.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// The class's name.
    pub class: &'static str,
    /// As the settings have it.
    pub repeats: Repeats,
    /// How long its client waits.
    pub waits: Duration,
    /// What it is about.
    pub user: u32,
}

/// All clients of a run.
#[derive(Clone)]
pub struct Clients(Rc<Inner>);

struct Inner {
    ledger: Ledger,
    next: Cell<Request>,
    /// Connections that are free, by the process that they lead to.
    free: RefCell<BTreeMap<SocketAddr, Vec<BufReader<TcpStream>>>>,
}

/// What one try came to.
enum Heard {
    Answer(Answer, Option<BufReader<TcpStream>>),
    /// The connection was closed before the process can have read the request.
    Closed,
}

impl Clients {
    /// None has asked yet.
    pub fn new(ledger: Ledger) -> Self {
        Clients(Rc::new(Inner { ledger, next: Cell::new(1), free: RefCell::default() }))
    }

    /// Asks a process, and writes down both ends. False where it does not accept a connection.
    pub async fn ask(&self, process: usize, address: SocketAddr, ask: Ask) -> bool {
        let free = self.0.free.borrow_mut().get_mut(&address).and_then(Vec::pop);
        if let Some(stream) = free
            && self.try_on(stream, process, address, ask, true).await
        {
            return true;
        }
        let connected = TcpStream::connect(address).await.and_then(|s| s.set_nodelay(true).map(|()| s));
        let asked = match connected {
            Ok(stream) => self.try_on(BufReader::new(stream), process, address, ask, false).await,
            Err(_) => false,
        };
        if !asked {
            self.0.ledger.write(Fact::Missed { process });
        }
        asked
    }

    /// False where the request is to go out once more, on a new connection.
    async fn try_on(
        &self,
        mut stream: BufReader<TcpStream>,
        process: usize,
        address: SocketAddr,
        ask: Ask,
        used: bool,
    ) -> bool {
        let request = self.0.next.get();
        self.0.next.set(request + 1);
        let Ask { class, repeats, waits, user } = ask;
        let method = if repeats == Repeats::Safe { "GET" } else { "POST" };
        let key = if let Repeats::Keyed { .. } = repeats {
            format!("Idempotency-Key: k{request}\r\n")
        } else {
            String::new()
        };
        let body = if repeats == Repeats::Safe { "" } else { "Content-Length: 0\r\n" };
        let text = format!(
            "{method} /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: {request}\r\n\
             X-Service-Class: {class}\r\nCookie: user=u{user}\r\nX-Time-Left: {:.3}\r\n{key}{body}\r\n",
            waits.as_secs_f64()
        );
        let micros = u64::try_from(waits.as_micros()).unwrap_or(u64::MAX);
        // Written down before it is sent: an app server may have it before this task goes on.
        self.0.ledger.write(Fact::Asked { request, process, repeats, waits: micros });
        let heard = match stream.get_mut().write_all(text.as_bytes()).await {
            Ok(()) => match tokio::time::timeout(waits + SLACK, hear(stream, used)).await {
                Ok(heard) => heard,
                Err(_) => Heard::Answer(Answer::GivenUp, None),
            },
            Err(_) => Heard::Closed,
        };
        // One that was killed may have read it before.
        let killed = self.0.ledger.read(|books| books.was_killed(process));
        let heard = match heard {
            Heard::Closed if killed => Heard::Answer(Answer::Lost, None),
            heard => heard,
        };
        match heard {
            Heard::Answer(answer, stream) => {
                self.0.ledger.write(Fact::Heard { request, answer });
                if let Some(stream) = stream {
                    self.0.free.borrow_mut().entry(address).or_default().push(stream);
                }
                true
            }
            Heard::Closed => {
                // Nobody has read it. Its next try has a number of its own.
                self.0.ledger.write(Fact::Unread { request });
                false
            }
        }
    }

    /// Asks so many times a second from now on, each at its time whatever became of those before; `whom` names the
    /// process for each. Ends when `more` says so.
    pub fn stream(
        &self,
        each: Duration,
        mut whom: impl FnMut(u64) -> Option<(usize, SocketAddr)> + 'static,
        mut what: impl FnMut(u64) -> Ask + 'static,
        more: Rc<Cell<bool>>,
    ) {
        let clients = self.clone();
        spawn_local(async move {
            let mut ticks = tokio::time::interval(each);
            ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Burst);
            for serial in 0.. {
                ticks.tick().await;
                if !more.get() {
                    return;
                }
                if let Some((process, address)) = whom(serial) {
                    let (clients, ask) = (clients.clone(), what(serial));
                    spawn_local(async move { clients.ask(process, address, ask).await });
                }
            }
        });
    }
}

/// Answers that come so much after the time that a client waits are still heard, to be judged.
const SLACK: Duration = Duration::from_millis(200);

async fn hear(mut stream: BufReader<TcpStream>, used: bool) -> Heard {
    let message = match wire::read(&mut stream).await {
        Ok(Some(message)) => message,
        // A close between requests may cross the request.
        Ok(None) if used => return Heard::Closed,
        Err(e) if used && e.kind() == io::ErrorKind::ConnectionReset => return Heard::Closed,
        _ => return Heard::Answer(Answer::Lost, None),
    };
    let answer = match message.status() {
        200 => Answer::Served(message.body.clone()),
        429 | 503 => Answer::Refused,
        status => Answer::Failed(status),
    };
    // Whatever stands behind the answer would be a second one.
    let quiet = stream.buffer().is_empty();
    let keeps = quiet && !message.closes();
    if !quiet {
        let mut rest = [0];
        let _ = stream.read(&mut rest).await;
        return Heard::Answer(Answer::Doubled, None);
    }
    Heard::Answer(answer, keeps.then_some(stream))
}
