//! Balancers: the dispatch code and its chooser, the CPU time available to it, and the attempts in flight.

use gradepaddle::{ListKind, LoadReport, Micros, ServerState as Listed};
use gradepaddle_dispatch::{
    Cause, Chooser, Defect, Dispatch, Extent, FinalAnswer, Guard, Input, Limits, Output, Transaction,
};
use slotmap::{Key, KeyData};

use crate::clients::Answer;
use crate::discovery::{Entry, listed};
use crate::evaluation::Rule;
use crate::queue::{ClientRequestKey, Event, UpstreamRequestKey};
use crate::random::{Stream, StreamId};
use crate::scenario::{DedupScope, Effect, millis, seconds};
use crate::server::{Server, State};
use crate::world::World;

/// Enforces all rules of dispatch, or none of them to test the rule monitors.
#[derive(Clone, Copy, Debug)]
struct SwitchableGuard {
    unguarded: bool,
}

impl Guard for SwitchableGuard {
    fn enforces(&self, _: Defect) -> bool {
        !self.unguarded
    }

    fn fails_overdue(&self) -> bool {
        !self.unguarded
    }
}

type Dispatched = Dispatch<Box<dyn Chooser>, ClientRequestKey, (), SwitchableGuard>;
/// Inputs of dispatch. The buffer belongs to the world to reuse its allocation.
pub type Inputs = Vec<Input<ClientRequestKey, ()>>;
/// Outputs of dispatch; see [`Inputs`].
pub type Outputs = Vec<Output<ClientRequestKey, ()>>;

/// What the server list last said about an app server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerNotice {
    /// When the balancer was told that it drains or is gone, unless it is ready again.
    closed_at: Option<Micros>,
    /// The start time that the balancer was told; 0 if the server was already running when the day began.
    started_at: Micros,
}

/// A balancer host and its current process.
pub struct Balancer {
    pub zone: u32,
    /// Whether a process runs on the host.
    pub alive: bool,
    /// The incarnation of the process, increased each time that one ends.
    pub incarnation: u32,
    /// Draining: it still answers, but the front stops routing to it.
    draining: bool,
    /// The front routes to it until this time even if it is down or draining.
    routable_until: Micros,
    dispatch: Option<Dispatched>,
    /// When its earliest timer in the event queue is due.
    timer_at: Micros,
    /// CPU time available now, in microseconds; negative while it is behind.
    cpu_tokens: f64,
    /// When `cpu_tokens` was last refilled.
    tokens_refilled_at: Micros,
    /// It has an active watch of the server list.
    pub watching: bool,
    /// It has requested the list and waits for the answer.
    pub list_requested: bool,
    /// This process has received a list from discovery.
    pub list_received: bool,
    /// When it next requests the list, in the mode `asked`.
    pub poll_at: Micros,
    /// Version of the last list change that it has received.
    pub list_version: u32,
    /// When the latest message of discovery to it is delivered, so that messages keep their order.
    pub last_delivery_at: Micros,
    /// By app server: what it was told.
    notices: Vec<ServerNotice>,
    /// Defects of earlier processes.
    defects_of_past_processes: u64,
}

/// The stage that an attempt has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// In transit to its app server.
    ToServer,
    /// In the app server's queue.
    Queued,
    /// In work at the app server.
    Running,
    /// The result is in transit to the balancer.
    ToBalancer,
    /// Lost in the network; no result follows.
    Lost,
}

/// An attempt or a probe sent to an app server.
#[derive(Clone, Debug)]
pub struct UpstreamRequest {
    /// The client's request; the null key for a probe.
    pub request_key: ClientRequestKey,
    pub probe: bool,
    /// The id of the client's request; 0 for a probe.
    pub request_id: u64,
    /// The index of the balancer that sent it.
    pub balancer: u32,
    balancer_incarnation: u32,
    /// The attempt's number within the client's request.
    attempt: u32,
    /// The index of the app server.
    pub server: u32,
    pub server_incarnation: u32,
    /// The content key.
    pub key: u32,
    /// Work if the content key is not cached, in microseconds on a standard core.
    pub work: f64,
    /// Additional time spent waiting on I/O.
    pub io: Micros,
    /// When it was sent.
    sent: Micros,
    /// Work of the handshake, if it opened a new connection.
    pub handshake_work: f64,
    /// The work that it actually took.
    pub actual_work: f64,
    /// When its last byte is written; until then it counts as not sent.
    written_at: Micros,
    pub stage: Stage,
    /// The balancer has abandoned it.
    pub abandoned: bool,
    /// Its connection is reset after the work is done, before the answer arrives.
    pub reset_on_return: bool,
    /// How it ended.
    cause: Cause,
    /// The load report in its answer.
    report: Option<LoadReport>,
    /// It holds a connection that is counted at the app server.
    holds_connection: bool,
}

