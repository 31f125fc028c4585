//! The hard cases of a transaction's life, each by itself. `gradepaddle-check` tries them in every order.

use gradepaddle::*;
use gradepaddle_dispatch::*;

/// Asks for what a test has planned, at the next event, and notes what it is told of attempts.
#[derive(Default)]
struct Script {
    planned: Vec<Action>,
    told: Vec<(u32, Outcome, bool)>,
    probed: Vec<(Outcome, Micros)>,
    left: usize,
}

impl Chooser for Script {
    fn handle(&mut self, _: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::AttemptEnded(ended) => {
                self.told.push((ended.attempt, ended.outcome, ended.request_finished));
            }
            Event::ClientDisconnected { .. } => self.left += 1,
            Event::ProbeEnded { outcome, took, .. } => self.probed.push((outcome, took)),
            _ => {}
        }
        out.append(&mut self.planned);
    }
}

type Outputs = Vec<Output<&'static str, &'static str>>;

struct Bench {
    dispatch: Dispatch<Script, &'static str, &'static str>,
    now: Micros,
}

const GRACE: Micros = 100;
const DEADLINE: Micros = 1_000;
const SAFE: usize = 0;
const UNSAFE: usize = 1;

fn server(id: &str, state: ServerState) -> Server {
    Server { id: id.into(), zone: 0, kind: 0, cell: 0, state, weight: 1.0, started: None }
}

fn settings() -> Settings {
    let base = Settings::default();
    let class = |effect| Class { deadline: DEADLINE, idempotency: effect, ..base.classes[0].clone() };
    let only = Class { zones: Some(vec![1]), ..class(Idempotency::Safe) };
    Settings {
        classes: vec![class(Idempotency::Safe), class(Idempotency::Unsafe), only],
        max_attempts: 2,
        ..base
    }
}

impl Bench {
    fn new() -> Bench {
        Self::with(settings())
    }

    fn with(settings: Settings) -> Bench {
        let limits = Limits {
            drain_grace: GRACE,
            answer_overrun: 10,
            attempt_end_overrun: 50,
            server_retention: 10_000,
        };
        let mut bench = Bench { dispatch: Dispatch::new(Script::default(), &settings, "n", limits), now: 0 };
        bench.list(ListKind::Cached, vec![server("a", ServerState::Ready), server("b", ServerState::Ready)]);
        bench
    }

    fn tell(&mut self, input: Input<&'static str, &'static str>) -> Outputs {
        let mut out = Vec::new();
        self.dispatch.handle(self.now, input, &mut out);
        out
    }

    fn list(&mut self, kind: ListKind, servers: Vec<Server>) -> Outputs {
        self.tell(Input::ServerList { kind, servers })
    }

    fn take(&mut self, ticket: Ticket, own: &[u8], class: usize) -> Outputs {
        let (arrived, time_left) = (self.now, DEADLINE);
        let transaction = Transaction {
            client_request_id: own.into(),
            class,
            tenant: None,
            key: None,
            hint: None,
            once: false,
            arrived,
            time_left,
            upload_complete: true,
            message: "m",
        };
        self.tell(Input::Accepted { ticket, transaction })
    }

    /// Has the chooser ask for this, at an event that changes nothing.
    fn choose(&mut self, action: Action) -> Outputs {
        self.dispatch.chooser_mut().planned.push(action);
        self.list(ListKind::Failed, Vec::new())
    }

    fn send(&mut self, request: &str, server: &str) -> Outputs {
        let until = self.now + DEADLINE;
        self.choose(Action::Send { request: request.into(), server: server.into(), deadline: until })
    }

    fn end(&mut self, ticket: Ticket, attempt: u32, extent: Extent, cause: Cause) -> Outputs {
        let reply = matches!(cause, Cause::Served | Cause::Failed).then_some("r");
        self.tell(Input::AttemptEnded { ticket, attempt, extent, cause, reply, report: None })
    }

    fn told(&mut self) -> Vec<(u32, Outcome, bool)> {
        std::mem::take(&mut self.dispatch.chooser_mut().told)
    }
}

fn answers(out: &Outputs) -> Vec<(Ticket, FinalAnswer<&'static str>)> {
    let answer = |output: &Output<_, _>| match output {
        Output::Answer { ticket, answer } => Some((*ticket, answer.clone())),
        _ => None,
    };
    out.iter().filter_map(answer).collect()
}

