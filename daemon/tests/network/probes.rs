//! Probes: when they are sent, what their answers change, and that what nobody can probe is used all the same.

use crate::rig::{End, Rig, SETTINGS, host, local};

/// The usual settings, with probes, and reports by this way.
fn probing(via: &str) -> String {
    let report = format!(r#""report":{{"via":"{via}","names":["depth"]}},"rules""#);
    SETTINGS.replace(r#""limits":{"#, r#""limits":{"probes":true,"#).replace(r#""rules""#, &report)
}

/// A daemon with an app server that serves, a second one that is new to it and has just been sent its first probe,
/// the watch, a client, and both ends of the probe.
struct Case {
    rig: Rig,
    watch: End,
    client: End,
    probe: End,
    asked: String,
}

impl Case {
    fn new(via: &str) -> Case {
        let rig = Rig::under(2, &probing(via));
        let (_, mut watch) = rig.watch(r#"{"seq":8,"whole":false,"hosts":[]}"#);
        let hosts = [host("a", local(&rig.servers[0]), "up"), host("new", local(&rig.servers[1]), "up")];
        watch.chunk(&format!(r#"{{"seq":9,"whole":true,"hosts":[{}]}}"#, hosts.join(",")));
        rig.logged("seq=9");
        let mut client = rig.client();
        client.look("c1");
        let (_, mut server) = rig.accept(&[0]);
        server.message();
        server.ok("from a");
        assert!(client.message().ends_with("from a"));
        let (_, mut probe) = rig.accept(&[1]);
        let asked = probe.message();
        Case { rig, watch, client, probe, asked }
    }

    /// Drains the one that serves, so that whatever is served comes from the new one.
    fn drain_the_other(&mut self) {
        let a = host("a", local(&self.rig.servers[0]), "draining");
        self.watch.chunk(&format!(r#"{{"seq":10,"whole":false,"hosts":[{a}]}}"#));
        self.rig.logged("seq=10");
    }
}

/// Waits until something can be read at one of the two; true if it is at the first.
fn arrives_first(one: &End, two: &End) -> bool {
    let there = |end: &End| {
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

/// Guards a fleet that is replaced: a new app server counts as soon as it answers a probe, whether it is well,
/// loaded or has nothing to be probed at, and whatever its report says; its first request uses the same connection.
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
        case.probe.say(&format!("HTTP/1.1 {answer}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
        case.rig.logged(" probed ");
        case.drain_the_other();
        // It is cold, and so is not sent all that comes; what is refused comes again.
        for serial in 0.. {
            case.client.look(&format!("c2-{serial}"));
            if arrives_first(&case.probe, &case.client) {
                break;
            }
            assert!(case.client.status().starts_with("503"));
        }
        assert!(case.probe.message().contains("c2-"), "{answer}: on the connection of the probe");
        case.probe.ok("from the new one");
        assert!(case.client.message().ends_with("from the new one"));
    }
}

/// Guards against an app server that only cannot be probed and is left idle for good.
#[test]
fn what_answers_no_probe_is_tried_by_requests_in_the_end() {
    for spoilt in [
        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n".to_owned(),
        "nonsense\r\n\r\n".to_owned(),
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut".to_owned(),
        format!("HTTP/1.1 200 OK\r\nContent-Length: 9000\r\n\r\n{}", "queue=1,".repeat(1125)),
    ] {
        let Case { rig, mut watch, mut client, mut probe, .. } = Case::new("on_probe");
        probe.say(&spoilt);
        drop(probe);
        rig.logged(" probed ");
        let a = host("a", local(&rig.servers[0]), "draining");
        watch.chunk(&format!(r#"{{"seq":10,"whole":false,"hosts":[{a}]}}"#));
        rig.logged("seq=10");
        // Each that is refused comes again, until one is passed on.
        for serial in 0.. {
            client.look(&format!("c{serial}"));
            client.0.set_nonblocking(true).expect("a socket");
            let passed_on = loop {
                if let Some(mut server) = rig.try_accept(1) {
                    if server.message().contains("X-Correlation-Id") {
                        server.ok("served");
                        break true;
                    }
                    server.say(&spoilt);
                } else if client.0.peek(&mut [0]).is_ok() {
                    break false;
                }
            };
            client.0.set_nonblocking(false).expect("a socket");
            let answer = client.message();
            if passed_on {
                assert!(answer.ends_with("served"), "{answer}");
                break;
            }
            assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        }
    }
}

/// Guards a probe against a kept connection that its app server has just closed, which proves nothing, and the
/// drain against a probe that waits.
#[test]
fn a_probe_goes_once_more_on_a_new_connection_and_ends_with_a_drain() {
    let mut case = Case::new("on_probe");
    case.probe.say("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
    case.rig.logged(" probed ");
    case.probe.0.set_nonblocking(true).expect("a socket");
    for serial in 0.. {
        // Any request lets the decisions look whether a probe is due.
        case.client.look(&format!("c{serial}"));
        let (_, mut server) = case.rig.accept(&[0]);
        server.message();
        server.say("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
        drop(server);
        case.client.0.set_nonblocking(false).expect("a socket");
        let _ = case.client.message();
        if case.probe.0.peek(&mut [0]).is_ok() {
            break;
        }
    }
    // The second probe came on the connection of the first.
    drop(case.probe);
    let (_, mut again) = case.rig.accept(&[1]);
    assert!(again.message().starts_with("GET /stats "));
    let new = host("new", local(&case.rig.servers[1]), "draining");
    case.watch.chunk(&format!(r#"{{"seq":10,"whole":false,"hosts":[{new}]}}"#));
    assert!(case.rig.logged(" probed ").contains("cause=Closed"));
    assert!(again.ended(), "nothing is waited for at an app server that drains");
}
