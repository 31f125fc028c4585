//! Balancers: the code in service round its chooser, the CPU that it may use, and its attempts on their way.

use gradepaddle::{ListKind, LoadReport, Micros, ServerState as Listed};
use gradepaddle_dispatch::{
    Cause, Chooser, Defect, Dispatch, Extent, FinalAnswer, Guard, Input, Limits, Output, Transaction,
};
use slotmap::{Key, KeyData};

use crate::clients::Answer;
use crate::discovery::{Entry, listed};
use crate::judge::Rule;
use crate::queue::{Event, FlightKey, TryKey};
use crate::random::{Party, Stream};
use crate::scenario::{Repeats, Within, millis, seconds};
use crate::server::{Server, State};
use crate::world::World;

/// The rules in service, or none of them, for a test of the monitors.
#[derive(Clone, Copy, Debug)]
struct Watch {
    unguarded: bool,
}

impl Guard for Watch {
    fn enforces(&self, _: Defect) -> bool {
        !self.unguarded
    }

    fn fails_overdue(&self) -> bool {
        !self.unguarded
    }
}

type Dispatched = Dispatch<Box<dyn Chooser>, TryKey, (), Watch>;
/// What goes into dispatch and comes out of it; kept by the world for their memory.
pub type Inputs = Vec<Input<TryKey, ()>>;
/// See [`Inputs`].
pub type Outputs = Vec<Output<TryKey, ()>>;

/// What a balancer was told of an app server.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    /// Draining or gone, since then.
    closed: Option<Micros>,
    /// That it started then; 0 for long ago.
    started: Micros,
}

/// A balancer's machine and the process on it.
pub struct Balancer {
    pub zone: u32,
    pub alive: bool,
    /// Counts starts.
    pub life: u32,
    /// Asked to go: it answers on, but the front is told.
    leaving: bool,
    /// The front goes on believing in it until then.
    believed_until: Micros,
    dispatch: Option<Dispatched>,
    /// The earliest of its timers that stands in the queue.
    armed: Micros,
    /// CPU time that it may use now, in microseconds.
    tokens: f64,
    refilled: Micros,
    pub watching: bool,
    pub calls: bool,
    /// It has had a list from discovery in this life.
    pub listed: bool,
    pub ask_at: Micros,
    /// Changes that it has heard of.
    pub heard: u32,
    pub heard_at: Micros,
    told: Vec<Told>,
    /// Of lives that have passed.
    past_defects: u64,
}

/// Where an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// On its way to its app server.
    Going,
    /// It waits there.
    Waiting,
    /// It is worked on.
    Working,
    /// Its end is on its way back.
    Returning,
    /// Lost on its way; nothing comes of it.
    Lost,
}

/// An attempt on its way, or a probe.
#[derive(Clone, Debug)]
pub struct Flight {
    /// Of no try if it is a probe.
    pub of: TryKey,
    pub probe: bool,
    /// The number of its try.
    pub serial: u64,
    pub balancer: u32,
    balancer_life: u32,
    attempt: u32,
    pub server: u32,
    pub server_life: u32,
    pub key: u32,
    /// Work for a key that is not warm.
    pub work: f64,
    /// It waits on others for so long besides.
    pub io: Micros,
    /// When it was sent.
    sent: Micros,
    /// What its new connection costs.
    pub extra: f64,
    /// What it took in the end.
    pub met: f64,
    /// When its last byte is written; until then it has not begun.
    written_at: Micros,
    pub place: Place,
    /// Its balancer has no more use for it.
    pub over: bool,
    /// It is reset on its way back.
    pub doomed: bool,
    cause: Cause,
    /// What its app server told of its load.
    report: Option<LoadReport>,
    /// A connection is held for it.
    connected: bool,
}

impl Balancer {
    fn tells(&self, server: u32) -> Told {
        self.told.get(server as usize).copied().unwrap_or_default()
    }

    /// Was it told of this start?
    pub fn knows_start(&self, server: u32, started: Micros) -> bool {
        started > 0 && self.tells(server).started == started
    }

