//! A thread that waits for the disk, so that nobody else has to.

use std::{
    sync::mpsc::{Receiver, Sender, channel},
    thread,
};

use gradepaddle_control::{Record, WriteId};

use crate::{Storage, StoreError};

/// A write has come to an end.
#[derive(Debug)]
pub struct Done {
    /// The write.
    pub write_id: WriteId,
    /// Whether it is durable.
    pub result: Result<(), StoreError>,
}

/// Hands records to the thread that writes them, in order.
///
/// The thread ends once the writer is dropped and all that was handed over has been tried.
#[derive(Debug, Clone)]
pub struct Writer {
    work: Sender<(WriteId, Vec<Record>)>,
}

impl Writer {
    /// Starts the thread. It calls `done` after each write.
    ///
    /// # Errors
    ///
    /// [`StoreError::Write`] if the thread can't be started.
    pub fn start(storage: Storage, done: Box<dyn Fn(Done) + Send>) -> Result<Writer, StoreError> {
        let (work, orders) = channel();
        let thread = thread::Builder::new().name("control-store".to_owned());
        let started = thread.spawn(move || write_all(storage, &orders, &*done));
        started.map(|_| Writer { work }).map_err(|source| StoreError::Write { source })
    }

    /// Asks for records to be made durable.
    pub fn write(&self, write_id: WriteId, records: Vec<Record>) {
        // The thread ends only with the last writer, so the order always finds it.
        let _ = self.work.send((write_id, records));
    }
}

fn write_all(mut storage: Storage, orders: &Receiver<(WriteId, Vec<Record>)>, done: &dyn Fn(Done)) {
    for (write_id, records) in orders {
        let result = storage.append_only(records);
        let durable = result.is_ok();
        // Whoever waits for the records needn't wait for the checkpoint.
        done(Done { write_id, result });
        if durable {
            storage.checkpoint_if_due();
        }
    }
}
