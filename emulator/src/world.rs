//! The world: who is in it, and what each event does. Clients stand in `clients.rs`, balancers and their
//! attempts in `balancer.rs`; here are app servers, discovery, troubles and the course of time.

use std::rc::Rc;

use gradepaddle::{Id, ListKind, LoadReport, Micros, ServerState as Listed, Settings, SettingsError};
use gradepaddle_dispatch::{Cause, Chooser};
use slotmap::SlotMap;

use crate::balancer::{Balancer, Flight, Inputs, Outputs, Place};
use crate::clients::{Habits, Quest, Source, Try};
use crate::discovery::{Call, Discovery, Entry};
use crate::gauge::Gauge;
use crate::judge::{Account, Judge, Rule};
use crate::network::Network;
use crate::policy::{Board, Glance, Policy};
use crate::queue::{Change, Event, FlightKey, News, QuestKey, Queue, TryKey};
use crate::random::{Party, Stream};
use crate::result::{Outcome, Samples};
use crate::scenario::{MachineKind, Reporting, Scenario, TroubleKind, seconds};
use crate::server::{Fall, Memory, Server, Start, State};

/// Makes the chooser of a balancer from its settings and seed; the board shows the truth to one that may
/// see it.
pub type Make = dyn Fn(&Settings, u64, &Rc<Board>) -> Result<Box<dyn Chooser>, SettingsError>;

/// Who chooses in a run.
#[derive(Clone)]
pub struct Player {
    /// Its name in results.
    pub name: String,
    /// Makes one for each life of a balancer.
    pub make: Rc<Make>,
    /// It sees the truth: the board is kept up to date.
    pub sees: bool,
    /// The guard of dispatch lets everything through, so that the monitors can be seen to fire.
    pub unguarded: bool,
}

impl From<Policy> for Player {
    fn from(policy: Policy) -> Self {
        Player {
            name: policy.name().to_owned(),
            make: Rc::new(move |settings, seed, board| policy.start(settings, seed, board)),
            sees: policy == Policy::Seer,
            unguarded: false,
        }
    }
}

/// A run.
#[derive(Clone, Debug)]
pub struct Run {
    /// What came out.
    pub outcome: Outcome,
    /// First tries and retries, for speed.
    pub tries: u64,
    /// Events that happened, for speed.
    pub events: u64,
    /// The most that ever stood in the queue.
    pub queue: usize,
}

/// Everything.
pub(crate) struct World {
    pub scenario: Scenario,
    pub seed: u64,
    pub player: Player,
    pub now: Micros,
    /// No first tries come from then on.
    pub ends: Micros,
    pub queue: Queue,
    pub source: Source,
    pub habits: Habits,
    pub quests: SlotMap<QuestKey, Quest>,
    pub tries: SlotMap<TryKey, Try>,
    pub flights: SlotMap<FlightKey, Flight>,
    pub serial: u64,
    pub balancers: Vec<Balancer>,
    pub servers: Vec<Server>,
    pub board: Rc<Board>,
    pub network: Network,
    pub front: Stream,
    pub attempts: Stream,
    discovery: Discovery,
    noticed: Vec<Entry>,
    troubles: Stream,
    /// Whom each trouble hit, to undo it.
    hit: Vec<Vec<u32>>,
    /// Share of attempts that are reset on their way.
    pub resets: f64,
    pub account: Account,
    pub judge: Judge,
    samples: Samples,
    pub inputs: Inputs,
    pub outputs: Outputs,
}

/// Runs a scenario. Where a rule is broken, it is run once more to write down the history of the request
/// that broke it first: a run with the same seed is the same.
///
/// # Errors
///
/// The scenario makes no sense ([`Scenario::check`]).
pub fn run(scenario: &Scenario, player: impl Into<Player>, seed: u64) -> Result<Run, String> {
    scenario.check().map_err(|fault| fault.to_string())?;
    let player = player.into();
    let mut first = World::new(scenario, player.clone(), seed, None).play();
    if let Some(followed) = first.outcome.breaches.first().map(|breach| breach.request)
        && followed > 0
    {
        let again = World::new(scenario, player, seed, Some(followed)).play();
        if let (Some(breach), Some(told)) =
            (first.outcome.breaches.first_mut(), again.outcome.breaches.first())
        {
            breach.history.clone_from(&told.history);
        }
    }
    Ok(first)
}

