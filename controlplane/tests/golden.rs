//! Golden tests of the bytes that a node sends: responses of the control API, status, calls to servers, gossiped items.

#[path = "golden/lone_node.rs"]
mod lone_node;
#[path = "simulation/mod.rs"]
mod simulation;
#[path = "golden/transcript.rs"]
mod transcript;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use gradepaddle_controlplane::api::{self, Call, Response, fingerprint_number, patch_fingerprint_number};
use gradepaddle_controlplane::api_server::serve_api;
use gradepaddle_controlplane::clock::Clock;
use gradepaddle_controlplane::driver::DriverEvent;
use gradepaddle_controlplane::item_kinds::{
    CACHE_STORE, CONFIGURATION, CONFIGURATION_KEY, MODEL_VERSION, RESERVATION, SERVER, SERVER_REMOVED,
    SESSION, ServerObservation, next_minor, server_stamp,
};
use gradepaddle_controlplane::node::{CallId, Input, Output};
use gradepaddle_controlplane::order::Order;
use gradepaddle_controlplane::rollout::{Reservation, Rollout, Step};
use gradepaddle_controlplane::server_client::{self, OrderPermit};
use gradepaddle_controlplane::session_table::Session;
use gradepaddle_controlplane::version_announcement::VersionAnnouncement;
use gradepaddle_gossip::Item;
use gradepaddle_http::buffers::Pool;
use gradepaddle_proto::{
    Content, ControlCall, Encode, Envelope, ModelVersion, Registration, SessionHeartbeatReply, ViewSummary,
};
use gradepaddle_resources::{ClientLimiter, ResourcePlan};
use lone_node::{LoneNode, address, identity};
use simulation::{MS, Plan, SECOND, World};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use transcript::{Transcript, hex};

const CONFIGURATION_BODY: &str = include_str!("../../examples/system/configuration.json");
/// The id of the calls of these tests; no other call id is as high.
const CALL_ID: CallId = CallId(1 << 40);

/// The limiter of the control address of a machine of the sites.
fn control_clients() -> ClientLimiter {
    ClientLimiter::new(ResourcePlan::new(260, 4_100).control.clients)
}

/// Decides calls that come over HTTP; `None` if there is no response.
type Decide = Box<dyn FnMut(Call) -> Option<Response>>;

/// Serves the control API, sends each request on a connection of its own, and records the responses.
async fn exchange(
    transcript: &mut Transcript,
    mut decide: Decide,
    requests: Vec<(String, String)>,
) -> Result<()> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let (driver, mut events) = mpsc::unbounded_channel();
    tokio::task::spawn_local(serve_api(listener, driver, Clock::new(Instant::now()), control_clients()));
    tokio::task::spawn_local(async move {
        while let Some(event) = events.recv().await {
            let DriverEvent::Call(call, reply) = event else { continue };
            if let Some(answer) = decide(call) {
                let _ = reply.send(answer);
            }
        }
    });
    for (title, request) in requests {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(request.as_bytes()).await?;
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).await?;
        transcript.text(&title, &answer);
    }
    Ok(())
}

fn request(method: &str, path: &str, if_match: Option<&str>, body: &str) -> (String, String) {
    let condition = if_match.map_or(String::new(), |version| format!("If-Match: {version}\r\n"));
    let length = body.len();
    let title = format!("{method} {path} {}", if_match.unwrap_or_default());
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n{condition}Content-Length: {length}\r\n\r\n"
    );
    (title, head + body)
}

fn titled(title: &str, (request_line, request): (String, String)) -> (String, String) {
    (format!("{request_line} ({title})"), request)
}

fn heartbeat(state: &str, call_count: u64) -> String {
    format!(
        "{{\"backend\":\"advice\",\"address\":\"10.9.9.1:8000\",\"zone\":\"west\",\"version\":\"r3\",\"slots\":16,\
         \"state\":\"{state}\",\"warmupLeftMs\":250.5,\"stage\":\"both\",\"callCount\":{call_count},\
         \"models\":[{{\"name\":\"advisor\",\"version\":3,\"adapters\":[]}}]}}"
    )
}

/// Has a node decide the calls.
fn decided_by_node(mut node: LoneNode) -> Decide {
    Box::new(move |call| {
        Some(node.call(call).unwrap_or_else(|| Response::unavailable("nothing came at once")))
    })
}

fn run_local<F: Future<Output = Result<()>>>(future: F) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, future)
}

