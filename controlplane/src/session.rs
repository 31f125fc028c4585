//! A node's own session with a control balancer: a node is a member while it stands. No I/O.

use std::net::SocketAddrV4;

use gradepaddle_proto::{Identity, SessionHeartbeat, SessionHeartbeatReply, ViewSummary};

use crate::Micros;

/// Between heartbeats of a session.
pub const BEAT_EVERY: Micros = 400_000;
/// While no session stands, one is asked for this often.
const ASK_EVERY: Micros = 200_000;
/// A control balancer that has not answered for this long is left for the next.
const LEFT_AFTER: Micros = 1_000_000;

/// The session of this node.
pub struct OwnSession {
    identity: Identity,
    seeds: Vec<SocketAddrV4>,
    view: ViewSummary,
    control: Option<SocketAddrV4>,
    /// When the control balancer last answered, or was first asked.
    heard: Micros,
    /// When any control balancer last granted the session.
    granted: Option<Micros>,
    /// How many control balancers were left, which turns to the next.
    turns: usize,
    due: Micros,
}

/// A heartbeat to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Beat {
    /// To whom.
    pub to: SocketAddrV4,
    /// What.
    pub beat: SessionHeartbeat,
}

impl OwnSession {
    /// A node that knows only its seeds.
    pub fn new(identity: Identity, seeds: Vec<SocketAddrV4>, now: Micros) -> Self {
        OwnSession {
            identity,
            seeds,
            view: ViewSummary::default(),
            control: None,
            heard: now,
            granted: None,
            turns: 0,
            due: now,
        }
    }

    /// Who this node is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Sets the replica that this node keeps.
    pub fn set_replica(&mut self, replica: Option<u64>) {
        self.identity.replica = replica;
    }

    /// The latest view that is known.
    pub fn view(&self) -> &ViewSummary {
        &self.view
    }

    /// The control balancer that the session is held with, or asked of.
    pub fn control(&self) -> Option<SocketAddrV4> {
        self.control
    }

    /// When a control balancer last granted the session.
    pub fn granted(&self) -> Option<Micros> {
        self.granted
    }

    /// Other seeds from now on.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        self.seeds = seeds;
    }

    /// The seeds.
    pub fn seeds(&self) -> &[SocketAddrV4] {
        &self.seeds
    }

    /// Takes in a view; an older one changes nothing.
    pub fn learn(&mut self, view: &ViewSummary) {
        let newer = view.epoch > self.view.epoch;
        let names_primary = view.epoch == self.view.epoch && self.view.primary.is_none();
        if newer || names_primary {
            self.view = view.clone();
        }
    }

    /// The heartbeats that are due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Beat>) {
        if now < self.due {
            return;
        }
        self.choose_control(now);
        match self.control {
            Some(control) => {
                out.push(self.beat(control));
                self.due = now + BEAT_EVERY;
            }
            None => {
                let own = self.identity.address;
                let known = self.seeds.iter().chain(&self.view.members).filter(|seed| **seed != own);
                let mut asked: Vec<SocketAddrV4> = known.copied().collect();
                asked.sort();
                asked.dedup();
                out.extend(asked.into_iter().map(|seed| self.beat(seed)));
                self.due = now + ASK_EVERY;
            }
        }
    }

    /// When [`OwnSession::tick`] has something to do.
    pub fn next_wake(&self) -> Micros {
        self.due
    }

    fn beat(&self, to: SocketAddrV4) -> Beat {
        Beat { to, beat: SessionHeartbeat { identity: self.identity.clone(), view_epoch: self.view.epoch } }
    }

    /// Keeps to a control balancer that answers, and turns to the next one after silence.
    fn choose_control(&mut self, now: Micros) {
        let silent = now.saturating_sub(self.heard) > LEFT_AFTER;
        let stays = self.control.is_some_and(|control| self.view.members.contains(&control));
        if stays && !silent {
            return;
        }
        if silent && self.control.is_some() {
            self.turns += 1;
        }
        let candidates = self.candidates();
        // After a whole round of silence the seeds are asked as well: the view may be long out of date.
        let lap = candidates.len() + 1;
        self.control = match candidates.is_empty() || self.turns % lap == candidates.len() {
            true => None,
            false => Some(candidates[self.turns % lap]),
        };
        self.heard = now;
        if self.control.is_none() {
            self.turns += 1;
        }
    }

    /// The other members of the view, in this node's own order, so that sessions spread over them.
    fn candidates(&self) -> Vec<SocketAddrV4> {
        let own = self.identity.address;
        let mut members: Vec<SocketAddrV4> = self.view.members.clone();
        members.retain(|member| *member != own);
        members.sort_by_key(|member| order(own, *member));
        members
    }

    /// Takes in an answer to a heartbeat. True if it granted the session.
    pub fn receive(&mut self, now: Micros, from: SocketAddrV4, grant: &SessionHeartbeatReply) -> bool {
        if let Some(view) = &grant.view {
            self.learn(view);
        }
        if grant.seen_incarnation > self.identity.incarnation {
            self.identity.incarnation = grant.seen_incarnation + 1;
            self.due = now;
        }
        if self.control.is_none() && !self.view.members.is_empty() {
            self.due = now;
        }
        if grant.incarnation != self.identity.incarnation || !grant.granted {
            return false;
        }
        if self.control == Some(from) {
            self.heard = now;
        }
        self.granted = Some(now);
        true
    }
}

/// An order of control balancers that differs from node to node.
fn order(own: SocketAddrV4, member: SocketAddrV4) -> u64 {
    let mix = |address: SocketAddrV4| u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port());
    crate::mix(mix(own) ^ crate::mix(mix(member)))
}
