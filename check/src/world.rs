//! The world round dispatch: clients, app servers, the list, connections and time. Everything that can
//! happen next is a [`Step`]; carrying one out gives the next world.

use std::fmt;

use gradepaddle::{Action, Id, ListKind, Micros, Server, ServerState};
use gradepaddle_dispatch::{
    Cause, Dispatch, Extent, FinalAnswer, Input, Limits, Output, Ticket, Transaction,
};

use crate::broken::Broken;
use crate::player::Player;
use crate::property::Property;
use crate::sizes::{Kind, Sizes};

/// Names of app servers, in the order in which they come up.
const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

type Dispatched<C> = Dispatch<C, u8, u8, Broken>;

/// What one client's transaction has seen so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    /// None before it has asked.
    ticket: Option<Ticket>,
    /// When it gives up; none while it still sends.
    ends: Option<Micros>,
    /// An attempt has used up what it sends.
    spent: bool,
    answers: u8,
    left: bool,
    /// The balancer died with it open: its connection is reset.
    lost: bool,
    /// Attempts written whole that no app server has said did not run.
    runs: u8,
    /// Of a keyed transaction: the zone that knows its key, and since when, once an attempt that may have run has
    /// ended.
    key: Option<(u32, Micros)>,
    /// Sends that the chooser has asked for.
    sends: u8,
}

impl Client {
    fn waits(&self) -> bool {
        self.ticket.is_some() && self.answers == 0 && !self.left && !self.lost
    }
}

/// An attempt on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flight {
    ticket: Ticket,
    attempt: u32,
    client: u8,
    server: u8,
    /// When it started, where that matters: of keyed transactions.
    sent: Micros,
    until: Micros,
    /// Its connection is up.
    up: bool,
    extent: Extent,
    /// How far dispatch was told that it is written.
    told: Extent,
    withdrawn: bool,
}

/// What was told of an app server, and what its connections go by.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Standing {
    /// Told draining or gone at this time, and not ready since.
    closed: Option<Micros>,
    /// Taken out by the operators at this time, and not called back since.
    banned: Option<Micros>,
    /// Its connections may be used for something new.
    open: bool,
    gone: bool,
}

impl Standing {
    /// Since when nothing new may go there.
    fn shut(&self) -> Option<Micros> {
        self.closed.into_iter().chain(self.banned).min()
    }
}

/// How many more of each trouble may come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Left {
    drains: u8,
    leaves: u8,
    crashes: u8,
    replacements: u8,
    old_lists: u8,
    bans: u8,
    late_ends: u8,
}

/// A state of the exploration.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World<C> {
    now: Micros,
    dispatch: Dispatched<C>,
    clients: Vec<Client>,
    flights: Vec<Flight>,
    servers: Vec<Standing>,
    left: Left,
    /// The last list that was asked for failed, and an old one comes next.
    failed: bool,
    /// A drain that a broken version holds back.
    held: Vec<u8>,
    /// The last attempt that ended, for an end told twice.
    last: Option<(Ticket, u32)>,
    /// The promise that was broken on the way here.
    pub breach: Option<Property>,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A client asks.
    Ask(u8),
    /// A client leaves, whether or not its final answer is under way.
    Leave(u8),
    /// The chooser asks for an attempt.
    Send(u8, u8),
    /// The chooser refuses.
    Refuse(u8),
    /// The chooser gives up.
    Fail(u8),
    /// The chooser withdraws an attempt.
    Cancel(u8, u32),
    /// An attempt's connection does not come up.
    NoConnection(u8, u32),
    /// An attempt's connection is up.
    Dial(u8, u32),
    /// An attempt's first byte is due.
    FirstByte(u8, u32),
    /// The last byte is written; nothing is told of it yet.
    LastByte(u8, u32),
    /// Dispatch is told that the last byte is written.
    Record(u8, u32),
    /// An attempt ends.
    End(u8, u32, Cause),
    /// The end of an attempt is told once more.
    EndAgain(u8),
    /// The list says that an app server drains.
    Drain(u8),
    /// The list says that an app server is gone and that another stands at its address.
    Replace(u8),
    /// The operators take an app server out.
    Ban(u8),
    /// The operators call an app server back.
    CallBack(u8),
    /// The last byte of a transaction has come that was taken before.
    Uploaded(u8),
    /// An attempt has used up some of what its client sends.
    Spend(u8, u32),
    /// A call for the list fails.
    ListFails,
    /// A list from the beginning comes.
    OldList,
    /// The balancer dies and starts again with its first list.
    Crash,
    /// What is due by now is told.
    Tick,
    /// Time passes.
    Advance(Micros),
}

