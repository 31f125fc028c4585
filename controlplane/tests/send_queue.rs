//! What waits for a connection is bounded, and a slow link gets all of it. Time is simulated.

use std::time::Duration;

use googletest::prelude::*;
use gradepaddle_controlplane::send_queue::{
    MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGES, SendError, send_queue, write_with_progress,
};
use tokio::io::{AsyncReadExt, duplex};
use tokio::time::{Instant, sleep};

/// A state of the control plane with a large configuration, in bytes.
const STATE: usize = 4_000_000;
/// What lies between two nodes, in bytes.
const WINDOW: usize = 16 * 1024;
/// The link carries so many bytes each [`PAUSE`]: 10 Mbit/s.
const TAKEN: usize = 12_500;
const PAUSE: Duration = Duration::from_millis(10);
const WITHIN: Duration = Duration::from_millis(2_400);

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_large_state_passes_a_slow_connection_completely() {
    let (mut near, mut far) = duplex(WINDOW);
    let reading = tokio::spawn(async move {
        let (mut bytes, mut count) = (vec![0; TAKEN], 0);
        while let Ok(taken @ 1..) = far.read(&mut bytes).await {
            count += taken;
            sleep(PAUSE).await;
        }
        count
    });
    let begun = Instant::now();
    let written = write_with_progress(&mut near, &vec![1; STATE], WITHIN).await;
    drop(near);
    expect_that!(written, eq(true));
    expect_that!(begun.elapsed(), gt(WITHIN), "it takes as long as the link needs");
    expect_that!(reading.await.ok(), some(eq(STATE)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_connection_without_progress_is_closed_after_the_stall_timeout() {
    let (mut near, _far) = duplex(WINDOW);
    let begun = Instant::now();
    expect_that!(write_with_progress(&mut near, &vec![1; STATE], WITHIN).await, eq(false));
    expect_that!(begun.elapsed(), eq(WITHIN));
}

#[gtest]
fn the_queue_is_bounded_in_bytes() {
    let (queue, _outgoing) = send_queue();
    let mut taken = 0;
    for _ in 0..100 {
        match queue.push(vec![0; 400_000]) {
            Ok(()) => taken += 1,
            Err(refusal) => expect_that!(refusal, eq(&SendError::Full)),
        }
    }
    expect_that!(taken, eq(MAX_QUEUED_BYTES / 400_000));
    expect_that!(queue.queued_bytes(), le(MAX_QUEUED_BYTES));
}

#[gtest]
fn the_queue_is_bounded_in_messages() {
    let (queue, _outgoing) = send_queue();
    let taken = (0..2 * MAX_QUEUED_MESSAGES).filter(|_| queue.push(vec![0; 10]).is_ok()).count();
    expect_that!(taken, eq(MAX_QUEUED_MESSAGES));
    expect_that!(queue.queued_bytes(), eq(10 * MAX_QUEUED_MESSAGES));
}

#[gtest]
fn the_largest_message_is_accepted_by_an_empty_queue() {
    let (queue, _outgoing) = send_queue();
    expect_that!(queue.push(vec![0; 2 * MAX_QUEUED_BYTES]), ok(anything()));
    expect_that!(queue.push(vec![0; 1]), err(eq(&SendError::Full)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn written_messages_free_capacity_and_stay_in_order() {
    let (queue, mut outgoing) = send_queue();
    for number in 0..10 {
        expect_that!(queue.push(vec![number; 1_000]), ok(anything()));
    }
    let batch = outgoing.next_batch().await.unwrap_or_default();
    expect_that!(
        batch.chunks(1_000).map(|one| one[0]).collect::<Vec<_>>(),
        eq(&(0..10).collect::<Vec<u8>>())
    );
    expect_that!(queue.queued_bytes(), eq(10_000));
    outgoing.mark_written(batch.len());
    expect_that!(queue.queued_bytes(), eq(0));
    drop(outgoing);
    expect_that!(queue.push(vec![7]), err(eq(&SendError::Closed { message: vec![7] })));
}
