//! The descriptor budget, shared between the terminals' side and the app servers' side.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::Notify;

/// Descriptors that are no connection of either side: standard streams, the listener, the watch, the
/// event queue, signals.
const OWN: usize = 16;
/// Connections beyond the terminals' part that are taken only to be refused.
const DOOR: usize = 32;

/// Which side a connection is on.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// A client's, served.
    Terminal,
    /// A client's beyond the budget, taken to be refused.
    Door,
    /// An app server's, or discovery's.
    Server,
}

/// The budget of the whole process.
#[derive(Clone)]
pub struct Budget(Rc<Inner>);

struct Inner {
    /// The most of each side. Each terminal has one attempt out as a rule, so the parts are equal.
    most: [usize; 3],
    used: [Cell<usize>; 3],
    freed: Notify,
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
    serial: Cell<u64>,
}

/// One descriptor of the budget, given back when dropped.
pub struct Permit(Budget, Side);

/// An idle terminal's place in the row of those that may be closed.
pub struct Idle {
    budget: Budget,
    serial: u64,
    close: Rc<Notify>,
}

impl Budget {
    /// Shares out this many descriptors.
    pub fn new(sockets: usize) -> Self {
        let part = sockets.saturating_sub(OWN + DOOR) / 2;
        Budget(Rc::new(Inner {
            most: [part.max(1), DOOR, part.max(1)],
            used: Default::default(),
            freed: Notify::new(),
            idle: RefCell::default(),
            serial: Cell::new(0),
        }))
    }

    /// One descriptor of this side, if it has one left.
    pub fn take(&self, side: Side) -> Option<Permit> {
        let used = &self.0.used[side as usize];
        if used.get() >= self.0.most[side as usize] {
            return None;
        }
        used.set(used.get() + 1);
        Some(Permit(self.clone(), side))
    }

    /// True if this side nears its end, so that idle connections should go.
    pub fn is_short(&self, side: Side) -> bool {
        self.0.used[side as usize].get() * 8 >= self.0.most[side as usize] * 7
    }

    /// Waits until a descriptor has been given back.
    pub async fn freed(&self) {
        self.0.freed.notified().await;
    }

    /// Tells the terminal that has been idle for longest to close, where the side is short.
    pub fn relieve(&self) {
        if self.is_short(Side::Terminal)
            && let Some((_, close)) = self.0.idle.borrow_mut().pop_first()
        {
            close.notify_one();
        }
    }

    /// Enters an idle terminal.
    pub fn idle(&self) -> Idle {
        let serial = self.0.serial.get();
        self.0.serial.set(serial + 1);
        let close = Rc::new(Notify::new());
        self.0.idle.borrow_mut().insert(serial, close.clone());
        Idle { budget: self.clone(), serial, close }
    }
}

impl Permit {
    /// Which side it is for.
    pub fn side(&self) -> Side {
        self.1
    }
}

impl Idle {
    /// Waits until this terminal's descriptor is needed elsewhere.
    pub async fn unwanted(&self) {
        self.close.notified().await;
    }
}

impl Drop for Idle {
    fn drop(&mut self) {
        self.budget.0.idle.borrow_mut().remove(&self.serial);
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
mod tests {
    use super::*;

    /// Guards against one side that takes the descriptors of the other, and permits that get lost.
    #[test]
    fn each_side_has_its_part_and_gets_it_back() {
        let budget = Budget::new(OWN + DOOR + 16);
        let clients: Vec<_> = (0..8).map_while(|_| budget.take(Side::Terminal)).collect();
        assert_eq!(clients.len(), 8);
        assert!(budget.take(Side::Terminal).is_none() && budget.is_short(Side::Terminal));
        assert!(budget.take(Side::Server).is_some() && budget.take(Side::Door).is_some());
        drop(clients);
        assert!(budget.take(Side::Terminal).is_some() && !budget.is_short(Side::Terminal));
    }
}