fn starts(out: &Outputs) -> usize {
    out.iter().filter(|output| matches!(output, Output::Start { .. })).count()
}

const LATE: FinalAnswer<&str> = FinalAnswer::Failed { timed_out: true, reply: None };
const FAILED: FinalAnswer<&str> = FinalAnswer::Failed { timed_out: false, reply: None };

#[test]
fn a_reply_and_the_time_out_in_one_step_make_one_answer() {
    for reply_first in [true, false] {
        let mut bench = Bench::new();
        bench.take(1, b"c", UNSAFE);
        bench.send("n-1", "a");
        bench.now = DEADLINE + 10;
        let mut out = Vec::new();
        if reply_first {
            out.extend(bench.end(1, 0, Extent::Whole, Cause::Served));
        }
        out.extend(bench.tell(Input::Tick));
        if !reply_first {
            out.extend(bench.end(1, 0, Extent::Whole, Cause::Served));
        }
        let answer = if reply_first { FinalAnswer::Served("r") } else { LATE };
        assert_eq!(answers(&out), [(1, answer)]);
        assert!(bench.dispatch.is_empty() && bench.dispatch.next_tick_at().is_none());
    }
}

#[test]
fn after_a_crash_the_old_life_is_unknown_and_the_cached_list_serves() {
    let mut bench = Bench::new();
    bench.take(1, b"c", UNSAFE);
    bench.send("n-1", "a");
    // The last byte is written, nobody has said so, and the process dies: this is its next life.
    let mut bench = Bench::new();
    let out = bench.end(1, 0, Extent::Whole, Cause::Served);
    assert!(out.is_empty() && bench.told().is_empty(), "nothing is made of an end from before");
    assert_eq!(starts(&bench.send("n-1", "b")), 0, "and nothing of it is sent again");
    bench.take(0, b"retry", UNSAFE);
    assert_eq!(starts(&bench.send("n-0", "a")), 1);
}

#[test]
fn a_client_that_leaves_while_its_answer_is_under_way_changes_nothing() {
    let mut bench = Bench::new();
    bench.take(1, b"c", SAFE);
    bench.send("n-1", "a");
    bench.send("n-1", "b");
    assert_eq!(answers(&bench.end(1, 0, Extent::Whole, Cause::Served)), [(1, FinalAnswer::Served("r"))]);
    assert!(answers(&bench.tell(Input::ClientDisconnected { ticket: 1 })).is_empty());
    assert_eq!(bench.dispatch.chooser().left, 0, "the chooser was told by the answer");
    assert_eq!(bench.dispatch.len(), 1, "its second copy is still out");
    assert!(answers(&bench.end(1, 1, Extent::Whole, Cause::Served)).is_empty());
    assert!(bench.dispatch.is_empty());
}

#[test]
fn a_drain_before_the_first_byte_leaves_the_transaction_free_to_go_elsewhere() {
    let mut bench = Bench::new();
    bench.take(1, b"c", UNSAFE);
    bench.send("n-1", "a");
    let out = bench.list(ListKind::Delta, vec![server("a", ServerState::Draining)]);
    assert_eq!(out, [Output::Availability { server: "a".into(), open: false }]);
    bench.end(1, 0, Extent::Nothing, Cause::Closed);
    assert_eq!(bench.told(), [(0, Outcome::ConnectFailed, false)], "it never ran");
    assert_eq!(starts(&bench.send("n-1", "b")), 1);
}

/// The other side of it: what has begun before the drain was told is finished there.
#[test]
fn a_drain_behind_the_first_byte_lets_the_attempt_end() {
    let mut bench = Bench::new();
    bench.take(1, b"c", UNSAFE);
    bench.send("n-1", "a");
    bench.tell(Input::Written { ticket: 1, attempt: 0, extent: Extent::Part });
    let out = bench.list(ListKind::Delta, vec![server("a", ServerState::Draining)]);
    assert!(!out.iter().any(|output| matches!(output, Output::Withdraw { .. })));
    assert_eq!(answers(&bench.end(1, 0, Extent::Whole, Cause::Served)), [(1, FinalAnswer::Served("r"))]);
}

