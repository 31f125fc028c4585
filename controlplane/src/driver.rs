//! Runs a [`Node`] on sockets and time: feeds it events, and carries out its outputs.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use gradepaddle_control::{Record, WriteId};
use gradepaddle_http::buffers::Pool;
use gradepaddle_placement::ServerEntry;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};

use crate::Micros;
use crate::api::{Call, Response};
use crate::clock::Clock;
use crate::inbox::{DroppedMessages, InboxReceiver};
use crate::node::{CallId, ConfigurationValidity, Event, Input, MemberNode, Node, Output};
use crate::order::Order;
use crate::server_client::{self, OrderPermit};
use crate::transport::Transport;

/// Events handled before outputs are carried out, so that outputs of several leave together.
const MAX_EVENT_BATCH: usize = 64;

/// An event from a task or thread.
pub enum DriverEvent {
    /// A call, with where its response goes.
    Call(Call, oneshot::Sender<Response>),
    /// Anything else.
    Input(Input),
}

/// What a node does outside the control plane. See [`Output`] for when each is called.
pub trait Effects {
    /// Puts a configuration in force.
    fn apply_configuration(&self, body: Arc<[u8]>);
    /// A newer configuration exists that has not arrived here yet, of this version; or there is none any longer.
    fn configuration_expected(&self, version: Option<u64>);
    /// A server has been registered, or has changed.
    fn server_changed(&self, entry: ServerEntry);
    /// A server has been removed.
    fn server_removed(&self, id: &str);
    /// The other balancers.
    fn peers_changed(&self, peers: Vec<MemberNode>);
    /// The subscriber rank of this node.
    fn rank_changed(&self, rank: usize);
    /// A node reports whether a cache store responds.
    fn cache_store_changed(&self, name: &str, alive: bool);
    /// A newer model version was announced: in `deadline_in` microseconds no request may start on an older one.
    fn version_announced(&self, model: &str, version: u64, deadline_in: Micros);
    /// The deadline of an announced version was extended to `deadline_in` microseconds from now.
    fn version_deadline_extended(&self, model: &str, version: u64, deadline_in: Micros);
    /// Sends no new requests to a server for `span` microseconds; 0 ends the pause.
    fn pause_server(&self, server: &str, span: Micros);
    /// A server has loaded a model version.
    fn server_has_version(&self, server: &str, model: &str, version: u64);
    /// The node has, or lacks, a session with a control balancer.
    fn connected(&self, connected: bool);
    /// Until when, by the driver's clock, the keys of a configuration may be accepted.
    fn configuration_validity(&self, validity: ConfigurationValidity);
    /// An event for the log.
    fn event(&self, event: Event);
    /// Writes records to disk. The end of the write comes back as [`Input::Persisted`] or [`Input::PersistFailed`].
    fn persist(&self, write_id: WriteId, records: Vec<Record>);
    /// The control state is in other hands.
    fn ready_to_exit(&self);
}

/// A node with what it runs on.
pub struct Driver {
    node: Node,
    events: mpsc::UnboundedReceiver<DriverEvent>,
    inbox: InboxReceiver,
    loopback: mpsc::UnboundedSender<DriverEvent>,
    transport: Rc<Transport>,
    effects: Rc<dyn Effects>,
    owner: Arc<str>,
    pool: Pool,
    clock: Clock,
    /// The epoch in which this node is the primary, if it is: orders on their way watch it.
    primary_epoch: watch::Sender<Option<u64>>,
    pending_calls: HashMap<CallId, oneshot::Sender<Response>>,
    last_call_id: u64,
}

/// The channels on which a driver gets its events.
pub struct DriverChannels {
    /// Events of tasks and threads.
    pub events: mpsc::UnboundedReceiver<DriverEvent>,
    /// Messages of other nodes.
    pub inbox: InboxReceiver,
    /// The sending end of `events`, for tasks that the driver spawns.
    pub loopback: mpsc::UnboundedSender<DriverEvent>,
}

impl Driver {
    /// A driver of `node`. The node's times are those of `clock`; orders are sent in the name of `owner`.
    pub fn new(
        node: Node,
        channels: DriverChannels,
        transport: Rc<Transport>,
        effects: Rc<dyn Effects>,
        owner: Arc<str>,
        clock: Clock,
    ) -> Self {
        Driver {
            node,
            events: channels.events,
            inbox: channels.inbox,
            loopback: channels.loopback,
            transport,
            effects,
            owner,
            pool: Pool::default(),
            clock,
            primary_epoch: watch::Sender::new(None),
            pending_calls: HashMap::new(),
            last_call_id: 0,
        }
    }

