//! Clients that don't behave (issue 78): whatever a crowd sends to the front, control or readiness address, the process lives
//! on, holds no more memory and descriptors than its settings allow, and answers an ordinary request afterwards, while the
//! crowd is still connected and when it has gone.
//!
//! The crowds and the bounds are fixed. The settings have low limits, so that a small crowd is enough. Nothing here depends on
//! the speed of the machine: time limits only tell a process that hangs. The tests run one at a time.

#[path = "misbehaving_clients/crowd.rs"]
mod crowd;
#[path = "command_line/fleet.rs"]
#[allow(dead_code, reason = "other test files use the rest")]
mod fleet;
#[path = "misbehaving_clients/model_server.rs"]
mod model_server;
#[path = "misbehaving_clients/monitor.rs"]
mod monitor;
#[path = "command_line/program.rs"]
#[allow(dead_code, reason = "other test files use the rest")]
mod program;

use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crowd::{Behavior, Crowd, head, sends, sends_and_reads, unfinished_chunks};
use fleet::{Fleet, Resources};
use googletest::prelude::*;
use model_server::{ModelServer, Treatment};
use monitor::Monitor;

/// The resources of the process, which are also the bounds of the tests.
const RESOURCES: Resources = Resources { memory_mb: 64, open_files: 400 };
/// The resources of a machine of the sites, on which a call of the longest body fits.
const SITE_RESOURCES: Resources = Resources { memory_mb: 260, open_files: 4_100 };
const BYTES_PER_MB: u64 = 1_000_000;
/// `maxBodyBytes` of the configuration.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Clients with a body each: all bodies together are more than the memory of the process.
const BODY_CLIENTS: usize = 120;
/// Clients with nothing to send: more than the process may have descriptors.
const SILENT_CLIENTS: usize = 480;
/// The longest body that a node reads at its control address.
const MAX_CALL_BYTES: usize = 5 * 1024 * 1024;
/// Clients with a call each.
const CALL_CLIENTS: usize = 40;
/// Clients with a call each at a machine of the sites: all bodies together are more than its memory.
const SITE_CALL_CLIENTS: usize = 70;
/// The body of an ordinary request.
const ORDINARY_BODY_BYTES: usize = 20_000;
/// After this an ordinary request counts as never answered: the process hangs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);
const START_TIMEOUT: Duration = Duration::from_secs(30);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_PAUSE: Duration = Duration::from_millis(100);
const PROMPT_SERVER: Treatment = Treatment { reads_after: Duration::ZERO, answer_bytes: 10 };

/// One process with a configuration and a model server. While it exists no other test runs.
struct Node {
    fleet: Fleet,
    resources: Resources,
    monitor: Option<Monitor>,
    _server: ModelServer,
    _alone: MutexGuard<'static, ()>,
}

impl Node {
    fn start(treatment: Treatment) -> Result<Node> {
        Node::start_with(RESOURCES, treatment)
    }

    fn start_with(resources: Resources, treatment: Treatment) -> Result<Node> {
        static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());
        let alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let mut fleet = Fleet::start_with(1, Some(resources))?;
        fleet.wait(START_TIMEOUT, "there is a primary", |fleet| fleet.primary(0).is_some())?;
        put_until_acknowledged(&fleet, 0, &configuration(""))?;
        let server = ModelServer::start("desk", fleet.control_address(0), treatment)?;
        let process_id = fleet.process_id(0).or_fail()?;
        let monitor = Some(Monitor::start(process_id, *fleet.front_address(0).ip()));
        let node = Node { fleet, resources, monitor, _server: server, _alone: alone };
        node.answers_an_ordinary_request()?;
        Ok(node)
    }

    fn front(&self) -> SocketAddrV4 {
        self.fleet.front_address(0)
    }

    fn control(&self) -> SocketAddrV4 {
        self.fleet.control_address(0)
    }

    /// Lets a crowd at an address, and checks what must hold.
    fn withstands(mut self, clients: usize, at: SocketAddrV4, behavior: Arc<Behavior>) -> Result<()> {
        let crowd = Crowd::start(clients, at, behavior)?;
        let settled = crowd.settle();
        let beside_the_crowd = self.answers_ordinary_callers();
        drop(crowd);
        let afterwards = self.answers_ordinary_callers();
        let alive = self.fleet.is_alive(0);
        let peak = self.monitor.take().or_fail()?.finish();
        println!("{peak:?}");
        expect_that!(alive, eq(true));
        expect_that!(peak.memory_bytes, le(self.resources.memory_mb * BYTES_PER_MB), "{peak:?}");
        expect_that!(peak.descriptors, le(self.resources.open_files), "{peak:?}");
        settled.and(beside_the_crowd).and(afterwards)
    }

    /// An ordinary request, and a read of the node's status at its control address.
    fn answers_ordinary_callers(&self) -> Result<()> {
        self.answers_an_ordinary_request()?;
        let request = head("GET", "/v1/status", "control", "Connection: close\r\n");
        self.answers(self.control(), &request)
    }

    fn answers_an_ordinary_request(&self) -> Result<()> {
        let fields = format!(
            "X-Request-Id: ordinary\r\nX-Deadline-Ms: 8000\r\nConnection: close\r\n\
             Content-Length: {ORDINARY_BODY_BYTES}\r\n"
        );
        let mut request = head("POST", "/read/1", "desk.example", &fields);
        request.resize(request.len() + ORDINARY_BODY_BYTES, b'o');
        self.answers(self.front(), &request)
    }

    /// Repeats a request as clients do until it is answered with 200.
    fn answers(&self, to: SocketAddrV4, request: &[u8]) -> Result<()> {
        let started = Instant::now();
        let mut last = None;
        while started.elapsed() < ANSWER_TIMEOUT {
            last = status_of(to, request);
            if last == Some(200) {
                return Ok(());
            }
            sleep(RETRY_PAUSE);
        }
        fail!("no answer of {to} but {last:?}")
    }
}