impl World {
    fn new(scenario: &Scenario, player: Player, seed: u64, followed: Option<u64>) -> World {
        let stream = |party| Stream::of(seed, party, 0);
        let ends = seconds(scenario.day.length_s);
        let mut world = World {
            now: 0,
            ends,
            queue: Queue::default(),
            source: Source::new(scenario, stream(Party::Arrivals)),
            habits: Habits::new(scenario, stream(Party::Habits)),
            quests: SlotMap::with_key(),
            tries: SlotMap::with_key(),
            flights: SlotMap::with_key(),
            serial: 0,
            balancers: Vec::new(),
            servers: Vec::new(),
            board: Rc::default(),
            network: Network::new(scenario.network, stream(Party::Network), scenario.fleet.zones as usize),
            front: stream(Party::Front),
            attempts: stream(Party::Attempts),
            discovery: Discovery::new(scenario.discovery.clone(), stream(Party::Discovery)),
            noticed: Vec::new(),
            troubles: stream(Party::Troubles),
            hit: vec![Vec::new(); scenario.troubles.len()],
            resets: 0.0,
            account: Account::new(scenario),
            judge: Judge { followed, ..Judge::default() },
            samples: Samples::default(),
            inputs: Vec::new(),
            outputs: Vec::new(),
            scenario: scenario.clone(),
            seed,
            player,
        };
        for server in 0..scenario.fleet.servers {
            world.add_server(server % scenario.fleet.zones, 0);
            world.discovery.enter(Entry { server, state: Listed::Ready, started: None });
        }
        for balancer in 0..scenario.balancers.count {
            let one = world.new_balancer(balancer);
            world.balancers.push(one);
        }
        for (at, trouble) in (0u32..).zip(&scenario.troubles) {
            world.queue.push(seconds(trouble.at_s), Event::Trouble { at, begins: true });
            world.queue.push(seconds(trouble.at_s + trouble.for_s), Event::Trouble { at, begins: false });
        }
        for balancer in 0..scenario.balancers.count {
            world.start_balancer(balancer);
        }
        world.queue.push(0, Event::Arrive);
        world.queue.push(0, Event::Sample);
        world
    }

