//! Runs the simulation of the tests for a given fleet and prints times to first token:
//! `fleet_simulation SERVERS BALANCERS RATE_FACTOR SUBJECTS SLOTS SECONDS SEEDS FIRST_SEED`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::simulation::{Policy, Simulation, SimulationConfig};

fn main() {
    let arguments: Vec<f64> = std::env::args().skip(1).filter_map(|argument| argument.parse().ok()).collect();
    let value = |index: usize, default: f64| arguments.get(index).copied().unwrap_or(default);
    let rate_factor = value(2, 1.0);
    for policy in [Policy::Placer, Policy::Random, Policy::Hash] {
        let mut sums = [0.0; 10];
        let seeds = value(6, 5.0) as u64;
        let first_seed = value(7, 1.0) as u64;
        for seed in first_seed..first_seed + seeds {
            let config = SimulationConfig {
                policy,
                servers: value(0, 18.0) as u16,
                balancers: value(1, 9.0) as usize,
                rates: [30.7 * rate_factor, 63.9 * rate_factor],
                subjects: value(3, 261.0) as u64,
                seconds: value(5, 30.0) as u64,
                slots: value(4, 48.0) as u32,
                with_store: true,
                seed,
            };
            let result = Simulation::new(config).run();
            let count = |f: fn(&gradepaddle_placement::Counters) -> u64| {
                result.counters.iter().map(f).sum::<u64>() as f64
            };
            let figures = [
                result.percentile(0, 0.5),
                result.percentile(0, 0.95),
                100.0 * result.share_above(0, 800.0),
                result.percentile(1, 0.5),
                result.percentile(1, 0.95),
                100.0 * result.share_above(1, 400.0),
                result.recomputed_tokens as f64 / 1e3,
                result.transferred_tokens as f64 / 1e3,
                100.0 * count(|c| c.cached) / result.requests as f64,
                100.0 * count(|c| c.guessed_fetches) / result.requests as f64,
            ];
            sums.iter_mut().zip(figures).for_each(|(sum, x)| *sum += x / seeds as f64);
        }
        println!(
            "{policy:?}: long p50 {:.0} p95 {:.0} late {:.1}% | short p50 {:.0} p95 {:.0} late {:.1}% | \
             recomputed {:.0}k transferred {:.0}k cached {:.0}% guessed {:.0}%",
            sums[0], sums[1], sums[2], sums[3], sums[4], sums[5], sums[6], sums[7], sums[8], sums[9]
        );
    }
}
