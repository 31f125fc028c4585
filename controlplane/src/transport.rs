//! Connections between nodes: one in each direction, opened when there is something to send.
//!
//! A message may be lost without notice: a node that needs a reply has to send its message again. A connection that makes
//! no progress is closed, so that a network partition delays messages for at most [`STALL_TIMEOUT`] after it has healed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle_proto::frame::{self, FrameReader};
use gradepaddle_proto::{Content, Decode, Encode, Envelope};
use gradepaddle_resources::{ClientLimiter, ConnectionPermit, Reservation, WaitKind};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use crate::inbox::{Inbox, InboxError};
use crate::send_queue::{
    QueuedTotal, SendError, SendQueue, SendQueueReceiver, send_queue, write_with_progress,
};

/// A connection has to be established within this.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// After a failed connect, messages are dropped for this long.
const RECONNECT_DELAY: Duration = Duration::from_millis(150);
/// TCP user timeout: a connection is closed if sent bytes stay unacknowledged for this long.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(1200);
/// A connection that has carried nothing for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of the read buffer of a connection, in bytes.
const READ_SIZE: usize = 16 * 1024;
/// Pause after a failed `accept`, for instance without file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The outgoing connections of one node.
pub struct Transport {
    own: SocketAddrV4,
    queues: RefCell<HashMap<SocketAddrV4, SendQueue>>,
    queued_total: QueuedTotal,
}

impl Transport {
    /// The transport of the node that others reach at `own`. At most `max_queued_bytes` wait to be written to all other nodes
    /// together.
    pub fn new(own: SocketAddrV4, max_queued_bytes: usize) -> Rc<Self> {
        let queued_total = QueuedTotal::new(max_queued_bytes);
        Rc::new(Transport { own, queues: RefCell::default(), queued_total })
    }

    /// Sends a message. It is lost if no connection can be established, if the connection breaks, or if the queue is
    /// full.
    pub fn send(self: &Rc<Self>, to: SocketAddrV4, content: Content) {
        let body = Envelope { from: self.own, content }.to_bytes();
        let mut bytes = Vec::with_capacity(body.len() + frame::HEADER_BYTES);
        frame::write(&body, &mut bytes);
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(to).or_insert_with(|| self.open_connection(to));
        if let Err(SendError::Closed { message }) = queue.push(bytes) {
            let reopened = self.open_connection(to);
            // An empty queue drops a message only if the other queues are full.
            let _ = reopened.push(message);
            queues.insert(to, reopened);
        }
    }

    fn open_connection(&self, to: SocketAddrV4) -> SendQueue {
        let (queue, receiver) = send_queue(&self.queued_total);
        tokio::task::spawn_local(run_connection(to, receiver));
        queue
    }
}

/// Writes the messages for one node until its connection ends.
async fn run_connection(to: SocketAddrV4, mut receiver: SendQueueReceiver) {
    let Some(stream) = connect(to).await else {
        sleep(RECONNECT_DELAY).await;
        return;
    };
    let (mut reader, mut writer) = stream.into_split();
    let mut unexpected = [0];
    loop {
        // Cancellation: `next_batch` is cancellation safe, and any completed read ends the connection.
        let batch = tokio::select! {
            batch = timeout(IDLE_TIMEOUT, receiver.next_batch()) => batch,
            // The other side never writes: a read completes only when the connection ends.
            _ = reader.read(&mut unexpected) => return,
        };
        let Ok(Some(batch)) = batch else { return };
        if !write_with_progress(&mut writer, &batch, 2 * STALL_TIMEOUT).await {
            return;
        }
        receiver.mark_written(batch.len());
    }
}

async fn connect(to: SocketAddrV4) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    let stream = timeout(CONNECT_TIMEOUT, socket.connect(to.into())).await.ok()?.ok()?;
    // Without TCP_NODELAY messages are delayed, but not lost.
    let _ = stream.set_nodelay(true);
    // Without TCP_USER_TIMEOUT a partitioned connection holds back messages for minutes; there is no other harm.
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(STALL_TIMEOUT));
    Some(stream)
}

/// Accepts connections of other nodes for as long as the process runs, within the bounds of `peers`. A connection beyond them
/// is closed: its messages are lost, as if the network had lost them.
pub async fn serve_peers(listener: TcpListener, inbox: Inbox, peers: ClientLimiter) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Ok(permit) = peers.admit().await {
                    tokio::task::spawn_local(receive(PeerConnection { stream, permit }, inbox.clone()));
                }
            }
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// A connection of another node with its permit, which is returned after the socket has been closed: fields are dropped in
/// their order.
struct PeerConnection {
    stream: TcpStream,
    permit: ConnectionPermit,
}

impl PeerConnection {
    /// Reads some bytes. None if the connection has ended, is idle, or is needed for another node.
    async fn read(&mut self, bytes: &mut [u8]) -> Option<usize> {
        let entry = self.permit.wait(WaitKind::Idle);
        // If another branch completes first, the connection is closed.
        tokio::select! {
            biased;
            read = timeout(2 * IDLE_TIMEOUT, self.stream.read(bytes)) => read.ok()?.ok().filter(|count| *count > 0),
            () = entry.evicted() => None,
        }
    }

    /// Reserves the memory of a frame of this length, unless that is short; none is returned if it isn't left.
    async fn reserve_frame(&self, length: usize) -> Option<Reservation> {
        let long_bytes = if length > READ_SIZE { length } else { 0 };
        self.permit.reserve(long_bytes).await.ok()
    }
}

/// Reads messages until the connection ends, an invalid frame arrives, or a long one for which no memory is left.
async fn receive(mut connection: PeerConnection, inbox: Inbox) {
    let mut frames = FrameReader::default();
    let mut bytes = vec![0; READ_SIZE];
    // The length of the incomplete frame, and the memory reserved for it.
    let (mut reserved_length, mut _reservation) = (0, None);
    while let Some(count) = connection.read(&mut bytes).await {
        frames.push(&bytes[..count]);
        loop {
            match frames.next_body() {
                Ok(Some(body)) => {
                    // A message that can't be decoded, for instance one of a newer build, is skipped.
                    if let Ok(envelope) = Envelope::from_bytes(body)
                        && inbox.push(envelope, body.len()) == Err(InboxError::Closed)
                    {
                        return;
                    }
                }
                Ok(None) => break,
                Err(_) => return,
            }
        }
        if frames.incomplete_length() != reserved_length {
            reserved_length = frames.incomplete_length();
            _reservation = None;
            _reservation = match connection.reserve_frame(reserved_length).await {
                Some(reservation) => Some(reservation),
                None => return,
            };
        }
    }
}