    fn play(mut self) -> Run {
        // What is asked at the very end is answered long before this.
        let longest = self.scenario.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        let last = self.ends + seconds(longest / 1000.0) + 2_000_000;
        let (mut events, mut most) = (0, 0);
        while let Some((at, event)) = self.queue.pop() {
            if at > last {
                break;
            }
            debug_assert!(at >= self.now, "time goes back at {event:?}");
            self.now = at;
            events += 1;
            most = most.max(self.queue.len());
            self.happen(event);
        }
        let tries = self.serial;
        let defects = self.balancers.iter().map(Balancer::defects).sum();
        let outcome = Outcome::new(
            &self.scenario,
            &self.player.name,
            self.seed,
            self.account,
            self.judge,
            self.samples,
            defects,
        );
        Run { outcome, tries, events, queue: most }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Reach { key } => self.reach(key),
            Event::Land { flight } => self.land(flight),
            Event::Done { server, life, job } => self.done(server, life, job),
            Event::Back { flight } => self.back(flight),
            Event::Hear { key } => self.hear(key),
            Event::Timer { balancer, life } => self.timer(balancer, life),
            Event::Expire { flight } => self.expire(flight),
            Event::GiveUp { key } => self.give_up(key),
            Event::Overdue { key } => self.overdue(key),
            Event::Leave { key } => self.leave(key),
            Event::Left { key } => self.left(key),
            Event::Again { quest } => self.again(quest),
            Event::Pause { server, life } => self.pause(server, life),
            Event::Sample => self.sample(),
            Event::Truth { server, life, change } => self.truth(server, life, change),
            Event::Noticed { entry } => self.notice(entry),
            Event::Heard { balancer, life, news } => self.heard(balancer, life, news),
            Event::Up { balancer } => self.up(balancer),
            Event::Gone { balancer, life } => self.gone(balancer, life),
            Event::Trouble { at, begins: true } => self.begin(at),
            Event::Trouble { at, begins: false } => self.end(at),
            Event::Step { at, step } => self.step(at, step),
        }
    }

    // App servers.

    /// A new app server, which runs from now on.
    fn add_server(&mut self, zone: u32, started: Micros) -> u32 {
        let number = self.servers.len() as u32;
        let fleet = &self.scenario.fleet;
        let mut stream = Stream::of(self.seed, Party::Server, u64::from(number));
        let (kind, machine) = kind_of(&fleet.kinds, number);
        let cores = machine.map_or(fleet.cores, |machine| machine.cores);
        let speed = match fleet.speeds.len() {
            0 => fleet.speed * stream.factor(fleet.speed_cv),
            count => fleet.speeds[number as usize % count],
        };
        let speed = speed * machine.map_or(1.0, |machine| machine.speed);
        let id: Id = format!("s{number}").into();
        let (cell, balancers) = (number / fleet.cell_size.max(1), self.scenario.balancers.count as usize);
        let memory = Memory::new((fleet.keys_per_core * cores) as usize, seconds(fleet.key_s));
        let every = fleet.pause_every_s;
        let first = (every > 0.0).then(|| (stream.interval(every) * 1e6) as Micros);
        let report = &self.scenario.report;
        let gauge = (report.how != Reporting::Never)
            .then(|| Gauge::new(report, Stream::of(self.seed, Party::Reports, u64::from(number))));
        let start = Start { id, zone, kind, cell, cores, speed, started, balancers, gauge, stream };
        self.servers.push(Server::new(start));
        self.board.memories.borrow_mut().push(memory);
        if let Some(first) = first {
            self.queue.push(self.now + first, Event::Pause { server: number, life: 0 });
        }
        for balancer in &mut self.balancers {
            balancer.learn_of(number);
        }
        self.show(number);
        number
    }

    /// Keeps the board up to date.
    pub fn show(&mut self, server: u32) {
        if !self.player.sees {
            return;
        }
        let (fleet, rules) = (&self.scenario.fleet, &self.scenario.rules);
        let of = &self.servers[server as usize];
        let rule = (rules.fall_multiple, seconds(rules.fall_s));
        let glance = Glance {
            open: of.state == State::Up && of.has_room(fleet) && of.errors < 0.5,
            free_at: of.free_at(self.now, fleet).max(of.paused_until),
            pace: of.pace(self.now, fleet),
            room: of.room(self.now, fleet, rule),
        };
        let mut glances = self.board.glances.borrow_mut();
        if glances.len() <= server as usize {
            glances.resize(server as usize + 1, Glance::default());
        }
        glances[server as usize] = glance;
    }

    fn land(&mut self, key: FlightKey) {
        let now = self.now;
        let Some(flight) = self.flights.get(key) else { return };
        let (number, life, from) = (flight.server, flight.server_life, flight.balancer as usize);
        let (work, request) = (flight.work, flight.serial);
        let server = &mut self.servers[number as usize];
        if server.life != life {
            // The process that the connection was with is gone.
            return self.turn_back(key, Cause::Broke, 0);
        }
        if flight.probe {
            return self.land_probe(key, number);
        }
        let rules = &self.scenario.rules;
        let rule = (rules.fall_multiple, seconds(rules.fall_s));
        let told = self.balancers[from].knows_start(number, server.started);
        let fall = server.bears(now, work, told, &self.scenario.fleet, rule);
        if fall != Fall::Bears {
            if fall == Fall::Blame {
                let id = server.id.clone();
                self.judge.breach(Rule::ColdBorne, now, request, || {
                    format!("{id} fell over under what it was sent")
                });
            }
            self.turn_back(key, Cause::Broke, 0);
            return self.stop_server(number, true);
        }
        let errors = server.errors.max(self.scenario.fleet.error_rate);
        if server.state != State::Up || !server.has_room(&self.scenario.fleet) {
            return self.turn_back(key, Cause::Unprocessed, 0);
        }
        if server.stream.chance(errors) {
            self.ran(key);
            return self.turn_back(key, Cause::Failed, 1000);
        }
        if self.resets > 0.0 && self.attempts.chance(self.resets) {
            // Half of them before it was begun: nobody can tell which.
            if self.attempts.chance(0.5) {
                return self.turn_back(key, Cause::Broke, 0);
            }
            self.flights[key].doomed = true;
        }
        self.servers[number as usize].enter(now, key, work);
        self.flights[key].place = Place::Waiting;
        self.pump(number);
    }

    /// A probe is answered by whoever runs: a deep one after it has waited its turn, another at once, while its
    /// work holds up what is being worked on.
    fn land_probe(&mut self, key: FlightKey, number: u32) {
        let (now, work) = (self.now, self.flights[key].work);
        let fleet = &self.scenario.fleet;
        let server = &mut self.servers[number as usize];
        let deep = self.scenario.probe.deep;
        if server.state != State::Up || (deep && !server.has_room(fleet)) {
            return self.turn_back(key, Cause::Unprocessed, 0);
        }
        if deep {
            server.enter(now, key, work);
            self.flights[key].place = Place::Waiting;
            return self.pump(number);
        }
        let pace = server.pace(now, fleet);
        let pause = server.paused_until.saturating_sub(now);
        let held_up = (work / (pace * f64::from(server.cores))) as Micros;
        self.turn_back(key, Cause::Served, pause + (work / pace) as Micros);
        self.freeze(number, held_up);
    }

    /// What an app server tells of its load with this answer.
    pub fn report(&mut self, server: u32, probe: bool) -> Option<LoadReport> {
        let told = match self.scenario.report.how {
            Reporting::Never => false,
            Reporting::Probes => probe,
            Reporting::Answers => true,
        };
        let queue = self.servers[server as usize].report(self.now).filter(|_| told)?;
        Some(LoadReport { queue: Some(queue), ..LoadReport::default() })
    }

    /// Takes attempts that wait into work, as far as there are slots.
    fn pump(&mut self, number: u32) {
        let (now, fleet) = (self.now, &self.scenario.fleet);
        loop {
            let server = &mut self.servers[number as usize];
            if !server.has_slot(fleet) {
                break;
            }
            let Some(key) = server.next(now) else { break };
            let Some(flight) = self.flights.get_mut(key) else { continue };
            server.waiting_work = (server.waiting_work - flight.work).max(0.0);
            if flight.over && fleet.cancel_stops_work {
                self.remove(key);
                return self.pump(number);
            }
            let warm = self.board.memories.borrow()[number as usize].knows(now, flight.key);
            let work = flight.work * if warm { 1.0 - fleet.key_gain } else { 1.0 } + flight.extra;
            flight.met = work;
            flight.place = Place::Working;
            let ends = server.begin(now, key, (work, flight.io), fleet);
            let life = server.life;
            self.queue.push(ends, Event::Done { server: number, life, job: key });
            self.ran(key);
            return self.pump(number);
        }
        self.show(number);
    }

    fn done(&mut self, number: u32, life: u32, key: FlightKey) {
        let server = &mut self.servers[number as usize];
        if server.life != life {
            return;
        }
        let Some(at) = server.working.iter().position(|job| job.key == key) else { return };
        if server.working[at].ends > self.now {
            // It was paused meanwhile.
            let ends = server.working[at].ends;
            self.queue.push(ends, Event::Done { server: number, life, job: key });
            return;
        }
        server.working.swap_remove(at);
        let flight = &self.flights[key];
        if flight.probe {
            self.turn_back(key, Cause::Served, 0);
            return self.pump(number);
        }
        self.board.memories.borrow_mut()[number as usize].meet(self.now, flight.key);
        if flight.over || flight.doomed || self.tries.get(flight.of).is_none_or(|one| one.answered) {
            self.account.wasted += flight.met;
        }
        let cause = if flight.doomed { Cause::Broke } else { Cause::Served };
        self.turn_back(key, cause, 0);
        self.pump(number);
    }

    fn pause(&mut self, number: u32, life: u32) {
        let fleet = &self.scenario.fleet;
        let server = &mut self.servers[number as usize];
        if server.life == life {
            let length = (server.stream.interval(fleet.pause_ms) * 1000.0) as Micros;
            let next = (server.stream.interval(fleet.pause_every_s) * 1e6) as Micros;
            self.queue.push(self.now + length + next, Event::Pause { server: number, life });
            self.freeze(number, length);
        }
    }

    /// An app server works on nothing for so long.
    fn freeze(&mut self, number: u32, length: Micros) {
        let server = &mut self.servers[number as usize];
        let from = server.paused_until.max(self.now);
        let until = (self.now + length).max(server.paused_until);
        server.paused_until = until;
        for job in &mut server.working {
            job.ends += until - from;
        }
        self.show(number);
    }

    /// A process ends. `silent`: nobody tells discovery.
    fn stop_server(&mut self, number: u32, silent: bool) {
        let held = self.servers[number as usize].stop();
        for key in held {
            self.turn_back(key, Cause::Broke, 0);
        }
        let entry = Entry { server: number, state: Listed::Gone, started: None };
        self.tell_discovery(entry, silent);
        self.show(number);
    }

    /// A process starts again at the same place.
    fn start_server(&mut self, number: u32) {
        let now = self.now;
        let fleet = &self.scenario.fleet;
        let server = &mut self.servers[number as usize];
        server.start(now);
        let (life, cores) = (server.life, server.cores);
        let memory = Memory::new((fleet.keys_per_core * cores) as usize, seconds(fleet.key_s));
        self.board.memories.borrow_mut()[number as usize] = memory;
        if fleet.pause_every_s > 0.0 {
            let first = (server.stream.interval(fleet.pause_every_s) * 1e6) as Micros;
            self.queue.push(now + first, Event::Pause { server: number, life });
        }
        self.tell_discovery(Entry { server: number, state: Listed::Ready, started: Some(now.max(1)) }, false);
        self.show(number);
    }

    /// A new app server starts cold.
    fn start_new(&mut self, zone: u32) -> u32 {
        let started = self.now.max(1);
        let number = self.add_server(zone, started);
        self.tell_discovery(Entry { server: number, state: Listed::Ready, started: Some(started) }, false);
        number
    }

    fn truth(&mut self, number: u32, life: u32, change: Change) {
        let server = &mut self.servers[number as usize];
        if server.life != life {
            return;
        }
        match change {
            Change::Drains => {
                server.state = State::Draining;
                let started = (server.started > 0).then_some(server.started);
                self.tell_discovery(Entry { server: number, state: Listed::Draining, started }, false);
                self.show(number);
            }
            Change::Goes => self.stop_server(number, false),
        }
    }

    /// An app server drains from now on, and goes after a while.
    fn retire(&mut self, number: u32, drain_s: f64) {
        let life = self.servers[number as usize].life;
        self.truth(number, life, Change::Drains);
        let goes = Event::Truth { server: number, life, change: Change::Goes };
        self.queue.push(self.now + seconds(drain_s), goes);
    }

    fn up_servers(&self) -> Vec<u32> {
        let up = self.servers.iter().enumerate().filter(|(_, server)| server.state == State::Up);
        up.map(|(at, _)| at as u32).collect()
    }

    // Discovery.

    fn tell_discovery(&mut self, entry: Entry, silent: bool) {
        let at = self.discovery.noticed_at(self.now, entry.server, silent);
        self.noticed.push(entry);
        self.queue.push(at, Event::Noticed { entry: self.noticed.len() as u32 - 1 });
    }

    fn notice(&mut self, entry: u32) {
        let entry = self.noticed[entry as usize].clone();
        let version = self.discovery.enter(entry);
        for at in 0..self.balancers.len() {
            if self.balancers[at].watching {
                self.inform(at as u32, self.now, News::Upto(version));
            }
        }
    }

    /// Discovery's words go out to a balancer at this time.
    fn inform(&mut self, balancer: u32, from: Micros, news: News) {
        let of = &self.balancers[balancer as usize];
        let (zone, life) = (of.zone, of.life);
        // It stands in the first zone.
        if !self.network.joins(0, zone) {
            return;
        }
        let at = from + self.network.delay(0, zone) + self.discovery.spread();
        // Words of one watch keep their order.
        let at = at.max(self.balancers[balancer as usize].heard_at + 1);
        self.balancers[balancer as usize].heard_at = at;
        self.queue.push(at, Event::Heard { balancer, life, news });
    }

    /// A balancer calls for the list.
    pub fn call(&mut self, balancer: u32) {
        let zone = self.balancers[balancer as usize].zone;
        if !self.network.joins(0, zone) {
            let life = self.balancers[balancer as usize].life;
            self.queue.push(self.now + 1_000_000, Event::Heard { balancer, life, news: News::Failed });
            return;
        }
        match self.discovery.call(self.now) {
            Call::Answered(at) => {
                self.balancers[balancer as usize].calls = true;
                self.inform(balancer, at, News::Upto(self.discovery.entries.len() as u32));
            }
            Call::Failed(at) => self.inform(balancer, at, News::Failed),
        }
    }

    fn heard(&mut self, balancer: u32, life: u32, news: News) {
        let of = &mut self.balancers[balancer as usize];
        if of.life != life || !of.alive {
            return;
        }
        let News::Upto(version) = news else {
            (of.watching, of.calls) = (false, false);
            return self.tell_list(balancer, ListKind::Failed, &[]);
        };
        let answered = std::mem::take(&mut of.calls);
        let asked = self.scenario.discovery.mode == crate::scenario::Listing::Asked;
        if answered && asked {
            let again = seconds(self.scenario.discovery.ask_every_s);
            of.ask_at = self.now + again;
            self.arm(balancer);
        } else if answered {
            of.watching = true;
        }
        let of = &mut self.balancers[balancer as usize];
        if answered && (asked || !of.listed) {
            of.listed = true;
            of.heard = self.discovery.entries.len() as u32;
            let whole: Vec<Entry> = self.discovery.whole().collect();
            return self.tell_list(balancer, ListKind::Full, &whole);
        }
        let from = of.heard;
        if version > from {
            of.heard = version;
            let entries = self.discovery.entries[from as usize..version as usize].to_vec();
            self.tell_list(balancer, ListKind::Delta, &entries);
        }
    }

    /// The list as it was when all began, or as a balancer last had it.
    pub fn last_list(&self, upto: u32) -> Vec<Entry> {
        let mut last: Vec<Option<Entry>> = vec![None; self.servers.len()];
        for entry in &self.discovery.entries[..upto as usize] {
            let gone = entry.state == Listed::Gone;
            last[entry.server as usize] = (!gone).then(|| entry.clone());
        }
        last.into_iter().flatten().collect()
    }

    /// How many changes discovery has noticed.
    pub fn version(&self) -> u32 {
        self.discovery.entries.len() as u32
    }

    // Troubles.

    fn pick(&mut self, among: Vec<u32>, count: usize) -> Vec<u32> {
        let mut rest = among;
        let mut picked = Vec::new();
        while picked.len() < count && !rest.is_empty() {
            let at = self.troubles.below(rest.len());
            picked.push(rest.swap_remove(at));
        }
        picked
    }

    fn some_balancers(&mut self, share: f64) -> Vec<u32> {
        let alive =
            (0..self.balancers.len() as u32).filter(|at| self.balancers[*at as usize].alive).collect();
        let count = (share * self.balancers.len() as f64).round().max(1.0) as usize;
        self.pick(alive, count)
    }

    fn begin(&mut self, at: u32) {
        let trouble = self.scenario.troubles[at as usize].clone();
        let (now, length) = (self.now, seconds(trouble.for_s));
        let up = self.up_servers();
        let mut hit = Vec::new();
        // Steps of a trouble that goes on, spread over its time.
        let steps = |world: &mut World, count: u32| {
            for step in 0..count {
                let when = now + length * u64::from(step) / u64::from(count.max(1));
                world.queue.push(when, Event::Step { at, step });
            }
        };
        match trouble.kind {
            TroubleKind::HotKey { share, keys } => {
                let keys = (0..keys).map(|_| self.troubles.below(self.scenario.load.keys as usize) as u32);
                let keys = keys.collect();
                self.source.heat(at, share, keys);
            }
            TroubleKind::Shrink { to, .. } => {
                self.source.fade(now, length, to);
                let leave = up.len() - ((up.len() as f64 * to).round() as usize).clamp(1, up.len());
                hit = self.pick(up, leave);
                steps(self, leave as u32);
            }
            TroubleKind::Growth { servers } => {
                for n in 0..servers {
                    self.start_new(n % self.scenario.fleet.zones);
                }
            }
            TroubleKind::DiscoveryDown {} => {
                self.discovery.outages += 1;
                for balancer in 0..self.balancers.len() as u32 {
                    if std::mem::take(&mut self.balancers[balancer as usize].watching) {
                        self.inform(balancer, now, News::Failed);
                    }
                }
            }
            TroubleKind::DiscoveryStale { lag_s } => self.discovery.lag += seconds(lag_s),
            TroubleKind::DiscoveryWrong { share } => {
                let count = (share * up.len() as f64).round() as usize;
                hit = self.pick(up, count);
                for server in &hit {
                    let entry = Entry { server: *server, state: Listed::Gone, started: None };
                    self.tell_discovery(entry, false);
                }
            }
            TroubleKind::BalancerCrash { share } => {
                hit = self.some_balancers(share);
                hit.clone().into_iter().for_each(|balancer| self.crash(balancer));
            }
            TroubleKind::BalancerRestart { share } => {
                hit = self.some_balancers(share);
                steps(self, hit.len() as u32);
            }
            TroubleKind::ServerCrash { servers } => {
                hit = self.pick(up, servers as usize);
                hit.clone().into_iter().for_each(|server| self.stop_server(server, true));
            }
            TroubleKind::Hang { servers } => {
                hit = self.pick(up, servers as usize);
                hit.clone().into_iter().for_each(|server| self.freeze(server, length));
            }
            TroubleKind::Errors { servers, rate } => {
                hit = self.pick(up, servers as usize);
                hit.iter().for_each(|server| self.servers[*server as usize].errors = rate);
            }
            TroubleKind::Slow { servers, factor } => {
                hit = self.pick(up, servers as usize);
                hit.iter().for_each(|server| self.servers[*server as usize].slowness *= factor);
            }
            TroubleKind::Neighbour { servers, every_s, .. } => {
                hit = self.pick(up, servers as usize);
                steps(self, (trouble.for_s / every_s).ceil().clamp(1.0, 1e6) as u32);
            }
            TroubleKind::HeavyTail { class, share, factor } => {
                let class = self.scenario.classes.iter().position(|of| of.name == class);
                self.source.burden(at, class.unwrap_or(usize::MAX), share, factor);
            }
            TroubleKind::Resets { rate } => self.resets += rate,
            TroubleKind::ZoneCut { zone } => self.network.cut(zone, true),
            TroubleKind::LinkLost { from, to } => self.network.lose(from, to, true),
            TroubleKind::ZoneRestart { zone } => {
                hit = up.into_iter().filter(|server| self.servers[*server as usize].zone == zone).collect();
                hit.clone().into_iter().for_each(|server| self.stop_server(server, true));
            }
            TroubleKind::RetryStorm { retries } => self.habits.storm(Some(retries)),
            TroubleKind::Surge { factor } => self.source.surge(factor),
            TroubleKind::Rolling { batch, .. } => {
                let count = up.len().div_ceil(batch.max(1) as usize);
                hit = up;
                steps(self, count as u32);
            }
        }
        for server in hit.clone() {
            if (server as usize) < self.servers.len() {
                self.show(server);
            }
        }
        self.hit[at as usize] = hit;
    }

    fn end(&mut self, at: u32) {
        let trouble = self.scenario.troubles[at as usize].clone();
        let hit = self.hit[at as usize].clone();
        match trouble.kind {
            TroubleKind::HotKey { .. } => self.source.cool(at),
            TroubleKind::DiscoveryDown {} => self.discovery.outages -= 1,
            TroubleKind::DiscoveryStale { lag_s } => self.discovery.lag -= seconds(lag_s),
            TroubleKind::DiscoveryWrong { .. } => {
                for server in hit {
                    let of = &self.servers[server as usize];
                    if of.state == State::Up {
                        let started = (of.started > 0).then_some(of.started);
                        self.tell_discovery(Entry { server, state: Listed::Ready, started }, false);
                    }
                }
            }
            TroubleKind::BalancerCrash { .. } => {
                for balancer in hit {
                    self.queue.push(self.now, Event::Up { balancer });
                }
            }
            TroubleKind::ServerCrash { .. } => {
                for server in hit {
                    let zone = self.servers[server as usize].zone;
                    self.start_new(zone);
                }
            }
            TroubleKind::ZoneRestart { .. } => hit.into_iter().for_each(|server| self.start_server(server)),
            TroubleKind::Errors { .. } => {
                hit.iter().for_each(|server| self.servers[*server as usize].errors = 0.0);
            }
            TroubleKind::Slow { factor, .. } => {
                hit.iter().for_each(|server| self.servers[*server as usize].slowness /= factor);
            }
            TroubleKind::Neighbour { takes, .. } => self.crowd(hit, takes, false),
            TroubleKind::HeavyTail { .. } => self.source.relieve(at),
            TroubleKind::Resets { rate } => self.resets = (self.resets - rate).max(0.0),
            TroubleKind::ZoneCut { zone } => self.network.cut(zone, false),
            TroubleKind::LinkLost { from, to } => self.network.lose(from, to, false),
            TroubleKind::RetryStorm { .. } => self.habits.storm(None),
            TroubleKind::Surge { factor } => self.source.surge(1.0 / factor),
            TroubleKind::Shrink { .. }
            | TroubleKind::Growth { .. }
            | TroubleKind::BalancerRestart { .. }
            | TroubleKind::Hang { .. }
            | TroubleKind::Rolling { .. } => {}
        }
        for server in self.hit[at as usize].clone() {
            if (server as usize) < self.servers.len() {
                self.show(server);
            }
        }
    }

    /// Another program takes a part of these machines, or nothing any more.
    fn crowd(&mut self, hit: Vec<u32>, takes: f64, there: bool) {
        for server in hit {
            self.servers[server as usize].neighbour = if there { takes } else { 0.0 };
            self.show(server);
        }
    }

    fn step(&mut self, at: u32, step: u32) {
        let trouble = self.scenario.troubles[at as usize].clone();
        let hit = &self.hit[at as usize];
        match trouble.kind {
            TroubleKind::Shrink { drain_s, .. } => {
                let server = hit[step as usize];
                if self.servers[server as usize].state == State::Up {
                    self.retire(server, drain_s);
                }
            }
            TroubleKind::BalancerRestart { .. } => self.restart(hit[step as usize]),
            TroubleKind::Neighbour { takes, .. } => self.crowd(hit.clone(), takes, step.is_multiple_of(2)),
            TroubleKind::Rolling { batch, drain_s } => {
                let batch = batch.max(1) as usize;
                let some: Vec<u32> = hit.iter().copied().skip(step as usize * batch).take(batch).collect();
                for server in some {
                    let zone = self.servers[server as usize].zone;
                    if self.servers[server as usize].state == State::Up {
                        self.retire(server, drain_s);
                    }
                    // The new one is up by the time that the old one goes.
                    self.start_new(zone);
                }
            }
            _ => {}
        }
    }

    fn sample(&mut self) {
        let up = self.servers.iter().filter(|server| server.state == State::Up).count() as u32;
        self.account.second(self.now).up = up;
        let fleet = &self.scenario.fleet;
        let of = |server: &Server| match server.state {
            State::Down => None,
            _ => Some((server.held() as f64 / f64::from(server.cores), server.warmth(self.now, fleet))),
        };
        self.samples.add(self.servers.iter().map(of));
        if self.now + 1_000_000 < self.ends {
            self.queue.push(self.now + 1_000_000, Event::Sample);
        }
    }
}

/// The kind of the n-th app server: kinds are given out in turn by their shares.
fn kind_of(kinds: &[MachineKind], number: u32) -> (u32, Option<&MachineKind>) {
    let all: f64 = kinds.iter().map(|kind| kind.share).sum();
    if kinds.is_empty() || all <= 0.0 {
        return (0, None);
    }
    // The golden ratio spreads any prefix of the numbers evenly.
    let place = (f64::from(number) * 0.618_033_988_749_895).fract() * all;
    let mut sum = 0.0;
    for (at, kind) in (0u32..).zip(kinds) {
        sum += kind.share;
        if place < sum {
            return (at, Some(kind));
        }
    }
    (kinds.len() as u32 - 1, kinds.last())
}
