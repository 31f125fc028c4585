//! Regression tests: each reproduces a fault that has been fixed with the smallest sequence of events that triggers it.

mod common;
#[path = "simulation/mod.rs"]
mod simulation;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{MS, SECOND, address, addresses, identity, lone_gossip, registration};
use googletest::prelude::*;
use gradepaddle_controlplane::Micros;
use gradepaddle_controlplane::api::Call;
use gradepaddle_controlplane::item_kinds::{self, SERVER, SESSION, ServerObservation};
use gradepaddle_controlplane::node::{CallId, Input, Node, NodeSetup, Output};
use gradepaddle_controlplane::order::OrderOutcome;
use gradepaddle_controlplane::rollout::{Reservation, Rollout, Servers, Step};
use gradepaddle_controlplane::session_client::SessionClient;
use gradepaddle_controlplane::session_table::{Session, SessionTable};
use gradepaddle_controlplane::version_announcement::VersionDeadlines;
use gradepaddle_gossip::{AgedItem, EncodingId, Item, Message, Offer, Stamp};
use gradepaddle_placement::ServerState;
use gradepaddle_proto::{Content, Decode, Encode, Envelope};
use simulation::{Ending, Plan, World};

/// A node without a disk, with its clock.
struct TestNode {
    node: Node,
    now: Micros,
}

impl TestNode {
    fn new(number: u8) -> TestNode {
        let node = Node::new(NodeSetup {
            session: SessionClient::new(identity(number, 1), addresses([3, 4]), 0),
            gossip: lone_gossip(number),
            bootstrap: None,
            heartbeat_interval: 1_200 * MS,
            order_lease: 3 * SECOND,
            version_deadlines: VersionDeadlines { from_publication: 8 * SECOND, from_announcement: None },
            revoke_within: None,
            machine_losses: 1,
            control_port: 9_100,
            now: 0,
        });
        TestNode { node, now: 0 }
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.node.handle(self.now, input, &mut out);
        out
    }

    /// Runs the node for `span`. Returns its outputs.
    fn run_for(&mut self, span: Micros) -> Vec<Output> {
        let until = self.now + span;
        let mut out = Vec::new();
        while self.now < until {
            self.now = self.node.next_wake().clamp(self.now + 1, until);
            out.extend(self.handle(Input::Tick));
        }
        out
    }

    /// Handles items that another node pushes by gossip.
    fn receive_items(&mut self, items: Vec<Item>) -> Vec<Output> {
        let items = items.into_iter().map(|item| AgedItem { item, age_ms: 0 }).collect();
        let content = Content::Gossip(Message::Push { items, acknowledge: false, repair: false });
        self.handle(Input::Envelope(Envelope { from: address(3), content }))
    }

    fn statuses(out: &[Output], wanted: CallId) -> Vec<u16> {
        let status = |output: &Output| match output {
            Output::Respond { call_id, response } if *call_id == wanted => Some(response.status),
            _ => None,
        };
        out.iter().filter_map(status).collect()
    }
}

fn server_states(out: &[Output]) -> Vec<ServerState> {
    let state = |output: &Output| match output {
        Output::ServerChanged(entry) => Some(entry.state),
        Output::ServerRemoved(_) => Some(ServerState::Gone),
        _ => None,
    };
    out.iter().filter_map(state).collect()
}

fn session(of: u8, granted_by: u8, minor: u64) -> Item {
    let session = Session { identity: identity(of, 1), granted_by: address(granted_by) };
    item_kinds::item(SESSION, &address(of).to_string(), Stamp { major: 1, minor }, session.to_bytes())
}

fn server_of(owner: u8) -> Item {
    let stamp = item_kinds::server_stamp(1, ServerObservation::Reported);
    item_kinds::item(SERVER, "s", stamp, registration("s", owner, 1).to_bytes())
}

/// The sessions of nodes 2, 3 and 4.
fn sessions_of_others() -> Vec<Item> {
    vec![session(2, 3, 1), session(3, 4, 1), session(4, 3, 1)]
}

