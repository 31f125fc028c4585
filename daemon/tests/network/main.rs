//! The daemon as a process on real sockets: each test is its clients, its app servers and discovery.

mod crossings;
mod flow;
mod keyed;
mod listing;
mod operators;
mod probes;
mod replaced;
mod rig;

use insta::assert_snapshot;
use rig::{End, Rig, host, local, program, request};

/// Guards the ordinary path: what is passed on, unchanged, both ways, and connections used again.
#[test]
fn a_request_is_passed_on_and_its_answer_back() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.say(
        &request("POST", "order", "c1", "two beams").replace("X-Account", "X-Time-Left: 0.5\r\nX-Account"),
    );
    let (_, mut server) = rig.accept(&[0]);
    assert_snapshot!(server.message(), @r"
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
    server.say(
        "HTTP/1.1 200 Fine\r\nContent-Type: text/x\r\nKeep-Alive: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    server.say("3\r\nyes\r\n1;x=y\r\n!\r\n0\r\nTrailer: t\r\n\r\n");
    assert_snapshot!(client.message(), @r"
    HTTP/1.1 200 Fine
    Content-Type: text/x
    Content-Length: 4

    yes!
    ");
    client.look("c2");
    assert!(server.message().starts_with("GET /look?q=1 "), "on the same connection");
    server.ok("again");
    assert!(client.message().ends_with("\nagain"));
}

/// Guards against a body that no longer fits: 64 KiB and its head cross many buffers.
#[test]
fn the_longest_bodies_pass_both_ways_unchanged() {
    let rig = Rig::start(1);
    let body: String = (0..64 * 1024).map(|i| char::from(b'a' + (i % 23) as u8)).collect();
    let mut client = rig.client();
    client.say(&request("POST", "order", "c1", &body));
    let (_, mut server) = rig.accept(&[0]);
    assert!(server.message().ends_with(&body));
    server.ok(&body);
    assert!(client.message().ends_with(&body));
}

/// Guards against an unsafe request that runs twice: behind its last byte anything may have run, so a
/// break, an error or a refusal without the proof ends it, and never as a refusal.
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
        assert!(server.message().contains(id));
        server.say(answer);
        drop(server);
        assert_eq!(client.status(), "500 Internal Server Error", "{id}");
        assert!((0..2).all(|at| rig.try_accept(at).is_none()), "{id} was not sent again");
    }
}

/// Guards against an app server's own words that get lost: what is wrong with an order, its client reads.
#[test]
fn an_app_servers_error_is_passed_on_as_the_failure() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.message();
    server.say("HTTP/1.1 422 No Such Beam\r\nX-Why: length\r\nContent-Length: 5\r\n\r\n9.9 m");
    assert_snapshot!(client.message(), @r"
    HTTP/1.1 422 No Such Beam
    X-Why: length
    Content-Length: 5

    9.9 m
    ");
}

/// Guards the answers that the close may end, since they say so.
#[test]
fn an_answer_without_length_is_whole_at_an_announced_close() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.message();
    server.say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nto the end");
    drop(server);
    assert!(client.message().ends_with("\nto the end"));
}

/// Guards against an app server that never comes to its answer: some 1xx answers may stand before it, but
/// not without end.
#[test]
fn interim_answers_are_passed_over_up_to_a_bound() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    let early = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    for (id, count, status) in [("c1", 5, "200 OK"), ("c2", 40, "500 Internal Server Error")] {
        client.order(id);
        let (_, mut server) = rig.accept(&[0]);
        assert!(server.message().contains(id));
        server.say(&early.repeat(count));
        server.say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        assert_eq!(client.status(), status);
    }
}

/// Guards against a client's own fault that is tried at every app server: one of them has said what it is.
#[test]
fn a_request_that_an_app_server_denies_is_tried_once() {
    let rig = Rig::start(2);
    let mut client = rig.client();
    client.look("c1");
    let (at, mut server) = rig.accept(&[0, 1]);
    server.message();
    server.say("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(client.status(), "404 Not Found");
    assert!(rig.try_accept(1 - at).is_none());
    client.look("c2");
    assert!(server.message().contains("c2"), "the app server is in no trouble");
}

/// Guards the other side of that rule: what provably never ran is tried elsewhere, and so is what may
/// be repeated.
#[test]
fn what_never_ran_or_is_safe_is_tried_elsewhere() {
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
        server.message();
        server.say(answer);
        drop(server);
        let (_, mut other) = rig.accept(&[1 - at]);
        assert!(other.message().contains(id));
        other.say("HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone");
        assert!(client.message().ends_with("done"), "{id}");
    }
}

