//! The modelled environment of dispatch: clients, app servers, the service table, connections and time. Each
//! event that is possible in a state is a [`Step`]; applying it gives the next state.

use std::fmt;

use gradepaddle::{Action, Id, ListKind, Micros, Server, ServerState};
use gradepaddle_dispatch::{
    Cause, Dispatch, Extent, FinalAnswer, Input, Limits, Output, Ticket, Transaction,
};

use crate::broken::Broken;
use crate::chooser::ModelChooser;
use crate::property::Property;
use crate::sizes::{Kind, Sizes};

/// Names of app servers, in the order in which they are added.
const SERVER_NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];

type CheckedDispatch<C> = Dispatch<C, u8, u8, Broken>;

/// The state of one client and its transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Client {
    /// `None` before the client has sent its transaction.
    ticket: Option<Ticket>,
    /// When the client times out; `None` while it is still uploading.
    deadline: Option<Micros>,
    /// An attempt has consumed part of the request body, which cannot be replayed.
    body_consumed: bool,
    answers: u8,
    disconnected: bool,
    /// The balancer crashed while the transaction was open, which resets the client's connection.
    connection_reset: bool,
    /// Attempts that may have run: written completely, and not reported as unprocessed by their app server.
    possible_runs: u8,
    /// For a keyed transaction: the zone that remembers its key, and since when. Set once an attempt that may have
    /// run has ended.
    key: Option<(u32, Micros)>,
    /// Sends that the chooser has requested.
    sends: u8,
}

impl Client {
    fn is_waiting(&self) -> bool {
        self.ticket.is_some() && self.answers == 0 && !self.disconnected && !self.connection_reset
    }
}

/// An attempt in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct InFlightAttempt {
    ticket: Ticket,
    attempt: u32,
    client: u8,
    server: u8,
    /// When the attempt started. Kept only for keyed transactions and 0 for the others, which keeps the state space
    /// small.
    started_at: Micros,
    deadline: Micros,
    /// The connection is established.
    connected: bool,
    /// How much of the request is written.
    extent: Extent,
    /// How much of it dispatch was told is written.
    reported_extent: Extent,
    withdrawn: bool,
}

/// What was reported about an app server, and whether its connections may be used.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ServerStatus {
    /// When it was reported draining or gone, if it has not been reported ready since.
    closed_since: Option<Micros>,
    /// When the operators banned it, if the ban is still in force.
    banned_since: Option<Micros>,
    /// New attempts may use its connections.
    open: bool,
    gone: bool,
}

impl ServerStatus {
    /// Since when it must not receive new attempts, apart from the drain grace.
    fn unavailable_since(&self) -> Option<Micros> {
        self.closed_since.into_iter().chain(self.banned_since).min()
    }
}

/// How many more of each kind of fault may be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct FaultBudget {
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
    dispatch: CheckedDispatch<C>,
    clients: Vec<Client>,
    in_flight: Vec<InFlightAttempt>,
    servers: Vec<ServerStatus>,
    budget: FaultBudget,
    /// The last service table call failed; the next table is an outdated one.
    list_failed: bool,
    /// App servers whose drain report [`Broken::DrainAtNextList`] delays until the next table.
    delayed_drains: Vec<u8>,
    /// The attempt that ended last, for a duplicate end report.
    last_ended: Option<(Ticket, u32)>,
    /// The first property that was violated on the path to this state.
    pub breach: Option<Property>,
}

/// One event. The `u8` is the client's or app server's number, the `u32` the attempt's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A client sends its transaction.
    Request(u8),
    /// A client that waits for its answer disconnects.
    Disconnect(u8),
    /// The chooser requests an attempt.
    Send(u8, u8),
    /// The chooser rejects the transaction.
    Reject(u8),
    /// The chooser fails the transaction.
    Fail(u8),
    /// The chooser cancels an attempt.
    Cancel(u8, u32),
    /// An attempt's connection cannot be established.
    ConnectFailed(u8, u32),
    /// An attempt's connection is established.
    Connected(u8, u32),
    /// An attempt is about to write its first byte.
    FirstByte(u8, u32),
    /// An attempt has written its last byte; dispatch is not told yet.
    LastByte(u8, u32),
    /// Dispatch is told that the last byte is written.
    ReportWritten(u8, u32),
    /// An attempt ends.
    End(u8, u32, Cause),
    /// The end of an attempt is reported a second time.
    DuplicateEnd(u8),
    /// The service table reports an app server draining.
    Drain(u8),
    /// The service table reports an app server gone and a new one at its address.
    Replace(u8),
    /// The operators ban an app server.
    Ban(u8),
    /// The operators end the ban of an app server.
    Unban(u8),
    /// The last byte has arrived of a transaction that was accepted during its upload.
    UploadComplete(u8),
    /// An attempt has consumed part of the request body that its client is uploading.
    ConsumeBody(u8, u32),
    /// A call for the service table fails.
    ListFails,
    /// The initial service table arrives again, outdated.
    OutdatedList,
    /// The balancer crashes and restarts with the initial service table from its cache.
    Crash,
    /// Dispatch handles the timers that are due.
    Tick,
    /// Time advances to this moment.
    Advance(Micros),
}

