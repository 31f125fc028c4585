//! Tests of whole simulation runs: the rule monitors detect violations, troubles have their effect, no
//! request is lost, and runs are reproducible.

use std::rc::Rc;

use gradepaddle::{Action, Event, Id, ListKind, Micros, ServerState, Settings};
use gradepaddle_dispatch::Chooser;
use gradepaddle_emulator::evaluation::Rule;
use gradepaddle_emulator::policy::Policy;
use gradepaddle_emulator::result::Outcome;
use gradepaddle_emulator::scenario::{Scenario, Trouble, TroubleKind};
use gradepaddle_emulator::{PolicyUnderTest, run};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

fn scenario(of_capacity: f64, troubles: Vec<Trouble>) -> Scenario {
    let mut scenario = Scenario { name: "test".into(), troubles, ..Scenario::standard() };
    scenario.day.length_s = 20.0;
    scenario.load.of_capacity = of_capacity;
    scenario
}

fn trouble(kind: TroubleKind) -> Trouble {
    Trouble { at_s: 5.0, for_s: 8.0, kind }
}

fn run_outcome(scenario: &Scenario, policy: impl Into<PolicyUnderTest>) -> Outcome {
    run(scenario, policy, 3).expect("a scenario that makes sense").outcome
}

/// How a chooser misbehaves.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Violation {
    /// Fails a request that is already answered.
    AnswersTwice,
    /// Ignores all requests.
    Forgets,
    /// Sends another attempt whatever the outcome of the last one.
    Effect,
    /// Sends all requests to the first app server, even if that drains.
    IgnoresDrains,
    /// Sends all requests to the app server that started last.
    RushesNew,
    /// Sends an attempt and refuses the request at the same time.
    RefusesWhatRuns,
}

struct BrokenChooser {
    violation: Violation,
    known: Vec<Id>,
    first: Option<Id>,
    ends: Vec<(Id, Micros)>,
}

impl BrokenChooser {
    fn send(&self, now: Micros, request: Id, out: &mut Vec<Action>) {
        let server = match self.violation {
            Violation::IgnoresDrains => self.first.clone(),
            Violation::RushesNew => self.known.last().cloned(),
            _ => self.known.get((now % 7) as usize).cloned(),
        };
        let until = now + 6_000_000;
        out.extend(server.map(|server| Action::Send { request, server, deadline: until }));
    }
}

impl Chooser for BrokenChooser {
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::List { kind, servers } => {
                if kind == ListKind::Cached {
                    out.push(Action::Subscribe);
                }
                for server in servers {
                    self.known.retain(|id| *id != server.id);
                    if server.state == ServerState::Ready {
                        self.known.push(server.id);
                    }
                }
                self.first = self.first.take().or(self.known.first().cloned());
            }
            Event::Request(arrival) if self.violation != Violation::Forgets => {
                self.send(now, arrival.id.clone(), out);
                if self.violation == Violation::RefusesWhatRuns {
                    out.push(Action::Reject { request: arrival.id, retry_after: 1 });
                } else {
                    self.ends.push((arrival.id, now + arrival.ttl));
                    out.push(Action::Wake { at: now + arrival.ttl });
                }
            }
            Event::AttemptEnded(ended) => {
                let request: Id = ended.request.into();
                match self.violation {
                    Violation::AnswersTwice => out.push(Action::Fail { request }),
                    Violation::Effect if ended.attempt < 3 => self.send(now, request, out),
                    _ if !ended.request_finished => out.push(Action::Fail { request }),
                    _ => {}
                }
            }
            _ => {}
        }
    }
}

fn violation(violation: Violation) -> PolicyUnderTest {
    let make = move |_: &Settings, _, _: &_| -> Result<Box<dyn Chooser>, _> {
        Ok(Box::new(BrokenChooser { violation, known: Vec::new(), first: None, ends: Vec::new() }))
    };
    PolicyUnderTest {
        name: format!("{violation:?}"),
        factory: Rc::new(make),
        needs_ground_truth: false,
        unguarded: true,
    }
}

