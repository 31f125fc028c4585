//! The actor that owns the decisions: events go in, actions come out and are carried out. Which final
//! answer is owed, and that there is exactly one, is judged here alone.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::rc::Rc;

use gradepaddle::{Action, Arrival, Balancer, Ended, Event, Id, ListKind, Micros, Outcome, Server};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, sleep_until};
use tracing::{error, info, warn};

use crate::app_server;
use crate::clock::Clock;
use crate::routed_task::{Assignment, Report};
use crate::service_table;
use crate::transaction::{FinalAnswer, Message, Reply, Transaction};

/// How long past its deadline a transaction may stay unanswered before the backstop ends it.
const BACKSTOP: Micros = 10_000;

/// Names a transaction in this process. Clients' own ids may repeat, these never do.
pub type Ticket = u64;

/// What the decisions are told.
enum Input {
    Asked { ticket: Ticket, transaction: Transaction, answer: oneshot::Sender<FinalAnswer> },
    Left(Ticket),
    Ended { ticket: Ticket, attempt: u32, outcome: Outcome, reply: Option<Reply> },
    Table(Change),
}

/// A change of the service table.
pub struct Change {
    /// What the entries stand for.
    pub kind: ListKind,
    /// The entries.
    pub servers: Vec<Server>,
    /// The mailboxes of app servers that are new.
    pub added: Vec<(Id, app_server::Mailbox)>,
    /// App servers that nothing can be sent to any more.
    pub forgotten: Vec<Id>,
}

/// The mailbox of the decisions.
#[derive(Clone)]
pub struct Mailbox {
    inputs: mpsc::UnboundedSender<Input>,
    tickets: Rc<Cell<Ticket>>,
}

impl Mailbox {
    /// A mailbox and what comes out of it.
    pub fn new() -> (Self, Inbox) {
        let (inputs, inbox) = mpsc::unbounded_channel();
        (Mailbox { inputs, tickets: Rc::default() }, Inbox(inbox))
    }

    // The decisions end only with the process, so a mail that nobody takes is owed to nobody.
    fn send(&self, input: Input) {
        let _ = self.inputs.send(input);
    }

    /// Hands a transaction over and waits for its final answer. Dropped before that, it tells that the
    /// client has left.
    pub fn ask(&self, transaction: Transaction) -> Pending {
        let ticket = self.tickets.get();
        self.tickets.set(ticket + 1);
        let (answer, answered) = oneshot::channel();
        self.send(Input::Asked { ticket, transaction, answer });
        Pending { ticket, answered, decision: self.clone(), done: false }
    }

    /// Tells how an attempt ended.
    pub fn ended(&self, ticket: Ticket, attempt: u32, outcome: Outcome, reply: Option<Reply>) {
        self.send(Input::Ended { ticket, attempt, outcome, reply });
    }

    /// Tells what the service table says.
    pub fn table(&self, change: Change) {
        self.send(Input::Table(change));
    }
}

/// What comes out of a [`Mailbox`].
pub struct Inbox(mpsc::UnboundedReceiver<Input>);

/// A transaction whose final answer is awaited.
pub struct Pending {
    ticket: Ticket,
    answered: oneshot::Receiver<FinalAnswer>,
    decision: Mailbox,
    done: bool,
}

impl Pending {
    /// The final answer. Safe to drop midway and call again.
    pub async fn answer(&mut self) -> FinalAnswer {
        let answer = (&mut self.answered).await;
        self.done = true;
        answer.unwrap_or(FinalAnswer::Failed { late: false, reply: None })
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if !self.done {
            self.decision.send(Input::Left(self.ticket));
        }
    }
}

/// A transaction until it is answered and its last attempt has ended.
struct Open {
    id: Id,
    /// Its client's id, which no other may use meanwhile.
    own: Rc<[u8]>,
    message: Rc<Message>,
    answer: Option<oneshot::Sender<FinalAnswer>>,
    attempts: Vec<Attempt>,
    /// The last outcome was a time-out.
    late: bool,
    /// What came with the last outcome, if that is no success.
    reply: Option<Reply>,
}