/// App servers stand in two zones by turns.
fn zone(at: u8) -> u32 {
    u32::from(at) % 2
}

fn server(at: u8, state: ServerState) -> Server {
    let id: Id = NAMES[usize::from(at)].into();
    Server { id, zone: zone(at), kind: 0, cell: u32::from(at), state, weight: 1.0, started: None }
}

/// What stays the same throughout one exploration.
#[derive(Clone, Debug)]
pub struct Case {
    /// How large it is.
    pub sizes: Sizes,
    /// How long a time step lasts.
    pub step: Micros,
    /// What is broken.
    pub broken: Broken,
}

impl Case {
    fn limits(&self) -> Limits {
        let drain_grace = self.step * Micros::from(self.sizes.grace);
        // No slack: what is due at a time is told before time goes on.
        Limits {
            drain_grace,
            answer_overrun: 0,
            attempt_end_overrun: self.step,
            server_retention: Micros::MAX / 2,
        }
    }

    fn kind(&self, client: u8) -> Kind {
        self.sizes.classes[usize::from(client) % self.sizes.classes.len()]
    }

    /// Clients ask until then.
    fn last_ask(&self) -> Micros {
        self.step
    }

    /// Time ends then, when all that can be owed is long over.
    fn horizon(&self) -> Micros {
        self.step * (Micros::from(self.sizes.deadline) + 3)
    }

    /// How long a client waits from its last byte on.
    fn time_left(&self) -> Micros {
        self.step * Micros::from(self.sizes.deadline)
    }

    fn own(&self, client: u8) -> [u8; 1] {
        if self.sizes.same_ids { [client & !1] } else { [client] }
    }

    fn dispatch<C: Player>(&self) -> Dispatched<C> {
        let settings = self.sizes.settings(self.step);
        Dispatch::with_guard(C::fresh(&settings), self.broken, &settings, "n", self.limits())
    }

    /// The world before anything has happened: the balancer has its last list.
    pub fn start<C: Player>(&self) -> World<C> {
        let s = &self.sizes;
        let client = Client {
            ticket: None,
            ends: None,
            spent: false,
            answers: 0,
            left: false,
            lost: false,
            runs: 0,
            key: None,
            sends: 0,
        };
        let mut world = World {
            now: 0,
            dispatch: self.dispatch(),
            clients: vec![client; usize::from(s.transactions)],
            flights: Vec::new(),
            servers: vec![
                Standing { closed: None, banned: None, open: false, gone: false };
                usize::from(s.servers)
            ],
            left: Left {
                drains: s.drains,
                leaves: s.leaves,
                crashes: s.crashes,
                replacements: s.replacements,
                old_lists: s.old_lists,
                bans: s.bans,
                late_ends: s.late_ends,
            },
            failed: false,
            held: Vec::new(),
            last: None,
            breach: None,
        };
        world.first_list(self, ListKind::Cached);
        world
    }
}

