//! What happens to a node, what it is to do, and what is worth a line in its log.

use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_control::{Record, Replica, WriteId};
use gradepaddle_placement::ServerEntry;
use gradepaddle_proto::{Content, Envelope};

use crate::Micros;
use crate::calls::{Answer, Call};
use crate::rollout::{Order, OrderAnswer, Ordered};

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
    Persisted(WriteId),
    /// A write failed.
    PersistFailed(WriteId),
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

/// That none of a configuration's keys has been taken away, as far as is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeysShown {
    /// The version of the configuration; older ones are not meant.
    pub version: u64,
    /// Until when, by the node's clock, that is good; 0 if nothing shows it.
    pub until: Micros,
}

/// Another member of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberNode {
    /// Where it is reached by other nodes.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: Arc<str>,
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
        token: WriteId,
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
    Peers(Vec<MemberNode>),
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
    /// Until when the keys of a configuration may be acted on. Never given where that depends on nothing.
    Keys(KeysShown),
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
