use super::*;

/// Guards against a front that uses the wrong zone or a dead process: it uses the processes of the zone by round robin, any
/// process if the zone has none, and a restarted process in place of its predecessor.
#[test]
fn a_zone_uses_its_own_processes_by_round_robin_and_falls_back_to_any() {
    let front = Front::default();
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    for place in 0..4 {
        front.take_in(Known { place, number: place, address, zone: place % 2 });
    }
    // Also where requests alternate between the zones.
    let mut picks: Vec<usize> = (0..8).filter_map(|n| front.pick(n % 2)).map(|one| one.place).collect();
    picks.sort_unstable();
    assert_eq!(picks, [0, 0, 1, 1, 2, 2, 3, 3]);
    front.take_in(Known { place: 2, number: 9, address, zone: 0 });
    assert!((0..2).filter_map(|_| front.pick(0)).any(|one| one.number == 9));
    assert!((0..4).filter_map(|_| front.pick(0)).all(|one| one.number != 2));
    crate::on_one_thread(async {
        front.lose(0, Duration::ZERO);
        front.lose(9, Duration::ZERO);
        while front.pick(0).is_some_and(|one| one.zone == 0) {
            tokio::task::yield_now().await;
        }
    });
    assert_eq!(front.pick(0).map(|one| one.zone), Some(1));
}