impl<C: Player> World<C> {
    /// The time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// All that can happen next.
    pub fn steps(&self, case: &Case, steps: &mut Vec<Step>) {
        if self.breach.is_some() {
            return;
        }
        let clients = 0..self.clients.len() as u8;
        if let Some(next) = clients.clone().find(|c| self.client(*c).ticket.is_none())
            && self.now <= case.last_ask()
        {
            steps.push(Step::Ask(next));
        }
        for c in clients {
            let client = self.client(c);
            if client.waits() && self.left.leaves > 0 {
                steps.push(Step::Leave(c));
            }
            if client.waits() && client.ends.is_none() {
                steps.push(Step::Uploaded(c));
            }
            if !C::CHOOSES || client.ticket.is_none() || client.lost {
                continue;
            }
            if u32::from(client.sends) <= case.sizes.attempts {
                steps.extend((0..self.servers.len() as u8).map(|s| Step::Send(c, s)));
            }
            steps.extend([Step::Refuse(c), Step::Fail(c)]);
        }
        let mut overdue = false;
        for f in &self.flights {
            let (c, a) = (f.client, f.attempt);
            if C::CHOOSES && !f.withdrawn {
                steps.push(Step::Cancel(c, a));
            }
            if f.withdrawn {
                steps.push(Step::End(c, a, Cause::Withdrawn));
            }
            match f.extent {
                Extent::Nothing if f.up => steps.push(Step::FirstByte(c, a)),
                Extent::Nothing => steps.extend([Step::NoConnection(c, a), Step::Dial(c, a)]),
                Extent::Part => {
                    steps.push(Step::End(c, a, Cause::Broke));
                    let client = self.client(c);
                    // What flows is whole once the client has sent it and this attempt has passed it on.
                    if !case.sizes.flows || client.spent && client.ends.is_some() {
                        steps.push(Step::LastByte(c, a));
                    }
                    if case.sizes.flows && !client.spent {
                        steps.push(Step::Spend(c, a));
                    }
                }
                Extent::Whole => {
                    let ends = [Cause::Served, Cause::Failed, Cause::Unprocessed, Cause::Broke];
                    steps.extend(ends.map(|cause| Step::End(c, a, cause)));
                    if f.told < f.extent {
                        steps.push(Step::Record(c, a));
                    }
                }
            }
            if f.until <= self.now {
                overdue = true;
                steps.push(Step::End(c, a, Cause::OutOfTime));
            }
        }
        if self.left.late_ends > 0
            && let Some((ticket, _)) = self.last
            && let Some(c) = self.clients.iter().position(|client| client.ticket == Some(ticket))
        {
            steps.push(Step::EndAgain(c as u8));
        }
        for (s, standing) in (0u8..).zip(&self.servers) {
            if self.left.drains > 0 && standing.closed.is_none() {
                steps.push(Step::Drain(s));
            }
            match standing.banned {
                None if self.left.bans > 0 => steps.push(Step::Ban(s)),
                Some(_) => steps.push(Step::CallBack(s)),
                None => {}
            }
            if self.left.replacements > 0 && !standing.gone && self.servers.len() < NAMES.len() {
                steps.push(Step::Replace(s));
            }
        }
        if self.failed {
            steps.push(Step::OldList);
        } else if self.left.old_lists > 0 {
            steps.push(Step::ListFails);
        }
        if self.left.crashes > 0 && self.clients.iter().any(|client| client.ticket.is_some()) {
            steps.push(Step::Crash);
        }
        let due = self.dispatch.next_tick_at();
        if due.is_some_and(|at| at <= self.now) {
            steps.push(Step::Tick);
        } else if !overdue && self.now < case.horizon() {
            let flights = self.flights.iter().map(|f| f.until);
            let next = due.into_iter().chain(flights).chain([self.now + case.step]).min();
            steps.extend(next.map(Step::Advance));
        }
    }

    fn client(&self, client: u8) -> &Client {
        &self.clients[usize::from(client)]
    }

    fn breaks(&mut self, property: Property) {
        self.breach = self.breach.or(Some(property));
    }

    /// Takes the flight of this attempt out; none if the world has no such attempt.
    fn flight(&mut self, client: u8, attempt: u32) -> Option<&mut Flight> {
        let ticket = self.client(client).ticket?;
        self.flights.iter_mut().find(|f| f.ticket == ticket && f.attempt == attempt)
    }

    /// The world after this step; none if it can not be taken.
    pub fn after(&self, case: &Case, step: Step) -> Option<World<C>> {
        let mut next = self.clone();
        next.take(case, step)?;
        // Whatever happened: what is answered and has no attempt out is not kept.
        let kept = next
            .dispatch
            .views()
            .any(|view| !view.answer_pending && !next.flights.iter().any(|f| f.ticket == view.ticket));
        if kept {
            next.breaks(Property::NothingKept);
        }
        let mut own: Vec<&[u8]> = next.dispatch.views().map(|view| view.client_request_id).collect();
        own.sort_unstable();
        if own.windows(2).any(|two| two[0] == two[1]) {
            next.breaks(Property::OwnAnswer);
        }
        Some(next)
    }

