//! The life of all open transactions: inputs in, the chooser asked, its actions checked, outputs out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use gradepaddle::{
    Action, Arrival, AttemptEnd, Event, Id, ListKind, LoadReport, Micros, Outcome, Server, ServerState,
    Settings,
};

use crate::attempt::{Attempt, Cause, Extent, probed};
use crate::chooser::Chooser;
use crate::fleet::Fleet;
use crate::guard::{Defect, Defects, Guard, Rulebook, Rules};
use crate::io::{FinalAnswer, Input, Output, Ticket, Transaction};
use crate::transaction::{Open, TransactionView};

/// Spans that hold for a whole installation. All in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// So long after it was told that an app server drains or is gone, nothing new may be sent to it.
    pub drain_grace: Micros,
    /// So long past its deadline a transaction may stay unanswered before it fails by itself.
    pub answer_overrun: Micros,
    /// So long past its deadline an answered transaction waits for the ends of its attempts.
    pub attempt_end_overrun: Micros,
    /// An app server that has left the table is forgotten after this.
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

/// An input that follows from what the guard did, told once the actions at hand are through.
#[derive(Debug)]
enum Echo {
    /// An attempt that the chooser believes out was not made.
    Moot { ticket: Ticket, attempt: u32 },
    /// A transaction was ended without the chooser.
    Left { ticket: Ticket },
    /// A probe that the chooser waits for was not made.
    Unprobed { server: Id },
}

/// Echoes that one input may cause. A chooser that answers each with another action is cut off here: the
/// deadline still ends its transactions.
const MOST_ECHOES: usize = 256;

/// All open transactions of one balancer, round one chooser.
#[derive(Clone, Debug)]
pub struct Dispatch<C, M, R, G = Rules> {
    chooser: C,
    guard: G,
    rulebook: Arc<Rulebook>,
    limits: Limits,
    name: Arc<str>,
    fleet: Fleet,
    open: BTreeMap<Ticket, Open<M, R>>,
    /// The clients' ids of those that are open.
    client_request_ids: BTreeSet<Arc<[u8]>>,
    /// When the chooser wants to be woken.
    wakes: BTreeSet<Micros>,
    /// When each open transaction is to be looked at, whatever the chooser does.
    dues: BTreeSet<(Micros, Ticket)>,
    /// The probes that are out, and since when.
    probes: BTreeMap<Id, Micros>,
    defects: Defects,
    /// Kept for its memory between inputs.
    actions: Vec<Action>,
}

impl<C: Chooser, M: Clone, R> Dispatch<C, M, R> {
    /// Nothing open, no app server known. `name` is this balancer's and goes into the transactions' ids.
    pub fn new(chooser: C, settings: &Settings, name: &str, limits: Limits) -> Self {
        Dispatch::with_guard(chooser, Rules, settings, name, limits)
    }
}

impl<C: Chooser, M: Clone, R, G: Guard> Dispatch<C, M, R, G> {
    /// The same with another guard, for the exhaustive check.
    pub fn with_guard(chooser: C, guard: G, settings: &Settings, name: &str, limits: Limits) -> Self {
        Dispatch {
            chooser,
            guard,
            rulebook: Arc::new(Rulebook::new(settings, &limits)),
            limits,
            name: name.into(),
            fleet: Fleet::new(settings.keep_gone_servers),
            open: BTreeMap::new(),
            client_request_ids: BTreeSet::new(),
            wakes: BTreeSet::new(),
            dues: BTreeSet::new(),
            probes: BTreeMap::new(),
            defects: Defects::default(),
            actions: Vec::new(),
        }
    }