impl Balancer {
    fn notice_of(&self, server: u32) -> ServerNotice {
        self.notices.get(server as usize).copied().unwrap_or_default()
    }

    /// Whether the balancer was told that the app server started at this time.
    pub fn was_told_of_start(&self, server: u32, started: Micros) -> bool {
        started > 0 && self.notice_of(server).started_at == started
    }

    /// Makes room for another app server.
    pub fn add_server(&mut self, server: u32) {
        let count = server as usize + 1;
        if self.notices.len() < count {
            self.notices.resize(count, ServerNotice::default());
        }
    }

    /// Actions that the guard rejected, over all processes of this balancer.
    pub fn defects(&self) -> u64 {
        self.defects_of_past_processes
            + self.dispatch.as_ref().map_or(0, |dispatch| dispatch.defects().total())
    }
}

impl World {
    /// A balancer host on which no process runs yet.
    pub fn new_balancer(&self, number: u32) -> Balancer {
        Balancer {
            zone: number % self.scenario.fleet.zones,
            alive: false,
            incarnation: 0,
            draining: false,
            routable_until: 0,
            dispatch: None,
            timer_at: Micros::MAX,
            cpu_tokens: self.scenario.balancers.cpu_ms_per_s * 1000.0,
            tokens_refilled_at: 0,
            watching: false,
            list_requested: false,
            list_received: false,
            poll_at: Micros::MAX,
            list_version: 0,
            last_delivery_at: 0,
            notices: vec![ServerNotice::default(); self.servers.len()],
            defects_of_past_processes: 0,
        }
    }

    /// Starts a balancer process from the last list that it received.
    pub fn start_balancer(&mut self, number: u32) {
        let settings = self.scenario.settings(number);
        let balancer = &self.balancers[number as usize];
        let mut stream = Stream::of(
            self.seed,
            StreamId::Balancer,
            u64::from(number) << 16 | u64::from(balancer.incarnation),
        );
        let chooser = (self.policy.factory)(&settings, stream.any(), &self.ground_truth);
        // Can't fail: the scenario was validated.
        let Ok(chooser) = chooser else { return };
        let limits = Limits { drain_grace: millis(self.scenario.rules.drain_grace_ms), ..Limits::default() };
        let name = format!("b{number}");
        let (first, version) = (balancer.incarnation == 0, self.version());
        let balancer = &mut self.balancers[number as usize];
        let guard = SwitchableGuard { unguarded: self.policy.unguarded };
        balancer.dispatch = Some(Dispatch::with_guard(chooser, guard, &settings, &name, limits));
        (balancer.alive, balancer.draining, balancer.timer_at) = (true, false, Micros::MAX);
        (balancer.watching, balancer.list_requested, balancer.list_received) = (false, false, false);
        if first {
            balancer.list_version = version;
        }
        let known = self.balancers[number as usize].list_version;
        self.balancers[number as usize]
            .notices
            .iter_mut()
            .for_each(|notice| *notice = ServerNotice::default());
        let list = self.list_at_version(known);
        self.deliver_list(number, ListKind::Cached, &list);
    }

    /// Kills a balancer process without draining.
    pub fn crash(&mut self, number: u32) {
        let [low, high] = self.scenario.balancers.notice_s;
        let detection_delay = seconds(self.front_random.between(low, high));
        self.end_process(number);
        self.balancers[number as usize].routable_until = self.now + detection_delay;
    }