    fn take(&mut self, case: &Case, step: Step) -> Option<()> {
        match step {
            Step::Ask(c) => {
                // Tickets count anew in each life of the balancer.
                let ticket =
                    self.clients.iter().filter(|client| client.ticket.is_some() && !client.lost).count();
                let (ticket, time_left) = (ticket as Ticket, case.time_left());
                let upload_complete = !case.sizes.flows;
                let client = &mut self.clients[usize::from(c)];
                (client.ticket, client.ends) =
                    (Some(ticket), upload_complete.then_some(self.now + time_left));
                let transaction = Transaction {
                    client_request_id: case.own(c)[..].into(),
                    class: usize::from(c) % case.sizes.classes.len(),
                    tenant: None,
                    key: None,
                    hint: None,
                    once: case.kind(c) == Kind::Nameless,
                    arrived: self.now,
                    time_left,
                    upload_complete,
                    message: c,
                };
                self.tell(case, Input::Accepted { ticket, transaction });
            }
            Step::Leave(c) => {
                self.left.leaves -= 1;
                let ticket = self.client(c).ticket?;
                self.clients[usize::from(c)].left = true;
                self.tell(case, Input::ClientDisconnected { ticket });
            }
            Step::Send(c, s) => {
                self.clients[usize::from(c)].sends += 1;
                let (request, until) = (self.request(c)?, self.now + case.step);
                self.choose(
                    case,
                    Action::Send { request, server: NAMES[usize::from(s)].into(), deadline: until },
                );
            }
            Step::Refuse(c) => {
                let request = self.request(c)?;
                self.choose(case, Action::Reject { request, retry_after: 1 });
            }
            Step::Fail(c) => {
                let request = self.request(c)?;
                self.choose(case, Action::Fail { request });
            }
            Step::Cancel(c, attempt) => {
                let request = self.request(c)?;
                self.choose(case, Action::Cancel { request, attempt });
            }
            Step::NoConnection(c, a) => self.end(case, c, a, Cause::NoConnection)?,
            Step::Dial(c, a) => self.flight(c, a)?.up = true,
            Step::FirstByte(c, a) => {
                let (now, grace) = (self.now, case.limits().drain_grace);
                let (server, withdrawn) = (self.flight(c, a)?.server, self.flight(c, a)?.withdrawn);
                if withdrawn {
                    return self.end(case, c, a, Cause::Withdrawn);
                }
                if self.client(c).left {
                    self.breaks(Property::NothingForTheGone);
                }
                let standing = &self.servers[usize::from(server)];
                if !standing.open && case.broken != Broken::FirstByteUnseen {
                    return self.end(case, c, a, Cause::Closed);
                }
                if standing.shut().is_some_and(|at| now > at + grace) {
                    self.breaks(Property::NothingNewToClosed);
                }
                self.flight(c, a)?.extent = Extent::Part;
            }
            Step::LastByte(c, a) => {
                self.flight(c, a)?.extent = Extent::Whole;
                self.clients[usize::from(c)].runs += 1;
                if case.kind(c).runs_once() && self.client(c).runs > 1 {
                    self.breaks(Property::NoRepeat);
                }
            }
            Step::Record(c, a) => {
                let flight = self.flight(c, a)?;
                flight.told = flight.extent;
                let (ticket, attempt, extent) = (flight.ticket, flight.attempt, flight.extent);
                self.tell(case, Input::Written { ticket, attempt, extent });
            }
            Step::End(c, a, cause) => self.end(case, c, a, cause)?,
            Step::EndAgain(_) => {
                self.left.late_ends -= 1;
                let (ticket, attempt) = self.last?;
                let (extent, cause, reply) = (Extent::Whole, Cause::Served, Some(u8::MAX));
                self.tell(case, Input::AttemptEnded { ticket, attempt, extent, cause, reply, report: None });
            }
            Step::Drain(s) => {
                self.left.drains -= 1;
                self.servers[usize::from(s)].closed = Some(self.now);
                if case.broken == Broken::DrainAtNextList {
                    self.held.push(s);
                } else {
                    self.list(case, ListKind::Delta, vec![server(s, ServerState::Draining)]);
                }
            }
            Step::Replace(s) => {
                self.left.replacements -= 1;
                let new = self.servers.len() as u8;
                let old = &mut self.servers[usize::from(s)];
                (old.closed, old.gone) = (old.closed.or(Some(self.now)), true);
                self.servers.push(Standing { closed: None, banned: None, open: false, gone: false });
                let entries = vec![server(s, ServerState::Gone), server(new, ServerState::Ready)];
                self.list(case, ListKind::Delta, entries);
            }
            Step::Ban(s) => {
                self.left.bans -= 1;
                self.servers[usize::from(s)].banned = Some(self.now);
                self.ban(case, s, Some(self.now));
            }
            Step::CallBack(s) => {
                self.servers[usize::from(s)].banned = None;
                self.ban(case, s, None);
            }
            Step::Uploaded(c) => {
                let ticket = self.client(c).ticket?;
                self.clients[usize::from(c)].ends = Some(self.now + case.time_left());
                self.tell(case, Input::Uploaded { ticket });
            }
            Step::Spend(c, attempt) => {
                let ticket = self.client(c).ticket?;
                self.clients[usize::from(c)].spent = true;
                self.tell(case, Input::BodyConsumed { ticket, attempt });
            }
            Step::ListFails => {
                self.left.old_lists -= 1;
                self.failed = true;
                self.list(case, ListKind::Failed, Vec::new());
            }
            Step::OldList => {
                self.failed = false;
                self.first_list(case, ListKind::Full);
            }
            Step::Crash => {
                self.left.crashes -= 1;
                self.dispatch = case.dispatch();
                // What was written whole may run all the same; nobody here hears of it.
                self.flights.clear();
                self.last = None;
                self.held.clear();
                for client in &mut self.clients {
                    client.lost |= client.ticket.is_some();
                }
                // Bans are written down: the next process reads them before its first list.
                for s in (0..self.servers.len() as u8).filter(|_| case.broken != Broken::BanDiesToo) {
                    if let Some(since) = self.servers[usize::from(s)].banned {
                        self.ban(case, s, Some(since));
                    }
                }
                self.first_list(case, ListKind::Cached);
            }
            Step::Tick => self.tell(case, Input::Tick),
            Step::Advance(to) => {
                self.now = to;
                if self
                    .clients
                    .iter()
                    .any(|client| client.waits() && client.ends.is_some_and(|ends| to > ends))
                {
                    self.breaks(Property::AnsweredInTime);
                }
            }
        }
        Some(())
    }

