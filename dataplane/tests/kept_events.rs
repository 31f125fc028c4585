//! Who listens to which holder of kept parts, what its events come to, and how others hear of it.

mod common;

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;

use common::*;
use googletest::prelude::*;
use gradepaddle_dataplane::load_sharing::audience::Peer;
use gradepaddle_dataplane::{EventLog, KeptEvent, KeptEvents, listens, tell_loads};
use gradepaddle_engine::{KeptChanges, KeptTokens, holder_hash, kept_key};
use gradepaddle_proto::{Decode, KeptReport, LoadShare};
use serde_json::json;
use tokio::net::UdpSocket;

const SERVER: u64 = 77;
const SALT: &str = "v1";
/// How long a gap in a server's events counts, in microseconds.
const GAP: u64 = 5_000_000;

fn balancer(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, (number >> 8) as u8, number as u8), 7000)
}

/// Which of so many balancers listens to each of so many servers, with one balancer missing.
fn shared_out(balancers: usize, servers: u64, missing: Option<usize>) -> HashMap<u64, Vec<usize>> {
    let present: Vec<usize> = (0..balancers).filter(|number| Some(*number) != missing).collect();
    let listeners = |server: u64| {
        let is_listener = |own: &usize| {
            let others: Vec<_> = present.iter().filter(|other| *other != own).map(|n| balancer(*n)).collect();
            listens(balancer(*own), &others, holder_hash(&format!("i-{server}")))
        };
        present.iter().copied().filter(is_listener).collect()
    };
    (0..servers).map(|server| (server, listeners(server))).collect()
}

#[gtest]
fn each_server_is_listened_to_by_one_balancer_and_evenly() {
    for (balancers, servers, most) in [(1, 20, 20), (10, 90, 20), (91, 90, 6), (400, 100, 4)] {
        let shared = shared_out(balancers, servers, None);
        expect_that!(shared.values().all(|listeners| listeners.len() == 1), eq(true), "{balancers}");
        let mut shares = vec![0; balancers];
        shared.values().for_each(|listeners| shares[listeners[0]] += 1);
        expect_that!(shares.iter().max(), some(le(&most)), "{balancers}");
    }
}

#[gtest]
fn a_balancer_that_leaves_moves_its_own_servers_only() {
    let (before, after) = (shared_out(20, 90, None), shared_out(20, 90, Some(7)));
    for (server, listeners) in &before {
        if listeners != &[7] {
            expect_that!(after[server], eq(listeners));
        }
        expect_that!(after[server].len(), eq(1));
    }
}

fn event(number: u64, sign: &str, part: u64, tokens: u32) -> KeptEvent {
    KeptEvent(number, sign.into(), SALT.into(), format!("{part:x}"), tokens, "m0".into())
}

fn answer(epoch: u64, next_token: u64, events: Vec<KeptEvent>) -> KeptEvents {
    KeptEvents { epoch, next_token, lost: false, events }
}

fn told(whole: bool, everything: bool, parts: &[(u64, u32)]) -> KeptChanges {
    let mut parts: Vec<KeptTokens> =
        parts.iter().map(|(id, tokens)| KeptTokens { key: kept_key(SALT, *id), tokens: *tokens }).collect();
    parts.sort_by_key(|part| part.key);
    KeptChanges { holder: SERVER, whole, everything, parts }
}

/// What a log tells of an answer that comes after events 1 to 10 of epoch 4.
fn after_ten(at: u64, next: &KeptEvents) -> Option<KeptChanges> {
    let mut log = EventLog::new(SERVER);
    log.take(0, &answer(4, 10, (1..=10).map(|number| event(number, "+", number, 64)).collect()));
    log.take(at, next)
}