#[test]
fn a_replaced_app_server_keeps_its_attempt_and_the_new_one_starts_clean() {
    let mut bench = Bench::new();
    bench.take(1, b"c", UNSAFE);
    bench.send("n-1", "a");
    bench.now = 5;
    let out =
        bench.list(ListKind::Delta, vec![server("a", ServerState::Gone), server("a2", ServerState::Ready)]);
    let standing = |id: &str, open| Output::Availability { server: id.into(), open };
    assert_eq!(out, [standing("a", false), standing("a2", true)]);
    assert_eq!(bench.dispatch.fleet().standing("a"), Some(Standing::Gone(5)));
    bench.take(2, b"d", UNSAFE);
    assert_eq!(starts(&bench.send("n-2", "a2")), 1);
    assert_eq!(answers(&bench.end(1, 0, Extent::Whole, Cause::Served)), [(1, FinalAnswer::Served("r"))]);
    assert_eq!(bench.dispatch.len(), 1);
}

#[test]
fn a_retry_under_a_new_id_is_another_transaction_and_an_open_id_is_taken_once() {
    let mut bench = Bench::new();
    bench.take(1, b"c", UNSAFE);
    bench.send("n-1", "a");
    bench.take(2, b"c2", UNSAFE);
    assert_eq!(starts(&bench.send("n-2", "a")), 1, "the first may still run: that is its client's to know");
    assert_eq!(answers(&bench.take(3, b"c", UNSAFE)), [(3, FinalAnswer::DuplicateId)]);
    assert_eq!(bench.dispatch.len(), 2);
    bench.tell(Input::ClientDisconnected { ticket: 1 });
    assert_eq!(answers(&bench.take(4, b"c", UNSAFE)), [(4, FinalAnswer::DuplicateId)], "it may still run");
    bench.end(1, 0, Extent::Whole, Cause::Withdrawn);
    assert!(answers(&bench.take(5, b"c", UNSAFE)).is_empty(), "now it is free");
}

#[test]
fn a_failed_list_holds_and_an_old_one_counts_as_told() {
    let mut bench = Bench::new();
    bench.list(ListKind::Delta, vec![server("a", ServerState::Draining)]);
    assert!(bench.list(ListKind::Failed, Vec::new()).is_empty());
    bench.now = GRACE + 1;
    bench.take(1, b"c", SAFE);
    assert_eq!(starts(&bench.send("n-1", "a")), 0);
    let old = vec![server("a", ServerState::Ready), server("b", ServerState::Ready)];
    assert_eq!(bench.list(ListKind::Full, old).len(), 1);
    bench.take(2, b"d", SAFE);
    assert_eq!(starts(&bench.send("n-2", "a")), 1);
}

#[test]
fn an_end_of_a_forgotten_transaction_or_told_twice_changes_nothing() {
    let mut bench = Bench::new();
    bench.take(1, b"c", SAFE);
    bench.send("n-1", "a");
    bench.end(1, 0, Extent::Whole, Cause::Failed);
    bench.told();
    assert!(bench.end(1, 0, Extent::Whole, Cause::Served).is_empty(), "told twice");
    bench.choose(Action::Fail { request: "n-1".into() });
    assert!(bench.dispatch.is_empty());
    assert!(bench.end(1, 0, Extent::Whole, Cause::Served).is_empty(), "forgotten");
    assert!(bench.told().is_empty());
}

/// Guards against an end that claims less than was recorded: written whole stays written whole.
#[test]
fn what_was_recorded_as_written_counts_whatever_the_end_claims() {
    let mut bench = Bench::new();
    bench.take(1, b"c", UNSAFE);
    bench.send("n-1", "a");
    bench.tell(Input::Written { ticket: 1, attempt: 0, extent: Extent::Whole });
    bench.end(1, 0, Extent::Nothing, Cause::NoConnection);
    assert_eq!(bench.told(), [(0, Outcome::Reset, false)]);
}