/// Guards against a request written to a connection that the app server has closed meanwhile: the daemon
/// closes its side as soon as it learns, and opens a new one for the next request.
#[test]
fn a_closed_idle_connection_is_not_used() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.message();
    server.ok("one");
    client.message();
    server.0.shutdown(std::net::Shutdown::Write).expect("a socket");
    assert!(server.ended());
    client.order("c2");
    let (_, mut server) = rig.accept(&[0]);
    assert!(server.message().contains("c2"));
    server.ok("two");
    assert!(client.message().ends_with("two"));
}

/// Guards against input that hangs, panics or is let through: each gets its definite answer.
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
            client.say(text);
            format!("{name}: {}", client.status())
        })
        .collect();
    assert!(rig.try_accept(0).is_none(), "none was passed on");
    assert_snapshot!(answers.join("\n"));
}

/// Guards against requests that get mixed up: pipelined ones, and two with one id at the same time, of which
/// app servers would take the second for a copy of the first.
#[test]
fn pipelined_requests_get_their_own_answers_and_an_open_id_is_taken_once() {
    let rig = Rig::start(1);
    let (mut client, mut twin) = (rig.client(), rig.client());
    let chunked = "POST /order HTTP/1.1\r\nX-Correlation-Id: c1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n";
    client.say(&(chunked.to_owned() + &request("POST", "order", "c2", "second")));
    let (_, mut first) = rig.accept(&[0]);
    assert!(first.message().ends_with("\nhi"));
    twin.say(chunked);
    assert_eq!(twin.status(), "409 Conflict");
    first.ok("to the first");
    assert!(client.message().ends_with("to the first"));
    // The pipelined one goes out on the connection that was used last.
    let text = first.message();
    assert!(text.ends_with("second"), "{text}");
    first.ok("to the second");
    assert!(client.message().ends_with("to the second"));
    twin.say(chunked);
    assert!(first.message().ends_with("\nhi"), "the id is free again");
    first.ok("to the twin");
    assert!(twin.message().ends_with("to the twin"));
}