    /// Another app server exists.
    pub fn learn_of(&mut self, server: u32) {
        let count = server as usize + 1;
        if self.told.len() < count {
            self.told.resize(count, Told::default());
        }
    }

    /// Actions that its guard did not let through.
    pub fn defects(&self) -> u64 {
        self.past_defects + self.dispatch.as_ref().map_or(0, |dispatch| dispatch.defects().total())
    }
}

impl World {
    /// A balancer's machine, with no process on it yet.
    pub fn new_balancer(&self, number: u32) -> Balancer {
        Balancer {
            zone: number % self.scenario.fleet.zones,
            alive: false,
            life: 0,
            leaving: false,
            believed_until: 0,
            dispatch: None,
            armed: Micros::MAX,
            tokens: self.scenario.balancers.cpu_ms_per_s * 1000.0,
            refilled: 0,
            watching: false,
            calls: false,
            listed: false,
            ask_at: Micros::MAX,
            heard: 0,
            heard_at: 0,
            told: vec![Told::default(); self.servers.len()],
            past_defects: 0,
        }
    }

    /// Its process starts, with the last list that it had.
    pub fn start_balancer(&mut self, number: u32) {
        let settings = self.scenario.settings(number);
        let of = &self.balancers[number as usize];
        let mut stream = Stream::of(self.seed, Party::Balancer, u64::from(number) << 16 | u64::from(of.life));
        let chooser = (self.player.make)(&settings, stream.any(), &self.board);
        // Settings come from a scenario that was checked.
        let Ok(chooser) = chooser else { return };
        let limits = Limits { drain_grace: millis(self.scenario.rules.drain_grace_ms), ..Limits::default() };
        let name = format!("b{number}");
        let (first, version) = (of.life == 0, self.version());
        let of = &mut self.balancers[number as usize];
        let watch = Watch { unguarded: self.player.unguarded };
        of.dispatch = Some(Dispatch::with_guard(chooser, watch, &settings, &name, limits));
        (of.alive, of.leaving, of.armed) = (true, false, Micros::MAX);
        (of.watching, of.calls, of.listed) = (false, false, false);
        if first {
            of.heard = version;
        }
        let known = self.balancers[number as usize].heard;
        self.balancers[number as usize].told.iter_mut().for_each(|told| *told = Told::default());
        let list = self.last_list(known);
        self.tell_list(number, ListKind::Cached, &list);
    }

    /// Its process dies at once.
    pub fn crash(&mut self, number: u32) {
        let [low, high] = self.scenario.balancers.notice_s;
        let notice = seconds(self.front.between(low, high));
        self.end_process(number);
        self.balancers[number as usize].believed_until = self.now + notice;
    }

    /// What holds at any end of a process.
    fn end_process(&mut self, number: u32) {
        let of = &mut self.balancers[number as usize];
        (of.alive, of.life) = (false, of.life + 1);
        if let Some(dispatch) = of.dispatch.take() {
            of.past_defects += dispatch.defects().total();
        }
        self.servers.iter_mut().for_each(|server| server.drop_idle(number as usize));
        let flights: Vec<FlightKey> = self
            .flights
            .iter()
            .filter(|(_, f)| f.balancer == number && !f.over)
            .map(|(key, _)| key)
            .collect();
        flights.into_iter().for_each(|key| self.give_over(key));
        // Its clients' connections are reset.
        let open: Vec<TryKey> = self
            .tries
            .iter()
            .filter(|(_, one)| one.balancer == number && one.taken && !one.answered)
            .map(|(key, _)| key)
            .collect();
        for key in open {
            self.reply_to(key, Answer::Lost, self.now);
        }
    }

    /// It comes up again.
    pub fn up(&mut self, number: u32) {
        if !self.balancers[number as usize].alive {
            self.start_balancer(number);
        }
    }

