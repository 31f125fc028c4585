//! Behavior that is harmless in one gateway and harmful when a hundred gateways do it at once.

mod common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use common::{Bench, class, name, server};
use gradepaddle::*;

const SECOND: Micros = 1_000_000;

/// Simulates a discovery service that serves calls one by one: each takes `work`, and fails at the caller once it
/// has waited for `patience`, although its work is done all the same. Gateways start at the given times. Returns
/// when the last one is subscribed, and the number of calls.
fn watched(starts: &[Micros], work: Micros, patience: Micros) -> (Option<Micros>, usize) {
    let mut gateways: Vec<Bench> = (0..starts.len() as u32)
        .map(|me| {
            let gateways = starts.len() as u32;
            Bench::new(Settings {
                gateway_index: me,
                gateway_count: gateways,
                poll_discovery: true,
                ..Settings::default()
            })
        })
        .collect();
    // The next event of each gateway: the first list, a timer, or the end of its call.
    let mut due: BinaryHeap<Reverse<(Micros, usize, u8)>> =
        starts.iter().enumerate().map(|(at, start)| Reverse((*start, at, 0))).collect();
    let (mut busy, mut calls, mut served) = (0, 0, Vec::new());
    while let Some(Reverse((now, at, what))) = due.pop() {
        if now > 60 * SECOND {
            return (None, calls);
        }
        let gateway = &mut gateways[at];
        match what {
            0 => gateway.list(now, ListKind::Cached, vec![server("a", 0)]),
            1 => drop(gateway.event(now, Event::Wake)),
            2 => gateway.list(now, ListKind::Failed, vec![]),
            _ => {
                served.push(now);
                continue;
            }
        }
        for action in &gateway.out {
            match action {
                Action::Subscribe => {
                    calls += 1;
                    busy = busy.max(now) + work;
                    let waits = busy - now;
                    due.push(Reverse(if waits > patience { (now + patience, at, 2) } else { (busy, at, 3) }));
                }
                Action::Wake { at: then } => due.push(Reverse((*then, at, 1))),
                _ => {}
            }
        }
    }
    (served.last().copied().filter(|_| served.len() == starts.len()), calls)
}

/// Guards against a fleet whose gateways all request the server list at once and again when that fails: discovery
/// is then too busy to serve almost any of them, and no gateway learns of a release.
#[test]
fn a_hundred_gateways_that_start_at_once_all_get_their_watch() {
    let (last, calls) = watched(&[0; 100], 50_000, 2 * SECOND);
    assert!(last.is_some_and(|at| at < 8 * SECOND), "the last watch came at {last:?} after {calls} calls");
    assert!(calls < 110, "{calls} calls for 100 watches");
    // With a discovery half as fast some calls time out; their repetitions must not displace the others.
    let (last, calls) = watched(&[0; 100], 100_000, 2 * SECOND);
    assert!(last.is_some_and(|at| at < 40 * SECOND), "the last watch came at {last:?} after {calls} calls");
}

/// Spreading the calls of a large fleet does not delay those of a small one.
#[test]
fn a_few_gateways_call_at_once() {
    assert_eq!(watched(&[0; 3], 1_000, 2 * SECOND), (Some(3_000), 3));
}

/// Settings of a large fleet in which connections have a price.
fn thin() -> Settings {
    let classes = vec![class(Idempotency::Safe)];
    Settings { classes, gateway_count: 100, handshake_price: 0.08, ..Settings::default() }
}

/// Guards against hedging on weak evidence: if a server has no other request of this gateway, an answer that takes
/// twice the usual time usually belongs to a heavy request. After six times the usual time it is still hedged.
#[test]
fn a_lone_request_gets_its_copy_late_where_connections_are_priced() {
    let copied = |settings: Settings, after: Micros| {
        let mut bench = Bench::with_servers(settings, 20);
        let now = bench.settle(0, 300);
        bench.arrive(now, "r", "k", 10_000.0);
        assert!(bench.sent().is_some());
        // Delivers each wake-up that it requests.
        let mut at = now;
        while at <= now + after {
            bench.event(at, Event::Wake);
            if bench.sent().is_some() {
                return true;
            }
            at += 1_000;
        }
        false
    };
    assert!(copied(Settings { handshake_price: 0.0, ..thin() }, 30_000));
    assert!(!copied(thin(), 50_000));
    assert!(copied(thin(), 70_000));
}

/// Guards against a cold-start budget that shrinks while the warm servers are overloaded: their answer rate before
/// the overload shows what a cold server can handle, not the low rate during it.
#[test]
fn a_cold_server_helps_also_while_the_warm_ones_jam() {
    let sent_cold = |jam: bool| {
        let settings = Settings { classes: vec![class(Idempotency::Unsafe)], ..Settings::default() };
        let mut bench = Bench::with_servers(settings, 8);
        let mut now = bench.settle(0, 500);
        if jam {
            // For three windows, one request in ten is answered.
            for i in 0..120 {
                let id = format!("jam{i}");
                bench.arrive(now, &id, &format!("jam{i}"), 10_000.0);
                if bench.sent().is_some() {
                    let outcome = if i % 10 == 0 { Outcome::Ok } else { Outcome::TimedOut };
                    bench.end(now + 40_000, &id, 0, outcome, 40_000);
                }
                now += 50_000;
            }
        }
        let fresh = Server { started: Some(now), ..server(&name(8), 8) };
        bench.list(now, ListKind::Delta, vec![fresh]);
        let mut cold = 0;
        for i in 0..50u64 {
            let (at, id) = (now + i * 20_000, format!("r{i}"));
            bench.arrive(at, &id, &format!("r{i}"), 10_000.0);
            if bench.sent().is_some() {
                cold += u32::from(bench.sent().as_deref() == Some(&name(8)));
                bench.end(at + 10_000, &id, 0, Outcome::Ok, 10_000);
            }
        }
        cold
    };
    let (calm, jam) = (sent_cold(false), sent_cold(true));
    assert!(jam * 2 >= calm && calm > 0, "{jam} in a jam, {calm} without");
}