impl Open {
    /// True if it is for want of an answer that it fails, not for an answer that was bad.
    fn is_late(&self) -> bool {
        self.late || self.reply.is_none() && self.attempts.iter().any(|attempt| attempt.out)
    }
}

struct Attempt {
    sent: Micros,
    /// Its outcome is still to come.
    out: bool,
    /// Sent, or dropped, it withdraws the attempt.
    withdraw: Option<oneshot::Sender<()>>,
}

/// The actor's state.
pub struct Decision {
    balancer: Balancer,
    name: String,
    clock: Clock,
    mailbox: Mailbox,
    table: service_table::Mailbox,
    app_servers: HashMap<Id, app_server::Mailbox>,
    open: HashMap<Ticket, Open>,
    tickets: HashMap<Id, Ticket>,
    /// The clients' ids of those that are open.
    own: HashSet<Rc<[u8]>>,
    wakes: BinaryHeap<Reverse<Micros>>,
    deadlines: BinaryHeap<Reverse<(Micros, Ticket)>>,
    actions: Vec<Action>,
    ready: watch::Sender<bool>,
}

impl Decision {
    /// The decisions of this balancer. `ready` turns true once the table has named an app server.
    pub fn new(
        balancer: Balancer,
        name: String,
        clock: Clock,
        mailbox: Mailbox,
        table: service_table::Mailbox,
        ready: watch::Sender<bool>,
    ) -> Self {
        Decision {
            balancer,
            name,
            clock,
            mailbox,
            table,
            app_servers: HashMap::new(),
            open: HashMap::new(),
            tickets: HashMap::new(),
            own: HashSet::new(),
            wakes: BinaryHeap::new(),
            deadlines: BinaryHeap::new(),
            actions: Vec::new(),
            ready,
        }
    }

    /// Takes events until the process ends.
    pub async fn run(mut self, mut inbox: Inbox) {
        loop {
            let due = self.due();
            let at = due.map_or_else(Instant::now, |at| self.clock.instant(at));
            tokio::select! {
                biased;
                () = sleep_until(at), if due.is_some() => self.wake(),
                input = inbox.0.recv() => match input {
                    Some(input) => self.take(input),
                    None => return,
                },
            }
        }
    }

    fn due(&self) -> Option<Micros> {
        let wake = self.wakes.peek().map(|Reverse(at)| *at);
        let deadline = self.deadlines.peek().map(|Reverse((at, _))| *at);
        wake.into_iter().chain(deadline).min()
    }

