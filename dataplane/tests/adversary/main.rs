//! Both ends of a connection on bad days: servers and clients that do anything but what they should, on sockets.
//!
//! Whatever they do, each client gets its own answer or none that looks like one, nothing runs oftener than it may, and
//! what was promised holds. `GRADEPADDLE_ADVERSARY_SEEDS=100..300` plays those seeds instead of those of CI.

#[path = "../common/mod.rs"]
mod common;

mod client;
mod history;
mod random;
mod server;

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use client::Caller;
use common::configuration::SERVICE;
use common::{Options, World};
use gradepaddle_placement::ServerState;
use history::{Counts, KINDS, Ledger};
use server::Server;
use tokio::task::{JoinSet, yield_now};
use tokio::time::interval;

/// Plays of one run in CI.
const SEEDS: Range<u64> = 0..20;
/// Servers of one play.
const SERVERS: usize = 12;
/// Clients of one play, and the exchanges of each.
const CLIENTS: u64 = 48;
const EXCHANGES: u64 = 40;
/// Repeats are bounded by each route alone.
const NO_BUDGET: f64 = 1e9;
/// How often the thread is looked after.
const WATCH_EVERY: Duration = Duration::from_millis(5);
/// The node looks after a connection's end within some turns.
const TURNS_MOST: usize = 1_000_000;

/// Notes how long the thread stands still: what others do on the machine is no fault of the node.
async fn watch_stalls(ledger: Rc<Ledger>) {
    let mut ticks = interval(WATCH_EVERY);
    loop {
        let due = ticks.tick().await;
        ledger.stood_still(due.elapsed());
    }
}

async fn play(seed: u64) -> (Counts, Vec<String>) {
    let options = Options { servers: vec![], retry_slack: NO_BUDGET, ..Options::default() };
    let world = World::with(options, vec![]).await;
    let ledger = Rc::new(Ledger::default());
    for number in 0..SERVERS {
        let id = format!("s{number}");
        let address = Server::start(id.clone(), seed, &KINDS, ledger.clone());
        world.tell(&id, SERVICE, address, ServerState::Ready);
    }
    tokio::task::spawn_local(watch_stalls(ledger.clone()));
    let mut clients = JoinSet::new();
    for number in 0..CLIENTS {
        let caller = Caller { front: world.front, seed, number, ledger: ledger.clone() };
        clients.spawn_local(caller.run(EXCHANGES));
    }
    clients.join_all().await;
    for _ in 0..TURNS_MOST {
        if world.plane.open_requests() == 0 {
            break;
        }
        yield_now().await;
    }
    if world.plane.open_requests() > 0 || world.plane.placer.borrow().in_flight() > 0 {
        ledger.broke("requests are open though all clients have gone".to_owned());
    }
    let verdict = ledger.verdict();
    (ledger.counts(), verdict)
}

fn seeds() -> Range<u64> {
    let Ok(asked) = std::env::var("GRADEPADDLE_ADVERSARY_SEEDS") else { return SEEDS };
    let (from, to) = asked.split_once("..").expect("two seeds with two dots between them");
    from.parse().expect("a seed")..to.parse().expect("a seed")
}

#[test]
fn each_client_gets_its_own_answer_and_nothing_runs_oftener_than_it_may() {
    let mut all: Vec<Counts> = Vec::new();
    for seed in seeds() {
        common::run(async {
            let (counts, broken) = play(seed).await;
            let some: Vec<&String> = broken.iter().take(5).collect();
            assert!(
                broken.is_empty(),
                "seed {seed}: {} broken rules, as {some:#?}; {counts:?}",
                broken.len()
            );
            all.push(counts);
        });
    }
    let sum = |count: fn(&Counts) -> u64| all.iter().map(count).sum::<u64>();
    println!(
        "{} exchanges: {} whole successes, {} cut, {} promises, {} failures, {} clients left; {} visits, {} repeats",
        sum(|one| one.exchanges),
        sum(|one| one.successes),
        sum(|one| one.cuts),
        sum(|one| one.promises),
        sum(|one| one.failures),
        sum(|one| one.left),
        sum(|one| one.visits),
        sum(|one| one.repeats),
    );
    // A play in which little happens shows little.
    assert!(sum(|one| one.successes) * 4 > sum(|one| one.exchanges), "few requests are served");
    assert!(sum(|one| one.repeats) * 50 > sum(|one| one.exchanges), "few requests are repeated");
}
