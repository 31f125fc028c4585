//! Whole simulation runs of the features that the second deployment uses: probes and their cost, load
//! reports, idempotency scopes, work hints, worth by work, noisy neighbours and heavy tails.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use gradepaddle::{Action, Event, Id, ListKind, Micros, Settings};
use gradepaddle_dispatch::Chooser;
use gradepaddle_emulator::evaluation::Rule;
use gradepaddle_emulator::policy::Policy;
use gradepaddle_emulator::result::Outcome;
use gradepaddle_emulator::scenario::{
    DedupScope, Effect, Reporting, RequestClass, Scenario, Shape, Trouble, TroubleKind, WorthBy,
};
use gradepaddle_emulator::{PolicyUnderTest, run};

/// A scenario with one class of identical requests, one zone, and no randomness among the app servers.
fn plain(effect: Effect) -> Scenario {
    let mut day = Scenario::standard();
    day.classes = vec![RequestClass {
        name: "only".into(),
        share: 1.0,
        work_ms: 40.0,
        shape: Shape::Fixed,
        cv: 0.0,
        attempt_cv: 0.0,
        io_ms: 0.0,
        aim_ms: 600.0,
        deadline_ms: 3000.0,
        worth: 1.0,
        effect,
        group: DedupScope::Zone,
        window_ms: 6000.0,
    }];
    day.day.length_s = 12.0;
    (day.fleet.zones, day.fleet.servers, day.fleet.speed_cv, day.fleet.key_gain) = (1, 4, 0.0, 0.0);
    (day.fleet.pause_every_s, day.fleet.error_rate, day.clients.retries) = (0.0, 0.0, 0);
    (day.balancers.count, day.load.of_capacity, day.load.swing) = (1, 0.3, 0.0);
    day.rules.probes = true;
    day
}

fn run_outcome(day: &Scenario, policy: impl Into<PolicyUnderTest>) -> Outcome {
    run(day, policy, 5).expect("a day that makes sense").outcome
}

fn count(outcome: &Outcome, rule: Rule) -> u64 {
    outcome.broken.iter().find(|(of, _)| *of == rule).map_or(0, |(_, count)| *count)
}

/// What the chooser of a test was told.
#[derive(Default)]
struct Recorded {
    /// By probe: outcome, duration and reported queue.
    probes: RefCell<Vec<(gradepaddle::Outcome, Micros, Option<f64>)>>,
    /// Number of load reports in answers to requests.
    reports: Cell<usize>,
    hints: RefCell<Vec<f64>>,
}

/// Sends the attempts of each request to given app servers, and optionally probes the first app server when a
/// request arrives.
struct ScriptedChooser {
    recorded: Rc<Recorded>,
    known: Vec<Id>,
    probes: bool,
    /// Positions of the app servers for the attempts of a request, in order.
    turns: &'static [usize],
    /// Delay before the next attempt.
    pause: Micros,
    open: Vec<(Id, usize, Micros, Micros)>,
}

impl ScriptedChooser {
    fn send_due_attempts(&mut self, now: Micros, out: &mut Vec<Action>) {
        let (known, turns) = (&self.known, self.turns);
        for (id, sent, at, until) in &mut self.open {
            if *sent < turns.len() && *at <= now && !known.is_empty() {
                let server = known[turns[*sent] % known.len()].clone();
                out.push(Action::Send { request: id.clone(), server, deadline: *until });
                (*sent, *at) = (*sent + 1, now + self.pause);
            }
        }
        let next =
            self.open.iter().filter(|(_, sent, ..)| *sent < turns.len()).map(|(_, _, at, _)| *at).min();
        out.extend(next.map(|at| Action::Wake { at }));
    }
}

