//! The send queue is bounded, and a slow link still transfers all queued bytes. Time is simulated.

use std::time::Duration;

use googletest::prelude::*;
use gradepaddle_controlplane::send_queue::{
    MAX_QUEUED_BYTES, MAX_QUEUED_MESSAGES, QueuedTotal, SendError, send_queue, write_with_progress,
};
use tokio::io::{AsyncReadExt, duplex};
use tokio::time::{Instant, sleep};

/// The size of a control state with a large configuration.
const STATE_BYTES: usize = 4_000_000;
/// The number of bytes in flight between two nodes.
const WINDOW_BYTES: usize = 16 * 1024;
/// The link carries this many bytes in each [`PAUSE`]: 10 Mbit/s.
const BYTES_PER_PAUSE: usize = 12_500;
const PAUSE: Duration = Duration::from_millis(10);
const STALL_TIMEOUT: Duration = Duration::from_millis(2_400);

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_large_state_passes_a_slow_connection_completely() {
    let (mut writer, mut reader) = duplex(WINDOW_BYTES);
    let reading = tokio::spawn(async move {
        let (mut bytes, mut count) = (vec![0; BYTES_PER_PAUSE], 0);
        while let Ok(accepted @ 1..) = reader.read(&mut bytes).await {
            count += accepted;
            sleep(PAUSE).await;
        }
        count
    });
    let started = Instant::now();
    let written = write_with_progress(&mut writer, &vec![1; STATE_BYTES], STALL_TIMEOUT).await;
    drop(writer);
    expect_that!(written, eq(true));
    expect_that!(started.elapsed(), gt(STALL_TIMEOUT), "it takes as long as the link needs");
    expect_that!(reading.await.ok(), some(eq(STATE_BYTES)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_connection_without_progress_is_closed_after_the_stall_timeout() {
    let (mut writer, _reader) = duplex(WINDOW_BYTES);
    let started = Instant::now();
    expect_that!(write_with_progress(&mut writer, &vec![1; STATE_BYTES], STALL_TIMEOUT).await, eq(false));
    expect_that!(started.elapsed(), eq(STALL_TIMEOUT));
}

#[gtest]
fn the_queue_is_bounded_in_bytes() {
    let (queue, _outgoing) = send_queue(&QueuedTotal::new(usize::MAX));
    let mut accepted = 0;
    for _ in 0..100 {
        match queue.push(vec![0; 400_000]) {
            Ok(()) => accepted += 1,
            Err(refusal) => expect_that!(refusal, eq(&SendError::Full)),
        }
    }
    expect_that!(accepted, eq(MAX_QUEUED_BYTES / 400_000));
    expect_that!(queue.queued_bytes(), le(MAX_QUEUED_BYTES));
}

#[gtest]
fn the_queue_is_bounded_in_messages() {
    let (queue, _outgoing) = send_queue(&QueuedTotal::new(usize::MAX));
    let accepted = (0..2 * MAX_QUEUED_MESSAGES).filter(|_| queue.push(vec![0; 10]).is_ok()).count();
    expect_that!(accepted, eq(MAX_QUEUED_MESSAGES));
    expect_that!(queue.queued_bytes(), eq(10 * MAX_QUEUED_MESSAGES));
}

#[gtest]
fn the_largest_message_is_accepted_by_an_empty_queue() {
    let (queue, _outgoing) = send_queue(&QueuedTotal::new(usize::MAX));
    expect_that!(queue.push(vec![0; 2 * MAX_QUEUED_BYTES]), ok(anything()));
    expect_that!(queue.push(vec![0; 1]), err(eq(&SendError::Full)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn written_messages_free_capacity_and_stay_in_order() {
    let (queue, mut outgoing) = send_queue(&QueuedTotal::new(usize::MAX));
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

/// Guards against queues that are bounded one by one only: a node has hundreds of them. What was written, or lost with its
/// connection, makes room.
#[gtest]
#[tokio::test(start_paused = true)]
async fn all_queues_together_are_bounded_in_bytes() {
    let total = QueuedTotal::new(2_500);
    let (first, mut first_receiver) = send_queue(&total);
    let (second, second_receiver) = send_queue(&total);
    expect_that!(first.push(vec![1; 1_000]), ok(anything()));
    expect_that!(second.push(vec![2; 1_000]), ok(anything()));
    expect_that!(second.push(vec![2; 1_000]), err(eq(&SendError::Full)));
    expect_that!(total.bytes(), eq(2_000));
    let batch = first_receiver.next_batch().await.unwrap_or_default();
    first_receiver.mark_written(batch.len());
    expect_that!(total.bytes(), eq(1_000));
    expect_that!(second.push(vec![2; 1_000]), ok(anything()));
    drop(second_receiver);
    expect_that!(total.bytes(), eq(0));
}
