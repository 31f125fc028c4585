//! The control plane of one node as one state machine: inputs with a time in, what to send, write and answer out.

mod control;
mod members;
mod serving;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_control::{Input as ReplicaInput, Output as ReplicaOutput, Record, Replica, Token};
use gradepaddle_engine::ServerEntry;
use gradepaddle_proto::{Content, Envelope, Identity, Registration};
use gradepaddle_spread::{Output as SpreadOutput, Spread};
use serde::Serialize;

use crate::Micros;
use crate::absence::Absence;
use crate::calls::{Answer, Call};
use crate::founding::Founding;
use crate::registry::Registry;
use crate::rollout::{Order, OrderAnswer, Ordered, Rollout};
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

/// What happens to a node.
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message of another node.
    Envelope(Envelope),
    /// A server or the operator calls.
    Call {
        /// Names the answer.
        ticket: u64,
        /// The call.
        call: Call,
    },
    /// A write is on disk.
    Persisted(Token),
    /// A write failed.
    PersistFailed(Token),
    /// A server answered an order.
    OrderAnswered {
        /// The order.
        order: Order,
        /// Its answer.
        answer: OrderAnswer,
    },
    /// A server reported the version of a model that it holds.
    Reported {
        /// The server.
        server: Arc<str>,
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
    },
    /// The disk is open: this node keeps a replica from now on.
    Replica(Box<Replica>),
    /// A store of kept parts answers, or does so no longer.
    Store {
        /// The store.
        name: Arc<str>,
        /// It answers.
        alive: bool,
    },
    /// The settings name other seeds.
    Seeds(Vec<SocketAddrV4>),
    /// The process is about to end.
    Leaving,
}

/// What a node is to do.
#[derive(Debug)]
pub enum Output {
    /// Send to another node.
    Send {
        /// To whom.
        to: SocketAddrV4,
        /// What.
        content: Content,
    },
    /// Write to disk.
    Persist {
        /// Names the end of the write.
        token: Token,
        /// What.
        records: Vec<Record>,
    },
    /// Answer a call.
    Answer {
        /// The call.
        ticket: u64,
        /// The answer.
        answer: Answer,
    },
    /// Put this configuration in force.
    Configure(Arc<[u8]>),
    /// A server is there, or has changed.
    Server(ServerEntry),
    /// A server is gone.
    ServerGone(Arc<str>),
    /// The other balancers.
    Peers(Vec<SocketAddrV4>),
    /// This node's place in an order of all nodes that all agree on, from 0.
    Rank(usize),
    /// Another node has told whether a store answers.
    Store {
        /// The store.
        name: Arc<str>,
        /// It answers.
        alive: bool,
    },
    /// Newer weights were named.
    WeightsNamed {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
        /// From when on nothing older may begin, counted from now.
        binds_in: Micros,
    },
    /// The time within which a version has to be in use begins anew.
    WeightsPostponed {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
        /// From when on nothing older may begin, counted from now.
        binds_in: Micros,
    },
    /// A server is about to load weights: nothing new goes there for this long.
    Hold {
        /// The server.
        server: Arc<str>,
        /// For how long; 0: no longer.
        span: Micros,
    },
    /// A server holds this version of a model.
    Holds {
        /// The server.
        server: Arc<str>,
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
    },
    /// Give an order to a server.
    Order(Order),
    /// Ask a server for its report.
    Ask {
        /// The server.
        server: Arc<str>,
        /// Where it is reached.
        address: SocketAddrV4,
    },
    /// The node has, or lacks, a session with control.
    InTouch(bool),
    /// What is worth a line in the log.
    Event(Event),
    /// The control state is in other hands: the process may end.
    MayEnd,
}

/// What is worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This node leads the control state.
    Leading {
        /// The epoch.
        epoch: u64,
    },
    /// It does not any longer.
    NotLeading,
    /// It told others of the first view.
    Founded {
        /// How many members it has.
        members: usize,
    },
    /// A model server has fallen silent.
    ServerLost {
        /// The server.
        id: Arc<str>,
    },
    /// This node has heard that newer weights were named.
    VersionNamed {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
        /// From when on nothing older may begin, counted from now.
        binds_in: Micros,
    },
    /// This node, which leads, holds a server back from new requests: it is to load a version.
    LoadingBegun {
        /// The server.
        server: Arc<str>,
        /// What it is to load.
        target: Ordered,
    },
    /// It is open again: it holds the version, or was given up.
    LoadingEnded {
        /// The server.
        server: Arc<str>,
        /// What it was to load, and whether it holds that.
        target: Ordered,
    },
    /// A server answered an order, or did not in time.
    OrderAnswered {
        /// The order.
        order: Order,
        /// The answer.
        answer: OrderAnswer,
    },
}

