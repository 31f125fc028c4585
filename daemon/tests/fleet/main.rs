//! Many processes of the daemon while pieces break: what becomes of each request is judged from the books of those round
//! them. Nothing here waits for time to pass; each step waits for what the books are to show.

mod book;

use std::path::PathBuf;
use std::time::Duration;

use gradepaddle_standins::books::{Answer, Books, Health, Turn};
use gradepaddle_standins::fleet::{Fleet, Plan};
use gradepaddle_standins::on_one_thread;
use gradepaddle_standins::relay::{CLEAR, Way};
use gradepaddle_standins::server::{Make, Mood};

const EACH: Duration = Duration::from_millis(3);

fn plan(processes: usize, servers: usize) -> Plan {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_gradepaddle"));
    Plan { program, processes, servers, zones: 2, make: Make::default(), links: Vec::new() }
}

fn served(books: &Books) -> usize {
    books.count(|answer| matches!(answer, Answer::Served(_)))
}

/// Waits until so many more are served.
async fn serves_on(fleet: &Fleet, more: usize) {
    let before = fleet.ledger.read(served);
    fleet.ledger.until("more that is served", |books| served(books) >= before + more).await;
}

/// Waits until each of these processes has served so many.
async fn each_serves(fleet: &Fleet, places: &[usize], more: usize) {
    for place in places {
        let number = fleet.process(*place).number;
        let before = fleet.ledger.read(|books| books.served_by(number));
        fleet.ledger.until("what one process serves", |books| books.served_by(number) >= before + more).await;
    }
}

/// Waits until discovery has told every process.
async fn all_know_the_drain_of(fleet: &Fleet, server: usize) {
    for process in fleet.processes.iter().flatten() {
        let told = |books: &Books| books.last_told(process.number, server) == Some(Health::Draining);
        fleet.ledger.until("what discovery tells", told).await;
    }
}

async fn holds(fleet: &Fleet) {
    let breaches = fleet.verdict().await;
    let text: Vec<String> = breaches.iter().map(ToString::to_string).collect();
    assert!(text.is_empty(), "{}\n{}", fleet.ledger.read(Books::summary), text.join("\n"));
}

/// Guards the rest against the loss of most: seven in ten are killed at once under load, those left serve on, the others
/// come back with nothing but the list, and every request is accounted for.
#[test]
fn seven_in_ten_are_killed_at_once_and_come_back() {
    on_one_thread(async {
        let mut fleet = Fleet::start(plan(10, 4)).await.expect("a fleet");
        let load = fleet.traffic(EACH);
        serves_on(&fleet, 200).await;
        let killed: Vec<usize> = (0..7).collect();
        let mut dead = Vec::new();
        for place in &killed {
            dead.extend(fleet.kill(*place, Duration::ZERO).expect("a process"));
        }
        for process in dead {
            process.ended().await;
        }
        each_serves(&fleet, &[7, 8, 9], 20).await;
        fleet.start_processes(&killed).await.expect("they start");
        each_serves(&fleet, &killed, 5).await;
        load.set(false);
        holds(&fleet).await;
        // What was lost is what those that were killed had: the rest of it would be a breach.
        let lost = fleet.ledger.read(|books| books.count(|answer| *answer == Answer::Lost));
        assert!(lost < 100, "{lost} lost");
    });
}

/// Guards processes that are let go after a pause: what they find open and late is ended without a second run or a false
/// word, and then they serve as before.
#[test]
fn half_are_paused_and_let_go() {
    on_one_thread(async {
        let fleet = Fleet::start(plan(6, 4)).await.expect("a fleet");
        let load = fleet.traffic(EACH);
        serves_on(&fleet, 100).await;
        for place in 0..3 {
            fleet.process(place).pause().expect("a process");
        }
        each_serves(&fleet, &[3, 4, 5], 100).await;
        for place in 0..3 {
            fleet.process(place).resume().expect("a process");
        }
        each_serves(&fleet, &[0, 1, 2], 10).await;
        load.set(false);
        holds(&fleet).await;
    });
}

/// Guards planned ends: those that are asked to end answer what they have, and lose none of it.
#[test]
fn all_are_asked_to_end_one_after_the_other() {
    on_one_thread(async {
        let mut fleet = Fleet::start(plan(4, 3)).await.expect("a fleet");
        for place in 0..4 {
            let load = fleet.traffic(EACH);
            serves_on(&fleet, 50).await;
            // The front sends to the others, then it is asked.
            load.set(false);
            let number = fleet.process(place).number;
            fleet.process(place).ask_to_end().expect("a process");
            fleet.process(place).ended().await;
            let status = fleet.ledger.read(|books| books.last_turn(number));
            assert_eq!(status, Some(Turn::Ended(Some(0))));
            fleet.start_processes(&[place]).await.expect("it starts");
        }
        holds(&fleet).await;
        assert_eq!(fleet.ledger.read(|books| books.count(|answer| *answer == Answer::Lost)), 0);
    });
}

