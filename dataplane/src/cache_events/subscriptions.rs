//! The state of this node's subscriptions to cache stores.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use tokio::task::JoinHandle;

/// Callback that reports the health of a store to the other nodes: its arguments are the store's name and whether it
/// responds.
pub type StoreHealthListener = Box<dyn Fn(&str, bool)>;

/// A store by name and address.
pub(crate) type CacheStoreKey = (Arc<str>, SocketAddrV4);

/// The cache stores that this node subscribes to, and the health of stores as reported to all nodes.
#[derive(Default)]
pub(crate) struct CacheStoreSubscriptions {
    /// The tasks that run the subscriptions.
    pub running: RefCell<HashMap<CacheStoreKey, JoinHandle<()>>>,
    /// This node's position in an order of all nodes; the nodes with the lowest ranks subscribe.
    pub subscriber_rank: Cell<usize>,
    /// Whether a store responds, as last reported to all nodes.
    reported_alive: RefCell<HashMap<Arc<str>, bool>>,
    health_listener: RefCell<Option<StoreHealthListener>>,
}

impl CacheStoreSubscriptions {
    /// Sets the callback that reports the health of stores to the other nodes.
    pub fn set_health_listener(&self, listener: StoreHealthListener) {
        *self.health_listener.borrow_mut() = Some(listener);
    }

    /// Records another node's report whether a store responds.
    pub fn set_reported(&self, store: &str, alive: bool) {
        self.reported_alive.borrow_mut().insert(Arc::from(store), alive);
    }

    /// The stores that respond according to the last report, and that this node does not subscribe to.
    pub fn reported_without_subscription(&self) -> Vec<Arc<str>> {
        let running = self.running.borrow();
        let subscribed = |store: &Arc<str>| running.keys().any(|(name, _)| name == store);
        let reported = self.reported_alive.borrow();
        let alive = reported.iter().filter(|(store, alive)| **alive && !subscribed(store));
        alive.map(|(store, _)| store.clone()).collect()
    }

    /// Reports the health of a store to all nodes, if this node is responsible for that.
    pub fn report_health(&self, store: &Arc<str>, alive: bool) {
        let reported = self.reported_alive.borrow().get(store).copied();
        if should_report_health(self.subscriber_rank.get(), reported, alive)
            && let Some(listener) = &*self.health_listener.borrow()
        {
            listener(store, alive);
        }
    }
}

/// Whether a node of this subscriber rank has to report the health of a store. Only the node of rank 0 does, whenever
/// the health differs from what was last reported. A node that has just started and knows few peers may take itself
/// for rank 0 and report a wrong health; comparing with the last report corrects that.
pub fn should_report_health(rank: usize, reported: Option<bool>, alive: bool) -> bool {
    rank == 0 && reported != Some(alive)
}