    /// The id under which the chooser knows a client's transaction.
    fn request(&self, client: u8) -> Option<Id> {
        self.client(client).ticket.map(|ticket| format!("n-{ticket}").into())
    }

    /// The chooser asks for something of its own accord: at a list call that failed, which changes nothing.
    fn choose(&mut self, case: &Case, action: Action) {
        self.dispatch.chooser_mut().plan(action);
        self.tell(case, Input::ServerList { kind: ListKind::Failed, servers: Vec::new() });
    }

    /// The list as it was at the very beginning. What it names is told to be ready.
    fn first_list(&mut self, case: &Case, kind: ListKind) {
        let first = case.sizes.servers;
        for (s, standing) in (0u8..).zip(&mut self.servers) {
            if s < first {
                (standing.closed, standing.gone) = (None, false);
            } else if !standing.gone {
                (standing.closed, standing.gone) = (standing.closed.or(Some(self.now)), true);
            }
        }
        self.list(case, kind, (0..first).map(|s| server(s, ServerState::Ready)).collect());
    }

    fn ban(&mut self, case: &Case, at: u8, since: Option<Micros>) {
        self.tell(case, Input::Ban { server: NAMES[usize::from(at)].into(), since });
    }

    fn list(&mut self, case: &Case, kind: ListKind, mut servers: Vec<Server>) {
        for s in (0..self.servers.len() as u8).filter(|_| case.broken == Broken::ListEndsBan) {
            if servers
                .iter()
                .any(|e| e.id == server(s, ServerState::Ready).id && e.state == ServerState::Ready)
            {
                self.ban(case, s, None);
            }
        }
        if kind == ListKind::Delta {
            servers.extend(self.held.drain(..).map(|s| server(s, ServerState::Draining)));
        } else if kind == ListKind::Full {
            self.held.clear();
        }
        self.tell(case, Input::ServerList { kind, servers });
    }