fn requests_of_operators() -> Vec<(String, String)> {
    let whole = CONFIGURATION_BODY;
    let other = whole.replacen("\"timeoutMs\": 4000", "\"timeoutMs\": 5000", 1);
    let wrong = whole.replacen("\"timeoutMs\": 4000", "\"timeoutMs\": 0", 1);
    let patch = "{\"version\":13,\"remove\":{\"routes\":[\"order\"]}}";
    vec![
        request("GET", "/v1/config", None, ""),
        request("PUT", "/v1/config", None, whole),
        request("PUT", "/v1/config", Some("latest"), whole),
        titled("half of it", request("PUT", "/v1/config", Some("0"), &whole[..40])),
        titled("nothing in it", request("PUT", "/v1/config", Some("0"), "{}")),
        titled("a time-out of 0", request("PUT", "/v1/config", Some("0"), &wrong)),
        titled("the first", request("PUT", "/v1/config", Some("0"), whole)),
        titled("the same again", request("PUT", "/v1/config", Some("\"12\""), whole)),
        titled("another on an older one", request("PUT", "/v1/config", Some("0"), &other)),
        titled("another of the same version", request("PUT", "/v1/config", Some("12"), &other)),
        request("GET", "/v1/config", None, ""),
        titled("no patch", request("PATCH", "/v1/config", Some("12"), "[9]")),
        titled("an unknown list", request("PATCH", "/v1/config", Some("12"), "{\"version\":13,\"upsert\":{\"x\":[]}}")),
        titled("on an older one", request("PATCH", "/v1/config", Some("3"), patch)),
        titled("a patch", request("PATCH", "/v1/config", Some("12"), patch)),
        titled("again", request("PATCH", "/v1/config", Some("12"), patch)),
        request("POST", "/v1/version-put", None, "{\"model\":\"advisor\",\"version\":2}"),
        titled("no model", request("POST", "/v1/version-put", None, "{\"version\":2}")),
        titled("nothing", request("POST", "/v1/version-put", None, "")),
        request("GET", "/v1/status", None, ""),
        request("DELETE", "/v1/config", None, ""),
        request("GET", "/v1/version-put", None, ""),
        request("PUT", "/v1/status", None, "{}"),
        request("GET", "/v1/config/x", None, ""),
        request("GET", "/v1/other", None, ""),
        request("GET", "/v2/config", None, ""),
        request("GET", "/", None, ""),
        titled("too long", (
            "PUT /v1/config".to_owned(),
            "PUT /v1/config HTTP/1.1\r\nHost: c\r\nContent-Length: 5242881\r\n\r\n".to_owned(),
        )),
        titled("no length", (
            "PUT /v1/config".to_owned(),
            "PUT /v1/config HTTP/1.1\r\nHost: c\r\nContent-Length: many\r\n\r\n".to_owned(),
        )),
        titled("kept open, then closed", (
            "GET /v1/other twice".to_owned(),
            "GET /v1/other HTTP/1.1\r\nHost: c\r\n\r\nGET /v1/other HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n"
                .to_owned(),
        )),
    ]
}

#[gtest]
fn answers_to_operators() -> Result<()> {
    run_local(async {
        let mut transcript = Transcript::default();
        exchange(&mut transcript, decided_by_node(LoneNode::leading()), requests_of_operators()).await?;
        transcript.verify("operators.txt")
    })
}

#[gtest]
fn answers_to_servers() -> Result<()> {
    run_local(async {
        let mut transcript = Transcript::default();
        let path = "/v1/servers/i-1";
        let requests = vec![
            request("PUT", path, None, &heartbeat("ready", 1)),
            titled("again", request("PUT", path, None, &heartbeat("ready", 2))),
            titled(
                "no service",
                request("PUT", path, None, "{\"address\":\"10.9.9.1:8000\",\"state\":\"ready\"}"),
            ),
            titled("half", request("PUT", path, None, "{\"backend\":")),
            titled("no body", request("PUT", path, None, "")),
            titled(
                "it drains, and nobody else holds it yet",
                request("PUT", path, None, &heartbeat("draining", 3)),
            ),
            titled("it leaves, and nobody else holds it yet", request("DELETE", path, None, "")),
            request("GET", path, None, ""),
            request("POST", path, None, "{}"),
            request("DELETE", "/v1/servers/", None, ""),
            request("PUT", "/v1/servers/i-1/x", None, "{}"),
        ];
        exchange(&mut transcript, decided_by_node(LoneNode::leading()), requests).await?;
        transcript.verify("servers.txt")
    })
}

