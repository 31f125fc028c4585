//! The peers of a node and the selection of peers for pushes and comparisons.

use std::net::SocketAddrV4;

use fastrand::Rng;

/// One in this many comparisons is with a peer of another zone.
const CROSS_ZONE_PARTNER_ONE_IN: u32 = 4;

/// Another node of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// The address at which it receives messages.
    pub address: SocketAddrV4,
    /// Whether it is in the same zone as this node.
    pub same_zone: bool,
}

/// The peers in the order of their addresses, which form a ring.
#[derive(Debug)]
pub(crate) struct Peers {
    own_address: SocketAddrV4,
    sorted: Vec<Peer>,
}

impl Peers {
    pub(crate) fn new(own_address: SocketAddrV4) -> Self {
        Self { own_address, sorted: Vec::new() }
    }

    /// Replaces the list of peers and returns the new ones.
    pub(crate) fn replace(&mut self, peers: &[Peer]) -> Vec<SocketAddrV4> {
        let mut sorted: Vec<Peer> =
            peers.iter().filter(|peer| peer.address != self.own_address).copied().collect();
        sorted.sort_by_key(|peer| peer.address);
        sorted.dedup_by_key(|peer| peer.address);
        let added =
            sorted.iter().map(|peer| peer.address).filter(|address| !self.contains(*address)).collect();
        self.sorted = sorted;
        added
    }

    pub(crate) fn len(&self) -> usize {
        self.sorted.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.sorted.iter().map(|peer| peer.address)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }

    pub(crate) fn contains(&self, address: SocketAddrV4) -> bool {
        self.sorted.binary_search_by_key(&address, |peer| peer.address).is_ok()
    }

    /// The next peer on the ring that is not excluded.
    fn successor(&self, excluded: &[SocketAddrV4]) -> Option<SocketAddrV4> {
        let start = self.sorted.partition_point(|peer| peer.address < self.own_address);
        let around = self.sorted[start..].iter().chain(&self.sorted[..start]);
        around.map(|peer| peer.address).find(|address| !excluded.contains(address))
    }

    /// Up to `count` random peers that are not excluded.
    pub(crate) fn random(&self, rng: &mut Rng, count: usize, excluded: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        let candidates =
            self.sorted.iter().map(|peer| peer.address).filter(|address| !excluded.contains(address));
        rng.choose_multiple(candidates, count)
    }

    /// Selects the peers to push new items to: the next one on the ring and random others, `fanout` in total; all peers if
    /// there are at most `fanout + 1`.
    pub(crate) fn targets(
        &self,
        rng: &mut Rng,
        fanout: usize,
        excluded: &[SocketAddrV4],
    ) -> Vec<SocketAddrV4> {
        if self.len() <= fanout + 1 {
            return self.random(rng, self.len(), excluded);
        }
        let Some(successor) = self.successor(excluded) else { return Vec::new() };
        let mut excluded = excluded.to_vec();
        excluded.push(successor);
        let mut targets = self.random(rng, fanout.saturating_sub(1), &excluded);
        targets.push(successor);
        targets
    }

    /// Selects a peer to compare with, usually from the same zone and sometimes from another.
    pub(crate) fn partner(&self, rng: &mut Rng) -> Option<SocketAddrV4> {
        let same_zone = rng.u32(0..CROSS_ZONE_PARTNER_ONE_IN) != 0;
        let preferred: Vec<&Peer> = self.sorted.iter().filter(|peer| peer.same_zone == same_zone).collect();
        let chosen = rng.choice(preferred).or_else(|| rng.choice(&self.sorted));
        chosen.map(|peer| peer.address)
    }
}