/// Checks that each rule monitor detects a policy that breaks its rule and records the request's history, and
/// that the production policy breaks none under the same scenario.
#[test]
fn each_monitor_fires_on_a_policy_made_to_break_its_rule() {
    let resets = || trouble(TroubleKind::Resets { rate: 0.3 });
    let shrink = || trouble(TroubleKind::Shrink { to: 0.1, drain_s: 6.0 });
    let growth = || trouble(TroubleKind::Growth { servers: 1 });
    let cases = [
        (Violation::AnswersTwice, Rule::OneAnswer, vec![]),
        (Violation::Forgets, Rule::Answered, vec![]),
        (Violation::Effect, Rule::NoSecondRun, vec![resets()]),
        (Violation::IgnoresDrains, Rule::DrainKept, vec![shrink()]),
        (Violation::RushesNew, Rule::ColdBorne, vec![growth()]),
        (Violation::RefusesWhatRuns, Rule::HonestRefusal, vec![]),
    ];
    for (what, rule, troubles) in cases {
        let mut day = scenario(0.9, troubles);
        // Balancers learn of the new app server while it is still cold.
        (day.discovery.notice_s, day.discovery.lag_s) = ([0.1, 0.2], 0.1);
        let broken = run_outcome(&day, violation(what));
        let count = broken.broken.iter().find(|(of, _)| *of == rule).map_or(0, |(_, count)| *count);
        assert!(count > 0, "{what:?} does not break {rule}: {:?}", broken.broken);
        let first = &broken.breaches[0];
        assert!(first.history.iter().any(|line| line.contains("BROKEN")), "{what:?}: {first:?}");
        let kept = run_outcome(&day, Policy::Module);
        assert_eq!((kept.breaches_in_all(), kept.defects), (0, 0), "{what:?}: {:?}", kept.breaches.first());
    }
}

/// Checks that runs are reproducible, also on different threads, and that another seed gives another result.
#[test]
fn equal_scenario_seed_and_policy_give_equal_results() {
    let troubles =
        vec![trouble(TroubleKind::HotKey { share: 0.2, keys: 2 }), trouble(TroubleKind::DiscoveryDown {})];
    let day = scenario(1.5, troubles);
    for policy in [Policy::Module, Policy::PeakEwma] {
        let threads: Vec<_> = (0..2)
            .map(|_| {
                let day = day.clone();
                std::thread::spawn(move || format!("{:?}", run_outcome(&day, policy)))
            })
            .collect();
        let texts: Vec<String> = threads.into_iter().map(|thread| thread.join().expect("a run")).collect();
        assert_eq!(texts[0], texts[1]);
        let other = run(&day, policy, 4).expect("a run").outcome;
        assert_ne!(format!("{other:?}"), texts[0]);
    }
}

/// Checks that arrivals depend neither on the policy nor on troubles of app servers, so that policies can be
/// compared on the same load.
#[test]
fn arrivals_depend_neither_on_the_policy_nor_on_troubles() {
    let calm = run_outcome(&scenario(0.9, vec![]), Policy::Module);
    let random = run_outcome(&scenario(0.9, vec![]), Policy::Random);
    let hang = run_outcome(&scenario(0.9, vec![trouble(TroubleKind::Hang { servers: 3 })]), Policy::Module);
    for other in [&random, &hang] {
        let asked =
            |outcome: &Outcome| outcome.seconds[..20].iter().map(|second| second.asked).collect::<Vec<_>>();
        assert_eq!(asked(&calm), asked(other));
    }
    assert!(calm.score.whole > 0.9, "{:?}", calm.score);
}

