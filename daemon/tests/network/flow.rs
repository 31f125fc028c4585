//! Bodies of any size, slow clients and app servers, and unusual framing, with the daemon as a process.

use std::io::{Read, Write};
use std::net::Shutdown;

use crate::rig::{Peer, Rig};

/// A body in which a lost or duplicated byte shows.
fn body(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i % 251) as u8).collect()
}

const LONG: usize = 3_000_000;

/// More than all buffers between client and app server hold.
const VERY_LONG: usize = 30_000_000;

fn order(id: &str, framing: &str) -> String {
    format!("POST /order HTTP/1.1\r\nX-Correlation-Id: {id}\r\n{framing}\r\n\r\n")
}

impl Peer {
    fn head(&mut self) -> String {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte).expect("a whole head");
            head.push(byte[0]);
        }
        String::from_utf8(head).expect("text")
    }

    fn bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = vec![0; count];
        self.0.read_exact(&mut bytes).expect("as many bytes");
        bytes
    }

    /// A body in chunks.
    fn chunks(&mut self) -> Vec<u8> {
        let mut all = Vec::new();
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                line.extend(self.bytes(1));
            }
            let text = std::str::from_utf8(&line).expect("text").trim();
            let size = usize::from_str_radix(text, 16).expect("a size");
            all.extend(self.bytes(size));
            assert_eq!(self.bytes(2), b"\r\n");
            if size == 0 {
                return all;
            }
        }
    }

    fn send_bytes(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("the other end reads");
    }
}

/// Guards long bodies against loss, in both framings: each side gets the body in the framing that the other side used.
#[test]
fn long_bodies_flow_both_ways_unchanged() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    let sent = body(LONG);
    for (id, chunked) in [("c1", false), ("c2", true)] {
        let framing =
            if chunked { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {LONG}") };
        client.send(&order(id, &framing));
        let mut text = Vec::new();
        for part in sent.chunks(70_001).filter(|_| chunked) {
            text.extend(format!("{:x};odd=\"x\"\r\n", part.len()).bytes());
            text.extend(part);
            text.extend(b"\r\n");
        }
        text.extend(if chunked { b"0\r\nTrailer: t\r\n\r\n" } else { &sent[..] });
        let mut server = std::thread::scope(|scope| {
            scope.spawn(|| client.send_bytes(&text));
            let (_, mut server) = rig.accept(&[0]);
            let head = server.head();
            assert!(head.contains(&framing), "{head}");
            assert!(if chunked { server.chunks() } else { server.bytes(LONG) } == sent);
            server
        });
        server.send(&format!("HTTP/1.1 200 OK\r\nConnection: close\r\n{framing}\r\n\r\n"));
        std::thread::scope(|scope| {
            scope.spawn(|| server.send_bytes(&text));
            let head = client.head();
            assert!(head.starts_with("HTTP/1.1 200 OK") && head.contains(&framing), "{head}");
            assert!(!head.contains("Connection: close"), "{head}");
            assert!(if chunked { client.chunks() } else { client.bytes(LONG) } == sent);
        });
    }
}

/// Guards memory and deadlines: a body that the client does not read is not read from the app server, and a response that has
/// begun is neither truncated at the deadline nor held back.
#[test]
fn a_slow_reader_slows_its_app_server_and_is_not_cut_off() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.send(&format!("GET /look HTTP/1.1\r\nX-Correlation-Id: c1\r\nX-Time-Left: {}\r\n\r\n", 0.5));
    let (_, mut server) = rig.accept(&[0]);
    server.head();
    server.send(&format!("HTTP/1.1 200 OK\r\nContent-Length: {VERY_LONG}\r\n\r\n"));
    let sent = body(VERY_LONG);
    server.0.set_write_timeout(Some(std::time::Duration::from_millis(700))).expect("a socket");
    let mut written = 0;
    while let Ok(count) = server.0.write(&sent[written..]) {
        written += count;
    }
    assert!(written < VERY_LONG, "the client has read nothing, so this waits for it");
    server.0.set_write_timeout(None).expect("a socket");
    std::thread::scope(|scope| {
        scope.spawn(|| server.send_bytes(&sent[written..]));
        assert!(client.head().contains("200 OK"));
        assert!(client.bytes(VERY_LONG) == sent, "long past its time");
    });
}

