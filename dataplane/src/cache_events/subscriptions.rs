//! The state of this node's subscriptions to cache stores.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use tokio::task::JoinHandle;

/// Called with a store's name and whether it answers, when peers have to learn of it.
pub type StoreHealthListener = Box<dyn Fn(&str, bool)>;

/// A store by name and address.
pub(crate) type CacheStoreKey = (Arc<str>, SocketAddrV4);

/// The cache stores that this node subscribes to, and what peers report of the others.
#[derive(Default)]
pub(crate) struct CacheStoreSubscriptions {
    /// The tasks that subscribe.
    pub running: RefCell<HashMap<CacheStoreKey, JoinHandle<()>>>,
    /// This node's position in an order of all nodes; the lowest ones subscribe.
    pub subscriber_rank: Cell<usize>,
    /// Whether a store answers, as reported last to all nodes.
    reported_alive: RefCell<HashMap<Arc<str>, bool>>,
    health_listener: RefCell<Option<StoreHealthListener>>,
}

impl CacheStoreSubscriptions {
    /// Sets who reports the health of stores to the other nodes.
    pub fn set_health_listener(&self, listener: StoreHealthListener) {
        *self.health_listener.borrow_mut() = Some(listener);
    }

    /// A node has reported whether a store answers.
    pub fn set_reported(&self, store: &str, alive: bool) {
        self.reported_alive.borrow_mut().insert(Arc::from(store), alive);
    }

    /// The stores that answer, as reported last, and that this node does not subscribe to.
    pub fn reported_without_subscription(&self) -> Vec<Arc<str>> {
        let running = self.running.borrow();
        let subscribed = |store: &Arc<str>| running.keys().any(|(name, _)| name == store);
        let reported = self.reported_alive.borrow();
        let alive = reported.iter().filter(|(store, alive)| **alive && !subscribed(store));
        alive.map(|(store, _)| store.clone()).collect()
    }

    /// Has the health of a store reported to all nodes, where this node is the one to do so.
    pub fn report_health(&self, store: &Arc<str>, alive: bool) {
        let reported = self.reported_alive.borrow().get(store).copied();
        if should_report_health(self.subscriber_rank.get(), reported, alive)
            && let Some(listener) = &*self.health_listener.borrow()
        {
            listener(store, alive);
        }
    }
}

/// Whether a node of this subscriber rank has to report that a store answers or doesn't: the first one, whenever that
/// differs from what was reported last. A young node that knows few peers takes itself for the first one and may report
/// what is wrong; this corrects it.
pub fn should_report_health(rank: usize, reported: Option<bool>, alive: bool) -> bool {
    rank == 0 && reported != Some(alive)
}
