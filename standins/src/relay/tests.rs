use super::*;
use crate::on_one_thread;

async fn linked() -> (Link, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let link = Link::to(listener.local_addr().expect("an address")).await.expect("a link");
    let near = TcpStream::connect(link.address).await.expect("a connection");
    let (far, _) = listener.accept().await.expect("its other side");
    (link, near, far)
}

async fn expect_bytes(stream: &mut TcpStream, text: &str) {
    let mut bytes = vec![0; text.len()];
    stream.read_exact(&mut bytes).await.expect("what was said");
    assert_eq!(bytes, text.as_bytes());
}

/// Guards against a silent direction that loses bytes or lets them through: they arrive in order once it is open again, and
/// the other direction is not affected.
#[test]
fn a_silent_direction_holds_bytes_until_it_is_open() {
    on_one_thread(async {
        let (link, mut near, mut far) = linked().await;
        near.write_all(b"one").await.expect("it listens");
        expect_bytes(&mut far, "one").await;
        link.set(Way::Silent, CLEAR);
        near.write_all(b"two").await.expect("it listens");
        far.write_all(b"back").await.expect("it listens");
        expect_bytes(&mut near, "back").await;
        // The answer above was sent after the bytes that are held, so these would have arrived by now.
        assert!(far.try_read(&mut [0; 8]).is_err(), "nothing passes");
        near.write_all(b"three").await.expect("it listens");
        link.set(CLEAR, CLEAR);
        expect_bytes(&mut far, "twothree").await;
    });
}

/// Guards against resets that close gracefully and against early ends of stream: a reset ends both sides with an error, and
/// the end of a stream is held like bytes.
#[test]
fn a_reset_fails_both_sides_and_the_end_of_stream_is_held() {
    on_one_thread(async {
        let (link, mut near, mut far) = linked().await;
        link.set(Way::Silent, CLEAR);
        near.shutdown().await.expect("an end");
        far.write_all(b"still here").await.expect("it listens");
        expect_bytes(&mut near, "still here").await;
        assert!(far.try_read(&mut [0]).is_err(), "the end has not passed");
        link.reset();
        for side in [&mut near, &mut far] {
            let error = side.read(&mut [0]).await.expect_err("a reset");
            assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
        }
    });
}
