//! The rules, as far as they are seen from outside.

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

/// All nodes know what became of a server after this.
const KNOWN_AFTER: Micros = 9 * SECOND;

/// The id of calls for the status, which no caller waits for.
const STATUS_CALL: CallId = CallId(u64::MAX);

/// A rule to look at in time.
#[derive(Clone, Copy, Debug)]
pub enum Check {
    /// There is one primary.
    Bootstrapped,
    /// All nodes know all nodes.
    Members,
    /// A configuration that was acknowledged then is in force at all connected machines.
    Applied { version: u64, at: Micros },
    /// What an operator began then has a clear answer.
    Answered { operator: usize, begun: Micros },
    /// All connected machines know that a server takes no new requests.
    Drained { server: usize, by: usize, at: Micros },
    /// No node takes a server for ready whose end was acknowledged before the whole core lost power.
    DrainKept { server: usize },
    /// A model version that was announced then is loaded.
    Loaded { version: u64, at: Micros },
    /// No node accepts keys of an older version, connected or not.
    Revoked { version: u64 },
    /// After the last fault everything has converged.
    Settled,
}

/// What was said and seen.
#[derive(Debug, Default)]
pub struct Record {
    pub sent: HashSet<Arc<[u8]>>,
    pub refused: HashSet<Arc<[u8]>>,
    pub named: Vec<u64>,
    /// The last fault has come: operators say nothing new.
    pub final_fault: bool,
    /// The last fault comes after the next acknowledgement.
    pub awaits_final: bool,
    /// Spans of network faults.
    pub links: Vec<(Micros, Micros)>,
    pub read: BTreeMap<usize, Arc<[u8]>>,
    acknowledged: BTreeMap<u64, (u64, Arc<[u8]>)>,
    seen: HashSet<Arc<[u8]>>,
}

impl Record {
    /// Notes an acknowledged configuration; gives another one that was acknowledged on top of the same version.
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

    pub fn newest_named(&self) -> u64 {
        self.named.iter().copied().max().unwrap_or(0)
    }

