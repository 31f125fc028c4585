//! A thread that performs the blocking writes, so that no other thread blocks on the disk.

use std::{
    sync::mpsc::{Receiver, Sender, channel},
    thread,
};

use gradepaddle_control::{Record, WriteId};

use crate::{Storage, StoreError};

/// The result of one write.
#[derive(Debug)]
#[must_use]
pub struct WriteResult {
    /// The write.
    pub write_id: WriteId,
    /// Whether it is durable.
    pub result: Result<(), StoreError>,
}

struct WriteRequest {
    write_id: WriteId,
    records: Vec<Record>,
}

/// Queues records for the writer thread, which writes them in order.
///
/// The thread exits once all clones of the writer are dropped and every request has been attempted.
#[derive(Debug, Clone)]
pub struct Writer {
    requests: Sender<WriteRequest>,
}

impl Writer {
    /// Starts the thread. It calls `on_result` after each write.
    ///
    /// # Errors
    ///
    /// [`StoreError::Write`] if the thread can't be started.
    pub fn start(storage: Storage, on_result: Box<dyn Fn(WriteResult) + Send>) -> Result<Writer, StoreError> {
        let (requests, queue) = channel();
        let thread = thread::Builder::new().name("control-store".to_owned());
        let started = thread.spawn(move || write_all(storage, &queue, &*on_result));
        started.map(|_| Writer { requests }).map_err(|source| StoreError::Write { source })
    }

    /// Requests that records be made durable; the result goes to the callback of [`Writer::start`].
    pub fn write(&self, write_id: WriteId, records: Vec<Record>) {
        // The thread runs until all writers are dropped, so the channel is still open.
        let _ = self.requests.send(WriteRequest { write_id, records });
    }
}

fn write_all(mut storage: Storage, queue: &Receiver<WriteRequest>, on_result: &dyn Fn(WriteResult)) {
    for WriteRequest { write_id, records } in queue {
        let result = storage.append_without_checkpoint(records);
        let durable = result.is_ok();
        // Reported before the checkpoint, so that waiting for the records does not include the duration of a checkpoint.
        on_result(WriteResult { write_id, result });
        if durable {
            storage.maybe_checkpoint();
        }
    }
}
