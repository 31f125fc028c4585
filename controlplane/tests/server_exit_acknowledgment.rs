//! Draining and leaving of a server are acknowledged once no tolerated loss can destroy all copies of the item.

#[path = "simulation/mod.rs"]
mod simulation;

use std::net::SocketAddrV4;

use googletest::prelude::*;
use gradepaddle_controlplane::api::Call;
use gradepaddle_controlplane::node::{CallId, Input, Output};
use gradepaddle_gossip::{Entry, Message};
use gradepaddle_proto::{Content, Envelope};
use simulation::{MS, Plan, World};

/// The id of the calls of these tests; no other call id is as high.
const CALL_ID: CallId = CallId(1 << 40);
/// The number of nodes; the first [`CORE`] of them are core machines.
const NODES: usize = 9;
const CORE: usize = 3;

struct Fleet {
    world: World,
    /// The item that other nodes are asked to acknowledge.
    pushed: Option<Entry>,
}

impl Fleet {
    fn new(nodes: usize) -> Fleet {
        let mut world = World::new(Plan { faults: 0, ..Plan::new(nodes, CORE, 1) }, 1);
        world.run_until(6_800 * MS);
        Fleet { world, pushed: None }
    }

    /// Has a node handle an input. Its messages do not reach other nodes. Returns true if the call was acknowledged.
    fn handle(&mut self, node: usize, input: Input) -> bool {
        let now = self.world.now;
        let process = self.world.machines[node].process.as_mut().expect("it runs");
        let (clock, mut out) = (process.clock(now), Vec::new());
        process.node.handle(clock, input, &mut out);
        for output in &out {
            let Output::Send {
                content: Content::Gossip(Message::Push { items, acknowledge: true, .. }), ..
            } = output
            else {
                continue;
            };
            self.pushed = items.first().map(|aged| aged.item.entry());
        }
        out.iter().any(
            |output| matches!(output, Output::Respond { call_id: CALL_ID, response } if response.status == 200),
        )
    }

    fn leave(&mut self, node: usize) -> bool {
        let call = Call::Leave { id: "a-server".to_owned() };
        self.handle(node, Input::Call { call_id: CALL_ID, call })
    }

    fn acknowledge(&mut self, node: usize, from: usize, leaving: bool) -> bool {
        let from: SocketAddrV4 = self.world.machines[from].address;
        let entries = self.pushed.clone().into_iter().collect();
        let content = Content::Gossip(Message::Acknowledge { entries, shutting_down: leaving });
        self.handle(node, Input::Envelope(Envelope { from, content }))
    }
}

/// The node that gets the call, the nodes that acknowledge the item, those of them that are shutting down, and whether
/// that is enough.
struct Row {
    node: usize,
    acknowledge: &'static [usize],
    leaving: &'static [usize],
    enough: bool,
}

#[gtest]
fn acknowledgment_needs_replicas_in_the_core_and_outside_it() {
    let rows = [
        Row { node: 0, acknowledge: &[1, 2], leaving: &[], enough: false },
        Row { node: 0, acknowledge: &[4, 5, 6], leaving: &[], enough: false },
        Row { node: 0, acknowledge: &[1, 5], leaving: &[], enough: true },
        Row { node: 0, acknowledge: &[1, 5], leaving: &[1], enough: false },
        Row { node: 0, acknowledge: &[1, 5], leaving: &[5], enough: false },
        Row { node: 0, acknowledge: &[1, 2, 5], leaving: &[1], enough: true },
        Row { node: 0, acknowledge: &[1, 5, 6], leaving: &[5], enough: true },
        Row { node: 4, acknowledge: &[5, 6, 7], leaving: &[], enough: false },
        Row { node: 4, acknowledge: &[0, 6], leaving: &[], enough: false },
        Row { node: 4, acknowledge: &[0, 2], leaving: &[], enough: true },
    ];
    for Row { node, acknowledge, leaving, enough } in rows {
        let mut fleet = Fleet::new(NODES);
        let mut acknowledged = fleet.leave(node);
        for from in acknowledge {
            acknowledged |= fleet.acknowledge(node, *from, leaving.contains(from));
        }
        expect_that!(acknowledged, eq(enough), "{acknowledge:?} at {node}, {leaving:?} leaving");
    }
}

#[gtest]
fn a_node_that_shuts_down_does_not_count_itself() {
    let mut fleet = Fleet::new(NODES);
    fleet.handle(0, Input::ShutDown);
    expect_that!(fleet.leave(0), eq(false));
    expect_that!(fleet.acknowledge(0, 1, false), eq(false));
    expect_that!(fleet.acknowledge(0, 5, false), eq(false));
    expect_that!(fleet.acknowledge(0, 2, false), eq(true));
}

#[gtest]
fn where_all_nodes_are_the_core_its_replicas_are_enough() {
    let mut fleet = Fleet::new(CORE);
    expect_that!(fleet.leave(0), eq(false));
    expect_that!(fleet.acknowledge(0, 1, false), eq(false));
    expect_that!(fleet.acknowledge(0, 2, false), eq(true));
}
