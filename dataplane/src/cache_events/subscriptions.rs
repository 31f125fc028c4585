//! What is kept in mind of the stores that this node listens to.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

use tokio::task::JoinHandle;

/// Told whether a store answers, whenever that changes.
pub type StoreHealthListener = Box<dyn Fn(&str, bool)>;

/// A store by name and address.
pub(crate) type CacheStoreKey = (Arc<str>, SocketAddrV4);

/// The stores that this node listens to.
#[derive(Default)]
pub(crate) struct CacheStoreSubscriptions {
    pub running: RefCell<HashMap<CacheStoreKey, JoinHandle<()>>>,
    /// This node's place among all, by which it is told whether it listens.
    pub rank: Cell<usize>,
    /// Stores of which others told that they answer.
    pub reported_alive: RefCell<HashMap<Arc<str>, bool>>,
    pub watch: RefCell<Option<StoreHealthListener>>,
}

/// Whether a node of this rank has to tell all others that a store answers or doesn't: the first one, whenever something
/// else is known of it. What a node told that took itself for the first is mended so.
pub fn should_report_health(rank: usize, known: Option<bool>, alive: bool) -> bool {
    rank == 0 && known != Some(alive)
}
