//! Fleets of daemon processes under faults. The outcome of each request is judged from the records of the stand-in clients, app
//! servers and discovery. No step waits for a fixed time; each waits until the records show an event.

mod book;

use std::path::PathBuf;
use std::time::Duration;

use gradepaddle_standins::books::{Answer, Books, Health, Turn};
use gradepaddle_standins::fleet::{Fleet, Plan};
use gradepaddle_standins::on_one_thread;
use gradepaddle_standins::relay::{CLEAR, Way};
use gradepaddle_standins::server::{Make, Mood};

const REQUEST_INTERVAL: Duration = Duration::from_millis(3);

fn plan(processes: usize, servers: usize) -> Plan {
    let program = PathBuf::from(env!("CARGO_BIN_EXE_gradepaddle"));
    Plan { program, processes, servers, zones: 2, make: Make::default(), links: Vec::new() }
}

fn served(books: &Books) -> usize {
    books.count(|answer| matches!(answer, Answer::Served(_)))
}

/// Waits until this many more requests are served.
async fn wait_until_served(fleet: &Fleet, more: usize) {
    let before = fleet.ledger.read(served);
    fleet.ledger.until("more that is served", |books| served(books) >= before + more).await;
}

/// Waits until each of these processes has served this many more requests.
async fn wait_until_each_served(fleet: &Fleet, places: &[usize], more: usize) {
    for place in places {
        let number = fleet.process(*place).number;
        let before = fleet.ledger.read(|books| books.served_by(number));
        fleet.ledger.until("what one process serves", |books| books.served_by(number) >= before + more).await;
    }
}

/// Waits until discovery has sent the drain of this app server to every process.
async fn wait_until_drain_known(fleet: &Fleet, server: usize) {
    for process in fleet.processes.iter().flatten() {
        let is_known = |books: &Books| books.last_told(process.number, server) == Some(Health::Draining);
        fleet.ledger.until("what discovery tells", is_known).await;
    }
}

async fn assert_no_breaches(fleet: &Fleet) {
    let breaches = fleet.verdict().await;
    let text: Vec<String> = breaches.iter().map(ToString::to_string).collect();
    assert!(text.is_empty(), "{}\n{}", fleet.ledger.read(Books::summary), text.join("\n"));
}

/// Guards against the loss of most processes: seven in ten are killed at once under load, the remaining ones still serve, the
/// killed ones restart with nothing but the list, and every request is accounted for.
#[test]
fn seven_in_ten_are_killed_at_once_and_come_back() {
    on_one_thread(async {
        let mut fleet = Fleet::start(plan(10, 4)).await.expect("a fleet");
        let load = fleet.traffic(REQUEST_INTERVAL);
        wait_until_served(&fleet, 200).await;
        let killed: Vec<usize> = (0..7).collect();
        let mut dead = Vec::new();
        for place in &killed {
            dead.extend(fleet.kill(*place, Duration::ZERO).expect("a process"));
        }
        for process in dead {
            process.ended().await;
        }
        wait_until_each_served(&fleet, &[7, 8, 9], 20).await;
        fleet.start_processes(&killed).await.expect("they start");
        wait_until_each_served(&fleet, &killed, 5).await;
        load.set(false);
        assert_no_breaches(&fleet).await;
        // Only open requests of the killed processes may be lost; any other loss is a breach.
        let lost = fleet.ledger.read(|books| books.count(|answer| *answer == Answer::Lost));
        assert!(lost < 100, "{lost} lost");
    });
}

/// Guards processes that are resumed after a pause: requests that were open meanwhile end without a second run or a wrong
/// answer, and then the processes serve as before.
#[test]
fn half_are_paused_and_resumed() {
    on_one_thread(async {
        let fleet = Fleet::start(plan(6, 4)).await.expect("a fleet");
        let load = fleet.traffic(REQUEST_INTERVAL);
        wait_until_served(&fleet, 100).await;
        for place in 0..3 {
            fleet.process(place).pause().expect("a process");
        }
        wait_until_each_served(&fleet, &[3, 4, 5], 100).await;
        for place in 0..3 {
            fleet.process(place).resume().expect("a process");
        }
        wait_until_each_served(&fleet, &[0, 1, 2], 10).await;
        load.set(false);
        assert_no_breaches(&fleet).await;
    });
}