/// App servers are in two zones, alternately.
fn zone_of(at: u8) -> u32 {
    u32::from(at) % 2
}

fn server_entry(at: u8, state: ServerState) -> Server {
    let id: Id = SERVER_NAMES[usize::from(at)].into();
    Server { id, zone: zone_of(at), kind: 0, cell: u32::from(at), state, weight: 1.0, started: None }
}

/// The fixed parameters of one exploration.
#[derive(Clone, Debug)]
pub struct Case {
    /// Bounds of the state space.
    pub sizes: Sizes,
    /// Length of a time step.
    pub step: Micros,
    /// The fault that is injected on purpose.
    pub broken: Broken,
}

impl Case {
    fn limits(&self) -> Limits {
        let drain_grace = self.step * Micros::from(self.sizes.grace);
        // No overrun for answers: timers that are due are always handled before time advances.
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

    /// The last moment at which clients send transactions.
    fn last_request_at(&self) -> Micros {
        self.step
    }

    /// When the exploration stops advancing time: well after every deadline.
    fn end_time(&self) -> Micros {
        self.step * (Micros::from(self.sizes.deadline) + 3)
    }

    /// How long a client waits for its answer after its last byte.
    fn time_left(&self) -> Micros {
        self.step * Micros::from(self.sizes.deadline)
    }

    fn client_request_id(&self, client: u8) -> [u8; 1] {
        if self.sizes.same_ids { [client & !1] } else { [client] }
    }

    fn dispatch<C: ModelChooser>(&self) -> CheckedDispatch<C> {
        let settings = self.sizes.settings(self.step);
        Dispatch::with_guard(C::initial(&settings), self.broken, &settings, "n", self.limits())
    }

    /// The initial state: the balancer has loaded its cached service table.
    pub fn initial_world<C: ModelChooser>(&self) -> World<C> {
        let s = &self.sizes;
        let client = Client {
            ticket: None,
            deadline: None,
            body_consumed: false,
            answers: 0,
            disconnected: false,
            connection_reset: false,
            possible_runs: 0,
            key: None,
            sends: 0,
        };
        let mut world = World {
            now: 0,
            dispatch: self.dispatch(),
            clients: vec![client; usize::from(s.transactions)],
            in_flight: Vec::new(),
            servers: vec![
                ServerStatus { closed_since: None, banned_since: None, open: false, gone: false };
                usize::from(s.servers)
            ],
            budget: FaultBudget {
                drains: s.drains,
                leaves: s.leaves,
                crashes: s.crashes,
                replacements: s.replacements,
                old_lists: s.old_lists,
                bans: s.bans,
                late_ends: s.late_ends,
            },
            list_failed: false,
            delayed_drains: Vec::new(),
            last_ended: None,
            breach: None,
        };
        world.deliver_initial_list(self, ListKind::Cached);
        world
    }
}

impl<C: ModelChooser> World<C> {
    /// The current time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Adds every step that is possible in this state.
    pub fn possible_steps(&self, case: &Case, steps: &mut Vec<Step>) {
        if self.breach.is_some() {
            return;
        }
        let clients = 0..self.clients.len() as u8;
        if let Some(next) = clients.clone().find(|c| self.client(*c).ticket.is_none())
            && self.now <= case.last_request_at()
        {
            steps.push(Step::Request(next));
        }
        for c in clients {
            let client = self.client(c);
            if client.is_waiting() && self.budget.leaves > 0 {
                steps.push(Step::Disconnect(c));
            }
            if client.is_waiting() && client.deadline.is_none() {
                steps.push(Step::UploadComplete(c));
            }
            if !C::IS_EXPLORED || client.ticket.is_none() || client.connection_reset {
                continue;
            }
            if u32::from(client.sends) <= case.sizes.attempts {
                steps.extend((0..self.servers.len() as u8).map(|s| Step::Send(c, s)));
            }
            steps.extend([Step::Reject(c), Step::Fail(c)]);
        }
        let mut overdue = false;
        for f in &self.in_flight {
            let (c, a) = (f.client, f.attempt);
            if C::IS_EXPLORED && !f.withdrawn {
                steps.push(Step::Cancel(c, a));
            }
            if f.withdrawn {
                steps.push(Step::End(c, a, Cause::Withdrawn));
            }
            match f.extent {
                Extent::Nothing if f.connected => steps.push(Step::FirstByte(c, a)),
                Extent::Nothing => steps.extend([Step::ConnectFailed(c, a), Step::Connected(c, a)]),
                Extent::Part => {
                    steps.push(Step::End(c, a, Cause::Broke));
                    let client = self.client(c);
                    // A streamed request is complete once the client has uploaded it and this attempt has
                    // forwarded it.
                    if !case.sizes.flows || client.body_consumed && client.deadline.is_some() {
                        steps.push(Step::LastByte(c, a));
                    }
                    if case.sizes.flows && !client.body_consumed {
                        steps.push(Step::ConsumeBody(c, a));
                    }
                }
                Extent::Whole => {
                    let ends = [Cause::Served, Cause::Failed, Cause::Unprocessed, Cause::Broke];
                    steps.extend(ends.map(|cause| Step::End(c, a, cause)));
                    if f.reported_extent < f.extent {
                        steps.push(Step::ReportWritten(c, a));
                    }
                }
            }
            if f.deadline <= self.now {
                overdue = true;
                steps.push(Step::End(c, a, Cause::OutOfTime));
            }
        }
        if self.budget.late_ends > 0
            && let Some((ticket, _)) = self.last_ended
            && let Some(c) = self.clients.iter().position(|client| client.ticket == Some(ticket))
        {
            steps.push(Step::DuplicateEnd(c as u8));
        }
        for (s, status) in (0u8..).zip(&self.servers) {
            if self.budget.drains > 0 && status.closed_since.is_none() {
                steps.push(Step::Drain(s));
            }
            match status.banned_since {
                None if self.budget.bans > 0 => steps.push(Step::Ban(s)),
                Some(_) => steps.push(Step::Unban(s)),
                None => {}
            }
            if self.budget.replacements > 0 && !status.gone && self.servers.len() < SERVER_NAMES.len() {
                steps.push(Step::Replace(s));
            }
        }
        if self.list_failed {
            steps.push(Step::OutdatedList);
        } else if self.budget.old_lists > 0 {
            steps.push(Step::ListFails);
        }
        if self.budget.crashes > 0 && self.clients.iter().any(|client| client.ticket.is_some()) {
            steps.push(Step::Crash);
        }
        let due = self.dispatch.next_tick_at();
        if due.is_some_and(|at| at <= self.now) {
            steps.push(Step::Tick);
        } else if !overdue && self.now < case.end_time() {
            let in_flight = self.in_flight.iter().map(|f| f.deadline);
            let next = due.into_iter().chain(in_flight).chain([self.now + case.step]).min();
            steps.extend(next.map(Step::Advance));
        }
    }

