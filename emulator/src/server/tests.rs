use super::*;
use crate::random::Party;

fn server(started: Micros) -> Server {
    let stream = Stream::of(1, Party::Server, 0);
    let start = Start {
        id: "s0".into(),
        zone: 0,
        kind: 0,
        cell: 0,
        cores: 1,
        speed: 1.0,
        started,
        balancers: 2,
        gauge: None,
        stream,
    };
    Server::new(start)
}

/// Guards the memory of keys: bounded in number and time, the one met longest ago goes first.
#[test]
fn keys_are_remembered_for_a_while_and_the_oldest_makes_room() {
    let mut memory = Memory::new(2, 100);
    memory.meet(0, 1);
    memory.meet(10, 2);
    memory.meet(20, 1);
    memory.meet(30, 3);
    assert!(memory.knows(40, 1) && memory.knows(40, 3) && !memory.knows(40, 2));
    assert!(!memory.knows(121, 1) && memory.knows(121, 3));
}

/// Guards the cold start: capacity rises evenly, and what is too much is told from what it bears.
#[test]
fn a_cold_server_warms_up_evenly_and_falls_over_beyond_its_multiple() {
    let fleet = Fleet { cold_from: 0.4, warm_s: 10.0, ..Fleet::default() };
    let (mut one, rule) = (server(1_000_000), (3.0, 2_000_000));
    assert!((one.warmth(6_000_000, &fleet) - 0.7).abs() < 1e-9);
    assert!((one.warmth(20_000_000, &fleet) - 1.0).abs() < 1e-9);
    // 3 times 0.4 of two seconds' work.
    let fall = (0..40).map(|_| one.bears(1_000_000, 100_000.0, true, &fleet, rule));
    let falls: Vec<Fall> = fall.collect();
    assert!(falls[..20].iter().all(|fall| *fall == Fall::Bears) && falls[39] == Fall::Blame, "{falls:?}");
    let mut two = server(1_000_000);
    let unknown = (0..40).map(|_| two.bears(1_000_000, 100_000.0, false, &fleet, rule)).last();
    assert_eq!(unknown, Some(Fall::Unknown));
    let mut warm = server(0);
    assert!((0..99).all(|_| warm.bears(5, 1e9, true, &fleet, rule) == Fall::Bears));
}

/// Guards the count of connections: bounded, reused, closed when idle, gone with a process.
#[test]
fn connections_are_counted_reused_and_closed() {
    let fleet = Fleet { connections_per_core: 2, ..Fleet::default() };
    let mut one = server(0);
    assert!(one.connect(&fleet) && one.connect(&fleet) && !one.connect(&fleet));
    one.park(0, 10);
    one.park(1, 10);
    assert!(one.reuse(0, 20, 100) && !one.reuse(0, 20, 100));
    assert!(!one.reuse(1, 110, 100), "idle for too long");
    assert_eq!(one.connections, 1);
    one.stop();
    assert_eq!((one.connections, one.state), (0, State::Down));
}