impl Chooser for ScriptedChooser {
    fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::List { kind, servers } => {
                if kind == ListKind::Cached {
                    out.push(Action::Subscribe);
                }
                self.known = servers.into_iter().map(|server| server.id).collect();
            }
            Event::Request(arrival) => {
                self.recorded.hints.borrow_mut().extend(arrival.work_hint);
                if self.probes
                    && let Some(server) = self.known.first()
                {
                    out.push(Action::Probe { server: server.clone() });
                }
                self.open.push((arrival.id, 0, now, now + arrival.ttl));
            }
            Event::ProbeEnded { outcome, took, report, .. } => {
                let queue = report.and_then(|report| report.queue);
                self.recorded.probes.borrow_mut().push((outcome, took, queue));
            }
            Event::AttemptEnded(ended) => {
                self.recorded.reports.set(self.recorded.reports.get() + usize::from(ended.report.is_some()));
                if ended.request_finished {
                    self.open.retain(|(id, ..)| **id != *ended.request);
                }
            }
            Event::ClientDisconnected { request } => self.open.retain(|(id, ..)| **id != *request),
            _ => {}
        }
        self.send_due_attempts(now, out);
    }
}

fn scripted_policy(probes: bool, turns: &'static [usize], pause: Micros) -> (PolicyUnderTest, Rc<Recorded>) {
    let recorded = Rc::new(Recorded::default());
    let told = recorded.clone();
    let make = move |_: &Settings, _, _: &_| -> Result<Box<dyn Chooser>, _> {
        let (recorded, known, open) = (told.clone(), Vec::new(), Vec::new());
        Ok(Box::new(ScriptedChooser { recorded, known, probes, turns, pause, open }))
    };
    (
        PolicyUnderTest {
            name: "tells".into(),
            factory: Rc::new(make),
            needs_ground_truth: false,
            unguarded: true,
        },
        recorded,
    )
}

/// Checks that a deep probe waits behind the requests of a full app server and times out, while a shallow one
/// is answered at once, and that both are charged in the score.
#[test]
fn a_deep_probe_waits_in_the_queue_and_a_shallow_one_does_not() {
    let recorded = |deep| {
        let mut day = plain(Effect::Safe);
        // One app server gets 0.9 of the capacity of all four.
        (day.probe.deep, day.load.of_capacity) = (deep, 0.9);
        let (policy, recorded) = scripted_policy(true, &[0], 0);
        let outcome = run_outcome(&day, policy);
        assert!(outcome.probes > 100 && outcome.score.prices[3] > 0.0, "{:?}", outcome.score);
        let probes = recorded.probes.borrow();
        let ended = |what| probes.iter().filter(|(end, ..)| *end == what).count();
        let (ok, late) = (ended(gradepaddle::Outcome::Ok), ended(gradepaddle::Outcome::TimedOut));
        let quick = probes.iter().filter(|(end, took, _)| *end == gradepaddle::Outcome::Ok && *took < 5_000);
        (late > 5 * ok.max(5), quick.count() > 9 * late.max(5))
    };
    assert_eq!((recorded(true), recorded(false)), ((true, false), (false, true)));
}

/// Checks that the work of probes takes capacity from requests: with a probe as heavy as a request always
/// outstanding, one app server serves clearly less.
#[test]
fn the_work_of_a_probe_is_taken_from_requests() {
    for deep in [true, false] {
        let served = |work_us| {
            let mut day = plain(Effect::Safe);
            (day.fleet.servers, day.load.of_capacity) = (1, 0.9);
            (day.probe.work_us, day.probe.deep, day.probe.timeout_ms) = (work_us, deep, 5000.0);
            let (policy, _) = scripted_policy(true, &[0], 0);
            run_outcome(&day, policy).score.whole
        };
        let (light, heavy) = (served(10.0), served(40_000.0));
        assert!(
            light > 0.8 && heavy < light - 0.2,
            "deep {deep}: {light} with light probes, {heavy} with heavy ones"
        );
    }
}