    fn client(&self, client: u8) -> &Client {
        &self.clients[usize::from(client)]
    }

    fn record_breach(&mut self, property: Property) {
        self.breach = self.breach.or(Some(property));
    }

    /// The attempt in flight with this number; `None` if there is none.
    fn attempt_mut(&mut self, client: u8, attempt: u32) -> Option<&mut InFlightAttempt> {
        let ticket = self.client(client).ticket?;
        self.in_flight.iter_mut().find(|f| f.ticket == ticket && f.attempt == attempt)
    }

    /// The state after this step; `None` if the step is not possible.
    pub fn next_world(&self, case: &Case, step: Step) -> Option<World<C>> {
        let mut next = self.clone();
        next.apply(case, step)?;
        // In every state: dispatch keeps no transaction that is answered and has no attempt in flight.
        let keeps_finished = next
            .dispatch
            .views()
            .any(|view| !view.answer_pending && !next.in_flight.iter().any(|f| f.ticket == view.ticket));
        if keeps_finished {
            next.record_breach(Property::NothingKept);
        }
        let mut request_ids: Vec<&[u8]> = next.dispatch.views().map(|view| view.client_request_id).collect();
        request_ids.sort_unstable();
        if request_ids.windows(2).any(|pair| pair[0] == pair[1]) {
            next.record_breach(Property::OwnAnswer);
        }
        Some(next)
    }

