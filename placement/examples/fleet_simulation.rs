//! Plays the simulation of the tests for a chosen fleet and prints times to first token:
//! `fleet_simulation SERVERS BALANCERS TIMES SUBJECTS SLOTS SECONDS SEEDS`.

#[path = "../tests/common/mod.rs"]
mod common;

use common::simulation::{Plan, Policy, Simulation};

fn main() {
    let given: Vec<f64> = std::env::args().skip(1).filter_map(|word| word.parse().ok()).collect();
    let value = |at: usize, default: f64| given.get(at).copied().unwrap_or(default);
    let times = value(2, 1.0);
    for policy in [Policy::Placer, Policy::Random, Policy::Hash] {
        let mut sums = [0.0; 10];
        let seeds = value(6, 5.0) as u64;
        let from = value(7, 1.0) as u64;
        for seed in from..from + seeds {
            let plan = Plan {
                policy,
                servers: value(0, 18.0) as u16,
                balancers: value(1, 9.0) as usize,
                rates: [30.7 * times, 63.9 * times],
                subjects: value(3, 261.0) as u64,
                seconds: value(5, 30.0) as u64,
                slots: value(4, 48.0) as u32,
                with_store: true,
                seed,
            };
            let out = Simulation::new(plan).run();
            let count = |f: fn(&gradepaddle_placement::Counters) -> u64| {
                out.counters.iter().map(f).sum::<u64>() as f64
            };
            let figures = [
                out.percentile(0, 0.5),
                out.percentile(0, 0.95),
                100.0 * out.late(0, 800.0),
                out.percentile(1, 0.5),
                out.percentile(1, 0.95),
                100.0 * out.late(1, 400.0),
                out.read_again as f64 / 1e3,
                out.moved as f64 / 1e3,
                100.0 * count(|c| c.cached) / out.choices as f64,
                100.0 * count(|c| c.guessed_fetches) / out.choices as f64,
            ];
            sums.iter_mut().zip(figures).for_each(|(sum, x)| *sum += x / seeds as f64);
        }
        println!(
            "{policy:?}: long p50 {:.0} p95 {:.0} late {:.1}% | short p50 {:.0} p95 {:.0} late {:.1}% | \
             read again {:.0}k moved {:.0}k warm {:.0}% guessed {:.0}%",
            sums[0], sums[1], sums[2], sums[3], sums[4], sums[5], sums[6], sums[7], sums[8], sums[9]
        );
    }
}
