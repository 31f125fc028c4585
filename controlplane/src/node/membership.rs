//! Sessions, members, the bootstrap, and the latest view that the node knows.

use std::net::SocketAddrV4;

use gradepaddle_control::{Input as ReplicaInput, KnownView, View};
use gradepaddle_gossip::{Output as GossipOutput, Peer};
use gradepaddle_proto::{Content, SessionHeartbeat, SessionHeartbeatReply, ViewSummary};

use super::{Event, MemberNode, Node, Output};
use crate::Micros;
use crate::session_table;

/// A node counts as connected if its session was granted or renewed within this time.
const CONNECTED_FOR: Micros = 2_500_000;

/// Interval at which the view is sent to one of the seeds, in turn.
const SEED_INTERVAL: Micros = 1_000_000;

/// Interval at which items are compared with one of the control balancers and seeds that have no session, in turn.
const ABSENT_INTERVAL: Micros = 1_000_000;

/// What a node knows of the other members.
pub(super) struct Membership {
    /// The other members, sorted.
    pub(super) peers: Vec<SocketAddrV4>,
    rank: usize,
    connected: bool,
    /// Selects the next seed that is sent the view.
    next_seed: usize,
    next_seed_at: Micros,
    /// Selects the next node without a session with which items are compared.
    next_absent: usize,
    next_absent_at: Micros,
}

impl Membership {
    /// The membership while no other member is known.
    pub(super) fn new(now: Micros) -> Self {
        Membership {
            peers: Vec::new(),
            rank: usize::MAX,
            connected: false,
            next_seed: 0,
            next_seed_at: now,
            next_absent: 0,
            next_absent_at: now,
        }
    }
}

