//! The state of a simulation and its event loop. Clients are in `clients.rs`, balancers and their attempts in
//! `balancer.rs`; this file has app servers, discovery, troubles and simulated time.

use std::rc::Rc;

use gradepaddle::{Id, ListKind, LoadReport, Micros, ServerState as Listed, Settings, SettingsError};
use gradepaddle_dispatch::{Cause, Chooser};
use slotmap::SlotMap;

use crate::balancer::{Balancer, Inputs, Outputs, Stage, UpstreamRequest};
use crate::clients::{ClientBehaviour, ClientRequest, LogicalRequest, TrafficSource};
use crate::discovery::{Discovery, Entry, ListCall};
use crate::evaluation::{Metrics, Rule, RuleMonitor};
use crate::network::Network;
use crate::policy::{GroundTruth, Policy, ServerSnapshot};
use crate::queue::{
    Change, ClientRequestKey, DiscoveryMessage, Event, LogicalRequestKey, Queue, UpstreamRequestKey,
};
use crate::queue_reporter::QueueReporter;
use crate::random::{Stream, StreamId};
use crate::result::{Outcome, Samples};
use crate::scenario::{MachineKind, Reporting, Scenario, TroubleKind, seconds};
use crate::server::{ColdLoad, KeyCache, Server, ServerStart, State};

/// Creates a balancer's chooser from its settings and seed. The ground truth is for policies that may read
/// the true state of the app servers.
pub type PolicyFactory = dyn Fn(&Settings, u64, &Rc<GroundTruth>) -> Result<Box<dyn Chooser>, SettingsError>;

/// The policy that the balancers of a run use.
#[derive(Clone)]
pub struct PolicyUnderTest {
    /// Its name in results.
    pub name: String,
    /// Called at each start of a balancer process.
    pub factory: Rc<PolicyFactory>,
    /// The policy reads the ground truth, which the simulator then keeps up to date.
    pub needs_ground_truth: bool,
    /// The guard of dispatch enforces nothing. Tests use this to show that the rule monitors detect
    /// violations.
    pub unguarded: bool,
}

impl From<Policy> for PolicyUnderTest {
    fn from(policy: Policy) -> Self {
        PolicyUnderTest {
            name: policy.name().to_owned(),
            factory: Rc::new(move |settings, seed, ground_truth| policy.start(settings, seed, ground_truth)),
            needs_ground_truth: policy == Policy::Oracle,
            unguarded: false,
        }
    }
}

/// A completed run.
#[derive(Clone, Debug)]
pub struct Run {
    /// The result.
    pub outcome: Outcome,
    /// First tries and retries sent, as a measure of simulation speed.
    pub tries: u64,
    /// Events handled, as a measure of simulation speed.
    pub events: u64,
    /// The largest number of pending events.
    pub queue: usize,
}

/// The complete state of a simulation.
pub(crate) struct World {
    pub scenario: Scenario,
    pub seed: u64,
    pub policy: PolicyUnderTest,
    pub now: Micros,
    /// No new logical requests arrive from this time on.
    pub ends: Micros,
    pub queue: Queue,
    pub source: TrafficSource,
    pub client_behaviour: ClientBehaviour,
    pub logical_requests: SlotMap<LogicalRequestKey, LogicalRequest>,
    pub client_requests: SlotMap<ClientRequestKey, ClientRequest>,
    /// Attempts and probes that have not ended.
    pub upstream_requests: SlotMap<UpstreamRequestKey, UpstreamRequest>,
    /// The id of the latest client request; counts first tries and retries.
    pub last_request_id: u64,
    pub balancers: Vec<Balancer>,
    pub servers: Vec<Server>,
    pub ground_truth: Rc<GroundTruth>,
    pub network: Network,
    /// Random numbers of the front.
    pub front_random: Stream,
    /// Random numbers of attempts.
    pub attempt_random: Stream,
    discovery: Discovery,
    /// Changes reported to discovery, which the events of their detection refer to by index.
    pending_updates: Vec<Entry>,
    /// Random numbers of troubles.
    trouble_random: Stream,
    /// The app servers or balancers that each trouble affects, by trouble, to end its effect on them.
    affected: Vec<Vec<u32>>,
    /// Share of attempts whose connection is reset.
    pub reset_rate: f64,
    /// What the score is computed from.
    pub metrics: Metrics,
    pub rule_monitor: RuleMonitor,
    samples: Samples,
    /// Reused buffer for inputs of dispatch.
    pub inputs: Inputs,
    /// Reused buffer for outputs of dispatch.
    pub outputs: Outputs,
}