    /// It is asked to go: the front stops sending to it soon, and it answers what it has.
    pub fn restart(&mut self, number: u32) {
        let of = &mut self.balancers[number as usize];
        if of.alive && !of.leaving {
            of.leaving = true;
            of.believed_until = self.now + millis(300.0);
            let life = of.life;
            self.queue.push(self.now + 1_000_000, Event::Gone { balancer: number, life });
        }
    }

    /// It has answered on for long enough, unless something is still open.
    pub fn gone(&mut self, number: u32, life: u32) {
        let of = &self.balancers[number as usize];
        if of.life != life {
            return;
        }
        if of.dispatch.as_ref().is_some_and(|dispatch| !dispatch.is_empty()) {
            self.queue.push(self.now + 100_000, Event::Gone { balancer: number, life });
            return;
        }
        self.end_process(number);
        self.queue.push(self.now + 300_000, Event::Up { balancer: number });
    }

    /// Does the front send to it?
    pub fn believed(&self, number: u32) -> bool {
        let of = &self.balancers[number as usize];
        of.alive && !of.leaving || self.now < of.believed_until
    }

    /// A request reaches its balancer.
    pub fn reach(&mut self, key: TryKey) {
        let now = self.now;
        let Some(one) = self.tries.get_mut(key) else { return };
        let number = one.balancer;
        if !self.balancers[number as usize].alive {
            return self.reply_to(key, Answer::Unreachable, now);
        }
        one.taken = true;
        let (serial, quest, gives_up) = (one.serial, one.quest, one.gives_up);
        let Some(quest) = self.quests.get(quest) else { return };
        self.judge.note(serial, now, || format!("balancer b{number} takes it"));
        let transaction = Transaction {
            client_request_id: serial.to_be_bytes()[..].into(),
            class: quest.counted.class as usize,
            tenant: Some(quest.counted.branch as usize),
            key: Some(format!("k{}", quest.key)),
            hint: quest.hint,
            once: false,
            arrived: now,
            time_left: gives_up.saturating_sub(now),
            upload_complete: true,
            message: key,
        };
        self.tell(number, Input::Accepted { ticket: key.data().as_ffi(), transaction });
    }

    /// Its client has left.
    pub fn left(&mut self, key: TryKey) {
        if let Some(one) = self.tries.get(key) {
            let number = one.balancer;
            self.tell(number, Input::ClientDisconnected { ticket: key.data().as_ffi() });
            // Nothing is owed any more: an answer from now on would be one too many.
            if let Some(one) = self.tries.get_mut(key) {
                one.answered = true;
            }
            self.settle(key, None);
        }
    }

    /// A timer of its is due, unless that was moved.
    pub fn timer(&mut self, number: u32, life: u32) {
        let of = &mut self.balancers[number as usize];
        if of.life != life || !of.alive {
            return;
        }
        of.armed = Micros::MAX;
        if of.ask_at <= self.now {
            of.ask_at = Micros::MAX;
            self.call(number);
        }
        let due = self.balancers[number as usize].dispatch.as_ref().and_then(Dispatched::next_tick_at);
        if due.is_some_and(|at| at <= self.now) {
            self.tell(number, Input::Tick);
        } else {
            self.arm(number);
        }
    }

    /// Puts its next timer into the queue.
    pub fn arm(&mut self, number: u32) {
        let of = &mut self.balancers[number as usize];
        let due =
            of.dispatch.as_ref().and_then(Dispatched::next_tick_at).unwrap_or(Micros::MAX).min(of.ask_at);
        if due < of.armed {
            of.armed = due;
            let event = Event::Timer { balancer: number, life: of.life };
            self.queue.push(due.max(self.now), event);
        }
    }

