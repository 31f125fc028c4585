//! The control plane of one node as one state machine: inputs with a time in, what to send, write and answer out.

mod control;
mod freshness;
mod members;
mod messages;
mod serving;
mod status;

pub use messages::{Event, Input, KeysShown, MemberNode, Output};
pub use status::Status;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_control::{Input as ReplicaInput, Output as ReplicaOutput, Replica};
use gradepaddle_gossip::{Gossip, Output as GossipOutput};
use gradepaddle_proto::{Content, Envelope, Identity, Registration};

use crate::Micros;
use crate::absence::Absence;
use crate::founding::Founding;
use crate::freshness::Freshness;
use crate::naming::VersionTimes;
use crate::registry::Registry;
use crate::rollout::Rollout;
use crate::session::OwnSession;
use crate::sessions::HeldSessions;

/// Housekeeping of sessions, servers and duties.
const TICK_EVERY: Micros = 100_000;
/// Housekeeping that nobody waits for.
const SLOW_TICK_EVERY: Micros = 500_000;
/// A call that the primary has not answered within this is answered by "nothing can be said". Callers go on to another
/// node after a second of silence, and sooner after such an answer.
const CALL_WITHIN: Micros = 750_000;
/// So much longer for each byte of its body, which has to reach the primary and its backups first.
const CALL_WITHIN_PER_BYTE: Micros = 1;

/// What a node is told at its start.
pub struct NodeSetup {
    /// The part of the session.
    pub session: OwnSession,
    /// Dissemination.
    pub spread: Gossip,
    /// The founder's part, if this node has it.
    pub founding: Option<Founding>,
    /// Between heartbeats of a server.
    pub beat_every: Micros,
    /// For how long two holders must not take turns.
    pub order_lease: Micros,
    /// Within which named weights have to be in use.
    pub version_times: VersionTimes,
    /// Within which keys that are taken away have to stop working at every node, if they have to.
    pub revoke_within: Option<Micros>,
    /// How many machines may be lost at once.
    pub machine_losses: usize,
    /// The time.
    pub now: Micros,
}

/// Who waits for the answer to a call that the primary decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asker {
    /// A caller at this node.
    Own(u64),
    /// Another node, with its own name for the call.
    Node(SocketAddrV4, u64),
}

struct Waiting {
    asker: Asker,
    /// Who decides it: this node or the primary that it was passed on to.
    decider: SocketAddrV4,
    since: Micros,
    until: Micros,
}

/// What a confirmed publication stands for.
enum Confirming {
    Drain(Arc<str>),
    Leave(Arc<str>),
}

/// The control plane of one node.
pub struct Node {
    own: SocketAddrV4,
    session: OwnSession,
    held: HeldSessions,
    replica: Option<Replica>,
    spread: Gossip,
    founding: Option<Founding>,
    registry: Registry,
    rollout: Rollout,
    owners: Absence,
    /// Servers that this node calls lost since their owner is missing.
    ownerless: BTreeSet<Arc<str>>,
    /// Calls that wait for the primary, by this node's names for them.
    waiting: BTreeMap<u64, Waiting>,
    confirming: HashMap<u64, Confirming>,
    next_ticket: u64,
    /// The other members, sorted.
    peers: Vec<SocketAddrV4>,
    rank: usize,
    in_touch: bool,
    leading: bool,
    version_times: VersionTimes,
    machine_losses: usize,
    /// The process is about to end.
    leaving: bool,
    freshness: Freshness,
    /// What the data plane was told of its keys.
    keys_shown: Option<KeysShown>,
    /// The next node that is asked for evidence besides the usual one.
    next_witness: usize,
    named: BTreeMap<String, u64>,
    /// The servers that are there, as registered.
    servers: BTreeMap<Arc<str>, Registration>,
    /// Since when servers have been lost.
    lost: HashMap<Arc<str>, Micros>,
    due: Micros,
    slow_due: Micros,
    /// The next seed that is told of the view.
    next_seed: usize,
    seed_due: Micros,
    /// The next node without a session that items are compared with.
    next_absent: usize,
    absent_due: Micros,
}

