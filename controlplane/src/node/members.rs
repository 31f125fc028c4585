//! Sessions, members, the founding, and what the node knows of the view.

use std::net::SocketAddrV4;

use gradepaddle_control::{Input as ReplicaInput, KnownView, View};
use gradepaddle_gossip::{Output as GossipOutput, Peer};
use gradepaddle_proto::{Content, SessionHeartbeat, SessionHeartbeatReply, ViewSummary};

use super::{Event, MemberNode, Node, Output};
use crate::Micros;
use crate::sessions;

/// A node whose session was granted within this is in touch with control.
const IN_TOUCH_FOR: Micros = 2_500_000;

/// A seed is told of the view this often, one after the other.
const SEED_EVERY: Micros = 1_000_000;

/// Items are compared with a control balancer or seed without a session this often, one after the other.
const ABSENT_EVERY: Micros = 1_000_000;

impl Node {
    /// Takes in another node's heartbeat: holds its session, if this is a control balancer.
    pub(super) fn session_beat(
        &mut self,
        now: Micros,
        from: SocketAddrV4,
        beat: &SessionHeartbeat,
        out: &mut Vec<Output>,
    ) {
        if let Some(founding) = &mut self.founding {
            founding.hello(now, &beat.identity);
        }
        let view = self.view_summary();
        let mut grant = SessionHeartbeatReply {
            incarnation: beat.identity.incarnation,
            granted: false,
            seen_incarnation: 0,
            view: (view.epoch > 0).then_some(view),
        };
        if self.is_control() {
            match self.held.beat(now, beat, &self.spread) {
                Ok(item) => {
                    grant.granted = true;
                    let mut results: Vec<GossipOutput> = Vec::new();
                    if let Some(item) = item {
                        self.spread.publish(now, item, &mut results);
                    }
                    self.on_spread_outputs(now, results, out);
                }
                Err(seen) => grant.seen_incarnation = seen,
            }
        }
        out.push(Output::Send { to: from, content: Content::SessionHeartbeatReply(grant) });
    }

    /// True if this node keeps a replica that is a member of the view.
    fn is_control(&self) -> bool {
        self.replica_view().is_some_and(|known| known.view.members.iter().any(|one| one.address == self.own))
    }

    fn replica_view(&self) -> Option<KnownView> {
        self.replica.as_ref().and_then(|replica| replica.status().view)
    }

    /// The latest view that this node knows, from its replica or from others.
    pub(super) fn view_summary(&self) -> ViewSummary {
        let known = self.session.view();
        match self.replica_view() {
            Some(own) if own.view.epoch >= known.epoch => summary(&own.view),
            _ => known.clone(),
        }
    }

    pub(super) fn tick_session(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.session.next_wake() > now {
            return;
        }
        let view = self.view_summary();
        self.session.learn(&view);
        let mut beats = Vec::new();
        self.session.tick(now, &mut beats);
        for beat in beats {
            out.push(Output::Send { to: beat.to, content: Content::SessionHeartbeat(beat.beat) });
        }
        if let Some(founding) = &mut self.founding {
            founding.hello(now, self.session.identity());
        }
    }

    /// Tells a seed of the view: a node that has just started knows nobody but seeds, which may have no disk and may
    /// have started anew themselves.
    fn tell_a_seed(&mut self, now: Micros, out: &mut Vec<Output>) {
        let view = self.view_summary();
        if now < self.seed_due || view.epoch == 0 {
            return;
        }
        self.seed_due = now + SEED_EVERY;
        let seeds = self.session.seeds().iter().filter(|seed| **seed != self.own);
        let seeds: Vec<SocketAddrV4> = seeds.copied().collect();
        if seeds.is_empty() {
            return;
        }
        let to = seeds[self.next_seed % seeds.len()];
        self.next_seed += 1;
        let grant =
            SessionHeartbeatReply { incarnation: 0, granted: false, seen_incarnation: 0, view: Some(view) };
        out.push(Output::Send { to, content: Content::SessionHeartbeatReply(grant) });
    }

    /// Compares items with a control balancer or seed that has no session. After a long cut either side has sessions of
    /// its own nodes alone and passes items on to these alone; somebody has to ask across.
    fn compare_with_an_absent_node(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now < self.absent_due {
            return;
        }
        self.absent_due = now + ABSENT_EVERY;
        let known = self.session.view().members.iter().chain(self.session.seeds());
        let is_absent = |node: &&SocketAddrV4| **node != self.own && self.peers.binary_search(node).is_err();
        let mut absent: Vec<SocketAddrV4> = known.filter(is_absent).copied().collect();
        absent.sort();
        absent.dedup();
        if absent.is_empty() {
            return;
        }
        let node = absent[self.next_absent % absent.len()];
        self.next_absent += 1;
        let mut results: Vec<GossipOutput> = Vec::new();
        self.spread.compare_with(node, &mut results);
        self.on_spread_outputs(now, results, out);
    }

