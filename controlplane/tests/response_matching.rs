//! Responses are matched to the call that they belong to: calls forwarded to the primary, and orders to servers.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use common::{MS, SECOND, address, addresses, grant, identity, lone_gossip, registration, view};
use googletest::prelude::*;
use gradepaddle_controlplane::Micros;
use gradepaddle_controlplane::api::Call;
use gradepaddle_controlplane::node::{CallId, Input, Node, NodeSetup, Output};
use gradepaddle_controlplane::order::{MAX_ORDER_DURATION, Order, OrderOutcome};
use gradepaddle_controlplane::rollout::{Reservation, Rollout, Servers, Step};
use gradepaddle_controlplane::server_client::{self, OrderPermit};
use gradepaddle_controlplane::session_client::SessionClient;
use gradepaddle_controlplane::version_announcement::VersionDeadlines;
use gradepaddle_http::buffers::Pool;
use gradepaddle_proto::{
    Content, ControlCall, Decode, Envelope, ForwardedCall, ForwardedReply, ModelVersion,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

/// A process of the node at `address(1)`. The primary is at `address(3)`.
struct TestNode(Node);

impl TestNode {
    fn new(incarnation: u64) -> TestNode {
        let node = Node::new(NodeSetup {
            session: SessionClient::new(identity(1, incarnation), addresses([3, 4]), 0),
            gossip: lone_gossip(1),
            bootstrap: None,
            heartbeat_interval: 1_200 * MS,
            order_lease: 3 * SECOND,
            version_deadlines: VersionDeadlines { from_publication: 8 * SECOND, from_announcement: None },
            revoke_within: None,
            machine_losses: 1,
            control_port: 9_100,
            now: 0,
        });
        let mut node = TestNode(node);
        node.receive(3, Content::SessionHeartbeatReply(grant(incarnation, Some(view(5, [3, 4])))));
        node
    }

    fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.0.handle(0, input, &mut out);
        out
    }

    fn receive(&mut self, from: u8, content: Content) -> Vec<Output> {
        self.handle(Input::Envelope(Envelope { from: address(from), content }))
    }

    /// Reads the configuration; returns the id under which the call was forwarded.
    fn read(&mut self, call_id: u64) -> Result<u64> {
        let out = self.handle(Input::Call {
            call_id: CallId(call_id),
            call: Call::Control(ControlCall::GetConfiguration),
        });
        let forwarded = out.iter().find_map(|output| match output {
            Output::Send { to, content: Content::ForwardedCall(forward) } if *to == address(3) => {
                Some(forward.call_id)
            }
            _ => None,
        });
        forwarded.or_fail()
    }

    /// Handles a reply with this id. Returns the calls that it ends.
    fn answered(&mut self, from: u8, call_id: u64) -> Vec<u64> {
        let reply = ForwardedReply { call_id, status: 200, body: Arc::from(*b"{}"), lease_remaining: SECOND };
        let out = self.receive(from, Content::ForwardedReply(reply));
        let ended = out.iter().filter_map(|output| match output {
            Output::Respond { call_id, .. } => Some(call_id.0),
            _ => None,
        });
        ended.collect()
    }
}

/// The primary replies to a call of a process that has ended meanwhile, while the next process at that address has calls
/// in flight.
#[gtest]
fn a_reply_to_a_call_of_an_earlier_process_matches_none_of_this_one() -> Result<()> {
    let mut earlier = TestNode::new(1_000);
    let earlier_ids: Vec<u64> = (0..50).map(|call| earlier.read(call)).collect::<Result<_>>()?;
    let mut later = TestNode::new(1_001);
    let pending: Vec<u64> = (0..50).map(|call| later.read(call)).collect::<Result<_>>()?;
    for call_id in earlier_ids {
        expect_that!(later.answered(3, call_id), is_empty());
    }
    for (call, call_id) in pending.into_iter().enumerate() {
        expect_that!(later.answered(3, call_id), eq(&[call as u64]));
    }
    Ok(())
}

/// 2,000 processes at one address, started one microsecond apart, with 1,000 calls each.
#[gtest]
fn call_ids_of_two_processes_never_overlap() -> Result<()> {
    let mut first_ids = BTreeSet::new();
    for incarnation in 0..2_000 {
        let first = TestNode::new(1_700_000_000_000_000 + incarnation).read(1)?;
        first_ids.insert(first);
    }
    let far_apart = first_ids.iter().zip(first_ids.iter().skip(1)).all(|(one, next)| next - one > 1_000);
    verify_that!(far_apart, eq(true))
}

