use super::*;

const ALLOWED: Allowed = Allowed { grace: 1_000_000, slack: 50_000 };

fn asked(repeats: Repeats) -> Fact {
    Fact::Asked { request: 1, process: 0, repeats, waits: 500_000 }
}

fn came(server: usize, group: usize, took: Took) -> Fact {
    Fact::Came { request: 1, server, group, took }
}

fn begun(server: usize) -> Fact {
    came(server, 0, Took::Begun(format!("made at {server}")))
}

fn heard(answer: Answer) -> Fact {
    Fact::Heard { request: 1, answer }
}

fn served(server: usize) -> Fact {
    heard(Answer::Served(format!("made at {server}")))
}

fn turned(turn: Turn) -> Fact {
    Fact::Turned { process: 0, turn }
}

fn told(health: Health) -> Fact {
    Fact::Told { process: 0, server: 1, health }
}

fn drains() -> Fact {
    Fact::Changed { server: 1, health: Health::Draining }
}

fn silenced() -> Fact {
    Fact::Silenced { process: 0 }
}

/// Guards against missed violations and false positives: each history violates exactly the expected rule, or none.
#[test]
fn each_history_violates_only_the_expected_rule() {
    use Answer::{Failed, GivenUp, Lost, Refused};
    type Seen = Vec<(u64, Fact)>;
    let keyed = Repeats::Keyed { window: 300_000 };
    // One case per line.
    #[rustfmt::skip]
    let cases: Vec<(&str, Seen, Option<Rule>)> = vec![
        ("served", vec![(0, asked(Repeats::Unsafe)), (1, begun(0)), (2, served(0))], None),
        ("two answers", vec![(0, asked(Repeats::Safe)), (1, begun(0)), (2, served(0)), (3, heard(Failed(500)))], Some(Rule::OneAnswer)),
        ("an answer that nobody made", vec![(0, asked(Repeats::Safe)), (1, begun(0)), (2, served(1))], Some(Rule::OneAnswer)),
        ("what nobody asked for", vec![(1, begun(0))], Some(Rule::OneAnswer)),
        ("an unsafe one twice", vec![(0, asked(Repeats::Unsafe)), (1, begun(0)), (2, begun(1)), (3, served(1))], Some(Rule::NoSecondRun)),
        ("a safe one twice", vec![(0, asked(Repeats::Safe)), (1, begun(0)), (2, begun(1)), (3, served(1))], None),
        ("turned away, then run", vec![(0, asked(Repeats::Unsafe)), (1, came(0, 0, Took::TurnedAway)), (2, begun(1)), (3, served(1))], None),
        ("a keyed one in its group", vec![(0, asked(keyed)), (1, begun(0)), (2, begun(1)), (3, served(1))], None),
        ("a keyed one in another group", vec![(0, asked(keyed)), (1, begun(0)), (2, came(1, 1, Took::Begun("x".into()))), (3, served(0))], Some(Rule::NoSecondRun)),
        ("a keyed one too late", vec![(0, asked(keyed)), (1, begun(0)), (400_000, begun(1)), (400_001, served(1))], Some(Rule::NoSecondRun)),
        ("an answer and more", vec![(0, asked(Repeats::Safe)), (1, begun(0)), (2, heard(Answer::Doubled))], Some(Rule::OneAnswer)),
        ("never read", vec![(0, asked(Repeats::Unsafe)), (1, Fact::Unread { request: 1 })], None),
        ("read all the same", vec![(0, asked(Repeats::Unsafe)), (1, Fact::Unread { request: 1 }), (2, begun(0))], Some(Rule::Answered)),
        ("no answer", vec![(0, asked(Repeats::Safe)), (600_000, heard(GivenUp))], Some(Rule::Answered)),
        ("lost at its end", vec![(0, asked(Repeats::Safe)), (1, turned(Turn::Asked)), (2, heard(Lost))], Some(Rule::Answered)),
        ("killed with it", vec![(0, asked(Repeats::Safe)), (1, turned(Turn::Killed)), (2, heard(Lost))], None),
        ("asked while paused, and let go within its time", vec![(0, turned(Turn::Paused)), (1, asked(Repeats::Safe)), (9, turned(Turn::Resumed)), (600_000, heard(GivenUp))], None),
        ("paused with it", vec![(0, asked(Repeats::Safe)), (1, turned(Turn::Paused)), (600_000, heard(GivenUp))], None),
        ("asked while paused", vec![(0, turned(Turn::Paused)), (1, asked(Repeats::Safe)), (600_000, heard(GivenUp))], None),
        ("asked after a pause", vec![(0, turned(Turn::Paused)), (1, turned(Turn::Resumed)), (2, asked(Repeats::Safe)), (600_000, heard(GivenUp))], Some(Rule::Answered)),
        ("within the grace", vec![(0, told(Health::Draining)), (1, asked(Repeats::Safe)), (900_000, begun(1)), (900_001, served(1))], None),
        ("after the grace", vec![(0, told(Health::Draining)), (1_000_000, asked(Repeats::Safe)), (1_200_000, begun(1)), (1_200_001, served(1))], Some(Rule::DrainKept)),
        ("removed later changes nothing", vec![(0, told(Health::Draining)), (900_000, told(Health::Removed)), (1_000_000, asked(Repeats::Safe)), (1_200_000, begun(1)), (1_200_001, served(1))], Some(Rule::DrainKept)),
        ("missed in a silence", vec![(0, silenced()), (9, drains()), (7_050_000, asked(Repeats::Safe)), (7_100_000, begun(1)), (7_100_001, served(1))], Some(Rule::DrainKept)),
        ("in a silence, before it counts", vec![(0, silenced()), (9, drains()), (6_900_000, asked(Repeats::Safe)), (7_000_000, begun(1)), (7_000_001, served(1))], None),
        ("a silence that was over", vec![(0, silenced()), (8, Fact::Hears { process: 0 }), (9, drains()), (7_050_000, asked(Repeats::Safe)), (7_100_000, begun(1)), (7_100_001, served(1))], None),
        ("up again", vec![(0, told(Health::Draining)), (9, told(Health::Up)), (1_000_000, asked(Repeats::Safe)), (1_200_000, begun(1)), (1_200_001, served(1))], None),
        ("refused what ran", vec![(0, asked(Repeats::Unsafe)), (1, begun(0)), (2, heard(Refused))], Some(Rule::HonestRefusal)),
        ("refused, then it runs", vec![(0, asked(Repeats::Unsafe)), (1, heard(Refused)), (2, begun(0))], Some(Rule::HonestRefusal)),
        ("refused unseen", vec![(0, asked(Repeats::Unsafe)), (1, came(0, 0, Took::TurnedAway)), (2, heard(Refused))], None),
        ("refused a safe one", vec![(0, asked(Repeats::Safe)), (1, begun(0)), (2, heard(Refused))], None),
    ];
    for (name, facts, rule) in cases {
        let mut books = Books::default();
        facts.into_iter().for_each(|(at, fact)| books.write(at, fact));
        let breaches = books.verdict(ALLOWED);
        let rules: Vec<Rule> = breaches.iter().map(|breach| breach.rule).collect();
        assert_eq!(rules, rule.into_iter().collect::<Vec<_>>(), "{name}");
        assert!(breaches.iter().all(|breach| breach.to_string().contains("request 1")), "{name}");
    }
}
