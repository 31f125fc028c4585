//! Faults that tests have found, each with the smallest course of events that showed it; all mended since.

mod common;
#[path = "simulation/mod.rs"]
mod simulation;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::{MS, SECOND, address, addresses, identity, lone_gossip, registration};
use googletest::prelude::*;
use gradepaddle_controlplane::Micros;
use gradepaddle_controlplane::api::Call;
use gradepaddle_controlplane::item_kinds::{self, Evidence, SERVER, SESSION};
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

/// A node without a disk, and what it has put out.
struct Driven {
    node: Node,
    now: Micros,
}

impl Driven {
    fn new(number: u8) -> Driven {
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
        Driven { node, now: 0 }
    }

    fn hand(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.node.handle(self.now, input, &mut out);
        out
    }

    /// Lets time go by.
    fn wait(&mut self, span: Micros) -> Vec<Output> {
        let until = self.now + span;
        let mut out = Vec::new();
        while self.now < until {
            self.now = self.node.next_wake().clamp(self.now + 1, until);
            out.extend(self.hand(Input::Tick));
        }
        out
    }

    /// Another node passes items on.
    fn learn(&mut self, items: Vec<Item>) -> Vec<Output> {
        let items = items.into_iter().map(|item| AgedItem { item, age_ms: 0 }).collect();
        let content = Content::Gossip(Message::Push { items, acknowledge: false, repair: false });
        self.hand(Input::Envelope(Envelope { from: address(3), content }))
    }

    fn answers(out: &[Output], wanted: CallId) -> Vec<u16> {
        let status = |output: &Output| match output {
            Output::Respond { call_id, response } if *call_id == wanted => Some(response.status),
            _ => None,
        };
        out.iter().filter_map(status).collect()
    }
}

fn states(out: &[Output]) -> Vec<ServerState> {
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
    let stamp = item_kinds::server_stamp(1, Evidence::Reported);
    item_kinds::item(SERVER, "s", stamp, registration("s", owner, 1).to_bytes())
}

/// A control plane in which nodes 2, 3 and 4 have their sessions.
fn among_others() -> Vec<Item> {
    vec![session(2, 3, 1), session(3, 4, 1), session(4, 3, 1)]
}

/// Design note: servers are watched for silence by the node that takes their heartbeats.
/// Observed: after a restart at the same address, the node owns its servers by their items and watches none of them, and
/// the others see their owner alive. A server that crashed meanwhile stays ready at all nodes for good.
#[gtest]
fn a_node_that_restarted_watches_the_servers_that_called_it_before() -> Result<()> {
    let mut restarted = Driven::new(2);
    restarted.learn(among_others());
    expect_that!(states(&restarted.learn(vec![server_of(2)])), elements_are![eq(&ServerState::Ready)]);
    let out = restarted.wait(60 * SECOND);
    verify_that!(states(&out), contains(eq(&ServerState::Lost)))
}

/// Design note: the set of members is the union of the sessions that control balancers hold. Observed: a control balancer
/// that restarted at its address holds none of the sessions that bear its name, and its own session keeps them from
/// being orphans. A node that ended meanwhile and does not come back stays a member for good.
#[gtest]
fn a_restarted_control_balancer_expires_sessions_of_its_earlier_process() -> Result<()> {
    let mut gossip = lone_gossip(3);
    for item in among_others() {
        common::publish(&mut gossip, item);
    }
    let mut held = SessionTable::new(address(3));
    let mut removed = Vec::new();
    for beat in 0..150 {
        let now = beat * 400 * MS;
        removed.extend(held.tick(now, &gossip));
    }
    let keys: Vec<&str> = removed.iter().map(|item| &*item.key).collect();
    verify_that!(keys, contains(eq(&&*address(2).to_string())))
}

/// Observed: a node tells its data plane that a server whose node is missing is lost, and never takes that back when the
/// node's session returns: heartbeats that change nothing are not spread, so no item comes.
#[gtest]
fn a_server_is_ready_again_when_its_node_is_back() -> Result<()> {
    let mut node = Driven::new(9);
    node.learn(among_others());
    node.learn(vec![server_of(2)]);
    node.learn(vec![item_kinds::tombstone(SESSION, &address(2).to_string(), Stamp { major: 1, minor: 2 })]);
    let out = node.wait(8 * SECOND);
    verify_that!(states(&out), contains(eq(&ServerState::Lost)))?;
    node.learn(vec![session(2, 4, 3)]);
    let out = node.wait(5 * SECOND);
    verify_that!(states(&out), contains(eq(&ServerState::Ready)))
}

