//! The inbox is bounded, and a peer that floods it causes no other peer's messages to be dropped.

mod common;

use std::net::SocketAddrV4;
use std::time::Duration;

use common::address;
use googletest::prelude::*;
use gradepaddle_controlplane::inbox::{
    DroppedMessages, Inbox, InboxError, InboxReceiver, MAX_LANE_BYTES, MAX_PEER_BYTES, inbox,
};
use gradepaddle_controlplane::item_kinds::{self, SERVER};
use gradepaddle_controlplane::transport::serve_peers;
use gradepaddle_gossip::{AgedItem, Message, Stamp};
use gradepaddle_proto::{Content, Encode, Envelope, VersionQuery, frame};
use gradepaddle_resources::{ClientLimiter, ResourcePlan};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, advance, timeout};

/// The size of a large gossip message.
const BULK_BYTES: usize = 400_000;

fn bulk(from: SocketAddrV4, bytes: usize) -> Envelope {
    let item = item_kinds::item(SERVER, "i-1", Stamp { major: 1, minor: 0 }, vec![7; bytes]);
    let message =
        Message::Push { items: vec![AgedItem { item, age_ms: 0 }], acknowledge: false, repair: false };
    Envelope { from, content: Content::Gossip(message) }
}

fn query(from: SocketAddrV4, query_id: u64) -> Envelope {
    Envelope { from, content: Content::VersionQuery(VersionQuery { query_id }) }
}

fn query_id(envelope: &Envelope) -> Option<u64> {
    match &envelope.content {
        Content::VersionQuery(query) => Some(query.query_id),
        _ => None,
    }
}

/// Pushes messages until one is dropped. Returns how many were queued.
fn flood(inbox: &Inbox, from: SocketAddrV4) -> usize {
    (0..).find(|_| inbox.push(bulk(from, BULK_BYTES), BULK_BYTES).is_err()).expect("it is bounded")
}

fn drain(receiver: &mut InboxReceiver) -> Vec<Envelope> {
    std::iter::from_fn(|| receiver.try_recv()).collect()
}

#[gtest]
fn a_peer_that_floods_loses_its_own_messages_only() {
    let (inbox, mut receiver) = inbox();
    let (noisy, quiet) = (address(1), address(2));
    let queued = flood(&inbox, noisy);
    expect_that!(queued * BULK_BYTES, le(MAX_PEER_BYTES));
    expect_that!(queued * BULK_BYTES, gt(MAX_PEER_BYTES - 2 * BULK_BYTES));
    expect_that!(inbox.push(bulk(quiet, BULK_BYTES), BULK_BYTES), ok(()), "gossip of another");
    expect_that!(inbox.push(query(noisy, 5), 20), ok(()), "urgent messages have a lane of their own");
    expect_that!(receiver.try_recv().as_ref().and_then(query_id), some(eq(5)), "and goes first");
    let rest = drain(&mut receiver);
    expect_that!(rest.len(), eq(queued + 1));
    expect_that!(receiver.queued_bytes(), eq(0));
    expect_that!(inbox.push(bulk(noisy, BULK_BYTES), BULK_BYTES), ok(()), "there is room again");
}

#[gtest]
fn a_lane_is_bounded_whoever_sends() {
    let (inbox, receiver) = inbox();
    for number in 1..=20 {
        flood(&inbox, address(number));
    }
    expect_that!(receiver.queued_bytes(), le(MAX_LANE_BYTES + 20 * (BULK_BYTES + 1_000)));
    for number in 1..=200 {
        expect_that!(inbox.push(query(address(number), 1), 20), ok(()));
    }
}

#[gtest]
fn many_small_messages_are_charged_for_more_than_their_bytes() {
    let (inbox, receiver) = inbox();
    let queued = (0..).find(|id| inbox.push(query(address(1), *id), 1).is_err()).expect("it is bounded");
    expect_that!(queued, lt(MAX_PEER_BYTES as u64 / 200));
    expect_that!(receiver.queued_bytes(), le(MAX_PEER_BYTES));
}

#[gtest]
fn the_largest_message_gets_through() {
    let (inbox, mut receiver) = inbox();
    let bytes = 2 * MAX_LANE_BYTES;
    expect_that!(inbox.push(bulk(address(1), 10), bytes), ok(()));
    expect_that!(inbox.push(bulk(address(1), 10), 10), err(eq(InboxError::Full)));
    expect_that!(receiver.try_recv(), some(anything()));
    expect_that!(inbox.push(bulk(address(1), 10), bytes), ok(()));
}