/// Runs a scenario. If a rule is broken, the scenario is run a second time to record the history of the
/// request that broke it first: a run with the same seed repeats exactly.
///
/// # Errors
///
/// The scenario is invalid ([`Scenario::check`]).
pub fn run(scenario: &Scenario, policy: impl Into<PolicyUnderTest>, seed: u64) -> Result<Run, String> {
    scenario.check().map_err(|fault| fault.to_string())?;
    let policy = policy.into();
    let mut first = World::new(scenario, policy.clone(), seed, None).run_to_end();
    if let Some(followed_request) = first.outcome.breaches.first().map(|breach| breach.request)
        && followed_request > 0
    {
        let again = World::new(scenario, policy, seed, Some(followed_request)).run_to_end();
        if let (Some(breach), Some(replayed)) =
            (first.outcome.breaches.first_mut(), again.outcome.breaches.first())
        {
            breach.history.clone_from(&replayed.history);
        }
    }
    Ok(first)
}

impl World {
    fn new(scenario: &Scenario, policy: PolicyUnderTest, seed: u64, followed_request: Option<u64>) -> World {
        let stream = |stream_id| Stream::of(seed, stream_id, 0);
        let ends = seconds(scenario.day.length_s);
        let mut world = World {
            now: 0,
            ends,
            queue: Queue::default(),
            source: TrafficSource::new(scenario, stream(StreamId::Arrivals)),
            client_behaviour: ClientBehaviour::new(scenario, stream(StreamId::ClientBehaviour)),
            logical_requests: SlotMap::with_key(),
            client_requests: SlotMap::with_key(),
            upstream_requests: SlotMap::with_key(),
            last_request_id: 0,
            balancers: Vec::new(),
            servers: Vec::new(),
            ground_truth: Rc::default(),
            network: Network::new(scenario.network, stream(StreamId::Network), scenario.fleet.zones as usize),
            front_random: stream(StreamId::Front),
            attempt_random: stream(StreamId::Attempts),
            discovery: Discovery::new(scenario.discovery.clone(), stream(StreamId::Discovery)),
            pending_updates: Vec::new(),
            trouble_random: stream(StreamId::Troubles),
            affected: vec![Vec::new(); scenario.troubles.len()],
            reset_rate: 0.0,
            metrics: Metrics::new(scenario),
            rule_monitor: RuleMonitor { followed_request, ..RuleMonitor::default() },
            samples: Samples::default(),
            inputs: Vec::new(),
            outputs: Vec::new(),
            scenario: scenario.clone(),
            seed,
            policy,
        };
        for server in 0..scenario.fleet.servers {
            world.add_server(server % scenario.fleet.zones, 0);
            world.discovery.record(Entry { server, state: Listed::Ready, started: None });
        }
        for balancer in 0..scenario.balancers.count {
            let process = world.new_balancer(balancer);
            world.balancers.push(process);
        }
        for (at, trouble) in (0u32..).zip(&scenario.troubles) {
            world.queue.push(seconds(trouble.at_s), Event::Trouble { at, begins: true });
            world.queue.push(seconds(trouble.at_s + trouble.for_s), Event::Trouble { at, begins: false });
        }
        for balancer in 0..scenario.balancers.count {
            world.start_balancer(balancer);
        }
        world.queue.push(0, Event::NextArrival);
        world.queue.push(0, Event::Sample);
        world
    }

