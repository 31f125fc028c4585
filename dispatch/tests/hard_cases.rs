//! The difficult cases in the life of a transaction, one test each. `gradepaddle-check` tries them in every order.

use gradepaddle::*;
use gradepaddle_dispatch::*;

/// A chooser that returns the planned actions at the next event and records what it is told.
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
    let class = |idempotency| Class { deadline: DEADLINE, idempotency, ..base.classes[0].clone() };
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

    /// Makes the chooser return this action, at an event that changes nothing.
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
fn after_a_crash_earlier_attempts_are_unknown_and_the_cached_list_is_used() {
    let mut bench = Bench::new();
    bench.take(1, b"c", UNSAFE);
    bench.send("n-1", "a");
    // The last byte is written but not reported when the process dies. This dispatch is that of the restarted process.
    let mut bench = Bench::new();
    let out = bench.end(1, 0, Extent::Whole, Cause::Served);
    assert!(
        out.is_empty() && bench.told().is_empty(),
        "the end of an attempt from before the crash is ignored"
    );
    assert_eq!(starts(&bench.send("n-1", "b")), 0, "its transaction is not sent again");
    bench.take(0, b"retry", UNSAFE);
    assert_eq!(starts(&bench.send("n-0", "a")), 1);
}

#[test]
fn a_client_that_disconnects_after_its_answer_was_given_changes_nothing() {
    let mut bench = Bench::new();
    bench.take(1, b"c", SAFE);
    bench.send("n-1", "a");
    bench.send("n-1", "b");
    assert_eq!(answers(&bench.end(1, 0, Extent::Whole, Cause::Served)), [(1, FinalAnswer::Served("r"))]);
    assert!(answers(&bench.tell(Input::ClientDisconnected { ticket: 1 })).is_empty());
    assert_eq!(bench.dispatch.chooser().left, 0, "the chooser was told by the answer");
    assert_eq!(bench.dispatch.len(), 1, "its second attempt is still in flight");
    assert!(answers(&bench.end(1, 1, Extent::Whole, Cause::Served)).is_empty());
    assert!(bench.dispatch.is_empty());
}

#[test]
fn a_drain_before_the_first_byte_lets_the_transaction_go_to_another_server() {
    let mut bench = Bench::new();
    bench.take(1, b"c", UNSAFE);
    bench.send("n-1", "a");
    let out = bench.list(ListKind::Delta, vec![server("a", ServerState::Draining)]);
    assert_eq!(out, [Output::Availability { server: "a".into(), open: false }]);
    bench.end(1, 0, Extent::Nothing, Cause::Closed);
    assert_eq!(bench.told(), [(0, Outcome::ConnectFailed, false)], "it never ran");
    assert_eq!(starts(&bench.send("n-1", "b")), 1);
}

/// The opposite case: an attempt that began before the drain was reported finishes there.
#[test]
fn a_drain_after_the_first_byte_lets_the_attempt_finish() {
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
    assert_eq!(bench.dispatch.fleet().availability("a"), Some(Availability::Gone(5)));
    bench.take(2, b"d", UNSAFE);
    assert_eq!(starts(&bench.send("n-2", "a2")), 1);
    assert_eq!(answers(&bench.end(1, 0, Extent::Whole, Cause::Served)), [(1, FinalAnswer::Served("r"))]);
    assert_eq!(bench.dispatch.len(), 1);
}

#[test]
fn a_retry_under_a_new_id_is_another_transaction_and_a_duplicate_id_is_rejected() {
    let mut bench = Bench::new();
    bench.take(1, b"c", UNSAFE);
    bench.send("n-1", "a");
    bench.take(2, b"c2", UNSAFE);
    assert_eq!(
        starts(&bench.send("n-2", "a")),
        1,
        "the first may still run, which the client that retries has to accept"
    );
    assert_eq!(answers(&bench.take(3, b"c", UNSAFE)), [(3, FinalAnswer::DuplicateId)]);
    assert_eq!(bench.dispatch.len(), 2);
    bench.tell(Input::ClientDisconnected { ticket: 1 });
    assert_eq!(answers(&bench.take(4, b"c", UNSAFE)), [(4, FinalAnswer::DuplicateId)], "it may still run");
    bench.end(1, 0, Extent::Whole, Cause::Withdrawn);
    assert!(answers(&bench.take(5, b"c", UNSAFE)).is_empty(), "now it is free");
}

#[test]
fn a_failed_list_changes_nothing_and_an_outdated_one_applies() {
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
fn an_end_reported_twice_or_for_a_removed_transaction_changes_nothing() {
    let mut bench = Bench::new();
    bench.take(1, b"c", SAFE);
    bench.send("n-1", "a");
    bench.end(1, 0, Extent::Whole, Cause::Failed);
    bench.told();
    assert!(bench.end(1, 0, Extent::Whole, Cause::Served).is_empty(), "reported twice");
    bench.choose(Action::Fail { request: "n-1".into() });
    assert!(bench.dispatch.is_empty());
    assert!(bench.end(1, 0, Extent::Whole, Cause::Served).is_empty(), "removed");
    assert!(bench.told().is_empty());
}

/// Guards against an end that reports less written than before: a completely written attempt stays so.
#[test]
fn an_end_cannot_reduce_the_recorded_extent() {
    let mut bench = Bench::new();
    bench.take(1, b"c", UNSAFE);
    bench.send("n-1", "a");
    bench.tell(Input::Written { ticket: 1, attempt: 0, extent: Extent::Whole });
    bench.end(1, 0, Extent::Nothing, Cause::NoConnection);
    assert_eq!(bench.told(), [(0, Outcome::Reset, false)]);
}

/// For each action that would break a rule: no attempt starts, the defect is counted and reported once, and the
/// transaction fails at once. The chooser is told of the attempt that was not made and of the end of the request.
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
        // Without an attempt in flight, the end of the attempt that was not made also closes the request.
        let left = usize::from(open > 0);
        assert_eq!((bench.dispatch.chooser().left, bench.dispatch.defects().count(defect)), (left, 1));
    }
}