    /// Hands it a list, and notes what it was told.
    pub fn tell_list(&mut self, number: u32, kind: ListKind, entries: &[Entry]) {
        let now = self.now;
        let of = &mut self.balancers[number as usize];
        if kind == ListKind::Full {
            let mut named = vec![false; of.told.len()];
            entries.iter().for_each(|entry| named[entry.server as usize] = true);
            let missing = of.told.iter_mut().zip(named).filter(|(_, named)| !named);
            missing.for_each(|(told, _)| told.closed = told.closed.or(Some(now)));
        }
        for entry in entries {
            let told = &mut of.told[entry.server as usize];
            told.closed = match entry.state {
                Listed::Ready => None,
                _ => told.closed.or(Some(now)),
            };
            told.started = entry.started.unwrap_or(told.started);
        }
        let servers =
            entries.iter().map(|entry| listed(entry, &self.servers[entry.server as usize])).collect();
        self.tell(number, Input::ServerList { kind, servers });
    }

    /// Hands it an input and carries out what comes of it.
    fn tell(&mut self, number: u32, input: Input<TryKey, ()>) {
        let mut next = Some(input);
        let mut inputs = std::mem::take(&mut self.inputs);
        let mut outputs = std::mem::take(&mut self.outputs);
        while let Some(input) = next {
            let Some(dispatch) = &mut self.balancers[number as usize].dispatch else { break };
            dispatch.handle(self.now, input, &mut outputs);
            let late = self.spend(number);
            for output in outputs.drain(..) {
                self.carry_out(number, output, late, &mut inputs);
            }
            next = inputs.pop();
        }
        (self.inputs, self.outputs) = (inputs, outputs);
        self.arm(number);
    }

    /// Books an event's CPU time. Gives back how much later than now its outputs come.
    fn spend(&mut self, number: u32) -> Micros {
        let settings = &self.scenario.balancers;
        let rate = settings.cpu_ms_per_s / 1000.0;
        if rate <= 0.0 {
            return 0;
        }
        let of = &mut self.balancers[number as usize];
        let most = rate * 1e6;
        of.tokens = (of.tokens + (self.now - of.refilled) as f64 * rate).min(most) - settings.event_us;
        of.refilled = self.now;
        (-of.tokens / rate).max(0.0) as Micros
    }