/// Puts a configuration on this version, again and again until it is acknowledged: a slow machine may need more than one call,
/// and a repeated call is recognized.
fn put_until_acknowledged(fleet: &Fleet, if_match: u64, body: &str) -> Result<()> {
    let started = Instant::now();
    while started.elapsed() < ANSWER_TIMEOUT {
        if let Some(status) = fleet.put(0, if_match, body) {
            return verify_that!(status, eq(200));
        }
    }
    fail!("no acknowledgment")
}

/// The status with which a request on its own connection is answered.
fn status_of(to: SocketAddrV4, request: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to.into(), CALL_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CALL_TIMEOUT)).ok()?;
    stream.set_write_timeout(Some(CALL_TIMEOUT)).ok()?;
    // The node may answer and close before it has read everything.
    let _ = stream.write_all(request);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok()
}

/// A configuration with one route to the service `desk`. The route ignores what is in `note`, which makes it longer.
fn configuration(note: &str) -> String {
    format!(
        "{{\"version\":1,\"note\":\"{note}\",\"routes\":[{{\"name\":\"r-1\",\"host\":\"desk.example\",\
         \"pathPrefix\":\"/read/\",\"kind\":\"unsafe\",\"timeoutMs\":15000,\"targetMs\":3000,\"priority\":1,\
         \"backend\":\"desk\",\"tries\":1,\"public\":true}}],\"backends\":[{{\"name\":\"desk\",\
         \"healthPath\":\"/health\",\"maxConns\":400,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":{MAX_BODY_BYTES},\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}

/// The head of a request with a body of this framing.
fn request_head(framing: &str) -> Vec<u8> {
    let fields = format!("X-Request-Id: crowd\r\nX-Deadline-Ms: 15000\r\n{framing}\r\n");
    head("POST", "/read/1", "desk.example", &fields)
}

/// Guards against bodies that are read without a bound on their sum: each is within the limit, and its client stops one byte
/// before its end.
#[gtest]
fn announced_bodies_that_stop_short_of_their_end() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let front = node.front();
    let request = request_head(&format!("Content-Length: {MAX_BODY_BYTES}"));
    node.withstands(BODY_CLIENTS, front, sends(vec![request, vec![b'x'; MAX_BODY_BYTES - 1]]))
}

/// The same without an announced length, in large chunks: what a body needs isn't known before it has come.
#[gtest]
fn bodies_in_large_chunks_that_stop_short_of_their_end() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let front = node.front();
    let chunks = unfinished_chunks(MAX_BODY_BYTES, 256 * 1024);
    node.withstands(BODY_CLIENTS, front, sends(vec![request_head("Transfer-Encoding: chunked"), chunks]))
}

/// The same in very small chunks, whose framing is longer than their bytes.
#[gtest]
fn bodies_in_small_chunks_that_stop_short_of_their_end() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let front = node.front();
    let chunks = unfinished_chunks(MAX_BODY_BYTES, 4);
    node.withstands(BODY_CLIENTS, front, sends(vec![request_head("Transfer-Encoding: chunked"), chunks]))
}

/// Guards against a body of any length that is read though its announced length is beyond the limit.
#[gtest]
fn announced_bodies_far_over_the_limit() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let front = node.front();
    let request = request_head("Content-Length: 100000000000");
    node.withstands(BODY_CLIENTS, front, sends(vec![request, vec![b'x'; 4 * MAX_BODY_BYTES]]))
}

