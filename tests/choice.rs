//! One small test per decision; each fails without the code that it covers.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use gradepaddle::*;

fn keys_to_servers(count: u8) -> BTreeMap<u32, String> {
    let mut map = BTreeMap::new();
    for key in 0..300 {
        let mut bench = Bench::with_servers(Settings::default(), count);
        bench.arrive(1, "r", &format!("k{key}"), 10_000.0);
        map.insert(key, bench.sent().expect("idle servers take it"));
    }
    map
}

#[test]
fn ties_are_stable_and_a_leaving_server_moves_only_its_own_keys() {
    let (six, five) = (keys_to_servers(6), keys_to_servers(5));
    let used: BTreeSet<_> = six.values().collect();
    assert_eq!(used.len(), 6);
    for (key, server) in &six {
        if server != "f" {
            assert_eq!(five[key], *server, "key {key} moved though its server stayed");
        }
    }
}

#[test]
fn a_key_stays_with_its_holder_and_widens_only_when_that_is_loaded() {
    let mut bench = Bench::with_servers(Settings::default(), 4);
    let now = bench.settle(0, 200);
    bench.arrive(now, "first", "hot", 10_000.0);
    let holder = bench.sent();
    // Locality: the server with the key cached keeps it while its wait is below `idle` plus a miss.
    bench.arrive(now + 1, "second", "hot", 10_000.0);
    assert_eq!(bench.sent(), holder);
    let mut others = 0;
    for i in 0..100 {
        bench.arrive(now + 2, &format!("more{i}"), "hot", 10_000.0);
        others += usize::from(bench.sent().is_some_and(|s| Some(s) != holder));
    }
    // Balancing and replacement: above that, another server gets the key as well.
    assert!(others > 0);
}

#[test]
fn a_server_that_fails_fast_does_not_look_idle() {
    let mut bench = Bench::with_servers(Settings::default(), 3);
    let now = bench.settle(0, 100);
    let mut bad = 0;
    for i in 0..60 {
        let (t, id) = (now + i * 10_000, format!("r{i}"));
        bench.arrive(t, &id, &format!("k{i}"), 10_000.0);
        let mut attempt = 0;
        while let Some(server) = bench.sent() {
            let fails = server == "a";
            bad += u64::from(fails && i >= 10);
            let outcome = if fails { Outcome::Error } else { Outcome::Ok };
            bench.end(t + 1_000, &id, attempt, outcome, 1_000);
            attempt += 1;
        }
    }
    // A third of the first attempts would go there if a server that fails fast looked idle.
    assert!(bad <= 5, "{bad} sends to a failing server");
    // Trial requests detect the recovery once the failure cost has decayed.
    let later = now + 20_000_000;
    let mut seen = BTreeSet::new();
    for i in 0..40 {
        let id = format!("late{i}");
        bench.arrive(later + i * 10_000, &id, &format!("late{i}"), 10_000.0);
        seen.extend(bench.sent());
        bench.end(later + i * 10_000 + 1_000, &id, 0, Outcome::Ok, 1_000);
    }
    assert!(seen.contains("a"));
}

#[test]
fn a_silent_server_gets_no_more_requests_and_its_open_ones_are_hedged() {
    let mut bench = Bench::with_servers(Settings::default(), 3);
    let now = bench.settle(0, 200);
    bench.arrive(now, "stuck", "k", 10_000.0);
    let silent = bench.sent().expect("sent");
    bench.event(now + 100_000, Event::Wake);
    let second = bench.sent().expect("a second copy");
    assert_ne!(second, silent);
    for i in 0..20 {
        bench.arrive(now + 250_000, &format!("r{i}"), &format!("x{i}"), 10_000.0);
        assert_ne!(bench.sent(), Some(silent.clone()));
    }
    // The first answer is used; the other attempt is cancelled.
    bench.end(now + 260_000, "stuck", 1, Outcome::Ok, 10_000);
    let request = "stuck".into();
    assert!(bench.out.contains(&Action::Cancel { request, attempt: 0 }));
}

#[test]
fn unsafe_requests_repeat_only_on_proof_that_they_never_ran() {
    for (outcome, again) in [
        (Outcome::Overloaded, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::TimedOut, false),
    ] {
        let settings = Settings { classes: vec![class(Idempotency::Unsafe)], ..Settings::default() };
        let mut bench = Bench::with_servers(settings, 3);
        bench.arrive(1, "r", "k", 10_000.0);
        bench.event(200_000, Event::Wake);
        assert_eq!(bench.sent(), None, "no second copy while the first may run");
        bench.end(200_001, "r", 0, outcome, 200_000);
        assert_eq!(bench.sent().is_some(), again, "{outcome:?}");
        assert_eq!(bench.failed(), !again, "{outcome:?}");
        assert!(!bench.refused(), "a refusal would promise that it never ran");
    }
}

#[test]
fn keyed_requests_repeat_inside_their_group_and_window() {
    for (group, servers) in
        [(DeduplicationScope::Cell, 1), (DeduplicationScope::Zone, 2), (DeduplicationScope::All, 6)]
    {
        let effect = Idempotency::Keyed { scope: group, window: 100_000 };
        let settings = Settings { classes: vec![class(effect)], ..Settings::default() };
        let mut bench = Bench::new(settings.clone());
        let list = || (0..6).map(|i| server(&name(i), u32::from(i))).collect::<Vec<_>>();
        let cell = |id: &str| list().iter().find(|s| *s.id == *id).map(|s| s.cell).expect("known");
        bench.list(0, ListKind::Full, list());
        bench.arrive(1, "r", "k", 10_000.0);
        let first = cell(&bench.sent().expect("sent"));
        bench.end(50_000, "r", 0, Outcome::Error, 50_000);
        let second = cell(&bench.sent().expect("inside the window it may be tried again"));
        match group {
            DeduplicationScope::Cell => assert_eq!(first, second),
            DeduplicationScope::Zone => assert_eq!(first / 2, second / 2),
            DeduplicationScope::All => {}
        }
        bench.end(100_001, "r", 1, Outcome::Error, 50_001);
        assert_eq!(bench.sent(), None, "the window is over; {servers} servers share it");
        assert_eq!(bench.refused(), group == DeduplicationScope::All);
        assert_eq!(bench.failed(), group != DeduplicationScope::All);
    }
}

#[test]
fn drains_act_at_once_also_for_further_attempts() {
    let mut bench = Bench::with_servers(Settings::default(), 2);
    bench.arrive(1, "r", "k", 10_000.0);
    let used = bench.sent().expect("sent");
    let other = if used == "a" { "b" } else { "a" };
    let state = ServerState::Draining;
    bench.list(2, ListKind::Delta, vec![Server { state, ..server(other, 0) }]);
    bench.end(3, "r", 0, Outcome::Overloaded, 2);
    assert_ne!(bench.sent().as_deref(), Some(other));
    bench.list(4, ListKind::Full, vec![]);
    bench.arrive(5, "r2", "k", 10_000.0);
    assert!(bench.sent().is_none() && bench.refused());
}