    /// Ends a balancer process, after a crash or a drain.
    fn end_process(&mut self, number: u32) {
        let balancer = &mut self.balancers[number as usize];
        (balancer.alive, balancer.incarnation) = (false, balancer.incarnation + 1);
        if let Some(dispatch) = balancer.dispatch.take() {
            balancer.defects_of_past_processes += dispatch.defects().total();
        }
        self.servers.iter_mut().for_each(|server| server.close_idle(number as usize));
        let upstream_requests: Vec<UpstreamRequestKey> = self
            .upstream_requests
            .iter()
            .filter(|(_, f)| f.balancer == number && !f.abandoned)
            .map(|(key, _)| key)
            .collect();
        upstream_requests.into_iter().for_each(|key| self.abandon(key));
        // Its clients' connections are reset.
        let open: Vec<ClientRequestKey> = self
            .client_requests
            .iter()
            .filter(|(_, client_request)| {
                client_request.balancer == number && client_request.accepted && !client_request.answered
            })
            .map(|(key, _)| key)
            .collect();
        for key in open {
            self.send_answer(key, Answer::Lost, self.now);
        }
    }

    /// Starts the balancer unless it already runs.
    pub fn on_balancer_start(&mut self, number: u32) {
        if !self.balancers[number as usize].alive {
            self.start_balancer(number);
        }
    }

    /// Begins to drain a balancer: the front stops routing to it after 300 ms, and it answers its open
    /// requests.
    pub fn drain_balancer(&mut self, number: u32) {
        let balancer = &mut self.balancers[number as usize];
        if balancer.alive && !balancer.draining {
            balancer.draining = true;
            balancer.routable_until = self.now + millis(300.0);
            let incarnation = balancer.incarnation;
            self.queue.push(self.now + 1_000_000, Event::BalancerStop { balancer: number, incarnation });
        }
    }

    /// Stops a drained balancer, or checks again in 100 ms while it has open requests.
    pub fn on_balancer_stop(&mut self, number: u32, incarnation: u32) {
        let balancer = &self.balancers[number as usize];
        if balancer.incarnation != incarnation {
            return;
        }
        if balancer.dispatch.as_ref().is_some_and(|dispatch| !dispatch.is_empty()) {
            self.queue.push(self.now + 100_000, Event::BalancerStop { balancer: number, incarnation });
            return;
        }
        self.end_process(number);
        self.queue.push(self.now + 300_000, Event::BalancerStart { balancer: number });
    }

    /// Whether the front routes requests to this balancer.
    pub fn is_routable(&self, number: u32) -> bool {
        let balancer = &self.balancers[number as usize];
        balancer.alive && !balancer.draining || self.now < balancer.routable_until
    }

    /// A request reaches its balancer.
    pub fn on_request_at_balancer(&mut self, key: ClientRequestKey) {
        let now = self.now;
        let Some(client_request) = self.client_requests.get_mut(key) else { return };
        let number = client_request.balancer;
        if !self.balancers[number as usize].alive {
            return self.send_answer(key, Answer::Unreachable, now);
        }
        client_request.accepted = true;
        let (request_id, logical_request, gives_up_at) =
            (client_request.request_id, client_request.logical_request, client_request.gives_up_at);
        let Some(logical_request) = self.logical_requests.get(logical_request) else { return };
        self.rule_monitor.note(request_id, now, || format!("balancer b{number} takes it"));
        let transaction = Transaction {
            client_request_id: request_id.to_be_bytes()[..].into(),
            class: logical_request.info.class as usize,
            tenant: Some(logical_request.info.branch as usize),
            key: Some(format!("k{}", logical_request.key)),
            hint: logical_request.hint,
            once: false,
            arrived: now,
            time_left: gives_up_at.saturating_sub(now),
            upload_complete: true,
            message: key,
        };
        self.handle_input(number, Input::Accepted { ticket: key.data().as_ffi(), transaction });
    }

    /// The balancer learns that the client has disconnected.
    pub fn on_disconnect_at_balancer(&mut self, key: ClientRequestKey) {
        if let Some(client_request) = self.client_requests.get(key) {
            let number = client_request.balancer;
            self.handle_input(number, Input::ClientDisconnected { ticket: key.data().as_ffi() });
            // The client is owed no answer any more: one from now on would break the one-answer rule.
            if let Some(client_request) = self.client_requests.get_mut(key) {
                client_request.answered = true;
            }
            self.remove_if_finished(key, None);
        }
    }

