//! Clients, which send requests over reused connections, at fixed times that do not depend on earlier answers.

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

/// The properties of a request.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// The class's name.
    pub class: &'static str,
    /// Whether it may run more than once, as in the settings.
    pub repeats: Repeats,
    /// How long the client waits for an answer.
    pub waits: Duration,
    /// The user that the request is about.
    pub user: u32,
}

/// All clients of a run.
#[derive(Clone)]
pub struct Clients(Rc<Inner>);

struct Inner {
    ledger: Ledger,
    next: Cell<Request>,
    /// Idle connections, by the address of their process.
    free: RefCell<BTreeMap<SocketAddr, Vec<BufReader<TcpStream>>>>,
}

/// The result of sending a request once.
enum AttemptResult {
    Answer(Answer, Option<BufReader<TcpStream>>),
    /// The connection was closed before the process can have read the request.
    Closed,
}

impl Clients {
    /// Clients that have not sent any request yet.
    pub fn new(ledger: Ledger) -> Self {
        Clients(Rc::new(Inner { ledger, next: Cell::new(1), free: RefCell::default() }))
    }

    /// Sends a request to a process, and records the request and its result. Returns false if the process accepts no
    /// connection.
    pub async fn ask(&self, process: usize, address: SocketAddr, ask: Ask) -> bool {
        let free = self.0.free.borrow_mut().get_mut(&address).and_then(Vec::pop);
        if let Some(stream) = free
            && self.send_on(stream, process, address, ask, true).await
        {
            return true;
        }
        let connected = TcpStream::connect(address).await.and_then(|s| s.set_nodelay(true).map(|()| s));
        let asked = match connected {
            Ok(stream) => self.send_on(BufReader::new(stream), process, address, ask, false).await,
            Err(_) => false,
        };
        if !asked {
            self.0.ledger.write(Fact::Missed { process });
        }
        asked
    }

    /// Sends a request on this connection. Returns false if it must be sent again on a new one.
    async fn send_on(
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
        // Recorded before it is sent, because an app server may receive it before this task continues.
        self.0.ledger.write(Fact::Asked { request, process, repeats, waits: micros });
        let heard = match stream.get_mut().write_all(text.as_bytes()).await {
            Ok(()) => match tokio::time::timeout(waits + SLACK, read_result(stream, used)).await {
                Ok(heard) => heard,
                Err(_) => AttemptResult::Answer(Answer::GivenUp, None),
            },
            Err(_) => AttemptResult::Closed,
        };
        // A process that was killed may have read the request before.
        let killed = self.0.ledger.read(|books| books.was_killed(process));
        let heard = match heard {
            AttemptResult::Closed if killed => AttemptResult::Answer(Answer::Lost, None),
            heard => heard,
        };
        match heard {
            AttemptResult::Answer(answer, stream) => {
                self.0.ledger.write(Fact::Heard { request, answer });
                if let Some(stream) = stream {
                    self.0.free.borrow_mut().entry(address).or_default().push(stream);
                }
                true
            }
            AttemptResult::Closed => {
                // The process has not read it. The retry has another number.
                self.0.ledger.write(Fact::Unread { request });
                false
            }
        }
    }

    /// Sends a request at every interval `each`, whether or not the earlier ones have been answered. `whom` selects the
    /// process and `what` the request. Stops when `more` is false.
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

/// Answers that arrive this long after the client's time limit are still recorded, so that they are checked.
const SLACK: Duration = Duration::from_millis(200);

async fn read_result(mut stream: BufReader<TcpStream>, used: bool) -> AttemptResult {
    let message = match wire::read(&mut stream).await {
        Ok(Some(message)) => message,
        // The process may have closed the idle connection while the request was on its way.
        Ok(None) if used => return AttemptResult::Closed,
        Err(e) if used && e.kind() == io::ErrorKind::ConnectionReset => return AttemptResult::Closed,
        _ => return AttemptResult::Answer(Answer::Lost, None),
    };
    let answer = match message.status() {
        200 => Answer::Served(message.body.clone()),
        429 | 503 => Answer::Refused,
        status => Answer::Failed(status),
    };
    // Any bytes after the answer are taken as a second answer.
    let quiet = stream.buffer().is_empty();
    let keeps = quiet && !message.closes();
    if !quiet {
        let mut rest = [0];
        let _ = stream.read(&mut rest).await;
        return AttemptResult::Answer(Answer::Doubled, None);
    }
    AttemptResult::Answer(answer, keeps.then_some(stream))
}
