//! A small balancer with faults that are injected on purpose, to show that the rules detect each of them.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::Value;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet, spawn_local};

use crate::{Error, wire};

/// The fault of a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    Nothing,
    /// It sends every answer twice.
    AnswersTwice,
    /// It sends every request twice.
    Repeats,
    /// It sends to the first app server in the list, even if that one is draining.
    IgnoresDrains,
    /// When it is told to shut down, it drops the open requests.
    DropsAtEnd,
    /// It refuses requests that it has sent to an app server.
    RefusesWhatRan,
    /// It fabricates answers.
    Invents,
}

/// A running balancer, which stops when this is dropped.
pub struct Broken {
    /// Its address.
    pub address: SocketAddr,
    leaving: Rc<Cell<bool>>,
    accepts: JoinHandle<()>,
}

impl Broken {
    /// Starts a balancer that calls discovery at this address.
    ///
    /// # Errors
    ///
    /// No port of the loopback interface can be bound.
    pub async fn start(fault: Fault, discovery: SocketAddr) -> io::Result<Broken> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let leaving = Rc::new(Cell::new(false));
        let leaves = leaving.clone();
        let accepts = spawn_local(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let leaves = leaves.clone();
                connections.spawn_local(async move {
                    // Fails if the client disconnects, which is no fault of the balancer.
                    let _ = serve(stream, fault, discovery, &leaves).await;
                });
            }
        });
        Ok(Broken { address, leaving, accepts })
    }

    /// Tells it to shut down.
    pub fn ask_to_end(&self) {
        self.leaving.set(true);
    }
}

impl Drop for Broken {
    fn drop(&mut self) {
        self.accepts.abort();
    }
}

async fn exchange(at: SocketAddr, text: &str) -> io::Result<wire::Message> {
    let mut stream = BufReader::new(TcpStream::connect(at).await?);
    stream.get_mut().write_all(text.as_bytes()).await?;
    Ok(wire::read(&mut stream).await?.ok_or(Error::NoAnswer)?)
}

async fn serve(
    stream: TcpStream,
    fault: Fault,
    discovery: SocketAddr,
    leaving: &Cell<bool>,
) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(request) = wire::read(&mut stream).await? {
        let list = exchange(discovery, "GET /registry/instances HTTP/1.1\r\n\r\n").await?;
        let list: Value = serde_json::from_str(&list.body)?;
        let hosts = list["hosts"].as_array().cloned().unwrap_or_default();
        let open = |host: &&Value| fault == Fault::IgnoresDrains || host["health"] == "up";
        let dial = hosts.iter().find(open).and_then(|host| host["dial"].as_str()?.parse().ok());
        let Some(dial) = dial else { return Err(Error::NobodyUp.into()) };
        let text = request.text();
        let mut answer = exchange(dial, &text).await?;
        if fault == Fault::Repeats {
            answer = exchange(dial, &text).await?;
        }
        if fault == Fault::DropsAtEnd && leaving.get() {
            return Ok(());
        }
        let reply = match fault {
            Fault::RefusesWhatRan => wire::answer("503 Service Unavailable", "Retry-After: 1\r\n", ""),
            Fault::Invents => wire::answer("200 OK", "", "out of nothing"),
            _ => wire::answer("200 OK", "", &answer.body),
        };
        let reply = if fault == Fault::AnswersTwice { reply.repeat(2) } else { reply };
        stream.get_mut().write_all(reply.as_bytes()).await?;
    }
    Ok(())
}
