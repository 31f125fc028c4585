//! The limiter of an address: what is refused, and who is evicted.

use std::time::Duration;

use googletest::prelude::*;
use gradepaddle_resources::{ClientBounds, ClientLimiter, LimiterCounts, ReserveError, WaitKind};
use tokio::time::{advance, timeout};

const BOUNDS: ClientBounds = ClientBounds { max_connections: 3, connection_bytes: 10, total_bytes: 100 };
/// Longer than any waiting connection is left alone.
const LONG: Duration = Duration::from_secs(3);

/// Guards against connections and bytes that are counted wrongly, or not returned.
#[gtest]
#[tokio::test(start_paused = true)]
async fn connections_and_requests_return_what_they_reserved() {
    let limiter = ClientLimiter::new(BOUNDS);
    let permit = limiter.admit().await.expect("nothing is occupied");
    let mut request = permit.reserve(50).await.expect("it fits");
    expect_that!((limiter.connections(), limiter.reserved_bytes()), eq((1, 60)));
    request.merge(permit.reserve(40).await.expect("it fits"));
    expect_that!(request.bytes(), eq(90));
    expect_that!(permit.reserve(1).await.map(drop), err(eq(ReserveError::Occupied)));
    drop(request);
    expect_that!(limiter.reserved_bytes(), eq(10));
    drop(permit);
    expect_that!((limiter.connections(), limiter.reserved_bytes()), eq((0, 0)));
    expect_that!(limiter.counts(), eq(LimiterCounts { refused: 1, evicted: 0 }));
}

/// Guards against eviction for the sake of a request that doesn't fit in any case.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_request_beyond_all_bytes_is_refused_and_evicts_nobody() {
    let limiter = ClientLimiter::new(BOUNDS);
    let permit = limiter.admit().await.expect("nothing is occupied");
    let _entry = permit.wait(WaitKind::Idle);
    advance(LONG).await;
    expect_that!(permit.reserve(101).await.map(drop), err(eq(ReserveError::TooLarge { bytes: 101 })));
    expect_that!(limiter.counts().evicted, eq(0));
}

/// Guards against a new client that evicts those which have just come: whoever comes first would be closed by a crowd.
#[gtest]
#[tokio::test(start_paused = true)]
async fn connections_that_have_just_begun_to_wait_are_left_alone() {
    let limiter = ClientLimiter::new(BOUNDS);
    let mut permits = Vec::new();
    for _ in 0..BOUNDS.max_connections {
        permits.push(limiter.admit().await.expect("it fits"));
    }
    let _entries: Vec<_> = permits.iter().map(|permit| permit.wait(WaitKind::PartialRequest)).collect();
    expect_that!(limiter.admit().await.map(drop), err(eq(ReserveError::Occupied)));
}

/// Guards against a crowd that keeps all places: the connection that has waited longest makes room, idle ones first.
#[gtest]
#[tokio::test(start_paused = true)]
async fn idle_connections_make_room_before_requests_and_responses() {
    let limiter = ClientLimiter::new(BOUNDS);
    let mut order = Vec::new();
    let (evictions, mut evicted) = tokio::sync::mpsc::unbounded_channel();
    let local = tokio::task::LocalSet::new();
    for (name, kind) in [
        ("unread", WaitKind::UnreadResponse),
        ("partial", WaitKind::PartialRequest),
        ("idle", WaitKind::Idle),
    ] {
        let (permit, evictions) = (limiter.admit().await.expect("it fits"), evictions.clone());
        local.spawn_local(async move {
            permit.evicted_while(kind).await;
            evictions.send(name).expect("the test receives");
        });
        local.run_until(tokio::task::yield_now()).await;
    }
    local
        .run_until(async {
            advance(LONG).await;
            let mut admitted = Vec::new();
            for _ in 0..BOUNDS.max_connections {
                admitted.push(limiter.admit().await.expect("room is made"));
                order.push(evicted.recv().await.expect("one was evicted"));
            }
            expect_that!(limiter.admit().await.map(drop), err(eq(ReserveError::Occupied)));
        })
        .await;
    expect_that!(order, eq(&["idle", "partial", "unread"]));
}

/// Guards against a second connection that is evicted for one place, because bytes had been returned before.
#[gtest]
#[tokio::test(start_paused = true)]
async fn one_place_costs_one_connection() {
    let limiter = ClientLimiter::new(BOUNDS);
    let local = tokio::task::LocalSet::new();
    for _ in 0..BOUNDS.max_connections {
        let permit = limiter.admit().await.expect("it fits");
        drop(permit.reserve(20).await.expect("it fits"));
        local.spawn_local(async move { permit.evicted_while(WaitKind::Idle).await });
    }
    local
        .run_until(async {
            tokio::task::yield_now().await;
            advance(LONG).await;
            let _permit = limiter.admit().await.expect("room is made");
            expect_that!(limiter.counts(), eq(LimiterCounts { refused: 0, evicted: 1 }));
            expect_that!(limiter.connections(), eq(BOUNDS.max_connections));
        })
        .await;
}

/// Guards against a request that evicts its own connection, and waits for itself.
#[gtest]
#[tokio::test(start_paused = true)]
async fn the_connection_that_has_waited_longest_is_refused_more() {
    let limiter = ClientLimiter::new(BOUNDS);
    let (first, second) = (limiter.admit().await.expect("it fits"), limiter.admit().await.expect("it fits"));
    let (_entry, _later) = (first.wait(WaitKind::PartialRequest), second.wait(WaitKind::PartialRequest));
    advance(LONG).await;
    let refused = timeout(Duration::from_secs(1), first.reserve(90)).await;
    expect_that!(refused.expect("it is decided at once").map(drop), err(eq(ReserveError::Occupied)));
}

/// Guards against a wait without an end where an evicted connection doesn't return its resources.
#[gtest]
#[tokio::test(start_paused = true)]
async fn a_connection_that_does_not_heed_its_eviction_holds_nobody_up() {
    let limiter = ClientLimiter::new(BOUNDS);
    let mut permits = Vec::new();
    for _ in 0..BOUNDS.max_connections {
        permits.push(limiter.admit().await.expect("it fits"));
    }
    let _entries: Vec<_> = permits.iter().map(|permit| permit.wait(WaitKind::Idle)).collect();
    advance(LONG).await;
    let refused = timeout(Duration::from_secs(1), limiter.admit()).await;
    expect_that!(refused.expect("it gives up").map(drop), err(eq(ReserveError::Occupied)));
}