/// Checks that each trouble has the effect that it should have, and none before it begins.
#[test]
fn each_trouble_has_its_effect_and_none_before_it_begins() {
    type EffectCheck<'a> = Box<dyn Fn(&Outcome) -> bool + 'a>;
    let before =
        |outcome: &Outcome| outcome.seconds[1..4].iter().map(|s| (s.asked, s.attempts)).collect::<Vec<_>>();
    let calm = run_outcome(&scenario(0.8, vec![]), Policy::Random);
    let up = |outcome: &Outcome, at: usize| outcome.seconds[at].up;
    let asked = |outcome: &Outcome| outcome.seconds[6..13].iter().map(|s| s.asked).sum::<u64>();
    let failures = |outcome: &Outcome| outcome.seconds[5..14].iter().map(|s| s.failures).sum::<u64>();
    let cases: Vec<(TroubleKind, EffectCheck<'_>)> = vec![
        (TroubleKind::Surge { factor: 2.0 }, Box::new(|o| asked(o) > asked(&calm) * 3 / 2)),
        (
            TroubleKind::Shrink { to: 0.5, drain_s: 1.0 },
            Box::new(|o| up(o, 16) == 5 && asked(o) < asked(&calm)),
        ),
        (TroubleKind::Growth { servers: 4 }, Box::new(|o| up(o, 8) == 14)),
        (TroubleKind::ServerCrash { servers: 2 }, Box::new(|o| up(o, 8) == 8 && up(o, 15) == 10)),
        (TroubleKind::ZoneRestart { zone: 0 }, Box::new(|o| up(o, 8) == 6 && up(o, 15) == 10)),
        (TroubleKind::Hang { servers: 3 }, Box::new(|o| up(o, 8) == 10 && o.score.whole < calm.score.whole)),
        (TroubleKind::Errors { servers: 3, rate: 1.0 }, Box::new(|o| failures(o) > failures(&calm) + 50)),
        (TroubleKind::Slow { servers: 3, factor: 6.0 }, Box::new(|o| o.score.whole < calm.score.whole)),
        (TroubleKind::Resets { rate: 0.2 }, Box::new(|o| failures(o) > failures(&calm) + 20)),
        (TroubleKind::ZoneCut { zone: 1 }, Box::new(|o| o.score.whole < calm.score.whole)),
        (TroubleKind::LinkLost { from: 0, to: 1 }, Box::new(|o| o.score.whole < calm.score.whole)),
        (TroubleKind::BalancerCrash { share: 0.34 }, Box::new(|o| failures(o) > failures(&calm))),
        (
            TroubleKind::RetryStorm { retries: 9 },
            // Without another trouble there is little to retry, so it changes almost nothing.
            Box::new(|o| o.asked == calm.asked && o.breaches_in_all() == calm.breaches_in_all()),
        ),
        (TroubleKind::HotKey { share: 0.5, keys: 1 }, Box::new(|o| o.asked > 0 && o.held != calm.held)),
        (TroubleKind::Rolling { batch: 2, drain_s: 1.0 }, Box::new(|o| o.warmth.len() == 20)),
        (TroubleKind::DiscoveryWrong { share: 0.6 }, Box::new(|o| o.held != calm.held && up(o, 10) == 10)),
        (TroubleKind::DiscoveryDown {}, Box::new(|o| o.asked == calm.asked && up(o, 10) == 10)),
        (TroubleKind::DiscoveryStale { lag_s: 5.0 }, Box::new(|o| o.score == calm.score)),
        (TroubleKind::BalancerRestart { share: 1.0 }, Box::new(|o| o.breaches_in_all() == 0)),
    ];
    for (kind, has_effect) in cases {
        let outcome = run_outcome(&scenario(0.8, vec![trouble(kind.clone())]), Policy::Random);
        assert!(has_effect(&outcome), "{kind:?}: {:?}", outcome.score);
        assert_eq!(before(&outcome), before(&calm), "{kind:?} is felt before it begins");
    }
}