/// Guards planned ends: a process that is asked to end answers all of its open requests.
#[test]
fn all_are_asked_to_end_one_after_the_other() {
    on_one_thread(async {
        let mut fleet = Fleet::start(plan(4, 3)).await.expect("a fleet");
        for place in 0..4 {
            let load = fleet.traffic(REQUEST_INTERVAL);
            wait_until_served(&fleet, 50).await;
            // The front stops sending to it before it is asked.
            load.set(false);
            let number = fleet.process(place).number;
            fleet.process(place).ask_to_end().expect("a process");
            fleet.process(place).ended().await;
            let status = fleet.ledger.read(|books| books.last_turn(number));
            assert_eq!(status, Some(Turn::Ended(Some(0))));
            fleet.start_processes(&[place]).await.expect("it starts");
        }
        assert_no_breaches(&fleet).await;
        assert_eq!(fleet.ledger.read(|books| books.count(|answer| *answer == Answer::Lost)), 0);
    });
}

/// Guards the replacement of all app servers under load: the old ones drain and are removed, and every process finds the new
/// ones.
#[test]
fn all_app_servers_are_replaced_under_load() {
    on_one_thread(async {
        let mut fleet = Fleet::start(plan(3, 3)).await.expect("a fleet");
        let load = fleet.traffic(REQUEST_INTERVAL);
        wait_until_served(&fleet, 50).await;
        for old in 0..3 {
            let new = fleet.add_server(0).await.expect("an app server");
            fleet.list(old, Health::Draining);
            wait_until_drain_known(&fleet, old).await;
            fleet.ledger.until("the new one's first", |books| books.begun(new) > 0).await;
            fleet.list(old, Health::Removed);
            wait_until_served(&fleet, 30).await;
            fleet.vanish(old);
        }
        wait_until_served(&fleet, 100).await;
        load.set(false);
        assert_no_breaches(&fleet).await;
    });
}

/// Guards processes that each lose the connection to a different app server: nothing is run twice or refused wrongly, all
/// processes still serve by the other app servers, and use theirs again once the link is healed.
#[test]
fn each_process_is_cut_off_from_another_app_server() {
    on_one_thread(async {
        let links = vec![(0, 0), (1, 1), (2, 2)];
        let fleet = Fleet::start(Plan { links, ..plan(3, 3) }).await.expect("a fleet");
        let load = fleet.traffic(REQUEST_INTERVAL);
        wait_until_served(&fleet, 100).await;
        for n in 0..3 {
            // One way only: requests arrive, responses do not.
            fleet.link(n, n).set(CLEAR, Way::Silent);
        }
        wait_until_each_served(&fleet, &[0, 1, 2], 100).await;
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
        assert_no_breaches(&fleet).await;
    });
}

/// Guards against an app server that fails in each possible way, with three processes at once.
#[test]
fn app_servers_fail_reset_corrupt_and_refuse() {
    on_one_thread(async {
        let fleet = Fleet::start(plan(3, 4)).await.expect("a fleet");
        let load = fleet.traffic(REQUEST_INTERVAL);
        wait_until_served(&fleet, 50).await;
        for mood in [Mood::Fails, Mood::Resets, Mood::Spoils, Mood::Full, Mood::Hangs] {
            let bad = fleet.servers[0].as_ref().expect("an app server");
            bad.set(mood);
            wait_until_each_served(&fleet, &[0, 1, 2], 30).await;
            bad.set(Mood::Well);
        }
        load.set(false);
        assert_no_breaches(&fleet).await;
    });
}

/// Guards a restart while discovery is down: processes start and serve with their configured list, and receive changes once
/// discovery is back.
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
        let load = fleet.traffic(REQUEST_INTERVAL);
        wait_until_each_served(&fleet, &[0, 1, 2, 3], 30).await;
        fleet.list(2, Health::Draining);
        fleet.discovery.set_up(true);
        wait_until_drain_known(&fleet, 2).await;
        wait_until_served(&fleet, 100).await;
        load.set(false);
        assert_no_breaches(&fleet).await;
    });
}

/// Guards processes whose watches fall silent together while an app server drains: each opens a new watch in time, none sends
/// the app server a request after the drain counts as known, and none takes the silence for an outage.
#[test]
fn half_of_all_watches_fall_silent_while_an_app_server_drains() {
    on_one_thread(async {
        let fleet = Fleet::start(plan(6, 4)).await.expect("a fleet");
        let load = fleet.traffic(REQUEST_INTERVAL);
        wait_until_each_served(&fleet, &[0, 1, 2, 3, 4, 5], 10).await;
        for place in 0..3 {
            fleet.discovery.fall_silent(fleet.process(place).number);
        }
        fleet.list(3, Health::Draining);
        wait_until_drain_known(&fleet, 3).await;
        // This takes longer than the grace, after which each request to that app server is a breach.
        wait_until_served(&fleet, 800).await;
        load.set(false);
        assert_no_breaches(&fleet).await;
    });
}
