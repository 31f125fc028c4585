//! Random valid sequences of events: the invariants hold in all of them, and runs are reproducible.

mod common;

use std::collections::BTreeMap;

use common::*;
use gradepaddle::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Arrive { class: usize, key: u8, ttl: u64 },
    End { pick: usize, outcome: usize },
    Leave(usize),
    Change { server: u8, state: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1u64..400).prop_map(|ms| Step::Advance(ms * 1000)),
        4 => (0usize..7, 0u8..20, 20u64..1500)
            .prop_map(|(class, key, ttl)| Step::Arrive { class, key, ttl: ttl * 1000 }),
        4 => (any::<usize>(), 0usize..7).prop_map(|(pick, outcome)| Step::End { pick, outcome }),
        1 => any::<usize>().prop_map(Step::Leave),
        1 => (0u8..6, 0usize..3).prop_map(|(server, state)| Step::Change { server, state }),
    ]
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
];
const GROUPS: [DeduplicationScope; 3] =
    [DeduplicationScope::All, DeduplicationScope::Zone, DeduplicationScope::Cell];

fn classes() -> Vec<Class> {
    let keyed = |group| class(Idempotency::Keyed { scope: group, window: 250_000 });
    let bound = |class: Class| Class { zones: Some(vec![0, 1]), kinds: Some(vec![1]), ..class };
    let mut all = vec![
        class(Idempotency::Safe),
        class(Idempotency::Unsafe),
        keyed(GROUPS[0]),
        keyed(GROUPS[1]),
        keyed(GROUPS[2]),
    ];
    all.extend([bound(class(Idempotency::Safe)), bound(keyed(GROUPS[1]))]);
    all
}

/// Cells of one server, zones of two, alternating machine types.
fn placed(i: u8, state: ServerState) -> Server {
    Server { state, kind: u32::from(i % 2), ..server(&name(i), u32::from(i)) }
}

struct Held {
    class: usize,
    ends: u64,
    closed: bool,
    /// Server, sent, until, outcome.
    attempts: Vec<(u32, u64, u64, Option<Outcome>)>,
}

struct World {
    bench: Bench,
    now: u64,
    held: BTreeMap<String, Held>,
    ready: [bool; 6],
    wakes: Vec<u64>,
    trace: Vec<Action>,
}

impl World {
    fn new() -> World {
        let settings = Settings { classes: classes(), max_attempts: 4, ..Settings::default() };
        let mut bench = Bench::new(settings);
        bench.list(0, ListKind::Full, (0..6).map(|i| placed(i, ServerState::Ready)).collect());
        let (held, wakes, trace) = (BTreeMap::new(), Vec::new(), Vec::new());
        World { bench, now: 0, held, ready: [true; 6], wakes, trace }
    }