/// Each action that would break a rule: nothing starts, its kind is counted and named once, and the
/// transaction fails at once, the chooser told of the attempt that was not made and of the end.
#[test]
fn an_action_that_breaks_a_rule_is_not_carried_out_and_ends_its_transaction() {
    type Before = Box<dyn Fn(&mut Bench)>;
    let sent = |bench: &mut Bench| drop(bench.send("n-1", "a"));
    let ended = |bench: &mut Bench| {
        bench.send("n-1", "a");
        bench.end(1, 0, Extent::Whole, Cause::Broke);
    };
    let drained = |bench: &mut Bench| {
        bench.list(ListKind::Delta, vec![server("b", ServerState::Draining)]);
        bench.now += GRACE + 1;
    };
    let cases: [(Defect, usize, bool, Before); 6] = [
        (Defect::RepeatedUnsafe, UNSAFE, true, Box::new(ended)),
        (Defect::RepeatedUnsafe, UNSAFE, true, Box::new(sent)),
        (Defect::SecondCopy, SAFE, false, Box::new(sent)),
        (
            Defect::TooManyAttempts,
            SAFE,
            true,
            Box::new(move |bench| {
                sent(bench);
                sent(bench);
            }),
        ),
        (Defect::SentToClosed, SAFE, true, Box::new(drained)),
        (Defect::SentOutsideClass, 2, true, Box::new(|_| {})),
    ];
    for (defect, class, second_copies, before) in cases {
        let mut bench = Bench::with(Settings { hedging: second_copies, ..settings() });
        bench.take(1, b"c", class);
        before(&mut bench);
        let open: usize =
            bench.dispatch.views().flat_map(|v| v.attempts).filter(|a| a.outcome.is_none()).count();
        bench.told();
        let out = bench.send("n-1", "b");
        let named = out.iter().filter(|output| matches!(output, Output::Defect { .. })).count();
        let withdrawn = out.iter().filter(|output| matches!(output, Output::Withdraw { .. })).count();
        assert_eq!((starts(&out), named, withdrawn), (0, 1, open), "{defect:?}");
        let [(1, FinalAnswer::Failed { .. })] = answers(&out)[..] else { panic!("{defect:?}: {out:?}") };
        let told = bench.told();
        assert!(matches!(told[..], [(_, Outcome::NotSent, true)]), "{defect:?}: {told:?}");
        // With nothing out, the end of the attempt that was not made says it all.
        let left = usize::from(open > 0);
        assert_eq!((bench.dispatch.chooser().left, bench.dispatch.defects().count(defect)), (left, 1));
    }
}

#[test]
fn a_refusal_of_what_may_have_run_becomes_a_failure() {
    let refuse = || Action::Reject { request: "n-1".into(), retry_after: 7 };
    for (class, cause, honest) in
        [(UNSAFE, Cause::Broke, false), (UNSAFE, Cause::Unprocessed, true), (SAFE, Cause::Broke, true)]
    {
        let mut bench = Bench::new();
        bench.take(1, b"c", class);
        bench.send("n-1", "a");
        bench.end(1, 0, Extent::Whole, cause);
        let answer = if honest { FinalAnswer::Refused { pause: 7 } } else { FAILED };
        assert_eq!(answers(&bench.choose(refuse())), [(1, answer)]);
        assert_eq!(bench.dispatch.defects().count(Defect::RefusedAfterRun), u64::from(!honest));
        assert!(answers(&bench.choose(refuse())).is_empty(), "a second final answer");
        assert_eq!(bench.dispatch.defects().count(Defect::SecondAnswer), 1);
        assert!(bench.dispatch.is_empty());
    }
}

#[test]
fn a_send_to_an_unknown_app_server_never_ran_and_the_chooser_goes_on() {
    let mut bench = Bench::new();
    bench.take(1, b"c", UNSAFE);
    let out = bench.send("n-1", "z");
    assert!(answers(&out).is_empty() && starts(&out) == 0);
    assert_eq!(bench.told(), [(0, Outcome::NotSent, false)]);
    assert_eq!(starts(&bench.send("n-1", "a")), 1);
}

