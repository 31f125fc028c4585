//! A node that is its own core: it leads, its disk writes at once, and a second node without a disk has a session with
//! it.

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
/// Names the calls of these tests.
const CALL_ID: CallId = CallId(1 << 40);

/// Where the nodes are reached.
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

/// The node with the time that it is told, and the items that it has pushed to the other one.
pub struct LoneNode {
    node: Node,
    now: Micros,
    pub pushed: Vec<Item>,
    /// Answers to calls of these tests, early and late.
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

    /// Its disk is open.
    pub fn open_disk(&mut self) {
        let config = ReplicaConfig::builder()
            .address(address(1))
            .zone("west")
            .first_boot(true)
            .machine_losses(0)
            .seed(1)
            .build();
        let replica = Replica::new(config, RecoveredState::empty(ReplicaId(501)), self.now);
        self.hand(Input::ReplicaOpened(Box::new(replica)));
    }

    /// Hands it an input; what it writes is on its disk at once.
    pub fn hand(&mut self, input: Input) -> Vec<Output> {
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

    /// Lets time pass. The second node, once it is there, goes on with its heartbeats.
    pub fn run_for(&mut self, span: Micros, second_node: bool) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.node.next_wake().clamp(self.now + 1_000, self.now + 200_000).min(until);
            self.hand(Input::Tick);
            if second_node {
                self.session_heartbeat();
            }
        }
    }

    /// A heartbeat of the second node.
    pub fn session_heartbeat(&mut self) {
        let beat = SessionHeartbeat { identity: identity(2, None), view_epoch: 1 };
        self.hand(Input::Envelope(Envelope { from: address(2), content: Content::SessionHeartbeat(beat) }));
    }

    /// Makes a call and gives its answer, if that comes at once.
    pub fn call(&mut self, call: Call) -> Option<Response> {
        let out = self.hand(Input::Call { call_id: CALL_ID, call });
        out.into_iter().find_map(|output| match output {
            Output::Respond { call_id: CALL_ID, response } => Some(response),
            _ => None,
        })
    }

    /// A node that leads, with a session of the second node.
    pub fn leading() -> LoneNode {
        let mut lone = LoneNode::new();
        lone.open_disk();
        lone.run_for(3 * SECOND, false);
        lone.session_heartbeat();
        lone.run_for(SECOND, true);
        lone
    }
}