    /// Handles a due timer. The timer may have been moved to a later time since it was queued.
    pub fn on_balancer_timer(&mut self, number: u32, incarnation: u32) {
        let balancer = &mut self.balancers[number as usize];
        if balancer.incarnation != incarnation || !balancer.alive {
            return;
        }
        balancer.timer_at = Micros::MAX;
        if balancer.poll_at <= self.now {
            balancer.poll_at = Micros::MAX;
            self.request_list(number);
        }
        let due = self.balancers[number as usize].dispatch.as_ref().and_then(Dispatched::next_tick_at);
        if due.is_some_and(|at| at <= self.now) {
            self.handle_input(number, Input::Tick);
        } else {
            self.arm_timer(number);
        }
    }

    /// Queues the balancer's next timer.
    pub fn arm_timer(&mut self, number: u32) {
        let balancer = &mut self.balancers[number as usize];
        let due = balancer
            .dispatch
            .as_ref()
            .and_then(Dispatched::next_tick_at)
            .unwrap_or(Micros::MAX)
            .min(balancer.poll_at);
        if due < balancer.timer_at {
            balancer.timer_at = due;
            let event = Event::BalancerTimer { balancer: number, incarnation: balancer.incarnation };
            self.queue.push(due.max(self.now), event);
        }
    }

    /// Passes a server list to the balancer and records what it was told.
    pub fn deliver_list(&mut self, number: u32, kind: ListKind, entries: &[Entry]) {
        let now = self.now;
        let balancer = &mut self.balancers[number as usize];
        if kind == ListKind::Full {
            let mut named = vec![false; balancer.notices.len()];
            entries.iter().for_each(|entry| named[entry.server as usize] = true);
            let missing = balancer.notices.iter_mut().zip(named).filter(|(_, named)| !named);
            missing.for_each(|(notice, _)| notice.closed_at = notice.closed_at.or(Some(now)));
        }
        for entry in entries {
            let notice = &mut balancer.notices[entry.server as usize];
            notice.closed_at = match entry.state {
                Listed::Ready => None,
                _ => notice.closed_at.or(Some(now)),
            };
            notice.started_at = entry.started.unwrap_or(notice.started_at);
        }
        let servers =
            entries.iter().map(|entry| listed(entry, &self.servers[entry.server as usize])).collect();
        self.handle_input(number, Input::ServerList { kind, servers });
    }

    /// Passes an input to dispatch and applies the outputs.
    fn handle_input(&mut self, number: u32, input: Input<ClientRequestKey, ()>) {
        let mut next = Some(input);
        let mut inputs = std::mem::take(&mut self.inputs);
        let mut outputs = std::mem::take(&mut self.outputs);
        while let Some(input) = next {
            let Some(dispatch) = &mut self.balancers[number as usize].dispatch else { break };
            dispatch.handle(self.now, input, &mut outputs);
            let late = self.charge_cpu(number);
            for output in outputs.drain(..) {
                self.apply_output(number, output, late, &mut inputs);
            }
            next = inputs.pop();
        }
        (self.inputs, self.outputs) = (inputs, outputs);
        self.arm_timer(number);
    }

    /// Charges the CPU time of one event. Returns the delay of its outputs, in microseconds.
    fn charge_cpu(&mut self, number: u32) -> Micros {
        let settings = &self.scenario.balancers;
        let rate = settings.cpu_ms_per_s / 1000.0;
        if rate <= 0.0 {
            return 0;
        }
        let balancer = &mut self.balancers[number as usize];
        let most = rate * 1e6;
        balancer.cpu_tokens = (balancer.cpu_tokens + (self.now - balancer.tokens_refilled_at) as f64 * rate)
            .min(most)
            - settings.event_us;
        balancer.tokens_refilled_at = self.now;
        (-balancer.cpu_tokens / rate).max(0.0) as Micros
    }