/// The heartbeat timeout of a server runs at the node that owns it. A node that restarted at its address owned its
/// servers according to their items, but ran no timeouts for them, and the other nodes saw the owner alive. A server
/// that had crashed meanwhile stayed ready at all nodes forever.
#[gtest]
fn a_node_that_restarted_watches_the_servers_that_called_it_before() -> Result<()> {
    let mut restarted = TestNode::new(2);
    restarted.receive_items(sessions_of_others());
    expect_that!(
        server_states(&restarted.receive_items(vec![server_of(2)])),
        elements_are![eq(&ServerState::Ready)]
    );
    let out = restarted.run_for(60 * SECOND);
    verify_that!(server_states(&out), contains(eq(&ServerState::Lost)))
}

/// The members of the fleet are the nodes with a session at any control balancer. A control balancer that restarted at
/// its address did not take over the sessions that it had granted before, and as it had a session itself, they did not
/// count as orphaned either. A node that had ended meanwhile stayed a member forever.
#[gtest]
fn a_restarted_control_balancer_expires_sessions_of_its_earlier_process() -> Result<()> {
    let mut gossip = lone_gossip(3);
    for item in sessions_of_others() {
        common::publish(&mut gossip, item);
    }
    let mut table = SessionTable::new(address(3));
    let mut removed = Vec::new();
    for tick in 0..150 {
        let now = tick * 400 * MS;
        removed.extend(table.tick(now, &gossip));
    }
    let keys: Vec<&str> = removed.iter().map(|item| &*item.key).collect();
    verify_that!(keys, contains(eq(&&*address(2).to_string())))
}

/// A node reported a server as lost to its data plane when the server's owner was absent, and did not report it as ready
/// when the owner's session returned: unchanged heartbeats are not gossiped, so no item triggered the report.
#[gtest]
fn a_server_is_ready_again_when_its_node_is_back() -> Result<()> {
    let mut node = TestNode::new(9);
    node.receive_items(sessions_of_others());
    node.receive_items(vec![server_of(2)]);
    node.receive_items(vec![item_kinds::tombstone(
        SESSION,
        &address(2).to_string(),
        Stamp { major: 1, minor: 2 },
    )]);
    let out = node.run_for(8 * SECOND);
    verify_that!(server_states(&out), contains(eq(&ServerState::Lost)))?;
    node.receive_items(vec![session(2, 4, 3)]);
    let out = node.run_for(5 * SECOND);
    verify_that!(server_states(&out), contains(eq(&ServerState::Ready)))
}

/// The operators' rule DRAIN: leaving is acknowledged once two other nodes have the item. A second DELETE was answered
/// with 200 at once, though no other node had acknowledged the first.
#[gtest]
fn a_repeated_leave_is_not_acknowledged_before_other_nodes_have_it() -> Result<()> {
    let mut node = TestNode::new(9);
    node.receive_items(sessions_of_others());
    node.run_for(SECOND);
    node.receive_items(vec![server_of(2)]);
    let leave = |call_id| Input::Call { call_id, call: Call::Leave { id: "s".to_owned() } };
    let mut out = node.handle(leave(CallId(1)));
    out.extend(node.run_for(3 * SECOND));
    verify_that!(TestNode::statuses(&out, CallId(1)), elements_are![eq(&503)])?;
    let mut out = node.handle(leave(CallId(2)));
    out.extend(node.run_for(100 * MS));
    verify_that!(TestNode::statuses(&out, CallId(2)), not(contains(eq(&200))))
}

/// A primary's roll-out over servers `s0`, `s1`, ... at version 1 while version 2 is announced.
struct RolloutFixture {
    rollout: Rollout,
    servers: Servers,
    now: Micros,
}

impl RolloutFixture {
    fn new(servers: usize) -> RolloutFixture {
        let ids = (0..servers).map(|number| Arc::from(format!("s{number}")));
        let servers = ids.map(|id: Arc<str>| (id.clone(), registration(&id, 1, 1))).collect();
        let mut rollout = Rollout::new(3 * SECOND);
        rollout.become_primary(0, 1);
        RolloutFixture { rollout, servers, now: 0 }
    }

    fn run(&mut self, span: Micros, answer: impl Fn(&str) -> OrderOutcome) -> Vec<Step> {
        let until = self.now + span;
        let announced = BTreeMap::from([("advisor".to_owned(), 2)]);
        let mut all = Vec::new();
        while self.now < until {
            self.now += 100 * MS;
            let steps = self.rollout.tick(self.now, &self.servers, &announced);
            for step in &steps {
                if let Step::SendOrder(order) = step {
                    let more = self.rollout.handle_order_outcome(self.now, order, answer(&order.server));
                    all.extend(more);
                }
            }
            all.extend(steps);
        }
        all
    }
}

