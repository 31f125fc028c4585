//! Responses reach the call that they belong to: calls forwarded to the primary, and orders to servers.

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

/// A process of the node at `address(1)`. Its primary is at `address(3)`.
struct Caller(Node);

impl Caller {
    fn new(incarnation: u64) -> Caller {
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
        let mut caller = Caller(node);
        caller.receive(3, Content::SessionHeartbeatReply(grant(incarnation, Some(view(5, [3, 4])))));
        caller
    }

    fn hand(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.0.handle(0, input, &mut out);
        out
    }

    fn receive(&mut self, from: u8, content: Content) -> Vec<Output> {
        self.hand(Input::Envelope(Envelope { from: address(from), content }))
    }

    /// Reads the configuration; returns the id under which the call was forwarded.
    fn read(&mut self, call_id: u64) -> Result<u64> {
        let out = self.hand(Input::Call {
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

    /// The calls that a reply with this id ends.
    fn answered(&mut self, from: u8, ticket: u64) -> Vec<u64> {
        let reply =
            ForwardedReply { call_id: ticket, status: 200, body: Arc::from(*b"{}"), lease_remaining: SECOND };
        let out = self.receive(from, Content::ForwardedReply(reply));
        let ended = out.iter().filter_map(|output| match output {
            Output::Respond { call_id, .. } => Some(call_id.0),
            _ => None,
        });
        ended.collect()
    }
}

/// The primary answers a call of a process that has ended meanwhile; the next process at that address has other calls
/// on their way.
#[gtest]
fn a_reply_to_a_call_of_an_earlier_process_matches_none_of_this_one() -> Result<()> {
    let mut earlier = Caller::new(1_000);
    let lost: Vec<u64> = (0..50).map(|call| earlier.read(call)).collect::<Result<_>>()?;
    let mut later = Caller::new(1_001);
    let open: Vec<u64> = (0..50).map(|call| later.read(call)).collect::<Result<_>>()?;
    for ticket in lost {
        expect_that!(later.answered(3, ticket), is_empty());
    }
    for (call, ticket) in open.into_iter().enumerate() {
        expect_that!(later.answered(3, ticket), eq(&[call as u64]));
    }
    Ok(())
}

/// 2,000 processes with 1,000 calls each, one microsecond after the other, at one address.
#[gtest]
fn call_ids_of_two_processes_never_overlap() -> Result<()> {
    let mut names = BTreeSet::new();
    for incarnation in 0..2_000 {
        let first = Caller::new(1_700_000_000_000_000 + incarnation).read(1)?;
        names.insert(first);
    }
    let apart = names.iter().zip(names.iter().skip(1)).all(|(one, next)| next - one > 1_000);
    verify_that!(apart, eq(true))
}

#[gtest]
fn only_the_node_to_which_a_call_was_forwarded_may_reply() -> Result<()> {
    let mut caller = Caller::new(1);
    let ticket = caller.read(7)?;
    expect_that!(caller.answered(4, ticket), is_empty());
    expect_that!(caller.answered(3, ticket), eq(&[7]));
    expect_that!(caller.answered(3, ticket), is_empty());
    Ok(())
}

/// `SplitMix64`.
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

/// Processes of one node after each other, calls at them that each name a version of its own, and two primaries whose
/// answers come late, twice, in any order, or never.
struct Play {
    random: Random,
    now: Micros,
    incarnation: u64,
    epoch: u64,
    caller: Caller,
    calls: u64,
    /// Calls without a response: by the driver's call id, the version that each announces.
    open: BTreeMap<u64, u64>,
    /// Answers on their way, with who gives them.
    on_the_way: Vec<(u8, ForwardedReply)>,
    answered: u64,
}

impl Play {
    fn new(seed: u64) -> Play {
        Play {
            random: Random(seed),
            now: 0,
            incarnation: 1_000,
            epoch: 5,
            caller: Caller::new(1_000),
            calls: 0,
            open: BTreeMap::new(),
            on_the_way: Vec::new(),
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
                self.caller = Caller::new(self.incarnation);
                // Its callers have lost their connections.
                self.open.clear();
                Ok(())
            }
            _ => self.hand(Input::Tick),
        }
    }

    /// The tickets of a driver begin anew in each process.
    fn call(&mut self) -> Result<()> {
        self.calls += 1;
        let (version, ticket) = (self.calls, self.open.len() as u64 + 1);
        if self.open.contains_key(&ticket) {
            return Ok(());
        }
        self.open.insert(ticket, version);
        let call = Call::Control(ControlCall::NameVersion { model: Arc::from("advisor"), version });
        self.hand(Input::Call { call_id: CallId(ticket), call })
    }

    fn deliver(&mut self) -> Result<()> {
        if self.on_the_way.is_empty() {
            return Ok(());
        }
        let at = self.random.below(self.on_the_way.len() as u64) as usize;
        let (from, reply) = match self.random.below(4) {
            0 => self.on_the_way[at].clone(),
            _ => self.on_the_way.swap_remove(at),
        };
        let content = Content::ForwardedReply(reply);
        self.hand(Input::Envelope(Envelope { from: address(from), content }))
    }

    fn change_view(&mut self) -> Result<()> {
        self.epoch += 1;
        let members = if self.epoch.is_multiple_of(2) { [3, 4] } else { [4, 3] };
        let grant = grant(self.incarnation, Some(view(self.epoch, members)));
        self.hand(Input::Envelope(Envelope {
            from: address(3),
            content: Content::SessionHeartbeatReply(grant),
        }))
    }

    fn hand(&mut self, input: Input) -> Result<()> {
        let mut out = Vec::new();
        self.caller.0.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Send { to, content: Content::ForwardedCall(forward) } => self.decide(to, &forward),
                Output::Respond { call_id, response } => {
                    let version = self.open.remove(&call_id.0).or_fail()?;
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

    /// A primary responds with the announced version.
    fn decide(&mut self, primary: SocketAddrV4, forward: &ForwardedCall) {
        let ControlCall::NameVersion { version, .. } = &forward.call else { return };
        let body = Arc::from(version.to_string().into_bytes());
        let reply = ForwardedReply { call_id: forward.call_id, status: 200, body, lease_remaining: SECOND };
        self.on_the_way.push((primary.ip().octets()[3], reply));
    }
}

/// 2,200 plays of 400 steps. The incarnations are as close to each other as two starts of a process can be.
#[gtest]
fn each_call_gets_its_own_response_or_none() -> Result<()> {
    let mut answered = 0;
    for seed in 0..2_200 {
        let mut run = Play::new(seed);
        for _ in 0..400 {
            run.step().with_failure_message(|| format!("seed {seed}"))?;
        }
        answered += run.answered;
    }
    verify_that!(answered, gt(100_000))
}

/// The driver over one server with two models.
struct RolloutDriver {
    rollout: Rollout,
    servers: Servers,
    named: BTreeMap<String, u64>,
    now: Micros,
}

impl RolloutDriver {
    fn new(named: &[(&str, u64)]) -> RolloutDriver {
        let mut server = registration("s0", 1, 1);
        server.models.push(ModelVersion { model: Arc::from("second"), version: 1 });
        let mut rollout = Rollout::new(3 * SECOND);
        rollout.become_primary(0, 1);
        let named = named.iter().map(|(model, version)| ((*model).to_owned(), *version)).collect();
        RolloutDriver { rollout, servers: BTreeMap::from([(server.id.clone(), server)]), named, now: 0 }
    }

    fn tick(&mut self) -> Option<Order> {
        self.now += 100 * MS;
        let steps = self.rollout.tick(self.now, &self.servers, &self.named);
        steps.into_iter().find_map(|step| match step {
            Step::SendOrder(order) => Some(order),
            _ => None,
        })
    }

    /// Goes on until an order is given.
    fn next_order(&mut self) -> Result<Order> {
        (0..100).find_map(|_| self.tick()).or_fail()
    }

    fn reported_loaded(&mut self, order: &Order, answer: OrderOutcome) -> Vec<(Arc<str>, u64)> {
        let steps = self.rollout.handle_order_outcome(self.now, order, answer);
        let marks = steps.iter().filter_map(|step| match step {
            Step::PublishReservation(item) => Reservation::from_bytes(&item.payload).ok(),
            _ => None,
        });
        marks.filter(|mark| mark.loaded).map(|mark| (mark.model, mark.version)).collect()
    }
}

/// Versions of different models have nothing to do with each other.
#[gtest]
fn a_server_loads_the_versions_of_all_its_models() -> Result<()> {
    let mut driver = RolloutDriver::new(&[("advisor", 9), ("second", 2)]);
    let first = driver.next_order()?;
    expect_that!((&*first.model, first.version), eq(("advisor", 9)));
    expect_that!(driver.reported_loaded(&first, OrderOutcome::Loaded), eq(&[(Arc::from("advisor"), 9)]));
    let second = driver.next_order()?;
    expect_that!((&*second.model, second.version), eq(("second", 2)));
    Ok(())
}

/// An order whose answer is slow is given again; the work ends by the report, and the slow answer comes when the server
/// is being brought to another model.
#[gtest]
fn a_late_order_outcome_ends_no_other_load() -> Result<()> {
    for late in [OrderOutcome::Loaded, OrderOutcome::InProgress] {
        let mut driver = RolloutDriver::new(&[("advisor", 2)]);
        let first = driver.next_order()?;
        driver.rollout.handle_report("s0", "advisor", 2);
        driver.named.insert("second".to_owned(), 5);
        let second = driver.next_order()?;
        expect_that!((&*second.model, second.version), eq(("second", 5)));
        expect_that!(driver.reported_loaded(&first, late), is_empty());
        // It is still given again, as one without an answer is.
        expect_that!(driver.next_order()?, eq(&second));
        expect_that!(driver.reported_loaded(&second, OrderOutcome::Loaded), eq(&[(Arc::from("second"), 5)]));
    }
    Ok(())
}

/// The same model: the newer version does not count as loaded by an outcome for the older one.
#[gtest]
fn an_outcome_of_an_order_of_an_older_version_does_not_match_a_newer_one() -> Result<()> {
    let mut driver = RolloutDriver::new(&[("advisor", 2)]);
    let first = driver.next_order()?;
    driver.rollout.handle_report("s0", "advisor", 2);
    driver.named.insert("advisor".to_owned(), 3);
    let second = driver.next_order()?;
    expect_that!(second.version, eq(3));
    expect_that!(driver.reported_loaded(&first, OrderOutcome::Loaded), is_empty());
    driver.rollout.become_primary(driver.now, 2);
    let third = driver.next_order()?;
    expect_that!((third.version, third.fencing_token), eq((3, 2)));
    expect_that!(
        driver.reported_loaded(&second, OrderOutcome::Loaded),
        is_empty(),
        "given under an older fence"
    );
    Ok(())
}

/// Takes one request and answers it with this; gives what came.
async fn served_once(listener: TcpListener, answer: &'static str) -> String {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut seen = Vec::new();
    while !seen.ends_with(b"}") && !seen.ends_with(b"\r\n\r\n") {
        stream.read_buf(&mut seen).await.expect("bytes");
    }
    stream.write_all(answer.as_bytes()).await.expect("it reads");
    String::from_utf8(seen).expect("text")
}

fn order_at(address: SocketAddrV4) -> Order {
    Order { server: Arc::from("i-7"), address, model: Arc::from("advisor"), version: 2, fencing_token: 41 }
}

/// A permit for an order under this `fencing_token`, good for as long as the sender is kept.
fn permit(fencing_token: u64) -> (watch::Sender<Option<u64>>, OrderPermit) {
    let leading = watch::Sender::new(Some(fencing_token));
    let deadline = Instant::now() + Duration::from_secs(10);
    let permit = OrderPermit::new(fencing_token, deadline, leading.subscribe());
    (leading, permit)
}

/// Its address may belong to another server by now, or to the next start of this one.
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
            let (_leading, permit) = permit(order.fencing_token);
            let given = server_client::send_order(&order, "node-1", &pool, permit);
            let (given, seen) = tokio::join!(given, served_once(listener, answer));
            expect_that!(given, eq(wanted));
            expect_that!(seen, contains_substring("\r\nX-Target-Server: i-7\r\n"));
        }
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else { return fail!("no IPv4") };
        let pool = Pool::default();
        let other = "HTTP/1.1 421 Other\r\nContent-Length: 2\r\n\r\n{}";
        let (report, seen) =
            tokio::join!(server_client::fetch_report("i-7", address, &pool), served_once(listener, other));
        expect_that!(report.is_none(), eq(true));
        expect_that!(seen, contains_substring("\r\nX-Target-Server: i-7\r\n"));
        Ok(())
    })
}