#[test]
fn a_refusal_of_a_transaction_that_may_have_run_becomes_a_failure() {
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
fn a_transaction_that_chooser_or_caller_forgets_ends_by_itself() {
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
    // The end of the attempt is never reported.
    assert_eq!((bench.dispatch.len(), bench.dispatch.next_tick_at()), (1, Some(DEADLINE + 60)));
    bench.now = DEADLINE + 60;
    bench.tell(Input::Tick);
    assert_eq!(bench.told(), [(0, Outcome::TimedOut, true)]);
    assert_eq!(bench.dispatch.defects().count(Defect::NeverEnded), 1);
    assert!(bench.dispatch.is_empty() && bench.dispatch.next_tick_at().is_none());
}

/// Guards against memory that grows with the number of transactions served, with the production chooser and many app
/// servers that come and go.
#[test]
fn finished_transactions_and_departed_app_servers_are_removed() {
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
fn a_defect_is_counted_each_time_and_reported_once() {
    let mut bench = Bench::new();
    let named: usize = (0..3)
        .map(|_| bench.choose(Action::Fail { request: "n-9".into() }))
        .map(|out| out.iter().filter(|output| matches!(output, Output::Defect { .. })).count())
        .sum();
    assert_eq!((named, bench.dispatch.defects().count(Defect::SecondAnswer)), (1, 3));
}

/// Guards app servers against forbidden and concurrent probes, and the chooser against a probe whose end it is never
/// told of.
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
    assert!(probe(&mut bench) && !probe(&mut bench), "one is in flight");
    bench.now = 7;
    assert_eq!(ended(&mut bench, Cause::Denied), [(Outcome::NotSent, 0), (Outcome::Denied, 7)]);
    assert!(ended(&mut bench, Cause::Served).is_empty(), "it has already ended");
    assert!(probe(&mut bench));
    bench.now = 7 + 50;
    assert!(probe(&mut bench), "a probe whose end is never reported does not stay in flight for ever");
    ended(&mut bench, Cause::OutOfTime);
    assert_eq!(bench.dispatch.defects().total(), 0);
    let told = |state| vec![server("a", state)];
    bench.list(ListKind::Delta, told(ServerState::Draining));
    assert!(!probe(&mut bench), "it drains, and probes have no drain grace");
    bench.list(ListKind::Delta, told(ServerState::Ready));
    let since = Some(bench.now);
    bench.tell(Input::Ban { server: "a".into(), since });
    assert!(!probe(&mut bench), "it is banned");
    bench.tell(Input::Ban { server: "a".into(), since: None });
    assert!(probe(&mut bench));
    let mut forbidden = Bench::new();
    assert!(!probe(&mut forbidden) && forbidden.dispatch.chooser().probed == [(Outcome::NotSent, 0)]);
    for (bench, defects) in [(bench, 2), (forbidden, 1)] {
        assert_eq!(bench.dispatch.defects().count(Defect::ProbeNotAllowed), defects);
    }
}

/// An unsafe transaction whose client still uploads.
fn uploading() -> Transaction<&'static str> {
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

/// Guards a transaction that is accepted during its upload: its time starts with the last byte, a consumed body is not sent
/// again, and its deadline is kept although the chooser keeps none for it.
#[test]
fn an_upload_has_its_deadline_from_the_last_byte_and_its_consumed_body_is_not_resent() {
    let mut bench = Bench::new();
    let transaction = uploading();
    let send =
        |server: &str| Action::Send { request: "n-1".into(), server: server.into(), deadline: 9 * DEADLINE };
    bench.dispatch.chooser_mut().planned.push(send("a"));
    bench.tell(Input::Accepted { ticket: 1, transaction });
    bench.now = 5 * DEADLINE;
    assert!(bench.tell(Input::Tick).is_empty(), "its client still uploads");
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
    assert!(matches!(out[..], [Output::Start { attempt: 1, .. }]), "its body was not consumed: {out:?}");
    bench.tell(Input::BodyConsumed { ticket: 1, attempt: 1 });
    bench.tell(Input::Uploaded { ticket: 1 });
    assert_eq!(bench.dispatch.next_tick_at(), Some(6 * DEADLINE + 10));
    bench.now = 6 * DEADLINE + 10;
    let out = bench.tell(Input::Tick);
    let late = FinalAnswer::Failed { timed_out: true, reply: None };
    assert!(out.contains(&Output::Answer { ticket: 1, answer: late }), "{out:?}");
    assert_eq!(bench.dispatch.defects().total(), 0, "{out:?}");
}

/// Guards against a chooser that sends a request again whose body was consumed.
#[test]
fn a_consumed_body_is_not_sent_again_whatever_the_chooser_asks_for() {
    let mut bench = Bench::new();
    let send =
        |server: &str| Action::Send { request: "n-1".into(), server: server.into(), deadline: DEADLINE };
    bench.dispatch.chooser_mut().planned.push(send("a"));
    let transaction = uploading();
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
