//! The descriptor budget, shared between the terminals' side and the app servers' side.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Descriptors that are no connection of any side: standard streams, the listener, the event queue, signals.
const OWN: usize = 14;
/// Connections with discovery: the one that is open, and the one that follows it.
const DISCOVERY: usize = 2;

/// How long each kind of waiting terminal is left alone, however short descriptors are.
const PATIENCE: [Duration; 3] =
    [Duration::from_millis(250), Duration::from_millis(500), Duration::from_millis(1000)];

/// An idle connection is closed within this once its owner is told to.
const EVICTED: Duration = Duration::from_millis(5);

/// What a terminal without an open request waits for. Where descriptors are short, those of the first kind
/// go first.
#[derive(Clone, Copy)]
pub enum Wait {
    /// Its first request, of which nothing has come, or its client's end after the last answer.
    Silent,
    /// The next request.
    Next,
    /// The rest of a request, counted from the last byte that came of it.
    Rest,
    /// The next attempt: an idle connection with an app server.
    Idle,
}

/// What is shared out.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Connections with clients.
    Terminal,
    /// Requests open on those.
    Open,
    /// Connections with app servers.
    Server,
    /// Connections with discovery. They have their own: idle clients and app servers may fill all others while
    /// discovery is down, and without a list nothing would become of them.
    Discovery,
}

/// The budget of the whole process.
#[derive(Clone)]
pub struct Budget(Rc<Inner>);

struct Inner {
    /// The most of each side. An open request has one attempt out as a rule, so those parts are equal, and
    /// clients have the greater part: their connections stay between requests.
    most: Cell<[usize; 4]>,
    used: [Cell<usize>; 4],
    /// From so many clients' connections on they are a crowd.
    crowd: Cell<usize>,
    /// What this process has beside connections.
    own: usize,
    freed: Notify,
    /// By kind, each in the order in which they began to wait.
    waiting: RefCell<[Row; 4]>,
    serial: Cell<u64>,
}

/// Waiting terminals by serial: since when, and what tells each to close.
type Row = BTreeMap<u64, (Instant, Rc<Notify>)>;

/// One of what is shared out, given back when dropped.
pub struct Permit(Budget, Side);

/// A waiting terminal's place in the row of those that may be closed.
pub struct Waiting {
    budget: Budget,
    kind: Wait,
    serial: u64,
    close: Rc<Notify>,
}

impl Budget {
    /// Shares out this many descriptors, but for those that are set aside.
    pub fn new(sockets: usize, aside: usize) -> Self {
        let budget = Budget(Rc::new(Inner {
            most: Cell::default(),
            used: Default::default(),
            crowd: Cell::default(),
            own: OWN + DISCOVERY + aside,
            freed: Notify::new(),
            waiting: RefCell::default(),
            serial: Cell::new(0),
        }));
        budget.limit(sockets);
        budget
    }

    /// Shares out this many from now on. Connections beyond that are closed as far as they only wait, and
    /// none is opened until there is room.
    pub fn limit(&self, sockets: usize) {
        let ours = sockets.saturating_sub(self.0.own);
        let part = (ours * 3 / 8).max(1);
        self.0.most.set([ours.saturating_sub(part).max(1), part, part, DISCOVERY]);
        self.0.crowd.set(ours / 4);
        let beyond = self.used(Side::Terminal).saturating_sub(self.most(Side::Terminal));
        let _ = (0..beyond).all(|_| self.relieve(Instant::now()));
    }

    /// How many descriptors the process holds at most, by what it has taken.
    pub fn holds(&self) -> usize {
        self.0.own + self.used(Side::Terminal) + self.used(Side::Server)
    }

    fn most(&self, side: Side) -> usize {
        self.0.most.get()[side as usize]
    }

    fn used(&self, side: Side) -> usize {
        self.0.used[side as usize].get()
    }

    /// One of this side, if it has one left.
    pub fn take(&self, side: Side) -> Option<Permit> {
        let used = &self.0.used[side as usize];
        if used.get() >= self.most(side) {
            return None;
        }
        used.set(used.get() + 1);
        Some(Permit(self.clone(), side))
    }

