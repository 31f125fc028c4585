//! Adversarial clients and servers on sockets, drawn by seed.
//!
//! Whatever they do, each client gets its own response or none that looks like one, no request is processed more often
//! than allowed, and what a status says holds. `GRADEPADDLE_ADVERSARY_SEEDS=100..300` runs those seeds instead of CI's.

#[path = "../common/mod.rs"]
mod common;

mod client;
mod history;
mod random;
mod server;

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use client::AdversarialClient;
use common::configuration::SERVICE;
use common::{Harness, Options};
use gradepaddle_placement::ServerState;
use history::{Counts, History, ROUTE_KINDS};
use server::Server;
use tokio::task::{JoinSet, yield_now};
use tokio::time::interval;

/// Seeds of one run in CI.
const SEEDS: Range<u64> = 0..20;
/// Servers of one seed.
const SERVERS: usize = 12;
/// Clients of one seed, and the exchanges of each.
const CLIENTS: u64 = 48;
const EXCHANGES: u64 = 40;
/// Retries are bounded by each route alone.
const UNLIMITED_RETRIES: f64 = 1e9;
/// How often the thread is looked after.
const WATCH_EVERY: Duration = Duration::from_millis(5);
/// The node looks after a connection's end within some turns.
const MAX_YIELDS: usize = 1_000_000;

/// Notes how long the thread stands still: what others do on the machine is no fault of the node.
async fn record_stalls(history: Rc<History>) {
    let mut ticks = interval(WATCH_EVERY);
    loop {
        let due = ticks.tick().await;
        history.record_stall(due.elapsed());
    }
}

async fn run_seed(seed: u64) -> (Counts, Vec<String>) {
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
        let caller = AdversarialClient { front: harness.front, seed, number, history: history.clone() };
        clients.spawn_local(caller.run(EXCHANGES));
    }
    clients.join_all().await;
    for _ in 0..MAX_YIELDS {
        if harness.plane.open_requests() == 0 {
            break;
        }
        yield_now().await;
    }
    if harness.plane.open_requests() > 0 || harness.plane.placer.borrow().in_flight() > 0 {
        history.violation("requests are open though all clients have gone".to_owned());
    }
    let check_all = history.check_all();
    (history.counts(), check_all)
}

fn seeds() -> Range<u64> {
    let Ok(range) = std::env::var("GRADEPADDLE_ADVERSARY_SEEDS") else { return SEEDS };
    let (from, to) = range.split_once("..").expect("two seeds with two dots between them");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

#[test]
fn each_client_gets_its_own_response_and_nothing_runs_more_often_than_allowed() {
    let mut all: Vec<Counts> = Vec::new();
    for seed in seeds() {
        common::run(async {
            let (counts, violations) = run_seed(seed).await;
            let some: Vec<&String> = violations.iter().take(5).collect();
            assert!(
                violations.is_empty(),
                "seed {seed}: {} broken rules, as {some:#?}; {counts:?}",
                violations.len()
            );
            all.push(counts);
        });
    }
    let sum = |count: fn(&Counts) -> u64| all.iter().map(count).sum::<u64>();
    println!(
        "{} exchanges: {} whole successes, {} cut, {} promises, {} failures, {} clients left; {} visits, {} repeats",
        sum(|one| one.exchanges),
        sum(|one| one.successes),
        sum(|one| one.truncated),
        sum(|one| one.says_not_processed),
        sum(|one| one.failures),
        sum(|one| one.client_left),
        sum(|one| one.deliveries),
        sum(|one| one.retries),
    );
    // A run in which little happens shows little.
    assert!(sum(|one| one.successes) * 4 > sum(|one| one.exchanges), "few requests are served");
    assert!(sum(|one| one.retries) * 50 > sum(|one| one.exchanges), "few requests are repeated");
}
