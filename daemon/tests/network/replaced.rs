//! One process that takes over from another: the listener inherited, bans and the table handed on.

use std::fs::File;
use std::net::{TcpListener, UdpSocket};
use std::os::fd::OwnedFd;

use crate::rig::{Daemon, End, Rig, SETTINGS, folder, host, inherit, local, program};

const READY: &str = "GET /health/ready HTTP/1.1\r\n\r\n";

/// Waits until this process is ready, and says so.
fn ready(daemon: &Daemon) {
    daemon.logged("ready app_servers");
    assert_eq!(daemon.call("ready"), "SUCCESS ready\n");
}

fn ask(client: &mut End) -> String {
    client.say(READY);
    client.message()
}

/// Guards an upgrade from end to end: the heir takes what comes, the old process answers what it has and ends
/// its connections with answers; nothing is refused, reset or left unread on the way. Then once more.
#[test]
fn an_heir_takes_over_and_nothing_is_turned_back() {
    let mut rig = Rig::on_platform(1, 1024);
    let (mut idle, mut busy) = (rig.client(), rig.client());
    assert!(ask(&mut idle).starts_with("HTTP/1.1 200 OK"));
    busy.order("busy");
    let (_, mut server) = rig.accept(&[0]);
    server.message();
    let heir = rig.beside();
    ready(&heir);
    rig.terminate();
    rig.logged("a successor serves");
    let mut fresh: Vec<_> = (0..20).map(|_| rig.client()).collect();
    let answer = ask(&mut idle);
    assert!(answer.starts_with("HTTP/1.1 200 OK") && answer.contains("Connection: close"), "{answer}");
    assert!(fresh.iter_mut().all(|client| !ask(client).contains("Connection: close")), "all are the heir's");
    server.ok("done");
    let answer = busy.message();
    assert!(answer.contains("Connection: close") && answer.ends_with("done"), "{answer}");
    assert_eq!(rig.exit(), Some(0));
    fresh[0].order("late");
    let (_, mut server) = rig.accept(&[0]);
    server.message();
    server.ok("late");
    assert!(fresh[0].message().ends_with("late"));
    let second = rig.beside();
    ready(&second);
    heir.terminate();
    heir.logged("a successor serves");
    assert!(!ask(&mut rig.client()).contains("Connection: close"));
    let answer = ask(&mut fresh[1]);
    assert!(answer.starts_with("HTTP/1.1 200 OK") && answer.contains("Connection: close"), "{answer}");
}

/// Guards the old process against an heir that is none: one that knows no app server, and one that has died.
#[test]
fn an_heir_that_is_not_ready_or_has_died_changes_nothing() {
    let mut rig = Rig::on_platform(1, 1024);
    let servers = std::mem::take(&mut rig.servers);
    let bare = rig.beside();
    rig.servers = servers;
    assert_eq!(bare.call("ready"), "FAILURE not ready: starting\n");
    let dead = rig.beside();
    ready(&dead);
    dead.signal("-KILL");
    drop(dead);
    for _ in 0..20 {
        assert!(
            ask(&mut rig.client()).starts_with("HTTP/1.1 200 OK"),
            "the one that is not ready takes none"
        );
    }
    let mut client = rig.client();
    ask(&mut client);
    rig.terminate();
    rig.logged("still answering");
    assert!(ask(&mut client).starts_with("HTTP/1.1 503"), "not ready, as ever at SIGTERM");
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.message();
    server.ok("served");
    assert!(client.message().ends_with("served"));
    assert_eq!(rig.exit(), Some(0));
}

/// Guards bans over an upgrade: each process heeds what the other was told, and the next one what both were.
#[test]
fn a_ban_binds_every_process_of_the_balancer() {
    let rig = Rig::on_platform(2, 1024);
    assert_eq!(rig.call("disable-server a"), "SUCCESS a is out\n");
    let heir = rig.beside();
    ready(&heir);
    assert_eq!(heir.call("disable-server a"), "SUCCESS a was out already\n");
    assert_eq!(heir.call("disable-server b"), "SUCCESS b is out\n");
    rig.logged("ban made or ended by another process server=b out=true");
    assert_eq!(rig.call("enable-server a"), "SUCCESS a may serve\n");
    heir.logged("ban made or ended by another process server=a out=false");
    rig.served_at(0);
    assert!(rig.try_accept(1).is_none());
    assert_eq!(rig.beside().call("disable-server b"), "SUCCESS b was out already\n");
}

