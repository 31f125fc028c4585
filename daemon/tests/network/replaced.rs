//! A process that takes over from another one: the inherited listener, and the bans and table that are handed over.

use std::fs::File;
use std::net::{TcpListener, UdpSocket};
use std::os::fd::OwnedFd;

use crate::rig::{Daemon, Peer, Rig, SETTINGS, host, inherit, local_address, program, temporary_directory};

const READY: &str = "GET /health/ready HTTP/1.1\r\n\r\n";

/// Waits until this process is ready, and checks that it reports so.
fn ready(daemon: &Daemon) {
    daemon.wait_for_log("ready app_servers");
    assert_eq!(daemon.admin_command("ready"), "SUCCESS ready\n");
}

fn ask(client: &mut Peer) -> String {
    client.send(READY);
    client.read_message()
}

/// Guards an upgrade from end to end: the successor accepts new connections, and the old process answers its open requests and
/// closes each connection with a response. Nothing is refused, reset or left unread. Then a second upgrade.
#[test]
fn a_successor_takes_over_and_no_connection_is_refused_or_reset() {
    let mut rig = Rig::with_inherited_listener(1, 1024);
    let (mut idle, mut busy) = (rig.client(), rig.client());
    assert!(ask(&mut idle).starts_with("HTTP/1.1 200 OK"));
    busy.order("busy");
    let (_, mut server) = rig.accept(&[0]);
    server.read_message();
    let successor = rig.start_successor();
    ready(&successor);
    rig.terminate();
    rig.wait_for_log("a successor serves");
    let mut new_clients: Vec<_> = (0..20).map(|_| rig.client()).collect();
    let answer = ask(&mut idle);
    assert!(answer.starts_with("HTTP/1.1 200 OK") && answer.contains("Connection: close"), "{answer}");
    assert!(
        new_clients.iter_mut().all(|client| !ask(client).contains("Connection: close")),
        "the successor has accepted all"
    );
    server.respond_ok("done");
    let answer = busy.read_message();
    assert!(answer.contains("Connection: close") && answer.ends_with("done"), "{answer}");
    assert_eq!(rig.exit(), Some(0));
    new_clients[0].order("late");
    let (_, mut server) = rig.accept(&[0]);
    server.read_message();
    server.respond_ok("late");
    assert!(new_clients[0].read_message().ends_with("late"));
    let second = rig.start_successor();
    ready(&second);
    successor.terminate();
    successor.wait_for_log("a successor serves");
    assert!(!ask(&mut rig.client()).contains("Connection: close"));
    let answer = ask(&mut new_clients[1]);
    assert!(answer.starts_with("HTTP/1.1 200 OK") && answer.contains("Connection: close"), "{answer}");
}

