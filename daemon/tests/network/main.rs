//! Runs the daemon as a process on real sockets: each test plays its clients, its app servers and discovery.

mod crossings;
mod flow;
mod keyed;
mod listing;
mod operators;
mod probes;
mod replaced;
mod rig;

use insta::assert_snapshot;
use rig::{Peer, Rig, host, local_address, program, request};

/// Guards the ordinary path: request and response are forwarded unchanged, and connections are reused.
#[test]
fn a_request_is_passed_on_and_its_answer_back() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.send(
        &request("POST", "order", "c1", "two beams").replace("X-Account", "X-Time-Left: 0.5\r\nX-Account"),
    );
    let (_, mut server) = rig.accept(&[0]);
    assert_snapshot!(server.read_message(), @r"
    POST /order?q=1 HTTP/1.1
    Host: origin.svc
    X-Correlation-Id: c1
    X-Account: acme
    X-Service-Class: order
    Cookie: a=b; user=u1
    X-Time-Left: up to 0.5
    Content-Length: 9

    two beams
    ");
    server.send(
        "HTTP/1.1 200 Fine\r\nContent-Type: text/x\r\nKeep-Alive: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    server.send("3\r\nyes\r\n1;x=y\r\n!\r\n0\r\nTrailer: t\r\n\r\n");
    assert_snapshot!(client.read_message(), @r"
    HTTP/1.1 200 Fine
    Content-Type: text/x
    Content-Length: 4

    yes!
    ");
    client.look("c2");
    assert!(server.read_message().starts_with("GET /look?q=1 "), "on the same connection");
    server.respond_ok("again");
    assert!(client.read_message().ends_with("\nagain"));
}

/// Guards the longest body that is buffered: 64 KiB and its head span many buffers.
#[test]
fn the_longest_bodies_pass_both_ways_unchanged() {
    let rig = Rig::start(1);
    let body: String = (0..64 * 1024).map(|i| char::from(b'a' + (i % 23) as u8)).collect();
    let mut client = rig.client();
    client.send(&request("POST", "order", "c1", &body));
    let (_, mut server) = rig.accept(&[0]);
    assert!(server.read_message().ends_with(&body));
    server.respond_ok(&body);
    assert!(client.read_message().ends_with(&body));
}

/// Guards against an unsafe request that runs twice: after its last byte it may have run, so a broken connection, an error or a
/// refusal without proof that it was not processed ends it, as a failure and never as a refusal.
#[test]
fn an_unsafe_request_that_may_have_run_is_not_sent_again() {
    for (id, answer) in [
        ("c1", ""),
        ("c2", "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"),
        ("c3", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
        ("c4", "HTTP/1.1 429 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"),
        ("c5", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut"),
        ("c6", "nonsense\r\n\r\n"),
        ("c7", "HTTP/1.1 200 OK\r\nContent-Lenght: 9\r\n\r\ncut"),
    ] {
        let rig = Rig::start(2);
        let mut client = rig.client();
        client.order(id);
        let (_, mut server) = rig.accept(&[0, 1]);
        assert!(server.read_message().contains(id));
        server.send(answer);
        drop(server);
        assert_eq!(client.read_status(), "500 Internal Server Error", "{id}");
        assert!((0..2).all(|at| rig.try_accept(at).is_none()), "{id} was not sent again");
    }
}

/// Guards against an app server's error response that is lost: the client reads what is wrong with its order.
#[test]
fn an_app_servers_error_is_passed_on_as_the_failure() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.read_message();
    server.send("HTTP/1.1 422 No Such Beam\r\nX-Why: length\r\nContent-Length: 5\r\n\r\n9.9 m");
    assert_snapshot!(client.read_message(), @r"
    HTTP/1.1 422 No Such Beam
    X-Why: length
    Content-Length: 5

    9.9 m
    ");
}

/// Guards responses that end with the close of their connection, if they announce it.
#[test]
fn an_answer_without_length_is_whole_at_an_announced_close() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.read_message();
    server.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end");
    drop(server);
    assert!(client.read_message().ends_with("\nto the end"));
}

/// Guards against an app server that never sends its final response: some 1xx responses may precede it, but not without end.
#[test]
fn interim_answers_are_passed_over_up_to_a_bound() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    let early = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    for (id, count, status) in [("c1", 5, "200 OK"), ("c2", 40, "500 Internal Server Error")] {
        client.order(id);
        let (_, mut server) = rig.accept(&[0]);
        assert!(server.read_message().contains(id));
        server.send(&early.repeat(count));
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        assert_eq!(client.read_status(), status);
    }
}

/// Guards against a client's error that is retried at every app server: the first one has rejected the request.
#[test]
fn a_request_that_an_app_server_denies_is_tried_once() {
    let rig = Rig::start(2);
    let mut client = rig.client();
    client.look("c1");
    let (at, mut server) = rig.accept(&[0, 1]);
    server.read_message();
    server.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(client.read_status(), "404 Not Found");
    assert!(rig.try_accept(1 - at).is_none());
    client.look("c2");
    assert!(server.read_message().contains("c2"), "the app server still gets requests");
}

/// Guards the opposite of that rule: a request that provably never ran is retried at another app server, and so is a safe one.
#[test]
fn requests_that_never_ran_or_are_safe_are_retried_elsewhere() {
    let rig = Rig::start(2);
    for (id, safe, answer) in [
        (
            "c1",
            false,
            "HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        ),
        ("c2", true, ""),
    ] {
        let mut client = rig.client();
        if safe {
            client.look(id);
        } else {
            client.order(id);
        }
        let (at, mut server) = rig.accept(&[0, 1]);
        server.read_message();
        server.send(answer);
        drop(server);
        let (_, mut other) = rig.accept(&[1 - at]);
        assert!(other.read_message().contains(id));
        other.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone");
        assert!(client.read_message().ends_with("done"), "{id}");
    }
}

/// Guards against a request that is written to a connection which the app server has closed meanwhile: the daemon closes its
/// side as soon as it notices, and opens a new connection for the next request.
#[test]
fn a_closed_idle_connection_is_not_used() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.read_message();
    server.respond_ok("one");
    client.read_message();
    server.0.shutdown(std::net::Shutdown::Write).expect("a socket");
    assert!(server.wait_closed());
    client.order("c2");
    let (_, mut server) = rig.accept(&[0]);
    assert!(server.read_message().contains("c2"));
    server.respond_ok("two");
    assert!(client.read_message().ends_with("two"));
}

/// Guards against invalid input that hangs or crashes the daemon or is forwarded: each case gets its definite response.
#[test]
fn what_cannot_be_read_gets_a_definite_answer() {
    let rig = Rig::start(1);
    let order = |with: &str| format!("POST /order HTTP/1.1\r\nX-Correlation-Id: c\r\n{with}\r\n");
    let long = "x".repeat(20_000);
    let cases = [
        ("no request", "hello\r\n\r\n".to_owned()),
        ("no path", "GET look HTTP/1.1\r\n\r\n".to_owned()),
        ("another version", "GET /look HTTP/2.0\r\n\r\n".to_owned()),
        ("a header without colon", order("nonsense\r\n")),
        ("a folded header", order("A: b\r\n c\r\n")),
        ("both framings", order("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n")),
        ("lengths that differ", order("Content-Length: 1\r\nContent-Length: 2\r\n")),
        ("a length that is none", order("Content-Length: +1\r\n")),
        ("an unknown coding", order("Transfer-Encoding: gzip, chunked\r\n")),
        ("a chunk without size", order("Transfer-Encoding: chunked\r\n") + "zz\r\n"),
        ("a chunk too long for its size", order("Transfer-Encoding: chunked\r\n") + "1\r\nab\r\n"),
        ("a body too long", order("Content-Length: 60000000\r\n")),
        ("chunks too long", order("Transfer-Encoding: chunked\r\n") + "fffffffffffffffff\r\n"),
        ("a head too long", format!("GET /{long} HTTP/1.1\r\n\r\n")),
        ("an unknown class", "GET /other HTTP/1.1\r\nX-Correlation-Id: c\r\n\r\n".to_owned()),
        ("no id", "GET /look HTTP/1.1\r\n\r\n".to_owned()),
        ("an empty id", "GET /look HTTP/1.1\r\nX-Correlation-Id:\r\n\r\n".to_owned()),
        ("two ids", order("X-Correlation-Id: d\r\n")),
        ("two classes", order("X-Service-Class: look\r\n")),
        ("a GET where it is not safe", request("GET", "order", "c", "")),
        ("a POST where a GET is due", request("POST", "look", "c", "")),
        ("a GET with a body", request("GET", "look", "c", "two beams")),
        ("a time left that is none", order("X-Time-Left: soon\r\n")),
        ("no time left", order("X-Time-Left: -1\r\n")),
        ("live", "GET /health/live HTTP/1.1\r\n\r\n".to_owned()),
    ];
    let answers: Vec<_> = cases
        .iter()
        .map(|(name, text)| {
            let mut client = rig.client();
            client.send(text);
            format!("{name}: {}", client.read_status())
        })
        .collect();
    assert!(rig.try_accept(0).is_none(), "none was passed on");
    assert_snapshot!(answers.join("\n"));
}

/// Guards against requests that are mixed up: pipelined ones, and two with the same id at the same time, of which app servers
/// would take the second for a copy of the first.
#[test]
fn pipelined_requests_get_their_own_answers_and_an_open_id_is_taken_once() {
    let rig = Rig::start(1);
    let (mut client, mut twin) = (rig.client(), rig.client());
    let chunked = "POST /order HTTP/1.1\r\nX-Correlation-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
    client.send(&(chunked.to_owned() + &request("POST", "order", "c2", "second")));
    let (_, mut first) = rig.accept(&[0]);
    assert!(first.read_message().ends_with("\nhi"));
    twin.send(chunked);
    assert_eq!(twin.read_status(), "409 Conflict");
    first.respond_ok("to the first");
    assert!(client.read_message().ends_with("to the first"));
    // The pipelined request is sent on the connection that was used last.
    let text = first.read_message();
    assert!(text.ends_with("second"), "{text}");
    first.respond_ok("to the second");
    assert!(client.read_message().ends_with("to the second"));
    twin.send(chunked);
    assert!(first.read_message().ends_with("\nhi"), "the id is free again");
    first.respond_ok("to the twin");
    assert!(twin.read_message().ends_with("to the twin"));
}

/// Guards against requests to an app server that drains, and against a list that is misread: changes arrive over the watch in
/// order, and unknown fields and states are tolerated.
#[test]
fn a_drain_told_by_the_watch_binds() {
    let rig = Rig::start(2);
    let (a, b) = (local_address(&rig.servers[0]), local_address(&rig.servers[1]));
    let (asked, mut watch) = rig.watch(r#"{"seq":7,"whole":false,"hosts":[]}"#);
    assert_eq!(asked.lines().next(), Some("GET /registry/instances?stream=1&index=7 HTTP/1.1"));
    watch.chunk("");
    watch.chunk(&format!(
        r#"{{"seq":9,"whole":false,"hosts":[{},{{"odd":1}}],"x":0}}"#,
        host("a", a, "draining")
    ));
    rig.wait_for_log("seq=9");
    // Older than the table, so skipped.
    watch.chunk(&format!(r#"{{"seq":8,"whole":false,"hosts":[{}]}}"#, host("a", a, "up")));
    rig.wait_for_log("older");
    let mut client = rig.client();
    for id in ["c1", "c2", "c3"] {
        client.order(id);
        let (_, mut server) = rig.accept(&[1]);
        server.read_message();
        server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        assert_eq!(client.read_status(), "200 OK");
    }
    watch.chunk(&format!(
        r#"{{"seq":10,"whole":false,"hosts":[{},{}]}}"#,
        host("b", b, "dreaming"),
        host("a", a, "removed")
    ));
    rig.wait_for_log("seq=10");
    client.order("c4");
    assert_snapshot!(client.read_message(), @r"
    HTTP/1.1 503 Service Unavailable
    Content-Type: text/plain
    Retry-After: 1.500
    Content-Length: 18

    short on capacity
    ");
    // After a watch has ended, the next one starts from the version of the table.
    drop(watch);
    rig.wait_for_log("watch broken");
    let (asked, _watch) =
        rig.watch(&format!(r#"{{"seq":12,"whole":true,"hosts":[{}]}}"#, host("b", b, "up")));
    assert_eq!(asked.lines().next(), Some("GET /registry/instances?stream=1&index=10 HTTP/1.1"));
    rig.wait_for_log("seq=12");
    client.order("c5");
    let (_, mut server) = rig.accept(&[1]);
    server.read_message();
    server.respond_ok("");
    assert_eq!(client.read_status(), "200 OK");
}

/// Guards against a client that is left without a response: if an app server sends nothing, the client gets a 504 in time.
#[test]
fn a_silent_app_server_costs_a_failure_by_the_deadline() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    let begun = std::time::Instant::now();
    client.send(&request("POST", "order", "c1", "x").replace("X-Account", "X-Time-Left: 0.3\r\nX-Account"));
    let (_, mut server) = rig.accept(&[0]);
    server.read_message();
    assert_eq!(client.read_status(), "504 Gateway Timeout");
    assert!(begun.elapsed().as_millis() >= 300, "the client's whole time was used");
    assert!(server.wait_closed(), "the attempt was given up");
}

/// Guards against work for clients that have disconnected.
#[test]
fn an_attempt_is_withdrawn_when_its_client_leaves() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.look("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.read_message();
    drop(client);
    assert!(server.wait_closed());
}

/// Guards against clients that use up the descriptors: requests beyond the budget are refused with a `Retry-After`.
#[test]
fn beyond_the_descriptor_budget_clients_are_refused() {
    let rig = Rig::with(1, 64);
    // A watch holds a descriptor of the app servers' side, and this test needs all of those.
    rig.reload(&local_address(&rig.discovery).to_string(), "127.0.0.1:1");
    rig.wait_for_log("watch broken");
    let (mut busy, mut open) = (Vec::new(), Vec::new());
    // The first round teaches dispatch that the fleet can serve this many requests at once.
    for round in ["served", "open"] {
        busy = (0..18).map(|_| rig.client()).collect();
        open.clear();
        for (at, client) in busy.iter_mut().enumerate() {
            let id = format!("{round}{at}");
            if at % 2 == 0 {
                client.look(&id);
            } else {
                client.order(&id);
            }
            let (_, mut server) = rig.accept(&[0]);
            server.read_message();
            if round == "served" {
                server.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                assert_eq!(client.read_status(), "200 OK");
            }
            open.push(server);
        }
    }
    let mut beyond = rig.client();
    beyond.order("beyond");
    assert_snapshot!(beyond.read_message(), @r"
    HTTP/1.1 503 Service Unavailable
    Content-Type: text/plain
    Retry-After: 0.500
    Content-Length: 23
    Connection: close

    no connection to spare
    ");
    for (server, client) in open.iter_mut().zip(&mut busy) {
        server.respond_ok("done");
        assert!(client.read_message().ends_with("done"));
    }
}

/// Guards against a crowd of clients that each send a request only once in a long while: if their connections were kept between
/// requests, they would leave no room for the next client. Also guards clients against being disconnected before that: during a
/// restart they may have no other balancer.
#[test]
fn in_a_crowd_responses_close_connections_once_few_descriptors_are_left() {
    let rig = Rig::with(1, 64);
    let live = "GET /health/live HTTP/1.1\r\n\r\n";
    let mut kept = Vec::new();
    for _ in 0..25 {
        let mut client = rig.client();
        client.send(live);
        assert!(!client.read_message().contains("Connection: close"));
        kept.push(client);
    }
    for _ in 0..100 {
        let mut client = rig.client();
        client.send(live);
        assert!(client.read_message().contains("Connection: close") && client.wait_closed());
    }
    kept[24].send(live);
    assert!(kept[24].read_message().starts_with("HTTP/1.1 200 OK"), "one that was kept is served as before");
}

/// Guards a client that sends slowly in a crowd: stalled clients and clients that wait between requests are disconnected to
/// make room, and it is not.
#[test]
fn a_slow_sender_is_kept_while_others_make_room() {
    let rig = Rig::with(1, 64);
    let mut slow = rig.client();
    slow.send("POST /order HTTP/1.1\r\n");
    let mut idle: Vec<_> = (0..12).map(|_| rig.client()).collect();
    for client in &mut idle {
        client.send("GET /health/live HTTP/1.1\r\n\r\n");
        assert_eq!(client.read_status(), "200 OK");
    }
    // Each of these holds its descriptor until another client needs it.
    let still: Vec<_> = (0..60)
        .map(|_| {
            slow.send("X");
            let mut client = rig.client();
            client.send("POST /order HTTP/1.1\r\nX");
            std::thread::sleep(std::time::Duration::from_millis(30));
            client
        })
        .collect();
    slow.send(": y\r\nX-Correlation-Id: c1\r\nContent-Length: 1\r\n\r\nz");
    let (_, mut server) = rig.accept(&[0]);
    assert!(server.read_message().ends_with("\nz"));
    server.respond_ok("served");
    assert!(slow.read_message().ends_with("served"));
    idle[0].0.set_read_timeout(Some(std::time::Duration::from_secs(5))).expect("a socket");
    assert!(idle[0].wait_closed(), "closed long before its idle timeout");
    drop(still);
}

/// Guards clients against many silent connections: those are closed to make room, and each within 3 s in any case.
#[test]
fn silent_connections_do_not_shut_clients_out() {
    let rig = Rig::with(1, 64);
    let begun = std::time::Instant::now();
    let mut silent: Vec<_> = (0..60).map(|_| rig.client()).collect();
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.read_message();
    server.respond_ok("served");
    assert!(client.read_message().ends_with("served"));
    let mut half = rig.client();
    half.send("POST /order HTTP/1.1\r\nContent-Le");
    assert_eq!(half.read_status(), "408 Request Timeout");
    assert!(half.wait_closed() && silent.iter_mut().all(Peer::wait_closed));
    assert!(begun.elapsed().as_secs_f64() < 6.0, "twice the head timeout, since `half` connected later");
}

/// Guards planned restarts: after SIGTERM the daemon is not ready but answers all requests, keeps connections open until it
/// closes them, and ends once all is answered.
#[test]
fn sigterm_answers_what_has_come_and_ends() {
    let mut rig = Rig::start(1);
    let (mut client, mut idle, mut asker) = (rig.client(), rig.client(), rig.client());
    let ready = "GET /health/ready HTTP/1.1\r\n\r\n";
    asker.send(ready);
    assert_eq!(asker.read_status(), "200 OK");
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.read_message();
    rig.terminate();
    rig.wait_for_log("SIGTERM");
    asker.send(ready);
    assert_eq!(asker.read_status(), "503 Service Unavailable");
    let mut late = rig.client();
    late.order("c2");
    let (_, mut other) = rig.accept(&[0]);
    other.read_message();
    other.respond_ok("late");
    assert!(late.read_message().ends_with("late"));
    late.order("c3");
    other.read_message();
    other.respond_ok("later");
    assert!(late.read_message().ends_with("later"), "on the same connection");
    rig.wait_for_log("closing");
    assert!(idle.wait_closed() && late.wait_closed(), "an idle connection is closed");
    server.respond_ok("done");
    let answer = client.read_message();
    assert!(answer.contains("Connection: close") && answer.ends_with("done"), "{answer}");
    assert_eq!(rig.exit(), Some(0));
}

/// Guards against a daemon that ends at SIGHUP, or stays with a discovery that is gone: the watch moves at once and starts from
/// version 0, since versions of another discovery can't be compared, and the table stays meanwhile.
#[test]
fn sighup_moves_the_watch_and_a_bad_file_changes_nothing() {
    let rig = Rig::start(2);
    let (a, b) = (local_address(&rig.servers[0]), local_address(&rig.servers[1]));
    let (asked, mut watch) = rig.watch(r#"{"seq":9,"whole":false,"hosts":[]}"#);
    assert_eq!(asked.lines().next(), Some("GET /registry/instances?stream=1&index=7 HTTP/1.1"));
    let old = format!("\"discovery\":\"{}\"", local_address(&rig.discovery));
    rig.reload(&old, "\"discovery\":\"nowhere\"");
    let line = rig.wait_for_log("the configuration in use is kept");
    assert!(line.contains("field discovery: \"nowhere\""), "{line}");
    watch.chunk(r#"{"seq":10,"whole":false,"hosts":[]}"#);
    rig.wait_for_log("seq=10");
    let new = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    rig.reload("\"discovery\":\"nowhere\"", &format!("\"discovery\":\"{}\"", local_address(&new)));
    rig.wait_for_log("discovery has moved");
    assert!(watch.wait_closed(), "the old watch is given up");
    let mut client = rig.client();
    client.look("c1");
    let (_, mut server) = rig.accept(&[0, 1]);
    server.read_message();
    server.respond_ok("held");
    assert!(client.read_message().ends_with("held"));
    let list =
        format!(r#"{{"seq":3,"whole":true,"hosts":[{},{}]}}"#, host("a", a, "draining"), host("b", b, "up"));
    let (asked, mut watch) = Rig::watch_at(&new, &list);
    assert_eq!(asked.lines().next(), Some("GET /registry/instances?stream=1&index=0 HTTP/1.1"));
    rig.wait_for_log("seq=3 kind=Full");
    watch.chunk(r#"{"seq":4,"whole":false,"hosts":[]}"#);
    rig.wait_for_log("seq=4");
    // A change that takes effect only at the next start is logged, and the watch stays open.
    rig.reload("\"aimMs\":1200", "\"aimMs\":1300");
    rig.wait_for_log("field settings has changed");
    watch.chunk(r#"{"seq":5,"whole":false,"hosts":[]}"#);
    rig.wait_for_log("seq=5");
}

/// Guards operators against a daemon that starts with an invalid configuration: it names the field and does not start.
#[test]
fn a_bad_configuration_is_named_and_ends_the_program() {
    let good = format!(
        r#"{{"name":"n","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","settings":{}}}"#,
        rig::SETTINGS
    );
    let cases = [
        good.replace("\"1f\"", "\"xyz\""),
        good.replace("127.0.0.1:0", "here"),
        good.replace("\"name\":\"n\",", ""),
        good.replace("unsafe", "unsound"),
        good.replace("\"deadlineMs\":6000", "\"deadlineMs\":\"long\""),
        good.replace("\"deadlineMs\":6000", "\"deadlineMs\":0"),
        good.replace("\"seed\"", "\"limits\":{\"sockets\":3},\"seed\""),
        good.replace("settings", "setting"),
        "{".to_owned(),
    ];
    let mut faults = Vec::new();
    for case in cases {
        let (mut command, temporary_directory) = program(&case);
        let output = command.output().expect("the daemon");
        assert_eq!(output.status.code(), Some(1));
        let text =
            String::from_utf8_lossy(&output.stdout).replace(&temporary_directory.display().to_string(), "");
        faults.push(text.split("ERROR ").nth(1).unwrap_or(&text).trim().to_owned());
        std::fs::remove_dir_all(temporary_directory).expect("the folder");
    }
    assert_snapshot!(faults.join("\n"));
}
