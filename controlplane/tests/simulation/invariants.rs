//! The invariants that can be checked from outside the nodes.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_controlplane::api::Call;
use gradepaddle_controlplane::node::{CallId, Input, Output};
use gradepaddle_placement::ServerState;
use gradepaddle_proto::ControlCall;

use super::callers::{Caller, Outcome};
use super::machine::Machine;
use super::operator::{Task, identity, version_of};
use super::server::{Server, Stage};
use super::world::{Event, World};
use super::{CONNECT_TIME, MS, Micros, SECOND};

/// All nodes know the state of a server after this time.
const KNOWN_AFTER: Micros = 9 * SECOND;

/// The id of status calls that the checks make; they have no caller.
const STATUS_CALL: CallId = CallId(u64::MAX);

/// An invariant that is checked at a scheduled time.
#[derive(Clone, Copy, Debug)]
pub enum Check {
    /// There is exactly one primary.
    Bootstrapped,
    /// Each node knows all nodes as members.
    Members,
    /// A configuration that was acknowledged at `at` is in force at all connected machines.
    Applied { version: u64, at: Micros },
    /// The task that an operator began at `begun` has a conclusive response.
    Answered { operator: usize, begun: Micros },
    /// All connected machines know that a server takes no new requests; `by` acknowledged this at `at`.
    Drained { server: usize, by: usize, at: Micros },
    /// No node considers a server ready if its draining or leaving was acknowledged before the whole core lost power.
    DrainKept { server: usize },
    /// A model version that was announced at `at` is loaded by all servers.
    Loaded { version: u64, at: Micros },
    /// No node accepts keys of an older configuration, whether it is connected or not.
    Revoked { version: u64 },
    /// After the final fault all nodes have converged.
    Settled,
}

/// The changes that operators sent, their outcomes, and the configurations that nodes applied.
#[derive(Debug, Default)]
pub struct Record {
    pub sent: HashSet<Arc<[u8]>>,
    pub refused: HashSet<Arc<[u8]>>,
    pub announced_versions: Vec<u64>,
    /// The final fault has begun: operators start no new tasks.
    pub final_fault: bool,
    /// The final fault begins after the next acknowledgment.
    pub awaits_final_fault: bool,
    /// The times during which there were network faults.
    pub links: Vec<(Micros, Micros)>,
    pub read: BTreeMap<usize, Arc<[u8]>>,
    acknowledged: BTreeMap<u64, (u64, Arc<[u8]>)>,
    applied_configurations: HashSet<Arc<[u8]>>,
}

impl Record {
    /// Records an acknowledged configuration. Returns the version of another one that was acknowledged on top of the
    /// same version, if any.
    pub fn acknowledge(&mut self, if_match: u64, version: u64, body: Arc<[u8]>) -> Option<u64> {
        self.acknowledged.insert(if_match, (version, body)).map(|(other, _)| other)
    }

    pub fn acknowledged_on(&self, if_match: u64) -> Option<u64> {
        self.acknowledged.get(&if_match).map(|(version, _)| *version)
    }

    /// The newest configuration that was acknowledged.
    pub fn newest(&self) -> Option<(u64, Arc<[u8]>)> {
        self.acknowledged.values().max_by_key(|(version, _)| *version).cloned()
    }

    pub fn newest_announced(&self) -> u64 {
        self.announced_versions.iter().copied().max().unwrap_or(0)
    }

    /// Records that a node has applied this configuration.
    pub fn record_applied_configuration(&mut self, body: &Arc<[u8]>) {
        self.applied_configurations.insert(identity(body));
    }

    pub fn network_without_faults(&self, from: Micros, until: Micros) -> bool {
        self.links.iter().all(|(begun, ended)| *ended < from || *begun > until)
    }
}

impl World {
    pub fn check(&mut self, check: Check) {
        let applies = match check {
            Check::Bootstrapped => self.check_bootstrapped(),
            Check::Members => self.check_members(),
            Check::Applied { version, at } => self.check_applied(version, at),
            Check::Answered { operator, begun } => self.check_answered(operator, begun),
            Check::Drained { server, by, at } => self.check_drained(server, by, at),
            Check::DrainKept { server } => self.check_drain_kept(server),
            Check::Loaded { version, at } => self.check_loaded(version, at),
            Check::Revoked { version } => self.check_revoked(version),
            Check::Settled => self.check_settled(),
        };
        if applies {
            self.report.checked += 1;
        } else {
            self.report.not_applicable += 1;
        }
    }

    /// True if the core and the network had no faults from [`CONNECT_TIME`] before `from` until `until`.
    fn core_without_faults(&self, from: Micros, until: Micros) -> bool {
        let from = from.saturating_sub(CONNECT_TIME);
        let cores = self.machines.iter().filter(|machine| machine.core);
        cores.into_iter().all(|machine| machine.without_faults(from, until))
            && self.record.network_without_faults(from, until)
    }

    /// The running machines that have been connected since `from`.
    fn connected(&self, from: Micros) -> Vec<usize> {
        let up = self.machines.iter().filter(|machine| machine.up());
        up.filter(|machine| machine.connected(from, self.now)).map(|machine| machine.number).collect()
    }

