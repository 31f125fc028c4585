//! Measures the time of a tick of the roll-out when there is nothing to do: all servers have loaded all versions.
//!
//!     cargo run --release -p gradepaddle-controlplane --example rollout_cost

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;
use std::time::Instant;

use gradepaddle_controlplane::rollout::{Rollout, Servers};
use gradepaddle_proto::{ModelVersion, Registration};

/// Number of models. Each server has one model, and the models are spread evenly.
const MODELS: usize = 14;
const TICKS: u64 = 200;
/// Time between two ticks, in microseconds.
const TICK_INTERVAL: u64 = 100_000;

fn model(number: usize) -> String {
    format!("model-{}", number % MODELS)
}

fn server(number: usize) -> (Arc<str>, Registration) {
    let id: Arc<str> = Arc::from(format!("server-{number:05}"));
    let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, (number / 250) as u8, (number % 250) as u8), 80);
    let models = vec![ModelVersion { model: Arc::from(model(number)), version: 2 }];
    let registration = Registration {
        id: id.clone(),
        service: Arc::from("service"),
        address,
        zone: Arc::from("zone"),
        slots: 12,
        draining: false,
        lost: false,
        warmup_left_ms: 0,
        models,
        owner: address,
    };
    (id, registration)
}

fn main() {
    for count in [18, 140, 1_000, 6_000] {
        let servers: Servers = (0..count).map(server).collect();
        let announced: BTreeMap<String, u64> = (0..MODELS).map(|number| (model(number), 2)).collect();
        let mut rollout = Rollout::new(3_000_000);
        rollout.become_primary(0, 1);
        let started = Instant::now();
        let mut steps = 0;
        for tick in 1..=TICKS {
            steps += rollout.tick(tick * TICK_INTERVAL, &servers, &announced).len();
        }
        let micros_per_tick = started.elapsed().as_secs_f64() * 1e6 / TICKS as f64;
        println!("{count} servers, {MODELS} models: {micros_per_tick:.0} µs a tick, {steps} steps");
    }
}
