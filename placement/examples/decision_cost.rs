//! Measures the duration of one placement and of a complete attempt for fleets of several sizes.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Instant;

use common::{MS, STORE, added, chunk, long_prompt, place, placer_of, request, serve};
use gradepaddle_placement::{PlacementConfig, TableSizes};

const ROUNDS: u64 = 20_000;

fn main() {
    for servers in [18u16, 140, 6_000] {
        let mut node = placer_of(PlacementConfig::builder().own_zone("a").build(), servers);
        node.set_balancer_count(78);
        let salt = place(&mut node, 0, 0, 0).salt.expect("version known");
        // Every server has the four common chunks cached and 30 subjects of its own.
        for number in 0..servers {
            let id = format!("i-{number}");
            (1..=4).for_each(|group| node.apply_cache_event(0, &id, added(&salt, &chunk(group, 2_520))));
            for subject in 0..30 {
                let subject = 1_000 + u64::from(number) * 30 + subject;
                node.apply_cache_event(0, &id, added(&salt, &chunk(subject, 3_780)));
            }
        }
        let subjects = u64::from(servers) * 30;
        let mut times = Vec::new();
        let started = Instant::now();
        for round in 0..ROUNDS {
            // 100 requests per second.
            let now = 2_000 * MS + round * 10 * MS;
            node.record_cache_contact(now, STORE);
            let chunks = long_prompt(gradepaddle::cost::mix(round) % subjects, round);
            let before = Instant::now();
            let placement = node.place(now, &request(&chunks), &[]).expect("ready");
            times.push(before.elapsed().as_nanos() as u64);
            serve(&mut node, now, &placement);
        }
        let attempt_cost = started.elapsed().as_nanos() as u64 / ROUNDS;
        times.sort_unstable();
        let mean = times.iter().sum::<u64>() / ROUNDS;
        let percentile = |share: f64| times[(ROUNDS as f64 * share) as usize] as f64 / 1e3;
        let TableSizes { keys, index_entries: entries, index_bytes: bytes } = node.table_sizes();
        println!(
            "{servers} servers: placement mean {:.1} us, p50 {:.1}, p99 {:.1}; complete attempt {:.1} us; \
             {keys} keys, {entries} index entries in {} KB",
            mean as f64 / 1e3,
            percentile(0.5),
            percentile(0.99),
            attempt_cost as f64 / 1e3,
            bytes / 1024
        );
    }
}