    fn check_bootstrapped(&mut self) -> bool {
        let leaders = self.machines.iter().filter_map(|one| one.process.as_ref()?.observed.leading);
        if leaders.count() != 1 {
            self.report_violation("there is not exactly one primary after the bootstrap".to_owned());
        }
        true
    }

    fn check_members(&mut self) -> bool {
        let up = self.up();
        let addresses: BTreeSet<SocketAddrV4> =
            up.iter().map(|number| self.machines[*number].address).collect();
        for number in &up {
            let Some(process) = &self.machines[*number].process else { continue };
            let mut known = process.observed.peers.clone();
            known.insert(self.machines[*number].address);
            known.retain(|address| addresses.contains(address) || !self.may_be_a_stale_member(*address));
            if known != addresses || !process.observed.connected {
                let (known, connected) = (known.len(), process.observed.connected);
                self.report_violation(format!(
                    "node {number} knows {known} of {} nodes, connected: {connected}",
                    up.len()
                ));
            }
        }
        true
    }

    /// Without `Plan::strict`, tolerates that a removed node stays a member after the control balancer of its session
    /// has restarted (`a_restarted_control_balancer_expires_sessions_of_its_earlier_process` in `regressions.rs`).
    fn may_be_a_stale_member(&self, address: SocketAddrV4) -> bool {
        !self.plan.strict && self.machines.iter().any(|one| one.address == address && one.removed)
    }

    pub fn configuration_of(&self, number: usize) -> u64 {
        let applied = self.machines[number]
            .process
            .as_ref()
            .and_then(|process| process.observed.configuration.as_ref());
        applied.map_or(0, |(version, _)| *version)
    }

    fn check_applied(&mut self, version: u64, at: Micros) -> bool {
        if !self.core_without_faults(at, self.now) {
            return false;
        }
        for number in self.connected(at) {
            let has = self.configuration_of(number);
            if has < version {
                self.report_violation(format!(
                    "node {number} has configuration {has}, not {version}, acknowledged at {} ms",
                    at / MS
                ));
            }
        }
        true
    }

    fn check_revoked(&mut self, version: u64) -> bool {
        for number in self.up() {
            let has = self.configuration_of(number);
            let Some(process) = &self.machines[number].process else { continue };
            let accepts_keys = process.observed.keys_until > process.clock(self.now);
            if accepts_keys && has < version {
                self.report_violation(format!(
                    "node {number} accepts keys of {has}, though {version} was acknowledged"
                ));
            }
        }
        true
    }

    fn check_answered(&mut self, index: usize, begun: Micros) -> bool {
        if !self.core_without_faults(begun, self.now) {
            return false;
        }
        let operator = &self.operators[index];
        if operator.task.is_some() && operator.begun == begun {
            let task = match &operator.task {
                Some(Task::Put { if_match, version, .. } | Task::Patch { if_match, version, .. }) => {
                    format!("configuration {version} on {if_match}")
                }
                other => format!("{other:?}"),
            };
            self.report_violation(format!("{task}, begun at {} ms, has no conclusive response", begun / MS));
        }
        true
    }

    fn check_drained(&mut self, server: usize, by: usize, at: Micros) -> bool {
        let from = at.saturating_sub(CONNECT_TIME);
        if !self.machines[by].without_faults(from, at.saturating_sub(1))
            || !self.record.network_without_faults(from, self.now)
        {
            return false;
        }
        let id = self.servers[server].id.clone();
        for number in self.connected(at) {
            let Some(process) = &self.machines[number].process else { continue };
            if process.observed.servers.get(&id) == Some(&ServerState::Ready) {
                self.report_violation(format!(
                    "node {number} considers {id} ready, though node {by} acknowledged its end at {} ms",
                    at / MS
                ));
            }
        }
        true
    }

    fn check_drain_kept(&mut self, server: usize) -> bool {
        let id = self.servers[server].id.clone();
        for number in self.up() {
            let Some(process) = &self.machines[number].process else { continue };
            if process.observed.servers.get(&id) == Some(&ServerState::Ready) {
                self.report_violation(format!(
                    "node {number} considers {id} ready, though its end was acknowledged"
                ));
            }
        }
        true
    }

    fn check_loaded(&mut self, version: u64, at: Micros) -> bool {
        if !self.core_without_faults(at, self.now) || self.loading_may_be_delayed(at) {
            return false;
        }
        let now = self.now;
        let mut behind = Vec::new();
        for server in &mut self.servers {
            let must_have_loaded = server.stage == Stage::Ready && server.since < at;
            if must_have_loaded && server.loaded_version(now) < version {
                behind.push(server.id.clone());
            }
        }
        if !behind.is_empty() {
            self.report_violation(format!(
                "{behind:?} have not loaded version {version}, announced at {} ms",
                at / MS
            ));
        }
        true
    }

    fn check_settled(&mut self) -> bool {
        self.check_members();
        self.check_one_leader();
        self.check_read_back();
        self.check_in_force();
        self.check_servers();
        self.check_outage_over();
        true
    }

