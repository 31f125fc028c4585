//! Load reports: their recipients, the bytes that they take, and which datagrams are accepted.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use googletest::prelude::*;
use gradepaddle_dataplane::load_reports::recipients::{Peer, Recipient, Recipients};
use gradepaddle_dataplane::load_reports::resend_window::ResendWindow;
use gradepaddle_dataplane::{DataPlane, ForwardedReport, Setup, should_report_health};
use gradepaddle_placement::{PlacementConfig, Placer};
use gradepaddle_proto::{CachedPrefix, Encode, PeerLoadReport, PromptChunk, ServerLoad};
use gradepaddle_resources::ResourcePlan;
use slog::{Discard, Logger, o};

const SECOND: u64 = 1_000_000;
/// Bytes of a report with a few servers and a cached prefix.
const REPORT_BYTES: usize = 110;
/// Bytes of the UDP and IPv4 headers.
const HEADER_BYTES: usize = 28;

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, (number / 250) as u8, (number % 250) as u8), 7640)
}

fn zone(number: usize, zones: usize) -> Arc<str> {
    Arc::from(format!("zone-{}", number % zones))
}

/// The recipients of node `own` in a fleet of `nodes` nodes in `zones` zones. Node `n` is in zone `n % zones`.
fn recipients_of(own: usize, nodes: usize, zones: usize) -> Recipients {
    let mut fleet = Recipients::new(zone(own, zones));
    let others = (0..nodes).filter(|number| *number != own);
    let peers = others.map(|number| Peer { address: address(number), zone: zone(number, zones) });
    fleet.set_peers(&peers.collect::<Vec<_>>());
    fleet
}

/// The nodes that a report reaches: its recipients, and the other nodes in the zones of those that forward it.
fn reached(recipients: &[Recipient], nodes: usize, zones: usize) -> Vec<SocketAddrV4> {
    let mut reached = Vec::new();
    for recipient in recipients {
        reached.push(recipient.address);
        if recipient.forwards {
            let relay = (0..nodes).find(|number| address(*number) == recipient.address).expect("a node");
            let zone = relay % zones;
            let zone_peers = (0..nodes).filter(|number| number % zones == zone && *number != relay);
            reached.extend(zone_peers.map(address));
        }
    }
    reached
}

#[gtest]
fn each_report_reaches_all_peers_once() {
    for (nodes, zones) in [(1, 1), (2, 1), (2, 2), (9, 3), (10, 3), (30, 5), (63, 3), (78, 4), (91, 5)] {
        let mut fleet = recipients_of(0, nodes, zones);
        for round in 1..20 {
            let recipients = fleet.select(round * SECOND, REPORT_BYTES);
            let mut all = reached(&recipients, nodes, zones);
            all.sort();
            let mut expected: Vec<SocketAddrV4> = (1..nodes).map(address).collect();
            expected.sort();
            expect_that!(all, eq(&expected), "{nodes} nodes, {zones} zones");
            let forwarding = recipients.iter().filter(|one| one.forwards).count();
            expect_that!(forwarding, lt(zones.max(1)), "a copy for each other zone at most");
        }
    }
}

/// If a node of another zone has failed, that zone misses only one report in as many as it has nodes.
#[gtest]
fn another_node_forwards_each_time() {
    let mut fleet = recipients_of(0, 91, 5);
    let mut relays: BTreeMap<SocketAddrV4, usize> = BTreeMap::new();
    for round in 1..=180 {
        let recipients = fleet.select(round * SECOND, REPORT_BYTES);
        recipients
            .iter()
            .filter(|one| one.forwards)
            .for_each(|one| *relays.entry(one.address).or_default() += 1);
    }
    expect_that!(relays.len(), eq(72));
    expect_that!(relays.values().max(), some(le(&11)));
}

