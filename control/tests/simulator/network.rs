//! Links that lose, delay, duplicate and reorder messages, and partitions in one direction or both.

use std::{collections::BTreeSet, net::SocketAddrV4};

use super::{MILLISECOND, random::Random};

#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeSet<(SocketAddrV4, SocketAddrV4)>,
    pub loss: u64,
    pub long_delay: u64,
    pub duplication: u64,
}

impl Network {
    pub fn cut(&mut self, from: SocketAddrV4, to: SocketAddrV4) {
        self.cuts.insert((from, to));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub fn reset_conditions(&mut self) {
        (self.loss, self.long_delay, self.duplication) = (0, 0, 0);
    }

    /// The delays after which copies of a message arrive.
    pub fn deliveries(&self, from: SocketAddrV4, to: SocketAddrV4, random: &mut Random) -> Vec<u64> {
        if self.cuts.contains(&(from, to)) || random.permille(self.loss) {
            return Vec::new();
        }
        let copies = if random.permille(self.duplication) { 2 } else { 1 };
        (0..copies).map(|_| self.delay(random)).collect()
    }

    fn delay(&self, random: &mut Random) -> u64 {
        if random.permille(self.long_delay) {
            random.between(5 * MILLISECOND, 2_500 * MILLISECOND)
        } else {
            random.between(200, 3 * MILLISECOND)
        }
    }
}