    fn carry_out(
        &mut self,
        number: u32,
        output: Output<TryKey, ()>,
        late: Micros,
        inputs: &mut Vec<Input<TryKey, ()>>,
    ) {
        match output {
            Output::Start { attempt, server, message: key, .. } if late > 2_000_000 => {
                // So far behind that it is not even begun.
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
                self.start(number, message, attempt, server, until, late);
            }
            Output::Withdraw { ticket, attempt } | Output::CancelUnstarted { ticket, attempt } => {
                let key = TryKey::from(KeyData::from_ffi(ticket));
                let begun = |flight| self.extent(flight) != Extent::Nothing;
                let held = matches!(output, Output::CancelUnstarted { .. });
                if let Some(flight) = self.flight_of(key, attempt).filter(|flight| !held || !begun(*flight)) {
                    let extent = self.extent(flight);
                    self.give_over(flight);
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
                let key = TryKey::from(KeyData::from_ffi(ticket));
                let answer = match answer {
                    FinalAnswer::Served(()) => Answer::Served,
                    FinalAnswer::Refused { pause } => Answer::Refused { pause },
                    FinalAnswer::DuplicateId | FinalAnswer::Failed { .. } => Answer::Failed,
                };
                self.judge_answer(number, key, answer);
                self.reply_to(key, answer, self.now + late);
            }
            Output::Availability { server, open: false } => {
                let server = crate::policy::number(&server).unwrap_or(u32::MAX);
                // Attempts whose first byte is not written yet stay here.
                let unwritten = self.flights.iter().filter(|(_, f)| {
                    f.balancer == number && f.server == server && !f.over && f.written_at > self.now
                });
                let unwritten: Vec<(FlightKey, u64, u32)> =
                    unwritten.map(|(key, f)| (key, f.of.data().as_ffi(), f.attempt)).collect();
                for (key, ticket, attempt) in unwritten {
                    self.give_over(key);
                    if ticket == TryKey::null().data().as_ffi() {
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
                    self.servers[server as usize].drop_idle(number as usize);
                }
            }
            Output::WatchServerList => self.call(number),
            Output::Probe { server } => {
                if let Some(server) = crate::policy::number(&server) {
                    self.probe(number, server, late);
                }
            }
            Output::Availability { .. }
            | Output::ServerRemoved { .. }
            | Output::Log { .. }
            | Output::Defect { .. } => {}
        }
    }

    fn judge_answer(&mut self, number: u32, key: TryKey, answer: Answer) {
        let now = self.now;
        let Some(one) = self.tries.get(key) else { return };
        let serial = one.serial;
        self.judge.note(serial, now, || format!("balancer b{number} answers: {answer:?}"));
        if one.answered {
            self.judge.breach(Rule::OneAnswer, now, serial, || format!("b{number} answers it again"));
        }
        if self.binds(one.class) && matches!(answer, Answer::Refused { .. }) {
            let out = one.flights.iter().any(|(_, flight)| {
                self.flights
                    .get(*flight)
                    .is_some_and(|f| f.written_at <= now && f.cause != Cause::Unprocessed)
            });
            if out || one.runs > 0 {
                let what =
                    || format!("b{number} refuses it though it {}", if out { "may run" } else { "has run" });
                self.judge.breach(Rule::HonestRefusal, now, serial, what);
            }
        }
    }

    /// Must a request of this class not be refused once it may have run? Its client would ask for it again, and
    /// nobody knows where that goes.
    fn binds(&self, class: u16) -> bool {
        let of = &self.scenario.classes[class as usize];
        match of.effect {
            Repeats::Safe => false,
            Repeats::Keyed => of.group != Within::All,
            Repeats::Unsafe => true,
        }
    }

    fn flight_of(&self, key: TryKey, attempt: u32) -> Option<FlightKey> {
        let one = self.tries.get(key)?;
        let (_, flight) = one.flights.iter().find(|(number, _)| *number == attempt)?;
        self.flights.get(*flight).filter(|flight| !flight.over).map(|_| *flight)
    }

    fn extent(&self, key: FlightKey) -> Extent {
        match self.flights.get(key) {
            Some(flight) if flight.written_at <= self.now => Extent::Whole,
            _ => Extent::Nothing,
        }
    }

    /// Starts an attempt.
    fn start(&mut self, number: u32, of: TryKey, attempt: u32, to: u32, until: Micros, late: Micros) {
        let Some(one) = self.tries.get(of) else { return };
        let (serial, key, base) = (one.serial, one.key, one.work);
        let class = &self.scenario.classes[one.class as usize];
        let io = millis(class.io_ms);
        let work = base * self.attempts.factor(class.attempt_cv);
        self.check_drain(number, to, serial);
        self.judge.note(serial, self.now, || format!("b{number} sends it to s{to}"));
        let flight = Flight { of, serial, attempt, key, work, io, ..self.flight(number, to, late) };
        let crosses = self.servers[to as usize].zone != self.balancers[number as usize].zone;
        if self.account.counts(self.now) {
            self.account.crossed += u64::from(crosses);
            self.account.second(self.now).attempts += 1;
        }
        let flight = self.depart(flight, until);
        if let Some(one) = self.tries.get_mut(of) {
            one.flights.push((attempt, flight));
        }
    }

    /// Starts a probe.
    fn probe(&mut self, number: u32, to: u32, late: Micros) {
        self.check_drain(number, to, 0);
        let scenario = &self.scenario.probe;
        let (work, until) = (scenario.work_us, self.now + late + millis(scenario.timeout_ms));
        let flight = Flight { probe: true, work, ..self.flight(number, to, late) };
        if self.account.counts(self.now) {
            self.account.probes += 1;
        }
        self.depart(flight, until);
    }

    /// Nothing new may go to an app server so long after its balancer was told that it drains or is gone.
    fn check_drain(&mut self, number: u32, to: u32, serial: u64) {
        let grace = millis(self.scenario.rules.drain_grace_ms);
        let told = self.balancers[number as usize].tells(to).closed;
        if let Some(at) = told.filter(|at| self.now > at + grace) {
            let what = || format!("b{number} sends it to s{to}, told closed at {:.3} s", at as f64 / 1e6);
            self.judge.breach(Rule::DrainKept, self.now, serial, what);
        }
    }

    /// A flight from a balancer to an app server that has not left yet.
    fn flight(&self, number: u32, to: u32, late: Micros) -> Flight {
        Flight {
            of: TryKey::null(),
            probe: false,
            serial: 0,
            balancer: number,
            balancer_life: self.balancers[number as usize].life,
            attempt: 0,
            server: to,
            server_life: self.servers[to as usize].life,
            // Remembered by nobody.
            key: u32::MAX,
            work: 0.0,
            io: 0,
            sent: self.now + late,
            extra: 0.0,
            met: 0.0,
            written_at: Micros::MAX,
            place: Place::Lost,
            over: false,
            doomed: false,
            cause: Cause::OutOfTime,
            report: None,
            connected: false,
        }
    }

    /// Sends a flight on its way, on a connection that is idle or on a new one.
    fn depart(&mut self, mut flight: Flight, until: Micros) -> FlightKey {
        let (now, number) = (flight.sent, flight.balancer);
        let zone = self.balancers[number as usize].zone;
        let fleet = &self.scenario.fleet;
        let server = &mut self.servers[flight.server as usize];
        let there = server.zone;
        let mut back_at = None;
        let reused = server.reuse(number as usize, now, seconds(fleet.idle_s));
        if !self.network.joins(zone, there) {
            if reused {
                // Written, and nothing comes of it.
                (flight.written_at, flight.connected) = (now, true);
            } else {
                back_at = Some(now + millis(fleet.dial_ms));
            }
        } else {
            let way = self.network.delay(zone, there);
            if reused {
                flight.written_at = now;
            } else if server.state == State::Down || !server.connect(fleet) {
                back_at = Some(now + 2 * way);
            } else {
                flight.written_at = now + (2.0 * way as f64 * fleet.handshake_rtts) as Micros;
                flight.extra = fleet.handshake_us;
            }
            flight.connected = back_at.is_none();
            if back_at.is_none() {
                flight.place = Place::Going;
            }
        }
        let lands =
            (flight.place == Place::Going).then(|| flight.written_at + self.network.delay(zone, there));
        if back_at.is_some() {
            (flight.place, flight.cause) = (Place::Returning, Cause::NoConnection);
        }
        let flight = self.flights.insert(flight);
        if let Some(at) = back_at {
            self.queue.push(at, Event::Back { flight });
        }
        if let Some(at) = lands {
            self.queue.push(at, Event::Land { flight });
        }
        self.queue.push(until.max(now), Event::Expire { flight });
        flight
    }

    /// An app server begins on an attempt.
    pub fn ran(&mut self, key: FlightKey) {
        let now = self.now;
        let Some(flight) = self.flights.get(key) else { return };
        let (serial, server, sent) = (flight.serial, flight.server, flight.sent);
        let Some(one) = self.tries.get_mut(flight.of) else { return };
        self.judge.note(serial, now, || format!("s{server} works on it"));
        one.runs += 1;
        let (runs, answered, class) = (one.runs, one.answer, one.class);
        let of = &self.scenario.classes[class as usize];
        let again = match of.effect {
            Repeats::Safe => false,
            Repeats::Unsafe => runs > 1,
            Repeats::Keyed => {
                let group = group(of.group, &self.servers[server as usize]);
                let (first, since) = *one.first_run.get_or_insert((group, sent));
                group != first || sent > since + millis(of.window_ms)
            }
        };
        if again {
            let what = || format!("s{server} runs it for the {runs}. time");
            self.judge.breach(Rule::NoSecondRun, now, serial, what);
        }
        if self.binds(class) && matches!(answered, Some(Answer::Refused { .. })) {
            let what = || format!("s{server} runs it after its refusal");
            self.judge.breach(Rule::HonestRefusal, now, serial, what);
        }
    }

    /// An attempt's end goes back to its balancer, after so long.
    pub fn turn_back(&mut self, key: FlightKey, cause: Cause, after: Micros) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        if flight.over {
            return self.remove(key);
        }
        let (probe, server) = (flight.probe, flight.server);
        let answers = matches!(cause, Cause::Served | Cause::Failed | Cause::Unprocessed);
        let report = if answers { self.report(server, probe) } else { None };
        let Some(flight) = self.flights.get_mut(key) else { return };
        flight.report = report;
        let (from, to) =
            (self.servers[flight.server as usize].zone, self.balancers[flight.balancer as usize].zone);
        flight.cause = cause;
        if !self.network.joins(from, to) {
            flight.place = Place::Lost;
            return;
        }
        flight.place = Place::Returning;
        let at = self.now + after + self.network.delay(from, to);
        self.queue.push(at, Event::Back { flight: key });
    }

    /// An attempt's end has come back.
    pub fn back(&mut self, key: FlightKey) {
        let Some(flight) = self.flights.get(key) else { return };
        if flight.over || self.balancers[flight.balancer as usize].life != flight.balancer_life {
            return self.remove(key);
        }
        let (ticket, attempt, cause) = (flight.of.data().as_ffi(), flight.attempt, flight.cause);
        let (number, server, serial) = (flight.balancer, flight.server, flight.serial);
        let (probe, report) = (flight.probe, flight.report);
        let extent = self.extent(key);
        let keeps = matches!(cause, Cause::Served | Cause::Failed | Cause::Unprocessed);
        if keeps && self.servers[server as usize].life == flight.server_life {
            self.servers[server as usize].park(number as usize, self.now);
            self.flights[key].connected = false;
        }
        self.judge.note(serial, self.now, || format!("b{number} hears from s{server}: {cause:?}"));
        self.remove(key);
        if probe {
            let server = self.servers[server as usize].id.clone();
            return self.tell(number, Input::ProbeEnded { server, cause, report });
        }
        let reply = (cause == Cause::Served).then_some(());
        self.tell(number, Input::AttemptEnded { ticket, attempt, extent, cause, reply, report });
    }

    /// An attempt's time is up.
    pub fn expire(&mut self, key: FlightKey) {
        let Some(flight) = self.flights.get(key).filter(|flight| !flight.over) else { return };
        let (ticket, attempt, number) = (flight.of.data().as_ffi(), flight.attempt, flight.balancer);
        let (serial, probe, server) = (flight.serial, flight.probe, flight.server);
        if probe {
            self.give_over(key);
            let (server, cause) = (self.servers[server as usize].id.clone(), Cause::OutOfTime);
            return self.tell(number, Input::ProbeEnded { server, cause, report: None });
        }
        let extent = self.extent(key);
        self.judge
            .note(serial, self.now, || format!("b{number} gives attempt {attempt} up, written: {extent:?}"));
        self.give_over(key);
        let (cause, reply) = (Cause::OutOfTime, None);
        self.tell(number, Input::AttemptEnded { ticket, attempt, extent, cause, reply, report: None });
    }

    /// Its balancer has no more use for an attempt. Its connection closes; the app server may work on.
    fn give_over(&mut self, key: FlightKey) {
        let Some(flight) = self.flights.get_mut(key) else { return };
        flight.over = true;
        // One that was not written yet never is.
        let unwritten = flight.written_at > self.now;
        if flight.place == Place::Lost || (unwritten && flight.place == Place::Going) {
            self.remove(key);
        }
    }

    /// Nothing more comes of an attempt.
    pub fn remove(&mut self, key: FlightKey) {
        let Some(flight) = self.flights.remove(key) else { return };
        if flight.connected {
            let server = &mut self.servers[flight.server as usize];
            if server.life == flight.server_life {
                server.disconnect();
            }
        }
        self.settle(flight.of, Some(key));
    }
}

/// The group of an app server: those that know of each other's keys.
fn group(within: Within, server: &Server) -> u32 {
    match within {
        Within::All => 0,
        Within::Zone => server.zone,
        Within::Cell => server.cell,
    }
}
