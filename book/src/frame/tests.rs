use super::*;

fn seal(cluster: &str, keys: &[(u32, u8)]) -> Seal {
    let keys = keys.iter().map(|(id, byte)| Key { id: *id, secret: [*byte; 32] }).collect();
    Seal { cluster: cluster.into(), keys }
}

fn met(a: Seal, b: Seal) -> (Session, Session) {
    let (mut a, mut b) = (Session::new(a, "a", 11), Session::new(b, "b", 22));
    let (first, second) = (a.greet().expect("a frame"), b.greet().expect("a frame"));
    assert_eq!(b.meet(&first), Ok("a".into()));
    assert_eq!(a.meet(&second), Ok("b".into()));
    (a, b)
}

/// Guards against everything that is not the other side's next word: forged, replayed, doubled, from another
/// connection, cluster, key or version; and against a flipped bit anywhere.
#[test]
fn only_the_next_frame_of_the_other_side_is_taken() {
    let one = seal("x", &[(1, 7)]);
    let (mut a, mut b) = met(one.clone(), one.clone());
    let frame = a.pack(&"ban").expect("a frame");
    for bit in 0..frame.len() * 8 {
        let mut bent = frame.clone();
        bent[bit / 8] ^= 1 << (bit % 8);
        assert!(b.unpack::<String>(&bent).is_err(), "bit {bit}");
    }
    for cut in 0..frame.len() {
        assert!(b.unpack::<String>(&frame[..cut]).is_err(), "cut at {cut}");
    }
    assert_eq!(b.unpack::<String>(&frame).as_deref(), Ok("ban"));
    assert_eq!(b.unpack::<String>(&frame), Err(FrameError::Replayed));
    let (_, mut other) = met(one.clone(), one.clone());
    other.own = 23;
    assert_eq!(other.unpack::<String>(&frame), Err(FrameError::Replayed), "another connection");
    let mut stranger = Session::new(seal("y", &[(1, 7)]), "a", 1);
    assert_eq!(b.meet(&stranger.greet().expect("a frame")), Err(FrameError::Cluster("y".into())));
    stranger.seal = seal("x", &[(1, 8)]);
    assert_eq!(b.meet(&stranger.greet().expect("a frame")), Err(FrameError::Forged));
    stranger.seal = seal("x", &[(3, 7)]);
    assert_eq!(b.meet(&stranger.greet().expect("a frame")), Err(FrameError::UnknownKey(3)));
    assert!(matches!(a.pack(&vec![0u8; LONGEST]), Err(FrameError::TooLong(_))));
}

/// Guards a rotation: who has both keys talks with those who have either.
#[test]
fn two_keys_are_accepted_during_a_rotation() {
    let (old, both, new) = (seal("x", &[(1, 7)]), seal("x", &[(2, 9), (1, 7)]), seal("x", &[(2, 9)]));
    let (mut a, mut b) = (Session::new(old, "a", 1), Session::new(both.clone(), "b", 2));
    assert!(b.meet(&a.greet().expect("a frame")).is_ok());
    assert_eq!(a.meet(&b.greet().expect("a frame")), Err(FrameError::UnknownKey(2)), "not yet everywhere");
    let (mut c, mut d) = met(both, new);
    assert_eq!(d.unpack::<u8>(&c.pack(&5u8).expect("a frame")), Ok(5));
}
