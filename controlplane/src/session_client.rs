//! The client side of a node's session with a control balancer: a node is a member as long as it has a session. No I/O.

use std::net::SocketAddrV4;

use gradepaddle_proto::{Identity, SessionHeartbeat, SessionHeartbeatReply, ViewSummary};

use crate::Micros;

/// Interval between heartbeats of a session.
pub const HEARTBEAT_INTERVAL: Micros = 400_000;
/// Interval at which seeds and members of the view are sent heartbeats while no control balancer is chosen.
const DISCOVERY_INTERVAL: Micros = 200_000;
/// After this long without a reply from its control balancer, the node moves on to the next one.
const CONTROL_TIMEOUT: Micros = 1_000_000;

/// The session of this node.
pub struct SessionClient {
    identity: Identity,
    seeds: Vec<SocketAddrV4>,
    view: ViewSummary,
    control: Option<SocketAddrV4>,
    /// When the control balancer last replied, or was chosen.
    last_reply: Micros,
    /// When any control balancer last granted the session.
    last_granted: Option<Micros>,
    /// How often the node has moved on after a timeout or a discovery round: selects the next candidate.
    failovers: usize,
    next_due: Micros,
}

/// A heartbeat to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingHeartbeat {
    /// The receiver.
    pub to: SocketAddrV4,
    /// The heartbeat.
    pub heartbeat: SessionHeartbeat,
}

impl SessionClient {
    /// The session of a node that knows only its seeds.
    pub fn new(identity: Identity, seeds: Vec<SocketAddrV4>, now: Micros) -> Self {
        SessionClient {
            identity,
            seeds,
            view: ViewSummary::default(),
            control: None,
            last_reply: now,
            last_granted: None,
            failovers: 0,
            next_due: now,
        }
    }

    /// The identity of this node.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Sets the id of this node's replica.
    pub fn set_replica(&mut self, replica: Option<u64>) {
        self.identity.replica = replica;
    }

    /// The latest known view.
    pub fn view(&self) -> &ViewSummary {
        &self.view
    }

    /// The control balancer with which this node has, or requests, its session.
    pub fn control_balancer(&self) -> Option<SocketAddrV4> {
        self.control
    }

    /// When a control balancer last granted the session.
    pub fn last_granted(&self) -> Option<Micros> {
        self.last_granted
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// The seeds.
    pub fn seeds(&self) -> &[SocketAddrV4] {
        &self.seeds
    }

    /// Takes over a view, unless it is older than the known one.
    pub fn learn_view(&mut self, view: &ViewSummary) {
        let newer = view.epoch > self.view.epoch;
        let names_primary = view.epoch == self.view.epoch && self.view.primary.is_none();
        if newer || names_primary {
            self.view = view.clone();
        }
    }

    /// Appends the heartbeats that are due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<OutgoingHeartbeat>) {
        if now < self.next_due {
            return;
        }
        self.choose_control(now);
        match self.control {
            Some(control) => {
                out.push(self.heartbeat(control));
                self.next_due = now + HEARTBEAT_INTERVAL;
            }
            None => {
                let own = self.identity.address;
                let known = self.seeds.iter().chain(&self.view.members).filter(|node| **node != own);
                let mut contacts: Vec<SocketAddrV4> = known.copied().collect();
                contacts.sort();
                contacts.dedup();
                out.extend(contacts.into_iter().map(|node| self.heartbeat(node)));
                self.next_due = now + DISCOVERY_INTERVAL;
            }
        }
    }

    /// When [`SessionClient::tick`] has to be called next.
    pub fn next_wake(&self) -> Micros {
        self.next_due
    }

    fn heartbeat(&self, to: SocketAddrV4) -> OutgoingHeartbeat {
        let heartbeat = SessionHeartbeat { identity: self.identity.clone(), view_epoch: self.view.epoch };
        OutgoingHeartbeat { to, heartbeat }
    }

    /// Keeps a control balancer that replies and is in the view; otherwise moves on to the next candidate.
    fn choose_control(&mut self, now: Micros) {
        let timed_out = now.saturating_sub(self.last_reply) > CONTROL_TIMEOUT;
        let is_member = self.control.is_some_and(|control| self.view.members.contains(&control));
        if is_member && !timed_out {
            return;
        }
        if timed_out && self.control.is_some() {
            self.failovers += 1;
        }
        let candidates = self.candidates();
        // After each round over all candidates the seeds are asked: the known view may be outdated.
        let round_length = candidates.len() + 1;
        let asks_seeds = candidates.is_empty() || self.failovers % round_length == candidates.len();
        self.control = (!asks_seeds).then(|| candidates[self.failovers % round_length]);
        self.last_reply = now;
        if self.control.is_none() {
            self.failovers += 1;
        }
    }

    /// The other members of the view. The order differs from node to node, so that sessions spread over the members.
    fn candidates(&self) -> Vec<SocketAddrV4> {
        let own = self.identity.address;
        let mut members: Vec<SocketAddrV4> = self.view.members.clone();
        members.retain(|member| *member != own);
        members.sort_by_key(|member| preference(own, *member));
        members
    }

    /// Handles the reply to a heartbeat. Returns true if it grants the session.
    pub fn handle_reply(&mut self, now: Micros, from: SocketAddrV4, reply: &SessionHeartbeatReply) -> bool {
        if let Some(view) = &reply.view {
            self.learn_view(view);
        }
        // A process at this address has used a higher incarnation, for instance because the time of day was set back
        // since.
        if reply.seen_incarnation > self.identity.incarnation {
            self.identity.incarnation = reply.seen_incarnation + 1;
            self.next_due = now;
        }
        if self.control.is_none() && !self.view.members.is_empty() {
            self.next_due = now;
        }
        if reply.incarnation != self.identity.incarnation || !reply.granted {
            return false;
        }
        if self.control == Some(from) {
            self.last_reply = now;
        }
        self.last_granted = Some(now);
        true
    }
}

/// Orders control balancers differently from node to node (rendezvous hashing).
fn preference(own: SocketAddrV4, member: SocketAddrV4) -> u64 {
    let number =
        |address: SocketAddrV4| u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port());
    crate::mix(number(own) ^ crate::mix(number(member)))
}