    fn apply_output(
        &mut self,
        number: u32,
        output: Output<ClientRequestKey, ()>,
        late: Micros,
        inputs: &mut Vec<Input<ClientRequestKey, ()>>,
    ) {
        match output {
            Output::Start { attempt, server, message: key, .. } if late > 2_000_000 => {
                // More than 2 s behind: the attempt is not started.
                let (extent, cause, ticket) = (Extent::Nothing, Cause::NotTried, key.data().as_ffi());
                let _ = server;
                inputs.push(Input::AttemptEnded {
                    ticket,
                    attempt,
                    extent,
                    cause,
                    reply: None,
                    report: None,
                });
            }
            Output::Start { attempt, server, message, until, .. } => {
                let server = crate::policy::number(&server).unwrap_or(u32::MAX);
                self.start_attempt(number, message, attempt, server, until, late);
            }
            Output::Withdraw { ticket, attempt } | Output::CancelUnstarted { ticket, attempt } => {
                let key = ClientRequestKey::from(KeyData::from_ffi(ticket));
                let begun = |upstream_request| self.extent(upstream_request) != Extent::Nothing;
                let held = matches!(output, Output::CancelUnstarted { .. });
                if let Some(upstream_request) = self
                    .find_upstream_request(key, attempt)
                    .filter(|upstream_request| !held || !begun(*upstream_request))
                {
                    let extent = self.extent(upstream_request);
                    self.abandon(upstream_request);
                    inputs.push(Input::AttemptEnded {
                        ticket,
                        attempt,
                        extent,
                        cause: Cause::Withdrawn,
                        reply: None,
                        report: None,
                    });
                }
            }
            Output::Answer { ticket, answer } => {
                let key = ClientRequestKey::from(KeyData::from_ffi(ticket));
                let answer = match answer {
                    FinalAnswer::Served(()) => Answer::Served,
                    FinalAnswer::Refused { pause } => Answer::Refused { pause },
                    FinalAnswer::DuplicateId | FinalAnswer::Failed { .. } => Answer::Failed,
                };
                self.check_answer(number, key, answer);
                self.send_answer(key, answer, self.now + late);
            }
            Output::Availability { server, open: false } => {
                let server = crate::policy::number(&server).unwrap_or(u32::MAX);
                // Withdraws attempts of which nothing has been written yet.
                let unwritten = self.upstream_requests.iter().filter(|(_, f)| {
                    f.balancer == number && f.server == server && !f.abandoned && f.written_at > self.now
                });
                let unwritten: Vec<(UpstreamRequestKey, u64, u32)> =
                    unwritten.map(|(key, f)| (key, f.request_key.data().as_ffi(), f.attempt)).collect();
                for (key, ticket, attempt) in unwritten {
                    self.abandon(key);
                    if ticket == ClientRequestKey::null().data().as_ffi() {
                        continue;
                    }
                    let (extent, cause) = (Extent::Nothing, Cause::Closed);
                    inputs.push(Input::AttemptEnded {
                        ticket,
                        attempt,
                        extent,
                        cause,
                        reply: None,
                        report: None,
                    });
                }
            }
            Output::DropIdle { server } => {
                if let Some(server) = crate::policy::number(&server) {
                    self.servers[server as usize].close_idle(number as usize);
                }
            }
            Output::WatchServerList => self.request_list(number),
            Output::Probe { server } => {
                if let Some(server) = crate::policy::number(&server) {
                    self.start_probe(number, server, late);
                }
            }
            Output::Availability { .. }
            | Output::ServerRemoved { .. }
            | Output::Log { .. }
            | Output::Defect { .. } => {}
        }
    }

    fn check_answer(&mut self, number: u32, key: ClientRequestKey, answer: Answer) {
        let now = self.now;
        let Some(client_request) = self.client_requests.get(key) else { return };
        let request_id = client_request.request_id;
        self.rule_monitor.note(request_id, now, || format!("balancer b{number} answers: {answer:?}"));
        if client_request.answered {
            self.rule_monitor
                .breach(Rule::OneAnswer, now, request_id, || format!("b{number} answers it again"));
        }
        if self.must_not_refuse_after_run(client_request.class) && matches!(answer, Answer::Refused { .. }) {
            let out = client_request.upstream_requests.iter().any(|(_, upstream_request)| {
                self.upstream_requests
                    .get(*upstream_request)
                    .is_some_and(|f| f.written_at <= now && f.cause != Cause::Unprocessed)
            });
            if out || client_request.runs > 0 {
                let what =
                    || format!("b{number} refuses it though it {}", if out { "may run" } else { "has run" });
                self.rule_monitor.breach(Rule::HonestRefusal, now, request_id, what);
            }
        }
    }

    /// Whether a request of this class must not be refused once it may have run: its client would retry after
    /// a refusal, and the retry may reach an app server that doesn't know of the first run.
    fn must_not_refuse_after_run(&self, class: u16) -> bool {
        let class_settings = &self.scenario.classes[class as usize];
        match class_settings.effect {
            Effect::Safe => false,
            Effect::Keyed => class_settings.group != DedupScope::All,
            Effect::Unsafe => true,
        }
    }

