//! Slow start of cold servers: the total work that all gateways send them.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use common::{Bench, class, name, server};
use gradepaddle::*;

const SECOND: Micros = 1_000_000;
/// The work of a request, at servers of one core.
const WORK: Micros = 100_000;
const SERVERS: u8 = 20;
/// The overload factor that a cold server bears; low, so that the budget limits it before its queue does.
const MULTIPLE: f64 = 1.3;

/// An attempt times out after this.
const LONGEST: Micros = 1_200_000;

/// How an attempt ends, by its number in the queue of events.
const ENDS: [Outcome; 3] = [Outcome::Ok, Outcome::ConnectFailed, Outcome::TimedOut];

/// A server with one core that processes requests one after the other.
#[derive(Default)]
struct Queue {
    busy: Micros,
    /// Arrival times of the requests that it got in the last window.
    sent: VecDeque<Micros>,
}

/// The events by time: a new request at a gateway, or the end of an attempt with its request, number, outcome and duration.
type Due = BinaryHeap<Reverse<(Micros, u32, Option<(String, u32, u8, Micros)>)>>;

/// A xorshift generator, so that runs are reproducible.
struct Draw(u64);

impl Draw {
    fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// Returns the most that all gateways together sent to cold servers in any overload window, beyond N + 2 x root of N + 2, and
/// the total that they sent them. Each gateway gets its own part of the traffic, some three times that of others; one attempt
/// in ten fails and is retried elsewhere. The cold servers are the last ones. Their start is announced to all gateways together
/// with the loss of the first `gone` servers, whose load moves to the others.
fn beyond(gateways: u32, load: f64, (cold, gone): (u8, u8), seed: u64) -> (f64, usize) {
    let settings = |me| Settings {
        classes: vec![class(Idempotency::Safe)],
        gateway_index: me,
        gateway_count: gateways,
        initial_capacity_share: 0.36,
        max_warm_up_time: 6 * SECOND,
        cold_overload_factor: MULTIPLE,
        cold_overload_time: 2 * SECOND,
        ..Settings::default()
    };
    let mut draw = Draw(seed);
    let mut all: Vec<Bench> = (0..gateways).map(|me| Bench::with_servers(settings(me), SERVERS)).collect();
    let weight = |me: u32| if me.is_multiple_of(3) { 3.0 } else { 1.0 };
    let weights: f64 = (0..gateways).map(weight).sum();
    let rate = load * f64::from(SERVERS) / WORK as f64;
    let mut due = Due::new();
    let next = |draw: &mut Draw, now: Micros, me: u32| {
        now + (-draw.unit().max(1e-12).ln() * weights / (rate * weight(me))) as Micros
    };
    for me in 0..gateways {
        due.push(Reverse((next(&mut draw, 0, me), me, None)));
    }
    let (start, end) = (20 * SECOND, 28 * SECOND);
    let fresh = |at: u8| at >= SERVERS - cold;
    let mut queues: Vec<Queue> = (0..SERVERS).map(|_| Queue::default()).collect();
    let (mut most, mut count, mut serial, mut told) = (f64::MIN, 0, 0u64, false);
    while let Some(Reverse((now, me, what))) = due.pop() {
        if now > end {
            break;
        }
        if now >= start && !told {
            told = true;
            for bench in &mut all {
                let started = |at| Server { started: Some(start), ..server(&name(at), u32::from(at)) };
                let left = |at| Server { state: ServerState::Gone, ..server(&name(at), u32::from(at)) };
                let fresh = (0..SERVERS).filter(|at| fresh(*at)).map(started);
                bench.list(now, ListKind::Delta, (0..gone).map(left).chain(fresh).collect());
            }
        }
        let bench = &mut all[me as usize];
        match what {
            None => {
                due.push(Reverse((next(&mut draw, now, me), me, None)));
                let id = format!("r{serial}");
                serial += 1;
                let key = format!("k{}", (draw.unit() * draw.unit() * 900.0) as u32);
                bench.arrive(now, &id, &key, WORK as f64);
                follow(bench, &mut draw, &mut due, (now, me, &id, 0), &mut queues);
            }
            Some((id, attempt, outcome, took)) => {
                bench.end(now, &id, attempt, ENDS[usize::from(outcome)], took);
                follow(bench, &mut draw, &mut due, (now, me, &id, attempt + 1), &mut queues);
            }
        }
        for at in (0..SERVERS).filter(|at| fresh(*at) && now >= start) {
            let window = &mut queues[usize::from(at)].sent;
            while window.front().is_some_and(|then| *then + 2 * SECOND <= now || *then < start) {
                window.pop_front();
                count += 1;
            }
            // What it can handle by its capacity at the beginning of the window.
            let age = now.saturating_sub(2 * SECOND).saturating_sub(start) as f64;
            let warmth = 0.36 + 0.64 * (age / (6 * SECOND) as f64).min(1.0);
            let bears = MULTIPLE * warmth * (2 * SECOND) as f64 / WORK as f64;
            most = most.max(window.len() as f64 - (bears + 2.0 * bears.sqrt() + 2.0));
        }
    }
    (most, count)
}

/// Records the attempts that were sent, and schedules their ends.
fn follow(
    bench: &Bench,
    draw: &mut Draw,
    due: &mut Due,
    (now, me, id, attempt): (Micros, u32, &str, u32),
    queues: &mut [Queue],
) {
    let Some(server) = bench.sent() else { return };
    let queue = &mut queues[usize::from(server.as_bytes()[0] - b'a')];
    queue.sent.push_back(now);
    let done = queue.busy.max(now) + (WORK as f64 * (0.5 + draw.unit())) as Micros;
    let (then, outcome) = match done {
        _ if draw.unit() < 0.1 => (now + 1_000, 1),
        _ if done > now + LONGEST => (now + LONGEST, 2),
        _ => (done, 0),
    };
    if outcome != 1 {
        queue.busy = done;
    }
    due.push(Reverse((then, me, Some((id.to_owned(), attempt, outcome, then - now)))));
}

/// Guards cold servers against overload by many gateways that do not know of each other: beyond what the settings allow, the
/// sum may exceed the bound only by random variation.
#[test]
fn the_sum_over_all_gateways_keeps_the_budget_of_a_cold_server() {
    for (gateways, load, cold, gone) in
        [(20, 0.9, 1, 12), (30, 0.9, 4, 12), (30, 0.6, 12, 0), (100, 0.9, 6, 10), (100, 0.9, 20, 0)]
    {
        for seed in 1..=3 {
            let (most, count) = beyond(gateways, load, (cold, gone), seed * 0x9e37_79b9);
            assert!(count > 10, "{count} sent to {cold} cold servers");
            assert!(most <= 0.0, "{gateways} gateways, load {load}, {cold} cold: {most:.1} too many");
        }
    }
}