/// Work sent to a cold server in its busiest overload window, and to a warm server in such a window.
fn cold_and_warm(start: impl Fn(&mut Bench, Micros)) -> (u32, u32) {
    let mut bench = Bench::with_servers(Settings { gateway_count: 2, ..Settings::default() }, 4);
    let now = bench.settle(0, 500);
    start(&mut bench, now);
    let mut sent: BTreeMap<String, Vec<Micros>> = BTreeMap::new();
    for i in 0..600u64 {
        let (t, id) = (now + i * 5_000, format!("r{i}"));
        bench.arrive(t, &id, &format!("new{i}"), 10_000.0);
        if let Some(s) = bench.sent() {
            sent.entry(s).or_default().push(t);
            bench.end(t + 4_000, &id, 0, Outcome::Ok, 4_000);
        }
    }
    let count = |s: &str| sent.get(s).map_or(0, Vec::len) as u32;
    (count("d"), count("a"))
}

#[test]
fn a_cold_server_gets_its_part_however_its_start_is_learned() {
    let (steady, _) = cold_and_warm(|_, _| {});
    let restarted = |b: &mut Bench, now: Micros| {
        b.list(now, ListKind::Delta, vec![Server { started: Some(now), ..server("d", 3) }]);
    };
    let returned = |b: &mut Bench, now: Micros| {
        b.list(now, ListKind::Delta, vec![Server { state: ServerState::Gone, ..server("d", 3) }]);
        b.list(now, ListKind::Delta, vec![server("d", 3)]);
    };
    for (cold, warm) in [cold_and_warm(restarted), cold_and_warm(returned)] {
        assert!(cold > 0, "it warms up by work");
        assert!(cold * 2 < steady && cold * 2 < warm, "{cold} of {steady}, {warm} to a warm one");
    }
}

#[test]
fn a_failed_list_keeps_the_last_one_and_is_asked_for_again() {
    let settings = Settings { poll_discovery: true, ..Settings::default() };
    let mut bench = Bench::new(settings);
    bench.list(0, ListKind::Cached, vec![server("a", 0)]);
    assert!(bench.out.contains(&Action::Subscribe));
    let mut waits = Vec::new();
    let mut now = 1;
    for _ in 0..4 {
        bench.list(now, ListKind::Failed, vec![]);
        assert!(!bench.out.contains(&Action::Subscribe), "not at once");
        let at = bench.out.iter().find_map(|a| if let Action::Wake { at } = a { Some(*at) } else { None });
        let at = at.expect("a timer");
        waits.push(at - now);
        bench.event(at, Event::Wake);
        assert!(bench.out.contains(&Action::Subscribe));
        now = at + 1;
    }
    assert!(waits[3] > waits[0]);
    bench.arrive(now, "r", "k", 10_000.0);
    assert_eq!(bench.sent().as_deref(), Some("a"));
}

#[test]
fn overload_is_refused_early_and_by_worth() {
    let mut classes = vec![class(Idempotency::Safe), class(Idempotency::Safe)];
    classes[1].worth = 0.1;
    let mut bench =
        Bench::with_servers(Settings { classes, max_retry_after: 1_000_000, ..Settings::default() }, 2);
    let now = bench.settle(0, 300);
    let mut served = [0, 0];
    for i in 0..400u64 {
        let class = (i % 2) as usize;
        let id = format!("r{i}");
        let arrival = Arrival {
            id: id.as_str().into(),
            class,
            tenant: None,
            ttl: 1_500_000,
            work_hint: Some(1e4),
            key: None,
            run_once: false,
        };
        bench.event(now + i * 500, Event::Request(arrival));
        served[class] += u32::from(bench.sent().is_some());
    }
    assert!(served[0] + served[1] < 200, "bounded work a server: {served:?}");
    assert!(served[0] > served[1] && served[1] > 0, "by worth, and none starves: {served:?}");
}

/// A server that was never ready gets the size of its machine type: without one, the expected wait of every class that may
/// try it is NaN, and no request is rejected for its wait.
#[test]
fn overload_is_rejected_early_also_while_a_new_server_is_on_trial() {
    let sent_in_a_jam = |on_trial: bool| {
        let settings = Settings {
            classes: vec![class(Idempotency::Safe)],
            probes: true,
            initial_capacity_share: 1.0,
            max_retry_after: 1_000_000,
            ..Settings::default()
        };
        let mut bench = Bench::with_servers(settings, 2);
        let mut now = bench.settle(0, 300);
        if on_trial {
            bench.list(now, ListKind::Delta, vec![Server { started: Some(now), ..server("x", 3) }]);
        }
        // It answers no probe, so requests are tried on it and fail. The others are answered often enough that the class
        // does not count as crowded afterwards.
        for i in 0..2_000u64 {
            now += 2_000;
            let id = format!("try{i}");
            bench.arrive(now, &id, &id, 10_000.0);
            let mut attempt = 0;
            while let Some(server) = bench.sent() {
                let outcome = if server == "x" { Outcome::ConnectFailed } else { Outcome::Ok };
                bench.end(now + 1_000, &id, attempt, outcome, 10_000);
                attempt += 1;
            }
        }
        let mut sent = 0_u32;
        for i in 0..400u64 {
            let id = format!("r{i}");
            bench.arrive(now + i * 500, &id, &id, 10_000.0);
            sent += u32::from(bench.sent().is_some());
        }
        sent
    };
    let (without, with) = (sent_in_a_jam(false), sent_in_a_jam(true));
    assert!((100..200).contains(&without), "{without} of 400 sent without it");
    assert!(with.abs_diff(without) <= 1, "{with} of 400 sent with a server on trial, {without} without");
}

/// Guards a fleet with short answer times: the work that a reset may leave at a server is done within the latency targets,
/// so it must not lead to rejections of requests that other servers would answer in a tenth of that time.
#[test]
fn resets_refuse_nothing_where_answers_are_short() {
    let classes = vec![Class { latency_target: 150_000, ..class(Idempotency::Unsafe) }];
    let mut bench = Bench::with_servers(Settings { classes, ..Settings::default() }, 2);
    let mut now = bench.settle(0, 300);
    let mut refused = 0;
    for i in 0..600 {
        let id = format!("r{i}");
        bench.arrive(now, &id, &format!("k{}", i % 40), 30_000.0);
        refused += u32::from(bench.refused());
        let outcome = if i % 3 == 0 { Outcome::Ok } else { Outcome::Reset };
        if bench.sent().is_some() {
            bench.end(now + 29_000, &id, 0, outcome, 29_000);
        }
        now += 30_000;
    }
    assert_eq!(refused, 0, "of 600, two servers half busy");
}

#[test]
fn retries_are_paid_from_a_budget() {
    let mut bench = Bench::with_servers(Settings { max_attempts: 4, ..Settings::default() }, 8);
    let mut sends = 0;
    for i in 0..200 {
        let id = format!("r{i}");
        bench.arrive(i * 1_000, &id, &format!("k{i}"), 10_000.0);
        let mut attempt = 0;
        while bench.sent().is_some() {
            sends += 1;
            bench.end(i * 1_000 + 500, &id, attempt, Outcome::Error, 500);
            attempt += 1;
        }
    }
    assert!(sends <= 200 + 200 / 5 + 10, "{sends} sends for 200 requests that all fail");
}

