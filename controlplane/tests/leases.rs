//! Conclusive responses and orders are sent within the lease only, even if responses, replies or processes are delayed.

#[path = "simulation/mod.rs"]
mod simulation;

use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use gradepaddle_controlplane::api::{Call, Response};
use gradepaddle_controlplane::api_server::serve_api;
use gradepaddle_controlplane::clock::Clock;
use gradepaddle_controlplane::driver::DriverEvent;
use gradepaddle_controlplane::item_kinds::{self, CONFIGURATION, CONFIGURATION_KEY};
use gradepaddle_controlplane::node::{CallId, Input, Node, Output};
use gradepaddle_controlplane::order::{Order, OrderOutcome};
use gradepaddle_controlplane::server_client::{self, OrderPermit};
use gradepaddle_controlplane::{CLOCK_START, Micros};
use gradepaddle_gossip::{AgedItem, Message, Stamp};
use gradepaddle_http::buffers::Pool;
use gradepaddle_proto::{Content, ControlCall, Envelope, ForwardedCall, ForwardedReply};
use gradepaddle_resources::{ClientLimiter, ResourcePlan};
use simulation::operator::body;
use simulation::{MS, Plan, SECOND, World};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// The id of the calls of these tests; no other call id is as high.
const CALL_ID: CallId = CallId(1 << 40);

/// The limiter of the control address of a machine of the sites.
fn control_clients() -> ClientLimiter {
    ClientLimiter::new(ResourcePlan::new(260, 4_100).control.clients)
}
/// The maximum duration of a lease.
const LEASE: Micros = 1_500 * MS;

/// Three nodes with configurations and announced model versions.
struct Fleet {
    world: World,
    primary: usize,
}

impl Fleet {
    fn new() -> Fleet {
        let mut world = World::new(Plan { faults: 0, ..Plan::new(3, 3, 1) }, 1);
        world.run_until(6_800 * MS);
        let leads = |node: &usize| {
            let process = world.machines[*node].process.as_ref().expect("it runs");
            process.observed.leading.is_some()
        };
        let primary = (0..3).find(leads).expect("there is a primary");
        Fleet { world, primary }
    }

    fn clock(&self, node: usize) -> Micros {
        self.world.machines[node].process.as_ref().expect("it runs").clock(self.world.now)
    }

    fn node(&mut self, node: usize) -> &mut Node {
        &mut self.world.machines[node].process.as_mut().expect("it runs").node
    }

    /// Has a node handle an input at `later` microseconds from now.
    fn handle(&mut self, node: usize, later: Micros, input: Input) -> Vec<Output> {
        let now = self.clock(node) + later;
        let mut out = Vec::new();
        self.node(node).handle(now, input, &mut out);
        out
    }

    fn call(&mut self, node: usize, call: Call) -> Vec<Output> {
        self.handle(node, 0, Input::Call { call_id: CALL_ID, call })
    }

    fn address(&self, node: usize) -> SocketAddrV4 {
        self.world.machines[node].address
    }

    fn envelope(&self, from: usize, content: Content) -> Input {
        Input::Envelope(Envelope { from: self.address(from), content })
    }
}

fn answer(out: &[Output]) -> Option<Response> {
    out.iter().find_map(|output| match output {
        Output::Respond { call_id: CALL_ID, response } => Some(response.clone()),
        _ => None,
    })
}

fn put(if_match: u64, version: u64) -> Call {
    Call::Control(ControlCall::PutConfiguration { if_match, version, body: body(version, "test", 0) })
}

fn some_order(address: SocketAddrV4) -> Order {
    Order { server: Arc::from("s"), address, model: Arc::from("advisor"), version: 2, fencing_token: 1 }
}

