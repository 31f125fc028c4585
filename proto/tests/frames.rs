//! A reader returns the framed bodies regardless of how the bytes are split, and fails at a corrupted frame.

mod common;

use common::fixed;
use googletest::prelude::*;
use gradepaddle_proto::frame::{FrameError, FrameReader, HEADER_BYTES, MAX_BODY_BYTES, write};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};

fn framed(bodies: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    bodies.iter().for_each(|body| write(body, &mut bytes));
    bytes
}

/// Reads all complete bodies.
fn read_bodies(reader: &mut FrameReader) -> std::result::Result<Vec<Vec<u8>>, FrameError> {
    let mut bodies = Vec::new();
    while let Some(body) = reader.next_body()? {
        bodies.push(body.to_vec());
    }
    Ok(bodies)
}

fn read(bytes: &[u8]) -> std::result::Result<Vec<Vec<u8>>, FrameError> {
    let mut reader = FrameReader::default();
    reader.push(bytes);
    read_bodies(&mut reader)
}

#[gtest]
fn frames_split_at_any_byte_give_the_same_bodies() {
    let bodies = vec![b"first".to_vec(), vec![], vec![0; 300], b"last".to_vec()];
    let bytes = framed(&bodies);
    for at in 0..=bytes.len() {
        let mut reader = FrameReader::default();
        reader.push(&bytes[..at]);
        let mut seen = read_bodies(&mut reader).expect("the frames are valid");
        reader.push(&bytes[at..]);
        seen.extend(read_bodies(&mut reader).expect("the frames are valid"));
        expect_that!(seen, eq(&bodies), "split after {at} bytes");
    }
}

#[gtest]
fn frames_that_arrive_byte_by_byte_give_the_same_bodies() {
    let bodies = vec![vec![], b"one".to_vec(), vec![], vec![7; 1000], vec![]];
    let mut reader = FrameReader::default();
    let mut seen = Vec::new();
    for byte in framed(&bodies) {
        reader.push(&[byte]);
        seen.extend(read_bodies(&mut reader).expect("the frames are valid"));
    }
    expect_that!(seen, eq(&bodies));
}

#[gtest]
fn a_body_beyond_the_limit_is_rejected() {
    let longest = vec![3; MAX_BODY_BYTES];
    expect_true!(read(&framed(std::slice::from_ref(&longest))) == Ok(vec![longest]));
    let too_long = framed(&[vec![3; MAX_BODY_BYTES + 1]]);
    expect_that!(read(&too_long), err(eq(&FrameError::TooLong { length: MAX_BODY_BYTES + 1 })));
    // The header alone is rejected, so that no reader waits for such a body.
    expect_that!(
        read(&too_long[..HEADER_BYTES]),
        err(eq(&FrameError::TooLong { length: MAX_BODY_BYTES + 1 }))
    );
    expect_that!(read(&[0xff; HEADER_BYTES]), err(eq(&FrameError::TooLong { length: u32::MAX as usize })));
}

#[gtest]
fn frames_before_a_corrupted_one_are_read() {
    let good = framed(&[b"good".to_vec()]);
    let mut bad = framed(&[b"bad".to_vec()]);
    *bad.last_mut().expect("the frame is not empty") ^= 1;
    let mut reader = FrameReader::default();
    reader.push(&[good.clone(), bad, good].concat());
    expect_that!(reader.next_body().map(|body| body.map(<[u8]>::to_vec)), ok(some(eq(b"good"))));
    expect_that!(reader.next_body(), err(eq(&FrameError::Checksum)));
    // Frame boundaries after it are unknown, so the following bytes are not read as frames.
    expect_that!(reader.next_body(), err(eq(&FrameError::Checksum)));
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn any_chunking_gives_the_same_bodies(
        bodies in vec(vec(any::<u8>(), 0..60), 0..8),
        cuts in vec(1..50_usize, 1..20),
    ) {
        let bytes = framed(&bodies);
        let mut reader = FrameReader::default();
        let (mut seen, mut rest, mut cuts) = (Vec::new(), &bytes[..], cuts.into_iter().cycle());
        while !rest.is_empty() {
            let (piece, left) = rest.split_at(cuts.next().unwrap_or(1).min(rest.len()));
            reader.push(piece);
            seen.extend(read_bodies(&mut reader).expect("the frames are valid"));
            rest = left;
        }
        prop_assert_eq!(seen, bodies);
    }

    #[test]
    fn a_flipped_bit_of_body_or_checksum_is_detected(
        body in vec(any::<u8>(), 1..80),
        at in any::<proptest::sample::Index>(),
        bit in 0..8_u32,
    ) {
        let mut bytes = framed(&[body]);
        let at = 4 + at.index(bytes.len() - 4);
        bytes[at] ^= 1 << bit;
        prop_assert_eq!(read(&bytes), Err(FrameError::Checksum));
    }

    #[test]
    fn random_bytes_never_give_more_than_was_pushed(bytes in vec(any::<u8>(), 0..200)) {
        if let Ok(bodies) = read(&bytes) {
            prop_assert!(bodies.iter().map(|body| body.len() + HEADER_BYTES).sum::<usize>() <= bytes.len());
        }
    }
}

/// Guards against a wrong length of the frame for which memory is reserved.
#[gtest]
fn the_length_of_an_incomplete_frame_is_known_from_its_header_on() {
    let frame = framed(&[vec![1; 1_000]]);
    let mut reader = FrameReader::default();
    reader.push(&frame[..HEADER_BYTES - 1]);
    expect_that!(read_bodies(&mut reader), ok(is_empty()));
    expect_that!(reader.incomplete_length(), eq(0));
    reader.push(&frame[HEADER_BYTES - 1..500]);
    expect_that!(read_bodies(&mut reader), ok(is_empty()));
    expect_that!(reader.incomplete_length(), eq(HEADER_BYTES + 1_000));
    reader.push(&frame[500..]);
    expect_that!(read_bodies(&mut reader), ok(eq(&[vec![1; 1_000]])));
    expect_that!(reader.incomplete_length(), eq(0));
}