/// Guards the start and the service against a folder that holds anything at all.
#[test]
fn files_that_are_torn_or_foreign_are_named_and_stop_nothing() {
    let rig = Rig::on_platform(2, 1024);
    let (_, _watch) = rig.watch(r#"{"seq":7,"whole":false,"hosts":[]}"#);
    let folder = rig.shared.join("gradepaddle-n");
    assert_eq!(rig.call("disable-server a"), "SUCCESS a is out\n");
    for (name, text) in [
        ("ban-b", "{\"version\":1,\"ser"),
        ("ban-c", "{\"version\":1,\"server\":\"a\"}"),
        ("ban-%zz", "{\"version\":9,\"server\":\"a\"}"),
        ("table", "{\"version\":1,\"discovery\":\"x\",\"seq\":"),
        ("process-1-1", "not one of ours"),
        ("core", "\u{0}"),
    ] {
        std::fs::write(folder.join(name), text).expect("the folder");
    }
    std::fs::create_dir(folder.join("ban-d")).expect("the folder");
    rig.logged("file=\"ban-b\"");
    let heir = rig.beside();
    ready(&heir);
    for daemon in [&*rig, &heir] {
        assert_eq!(daemon.call("disable-server a"), "SUCCESS a was out already\n");
        assert_eq!(daemon.call("enable-server b"), "SUCCESS b was not out\n");
    }
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0, 1]);
    server.message();
    server.ok("from b");
    assert!(client.message().ends_with("from b") && rig.try_accept(0).is_none());
}

/// Guards the rule on drains over an upgrade while discovery is out of reach: what one process was told, the
/// next one knows.
#[test]
fn what_discovery_told_the_last_process_binds_the_next() {
    let rig = Rig::on_platform(2, 1024);
    let a = local(&rig.servers[0]);
    let (_, mut watch) = rig.watch(r#"{"seq":8,"whole":false,"hosts":[]}"#);
    watch.chunk(&format!(r#"{{"seq":9,"whole":false,"hosts":[{}]}}"#, host("a", a, "draining")));
    rig.logged("seq=9");
    let heir = rig.beside();
    assert!(heir.logged("kind=Cached").contains("seq=9 kind=Cached entries=2 up=1"));
    ready(&heir);
    let (asked, _watch) = rig.watch(r#"{"seq":9,"whole":false,"hosts":[]}"#);
    assert!(asked.contains("index=9"), "{asked}");
}

/// Guards a drain that meets an upgrade: the heir serves, the drained process goes.
#[test]
fn a_drain_ends_with_the_process_that_was_drained() {
    let mut rig = Rig::on_platform(1, 1024);
    let mut held = rig.client();
    ask(&mut held);
    assert_eq!(rig.call("drain"), "SUCCESS draining\n");
    let heir = rig.beside();
    ready(&heir);
    assert!(ask(&mut held).starts_with("HTTP/1.1 503"));
    rig.terminate();
    rig.logged("a successor serves");
    assert!(ask(&mut rig.client()).starts_with("HTTP/1.1 200 OK"));
    assert_eq!(rig.exit(), Some(0));
}

/// Guards the limit on descriptors that the two share: an old process that is full makes room for its heir.
#[test]
fn an_heir_gets_room_beside_a_process_that_is_full() {
    let rig = Rig::on_platform(1, 256);
    let mut held: Vec<_> = (0..200).map(|_| rig.client()).collect();
    for client in &mut held {
        client.say(READY);
    }
    let heir = rig.beside();
    ready(&heir);
    rig.terminate();
    rig.logged("a successor serves");
    drop(held);
    let mut clients: Vec<_> = (0..30).map(|_| rig.client()).collect();
    assert!(clients.iter_mut().all(|client| ask(client).starts_with("HTTP/1.1 200 OK")));
}

/// Guards operators against a process that serves nobody: what is no listening socket of ours is named.
#[test]
fn a_descriptor_that_is_no_listener_is_a_clear_error() {
    let config = |listen: &str| {
        format!(
            r#"{{"name":"n","listen":"{listen}","discovery":"127.0.0.1:1","seed":"1f","settings":{SETTINGS}}}"#
        )
    };
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let (one, two) = (bind(), bind());
    let stream = std::net::TcpStream::connect(local(&one)).expect("a stream");
    let cases: [(&str, OwnedFd); 4] = [
        ("not a socket", File::open("/dev/null").expect("a file").into()),
        ("not a TCP socket", UdpSocket::bind("127.0.0.1:0").expect("a port").into()),
        ("not a TCP socket", stream.into()),
        ("listens at", two.into()),
    ];
    for (why, fd) in cases {
        let (mut command, folder) = program(&config(&local(&one).to_string()));
        inherit(&mut command, fd);
        let output = command.output().expect("the daemon");
        let text = String::from_utf8_lossy(&output.stdout);
        assert_eq!(output.status.code(), Some(1), "{text}");
        assert!(text.contains("RELAY_INHERITED_FD: descriptor 4: ") && text.contains(why), "{why}: {text}");
        std::fs::remove_dir_all(folder).expect("the folder");
    }
    for fd in ["77", "four", "-1"] {
        let (mut command, folder) = program(&config("127.0.0.1:0"));
        let output = command.env("RELAY_INHERITED_FD", fd).output().expect("the daemon");
        assert_eq!(output.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&output.stdout).contains("RELAY_INHERITED_FD: "));
        std::fs::remove_dir_all(folder).expect("the folder");
    }
    std::fs::remove_dir_all(folder()).expect("the folder");
}
