//! Keyed requests: the idempotency key is forwarded unchanged, and decides whether a request is retried.

use crate::rig::{Rig, SETTINGS, host, local_address, request};

/// The usual settings, with a class whose repeated requests are dropped by the app servers of the same zone.
fn settings() -> String {
    let report = r#"{"name":"report","aimMs":1200,"deadlineMs":5000,"effect":"keyed","group":"zone","windowMs":6000},"#;
    SETTINGS.replace(r#"{"name":"order""#, &format!("{report}{{\"name\":\"order\""))
}

fn report(id: &str, headers: &str) -> String {
    request("POST", "report", id, "door stuck").replace("X-Account", &format!("{headers}X-Account"))
}

/// Guards against a key that is lost or changed on its way: every attempt carries it, also if the client marks the request as a
/// repeat, and a first attempt that breaks is retried in its zone.
#[test]
fn a_keyed_request_is_repeated_in_its_zone_under_its_key() {
    let rig = Rig::with_settings(2, &settings());
    let mut client = rig.client();
    for (id, headers) in
        [("c1", "Idempotency-Key: 5c0f6e1a\r\n"), ("c2", "X-Repeat: 1\r\nIdempotency-Key: 5c0f6e1a\r\n")]
    {
        client.send(&report(id, headers));
        let (_, mut first) = rig.accept(&[0, 1]);
        let first_request = first.read_message();
        drop(first);
        let (_, mut second) = rig.accept(&[0, 1]);
        let second_request = second.read_message();
        for line in headers.lines() {
            assert!(
                first_request.contains(line) && second_request.contains(line),
                "{id}: {line:?} of {first_request} and {second_request}"
            );
        }
        second.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nsent");
        assert!(client.read_message().ends_with("sent"), "{id}");
    }
}

/// Guards against a retry that app servers can't recognize: a request without a key, with an empty one or with two would run
/// again. It fails and is not refused, because it may have run.
#[test]
fn a_keyed_request_that_nothing_names_is_not_repeated() {
    let key = "Idempotency-Key: 5c0f6e1a\r\n";
    for (id, headers) in [
        ("c1", String::new()),
        ("c2", "Idempotency-Key:  \r\n".into()),
        ("c3", format!("{key}Idempotency-Key: other\r\n")),
    ] {
        let rig = Rig::with_settings(2, &settings());
        let mut client = rig.client();
        client.send(&report(id, &headers));
        let (_, mut server) = rig.accept(&[0, 1]);
        assert!(server.read_message().contains(id));
        drop(server);
        assert_eq!(client.read_status(), "500 Internal Server Error", "{id}");
        assert!((0..2).all(|at| rig.try_accept(at).is_none()), "{id} was sent again");
    }
}

/// Guards against a retry in a zone that does not know of the first attempt: a request that breaks is retried in its zone only.
#[test]
fn a_keyed_request_is_not_repeated_in_another_zone() {
    let rig = Rig::with_settings(2, &settings());
    let (_, mut watch) = rig.watch(r#"{"seq":8,"whole":false,"hosts":[]}"#);
    let far = host("b", local_address(&rig.servers[1]), "up").replace("north", "south");
    watch.chunk(&format!(r#"{{"seq":9,"whole":false,"hosts":[{far}]}}"#));
    rig.wait_for_log("seq=9");
    let mut client = rig.client();
    client.send(&report("c1", "Idempotency-Key: 5c0f6e1a\r\n"));
    let (at, mut first) = rig.accept(&[0, 1]);
    assert!(first.read_message().contains("c1"));
    drop(first);
    let (_, mut second_request) = rig.accept(&[at]);
    second_request.read_message();
    second_request.respond_ok("dropped as a repeat");
    assert!(client.read_message().ends_with("dropped as a repeat"));
    assert!(rig.try_accept(1 - at).is_none(), "it was sent to the other zone");
}
