//! Connections that wait for their client, in the order in which they are closed when their resources are needed.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

/// What a connection waits for. Connections of the first kind are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitKind {
    /// The first byte of a request, or the client's close after the last response.
    Idle,
    /// The rest of a request, counted from its first byte.
    PartialRequest,
    /// The client to read a part of its response, counted from the write of that part.
    UnreadResponse,
}

/// The number of kinds.
const KINDS: usize = 3;
/// How long a waiting connection of each kind is left alone.
const MIN_WAIT: [Duration; KINDS] =
    [Duration::from_millis(250), Duration::from_secs(1), Duration::from_secs(2)];

/// The waiting connections, each kind in the order in which they began to wait.
#[derive(Debug, Default)]
pub(crate) struct WaitingConnections {
    queues: RefCell<[WaitQueue; KINDS]>,
}

/// Waiting connections by serial number.
type WaitQueue = BTreeMap<u64, Waiting>;

#[derive(Debug)]
struct Waiting {
    since: Instant,
    /// The connection that waits.
    connection: u64,
    evict: Rc<Notify>,
}

/// The entry of a waiting connection, removed when this is dropped.
#[derive(Debug)]
#[must_use = "a connection without an entry can't be evicted"]
pub struct EvictionEntry {
    waiting: Rc<WaitingConnections>,
    kind: WaitKind,
    serial: u64,
    evict: Rc<Notify>,
}

impl WaitingConnections {
    /// Enters a connection under a serial number higher than all before.
    pub fn enter(self: &Rc<Self>, kind: WaitKind, serial: u64, connection: u64) -> EvictionEntry {
        let evict = Rc::new(Notify::new());
        let entry = Waiting { since: Instant::now(), connection, evict: evict.clone() };
        self.queues.borrow_mut()[kind as usize].insert(serial, entry);
        EvictionEntry { waiting: self.clone(), kind, serial, evict }
    }

    /// Evicts the connection that has waited longest, if one has waited for long enough. False if there is none, or if it is
    /// the connection `needed_by`, which needs the resources itself.
    pub fn evict_longest(&self, now: Instant, needed_by: Option<u64>) -> bool {
        for (queue, min_wait) in self.queues.borrow_mut().iter_mut().zip(MIN_WAIT) {
            let Some(first) = queue.first_entry() else { continue };
            if now.saturating_duration_since(first.get().since) < min_wait {
                continue;
            }
            if Some(first.get().connection) == needed_by {
                return false;
            }
            first.remove().evict.notify_one();
            return true;
        }
        false
    }
}

impl EvictionEntry {
    /// Waits until this connection's resources are needed elsewhere. Cancellation safe.
    pub async fn evicted(&self) {
        self.evict.notified().await;
    }
}

impl Drop for EvictionEntry {
    fn drop(&mut self) {
        self.waiting.queues.borrow_mut()[self.kind as usize].remove(&self.serial);
    }
}