    fn end(&mut self, case: &Case, client: u8, attempt: u32, cause: Cause) -> Option<()> {
        let ticket = self.client(client).ticket?;
        let at = self.flights.iter().position(|f| f.ticket == ticket && f.attempt == attempt)?;
        let Flight { extent, server, sent, .. } = self.flights.remove(at);
        if case.kind(client) == Kind::Keyed && extent == Extent::Whole && cause != Cause::Unprocessed {
            // The earliest counts: from then on its zone forgets.
            let key = &mut self.clients[usize::from(client)].key;
            *key = key.filter(|(_, since)| *since <= sent).or(Some((zone(server), sent)));
        }
        if cause == Cause::Unprocessed {
            self.clients[usize::from(client)].runs -= 1;
        }
        self.last = (self.left.late_ends > 0).then_some((ticket, attempt));
        let reply = matches!(cause, Cause::Served | Cause::Failed).then_some(client);
        self.tell(case, Input::AttemptEnded { ticket, attempt, extent, cause, reply, report: None });
        Some(())
    }

    fn tell(&mut self, case: &Case, input: Input<u8, u8>) {
        let mut out = Vec::new();
        self.dispatch.handle(self.now, input, &mut out);
        for output in out {
            self.carry_out(case, output);
        }
    }

    fn carry_out(&mut self, case: &Case, output: Output<u8, u8>) {
        match output {
            Output::Start { ticket, attempt, server, message: client, until } => {
                let at = NAMES.iter().position(|name| *name == &*server).unwrap_or(NAMES.len()) as u8;
                let Some(standing) = self.servers.get(usize::from(at)) else {
                    return self.breaks(Property::NothingNewToClosed);
                };
                if standing.shut().is_some_and(|since| self.now > since + case.limits().drain_grace) {
                    self.breaks(Property::NothingNewToClosed);
                }
                if self.client(client).spent {
                    self.breaks(Property::UsedOnce);
                }
                let twice = self.flights.iter().any(|f| f.ticket == ticket);
                if twice && (case.kind(client).runs_once() || !case.sizes.second_copies) {
                    self.breaks(Property::NoSecondCopy);
                }
                if attempt >= case.sizes.attempts {
                    self.breaks(Property::AttemptLimit);
                }
                let keyed = case.kind(client) == Kind::Keyed;
                let sent = if keyed { self.now } else { 0 };
                let known =
                    self.flights.iter().filter(|f| f.ticket == ticket).map(|f| (zone(f.server), f.sent));
                let window = Kind::window(case.step);
                let lost = |(zone_of, since): (u32, Micros)| zone_of != zone(at) || self.now > since + window;
                if keyed && known.chain(self.client(client).key).any(lost) {
                    self.breaks(Property::KeptKey);
                }
                let (up, extent, told, withdrawn) = (false, Extent::Nothing, Extent::Nothing, false);
                let flight =
                    Flight { ticket, attempt, client, server: at, sent, until, up, extent, told, withdrawn };
                let place = self.flights.partition_point(|other| *other < flight);
                self.flights.insert(place, flight);
            }
            Output::Withdraw { ticket, attempt } => {
                let flights = self.flights.iter_mut();
                flights
                    .filter(|f| f.ticket == ticket && f.attempt == attempt)
                    .for_each(|f| f.withdrawn = true);
            }
            Output::CancelUnstarted { ticket, attempt } => {
                let flights = self.flights.iter_mut();
                flights
                    .filter(|f| f.ticket == ticket && f.attempt == attempt && f.extent == Extent::Nothing)
                    .for_each(|f| f.withdrawn = true);
            }
            Output::Answer { ticket, answer } => {
                let Some(c) = self.clients.iter().position(|c| c.ticket == Some(ticket) && !c.lost) else {
                    return self.breaks(Property::OneAnswer);
                };
                let client = &mut self.clients[c];
                let (once, ran) = (!client.left && client.answers == 0, client.runs > 0);
                client.answers += 1;
                let refused = matches!(answer, FinalAnswer::Refused { .. });
                if !once {
                    self.breaks(Property::OneAnswer);
                } else if refused && ran && case.kind(c as u8) != Kind::Safe {
                    self.breaks(Property::HonestRefusal);
                } else if matches!(answer, FinalAnswer::Served(of) if usize::from(of) != c) {
                    self.breaks(Property::OwnAnswer);
                }
            }
            Output::Availability { server, open } => {
                if let Some(at) = NAMES.iter().position(|name| *name == &*server) {
                    self.servers[at].open = open;
                }
            }
            Output::Defect { .. } if !C::CHOOSES => self.breaks(Property::NoDefect),
            _ => {}
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = |s: &u8| NAMES[usize::from(*s)];
        match self {
            Step::Ask(c) => write!(f, "terminal {c} hands on its transaction"),
            Step::Leave(c) => write!(f, "the client of transaction {c} leaves"),
            Step::Send(c, s) => write!(f, "the chooser sends transaction {c} to app server {}", name(s)),
            Step::Refuse(c) => write!(f, "the chooser asks for a short-on-capacity reply to transaction {c}"),
            Step::Fail(c) => write!(f, "the chooser gives transaction {c} up"),
            Step::Cancel(c, a) => write!(f, "the chooser withdraws routed task {a} of transaction {c}"),
            Step::NoConnection(c, a) => write!(f, "routed task {a} of transaction {c} gets no connection"),
            Step::Dial(c, a) => write!(f, "routed task {a} of transaction {c} has its connection"),
            Step::FirstByte(c, a) => write!(f, "routed task {a} of transaction {c} comes to its first byte"),
            Step::LastByte(c, a) => write!(f, "routed task {a} of transaction {c} writes its last byte"),
            Step::Record(c, a) => {
                write!(f, "routed task {a} of transaction {c} is recorded as written whole")
            }
            Step::End(c, a, cause) => {
                write!(f, "routed task {a} of transaction {c} ends: ")?;
                f.write_str(match cause {
                    Cause::Served => "served",
                    Cause::Denied => "denied",
                    Cause::Failed => "an error",
                    Cause::Unprocessed => "turned away, it did not run",
                    Cause::Spoilt => "a spoilt answer",
                    Cause::NoConnection => "no connection",
                    Cause::Closed => "its app server is closed to new ones",
                    Cause::NotTried => "not tried",
                    Cause::Broke => "the connection broke",
                    Cause::OutOfTime => "out of time",
                    Cause::Withdrawn => "withdrawn",
                })
            }
            Step::EndAgain(c) => write!(f, "an end of transaction {c} is told a second time"),
            Step::Drain(s) => write!(f, "the service table says that app server {} drains", name(s)),
            Step::Replace(s) => {
                write!(
                    f,
                    "the service table says that app server {} is gone, a new one at its address",
                    name(s)
                )
            }
            Step::Ban(s) => write!(f, "the operators take app server {} out", name(s)),
            Step::CallBack(s) => write!(f, "the operators call app server {} back", name(s)),
            Step::Uploaded(c) => write!(f, "the last byte of transaction {c} has come"),
            Step::Spend(c, a) => write!(f, "routed task {a} uses up some of transaction {c}"),
            Step::ListFails => f.write_str("a call for the service table fails"),
            Step::OldList => f.write_str("an old service table comes"),
            Step::Crash => f.write_str("the balancer dies and starts again with its first service table"),
            Step::Tick => f.write_str("what is due by now is told"),
            Step::Advance(to) => write!(f, "time passes to {to}"),
        }
    }
}
