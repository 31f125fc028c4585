//! Time to first token with the placer, with random placement and with pure hashing, in a simulation of a small fleet.

mod common;

use common::simulation::*;
use googletest::prelude::*;

fn config(policy: Policy, rate_factor: f64, seed: u64) -> SimulationConfig {
    SimulationConfig {
        policy,
        servers: 18,
        balancers: 9,
        rates: [30.7 * rate_factor, 63.9 * rate_factor],
        subjects: 261,
        seconds: 30,
        slots: 48,
        with_store: true,
        seed,
    }
}

fn report(name: &str, rate_factor: f64, result: &SimulationResult) {
    let recomputed = result.recomputed_tokens / 1_000;
    let [p50, p95] = [0.5, 0.95].map(|share| [0, 1].map(|kind| result.percentile(kind, share)));
    let late = [result.share_above(0, 800.0), result.share_above(1, 400.0)];
    println!(
        "{name:7} x{rate_factor}: long p50 {:.0} p95 {:.0} ms late {:.3}, short p50 {:.0} p95 {:.0} ms late {:.3}, \
         recomputed {recomputed}k, transferred {}k, rejected {}",
        p50[0],
        p95[0],
        late[0],
        p50[1],
        p95[1],
        late[1],
        result.transferred_tokens / 1_000,
        result.rejected
    );
}

#[gtest]
fn first_tokens_are_faster_than_by_random_or_hash_placement() {
    for rate_factor in [1.0, 3.0] {
        for seed in [1, 2, 3] {
            let all = [Policy::Placer, Policy::Random, Policy::Hash];
            let [ours, random, hash] =
                all.map(|policy| Simulation::new(config(policy, rate_factor, seed)).run());
            report("placer", rate_factor, &ours);
            report("random", rate_factor, &random);
            report("hash", rate_factor, &hash);
            expect_that!(ours.rejected, eq(0));
            for kind in [0, 1] {
                expect_that!(ours.percentile(kind, 0.95), lt(random.percentile(kind, 0.95)));
                expect_that!(ours.percentile(kind, 0.95), lt(hash.percentile(kind, 0.95)));
            }
            expect_that!(ours.recomputed_tokens, lt(random.recomputed_tokens));
        }
    }
}

#[gtest]
fn equal_seeds_give_equal_placements() {
    let run = || Simulation::new(config(Policy::Placer, 1.0, 5)).run();
    let (one, other) = (run(), run());
    expect_that!(one.first_token_ms, eq(&other.first_token_ms));
    expect_that!(one.counters, eq(&other.counters));
}
