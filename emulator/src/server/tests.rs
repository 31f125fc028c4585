use super::*;
use crate::random::StreamId;

fn server(started: Micros) -> Server {
    let stream = Stream::of(1, StreamId::Server, 0);
    let start = ServerStart {
        id: "s0".into(),
        zone: 0,
        kind: 0,
        cell: 0,
        cores: 1,
        speed: 1.0,
        started,
        balancers: 2,
        queue_reporter: None,
        stream,
    };
    Server::new(start)
}

/// Checks that the key cache is bounded in size and time and evicts the least recently used key.
#[test]
fn key_cache_expires_keys_and_evicts_the_least_recently_used() {
    let mut key_cache = KeyCache::new(2, 100);
    key_cache.insert(0, 1);
    key_cache.insert(10, 2);
    key_cache.insert(20, 1);
    key_cache.insert(30, 3);
    assert!(key_cache.contains(40, 1) && key_cache.contains(40, 3) && !key_cache.contains(40, 2));
    assert!(!key_cache.contains(121, 1) && key_cache.contains(121, 3));
}

/// Checks that capacity rises linearly during warm-up, and that a load above the limit is detected and
/// attributed.
#[test]
fn a_cold_server_warms_up_linearly_and_is_overloaded_beyond_its_limit() {
    let fleet = Fleet { cold_from: 0.4, warm_s: 10.0, ..Fleet::default() };
    let (mut one, rule) = (server(1_000_000), (3.0, 2_000_000));
    assert!((one.warmth(6_000_000, &fleet) - 0.7).abs() < 1e-9);
    assert!((one.warmth(20_000_000, &fleet) - 1.0).abs() < 1e-9);
    // The limit is 3 times 0.4 of two seconds' work.
    let fall = (0..40).map(|_| one.record_cold_load(1_000_000, 100_000.0, true, &fleet, rule));
    let falls: Vec<ColdLoad> = fall.collect();
    assert!(
        falls[..20].iter().all(|fall| *fall == ColdLoad::WithinLimit)
            && falls[39] == ColdLoad::OverloadedKnowingly,
        "{falls:?}"
    );
    let mut two = server(1_000_000);
    let unknown = (0..40).map(|_| two.record_cold_load(1_000_000, 100_000.0, false, &fleet, rule)).last();
    assert_eq!(unknown, Some(ColdLoad::OverloadedUnknowingly));
    let mut warm = server(0);
    assert!((0..99).all(|_| warm.record_cold_load(5, 1e9, true, &fleet, rule) == ColdLoad::WithinLimit));
}

/// Checks that connections are limited, reused, closed when idle for too long, and gone after a process ends.
#[test]
fn connections_are_counted_reused_and_closed() {
    let fleet = Fleet { connections_per_core: 2, ..Fleet::default() };
    let mut one = server(0);
    assert!(one.connect(&fleet) && one.connect(&fleet) && !one.connect(&fleet));
    one.return_connection(0, 10);
    one.return_connection(1, 10);
    assert!(one.take_idle_connection(0, 20, 100) && !one.take_idle_connection(0, 20, 100));
    assert!(!one.take_idle_connection(1, 110, 100), "idle for too long");
    assert_eq!(one.connections, 1);
    one.stop();
    assert_eq!((one.connections, one.state), (0, State::Down));
}