#[gtest]
fn gossip_is_not_starved_either() {
    let (inbox, mut receiver) = inbox();
    inbox.push(bulk(address(1), 10), 10).expect("there is room");
    for id in 0..1_000 {
        inbox.push(query(address(2), id), 20).expect("there is room");
    }
    let order = drain(&mut receiver);
    let position = order.iter().position(|envelope| query_id(envelope).is_none());
    expect_that!(position, some(all![ge(1), le(100)]));
    let ids: Vec<u64> = order.iter().filter_map(query_id).collect();
    expect_that!(ids, eq(&(0..1_000).collect::<Vec<_>>()), "messages of one lane keep their order");
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn drops_are_counted_and_reported_once_a_second() {
    let (inbox, mut receiver) = inbox();
    expect_that!(receiver.take_dropped(Instant::now()), is_empty());
    flood(&inbox, address(1));
    let of_one = |count, total| DroppedMessages { peer: address(1), count, total };
    expect_that!(receiver.take_dropped(Instant::now()), elements_are![eq(&of_one(1, 1))]);
    flood(&inbox, address(1));
    flood(&inbox, address(1));
    expect_that!(receiver.take_dropped(Instant::now()), is_empty(), "too early");
    advance(Duration::from_secs(1)).await;
    expect_that!(receiver.take_dropped(Instant::now()), elements_are![eq(&of_one(2, 3))]);
    advance(Duration::from_secs(1)).await;
    expect_that!(receiver.take_dropped(Instant::now()), is_empty());
}

#[gtest]
#[tokio::test]
async fn the_receiver_ends_with_the_last_sender() {
    let (inbox, mut receiver) = inbox();
    let second = inbox.clone();
    inbox.push(query(address(1), 1), 20).expect("there is room");
    drop(inbox);
    expect_that!(receiver.recv().await, some(anything()));
    drop(second);
    expect_that!(receiver.recv().await, none());
    let (inbox, receiver) = gradepaddle_controlplane::inbox::inbox();
    drop(receiver);
    expect_that!(inbox.push(query(address(1), 1), 20), err(eq(InboxError::Closed)));
}

/// The limiter of connections of other nodes, of a machine of the sites.
fn peers() -> ClientLimiter {
    ClientLimiter::new(ResourcePlan::new(260, 4_100).peers)
}

/// Guards against long messages of which only a part has come, from many nodes at once: their memory is bounded, and other
/// nodes are heard.
#[gtest]
#[tokio::test]
async fn incomplete_messages_of_many_nodes_are_bounded() {
    let local = tokio::task::LocalSet::new();
    let flooded = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let to = listener.local_addr().expect("it is bound");
        let (inbox, mut receiver) = inbox();
        let limiter = peers();
        tokio::task::spawn_local(serve_peers(listener, inbox, limiter.clone()));
        let length = u32::try_from(frame::MAX_BODY_BYTES).expect("it fits the header");
        let header = [length.to_le_bytes(), [0; 4]].concat();
        let mut incomplete = Vec::new();
        for _ in 0..20 {
            let mut stream = TcpStream::connect(to).await.expect("it listens");
            stream.write_all(&header).await.expect("it is read");
            incomplete.push(stream);
        }
        let mut closed = 0;
        for stream in &mut incomplete {
            let read = timeout(Duration::from_millis(50), stream.read(&mut [0])).await;
            closed += usize::from(read.is_ok());
        }
        expect_that!(closed, ge(20 - 2));
        expect_that!(limiter.reserved_bytes(), le(limiter.total_bytes()));
        let mut quiet = TcpStream::connect(to).await.expect("it listens");
        let mut bytes = Vec::new();
        frame::write(&query(address(2), 2).to_bytes(), &mut bytes);
        quiet.write_all(&bytes).await.expect("it is read");
        expect_that!(receiver.recv().await.as_ref().and_then(query_id), some(eq(2)));
    };
    local.run_until(flooded).await;
}

/// 40 MB of gossip arrive on one connection while nothing is handled. A query on another connection is still received
/// soon.
#[gtest]
#[tokio::test]
async fn a_flood_on_a_socket_is_bounded_and_delays_no_query() {
    let local = tokio::task::LocalSet::new();
    let flooded = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let to = listener.local_addr().expect("it is bound");
        let (inbox, mut receiver) = inbox();
        tokio::task::spawn_local(serve_peers(listener, inbox, peers()));
        let mut bytes = Vec::new();
        frame::write(&bulk(address(1), BULK_BYTES).to_bytes(), &mut bytes);
        let mut noisy = TcpStream::connect(to).await.expect("it listens");
        for _ in 0..100 {
            noisy.write_all(&bytes).await.expect("it is read");
        }
        let mut last = Vec::new();
        frame::write(&query(address(1), 1).to_bytes(), &mut last);
        noisy.write_all(&last).await.expect("it is read");
        expect_that!(receiver.queued_bytes(), all![gt(0), le(MAX_PEER_BYTES)]);
        let first = receiver.recv().await;
        // The query is the last message on the flooding peer's connection: once it is there, all others have been
        // received.
        let mut urgent = first.filter(|envelope| query_id(envelope).is_some());
        let mut handled = 0;
        while urgent.is_none() {
            handled += 1;
            urgent = receiver.recv().await.filter(|envelope| query_id(envelope).is_some());
        }
        let mut quiet = TcpStream::connect(to).await.expect("it listens");
        let mut other = Vec::new();
        frame::write(&query(address(2), 2).to_bytes(), &mut other);
        quiet.write_all(&other).await.expect("it is read");
        let mut found = receiver.recv().await;
        while found.as_ref().and_then(query_id) != Some(2) {
            handled += 1;
            found = receiver.recv().await;
        }
        expect_that!(receiver.queued_bytes(), le(MAX_PEER_BYTES));
        expect_that!(handled, le(100));
        let dropped: u64 = receiver.take_dropped(Instant::now()).iter().map(|one| one.count).sum();
        expect_that!(
            dropped + handled + drain(&mut receiver).len() as u64,
            eq(100),
            "each is handled or counted"
        );
    };
    local.run_until(flooded).await;
}