/// Guards against a response without a known length that is held back until its end.
#[test]
fn an_answer_without_length_is_passed_on_as_it_comes() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.look("c1");
    let (_, mut server) = rig.accept(&[0]);
    server.head();
    server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n");
    assert!(client.head().contains("Transfer-Encoding: chunked"));
    assert_eq!(client.bytes(10), b"5\r\nfirst\r\n");
    server.send("4\r\nlast\r\n0\r\n\r\n");
    assert_eq!(client.chunks(), b"last");
    // Both connections are reused.
    client.look("c2");
    assert!(server.head().contains("c2"));
    server.respond_ok("");
    assert_eq!(client.read_status(), "200 OK");
}

/// Guards clients against a truncated response that looks complete, in each framing.
#[test]
fn an_answer_that_breaks_off_amid_its_flow_shows_as_broken() {
    let rig = Rig::start(1);
    for (version, framing) in [
        ("1.1", format!("Content-Length: {LONG}")),
        ("1.1", "Transfer-Encoding: chunked".to_owned()),
        ("1.0", "Transfer-Encoding: chunked".to_owned()),
    ] {
        let mut client = rig.client();
        client.send(&format!("GET /look HTTP/{version}\r\nX-Correlation-Id: c1\r\n\r\n"));
        let (_, mut server) = rig.accept(&[0]);
        server.head();
        server.send(&format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n"));
        let part = body(100_000);
        if framing.starts_with("Transfer") {
            server.send(&format!("{:x}\r\n", part.len()));
        }
        server.send_bytes(&part);
        let head = client.head();
        assert_eq!(
            head.contains("Transfer-Encoding"),
            version == "1.1" && framing.starts_with("Tr"),
            "{head}"
        );
        client.bytes(50_000);
        drop(server);
        let mut rest = Vec::new();
        let ended = client.0.read_to_end(&mut rest);
        let whole = ended.is_ok() && (version == "1.0" || rest.ends_with(b"0\r\n\r\n"));
        assert!(!whole && rest.len() < LONG, "{version} {framing}");
    }
}

/// Guards against a second run of a request whose body was streamed to an app server in part. It never ran, so it is refused
/// rather than failed, and no other app server gets any of it.
#[test]
fn a_consumed_body_is_sent_to_no_other_app_server() {
    let rig = Rig::start(2);
    let mut client = rig.client();
    client.send(&order("c1", &format!("Content-Length: {LONG}")));
    client.send_bytes(&body(200_000));
    let (at, mut server) = rig.accept(&[0, 1]);
    server.head();
    server.bytes(150_000);
    drop(server);
    assert_eq!(client.read_status(), "503 Service Unavailable");
    assert!(rig.try_accept(1 - at).is_none() && rig.try_accept(at).is_none());
}

/// Guards the opposite case: while the body is still buffered, it can be sent again if the first attempt never ran.
#[test]
fn a_long_body_begins_anew_where_nothing_of_it_is_lost() {
    let rig = Rig::start(2);
    let mut client = rig.client();
    let sent = body(LONG);
    client.send(&order("c1", &format!("Content-Length: {LONG}")));
    client.send_bytes(&sent[..64 * 1024]);
    let (at, mut server) = rig.accept(&[0, 1]);
    server.head();
    server.send("HTTP/1.1 503 Full\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    let (_, mut other) = rig.accept(&[1 - at]);
    other.head();
    std::thread::scope(|scope| {
        scope.spawn(|| client.send_bytes(&sent[64 * 1024..]));
        assert!(other.bytes(LONG) == sent);
    });
    other.respond_ok("done");
    assert!(client.read_message().ends_with("done"));
}

/// Guards the deadline of a client that sends slowly: the time counts from its last byte. Also guards the final response that
/// an app server sends before the end of the body: it is forwarded at once.
#[test]
fn time_begins_with_the_last_byte_and_an_early_answer_ends_it() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    let sent = body(300_000);
    client.send(&order("c1", "X-Time-Left: 0.4\r\nContent-Length: 300000"));
    let (mut server, mut taken) = (None, 0);
    for part in sent.chunks(30_000) {
        client.send_bytes(part);
        std::thread::sleep(std::time::Duration::from_millis(100));
        server = server.or_else(|| rig.try_accept(0));
        if let Some(server) = &mut server {
            if taken == 0 {
                server.head();
            }
            server.bytes(30_000);
            taken += 30_000;
        }
    }
    let mut server = server.expect("begun before the end");
    server.bytes(300_000 - taken);
    server.respond_ok("in time");
    assert!(client.read_message().ends_with("in time"));
    client.send(&order("c2", &format!("Content-Length: {LONG}")));
    client.send_bytes(&sent);
    assert!(server.head().contains("c2"));
    server.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 413 Too Long\r\nContent-Length: 5\r\n\r\nenoug");
    let answer = client.read_message();
    assert!(answer.starts_with("HTTP/1.1 413 Too Long") && answer.contains("Connection: close"), "{answer}");
    assert!(answer.ends_with("enoug") && client.wait_closed());
}

/// Guards app servers against a truncated request that looks complete, and against work for a client that has disconnected.
#[test]
fn a_client_that_stops_amid_its_body_leaves_nothing_behind() {
    for (stop, chunked) in [("leave", false), ("leave", true), ("end", false), ("wait", true)] {
        let rig = Rig::start(1);
        let mut client = rig.client();
        let framing =
            if chunked { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {LONG}") };
        client.send(&order("c1", &framing));
        if chunked {
            client.send(&format!("{LONG:x}\r\n"));
        }
        client.send_bytes(&body(100_000));
        let (_, mut server) = rig.accept(&[0]);
        server.head();
        match stop {
            "leave" => drop(client),
            "end" => {
                client.0.shutdown(Shutdown::Write).expect("a socket");
                assert!(client.wait_closed());
            }
            _ => assert_eq!(client.read_status(), "408 Request Timeout"),
        }
        let mut rest = Vec::new();
        let _ = server.0.read_to_end(&mut rest);
        assert!(rest.len() < LONG && !rest.ends_with(b"0\r\n\r\n"), "{stop} {chunked}");
    }
}

/// Guards against a head or chunk size that is misread when the network splits it at every byte, and against disconnecting
/// clients that send slowly but steadily.
#[test]
fn a_request_cut_at_every_byte_is_read_as_it_was_meant() {
    let rig = Rig::start(1);
    let text = order("c1", "Transfer-Encoding: chunked") + "3;a=b\r\nabc\r\n2\r\nde\r\n0\r\nT: u\r\n\r\n";
    let mut client = rig.client();
    for byte in text.as_bytes() {
        client.send_bytes(&[*byte]);
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    let (_, mut server) = rig.accept(&[0]);
    assert!(server.read_message().ends_with("\nabcde"));
    for byte in b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" {
        server.send_bytes(&[*byte]);
    }
    assert!(client.read_message().ends_with("\nok"));
}

/// Guards the unusual forms: interim responses, `Expect`, HEAD, responses without a body, and HTTP/1.0.
#[test]
fn all_forms_of_http_are_understood() {
    let rig = Rig::start(1);
    let mut client = rig.client();
    client.send(&order("c1", "Expect: 100-continue\r\nContent-Length: 100000"));
    assert_eq!(client.read_status(), "100 Continue");
    client.send_bytes(&body(100_000));
    let (_, mut server) = rig.accept(&[0]);
    assert!(!server.head().contains("Expect"));
    assert!(server.bytes(100_000) == body(100_000));
    server.send("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\nContent-Length: 9\r\n\r\n");
    let head = client.head();
    assert!(head.starts_with("HTTP/1.1 204 No Content") && !head.contains("Content-Length"), "{head}");
    let mut old = rig.client();
    old.send("GET /look HTTP/1.0\r\nX-Correlation-Id: c2\r\n\r\n");
    assert!(server.head().contains("c2"));
    server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let sent = body(200_000);
    server.send(&format!("{:x}\r\n", sent.len()));
    server.send_bytes(&sent);
    server.send("\r\n0\r\n\r\n");
    let head = old.head();
    assert!(head.contains("Connection: close") && !head.contains("Transfer-Encoding"), "{head}");
    let mut got = Vec::new();
    old.0.read_to_end(&mut got).expect("an end");
    assert!(got == sent);
    let mut client = rig.client();
    client.look("c3");
    assert!(server.head().contains("c3"));
    server.send("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    server.send_bytes(&sent);
    drop(server);
    assert!(client.head().contains("Transfer-Encoding: chunked"));
    assert!(client.chunks() == sent, "the close was announced, so it ends the body");
}
