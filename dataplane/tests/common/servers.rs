//! Servers that do what a script says, request by request, and remember what came.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

use super::client::find;

/// Opened by the test, once for each time that it is waited for.
#[derive(Clone, Default)]
pub struct Gate(Rc<Notify>);

impl Gate {
    pub fn open(&self) {
        self.0.notify_one();
    }

    pub async fn passed(&self) {
        self.0.notified().await;
    }
}

/// What a server does about a request, in order.
#[derive(Clone)]
pub enum Step {
    Bytes(Vec<u8>),
    /// Goes on once the test says so.
    Wait(Gate),
    /// Tells the test that all before has been done.
    Open(Gate),
    /// Ends the connection in order.
    Close,
    /// Resets the connection.
    Reset,
    /// Does nothing until the other side ends the connection.
    Hang,
}

/// What a server does about a request.
pub type Play = Box<dyn Fn(&Arrival) -> Vec<Step>>;

/// A request as it came to a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub server: String,
    /// Which of all connections, from 0.
    pub connection: usize,
    pub method: String,
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Arrival {
    /// All values of a field.
    pub fn all(&self, name: &str) -> Vec<&str> {
        let named = self.fields.iter().filter(|(other, _)| other.eq_ignore_ascii_case(name));
        named.map(|(_, value)| &**value).collect()
    }

    /// The value of a field; none if it is there more or less than once.
    pub fn field(&self, name: &str) -> Option<&str> {
        match self.all(name)[..] {
            [value] => Some(value),
            _ => None,
        }
    }

    pub fn id(&self) -> &str {
        self.field("X-Request-Id").unwrap_or_default()
    }

    pub fn deadline_ms(&self) -> u64 {
        self.field("X-Deadline-Ms").and_then(|value| value.parse().ok()).expect("a deadline")
    }
}

/// What all servers of a test share: one script, whichever of them a request comes to.
#[derive(Default)]
pub struct Stage {
    pub plays: RefCell<VecDeque<Play>>,
    pub arrivals: RefCell<Vec<Arrival>>,
    pub connections: Cell<usize>,
    pub ended: RefCell<Vec<usize>>,
    changed: watch::Sender<()>,
}

impl Stage {
    /// Waits until this holds of what happened at the servers.
    pub async fn until(&self, holds: impl Fn(&Stage) -> bool) {
        let mut changes = self.changed.subscribe();
        while !holds(self) {
            changes.changed().await.expect("the stage stays");
        }
    }

    fn note(&self, change: impl FnOnce(&Stage)) {
        change(self);
        self.changed.send_replace(());
    }

    fn play(&self, arrival: &Arrival) -> Vec<Step> {
        let play = self.plays.borrow_mut().pop_front();
        play.unwrap_or_else(|| super::scripts::whole("plain"))(arrival)
    }
}

/// A server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddrV4,
}

impl Server {
    pub async fn start(id: &str, stage: Rc<Stage>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let address = v4(&listener);
        let server = Server { id: id.to_owned(), address };
        tokio::task::spawn_local(server.clone().accept(listener, stage));
        server
    }

    async fn accept(self, listener: TcpListener, stage: Rc<Stage>) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = stage.connections.get();
            stage.note(|stage| stage.connections.set(number + 1));
            let connection = Connection { stream, seen: Vec::new(), number, server: self.id.clone() };
            tokio::task::spawn_local(connection.serve(stage.clone()));
        }
    }
}

/// The address of a listener.
pub fn v4(listener: &TcpListener) -> SocketAddrV4 {
    match listener.local_addr().expect("it listens") {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(address) => panic!("{address}"),
    }
}

/// The method of a request that is no arrival: once it is answered, all that came before has been noted.
pub const MARK: &str = "MARK";

struct Connection {
    stream: TcpStream,
    seen: Vec<u8>,
    number: usize,
    server: String,
}

impl Connection {
    async fn serve(mut self, stage: Rc<Stage>) {
        while let Some(arrival) = self.arrival().await {
            let steps = if arrival.method == MARK {
                stage.connections.set(stage.connections.get() - 1);
                vec![Step::Bytes(b"marked".to_vec()), Step::Close]
            } else {
                expect_that!(arrival.field("X-Target-Server"), some(eq(&*self.server)), "{arrival:?}");
                expect_that!(arrival.all("X-Api-Key"), is_empty(), "{arrival:?}");
                expect_that!(arrival.all("X-Not-Run"), is_empty(), "{arrival:?}");
                stage.note(|stage| stage.arrivals.borrow_mut().push(arrival.clone()));
                stage.play(&arrival)
            };
            if !self.perform(steps).await {
                break;
            }
        }
        drop(self.stream);
        stage.note(|stage| stage.ended.borrow_mut().push(self.number));
    }

    /// The next request; none if the connection has ended.
    async fn arrival(&mut self) -> Option<Arrival> {
        let head = loop {
            if let Some(end) = find(&self.seen, b"\r\n\r\n") {
                break self.take(end + 4);
            }
            self.fill().await?;
        };
        let text = String::from_utf8(head).expect("a head is text");
        let mut lines = text.trim_end().split("\r\n");
        let first: Vec<&str> = lines.next()?.split(' ').collect();
        let fields = lines.map(|line| line.split_once(": ").expect("a field"));
        let mut arrival = Arrival {
            server: self.server.clone(),
            connection: self.number,
            method: first[0].to_owned(),
            target: first[1].to_owned(),
            fields: fields.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
            body: Vec::new(),
        };
        expect_that!(first[2..], eq(&["HTTP/1.1"]));
        expect_that!(arrival.all("Transfer-Encoding"), is_empty(), "bodies come with a length: {arrival:?}");
        let length = arrival.field("Content-Length").map_or(0, |length| length.parse().expect("a length"));
        while self.seen.len() < length {
            self.fill().await?;
        }
        arrival.body = self.take(length);
        Some(arrival)
    }

    async fn fill(&mut self) -> Option<usize> {
        self.stream.read_buf(&mut self.seen).await.ok().filter(|count| *count > 0)
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        let rest = self.seen.split_off(count);
        std::mem::replace(&mut self.seen, rest)
    }

    /// True if the connection can bear another request.
    async fn perform(&mut self, steps: Vec<Step>) -> bool {
        for step in steps {
            match step {
                Step::Bytes(bytes) if self.stream.write_all(&bytes).await.is_err() => return false,
                Step::Bytes(_) => {}
                Step::Wait(gate) => gate.passed().await,
                Step::Open(gate) => gate.open(),
                Step::Close => return false,
                Step::Reset => {
                    let linger = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
                    expect_that!(linger, ok(anything()));
                    return false;
                }
                Step::Hang => {
                    while self.fill().await.is_some() {}
                    expect_that!(self.seen, is_empty(), "bytes behind a request without an answer");
                    return false;
                }
            }
        }
        true
    }
}