    fn check_one_leader(&mut self) {
        let leaders: Vec<usize> = self
            .machines
            .iter()
            .filter(|one| one.process.as_ref().is_some_and(|process| process.observed.leading.is_some()))
            .map(|one| one.number)
            .collect();
        if leaders.len() != 1 {
            let statuses: Vec<String> = self.up().into_iter().map(|number| self.status(number)).collect();
            self.report_violation(format!(
                "there is not exactly one primary: {leaders:?}\n{}",
                statuses.join("\n")
            ));
        }
    }

    /// Without `Plan::strict`, tolerates that a server that crashes while it loads delays the others
    /// (`a_server_that_is_lost_while_it_loads_makes_room_for_another` in `regressions.rs`).
    fn loading_may_be_delayed(&self, at: Micros) -> bool {
        let recently = |server: &&Server| server.crashed && server.since + KNOWN_AFTER > at;
        !self.plan.strict && self.servers.iter().any(|server| recently(&server))
    }

    /// The status of a node, as its control API returns it.
    fn status(&mut self, number: usize) -> String {
        let now = self.now;
        let Some(process) = &mut self.machines[number].process else { return String::new() };
        let (clock, mut out) = (process.clock(now), Vec::new());
        process.node.handle(clock, Input::Call { call_id: STATUS_CALL, call: Call::Status }, &mut out);
        let answer = out.into_iter().find_map(|output| match output {
            Output::Respond { call_id: STATUS_CALL, response } => Some(response.body),
            _ => None,
        });
        String::from_utf8_lossy(&answer.unwrap_or_default()).into_owned()
    }

    /// The configuration that was read through each node is the newest, and each node has applied it.
    fn check_read_back(&mut self) {
        let newest = self.record.newest().map_or(0, |(version, _)| version);
        let mut bodies: HashSet<Arc<[u8]>> = HashSet::new();
        for number in self.up() {
            let Some(body) = self.record.read.get(&number).cloned() else {
                self.report_violation(format!("no configuration was read through node {number}"));
                return;
            };
            let (version, has) = (version_of(&body), self.configuration_of(number));
            if version < newest || has != version {
                self.report_violation(format!(
                    "{version} is read through node {number}, which has applied {has}; {newest} was acknowledged"
                ));
            }
            if !self.record.sent.contains(&identity(&body)) {
                self.report_violation(format!("the configuration read through node {number} was never sent"));
            }
            bodies.insert(body);
        }
        if bodies.len() > 1 {
            self.report_violation("different configurations are read through different nodes".to_owned());
        }
    }

    /// No rejected configuration was ever applied.
    fn check_in_force(&mut self) {
        if let Some(identity) = self.record.applied_configurations.intersection(&self.record.refused).next() {
            let made = String::from_utf8_lossy(identity).into_owned();
            self.report_violation(format!("configuration {made} was rejected and yet applied"));
        }
        if self.record.applied_configurations.iter().any(|made| !self.record.sent.contains(made)) {
            self.report_violation("a configuration was applied that was never sent".to_owned());
        }
    }

    fn check_servers(&mut self) {
        let settled = self.now.saturating_sub(KNOWN_AFTER);
        let mut wrong = Vec::new();
        for number in self.up() {
            let Some(process) = &self.machines[number].process else { continue };
            for server in self.servers.iter().filter(|server| server.since < settled) {
                let state = process.observed.servers.get(&server.id).copied();
                let fits = match server.stage {
                    Stage::Ready => !self.plan.servers_agree || state == Some(ServerState::Ready),
                    Stage::Ended => state != Some(ServerState::Ready) || self.may_be_overlooked(server),
                    _ => true,
                };
                if !fits {
                    let target = server.calls.map(|by| (by, self.machines[by].started_at()));
                    wrong.push(format!(
                        "node {number} has {state:?} for {}, which is {:?} since {} ms and called last {target:?}",
                        server.id,
                        server.stage,
                        server.since / MS,
                    ));
                }
            }
        }
        if let Some(first) = wrong.first() {
            self.report_violation(format!("{first} ({} in all)", wrong.len()));
        }
    }

    /// Without `Plan::strict`, tolerates that the crash of a server goes unnoticed if a machine had a fault at that time
    /// (`a_node_that_restarted_watches_the_servers_that_called_it_before` in `regressions.rs`).
    fn may_be_overlooked(&self, server: &Server) -> bool {
        let near = |one: &Machine| {
            !one.without_faults(server.since.saturating_sub(2 * SECOND), server.since + KNOWN_AFTER)
        };
        server.crashed && !self.plan.strict && self.machines.iter().any(near)
    }

    /// Reads the configuration through a node. Repeated until there is a response.
    pub fn read(&mut self, machine: usize) {
        let attempt = self.now;
        self.call(machine, Caller::Reader { machine, attempt }, Call::Control(ControlCall::GetConfiguration));
    }

    pub fn read_over(&mut self, machine: usize, outcome: Outcome) {
        match outcome.filter(|answer| answer.status == 200) {
            Some(answer) => {
                self.record.read.insert(machine, answer.body);
            }
            None => self.schedule_in(150 * MS, Event::Read { machine }),
        }
    }
}