/// DRAIN, and the design note: leaving is acknowledged once two other nodes hold it.
/// Observed: a second DELETE is answered 200 at once, though nobody else has confirmed the first.
#[gtest]
fn a_repeated_leave_is_not_acknowledged_before_other_nodes_have_it() -> Result<()> {
    let mut node = Driven::new(9);
    node.learn(among_others());
    node.wait(SECOND);
    node.learn(vec![server_of(2)]);
    let leave = |call_id| Input::Call { call_id, call: Call::Leave { id: "s".to_owned() } };
    let mut out = node.hand(leave(CallId(1)));
    out.extend(node.wait(3 * SECOND));
    verify_that!(Driven::answers(&out, CallId(1)), elements_are![eq(&503)])?;
    let mut out = node.hand(leave(CallId(2)));
    out.extend(node.wait(100 * MS));
    verify_that!(Driven::answers(&out, CallId(2)), not(contains(eq(&200))))
}

/// A primary's roll-out over servers `s0`, `s1`, ... at version 1 while version 2 is announced.
struct RolloutDriver {
    rollout: Rollout,
    servers: Servers,
    now: Micros,
}

impl RolloutDriver {
    fn new(servers: usize) -> RolloutDriver {
        let ids = (0..servers).map(|number| Arc::from(format!("s{number}")));
        let servers = ids.map(|id: Arc<str>| (id.clone(), registration(&id, 1, 1))).collect();
        let mut rollout = Rollout::new(3 * SECOND);
        rollout.become_primary(0, 1);
        RolloutDriver { rollout, servers, now: 0 }
    }

