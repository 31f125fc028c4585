//! Races between two events, in the harmful order every time: each step waits until the other event has happened.

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::rig::{Peer, Rig, SETTINGS, host, local_address, request};

/// An app server whose backlog is full, so that a new connection stays pending until it accepts.
struct Full {
    listener: TcpListener,
    _first: Vec<TcpStream>,
}

impl Full {
    fn bind() -> Full {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(0).expect("a listener");
        let listener: TcpListener = socket.into();
        let at = local_address(&listener);
        let within = Duration::from_millis(100);
        let first = std::iter::from_fn(|| TcpStream::connect_timeout(&at, within).ok()).take(8).collect();
        Full { listener, _first: first }
    }
}

/// Guards app servers against requests of disconnected clients, also where running attempts may not be canceled: while a
/// connection opens, nothing of the request has been sent, and nothing may be sent afterwards.
#[test]
fn a_request_is_not_sent_if_its_client_disconnects_while_the_connection_opens() {
    let settings = SETTINGS
        .replace(r#""cancel":true"#, r#""cancel":false"#)
        .replace(r#""dialTimeoutMs":250"#, r#""dialTimeoutMs":5000"#);
    let rig = Rig::with_settings(1, &settings);
    let full = Full::bind();
    let list =
        format!(r#"{{"seq":8,"whole":true,"hosts":[{}]}}"#, host("a", local_address(&full.listener), "up"));
    let (_, _watch) = rig.watch(&list);
    rig.wait_for_log("seq=8");
    let mut client = rig.client();
    client.order("c1");
    rig.wait_for_log("connect dial=");
    drop(client);
    let line = rig.wait_for_log(" ended ");
    assert!(line.contains("cause=Withdrawn") && line.contains("extent=Nothing"), "{line}");
}

/// Guards app servers against work for a client that floods and disconnects: its close follows bytes that are not read.
#[test]
fn a_client_that_floods_and_disconnects_is_noticed() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    assert!(server.read_message().contains("c1"));
    client.send(&request("POST", "order", "c2", &"x".repeat(30_000)));
    drop(client);
    assert!(server.wait_closed(), "its attempt is withdrawn");
}

/// Guards a client with an idle connection that the daemon closes: a request sent at that moment is never forwarded, and does
/// not reset the connection, or the response that the client is reading would be lost.
#[test]
fn a_request_that_crosses_our_close_is_neither_sent_on_nor_reset() {
    let mut rig = Rig::start(1);
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.read_message();
    server.respond_ok("first");
    assert!(client.read_message().ends_with("first"));
    rig.terminate();
    rig.wait_for_log("no longer ready");
    assert_eq!(client.0.read(&mut [0]).expect("its end"), 0, "it is ended, not reset");
    client.order("c2");
    assert_eq!(client.0.read(&mut [0]).expect("its end"), 0, "still not reset");
    client.0.shutdown(Shutdown::Write).expect("a socket");
    assert_eq!(rig.exit(), Some(0));
    assert!(server.wait_closed() && rig.try_accept(0).is_none(), "nothing of the second request came");
}

/// Guards requests accepted after SIGTERM against the end of the process, which comes whether or not an app server answers:
/// SIGKILL follows after as little as the longest deadline, counted as at most 3 s, plus 0.7 s. A second SIGTERM and a SIGHUP
/// do not change that.
#[test]
fn requests_accepted_after_sigterm_are_answered_before_the_end() {
    let mut rig = Rig::start(1);
    let mut client = rig.client();
    rig.terminate();
    rig.wait_for_log("no longer ready");
    rig.terminate();
    rig.signal("-HUP");
    rig.wait_for_log("configuration reloaded");
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    let message = server.read_message();
    let left = message.lines().find_map(|line| line.strip_prefix("X-Time-Left: "));
    let left: f64 = left.and_then(|left| left.parse().ok()).expect("a time");
    assert!(left > 1.0 && left < 3.6, "{left} s of the 6 that its class has");
    server.respond_ok("in time");
    let answer = client.read_message();
    assert!(answer.ends_with("in time"), "{answer}");
    drop((client, server));
    assert_eq!(rig.exit(), Some(0));
}

/// Guards watches against clients that use up the descriptors while discovery is down: connections with discovery have their
/// own.
#[test]
fn idle_clients_leave_discovery_its_descriptors() {
    let rig = Rig::with(1, 64);
    let (_, watch) = rig.watch(r#"{"seq":8,"whole":false,"hosts":[]}"#);
    rig.wait_for_log("seq=8");
    let clients: Vec<_> = (0..64).map(|_| rig.client()).collect();
    // App servers hold theirs too: as many requests as are taken are out.
    drop(watch);
    let (_, _watch) = rig.watch(r#"{"seq":9,"whole":false,"hosts":[]}"#);
    assert!(rig.wait_for_log("seq=9").contains("up=1"));
    drop(clients);
}

/// Guards a deployment whose lists are pushed: the agent's list counts from the start, so a watch is opened at once, and nothing
/// is served by the configured list.
#[test]
fn a_pushed_list_is_received_before_anything_is_served() {
    let rig = Rig::start_without_waiting(&SETTINGS.replace("on_request", "pushed"));
    let list =
        format!(r#"{{"seq":8,"whole":true,"hosts":[{}]}}"#, host("a", local_address(&rig.servers[0]), "up"));
    let (_, _watch) = rig.watch(&list);
    let line = rig.wait_for_log_before("seq=8", " ready ");
    assert!(line.contains("kind=Full"), "{line}");
    rig.wait_for_log(" ready ");
}

/// Guards unsafe requests against a surplus second response: it may arrive some milliseconds after the first, on a connection
/// that is idle by then, and must not be taken for the response to the next request.
#[test]
fn a_late_second_response_reaches_no_client() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.order("c1");
    let (_, mut first) = rig.accept(&[0]);
    first.read_message();
    first.respond_ok("mine");
    assert!(client.read_message().ends_with("mine"));
    first.respond_ok("again");
    assert!(first.wait_closed(), "a connection with an unsolicited response is closed");
    client.order("c2");
    let (_, mut second) = rig.accept(&[0]);
    assert!(second.read_message().contains("c2"));
    second.respond_ok("next");
    assert!(client.read_message().ends_with("next"));
}

/// Guards against a reset that is taken for the end of a response without a length.
#[test]
fn a_reset_is_no_end_of_an_answer_without_length() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.read_message();
    server.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of");
    let Peer(stream) = server;
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
    drop(stream);
    let mut got = Vec::new();
    // A reset ends the connection too; only the bytes received before count.
    let _ = client.0.read_to_end(&mut got);
    let text = String::from_utf8_lossy(&got);
    // A response that was forwarded in part looks truncated; otherwise the request has failed.
    assert!(
        text.starts_with("HTTP/1.1 500") || text.contains("chunked") && !text.contains("\r\n0\r\n"),
        "{text}"
    );
}