/// Guards a fleet that is replaced under way: the old ones drain and go, the new ones are found by every process.
#[test]
fn all_app_servers_are_replaced_under_load() {
    on_one_thread(async {
        let mut fleet = Fleet::start(plan(3, 3)).await.expect("a fleet");
        let load = fleet.traffic(EACH);
        serves_on(&fleet, 50).await;
        for old in 0..3 {
            let new = fleet.add_server(0).await.expect("an app server");
            fleet.list(old, Health::Draining);
            all_know_the_drain_of(&fleet, old).await;
            fleet.ledger.until("the new one's first", |books| books.begun(new) > 0).await;
            fleet.list(old, Health::Removed);
            serves_on(&fleet, 30).await;
            fleet.vanish(old);
        }
        serves_on(&fleet, 100).await;
        load.set(false);
        holds(&fleet).await;
    });
}

/// Guards processes that each see another part of the fleet fall silent: nothing is run twice or refused falsely, all
/// serve on by the rest, and what is healed is used again.
#[test]
fn each_process_is_cut_off_from_another_app_server() {
    on_one_thread(async {
        let links = vec![(0, 0), (1, 1), (2, 2)];
        let fleet = Fleet::start(Plan { links, ..plan(3, 3) }).await.expect("a fleet");
        let load = fleet.traffic(EACH);
        serves_on(&fleet, 100).await;
        for n in 0..3 {
            // One-way: requests get there, answers do not come back.
            fleet.link(n, n).set(CLEAR, Way::Silent);
        }
        each_serves(&fleet, &[0, 1, 2], 100).await;
        for n in 0..3 {
            fleet.link(n, n).set(CLEAR, CLEAR);
        }
        for n in 0..3 {
            let number = fleet.process(n).number;
            let before = fleet.ledger.read(|books| books.served_at(number, n));
            let again = |books: &Books| books.served_at(number, n) > before + 5;
            fleet.ledger.until("what is healed to be used", again).await;
        }
        load.set(false);
        holds(&fleet).await;
    });
}

/// Guards against app servers that do harm in every way they can, at three processes at once.
#[test]
fn app_servers_fail_reset_spoil_and_turn_away() {
    on_one_thread(async {
        let fleet = Fleet::start(plan(3, 4)).await.expect("a fleet");
        let load = fleet.traffic(EACH);
        serves_on(&fleet, 50).await;
        for mood in [Mood::Fails, Mood::Resets, Mood::Spoils, Mood::Full, Mood::Hangs] {
            let bad = fleet.servers[0].as_ref().expect("an app server");
            bad.set(mood);
            each_serves(&fleet, &[0, 1, 2], 30).await;
            bad.set(Mood::Well);
        }
        load.set(false);
        holds(&fleet).await;
    });
}

/// Guards a restart while nobody can be asked: processes start with the list that they were given, serve by it, and
/// hear of changes once discovery is back.
#[test]
fn discovery_is_gone_while_half_start_anew() {
    on_one_thread(async {
        let mut fleet = Fleet::start(plan(4, 3)).await.expect("a fleet");
        fleet.discovery.set_up(false);
        for place in 0..2 {
            let process = fleet.kill(place, Duration::ZERO).expect("a process");
            process.expect("one at this place").ended().await;
        }
        fleet.start_processes(&[0, 1]).await.expect("they start");
        let load = fleet.traffic(EACH);
        each_serves(&fleet, &[0, 1, 2, 3], 30).await;
        fleet.list(2, Health::Draining);
        fleet.discovery.set_up(true);
        all_know_the_drain_of(&fleet, 2).await;
        serves_on(&fleet, 100).await;
        load.set(false);
        holds(&fleet).await;
    });
}

/// Guards processes whose watches fall silent together while an app server drains: each asks anew in time, none of them
/// sends it anything after that counts as told, and none takes the silence for an outage.
#[test]
fn half_of_all_watches_fall_silent_while_an_app_server_drains() {
    on_one_thread(async {
        let fleet = Fleet::start(plan(6, 4)).await.expect("a fleet");
        let load = fleet.traffic(EACH);
        each_serves(&fleet, &[0, 1, 2, 3, 4, 5], 10).await;
        for place in 0..3 {
            fleet.discovery.fall_silent(fleet.process(place).number);
        }
        fleet.list(3, Health::Draining);
        all_know_the_drain_of(&fleet, 3).await;
        // For longer than the grace: each request that goes there now is a breach.
        serves_on(&fleet, 800).await;
        load.set(false);
        holds(&fleet).await;
    });
}
