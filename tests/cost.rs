//! Conformance tables of the three costs and of the hash order, after the design page.

use gradepaddle::cost::{balancing, hash, locality, mix, order, replacement};

/// `L_idle`, `L_overload` and `MissCost` of the design page.
const IDLE: f64 = 30.0;
const OVERLOAD: f64 = 130.0;
const MISS: f64 = 50.0;

#[test]
fn balancing_is_nothing_below_idle_and_infinite_above_overload() {
    let table = [
        (0.0, 0.0),
        (29.0, 0.0),
        (30.0, 0.0),
        (31.0, 1.0),
        (80.0, 50.0),
        (130.0, 100.0),
        (130.5, f64::INFINITY),
        (1_000.0, f64::INFINITY),
    ];
    for (load, cost) in table {
        assert_eq!(balancing(load, IDLE, OVERLOAD), cost, "load {load}");
    }
}

#[test]
fn locality_is_one_where_mapped_and_a_miss_elsewhere() {
    for (warm, cost) in [(1.0, 1.0), (0.0, MISS), (0.5, 25.5)] {
        assert_eq!(locality(MISS, warm), cost, "warm {warm}");
    }
}

#[test]
fn replacement_is_a_miss_only_where_loaded_and_not_mapped() {
    let table = [
        (0.0, 0.0, 0.0),
        (29.9, 0.0, 0.0),
        (30.0, 0.0, MISS),
        (100.0, 0.0, MISS),
        (100.0, 1.0, 0.0),
        (29.9, 1.0, 0.0),
        (100.0, 0.5, MISS / 2.0),
    ];
    for (load, warm, cost) in table {
        assert_eq!(replacement(load, IDLE, MISS, warm), cost, "load {load}, warm {warm}");
    }
}

#[test]
fn the_holder_keeps_a_key_until_another_is_cheaper_by_two_misses() {
    let sum = |load, warm| {
        balancing(load, IDLE, OVERLOAD) + locality(MISS, warm) + replacement(load, IDLE, MISS, warm)
    };
    // Against an idle server without the key, the one that has it cached wins until its load exceeds `idle` by the
    // cost of a miss less one.
    for (load, holds) in [(30.0, true), (78.0, true), (80.0, false), (131.0, false)] {
        assert_eq!(sum(load, 1.0) < sum(0.0, 0.0), holds, "load {load}");
    }
    // Against a server at the `idle` load without the key, it wins until the excess is nearly that of two misses.
    for (load, holds) in [(30.0, true), (127.0, true), (129.5, false)] {
        assert_eq!(sum(load, 1.0) < sum(30.0, 0.0), holds, "load {load}");
    }
}

#[test]
fn of_equals_the_highest_hash_comes_first() {
    let mixed = [0, 1, 7, u64::MAX / 2, u64::MAX - 1, u64::MAX];
    for pair in mixed.windows(2) {
        assert!(order(pair[1], 1.0, true) < order(pair[0], 1.0, true), "{pair:?}");
    }
    // With sizes, the order among equal servers stays, and a server ranks first for a share of the keys by its size.
    for pair in mixed.windows(2).filter(|pair| pair[1] - pair[0] > 1 << 40) {
        assert!(order(pair[1], 1.0, false) < order(pair[0], 1.0, false), "{pair:?}");
    }
    let first = (0..30_000u64).filter(|key| {
        let of = |server: u64, size| order(mix(mix(*key) ^ mix(server)), size, false);
        of(1, 2.0) < of(2, 1.0)
    });
    let share = first.count() as f64 / 30_000.0;
    assert!((share - 2.0 / 3.0).abs() < 0.02, "{share}");
}

#[test]
fn the_hash_is_the_same_in_every_version() {
    assert_eq!(hash("i-7f3a91c2"), hash(&String::from("i-7f3a91c2")));
    assert_eq!(hash(""), mix(0xcbf2_9ce4_8422_2325));
    assert_eq!(mix(0), 0);
    assert_ne!(hash("a"), hash("b"));
}
