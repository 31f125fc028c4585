//! Discovery that falls silent, and lists that are indented, split or invalid.

use crate::rig::{Peer, Rig, host, local_address};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Accepts the next watch and reads its request; nothing is answered yet.
fn call(rig: &Rig) -> Peer {
    let (stream, _) = rig.discovery.accept().expect("a call");
    let mut end = Peer::new(stream);
    assert!(end.read_message().starts_with("GET /registry/instances?stream=1&index="));
    end
}

/// Guards against a silent watch that is waited for, or taken for an outage with its delays: before the head, after it, within a
/// list and between lists, a silent watch is closed and reopened, and the missed list arrives.
#[test]
fn a_silent_watch_is_reopened_and_not_taken_for_an_outage() {
    let half = r#"{"seq":8,"whole":true,"#;
    let said = [
        String::new(),
        HEAD.to_owned(),
        format!("{HEAD}{:x}\r\n{half}\r\n", half.len()),
        format!("{HEAD}2\r\n{{}}\r\n"),
    ];
    let silent: Vec<_> = said
        .into_iter()
        .map(|said| {
            std::thread::spawn(move || {
                let rig = Rig::start(2);
                let mut first = call(&rig);
                first.send(&said);
                let mut second = call(&rig);
                assert!(first.wait_closed(), "the silent one is given up");
                let list = format!(
                    r#"{{"seq":9,"whole":true,"hosts":[{},{}]}}"#,
                    host("a", local_address(&rig.servers[0]), "draining"),
                    host("b", local_address(&rig.servers[1]), "up")
                );
                second.send(HEAD);
                second.chunk(&list);
                let line = rig.wait_for_log_before("seq=9", "kind=Failed");
                assert!(line.contains("kind=Full") && line.contains("up=1"), "{line}");
            })
        })
        .collect();
    for one in silent {
        one.join().expect("its case holds");
    }
}

/// Guards against a discovery that indents its lists or sends them byte by byte, by which the daemon would have no app server.
#[test]
fn indented_lists_and_lists_in_single_bytes_are_read() {
    let rig = Rig::start(2);
    let mut watch = call(&rig);
    watch.send(HEAD);
    let hosts = [
        host("a", local_address(&rig.servers[0]), "draining"),
        host("b", local_address(&rig.servers[1]), "up"),
    ]
    .join(",\n  ");
    watch.chunk(&format!("{{\n \"seq\": 8,\r\n \"whole\": true,\n \"hosts\": [\n  {hosts}\n ]\n}}"));
    assert!(rig.wait_for_log("seq=8").contains("up=1"));
    watch.chunk("");
    for byte in
        format!("{{\"seq\":9,\"hosts\":[\n{}\n]}}", host("b", local_address(&rig.servers[1]), "draining"))
            .chars()
    {
        watch.send(&format!("1\r\n{byte}\r\n"));
    }
    assert!(rig.wait_for_log("seq=9").contains("up=0"));
}

/// Guards the process against one invalid list: the watch is closed, the table stays, and the next watch is read.
#[test]
fn an_invalid_list_ends_only_the_watch() {
    let rig = Rig::start(1);
    let mut watch = call(&rig);
    watch.send(HEAD);
    watch.chunk(r#"{"seq":8,"whole":true,"hosts":}"#);
    rig.wait_for_log("watch broken: invalid list");
    assert!(watch.wait_closed());
    let mut again = call(&rig);
    again.send(HEAD);
    again.chunk(r#"{"seq":9,"whole":false,"hosts":[]}"#);
    assert!(rig.wait_for_log("seq=9").contains("up=1"));
}