#[test]
fn what_is_forgotten_by_chooser_or_shell_ends_by_itself() {
    let mut bench = Bench::new();
    bench.take(1, b"c", UNSAFE);
    bench.send("n-1", "a");
    assert_eq!(bench.dispatch.next_tick_at(), Some(DEADLINE + 10));
    bench.now = DEADLINE + 9;
    assert!(bench.tell(Input::Tick).is_empty(), "not before its time");
    bench.now = DEADLINE + 10;
    let out = bench.tell(Input::Tick);
    assert_eq!(answers(&out), [(1, LATE)]);
    assert_eq!(bench.dispatch.chooser().left, 1);
    // The attempt's end is never told.
    assert_eq!((bench.dispatch.len(), bench.dispatch.next_tick_at()), (1, Some(DEADLINE + 60)));
    bench.now = DEADLINE + 60;
    bench.tell(Input::Tick);
    assert_eq!(bench.told(), [(0, Outcome::TimedOut, true)]);
    assert_eq!(bench.dispatch.defects().count(Defect::NeverEnded), 1);
    assert!(bench.dispatch.is_empty() && bench.dispatch.next_tick_at().is_none());
}

/// Guards against a balancer that grows with the transactions it has ever seen, round the decisions in
/// service and over many app servers that come and go.
#[test]
fn nothing_is_kept_of_transactions_and_app_servers_that_are_over() {
    let settings = Settings::default();
    let balancer = Balancer::new(settings.clone(), 3).expect("settings");
    let limits = Limits { server_retention: 1_000, ..Limits::default() };
    let mut dispatch: Dispatch<_, u64, u64> = Dispatch::new(balancer, &settings, "n", limits);
    let (mut out, mut served) = (Vec::new(), 0);
    for ticket in 0..5_000u64 {
        let now = ticket * 10_000;
        if ticket % 100 == 0 {
            let servers = vec![
                server(&format!("s{}", ticket / 100), ServerState::Ready),
                server("s", ServerState::Ready),
            ];
            dispatch.handle(now, Input::ServerList { kind: ListKind::Full, servers }, &mut out);
        }
        let transaction = Transaction {
            client_request_id: ticket.to_be_bytes()[..].into(),
            class: 0,
            tenant: None,
            key: None,
            hint: None,
            once: false,
            arrived: now,
            time_left: 4_000_000,
            upload_complete: true,
            message: ticket,
        };
        out.clear();
        dispatch.handle(now, Input::Accepted { ticket, transaction }, &mut out);
        let started = out.iter().any(|output| matches!(output, Output::Start { .. }));
        if started {
            let (extent, cause, reply) = (Extent::Whole, Cause::Served, Some(ticket));
            dispatch.handle(
                now + 900,
                Input::AttemptEnded { ticket, attempt: 0, extent, cause, reply, report: None },
                &mut out,
            );
        }
        served += u64::from(started);
        assert_eq!(dispatch.len(), 0);
        assert!(dispatch.fleet().len() <= 4, "{} app servers are known", dispatch.fleet().len());
    }
    assert!(served > 4_900, "{served} served");
    assert_eq!(dispatch.defects().total(), 0);
}

#[test]
fn a_defect_is_counted_each_time_and_named_once() {
    let mut bench = Bench::new();
    let named: usize = (0..3)
        .map(|_| bench.choose(Action::Fail { request: "n-9".into() }))
        .map(|out| out.iter().filter(|output| matches!(output, Output::Defect { .. })).count())
        .sum();
    assert_eq!((named, bench.dispatch.defects().count(Defect::SecondAnswer)), (1, 3));
}

/// Guards app servers against probes that nobody may send them, or more than one at a time, and the chooser
/// against a probe of which it never hears again.
#[test]
fn a_probe_goes_only_to_an_open_server_one_at_a_time_and_always_ends() {
    let mut bench = Bench::with(Settings { probes: true, ..settings() });
    let probe = |bench: &mut Bench| {
        let out = bench.choose(Action::Probe { server: "a".into() });
        out.contains(&Output::Probe { server: "a".into() })
    };
    let ended = |bench: &mut Bench, cause| {
        bench.tell(Input::ProbeEnded { server: "a".into(), cause, report: None });
        std::mem::take(&mut bench.dispatch.chooser_mut().probed)
    };
    assert!(probe(&mut bench) && !probe(&mut bench), "one is out");
    bench.now = 7;
    assert_eq!(ended(&mut bench, Cause::Denied), [(Outcome::NotSent, 0), (Outcome::Denied, 7)]);
    assert!(ended(&mut bench, Cause::Served).is_empty(), "it has ended already");
    assert!(probe(&mut bench));
    bench.now = 7 + 50;
    assert!(probe(&mut bench), "one whose end was never told does not stay out for ever");
    ended(&mut bench, Cause::OutOfTime);
    assert_eq!(bench.dispatch.defects().total(), 0);
    let told = |state| vec![server("a", state)];
    bench.list(ListKind::Delta, told(ServerState::Draining));
    assert!(!probe(&mut bench), "it drains, and the grace is not for probes");
    bench.list(ListKind::Delta, told(ServerState::Ready));
    let since = Some(bench.now);
    bench.tell(Input::Ban { server: "a".into(), since });
    assert!(!probe(&mut bench), "it is out");
    bench.tell(Input::Ban { server: "a".into(), since: None });
    assert!(probe(&mut bench));
    let mut forbidden = Bench::new();
    assert!(!probe(&mut forbidden) && forbidden.dispatch.chooser().probed == [(Outcome::NotSent, 0)]);
    for (bench, defects) in [(bench, 2), (forbidden, 1)] {
        assert_eq!(bench.dispatch.defects().count(Defect::ProbeNotAllowed), defects);
    }
}

