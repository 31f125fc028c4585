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
mod tests {
    use super::*;

    /// Guards a front that sends to the wrong zone or to those who are gone: each zone's own in turn, any where none is
    /// left, and whoever starts anew takes the place of the one before.
    #[test]
    fn a_zone_gets_its_own_in_turn_and_any_where_none_is_left() {
        let front = Front::default();
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        for place in 0..4 {
            front.take_in(Known { place, number: place, address, zone: place % 2 });
        }
        // Also where the zones ask in turn.
        let mut picks: Vec<usize> = (0..8).filter_map(|n| front.pick(n % 2)).map(|one| one.place).collect();
        picks.sort_unstable();
        assert_eq!(picks, [0, 0, 1, 1, 2, 2, 3, 3]);
        front.take_in(Known { place: 2, number: 9, address, zone: 0 });
        assert!((0..2).filter_map(|_| front.pick(0)).any(|one| one.number == 9));
        assert!((0..4).filter_map(|_| front.pick(0)).all(|one| one.number != 2));
        crate::on_one_thread(async {
            front.lose(0, Duration::ZERO);
            front.lose(9, Duration::ZERO);
            while front.pick(0).is_some_and(|one| one.zone == 0) {
                tokio::task::yield_now().await;
            }
        });
        assert_eq!(front.pick(0).map(|one| one.zone), Some(1));
    }
}
