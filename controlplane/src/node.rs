//! The control plane of one node as a state machine: it takes inputs and the time, and returns [`Output`]s. No I/O.

mod api_calls;
mod membership;
mod messages;
mod servers;
mod staleness;
mod status;

pub use messages::{CallId, ConfigurationValidity, Event, Input, MemberNode, Output};
pub use status::Status;

use std::net::SocketAddrV4;

use gradepaddle_control::{Input as ReplicaInput, Output as ReplicaOutput, Replica};
use gradepaddle_gossip::{Gossip, Output as GossipOutput};
use gradepaddle_proto::{Content, Envelope, Identity};

use self::api_calls::PendingCalls;
use self::membership::Membership;
use self::servers::KnownServers;
use self::staleness::Evidence;
use crate::Micros;
use crate::bootstrap::Bootstrap;
use crate::item_kinds::{CONFIGURATION, CONFIGURATION_KEY};
use crate::registry::Registry;
use crate::rollout::Rollout;
use crate::session_client::SessionClient;
use crate::session_table::SessionTable;
use crate::version_announcement::VersionDeadlines;

/// Interval at which membership, servers, the singleton roles and pending calls are checked.
const TICK_INTERVAL: Micros = 100_000;
/// Interval of the checks that are not latency-sensitive: servers whose owner is absent, removal of lost servers.
const SLOW_TICK_INTERVAL: Micros = 500_000;

/// What a node starts with.
pub struct NodeSetup {
    /// The client side of this node's session.
    pub session: SessionClient,
    /// The gossip state machine.
    pub gossip: Gossip,
    /// The bootstrap, at the node that makes the first view; `None` at all others.
    pub bootstrap: Option<Bootstrap>,
    /// Interval between heartbeats of a server, in microseconds.
    pub heartbeat_interval: Micros,
    /// The minimum time between orders of two different primaries, in microseconds.
    pub order_lease: Micros,
    /// The deadlines by which servers have to load an announced version.
    pub version_deadlines: VersionDeadlines,
    /// The time within which revoked keys have to stop working at every node, in microseconds; `None` without such a
    /// bound.
    pub revoke_within: Option<Micros>,
    /// The fault tolerance: the number of machines that may be lost at once.
    pub machine_losses: usize,
    /// The port of the control API, the same on all machines.
    pub control_port: u16,
    /// The current time by the driver's clock.
    pub now: Micros,
}

/// The control plane of one node.
pub struct Node {
    own: SocketAddrV4,
    session: SessionClient,
    session_table: SessionTable,
    replica: Option<Replica>,
    gossip: Gossip,
    bootstrap: Option<Bootstrap>,
    registry: Registry,
    rollout: Rollout,
    calls: PendingCalls,
    membership: Membership,
    servers: KnownServers,
    evidence: Evidence,
    /// True while the replica is the primary, whether or not it currently holds a lease.
    primary: bool,
    /// The version of a newer configuration that a peer has offered and that is still being fetched.
    expected_configuration: Option<u64>,
    version_deadlines: VersionDeadlines,
    machine_losses: usize,
    control_port: u16,
    shutting_down: bool,
    next_tick: Micros,
    next_slow_tick: Micros,
}

impl Node {
    /// A node that knows no other node yet.
    pub fn new(setup: NodeSetup) -> Self {
        let own = setup.session.identity().address;
        let first_call_id = first_call_id(setup.session.identity());
        Node {
            own,
            session_table: SessionTable::new(own),
            registry: Registry::new(own, setup.heartbeat_interval),
            rollout: Rollout::new(setup.order_lease),
            calls: PendingCalls::new(first_call_id),
            membership: Membership::new(setup.now),
            servers: KnownServers::default(),
            evidence: Evidence::new(setup.revoke_within, setup.now),
            primary: false,
            expected_configuration: None,
            version_deadlines: setup.version_deadlines,
            machine_losses: setup.machine_losses,
            control_port: setup.control_port,
            shutting_down: false,
            next_tick: setup.now,
            next_slow_tick: setup.now,
            session: setup.session,
            replica: None,
            gossip: setup.gossip,
            bootstrap: setup.bootstrap,
        }
    }