impl Node {
    /// A node that knows nobody yet.
    pub fn new(setup: NodeSetup) -> Self {
        let own = setup.session.identity().address;
        let first_ticket = first_ticket(setup.session.identity());
        Node {
            own,
            held: HeldSessions::new(own),
            registry: Registry::new(own, setup.beat_every),
            rollout: Rollout::new(setup.order_lease),
            owners: Absence::default(),
            ownerless: BTreeSet::new(),
            waiting: BTreeMap::new(),
            confirming: HashMap::new(),
            next_ticket: first_ticket,
            peers: Vec::new(),
            rank: usize::MAX,
            in_touch: false,
            leading: false,
            version_times: setup.version_times,
            machine_losses: setup.machine_losses,
            leaving: false,
            freshness: Freshness::new(setup.revoke_within, setup.now),
            keys_shown: None,
            next_witness: 0,
            named: BTreeMap::new(),
            servers: BTreeMap::new(),
            lost: HashMap::new(),
            due: setup.now,
            slow_due: setup.now,
            next_seed: 0,
            seed_due: setup.now,
            next_absent: 0,
            absent_due: setup.now,
            session: setup.session,
            replica: None,
            spread: setup.spread,
            founding: setup.founding,
        }
    }

    /// Takes in what has happened.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Envelope(Envelope { from, content }) => self.receive(now, from, content, out),
            Input::Call { ticket, call } => self.call(now, ticket, call, out),
            Input::Persisted(token) => {
                self.tell_replica(now, ReplicaInput::WriteCompleted { write_id: token }, out)
            }
            Input::PersistFailed(token) => {
                self.tell_replica(now, ReplicaInput::WriteFailed { write_id: token }, out)
            }
            Input::OrderAnswered { order, answer } => {
                let steps = self.rollout.answered(now, &order, answer);
                out.push(Output::Event(Event::OrderAnswered { order, answer }));
                self.take_steps(now, steps, out);
            }
            Input::Reported { server, model, version } => {
                let steps = self.rollout.reported(&server, &model, version);
                self.take_steps(now, steps, out);
            }
            Input::Replica(replica) => {
                self.session.set_replica(Some(replica.id().0));
                self.replica = Some(*replica);
            }
            Input::Store { name, alive } => self.store_changed(now, &name, alive, out),
            Input::Seeds(seeds) => self.session.set_seeds(seeds),
            Input::Leaving => self.leave(now, out),
        }
        self.tick(now, out);
    }

    fn leave(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.leaving = true;
        self.spread.shut_down();
        match self.replica {
            Some(_) => self.tell_replica(now, ReplicaInput::ShutDown, out),
            None => out.push(Output::MayEnd),
        }
    }

    fn receive(&mut self, now: Micros, from: SocketAddrV4, content: Content, out: &mut Vec<Output>) {
        match content {
            Content::Control(message) => {
                self.tell_replica(now, ReplicaInput::Message { from, message }, out);
            }
            Content::Gossip(message) => {
                let mut results = Vec::new();
                self.spread.receive(now, from, message, &mut results);
                self.on_spread_outputs(now, results, out);
            }
            Content::SessionHeartbeat(beat) => self.session_beat(now, from, &beat, out),
            Content::SessionHeartbeatReply(grant) => {
                self.session.receive(now, from, &grant);
            }
            Content::Bootstrap(view) => self.tell_replica(now, ReplicaInput::Bootstrap { view }, out),
            Content::ForwardedCall(forward) => self.forwarded_call(now, from, forward, out),
            Content::ForwardedReply(answer) => self.forwarded_answer(now, from, &answer, out),
            Content::VersionQuery(ask) => self.newest_asked(now, from, ask, out),
            Content::VersionReply(told) => self.newest_told(told),
        }
    }

    /// Does what is due.
    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.replica.as_ref().is_some_and(|replica| replica.next_wake() <= now) {
            self.tell_replica(now, ReplicaInput::Tick, out);
        }
        if self.spread.next_wake() <= now {
            let mut results = Vec::new();
            self.spread.tick(now, &mut results);
            self.on_spread_outputs(now, results, out);
        }
        self.tick_session(now, out);
        self.tick_founding(now, out);
        self.tick_freshness(now, out);
        if now >= self.due {
            self.due = now + TICK_EVERY;
            self.tick_members(now, out);
            self.tick_servers(now, out);
            self.tick_duties(now, out);
            self.tick_calls(now, out);
        }
        if now >= self.slow_due {
            self.slow_due = now + SLOW_TICK_EVERY;
            self.ownerless(now, out);
            self.remove_lost(now, out);
        }
    }

    /// When [`Node::handle`] has something to do by itself.
    pub fn next_wake(&self) -> Micros {
        let founding = self.founding.as_ref().map_or(Micros::MAX, Founding::next_wake);
        let replica = self.replica.as_ref().map_or(Micros::MAX, Replica::next_wake);
        let session = self.session.next_wake();
        let due = [founding, replica, session, self.spread.next_wake(), self.freshness.next_wake(), self.due];
        due.into_iter().min().unwrap_or(self.due)
    }

    /// Hands something to the replica and carries out what comes of it.
    fn tell_replica(&mut self, now: Micros, input: ReplicaInput, out: &mut Vec<Output>) {
        let Some(replica) = &mut self.replica else { return };
        let mut results = Vec::new();
        replica.handle(now, input, &mut results);
        for result in results {
            self.on_replica_output(now, result, out);
        }
    }

    fn on_replica_output(&mut self, now: Micros, result: ReplicaOutput, out: &mut Vec<Output>) {
        match result {
            ReplicaOutput::Send { to, message } => {
                out.push(Output::Send { to, content: Content::Control(message) });
            }
            ReplicaOutput::Persist { write_id: token, records } => {
                out.push(Output::Persist { token, records })
            }
            ReplicaOutput::Answer { proposal_id, outcome } => self.decided(now, proposal_id.0, outcome, out),
            ReplicaOutput::Committed { state } => self.committed(now, &state, out),
            ReplicaOutput::BecamePrimary { epoch } => {
                self.leading = true;
                self.rollout.lead(now, epoch);
                self.postpone_weights(now, epoch, out);
                self.release_marks(now, epoch, out);
                out.push(Output::Event(Event::Leading { epoch }));
            }
            ReplicaOutput::SteppedDown => {
                self.leading = false;
                self.rollout.stop();
                out.push(Output::Event(Event::NotLeading));
            }
            ReplicaOutput::ReadyToExit => out.push(Output::MayEnd),
        }
    }

    fn on_spread_outputs(&mut self, now: Micros, results: Vec<GossipOutput>, out: &mut Vec<Output>) {
        for result in results {
            match result {
                GossipOutput::Send { to, message } => {
                    out.push(Output::Send { to, content: Content::Gossip(message) });
                }
                GossipOutput::Changed(item) => self.changed(now, &item, out),
                GossipOutput::Acknowledged { publish_id } => self.confirmed(publish_id, true, out),
                GossipOutput::AcknowledgmentFailed { publish_id } => self.confirmed(publish_id, false, out),
            }
        }
    }

    fn ticket(&mut self) -> u64 {
        self.next_ticket = self.next_ticket.wrapping_add(1);
        self.next_ticket
    }
}

/// Where the tickets of a process begin: far from those of any other process at this address, so that an answer to a
/// call of an earlier one names no call of this one.
fn first_ticket(identity: &Identity) -> u64 {
    crate::mix(crate::mix(identity.incarnation) ^ u64::from(u32::from(*identity.address.ip())))
}