/// Guards the old process against a successor that can't serve: one that knows no app server, and one that has died.
#[test]
fn a_successor_that_is_not_ready_or_has_died_changes_nothing() {
    let mut rig = Rig::with_inherited_listener(1, 1024);
    let servers = std::mem::take(&mut rig.servers);
    let bare = rig.start_successor();
    rig.servers = servers;
    assert_eq!(bare.admin_command("ready"), "FAILURE not ready: starting\n");
    let dead = rig.start_successor();
    ready(&dead);
    dead.signal("-KILL");
    drop(dead);
    for _ in 0..20 {
        assert!(
            ask(&mut rig.client()).starts_with("HTTP/1.1 200 OK"),
            "the process that is not ready accepts none"
        );
    }
    let mut client = rig.client();
    ask(&mut client);
    rig.terminate();
    rig.wait_for_log("still answering");
    assert!(
        ask(&mut client).starts_with("HTTP/1.1 503"),
        "not ready, as after any SIGTERM without a successor"
    );
    client.order("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.read_message();
    server.respond_ok("served");
    assert!(client.read_message().ends_with("served"));
    assert_eq!(rig.exit(), Some(0));
}

/// Guards bans over an upgrade: each process applies the bans of the other, and a third one the bans of both.
#[test]
fn a_ban_binds_every_process_of_the_balancer() {
    let rig = Rig::with_inherited_listener(2, 1024);
    assert_eq!(rig.admin_command("disable-server a"), "SUCCESS a is out\n");
    let successor = rig.start_successor();
    ready(&successor);
    assert_eq!(successor.admin_command("disable-server a"), "SUCCESS a was out already\n");
    assert_eq!(successor.admin_command("disable-server b"), "SUCCESS b is out\n");
    rig.wait_for_log("ban made or ended by another process server=b out=true");
    assert_eq!(rig.admin_command("enable-server a"), "SUCCESS a may serve\n");
    successor.wait_for_log("ban made or ended by another process server=a out=false");
    rig.serve_order_at(0);
    assert!(rig.try_accept(1).is_none());
    assert_eq!(rig.start_successor().admin_command("disable-server b"), "SUCCESS b was out already\n");
}

/// Guards the start and the service against arbitrary files in the shared directory.
#[test]
fn files_that_are_torn_or_foreign_are_named_and_stop_nothing() {
    let rig = Rig::with_inherited_listener(2, 1024);
    let (_, _watch) = rig.watch(r#"{"seq":7,"whole":false,"hosts":[]}"#);
    let shared_directory = rig.shared.join("gradepaddle-n");
    assert_eq!(rig.admin_command("disable-server a"), "SUCCESS a is out\n");
    for (name, text) in [
        ("ban-b", "{\"version\":1,\"ser"),
        ("ban-c", "{\"version\":1,\"server\":\"a\"}"),
        ("ban-%zz", "{\"version\":9,\"server\":\"a\"}"),
        ("table", "{\"version\":1,\"discovery\":\"x\",\"seq\":"),
        ("process-1-1", "not one of ours"),
        ("core", "\u{0}"),
    ] {
        std::fs::write(shared_directory.join(name), text).expect("the folder");
    }
    std::fs::create_dir(shared_directory.join("ban-d")).expect("the folder");
    rig.wait_for_log("file=\"ban-b\"");
    let successor = rig.start_successor();
    ready(&successor);
    for daemon in [&*rig, &successor] {
        assert_eq!(daemon.admin_command("disable-server a"), "SUCCESS a was out already\n");
        assert_eq!(daemon.admin_command("enable-server b"), "SUCCESS b was not out\n");
    }
    let mut client = rig.client();
    client.order("c1");
    let (_, mut server) = rig.accept(&[0, 1]);
    server.read_message();
    server.respond_ok("from b");
    assert!(client.read_message().ends_with("from b") && rig.try_accept(0).is_none());
}

/// Guards drains of app servers over an upgrade while discovery is unreachable: what discovery sent to one process, the next
/// one knows.
#[test]
fn what_discovery_sent_to_the_previous_process_binds_the_next() {
    let rig = Rig::with_inherited_listener(2, 1024);
    let a = local_address(&rig.servers[0]);
    let (_, mut watch) = rig.watch(r#"{"seq":8,"whole":false,"hosts":[]}"#);
    watch.chunk(&format!(r#"{{"seq":9,"whole":false,"hosts":[{}]}}"#, host("a", a, "draining")));
    rig.wait_for_log("seq=9");
    let successor = rig.start_successor();
    assert!(successor.wait_for_log("kind=Cached").contains("seq=9 kind=Cached entries=2 up=1"));
    ready(&successor);
    let (asked, _watch) = rig.watch(r#"{"seq":9,"whole":false,"hosts":[]}"#);
    assert!(asked.contains("index=9"), "{asked}");
}

/// Guards a drain during an upgrade: the successor serves, and the drained process ends.
#[test]
fn a_drain_ends_with_the_process_that_was_drained() {
    let mut rig = Rig::with_inherited_listener(1, 1024);
    let mut held = rig.client();
    ask(&mut held);
    assert_eq!(rig.admin_command("drain"), "SUCCESS draining\n");
    let successor = rig.start_successor();
    ready(&successor);
    assert!(ask(&mut held).starts_with("HTTP/1.1 503"));
    rig.terminate();
    rig.wait_for_log("a successor serves");
    assert!(ask(&mut rig.client()).starts_with("HTTP/1.1 200 OK"));
    assert_eq!(rig.exit(), Some(0));
}

/// Guards the descriptor limit that both processes share: an old process that is full makes room for its successor.
#[test]
fn a_successor_gets_descriptors_from_a_process_that_is_full() {
    let rig = Rig::with_inherited_listener(1, 256);
    let mut held: Vec<_> = (0..200).map(|_| rig.client()).collect();
    for client in &mut held {
        client.send(READY);
    }
    let successor = rig.start_successor();
    ready(&successor);
    rig.terminate();
    rig.wait_for_log("a successor serves");
    drop(held);
    let mut clients: Vec<_> = (0..30).map(|_| rig.client()).collect();
    assert!(clients.iter_mut().all(|client| ask(client).starts_with("HTTP/1.1 200 OK")));
}

/// Guards operators against a process that starts without serving: a descriptor that is not the expected listening socket is
/// reported and ends the program.
#[test]
fn a_descriptor_that_is_no_listener_is_a_clear_error() {
    let config = |listen: &str| {
        format!(
            r#"{{"name":"n","listen":"{listen}","discovery":"127.0.0.1:1","seed":"1f","settings":{SETTINGS}}}"#
        )
    };
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let (one, two) = (bind(), bind());
    let stream = std::net::TcpStream::connect(local_address(&one)).expect("a stream");
    let cases: [(&str, OwnedFd); 4] = [
        ("not a socket", File::open("/dev/null").expect("a file").into()),
        ("not a TCP socket", UdpSocket::bind("127.0.0.1:0").expect("a port").into()),
        ("not a TCP socket", stream.into()),
        ("listens at", two.into()),
    ];
    for (why, fd) in cases {
        let (mut command, directory) = program(&config(&local_address(&one).to_string()));
        inherit(&mut command, fd);
        let output = command.output().expect("the daemon");
        let text = String::from_utf8_lossy(&output.stdout);
        assert_eq!(output.status.code(), Some(1), "{text}");
        assert!(text.contains("RELAY_INHERITED_FD: descriptor 4: ") && text.contains(why), "{why}: {text}");
        std::fs::remove_dir_all(directory).expect("the folder");
    }
    for fd in ["77", "four", "-1"] {
        let (mut command, directory) = program(&config("127.0.0.1:0"));
        let output = command.env("RELAY_INHERITED_FD", fd).output().expect("the daemon");
        assert_eq!(output.status.code(), Some(1));
        assert!(String::from_utf8_lossy(&output.stdout).contains("RELAY_INHERITED_FD: "));
        std::fs::remove_dir_all(directory).expect("the folder");
    }
    std::fs::remove_dir_all(temporary_directory()).expect("the folder");
}
