//! The front: hands out the processes of a zone in turn, takes one in once it is ready, and notices late that one has died.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;

/// A process as the front knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Known {
    /// Its place, which outlives it.
    pub place: usize,
    /// Its number in the books.
    pub number: usize,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: usize,
}

/// Shared by all who ask.
#[derive(Clone, Default)]
pub struct Front {
    known: Rc<RefCell<Vec<Known>>>,
    /// Whose turn it is, by zone: with one for all, zones that ask in turn would never reach some of theirs.
    turns: Rc<RefCell<BTreeMap<usize, usize>>>,
}

impl Front {
    /// One that is ready, in the place of whoever was there before.
    pub fn take_in(&self, one: Known) {
        let mut known = self.known.borrow_mut();
        known.retain(|other| other.place != one.place);
        known.push(one);
        known.sort_by_key(|one| one.place);
    }

    /// One has died, which is noticed so much later.
    pub fn lose(&self, number: usize, notice: Duration) {
        let known = self.known.clone();
        spawn_local(async move {
            tokio::time::sleep(notice).await;
            known.borrow_mut().retain(|one| one.number != number);
        });
    }

    /// Somebody of this zone, in turn; of any zone where none is left of it.
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