impl Node {
    /// Handles another node's heartbeat: grants its session, if this is a control balancer.
    pub(super) fn handle_session_heartbeat(
        &mut self,
        now: Micros,
        from: SocketAddrV4,
        heartbeat: &SessionHeartbeat,
        out: &mut Vec<Output>,
    ) {
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.handle_heartbeat(now, &heartbeat.identity);
        }
        let view = self.view_summary();
        let mut reply = SessionHeartbeatReply {
            incarnation: heartbeat.identity.incarnation,
            granted: false,
            seen_incarnation: 0,
            view: (view.epoch > 0).then_some(view),
        };
        if self.is_control_balancer() {
            match self.session_table.heartbeat(now, heartbeat, &self.gossip) {
                Ok(item) => {
                    reply.granted = true;
                    let mut results: Vec<GossipOutput> = Vec::new();
                    if let Some(item) = item {
                        self.gossip.publish(now, item, &mut results);
                    }
                    self.handle_gossip_outputs(now, results, out);
                }
                Err(stale) => reply.seen_incarnation = stale.newest,
            }
        }
        out.push(Output::Send { to: from, content: Content::SessionHeartbeatReply(reply) });
    }

    /// True if this node's replica is a member of the view.
    fn is_control_balancer(&self) -> bool {
        let view = self.replica_view();
        view.is_some_and(|known| known.view.members.iter().any(|member| member.address == self.own))
    }

    fn replica_view(&self) -> Option<KnownView> {
        self.replica.as_ref().and_then(|replica| replica.status().view)
    }

    /// The latest view that this node knows, from its replica or from others.
    pub(super) fn view_summary(&self) -> ViewSummary {
        let known = self.session.view();
        match self.replica_view() {
            Some(own) if own.view.epoch >= known.epoch => summarize(&own.view),
            _ => known.clone(),
        }
    }

    pub(super) fn tick_session(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.session.next_wake() > now {
            return;
        }
        let view = self.view_summary();
        self.session.learn_view(&view);
        let mut heartbeats = Vec::new();
        self.session.tick(now, &mut heartbeats);
        for sent in heartbeats {
            out.push(Output::Send { to: sent.to, content: Content::SessionHeartbeat(sent.heartbeat) });
        }
        if let Some(bootstrap) = &mut self.bootstrap {
            bootstrap.handle_heartbeat(now, self.session.identity());
        }
    }

    /// Sends the view to a seed. A node that has just started can learn the view only from its seeds, and these may have
    /// no disk and may have just restarted themselves.
    fn send_view_to_seed(&mut self, now: Micros, out: &mut Vec<Output>) {
        let view = self.view_summary();
        if now < self.membership.next_seed_at || view.epoch == 0 {
            return;
        }
        self.membership.next_seed_at = now + SEED_INTERVAL;
        let seeds = self.session.seeds().iter().filter(|seed| **seed != self.own);
        let seeds: Vec<SocketAddrV4> = seeds.copied().collect();
        if seeds.is_empty() {
            return;
        }
        let to = seeds[self.membership.next_seed % seeds.len()];
        self.membership.next_seed += 1;
        let reply =
            SessionHeartbeatReply { incarnation: 0, granted: false, seen_incarnation: 0, view: Some(view) };
        out.push(Output::Send { to, content: Content::SessionHeartbeatReply(reply) });
    }

    /// Compares items with a control balancer or seed that has no session. After a long network partition each side knows
    /// only the sessions of its own nodes and gossips only with these, so without this the two sides would never exchange
    /// items again.
    fn compare_with_absent_node(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now < self.membership.next_absent_at {
            return;
        }
        self.membership.next_absent_at = now + ABSENT_INTERVAL;
        let known = self.session.view().members.iter().chain(self.session.seeds());
        let is_absent =
            |node: &&SocketAddrV4| **node != self.own && self.membership.peers.binary_search(node).is_err();
        let mut absent: Vec<SocketAddrV4> = known.filter(is_absent).copied().collect();
        absent.sort();
        absent.dedup();
        if absent.is_empty() {
            return;
        }
        let node = absent[self.membership.next_absent % absent.len()];
        self.membership.next_absent += 1;
        let mut results: Vec<GossipOutput> = Vec::new();
        self.gossip.compare_with(node, &mut results);
        self.handle_gossip_outputs(now, results, out);
    }

    pub(super) fn tick_bootstrap(&mut self, now: Micros, out: &mut Vec<Output>) {
        let has_no_view = self.bootstrap.as_ref().is_some_and(|bootstrap| !bootstrap.has_view());
        if self.session.view().epoch > 0 && has_no_view {
            // There is a view already: this process has restarted while the fleet was running.
            self.bootstrap = None;
        }
        let Some(bootstrap) = &mut self.bootstrap else { return };
        let messages = bootstrap.tick(now);
        if let Some(first) = messages.first() {
            if has_no_view {
                out.push(Output::Event(Event::Bootstrapped { members: first.view.members.len() }));
            }
            // This node is a seed and may have no replica: it keeps the view, since other nodes ask it for one.
            self.session.learn_view(&summarize(&first.view));
        }
        for message in messages {
            if message.to == self.own {
                self.step_replica(now, ReplicaInput::Bootstrap { view: message.view }, out);
            } else {
                out.push(Output::Send { to: message.to, content: Content::Bootstrap(message.view) });
            }
        }
    }

    /// Expires sessions, updates the peers, and reports whether this node is connected.
    pub(super) fn tick_membership(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.is_control_balancer() {
            let tombstones = self.session_table.tick(now, &self.gossip);
            let mut results = Vec::new();
            for tombstone in tombstones {
                self.gossip.publish(now, tombstone, &mut results);
            }
            self.handle_gossip_outputs(now, results, out);
        } else {
            self.session_table.clear();
        }
        self.send_view_to_seed(now, out);
        self.update_peers(now, out);
        self.compare_with_absent_node(now, out);
        let granted = self.session.last_granted();
        // A primary counts as connected by its lease: there may be no other control balancer to grant it a session.
        let connected = granted.is_some_and(|at| now.saturating_sub(at) < CONNECTED_FOR)
            || self.is_primary_within_lease(now);
        if connected != self.membership.connected {
            self.membership.connected = connected;
            out.push(Output::Connected(connected));
        }
    }

    pub(super) fn is_primary_within_lease(&self, now: Micros) -> bool {
        self.replica.as_ref().is_some_and(|replica| replica.leading(now).is_some())
    }

    fn update_peers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let own_zone = self.session.identity().zone.clone();
        let mut nodes: Vec<MemberNode> = session_table::live_sessions(&self.gossip)
            .map(|(_, session)| session.identity)
            .filter(|identity| identity.address != self.own)
            .map(|identity| MemberNode { address: identity.address, zone: identity.zone })
            .collect();
        nodes.sort_by_key(|node| node.address);
        let is_in_same_zone = |node: &MemberNode| node.zone == own_zone;
        let mut peers: Vec<Peer> = nodes
            .iter()
            .map(|node| Peer { address: node.address, same_zone: is_in_same_zone(node) })
            .collect();
        let members: Vec<SocketAddrV4> = nodes.iter().map(|node| node.address).collect();
        // Until a session is known, this node gossips with the members of the view and the seeds.
        if peers.is_empty() {
            let known = self.session.view().members.iter().chain(self.session.seeds());
            let others = known.filter(|address| **address != self.own);
            peers = others.map(|address| Peer { address: *address, same_zone: false }).collect();
        }
        peers.sort_by_key(|peer| peer.address);
        peers.dedup_by_key(|peer| peer.address);
        self.gossip.set_peers(now, &peers);
        if members != self.membership.peers {
            self.membership.peers.clone_from(&members);
            out.push(Output::PeersChanged(nodes));
        }
        let rank = self.rank_among(&peers);
        if rank != self.membership.rank {
            self.membership.rank = rank;
            out.push(Output::RankChanged(rank));
        }
        let mut addresses: Vec<SocketAddrV4> = self.session.view().members.clone();
        addresses.extend(self.session.seeds());
        addresses.retain(|address| *address != self.own);
        self.step_replica(now, ReplicaInput::Peers(addresses), out);
    }

    /// This node's position in the order of all nodes by a hash of their addresses.
    fn rank_among(&self, peers: &[Peer]) -> usize {
        let hash = |address: SocketAddrV4| crate::mix(u64::from(u32::from(*address.ip())));
        let own = hash(self.own);
        peers.iter().filter(|peer| hash(peer.address) < own).count()
    }
}

/// The part of a view that is sent to all nodes.
fn summarize(view: &View) -> ViewSummary {
    ViewSummary {
        epoch: view.epoch,
        primary: view.member(view.primary).map(|member| member.address),
        members: view.members.iter().map(|member| member.address).collect(),
    }
}