#[gtest]
fn events_come_to_what_was_dropped() {
    let dropped = event(11, "-", 1, 0);
    let rows: Vec<(&str, KeptEvents, Option<KeptChanges>)> = vec![
        ("nothing happened", answer(4, 10, vec![]), Some(told(true, false, &[]))),
        ("taken in", answer(4, 11, vec![event(11, "+", 99, 64)]), Some(told(true, false, &[]))),
        ("dropped", answer(4, 11, vec![dropped.clone()]), Some(told(true, false, &[(1, 0)]))),
        (
            "two dropped, one of them bit by bit",
            answer(4, 13, vec![event(11, "-", 2, 48), dropped.clone(), event(13, "-", 2, 16)]),
            Some(told(true, false, &[(1, 0), (2, 16)])),
        ),
        (
            "dropped and taken in again",
            answer(4, 12, vec![dropped.clone(), event(12, "+", 1, 64)]),
            Some(told(true, false, &[])),
        ),
        (
            "a gap that the server tells of",
            KeptEvents { lost: true, ..answer(4, 31, vec![event(31, "-", 1, 0)]) },
            Some(told(false, false, &[(1, 0)])),
        ),
        (
            "an event that did not come",
            answer(4, 12, vec![dropped.clone()]),
            Some(told(false, false, &[(1, 0)])),
        ),
        ("all that happened did not come", answer(4, 12, vec![]), None),
        ("restarted", answer(5, 0, vec![]), Some(told(true, true, &[]))),
        (
            "restarted, and something happened since",
            answer(5, 2, vec![event(1, "+", 1, 64), event(2, "-", 1, 0)]),
            Some(told(true, true, &[(1, 0)])),
        ),
    ];
    for (what, next, wanted) in rows {
        expect_that!(after_ten(1, &next), eq(&wanted), "{what}");
    }
}

#[gtest]
fn after_a_gap_a_server_counts_as_heard_again_once_what_was_missed_is_old() {
    let mut log = EventLog::new(SERVER);
    log.take(0, &answer(4, 10, vec![]));
    expect_that!(log.since(), eq(10));
    expect_that!(log.take(1, &answer(4, 20, vec![])), none());
    expect_that!(log.since(), eq(20));
    expect_that!(log.take(GAP, &answer(4, 20, vec![])), none());
    expect_that!(log.take(GAP + 1, &answer(4, 20, vec![])), some(eq(&told(true, false, &[]))));
}

/// What was there before anybody listened is no gap: it may be dropped unheard, as ever.
#[gtest]
fn the_first_answer_tells_what_it_holds() {
    let first = KeptEvents { lost: true, ..answer(4, 5_000, vec![event(5_000, "-", 1, 0)]) };
    expect_that!(EventLog::new(SERVER).take(0, &first), some(eq(&told(true, false, &[(1, 0)]))));
}

fn v4(socket: &UdpSocket) -> SocketAddrV4 {
    match socket.local_addr().expect("it is bound") {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("{address}"),
    }
}

/// What the next message to another balancer that tells of a holder says of it.
async fn next_report(other: &UdpSocket) -> KeptReport {
    let mut bytes = vec![0; 64 * 1024];
    loop {
        let length = other.recv(&mut bytes).await.expect("a datagram");
        let message = LoadShare::from_bytes(&bytes[..length]).expect("a message");
        if let Some(report) = message.changes.into_iter().next() {
            return report;
        }
    }
}

#[gtest]
fn what_a_server_drops_is_told_to_the_other_balancers() {
    run(async {
        let events = json!({
            "epoch": 4, "nextToken": 2, "lost": false,
            "events": [[1, "+", SALT, "a1", 64, "m0"], [2, "-", SALT, "b2", 0, "m0"]],
        });
        let plays = vec![whole(&events.to_string())];
        let world = World::of_servers(&["s1"], plays).await;
        let own = Rc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
        let other = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let address = v4(&other);
        let listener = listens(v4(&own), &[address], holder_hash("s1"));
        // Whichever of the two is the listener: alone it is this one.
        let peers = [Peer { address, zone: "".into() }];
        world.plane.set_peers(if listener { &peers } else { &[] });
        tokio::task::spawn_local(tell_loads(world.plane.clone(), own));
        tokio::task::yield_now().await;
        // Twice: the first time nobody knows whether the members have settled.
        world.plane.sweep();
        world.plane.sweep();
        let arrival = world.arrived(1).await.remove(0);
        expect_that!((&*arrival.method, &*arrival.target), eq(("GET", "/v1/kv-events?since=0")));
        expect_that!(arrival.field("Wait-Ms"), some(anything()));
        world.plane.set_peers(&peers);
        let report = next_report(&other).await;
        expect_that!((report.holder, report.whole, report.everything), eq((holder_hash("s1"), true, false)));
        let parts: Vec<_> = report.parts.iter().map(|part| (part.id, part.tokens)).collect();
        expect_that!(parts, eq(&[(kept_key(SALT, 0xb2), 0)]));
    });
}