    fn find_upstream_request(&self, key: ClientRequestKey, attempt: u32) -> Option<UpstreamRequestKey> {
        let client_request = self.client_requests.get(key)?;
        let (_, upstream_request) =
            client_request.upstream_requests.iter().find(|(number, _)| *number == attempt)?;
        self.upstream_requests
            .get(*upstream_request)
            .filter(|upstream_request| !upstream_request.abandoned)
            .map(|_| *upstream_request)
    }

    fn extent(&self, key: UpstreamRequestKey) -> Extent {
        match self.upstream_requests.get(key) {
            Some(upstream_request) if upstream_request.written_at <= self.now => Extent::Whole,
            _ => Extent::Nothing,
        }
    }

    fn start_attempt(
        &mut self,
        number: u32,
        request_key: ClientRequestKey,
        attempt: u32,
        to: u32,
        until: Micros,
        late: Micros,
    ) {
        let Some(client_request) = self.client_requests.get(request_key) else { return };
        let (request_id, key, base) = (client_request.request_id, client_request.key, client_request.work);
        let class = &self.scenario.classes[client_request.class as usize];
        let io = millis(class.io_ms);
        let work = base * self.attempt_random.factor(class.attempt_cv);
        self.check_drain_grace(number, to, request_id);
        self.rule_monitor.note(request_id, self.now, || format!("b{number} sends it to s{to}"));
        let upstream_request = UpstreamRequest {
            request_key,
            request_id,
            attempt,
            key,
            work,
            io,
            ..self.new_upstream_request(number, to, late)
        };
        let crosses = self.servers[to as usize].zone != self.balancers[number as usize].zone;
        if self.metrics.is_counted(self.now) {
            self.metrics.crossed += u64::from(crosses);
            self.metrics.second(self.now).attempts += 1;
        }
        let upstream_request = self.send(upstream_request, until);
        if let Some(client_request) = self.client_requests.get_mut(request_key) {
            client_request.upstream_requests.push((attempt, upstream_request));
        }
    }

    fn start_probe(&mut self, number: u32, to: u32, late: Micros) {
        self.check_drain_grace(number, to, 0);
        let scenario = &self.scenario.probe;
        let (work, until) = (scenario.work_us, self.now + late + millis(scenario.timeout_ms));
        let upstream_request =
            UpstreamRequest { probe: true, work, ..self.new_upstream_request(number, to, late) };
        if self.metrics.is_counted(self.now) {
            self.metrics.probes += 1;
        }
        self.send(upstream_request, until);
    }

    /// Checks that no attempt or probe goes to an app server later than the grace period after its balancer
    /// was told that it drains or is gone.
    fn check_drain_grace(&mut self, number: u32, to: u32, request_id: u64) {
        let grace = millis(self.scenario.rules.drain_grace_ms);
        let closed_at = self.balancers[number as usize].notice_of(to).closed_at;
        if let Some(at) = closed_at.filter(|at| self.now > at + grace) {
            let what = || format!("b{number} sends it to s{to}, told closed at {:.3} s", at as f64 / 1e6);
            self.rule_monitor.breach(Rule::DrainKept, self.now, request_id, what);
        }
    }

    /// An attempt or probe that has not been sent yet, with default values for what the caller doesn't set.
    fn new_upstream_request(&self, number: u32, to: u32, late: Micros) -> UpstreamRequest {
        UpstreamRequest {
            request_key: ClientRequestKey::null(),
            probe: false,
            request_id: 0,
            balancer: number,
            balancer_incarnation: self.balancers[number as usize].incarnation,
            attempt: 0,
            server: to,
            server_incarnation: self.servers[to as usize].incarnation,
            // No app server caches this key.
            key: u32::MAX,
            work: 0.0,
            io: 0,
            sent: self.now + late,
            handshake_work: 0.0,
            actual_work: 0.0,
            written_at: Micros::MAX,
            stage: Stage::Lost,
            abandoned: false,
            reset_on_return: false,
            cause: Cause::OutOfTime,
            report: None,
            holds_connection: false,
        }
    }

