//! The front, which assigns clients to the processes of their zone by round robin. It adds a process once it is ready, and
//! removes a dead one after a delay.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

/// A process that the front assigns clients to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// Its place, which a restarted process keeps.
    pub place: usize,
    /// Its number in the recorded facts.
    pub number: usize,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: usize,
}

/// The front, shared by all clients.
#[derive(Clone, Default)]
pub struct Front {
    known: Rc<RefCell<Vec<Known>>>,
    /// The round-robin counter of each zone. With one counter for all zones, requests that alternate between zones would
    /// never reach some of the processes.
    turns: Rc<RefCell<BTreeMap<usize, usize>>>,
}

impl Front {
    /// Adds a process that is ready, and removes the earlier process at its place.
    pub fn take_in(&self, one: Known) {
        let mut known = self.known.borrow_mut();
        known.retain(|other| other.place != one.place);
        known.push(one);
        known.sort_by_key(|one| one.place);
    }

    /// Removes a process that has died, after the delay `notice`.
    pub fn lose(&self, number: usize, notice: Duration) {
        let known = self.known.clone();
        spawn_local(async move {
            tokio::time::sleep(notice).await;
            known.borrow_mut().retain(|one| one.number != number);
        });
    }

    /// The next process of this zone by round robin, or of any zone if this one has none.
    pub fn pick(&self, zone: usize) -> Option<Known> {
        let mut turns = self.turns.borrow_mut();
        let turn = turns.entry(zone).or_default();
        *turn = turn.wrapping_add(1);
        let known = self.known.borrow();
        let here: Vec<&Known> = known.iter().filter(|one| one.zone == zone).collect();
        let among = if here.is_empty() { known.iter().collect() } else { here };
        among.get(*turn % among.len().max(1)).map(|one| **one)
    }
}

#[cfg(test)]
mod tests;
