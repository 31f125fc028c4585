//! Tracks all open transactions: passes each input to the chooser, checks the chooser's actions against the rules and
//! emits outputs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use gradepaddle::{
    Action, Arrival, AttemptEnd, Event, Id, ListKind, LoadReport, Micros, Outcome, Server, ServerState,
    Settings,
};

use crate::attempt::{Attempt, Cause, Extent, probe_outcome};
use crate::chooser::Chooser;
use crate::fleet::Fleet;
use crate::guard::{Defect, Defects, Guard, RuleChecker, Rules};
use crate::io::{FinalAnswer, Input, Output, Ticket, Transaction};
use crate::transaction::{OpenTransaction, TransactionView};

/// Time limits that apply to every class, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// How long after an app server was reported draining or gone a new attempt may still be sent to it.
    pub drain_grace: Micros,
    /// How long past its deadline a transaction may stay unanswered before dispatch fails it without the chooser.
    pub answer_overrun: Micros,
    /// How long past its deadline an answered transaction waits for its attempts to end. After that they count as timed
    /// out.
    pub attempt_end_overrun: Micros,
    /// How long an app server that left the service table is remembered.
    pub server_retention: Micros,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            drain_grace: 1_000_000,
            answer_overrun: 10_000,
            attempt_end_overrun: 5_000_000,
            server_retention: 120_000_000,
        }
    }
}

/// An event that dispatch itself caused by not carrying out an action. The chooser is told of it after its current
/// actions are done.
#[derive(Debug)]
enum FollowUp {
    /// An attempt that the chooser counts as sent was not made.
    AttemptNotMade { ticket: Ticket, attempt: u32 },
    /// A transaction was answered without the chooser.
    RequestOver { ticket: Ticket },
    /// A probe that the chooser waits for was not sent.
    ProbeNotMade { server: Id },
}

/// Limit on the follow-ups of one input. It stops a chooser that answers each follow-up with another action; the
/// deadline still ends its transactions.
const MAX_FOLLOW_UPS: usize = 256;

/// All open transactions of one balancer, with the chooser that decides on them.
#[derive(Clone, Debug)]
pub struct Dispatch<C, M, R, G = Rules> {
    chooser: C,
    guard: G,
    rule_checker: Arc<RuleChecker>,
    limits: Limits,
    name: Arc<str>,
    fleet: Fleet,
    open: BTreeMap<Ticket, OpenTransaction<M, R>>,
    /// The client request ids of the open transactions.
    client_request_ids: BTreeSet<Arc<[u8]>>,
    /// When the chooser has asked to be woken.
    wake_times: BTreeSet<Micros>,
    /// When each open transaction is checked for being overdue, whatever the chooser does.
    check_times: BTreeSet<(Micros, Ticket)>,
    /// When the probe in flight at each app server was sent.
    probes: BTreeMap<Id, Micros>,
    defects: Defects,
    /// Reused between inputs to save allocations.
    actions: Vec<Action>,
}

impl<C: Chooser, M: Clone, R> Dispatch<C, M, R> {
    /// Creates a dispatch without transactions and app servers. `name` is this balancer's name, the first part of each
    /// transaction id.
    pub fn new(chooser: C, settings: &Settings, name: &str, limits: Limits) -> Self {
        Dispatch::with_guard(chooser, Rules, settings, name, limits)
    }
}

impl<C: Chooser, M: Clone, R, G: Guard> Dispatch<C, M, R, G> {
    /// Like [`Dispatch::new`], with another guard; the exhaustive check replaces rules this way.
    pub fn with_guard(chooser: C, guard: G, settings: &Settings, name: &str, limits: Limits) -> Self {
        Dispatch {
            chooser,
            guard,
            rule_checker: Arc::new(RuleChecker::new(settings, &limits)),
            limits,
            name: name.into(),
            fleet: Fleet::new(settings.keep_gone_servers),
            open: BTreeMap::new(),
            client_request_ids: BTreeSet::new(),
            wake_times: BTreeSet::new(),
            check_times: BTreeSet::new(),
            probes: BTreeMap::new(),
            defects: Defects::default(),
            actions: Vec::new(),
        }
    }

