//! Servers that follow a script, request by request, and record what they received.

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

/// A gate that the test opens, once for each wait.
#[derive(Clone, Default)]
pub struct Gate(Rc<Notify>);

impl Gate {
    pub fn open(&self) {
        self.0.notify_one();
    }

    pub async fn opened(&self) {
        self.0.notified().await;
    }
}

/// One step of what a server does on a request.
#[derive(Clone)]
pub enum Step {
    Bytes(Vec<u8>),
    /// Waits until the test opens the gate.
    Wait(Gate),
    /// Opens the gate, to notify the test that all earlier steps are done.
    Open(Gate),
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
    /// Does nothing until the other side closes the connection.
    Hang,
}

/// The steps that a server performs on a request.
pub type Script = Box<dyn Fn(&ServerRequest) -> Vec<Step>>;

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct ServerRequest {
    pub server: String,
    /// The number of its connection among all connections to servers, from 0.
    pub connection: usize,
    pub method: String,
    pub target: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl ServerRequest {
    /// All values of a field.
    pub fn all(&self, name: &str) -> Vec<&str> {
        let named = self.fields.iter().filter(|(other, _)| other.eq_ignore_ascii_case(name));
        named.map(|(_, value)| &**value).collect()
    }

    /// The value of a field; none unless the field occurs exactly once.
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

/// The state shared by all servers of a test, among it one queue of scripts for the requests to any of them.
#[derive(Default)]
pub struct ScriptedFleet {
    pub scripts: RefCell<VecDeque<Script>>,
    pub server_requests: RefCell<Vec<ServerRequest>>,
    pub connections: Cell<usize>,
    /// The numbers of the connections that have ended.
    pub ended: RefCell<Vec<usize>>,
    changed: watch::Sender<()>,
}

impl ScriptedFleet {
    /// Waits until the condition holds.
    pub async fn wait_until(&self, condition: impl Fn(&ScriptedFleet) -> bool) {
        let mut changes = self.changed.subscribe();
        while !condition(self) {
            changes.changed().await.expect("the sender lives as long as the fleet");
        }
    }

    /// Changes the state and notifies those that wait for a change.
    fn update(&self, change: impl FnOnce(&ScriptedFleet)) {
        change(self);
        self.changed.send_replace(());
    }

    /// The steps for a request: those of the next script, or a plain response if there is none left.
    fn next_steps(&self, server_request: &ServerRequest) -> Vec<Step> {
        let script = self.scripts.borrow_mut().pop_front();
        script.unwrap_or_else(|| super::scripts::ok_response("plain"))(server_request)
    }
}

/// A server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddrV4,
}

impl Server {
    pub async fn start(id: &str, fleet: Rc<ScriptedFleet>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
        let address = v4(&listener);
        let server = Server { id: id.to_owned(), address };
        tokio::task::spawn_local(server.clone().accept(listener, fleet));
        server
    }

    async fn accept(self, listener: TcpListener, fleet: Rc<ScriptedFleet>) {
        while let Ok((stream, _)) = listener.accept().await {
            let number = fleet.connections.get();
            fleet.update(|fleet| fleet.connections.set(number + 1));
            let connection = Connection { stream, received: Vec::new(), number, server: self.id.clone() };
            tokio::task::spawn_local(connection.serve(fleet.clone()));
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

/// The method of a request that is not recorded. Once it is answered, all earlier requests have been recorded.
pub const SYNC_METHOD: &str = "SYNC";

struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    number: usize,
    server: String,
}

impl Connection {
    async fn serve(mut self, fleet: Rc<ScriptedFleet>) {
        while let Some(server_request) = self.server_request().await {
            let steps = if server_request.method == SYNC_METHOD {
                fleet.connections.set(fleet.connections.get() - 1);
                vec![Step::Bytes(b"synced".to_vec()), Step::Close]
            } else {
                expect_that!(
                    server_request.field("X-Target-Server"),
                    some(eq(&*self.server)),
                    "{server_request:?}"
                );
                expect_that!(server_request.all("X-Api-Key"), is_empty(), "{server_request:?}");
                expect_that!(server_request.all("X-Not-Run"), is_empty(), "{server_request:?}");
                fleet.update(|fleet| fleet.server_requests.borrow_mut().push(server_request.clone()));
                fleet.next_steps(&server_request)
            };
            if !self.perform(steps).await {
                break;
            }
        }
        drop(self.stream);
        fleet.update(|fleet| fleet.ended.borrow_mut().push(self.number));
    }

    /// Reads the next request; none if the connection has ended.
    async fn server_request(&mut self) -> Option<ServerRequest> {
        let head = loop {
            if let Some(end) = find(&self.received, b"\r\n\r\n") {
                break self.take(end + 4);
            }
            self.fill().await?;
        };
        let text = String::from_utf8(head).expect("a head is text");
        let mut lines = text.trim_end().split("\r\n");
        let first: Vec<&str> = lines.next()?.split(' ').collect();
        let fields = lines.map(|line| line.split_once(": ").expect("a field"));
        let mut server_request = ServerRequest {
            server: self.server.clone(),
            connection: self.number,
            method: first[0].to_owned(),
            target: first[1].to_owned(),
            fields: fields.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
            body: Vec::new(),
        };
        expect_that!(first[2..], eq(&["HTTP/1.1"]));
        expect_that!(
            server_request.all("Transfer-Encoding"),
            is_empty(),
            "bodies are sent with a length: {server_request:?}"
        );
        let length =
            server_request.field("Content-Length").map_or(0, |length| length.parse().expect("a length"));
        while self.received.len() < length {
            self.fill().await?;
        }
        server_request.body = self.take(length);
        Some(server_request)
    }

    async fn fill(&mut self) -> Option<usize> {
        self.stream.read_buf(&mut self.received).await.ok().filter(|count| *count > 0)
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        let rest = self.received.split_off(count);
        std::mem::replace(&mut self.received, rest)
    }

    /// Performs the steps. True if the connection can be used for another request.
    async fn perform(&mut self, steps: Vec<Step>) -> bool {
        for step in steps {
            match step {
                Step::Bytes(bytes) if self.stream.write_all(&bytes).await.is_err() => return false,
                Step::Bytes(_) => {}
                Step::Wait(gate) => gate.opened().await,
                Step::Open(gate) => gate.open(),
                Step::Close => return false,
                Step::Reset => {
                    let linger = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
                    expect_that!(linger, ok(anything()));
                    return false;
                }
                Step::Hang => {
                    while self.fill().await.is_some() {}
                    expect_that!(self.received, is_empty(), "bytes after a request that has no response yet");
                    return false;
                }
            }
        }
        true
    }
}