    /// Handles an input at the time `now` of the driver's clock, then runs the timers that are due. Appends the outputs
    /// to `out`, in the order in which they have to be carried out.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Tick => {}
            Input::Envelope(Envelope { from, content }) => self.handle_message(now, from, content, out),
            Input::Call { call_id, call } => self.handle_call(now, call_id, call, out),
            Input::Persisted(write_id) => {
                self.step_replica(now, ReplicaInput::WriteCompleted { write_id }, out);
            }
            Input::PersistFailed(write_id) => {
                self.step_replica(now, ReplicaInput::WriteFailed { write_id }, out);
            }
            Input::OrderCompleted { order, outcome } => {
                let steps = self.rollout.handle_order_outcome(now, &order, outcome);
                out.push(Output::Event(Event::OrderCompleted { order, outcome }));
                self.carry_out_steps(now, steps, out);
            }
            Input::VersionReported { server, model, version } => {
                let steps = self.rollout.handle_report(&server, &model, version);
                self.carry_out_steps(now, steps, out);
            }
            Input::ReplicaOpened(replica) => {
                self.session.set_replica(Some(replica.id().0));
                self.replica = Some(*replica);
            }
            Input::CacheStoreChanged { name, alive } => self.cache_store_changed(now, &name, alive, out),
            Input::SeedsChanged(seeds) => self.session.set_seeds(seeds),
            Input::ShutDown => self.shut_down(now, out),
        }
        self.tick(now, out);
    }

    fn shut_down(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.shutting_down = true;
        self.gossip.shut_down();
        match self.replica {
            Some(_) => self.step_replica(now, ReplicaInput::ShutDown, out),
            None => out.push(Output::ReadyToExit),
        }
    }

    fn handle_message(&mut self, now: Micros, from: SocketAddrV4, content: Content, out: &mut Vec<Output>) {
        match content {
            Content::Control(message) => {
                self.step_replica(now, ReplicaInput::Message { from, message }, out);
            }
            Content::Gossip(message) => {
                let mut results = Vec::new();
                self.gossip.receive(now, from, message, &mut results);
                self.handle_gossip_outputs(now, results, out);
            }
            Content::SessionHeartbeat(heartbeat) => self.handle_session_heartbeat(now, from, &heartbeat, out),
            Content::SessionHeartbeatReply(reply) => {
                self.session.handle_reply(now, from, &reply);
            }
            Content::Bootstrap(view) => self.step_replica(now, ReplicaInput::Bootstrap { view }, out),
            Content::ForwardedCall(forwarded) => self.handle_forwarded_call(now, from, forwarded, out),
            Content::ForwardedReply(reply) => self.handle_forwarded_reply(now, from, &reply, out),
            Content::VersionQuery(query) => self.handle_version_query(now, from, query, out),
            Content::VersionReply(reply) => self.handle_version_reply(reply),
        }
    }

    /// Runs the timers that are due.
    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.replica.as_ref().is_some_and(|replica| replica.next_wake() <= now) {
            self.step_replica(now, ReplicaInput::Tick, out);
        }
        if self.gossip.next_wake() <= now {
            let mut results = Vec::new();
            self.gossip.tick(now, &mut results);
            self.handle_gossip_outputs(now, results, out);
        }
        self.tick_session(now, out);
        self.tick_bootstrap(now, out);
        self.tick_staleness(now, out);
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            self.tick_membership(now, out);
            self.tick_servers(now, out);
            self.tick_singleton_roles(now, out);
            self.tick_pending_calls(now, out);
        }
        if now >= self.next_slow_tick {
            self.next_slow_tick = now + SLOW_TICK_INTERVAL;
            self.tick_absent_owners(now, out);
            self.remove_lost_servers(now, out);
        }
    }

    /// When [`Node::handle`] has to be called next, if no input comes before.
    pub fn next_wake(&self) -> Micros {
        let bootstrap = self.bootstrap.as_ref().map_or(Micros::MAX, Bootstrap::next_wake);
        let replica = self.replica.as_ref().map_or(Micros::MAX, Replica::next_wake);
        let (session, gossip) = (self.session.next_wake(), self.gossip.next_wake());
        let wakes = [bootstrap, replica, session, gossip, self.evidence.next_wake(), self.next_tick];
        wakes.into_iter().min().unwrap_or(self.next_tick)
    }

    /// Hands an input to the replica and handles its outputs.
    fn step_replica(&mut self, now: Micros, input: ReplicaInput, out: &mut Vec<Output>) {
        let Some(replica) = &mut self.replica else { return };
        let mut results = Vec::new();
        replica.handle(now, input, &mut results);
        for result in results {
            self.handle_replica_output(now, result, out);
        }
    }

    fn handle_replica_output(&mut self, now: Micros, result: ReplicaOutput, out: &mut Vec<Output>) {
        match result {
            ReplicaOutput::Send { to, message } => {
                out.push(Output::Send { to, content: Content::Control(message) });
            }
            ReplicaOutput::Persist { write_id, records } => out.push(Output::Persist { write_id, records }),
            ReplicaOutput::Answer { proposal_id, outcome } => {
                self.handle_decision(now, proposal_id, outcome, out);
            }
            ReplicaOutput::Committed { state } => self.publish_committed(now, &state, out),
            ReplicaOutput::BecamePrimary { epoch } => {
                self.primary = true;
                self.rollout.become_primary(now, epoch);
                self.extend_version_deadlines(now, epoch, out);
                self.release_earlier_reservations(now, epoch, out);
                out.push(Output::Event(Event::BecamePrimary { epoch }));
            }
            ReplicaOutput::SteppedDown => {
                self.primary = false;
                self.rollout.step_down();
                out.push(Output::Event(Event::SteppedDown));
            }
            ReplicaOutput::ReadyToExit => out.push(Output::ReadyToExit),
        }
    }

    fn handle_gossip_outputs(&mut self, now: Micros, results: Vec<GossipOutput>, out: &mut Vec<Output>) {
        let mut configuration_affected = false;
        for result in results {
            configuration_affected |= concerns_configuration(&result);
            match result {
                GossipOutput::Send { to, message } => {
                    out.push(Output::Send { to, content: Content::Gossip(message) });
                }
                GossipOutput::Changed(item) => self.handle_item(now, &item, out),
                GossipOutput::Fetch(event) if event.entry.kind == CONFIGURATION => {
                    out.push(Output::Event(Event::ConfigurationFetch(event)));
                }
                GossipOutput::Fetch(_) => {}
                GossipOutput::Acknowledged { publish_id } => {
                    self.handle_acknowledgment(CallId(publish_id), true, out);
                }
                GossipOutput::AcknowledgmentFailed { publish_id } => {
                    self.handle_acknowledgment(CallId(publish_id), false, out);
                }
            }
        }
        if configuration_affected {
            self.report_expected_configuration(out);
        }
    }

    /// Reports which newer configuration is being fetched, if that has changed.
    fn report_expected_configuration(&mut self, out: &mut Vec<Output>) {
        let expected = self.gossip.downloading(CONFIGURATION, CONFIGURATION_KEY).map(|stamp| stamp.major);
        if expected != self.expected_configuration {
            self.expected_configuration = expected;
            out.push(Output::ConfigurationExpected(expected));
        }
    }
}

fn concerns_configuration(result: &GossipOutput) -> bool {
    match result {
        GossipOutput::Changed(item) => item.kind == CONFIGURATION,
        GossipOutput::Fetch(event) => event.entry.kind == CONFIGURATION,
        _ => false,
    }
}

/// The start of the call ids of a process. It depends on the incarnation, so that ids of two processes at one address do
/// not overlap: a reply to a call that an earlier process forwarded must match no call of this one.
fn first_call_id(identity: &Identity) -> u64 {
    crate::mix(crate::mix(identity.incarnation) ^ u64::from(u32::from(*identity.address.ip())))
}