/// Guards against a body without an announced length that is read beyond the limit.
#[gtest]
fn chunked_bodies_far_over_the_limit() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let front = node.front();
    let chunks = unfinished_chunks(4 * MAX_BODY_BYTES, 64 * 1024);
    node.withstands(BODY_CLIENTS, front, sends(vec![request_head("Transfer-Encoding: chunked"), chunks]))
}

/// Guards against a body whose chunk extensions are read without an end: they belong to no byte of the body.
#[gtest]
fn chunk_extensions_far_longer_than_the_body() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let front = node.front();
    let mut chunks = Vec::new();
    while chunks.len() < 4 * MAX_BODY_BYTES {
        chunks.extend_from_slice(format!("1;{}\r\nx\r\n", "e".repeat(1000)).as_bytes());
    }
    node.withstands(BODY_CLIENTS, front, sends(vec![request_head("Transfer-Encoding: chunked"), chunks]))
}

/// Guards against complete bodies that are held twice while their server reads late (`review/6`).
#[gtest]
fn complete_bodies_at_a_server_that_reads_late() -> Result<()> {
    let treatment = Treatment { reads_after: Duration::from_millis(1500), ..PROMPT_SERVER };
    let node = Node::start(treatment)?;
    let front = node.front();
    let request = request_head(&format!("Connection: close\r\nContent-Length: {MAX_BODY_BYTES}"));
    node.withstands(BODY_CLIENTS, front, sends_and_reads(vec![request, vec![b'x'; MAX_BODY_BYTES]]))
}

/// Guards against answers that are held for clients that send request after request and read nothing.
#[gtest]
fn clients_that_do_not_read_their_answers() -> Result<()> {
    let node = Node::start(Treatment { answer_bytes: MAX_BODY_BYTES, ..PROMPT_SERVER })?;
    let front = node.front();
    let request = request_head("Content-Length: 1000");
    let requests = [request, vec![b'x'; 1000]].concat().repeat(20);
    node.withstands(BODY_CLIENTS, front, sends(vec![requests]))
}

/// Guards against connections beyond the descriptors of the process, of which nothing or half a head comes.
#[gtest]
fn more_connections_than_descriptors() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let front = node.front();
    node.withstands(SILENT_CLIENTS, front, sends(vec![b"POST /read/1 HTTP/1.1\r\nHost: desk".to_vec()]))
}

/// Guards against heads that come to just short of their limit, on many connections.
#[gtest]
fn heads_that_stop_short_of_their_end() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let front = node.front();
    let field = format!("Filler: {}\r\n", "f".repeat(1000)).repeat(15);
    let mut request = head("POST", "/read/1", "desk.example", &field);
    request.truncate(request.len() - 1);
    node.withstands(SILENT_CLIENTS, front, sends(vec![request]))
}

/// The same as for bodies at the front: calls at the control address are longer.
#[gtest]
fn calls_that_stop_short_of_their_end() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let control = node.control();
    let fields = format!("If-Match: 1\r\nContent-Length: {MAX_CALL_BYTES}\r\n");
    let request = head("PUT", "/v1/config", "control", &fields);
    node.withstands(CALL_CLIENTS, control, sends(vec![request, vec![b'x'; MAX_CALL_BYTES - 1]]))
}

/// The same without an announced length.
#[gtest]
fn chunked_calls_that_stop_short_of_their_end() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let control = node.control();
    let request = head("PUT", "/v1/config", "control", "If-Match: 1\r\nTransfer-Encoding: chunked\r\n");
    let chunks = unfinished_chunks(MAX_CALL_BYTES - 4096, 4096);
    node.withstands(CALL_CLIENTS, control, sends(vec![request, chunks]))
}

/// Guards against complete calls that are parsed and held all at once.
#[gtest]
fn complete_calls_with_long_bodies() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let control = node.control();
    let body = configuration(&"n".repeat(1_200_000));
    let fields = format!("If-Match: 7\r\nConnection: close\r\nContent-Length: {}\r\n", body.len());
    let request = head("PUT", "/v1/config", "control", &fields);
    node.withstands(CALL_CLIENTS, control, sends_and_reads(vec![request, body.into_bytes()]))
}

/// Guards against answers of the control address that are held for callers that don't read them.
#[gtest]
fn callers_that_do_not_read_a_long_configuration() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let control = node.control();
    let body = configuration(&"n".repeat(900_000)).replace("\"version\":1", "\"version\":2");
    put_until_acknowledged(&node.fleet, 1, &body)?;
    let request = head("GET", "/v1/config", "control", "").repeat(20);
    node.withstands(BODY_CLIENTS, control, sends(vec![request]))
}

