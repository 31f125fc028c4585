use super::*;

fn keys_of(cluster: &str, keys: &[(u32, u8)]) -> ClusterKeys {
    let keys = keys.iter().map(|(id, byte)| Key { id: *id, secret: [*byte; 32] }).collect();
    ClusterKeys { cluster: cluster.into(), keys }
}

fn connected(a: ClusterKeys, b: ClusterKeys) -> (Session, Session) {
    let (mut a, mut b) = (Session::new(a, "a", 11), Session::new(b, "b", 22));
    let (first, second) = (a.handshake().expect("a frame"), b.handshake().expect("a frame"));
    assert_eq!(b.accept_handshake(&first), Ok("a".into()));
    assert_eq!(a.accept_handshake(&second), Ok("b".into()));
    (a, b)
}

/// Guards against accepting anything but the peer's next frame: frames that are forged, replayed, duplicated, truncated, or
/// from another connection, cluster, key or version, and frames with a flipped bit anywhere.
#[test]
fn only_the_next_frame_of_the_peer_is_accepted() {
    let one = keys_of("x", &[(1, 7)]);
    let (mut a, mut b) = connected(one.clone(), one.clone());
    let frame = a.encode(&"ban").expect("a frame");
    for bit in 0..frame.len() * 8 {
        let mut corrupted = frame.clone();
        corrupted[bit / 8] ^= 1 << (bit % 8);
        assert!(b.decode::<String>(&corrupted).is_err(), "bit {bit}");
    }
    for cut in 0..frame.len() {
        assert!(b.decode::<String>(&frame[..cut]).is_err(), "cut at {cut}");
    }
    assert_eq!(b.decode::<String>(&frame).as_deref(), Ok("ban"));
    assert_eq!(b.decode::<String>(&frame), Err(FrameError::Replayed));
    let (_, mut other) = connected(one.clone(), one.clone());
    other.own_nonce = 23;
    assert_eq!(other.decode::<String>(&frame), Err(FrameError::Replayed), "another connection");
    let mut stranger = Session::new(keys_of("y", &[(1, 7)]), "a", 1);
    assert_eq!(
        b.accept_handshake(&stranger.handshake().expect("a frame")),
        Err(FrameError::Cluster("y".into()))
    );
    stranger.cluster_keys = keys_of("x", &[(1, 8)]);
    assert_eq!(b.accept_handshake(&stranger.handshake().expect("a frame")), Err(FrameError::Forged));
    stranger.cluster_keys = keys_of("x", &[(3, 7)]);
    assert_eq!(b.accept_handshake(&stranger.handshake().expect("a frame")), Err(FrameError::UnknownKey(3)));
    assert!(matches!(a.encode(&vec![0u8; MAX_FRAME_BYTES]), Err(FrameError::TooLong(_))));
}

/// Guards a key rotation: a process with both keys communicates with processes that have either.
#[test]
fn two_keys_are_accepted_during_a_rotation() {
    let (old, both, new) =
        (keys_of("x", &[(1, 7)]), keys_of("x", &[(2, 9), (1, 7)]), keys_of("x", &[(2, 9)]));
    let (mut a, mut b) = (Session::new(old, "a", 1), Session::new(both.clone(), "b", 2));
    assert!(b.accept_handshake(&a.handshake().expect("a frame")).is_ok());
    assert_eq!(
        a.accept_handshake(&b.handshake().expect("a frame")),
        Err(FrameError::UnknownKey(2)),
        "not yet everywhere"
    );
    let (mut c, mut d) = connected(both, new);
    assert_eq!(d.decode::<u8>(&c.encode(&5u8).expect("a frame")), Ok(5));
}