#[gtest]
fn unavailable_responses() -> Result<()> {
    run_local(async {
        let mut transcript = Transcript::default();
        let put = || request("PUT", "/v1/config", Some("0"), CONFIGURATION_BODY);
        let read = || request("GET", "/v1/config", None, "");
        let alone = vec![titled("no primary", put()), titled("no primary", read())];
        exchange(&mut transcript, decided_by_node(LoneNode::new()), alone).await?;
        let late: Decide = Box::new(|_| Some(Response { valid_until: Some(1), ..Response::bare(200) }));
        exchange(&mut transcript, late, vec![titled("its lease has run out", read())]).await?;
        exchange(&mut transcript, Box::new(|_| None), vec![titled("dropped by the driver", read())]).await?;
        transcript.verify("unavailable.txt")
    })
}

/// Calls that are answered only after a timeout.
#[gtest]
fn late_answers() -> Result<()> {
    let mut transcript = Transcript::default();
    let mut leading = LoneNode::leading();
    leading.call(Call::Leave { id: "i-1".to_owned() });
    leading.run_for(10 * SECOND, true);
    let mut follower = LoneNode::new();
    let view = ViewSummary { epoch: 5, primary: Some(address(3)), members: vec![address(3)] };
    let reply =
        SessionHeartbeatReply { incarnation: 0, granted: false, seen_incarnation: 0, view: Some(view) };
    follower.handle(Input::Envelope(Envelope {
        from: address(3),
        content: Content::SessionHeartbeatReply(reply),
    }));
    follower.call(Call::Control(ControlCall::GetConfiguration));
    follower.run_for(2 * SECOND, false);
    for (title, node) in [("held by nobody else", leading), ("the primary is silent", follower)] {
        for answer in node.answers {
            transcript.line(&format!("{title}: {} {}", answer.status, String::from_utf8_lossy(&answer.body)));
        }
    }
    transcript.verify("late.txt")
}

#[gtest]
fn state_of_a_node() -> Result<()> {
    let mut transcript = Transcript::default();
    let mut note = |title: &str, node: &mut LoneNode| {
        let answer = node.call(Call::Status).expect("a state");
        transcript.line(&format!("{title}: {} {:?}", answer.status, answer.valid_until));
        transcript.line(&String::from_utf8_lossy(&answer.body));
    };
    let mut node = LoneNode::new();
    note("without a disk", &mut node);
    node.open_disk();
    note("no member of any view", &mut node);
    let mut node = LoneNode::leading();
    note("it leads", &mut node);
    let body = Arc::from(CONFIGURATION_BODY.as_bytes());
    node.call(Call::Control(ControlCall::PutConfiguration { if_match: 0, version: 12, body }));
    node.call(Call::Control(ControlCall::NameVersion { model: Arc::from("advisor"), version: 7 }));
    let call = |path: &str, body: String| {
        api::parse("PUT", path, None, body.as_bytes()).expect("a call that makes sense")
    };
    node.call(call("/v1/servers/i-1", heartbeat("ready", 1)));
    node.call(call("/v1/servers/i-2", heartbeat("draining", 1)));
    note("a configuration, a version and two servers", &mut node);
    node.run_for(6 * SECOND, true);
    note("no heartbeat of a server for six seconds", &mut node);
    transcript.verify("status.txt")
}

#[gtest]
fn roles_of_three_core_machines() -> Result<()> {
    let mut world = World::new(Plan { faults: 0, ..Plan::new(3, 3, 1) }, 1);
    world.run_until(6_800 * MS);
    let now = world.now;
    let mut roles = BTreeSet::new();
    for machine in &mut world.machines {
        let process = machine.process.as_mut().expect("it runs");
        let (clock, mut out) = (process.clock(now), Vec::new());
        process.node.handle(clock, Input::Call { call_id: CALL_ID, call: Call::Status }, &mut out);
        let body = out.into_iter().find_map(|output| match output {
            Output::Respond { call_id: CALL_ID, response } => Some(response.body),
            _ => None,
        });
        let state: serde_json::Value = serde_json::from_slice(&body.or_fail()?)?;
        roles.insert(state["role"].as_str().or_fail()?.to_owned());
    }
    let roles: Vec<&str> = roles.iter().map(String::as_str).collect();
    verify_that!(roles, eq(&vec!["backup", "primary", "witness"]))
}