/// What a node is told at its start.
pub struct NodeSetup {
    /// The part of the session.
    pub session: OwnSession,
    /// Dissemination.
    pub spread: Spread,
    /// The founder's part, if this node has it.
    pub founding: Option<Founding>,
    /// Between heartbeats of a server.
    pub beat_every: Micros,
    /// For how long two holders must not take turns.
    pub order_lease: Micros,
    /// Within which named weights have to be in use.
    pub version_within: Micros,
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
    spread: Spread,
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
    version_within: Micros,
    machine_losses: usize,
    /// The process is about to end.
    leaving: bool,
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

/// The state of a node for operators.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    node: String,
    zone: String,
    address: SocketAddrV4,
    epoch: u64,
    primary: Option<SocketAddrV4>,
    members: Vec<SocketAddrV4>,
    role: Option<String>,
    leading: Option<u64>,
    sequence: Option<u64>,
    disk_well: Option<bool>,
    configuration_version: u64,
    weights: BTreeMap<String, u64>,
    balancers: Vec<BalancerStatus>,
    servers: Vec<ServerStatus>,
    items: usize,
}

/// A node of the fleet for operators.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct BalancerStatus {
    name: String,
    address: SocketAddrV4,
    zone: String,
    control: bool,
    session_with: SocketAddrV4,
}

/// A model server for operators.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct ServerStatus {
    id: String,
    service: String,
    address: SocketAddrV4,
    zone: String,
    state: &'static str,
    heartbeats_at: SocketAddrV4,
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
            version_within: setup.version_within,
            machine_losses: setup.machine_losses,
            leaving: false,
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
            Input::Persisted(token) => self.tell_replica(now, ReplicaInput::Persisted { token }, out),
            Input::PersistFailed(token) => self.tell_replica(now, ReplicaInput::PersistFailed { token }, out),
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
        self.spread.leave();
        match self.replica {
            Some(_) => self.tell_replica(now, ReplicaInput::Leaving, out),
            None => out.push(Output::MayEnd),
        }
    }

    fn receive(&mut self, now: Micros, from: SocketAddrV4, content: Content, out: &mut Vec<Output>) {
        match content {
            Content::Control(message) => {
                self.tell_replica(now, ReplicaInput::Message { from, message }, out);
            }
            Content::Spread(message) => {
                let mut results = Vec::new();
                self.spread.receive(now, from, message, &mut results);
                self.on_spread_outputs(now, results, out);
            }
            Content::SessionBeat(beat) => self.session_beat(now, from, &beat, out),
            Content::SessionGrant(grant) => {
                self.session.receive(now, from, &grant);
            }
            Content::Found(view) => self.tell_replica(now, ReplicaInput::Found { view }, out),
            Content::Forward(forward) => self.forwarded_call(now, from, forward, out),
            Content::Forwarded(answer) => self.forwarded_answer(now, from, &answer, out),
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
        [founding, replica, session, self.spread.next_wake(), self.due].into_iter().min().unwrap_or(self.due)
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
            ReplicaOutput::Persist { token, records } => out.push(Output::Persist { token, records }),
            ReplicaOutput::Answer { ticket, outcome } => self.decided(now, ticket.0, outcome, out),
            ReplicaOutput::Committed { state } => self.committed(now, &state, out),
            ReplicaOutput::Leading { epoch } => {
                self.leading = true;
                self.rollout.lead(now, epoch);
                self.postpone_weights(now, epoch, out);
                self.release_marks(now, epoch, out);
                out.push(Output::Event(Event::Leading { epoch }));
            }
            ReplicaOutput::NotLeading => {
                self.leading = false;
                self.rollout.stop();
                out.push(Output::Event(Event::NotLeading));
            }
            ReplicaOutput::MayEnd => out.push(Output::MayEnd),
        }
    }

    fn on_spread_outputs(&mut self, now: Micros, results: Vec<SpreadOutput>, out: &mut Vec<Output>) {
        for result in results {
            match result {
                SpreadOutput::Send { to, message } => {
                    out.push(Output::Send { to, content: Content::Spread(message) });
                }
                SpreadOutput::Changed(item) => self.changed(now, &item, out),
                SpreadOutput::Confirmed { ticket } => self.confirmed(ticket, true, out),
                SpreadOutput::Unconfirmed { ticket } => self.confirmed(ticket, false, out),
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
