//! A node that is the only core machine: it is the primary, its writes are durable at once, and a second node without a
//! disk has a session with it.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use gradepaddle_control::{RecoveredState, Replica, ReplicaConfig, ReplicaId};
use gradepaddle_controlplane::api::{Call, Response};
use gradepaddle_controlplane::bootstrap::Bootstrap;
use gradepaddle_controlplane::node::{CallId, Input, Node, NodeSetup, Output};
use gradepaddle_controlplane::session_client::SessionClient;
use gradepaddle_controlplane::version_announcement::VersionDeadlines;
use gradepaddle_controlplane::{CLOCK_START, Micros};
use gradepaddle_gossip::{Gossip, GossipConfig, Item, Message};
use gradepaddle_proto::{Content, Envelope, Identity, SessionHeartbeat};

const SECOND: Micros = 1_000_000;
/// The id of all calls of these tests.
const CALL_ID: CallId = CallId(1 << 40);

/// The address of the node with this number.
pub fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, number), 7700)
}

pub fn identity(number: u8, replica: Option<u64>) -> Identity {
    Identity {
        address: address(number),
        incarnation: 1_700_000_000_000_000 + u64::from(number),
        name: Arc::from(format!("node-{number}")),
        zone: Arc::from("west"),
        replica,
        first_boot: replica.is_some(),
    }
}

/// The node with its clock, and the items that it has pushed to the second node.
pub struct LoneNode {
    node: Node,
    now: Micros,
    pub pushed: Vec<Item>,
    /// Responses to the calls of these tests, immediate and delayed.
    pub answers: Vec<Response>,
}

impl LoneNode {
    /// A node that has just started, without a disk.
    pub fn new() -> LoneNode {
        let own = address(1);
        let node = Node::new(NodeSetup {
            session: SessionClient::new(identity(1, Some(501)), vec![own], CLOCK_START),
            gossip: Gossip::new(GossipConfig::builder().address(own).seed(1).build(), CLOCK_START),
            bootstrap: Bootstrap::new(own, &[own], 1, true, CLOCK_START),
            heartbeat_interval: 1_200_000,
            order_lease: 3 * SECOND,
            version_deadlines: VersionDeadlines { from_publication: 8 * SECOND, from_announcement: None },
            revoke_within: None,
            machine_losses: 0,
            control_port: 9_100,
            now: CLOCK_START,
        });
        LoneNode { node, now: CLOCK_START, pushed: Vec::new(), answers: Vec::new() }
    }

    /// Opens its disk, so that it has a replica.
    pub fn open_disk(&mut self) {
        let config = ReplicaConfig::builder()
            .address(address(1))
            .zone("west")
            .first_boot(true)
            .machine_losses(0)
            .seed(1)
            .build();
        let replica = Replica::new(config, RecoveredState::empty(ReplicaId(501)), self.now);
        self.handle(Input::ReplicaOpened(Box::new(replica)));
    }

    /// Handles an input. Writes are durable at once.
    pub fn handle(&mut self, input: Input) -> Vec<Output> {
        let (mut inputs, mut answers) = (vec![input], Vec::new());
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.node.handle(self.now, input, &mut out);
            for output in out {
                match output {
                    Output::Persist { write_id, .. } => inputs.push(Input::Persisted(write_id)),
                    Output::Send { content: Content::Gossip(Message::Push { items, .. }), .. } => {
                        self.pushed.extend(items.into_iter().map(|aged| aged.item));
                    }
                    Output::Respond { call_id: CALL_ID, response } => {
                        self.answers.push(response.clone());
                        answers.push(Output::Respond { call_id: CALL_ID, response });
                    }
                    other => answers.push(other),
                }
            }
        }
        answers
    }

    /// Runs the node for `span`. The second node, if there is one, continues its heartbeats.
    pub fn run_for(&mut self, span: Micros, second_node: bool) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.node.next_wake().clamp(self.now + 1_000, self.now + 200_000).min(until);
            self.handle(Input::Tick);
            if second_node {
                self.session_heartbeat();
            }
        }
    }

    /// Handles a heartbeat of the second node.
    pub fn session_heartbeat(&mut self) {
        let heartbeat = SessionHeartbeat { identity: identity(2, None), view_epoch: 1 };
        self.handle(Input::Envelope(Envelope {
            from: address(2),
            content: Content::SessionHeartbeat(heartbeat),
        }));
    }

    /// Makes a call. Returns its response, if that is immediate.
    pub fn call(&mut self, call: Call) -> Option<Response> {
        let out = self.handle(Input::Call { call_id: CALL_ID, call });
        out.into_iter().find_map(|output| match output {
            Output::Respond { call_id: CALL_ID, response } => Some(response),
            _ => None,
        })
    }

    /// A node that is the primary and has granted a session to the second node.
    pub fn leading() -> LoneNode {
        let mut lone = LoneNode::new();
        lone.open_disk();
        lone.run_for(3 * SECOND, false);
        lone.session_heartbeat();
        lone.run_for(SECOND, true);
        lone
    }
}