/// Guards against connections to the control address beyond the descriptors of the process.
#[gtest]
fn more_connections_to_the_control_address_than_descriptors() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let control = node.control();
    node.withstands(SILENT_CLIENTS, control, sends(vec![b"GET /v1/status HTTP/1.1\r\n".to_vec()]))
}

/// Guards against connections to the readiness address beyond the descriptors of the process.
#[gtest]
fn more_connections_to_the_readiness_address_than_descriptors() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let readiness = node.fleet.readiness_address(0);
    node.withstands(SILENT_CLIENTS, readiness, sends(vec![b"GET /v1/ready HTTP/1.1\r\n".to_vec()]))
}

/// Guards against limits that refuse a single request which the configuration allows: one of the longest body is served.
#[gtest]
fn a_single_request_of_the_longest_body_is_served() -> Result<()> {
    let node = Node::start(PROMPT_SERVER)?;
    let announced = request_head(&format!("Connection: close\r\nContent-Length: {MAX_BODY_BYTES}"));
    let announced = [announced, vec![b'x'; MAX_BODY_BYTES]].concat();
    node.answers(node.front(), &announced)?;
    let mut chunked = request_head("Connection: close\r\nTransfer-Encoding: chunked");
    chunked.extend_from_slice(&unfinished_chunks(MAX_BODY_BYTES, 1024));
    chunked.extend_from_slice(b"0\r\n\r\n");
    node.answers(node.front(), &chunked)
}

/// The same for a call of the longest body, on a machine of the sites.
#[gtest]
fn a_single_call_of_the_longest_body_is_decided() -> Result<()> {
    let node = Node::start_with(SITE_RESOURCES, PROMPT_SERVER)?;
    let note = "n".repeat(MAX_CALL_BYTES - configuration("").len());
    let body = configuration(&note).replace("\"version\":1", "\"version\":2");
    put_until_acknowledged(&node.fleet, 1, &body)?;
    expect_that!(node.fleet.read(0).map(|read| read.len()), some(eq(body.len())));
    Ok(())
}

/// As on the small machine, with calls that fit one by one.
#[gtest]
fn calls_that_stop_short_of_their_end_at_a_machine_of_the_sites() -> Result<()> {
    let node = Node::start_with(SITE_RESOURCES, PROMPT_SERVER)?;
    let control = node.control();
    let fields = format!("If-Match: 1\r\nContent-Length: {MAX_CALL_BYTES}\r\n");
    let request = head("PUT", "/v1/config", "control", &fields);
    node.withstands(SITE_CALL_CLIENTS, control, sends(vec![request, vec![b'x'; MAX_CALL_BYTES - 1]]))
}

/// Guards against bodies that are parsed into many times their own memory: a list of empty routes, of empty keys, and fields
/// with the same name, each of which is a finding.
#[gtest]
fn calls_whose_bodies_are_parsed_into_much_more() -> Result<()> {
    let fill = |open: &str, item: &str, close: &str| {
        let items = (MAX_CALL_BYTES - open.len() - close.len()) / item.len() - 1;
        format!("{open}{}{close}", item.repeat(items))
    };
    let bodies = [
        fill("{\"version\":2,\"routes\":[", "{},", "{}]}"),
        fill("{\"version\":2,\"backends\":[", "{},", "{}]}"),
        fill("{\"version\":2,\"customers\":[{\"name\":\"c\",\"apiKeys\":[", "\"\",", "\"\"]}]}"),
        fill("{\"version\":2,\"customers\":[", "{},", "{}]}"),
        fill("{\"version\":2,", "\"a\":0,", "\"a\":0}"),
        fill("{\"version\":2,\"other\":[", "0,", "0]}"),
    ];
    let mut node = Node::start_with(SITE_RESOURCES, PROMPT_SERVER)?;
    for body in bodies {
        for method in ["PUT", "PATCH"] {
            let fields = format!("If-Match: 1\r\nConnection: close\r\nContent-Length: {}\r\n", body.len());
            let call = [head(method, "/v1/config", "control", &fields), body.clone().into_bytes()].concat();
            // Most of them are invalid; it is enough that the process goes on.
            println!("{method} {}: {:?}", &body[..40], status_of(node.control(), &call));
        }
    }
    node.answers_ordinary_callers()?;
    let peak = node.monitor.take().or_fail()?.finish();
    println!("{peak:?}");
    expect_that!(node.fleet.is_alive(0), eq(true));
    // What docs/resource-limits.md leaves to the node itself and to the control address.
    let bound = SITE_RESOURCES.memory_mb * BYTES_PER_MB * 17 / 32;
    expect_that!(peak.memory_bytes, le(bound), "{peak:?}");
    Ok(())
}
