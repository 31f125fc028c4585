//! Runs a [`Node`] on sockets and time: events in, outputs carried out.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

use gradepaddle_control::{Record, WriteId};
use gradepaddle_http::buffers::Pool;
use gradepaddle_placement::ServerEntry;
use gradepaddle_proto::Envelope;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep_until;

use crate::Micros;
use crate::calls::{Answer, Call};
use crate::clock::Clock;
use crate::links::Links;
use crate::node::{Event, Input, KeysShown, MemberNode, Node, Output};
use crate::orders::{self, OrderPermit};
use crate::rollout::Order;

/// Events taken before outputs are carried out.
const EVENTS_AT_ONCE: usize = 64;

/// What the driver is told by tasks and threads round it.
pub enum DriverEvent {
    /// A call, with where its answer goes.
    Call(Call, oneshot::Sender<Answer>),
    /// Anything else.
    Input(Input),
}

/// What a node does outside the control plane.
pub trait Effects {
    /// Puts a configuration in force.
    fn configure(&self, body: Arc<[u8]>);
    /// A server is there, or has changed.
    fn server(&self, entry: ServerEntry);
    /// A server is gone.
    fn server_gone(&self, id: &str);
    /// The other balancers.
    fn peers(&self, peers: Vec<MemberNode>);
    /// This node's place in an order of all nodes that all agree on.
    fn rank(&self, rank: usize);
    /// Another node has told whether a store answers.
    fn store(&self, name: &str, alive: bool);
    /// Newer weights were named: nothing older may begin from `binds_in` after now.
    fn weights_named(&self, model: &str, version: u64, binds_in: Micros);
    /// The time within which a version has to be in use begins anew: it ends `binds_in` after now.
    fn weights_postponed(&self, model: &str, version: u64, binds_in: Micros);
    /// Nothing new goes to a server for this long.
    fn hold(&self, server: &str, span: Micros);
    /// A server holds this version of a model.
    fn holds(&self, server: &str, model: &str, version: u64);
    /// The node has, or lacks, a session with control.
    fn in_touch(&self, in_touch: bool);
    /// Until when, by the driver's clock, the keys of a configuration may be acted on.
    fn keys(&self, shown: KeysShown);
    /// Something is worth a line in the log.
    fn event(&self, event: Event);
    /// Writes records to disk; the end of the write comes back as an event.
    fn persist(&self, token: WriteId, records: Vec<Record>);
    /// The control state is in other hands.
    fn may_end(&self);
}

/// A node with what it runs on.
pub struct Driver {
    node: Node,
    events: mpsc::UnboundedReceiver<DriverEvent>,
    envelopes: mpsc::UnboundedReceiver<Envelope>,
    back: mpsc::UnboundedSender<DriverEvent>,
    links: Rc<Links>,
    effects: Rc<dyn Effects>,
    owner: Arc<str>,
    pool: Pool,
    clock: Clock,
    /// The epoch in which this node leads, if it does, for orders under way.
    leading: watch::Sender<Option<u64>>,
    replies: HashMap<u64, oneshot::Sender<Answer>>,
    next_ticket: u64,
}

/// The ends of the channels on which a driver hears.
pub struct Ears {
    /// Events of tasks and threads.
    pub events: mpsc::UnboundedReceiver<DriverEvent>,
    /// Messages of other nodes.
    pub envelopes: mpsc::UnboundedReceiver<Envelope>,
    /// Where tasks of the driver's own tell what came of them.
    pub back: mpsc::UnboundedSender<DriverEvent>,
}

impl Driver {
    /// Times given to the node are those of `clock`; orders are given in the name of `owner`.
    pub fn new(
        node: Node,
        ears: Ears,
        links: Rc<Links>,
        effects: Rc<dyn Effects>,
        owner: Arc<str>,
        clock: Clock,
    ) -> Self {
        Driver {
            node,
            events: ears.events,
            envelopes: ears.envelopes,
            back: ears.back,
            links,
            effects,
            owner,
            pool: Pool::default(),
            clock,
            leading: watch::Sender::new(None),
            replies: HashMap::new(),
            next_ticket: 0,
        }
    }