/// The process may be stopped between the decision and the response.
#[gtest]
fn immediate_decisions_are_sent_within_the_lease_only() {
    let rows = [
        ("the newest configuration", Call::Control(ControlCall::GetConfiguration), 200),
        ("an outdated base version", put(0, 1_000), 412),
        (
            "a version that is announced already",
            Call::Control(ControlCall::NameVersion { model: Arc::from("advisor"), version: 1 }),
            200,
        ),
    ];
    for (what, call, status) in rows {
        let mut fleet = Fleet::new();
        let primary = fleet.primary;
        let now = fleet.clock(primary);
        let answer = answer(&fleet.call(primary, call)).expect("an answer");
        expect_that!(answer.status, eq(status), "{what}");
        expect_that!(answer.clone().unless_expired(now).status, eq(status), "{what}");
        expect_that!(answer.unless_expired(now + LEASE).status, eq(503), "{what}");
    }
}

/// The backup acknowledges after the lease has expired: the change is in force, but only the current primary may say so.
#[gtest]
fn a_change_that_is_durable_after_the_lease_gets_503() -> Result<()> {
    for (later, status) in [(5 * MS, 200), (LEASE + 100 * MS, 503)] {
        let mut fleet = Fleet::new();
        let primary = fleet.primary;
        let current = fleet.world.operators[0].current;
        let out = fleet.call(primary, put(current, current + 10));
        let mut written = Vec::new();
        for output in out {
            match output {
                Output::Persist { write_id, .. } => written.push(Input::Persisted(write_id)),
                Output::Send { to, content: content @ Content::Control(_) } => {
                    let backup = (0..3).find(|node| fleet.address(*node) == to).or_fail()?;
                    let input = fleet.envelope(primary, content);
                    for reply in replies(&mut fleet, backup, input) {
                        written.push(fleet.envelope(backup, reply));
                    }
                }
                _ => {}
            }
        }
        let last = written.pop().or_fail()?;
        for input in written {
            fleet.handle(primary, 2 * MS, input);
        }
        let out = fleet.handle(primary, later, last);
        let answer = answer(&out).or_fail()?;
        expect_that!(answer.status, eq(status), "{later} µs later");
    }
    Ok(())
}

/// The replies of a backup to a message, after its writes are durable.
fn replies(fleet: &mut Fleet, backup: usize, input: Input) -> Vec<Content> {
    let mut replies = Vec::new();
    let mut inputs = vec![input];
    while let Some(input) = inputs.pop() {
        for output in fleet.handle(backup, MS, input) {
            match output {
                Output::Persist { write_id, .. } => inputs.push(Input::Persisted(write_id)),
                Output::Send { content: content @ Content::Control(_), .. } => replies.push(content),
                _ => {}
            }
        }
    }
    replies
}

/// The reply of the primary comes late, or is handled late because the process was stopped.
#[gtest]
fn a_reply_of_the_primary_is_relayed_within_its_lease_only() -> Result<()> {
    let rows = [
        ("at once", 412, 1_200 * MS, 2 * MS, 412),
        ("at once, a success", 200, 1_200 * MS, 2 * MS, 200),
        ("just within its lease", 412, 300 * MS, 299 * MS, 412),
        ("just beyond its lease", 412, 300 * MS, 300 * MS, 503),
        ("beyond the time of callers", 412, 1_400 * MS, SECOND, 503),
        ("after a long pause", 412, 1_200 * MS, 20 * SECOND, 503),
        ("after a long pause, a success", 200, 1_200 * MS, 20 * SECOND, 503),
        ("without a lease", 412, 0, 2 * MS, 503),
        ("nothing clear", 503, 0, 2 * MS, 503),
    ];
    for (what, reply, lease_remaining, later, status) in rows {
        let mut fleet = Fleet::new();
        let forwarder = (fleet.primary + 1) % 3;
        let out = fleet.call(forwarder, Call::Control(ControlCall::GetConfiguration));
        let call_id = out.iter().find_map(|output| match output {
            Output::Send { content: Content::ForwardedCall(forward), .. } => Some(forward.call_id),
            _ => None,
        });
        let forwarded = ForwardedReply {
            call_id: call_id.or_fail()?,
            status: reply,
            body: Arc::from([]),
            lease_remaining,
        };
        let input = fleet.envelope(fleet.primary, Content::ForwardedReply(forwarded));
        let sent = fleet.clock(forwarder);
        let answer = answer(&fleet.handle(forwarder, later, input)).or_fail()?;
        expect_that!(answer.status, eq(status), "{what}");
        // A response that is delayed before it is sent becomes 503 as well.
        expect_that!(answer.unless_expired(sent + lease_remaining.max(MS)).status, eq(503), "{what}");
    }
    Ok(())
}

