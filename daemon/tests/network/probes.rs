//! Probes: when they are sent, what their responses change, and that an app server that can't be probed is still used.

use crate::rig::{Peer, Rig, SETTINGS, host, local_address};

/// The usual settings, with probes, and with load reports by this way.
fn probing(via: &str) -> String {
    let report = format!(r#""report":{{"via":"{via}","names":["depth"]}},"rules""#);
    SETTINGS.replace(r#""limits":{"#, r#""limits":{"probes":true,"#).replace(r#""rules""#, &report)
}

/// A daemon with an app server that serves and a new one that has just received its first probe; with the watch, a client, the
/// probe's connection and its request.
struct Case {
    rig: Rig,
    watch: Peer,
    client: Peer,
    probe: Peer,
    asked: String,
}

impl Case {
    fn new(via: &str) -> Case {
        let rig = Rig::with_settings(2, &probing(via));
        let (_, mut watch) = rig.watch(r#"{"seq":8,"whole":false,"hosts":[]}"#);
        let hosts = [
            host("a", local_address(&rig.servers[0]), "up"),
            host("new", local_address(&rig.servers[1]), "up"),
        ];
        watch.chunk(&format!(r#"{{"seq":9,"whole":true,"hosts":[{}]}}"#, hosts.join(",")));
        rig.wait_for_log("seq=9");
        let mut client = rig.client();
        client.look("c1");
        let (_, mut server) = rig.accept(&[0]);
        server.read_message();
        server.respond_ok("from a");
        assert!(client.read_message().ends_with("from a"));
        let (_, mut probe) = rig.accept(&[1]);
        let asked = probe.read_message();
        Case { rig, watch, client, probe, asked }
    }

    /// Drains the app server that serves, so that all further responses come from the new one.
    fn drain_the_serving_one(&mut self) {
        let a = host("a", local_address(&self.rig.servers[0]), "draining");
        self.watch.chunk(&format!(r#"{{"seq":10,"whole":false,"hosts":[{a}]}}"#));
        self.rig.wait_for_log("seq=10");
    }
}

/// Waits until something can be read at one of the two; true if it is at the first.
fn arrives_first(one: &Peer, two: &Peer) -> bool {
    let there = |end: &Peer| {
        end.0.set_nonblocking(true).expect("a socket");
        let there = end.0.peek(&mut [0]).is_ok();
        end.0.set_nonblocking(false).expect("a socket");
        there
    };
    loop {
        match (there(one), there(two)) {
            (true, _) => return true,
            (_, true) => return false,
            _ => std::thread::yield_now(),
        }
    }
}

/// Guards the replacement of a fleet: a new app server gets requests as soon as it answers a probe, whether it is healthy,
/// loaded or has no probe endpoint, and whatever its report says. Its first request uses the probe's connection.
#[test]
fn an_app_server_that_answers_a_probe_gets_requests() {
    for (via, path, answer, body) in [
        ("off", "/health/live", "200 OK", ""),
        ("on_probe", "/stats", "200 OK", "queue=2"),
        ("on_probe", "/stats", "200 OK", "queue=NaN,=,"),
        ("on_probe", "/stats", "503 Busy", "queue=90"),
        ("off", "/health/live", "404 Not Found", "what?"),
    ] {
        let mut case = Case::new(via);
        assert!(case.asked.starts_with(&format!("GET {path} HTTP/1.1\n")), "{}", case.asked);
        assert!(!case.asked.contains("X-Correlation-Id"), "no request of a client's: {}", case.asked);
        case.probe.send(&format!("HTTP/1.1 {answer}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
        case.rig.wait_for_log(" probed ");
        case.drain_the_serving_one();
        // The app server is cold and gets only a part of the requests; a refused request is sent again.
        for serial in 0.. {
            case.client.look(&format!("c2-{serial}"));
            if arrives_first(&case.probe, &case.client) {
                break;
            }
            assert!(case.client.read_status().starts_with("503"));
        }
        assert!(case.probe.read_message().contains("c2-"), "{answer}: on the connection of the probe");
        case.probe.respond_ok("from the new one");
        assert!(case.client.read_message().ends_with("from the new one"));
    }
}

/// Guards against an app server that is never used only because its probes fail.
#[test]
fn an_app_server_that_fails_probes_is_tried_by_requests_in_the_end() {
    for invalid in [
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "nonsense\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut".to_owned(),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n{}", "queue=1,".repeat(1125)),
    ] {
        let Case { rig, mut watch, mut client, mut probe, .. } = Case::new("on_probe");
        probe.send(&invalid);
        drop(probe);
        rig.wait_for_log(" probed ");
        let a = host("a", local_address(&rig.servers[0]), "draining");
        watch.chunk(&format!(r#"{{"seq":10,"whole":false,"hosts":[{a}]}}"#));
        rig.wait_for_log("seq=10");
        // Refused requests are sent again, until one is forwarded.
        for serial in 0.. {
            client.look(&format!("c{serial}"));
            client.0.set_nonblocking(true).expect("a socket");
            let passed_on = loop {
                if let Some(mut server) = rig.try_accept(1) {
                    if server.read_message().contains("X-Correlation-Id") {
                        server.respond_ok("served");
                        break true;
                    }
                    server.send(&invalid);
                } else if client.0.peek(&mut [0]).is_ok() {
                    break false;
                }
            };
            client.0.set_nonblocking(false).expect("a socket");
            let answer = client.read_message();
            if passed_on {
                assert!(answer.ends_with("served"), "{answer}");
                break;
            }
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        }
    }
}

/// Guards a probe against a reused connection that its app server has just closed, which proves nothing about the app server,
/// and a drain against a probe that is still waiting.
#[test]
fn a_probe_is_retried_on_a_new_connection_and_ends_with_a_drain() {
    let mut case = Case::new("on_probe");
    case.probe.send("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    case.rig.wait_for_log(" probed ");
    case.probe.0.set_nonblocking(true).expect("a socket");
    for serial in 0.. {
        // Any request makes dispatch check whether a probe is due.
        case.client.look(&format!("c{serial}"));
        let (_, mut server) = case.rig.accept(&[0]);
        server.read_message();
        server.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        drop(server);
        case.client.0.set_nonblocking(false).expect("a socket");
        let _ = case.client.read_message();
        if case.probe.0.peek(&mut [0]).is_ok() {
            break;
        }
    }
    // The second probe has arrived on the connection of the first.
    drop(case.probe);
    let (_, mut again) = case.rig.accept(&[1]);
    assert!(again.read_message().starts_with("GET /stats "));
    let new = host("new", local_address(&case.rig.servers[1]), "draining");
    case.watch.chunk(&format!(r#"{{"seq":10,"whole":false,"hosts":[{new}]}}"#));
    assert!(case.rig.wait_for_log(" probed ").contains("cause=Closed"));
    assert!(again.wait_closed(), "nothing is waited for at an app server that drains");
}
