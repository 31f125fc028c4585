//! Links between machines: messages of one link keep their order, cuts and losses drop them.

use std::collections::{BTreeSet, HashMap};

use super::random::Random;
use super::{MS, Micros};

/// After a connection has broken, messages are dropped for this long.
const RECONNECT_DELAY: Micros = 150 * MS;

/// The links, by the numbers of their machines.
#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeSet<(usize, usize)>,
    /// The percentage of messages that are lost.
    pub loss: u64,
    links: HashMap<(usize, usize), Link>,
}

#[derive(Debug, Default, Clone, Copy)]
struct Link {
    last_arrival: Micros,
    down_until: Micros,
    broken: u64,
}

/// When a message arrives, unless its connection breaks before.
#[derive(Debug, Clone, Copy)]
pub struct Delivery {
    pub at: Micros,
    pub connection: u64,
}

impl Network {
    /// Drops all messages from one set of machines to the other.
    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        let pairs = from.iter().flat_map(|one| to.iter().map(|other| (*one, *other)));
        self.cuts.extend(pairs);
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.loss = 0;
    }

    /// Breaks the connection from one machine to another: messages in flight are lost.
    pub fn break_connection(&mut self, now: Micros, from: usize, to: usize) {
        let link = self.links.entry((from, to)).or_default();
        link.broken += 1;
        link.down_until = now + RECONNECT_DELAY;
    }

    /// Breaks all connections to and from a machine.
    pub fn break_all(&mut self, now: Micros, machine: usize) {
        for ((from, to), link) in &mut self.links {
            if *from == machine || *to == machine {
                link.broken += 1;
                link.down_until = now;
            }
        }
    }

    pub fn send(
        &mut self,
        now: Micros,
        between: (usize, usize),
        near: bool,
        random: &mut Random,
    ) -> Option<Delivery> {
        let lost = random.percent(self.loss);
        let link = self.links.entry(between).or_default();
        if lost || now < link.down_until || self.cuts.contains(&between) {
            return None;
        }
        let delay = if near { random.between(100, 500) } else { random.between(500, 3 * MS) };
        link.last_arrival = link.last_arrival.max(now + delay);
        Some(Delivery { at: link.last_arrival, connection: link.broken })
    }

    /// True if messages that were sent on this connection still arrive.
    pub fn arrives(&self, between: (usize, usize), connection: u64) -> bool {
        let broken = self.links.get(&between).map_or(0, |link| link.broken);
        broken == connection && !self.cuts.contains(&between)
    }
}