/// Checks that load reports come only with the answers that the scenario configures, and that they show a
/// queue that exists.
#[test]
fn load_reports_come_with_probes_or_with_all_answers() {
    for (how, with_probes, with_answers) in
        [(Reporting::Never, false, false), (Reporting::Probes, true, false), (Reporting::Answers, true, true)]
    {
        let mut day = plain(Effect::Safe);
        (day.report.how, day.probe.deep, day.load.of_capacity) = (how, false, 0.9);
        let (policy, recorded) = scripted_policy(true, &[0], 0);
        run_outcome(&day, policy);
        let probes = recorded.probes.borrow();
        let most = probes.iter().filter_map(|(.., queue)| *queue).reduce(f64::max);
        assert_eq!((most.is_some(), recorded.reports.get() > 0), (with_probes, with_answers), "{how:?}");
        assert!(most.is_none_or(|most| most > 50.0), "{how:?}: one of four takes all, yet {most:?} wait");
    }
}

/// Checks that neither the production policy nor a reference policy sends probes where the rules forbid them,
/// without help of the guard.
#[test]
fn no_policy_probes_where_the_rules_forbid_it() {
    let mut day = plain(Effect::Safe);
    day.troubles =
        vec![Trouble { at_s: 2.0, for_s: 8.0, kind: TroubleKind::Rolling { batch: 1, drain_s: 2.0 } }];
    for policy in [Policy::Module, Policy::QueueProbes100] {
        day.rules.probes = true;
        assert!(run_outcome(&day, policy).probes > 0, "{policy:?}");
        day.rules.probes = false;
        let outcome = run_outcome(&day, policy);
        assert_eq!((outcome.probes, outcome.defects), (0, 0), "{policy:?}");
    }
}

/// Checks the rule on keyed requests: a repeat has no second effect in the group of the first run and within
/// the window, but it has one in another group or later.
#[test]
fn a_keyed_repeat_has_a_second_effect_in_another_group_or_after_the_window() {
    let broken = |zones, turns: &'static [usize], pause, group| {
        let mut day = plain(Effect::Keyed);
        (day.fleet.zones, day.classes[0].group, day.classes[0].window_ms) = (zones, group, 20.0);
        // Long enough that both attempts are in work before the first is answered.
        (day.classes[0].work_ms, day.load.of_capacity) = (200.0, 0.1);
        let (policy, _) = scripted_policy(false, turns, pause);
        count(&run_outcome(&day, policy), Rule::NoSecondRun) > 0
    };
    assert!(!broken(2, &[0], 0, DedupScope::Zone), "once");
    assert!(!broken(2, &[0, 2], 10_000, DedupScope::Zone), "in the same zone and in time");
    assert!(broken(2, &[0, 1], 10_000, DedupScope::Zone), "in the other zone");
    assert!(broken(2, &[0, 2], 30_000, DedupScope::Zone), "too late");
    assert!(!broken(2, &[0, 1], 10_000, DedupScope::All), "in time, and all know of it");
    assert!(broken(1, &[0, 1], 30_000, DedupScope::All), "too late");
    assert!(!broken(2, &[0, 1], 10_000, DedupScope::Cell), "four of them are one cell");
}

/// Checks that the production policy keeps the rules on keyed requests while app servers fail, reset
/// connections and hang: no second effect, and no refusal after a run whose group doesn't cover the whole
/// fleet.
#[test]
fn the_decisions_keep_the_rules_of_keyed_requests_in_trouble() {
    let mut day = plain(Effect::Keyed);
    (day.fleet.zones, day.fleet.servers, day.balancers.count, day.load.of_capacity) = (3, 9, 3, 0.8);
    (day.classes[0].window_ms, day.clients.retries, day.day.length_s) = (400.0, 2, 20.0);
    let during = |kind| Trouble { at_s: 3.0, for_s: 14.0, kind };
    day.troubles = vec![
        during(TroubleKind::Resets { rate: 0.2 }),
        during(TroubleKind::Errors { servers: 2, rate: 0.8 }),
        during(TroubleKind::Hang { servers: 2 }),
    ];
    let outcome = run_outcome(&day, Policy::Module);
    assert_eq!((outcome.breaches_in_all(), outcome.defects), (0, 0), "{:?}", outcome.breaches.first());
    let attempts: u64 = outcome.seconds.iter().map(|second| second.attempts).sum();
    assert!(attempts > outcome.asked + 50, "{attempts} attempts for {} requests", outcome.asked);
}

