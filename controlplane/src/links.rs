//! Connections between nodes: one in each direction, made when something is to be sent.
//!
//! A message may be lost, and nobody is told: whoever needs an answer asks again. A connection that makes no progress
//! is given up, so that one behind a cut holds nothing back for longer than [`STALLED_AFTER`].

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle_proto::frame::{self, FrameReader};
use gradepaddle_proto::{Content, Decode, Encode, Envelope};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::outbox::{Outbox, Outgoing, Refusal, outbox, write_while_taken};

/// A connection has to come up within this.
const DIAL_WITHIN: Duration = Duration::from_millis(600);
/// After a connection that did not come up, messages are dropped for this long.
const DIAL_PAUSE: Duration = Duration::from_millis(150);
/// Bytes that stay unacknowledged for this long end a connection.
pub const STALLED_AFTER: Duration = Duration::from_millis(1200);
/// A connection that has carried nothing for this long is closed.
const IDLE_FOR: Duration = Duration::from_secs(20);
/// How much is read at once, in bytes.
const READ_SIZE: usize = 16 * 1024;
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A message that has come, with its sender.
pub type Inbox = mpsc::UnboundedSender<Envelope>;

/// The connections of one node to all others.
pub struct Links {
    own: SocketAddrV4,
    queues: RefCell<HashMap<SocketAddrV4, Outbox>>,
}

impl Links {
    /// The links of the node that others reach at this address.
    pub fn new(own: SocketAddrV4) -> Rc<Self> {
        Rc::new(Links { own, queues: RefCell::default() })
    }

    /// Sends a message, if a connection comes up and stands.
    pub fn send(self: &Rc<Self>, to: SocketAddrV4, content: Content) {
        let body = Envelope { from: self.own, content }.to_bytes();
        let mut bytes = Vec::with_capacity(body.len() + frame::HEADER_BYTES);
        frame::write(&body, &mut bytes);
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(to).or_insert_with(|| self.open(to));
        if let Err(Refusal::Closed(bytes)) = queue.put(bytes) {
            let fresh = self.open(to);
            // A new queue has room.
            let _ = fresh.put(bytes);
            queues.insert(to, fresh);
        }
    }

    fn open(self: &Rc<Self>, to: SocketAddrV4) -> Outbox {
        let (queue, outgoing) = outbox();
        tokio::task::spawn_local(run(to, outgoing));
        queue
    }

    /// Drops the connections to nodes that are none of these.
    pub fn keep_only(&self, wanted: impl Fn(SocketAddrV4) -> bool) {
        self.queues.borrow_mut().retain(|to, _| wanted(*to));
    }
}

/// Carries the messages for one node, for as long as its connection stands.
async fn run(to: SocketAddrV4, mut outgoing: Outgoing) {
    let Some(stream) = dial(to).await else {
        sleep(DIAL_PAUSE).await;
        return;
    };
    let (mut reader, mut writer) = stream.into_split();
    let mut nothing = [0];
    loop {
        let batch = tokio::select! {
            batch = timeout(IDLE_FOR, outgoing.next_batch()) => batch,
            // The other side never writes: this is its end.
            _ = reader.read(&mut nothing) => return,
        };
        let Ok(Some(batch)) = batch else { return };
        if !write_while_taken(&mut writer, &batch, 2 * STALLED_AFTER).await {
            return;
        }
        outgoing.written(batch.len());
    }
}

async fn dial(to: SocketAddrV4) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    let stream = timeout(DIAL_WITHIN, socket.connect(to.into())).await.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    // Without this a connection behind a cut would hold messages for minutes; if it fails, it only does that.
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(STALLED_AFTER));
    Some(stream)
}

/// Takes other nodes' connections for as long as the process runs.
pub async fn serve_links(listener: TcpListener, inbox: Inbox) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(receive(stream, inbox.clone()));
            }
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Reads messages until the connection ends or something that is none comes.
async fn receive(mut stream: TcpStream, inbox: Inbox) {
    let mut frames = FrameReader::default();
    let mut bytes = vec![0; READ_SIZE];
    loop {
        let count = match timeout(2 * IDLE_FOR, stream.read(&mut bytes)).await {
            Ok(Ok(count)) if count > 0 => count,
            _ => return,
        };
        frames.push(&bytes[..count]);
        loop {
            match frames.next_body() {
                Ok(Some(body)) => {
                    // A message that this build does not know is passed over.
                    if let Ok(envelope) = Envelope::from_bytes(body)
                        && inbox.send(envelope).is_err()
                    {
                        return;
                    }
                }
                Ok(None) => break,
                Err(_) => return,
            }
        }
    }
}
