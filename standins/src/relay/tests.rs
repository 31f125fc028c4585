use super::*;
use crate::on_one_thread;

async fn linked() -> (Link, TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let link = Link::to(listener.local_addr().expect("an address")).await.expect("a link");
    let near = TcpStream::connect(link.address).await.expect("a connection");
    let (far, _) = listener.accept().await.expect("its other side");
    (link, near, far)
}

async fn hears(stream: &mut TcpStream, text: &str) {
    let mut bytes = vec![0; text.len()];
    stream.read_exact(&mut bytes).await.expect("what was said");
    assert_eq!(bytes, text.as_bytes());
}

/// Guards a cut that loses or lets through: what is said into it comes once it is healed, in its order, and the
/// other way is as it was.
#[test]
fn a_silent_way_holds_what_is_said_until_it_is_open() {
    on_one_thread(async {
        let (link, mut near, mut far) = linked().await;
        near.write_all(b"one").await.expect("it listens");
        hears(&mut far, "one").await;
        link.set(Way::Silent, CLEAR);
        near.write_all(b"two").await.expect("it listens");
        far.write_all(b"back").await.expect("it listens");
        hears(&mut near, "back").await;
        // The answer above went round behind the cut; nothing else has come by now.
        assert!(far.try_read(&mut [0; 8]).is_err(), "nothing passes");
        near.write_all(b"three").await.expect("it listens");
        link.set(CLEAR, CLEAR);
        hears(&mut far, "twothree").await;
    });
}

/// Guards resets that are none, and ends that come early: a reset ends both sides with an error, an end is held
/// like bytes.
#[test]
fn a_reset_ends_both_sides_and_an_end_waits_for_its_turn() {
    on_one_thread(async {
        let (link, mut near, mut far) = linked().await;
        link.set(Way::Silent, CLEAR);
        near.shutdown().await.expect("an end");
        far.write_all(b"still here").await.expect("it listens");
        hears(&mut near, "still here").await;
        assert!(far.try_read(&mut [0]).is_err(), "the end has not passed");
        link.reset();
        for side in [&mut near, &mut far] {
            let error = side.read(&mut [0]).await.expect_err("a reset");
            assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
        }
    });
}