    fn apply(&mut self, case: &Case, step: Step) -> Option<()> {
        match step {
            Step::Request(c) => {
                // Ticket numbers start again at 0 after each restart of the balancer.
                let ticket = self
                    .clients
                    .iter()
                    .filter(|client| client.ticket.is_some() && !client.connection_reset)
                    .count();
                let (ticket, time_left) = (ticket as Ticket, case.time_left());
                let upload_complete = !case.sizes.flows;
                let client = &mut self.clients[usize::from(c)];
                (client.ticket, client.deadline) =
                    (Some(ticket), upload_complete.then_some(self.now + time_left));
                let transaction = Transaction {
                    client_request_id: case.client_request_id(c)[..].into(),
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
                self.handle_input(case, Input::Accepted { ticket, transaction });
            }
            Step::Disconnect(c) => {
                self.budget.leaves -= 1;
                let ticket = self.client(c).ticket?;
                self.clients[usize::from(c)].disconnected = true;
                self.handle_input(case, Input::ClientDisconnected { ticket });
            }
            Step::Send(c, s) => {
                self.clients[usize::from(c)].sends += 1;
                let (request, deadline) = (self.chooser_request_id(c)?, self.now + case.step);
                self.run_chooser(
                    case,
                    Action::Send { request, server: SERVER_NAMES[usize::from(s)].into(), deadline },
                );
            }
            Step::Reject(c) => {
                let request = self.chooser_request_id(c)?;
                self.run_chooser(case, Action::Reject { request, retry_after: 1 });
            }
            Step::Fail(c) => {
                let request = self.chooser_request_id(c)?;
                self.run_chooser(case, Action::Fail { request });
            }
            Step::Cancel(c, attempt) => {
                let request = self.chooser_request_id(c)?;
                self.run_chooser(case, Action::Cancel { request, attempt });
            }
            Step::ConnectFailed(c, a) => self.end_attempt(case, c, a, Cause::NoConnection)?,
            Step::Connected(c, a) => self.attempt_mut(c, a)?.connected = true,
            Step::FirstByte(c, a) => {
                let (now, grace) = (self.now, case.limits().drain_grace);
                let (server, withdrawn) = (self.attempt_mut(c, a)?.server, self.attempt_mut(c, a)?.withdrawn);
                if withdrawn {
                    return self.end_attempt(case, c, a, Cause::Withdrawn);
                }
                if self.client(c).disconnected {
                    self.record_breach(Property::NothingForTheGone);
                }
                let status = &self.servers[usize::from(server)];
                if !status.open && case.broken != Broken::FirstByteUnseen {
                    return self.end_attempt(case, c, a, Cause::Closed);
                }
                if status.unavailable_since().is_some_and(|at| now > at + grace) {
                    self.record_breach(Property::NothingNewToClosed);
                }
                self.attempt_mut(c, a)?.extent = Extent::Part;
            }
            Step::LastByte(c, a) => {
                self.attempt_mut(c, a)?.extent = Extent::Whole;
                self.clients[usize::from(c)].possible_runs += 1;
                if case.kind(c).runs_once() && self.client(c).possible_runs > 1 {
                    self.record_breach(Property::NoRepeat);
                }
            }
            Step::ReportWritten(c, a) => {
                let sent = self.attempt_mut(c, a)?;
                sent.reported_extent = sent.extent;
                let (ticket, attempt, extent) = (sent.ticket, sent.attempt, sent.extent);
                self.handle_input(case, Input::Written { ticket, attempt, extent });
            }
            Step::End(c, a, cause) => self.end_attempt(case, c, a, cause)?,
            Step::DuplicateEnd(_) => {
                self.budget.late_ends -= 1;
                let (ticket, attempt) = self.last_ended?;
                let (extent, cause, reply) = (Extent::Whole, Cause::Served, Some(u8::MAX));
                self.handle_input(
                    case,
                    Input::AttemptEnded { ticket, attempt, extent, cause, reply, report: None },
                );
            }
            Step::Drain(s) => {
                self.budget.drains -= 1;
                self.servers[usize::from(s)].closed_since = Some(self.now);
                if case.broken == Broken::DrainAtNextList {
                    self.delayed_drains.push(s);
                } else {
                    self.deliver_list(case, ListKind::Delta, vec![server_entry(s, ServerState::Draining)]);
                }
            }
            Step::Replace(s) => {
                self.budget.replacements -= 1;
                let new = self.servers.len() as u8;
                let old = &mut self.servers[usize::from(s)];
                (old.closed_since, old.gone) = (old.closed_since.or(Some(self.now)), true);
                self.servers.push(ServerStatus {
                    closed_since: None,
                    banned_since: None,
                    open: false,
                    gone: false,
                });
                let entries = vec![server_entry(s, ServerState::Gone), server_entry(new, ServerState::Ready)];
                self.deliver_list(case, ListKind::Delta, entries);
            }
            Step::Ban(s) => {
                self.budget.bans -= 1;
                self.servers[usize::from(s)].banned_since = Some(self.now);
                self.ban(case, s, Some(self.now));
            }
            Step::Unban(s) => {
                self.servers[usize::from(s)].banned_since = None;
                self.ban(case, s, None);
            }
            Step::UploadComplete(c) => {
                let ticket = self.client(c).ticket?;
                self.clients[usize::from(c)].deadline = Some(self.now + case.time_left());
                self.handle_input(case, Input::Uploaded { ticket });
            }
            Step::ConsumeBody(c, attempt) => {
                let ticket = self.client(c).ticket?;
                self.clients[usize::from(c)].body_consumed = true;
                self.handle_input(case, Input::BodyConsumed { ticket, attempt });
            }
            Step::ListFails => {
                self.budget.old_lists -= 1;
                self.list_failed = true;
                self.deliver_list(case, ListKind::Failed, Vec::new());
            }
            Step::OutdatedList => {
                self.list_failed = false;
                self.deliver_initial_list(case, ListKind::Full);
            }
            Step::Crash => {
                self.budget.crashes -= 1;
                self.dispatch = case.dispatch();
                // A completely written request may still run, but the restarted balancer gets no report of it.
                self.in_flight.clear();
                self.last_ended = None;
                self.delayed_drains.clear();
                for client in &mut self.clients {
                    client.connection_reset |= client.ticket.is_some();
                }
                // Bans are persisted: the restarted process loads them before its first service table.
                for s in (0..self.servers.len() as u8).filter(|_| case.broken != Broken::BanDiesToo) {
                    if let Some(since) = self.servers[usize::from(s)].banned_since {
                        self.ban(case, s, Some(since));
                    }
                }
                self.deliver_initial_list(case, ListKind::Cached);
            }
            Step::Tick => self.handle_input(case, Input::Tick),
            Step::Advance(to) => {
                self.now = to;
                if self.clients.iter().any(|client| {
                    client.is_waiting() && client.deadline.is_some_and(|deadline| to > deadline)
                }) {
                    self.record_breach(Property::AnsweredInTime);
                }
            }
        }
        Some(())
    }

    /// The id that dispatch gives the chooser for a client's transaction.
    fn chooser_request_id(&self, client: u8) -> Option<Id> {
        self.client(client).ticket.map(|ticket| format!("n-{ticket}").into())
    }

    /// Makes the chooser request an action. The event that triggers the chooser is a failed service table call, which
    /// changes nothing else.
    fn run_chooser(&mut self, case: &Case, action: Action) {
        self.dispatch.chooser_mut().plan(action);
        self.handle_input(case, Input::ServerList { kind: ListKind::Failed, servers: Vec::new() });
    }

    /// Delivers the initial service table, which reports all of its app servers ready.
    fn deliver_initial_list(&mut self, case: &Case, kind: ListKind) {
        let first = case.sizes.servers;
        for (s, status) in (0u8..).zip(&mut self.servers) {
            if s < first {
                (status.closed_since, status.gone) = (None, false);
            } else if !status.gone {
                (status.closed_since, status.gone) = (status.closed_since.or(Some(self.now)), true);
            }
        }
        self.deliver_list(case, kind, (0..first).map(|s| server_entry(s, ServerState::Ready)).collect());
    }

    fn ban(&mut self, case: &Case, at: u8, since: Option<Micros>) {
        self.handle_input(case, Input::Ban { server: SERVER_NAMES[usize::from(at)].into(), since });
    }

    fn deliver_list(&mut self, case: &Case, kind: ListKind, mut servers: Vec<Server>) {
        for s in (0..self.servers.len() as u8).filter(|_| case.broken == Broken::ListEndsBan) {
            if servers
                .iter()
                .any(|e| e.id == server_entry(s, ServerState::Ready).id && e.state == ServerState::Ready)
            {
                self.ban(case, s, None);
            }
        }
        if kind == ListKind::Delta {
            servers.extend(self.delayed_drains.drain(..).map(|s| server_entry(s, ServerState::Draining)));
        } else if kind == ListKind::Full {
            self.delayed_drains.clear();
        }
        self.handle_input(case, Input::ServerList { kind, servers });
    }

    fn end_attempt(&mut self, case: &Case, client: u8, attempt: u32, cause: Cause) -> Option<()> {
        let ticket = self.client(client).ticket?;
        let at = self.in_flight.iter().position(|f| f.ticket == ticket && f.attempt == attempt)?;
        let InFlightAttempt { extent, server, started_at, .. } = self.in_flight.remove(at);
        if case.kind(client) == Kind::Keyed && extent == Extent::Whole && cause != Cause::Unprocessed {
            // The earliest attempt that may have run counts: the zone's deduplication window starts with it.
            let key = &mut self.clients[usize::from(client)].key;
            *key = key.filter(|(_, since)| *since <= started_at).or(Some((zone_of(server), started_at)));
        }
        if cause == Cause::Unprocessed {
            self.clients[usize::from(client)].possible_runs -= 1;
        }
        self.last_ended = (self.budget.late_ends > 0).then_some((ticket, attempt));
        let reply = matches!(cause, Cause::Served | Cause::Failed).then_some(client);
        self.handle_input(case, Input::AttemptEnded { ticket, attempt, extent, cause, reply, report: None });
        Some(())
    }

    fn handle_input(&mut self, case: &Case, input: Input<u8, u8>) {
        let mut out = Vec::new();
        self.dispatch.handle(self.now, input, &mut out);
        for output in out {
            self.handle_output(case, output);
        }
    }

    fn handle_output(&mut self, case: &Case, output: Output<u8, u8>) {
        match output {
            Output::Start { ticket, attempt, server, message: client, until: deadline } => {
                let at = SERVER_NAMES.iter().position(|name| *name == &*server).unwrap_or(SERVER_NAMES.len())
                    as u8;
                let Some(status) = self.servers.get(usize::from(at)) else {
                    return self.record_breach(Property::NothingNewToClosed);
                };
                if status
                    .unavailable_since()
                    .is_some_and(|since| self.now > since + case.limits().drain_grace)
                {
                    self.record_breach(Property::NothingNewToClosed);
                }
                if self.client(client).body_consumed {
                    self.record_breach(Property::UsedOnce);
                }
                let concurrent = self.in_flight.iter().any(|f| f.ticket == ticket);
                if concurrent && (case.kind(client).runs_once() || !case.sizes.second_copies) {
                    self.record_breach(Property::NoSecondCopy);
                }
                if attempt >= case.sizes.attempts {
                    self.record_breach(Property::AttemptLimit);
                }
                let keyed = case.kind(client) == Kind::Keyed;
                let started_at = if keyed { self.now } else { 0 };
                let earlier = self
                    .in_flight
                    .iter()
                    .filter(|f| f.ticket == ticket)
                    .map(|f| (zone_of(f.server), f.started_at));
                let window = Kind::window(case.step);
                let key_forgotten =
                    |(zone, since): (u32, Micros)| zone != zone_of(at) || self.now > since + window;
                if keyed && earlier.chain(self.client(client).key).any(key_forgotten) {
                    self.record_breach(Property::KeptKey);
                }
                let (connected, extent, reported_extent, withdrawn) =
                    (false, Extent::Nothing, Extent::Nothing, false);
                let new = InFlightAttempt {
                    ticket,
                    attempt,
                    client,
                    server: at,
                    started_at,
                    deadline,
                    connected,
                    extent,
                    reported_extent,
                    withdrawn,
                };
                let place = self.in_flight.partition_point(|other| *other < new);
                self.in_flight.insert(place, new);
            }
            Output::Withdraw { ticket, attempt } => {
                let in_flight = self.in_flight.iter_mut();
                in_flight
                    .filter(|f| f.ticket == ticket && f.attempt == attempt)
                    .for_each(|f| f.withdrawn = true);
            }
            Output::CancelUnstarted { ticket, attempt } => {
                let in_flight = self.in_flight.iter_mut();
                in_flight
                    .filter(|f| f.ticket == ticket && f.attempt == attempt && f.extent == Extent::Nothing)
                    .for_each(|f| f.withdrawn = true);
            }
            Output::Answer { ticket, answer } => {
                let Some(c) =
                    self.clients.iter().position(|c| c.ticket == Some(ticket) && !c.connection_reset)
                else {
                    return self.record_breach(Property::OneAnswer);
                };
                let client = &mut self.clients[c];
                let (first, may_have_run) =
                    (!client.disconnected && client.answers == 0, client.possible_runs > 0);
                client.answers += 1;
                let refused = matches!(answer, FinalAnswer::Refused { .. });
                if !first {
                    self.record_breach(Property::OneAnswer);
                } else if refused && may_have_run && case.kind(c as u8) != Kind::Safe {
                    self.record_breach(Property::HonestRefusal);
                } else if matches!(answer, FinalAnswer::Served(reply_to) if usize::from(reply_to) != c) {
                    self.record_breach(Property::OwnAnswer);
                }
            }
            Output::Availability { server, open } => {
                if let Some(at) = SERVER_NAMES.iter().position(|name| *name == &*server) {
                    self.servers[at].open = open;
                }
            }
            Output::Defect { .. } if !C::IS_EXPLORED => self.record_breach(Property::NoDefect),
            _ => {}
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = |s: &u8| SERVER_NAMES[usize::from(*s)];
        match self {
            Step::Request(c) => write!(f, "client {c} sends its transaction"),
            Step::Disconnect(c) => write!(f, "the client of transaction {c} disconnects"),
            Step::Send(c, s) => write!(f, "the chooser sends transaction {c} to app server {}", name(s)),
            Step::Reject(c) => write!(f, "the chooser rejects transaction {c} for lack of capacity"),
            Step::Fail(c) => write!(f, "the chooser fails transaction {c}"),
            Step::Cancel(c, a) => write!(f, "the chooser cancels attempt {a} of transaction {c}"),
            Step::ConnectFailed(c, a) => write!(f, "attempt {a} of transaction {c} cannot connect"),
            Step::Connected(c, a) => write!(f, "attempt {a} of transaction {c} is connected"),
            Step::FirstByte(c, a) => {
                write!(f, "attempt {a} of transaction {c} is about to write its first byte")
            }
            Step::LastByte(c, a) => write!(f, "attempt {a} of transaction {c} writes its last byte"),
            Step::ReportWritten(c, a) => {
                write!(f, "attempt {a} of transaction {c} is reported as written completely")
            }
            Step::End(c, a, cause) => {
                write!(f, "attempt {a} of transaction {c} ends: ")?;
                f.write_str(match cause {
                    Cause::Served => "served",
                    Cause::Denied => "denied",
                    Cause::Failed => "an error",
                    Cause::Unprocessed => "not processed by the app server",
                    Cause::Spoilt => "a malformed answer",
                    Cause::NoConnection => "no connection",
                    Cause::Closed => "its app server is closed to new attempts",
                    Cause::NotTried => "not tried",
                    Cause::Broke => "the connection broke",
                    Cause::OutOfTime => "out of time",
                    Cause::Withdrawn => "withdrawn",
                })
            }
            Step::DuplicateEnd(c) => {
                write!(f, "the end of an attempt of transaction {c} is reported a second time")
            }
            Step::Drain(s) => write!(f, "the service table reports app server {} draining", name(s)),
            Step::Replace(s) => {
                write!(
                    f,
                    "the service table reports app server {} gone and a new one at its address",
                    name(s)
                )
            }
            Step::Ban(s) => write!(f, "the operators ban app server {}", name(s)),
            Step::Unban(s) => write!(f, "the operators end the ban of app server {}", name(s)),
            Step::UploadComplete(c) => write!(f, "the upload of transaction {c} is complete"),
            Step::ConsumeBody(c, a) => write!(f, "attempt {a} consumes part of the body of transaction {c}"),
            Step::ListFails => f.write_str("a call for the service table fails"),
            Step::OutdatedList => f.write_str("an outdated service table arrives"),
            Step::Crash => f.write_str("the balancer crashes and restarts with its initial service table"),
            Step::Tick => f.write_str("dispatch handles the timers that are due"),
            Step::Advance(to) => write!(f, "time advances to {to}"),
        }
    }
}
