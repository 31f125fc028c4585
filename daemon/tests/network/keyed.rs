//! Keyed requests: what names them to app servers goes on unchanged, and decides whether they are repeated.

use crate::rig::{Rig, SETTINGS, host, local, request};

/// The usual settings with a class whose repeats the app servers of one zone drop.
fn settings() -> String {
    let report = r#"{"name":"report","aimMs":1200,"deadlineMs":5000,"effect":"keyed","group":"zone","windowMs":6000},"#;
    SETTINGS.replace(r#"{"name":"order""#, &format!("{report}{{\"name\":\"order\""))
}

fn report(id: &str, headers: &str) -> String {
    request("POST", "report", id, "door stuck").replace("X-Account", &format!("{headers}X-Account"))
}

/// Guards a key that gets lost or changed on its way: every attempt carries it, also when the client says that it
/// has asked before, and the first one's break is mended by a repeat in the zone.
#[test]
fn a_keyed_request_is_repeated_in_its_zone_under_its_key() {
    let rig = Rig::under(2, &settings());
    let mut client = rig.client();
    for (id, headers) in
        [("c1", "Idempotency-Key: 5c0f6e1a\r\n"), ("c2", "X-Repeat: 1\r\nIdempotency-Key: 5c0f6e1a\r\n")]
    {
        client.say(&report(id, headers));
        let (_, mut first) = rig.accept(&[0, 1]);
        let told = first.message();
        drop(first);
        let (_, mut second) = rig.accept(&[0, 1]);
        let again = second.message();
        for line in headers.lines() {
            assert!(told.contains(line) && again.contains(line), "{id}: {line:?} of {told} and {again}");
        }
        second.say("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nsent");
        assert!(client.message().ends_with("sent"), "{id}");
    }
}

/// Guards against a repeat that nobody can drop: without a key, with an empty one or with two it would run again. It
/// fails, and is not refused: it may have run.
#[test]
fn a_keyed_request_that_nothing_names_is_not_repeated() {
    let key = "Idempotency-Key: 5c0f6e1a\r\n";
    for (id, headers) in [
        ("c1", String::new()),
        ("c2", "Idempotency-Key:  \r\n".into()),
        ("c3", format!("{key}Idempotency-Key: other\r\n")),
    ] {
        let rig = Rig::under(2, &settings());
        let mut client = rig.client();
        client.say(&report(id, &headers));
        let (_, mut server) = rig.accept(&[0, 1]);
        assert!(server.message().contains(id));
        drop(server);
        assert_eq!(client.status(), "500 Internal Server Error", "{id}");
        assert!((0..2).all(|at| rig.try_accept(at).is_none()), "{id} was sent again");
    }
}

/// Guards against a repeat in a zone that does not know of the first: what breaks in one is tried again there only.
#[test]
fn a_keyed_request_is_not_repeated_in_another_zone() {
    let rig = Rig::under(2, &settings());
    let (_, mut watch) = rig.watch(r#"{"seq":8,"whole":false,"hosts":[]}"#);
    let far = host("b", local(&rig.servers[1]), "up").replace("north", "south");
    watch.chunk(&format!(r#"{{"seq":9,"whole":false,"hosts":[{far}]}}"#));
    rig.logged("seq=9");
    let mut client = rig.client();
    client.say(&report("c1", "Idempotency-Key: 5c0f6e1a\r\n"));
    let (at, mut first) = rig.accept(&[0, 1]);
    assert!(first.message().contains("c1"));
    drop(first);
    let (_, mut again) = rig.accept(&[at]);
    again.message();
    again.ok("dropped as a repeat");
    assert!(client.message().ends_with("dropped as a repeat"));
    assert!(rig.try_accept(1 - at).is_none(), "it was sent to the other zone");
}