/// Accepts one connection, answers its request with `answer` and returns the received bytes.
async fn serve_once(listener: TcpListener, answer: &'static str) -> String {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut received = Vec::new();
    while !received.ends_with(b"}") && !received.ends_with(b"\r\n\r\n") {
        stream.read_buf(&mut received).await.expect("bytes");
    }
    stream.write_all(answer.as_bytes()).await.expect("it reads");
    String::from_utf8(received).expect("text")
}

async fn listen() -> Result<(TcpListener, SocketAddrV4)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
    let address = listener.local_addr()?;
    let SocketAddr::V4(address) = address else { unreachable!("bound to an IPv4 address") };
    Ok((listener, address))
}

#[gtest]
fn calls_to_servers_and_nodes() -> Result<()> {
    const TAKEN: &str = "HTTP/1.1 202 Taken\r\nContent-Length: 0\r\n\r\n";
    const EMPTY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    run_local(async {
        let pool = Pool::default();
        let (listener, address) = listen().await?;
        let model = Arc::from("advisor \"é\"");
        let order = Order { server: Arc::from("i-7"), address, model, version: 2, fencing_token: 41 };
        let leading = watch::Sender::new(Some(41));
        let permit = OrderPermit::new(41, Instant::now() + Duration::from_secs(10), leading.subscribe());
        let (_, received) = tokio::join!(
            server_client::send_order(&order, "node-1", &pool, permit),
            serve_once(listener, TAKEN)
        );
        let wanted = format!(
            "POST /v1/order HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nX-Target-Server: i-7\r\n\
             Content-Type: application/json\r\nContent-Length: 100\r\n\r\n\
             {{\"order\":\"version\",\"model\":\"advisor \\\"é\\\"\",\"version\":2,\"method\":\"keep\",\
             \"owner\":\"node-1\",\"fence\":41}}"
        );
        expect_that!(received, eq(&wanted));
        let (listener, address) = listen().await?;
        let (_, received) =
            tokio::join!(server_client::fetch_report("i-7", address, &pool), serve_once(listener, EMPTY));
        let wanted = format!(
            "GET /v1/report HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\nX-Target-Server: i-7\r\n\r\n"
        );
        expect_that!(received, eq(&wanted));
        let (listener, address) = listen().await?;
        let (_, received) = tokio::join!(
            server_client::call(address, "GET", "/v1/status", &[], &pool),
            serve_once(listener, EMPTY)
        );
        expect_that!(
            received,
            eq(&format!("GET /v1/status HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n"))
        );
        Ok(())
    })
}

fn item_line(item: &Item) -> String {
    let Item { kind, key, stamp, payload, removed } = item;
    format!("{} {key} {}.{} removed={removed} {}", kind.0, stamp.major, stamp.minor, hex(payload))
}

/// The items that a primary pushes to another node.
#[gtest]
fn items_of_a_node() -> Result<()> {
    let mut node = LoneNode::leading();
    let call = |path: &str, body: String| {
        api::parse("PUT", path, None, body.as_bytes()).expect("a call that makes sense")
    };
    node.call(call("/v1/servers/i-1", heartbeat("ready", 1)));
    node.call(call("/v1/servers/i-2", heartbeat("draining", 4)));
    node.call(Call::Leave { id: "i-3".to_owned() });
    let body = Arc::from(*b"{\"version\":12,\"routes\":[],\"backends\":[]}");
    node.call(Call::Control(ControlCall::PutConfiguration { if_match: 0, version: 12, body }));
    node.call(Call::Control(ControlCall::NameVersion { model: Arc::from("advisor"), version: 7 }));
    node.handle(Input::CacheStoreChanged { name: Arc::from("store-1"), alive: true });
    node.handle(Input::CacheStoreChanged { name: Arc::from("store-1"), alive: false });
    node.run_for(8 * SECOND, true);
    let lines: BTreeSet<String> = node.pushed.iter().map(item_line).collect();
    let mut transcript = Transcript::default();
    lines.iter().for_each(|line| transcript.line(line));
    transcript.verify("items.txt")
}