/// ONE: the last order of a primary must be over before the next one may order. Its server takes the connection and
/// neither reads nor answers.
#[gtest]
fn an_order_without_a_response_is_over_before_another_primary_sends_one() -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let most = MAX_ORDER_DURATION;
    runtime.block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let SocketAddr::V4(address) = listener.local_addr()? else { return fail!("no IPv4") };
        let (pool, order, begun) = (Pool::default(), order_at(address), Instant::now());
        let (_leading, permit) = permit(order.fencing_token);
        let given = server_client::send_order(&order, "node-1", &pool, permit);
        let (given, accepted) = tokio::join!(given, listener.accept());
        expect_that!(given, eq(OrderOutcome::Failed));
        expect_that!(begun.elapsed(), lt(most + Duration::from_millis(400)));
        // What was not delivered by then never is: its connection is reset, not ended.
        let mut seen = Vec::new();
        let end = accepted?.0.read_to_end(&mut seen).await;
        expect_that!(end.map_err(|error| error.kind()), err(eq(ErrorKind::ConnectionReset)));
        Ok(())
    })?;
    let mut driver = RolloutDriver::new(&[("advisor", 2)]);
    driver.rollout.become_primary(driver.now, 7);
    driver.next_order()?;
    expect_that!(driver.now, gt(3 * SECOND + most.as_micros() as Micros));
    Ok(())
}
