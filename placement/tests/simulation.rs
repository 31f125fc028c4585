//! Time to first token with the placer, with random placement and with pure hashing, in a simulation of a small fleet.

mod common;

use common::simulation::*;
use googletest::prelude::*;

fn plan(policy: Policy, times: f64, seed: u64) -> Plan {
    Plan {
        policy,
        servers: 18,
        balancers: 9,
        rates: [30.7 * times, 63.9 * times],
        subjects: 261,
        seconds: 30,
        slots: 48,
        with_store: true,
        seed,
    }
}

fn report(name: &str, times: f64, outcome: &Outcome) {
    let read = outcome.read_again / 1_000;
    let [p50, p95] = [0.5, 0.95].map(|share| [0, 1].map(|kind| outcome.percentile(kind, share)));
    let late = [outcome.late(0, 800.0), outcome.late(1, 400.0)];
    println!(
        "{name:7} x{times}: long p50 {:.0} p95 {:.0} ms late {:.3}, short p50 {:.0} p95 {:.0} ms late {:.3}, \
         read again {read}k, moved {}k, refused {}",
        p50[0],
        p95[0],
        late[0],
        p50[1],
        p95[1],
        late[1],
        outcome.moved / 1_000,
        outcome.refused
    );
}

#[gtest]
fn first_tokens_are_faster_than_by_random_or_hash_placement() {
    for times in [1.0, 3.0] {
        for seed in [1, 2, 3] {
            let all = [Policy::Placer, Policy::Random, Policy::Hash];
            let [ours, random, hash] = all.map(|policy| Simulation::new(plan(policy, times, seed)).run());
            report("placer", times, &ours);
            report("random", times, &random);
            report("hash", times, &hash);
            expect_that!(ours.refused, eq(0));
            for kind in [0, 1] {
                expect_that!(ours.percentile(kind, 0.95), lt(random.percentile(kind, 0.95)));
                expect_that!(ours.percentile(kind, 0.95), lt(hash.percentile(kind, 0.95)));
            }
            expect_that!(ours.read_again, lt(random.read_again));
        }
    }
}

#[gtest]
fn equal_seeds_give_equal_placements() {
    let run = || Simulation::new(plan(Policy::Placer, 1.0, 5)).run();
    let (one, other) = (run(), run());
    expect_that!(one.first_ms, eq(&other.first_ms));
    expect_that!(one.counters, eq(&other.counters));
}