/// Checks that hints are absent unless configured, that they estimate the work, and that a heavy tail changes
/// the work and its worth but not the hints.
#[test]
fn hints_guess_the_work_but_not_the_heavy_tail() {
    let mut day = plain(Effect::Safe);
    day.classes[0].shape = Shape::Exp;
    let (policy, recorded) = scripted_policy(false, &[0], 0);
    run_outcome(&day, policy);
    assert!(recorded.hints.borrow().is_empty());
    (day.load.hint_cv, day.goal.worth_by) = (Some(0.3), WorthBy::Work);
    let tail = TroubleKind::HeavyTail { class: "only".into(), share: 0.3, factor: 20.0 };
    let tailed = Scenario { troubles: vec![Trouble { at_s: 0.0, for_s: 12.0, kind: tail }], ..day.clone() };
    let look = |day: &Scenario| {
        let (policy, recorded) = scripted_policy(false, &[0], 0);
        let outcome = run_outcome(day, policy);
        let hints = recorded.hints.borrow();
        let mean = hints.iter().sum::<f64>() / hints.len() as f64;
        (mean, outcome.classes[0].worth / outcome.classes[0].asked as f64)
    };
    let ((usual, worth), (with_tail, more)) = (look(&day), look(&tailed));
    assert!(
        (32_000.0..48_000.0).contains(&usual) && (32_000.0..48_000.0).contains(&with_tail),
        "{usual} {with_tail}"
    );
    assert!((0.8..1.2).contains(&worth) && more > 4.0, "{worth} {more}");
}

/// Checks that a noisy neighbour slows its machine only in its active periods, and not after the trouble
/// ends.
#[test]
fn a_noisy_neighbour_slows_its_machine_periodically() {
    let mut day = plain(Effect::Safe);
    (day.fleet.servers, day.load.of_capacity, day.day.length_s) = (1, 0.3, 16.0);
    let kind = TroubleKind::Neighbour { servers: 1, takes: 0.9, every_s: 3.0 };
    let calm = run_outcome(&day, scripted_policy(false, &[0], 0).0);
    day.troubles = vec![Trouble { at_s: 3.0, for_s: 9.0, kind }];
    let crowded = run_outcome(&day, scripted_policy(false, &[0], 0).0);
    let held = |outcome: &Outcome, at: usize| outcome.held[0][at];
    assert!(held(&crowded, 5) > held(&calm, 5) + 5.0, "there from 3 to 6 s: {:?}", crowded.held);
    assert!(held(&crowded, 11) > held(&crowded, 9), "back from 9 to 12 s: {:?}", crowded.held);
    assert!(held(&crowded, 15) < held(&crowded, 12), "gone from 12 s on: {:?}", crowded.held);
}

/// Checks that I/O wait adds to the response time and holds a slot, but needs no core.
#[test]
fn io_wait_takes_time_but_no_core() {
    let served = |io_ms, slots| {
        let mut day = plain(Effect::Safe);
        (day.fleet.servers, day.load.of_capacity, day.fleet.slots_per_core) = (1, 0.4, slots);
        day.classes[0].io_ms = io_ms;
        let outcome = run_outcome(&day, scripted_policy(false, &[0], 0).0);
        (outcome.score.whole, outcome.times[0].p50)
    };
    let ((whole, p50), (full, _)) = (served(200.0, 12), served(200.0, 1));
    assert!(whole > 0.9 && p50 > 230.0, "{whole} {p50}");
    assert!(full < 0.3, "one slot is held while it waits: {full}");
    assert!(served(0.0, 12).1 < p50 - 100.0);
}
