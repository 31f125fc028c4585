use std::rc::Rc;

use googletest::prelude::*;
use tokio::net::TcpListener;

use super::*;

/// A connection with this guard, and the stream of its peer.
async fn pair<G>(pool: &Pool, guard: G) -> (Connection<G>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("bound")).await.expect("connected");
    let (stream, _) = listener.accept().await.expect("accepted");
    (Connection::new(stream, pool, guard), peer)
}

/// The head of a request, of this many bytes.
fn head_of(length: usize) -> Vec<u8> {
    let frame = "GET / HTTP/1.1\r\nFill: \r\n\r\n".len();
    format!("GET / HTTP/1.1\r\nFill: {}\r\n\r\n", "x".repeat(length - frame)).into_bytes()
}

/// Guards against using the default instead of the limit from the settings, and against rejecting a head of exactly the
/// limit.
#[tokio::test]
async fn the_limit_of_a_head_is_that_of_its_connection() {
    let pool = Pool::default();
    for (limit, length) in
        [(None, MAX_HEAD_BYTES), (Some(100), 100), (Some(3 * MAX_HEAD_BYTES), 3 * MAX_HEAD_BYTES)]
    {
        for beyond in [0, 1] {
            let (mut connection, mut peer) = pair(&pool, ()).await;
            if let Some(limit) = limit {
                connection = connection.with_limits(limit, MAX_BODY_BYTES);
            }
            peer.write_all(&head_of(length + beyond)).await.expect("written");
            let read = connection.read_head().await;
            match beyond {
                0 => assert_that!(read, ok(anything())),
                _ => assert_that!(read, err(matches_pattern!(ReadError::HeadTooLong))),
            }
        }
    }
}

/// Guards against rejecting bodies that are longer than the default if the settings allow them, and against accepting
/// bodies beyond a lower limit, with or without an announced length.
#[tokio::test]
async fn the_limit_of_a_body_is_that_of_its_connection() {
    let pool = Pool::default();
    let (mut connection, _other) = pair(&pool, ()).await;
    assert!(matches!(connection.body(Framing::Length(MAX_BODY_BYTES + 1)), Err(ReadError::BodyTooLong)));
    connection = connection.with_limits(MAX_HEAD_BYTES, 2 * MAX_BODY_BYTES);
    assert!(connection.body(Framing::Length(2 * MAX_BODY_BYTES)).is_ok());
    assert!(matches!(connection.body(Framing::Length(2 * MAX_BODY_BYTES + 1)), Err(ReadError::BodyTooLong)));

    let cases: [(&[u8], Option<&[u8]>); 4] = [
        (b"6\r\nabcdef\r\n0\r\n\r\n", Some(b"abcdef")),
        (b"3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n", Some(b"abcdef")),
        (b"3\r\nabc\r\n4\r\ndefg\r\n0\r\n\r\n", None),
        (b"7\r\n", None),
    ];
    for (sent, expected) in cases {
        let (connection, mut peer) = pair(&pool, ()).await;
        let mut connection = connection.with_limits(MAX_HEAD_BYTES, 6);
        assert!(matches!(connection.body(Framing::Length(7)), Err(ReadError::BodyTooLong)));
        peer.write_all(sent).await.expect("written");
        let (mut body, mut to) = (connection.body(Framing::Chunked).expect("no length"), pool.chain());
        let end = loop {
            match connection.read_body(&mut body, &mut to, usize::MAX).await {
                Ok(false) => {}
                Ok(true) => break Ok(to.copy_front(to.len())),
                Err(error) => break Err(error),
            }
        };
        match expected {
            Some(bytes) => assert_that!(end, ok(eq(bytes))),
            None => assert_that!(end, err(matches_pattern!(ReadError::BodyTooLong))),
        }
    }
}

/// Guards against a share of a descriptor budget that is returned before the socket is closed, or never.
#[tokio::test]
async fn the_guard_lives_as_long_as_the_socket() {
    let (pool, guard) = (Pool::default(), Rc::new(()));
    let (connection, mut peer) = pair(&pool, guard.clone()).await;
    assert_that!(Rc::strong_count(&guard), eq(2));
    let connection = connection.with_limits(100, 100);
    assert_that!(Rc::strong_count(&guard), eq(2));
    peer.write_all(b"unread").await.expect("written");
    drop(peer);
    connection.close_lingering().await;
    assert_that!(Rc::strong_count(&guard), eq(1));
}

/// Guards against a request that is written to an idle connection which its peer has closed or sent bytes on.
#[tokio::test]
async fn an_idle_connection_is_disturbed_when_its_peer_sends_or_closes() {
    for sends in [true, false] {
        let (connection, mut peer) = pair(&Pool::default(), ()).await;
        assert!(connection.is_idle());
        let idle =
            timeout(Duration::from_millis(20), std::future::poll_fn(|cx| connection.poll_disturbed(cx)));
        assert!(idle.await.is_err(), "nothing has happened to it");
        if sends {
            peer.write_all(b"unexpected").await.expect("written");
        } else {
            drop(peer);
        }
        std::future::poll_fn(|cx| connection.poll_disturbed(cx)).await;
        // The poll has consumed one of the bytes.
        assert!(!connection.is_idle());
    }
}

/// The kernel reports a reset only once, here to the write that fails. Guards against taking the next read of 0 bytes for
/// the end of a response without a length.
#[tokio::test]
async fn a_reset_that_made_a_write_fail_is_read_as_a_reset() {
    let pool = Pool::default();
    let (mut connection, mut peer) = pair(&pool, ()).await;
    peer.write_all(b"abc").await.expect("written");
    SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("a socket");
    drop(peer);
    connection.peer_closed().await;
    let mut message = pool.chain();
    message.push(b"too late");
    connection.send(&[&message]);
    assert_that!(connection.has_unsent(), eq(true));
    assert_that!(connection.fill().await, ok(eq(&3)));
    assert_that!(connection.fill().await, err(anything()));
}

/// The peer sends its first byte before it reads the message. Guards against a rest of a message that is never written
/// because its sender waits for the response.
#[tokio::test]
async fn the_rest_of_a_message_is_written_while_the_response_is_read() {
    let pool = Pool::default();
    let (mut connection, mut peer) = pair(&pool, ()).await;
    let long = vec![b'x'; 24_000_000];
    let mut message = pool.chain();
    message.push(&long);
    connection.send(&[&message]);
    assert_that!(connection.has_unsent(), eq(true));
    peer.write_all(b"a").await.expect("written");
    assert_that!(connection.fill().await, ok(eq(&1)));
    let reads = async {
        let mut seen = vec![0; long.len()];
        tokio::io::AsyncReadExt::read_exact(&mut peer, &mut seen).await.expect("all of it");
        peer.write_all(b"b").await.expect("written");
        seen
    };
    let (read, seen) = tokio::join!(connection.fill(), reads);
    assert_that!(read, ok(eq(&1)));
    assert!(seen == long);
    assert_that!(connection.has_unsent(), eq(false));
}