    /// Processes one input at time `now` and appends what the caller has to do to `out`.
    pub fn handle(&mut self, now: Micros, input: Input<M, R>, out: &mut Vec<Output<M, R>>) {
        let mut follow_ups = VecDeque::new();
        match input {
            Input::Accepted { ticket, transaction } => {
                self.accept(now, ticket, transaction, &mut follow_ups, out);
            }
            Input::ClientDisconnected { ticket } => {
                if let Some(open) = self.open.get_mut(&ticket).filter(|open| open.answer_pending) {
                    open.answer_pending = false;
                    self.notify_request_over(now, ticket, &mut follow_ups, out);
                    self.cancel_unstarted(ticket, out);
                }
            }
            Input::Uploaded { ticket } => self.upload_complete(now, ticket),
            Input::BodyConsumed { ticket, attempt } => {
                if let Some(open) = self.open.get_mut(&ticket).filter(|open| open.consumed_by.is_none()) {
                    open.consumed_by = Some(attempt);
                    let id = open.id.clone();
                    let event = Event::Streaming { request: &id, attempt };
                    self.ask_chooser(now, event, &mut follow_ups, out);
                }
            }
            Input::Written { ticket, attempt, extent } => {
                if let Some(record) = self.in_flight_attempt(ticket, attempt) {
                    record.extent = record.extent.max(extent);
                }
            }
            Input::AttemptEnded { ticket, attempt, extent, cause, reply, report } => {
                self.attempt_ended(
                    now,
                    ticket,
                    attempt,
                    extent,
                    cause,
                    (reply, report),
                    &mut follow_ups,
                    out,
                );
            }
            Input::ProbeEnded { server, cause, report } => {
                // Ignored if no probe is in flight there: the end was reported twice, or no probe was sent.
                if let Some(since) = self.probes.remove(&server) {
                    let took = now.saturating_sub(since);
                    let event =
                        Event::ProbeEnded { server: &server, outcome: probe_outcome(cause), took, report };
                    self.ask_chooser(now, event, &mut follow_ups, out);
                }
            }
            Input::ServerList { kind, servers } => self.server_list(now, kind, servers, &mut follow_ups, out),
            Input::Ban { server, since } => self.ban(now, server, since, &mut follow_ups, out),
            Input::Tick => self.tick(now, &mut follow_ups, out),
        }
        for _ in 0..MAX_FOLLOW_UPS {
            let Some(follow_up) = follow_ups.pop_front() else { return };
            match follow_up {
                FollowUp::RequestOver { ticket } => {
                    self.notify_request_over(now, ticket, &mut follow_ups, out);
                }
                FollowUp::AttemptNotMade { ticket, attempt } => {
                    let Some(open) = self.open.get(&ticket) else { continue };
                    let (id, closed) = (open.id.clone(), !open.answer_pending);
                    let (outcome, took) = (Outcome::NotSent, 0);
                    let ended = AttemptEnd {
                        request: &id,
                        attempt,
                        outcome,
                        took,
                        request_finished: closed,
                        report: None,
                    };
                    self.ask_chooser(now, Event::AttemptEnded(ended), &mut follow_ups, out);
                    self.remove_if_finished(ticket);
                }
                FollowUp::ProbeNotMade { server } => {
                    let (outcome, took) = (Outcome::NotSent, 0);
                    let event = Event::ProbeEnded { server: &server, outcome, took, report: None };
                    self.ask_chooser(now, event, &mut follow_ups, out);
                }
            }
        }
    }

    /// When the next [`Input::Tick`] is due, if no other input comes first.
    pub fn next_tick_at(&self) -> Option<Micros> {
        let check_at = self.check_times.first().map(|(at, _)| *at);
        self.wake_times.first().copied().into_iter().chain(check_at).min()
    }