    pub(super) fn tick_founding(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.session.view().epoch > 0 && self.founding.as_ref().is_some_and(|one| !one.has_founded()) {
            // There is a view: this process has started anew beside a running fleet.
            self.founding = None;
        }
        let Some(founding) = &mut self.founding else { return };
        let (before, told) = (founding.has_founded(), founding.tick(now));
        if let Some(first) = told.first().filter(|_| !before) {
            out.push(Output::Event(Event::Founded { members: first.view.members.len() }));
        }
        if let Some(first) = told.first() {
            // The founder may have no replica itself, and is a seed: others ask it.
            self.session.learn(&summary(&first.view));
        }
        for found in told {
            if found.to == self.own {
                self.tell_replica(now, ReplicaInput::Bootstrap { view: found.view }, out);
            } else {
                out.push(Output::Send { to: found.to, content: Content::Bootstrap(found.view) });
            }
        }
    }

    /// Lapsed sessions, the list of peers, and whether this node is in touch.
    pub(super) fn tick_members(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.is_control() {
            let removed = self.held.tick(now, &self.spread);
            let mut results = Vec::new();
            for item in removed {
                self.spread.publish(now, item, &mut results);
            }
            self.on_spread_outputs(now, results, out);
        } else {
            self.held.clear();
        }
        self.tell_a_seed(now, out);
        self.update_peers(now, out);
        self.compare_with_an_absent_node(now, out);
        let in_touch = self.session.granted().is_some_and(|at| now.saturating_sub(at) < IN_TOUCH_FOR)
            || self.leads_alone(now);
        if in_touch != self.in_touch {
            self.in_touch = in_touch;
            out.push(Output::InTouch(in_touch));
        }
    }

    /// A primary without another control balancer to hold its session.
    fn leads_alone(&self, now: Micros) -> bool {
        self.replica.as_ref().is_some_and(|replica| replica.leading(now).is_some())
    }

    fn update_peers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let own_zone = self.session.identity().zone.clone();
        let mut nodes: Vec<MemberNode> = sessions::live(&self.spread)
            .map(|(_, session)| session.identity)
            .filter(|identity| identity.address != self.own)
            .map(|identity| MemberNode { address: identity.address, zone: identity.zone })
            .collect();
        nodes.sort_by_key(|node| node.address);
        let near = |node: &MemberNode| node.zone == own_zone;
        let mut peers: Vec<Peer> =
            nodes.iter().map(|node| Peer { address: node.address, near: near(node) }).collect();
        let members: Vec<SocketAddrV4> = nodes.iter().map(|node| node.address).collect();
        // Before any session is known, members and seeds are who can tell of them.
        if peers.is_empty() {
            let known = self.session.view().members.iter().chain(self.session.seeds());
            let others = known.filter(|address| **address != self.own);
            peers = others.map(|address| Peer { address: *address, near: false }).collect();
        }
        peers.sort_by_key(|peer| peer.address);
        peers.dedup_by_key(|peer| peer.address);
        self.spread.set_peers(now, &peers);
        if members != self.peers {
            self.peers.clone_from(&members);
            out.push(Output::Peers(nodes));
        }
        let rank = self.rank_among(&peers);
        if rank != self.rank {
            self.rank = rank;
            out.push(Output::Rank(rank));
        }
        let mut addresses: Vec<SocketAddrV4> = self.session.view().members.clone();
        addresses.extend(self.session.seeds());
        addresses.retain(|address| *address != self.own);
        self.tell_replica(now, ReplicaInput::Peers(addresses), out);
    }

    /// This node's place in an order of all nodes by a hash of their addresses.
    fn rank_among(&self, peers: &[Peer]) -> usize {
        let order = |address: SocketAddrV4| crate::mix(u64::from(u32::from(*address.ip())));
        let own = order(self.own);
        peers.iter().filter(|peer| order(peer.address) < own).count()
    }
}

/// What all nodes are told of a view.
fn summary(view: &View) -> ViewSummary {
    ViewSummary {
        epoch: view.epoch,
        primary: view.member(view.primary).map(|member| member.address),
        members: view.members.iter().map(|member| member.address).collect(),
    }
}
