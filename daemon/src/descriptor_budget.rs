//! The descriptor budget, shared between connections with clients and connections with app servers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Descriptors that are not connections: standard streams, the listener, the event queue, signals.
const FIXED: usize = 14;
/// Connections with discovery: the open one, and the one that follows it.
const DISCOVERY: usize = 2;

/// How long a waiting client connection of each kind is left alone, however short descriptors are.
const MIN_WAIT: [Duration; 3] =
    [Duration::from_millis(250), Duration::from_millis(500), Duration::from_millis(1000)];

/// An idle connection is closed within this time once its owner is notified.
const EVICTION_TIMEOUT: Duration = Duration::from_millis(5);

/// What a connection waits for. Where descriptors are short, waiting client connections of the first kind are closed first.
#[derive(Clone, Copy)]
pub enum WaitKind {
    /// A client connection's first request, of which nothing has arrived, or its close after the last response.
    Silent,
    /// A client connection's next request.
    BetweenRequests,
    /// The rest of a client's request, counted from the last byte that arrived.
    PartialRequest,
    /// The next attempt: an idle connection with an app server.
    IdleUpstream,
}

/// The parts of the budget.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Connections with clients.
    Client,
    /// Open requests on those connections.
    OpenRequest,
    /// Connections with app servers.
    AppServer,
    /// Connections with discovery. They have a part of their own: while discovery is down, idle clients and app servers may
    /// take all other descriptors, and without a list those could not be served.
    Discovery,
}

/// The budget of the whole process.
#[derive(Clone)]
pub struct DescriptorBudget(Rc<Inner>);

struct Inner {
    /// The limit of each side. An open request usually has one attempt running, so those two parts are equal. Clients have
    /// the largest part, because their connections stay open between requests.
    limits: Cell<[usize; 4]>,
    used: [Cell<usize>; 4],
    /// From this number of client connections on, they can't all be kept between requests.
    crowd_threshold: Cell<usize>,
    /// The descriptors of this process that are not shared out.
    reserved: usize,
    released: Notify,
    /// By kind, each in the order in which the connections began to wait.
    waiting: RefCell<[WaitQueue; 4]>,
    next_serial: Cell<u64>,
}

/// Waiting connections by serial number: since when they wait, and the notification to close.
type WaitQueue = BTreeMap<u64, (Instant, Rc<Notify>)>;

/// One unit of a side's part, released when dropped.
pub struct Permit(DescriptorBudget, Side);

/// The entry of a waiting connection in the queue of those that may be closed; removed when dropped.
pub struct EvictionEntry {
    budget: DescriptorBudget,
    kind: WaitKind,
    serial: u64,
    close: Rc<Notify>,
}

impl DescriptorBudget {
    /// A budget of this many descriptors, of which `reserved` are not shared out.
    pub fn new(descriptors: usize, reserved: usize) -> Self {
        let budget = DescriptorBudget(Rc::new(Inner {
            limits: Cell::default(),
            used: Default::default(),
            crowd_threshold: Cell::default(),
            reserved: FIXED + DISCOVERY + reserved,
            released: Notify::new(),
            waiting: RefCell::default(),
            next_serial: Cell::new(0),
        }));
        budget.set_limit(descriptors);
        budget
    }

    /// Changes the number of descriptors. Connections beyond it are closed if they only wait, and none is opened until there
    /// is room.
    pub fn set_limit(&self, descriptors: usize) {
        let shared = descriptors.saturating_sub(self.0.reserved);
        let part = (shared * 3 / 8).max(1);
        self.0.limits.set([shared.saturating_sub(part).max(1), part, part, DISCOVERY]);
        self.0.crowd_threshold.set(shared / 4);
        let excess = self.used(Side::Client).saturating_sub(self.limit(Side::Client));
        let _ = (0..excess).all(|_| self.evict_overdue(Instant::now()));
    }

    /// The most descriptors that the process holds, given the permits that are out.
    pub fn held(&self) -> usize {
        self.0.reserved + self.used(Side::Client) + self.used(Side::AppServer)
    }

    fn limit(&self, side: Side) -> usize {
        self.0.limits.get()[side as usize]
    }

    fn used(&self, side: Side) -> usize {
        self.0.used[side as usize].get()
    }

    /// A permit of this side, if one is left.
    pub fn take(&self, side: Side) -> Option<Permit> {
        let used = &self.0.used[side as usize];
        if used.get() >= self.limit(side) {
            return None;
        }
        used.set(used.get() + 1);
        Some(Permit(self.clone(), side))
    }