#[gtest]
fn only_the_node_to_which_a_call_was_forwarded_may_reply() -> Result<()> {
    let mut node = TestNode::new(1);
    let call_id = node.read(7)?;
    expect_that!(node.answered(4, call_id), is_empty());
    expect_that!(node.answered(3, call_id), eq(&[7]));
    expect_that!(node.answered(3, call_id), is_empty());
    Ok(())
}

/// A `SplitMix64` pseudorandom number generator.
struct Random(u64);

impl Random {
    fn below(&mut self, end: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % end
    }
}

/// A random sequence of events: one node restarts again and again, each of its calls announces a different version, and
/// the replies of two primaries come late, twice, out of order, or never.
struct Scenario {
    random: Random,
    now: Micros,
    incarnation: u64,
    epoch: u64,
    node: TestNode,
    calls: u64,
    /// Calls without a response: the announced version by the driver's call id.
    pending: BTreeMap<u64, u64>,
    /// Replies in flight, with the number of the node that sends them.
    in_flight: Vec<(u8, ForwardedReply)>,
    answered: u64,
}

impl Scenario {
    fn new(seed: u64) -> Scenario {
        Scenario {
            random: Random(seed),
            now: 0,
            incarnation: 1_000,
            epoch: 5,
            node: TestNode::new(1_000),
            calls: 0,
            pending: BTreeMap::new(),
            in_flight: Vec::new(),
            answered: 0,
        }
    }

    fn step(&mut self) -> Result<()> {
        self.now += self.random.below(300 * MS);
        match self.random.below(100) {
            0..=44 => self.call(),
            45..=89 => self.deliver(),
            90..=94 => self.change_view(),
            95..=97 => {
                self.incarnation += 1 + self.random.below(1_000);
                self.node = TestNode::new(self.incarnation);
                // The callers of the earlier process have lost their connections.
                self.pending.clear();
                Ok(())
            }
            _ => self.handle(Input::Tick),
        }
    }

    /// Makes a call. The driver's call ids start from the beginning in each process.
    fn call(&mut self) -> Result<()> {
        self.calls += 1;
        let (version, call_id) = (self.calls, self.pending.len() as u64 + 1);
        if self.pending.contains_key(&call_id) {
            return Ok(());
        }
        self.pending.insert(call_id, version);
        let call = Call::Control(ControlCall::NameVersion { model: Arc::from("advisor"), version });
        self.handle(Input::Call { call_id: CallId(call_id), call })
    }

    fn deliver(&mut self) -> Result<()> {
        if self.in_flight.is_empty() {
            return Ok(());
        }
        let at = self.random.below(self.in_flight.len() as u64) as usize;
        let (from, reply) = match self.random.below(4) {
            0 => self.in_flight[at].clone(),
            _ => self.in_flight.swap_remove(at),
        };
        let content = Content::ForwardedReply(reply);
        self.handle(Input::Envelope(Envelope { from: address(from), content }))
    }

    fn change_view(&mut self) -> Result<()> {
        self.epoch += 1;
        let members = if self.epoch.is_multiple_of(2) { [3, 4] } else { [4, 3] };
        let grant = grant(self.incarnation, Some(view(self.epoch, members)));
        self.handle(Input::Envelope(Envelope {
            from: address(3),
            content: Content::SessionHeartbeatReply(grant),
        }))
    }