    /// Takes in one input at this time and appends what the shell is to do.
    pub fn handle(&mut self, now: Micros, input: Input<M, R>, out: &mut Vec<Output<M, R>>) {
        let mut echoes = VecDeque::new();
        match input {
            Input::Accepted { ticket, transaction } => self.taken(now, ticket, transaction, &mut echoes, out),
            Input::ClientDisconnected { ticket } => {
                if let Some(open) = self.open.get_mut(&ticket).filter(|open| open.answer_pending) {
                    open.answer_pending = false;
                    self.told_left(now, ticket, &mut echoes, out);
                    self.hold(ticket, out);
                }
            }
            Input::Uploaded { ticket } => self.uploaded(now, ticket),
            Input::BodyConsumed { ticket, attempt } => {
                if let Some(open) = self.open.get_mut(&ticket).filter(|open| open.spent.is_none()) {
                    open.spent = Some(attempt);
                    let id = open.id.clone();
                    let event = Event::Streaming { request: &id, attempt };
                    self.decide(now, event, &mut echoes, out);
                }
            }
            Input::Written { ticket, attempt, extent } => {
                if let Some(of) = self.attempt(ticket, attempt) {
                    of.extent = of.extent.max(extent);
                }
            }
            Input::AttemptEnded { ticket, attempt, extent, cause, reply, report } => {
                self.ended(now, ticket, attempt, extent, cause, (reply, report), &mut echoes, out);
            }
            Input::ProbeEnded { server, cause, report } => {
                // Told twice, or of none that was sent: it says nothing.
                if let Some(since) = self.probes.remove(&server) {
                    let took = now.saturating_sub(since);
                    let event = Event::ProbeEnded { server: &server, outcome: probed(cause), took, report };
                    self.decide(now, event, &mut echoes, out);
                }
            }
            Input::ServerList { kind, servers } => self.list(now, kind, servers, &mut echoes, out),
            Input::Ban { server, since } => self.ban(now, server, since, &mut echoes, out),
            Input::Tick => self.tick(now, &mut echoes, out),
        }
        for _ in 0..MOST_ECHOES {
            let Some(echo) = echoes.pop_front() else { return };
            match echo {
                Echo::Left { ticket } => self.told_left(now, ticket, &mut echoes, out),
                Echo::Moot { ticket, attempt } => {
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
                    self.decide(now, Event::AttemptEnded(ended), &mut echoes, out);
                    self.settle(ticket);
                }
                Echo::Unprobed { server } => {
                    let (outcome, took) = (Outcome::NotSent, 0);
                    let event = Event::ProbeEnded { server: &server, outcome, took, report: None };
                    self.decide(now, event, &mut echoes, out);
                }
            }
        }
    }

    /// When the next [`Input::Tick`] is due, if nothing else comes first.
    pub fn next_tick_at(&self) -> Option<Micros> {
        let due = self.dues.first().map(|(at, _)| *at);
        self.wakes.first().copied().into_iter().chain(due).min()
    }

