//! The reports on the contents of a cache store that a subscribed node sends to the others.

mod common;

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;

use common::*;
use googletest::prelude::*;
use gradepaddle_dataplane::load_reports::recipients::Peer;
use gradepaddle_dataplane::send_load_reports;
use gradepaddle_http::Connection;
use gradepaddle_http::buffers::Pool;
use gradepaddle_placement::{chunk_key, holder_hash};
use gradepaddle_proto::{CacheStoreReport, Decode, PeerLoadReport};
use serde_json::json;
use tokio::net::{TcpListener, UdpSocket};

const SALT: &str = "v1";
const STORE: &str = "shelf";

/// A configuration with a store at this address.
fn with_store(address: SocketAddrV4) -> serde_json::Value {
    edited(|body| {
        let store = json!({
            "name": STORE, "cacheStore": address.to_string(), "zone": "here", "cacheTokens": 1_000_000,
            "linkMbps": 350_000, "maxInFlight": 8,
        });
        body["backends"].as_array_mut().expect("services").push(store);
    })
}

fn v4(address: SocketAddr) -> SocketAddrV4 {
    match address {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("{address}"),
    }
}

/// A store that sends these responses to the calls on one connection, and then leaves a call unanswered for ever.
async fn run_store(listener: TcpListener, responses: Vec<serde_json::Value>) {
    let pool = Pool::default();
    let (stream, _) = listener.accept().await.expect("a call");
    let mut connection = Connection::new(stream, &pool, ());
    for response in responses {
        connection.read_head().await.expect("a call");
        let body = response.to_string();
        let mut out = pool.chain();
        out.push(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).as_bytes());
        connection.write(&[&out]).await.expect("the node reads");
    }
    std::future::pending::<()>().await;
}

/// The first reports of cache stores that another node receives, at least `count`.
async fn reports(other: &UdpSocket, count: usize) -> Vec<CacheStoreReport> {
    let mut bytes = vec![0; 64 * 1024];
    let mut reports = Vec::new();
    while reports.len() < count {
        let length = other.recv(&mut bytes).await.expect("a datagram");
        reports.extend(PeerLoadReport::from_bytes(&bytes[..length]).expect("a message").cache_store_reports);
    }
    reports
}

/// A data plane that has one peer and subscribes to a store with these responses, and the peer's socket.
async fn subscribed(rank: usize, responses: Vec<serde_json::Value>) -> (Harness, UdpSocket) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = v4(listener.local_addr().expect("it is bound"));
    tokio::task::spawn_local(run_store(listener, responses));
    let harness = Harness::with_configuration(with_store(address), vec![]).await;
    let own = Rc::new(UdpSocket::bind("127.0.0.1:0").await.expect("a port"));
    let other = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
    let peer = Peer { address: v4(other.local_addr().expect("it is bound")), zone: "".into() };
    harness.plane.set_subscriber_rank(rank);
    harness.plane.set_peers(&[peer]);
    tokio::task::spawn_local(send_load_reports(harness.plane.clone(), own));
    (harness, other)
}

#[gtest]
fn the_first_node_reports_what_a_store_adds_and_drops() {
    run(async {
        let list = json!({"epoch": 4, "nextToken": 2, "held": []});
        let events = json!({
            "epoch": 4, "nextToken": 4, "lost": false,
            "events": [[3, "+", SALT, "a1", 64, "m0"], [4, "-", SALT, "b2", 0, "m0"]],
        });
        let restarted = json!({"epoch": 5, "nextToken": 0, "lost": false, "events": []});
        let (_harness, other) = subscribed(0, vec![list, events, restarted]).await;
        let [report, reset] = &reports(&other, 2).await[..] else { panic!("two reports are expected") };
        let parts: Vec<_> = report.chunks.iter().map(|part| (part.id, part.tokens)).collect();
        expect_that!((report.store, report.reset), eq((holder_hash(STORE), false)));
        expect_that!(parts, eq(&[(chunk_key(SALT, 0xa1), 64), (chunk_key(SALT, 0xb2), 0)]));
        expect_that!((reset.reset, reset.chunks.len()), eq((true, 0)));
    });
}

/// An empty list means that nothing has changed, unless the store says that it has dropped changes.
#[gtest]
fn an_empty_list_of_a_store_that_lost_changes_is_a_reset() {
    run(async {
        let list = json!({"epoch": 4, "nextToken": 2, "held": []});
        let empty =
            |lost: bool, next: u64| json!({"epoch": 4, "nextToken": next, "lost": lost, "events": []});
        let added = json!({"epoch": 4, "nextToken": 10, "events": [[10, "+", SALT, "a1", 64, "m0"]]});
        let (_harness, other) = subscribed(0, vec![list, empty(false, 2), empty(true, 9), added]).await;
        let reports = reports(&other, 2).await;
        let seen: Vec<_> = reports.iter().map(|report| (report.reset, report.chunks.len())).collect();
        expect_that!(seen, eq(&[(true, 0), (false, 1)]));
    });
}

/// A store that crashes while it sends its contents closes its connection in order: where they have no length, a part of them
/// must not pass for all.
#[gtest]
fn contents_without_a_length_that_end_early_are_not_taken() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = v4(listener.local_addr().expect("it is bound"));
        let harness = Harness::with_configuration(with_store(address), vec![]).await;
        let held =
            json!({"epoch": 4, "nextToken": 2, "held": [[SALT, "a1", 64, "m0"], [SALT, "b2", 64, "m0"]]});
        let body = held.to_string();
        let index_entries = || harness.plane.placer.borrow().table_sizes().index_entries;
        for end in [1, body.len() / 2, body.len() - 1, body.len()] {
            expect_that!(index_entries(), eq(0), "before {end} bytes");
            let (stream, _) = listener.accept().await.expect("a call");
            let pool = Pool::default();
            let mut connection = Connection::new(stream, &pool, ());
            connection.read_head().await.expect("a call");
            let mut out = pool.chain();
            out.push(format!("HTTP/1.1 200 OK\r\n\r\n{}", &body[..end]).as_bytes());
            connection.write(&[&out]).await.expect("the node reads");
        }
        while index_entries() < 2 {
            tokio::task::yield_now().await;
        }
    });
}

/// All subscribed nodes see the same changes; if each of them reported them, they would be reported several times.
#[gtest]
fn a_node_that_is_not_the_first_reports_no_changes_of_a_store() {
    run(async {
        let list = json!({"epoch": 4, "nextToken": 2, "held": []});
        let events = json!({"epoch": 4, "nextToken": 3, "events": [[3, "+", SALT, "a1", 64, "m0"]]});
        let (harness, other) = subscribed(1, vec![list, events]).await;
        let mut bytes = vec![0; 64 * 1024];
        // A report is sent at least once a second, and would contain the changes that were applied before it.
        while harness.plane.placer.borrow().table_sizes().index_entries == 0 {
            tokio::task::yield_now().await;
        }
        let length = other.recv(&mut bytes).await.expect("a datagram");
        let message = PeerLoadReport::from_bytes(&bytes[..length]).expect("a message");
        expect_that!(message.cache_store_reports, is_empty());
    });
}
