//! The rules detect each fault of a balancer that is broken on purpose.

use gradepaddle_standins::books::{Allowed, Fact, Health, Rule, Turn};
use gradepaddle_standins::broken::{Broken, Fault};
use gradepaddle_standins::clients::Clients;
use gradepaddle_standins::discovery::{Discovery, Entry};
use gradepaddle_standins::fleet::ASKS;
use gradepaddle_standins::server::{AppServer, Make};
use gradepaddle_standins::{Ledger, on_one_thread};

/// The rules that a balancer with this fault breaks in a short run: a request, a drain, two more, its shutdown, and one more.
async fn rules_broken_by(fault: Fault) -> Vec<Rule> {
    let ledger = Ledger::default();
    let (discovery, clients) = (Discovery::new(ledger.clone()), Clients::new(ledger.clone()));
    let mut servers = Vec::new();
    let list = |server: usize, of: &AppServer, health| {
        let (name, dial, zone) = (of.name.clone(), of.address, of.zone());
        discovery.enter(Entry { server, name, dial, zone, health, born_ms: 0 });
    };
    for number in 0..2 {
        let server = AppServer::start(number, Make::default(), ledger.clone()).await.expect("an app server");
        list(number, &server, Health::Up);
        servers.push(server);
    }
    let calls = discovery.open_to(0).await.expect("discovery");
    let balancer = Broken::start(fault, calls).await.expect("a balancer");
    let unsafe_one = ASKS[2];
    let ask = async || assert!(clients.ask(0, balancer.address, unsafe_one).await, "it accepts");
    ask().await;
    list(0, &servers[0], Health::Draining);
    // The first of these requests makes the balancer read the drain. The drain grace below is 0, so that the test does not
    // have to wait for it.
    ask().await;
    ask().await;
    ledger.write(Fact::Turned { process: 0, turn: Turn::Asked });
    balancer.ask_to_end();
    ask().await;
    ledger.until("the last answer", |books| books.heard() == books.asked()).await;
    let mut rules: Vec<Rule> = ledger
        .read(|books| books.verdict(Allowed { grace: 0, slack: 0 }))
        .iter()
        .map(|breach| breach.rule)
        .collect();
    rules.sort();
    rules.dedup();
    rules
}

/// Guards against rules that detect nothing: each fault breaks its own rule and no other, and a balancer without a fault
/// breaks none.
#[test]
fn each_fault_breaks_only_its_own_rule() {
    on_one_thread(async {
        for (fault, rules) in [
            (Fault::Nothing, vec![]),
            (Fault::AnswersTwice, vec![Rule::OneAnswer]),
            (Fault::Invents, vec![Rule::OneAnswer]),
            (Fault::Repeats, vec![Rule::NoSecondRun]),
            (Fault::IgnoresDrains, vec![Rule::DrainKept]),
            (Fault::DropsAtEnd, vec![Rule::Answered]),
            (Fault::RefusesWhatRan, vec![Rule::HonestRefusal]),
        ] {
            assert_eq!(rules_broken_by(fault).await, rules, "{fault:?}");
        }
    });
}