    /// How many transactions are open: not answered yet, or with an attempt in flight.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// True if none is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// The open transactions, in the order of their tickets.
    pub fn views(&self) -> impl Iterator<Item = TransactionView<'_>> {
        self.open.iter().map(|(ticket, open)| open.view(*ticket))
    }

    /// The app servers.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// How often a rule was about to be broken.
    pub fn defects(&self) -> &Defects {
        &self.defects
    }

    /// The chooser, to look at.
    pub fn chooser(&self) -> &C {
        &self.chooser
    }

    /// The chooser, for a check that plays it.
    pub fn chooser_mut(&mut self) -> &mut C {
        &mut self.chooser
    }

    fn attempt(&mut self, ticket: Ticket, attempt: u32) -> Option<&mut Attempt> {
        let open = self.open.get_mut(&ticket)?;
        open.attempts.get_mut(attempt as usize).filter(|attempt| attempt.is_out())
    }

    /// The ticket that an id of ours names. The chooser hands ids back unaltered.
    fn ticket(&self, request: &str) -> Option<Ticket> {
        request.strip_prefix(&*self.name)?.strip_prefix('-')?.parse().ok()
    }

    fn taken(
        &mut self,
        now: Micros,
        ticket: Ticket,
        transaction: Transaction<M>,
        echoes: &mut VecDeque<Echo>,
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
            // App servers know requests by their clients' ids: two at once could get each other's answers,
            // and the second would look like a copy of the first.
            out.push(Output::Answer { ticket, answer: FinalAnswer::DuplicateId });
            return;
        }
        let id: Id = format!("{}-{ticket}", self.name).into();
        let deadline = if upload_complete { arrived.saturating_add(time_left) } else { Micros::MAX };
        let due = deadline.saturating_add(self.limits.answer_overrun);
        let open = Open {
            id: id.clone(),
            client_request_id,
            class,
            once,
            message,
            deadline,
            time_left,
            uploaded_at: upload_complete.then_some(arrived),
            spent: None,
            answer_pending: true,
            attempts: Vec::new(),
            last_timed_out: false,
            reply: None,
            due,
        };
        self.open.insert(ticket, open);
        self.dues.insert((due, ticket));
        // What still comes is expected soon: of a client that stops amid it, the shell tells.
        let ttl = arrived.saturating_add(time_left).saturating_sub(now);
        let hint = hint.map(|work| work as f64);
        let arrival =
            Arrival { id, class, tenant, ttl, work_hint: hint, key: key.as_deref(), run_once: once };
        self.decide(now, Event::Request(arrival), echoes, out);
        self.settle(ticket);
    }

    /// The client's time begins, and with it the deadline.
    fn uploaded(&mut self, now: Micros, ticket: Ticket) {
        let Some(open) = self.open.get_mut(&ticket).filter(|open| open.uploaded_at.is_none()) else { return };
        self.dues.remove(&(open.due, ticket));
        open.uploaded_at = Some(now);
        open.deadline = now.saturating_add(open.time_left);
        open.due = open.deadline.saturating_add(self.limits.answer_overrun);
        self.dues.insert((open.due, ticket));
    }

    #[allow(clippy::too_many_arguments)]
    fn ended(
        &mut self,
        now: Micros,
        ticket: Ticket,
        attempt: u32,
        extent: Extent,
        cause: Cause,
        (reply, report): (Option<R>, Option<LoadReport>),
        echoes: &mut VecDeque<Echo>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let forbids = self.guard.enforces(Defect::SecondAnswer);
        // Told of a transaction that is forgotten, or twice: it changes nothing.
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let Some(of) = open.attempts.get_mut(attempt as usize).filter(|of| of.is_out()) else { return };
        // What was told to be written stays written, whatever the end says.
        of.extent = of.extent.max(extent);
        let outcome = match self.guard.outcome(of.extent, cause) {
            // Nothing can be passed on.
            Outcome::Ok if reply.is_none() => Outcome::Error,
            outcome => outcome,
        };
        of.outcome = Some(outcome);
        // How fast its client sends says nothing about an app server.
        let took = now.saturating_sub(of.sent.max(open.uploaded_at.unwrap_or(now)));
        open.last_timed_out = outcome == Outcome::TimedOut;
        match (outcome, reply) {
            (Outcome::Ok, Some(reply)) => {
                if open.answer_pending || !forbids {
                    open.answer_pending = false;
                    out.push(Output::Answer { ticket, answer: FinalAnswer::Served(reply) });
                }
            }
            (_, reply) => open.reply = reply,
        }
        let (id, closed) = (open.id.clone(), !open.answer_pending);
        let ended = AttemptEnd { request: &id, attempt, outcome, took, request_finished: closed, report };
        self.decide(now, Event::AttemptEnded(ended), echoes, out);
        self.settle(ticket);
    }

    fn list(
        &mut self,
        now: Micros,
        kind: ListKind,
        mut servers: Vec<Server>,
        echoes: &mut VecDeque<Echo>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let changes = self.fleet.take(now, kind, &servers, self.limits.server_retention);
        // Before the chooser is asked, so that what is not yet on its way to a closed one stays here.
        for (server, open) in changes.standing {
            out.push(Output::Availability { server, open });
        }
        // To the chooser a banned one drains, as long as the ban lasts.
        for server in servers.iter_mut().filter(|server| server.state == ServerState::Ready) {
            if self.fleet.is_banned(&server.id) {
                server.state = ServerState::Draining;
            }
        }
        self.decide(now, Event::List { kind, servers }, echoes, out);
        for server in changes.forgotten {
            self.probes.remove(&server);
            out.push(Output::ServerRemoved { server });
        }
    }

    /// A ban, or its end, is a drain, or a start, told by the list.
    fn ban(
        &mut self,
        now: Micros,
        server: Id,
        since: Option<Micros>,
        echoes: &mut VecDeque<Echo>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let told = match since {
            Some(since) => self.fleet.ban(since.min(now), &server),
            None => self.fleet.lift(now, &server),
        };
        let Some(told) = told else { return };
        out.push(Output::Availability { server, open: since.is_none() });
        let (kind, servers) = (ListKind::Delta, vec![told]);
        self.decide(now, Event::List { kind, servers }, echoes, out);
    }

    fn tick(&mut self, now: Micros, echoes: &mut VecDeque<Echo>, out: &mut Vec<Output<M, R>>) {
        let mut woken = false;
        while self.wakes.first().is_some_and(|at| *at <= now) {
            self.wakes.pop_first();
            woken = true;
        }
        if woken {
            self.decide(now, Event::Wake, echoes, out);
        }
        while let Some((at, ticket)) = self.dues.first().copied()
            && at <= now
        {
            self.dues.pop_first();
            self.overdue(now, ticket, echoes, out);
        }
    }

    /// Guards against a transaction that the chooser forgets, and against an attempt that the shell does:
    /// past the deadline the one fails, long past it the other counts as ended.
    fn overdue(
        &mut self,
        now: Micros,
        ticket: Ticket,
        echoes: &mut VecDeque<Echo>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        if open.answer_pending {
            if self.guard.fails_overdue() {
                // The chooser has no deadline for what streams: that one is kept here.
                if open.spent.is_none() {
                    let id = open.id.clone();
                    self.found(Defect::Unanswered, id, out);
                }
                self.fail(ticket, true, out);
                self.told_left(now, ticket, echoes, out);
            }
            // What is still out then has until the next look.
            if let Some(open) = self.open.get_mut(&ticket) {
                open.due = now.saturating_add(self.limits.attempt_end_overrun);
                self.dues.insert((open.due, ticket));
            }
            return;
        }
        let until = open.deadline.saturating_add(self.limits.attempt_end_overrun);
        if now < until {
            open.due = until;
            self.dues.insert((until, ticket));
            return;
        }
        let id = open.id.clone();
        let out_now: Vec<(u32, Micros)> = open
            .attempts
            .iter_mut()
            .enumerate()
            .filter(|(_, attempt)| attempt.is_out())
            .map(|(at, attempt)| {
                attempt.outcome = Some(Outcome::TimedOut);
                (at as u32, now.saturating_sub(attempt.sent))
            })
            .collect();
        for (attempt, took) in out_now {
            self.found(Defect::NeverEnded, id.clone(), out);
            let outcome = Outcome::TimedOut;
            let ended =
                AttemptEnd { request: &id, attempt, outcome, took, request_finished: true, report: None };
            self.decide(now, Event::AttemptEnded(ended), echoes, out);
        }
        self.settle(ticket);
    }

    /// Tells the chooser that nothing is owed for this transaction any more.
    fn told_left(
        &mut self,
        now: Micros,
        ticket: Ticket,
        echoes: &mut VecDeque<Echo>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let Some(open) = self.open.get(&ticket) else { return };
        let id = open.id.clone();
        self.decide(now, Event::ClientDisconnected { request: &id }, echoes, out);
        self.settle(ticket);
    }

    /// Of a client that has gone nothing new begins, whatever the chooser may or may not withdraw.
    fn hold(&mut self, ticket: Ticket, out: &mut Vec<Output<M, R>>) {
        let Some(open) = self.open.get(&ticket).filter(|_| self.guard.cancels_unstarted()) else { return };
        for (at, attempt) in open.attempts.iter().enumerate() {
            if attempt.is_out() && !attempt.withdrawn && attempt.extent == Extent::Nothing {
                out.push(Output::CancelUnstarted { ticket, attempt: at as u32 });
            }
        }
    }

    /// Forgets a transaction that is answered and has no attempt out.
    fn settle(&mut self, ticket: Ticket) {
        if self.guard.removes_finished()
            && self.open.get(&ticket).is_some_and(Open::is_done)
            && let Some(open) = self.open.remove(&ticket)
        {
            self.dues.remove(&(open.due, ticket));
            self.client_request_ids.remove(&open.client_request_id);
        }
    }

    fn decide(
        &mut self,
        now: Micros,
        event: Event<'_>,
        echoes: &mut VecDeque<Echo>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        self.chooser.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action, echoes, out);
        }
        self.actions = actions;
    }

    fn act(&mut self, now: Micros, action: Action, echoes: &mut VecDeque<Echo>, out: &mut Vec<Output<M, R>>) {
        match action {
            Action::Send { request, server, deadline: until } => {
                self.send(now, request, server, until, echoes, out);
            }
            Action::Reject { request, retry_after: pause } => self.refuse(request, pause, echoes, out),
            Action::Fail { request } => self.give_up(request, out),
            Action::Cancel { request, attempt } => {
                if let Some(ticket) = self.ticket(&request)
                    && let Some(of) = self.attempt(ticket, attempt)
                    && !of.withdrawn
                {
                    of.withdrawn = true;
                    out.push(Output::Withdraw { ticket, attempt });
                }
            }
            Action::Wake { at } => {
                self.wakes.insert(at);
            }
            Action::CloseIdleConnections { server } => out.push(Output::DropIdle { server }),
            Action::Subscribe => out.push(Output::WatchServerList),
            Action::Log { text } => out.push(Output::Log { text }),
            Action::Probe { server } => self.probe(now, server, echoes, out),
        }
    }

    fn send(
        &mut self,
        now: Micros,
        request: Id,
        server: Id,
        until: Micros,
        echoes: &mut VecDeque<Echo>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let ticket = self.ticket(&request);
        let Some((ticket, open)) = ticket.and_then(|ticket| Some((ticket, self.open.get_mut(&ticket)?)))
        else {
            // Answered, and its last attempt has ended: there is nothing left to send.
            self.found(Defect::SentAfterAnswer, request, out);
            return;
        };
        let place = self.fleet.place(&server);
        let known = self.fleet.standing(&server).zip(place);
        let attempt = open.attempts.len() as u32;
        let defect = self.rulebook.send(now, open, known).filter(|defect| self.guard.enforces(*defect));
        open.attempts.push(Attempt {
            server: server.clone(),
            place: place.unwrap_or_default(),
            sent: now,
            extent: Extent::Nothing,
            withdrawn: false,
            // The chooser counts this attempt, so it is counted here too.
            outcome: defect.map(|_| Outcome::NotSent),
        });
        let Some(defect) = defect else {
            // Nothing is waited for once the client has given up.
            let (message, until) = (open.message.clone(), until.min(open.deadline));
            out.push(Output::Start { ticket, attempt, server, message, until });
            return;
        };
        echoes.push_back(Echo::Moot { ticket, attempt });
        self.found(defect, request, out);
        // It never ran and breaks no promise: where to go instead is the chooser's to say.
        if defect != Defect::SentToUnknown {
            self.end_safely(ticket, echoes, out);
        }
    }

    /// One probe at a time goes to an app server. One whose end the shell never tells counts for as long as an
    /// attempt would.
    fn probe(&mut self, now: Micros, server: Id, echoes: &mut VecDeque<Echo>, out: &mut Vec<Output<M, R>>) {
        let out_now =
            self.probes.get(&server).is_some_and(|since| now < since + self.limits.attempt_end_overrun);
        let defect = self.rulebook.probe(self.fleet.standing(&server));
        let defect = defect.filter(|defect| self.guard.enforces(*defect));
        if let Some(defect) = defect {
            self.found(defect, server.clone(), out);
        }
        if out_now || defect.is_some() {
            echoes.push_back(Echo::Unprobed { server });
            return;
        }
        self.probes.insert(server.clone(), now);
        out.push(Output::Probe { server });
    }

    fn refuse(
        &mut self,
        request: Id,
        pause: Micros,
        echoes: &mut VecDeque<Echo>,
        out: &mut Vec<Output<M, R>>,
    ) {
        let Some(ticket) = self.owed(&request, out) else { return };
        let lies = self.open.get(&ticket).is_some_and(|open| self.rulebook.refusal_lies(open));
        if lies && self.guard.enforces(Defect::RefusedAfterRun) {
            self.found(Defect::RefusedAfterRun, request, out);
            self.end_safely(ticket, echoes, out);
            return;
        }
        if let Some(open) = self.open.get_mut(&ticket) {
            open.answer_pending = false;
        }
        out.push(Output::Answer { ticket, answer: FinalAnswer::Refused { pause } });
        self.settle(ticket);
    }

    fn give_up(&mut self, request: Id, out: &mut Vec<Output<M, R>>) {
        let Some(ticket) = self.owed(&request, out) else { return };
        let timed_out = self.open.get(&ticket).is_some_and(Open::is_timed_out);
        self.fail(ticket, timed_out, out);
        self.settle(ticket);
    }

    /// The ticket of a transaction that may be answered.
    fn owed(&mut self, request: &Id, out: &mut Vec<Output<M, R>>) -> Option<Ticket> {
        let ticket = self.ticket(request);
        let owed =
            ticket.is_some_and(|ticket| self.open.get(&ticket).is_some_and(|open| open.answer_pending));
        if !owed && self.guard.enforces(Defect::SecondAnswer) {
            self.found(Defect::SecondAnswer, request.clone(), out);
            return None;
        }
        ticket
    }

    /// Answers with a failure that claims nothing.
    fn fail(&mut self, ticket: Ticket, timed_out: bool, out: &mut Vec<Output<M, R>>) {
        let mut reply = None;
        if let Some(open) = self.open.get_mut(&ticket) {
            open.answer_pending = false;
            reply = open.reply.take().filter(|_| !timed_out);
        }
        out.push(Output::Answer { ticket, answer: FinalAnswer::Failed { timed_out, reply } });
    }

    /// Ends a transaction that the chooser was about to break a rule with.
    fn end_safely(&mut self, ticket: Ticket, echoes: &mut VecDeque<Echo>, out: &mut Vec<Output<M, R>>) {
        let Some(open) = self.open.get_mut(&ticket).filter(|open| open.answer_pending) else { return };
        if self.rulebook.cancel {
            for (at, attempt) in open.attempts.iter_mut().enumerate() {
                if attempt.is_out() && !attempt.withdrawn {
                    attempt.withdrawn = true;
                    out.push(Output::Withdraw { ticket, attempt: at as u32 });
                }
            }
        }
        self.fail(ticket, false, out);
        echoes.push_back(Echo::Left { ticket });
    }

    fn found(&mut self, defect: Defect, request: Id, out: &mut Vec<Output<M, R>>) {
        if self.defects.add(defect) {
            out.push(Output::Defect { defect, request });
        }
    }
}

/// Equal in all that decides what comes next. Settings are the same throughout one exploration, and the
/// counts of defects decide nothing.
impl<C: PartialEq, M: PartialEq, R: PartialEq, G> PartialEq for Dispatch<C, M, R, G> {
    fn eq(&self, other: &Self) -> bool {
        self.chooser == other.chooser
            && self.fleet == other.fleet
            && self.open == other.open
            && self.client_request_ids == other.client_request_ids
            && self.wakes == other.wakes
            && self.dues == other.dues
            && self.probes == other.probes
    }
}

impl<C: Eq, M: Eq, R: Eq, G> Eq for Dispatch<C, M, R, G> {}

impl<C: Hash, M: Hash, R: Hash, G> Hash for Dispatch<C, M, R, G> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.chooser.hash(state);
        self.fleet.hash(state);
        self.open.hash(state);
        self.client_request_ids.hash(state);
        self.wakes.hash(state);
        self.dues.hash(state);
        self.probes.hash(state);
    }
}