#[test]
fn invalid_settings_are_rejected() {
    let base = Settings::default;
    for settings in [
        Settings { classes: vec![], ..base() },
        Settings { gateway_index: 2, gateway_count: 2, ..base() },
        Settings { max_attempts: 0, ..base() },
        Settings { initial_capacity_share: f64::NAN, ..base() },
        Settings { cold_overload_factor: 0.0, ..base() },
        Settings { tenants: vec![Tenant { quota: -1.0 }], ..base() },
    ] {
        let Err(error) = Balancer::new(settings, 1) else { panic!("accepted") };
        assert!(error.to_string().starts_with("settings: "));
    }
}

#[test]
fn events_for_unknown_requests_are_ignored() {
    let mut bench = Bench::with_servers(Settings::default(), 2);
    bench.end(1, "never", 3, Outcome::Ok, 1);
    bench.arrive(2, "r", "", 10_000.0);
    bench.arrive(2, "r", "", 10_000.0);
    assert_eq!(bench.sent(), None, "an id is taken once");
    bench.event(3, Event::ClientDisconnected { request: "r" });
    bench.end(4, "r", 0, Outcome::TimedOut, 2);
    bench.end(4, "r", 0, Outcome::TimedOut, 2);
    bench.event(5, Event::Wake);
    bench.event(5, Event::Wake);
    assert!(bench.out.iter().all(|a| matches!(a, Action::Wake { .. })));
}

#[test]
fn a_jammed_key_goes_to_an_idle_server_before_it_is_refused() {
    let settings = Settings { classes: vec![class(Idempotency::Safe)], ..Settings::default() };
    let mut bench = Bench::with_servers(settings, 2);
    // Known keys cost a quarter, so sending one to another server is expensive while the mean server is busy.
    for i in 0..400u64 {
        let (now, id) = (i * 50_000, format!("warm{i}"));
        let took = if i % 2 == 0 { 40_000 } else { 10_000 };
        bench.arrive(now, &id, &format!("k{}", i / 2), 40_000.0);
        bench.end(now + took, &id, 0, Outcome::Ok, took);
    }
    let mut used = BTreeSet::new();
    for i in 0..60 {
        bench.arrive(20_000_000 + i * 60_000, &format!("hot{i}"), "hot", 40_000.0);
        if bench.refused() {
            break;
        }
        used.extend(bench.sent());
    }
    assert_eq!(used.len(), 2, "refused while a server stood idle");
}

#[test]
fn a_stream_that_has_begun_is_left_alone_and_its_copy_withdrawn() {
    let mut bench = Bench::with_servers(Settings::default(), 3);
    let now = bench.settle(0, 200);
    bench.arrive(now, "r", "k", 10_000.0);
    bench.event(now + 100_000, Event::Wake);
    assert!(bench.sent().is_some(), "a second copy");
    bench.event(now + 110_000, Event::Streaming { request: "r", attempt: 0 });
    assert_eq!(bench.out[0], Action::Cancel { request: "r".into(), attempt: 1 });
    bench.event(now + 10_000_000, Event::Wake);
    assert!(!bench.refused() && !bench.failed() && bench.sent().is_none());
}

#[test]
fn in_a_jam_requests_beyond_a_tenants_share_are_refused_first() {
    let settings = Settings {
        classes: vec![class(Idempotency::Safe)],
        tenants: vec![Tenant { quota: 1e6 }, Tenant { quota: 1.0 }],
        over_quota_worth: 0.1,
        ..Settings::default()
    };
    let mut bench = Bench::with_servers(settings, 2);
    let now = bench.settle(0, 300);
    let mut served = [0, 0];
    for i in 0..400u64 {
        let (tenant, id) = ((i % 2) as usize, format!("r{i}").as_str().into());
        let tenant = Some(tenant);
        let arrival = Arrival {
            id,
            class: 0,
            tenant,
            ttl: 1_500_000,
            work_hint: Some(1e4),
            key: None,
            run_once: false,
        };
        bench.event(now + i * 500, Event::Request(arrival));
        served[(i % 2) as usize] += u32::from(bench.sent().is_some());
    }
    assert!(served[0] > served[1], "{served:?}");
}

fn placed(zones: Option<Vec<u32>>, kinds: Option<Vec<u32>>) -> Bench {
    let class = Class { zones, kinds, ..class(Idempotency::Safe) };
    Bench::new(Settings { classes: vec![class], ..Settings::default() })
}

/// Four servers: a and b in zone 0, c and d in zone 1; a and c of machine type 0, b and d of type 1.
fn two_by_two(state: impl Fn(&str) -> ServerState, started: Option<Micros>) -> Vec<Server> {
    let place = |i: u8| (name(i), u32::from(i / 2), u32::from(i % 2));
    let one = |(id, zone, kind): (String, u32, u32)| {
        let state = state(&id);
        Server { zone, kind, state, started, ..server(&id, 0) }
    };
    (0..4).map(|i| one(place(i))).collect()
}

#[test]
fn a_class_goes_only_to_the_zones_and_kinds_that_it_names() {
    let zone = Some(vec![1]);
    let kind = Some(vec![1]);
    for (zones, kinds, open) in [
        (zone.clone(), None, "cd"),
        (None, kind.clone(), "bd"),
        (zone.clone(), kind.clone(), "d"),
        (Some(vec![7]), None, ""),
        (Some(vec![]), None, ""),
    ] {
        for outcome in [Outcome::Overloaded, Outcome::Error, Outcome::ConnectFailed, Outcome::TimedOut] {
            let mut bench = placed(zones.clone(), kinds.clone());
            bench.list(0, ListKind::Full, two_by_two(|_| ServerState::Ready, None));
            let mut seen = BTreeSet::new();
            for i in 0..40u64 {
                let (at, id) = (i * 50_000, format!("r{i}"));
                bench.arrive(at, &id, &format!("k{i}"), 10_000.0);
                // All attempts: first ones, hedged ones, and retries.
                for attempt in 0..3 {
                    let Some(s) = bench.sent() else { break };
                    assert!(open.contains(&s), "{s} is not open ({open})");
                    seen.insert(s);
                    bench.end(at + 1_000, &id, attempt, outcome, 1_000);
                }
                assert!(bench.refused(), "ended in time");
            }
            assert_eq!(seen.len(), open.len(), "all that are open are used");
        }
    }
}

#[test]
fn no_open_server_ready_ends_the_request_also_when_others_idle() {
    for (state, started) in [
        (ServerState::Gone, None),
        (ServerState::Draining, None),
        // The server is cold, and the first request uses up its budget.
        (ServerState::Ready, Some(1)),
    ] {
        let mut bench = placed(None, Some(vec![1]));
        let of = |id: &str| if "bd".contains(id) { state } else { ServerState::Ready };
        let mut list = two_by_two(of, None);
        list.iter_mut().filter(|s| s.kind == 1).for_each(|s| s.started = started);
        bench.list(0, ListKind::Full, list);
        let mut refused = 0;
        for i in 0..20 {
            bench.arrive(2 + i, &format!("r{i}"), &format!("k{i}"), 10_000.0);
            assert!(bench.sent().is_none_or(|s| "bd".contains(&s)));
            refused += u32::from(bench.refused());
        }
        assert!(refused >= 16, "{refused}");
    }
}

