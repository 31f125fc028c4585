//! A randomized test with adversarial clients and servers on sockets; a seed determines their behavior.
//!
//! Whatever they do, each client gets the response to its own request or one that is recognizably incomplete, no request is
//! processed more often than its route allows, and a status that denies processing is true.
//! `GRADEPADDLE_ADVERSARY_SEEDS=100..300` runs those seeds instead of CI's.

#[path = "../common/mod.rs"]
mod common;

mod client;
mod history;
mod random;
mod server;

use std::collections::BTreeSet;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use client::AdversarialClient;
use common::configuration::SERVICE;
use common::{Harness, Options};
use gradepaddle_placement::ServerState;
use history::{Counts, History, ROUTE_KINDS, Truncation};
use server::{FRAMINGS, Server, TRUNCATED_ENDS};
use tokio::task::{JoinSet, yield_now};
use tokio::time::interval;

/// Seeds that CI runs.
const SEEDS: Range<u64> = 0..20;
/// Servers per seed.
const SERVERS: usize = 12;
/// Clients per seed.
const CLIENTS: u64 = 48;
/// Exchanges per client.
const EXCHANGES: u64 = 40;
/// A retry budget so large that only the routes bound the attempts.
const UNLIMITED_RETRIES: f64 = 1e9;
/// Interval of the check for stalls of the thread.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How often the test yields to the node until it has noticed the end of all connections.
const MAX_YIELDS: usize = 1_000_000;

/// Records how long the thread stalls: delays caused by other load on the machine don't count against the node.
async fn record_stalls(history: Rc<History>) {
    let mut ticks = interval(STALL_CHECK_INTERVAL);
    loop {
        let due = ticks.tick().await;
        history.record_stall(due.elapsed());
    }
}

async fn run_seed(seed: u64) -> (Rc<History>, Vec<String>) {
    let options = Options { servers: vec![], retry_slack: UNLIMITED_RETRIES, ..Options::default() };
    let harness = Harness::with(options, vec![]).await;
    let history = Rc::new(History::default());
    for number in 0..SERVERS {
        let id = format!("s{number}");
        let address = Server::start(id.clone(), seed, &ROUTE_KINDS, history.clone());
        harness.set_server(&id, SERVICE, address, ServerState::Ready);
    }
    tokio::task::spawn_local(record_stalls(history.clone()));
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let client = AdversarialClient { front: harness.front, seed, number, history: history.clone() };
        clients.spawn_local(client.run(EXCHANGES));
    }
    clients.join_all().await;
    for _ in 0..MAX_YIELDS {
        if harness.plane.open_requests() == 0 {
            break;
        }
        yield_now().await;
    }
    if harness.plane.open_requests() > 0 || harness.plane.placer.borrow().in_flight() > 0 {
        history.violation("requests are open though all clients have disconnected".to_owned());
    }
    let violations = history.check_all();
    (history, violations)
}

fn seeds() -> Range<u64> {
    let Ok(range) = std::env::var("GRADEPADDLE_ADVERSARY_SEEDS") else { return SEEDS };
    let (from, to) = range.split_once("..").expect("two seeds with two dots between them");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

/// Each framing with each end of a truncated response, for streams and other responses and for both versions of HTTP.
fn all_truncations() -> Vec<Truncation> {
    let mut all = Vec::new();
    for framing in FRAMINGS {
        for end in TRUNCATED_ENDS {
            for (streaming, http_1_0) in [(false, false), (false, true), (true, false), (true, true)] {
                all.push(Truncation { framing, end, streaming, http_1_0 });
            }
        }
    }
    all
}

#[test]
fn each_client_gets_its_own_response_and_no_request_runs_more_often_than_allowed() {
    let mut all: Vec<Counts> = Vec::new();
    let mut truncations: BTreeSet<Truncation> = BTreeSet::new();
    for seed in seeds() {
        common::run(async {
            let (history, violations) = run_seed(seed).await;
            let counts = history.counts();
            let first_violations: Vec<&String> = violations.iter().take(5).collect();
            assert!(
                violations.is_empty(),
                "seed {seed}: {} violations, such as {first_violations:#?}; {counts:?}",
                violations.len()
            );
            all.push(counts);
            truncations.extend(history.truncations());
        });
    }
    let sum = |count: fn(&Counts) -> u64| all.iter().map(count).sum::<u64>();
    println!(
        "{} exchanges: {} complete successes, {} truncated, {} not processed, {} failures, {} clients left; {} deliveries, {} \
         retries, {} streams at three servers",
        sum(|one| one.exchanges),
        sum(|one| one.successes),
        sum(|one| one.truncated),
        sum(|one| one.says_not_processed),
        sum(|one| one.failures),
        sum(|one| one.client_left),
        sum(|one| one.deliveries),
        sum(|one| one.retries),
        sum(|one| one.resumed_twice),
    );
    // A run proves little unless enough requests succeed and enough are retried.
    assert!(sum(|one| one.successes) * 4 > sum(|one| one.exchanges), "too few requests succeed");
    assert!(sum(|one| one.retries) * 50 > sum(|one| one.exchanges), "too few requests are retried");
    if all.len() < SEEDS.count() {
        return;
    }
    assert!(sum(|one| one.resumed_twice) > 0, "no stream is resumed twice");
    let missing: Vec<Truncation> =
        all_truncations().into_iter().filter(|truncation| !truncations.contains(truncation)).collect();
    assert!(missing.is_empty(), "never drawn: {missing:?}");
}