fn ordered(steps: &[Step]) -> Vec<Arc<str>> {
    let server = |step: &Step| match step {
        Step::SendOrder(order) => Some(order.server.clone()),
        _ => None,
    };
    steps.iter().filter_map(server).collect()
}

fn reported_loaded(steps: &[Step]) -> bool {
    let is_loaded = |step: &Step| match step {
        Step::PublishReservation(item) => {
            Reservation::from_bytes(&item.payload).is_ok_and(|reservation| reservation.loaded)
        }
        _ => false,
    };
    steps.iter().any(is_loaded)
}

/// The operators' rule ONE: two owners must not send orders in turns within `leaseMs`. A node that became the primary
/// after another one waited for the lease of its predecessor, but dropped the wait when it changed the view and so
/// started the next epoch, and sent orders at once.
#[gtest]
fn the_lease_of_another_primary_is_waited_for_across_a_view_change() -> Result<()> {
    let mut fixture = RolloutFixture::new(1);
    fixture.rollout.become_primary(fixture.now, 4);
    let after_the_change = fixture.run(400 * MS, |_| OrderOutcome::Failed);
    fixture.rollout.become_primary(fixture.now, 5);
    let within_the_lease = fixture.run(2_500 * MS, |_| OrderOutcome::Failed);
    verify_that!(ordered(&after_the_change).len() + ordered(&within_the_lease).len(), eq(0))
}

/// The operators' rule VERSION. A server that crashed while it was loading counted among the concurrent loads until its
/// load timed out after 7 s, though it had long been known to be lost.
#[gtest]
fn a_server_that_is_lost_while_it_loads_makes_room_for_another() -> Result<()> {
    let mut fixture = RolloutFixture::new(3);
    fixture.run(SECOND, |_| OrderOutcome::InProgress);
    fixture.servers.get_mut("s0").or_fail()?.lost = true;
    let steps = fixture.run(SECOND, |_| OrderOutcome::InProgress);
    verify_that!(ordered(&steps).iter().any(|server| &**server == "s1"), eq(true))
}

/// Orders have a price under the operators' rules. A server that had reported the version as loaded was reserved and
/// sent orders again and again until its next heartbeat, up to `beatEveryMs` later.
#[gtest]
fn a_server_that_reported_the_version_is_not_ordered_again() -> Result<()> {
    let mut fixture = RolloutFixture::new(1);
    let steps = fixture.run(SECOND, |_| OrderOutcome::InProgress);
    verify_that!(ordered(&steps).len(), eq(1))?;
    fixture.rollout.handle_report("s0", "advisor", 2);
    // The heartbeat with the new version has not come yet.
    let steps = fixture.run(1_200 * MS, |_| OrderOutcome::Loaded);
    verify_that!(ordered(&steps).len(), eq(0))
}

/// The operators' rule VERSION: an announced version has to be in use within `versionMs`. A server that rejected every
/// order was reserved again as soon as its load had timed out, so no other server ever loaded the version.
#[gtest]
fn a_server_that_rejects_orders_does_not_block_others() -> Result<()> {
    let mut fixture = RolloutFixture::new(3);
    let steps = fixture.run(30 * SECOND, |server| match server {
        "s0" => OrderOutcome::Failed,
        _ => OrderOutcome::InProgress,
    });
    verify_that!(ordered(&steps).iter().any(|server| &**server == "s1"), eq(true))
}

/// The tombstone of a server whose load had timed out said that the version was loaded, so every node reported
/// `Output::ServerHasVersion` to its data plane, though the server did not have the version.
#[gtest]
fn a_released_server_without_the_version_is_not_reported_as_loaded() -> Result<()> {
    let mut fixture = RolloutFixture::new(1);
    let steps = fixture.run(10 * SECOND, |_| OrderOutcome::Failed);
    verify_that!(reported_loaded(&steps), eq(false))
}

fn first_violation(plan: &Plan, mut seeds: std::ops::Range<u64>) -> Option<String> {
    seeds.find_map(|seed| {
        let violation = World::new(plan.clone(), seed).run().violation?;
        Some(format!("seed {seed}: {violation}"))
    })
}