/// Guards against sends to an app server that drains, and against a list that is misread: changes come
/// over the watch, in order, and unknown fields and states are tolerated.
#[test]
fn a_drain_told_by_the_watch_binds() {
    let rig = Rig::start(2);
    let (a, b) = (local(&rig.servers[0]), local(&rig.servers[1]));
    let (asked, mut watch) = rig.watch(r#"{"seq":7,"whole":false,"hosts":[]}"#);
    assert_eq!(asked.lines().next(), Some("GET /registry/instances?stream=1&index=7 HTTP/1.1"));
    watch.chunk("");
    watch.chunk(&format!(
        r#"{{"seq":9,"whole":false,"hosts":[{},{{"odd":1}}],"x":0}}"#,
        host("a", a, "draining")
    ));
    rig.logged("seq=9");
    // Older than what is held: passed over.
    watch.chunk(&format!(r#"{{"seq":8,"whole":false,"hosts":[{}]}}"#, host("a", a, "up")));
    rig.logged("older");
    let mut client = rig.client();
    for id in ["c1", "c2", "c3"] {
        client.order(id);
        let (_, mut server) = rig.accept(&[1]);
        server.message();
        server.say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        assert_eq!(client.status(), "200 OK");
    }
    watch.chunk(&format!(
        r#"{{"seq":10,"whole":false,"hosts":[{},{}]}}"#,
        host("b", b, "dreaming"),
        host("a", a, "removed")
    ));
    rig.logged("seq=10");
    client.order("c4");
    assert_snapshot!(client.message(), @r"
    HTTP/1.1 503 Service Unavailable
    Content-Type: text/plain
    Retry-After: 1.500
    Content-Length: 18

    short on capacity
    ");
    // A watch that ends is opened anew from where the table stands.
    drop(watch);
    rig.logged("watch broken");
    let (asked, _watch) =
        rig.watch(&format!(r#"{{"seq":12,"whole":true,"hosts":[{}]}}"#, host("b", b, "up")));
    assert_eq!(asked.lines().next(), Some("GET /registry/instances?stream=1&index=10 HTTP/1.1"));
    rig.logged("seq=12");
    client.order("c5");
    let (_, mut server) = rig.accept(&[1]);
    server.message();
    server.ok("");
    assert_eq!(client.status(), "200 OK");
}

/// Guards against a client left without an answer: an app server that says nothing costs 504 in time.
#[test]
fn a_silent_app_server_costs_a_failure_by_the_deadline() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    let begun = std::time::Instant::now();
    client.say(&request("POST", "order", "c1", "x").replace("X-Account", "X-Time-Left: 0.3\r\nX-Account"));
    let (_, mut server) = rig.accept(&[0]);
    server.message();
    assert_eq!(client.status(), "504 Gateway Timeout");
    assert!(begun.elapsed().as_millis() >= 300, "the client's whole time was used");
    assert!(server.ended(), "the attempt was given up");
}

/// Guards against work for clients that have left.
#[test]
fn an_attempt_is_withdrawn_when_its_client_leaves() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.look("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.message();
    drop(client);
    assert!(server.ended());
}

/// Guards against connections that use the descriptors up: what is beyond the budget is refused, with a
/// pause.
#[test]
fn beyond_the_descriptor_budget_clients_are_refused() {
    let rig = Rig::with(1, 64);
    // A watch holds a descriptor of the app servers' side; all of those are wanted here.
    rig.reload(&local(&rig.discovery).to_string(), "127.0.0.1:1");
    rig.logged("watch broken");
    let (mut busy, mut open) = (Vec::new(), Vec::new());
    // What has been served lately tells the decisions that the fleet bears so many at once.
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
            server.message();
            if round == "served" {
                server.say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
                assert_eq!(client.status(), "200 OK");
            }
            open.push(server);
        }
    }
    let mut beyond = rig.client();
    beyond.order("beyond");
    assert_snapshot!(beyond.message(), @r"
    HTTP/1.1 503 Service Unavailable
    Content-Type: text/plain
    Retry-After: 0.500
    Content-Length: 23
    Connection: close

    no connection to spare
    ");
    for (server, client) in open.iter_mut().zip(&mut busy) {
        server.ok("done");
        assert!(client.message().ends_with("done"));
    }
}

/// Guards against a crowd of clients that each ask once in a long while: kept between requests, their
/// connections would leave no place for the next client. And clients against being sent away before that: at a
/// restart they may have no other balancer to go to.
#[test]
fn in_a_crowd_answers_end_connections_once_few_are_left() {
    let rig = Rig::with(1, 64);
    let live = "GET /health/live HTTP/1.1\r\n\r\n";
    let mut kept = Vec::new();
    for _ in 0..25 {
        let mut client = rig.client();
        client.say(live);
        assert!(!client.message().contains("Connection: close"));
        kept.push(client);
    }
    for _ in 0..100 {
        let mut client = rig.client();
        client.say(live);
        assert!(client.message().contains("Connection: close") && client.ended());
    }
    kept[24].say(live);
    assert!(kept[24].message().starts_with("HTTP/1.1 200 OK"), "one that was kept is served as before");
}

/// Guards an honest client that sends slowly in a crowd against those that stand still, or wait between requests:
/// it is not the one that makes room.
#[test]
fn a_slow_sender_is_kept_while_others_make_room() {
    let rig = Rig::with(1, 64);
    let mut slow = rig.client();
    slow.say("POST /order HTTP/1.1\r\n");
    let mut idle: Vec<_> = (0..12).map(|_| rig.client()).collect();
    for client in &mut idle {
        client.say("GET /health/live HTTP/1.1\r\n\r\n");
        assert_eq!(client.status(), "200 OK");
    }
    // Each of these holds its place until another wants it.
    let still: Vec<_> = (0..60)
        .map(|_| {
            slow.say("X");
            let mut client = rig.client();
            client.say("POST /order HTTP/1.1\r\nX");
            std::thread::sleep(std::time::Duration::from_millis(30));
            client
        })
        .collect();
    slow.say(": y\r\nX-Correlation-Id: c1\r\nContent-Length: 1\r\n\r\nz");
    let (_, mut server) = rig.accept(&[0]);
    assert!(server.message().ends_with("\nz"));
    server.ok("served");
    assert!(slow.message().ends_with("served"));
    idle[0].0.set_read_timeout(Some(std::time::Duration::from_secs(5))).expect("a socket");
    assert!(idle[0].ended(), "long before it is closed in any case");
    drop(still);
}

/// Guards usual clients against connections by the hundred that say nothing: those make room, and each is
/// closed within 3 s in any case.
#[test]
fn silent_connections_do_not_shut_clients_out() {
    let rig = Rig::with(1, 64);
    let begun = std::time::Instant::now();
    let mut silent: Vec<_> = (0..60).map(|_| rig.client()).collect();
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.message();
    server.ok("served");
    assert!(client.message().ends_with("served"));
    let mut half = rig.client();
    half.say("POST /order HTTP/1.1\r\nContent-Le");
    assert_eq!(half.status(), "408 Request Timeout");
    assert!(half.ended() && silent.iter_mut().all(End::ended));
    assert!(begun.elapsed().as_secs_f64() < 6.0, "twice the time that each has, since half came later");
}

/// Guards planned restarts: not ready, but answering all that comes, on connections that stay until the
/// daemon closes, and gone once that is done.
#[test]
fn sigterm_answers_what_has_come_and_ends() {
    let mut rig = Rig::start(1);
    let (mut client, mut idle, mut asker) = (rig.client(), rig.client(), rig.client());
    let ready = "GET /health/ready HTTP/1.1\r\n\r\n";
    asker.say(ready);
    assert_eq!(asker.status(), "200 OK");
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.message();
    rig.terminate();
    rig.logged("SIGTERM");
    asker.say(ready);
    assert_eq!(asker.status(), "503 Service Unavailable");
    let mut late = rig.client();
    late.order("c2");
    let (_, mut other) = rig.accept(&[0]);
    other.message();
    other.ok("late");
    assert!(late.message().ends_with("late"));
    late.order("c3");
    other.message();
    other.ok("later");
    assert!(late.message().ends_with("later"), "on the same connection");
    rig.logged("closing");
    assert!(idle.ended() && late.ended(), "an idle connection is closed");
    server.ok("done");
    let answer = client.message();
    assert!(answer.contains("Connection: close") && answer.ends_with("done"), "{answer}");
    assert_eq!(rig.exit(), Some(0));
}

/// Guards against a daemon that ends at SIGHUP, or stays with a discovery that has gone: the watch moves at
/// once, asks from the beginning since versions may not carry over, and the table holds meanwhile.
#[test]
fn sighup_moves_the_watch_and_a_bad_file_changes_nothing() {
    let rig = Rig::start(2);
    let (a, b) = (local(&rig.servers[0]), local(&rig.servers[1]));
    let (asked, mut watch) = rig.watch(r#"{"seq":9,"whole":false,"hosts":[]}"#);
    assert_eq!(asked.lines().next(), Some("GET /registry/instances?stream=1&index=7 HTTP/1.1"));
    let old = format!("\"discovery\":\"{}\"", local(&rig.discovery));
    rig.reload(&old, "\"discovery\":\"nowhere\"");
    let line = rig.logged("the configuration in use is kept");
    assert!(line.contains("field discovery: \"nowhere\""), "{line}");
    watch.chunk(r#"{"seq":10,"whole":false,"hosts":[]}"#);
    rig.logged("seq=10");
    let new = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    rig.reload("\"discovery\":\"nowhere\"", &format!("\"discovery\":\"{}\"", local(&new)));
    rig.logged("discovery has moved");
    assert!(watch.ended(), "the old watch is given up");
    let mut client = rig.client();
    client.look("c1");
    let (_, mut server) = rig.accept(&[0, 1]);
    server.message();
    server.ok("held");
    assert!(client.message().ends_with("held"));
    let list =
        format!(r#"{{"seq":3,"whole":true,"hosts":[{},{}]}}"#, host("a", a, "draining"), host("b", b, "up"));
    let (asked, mut watch) = Rig::watch_at(&new, &list);
    assert_eq!(asked.lines().next(), Some("GET /registry/instances?stream=1&index=0 HTTP/1.1"));
    rig.logged("seq=3 kind=Full");
    watch.chunk(r#"{"seq":4,"whole":false,"hosts":[]}"#);
    rig.logged("seq=4");
    // What only a start heeds is said, and the watch stays as it is.
    rig.reload("\"aimMs\":1200", "\"aimMs\":1300");
    rig.logged("field settings has changed");
    watch.chunk(r#"{"seq":5,"whole":false,"hosts":[]}"#);
    rig.logged("seq=5");
}

/// Guards operators against a daemon that starts on nonsense: it names the field and does not start.
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
        let (mut command, folder) = program(&case);
        let output = command.output().expect("the daemon");
        assert_eq!(output.status.code(), Some(1));
        let text = String::from_utf8_lossy(&output.stdout).replace(&folder.display().to_string(), "");
        faults.push(text.split("ERROR ").nth(1).unwrap_or(&text).trim().to_owned());
        std::fs::remove_dir_all(folder).expect("the folder");
    }
    assert_snapshot!(faults.join("\n"));
}