    /// True if this side is nearly used up, so that idle connections should be closed.
    pub fn is_short(&self, side: Side) -> bool {
        self.used(side) * 8 >= self.limit(side) * 7
    }

    /// True if there are so many client connections that they cannot all be kept between requests.
    pub fn is_crowded(&self) -> bool {
        self.used(Side::Client) >= self.0.crowd_threshold.get()
    }

    /// Waits until a permit has been released.
    pub async fn released(&self) {
        self.0.released.notified().await;
    }

    /// In a crowd, notifies one client connection that has waited for too long to close: a silent one, or if descriptors are
    /// nearly used up and no silent one is overdue, one of the other kinds in their order. Of one kind, the one that began to
    /// wait first is closed first. False if there is none.
    pub fn evict_overdue(&self, now: Instant) -> bool {
        let kinds = match (self.is_crowded(), self.is_short(Side::Client)) {
            (false, _) => 0,
            (true, false) => 1,
            (true, true) => MIN_WAIT.len(),
        };
        for (queue, min_wait) in self.0.waiting.borrow_mut().iter_mut().zip(MIN_WAIT).take(kinds) {
            if let Some(first) = queue.first_entry()
                && now.saturating_duration_since(first.get().0) >= min_wait
            {
                first.remove().1.notify_one();
                return true;
            }
        }
        false
    }

    /// Notifies the client connections to close that have made no progress within a request for this long.
    pub fn evict_stalled(&self, now: Instant, max_stall: Duration) {
        let mut waiting = self.0.waiting.borrow_mut();
        let queue = &mut waiting[WaitKind::PartialRequest as usize];
        while let Some(first) = queue.first_entry()
            && now.saturating_duration_since(first.get().0) >= max_stall
        {
            first.remove().1.notify_one();
        }
    }

    /// A permit for an attempt. If none is left, the connection with another app server that has been idle for longest is
    /// closed: an open request has priority over one that may come.
    pub async fn take_for_attempt(&self) -> Option<Permit> {
        loop {
            let permit = self.take(Side::AppServer);
            if permit.is_some() || !self.evict_idle_upstream() {
                return permit;
            }
            // The owner closes it as soon as its task is polled.
            let _ = timeout(EVICTION_TIMEOUT, self.released()).await;
        }
    }

    /// Notifies the owner of the connection that has been idle for longest to close its oldest one; false if none is idle.
    fn evict_idle_upstream(&self) -> bool {
        let oldest = self.0.waiting.borrow_mut()[WaitKind::IdleUpstream as usize].pop_first();
        oldest.map(|(_, (_, close))| close.notify_one()).is_some()
    }

    /// Enters a connection that waits.
    pub fn wait(&self, kind: WaitKind) -> EvictionEntry {
        self.wait_with_notify(kind, Rc::new(Notify::new()))
    }

    /// Enters a connection that waits and shares its notification to close with others.
    pub fn wait_with_notify(&self, kind: WaitKind, close: Rc<Notify>) -> EvictionEntry {
        let serial = self.0.next_serial.get();
        self.0.next_serial.set(serial + 1);
        let mut waiting = self.0.waiting.borrow_mut();
        waiting[kind as usize].insert(serial, (Instant::now(), close.clone()));
        EvictionEntry { budget: self.clone(), kind, serial, close }
    }
}

impl EvictionEntry {
    /// Restarts the wait: bytes have arrived.
    pub fn touch(&mut self) {
        let serial = self.budget.0.next_serial.get();
        self.budget.0.next_serial.set(serial + 1);
        let mut waiting = self.budget.0.waiting.borrow_mut();
        let queue = &mut waiting[self.kind as usize];
        // A connection that was notified to close stays notified.
        if let Some((_, close)) = queue.remove(&self.serial) {
            queue.insert(serial, (Instant::now(), close));
            self.serial = serial;
        }
    }

    /// Waits until this connection's descriptor is needed elsewhere.
    pub async fn evicted(&self) {
        self.close.notified().await;
    }
}

impl Drop for EvictionEntry {
    fn drop(&mut self) {
        self.budget.0.waiting.borrow_mut()[self.kind as usize].remove(&self.serial);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let used = &self.0.0.used[self.1 as usize];
        used.set(used.get() - 1);
        self.0.0.released.notify_one();
    }
}

#[cfg(test)]
mod tests;