    fn handle(&mut self, input: Input) -> Result<()> {
        let mut out = Vec::new();
        self.node.0.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, content: Content::ForwardedCall(forward) } => self.decide(to, &forward),
                Output::Respond { call_id, response } => {
                    let version = self.pending.remove(&call_id.0).or_fail()?;
                    if response.status == 200 {
                        self.answered += 1;
                        verify_that!(&*response.body, eq(version.to_string().as_bytes()))?;
                    }
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// A primary replies with the announced version as the body.
    fn decide(&mut self, primary: SocketAddrV4, forward: &ForwardedCall) {
        let ControlCall::NameVersion { version, .. } = &forward.call else { return };
        let body = Arc::from(version.to_string().into_bytes());
        let reply = ForwardedReply { call_id: forward.call_id, status: 200, body, lease_remaining: SECOND };
        self.in_flight.push((primary.ip().octets()[3], reply));
    }
}

/// 2,200 scenarios of 400 steps. Incarnations are as close to each other as those of two starts of a process can be.
#[gtest]
fn each_call_gets_its_own_response_or_none() -> Result<()> {
    let mut answered = 0;
    for seed in 0..2_200 {
        let mut scenario = Scenario::new(seed);
        for _ in 0..400 {
            scenario.step().with_failure_message(|| format!("seed {seed}"))?;
        }
        answered += scenario.answered;
    }
    verify_that!(answered, gt(100_000))
}

/// A roll-out with one server that has two models.
struct RolloutFixture {
    rollout: Rollout,
    servers: Servers,
    announced: BTreeMap<String, u64>,
    now: Micros,
}

impl RolloutFixture {
    fn new(announced: &[(&str, u64)]) -> RolloutFixture {
        let mut server = registration("s0", 1, 1);
        server.models.push(ModelVersion { model: Arc::from("second"), version: 1 });
        let mut rollout = Rollout::new(3 * SECOND);
        rollout.become_primary(0, 1);
        let announced = announced.iter().map(|(model, version)| ((*model).to_owned(), *version)).collect();
        RolloutFixture { rollout, servers: BTreeMap::from([(server.id.clone(), server)]), announced, now: 0 }
    }

    fn tick(&mut self) -> Option<Order> {
        self.now += 100 * MS;
        let steps = self.rollout.tick(self.now, &self.servers, &self.announced);
        steps.into_iter().find_map(|step| match step {
            Step::SendOrder(order) => Some(order),
            _ => None,
        })
    }

    /// Runs until an order is sent.
    fn next_order(&mut self) -> Result<Order> {
        (0..100).find_map(|_| self.tick()).or_fail()
    }