    /// Runs for as long as anything can be told to the node.
    pub async fn run(mut self) {
        let mut out = Vec::new();
        loop {
            let wake = self.clock.instant(self.node.next_wake());
            tokio::select! {
                Some(envelope) = self.envelopes.recv() => self.handle(Input::Envelope(envelope), &mut out),
                Some(event) = self.events.recv() => self.take(event, &mut out),
                () = sleep_until(wake) => self.handle(Input::Tick, &mut out),
                else => return,
            }
            self.take_waiting(&mut out);
            for output in std::mem::take(&mut out) {
                self.carry_out(output);
            }
        }
    }

    /// Takes what has come meanwhile, so that answers to several go out together.
    fn take_waiting(&mut self, out: &mut Vec<Output>) {
        for _ in 0..EVENTS_AT_ONCE {
            if let Ok(envelope) = self.envelopes.try_recv() {
                self.handle(Input::Envelope(envelope), out);
            } else if let Ok(event) = self.events.try_recv() {
                self.take(event, out);
            } else {
                return;
            }
        }
    }

    fn handle(&mut self, input: Input, out: &mut Vec<Output>) {
        let now = self.clock.now();
        self.node.handle(now, input, out);
    }

    fn take(&mut self, event: DriverEvent, out: &mut Vec<Output>) {
        match event {
            DriverEvent::Input(input) => self.handle(input, out),
            DriverEvent::Call(call, reply) => {
                self.next_ticket += 1;
                let ticket = self.next_ticket;
                self.replies.insert(ticket, reply);
                self.handle(Input::Call { ticket, call }, out);
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, content } => self.links.send(to, content),
            Output::Persist { token, records } => self.effects.persist(token, records),
            Output::Answer { ticket, answer } => {
                if let Some(reply) = self.replies.remove(&ticket) {
                    // The caller may have gone.
                    let _ = reply.send(answer);
                }
            }
            Output::Configure(body) => self.effects.configure(body),
            Output::Server(entry) => self.effects.server(entry),
            Output::ServerGone(id) => self.effects.server_gone(&id),
            Output::Peers(peers) => self.effects.peers(peers),
            Output::Rank(rank) => self.effects.rank(rank),
            Output::Store { name, alive } => self.effects.store(&name, alive),
            Output::WeightsNamed { model, version, binds_in } => {
                self.effects.weights_named(&model, version, binds_in);
            }
            Output::WeightsPostponed { model, version, binds_in } => {
                self.effects.weights_postponed(&model, version, binds_in);
            }
            Output::Hold { server, span } => self.effects.hold(&server, span),
            Output::Holds { server, model, version } => self.effects.holds(&server, &model, version),
            Output::Order(order) => self.order(order),
            Output::Ask { server, address } => self.ask(server, address),
            Output::InTouch(in_touch) => self.effects.in_touch(in_touch),
            Output::Keys(shown) => self.effects.keys(shown),
            Output::Event(event) => self.event(event),
            Output::MayEnd => self.effects.may_end(),
        }
    }

    fn event(&self, event: Event) {
        match event {
            Event::Leading { epoch } => {
                self.leading.send_replace(Some(epoch));
            }
            Event::NotLeading => {
                self.leading.send_replace(None);
            }
            _ => {}
        }
        self.effects.event(event);
    }

    fn order(&self, order: Order) {
        let Some(deadline) = self.node.order_deadline(self.clock.now(), order.fence) else { return };
        let permit = OrderPermit::new(order.fence, self.clock.instant(deadline), self.leading.subscribe());
        let (owner, pool, back) = (self.owner.clone(), self.pool.clone(), self.back.clone());
        tokio::task::spawn_local(async move {
            let answer = orders::give(&order, &owner, &pool, permit).await;
            let input = Input::OrderAnswered { order, answer };
            // Without a driver nobody waits for it.
            let _ = back.send(DriverEvent::Input(input));
        });
    }

    fn ask(&self, server: Arc<str>, address: SocketAddrV4) {
        let (pool, back) = (self.pool.clone(), self.back.clone());
        tokio::task::spawn_local(async move {
            let Some(report) = orders::report(&server, address, &pool).await else { return };
            for model in report.models {
                let (model, version) = (Arc::from(model.name), model.version);
                let input = Input::Reported { server: server.clone(), model, version };
                let _ = back.send(DriverEvent::Input(input));
            }
        });
    }
}