    fn feed(&mut self, event: Event<'_>) {
        self.bench.event(self.now, event);
        for action in self.bench.out.clone() {
            self.check(&action);
            self.trace.push(action);
        }
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { request, server, deadline: until } => {
                let at = u32::from(server.as_bytes()[0] - b'a');
                assert!(self.ready[at as usize], "sent to a draining or gone server");
                let r = self.held.get_mut(&**request).expect("known");
                assert!(!r.closed && self.now < r.ends, "sent after the end");
                let open = classes()[r.class].open_to(at / 2, at % 2);
                assert!(open, "sent to a server that is not open to its class");
                assert!(r.attempts.len() < 4);
                let ran = r.attempts.iter().find(|a| !a.3.is_some_and(Outcome::never_ran));
                match (classes()[r.class].idempotency, ran) {
                    (Idempotency::Unsafe, Some(_)) => panic!("an unsafe request may have run"),
                    (Idempotency::Keyed { scope: group, window }, Some(first)) => {
                        assert!(self.now <= first.1 + window, "outside the window");
                        match group {
                            DeduplicationScope::All => {}
                            DeduplicationScope::Zone => assert_eq!(first.0 / 2, at / 2),
                            DeduplicationScope::Cell => assert_eq!(first.0, at),
                        }
                    }
                    _ => {}
                }
                r.attempts.push((at, self.now, (*until).min(r.ends), None));
            }
            Action::Reject { request, .. } | Action::Fail { request } => {
                let r = self.held.get_mut(&**request).expect("known");
                assert!(!r.closed, "a second final answer");
                r.closed = true;
                let ran = r.attempts.iter().any(|a| !a.3.is_some_and(Outcome::never_ran));
                if ran && matches!(action, Action::Reject { .. }) {
                    assert!(!matches!(r.class, 1 | 3 | 4 | 6), "a refusal after it may have run");
                }
            }
            Action::Wake { at } => self.wakes.push(*at),
            Action::Cancel { request, attempt } => {
                let r = self.held.get(&**request).expect("known");
                assert!((*attempt as usize) < r.attempts.len());
            }
            _ => {}
        }
    }

    fn end(&mut self, request: &str, attempt: usize, outcome: Outcome) {
        let r = self.held.get_mut(request).expect("known");
        let a = &mut r.attempts[attempt];
        a.3 = Some(outcome);
        let took = self.now - a.1;
        r.closed |= outcome == Outcome::Ok;
        let closed = r.closed;
        let attempt = attempt as u32;
        self.feed(Event::AttemptEnded(AttemptEnd {
            request,
            attempt,
            outcome,
            took,
            request_finished: closed,
            report: None,
        }));
    }

    fn out(&self) -> Vec<(String, usize, u64)> {
        let mut out = Vec::new();
        for (id, r) in &self.held {
            for (i, a) in r.attempts.iter().enumerate().filter(|(_, a)| a.3.is_none()) {
                out.push((id.clone(), i, a.2));
            }
        }
        out
    }

    fn advance(&mut self, to: u64) {
        while self.now < to {
            self.now = (self.now + 5_000).min(to);
            for (id, attempt, until) in self.out() {
                if until <= self.now {
                    self.end(&id, attempt, Outcome::TimedOut);
                }
            }
            if self.wakes.iter().any(|w| *w <= self.now) {
                self.wakes.retain(|w| *w > self.now);
                self.feed(Event::Wake);
            }
            let overdue = self.held.iter().find(|(_, r)| !r.closed && r.ends + 20_000 < self.now);
            assert!(overdue.is_none(), "no final answer in time: {:?}", overdue.map(|o| o.0));
        }
    }

    fn play(&mut self, steps: &[Step]) {
        for (i, step) in steps.iter().enumerate() {
            match *step {
                Step::Advance(by) => self.advance(self.now + by),
                Step::Arrive { class, key, ttl } => {
                    let (id, key) = (format!("r{i}"), format!("k{key}"));
                    let ends = self.now + ttl;
                    self.held.insert(id.clone(), Held { class, ends, closed: false, attempts: vec![] });
                    let id = id.as_str().into();
                    let key = Some(key.as_str());
                    self.feed(Event::Request(Arrival {
                        id,
                        class,
                        tenant: None,
                        ttl,
                        work_hint: None,
                        key,
                        run_once: false,
                    }));
                }
                Step::End { pick, outcome } => {
                    let out = self.out();
                    if let Some((id, attempt, _)) = out.get(pick % out.len().max(1)) {
                        self.end(id, *attempt, OUTCOMES[outcome]);
                    }
                }
                Step::Leave(pick) => {
                    let open: Vec<_> =
                        self.held.iter().filter(|(_, r)| !r.closed).map(|(i, _)| i.clone()).collect();
                    if let Some(id) = open.get(pick % open.len().max(1)) {
                        self.held.get_mut(id).expect("open").closed = true;
                        self.feed(Event::ClientDisconnected { request: id });
                    }
                }
                Step::Change { server: s, state } => {
                    let state = [ServerState::Ready, ServerState::Draining, ServerState::Gone][state];
                    self.ready[usize::from(s)] = state == ServerState::Ready;
                    let servers = vec![placed(s, state)];
                    self.feed(Event::List { kind: ListKind::Delta, servers });
                }
            }
        }
        self.advance(self.now + 2_000_000);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(200) })]

    #[test]
    fn the_rules_hold_and_runs_repeat(steps in prop::collection::vec(step(), 1..120)) {
        let (mut one, mut two) = (World::new(), World::new());
        one.play(&steps);
        two.play(&steps);
        prop_assert_eq!(one.trace, two.trace);
        prop_assert!(one.held.values().all(|r| r.closed));
    }
}
