use super::*;

const RUN: Run = Run { seed: 0, keepers: 3, steps: 4_000, broken: Broken::Nothing };

/// Acknowledged writes survive all faults and take effect once. Runs a few of the schedules, with 3 and 5 keepers; each
/// kind of fault occurs in them.
#[test]
fn acknowledged_writes_are_not_lost_or_applied_twice() {
    let mut all = Seen::default();
    for seed in 0..24 {
        let run = Run { seed, keepers: if seed % 3 == 0 { 5 } else { 3 }, ..RUN };
        all.add(run.execute().expect("no violation"));
    }
    assert!(all.acknowledged > 2_000 && all.crashes > 50 && all.partitions > 50, "{all:?}");
    assert!(all.emptied > 20, "{all:?}");
}

/// Guards against a check that finds nothing: some schedule catches each version that is broken on purpose.
#[test]
fn broken_versions_are_caught() {
    use Broken::{AcknowledgesBeforeTheDisk, ForgetsADuplicate, VotesAfterAnEmptiedDisk};
    for broken in [AcknowledgesBeforeTheDisk, VotesAfterAnEmptiedDisk, ForgetsADuplicate] {
        let caught = (0..60).find_map(|seed| {
            let run = Run { seed, broken, ..RUN };
            // The raft library itself may panic on the fault; only violations that this check reports count.
            std::panic::catch_unwind(|| run.execute()).unwrap_or_else(|_| Ok(Seen::default())).err()
        });
        assert!(caught.is_some(), "{broken:?}");
    }
}

/// Guards the replay of a schedule by its seed.
#[test]
fn equal_seeds_give_equal_runs() {
    assert_eq!(Run { seed: 5, ..RUN }.execute(), Run { seed: 5, ..RUN }.execute());
}