/// Guards against a failing server that costs every gateway many requests: each gateway sends to it rarely, and of
/// another class each time, so a single error is already most of the evidence about that server.
#[test]
fn a_server_that_only_errs_costs_each_gateway_little() {
    let classes: Vec<Class> = (0..4).map(|_| class(Idempotency::Unsafe)).collect();
    let mut bench = Bench::with_servers(Settings { classes, ..thin() }, 20);
    let mut errors = 0;
    for i in 0..600u64 {
        let (now, id) = (i * 65_000, format!("r{i}"));
        let (class, key) = (i as usize % 4, format!("k{}", i % 150));
        let arrival = Arrival {
            id: id.as_str().into(),
            class,
            tenant: None,
            ttl: 1_500_000,
            work_hint: None,
            key: Some(&key),
            run_once: false,
        };
        bench.event(now, Event::Request(arrival));
        match bench.sent().as_deref() {
            Some("a" | "b") => {
                errors += 1;
                bench.end(now + 5_000, &id, 0, Outcome::Error, 5_000);
            }
            Some(_) => bench.end(now + 20_000, &id, 0, Outcome::Ok, 20_000),
            None => {}
        }
    }
    // With uniform selection, 60 of 600 would go there.
    assert!(errors > 0 && errors <= 4, "{errors} errors");
}

/// Servers of three zones, eight each.
fn three_zones(settings: Settings) -> Bench {
    let mut bench = Bench::new(settings);
    let servers = (0..24u8).map(|i| Server { zone: u32::from(i) / 8, ..server(&name(i), u32::from(i)) });
    bench.list(0, ListKind::Full, servers.collect());
    bench
}

/// Guards against detecting a lost zone server by server: all gateways together would send it a request for each
/// connection that they have there, and wait for a connection attempt at each server besides.
#[test]
fn a_zone_that_falls_silent_is_left_alone_as_a_whole_and_found_again() {
    let mut bench = three_zones(Settings { classes: vec![class(Idempotency::Unsafe)], ..thin() });
    let (lost, back) = (20 * SECOND, 30 * SECOND);
    let (mut sent, mut dropped, mut later) = (0, 0, 0);
    for i in 0..700u64 {
        let (now, id) = (i * 65_000, format!("r{i}"));
        bench.arrive(now, &id, &format!("k{}", i % 150), 10_000.0);
        let Some(server) = bench.sent() else { continue };
        let there = ("i".."q").contains(&server.as_str());
        if there && now > lost && now < back {
            sent += 1;
            bench.end(now + 60_000, &id, 0, Outcome::TimedOut, 60_000);
            dropped += bench.out.iter().filter(|a| matches!(a, Action::CloseIdleConnections { .. })).count();
        } else {
            later += u32::from(there && now >= back);
            bench.end(now + 20_000, &id, 0, Outcome::Ok, 20_000);
        }
    }
    assert!(sent <= 9, "{sent} requests to a zone that answers none, of 51 by chance");
    assert!(dropped >= 3, "{dropped} connections there dropped: what is sent on them may have run");
    assert!(later >= 20, "{later} after it answers again");
}

/// A silent zone is avoided only while another zone answers: if all are silent, each request is still tried somewhere.
#[test]
fn where_all_zones_are_silent_none_is_left_alone() {
    let mut bench = three_zones(Settings { classes: vec![class(Idempotency::Unsafe)], ..thin() });
    // All servers have answered before; one that never has is avoided for that reason alone.
    let start = bench.settle(0, 600);
    let mut tried = 0;
    for i in 0..20u64 {
        let (now, id) = (start + i * 65_000, format!("r{i}"));
        bench.arrive(now, &id, &format!("k{i}"), 10_000.0);
        tried += u32::from(bench.sent().is_some());
        let mut attempt = 0;
        while bench.sent().is_some() {
            bench.end(now + 60_000, &id, attempt, Outcome::ConnectFailed, 60_000);
            attempt += 1;
        }
    }
    assert!(tried >= 15, "{tried} of 20 were tried");
}

/// Guards against an overload that is detected only after seconds: with a hundred gateways, the estimate of one server's
/// work takes that long, but this gateway's work over all servers shows it at once.
#[test]
fn a_jam_of_the_whole_fleet_is_seen_while_it_builds() {
    let classes: Vec<Class> = (0..4).map(|_| class(Idempotency::Unsafe)).collect();
    let mut bench = three_zones(Settings { classes, ..thin() });
    let start = bench.settle(0, 400);
    // From here on each answer takes 290 ms, with a latency target of 300 ms.
    let (mut out, mut taken) = (Vec::new(), 0);
    for i in 0..60u64 {
        let now = start + i * 20_000;
        while let Some((at, id)) = out.first().cloned().filter(|(at, _): &(Micros, String)| *at <= now) {
            bench.end(at, &id, 0, Outcome::Ok, 290_000);
            out.remove(0);
        }
        let (id, key) = (format!("jam{i}"), format!("k{i}"));
        let arrival = Arrival {
            id: id.as_str().into(),
            class: i as usize % 4,
            tenant: None,
            ttl: 1_500_000,
            work_hint: Some(10_000.0),
            key: Some(&key),
            run_once: false,
        };
        bench.event(now, Event::Request(arrival));
        if bench.sent().is_some() {
            taken += 1;
            out.push((now + 290_000, id));
        }
    }
    assert!(taken < 22, "{taken} of 60 taken, each answered just within its aim");
}