    fn run_to_end(mut self) -> Run {
        // Longest client deadline after the last arrival, plus 2 s: every request has its answer before this.
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
            self.handle_event(event);
        }
        let tries = self.last_request_id;
        let defects = self.balancers.iter().map(Balancer::defects).sum();
        let outcome = Outcome::new(
            &self.scenario,
            &self.policy.name,
            self.seed,
            self.metrics,
            self.rule_monitor,
            self.samples,
            defects,
        );
        Run { outcome, tries, events, queue: most }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::NextArrival => self.on_arrival(),
            Event::RequestAtBalancer { key } => self.on_request_at_balancer(key),
            Event::RequestAtServer { upstream_request } => self.on_request_at_server(upstream_request),
            Event::WorkDone { server, incarnation, job } => self.on_work_done(server, incarnation, job),
            Event::AttemptResult { upstream_request } => self.on_attempt_result(upstream_request),
            Event::ClientAnswer { key } => self.on_client_answer(key),
            Event::BalancerTimer { balancer, incarnation } => self.on_balancer_timer(balancer, incarnation),
            Event::AttemptTimeout { upstream_request } => self.on_attempt_timeout(upstream_request),
            Event::ClientTimeout { key } => self.on_client_timeout(key),
            Event::AnswerOverdue { key } => self.on_answer_overdue(key),
            Event::ClientDisconnect { key } => self.on_client_disconnect(key),
            Event::DisconnectAtBalancer { key } => self.on_disconnect_at_balancer(key),
            Event::ClientRetry { logical_request } => self.on_client_retry(logical_request),
            Event::ServerPause { server, incarnation } => self.on_server_pause(server, incarnation),
            Event::Sample => self.on_sample(),
            Event::StateChange { server, incarnation, change } => {
                self.on_state_change(server, incarnation, change);
            }
            Event::DiscoveryUpdate { entry } => self.on_discovery_update(entry),
            Event::ListUpdate { balancer, incarnation, news } => {
                self.on_list_update(balancer, incarnation, news);
            }
            Event::BalancerStart { balancer } => self.on_balancer_start(balancer),
            Event::BalancerStop { balancer, incarnation } => self.on_balancer_stop(balancer, incarnation),
            Event::Trouble { at, begins: true } => self.begin_trouble(at),
            Event::Trouble { at, begins: false } => self.end_trouble(at),
            Event::TroubleStep { at, step } => self.run_trouble_step(at, step),
        }
    }

    // App servers.

    /// Adds an app server that is up from now on.
    fn add_server(&mut self, zone: u32, started: Micros) -> u32 {
        let number = self.servers.len() as u32;
        let fleet = &self.scenario.fleet;
        let mut stream = Stream::of(self.seed, StreamId::Server, u64::from(number));
        let (kind, machine) = kind_of(&fleet.kinds, number);
        let cores = machine.map_or(fleet.cores, |machine| machine.cores);
        let speed = match fleet.speeds.len() {
            0 => fleet.speed * stream.factor(fleet.speed_cv),
            count => fleet.speeds[number as usize % count],
        };
        let speed = speed * machine.map_or(1.0, |machine| machine.speed);
        let id: Id = format!("s{number}").into();
        let (cell, balancers) = (number / fleet.cell_size.max(1), self.scenario.balancers.count as usize);
        let key_cache = KeyCache::new((fleet.keys_per_core * cores) as usize, seconds(fleet.key_s));
        let every = fleet.pause_every_s;
        let first = (every > 0.0).then(|| (stream.interval(every) * 1e6) as Micros);
        let report = &self.scenario.report;
        let queue_reporter = (report.how != Reporting::Never)
            .then(|| QueueReporter::new(report, Stream::of(self.seed, StreamId::Reports, u64::from(number))));
        let start =
            ServerStart { id, zone, kind, cell, cores, speed, started, balancers, queue_reporter, stream };
        self.servers.push(Server::new(start));
        self.ground_truth.key_caches.borrow_mut().push(key_cache);
        if let Some(first) = first {
            self.queue.push(self.now + first, Event::ServerPause { server: number, incarnation: 0 });
        }
        for balancer in &mut self.balancers {
            balancer.add_server(number);
        }
        self.update_ground_truth(number);
        number
    }

    /// Updates the ground truth for an app server, if the policy reads it.
    pub fn update_ground_truth(&mut self, server: u32) {
        if !self.policy.needs_ground_truth {
            return;
        }
        let (fleet, rules) = (&self.scenario.fleet, &self.scenario.rules);
        let record = &self.servers[server as usize];
        let rule = (rules.fall_multiple, seconds(rules.fall_s));
        let snapshot = ServerSnapshot {
            open: record.state == State::Up && record.has_room(fleet) && record.errors < 0.5,
            free_at: record.free_at(self.now, fleet).max(record.paused_until),
            core_throughput: record.core_throughput(self.now, fleet),
            cold_room: record.cold_room(self.now, fleet, rule),
        };
        let mut snapshots = self.ground_truth.snapshots.borrow_mut();
        if snapshots.len() <= server as usize {
            snapshots.resize(server as usize + 1, ServerSnapshot::default());
        }
        snapshots[server as usize] = snapshot;
    }

    fn on_request_at_server(&mut self, key: UpstreamRequestKey) {
        let now = self.now;
        let Some(upstream_request) = self.upstream_requests.get(key) else { return };
        let (number, incarnation, from) = (
            upstream_request.server,
            upstream_request.server_incarnation,
            upstream_request.balancer as usize,
        );
        let (work, request) = (upstream_request.work, upstream_request.request_id);
        let server = &mut self.servers[number as usize];
        if server.incarnation != incarnation {
            // The process at the other end of the connection has ended.
            return self.send_result_back(key, Cause::Broke, 0);
        }
        if upstream_request.probe {
            return self.on_probe_at_server(key, number);
        }
        let rules = &self.scenario.rules;
        let rule = (rules.fall_multiple, seconds(rules.fall_s));
        let knew_start = self.balancers[from].was_told_of_start(number, server.started);
        let cold_load = server.record_cold_load(now, work, knew_start, &self.scenario.fleet, rule);
        if cold_load != ColdLoad::WithinLimit {
            if cold_load == ColdLoad::OverloadedKnowingly {
                let id = server.id.clone();
                self.rule_monitor.breach(Rule::ColdBorne, now, request, || {
                    format!("{id} fell over under what it was sent")
                });
            }
            self.send_result_back(key, Cause::Broke, 0);
            return self.stop_server(number, true);
        }
        let errors = server.errors.max(self.scenario.fleet.error_rate);
        if server.state != State::Up || !server.has_room(&self.scenario.fleet) {
            return self.send_result_back(key, Cause::Unprocessed, 0);
        }
        if server.stream.chance(errors) {
            self.record_run(key);
            return self.send_result_back(key, Cause::Failed, 1000);
        }
        if self.reset_rate > 0.0 && self.attempt_random.chance(self.reset_rate) {
            // Half of the resets come before work begins; the balancer can't tell which.
            if self.attempt_random.chance(0.5) {
                return self.send_result_back(key, Cause::Broke, 0);
            }
            self.upstream_requests[key].reset_on_return = true;
        }
        self.servers[number as usize].enqueue(now, key, work);
        self.upstream_requests[key].stage = Stage::Queued;
        self.start_queued_work(number);
    }

    /// An app server answers probes in any state but down or draining. A deep probe waits in the queue like a
    /// request; a shallow probe is answered at once, and its work delays the jobs in progress.
    fn on_probe_at_server(&mut self, key: UpstreamRequestKey, number: u32) {
        let (now, work) = (self.now, self.upstream_requests[key].work);
        let fleet = &self.scenario.fleet;
        let server = &mut self.servers[number as usize];
        let deep = self.scenario.probe.deep;
        if server.state != State::Up || (deep && !server.has_room(fleet)) {
            return self.send_result_back(key, Cause::Unprocessed, 0);
        }
        if deep {
            server.enqueue(now, key, work);
            self.upstream_requests[key].stage = Stage::Queued;
            return self.start_queued_work(number);
        }
        let core_throughput = server.core_throughput(now, fleet);
        let pause = server.paused_until.saturating_sub(now);
        let held_up = (work / (core_throughput * f64::from(server.cores))) as Micros;
        self.send_result_back(key, Cause::Served, pause + (work / core_throughput) as Micros);
        self.pause_server(number, held_up);
    }

    /// The load report that an app server attaches to this answer, if it reports at all.
    pub fn load_report(&mut self, server: u32, probe: bool) -> Option<LoadReport> {
        let reports = match self.scenario.report.how {
            Reporting::Never => false,
            Reporting::Probes => probe,
            Reporting::Answers => true,
        };
        let queue = self.servers[server as usize].report(self.now).filter(|_| reports)?;
        Some(LoadReport { queue: Some(queue), ..LoadReport::default() })
    }

    /// Starts work on queued attempts while the app server has free slots.
    fn start_queued_work(&mut self, number: u32) {
        let (now, fleet) = (self.now, &self.scenario.fleet);
        loop {
            let server = &mut self.servers[number as usize];
            if !server.has_slot(fleet) {
                break;
            }
            let Some(key) = server.dequeue(now) else { break };
            let Some(upstream_request) = self.upstream_requests.get_mut(key) else { continue };
            server.waiting_work = (server.waiting_work - upstream_request.work).max(0.0);
            if upstream_request.abandoned && fleet.cancel_stops_work {
                self.remove(key);
                return self.start_queued_work(number);
            }
            let warm =
                self.ground_truth.key_caches.borrow()[number as usize].contains(now, upstream_request.key);
            let work = upstream_request.work * if warm { 1.0 - fleet.key_gain } else { 1.0 }
                + upstream_request.handshake_work;
            upstream_request.actual_work = work;
            upstream_request.stage = Stage::Running;
            let ends = server.start_job(now, key, (work, upstream_request.io), fleet);
            let incarnation = server.incarnation;
            self.queue.push(ends, Event::WorkDone { server: number, incarnation, job: key });
            self.record_run(key);
            return self.start_queued_work(number);
        }
        self.update_ground_truth(number);
    }

    fn on_work_done(&mut self, number: u32, incarnation: u32, key: UpstreamRequestKey) {
        let server = &mut self.servers[number as usize];
        if server.incarnation != incarnation {
            return;
        }
        let Some(at) = server.working.iter().position(|job| job.key == key) else { return };
        if server.working[at].ends > self.now {
            // A pause has postponed its end.
            let ends = server.working[at].ends;
            self.queue.push(ends, Event::WorkDone { server: number, incarnation, job: key });
            return;
        }
        server.working.swap_remove(at);
        let upstream_request = &self.upstream_requests[key];
        if upstream_request.probe {
            self.send_result_back(key, Cause::Served, 0);
            return self.start_queued_work(number);
        }
        self.ground_truth.key_caches.borrow_mut()[number as usize].insert(self.now, upstream_request.key);
        if upstream_request.abandoned
            || upstream_request.reset_on_return
            || self
                .client_requests
                .get(upstream_request.request_key)
                .is_none_or(|client_request| client_request.answered)
        {
            self.metrics.wasted += upstream_request.actual_work;
        }
        let cause = if upstream_request.reset_on_return { Cause::Broke } else { Cause::Served };
        self.send_result_back(key, cause, 0);
        self.start_queued_work(number);
    }

    fn on_server_pause(&mut self, number: u32, incarnation: u32) {
        let fleet = &self.scenario.fleet;
        let server = &mut self.servers[number as usize];
        if server.incarnation == incarnation {
            let length = (server.stream.interval(fleet.pause_ms) * 1000.0) as Micros;
            let next = (server.stream.interval(fleet.pause_every_s) * 1e6) as Micros;
            self.queue.push(self.now + length + next, Event::ServerPause { server: number, incarnation });
            self.pause_server(number, length);
        }
    }

    /// Pauses all work of an app server for this long.
    fn pause_server(&mut self, number: u32, length: Micros) {
        let server = &mut self.servers[number as usize];
        let from = server.paused_until.max(self.now);
        let until = (self.now + length).max(server.paused_until);
        server.paused_until = until;
        for job in &mut server.working {
            job.ends += until - from;
        }
        self.update_ground_truth(number);
    }

    /// An app server's process ends. `silent`: it does not deregister, so discovery has to detect its end.
    fn stop_server(&mut self, number: u32, silent: bool) {
        let held = self.servers[number as usize].stop();
        for key in held {
            self.send_result_back(key, Cause::Broke, 0);
        }
        let entry = Entry { server: number, state: Listed::Gone, started: None };
        self.report_to_discovery(entry, silent);
        self.update_ground_truth(number);
    }

    /// Restarts an app server's process under the same identity.
    fn start_server(&mut self, number: u32) {
        let now = self.now;
        let fleet = &self.scenario.fleet;
        let server = &mut self.servers[number as usize];
        server.start(now);
        let (incarnation, cores) = (server.incarnation, server.cores);
        let key_cache = KeyCache::new((fleet.keys_per_core * cores) as usize, seconds(fleet.key_s));
        self.ground_truth.key_caches.borrow_mut()[number as usize] = key_cache;
        if fleet.pause_every_s > 0.0 {
            let first = (server.stream.interval(fleet.pause_every_s) * 1e6) as Micros;
            self.queue.push(now + first, Event::ServerPause { server: number, incarnation });
        }
        self.report_to_discovery(
            Entry { server: number, state: Listed::Ready, started: Some(now.max(1)) },
            false,
        );
        self.update_ground_truth(number);
    }

    /// Starts a new app server, which is cold.
    fn start_new(&mut self, zone: u32) -> u32 {
        let started = self.now.max(1);
        let number = self.add_server(zone, started);
        self.report_to_discovery(
            Entry { server: number, state: Listed::Ready, started: Some(started) },
            false,
        );
        number
    }

    fn on_state_change(&mut self, number: u32, incarnation: u32, change: Change) {
        let server = &mut self.servers[number as usize];
        if server.incarnation != incarnation {
            return;
        }
        match change {
            Change::Drain => {
                server.state = State::Draining;
                let started = (server.started > 0).then_some(server.started);
                self.report_to_discovery(Entry { server: number, state: Listed::Draining, started }, false);
                self.update_ground_truth(number);
            }
            Change::Stop => self.stop_server(number, false),
        }
    }

    /// Drains an app server from now on and stops it after `drain_s` seconds.
    fn drain_server(&mut self, number: u32, drain_s: f64) {
        let incarnation = self.servers[number as usize].incarnation;
        self.on_state_change(number, incarnation, Change::Drain);
        let goes = Event::StateChange { server: number, incarnation, change: Change::Stop };
        self.queue.push(self.now + seconds(drain_s), goes);
    }

    fn running_servers(&self) -> Vec<u32> {
        let up = self.servers.iter().enumerate().filter(|(_, server)| server.state == State::Up);
        up.map(|(at, _)| at as u32).collect()
    }

    // Discovery.

    fn report_to_discovery(&mut self, entry: Entry, silent: bool) {
        let at = self.discovery.detection_time(self.now, entry.server, silent);
        self.pending_updates.push(entry);
        self.queue.push(at, Event::DiscoveryUpdate { entry: self.pending_updates.len() as u32 - 1 });
    }

    fn on_discovery_update(&mut self, entry: u32) {
        let entry = self.pending_updates[entry as usize].clone();
        let version = self.discovery.record(entry);
        for at in 0..self.balancers.len() {
            if self.balancers[at].watching {
                self.send_list_update(at as u32, self.now, DiscoveryMessage::UpToVersion(version));
            }
        }
    }

    /// Sends a message of discovery to a balancer at the given time.
    fn send_list_update(&mut self, balancer: u32, from: Micros, news: DiscoveryMessage) {
        let record = &self.balancers[balancer as usize];
        let (zone, incarnation) = (record.zone, record.incarnation);
        // Discovery runs in the first zone.
        if !self.network.is_connected(0, zone) {
            return;
        }
        let at = from + self.network.delay(0, zone) + self.discovery.propagation_delay();
        // Messages of one watch keep their order.
        let at = at.max(self.balancers[balancer as usize].last_delivery_at + 1);
        self.balancers[balancer as usize].last_delivery_at = at;
        self.queue.push(at, Event::ListUpdate { balancer, incarnation, news });
    }

    /// A balancer requests the server list.
    pub fn request_list(&mut self, balancer: u32) {
        let zone = self.balancers[balancer as usize].zone;
        if !self.network.is_connected(0, zone) {
            let incarnation = self.balancers[balancer as usize].incarnation;
            self.queue.push(
                self.now + 1_000_000,
                Event::ListUpdate { balancer, incarnation, news: DiscoveryMessage::Failed },
            );
            return;
        }
        match self.discovery.request_list(self.now) {
            ListCall::Answered(at) => {
                self.balancers[balancer as usize].list_requested = true;
                self.send_list_update(
                    balancer,
                    at,
                    DiscoveryMessage::UpToVersion(self.discovery.entries.len() as u32),
                );
            }
            ListCall::Failed(at) => self.send_list_update(balancer, at, DiscoveryMessage::Failed),
        }
    }

    fn on_list_update(&mut self, balancer: u32, incarnation: u32, news: DiscoveryMessage) {
        let record = &mut self.balancers[balancer as usize];
        if record.incarnation != incarnation || !record.alive {
            return;
        }
        let DiscoveryMessage::UpToVersion(version) = news else {
            (record.watching, record.list_requested) = (false, false);
            return self.deliver_list(balancer, ListKind::Failed, &[]);
        };
        let answered = std::mem::take(&mut record.list_requested);
        let asked = self.scenario.discovery.mode == crate::scenario::ListMode::Asked;
        if answered && asked {
            let again = seconds(self.scenario.discovery.ask_every_s);
            record.poll_at = self.now + again;
            self.arm_timer(balancer);
        } else if answered {
            record.watching = true;
        }
        let record = &mut self.balancers[balancer as usize];
        if answered && (asked || !record.list_received) {
            record.list_received = true;
            record.list_version = self.discovery.entries.len() as u32;
            let whole: Vec<Entry> = self.discovery.full_list().collect();
            return self.deliver_list(balancer, ListKind::Full, &whole);
        }
        let from = record.list_version;
        if version > from {
            record.list_version = version;
            let entries = self.discovery.entries[from as usize..version as usize].to_vec();
            self.deliver_list(balancer, ListKind::Delta, &entries);
        }
    }

    /// The server list as of a version: the initial list, or the last one that a balancer received.
    pub fn list_at_version(&self, upto: u32) -> Vec<Entry> {
        let mut last: Vec<Option<Entry>> = vec![None; self.servers.len()];
        for entry in &self.discovery.entries[..upto as usize] {
            let gone = entry.state == Listed::Gone;
            last[entry.server as usize] = (!gone).then(|| entry.clone());
        }
        last.into_iter().flatten().collect()
    }

    /// The number of changes that discovery has recorded.
    pub fn version(&self) -> u32 {
        self.discovery.entries.len() as u32
    }

    // Troubles.

    fn pick_random(&mut self, among: Vec<u32>, count: usize) -> Vec<u32> {
        let mut rest = among;
        let mut picked = Vec::new();
        while picked.len() < count && !rest.is_empty() {
            let at = self.trouble_random.below(rest.len());
            picked.push(rest.swap_remove(at));
        }
        picked
    }

    fn pick_balancers(&mut self, share: f64) -> Vec<u32> {
        let alive =
            (0..self.balancers.len() as u32).filter(|at| self.balancers[*at as usize].alive).collect();
        let count = (share * self.balancers.len() as f64).round().max(1.0) as usize;
        self.pick_random(alive, count)
    }

    fn begin_trouble(&mut self, at: u32) {
        let trouble = self.scenario.troubles[at as usize].clone();
        let (now, length) = (self.now, seconds(trouble.for_s));
        let up = self.running_servers();
        let mut affected = Vec::new();
        // Steps are spread evenly over the trouble's duration.
        let steps = |world: &mut World, count: u32| {
            for step in 0..count {
                let when = now + length * u64::from(step) / u64::from(count.max(1));
                world.queue.push(when, Event::TroubleStep { at, step });
            }
        };
        match trouble.kind {
            TroubleKind::HotKey { share, keys } => {
                let keys =
                    (0..keys).map(|_| self.trouble_random.below(self.scenario.load.keys as usize) as u32);
                let keys = keys.collect();
                self.source.add_hot_keys(at, share, keys);
            }
            TroubleKind::Shrink { to, .. } => {
                self.source.ramp_down(now, length, to);
                let leave = up.len() - ((up.len() as f64 * to).round() as usize).clamp(1, up.len());
                affected = self.pick_random(up, leave);
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
                        self.send_list_update(balancer, now, DiscoveryMessage::Failed);
                    }
                }
            }
            TroubleKind::DiscoveryStale { lag_s } => self.discovery.lag += seconds(lag_s),
            TroubleKind::DiscoveryWrong { share } => {
                let count = (share * up.len() as f64).round() as usize;
                affected = self.pick_random(up, count);
                for server in &affected {
                    let entry = Entry { server: *server, state: Listed::Gone, started: None };
                    self.report_to_discovery(entry, false);
                }
            }
            TroubleKind::BalancerCrash { share } => {
                affected = self.pick_balancers(share);
                affected.clone().into_iter().for_each(|balancer| self.crash(balancer));
            }
            TroubleKind::BalancerRestart { share } => {
                affected = self.pick_balancers(share);
                steps(self, affected.len() as u32);
            }
            TroubleKind::ServerCrash { servers } => {
                affected = self.pick_random(up, servers as usize);
                affected.clone().into_iter().for_each(|server| self.stop_server(server, true));
            }
            TroubleKind::Hang { servers } => {
                affected = self.pick_random(up, servers as usize);
                affected.clone().into_iter().for_each(|server| self.pause_server(server, length));
            }
            TroubleKind::Errors { servers, rate } => {
                affected = self.pick_random(up, servers as usize);
                affected.iter().for_each(|server| self.servers[*server as usize].errors = rate);
            }
            TroubleKind::Slow { servers, factor } => {
                affected = self.pick_random(up, servers as usize);
                affected.iter().for_each(|server| self.servers[*server as usize].slowness *= factor);
            }
            TroubleKind::Neighbour { servers, every_s, .. } => {
                affected = self.pick_random(up, servers as usize);
                steps(self, (trouble.for_s / every_s).ceil().clamp(1.0, 1e6) as u32);
            }
            TroubleKind::HeavyTail { class, share, factor } => {
                let class = self.scenario.classes.iter().position(|settings| settings.name == class);
                self.source.add_heavy_requests(at, class.unwrap_or(usize::MAX), share, factor);
            }
            TroubleKind::Resets { rate } => self.reset_rate += rate,
            TroubleKind::ZoneCut { zone } => self.network.set_zone_cut(zone, true),
            TroubleKind::LinkLost { from, to } => self.network.set_link_lost(from, to, true),
            TroubleKind::ZoneRestart { zone } => {
                affected =
                    up.into_iter().filter(|server| self.servers[*server as usize].zone == zone).collect();
                affected.clone().into_iter().for_each(|server| self.stop_server(server, true));
            }
            TroubleKind::RetryStorm { retries } => self.client_behaviour.set_retry_storm(Some(retries)),
            TroubleKind::Surge { factor } => self.source.scale_rate(factor),
            TroubleKind::Rolling { batch, .. } => {
                let count = up.len().div_ceil(batch.max(1) as usize);
                affected = up;
                steps(self, count as u32);
            }
        }
        for server in affected.clone() {
            if (server as usize) < self.servers.len() {
                self.update_ground_truth(server);
            }
        }
        self.affected[at as usize] = affected;
    }

    fn end_trouble(&mut self, at: u32) {
        let trouble = self.scenario.troubles[at as usize].clone();
        let affected = self.affected[at as usize].clone();
        match trouble.kind {
            TroubleKind::HotKey { .. } => self.source.remove_hot_keys(at),
            TroubleKind::DiscoveryDown {} => self.discovery.outages -= 1,
            TroubleKind::DiscoveryStale { lag_s } => self.discovery.lag -= seconds(lag_s),
            TroubleKind::DiscoveryWrong { .. } => {
                for server in affected {
                    let record = &self.servers[server as usize];
                    if record.state == State::Up {
                        let started = (record.started > 0).then_some(record.started);
                        self.report_to_discovery(Entry { server, state: Listed::Ready, started }, false);
                    }
                }
            }
            TroubleKind::BalancerCrash { .. } => {
                for balancer in affected {
                    self.queue.push(self.now, Event::BalancerStart { balancer });
                }
            }
            TroubleKind::ServerCrash { .. } => {
                for server in affected {
                    let zone = self.servers[server as usize].zone;
                    self.start_new(zone);
                }
            }
            TroubleKind::ZoneRestart { .. } => affected.into_iter().for_each(|at| self.start_server(at)),
            TroubleKind::Errors { .. } => {
                affected.iter().for_each(|server| self.servers[*server as usize].errors = 0.0);
            }
            TroubleKind::Slow { factor, .. } => {
                affected.iter().for_each(|server| self.servers[*server as usize].slowness /= factor);
            }
            TroubleKind::Neighbour { takes, .. } => self.set_neighbour_load(affected, takes, false),
            TroubleKind::HeavyTail { .. } => self.source.remove_heavy_requests(at),
            TroubleKind::Resets { rate } => self.reset_rate = (self.reset_rate - rate).max(0.0),
            TroubleKind::ZoneCut { zone } => self.network.set_zone_cut(zone, false),
            TroubleKind::LinkLost { from, to } => self.network.set_link_lost(from, to, false),
            TroubleKind::RetryStorm { .. } => self.client_behaviour.set_retry_storm(None),
            TroubleKind::Surge { factor } => self.source.scale_rate(1.0 / factor),
            TroubleKind::Shrink { .. }
            | TroubleKind::Growth { .. }
            | TroubleKind::BalancerRestart { .. }
            | TroubleKind::Hang { .. }
            | TroubleKind::Rolling { .. } => {}
        }
        for server in self.affected[at as usize].clone() {
            if (server as usize) < self.servers.len() {
                self.update_ground_truth(server);
            }
        }
    }

    /// Sets whether another program takes a part of the CPU of these app servers' machines.
    fn set_neighbour_load(&mut self, affected: Vec<u32>, takes: f64, there: bool) {
        for server in affected {
            self.servers[server as usize].neighbour = if there { takes } else { 0.0 };
            self.update_ground_truth(server);
        }
    }

    fn run_trouble_step(&mut self, at: u32, step: u32) {
        let trouble = self.scenario.troubles[at as usize].clone();
        let affected = &self.affected[at as usize];
        match trouble.kind {
            TroubleKind::Shrink { drain_s, .. } => {
                let server = affected[step as usize];
                if self.servers[server as usize].state == State::Up {
                    self.drain_server(server, drain_s);
                }
            }
            TroubleKind::BalancerRestart { .. } => self.drain_balancer(affected[step as usize]),
            TroubleKind::Neighbour { takes, .. } => {
                self.set_neighbour_load(affected.clone(), takes, step.is_multiple_of(2));
            }
            TroubleKind::Rolling { batch, drain_s } => {
                let batch = batch.max(1) as usize;
                let some: Vec<u32> =
                    affected.iter().copied().skip(step as usize * batch).take(batch).collect();
                for server in some {
                    let zone = self.servers[server as usize].zone;
                    if self.servers[server as usize].state == State::Up {
                        self.drain_server(server, drain_s);
                    }
                    // The replacement is up by the time that the old one stops.
                    self.start_new(zone);
                }
            }
            _ => {}
        }
    }

    fn on_sample(&mut self) {
        let up = self.servers.iter().filter(|server| server.state == State::Up).count() as u32;
        self.metrics.second(self.now).up = up;
        let fleet = &self.scenario.fleet;
        let sample_of = |server: &Server| match server.state {
            State::Down => None,
            _ => Some((server.held() as f64 / f64::from(server.cores), server.warmth(self.now, fleet))),
        };
        self.samples.add(self.servers.iter().map(sample_of));
        if self.now + 1_000_000 < self.ends {
            self.queue.push(self.now + 1_000_000, Event::Sample);
        }
    }
}

/// The machine kind of an app server: kinds are assigned in proportion to their shares.
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