    /// Sends an attempt or probe on an idle connection, or on a new one.
    fn send(&mut self, mut upstream_request: UpstreamRequest, until: Micros) -> UpstreamRequestKey {
        let (now, number) = (upstream_request.sent, upstream_request.balancer);
        let zone = self.balancers[number as usize].zone;
        let fleet = &self.scenario.fleet;
        let server = &mut self.servers[upstream_request.server as usize];
        let there = server.zone;
        let mut back_at = None;
        let reused = server.take_idle_connection(number as usize, now, seconds(fleet.idle_s));
        if !self.network.is_connected(zone, there) {
            if reused {
                // The bytes are written, but the network drops them.
                (upstream_request.written_at, upstream_request.holds_connection) = (now, true);
            } else {
                back_at = Some(now + millis(fleet.dial_ms));
            }
        } else {
            let way = self.network.delay(zone, there);
            if reused {
                upstream_request.written_at = now;
            } else if server.state == State::Down || !server.connect(fleet) {
                back_at = Some(now + 2 * way);
            } else {
                upstream_request.written_at = now + (2.0 * way as f64 * fleet.handshake_rtts) as Micros;
                upstream_request.handshake_work = fleet.handshake_us;
            }
            upstream_request.holds_connection = back_at.is_none();
            if back_at.is_none() {
                upstream_request.stage = Stage::ToServer;
            }
        }
        let lands = (upstream_request.stage == Stage::ToServer)
            .then(|| upstream_request.written_at + self.network.delay(zone, there));
        if back_at.is_some() {
            (upstream_request.stage, upstream_request.cause) = (Stage::ToBalancer, Cause::NoConnection);
        }
        let upstream_request = self.upstream_requests.insert(upstream_request);
        if let Some(at) = back_at {
            self.queue.push(at, Event::AttemptResult { upstream_request });
        }
        if let Some(at) = lands {
            self.queue.push(at, Event::RequestAtServer { upstream_request });
        }
        self.queue.push(until.max(now), Event::AttemptTimeout { upstream_request });
        upstream_request
    }

    /// Records that an app server begins to work on an attempt, and checks the rules on repeated runs.
    pub fn record_run(&mut self, key: UpstreamRequestKey) {
        let now = self.now;
        let Some(upstream_request) = self.upstream_requests.get(key) else { return };
        let (request_id, server, sent) =
            (upstream_request.request_id, upstream_request.server, upstream_request.sent);
        let Some(client_request) = self.client_requests.get_mut(upstream_request.request_key) else { return };
        self.rule_monitor.note(request_id, now, || format!("s{server} works on it"));
        client_request.runs += 1;
        let (runs, answered, class) = (client_request.runs, client_request.answer, client_request.class);
        let class_settings = &self.scenario.classes[class as usize];
        let again = match class_settings.effect {
            Effect::Safe => false,
            Effect::Unsafe => runs > 1,
            Effect::Keyed => {
                let group = group(class_settings.group, &self.servers[server as usize]);
                let (first, since) = *client_request.first_run.get_or_insert((group, sent));
                group != first || sent > since + millis(class_settings.window_ms)
            }
        };
        if again {
            let what = || format!("s{server} runs it for the {runs}. time");
            self.rule_monitor.breach(Rule::NoSecondRun, now, request_id, what);
        }
        if self.must_not_refuse_after_run(class) && matches!(answered, Some(Answer::Refused { .. })) {
            let what = || format!("s{server} runs it after its refusal");
            self.rule_monitor.breach(Rule::HonestRefusal, now, request_id, what);
        }
    }

    /// Sends the result of an attempt or probe back to its balancer, after a delay.
    pub fn send_result_back(&mut self, key: UpstreamRequestKey, cause: Cause, after: Micros) {
        let Some(upstream_request) = self.upstream_requests.get_mut(key) else { return };
        if upstream_request.abandoned {
            return self.remove(key);
        }
        let (probe, server) = (upstream_request.probe, upstream_request.server);
        let answers = matches!(cause, Cause::Served | Cause::Failed | Cause::Unprocessed);
        let report = if answers { self.load_report(server, probe) } else { None };
        let Some(upstream_request) = self.upstream_requests.get_mut(key) else { return };
        upstream_request.report = report;
        let (from, to) = (
            self.servers[upstream_request.server as usize].zone,
            self.balancers[upstream_request.balancer as usize].zone,
        );
        upstream_request.cause = cause;
        if !self.network.is_connected(from, to) {
            upstream_request.stage = Stage::Lost;
            return;
        }
        upstream_request.stage = Stage::ToBalancer;
        let at = self.now + after + self.network.delay(from, to);
        self.queue.push(at, Event::AttemptResult { upstream_request: key });
    }