/// The operators' rule DEPLOY: seeds are any three machines that serve the control API. If none of the seeds had a
/// disk, no node without a disk ever learned the view: core machines sent it to members only, and the bootstrapping
/// node did not keep the view that it had made.
#[gtest]
fn seeds_need_no_disk_at_the_first_start() -> Result<()> {
    let plan = Plan { faults: 0, one_seed_has_a_disk: false, ..Plan::new(9, 3, 1) };
    verify_that!(first_violation(&plan, 0..10), none())
}

/// The same fault after a loss of power: core machines recovered the view from their disks and sent nothing to the
/// seeds, so nodes whose seeds have no disk never learned the view. Here all processes have the same seeds.
#[gtest]
fn seeds_need_no_disk_after_a_loss_of_power() -> Result<()> {
    let ending = Ending::PowerLoss { wiped: 0 };
    let plan = Plan { faults: 0, servers: 0, same_seeds_without_disk: true, ending, ..Plan::new(9, 3, 1) };
    verify_that!(first_violation(&plan, 0..3), none())
}

/// The faults above in simulated fleets: all nodes agree on the state of all servers at the end.
#[gtest]
fn all_nodes_agree_on_servers_after_faults() -> Result<()> {
    let plan = Plan { servers_agree: true, ..Plan::new(9, 9, 2) };
    verify_that!(first_violation(&plan, 0..30), none())
}

/// The faults above in simulated fleets: no crashed server stays ready, no removed node stays a member, and crashed
/// servers do not delay the loads of others.
#[gtest]
fn all_nodes_know_what_is_gone() -> Result<()> {
    let plan = Plan { strict: true, ..Plan::new(9, 3, 1) };
    verify_that!(first_violation(&plan, 0..30), none())
}

/// All core machines lose power right after the draining or leaving of a server was acknowledged, and the server
/// crashes as well. The copies that the acknowledgment waited for have to be enough.
#[gtest]
fn an_acknowledged_drain_outlives_a_power_loss_of_the_whole_core() -> Result<()> {
    for (nodes, cores, losses) in [(9, 3, 1), (12, 8, 2)] {
        let plan = Plan {
            faults: 0,
            servers: 12,
            core_loses_power_after_drain: true,
            servers_agree: false,
            ..Plan::new(nodes, cores, losses)
        };
        let mut faults = 0;
        for seed in 0..25 {
            let report = World::new(plan.clone(), seed).run();
            expect_that!(report.violation, none(), "{cores} cores, seed {seed}");
            faults += report.faults;
        }
        expect_that!(faults, gt(15), "{cores} cores: runs in which it happened");
    }
    Ok(())
}

/// The data plane rejected requests that were allowed by a newer configuration which this node had been offered but had
/// not received yet. So the node reports the version of such a configuration.
#[gtest]
fn a_configuration_that_is_on_its_way_is_expected() {
    let mut node = TestNode::new(1);
    let item = |version, payload| {
        let stamp = Stamp { major: version, minor: 0 };
        item_kinds::item(item_kinds::CONFIGURATION, item_kinds::CONFIGURATION_KEY, stamp, payload)
    };
    let expected = |out: &[Output]| -> Vec<Option<u64>> {
        let expected = out.iter().filter_map(|output| match output {
            Output::ConfigurationExpected(version) => Some(*version),
            _ => None,
        });
        expected.collect()
    };
    let offer = |version| {
        let entry = item(version, Vec::new()).entry();
        let encoding = Some(EncodingId { bytes: 50_000, checksum: 7 });
        let content = Content::Gossip(Message::Offer { offers: vec![Offer { entry, encoding }] });
        Input::Envelope(Envelope { from: address(3), content })
    };
    expect_that!(expected(&node.receive_items(vec![item(4, vec![1])])), eq(&vec![]));
    expect_that!(expected(&node.handle(offer(5))), eq(&vec![Some(5)]));
    expect_that!(expected(&node.handle(offer(5))), eq(&vec![]));
    expect_that!(expected(&node.handle(offer(7))), eq(&vec![Some(7)]));
    expect_that!(expected(&node.handle(offer(4))), eq(&vec![]));
    expect_that!(expected(&node.receive_items(vec![item(7, vec![2])])), eq(&vec![None]));
}
