use proptest::prelude::*;

use super::*;
use crate::buffers::Pool;

/// Guards against a body that depends on how the network split it or on how it is taken, and against taking bytes of the
/// next message.
#[test]
fn a_body_does_not_depend_on_how_it_is_cut_and_taken() {
    let parts = prop::collection::vec(prop::collection::vec(any::<u8>(), 1..9000), 0..5);
    proptest!(crate::testing::deterministic_config(), |(
        parts in parts, cut in 1..9000usize, max_length in 1..9000usize, kind in 0..3
    )| {
        let payload = parts.concat();
        let (framing, mut sent) = match kind {
            0 => (Framing::Length(payload.len() as u64), payload.clone()),
            1 => (Framing::UntilClose, payload.clone()),
            _ => (Framing::Chunked, Vec::new()),
        };
        if kind == 2 {
            for part in &parts {
                sent.extend(format!("{:x};a=\"b\"\r\n", part.len()).bytes());
                sent.extend(part);
                sent.extend(b"\r\n");
            }
            sent.extend(b"0\r\nTrailer: t\r\n\r\n");
        }
        if kind != 1 {
            sent.extend(b"next");
        }
        let pool = Pool::default();
        let (mut input, mut body) = (pool.chain(), Body::new(framing).expect("short"));
        let (mut received, mut done) = (Vec::new(), false);
        for piece in sent.chunks(cut) {
            input.push(piece);
            while !done {
                let mut to = pool.chain();
                done = body.take(&mut input, &mut to, max_length).expect("well formed");
                prop_assert!(to.len() <= max_length);
                received.extend(to.copy_front(to.len()));
                if to.len() < max_length {
                    break;
                }
            }
        }
        prop_assert_eq!(done || body.finish().is_ok(), true);
        prop_assert_eq!(received, payload);
        prop_assert_eq!(input.copy_front(input.len()), if kind == 1 { &b""[..] } else { b"next" });
    });
}

/// Guards against a response that goes on for 3 GB, with or without an announced length.
#[test]
fn a_body_beyond_the_limit_is_rejected() {
    assert!(matches!(Body::new(Framing::Length(MAX_BODY_BYTES + 1)), Err(ReadError::BodyTooLong)));
    let pool = Pool::default();
    let mut body = Body::new(Framing::UntilClose).expect("no length");
    let (mut passed, block) = (0, vec![0; 1 << 20]);
    let error = loop {
        let (mut input, mut to) = (pool.chain(), pool.chain());
        input.push(&block);
        match body.take(&mut input, &mut to, usize::MAX) {
            Ok(_) => passed += block.len() as u64,
            Err(error) => break error,
        }
    };
    assert!(matches!(error, ReadError::BodyTooLong) && passed == MAX_BODY_BYTES);
}

/// Guards against chunk extensions without an end, which belong to no byte of a body, and against rejecting those of an
/// ordinary length, such as the signature of each chunk.
#[test]
fn chunk_extensions_may_be_as_long_as_the_chunks_and_little_longer() {
    let cases = [("signatures", 4096, 85, true), ("bytes with long extensions", 1, 1000, false)];
    for (case, chunk_bytes, extension_bytes, accepted) in cases {
        let pool = Pool::default();
        let (mut input, mut to) = (pool.chain(), pool.chain());
        let mut body = Body::new(Framing::Chunked).expect("no length");
        let extension = "e".repeat(extension_bytes);
        let taken = (0..1000).try_for_each(|_| {
            input.push(format!("{chunk_bytes:x};{extension}\r\n{}\r\n", "x".repeat(chunk_bytes)).as_bytes());
            body.take(&mut input, &mut to, usize::MAX).map(|_| ())
        });
        match taken {
            Ok(()) => assert!(accepted, "{case}"),
            Err(error) => {
                assert!(!accepted, "{case}: {error}");
                assert_eq!(error.to_string(), "chunk extensions are too long");
            }
        }
    }
}