#[gtest]
fn kinds_keys_and_stamps() {
    let kinds = [CONFIGURATION, MODEL_VERSION, SERVER, SESSION, RESERVATION, CACHE_STORE].map(|kind| kind.0);
    expect_that!(kinds, eq([1, 2, 3, 4, 5, 6]));
    expect_that!(CONFIGURATION_KEY, eq("current"));
    let stamp = |stamp: gradepaddle_gossip::Stamp| (stamp.major, stamp.minor);
    expect_that!(stamp(server_stamp(9, ServerObservation::Reported)), eq((9, 0)));
    expect_that!(stamp(server_stamp(9, ServerObservation::Lost)), eq((9, 1)));
    expect_that!(stamp(SERVER_REMOVED), eq((u64::MAX, 0)));
    expect_that!(next_minor(0, address(1)), eq(NEXT_MINOR_OF_NODE_1));
    expect_that!(next_minor(NEXT_MINOR_OF_NODE_1, address(2)), eq(NEXT_MINOR_OF_NODE_2));
}

const NEXT_MINOR_OF_NODE_1: u64 = 97_935;
const NEXT_MINOR_OF_NODE_2: u64 = 172_868;

#[gtest]
fn payloads() -> Result<()> {
    let mut transcript = Transcript::default();
    let mut note = |title: &str, bytes: Vec<u8>| transcript.line(&format!("{title}: {}", hex(&bytes)));
    note("session", Session { identity: identity(3, Some(77)), granted_by: address(1) }.to_bytes());
    note("version named first", VersionAnnouncement::default().to_bytes());
    note("version named before", VersionAnnouncement { announced_before: 1_234_567 }.to_bytes());
    let model: Arc<str> = Arc::from("advisor");
    note("server to load", Reservation { model: model.clone(), version: 300, loaded: false }.to_bytes());
    note("server that holds it", Reservation { model: model.clone(), version: 300, loaded: true }.to_bytes());
    let registration = Registration {
        id: Arc::from("i-1"),
        service: Arc::from("advice"),
        address: address(9),
        zone: Arc::from("west"),
        slots: 16,
        draining: true,
        lost: true,
        warmup_left_ms: 250,
        models: vec![ModelVersion { model, version: 3 }],
        owner: address(1),
    };
    note("server", registration.to_bytes());
    transcript.verify("payloads.txt")
}

/// The reservations, orders and queries of a roll-out whose orders have no outcome.
#[gtest]
fn reservations_of_a_rollout() -> Result<()> {
    let server = Registration {
        id: Arc::from("s0"),
        service: Arc::from("advice"),
        address: address(9),
        zone: Arc::from("west"),
        slots: 16,
        draining: false,
        lost: false,
        warmup_left_ms: 0,
        models: vec![ModelVersion { model: Arc::from("advisor"), version: 1 }],
        owner: address(1),
    };
    let servers = BTreeMap::from([(server.id.clone(), server)]);
    let announced = BTreeMap::from([("advisor".to_owned(), 2)]);
    let mut rollout = Rollout::new(3 * SECOND);
    rollout.become_primary(0, 1);
    let mut transcript = Transcript::default();
    for tick in 0..120 {
        for step in rollout.tick(tick * 100 * MS, &servers, &announced) {
            match step {
                Step::PublishReservation(item) => {
                    transcript.line(&format!("{tick} mark {}", item_line(&item)));
                }
                Step::SendOrder(order) => transcript.line(&format!("{tick} order of {}", order.version)),
                Step::QueryServer { server, .. } => transcript.line(&format!("{tick} ask {server}")),
            }
        }
    }
    transcript.verify("marks.txt")
}

#[gtest]
fn fingerprints() {
    let rows: [(&[u8], &str); 3] = [
        (b"", "49c9dc36ea4d40a0a6a1f9f5b94913af"),
        (b"{\"version\":9}", "d14783cc028ad34ab58fe8740c8b31f6"),
        (CONFIGURATION_BODY.as_bytes(), "c89db8b26a8c696edc7cf27682ce5dd2"),
    ];
    for (body, wanted) in rows {
        expect_that!(format!("{:032x}", fingerprint_number(body)), eq(wanted));
    }
    let patch = b"{\"version\":9}";
    expect_that!(
        format!("{:032x}", patch_fingerprint_number(7, patch)),
        eq("091b75ebcdb33eec192b00a8c479e5f8")
    );
    expect_that!(
        format!("{:032x}", patch_fingerprint_number(8, patch)),
        eq("962781c81f286a44afeb68e9a13e9770")
    );
}