    /// True if this side nears its end, so that idle connections should go.
    pub fn is_short(&self, side: Side) -> bool {
        self.used(side) * 8 >= self.most(side) * 7
    }

    /// True if clients hold so many connections that they cannot all be kept between requests.
    pub fn is_crowded(&self) -> bool {
        self.used(Side::Terminal) >= self.0.crowd.get()
    }

    /// Waits until a descriptor has been given back.
    pub async fn freed(&self) {
        self.0.freed.notified().await;
    }

    /// In a crowd, tells one that waits for too long to close: one that never spoke, and where descriptors are
    /// nearly gone others after those; of one kind the one that began first. False if there is none.
    pub fn relieve(&self, now: Instant) -> bool {
        let kinds = match (self.is_crowded(), self.is_short(Side::Terminal)) {
            (false, _) => 0,
            (true, false) => 1,
            (true, true) => PATIENCE.len(),
        };
        for (row, patience) in self.0.waiting.borrow_mut().iter_mut().zip(PATIENCE).take(kinds) {
            if let Some(first) = row.first_entry()
                && now.saturating_duration_since(first.get().0) >= patience
            {
                first.remove().1.notify_one();
                return true;
            }
        }
        false
    }

    /// Tells those to close that have stood still amid a request for this long.
    pub fn hurry(&self, now: Instant, patience: Duration) {
        let mut waiting = self.0.waiting.borrow_mut();
        let row = &mut waiting[Wait::Rest as usize];
        while let Some(first) = row.first_entry()
            && now.saturating_duration_since(first.get().0) >= patience
        {
            first.remove().1.notify_one();
        }
    }

    /// A descriptor for an attempt, if need be that of a connection with another app server that has been idle for
    /// longest: an open request goes before one that may come.
    pub async fn take_for_attempt(&self) -> Option<Permit> {
        loop {
            let taken = self.take(Side::Server);
            if taken.is_some() || !self.evict() {
                return taken;
            }
            // Its owner closes it as soon as it has its turn.
            let _ = timeout(EVICTED, self.freed()).await;
        }
    }

    /// Tells the owner of the connection that has been idle for longest to close its oldest; false if none is idle.
    fn evict(&self) -> bool {
        let oldest = self.0.waiting.borrow_mut()[Wait::Idle as usize].pop_first();
        oldest.map(|(_, (_, close))| close.notify_one()).is_some()
    }

    /// Enters a terminal that waits.
    pub fn wait(&self, kind: Wait) -> Waiting {
        self.wait_with(kind, Rc::new(Notify::new()))
    }

    /// Enters one that waits, where several share what tells them to close.
    pub fn wait_with(&self, kind: Wait, close: Rc<Notify>) -> Waiting {
        let serial = self.0.serial.get();
        self.0.serial.set(serial + 1);
        let mut waiting = self.0.waiting.borrow_mut();
        waiting[kind as usize].insert(serial, (Instant::now(), close.clone()));
        Waiting { budget: self.clone(), kind, serial, close }
    }
}

impl Waiting {
    /// Something has come: it waits anew.
    pub fn touch(&mut self) {
        let serial = self.budget.0.serial.get();
        self.budget.0.serial.set(serial + 1);
        let mut waiting = self.budget.0.waiting.borrow_mut();
        let row = &mut waiting[self.kind as usize];
        // One that was told to close stays told.
        if let Some((_, close)) = row.remove(&self.serial) {
            row.insert(serial, (Instant::now(), close));
            self.serial = serial;
        }
    }

    /// Ready when this terminal's descriptor is needed elsewhere.
    pub async fn unwanted(&self) {
        self.close.notified().await;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.budget.0.waiting.borrow_mut()[self.kind as usize].remove(&self.serial);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let used = &self.0.0.used[self.1 as usize];
        used.set(used.get() - 1);
        self.0.0.freed.notify_one();
    }
}

#[cfg(test)]
mod tests;