    /// The result of an attempt or probe reaches its balancer.
    pub fn on_attempt_result(&mut self, key: UpstreamRequestKey) {
        let Some(upstream_request) = self.upstream_requests.get(key) else { return };
        if upstream_request.abandoned
            || self.balancers[upstream_request.balancer as usize].incarnation
                != upstream_request.balancer_incarnation
        {
            return self.remove(key);
        }
        let (ticket, attempt, cause) =
            (upstream_request.request_key.data().as_ffi(), upstream_request.attempt, upstream_request.cause);
        let (number, server, request_id) =
            (upstream_request.balancer, upstream_request.server, upstream_request.request_id);
        let (probe, report) = (upstream_request.probe, upstream_request.report);
        let extent = self.extent(key);
        let keeps = matches!(cause, Cause::Served | Cause::Failed | Cause::Unprocessed);
        if keeps && self.servers[server as usize].incarnation == upstream_request.server_incarnation {
            self.servers[server as usize].return_connection(number as usize, self.now);
            self.upstream_requests[key].holds_connection = false;
        }
        self.rule_monitor.note(request_id, self.now, || format!("b{number} hears from s{server}: {cause:?}"));
        self.remove(key);
        if probe {
            let server = self.servers[server as usize].id.clone();
            return self.handle_input(number, Input::ProbeEnded { server, cause, report });
        }
        let reply = (cause == Cause::Served).then_some(());
        self.handle_input(number, Input::AttemptEnded { ticket, attempt, extent, cause, reply, report });
    }

    /// The time-out of an attempt or probe expires.
    pub fn on_attempt_timeout(&mut self, key: UpstreamRequestKey) {
        let Some(upstream_request) =
            self.upstream_requests.get(key).filter(|upstream_request| !upstream_request.abandoned)
        else {
            return;
        };
        let (ticket, attempt, number) = (
            upstream_request.request_key.data().as_ffi(),
            upstream_request.attempt,
            upstream_request.balancer,
        );
        let (request_id, probe, server) =
            (upstream_request.request_id, upstream_request.probe, upstream_request.server);
        if probe {
            self.abandon(key);
            let (server, cause) = (self.servers[server as usize].id.clone(), Cause::OutOfTime);
            return self.handle_input(number, Input::ProbeEnded { server, cause, report: None });
        }
        let extent = self.extent(key);
        self.rule_monitor.note(request_id, self.now, || {
            format!("b{number} gives attempt {attempt} up, written: {extent:?}")
        });
        self.abandon(key);
        let (cause, reply) = (Cause::OutOfTime, None);
        self.handle_input(
            number,
            Input::AttemptEnded { ticket, attempt, extent, cause, reply, report: None },
        );
    }

    /// Abandons an attempt or probe at its balancer: its connection closes, but the app server may go on
    /// working.
    fn abandon(&mut self, key: UpstreamRequestKey) {
        let Some(upstream_request) = self.upstream_requests.get_mut(key) else { return };
        upstream_request.abandoned = true;
        // What has not been written yet is never sent.
        let unwritten = upstream_request.written_at > self.now;
        if upstream_request.stage == Stage::Lost || (unwritten && upstream_request.stage == Stage::ToServer) {
            self.remove(key);
        }
    }

    /// Removes an attempt or probe that has come to its end.
    pub fn remove(&mut self, key: UpstreamRequestKey) {
        let Some(upstream_request) = self.upstream_requests.remove(key) else { return };
        if upstream_request.holds_connection {
            let server = &mut self.servers[upstream_request.server as usize];
            if server.incarnation == upstream_request.server_incarnation {
                server.disconnect();
            }
        }
        self.remove_if_finished(upstream_request.request_key, Some(key));
    }
}

/// The deduplication group of an app server: the app servers of a group know each other's idempotency keys.
fn group(within: DedupScope, server: &Server) -> u32 {
    match within {
        DedupScope::All => 0,
        DedupScope::Zone => server.zone,
        DedupScope::Cell => server.cell,
    }
}