    /// A node puts this in force.
    pub fn in_force(&mut self, body: &Arc<[u8]>) {
        self.seen.insert(identity(body));
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
            self.report.passed_over += 1;
        }
    }

    /// Whether core and network were without faults, and connected from the first time on.
    fn core_without_faults(&self, from: Micros, until: Micros) -> bool {
        let from = from.saturating_sub(CONNECT_TIME);
        let cores = self.machines.iter().filter(|machine| machine.core);
        cores.into_iter().all(|machine| machine.calm(from, until))
            && self.record.network_without_faults(from, until)
    }

    /// Machines that were connected from the first time on.
    fn connected(&self, from: Micros) -> Vec<usize> {
        let up = self.machines.iter().filter(|machine| machine.up());
        up.filter(|machine| machine.connected(from, self.now)).map(|machine| machine.number).collect()
    }

    fn check_bootstrapped(&mut self) -> bool {
        let leaders = self.machines.iter().filter_map(|one| one.process.as_ref()?.observed.leading);
        if leaders.count() != 1 {
            self.broken("the system is not founded".to_owned());
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
                self.broken(format!(
                    "node {number} knows {known} of {} nodes, in touch: {connected}",
                    up.len()
                ));
            }
        }
        true
    }

    /// A node that is gone for good stays a member at present if its session's holder started anew: see `found.rs`.
    fn may_be_a_stale_member(&self, address: SocketAddrV4) -> bool {
        !self.plan.strict && self.machines.iter().any(|one| one.address == address && one.removed)
    }

    pub fn configuration_of(&self, number: usize) -> u64 {
        let told = self.machines[number]
            .process
            .as_ref()
            .and_then(|process| process.observed.configuration.as_ref());
        told.map_or(0, |(version, _)| *version)
    }

    fn check_applied(&mut self, version: u64, at: Micros) -> bool {
        if !self.core_without_faults(at, self.now) {
            return false;
        }
        for number in self.connected(at) {
            let has = self.configuration_of(number);
            if has < version {
                self.broken(format!(
                    "node {number} has configuration {has}, not {version} of {} ms",
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
            let acts = process.observed.keys_until > process.clock(self.now);
            if acts && has < version {
                self.broken(format!(
                    "node {number} acts on keys of {has}, though {version} was acknowledged"
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
            self.broken(format!("{task} of {} ms has no clear answer", begun / MS));
        }
        true
    }

    fn check_drained(&mut self, server: usize, by: usize, at: Micros) -> bool {
        let from = at.saturating_sub(CONNECT_TIME);
        if !self.machines[by].calm(from, at.saturating_sub(1))
            || !self.record.network_without_faults(from, self.now)
        {
            return false;
        }
        let id = self.servers[server].id.clone();
        for number in self.connected(at) {
            let Some(process) = &self.machines[number].process else { continue };
            if process.observed.servers.get(&id) == Some(&ServerState::Ready) {
                self.broken(format!(
                    "node {number} calls {id} ready, whose end {by} acknowledged at {} ms",
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
                self.broken(format!("node {number} calls {id} ready, whose end was acknowledged"));
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
            let takes_part = server.stage == Stage::Ready && server.since < at;
            if takes_part && server.holds(now) < version {
                behind.push(server.id.clone());
            }
        }
        if !behind.is_empty() {
            self.broken(format!("{behind:?} don't hold version {version} of {} ms", at / MS));
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
            let told: Vec<String> = self.up().into_iter().map(|number| self.status(number)).collect();
            self.broken(format!("{leaders:?} lead\n{}", told.join("\n")));
        }
    }

    /// A server that crashes while it loads delays the others at present: see `found.rs`.
    fn loading_may_be_delayed(&self, at: Micros) -> bool {
        let recently = |server: &&Server| server.crashed && server.since + KNOWN_AFTER > at;
        !self.plan.strict && self.servers.iter().any(|server| recently(&server))
    }

    /// What a node says of itself.
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

    /// What was read through each node is the newest, and all have it in force.
    fn check_read_back(&mut self) {
        let newest = self.record.newest().map_or(0, |(version, _)| version);
        let mut bodies: HashSet<Arc<[u8]>> = HashSet::new();
        for number in self.up() {
            let Some(body) = self.record.read.get(&number).cloned() else {
                self.broken(format!("no configuration was read back through node {number}"));
                return;
            };
            let (version, has) = (version_of(&body), self.configuration_of(number));
            if version < newest || has != version {
                self.broken(format!(
                    "{version} is read back through node {number}, which has {has}; {newest} was acknowledged"
                ));
            }
            if !self.record.sent.contains(&identity(&body)) {
                self.broken(format!("what is read back through node {number} was never sent"));
            }
            bodies.insert(body);
        }
        if bodies.len() > 1 {
            self.broken("different configurations are read back through different nodes".to_owned());
        }
    }

    /// Nothing that was refused ever came into force.
    fn check_in_force(&mut self) {
        if let Some(identity) = self.record.seen.intersection(&self.record.refused).next() {
            let made = String::from_utf8_lossy(identity).into_owned();
            self.broken(format!("configuration {made} was refused and came into force"));
        }
        if self.record.seen.iter().any(|made| !self.record.sent.contains(made)) {
            self.broken("a configuration came into force that was never sent".to_owned());
        }
    }

    fn check_servers(&mut self) {
        let settled = self.now.saturating_sub(KNOWN_AFTER);
        let mut wrong = Vec::new();
        for number in self.up() {
            let Some(process) = &self.machines[number].process else { continue };
            for server in self.servers.iter().filter(|server| server.since < settled) {
                let told = process.observed.servers.get(&server.id).copied();
                let fits = match server.stage {
                    Stage::Ready => !self.plan.servers_agree || told == Some(ServerState::Ready),
                    Stage::Ended => told != Some(ServerState::Ready) || self.may_be_overlooked(server),
                    _ => true,
                };
                if !fits {
                    let heard_by = server.calls.map(|by| (by, self.machines[by].started_at()));
                    wrong.push(format!(
                        "node {number} has {told:?} for {}, {:?} since {} ms and heard last by {heard_by:?}",
                        server.id,
                        server.stage,
                        server.since / MS,
                    ));
                }
            }
        }
        if let Some(first) = wrong.first() {
            self.broken(format!("{first} ({} in all)", wrong.len()));
        }
    }

    /// A server that crashed while some machine had a fault is overlooked at present: see `found.rs`.
    fn may_be_overlooked(&self, server: &Server) -> bool {
        let near =
            |one: &Machine| !one.calm(server.since.saturating_sub(2 * SECOND), server.since + KNOWN_AFTER);
        server.crashed && !self.plan.strict && self.machines.iter().any(near)
    }

    /// Reads the configuration through a node, until there is an answer.
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