    /// How many transactions are open: not answered yet, or with an attempt in flight.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// True if no transaction is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The open transactions, ordered by ticket.
    pub fn views(&self) -> impl Iterator<Item = TransactionView<'_>> {
        self.open.iter().map(|(ticket, open)| open.view(*ticket))
    }

    /// The app servers that the service table has named.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// How often an action of the chooser would have broken each rule.
    pub fn defects(&self) -> &Defects {
        &self.defects
    }

    /// The chooser.
    pub fn chooser(&self) -> &C {
        &self.chooser
    }

    /// The chooser, mutable: tests and the exhaustive check script its actions.
    pub fn chooser_mut(&mut self) -> &mut C {
        &mut self.chooser
    }

    fn in_flight_attempt(&mut self, ticket: Ticket, attempt: u32) -> Option<&mut Attempt> {
        let open = self.open.get_mut(&ticket)?;
        open.attempts.get_mut(attempt as usize).filter(|attempt| attempt.is_in_flight())
    }

    /// The ticket in a transaction id of this balancer. The chooser returns ids unchanged.
    fn ticket_of(&self, request: &str) -> Option<Ticket> {
        request.strip_prefix(&*self.name)?.strip_prefix('-')?.parse().ok()
    }

    fn accept(
        &mut self,
        now: Micros,
        ticket: Ticket,
        transaction: Transaction<M>,
        follow_ups: &mut VecDeque<FollowUp>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let Transaction {
            client_request_id,
            class,
            tenant,
            key,
            once,
            hint,
            arrived,
            time_left,
            upload_complete,
            message,
        } = transaction;
        if !self.client_request_ids.insert(client_request_id.clone()) {
            // App servers identify requests by client request id. Two open ones with the same id could get each
            // other's answers, and the second would look like a copy of the first.
            out.push(Output::Answer { ticket, answer: FinalAnswer::DuplicateId });
            return;
        }
        let id: Id = format!("{}-{ticket}", self.name).into();
        let deadline = if upload_complete { arrived.saturating_add(time_left) } else { Micros::MAX };
        let check_at = deadline.saturating_add(self.limits.answer_overrun);
        let open = OpenTransaction {
            id: id.clone(),
            client_request_id,
            class,
            once,
            message,
            deadline,
            time_left,
            uploaded_at: upload_complete.then_some(arrived),
            consumed_by: None,
            answer_pending: true,
            attempts: Vec::new(),
            last_timed_out: false,
            reply: None,
            check_at,
        };
        self.open.insert(ticket, open);
        self.check_times.insert((check_at, ticket));
        // The rest of an upload is expected soon; the caller reports a client that stops partway.
        let ttl = arrived.saturating_add(time_left).saturating_sub(now);
        let hint = hint.map(|work| work as f64);
        let arrival =
            Arrival { id, class, tenant, ttl, work_hint: hint, key: key.as_deref(), run_once: once };
        self.ask_chooser(now, Event::Request(arrival), follow_ups, out);
        self.remove_if_finished(ticket);
    }

    /// The upload is complete: the client's waiting time starts, which sets the deadline.
    fn upload_complete(&mut self, now: Micros, ticket: Ticket) {
        let Some(open) = self.open.get_mut(&ticket).filter(|open| open.uploaded_at.is_none()) else { return };
        self.check_times.remove(&(open.check_at, ticket));
        open.uploaded_at = Some(now);
        open.deadline = now.saturating_add(open.time_left);
        open.check_at = open.deadline.saturating_add(self.limits.answer_overrun);
        self.check_times.insert((open.check_at, ticket));
    }

    #[allow(clippy::too_many_arguments)]
    fn attempt_ended(
        &mut self,
        now: Micros,
        ticket: Ticket,
        attempt: u32,
        extent: Extent,
        cause: Cause,
        (reply, report): (Option<R>, Option<LoadReport>),
        follow_ups: &mut VecDeque<FollowUp>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let enforced = self.guard.enforces(Defect::SecondAnswer);
        // An end that is reported twice, or for a transaction that was removed, changes nothing.
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let Some(record) = open.attempts.get_mut(attempt as usize).filter(|record| record.is_in_flight())
        else {
            return;
        };
        // The end cannot reduce how much was already reported as written.
        record.extent = record.extent.max(extent);
        let outcome = match self.guard.outcome(record.extent, cause) {
            // There is no reply to forward.
            Outcome::Ok if reply.is_none() => Outcome::Error,
            outcome => outcome,
        };
        record.outcome = Some(outcome);
        // The time the client took to upload does not count against the app server.
        let took = now.saturating_sub(record.sent.max(open.uploaded_at.unwrap_or(now)));
        open.last_timed_out = outcome == Outcome::TimedOut;
        match (outcome, reply) {
            (Outcome::Ok, Some(reply)) => {
                if open.answer_pending || !enforced {
                    open.answer_pending = false;
                    out.push(Output::Answer { ticket, answer: FinalAnswer::Served(reply) });
                }
            }
            (_, reply) => open.reply = reply,
        }
        let (id, closed) = (open.id.clone(), !open.answer_pending);
        let ended = AttemptEnd { request: &id, attempt, outcome, took, request_finished: closed, report };
        self.ask_chooser(now, Event::AttemptEnded(ended), follow_ups, out);
        self.remove_if_finished(ticket);
    }

    fn server_list(
        &mut self,
        now: Micros,
        kind: ListKind,
        mut servers: Vec<Server>,
        follow_ups: &mut VecDeque<FollowUp>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let changes = self.fleet.apply_list(now, kind, &servers, self.limits.server_retention);
        // Emitted before the chooser is asked, so that attempts not yet written to a closed app server are stopped first.
        for (server, open) in changes.availability {
            out.push(Output::Availability { server, open });
        }
        // The chooser sees a banned app server as draining for as long as the ban lasts.
        for server in servers.iter_mut().filter(|server| server.state == ServerState::Ready) {
            if self.fleet.is_banned(&server.id) {
                server.state = ServerState::Draining;
            }
        }
        self.ask_chooser(now, Event::List { kind, servers }, follow_ups, out);
        for server in changes.removed {
            self.probes.remove(&server);
            out.push(Output::ServerRemoved { server });
        }
    }

    /// Passes a ban to the chooser as a list update to draining, and the end of a ban as an update to ready.
    fn ban(
        &mut self,
        now: Micros,
        server: Id,
        since: Option<Micros>,
        follow_ups: &mut VecDeque<FollowUp>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let update = match since {
            Some(since) => self.fleet.ban(since.min(now), &server),
            None => self.fleet.lift_ban(now, &server),
        };
        let Some(update) = update else { return };
        out.push(Output::Availability { server, open: since.is_none() });
        let (kind, servers) = (ListKind::Delta, vec![update]);
        self.ask_chooser(now, Event::List { kind, servers }, follow_ups, out);
    }

    fn tick(&mut self, now: Micros, follow_ups: &mut VecDeque<FollowUp>, out: &mut Vec<Output<M, R>>) {
        let mut woken = false;
        while self.wake_times.first().is_some_and(|at| *at <= now) {
            self.wake_times.pop_first();
            woken = true;
        }
        if woken {
            self.ask_chooser(now, Event::Wake, follow_ups, out);
        }
        while let Some((at, ticket)) = self.check_times.first().copied()
            && at <= now
        {
            self.check_times.pop_first();
            self.overdue(now, ticket, follow_ups, out);
        }
    }

    /// Handles a transaction that the chooser left unanswered, and an attempt whose end the caller never reported: the
    /// transaction fails `answer_overrun` past its deadline, the attempt counts as timed out `attempt_end_overrun` past it.
    fn overdue(
        &mut self,
        now: Micros,
        ticket: Ticket,
        follow_ups: &mut VecDeque<FollowUp>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        if open.answer_pending {
            if self.guard.fails_overdue() {
                // The chooser keeps no deadline once an attempt has consumed the request body, so this is not its defect.
                if open.consumed_by.is_none() {
                    let id = open.id.clone();
                    self.record_defect(Defect::Unanswered, id, out);
                }
                self.fail(ticket, true, out);
                self.notify_request_over(now, ticket, follow_ups, out);
            }
            // Attempts still in flight have until the next check to end.
            if let Some(open) = self.open.get_mut(&ticket) {
                open.check_at = now.saturating_add(self.limits.attempt_end_overrun);
                self.check_times.insert((open.check_at, ticket));
            }
            return;
        }
        let until = open.deadline.saturating_add(self.limits.attempt_end_overrun);
        if now < until {
            open.check_at = until;
            self.check_times.insert((until, ticket));
            return;
        }
        let id = open.id.clone();
        let in_flight: Vec<(u32, Micros)> = open
            .attempts
            .iter_mut()
            .enumerate()
            .filter(|(_, attempt)| attempt.is_in_flight())
            .map(|(index, attempt)| {
                attempt.outcome = Some(Outcome::TimedOut);
                (index as u32, now.saturating_sub(attempt.sent))
            })
            .collect();
        for (attempt, took) in in_flight {
            self.record_defect(Defect::NeverEnded, id.clone(), out);
            let outcome = Outcome::TimedOut;
            let ended =
                AttemptEnd { request: &id, attempt, outcome, took, request_finished: true, report: None };
            self.ask_chooser(now, Event::AttemptEnded(ended), follow_ups, out);
        }
        self.remove_if_finished(ticket);
    }

    /// Tells the chooser that this transaction needs no answer any more.
    fn notify_request_over(
        &mut self,
        now: Micros,
        ticket: Ticket,
        follow_ups: &mut VecDeque<FollowUp>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let Some(open) = self.open.get(&ticket) else { return };
        let id = open.id.clone();
        self.ask_chooser(now, Event::ClientDisconnected { request: &id }, follow_ups, out);
        self.remove_if_finished(ticket);
    }

    /// Cancels the attempts of a disconnected client that have not begun, whether or not the chooser may withdraw
    /// attempts.
    fn cancel_unstarted(&mut self, ticket: Ticket, out: &mut Vec<Output<M, R>>) {
        let Some(open) = self.open.get(&ticket).filter(|_| self.guard.cancels_unstarted()) else { return };
        for (index, attempt) in open.attempts.iter().enumerate() {
            if attempt.is_in_flight() && !attempt.withdrawn && attempt.extent == Extent::Nothing {
                out.push(Output::CancelUnstarted { ticket, attempt: index as u32 });
            }
        }
    }

    /// Removes a transaction that is answered and has no attempt in flight.
    fn remove_if_finished(&mut self, ticket: Ticket) {
        if self.guard.removes_finished()
            && self.open.get(&ticket).is_some_and(OpenTransaction::is_done)
            && let Some(open) = self.open.remove(&ticket)
        {
            self.check_times.remove(&(open.check_at, ticket));
            self.client_request_ids.remove(&open.client_request_id);
        }
    }

    fn ask_chooser(
        &mut self,
        now: Micros,
        event: Event<'_>,
        follow_ups: &mut VecDeque<FollowUp>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        self.chooser.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.perform(now, action, follow_ups, out);
        }
        self.actions = actions;
    }

    fn perform(
        &mut self,
        now: Micros,
        action: Action,
        follow_ups: &mut VecDeque<FollowUp>,
        out: &mut Vec<Output<M, R>>,
    ) {
        match action {
            Action::Send { request, server, deadline: until } => {
                self.send(now, request, server, until, follow_ups, out);
            }
            Action::Reject { request, retry_after: pause } => self.refuse(request, pause, follow_ups, out),
            Action::Fail { request } => self.fail_request(request, out),
            Action::Cancel { request, attempt } => {
                if let Some(ticket) = self.ticket_of(&request)
                    && let Some(record) = self.in_flight_attempt(ticket, attempt)
                    && !record.withdrawn
                {
                    record.withdrawn = true;
                    out.push(Output::Withdraw { ticket, attempt });
                }
            }
            Action::Wake { at } => {
                self.wake_times.insert(at);
            }
            Action::CloseIdleConnections { server } => out.push(Output::DropIdle { server }),
            Action::Subscribe => out.push(Output::WatchServerList),
            Action::Log { text } => out.push(Output::Log { text }),
            Action::Probe { server } => self.probe(now, server, follow_ups, out),
        }
    }

    fn send(
        &mut self,
        now: Micros,
        request: Id,
        server: Id,
        until: Micros,
        follow_ups: &mut VecDeque<FollowUp>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let ticket = self.ticket_of(&request);
        let Some((ticket, open)) = ticket.and_then(|ticket| Some((ticket, self.open.get_mut(&ticket)?)))
        else {
            // The transaction was answered and its last attempt has ended, so its message is gone.
            self.record_defect(Defect::SentAfterAnswer, request, out);
            return;
        };
        let location = self.fleet.location(&server);
        let known = self.fleet.availability(&server).zip(location);
        let attempt = open.attempts.len() as u32;
        let defect =
            self.rule_checker.check_send(now, open, known).filter(|defect| self.guard.enforces(*defect));
        open.attempts.push(Attempt {
            server: server.clone(),
            location: location.unwrap_or_default(),
            sent: now,
            extent: Extent::Nothing,
            withdrawn: false,
            // Recorded even if it is not sent: the chooser counts this attempt, and attempt numbers must agree.
            outcome: defect.map(|_| Outcome::NotSent),
        });
        let Some(defect) = defect else {
            // An attempt never outlasts the client's deadline.
            let (message, until) = (open.message.clone(), until.min(open.deadline));
            out.push(Output::Start { ticket, attempt, server, message, until });
            return;
        };
        follow_ups.push_back(FollowUp::AttemptNotMade { ticket, attempt });
        self.record_defect(defect, request, out);
        // The attempt never ran, so the chooser may still send the transaction to another app server.
        if defect != Defect::SentToUnknown {
            self.fail_safely(ticket, follow_ups, out);
        }
    }

    /// Sends a probe unless one is in flight at the app server. A probe whose end is never reported counts as in flight
    /// for `attempt_end_overrun`.
    fn probe(
        &mut self,
        now: Micros,
        server: Id,
        follow_ups: &mut VecDeque<FollowUp>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let in_flight =
            self.probes.get(&server).is_some_and(|since| now < since + self.limits.attempt_end_overrun);
        let defect = self.rule_checker.check_probe(self.fleet.availability(&server));
        let defect = defect.filter(|defect| self.guard.enforces(*defect));
        if let Some(defect) = defect {
            self.record_defect(defect, server.clone(), out);
        }
        if in_flight || defect.is_some() {
            follow_ups.push_back(FollowUp::ProbeNotMade { server });
            return;
        }
        self.probes.insert(server.clone(), now);
        out.push(Output::Probe { server });
    }

    fn refuse(
        &mut self,
        request: Id,
        pause: Micros,
        follow_ups: &mut VecDeque<FollowUp>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let Some(ticket) = self.pending_answer(&request, out) else { return };
        let misleads =
            self.open.get(&ticket).is_some_and(|open| self.rule_checker.refusal_would_mislead(open));
        if misleads && self.guard.enforces(Defect::RefusedAfterRun) {
            self.record_defect(Defect::RefusedAfterRun, request, out);
            self.fail_safely(ticket, follow_ups, out);
            return;
        }
        if let Some(open) = self.open.get_mut(&ticket) {
            open.answer_pending = false;
        }
        out.push(Output::Answer { ticket, answer: FinalAnswer::Refused { pause } });
        self.remove_if_finished(ticket);
    }

    fn fail_request(&mut self, request: Id, out: &mut Vec<Output<M, R>>) {
        let Some(ticket) = self.pending_answer(&request, out) else { return };
        let timed_out = self.open.get(&ticket).is_some_and(OpenTransaction::is_timed_out);
        self.fail(ticket, timed_out, out);
        self.remove_if_finished(ticket);
    }

    /// The ticket of a transaction that may be given its final answer.
    fn pending_answer(&mut self, request: &Id, out: &mut Vec<Output<M, R>>) -> Option<Ticket> {
        let ticket = self.ticket_of(request);
        let pending =
            ticket.is_some_and(|ticket| self.open.get(&ticket).is_some_and(|open| open.answer_pending));
        if !pending && self.guard.enforces(Defect::SecondAnswer) {
            self.record_defect(Defect::SecondAnswer, request.clone(), out);
            return None;
        }
        ticket
    }

    /// Answers with a failure, which does not claim whether the request ran.
    fn fail(&mut self, ticket: Ticket, timed_out: bool, out: &mut Vec<Output<M, R>>) {
        let mut reply = None;
        if let Some(open) = self.open.get_mut(&ticket) {
            open.answer_pending = false;
            reply = open.reply.take().filter(|_| !timed_out);
        }
        out.push(Output::Answer { ticket, answer: FinalAnswer::Failed { timed_out, reply } });
    }

    /// Fails a transaction for which the chooser asked for an action that breaks a rule.
    fn fail_safely(
        &mut self,
        ticket: Ticket,
        follow_ups: &mut VecDeque<FollowUp>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let Some(open) = self.open.get_mut(&ticket).filter(|open| open.answer_pending) else { return };
        if self.rule_checker.cancel {
            for (index, attempt) in open.attempts.iter_mut().enumerate() {
                if attempt.is_in_flight() && !attempt.withdrawn {
                    attempt.withdrawn = true;
                    out.push(Output::Withdraw { ticket, attempt: index as u32 });
                }
            }
        }
        self.fail(ticket, false, out);
        follow_ups.push_back(FollowUp::RequestOver { ticket });
    }

    fn record_defect(&mut self, defect: Defect, request: Id, out: &mut Vec<Output<M, R>>) {
        if self.defects.add(defect) {
            out.push(Output::Defect { defect, request });
        }
    }
}

/// Compares the state that determines future behaviour. Settings are the same throughout one exploration of the
/// exhaustive check, and the defect counts influence nothing.
impl<C: PartialEq, M: PartialEq, R: PartialEq, G> PartialEq for Dispatch<C, M, R, G> {
    fn eq(&self, other: &Self) -> bool {
        self.chooser == other.chooser
            && self.fleet == other.fleet
            && self.open == other.open
            && self.client_request_ids == other.client_request_ids
            && self.wake_times == other.wake_times
            && self.check_times == other.check_times
            && self.probes == other.probes
    }
}

impl<C: Eq, M: Eq, R: Eq, G> Eq for Dispatch<C, M, R, G> {}

impl<C: Hash, M: Hash, R: Hash, G> Hash for Dispatch<C, M, R, G> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.chooser.hash(hasher);
        self.fleet.hash(hasher);
        self.open.hash(hasher);
        self.client_request_ids.hash(hasher);
        self.wake_times.hash(hasher);
        self.check_times.hash(hasher);
        self.probes.hash(hasher);
    }
}