    fn wake(&mut self) {
        let now = self.clock.now();
        let mut woken = false;
        while self.wakes.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.wakes.pop();
            woken = true;
        }
        if woken {
            self.decide(now, Event::Wake);
        }
        while let Some(Reverse((at, ticket))) = self.deadlines.peek().copied() {
            if at > now {
                break;
            }
            self.deadlines.pop();
            self.backstop(now, ticket);
        }
    }

    /// Guards against a transaction that the decisions forget: its deadline has passed without an answer.
    fn backstop(&mut self, now: Micros, ticket: Ticket) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let Some(answer) = open.answer.take() else { return };
        error!(transaction = %open.id, "defect: no final answer by the deadline; it failed");
        // The client may have left just now.
        let _ = answer.send(FinalAnswer::Failed { late: true, reply: None });
        self.left(now, ticket);
    }

    fn take(&mut self, input: Input) {
        let now = self.clock.now();
        match input {
            Input::Asked { ticket, transaction, answer } => self.asked(now, ticket, transaction, answer),
            Input::Left(ticket) => {
                if self.open.get_mut(&ticket).and_then(|open| open.answer.take()).is_some() {
                    self.left(now, ticket);
                }
            }
            Input::Ended { ticket, attempt, outcome, reply } => {
                self.ended(now, ticket, attempt, outcome, reply);
            }
            Input::Table(change) => {
                for (id, mailbox) in change.added {
                    self.app_servers.insert(id, mailbox);
                }
                self.decide(now, Event::List { kind: change.kind, servers: change.servers });
                for id in &change.forgotten {
                    self.app_servers.remove(id);
                }
                if !self.app_servers.is_empty() && !*self.ready.borrow() {
                    info!(app_servers = self.app_servers.len(), "ready");
                    self.ready.send_replace(true);
                }
            }
        }
    }

    fn asked(
        &mut self,
        now: Micros,
        ticket: Ticket,
        transaction: Transaction,
        answer: oneshot::Sender<FinalAnswer>,
    ) {
        let Transaction { own, class, tenant, key, arrived, time_left, message } = transaction;
        if !self.own.insert(own.clone()) {
            // App servers know requests by their clients' ids: two at once could get each other's answers,
            // and the second would look like a copy of the first. Its client may have left just now.
            let _ = answer.send(FinalAnswer::Known);
            return;
        }
        let id: Id = format!("{}-{ticket}", self.name).into();
        let ends = arrived.saturating_add(time_left);
        let open = Open {
            id: id.clone(),
            own,
            message,
            answer: Some(answer),
            attempts: Vec::new(),
            late: false,
            reply: None,
        };
        self.open.insert(ticket, open);
        self.tickets.insert(id.clone(), ticket);
        self.deadlines.push(Reverse((ends.saturating_add(BACKSTOP), ticket)));
        let ttl = ends.saturating_sub(now);
        let arrival = Arrival { id, class, tenant, ttl, hint: None, key: key.as_deref() };
        self.decide(now, Event::Request(arrival));
    }

    fn left(&mut self, now: Micros, ticket: Ticket) {
        let Some(open) = self.open.get(&ticket) else { return };
        let id = open.id.clone();
        self.decide(now, Event::Left { request: &id });
        self.settle(ticket);
    }

    fn ended(&mut self, now: Micros, ticket: Ticket, attempt: u32, outcome: Outcome, reply: Option<Reply>) {
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let Some(of) = open.attempts.get_mut(attempt as usize) else { return };
        of.out = false;
        let took = now.saturating_sub(of.sent);
        open.late = outcome == Outcome::TimedOut;
        match (outcome, reply) {
            (Outcome::Ok, Some(reply)) => {
                if let Some(answer) = open.answer.take() {
                    // A client that has left just now has no use for it.
                    let _ = answer.send(FinalAnswer::Served(reply));
                }
            }
            (_, reply) => open.reply = reply,
        }
        let (id, closed) = (open.id.clone(), open.answer.is_none());
        let ended = Ended { request: &id, attempt, outcome, took, closed, report: None };
        self.decide(now, Event::Ended(ended));
        self.settle(ticket);
    }

    /// Forgets a transaction that is answered and has no attempt out.
    fn settle(&mut self, ticket: Ticket) {
        let done = |open: &Open| open.answer.is_none() && open.attempts.iter().all(|attempt| !attempt.out);
        if self.open.get(&ticket).is_some_and(done)
            && let Some(open) = self.open.remove(&ticket)
        {
            self.tickets.remove(&open.id);
            self.own.remove(&open.own);
        }
    }

    fn decide(&mut self, now: Micros, event: Event<'_>) {
        let mut actions = std::mem::take(&mut self.actions);
        self.balancer.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.act(now, action);
        }
        self.actions = actions;
    }

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Send { request, server, until } => self.send(now, &request, &server, until),
            Action::Refuse { request, pause } => self.finish(&request, |_| FinalAnswer::Refused { pause }),
            Action::Fail { request } => {
                self.finish(&request, |open| {
                    let late = open.is_late();
                    FinalAnswer::Failed { late, reply: open.reply.take().filter(|_| !late) }
                });
            }
            Action::Cancel { request, attempt } => {
                let open = self.tickets.get(&request).and_then(|ticket| self.open.get_mut(ticket));
                if let Some(of) = open.and_then(|open| open.attempts.get_mut(attempt as usize))
                    && let Some(withdraw) = of.withdraw.take()
                {
                    // It may have ended at this moment.
                    let _ = withdraw.send(());
                }
            }
            Action::Wake { at } => self.wakes.push(Reverse(at)),
            Action::DropIdle { server } => {
                if let Some(app_server) = self.app_servers.get(&server) {
                    let _ = app_server.send(app_server::Command::DropIdle);
                }
            }
            Action::Subscribe => {
                let _ = self.table.send(service_table::Ask::Watch);
            }
            Action::Log { text } => info!("decisions: {text}"),
            Action::Probe { server } => {
                warn!(%server, "decisions asked for a probe; this balancer sends none")
            }
        }
    }

    fn send(&mut self, now: Micros, request: &Id, server: &Id, until: Micros) {
        let Some(ticket) = self.tickets.get(request).copied() else { return };
        let Some(open) = self.open.get_mut(&ticket) else { return };
        let (withdraw, withdrawn) = oneshot::channel();
        let attempt = open.attempts.len() as u32;
        open.attempts.push(Attempt { sent: now, out: true, withdraw: Some(withdraw) });
        let report = Report::new(self.mailbox.clone(), ticket, attempt);
        let Some(app_server) = self.app_servers.get(server) else {
            warn!(%server, "an attempt at an app server that is not in the table");
            return report.tell(Outcome::Moot, None);
        };
        let message = open.message.clone();
        let assignment = Assignment { message, until, withdrawn, report };
        if let Err(mpsc::error::SendError(app_server::Command::Start(unsent))) =
            app_server.send(app_server::Command::Start(assignment))
        {
            unsent.report.tell(Outcome::Moot, None);
        }
    }

    fn finish(&mut self, request: &Id, answer: impl FnOnce(&mut Open) -> FinalAnswer) {
        let Some(ticket) = self.tickets.get(request).copied() else { return };
        if let Some(open) = self.open.get_mut(&ticket)
            && let Some(owed) = open.answer.take()
        {
            // The client may have left just now.
            let _ = owed.send(answer(open));
        }
        self.settle(ticket);
    }
}

