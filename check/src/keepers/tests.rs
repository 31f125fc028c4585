use super::*;

const RUN: Run = Run { seed: 0, keepers: 3, steps: 4_000, broken: Broken::Nothing };

/// Guards what was acknowledged, whatever fails: a few of the schedules, of 3 and 5 keepers, with each fault in
/// them.
#[test]
fn nothing_acknowledged_is_lost_or_done_twice() {
    let mut all = Seen::default();
    for seed in 0..24 {
        let run = Run { seed, keepers: if seed % 3 == 0 { 5 } else { 3 }, ..RUN };
        all.add(run.play().expect("it holds"));
    }
    assert!(all.acknowledged > 2_000 && all.crashes > 50 && all.partitions > 50, "{all:?}");
    assert!(all.emptied > 20, "{all:?}");
}

/// Guards the check: each version that is broken on purpose is caught by some schedule.
#[test]
fn broken_books_are_caught() {
    use Broken::{AcknowledgesBeforeTheDisk, ForgetsADuplicate, VotesAfterAnEmptiedDisk};
    for broken in [AcknowledgesBeforeTheDisk, VotesAfterAnEmptiedDisk, ForgetsADuplicate] {
        let caught = (0..60).find_map(|seed| {
            let run = Run { seed, broken, ..RUN };
            // The library itself may end over what is broken; only our own verdict counts.
            std::panic::catch_unwind(|| run.play()).unwrap_or_else(|_| Ok(Seen::default())).err()
        });
        assert!(caught.is_some(), "{broken:?}");
    }
}

/// Guards replays: equal seeds give equal runs.
#[test]
fn a_seed_is_a_run() {
    assert_eq!(Run { seed: 5, ..RUN }.play(), Run { seed: 5, ..RUN }.play());
}