    fn reported_loaded(&mut self, order: &Order, answer: OrderOutcome) -> Vec<(Arc<str>, u64)> {
        let steps = self.rollout.handle_order_outcome(self.now, order, answer);
        let reservations = steps.iter().filter_map(|step| match step {
            Step::PublishReservation(item) => Reservation::from_bytes(&item.payload).ok(),
            _ => None,
        });
        reservations
            .filter(|reservation| reservation.loaded)
            .map(|reservation| (reservation.model, reservation.version))
            .collect()
    }
}

/// Version numbers of different models are independent of each other.
#[gtest]
fn a_server_loads_the_versions_of_all_its_models() -> Result<()> {
    let mut fixture = RolloutFixture::new(&[("advisor", 9), ("second", 2)]);
    let first = fixture.next_order()?;
    expect_that!((&*first.model, first.version), eq(("advisor", 9)));
    expect_that!(fixture.reported_loaded(&first, OrderOutcome::Loaded), eq(&[(Arc::from("advisor"), 9)]));
    let second = fixture.next_order()?;
    expect_that!((&*second.model, second.version), eq(("second", 2)));
    Ok(())
}

/// A load ends by the report of the server, and the outcome of its order comes only while the server loads a version of
/// another model.
#[gtest]
fn a_late_order_outcome_ends_no_other_load() -> Result<()> {
    for late in [OrderOutcome::Loaded, OrderOutcome::InProgress] {
        let mut fixture = RolloutFixture::new(&[("advisor", 2)]);
        let first = fixture.next_order()?;
        fixture.rollout.handle_report("s0", "advisor", 2);
        fixture.announced.insert("second".to_owned(), 5);
        let second = fixture.next_order()?;
        expect_that!((&*second.model, second.version), eq(("second", 5)));
        expect_that!(fixture.reported_loaded(&first, late), is_empty());
        // The second order is still sent again, like any order without an outcome.
        expect_that!(fixture.next_order()?, eq(&second));
        expect_that!(fixture.reported_loaded(&second, OrderOutcome::Loaded), eq(&[(Arc::from("second"), 5)]));
    }
    Ok(())
}

/// The outcome of an order for an older version does not mark a newer version of the same model as loaded.
#[gtest]
fn an_outcome_of_an_order_of_an_older_version_does_not_match_a_newer_one() -> Result<()> {
    let mut fixture = RolloutFixture::new(&[("advisor", 2)]);
    let first = fixture.next_order()?;
    fixture.rollout.handle_report("s0", "advisor", 2);
    fixture.announced.insert("advisor".to_owned(), 3);
    let second = fixture.next_order()?;
    expect_that!(second.version, eq(3));
    expect_that!(fixture.reported_loaded(&first, OrderOutcome::Loaded), is_empty());
    fixture.rollout.become_primary(fixture.now, 2);
    let third = fixture.next_order()?;
    expect_that!((third.version, third.fencing_token), eq((3, 2)));
    expect_that!(
        fixture.reported_loaded(&second, OrderOutcome::Loaded),
        is_empty(),
        "sent under an older fencing token"
    );
    Ok(())
}

/// Accepts one connection, answers its request with `answer` and returns the received bytes.
async fn served_once(listener: TcpListener, answer: &'static str) -> String {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut received = Vec::new();
    while !received.ends_with(b"}") && !received.ends_with(b"\r\n\r\n") {
        stream.read_buf(&mut received).await.expect("bytes");
    }
    stream.write_all(answer.as_bytes()).await.expect("it reads");
    String::from_utf8(received).expect("text")
}

fn order_at(address: SocketAddrV4) -> Order {
    Order { server: Arc::from("i-7"), address, model: Arc::from("advisor"), version: 2, fencing_token: 41 }
}

/// A permit for an order with this `fencing_token`, valid as long as the returned sender is kept.
fn permit(fencing_token: u64) -> (watch::Sender<Option<u64>>, OrderPermit) {
    let primary_epoch = watch::Sender::new(Some(fencing_token));
    let deadline = Instant::now() + Duration::from_secs(10);
    let permit = OrderPermit::new(fencing_token, deadline, primary_epoch.subscribe());
    (primary_epoch, permit)
}

/// The address may belong to another server by now, or to the next incarnation of this one.
#[gtest]
fn requests_to_a_server_name_the_target_server() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        for (answer, wanted) in [
            ("HTTP/1.1 202 Taken\r\nContent-Length: 0\r\n\r\n", OrderOutcome::InProgress),
            ("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", OrderOutcome::Failed),
            ("HTTP/1.1 409 Busy\r\nContent-Length: 0\r\n\r\n", OrderOutcome::Failed),
            ("HTTP/1.1 412 Higher Fence\r\nContent-Length: 0\r\n\r\n", OrderOutcome::Superseded),
        ] {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            let SocketAddr::V4(address) = listener.local_addr()? else { return fail!("no IPv4") };
            let pool = Pool::default();
            let order = order_at(address);
            let (_primary_epoch, permit) = permit(order.fencing_token);
            let outcome = server_client::send_order(&order, "node-1", &pool, permit);
            let (outcome, received) = tokio::join!(outcome, served_once(listener, answer));
            expect_that!(outcome, eq(wanted));
            expect_that!(received, contains_substring("\r\nX-Target-Server: i-7\r\n"));
        }
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else { return fail!("no IPv4") };
        let pool = Pool::default();
        let other = "HTTP/1.1 421 Other\r\nContent-Length: 2\r\n\r\n{}";
        let (report, received) =
            tokio::join!(server_client::fetch_report("i-7", address, &pool), served_once(listener, other));
        expect_that!(report.is_none(), eq(true));
        expect_that!(received, contains_substring("\r\nX-Target-Server: i-7\r\n"));
        Ok(())
    })
}

/// The operators' rule ONE: the last order of a primary must have ended before the next primary may send one. The server
/// accepts the connection and neither reads nor answers.
#[gtest]
fn an_order_without_a_response_is_over_before_another_primary_sends_one() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let maximum = MAX_ORDER_DURATION;
    runtime.block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else { return fail!("no IPv4") };
        let (pool, order, started) = (Pool::default(), order_at(address), Instant::now());
        let (_primary_epoch, permit) = permit(order.fencing_token);
        let outcome = server_client::send_order(&order, "node-1", &pool, permit);
        let (outcome, accepted) = tokio::join!(outcome, listener.accept());
        expect_that!(outcome, eq(OrderOutcome::Failed));
        expect_that!(started.elapsed(), lt(maximum + Duration::from_millis(400)));
        // Undelivered bytes are never delivered: the connection is reset, not closed.
        let mut received = Vec::new();
        let end = accepted?.0.read_to_end(&mut received).await;
        expect_that!(end.map_err(|error| error.kind()), err(eq(ErrorKind::ConnectionReset)));
        Ok(())
    })?;
    let mut fixture = RolloutFixture::new(&[("advisor", 2)]);
    fixture.rollout.become_primary(fixture.now, 7);
    fixture.next_order()?;
    expect_that!(fixture.now, gt(3 * SECOND + maximum.as_micros() as Micros));
    Ok(())
}
