//! The queue of messages for the connection to one node: bounded in messages and in bytes. The queues of all nodes together are
//! bounded in bytes too.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use snafu::Snafu;
use tokio::io::{AsyncWrite, AsyncWriteExt};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Maximum number of messages queued for one connection; further ones are dropped.
pub const MAX_QUEUED_MESSAGES: usize = 512;
/// Maximum number of bytes queued for one connection. A message that would exceed it is dropped, unless the queue is
/// empty: the largest message must get through as well.
pub const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;
/// Messages are written together up to this many bytes.
const BATCH_BYTES: usize = 64 * 1024;

/// Why a message was not queued.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SendError {
    /// The queue is full; the message is dropped.
    #[snafu(display("the send queue is full"))]
    Full,
    /// The connection is gone.
    #[snafu(display("the connection is closed"))]
    Closed {
        /// The message, to be sent on a new connection.
        message: Vec<u8>,
    },
}

/// The bytes that are queued for all nodes together. Clones share the same count.
#[derive(Debug, Clone)]
pub struct QueuedTotal {
    limit: usize,
    bytes: Rc<Cell<usize>>,
}

impl QueuedTotal {
    /// A count of 0, which may rise to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        QueuedTotal { limit, bytes: Rc::default() }
    }

    /// The bytes that are queued.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    fn add(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn remove(&self, bytes: usize) {
        self.bytes.set(self.bytes.get().saturating_sub(bytes));
    }
}

/// The sending end.
#[derive(Debug)]
pub struct SendQueue {
    messages: mpsc::Sender<Vec<u8>>,
    queued_bytes: Rc<Cell<usize>>,
    total: QueuedTotal,
}

/// The receiving end, from which the connection is written.
#[derive(Debug)]
pub struct SendQueueReceiver {
    messages: mpsc::Receiver<Vec<u8>>,
    queued_bytes: Rc<Cell<usize>>,
    total: QueuedTotal,
}

/// A queue for one connection, whose bytes count in `total`.
pub fn send_queue(total: &QueuedTotal) -> (SendQueue, SendQueueReceiver) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
    let queued_bytes = Rc::new(Cell::new(0));
    let queue = SendQueue { messages: sender, queued_bytes: Rc::clone(&queued_bytes), total: total.clone() };
    (queue, SendQueueReceiver { messages: receiver, queued_bytes, total: total.clone() })
}

impl SendQueue {
    /// Queues a message.
    ///
    /// # Errors
    ///
    /// [`SendError`] if the queue is full, all queues together are, or the connection is gone.
    pub fn push(&self, message: Vec<u8>) -> Result<(), SendError> {
        let (length, queued) = (message.len(), self.queued_bytes.get());
        if self.messages.is_closed() {
            return Err(SendError::Closed { message });
        }
        let queue_is_full = queued > 0 && queued + length > MAX_QUEUED_BYTES;
        if queue_is_full || self.total.bytes() + length > self.total.limit {
            return Err(SendError::Full);
        }
        self.messages.try_send(message).map_err(|_| SendError::Full)?;
        self.queued_bytes.set(queued + length);
        self.total.add(length);
        Ok(())
    }

    /// The bytes that are queued or being written.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes.get()
    }
}

impl SendQueueReceiver {
    /// The next messages as one batch of bytes; `None` once the sending end is gone. They count as queued until
    /// [`SendQueueReceiver::mark_written`].
    ///
    /// Cancellation safe: nothing is taken from the queue before the only await is ready.
    pub async fn next_batch(&mut self) -> Option<Vec<u8>> {
        let mut batch = self.messages.recv().await?;
        while batch.len() < BATCH_BYTES
            && let Ok(more) = self.messages.try_recv()
        {
            batch.extend_from_slice(&more);
        }
        Some(batch)
    }

    /// Releases the capacity of `bytes` that have been written.
    pub fn mark_written(&self, bytes: usize) {
        let written = bytes.min(self.queued_bytes.get());
        self.queued_bytes.set(self.queued_bytes.get() - written);
        self.total.remove(written);
    }
}

impl Drop for SendQueueReceiver {
    fn drop(&mut self) {
        // What was not written is lost.
        self.mark_written(self.queued_bytes.get());
    }
}

/// Writes all of `bytes`, however slowly, as long as some bytes are written within each `stall_timeout`. Returns false if
/// the connection stalled or failed.
#[must_use = "a connection that stalled has to be closed"]
pub async fn write_with_progress<W: AsyncWrite + Unpin>(
    writer: &mut W,
    bytes: &[u8],
    stall_timeout: Duration,
) -> bool {
    let mut rest = bytes;
    while !rest.is_empty() {
        match timeout(stall_timeout, writer.write(rest)).await {
            Ok(Ok(count)) if count > 0 => rest = &rest[count..],
            _ => return false,
        }
    }
    true
}