/// A read of the configuration as a node that is not the primary forwards it.
fn forwarded_read(fleet: &mut Fleet, forwarder: usize) -> Option<ForwardedCall> {
    let out = fleet.call(forwarder, Call::Control(ControlCall::GetConfiguration));
    out.into_iter().find_map(|output| match output {
        Output::Send { content: Content::ForwardedCall(forwarded), .. } => Some(forwarded),
        _ => None,
    })
}

/// The primary's reply to a forwarded call.
fn reply_of_primary(fleet: &mut Fleet, forwarder: usize, forwarded: ForwardedCall) -> Option<ForwardedReply> {
    let input = fleet.envelope(forwarder, Content::ForwardedCall(forwarded));
    fleet.handle(fleet.primary, 0, input).into_iter().find_map(|output| match output {
        Output::Send { content: Content::ForwardedReply(reply), .. } => Some(reply),
        _ => None,
    })
}

/// The reply of the primary contains the remaining time of its lease, also for builds that read the whole configuration.
#[gtest]
fn the_primary_sends_the_remaining_lease_with_its_reply() -> Result<()> {
    for (reads_whole, status) in [(true, 200), (false, 304)] {
        let mut fleet = Fleet::new();
        let forwarder = (fleet.primary + 1) % 3;
        let mut forwarded = forwarded_read(&mut fleet, forwarder).or_fail()?;
        if reads_whole {
            forwarded.known_version = 0;
        }
        let reply = reply_of_primary(&mut fleet, forwarder, forwarded).or_fail()?;
        expect_that!((reply.status, reply.lease_remaining), (eq(status), all![gt(0), le(LEASE)]));
    }
    Ok(())
}

/// A body of some hundred kilobytes took longer over a slow link than a call may last. So a node that has the newest
/// configuration gets a confirmation from the primary instead of a copy.
#[gtest]
fn a_read_at_a_node_that_has_the_newest_configuration_moves_no_body() -> Result<()> {
    let mut fleet = Fleet::new();
    let (primary, forwarder) = (fleet.primary, (fleet.primary + 1) % 3);
    let newest = answer(&fleet.call(primary, Call::Control(ControlCall::GetConfiguration))).or_fail()?;
    verify_that!(newest.status, eq(200))?;
    let forwarded = forwarded_read(&mut fleet, forwarder).or_fail()?;
    let reply = reply_of_primary(&mut fleet, forwarder, forwarded).or_fail()?;
    expect_that!(reply.body.len(), eq(0));
    let input = fleet.envelope(primary, Content::ForwardedReply(reply));
    let read = answer(&fleet.handle(forwarder, MS, input)).or_fail()?;
    expect_that!((read.status, &read.body), (eq(200), eq(&newest.body)));

    // A node with an older configuration gets the whole of the newest.
    let mut forwarded = forwarded_read(&mut fleet, forwarder).or_fail()?;
    forwarded.known_version -= 1;
    let reply = reply_of_primary(&mut fleet, forwarder, forwarded).or_fail()?;
    expect_that!((reply.status, &reply.body), (eq(200), eq(&newest.body)));
    Ok(())
}

/// Every call gets a response before its caller times out after 1 s.
#[gtest]
fn a_call_without_a_decision_of_the_primary_gets_503_within_a_second() -> Result<()> {
    for call in [
        Call::Control(ControlCall::GetConfiguration),
        put(0, 1),
        Call::Control(ControlCall::NameVersion { model: Arc::from("m"), version: 1 }),
    ] {
        let mut fleet = Fleet::new();
        let forwarder = (fleet.primary + 1) % 3;
        let mut out = fleet.call(forwarder, call);
        let mut later = 0;
        while answer(&out).is_none() && later < 5 * SECOND {
            later += 10 * MS;
            out.extend(fleet.handle(forwarder, later, Input::Tick));
        }
        expect_that!(answer(&out).or_fail()?.status, eq(503));
        expect_that!(later, lt(950 * MS));
    }
    Ok(())
}