    /// Runs until both channels are closed.
    pub async fn run(mut self) {
        let mut out = Vec::new();
        loop {
            let wake = self.clock.instant(self.node.next_wake());
            // Cancellation: `recv` loses nothing, and the sleep is set anew in each round.
            tokio::select! {
                Some(envelope) = self.inbox.recv() => self.handle(Input::Envelope(envelope), &mut out),
                Some(event) = self.events.recv() => self.handle_event(event, &mut out),
                () = sleep_until(wake) => self.handle(Input::Tick, &mut out),
                else => return,
            }
            self.handle_waiting(&mut out);
            self.report_dropped_messages();
            for output in std::mem::take(&mut out) {
                self.carry_out(output);
            }
        }
    }

    fn report_dropped_messages(&mut self) {
        for DroppedMessages { peer, count, total } in self.inbox.take_dropped(Instant::now()) {
            self.effects.event(Event::MessagesDropped { peer, count, total });
        }
    }

    /// Handles what has come meanwhile.
    fn handle_waiting(&mut self, out: &mut Vec<Output>) {
        for _ in 0..MAX_EVENT_BATCH {
            if let Some(envelope) = self.inbox.try_recv() {
                self.handle(Input::Envelope(envelope), out);
            } else if let Ok(event) = self.events.try_recv() {
                self.handle_event(event, out);
            } else {
                return;
            }
        }
    }

    fn handle(&mut self, input: Input, out: &mut Vec<Output>) {
        let now = self.clock.now();
        self.node.handle(now, input, out);
    }

    fn handle_event(&mut self, event: DriverEvent, out: &mut Vec<Output>) {
        match event {
            DriverEvent::Input(input) => self.handle(input, out),
            DriverEvent::Call(call, reply) => {
                self.last_call_id += 1;
                let call_id = CallId(self.last_call_id);
                self.pending_calls.insert(call_id, reply);
                self.handle(Input::Call { call_id, call }, out);
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, content } => self.transport.send(to, content),
            Output::Persist { write_id, records } => self.effects.persist(write_id, records),
            Output::Respond { call_id, response } => {
                if let Some(reply) = self.pending_calls.remove(&call_id) {
                    // The caller may have closed its connection.
                    let _ = reply.send(response);
                }
            }
            Output::ApplyConfiguration(body) => self.effects.apply_configuration(body),
            Output::ConfigurationExpected(version) => self.effects.configuration_expected(version),
            Output::ServerChanged(entry) => self.effects.server_changed(entry),
            Output::ServerRemoved(id) => self.effects.server_removed(&id),
            Output::PeersChanged(peers) => self.effects.peers_changed(peers),
            Output::RankChanged(rank) => self.effects.rank_changed(rank),
            Output::CacheStoreChanged { name, alive } => self.effects.cache_store_changed(&name, alive),
            Output::VersionAnnounced { model, version, deadline_in } => {
                self.effects.version_announced(&model, version, deadline_in);
            }
            Output::VersionDeadlineExtended { model, version, deadline_in } => {
                self.effects.version_deadline_extended(&model, version, deadline_in);
            }
            Output::PauseServer { server, span } => self.effects.pause_server(&server, span),
            Output::ServerHasVersion { server, model, version } => {
                self.effects.server_has_version(&server, &model, version);
            }
            Output::SendOrder(order) => self.send_order(order),
            Output::QueryServer { server, address } => self.query_server(server, address),
            Output::Connected(connected) => self.effects.connected(connected),
            Output::ConfigurationValidity(validity) => self.effects.configuration_validity(validity),
            Output::Event(event) => self.handle_node_event(event),
            Output::ReadyToExit => self.effects.ready_to_exit(),
        }
    }

    fn handle_node_event(&self, event: Event) {
        match event {
            Event::BecamePrimary { epoch } => {
                self.primary_epoch.send_replace(Some(epoch));
            }
            Event::SteppedDown => {
                self.primary_epoch.send_replace(None);
            }
            _ => {}
        }
        self.effects.event(event);
    }

    /// Sends an order, if its fencing token is still good at this moment.
    fn send_order(&self, order: Order) {
        let Some(deadline) = self.node.order_deadline(self.clock.now(), order.fencing_token) else { return };
        let deadline = self.clock.instant(deadline);
        let permit = OrderPermit::new(order.fencing_token, deadline, self.primary_epoch.subscribe());
        let (owner, pool, loopback) = (self.owner.clone(), self.pool.clone(), self.loopback.clone());
        tokio::task::spawn_local(async move {
            let outcome = server_client::send_order(&order, &owner, &pool, permit).await;
            // Without a driver nobody waits for it.
            let _ = loopback.send(DriverEvent::Input(Input::OrderCompleted { order, outcome }));
        });
    }

    fn query_server(&self, server: Arc<str>, address: SocketAddrV4) {
        let (pool, loopback) = (self.pool.clone(), self.loopback.clone());
        tokio::task::spawn_local(async move {
            let Some(report) = server_client::fetch_report(&server, address, &pool).await else { return };
            for model in report.models {
                let (model, version) = (Arc::from(model.name), model.version);
                let input = Input::VersionReported { server: server.clone(), model, version };
                // Without a driver nobody waits for it.
                let _ = loopback.send(DriverEvent::Input(input));
            }
        });
    }
}