/// Checks that balancers learn of changes only from the list: not at all while discovery is down, and later
/// while it is stale.
#[test]
fn an_outage_or_lag_of_discovery_delays_reactions_to_changes() {
    let shrink = Trouble { at_s: 6.0, for_s: 2.0, kind: TroubleKind::Shrink { to: 0.5, drain_s: 1.0 } };
    let outage = Trouble { at_s: 4.0, for_s: 12.0, kind: TroubleKind::DiscoveryDown {} };
    let stale = Trouble { at_s: 4.0, for_s: 12.0, kind: TroubleKind::DiscoveryStale { lag_s: 8.0 } };
    let refused = |troubles: Vec<Trouble>| {
        let outcome = run_outcome(&scenario(1.1, troubles), Policy::Random);
        // Attempts beyond the first: requests that were rejected and sent to another app server.
        let seconds = &outcome.seconds[6..16];
        seconds.iter().map(|s| s.attempts as i64 - s.asked as i64).sum::<i64>()
    };
    let told = refused(vec![shrink.clone()]);
    let (down, late) = (refused(vec![outage, shrink.clone()]), refused(vec![stale, shrink]));
    assert!(down > told + 20 && late > told + 20, "told {told}, list down {down}, list stale {late}");
}

/// Checks that the simulator loses no request: each logical request ends in exactly one way under random
/// troubles, and the guard prevents breaches of the other rules.
#[test]
fn every_arrival_ends_in_exactly_one_way() {
    let kinds = prop_oneof![
        (0.0..1.0).prop_map(|rate| TroubleKind::Resets { rate }),
        (0.1..1.0).prop_map(|share| TroubleKind::BalancerCrash { share }),
        (1u32..6).prop_map(|servers| TroubleKind::ServerCrash { servers }),
        (1u32..9).prop_map(|servers| TroubleKind::Hang { servers }),
        (0u32..3).prop_map(|zone| TroubleKind::ZoneCut { zone }),
        (0u32..3).prop_map(|zone| TroubleKind::ZoneRestart { zone }),
        (0.1..1.0).prop_map(|to| TroubleKind::Shrink { to, drain_s: 2.0 }),
        (1u32..20).prop_map(|retries| TroubleKind::RetryStorm { retries }),
        Just(TroubleKind::BalancerRestart { share: 1.0 }),
        Just(TroubleKind::DiscoveryDown {}),
    ];
    let troubles = prop::collection::vec((0.5..6.0, 0.5..5.0, kinds), 0..4);
    let days = (troubles, 0.2..1.6f64, 0..Policy::ALL.len(), 0.0..0.2f64, any::<u64>());
    let config =
        Config { cases: 40, rng_seed: RngSeed::Fixed(5), failure_persistence: None, ..Config::default() };
    TestRunner::new(config)
        .run(&days, |(troubles, load, policy, leaves, seed)| {
            let troubles = troubles.into_iter().map(|(at_s, for_s, kind)| Trouble { at_s, for_s, kind });
            let mut day = scenario(load, troubles.collect());
            (day.day.length_s, day.day.warm_up_s, day.clients.leaves) = (8.0, 0.0, leaves);
            let run = run(&day, Policy::ALL[policy], seed).expect("a run");
            let outcome = run.outcome;
            prop_assert_eq!(outcome.endings().iter().sum::<u64>(), outcome.asked);
            prop_assert!(run.tries >= outcome.asked);
            // The guard holds for every policy: no second run, no attempt to a draining app server, one
            // answer per request.
            for rule in
                [Rule::OneAnswer, Rule::NoSecondRun, Rule::DrainKept, Rule::HonestRefusal, Rule::Answered]
            {
                let count = outcome.broken.iter().find(|(of, _)| *of == rule).map_or(0, |(_, count)| *count);
                prop_assert_eq!(count, 0, "{}: {:?}", rule, outcome.breaches.first());
            }
            Ok(())
        })
        .expect("all days");
}

/// Checks that memory doesn't grow with the length of a run: the number of pending events stays bounded.
#[test]
fn the_queue_does_not_grow_with_the_length_of_the_day() {
    let peak = |length| {
        let mut day = scenario(1.1, vec![]);
        day.day.length_s = length;
        run(&day, Policy::Module, 1).expect("a run").queue
    };
    let (short, long) = (peak(20.0), peak(200.0));
    assert!(long < short * 2, "{short} events wait at most in 20 s, {long} in 200 s");
}