#[gtest]
fn an_order_is_sent_before_the_end_of_the_lease_only() -> Result<()> {
    let mut fleet = Fleet::new();
    let primary = fleet.primary;
    let now = fleet.clock(primary);
    let epoch =
        fleet.world.machines[primary].process.as_ref().and_then(|one| one.observed.leading).or_fail()?;
    let deadline = fleet.node(primary).order_deadline(now, epoch).or_fail()?;
    expect_that!(deadline, all![gt(now), le(now + LEASE)]);
    expect_that!(fleet.node(primary).order_deadline(deadline, epoch), none());
    expect_that!(fleet.node(primary).order_deadline(now, epoch + 1), none());
    Ok(())
}

fn run<T>(test: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().or_fail()?;
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

async fn listen() -> Result<(TcpListener, SocketAddrV4)> {
    let listener = TcpListener::bind("127.0.0.1:0").await.or_fail()?;
    let port = listener.local_addr().or_fail()?.port();
    Ok((listener, SocketAddrV4::new(std::net::Ipv4Addr::LOCALHOST, port)))
}

/// The lease is checked again right before the response is written.
#[gtest]
fn the_api_server_sends_nothing_conclusive_after_the_lease() -> Result<()> {
    run(async {
        let rows = [(Some(CLOCK_START), "503"), (Some(CLOCK_START + 3_600 * SECOND), "200"), (None, "200")];
        for (valid_until, status) in rows {
            let (listener, address) = listen().await?;
            let (driver, mut calls) = mpsc::unbounded_channel();
            let served = serve_api(listener, driver, Clock::new(Instant::now()), control_clients());
            let served = tokio::task::spawn_local(served);
            let mut caller = TcpStream::connect(address).await.or_fail()?;
            let request = b"GET /v1/config HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            caller.write_all(request).await.or_fail()?;
            let Some(DriverEvent::Call(_, reply)) = calls.recv().await else { return fail!("no call came") };
            let answer = Response { valid_until, ..Response::bare(200) };
            verify_that!(reply.send(answer).is_ok(), eq(true))?;
            let mut text = String::new();
            caller.read_to_string(&mut text).await.or_fail()?;
            expect_that!(text, starts_with(format!("HTTP/1.1 {status} ")), "{valid_until:?}");
            served.abort();
        }
        Ok(())
    })
}

/// The result of an order to a server that reads it and never answers.
struct UnansweredOrder {
    bytes: Vec<u8>,
    /// The error with which the connection ended for the server; `None` if it was closed normally.
    error: Option<ErrorKind>,
    answer: OrderOutcome,
}

/// Sends an order with fencing token 1 and calls `then` once its first bytes have arrived.
async fn send_unanswered_order(permit: OrderPermit, then: impl FnOnce()) -> Result<UnansweredOrder> {
    let (listener, address) = listen().await?;
    let outcome = tokio::task::spawn_local(async move {
        server_client::send_order(&some_order(address), "node-1", &Pool::default(), permit).await
    });
    let (mut server, _) = listener.accept().await.or_fail()?;
    let mut bytes = vec![0; 16];
    let first = server.read(&mut bytes).await.unwrap_or(0);
    bytes.truncate(first);
    then();
    let error = server.read_to_end(&mut bytes).await.err().map(|error| error.kind());
    Ok(UnansweredOrder { bytes, error, answer: outcome.await.or_fail()? })
}

/// Number of attempts, of which the fastest counts: on a busy machine some of them may be delayed.
const ATTEMPTS: usize = 3;

fn in_an_hour() -> Instant {
    Instant::now() + Duration::from_secs(3_600)
}

/// The process was stopped, or this node stepped down, after the first check of the permit: the connection is
/// established, but nothing is sent.
#[gtest]
fn an_order_whose_lease_has_run_out_is_not_sent() -> Result<()> {
    run(async {
        let rows = [
            ("after the lease", Instant::now(), Some(1)),
            ("not the primary", in_an_hour(), None),
            ("in a later epoch", in_an_hour(), Some(2)),
        ];
        for (what, deadline, leads) in rows {
            let (_sender, primary_epoch) = watch::channel(leads);
            let order = send_unanswered_order(OrderPermit::new(1, deadline, primary_epoch), || {}).await?;
            expect_that!(order.bytes, is_empty(), "{what}");
            expect_that!(order.answer, eq(OrderOutcome::Failed), "{what}");
        }
        Ok(())
    })
}

/// An order without a response by the end of the lease is cancelled: bytes that a partition delays could arrive much
/// later.
#[gtest]
fn an_order_without_a_response_is_reset_at_the_end_of_the_lease() -> Result<()> {
    run(async {
        let (_sender, primary_epoch) = watch::channel(Some(1));
        let deadline = Instant::now() + Duration::from_millis(200);
        let order = send_unanswered_order(OrderPermit::new(1, deadline, primary_epoch), || {}).await?;
        expect_that!(order.bytes.starts_with(b"POST /v1/order "), eq(true));
        expect_that!(order.error, some(eq(ErrorKind::ConnectionReset)));
        verify_that!(order.answer, eq(OrderOutcome::Failed))
    })
}

/// After a leadership transfer or a new epoch, no earlier order arrives after one of the next epoch.
#[gtest]
fn an_order_in_flight_is_reset_when_its_fencing_token_expires() -> Result<()> {
    run(async {
        for next in [None, Some(2)] {
            let mut fastest = Duration::MAX;
            for _ in 0..ATTEMPTS {
                let (sender, primary_epoch) = watch::channel(Some(1));
                let permit = OrderPermit::new(1, in_an_hour(), primary_epoch);
                let started = Instant::now();
                let order = send_unanswered_order(permit, || {
                    sender.send_replace(next);
                });
                let order = order.await?;
                fastest = fastest.min(started.elapsed());
                expect_that!(order.bytes.starts_with(b"POST /v1/order "), eq(true));
                expect_that!(order.error, some(eq(ErrorKind::ConnectionReset)), "{next:?}");
                expect_that!(order.answer, eq(OrderOutcome::Failed), "{next:?}");
            }
            // The reset is due to the change of the epoch, not to the response timeout of half a second.
            expect_that!(fastest, lt(Duration::from_millis(450)), "{next:?}");
        }
        Ok(())
    })
}

/// A patch is checked against the configuration in force, and the response is sent within the lease only.
#[gtest]
fn responses_of_the_primary_to_a_patch() {
    let patch = |if_match, version, text: &str| {
        Call::Control(ControlCall::PatchConfiguration {
            if_match,
            version,
            patch: Arc::from(text.as_bytes()),
        })
    };
    let mut fleet = Fleet::new();
    let current = fleet.world.operators[0].current;
    let (next, older) = (current + 5, current.saturating_sub(1));
    let removes_unknown = format!(r#"{{"version":{next},"remove":{{"routes":["none"]}}}}"#);
    let unknown_backend = format!(
        r#"{{"version":{next},"upsert":{{"routes":[{{"name":"r","host":"a","pathPrefix":"/","kind":"safe","timeoutMs":1,"backend":"none"}}]}}}}"#
    );
    let rows = [
        ("on an outdated version", patch(older, next, &format!(r#"{{"version":{next}}}"#)), 412),
        ("on a future version", patch(next, next + 1, &format!(r#"{{"version":{}}}"#, next + 1)), 503),
        ("not above its base", patch(current, current, &format!(r#"{{"version":{current}}}"#)), 400),
        ("an unknown name to remove", patch(current, next, &removes_unknown), 400),
        ("a configuration that isn't valid", patch(current, next, &unknown_backend), 400),
    ];
    for (what, call, status) in rows {
        let primary = fleet.primary;
        let now = fleet.clock(primary);
        let answer = answer(&fleet.call(primary, call)).expect("an answer");
        expect_that!(answer.status, eq(status), "{what}");
        expect_that!(answer.unless_expired(now + LEASE).status, eq(503), "{what}");
    }
}

/// The response to a patch was lost, and other changes have followed: the repeated patch is acknowledged again.
#[gtest]
fn a_repeated_patch_is_acknowledged_again() -> Result<()> {
    let mut fleet = Fleet::new();
    let current = fleet.world.operators[0].current;
    let text = format!(r#"{{"version":{},"upsert":{{"customers":[{{"name":"new"}}]}}}}"#, current + 1);
    let first = Call::Control(ControlCall::PatchConfiguration {
        if_match: current,
        version: current + 1,
        patch: Arc::from(text.as_bytes()),
    });
    let rival = put(current, current + 1);
    let later = Call::Control(ControlCall::PatchConfiguration {
        if_match: current + 1,
        version: current + 2,
        patch: Arc::from(format!(r#"{{"version":{}}}"#, current + 2).as_bytes()),
    });
    let rows = [
        ("first", &first, 200),
        ("again", &first, 200),
        ("its rival", &rival, 412),
        ("a later one", &later, 200),
        ("the first once more", &first, 200),
    ];
    for (what, call, status) in rows {
        let answer = replicated_call(&mut fleet, call.clone()).or_fail()?;
        expect_that!(answer.status, eq(status), "{what}");
    }
    let read = replicated_call(&mut fleet, Call::Control(ControlCall::GetConfiguration)).or_fail()?;
    let read = String::from_utf8_lossy(&read.body).into_owned();
    expect_that!(read, contains_substring(format!("\"version\":{}", current + 2)));
    verify_that!(read, contains_substring(r#""customers":[{"name":"new"}]"#))
}

/// The response to a call at the primary, after all writes and the replication that it needs.
fn replicated_call(fleet: &mut Fleet, call: Call) -> Option<Response> {
    let primary = fleet.primary;
    let mut outputs = fleet.call(primary, call);
    for _ in 0..4 {
        if let Some(answer) = answer(&outputs) {
            return Some(answer);
        }
        let mut next = Vec::new();
        for output in outputs {
            match output {
                Output::Persist { write_id, .. } => {
                    next.extend(fleet.handle(primary, MS, Input::Persisted(write_id)));
                }
                Output::Send { to, content: content @ Content::Control(_) } => {
                    let backup = (0..3).find(|node| fleet.address(*node) == to)?;
                    let input = fleet.envelope(primary, content);
                    for reply in replies(fleet, backup, input) {
                        let reply = fleet.envelope(backup, reply);
                        next.extend(fleet.handle(primary, MS, reply));
                    }
                }
                _ => {}
            }
        }
        outputs = next;
    }
    answer(&outputs)
}

/// A caller waits for 1 s, in which a slow link can't carry a long configuration, so the caller is redirected to the
/// primary, whose machine has a fast link.
#[gtest]
fn a_long_configuration_is_read_at_the_primary() -> Result<()> {
    let mut world = World::new(Plan { faults: 0, ..Plan::new(5, 3, 1) }, 1);
    world.run_until(6_800 * MS);
    let leads = |node: &usize| {
        let process = world.machines[*node].process.as_ref().expect("it runs");
        process.observed.leading.is_some()
    };
    let primary = (0..5).find(leads).expect("there is a primary");
    let mut fleet = Fleet { world, primary };
    let read = || Call::Control(ControlCall::GetConfiguration);
    let newer = |bytes: usize, version| {
        let stamp = Stamp { major: version, minor: 0 };
        let item = item_kinds::item(CONFIGURATION, CONFIGURATION_KEY, stamp, vec![b' '; bytes]);
        let items = vec![AgedItem { item, age_ms: 0 }];
        Content::Gossip(Message::Push { items, acknowledge: false, repair: false })
    };
    for (bytes, version, redirects) in [(256 * 1024, 10_000, false), (256 * 1024 + 1, 10_001, true)] {
        for node in (0..5).filter(|node| *node != primary) {
            let input = fleet.envelope(primary, newer(bytes, version));
            fleet.handle(node, 0, input);
            // Core machines have fast links themselves.
            let location = SocketAddrV4::new(*fleet.address(primary).ip(), 9_100);
            let expected = (redirects && node >= 3).then(|| Response::redirect(location));
            expect_that!(answer(&fleet.call(node, read())), eq(&expected), "node {node}, {bytes} bytes");
        }
    }
    Ok(())
}