#[test]
fn pressure_is_judged_over_the_servers_open_to_the_class() {
    // The servers of type 1 are overloaded by the class bound to them; the other class is not rejected.
    let bound = Class { kinds: Some(vec![1]), ..class(Idempotency::Safe) };
    let free = Class { kinds: Some(vec![0]), ..class(Idempotency::Safe) };
    let mut bench = Bench::new(Settings { classes: vec![bound, free], ..Settings::default() });
    bench.list(0, ListKind::Full, two_by_two(|_| ServerState::Ready, None));
    let now = bench.settle(0, 100);
    let mut refused = [0, 0];
    for i in 0..600 {
        let class = i % 2;
        let (key, ttl) = (Some("k"), 1_500_000);
        let id = format!("r{i}");
        let arrival = Arrival {
            id: id.as_str().into(),
            class,
            tenant: None,
            ttl,
            work_hint: Some(10_000.0),
            key,
            run_once: false,
        };
        bench.event(now + i as u64 * 1_000, Event::Request(arrival));
        refused[class] += u32::from(bench.refused());
        if class == 1 && bench.sent().is_some() {
            bench.end(now + i as u64 * 1_000 + 900, &id, 0, Outcome::Ok, 900);
        }
    }
    assert!(refused[0] > 20 && refused[1] == 0, "{refused:?}");
}

/// The most work that the named servers get in an overload window, as a multiple of what they can do
/// in it, from 600 gateways that do not communicate. All other servers leave when these start.
fn worst_window(cold: &str, settled: u64) -> f64 {
    let gateways = 600;
    let start = settled * 666_000;
    let settings = |me| Settings { gateway_index: me, gateway_count: gateways, ..Settings::default() };
    let mut sent: Vec<(Micros, f64)> = Vec::new();
    for me in 0..gateways {
        let mut bench = Bench::with_servers(settings(me), 10);
        // This gateway gets 1.5 requests per second, of 10 ms each.
        let (mut now, mut told) = (0, false);
        for i in 0..settled + 20 {
            if now >= start && !told {
                told = true;
                let changed = cold.chars().map(|c| c.to_string());
                let fresh = changed.map(|id| Server { started: Some(start + 1), ..server(&id, 9) });
                bench.list(now, ListKind::Full, fresh.collect());
            }
            now += 400_000 + mix(i * 1_000 + u64::from(me)) % 532_000;
            let id = format!("r{i}");
            bench.arrive(now, &id, &format!("k{i}"), 10_000.0);
            if let Some(server) = bench.sent() {
                if told && cold.contains(&server) {
                    sent.push((now, 10_000.0));
                }
                bench.end(now + 5_000, &id, 0, Outcome::Ok, 5_000);
            }
        }
    }
    let multiple = |at: Micros| {
        let in_window = sent.iter().filter(|(t, _)| (at..at + 3_000_000).contains(t));
        let able = 0.15 + 0.85 * (at + 1_500_000 - start) as f64 / 20e6;
        in_window.map(|(_, work)| work).sum::<f64>() / 3e6 / cold.len() as f64 / 0.9 / able
    };
    sent.iter().map(|(at, _)| multiple(*at)).fold(0.0, f64::max)
}

fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (x ^ (x >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 16
}

#[test]
fn hundreds_of_gateways_keep_the_sum_at_a_cold_server() {
    // 600 gateways x 1.5 requests per second x 10 ms over 10 servers: 0.9 of a core each. A cold server
    // has 0.15 of its capacity at first and bears three times that. Now it would get all of the load.
    for (cold, settled) in [("j", 40), ("ij", 40), ("abcdefghij", 40), ("abcdefghij", 0)] {
        let most = worst_window(cold, settled);
        assert!(most < 3.0, "{cold} after {settled}: {most}");
        assert!(most > 0.0, "it gets something to warm up by");
    }
}

fn gateways(count: u32) -> Settings {
    Settings { gateway_count: count, ..Settings::default() }
}

#[test]
fn gateways_that_share_nothing_send_a_key_to_one_home() {
    // No key table has the key yet, so the hash alone decides its home, also with noise.
    let mut homes = BTreeSet::new();
    for me in 0..40 {
        let mut bench = Bench::with_servers(Settings { gateway_index: me, ..gateways(40) }, 8);
        let now = bench.settle(u64::from(me), 20);
        for i in 0..u64::from(me % 7) {
            bench.arrive(now + i, &format!("noise{i}"), &format!("n{me}-{i}"), 20_000.0);
        }
        bench.arrive(now + 10, "r", "the key", 10_000.0);
        homes.insert(bench.sent().expect("sent"));
    }
    assert_eq!(homes.len(), 1, "{homes:?}");
}

#[test]
fn a_hot_key_has_more_homes_before_any_of_them_jams() {
    let mut seen = [BTreeSet::new(), BTreeSet::new()];
    for me in 0..60 {
        let mut bench = Bench::with_servers(Settings { gateway_index: me, ..gateways(60) }, 20);
        for i in 0..40u64 {
            let (at, id) = (i * 100_000, format!("r{i}"));
            // One request in four is for the same key; every other key is requested once.
            let hot = i % 4 == 0;
            bench.arrive(at, &id, &if hot { "hot".into() } else { format!("k{i}") }, 10_000.0);
            let server = bench.sent().expect("nobody is busy");
            if i >= 20 && hot {
                seen[0].insert(server);
            } else if i == 21 {
                seen[1].insert(server);
            }
            bench.end(at + 10_000, &id, 0, Outcome::Ok, 10_000);
        }
    }
    // A quarter of the work of 20 servers is that of five servers; a rare key has one home.
    assert!(seen[0].len() >= 8, "{:?}", seen[0]);
    assert_eq!(seen[1].len(), 1);
}

#[test]
fn larger_servers_are_home_to_more_keys() {
    let mut count = [0, 0];
    for key in 0..300 {
        let mut bench = Bench::new(gateways(100));
        let weight = |i: u8| if i < 5 { 3.0 } else { 1.0 };
        let list = (0..10).map(|i| Server { weight: weight(i), ..server(&name(i), u32::from(i)) });
        bench.list(0, ListKind::Full, list.collect());
        bench.arrive(1, "r", &format!("k{key}"), 10_000.0);
        count[usize::from(bench.sent().expect("sent").as_str() >= "f")] += 1;
    }
    assert!(count[0] > 2 * count[1] && count[1] > 30, "{count:?}");
}

#[test]
fn lost_answers_are_not_taken_for_a_slow_fleet() {
    let mut bench = Bench::with_servers(gateways(200), 10);
    let mut now = bench.settle(0, 50);
    let mut refused = 0;
    for i in 0..120 {
        let id = format!("r{i}");
        now += 350_000;
        bench.arrive(now, &id, &format!("k{}", i % 30), 10_000.0);
        refused += u32::from(bench.refused());
        let server = bench.sent();
        match server {
            // A third of the answers are lost, at every server.
            Some(_) if i % 3 == 0 => {
                bench.end(now + 300_000, &id, 0, Outcome::TimedOut, 300_000);
                if bench.sent().is_some() {
                    bench.end(now + 310_000, &id, 1, Outcome::Ok, 10_000);
                }
            }
            Some(_) => bench.end(now + 10_000, &id, 0, Outcome::Ok, 10_000),
            None => {}
        }
    }
    assert!(refused <= 6, "{refused} refused while servers idle");
}

#[test]
fn idle_connections_that_prove_dead_are_closed_before_they_are_used() {
    let mut bench = Bench::with_servers(gateways(50), 8);
    let mut open: BTreeMap<String, Micros> = BTreeMap::new();
    let (mut closed, mut lost) = (0, [0, 0]);
    for i in 0..120u64 {
        let (now, id) = (i * 400_000, format!("r{i}"));
        bench.arrive(now, &id, &format!("k{i}"), 10_000.0);
        for action in &bench.out {
            if let Action::CloseIdleConnections { server } = action {
                closed += 1;
                open.remove(&**server);
            }
        }
        let Some(server) = bench.sent() else { continue };
        // The network forgets a connection after 0.6 s without use.
        if open.get(&server).is_some_and(|since| now - since > 600_000) {
            lost[usize::from(i >= 60)] += 1;
            open.remove(&server);
            bench.end(now + 300_000, &id, 0, Outcome::TimedOut, 300_000);
        } else {
            open.insert(server, now + 10_000);
            bench.end(now + 10_000, &id, 0, Outcome::Ok, 10_000);
        }
    }
    assert!(closed >= 10 && lost[0] >= 2 && lost[1] < lost[0], "{closed} closed, {lost:?} lost");
}

#[test]
fn a_connection_is_kept_open_only_where_it_is_worth_its_price() {
    for (count, kept) in [(500, false), (2, true)] {
        let prices = Settings { handshake_price: 0.08, connection_price: 0.08, ..gateways(count) };
        let mut bench = Bench::with_servers(prices, 20);
        let mut dropped = 0;
        // One of many gateways gets few requests; one of two gets as many as the servers can take.
        let every = if kept { 2_000 } else { 150_000 };
        for i in 0..200 {
            let (at, id) = (i * every, format!("r{i}"));
            bench.arrive(at, &id, &format!("k{i}"), 10_000.0);
            dropped += bench.out.iter().filter(|a| matches!(a, Action::CloseIdleConnections { .. })).count();
            bench.end(at + 1_500, &id, 0, Outcome::Ok, 1_500);
        }
        assert_eq!(dropped == 0, kept, "{dropped} closed with {count} gateways");
    }
}

#[test]
fn a_jammed_fleet_keeps_its_keys_at_home() {
    // All servers are above `L_overload`. A second attempt may still be sent, to the server with the key cached.
    let settings = Settings { max_attempts: 9, ..gateways(2) };
    let mut bench = Bench::with_servers(settings, 4);
    let now = bench.settle(0, 100);
    bench.arrive(now, "first", "key", 10_000.0);
    let holder = bench.sent().expect("sent");
    bench.end(now + 10_000, "first", 0, Outcome::Ok, 10_000);
    for i in 0..400 {
        bench.arrive(now + 20_000, &format!("r{i}"), &format!("x{i}"), 10_000.0);
    }
    bench.arrive(now + 20_000, "again", "key", 10_000.0);
    assert!(bench.sent().is_none_or(|s| s == holder), "{:?} is not {holder}", bench.sent());
}

#[test]
fn where_the_list_tells_no_sizes_faster_kinds_are_home_to_more_keys() {
    let mut count = [0, 0];
    for me in 0..4 {
        let mut bench = Bench::new(Settings { gateway_index: me, ..gateways(100) });
        let kind = |i: u8| u32::from(i / 5);
        bench.list(
            0,
            ListKind::Full,
            (0..10).map(|i| Server { kind: kind(i), ..server(&name(i), 0) }).collect(),
        );
        for i in 0..300u64 {
            let (at, id) = (i * 200_000, format!("r{i}"));
            bench.arrive(at, &id, &format!("k{i}"), 10_000.0);
            let slow = usize::from(bench.sent().expect("sent").as_str() >= "f");
            count[slow] += u32::from(i >= 100);
            let took = [10_000, 40_000][slow];
            bench.end(at + took, &id, 0, Outcome::Ok, took);
        }
    }
    assert!(count[0] > 2 * count[1] && count[1] > 40, "{count:?}");
}

#[test]
fn a_class_that_fails_at_a_server_leaves_the_others_there() {
    let settings = Settings { classes: vec![class(Idempotency::Unsafe); 2], ..gateways(30) };
    let mut bench = Bench::with_servers(settings, 6);
    let bad = ["a", "b", "c"];
    let (mut failed, mut served) = ([0, 0], 0);
    for i in 0..400u64 {
        let (now, id, class) = (i * 150_000, format!("r{i}"), (i % 2) as usize);
        let key = format!("k{i}");
        let (key, ttl, hint) = (Some(key.as_str()), 1_500_000, Some(10_000.0));
        let arrival = Arrival {
            id: id.as_str().into(),
            class,
            tenant: None,
            ttl,
            work_hint: hint,
            key,
            run_once: false,
        };
        bench.event(now, Event::Request(arrival));
        let Some(server) = bench.sent() else { continue };
        let fails = class == 0 && bad.contains(&server.as_str());
        failed[usize::from(i >= 200)] += u32::from(fails);
        served += u32::from(class == 1 && bad.contains(&server.as_str()));
        let outcome = if fails { Outcome::Error } else { Outcome::Ok };
        bench.end(now + 10_000, &id, 0, outcome, 10_000);
    }
    // Without learning, half of the class's 100 requests would fail in each half.
    assert!(failed[1] <= 25, "{failed:?} failed");
    assert!(served > 50, "{served} of the other class");
}

#[test]
fn gone_servers_are_forgotten_and_late_ends_stay_valid() {
    let mut bench = Bench::new(Settings::default());
    let mut out: Vec<(String, Micros)> = Vec::new();
    for day in 0..200u64 {
        let now = day * 2_000_000;
        let fresh = |i: u64| Server { started: Some(now + 1), ..server(&format!("s{day}-{i}"), i as u32) };
        bench.list(now, ListKind::Full, (0..5).map(fresh).collect());
        for i in 0..5u64 {
            let (at, id) = (now + 10 + i, format!("r{day}-{i}"));
            bench.arrive(at, &id, &id, 10_000.0);
            if let Some(server) = bench.sent() {
                assert!(server.starts_with(&format!("s{day}-")), "sent to a server that is gone");
                out.push((id, at));
            }
        }
        // Attempts end after their servers have gone, and are matched by their numbers.
        for (id, at) in out.drain(..out.len() / 2) {
            bench.end(now + 20, &id, 0, Outcome::Ok, now + 20 - at);
        }
    }
    assert!(bench.balancer.known_servers() < 60, "{} remembered", bench.balancer.known_servers());
}

/// The servers that get 100 requests with different keys.
fn used(bench: &mut Bench, now: Micros) -> BTreeSet<String> {
    let mut used = BTreeSet::new();
    for i in 0..100 {
        let id = format!("u{now}-{i}");
        bench.arrive(now, &id, &id, 10_000.0);
        if let Some(server) = bench.sent() {
            used.insert(server);
            bench.end(now + 1, &id, 0, Outcome::Ok, 4_000);
        }
    }
    used
}

#[test]
fn only_draining_closes_a_server_where_so_set_and_gone_does_elsewhere() {
    let with = |id: &str, state| Server { state, ..server(id, 0) };
    for only in [false, true] {
        let settings = Settings { keep_gone_servers: only, ..Settings::default() };
        let open = |lists: &[(ListKind, Vec<Server>)]| {
            let mut bench = Bench::new(settings.clone());
            bench.list(0, ListKind::Cached, (0..4).map(|i| server(&name(i), 0)).collect());
            let mut now = bench.settle(0, 100);
            for (kind, servers) in lists {
                now += 1_000;
                bench.list(now, *kind, servers.clone());
            }
            used(&mut bench, now + 1_000).contains("d")
        };
        let rest = || (0..3).map(|i| server(&name(i), 0)).collect::<Vec<_>>();
        let delta = |state| (ListKind::Delta, vec![with("d", state)]);
        assert_eq!(open(&[delta(ServerState::Gone)]), only, "gone without draining");
        assert_eq!(open(&[(ListKind::Full, rest())]), only, "left out");
        assert_eq!(open(&[(ListKind::Full, Vec::new())]), only, "an empty list");
        assert!(!open(&[delta(ServerState::Draining), delta(ServerState::Gone)]), "draining, then gone");
        assert!(!open(&[delta(ServerState::Draining), (ListKind::Full, rest())]), "draining, then left out");
        assert!(
            open(&[delta(ServerState::Draining), delta(ServerState::Gone), delta(ServerState::Ready)]),
            "back"
        );
    }
}

#[test]
fn a_dropped_server_that_does_not_answer_is_left_alone_and_forgotten() {
    let settings = Settings { keep_gone_servers: true, ..Settings::default() };
    let mut bench = Bench::with_servers(settings, 4);
    let mut now = bench.settle(0, 100);
    bench.list(now, ListKind::Delta, vec![Server { state: ServerState::Gone, ..server("d", 3) }]);
    let mut sent = 0;
    for i in 0..1000u64 {
        let id = format!("r{i}");
        now += 10_000;
        bench.arrive(now, &id, &id, 10_000.0);
        let mut attempt = 0;
        while let Some(server) = bench.sent() {
            sent += u32::from(server == "d");
            let outcome = if server == "d" { Outcome::ConnectFailed } else { Outcome::Ok };
            bench.end(now + 1, &id, attempt, outcome, 4_000);
            attempt += 1;
        }
    }
    assert!((1..10).contains(&sent), "{sent} sends in ten seconds");
    bench.list(now + 100_000_000, ListKind::Delta, Vec::new());
    assert_eq!(bench.balancer.known_servers(), 3);
}

#[test]
fn a_corrected_list_makes_no_server_cold_and_an_outdated_one_none_warm() {
    let settings = || Settings { keep_gone_servers: true, gateway_count: 2, ..Settings::default() };
    let count = |change: &dyn Fn(&mut Bench, Micros)| {
        let mut bench = Bench::with_servers(settings(), 4);
        let now = bench.settle(0, 300);
        change(&mut bench, now);
        let ids = (0..200u64).map(|i| (now + i * 5_000, format!("r{i}")));
        let mut sent = 0;
        for (t, id) in ids {
            bench.arrive(t, &id, &id, 10_000.0);
            sent += u32::from(bench.sent().as_deref() == Some("d"));
            bench.end(t + 4_000, &id, 0, Outcome::Ok, 4_000);
        }
        sent
    };
    let d = |state, started| vec![Server { state, started, ..server("d", 3) }];
    let steady = count(&|_, _| {});
    let blink = count(&|b: &mut Bench, now| {
        b.list(now, ListKind::Delta, d(ServerState::Gone, None));
        b.list(now, ListKind::Delta, d(ServerState::Ready, None));
    });
    let restarted = count(&|b: &mut Bench, now| {
        b.list(now, ListKind::Delta, d(ServerState::Ready, Some(now)));
        for old in [Some(now - 1_000_000), None] {
            b.list(now, ListKind::Delta, d(ServerState::Ready, old));
        }
    });
    assert_eq!(steady, blink);
    assert!(restarted * 2 < steady, "{restarted} of {steady}");
}

#[test]
fn a_new_server_gets_requests_only_once_it_has_answered_a_probe() {
    let mut bench = Bench::with_servers(Settings { probes: true, ..Settings::default() }, 4);
    let now = bench.settle(0, 100);
    let made_up = |i: u8| Server { started: Some(0), ..server(&format!("x{i}"), 3) };
    bench.list(now, ListKind::Delta, (0..4).map(made_up).collect());
    bench.arrive(now + 100_000, "first", "k", 10_000.0);
    let probe = |server: &str| Action::Probe { server: server.into() };
    assert!((0..4).all(|i| bench.out.contains(&probe(&format!("x{i}")))));
    let answer = |server, outcome| Event::ProbeEnded { server, outcome, took: 1_000, report: None };
    for server in ["x0", "x1", "x2"] {
        bench.event(now + 200_000, answer(server, Outcome::Error));
    }
    bench.event(now + 200_000, answer("x3", Outcome::Ok));
    let used = used(&mut bench, now + 30_000_000);
    assert!(used.contains("x3"), "an honest one gets its share");
    assert!(!used.iter().any(|s| ["x0", "x1", "x2"].contains(&s.as_str())));
}

/// Guards a replaced fleet against a gateway whose probes all fail or that cannot send any: servers that are listed
/// as up are finally tried with requests, and used once they answer one.
#[test]
fn a_fleet_that_answers_no_probe_is_tried_by_requests() {
    let replaced = |outcome: Option<Outcome>| {
        // No server is cold, since that would hold requests back too.
        let settings = Settings { probes: true, initial_capacity_share: 1.0, ..Settings::default() };
        let mut bench = Bench::with_servers(settings, 4);
        let now = bench.settle(0, 100);
        let new = |i: u8| Server { started: Some(0), ..server(&format!("x{i}"), u32::from(i)) };
        bench.list(now, ListKind::Full, (0..4).map(new).collect());
        let (mut probes, mut served) = (0, Vec::new());
        for i in 0..400 {
            let (t, id) = (now + i * 20_000, format!("r{i}"));
            bench.arrive(t, &id, &id, 10_000.0);
            let asked: Vec<Id> = bench.out.iter().filter_map(probed).collect();
            let sent = bench.sent();
            probes += asked.len();
            for server in &asked {
                let Some(outcome) = outcome else { continue };
                bench.event(t, Event::ProbeEnded { server, outcome, took: 1_000, report: None });
            }
            if sent.is_some() {
                bench.end(t + 10_000, &id, 0, Outcome::Ok, 10_000);
                served.push(i);
            }
        }
        (probes, served)
    };
    for outcome in [None, Some(Outcome::NotSent), Some(Outcome::TimedOut), Some(Outcome::ConnectFailed)] {
        let (probes, served) = replaced(outcome);
        assert!((4..=8).contains(&probes), "{outcome:?}: two for each at most, not {probes}");
        let late = served.iter().filter(|i| **i >= 200).count();
        assert!(late > 180, "{outcome:?}: {late} of the last 200 served");
    }
    let (_, served) = replaced(Some(Outcome::Ok));
    assert!(served.len() > 380, "{} of 400 served where probes are answered", served.len());
}

fn probed(action: &Action) -> Option<Id> {
    if let Action::Probe { server } = action { Some(server.clone()) } else { None }
}

#[test]
fn hints_that_are_too_low_do_not_fill_a_cold_server() {
    let sent = |low: f64| {
        let mut bench = Bench::with_servers(Settings { gateway_count: 2, ..Settings::default() }, 4);
        let now = bench.settle(0, 500);
        bench.list(now, ListKind::Delta, vec![Server { started: Some(now), ..server("d", 3) }]);
        let mut sent = 0;
        for i in 0..400u64 {
            let (t, id) = (now + i * 5_000, format!("r{i}"));
            bench.arrive(t, &id, &id, if i % 2 == 0 { 19_000.0 } else { low });
            sent += u32::from(bench.sent().as_deref() == Some("d"));
            bench.end(t + 4_000, &id, 0, Outcome::Ok, 4_000);
        }
        sent
    };
    assert!(sent(1_000.0) < sent(10_000.0) * 2, "{} and {}", sent(1_000.0), sent(10_000.0));
}

#[test]
fn quick_errors_are_not_taken_for_work() {
    let mut bench = Bench::with_servers(Settings::default(), 3);
    let now = bench.settle(0, 200);
    let mut refused = 0;
    for i in 0..300u64 {
        let (t, id) = (now + i * 10_000, format!("r{i}"));
        bench.arrive(t, &id, &id, 10_000.0);
        refused += u32::from(bench.refused());
        for attempt in 0..3 {
            let outcome = if i % 3 == 0 { Outcome::Error } else { Outcome::Ok };
            bench.end(t + 1_000, &id, attempt, outcome, 1_000);
        }
    }
    assert_eq!(refused, 0, "errors at every server are no queue");
}

/// Guards against a steady loss of requests to a server that answers all of them with an immediate error: with more
/// consecutive errors, it is tried again later.
#[test]
fn a_server_that_answers_only_errors_is_tried_at_growing_intervals() {
    let mut bench =
        Bench::with_servers(Settings { classes: vec![class(Idempotency::Unsafe)], ..Settings::default() }, 3);
    let now = bench.settle(0, 200);
    let mut sent = 0;
    for i in 0..3_000u64 {
        let (t, id) = (now + i * 10_000, format!("r{i}"));
        bench.arrive(t, &id, &format!("k{}", i % 50), 10_000.0);
        let fails = bench.sent().as_deref() == Some("a");
        sent += u32::from(fails);
        let outcome = if fails { Outcome::Error } else { Outcome::Ok };
        bench.end(t + 1_000, &id, 0, outcome, 1_000);
    }
    assert!((2..=30).contains(&sent), "{sent} requests lost in 30 s");
}

/// Guards the failure shares of servers, and the retry budget, against invalid requests: one that a server denies is
/// not retried and fails, even if its class allows retries.
#[test]
fn a_request_at_fault_ends_at_the_server_that_denies_it() {
    let mut bench = Bench::with_servers(Settings::default(), 3);
    let now = bench.settle(0, 200);
    bench.arrive(now, "first", "k", 10_000.0);
    let holder = bench.sent();
    bench.end(now + 1_000, "first", 0, Outcome::Denied, 1_000);
    for i in 1..50u64 {
        let (t, id) = (now + i * 20_000, format!("r{i}"));
        bench.arrive(t, &id, "k", 10_000.0);
        assert_eq!(bench.sent(), holder, "it is in no trouble");
        bench.end(t + 1_000, &id, 0, Outcome::Denied, 1_000);
        assert!(bench.failed() && !bench.refused() && bench.sent().is_none());
    }
}

#[test]
fn a_class_that_waits_everywhere_keeps_neither_slots_nor_the_others_out() {
    let late = Class { latency_target: 1_000_000, ..class(Idempotency::Unsafe) };
    let settings = Settings { classes: vec![class(Idempotency::Unsafe), late], ..Settings::default() };
    let mut bench = Bench::with_servers(settings, 8);
    let arrive = |bench: &mut Bench, now: Micros, id: &str, class: usize| {
        let arrival = Arrival {
            id: id.into(),
            class,
            tenant: None,
            ttl: 1_500_000,
            work_hint: Some(10_000.0),
            key: Some(id),
            run_once: false,
        };
        bench.event(now, Event::Request(arrival));
        bench.sent().is_some()
    };
    let (mut ends, mut most, mut refused) = (BTreeMap::<Micros, (String, usize)>::new(), 0, 0);
    let mut out = 0;
    for i in 0..1_500u64 {
        let now = i * 10_000;
        while let Some((at, (id, class))) = ends.first_key_value().map(|(at, end)| (*at, end.clone())) {
            if at > now {
                break;
            }
            ends.remove(&at);
            let waits = class == 1 && at > 3_000_000;
            out -= class;
            match waits {
                true => bench.end(at, &id, 0, Outcome::TimedOut, 1_500_000),
                false => bench.end(at, &id, 0, Outcome::Ok, 10_000),
            }
        }
        let (id, class) = (format!("r{i}"), (i % 2) as usize);
        let sent = arrive(&mut bench, now, &id, class);
        let waits = class == 1 && now > 1_500_000;
        if sent {
            ends.insert(now + if waits { 1_500_000 } else { 10_000 } + i % 7, (id, class));
            out += class;
        }
        refused += u32::from(class == 0 && !sent);
        most = most.max(out);
    }
    // Without a limit, 75 would be in flight.
    assert!(most < 45, "{most} of the late class out at once");
    assert_eq!(refused, 0, "the other class is served as before");
}

#[test]
fn an_old_list_brings_no_drained_server_back_before_it_answers() {
    let settings = Settings { probes: true, keep_gone_servers: true, ..Settings::default() };
    let mut bench = Bench::with_servers(settings, 4);
    let now = bench.settle(0, 200);
    for state in [ServerState::Draining, ServerState::Gone, ServerState::Ready] {
        bench.list(now, ListKind::Delta, vec![Server { state, ..server("d", 3) }]);
    }
    assert!(!used(&mut bench, now + 100_000).contains("d"));
    let answered = Event::ProbeEnded { server: "d", outcome: Outcome::Ok, took: 1_000, report: None };
    bench.event(now + 200_000, answered);
    assert!(used(&mut bench, now + 300_000).contains("d"));
}

#[test]
fn a_request_gets_no_early_copy_where_its_server_answers_others() {
    let copied = |answers: bool| {
        let mut bench = Bench::with_servers(Settings::default(), 3);
        let now = bench.settle(0, 200);
        bench.arrive(now, "heavy", "k", 10_000.0);
        bench.arrive(now, "other", "k", 10_000.0);
        if answers {
            bench.end(now + 15_000, "other", 0, Outcome::Ok, 15_000);
        }
        bench.event(now + 25_000, Event::Wake);
        bench.sent().is_some()
    };
    assert!(copied(false), "a silent server");
    assert!(!copied(true), "a heavy request");
}

#[test]
fn a_request_that_is_given_up_is_answered_at_once_with_a_retry_delay() {
    let settings = Settings { max_attempts: 2, max_retry_after: 1_000_000, ..Settings::default() };
    let mut bench = Bench::with_servers(settings, 3);
    let now = bench.settle(0, 100);
    bench.arrive(now, "r", "k", 10_000.0);
    bench.end(now + 1_000, "r", 0, Outcome::Error, 1_000);
    assert!(bench.sent().is_some(), "it is tried once more");
    bench.end(now + 2_000, "r", 1, Outcome::Error, 1_000);
    let paused = |a: &Action| matches!(a, Action::Reject { retry_after: pause, .. } if *pause > 0);
    assert!(bench.out.iter().any(paused), "no attempt is left: refused in the same event, with a pause");
}

/// Guards against a rejection without a retry delay: on arrival, for an unknown class, and for a request that is out
/// of time. Each is answered at once, with a delay above 0.
#[test]
fn every_rejection_carries_a_retry_delay() {
    let pause = |bench: &Bench| match bench.out.as_slice() {
        [Action::Reject { retry_after: pause, .. }] => *pause,
        other => panic!("one refusal and nothing else, not {other:?}"),
    };
    let mut bench = Bench::new(Settings::default());
    bench.list(0, ListKind::Full, Vec::new());
    bench.arrive(1_000, "no server", "k", 10_000.0);
    assert_eq!(pause(&bench), 1_500_000 / 4);
    let class = Settings::default().classes.len();
    let id = "no class".into();
    bench.event(
        1_000,
        Event::Request(Arrival {
            id,
            class,
            tenant: None,
            ttl: 9,
            work_hint: None,
            key: None,
            run_once: false,
        }),
    );
    assert_eq!(pause(&bench), 50_000);

    let mut bench = Bench::with_servers(Settings { max_attempts: 1, ..Settings::default() }, 2);
    bench.arrive(1_000, "turned away", "k", 10_000.0);
    bench.end(2_000, "turned away", 0, Outcome::Overloaded, 1_000);
    assert_eq!(pause(&bench), 50_000, "nothing is known of usual times yet");
    bench.arrive(3_000, "late", "k", 10_000.0);
    bench.end(1_003_000, "late", 0, Outcome::TimedOut, 1_000_000);
    assert_eq!(pause(&bench), 2_000_000, "given up when its aim has passed, long before its deadline");
}

/// Guards the first seconds of a gateway: light requests whose answers took long for other reasons say almost nothing
/// about the servers' rate, and must not cause rejections.
#[test]
fn the_first_answers_alone_do_not_set_the_rate() {
    let mut bench = Bench::with_servers(Settings::default(), 4);
    for (i, took) in [13_000, 100_000, 90_000].into_iter().enumerate() {
        let (t, id) = (i as u64 * 120_000, format!("light{i}"));
        bench.arrive(t, &id, &id, 1_000.0);
        bench.end(t + took, &id, 0, Outcome::Ok, took);
    }
    for i in 0..5u64 {
        bench.arrive(400_000 + i * 60_000, &format!("r{i}"), &format!("k{i}"), 80_000.0);
        assert!(bench.sent().is_some(), "request {i} is sent to one of four idle servers");
    }
}

/// Guards heavy requests against slow servers, which would not finish them in time, and light requests against being
/// moved because of that: their keys stay where they are.
#[test]
fn a_heavy_request_goes_where_it_is_done_sooner() {
    let mut bench = Bench::with_servers(Settings::default(), 2);
    let mut at = |now: Micros, id: &str, key: &str, hint: f64| {
        bench.arrive(now, id, key, hint);
        let server = bench.sent().expect("an idle server takes it");
        let took = hint as Micros / if server == "a" { 2 } else { 1 };
        bench.end(now + took, id, 0, Outcome::Ok, took);
        server
    };
    let mut now = 0;
    let mut next = || {
        now += 400_000;
        now
    };
    (0..300).for_each(|i| drop(at(next(), &format!("s{i}"), &format!("k{i}"), 20_000.0)));
    let mut slow = |hint: f64| {
        (0..40).filter(|i| at(next(), &format!("r{hint}-{i}"), &format!("x{i}"), hint) == "b").count()
    };
    let (light, heavy) = (slow(10_000.0), slow(400_000.0));
    assert!(light >= 10, "{light} of 40 light ones at the slow server");
    assert!(heavy <= 4, "{heavy} of 40 heavy ones at the slow server");
}

/// Guards the price of crossing zones: an idle fleet keeps requests in the gateway's zone even if a server in another zone
/// has the key cached, and a loaded fleet uses servers of all zones.
#[test]
fn requests_keep_to_their_zone_while_that_is_free() {
    let crossed = |price: f64, gap: Micros, took: Micros| {
        let settings =
            Settings { zone: Some(0), gateway_count: 3, cross_zone_price: price, ..Settings::default() };
        let mut bench = Bench::with_servers(settings, 6);
        let mut now = bench.settle(0, 200);
        let (mut far, mut sent) = (0, 0);
        let mut out: Vec<(Micros, String)> = Vec::new();
        for i in 0..300u64 {
            now += gap;
            let (due, rest): (Vec<_>, Vec<_>) = out.into_iter().partition(|(at, _)| *at <= now);
            due.iter().for_each(|(at, id)| bench.end(*at, id, 0, Outcome::Ok, took));
            out = rest;
            let id = format!("r{i}");
            bench.arrive(now, &id, &format!("k{}", i % 40), 10_000.0);
            if let Some(server) = bench.sent() {
                // Servers a and b are in zone 0.
                far += u32::from(server != "a" && server != "b");
                sent += 1;
                out.push((now + took, id));
            }
        }
        f64::from(far) / f64::from(sent)
    };
    assert!(crossed(0.0, 200_000, 20_000) > 0.5, "without a price zones are all the same");
    assert!(crossed(0.02, 200_000, 20_000) < 0.1, "an idle fleet");
    let loaded = crossed(0.02, 1_500, 200_000);
    assert!(loaded > 0.3, "a loaded one: {loaded}");
}