/// An unsafe transaction whose client still sends.
fn flowing() -> Transaction<&'static str> {
    Transaction {
        client_request_id: (*b"c").into(),
        class: UNSAFE,
        tenant: None,
        key: None,
        once: false,
        hint: None,
        arrived: 0,
        time_left: DEADLINE,
        upload_complete: false,
        message: "m",
    }
}

/// Guards a transaction that is taken while its client still sends: its time begins with the last byte, nothing
/// is sent again of what is used up, and its deadline is kept although the chooser keeps none for it.
#[test]
fn what_flows_has_its_time_from_the_last_byte_and_is_sent_once() {
    let mut bench = Bench::new();
    let transaction = flowing();
    let send =
        |server: &str| Action::Send { request: "n-1".into(), server: server.into(), deadline: 9 * DEADLINE };
    bench.dispatch.chooser_mut().planned.push(send("a"));
    bench.tell(Input::Accepted { ticket: 1, transaction });
    bench.now = 5 * DEADLINE;
    assert!(bench.tell(Input::Tick).is_empty(), "its client still sends");
    let ended = |attempt, extent, cause| Input::AttemptEnded {
        ticket: 1,
        attempt,
        extent,
        cause,
        reply: None,
        report: None,
    };
    bench.dispatch.chooser_mut().planned.push(send("b"));
    let out = bench.tell(ended(0, Extent::Part, Cause::Broke));
    assert!(matches!(out[..], [Output::Start { attempt: 1, .. }]), "nothing of it was used up: {out:?}");
    bench.tell(Input::BodyConsumed { ticket: 1, attempt: 1 });
    bench.tell(Input::Uploaded { ticket: 1 });
    assert_eq!(bench.dispatch.next_tick_at(), Some(6 * DEADLINE + 10));
    bench.now = 6 * DEADLINE + 10;
    let out = bench.tell(Input::Tick);
    let late = FinalAnswer::Failed { timed_out: true, reply: None };
    assert!(out.contains(&Output::Answer { ticket: 1, answer: late }), "{out:?}");
    assert_eq!(bench.dispatch.defects().total(), 0, "{out:?}");
}

/// Guards against a guard that is asked for nothing: a chooser that sends what is used up is stopped.
#[test]
fn what_is_used_up_is_not_sent_again_whatever_the_chooser_asks_for() {
    let mut bench = Bench::new();
    let send =
        |server: &str| Action::Send { request: "n-1".into(), server: server.into(), deadline: DEADLINE };
    bench.dispatch.chooser_mut().planned.push(send("a"));
    let transaction = flowing();
    bench.tell(Input::Accepted { ticket: 1, transaction });
    bench.tell(Input::BodyConsumed { ticket: 1, attempt: 0 });
    bench.dispatch.chooser_mut().planned.push(send("b"));
    let out = bench.tell(Input::AttemptEnded {
        ticket: 1,
        attempt: 0,
        extent: Extent::Part,
        cause: Cause::Broke,
        reply: None,
        report: None,
    });
    assert!(!out.iter().any(|o| matches!(o, Output::Start { .. })), "{out:?}");
    assert_eq!(bench.dispatch.defects().count(Defect::SentAfterBodyConsumed), 1);
}