/// At this rate of reports: the bytes per round that a node spends, and the longest time until all peers have been reached.
fn spending(nodes: usize, per_second: u64) -> (f64, u64) {
    let mut fleet = recipients_of(0, nodes, 5);
    let (seconds, mut copies) = (20, 0);
    let mut missing: BTreeSet<SocketAddrV4> = BTreeSet::new();
    let mut longest = 0;
    let mut since = 0;
    for report in 1..=seconds * per_second {
        let now = report * SECOND / per_second;
        if missing.is_empty() {
            longest = longest.max(now - since);
            since = now;
            missing = (1..nodes).map(address).collect();
        }
        let reached_now = reached(&fleet.select(now, REPORT_BYTES), nodes, 5);
        copies += reached_now.len();
        missing.retain(|one| !reached_now.contains(one));
    }
    ((copies * (REPORT_BYTES + HEADER_BYTES)) as f64 / seconds as f64, longest)
}

#[gtest]
fn the_bytes_sent_are_bounded_as_the_fleet_grows() {
    // At 91 nodes and this rate, each report reaches all peers.
    let (bytes, longest) = spending(91, 7);
    expect_that!(bytes, all![gt(80_000.0), le(100_000.0)]);
    expect_that!(longest, le(SECOND / 7 + 1));
    // More reports than the byte budget allows to send to all peers: they are reached in turns.
    let (bytes, longest) = spending(91, 50);
    expect_that!(bytes, le(210_000.0));
    expect_that!(longest, le(SECOND));
    let (bytes, longest) = spending(400, 50);
    expect_that!(bytes, le(8_500.0));
    expect_that!(longest, le(10 * SECOND));
}

#[gtest]
fn rounds_count_the_reports_that_reach_all_peers_once() {
    let mut fleet = recipients_of(0, 400, 5);
    expect_that!(fleet.rounds_to_reach_all(), eq(1));
    for round in 1..100 {
        fleet.select(round * SECOND / 10, REPORT_BYTES);
    }
    let reached_now = fleet.select(10 * SECOND, REPORT_BYTES).len();
    expect_that!(fleet.rounds_to_reach_all(), eq(399_usize.div_ceil(reached_now.max(1))));
}

/// A data plane in zone 0 of a fleet of ten nodes in two zones, itself node 0.
fn plane() -> std::rc::Rc<DataPlane> {
    let plane = DataPlane::new(Setup {
        resources: ResourcePlan::new(260, 4_100),
        placer: Placer::new(PlacementConfig::builder().build()),
        zone: zone(0, 2),
        log: Logger::root(Discard, o!()),
    });
    let peers = (1..10).map(|number| Peer { address: address(number), zone: zone(number, 2) });
    plane.set_peers(&peers.collect::<Vec<_>>());
    plane
}

fn report(sequence: u64, origin: usize) -> PeerLoadReport {
    let load = ServerLoad { server: 77, backlog_ms: 90, running: 2, tokens: 9_000 };
    PeerLoadReport {
        sequence,
        origin: Some(address(origin)),
        relay: false,
        servers: vec![load],
        cached_prefixes: Vec::new(),
        cache_store_reports: Vec::new(),
    }
}

fn counted(plane: &DataPlane) -> [u64; 5] {
    let counters = plane.load_report_counters();
    [
        &counters.received,
        &counters.unreadable,
        &counters.unknown_senders,
        &counters.outdated,
        &counters.implausible,
    ]
    .map(std::cell::Cell::get)
}

#[gtest]
fn invalid_datagrams_are_rejected_and_counted() {
    let load = |change: fn(&mut ServerLoad)| {
        let mut report = report(9, 1);
        change(&mut report.servers[0]);
        report.to_bytes()
    };
    let part = PromptChunk { id: 1, tokens: 1 };
    let prompt = CachedPrefix { server: 77, key: 1, version: 1, salt: 1, chunks: vec![part; 300] };
    let long = PeerLoadReport { cached_prefixes: vec![prompt], ..report(9, 1) };
    let cut = report(9, 1).to_bytes();
    let rows: Vec<(&str, SocketAddrV4, Vec<u8>, [u64; 5])> = vec![
        ("valid", address(1), report(9, 1).to_bytes(), [1, 0, 0, 0, 0]),
        ("forwarded by another node", address(3), report(9, 1).to_bytes(), [1, 0, 0, 0, 0]),
        ("truncated", address(1), cut[..cut.len() - 3].to_vec(), [0, 1, 0, 0, 0]),
        ("not a report", address(1), b"GET / HTTP/1.1\r\n\r\n".to_vec(), [0, 1, 0, 0, 0]),
        ("from an unknown node", address(50), report(9, 1).to_bytes(), [0, 0, 1, 0, 0]),
        ("with an unknown origin", address(1), report(9, 50).to_bytes(), [0, 0, 1, 0, 0]),
        ("too many running", address(1), load(|load| load.running = u32::MAX), [0, 0, 0, 0, 1]),
        ("too large a backlog", address(1), load(|load| load.backlog_ms = u32::MAX), [0, 0, 0, 0, 1]),
        ("too many tokens", address(1), load(|load| load.tokens = u64::MAX), [0, 0, 0, 0, 1]),
        ("a prefix of too many chunks", address(1), long.to_bytes(), [0, 0, 0, 0, 1]),
    ];
    for (what, from, bytes, expected) in rows {
        let plane = plane();
        expect_that!(plane.receive_load_report(from, &bytes), none(), "{what}");
        expect_that!(counted(&plane), eq(expected), "{what}");
    }
}