#[cfg(test)]
mod tests {
    use gradepaddle::Settings;

    use super::*;

    /// Guards against a transaction that the decisions forget: past its deadline it fails by itself, once.
    #[tokio::test(flavor = "current_thread")]
    async fn a_forgotten_transaction_fails_at_the_backstop() {
        let balancer = Balancer::new(Settings::default(), 1).expect("settings");
        let ((mailbox, _inbox), (table, _asks)) = (Mailbox::new(), mpsc::unbounded_channel());
        let (ready, _) = watch::channel(false);
        let mut decision = Decision::new(balancer, "n".into(), Clock::start(), mailbox, table, ready);
        let (answer, mut answered) = oneshot::channel();
        let head = crate::http::Head::parse(b"GET / HTTP/1.1\r\n\r\n".to_vec()).expect("a head");
        let body = crate::buffers::Pool::default().chain();
        let message = Rc::new(Message::Http(crate::http::Message { head, body }));
        let id: Id = "n-1".into();
        let open = Open {
            id: id.clone(),
            own: Rc::from(*b"c1"),
            message,
            answer: Some(answer),
            attempts: Vec::new(),
            late: false,
            reply: None,
        };
        decision.open.insert(1, open);
        decision.tickets.insert(id, 1);
        let now = decision.clock.now();
        decision.deadlines.push(Reverse((now + 60_000_000, 1)));
        decision.wake();
        assert!(answered.try_recv().is_err(), "not before its time");
        decision.deadlines.push(Reverse((now, 1)));
        decision.wake();
        assert!(matches!(answered.try_recv(), Ok(FinalAnswer::Failed { late: true, reply: None })));
        assert!(decision.open.is_empty() && decision.tickets.is_empty());
    }
}
