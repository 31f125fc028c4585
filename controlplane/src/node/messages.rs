//! The inputs and outputs of a node, and its events for the log.

use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_control::{Record, Replica, WriteId};
use gradepaddle_gossip::FetchEvent;
use gradepaddle_placement::ServerEntry;
use gradepaddle_proto::{Content, Envelope};

use crate::Micros;
use crate::api::{Call, Response};
use crate::order::{Order, OrderOutcome};
use crate::rollout::Reservation;

/// Names a call of a server or an operator at one node, given by its driver. Calls that are forwarded between nodes have ids
/// of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// An input of a node.
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message of another node.
    Envelope(Envelope),
    /// A server or an operator calls.
    Call {
        /// Names the call in [`Output::Respond`].
        call_id: CallId,
        /// The call.
        call: Call,
    },
    /// A write is durable.
    Persisted(WriteId),
    /// A write has failed.
    PersistFailed(WriteId),
    /// An order has ended.
    OrderCompleted {
        /// The order.
        order: Order,
        /// Its outcome.
        outcome: OrderOutcome,
    },
    /// A server has reported a loaded model version.
    VersionReported {
        /// The server.
        server: Arc<str>,
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
    },
    /// The disk is open: this node has a replica from now on.
    ReplicaOpened(Box<Replica>),
    /// A cache store has begun or ceased to respond to this node.
    CacheStoreChanged {
        /// The cache store.
        name: Arc<str>,
        /// It responds.
        alive: bool,
    },
    /// The settings have new seeds.
    SeedsChanged(Vec<SocketAddrV4>),
    /// The process is about to exit.
    ShutDown,
}

/// Until when the keys of a configuration may be accepted: as far as is known, none of them has been revoked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationValidity {
    /// The version of the configuration; it says nothing of older ones.
    pub version: u64,
    /// The end by the driver's clock; 0 without any evidence.
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

/// An output of a node, to be carried out in order.
#[derive(Debug)]
#[must_use = "an output has to be carried out"]
pub enum Output {
    /// Send a message to another node.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// The message.
        content: Content,
    },
    /// Write records to disk.
    Persist {
        /// Names the write in [`Input::Persisted`].
        write_id: WriteId,
        /// The records.
        records: Vec<Record>,
    },
    /// Respond to a call.
    Respond {
        /// The call.
        call_id: CallId,
        /// The response.
        response: Response,
    },
    /// Put this configuration in force.
    ApplyConfiguration(Arc<[u8]>),
    /// A newer configuration exists that has not arrived here yet, of this version; or there is none any longer.
    ConfigurationExpected(Option<u64>),
    /// A server has been registered, or has changed.
    ServerChanged(ServerEntry),
    /// A server has been removed.
    ServerRemoved(Arc<str>),
    /// The other balancers.
    PeersChanged(Vec<MemberNode>),
    /// This node's subscriber rank: its place, from 0, in an order on which all nodes agree.
    RankChanged(usize),
    /// A node reports whether a cache store responds.
    CacheStoreChanged {
        /// The cache store.
        name: Arc<str>,
        /// It responds.
        alive: bool,
    },
    /// A newer model version was announced.
    VersionAnnounced {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
        /// Microseconds from now until no request may start on an older version.
        deadline_in: Micros,
    },
    /// The deadline of an announced version was extended.
    VersionDeadlineExtended {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
        /// Microseconds from now until no request may start on an older version.
        deadline_in: Micros,
    },
    /// Send no new requests to a server: it is about to load a model version.
    PauseServer {
        /// The server.
        server: Arc<str>,
        /// For how long, in microseconds; 0 ends the pause.
        span: Micros,
    },
    /// A server has loaded a model version.
    ServerHasVersion {
        /// The server.
        server: Arc<str>,
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
    },
    /// Send an order to a server.
    SendOrder(Order),
    /// Query which model versions a server has loaded.
    QueryServer {
        /// The server.
        server: Arc<str>,
        /// Where it is reached.
        address: SocketAddrV4,
    },
    /// The node is connected: it has a session with a control balancer, or is the primary. Or it is not any longer.
    Connected(bool),
    /// Until when the keys of a configuration may be accepted. Never given where that has no bound.
    ConfigurationValidity(ConfigurationValidity),
    /// An event for the log.
    Event(Event),
    /// The control state is in other hands: the process may exit.
    ReadyToExit,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// This node has become the primary of the control state.
    BecamePrimary {
        /// The epoch.
        epoch: u64,
    },
    /// It is the primary no longer.
    SteppedDown,
    /// It has made the first view and sends it to the members.
    Bootstrapped {
        /// The number of members.
        members: usize,
    },
    /// The heartbeats of a model server have timed out.
    ServerTimedOut {
        /// The server.
        id: Arc<str>,
    },
    /// This node has learned of a newer model version.
    VersionAnnounced {
        /// The model.
        model: Arc<str>,
        /// The version.
        version: u64,
        /// Microseconds from now until no request may start on an older version.
        deadline_in: Micros,
    },
    /// This primary has reserved a server for loading a model version.
    ServerReserved {
        /// The server.
        server: Arc<str>,
        /// What it is to load.
        reservation: Reservation,
    },
    /// This primary has released a server.
    ServerReleased {
        /// The server.
        server: Arc<str>,
        /// What it was to load, and whether it has.
        reservation: Reservation,
    },
    /// An order has ended.
    OrderCompleted {
        /// The order.
        order: Order,
        /// Its outcome.
        outcome: OrderOutcome,
    },
    /// A step in the fetch of a configuration; the version is the major number of its stamp.
    ConfigurationFetch(FetchEvent),
    /// Messages of another node were dropped, since too much of what it sent was waiting.
    MessagesDropped {
        /// The node.
        peer: SocketAddrV4,
        /// Messages since the last such event.
        count: u64,
        /// Messages since the start of the process.
        total: u64,
    },
}