    fn run(&mut self, span: Micros, answer: impl Fn(&str) -> OrderOutcome) -> Vec<Step> {
        let until = self.now + span;
        let named = BTreeMap::from([("advisor".to_owned(), 2)]);
        let mut all = Vec::new();
        while self.now < until {
            self.now += 100 * MS;
            let steps = self.rollout.tick(self.now, &self.servers, &named);
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
    let done = |step: &Step| match step {
        Step::PublishReservation(item) => {
            Reservation::from_bytes(&item.payload).is_ok_and(|mark| mark.loaded)
        }
        _ => false,
    };
    steps.iter().any(done)
}

/// ONE: holders must not take turns within `leaseMs`. Observed: a node that takes over after another waits, but forgets the
/// wait when it leads again under the next epoch, as it does when it changes the view, and orders at once.
#[gtest]
fn the_lease_of_another_primary_is_waited_for_across_a_view_change() -> Result<()> {
    let mut driver = RolloutDriver::new(1);
    driver.rollout.become_primary(driver.now, 4);
    let after_the_change = driver.run(400 * MS, |_| OrderOutcome::Failed);
    driver.rollout.become_primary(driver.now, 5);
    let within_the_lease = driver.run(2_500 * MS, |_| OrderOutcome::Failed);
    verify_that!(ordered(&after_the_change).len() + ordered(&within_the_lease).len(), eq(0))
}

/// VERSION. Observed: a server that crashed while it loads keeps its place among those that load at once until it is given
/// up 7 s later, though it has been known as lost for long.
#[gtest]
fn a_server_that_is_lost_while_it_loads_makes_room_for_another() -> Result<()> {
    let mut driver = RolloutDriver::new(3);
    driver.run(SECOND, |_| OrderOutcome::InProgress);
    driver.servers.get_mut("s0").or_fail()?.lost = true;
    let steps = driver.run(SECOND, |_| OrderOutcome::InProgress);
    verify_that!(ordered(&steps).iter().any(|server| &**server == "s1"), eq(true))
}

/// Prices fall on orders. Observed: a server whose report says that it holds the version is held back and ordered again and
/// again until its next heartbeat, up to `beatEveryMs` later.
#[gtest]
fn a_server_that_reported_the_version_is_not_ordered_again() -> Result<()> {
    let mut driver = RolloutDriver::new(1);
    let steps = driver.run(SECOND, |_| OrderOutcome::InProgress);
    verify_that!(ordered(&steps).len(), eq(1))?;
    driver.rollout.handle_report("s0", "advisor", 2);
    // Its heartbeat with the new version is still to come.
    let steps = driver.run(1_200 * MS, |_| OrderOutcome::Loaded);
    verify_that!(ordered(&steps).len(), eq(0))
}

/// VERSION: named weights have to be in use within `versionMs`. Observed: the first server that never takes its order is
/// begun again as soon as it was given up, and no other server is ever brought to the version.
#[gtest]
fn a_server_that_rejects_orders_does_not_block_others() -> Result<()> {
    let mut driver = RolloutDriver::new(3);
    let steps = driver.run(30 * SECOND, |server| match server {
        "s0" => OrderOutcome::Failed,
        _ => OrderOutcome::InProgress,
    });
    verify_that!(ordered(&steps).iter().any(|server| &**server == "s1"), eq(true))
}

/// Observed: a server that was given up is marked done, upon which every node tells its data plane that the server holds
/// the version (`Output::ServerHasVersion`), though it does not.
#[gtest]
fn a_released_server_without_the_version_is_not_reported_as_loaded() -> Result<()> {
    let mut driver = RolloutDriver::new(1);
    let steps = driver.run(10 * SECOND, |_| OrderOutcome::Failed);
    verify_that!(reported_loaded(&steps), eq(false))
}

fn first_violation(plan: &Plan, mut seeds: std::ops::Range<u64>) -> Option<String> {
    seeds.find_map(|seed| {
        let violation = World::new(plan.clone(), seed).play().violation?;
        Some(format!("seed {seed}: {violation}"))
    })
}

/// DEPLOY: seeds are any three machines that serve control. Observed: where none of them has a disk, no node without a disk
/// ever learns of the view: core machines talk to members alone, and the founder does not remember what it founded.
#[gtest]
fn seeds_need_no_disk_at_the_first_start() -> Result<()> {
    let plan = Plan { faults: 0, a_seed_has_a_disk: false, ..Plan::new(9, 3, 1) };
    verify_that!(first_violation(&plan, 0..10), none())
}

/// The same after a loss of power: core machines find the view on their disks and never say hello to the seeds, so
/// nodes whose seeds have no disk never hear of it. Here all processes are told the same ones.
#[gtest]
fn seeds_need_no_disk_after_a_loss_of_power() -> Result<()> {
    let ending = Ending::PowerLoss { wiped: 0 };
    let plan = Plan { faults: 0, servers: 0, same_seeds_without_disk: true, ending, ..Plan::new(9, 3, 1) };
    verify_that!(first_violation(&plan, 0..3), none())
}

/// The same as above in whole fleets: all nodes end up with the same list of servers.
#[gtest]
fn all_nodes_agree_on_servers_after_faults() -> Result<()> {
    let plan = Plan { servers_agree: true, ..Plan::new(9, 9, 2) };
    verify_that!(first_violation(&plan, 0..30), none())
}

/// The same as above in whole fleets: no server that crashed is ready for good, no node that is gone is a member, and
/// crashed servers hold up no others.
#[gtest]
fn all_nodes_know_what_is_gone() -> Result<()> {
    let plan = Plan { strict: true, ..Plan::new(9, 3, 1) };
    verify_that!(first_violation(&plan, 0..30), none())
}

/// The whole core loses power right after a server's end was acknowledged, and the server is gone as well: what is left is
/// what the acknowledgement waited for.
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
            let report = World::new(plan.clone(), seed).play();
            expect_that!(report.violation, none(), "{cores} cores, seed {seed}");
            faults += report.faults;
        }
        expect_that!(faults, gt(15), "{cores} cores: days on which it happened");
    }
    Ok(())
}

/// The data plane denied what a configuration allowed that this node had heard of and not received yet.
#[gtest]
fn a_configuration_that_is_on_its_way_is_expected() {
    let mut driven = Driven::new(1);
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
    expect_that!(expected(&driven.learn(vec![item(4, vec![1])])), eq(&vec![]));
    expect_that!(expected(&driven.hand(offer(5))), eq(&vec![Some(5)]));
    expect_that!(expected(&driven.hand(offer(5))), eq(&vec![]));
    expect_that!(expected(&driven.hand(offer(7))), eq(&vec![Some(7)]));
    expect_that!(expected(&driven.hand(offer(4))), eq(&vec![]));
    expect_that!(expected(&driven.learn(vec![item(7, vec![2])])), eq(&vec![None]));
}
