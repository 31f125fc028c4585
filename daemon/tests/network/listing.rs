//! Discovery that falls silent, indents, cuts and spoils its lists.

use crate::rig::{End, Rig, host, local};

const HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// The next call, up to its head; its request is read.
fn call(rig: &Rig) -> End {
    let (stream, _) = rig.discovery.accept().expect("a call");
    let mut end = End::new(stream);
    assert!(end.message().starts_with("GET /registry/instances?stream=1&index="));
    end
}

/// Guards against a silence that is waited out, or taken for an outage with its pauses: before the head, behind it,
/// amid a list and amid a watch, what is silent is given up and asked anew, and what it missed arrives.
#[test]
fn what_falls_silent_is_asked_anew_and_not_taken_for_an_outage() {
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
                first.say(&said);
                let mut second = call(&rig);
                assert!(first.ended(), "the silent one is given up");
                let list = format!(
                    r#"{{"seq":9,"whole":true,"hosts":[{},{}]}}"#,
                    host("a", local(&rig.servers[0]), "draining"),
                    host("b", local(&rig.servers[1]), "up")
                );
                second.say(HEAD);
                second.chunk(&list);
                let line = rig.logged_before("seq=9", "kind=Failed");
                assert!(line.contains("kind=Full") && line.contains("up=1"), "{line}");
            })
        })
        .collect();
    for one in silent {
        one.join().expect("its case holds");
    }
}

/// Guards a daemon on a discovery that indents its lists, or sends them byte by byte: it would have no app server.
#[test]
fn indented_lists_and_lists_in_single_bytes_are_read() {
    let rig = Rig::start(2);
    let mut watch = call(&rig);
    watch.say(HEAD);
    let hosts = [host("a", local(&rig.servers[0]), "draining"), host("b", local(&rig.servers[1]), "up")]
        .join(",\n  ");
    watch.chunk(&format!("{{\n \"seq\": 8,\r\n \"whole\": true,\n \"hosts\": [\n  {hosts}\n ]\n}}"));
    assert!(rig.logged("seq=8").contains("up=1"));
    watch.chunk("");
    for byte in
        format!("{{\"seq\":9,\"hosts\":[\n{}\n]}}", host("b", local(&rig.servers[1]), "draining")).chars()
    {
        watch.say(&format!("1\r\n{byte}\r\n"));
    }
    assert!(rig.logged("seq=9").contains("up=0"));
}

/// Guards the process against one bad list: the watch is given up, the table holds, and the next watch is read.
#[test]
fn a_spoilt_list_costs_the_watch_alone() {
    let rig = Rig::start(1);
    let mut watch = call(&rig);
    watch.say(HEAD);
    watch.chunk(r#"{"seq":8,"whole":true,"hosts":}"#);
    rig.logged("watch broken: invalid list");
    assert!(watch.ended());
    let mut again = call(&rig);
    again.say(HEAD);
    again.chunk(r#"{"seq":9,"whole":false,"hosts":[]}"#);
    assert!(rig.logged("seq=9").contains("up=1"));
}