#[gtest]
fn an_outdated_report_is_rejected_whether_direct_or_forwarded() {
    let plane = plane();
    expect_that!(plane.receive_load_report(address(1), &report(9, 1).to_bytes()), none());
    expect_that!(plane.receive_load_report(address(3), &report(8, 1).to_bytes()), none());
    expect_that!(plane.receive_load_report(address(1), &report(9, 1).to_bytes()), none());
    expect_that!(counted(&plane), eq([1, 0, 0, 2, 0]));
    // Sequence numbers of different nodes are independent.
    expect_that!(plane.receive_load_report(address(3), &report(3, 3).to_bytes()), none());
    expect_that!(counted(&plane), eq([2, 0, 0, 2, 0]));
}

#[gtest]
fn a_report_for_the_zone_is_forwarded_to_it_once() {
    let plane = plane();
    let sent = PeerLoadReport { relay: true, ..report(9, 1) };
    let expected =
        ForwardedReport { bytes: report(9, 1).to_bytes(), recipients: [2, 4, 6, 8].map(address).to_vec() };
    expect_that!(plane.receive_load_report(address(1), &sent.to_bytes()), some(eq(&expected)));
    expect_that!(plane.receive_load_report(address(1), &sent.to_bytes()), none());
}

/// Seen on kctc-grown, seed 5552: nodes that had just started and knew few peers took themselves for the node of rank
/// 0 and reported that stores didn't respond. The actual node of rank 0 had reported before that they did, and did
/// not report again.
#[gtest]
fn the_first_node_reports_store_health_whenever_it_differs_from_what_is_reported() {
    let rows = [
        (0, None, true, true),
        (0, Some(false), true, true),
        (0, Some(true), true, false),
        (0, Some(true), false, true),
        (1, None, true, false),
        (7, Some(false), true, false),
    ];
    for (rank, known, alive, expected) in rows {
        expect_that!(should_report_health(rank, known, alive), eq(expected), "{rank} {known:?} {alive}");
    }
}

/// If a report does not reach all peers, later ones repeat its items. They are sent oldest first: otherwise a chunk
/// that a store has dropped and then added again would count as dropped.
#[gtest]
fn items_are_resent_oldest_first_and_the_latest_ones_if_there_are_too_many() {
    /// The items of each round, the number of rounds kept, and the items of a report of at most four.
    type Row = (&'static [&'static [u32]], usize, &'static [u32]);
    let rows: [Row; 6] = [
        (&[], 1, &[]),
        (&[&[1, 2]], 1, &[1, 2]),
        (&[&[1, 2], &[3]], 1, &[3]),
        (&[&[1, 2], &[], &[3]], 3, &[1, 2, 3]),
        (&[&[1, 2, 3], &[4, 5]], 2, &[2, 3, 4, 5]),
        (&[&[1, 2, 3, 4, 5]], 1, &[1, 2, 3, 4]),
    ];
    for (rounds, kept, expected) in rows {
        let mut window = ResendWindow::new(4);
        rounds.iter().for_each(|round| window.push_round(round.iter().copied(), kept));
        expect_that!(window.items(), eq(expected), "{rounds:?}");
    }
}
