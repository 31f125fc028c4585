//! Servers and operators: their calls, orders to servers, servers that start and end.

use std::sync::Arc;

use gradepaddle_controlplane::api::{Call, Response};
use gradepaddle_controlplane::node::{CallId, Input};
use gradepaddle_controlplane::order::{Order, OrderOutcome};

use super::callers::{Caller, Outcome, success};
use super::invariants::Check;
use super::operator::{Conclusion, Task, body, identity, patch};
use super::server::{CALL_TIMEOUT, Server, Stage};
use super::world::{Event, World};
use super::{MS, Micros, SECOND};

/// In this percentage of rounds two operators change the same version concurrently.
const RACE_PERCENT: u64 = 30;

impl World {
    pub fn add_server(&mut self, at: Micros) {
        let index = self.servers.len();
        let zone = index % 3;
        let mut server = Server::new(index, zone, at, &mut self.random);
        server.version = self.record.newest_announced().max(1);
        self.servers.push(server);
        self.schedule(at, Event::Server(index));
    }

    /// A server drains or crashes, if enough servers are ready, and a new server starts.
    pub fn churn(&mut self) {
        let ready: Vec<usize> =
            (0..self.servers.len()).filter(|index| self.servers[*index].stage == Stage::Ready).collect();
        let chance = self.random.below(10);
        if let Some(index) = self.random.choose(&ready).filter(|_| ready.len() + 2 > self.plan.servers) {
            let stage = if chance < 7 { Stage::Draining(self.now) } else { Stage::Ended };
            self.servers[index].stage = stage;
            self.servers[index].since = self.now;
            self.servers[index].crashed = stage == Stage::Ended;
        }
        self.add_server(self.now + 500 * MS);
        let next = self.random.between(SECOND, 3 * SECOND);
        self.schedule_in(next, Event::Churn);
    }

    pub fn server_calls(&mut self, index: usize) {
        let now = self.now;
        let Some(call) = self.servers[index].call(now) else { return };
        let (zone, current) = (self.servers[index].zone, self.servers[index].calls);
        let listed = |one: &&super::machine::Machine| !one.removed && one.zone == zone;
        let candidates: Vec<usize> = self.machines.iter().filter(listed).map(|one| one.number).collect();
        let Some(machine) = current.or_else(|| self.random.choose(&candidates)) else { return };
        self.servers[index].calls = Some(machine);
        let caller = Caller::Server { index, attempt: self.servers[index].attempt };
        self.trace(|| format!("s-{index} ({:?}) calls node {machine}", self.servers[index].stage));
        self.call(machine, caller, call);
    }

    /// Makes a call. It ends at the latest when the caller times out.
    pub fn call(&mut self, machine: usize, caller: Caller, call: Call) {
        self.pending.insert(caller);
        if let Some(histories) = &mut self.histories {
            histories.call_made(caller, &call);
        }
        let way = self.random.between(200, 2 * MS);
        self.schedule_in(way, Event::Call { machine, caller, call });
        self.schedule_in(CALL_TIMEOUT, Event::CallOver { caller, outcome: None });
    }

    pub fn call_arrives(&mut self, number: usize, caller: Caller, call: Call) {
        let refuses = self.random.percent(50);
        let Some(process) = &mut self.machines[number].process else {
            if refuses {
                self.schedule_in(MS, Event::CallOver { caller, outcome: None });
            }
            return;
        };
        process.last_call_id += 1;
        let call_id = CallId(process.last_call_id);
        process.callers.insert(call_id, caller);
        self.step(number, Input::Call { call_id, call });
    }

    pub fn answer(&mut self, number: usize, call_id: CallId, answer: Response) {
        let Some(process) = &mut self.machines[number].process else { return };
        let Some(caller) = process.callers.remove(&call_id) else {
            return self.report_violation(format!(
                "node {number} responds to the call {call_id:?} a second time, or without such a call"
            ));
        };
        let answer = answer.unless_expired(process.clock(self.now));
        if !matches!(caller, Caller::Server { .. }) {
            self.check_response(number, answer.status);
        }
        let way = self.random.between(200, 2 * MS);
        if success(&Some(answer.clone())) {
            self.acknowledged_by(number, caller);
        }
        self.schedule_in(way, Event::CallOver { caller, outcome: Some(answer) });
    }

    /// A node has acknowledged that a server drains or leaves. The response may not have arrived yet.
    fn acknowledged_by(&mut self, number: usize, caller: Caller) {
        let Caller::Server { index, .. } = caller else { return };
        if !self.pending.contains(&caller) || self.servers[index].last_reported == Stage::Ready {
            return;
        }
        self.report.drains += 1;
        let check = Check::Drained { server: index, by: number, at: self.now };
        self.schedule_in(2 * SECOND, Event::Check(check));
        self.lose_core_after_drain(index);
        self.lose_after_acknowledging(number);
    }

    pub fn call_over(&mut self, caller: Caller, outcome: Outcome) {
        if !self.pending.remove(&caller) {
            return;
        }
        self.trace(|| format!("{caller:?}: {:?}", outcome.as_ref().map(|answer| answer.status)));
        if let Some(histories) = &mut self.histories {
            histories.call_ended(caller, &outcome);
        }
        match caller {
            Caller::Resender { .. } => {}
            Caller::Server { index, .. } => {
                let now = self.now;
                let next = self.servers[index].answered(now, success(&outcome), &mut self.random);
                self.schedule(next, Event::Server(index));
            }
            Caller::Operator { index, .. } => self.operator_answered(index, &outcome),
            Caller::Reader { machine, .. } => self.read_over(machine, outcome),
            Caller::Prober { machine, .. } => self.probe_over(caller, machine, &outcome),
        }
    }

    pub fn order_arrives(&mut self, machine: usize, incarnation: u64, order: Order) {
        let now = self.now;
        self.report.orders += 1;
        let owner: Arc<str> = Arc::from(format!("node-{machine}"));
        let server = order.server.clone();
        let Some(one) = self.servers.iter_mut().find(|one| one.id == server && one.alive()) else {
            return self
                .schedule_in(250 * MS, order_answered(machine, incarnation, order, OrderOutcome::Failed));
        };
        let answer = match one.order(now, &order, &owner, &mut self.random) {
            Ok(answer) => answer,
            Err(wrong) => return self.report_violation(format!("orders to {server}: {wrong}")),
        };
        self.trace(|| format!("node {machine} orders {server}: {answer:?}"));
        self.report.loads += u64::from(answer == OrderOutcome::InProgress);
        // Some responses are lost.
        let (way, answer) = match self.random.percent(4) {
            true => (1_500 * MS, OrderOutcome::Failed),
            false => (self.random.between(300, 3 * MS), answer),
        };
        self.schedule_in(way, order_answered(machine, incarnation, order, answer));
    }

    pub fn operator_turn(&mut self, index: usize) {
        if self.record.final_fault {
            return;
        }
        if self.operators[index].task.is_none() {
            let task = if index == 2 { self.announce_version() } else { self.next_configuration("a") };
            self.begin_task(index, task);
            if index == 0 && self.random.percent(RACE_PERCENT) && self.operators[1].task.is_none() {
                let rival = self.next_configuration("b");
                self.begin_task(1, rival);
            }
        }
        self.operator_calls(index);
    }

    fn begin_task(&mut self, index: usize, task: Task) {
        if let Task::Put { body: sent, .. } | Task::Patch { patch: sent, .. } = &task {
            self.record.sent.insert(identity(sent));
        }
        self.operators[index].begin(self.now, task);
        let check = Check::Answered { operator: index, begun: self.now };
        self.schedule_in(4 * SECOND, Event::Check(check));
        if index == 1 {
            self.operator_calls(1);
        }
    }

    fn next_configuration(&mut self, by: &str) -> Task {
        let if_match = self.operators[0].current;
        let version = if_match + self.random.between(1, 4);
        let length = if self.random.percent(50) { 5_000 } else { 40 };
        let number = self.random.next();
        let by = format!("{by}{number}");
        // A patch needs a configuration to apply to.
        if if_match > 0 && number.is_multiple_of(2) {
            return Task::Patch { if_match, version, patch: patch(version, &by) };
        }
        Task::Put { if_match, version, body: body(version, &by, length) }
    }

    fn announce_version(&mut self) -> Task {
        Task::Announce { version: self.record.newest_announced().max(1) + 1 }
    }

    fn operator_calls(&mut self, index: usize) {
        let Some(call) = self.operators[index].call() else { return };
        let listed: Vec<usize> =
            self.machines.iter().filter(|one| !one.removed).map(|one| one.number).collect();
        let Some(machine) = self.random.choose(&listed) else { return };
        let caller = Caller::Operator { index, attempt: self.operators[index].attempt };
        self.call(machine, caller, call);
    }

    fn operator_answered(&mut self, index: usize, outcome: &Outcome) {
        let now = self.now;
        let clear = self.operators[index].answered(now, outcome);
        match clear {
            Conclusion::RetryAt(at) => return self.schedule(at, Event::Operator(index)),
            Conclusion::Acknowledged(task) => self.acknowledged(task),
            Conclusion::Refused(task) => self.refused(index, task),
            Conclusion::Read(_) => {}
        }
        let idle = self.operators[0].task.is_none() && self.operators[1].task.is_none();
        if index == 2 {
            let next = self.random.between(6 * SECOND, 12 * SECOND);
            self.schedule_in(next, Event::Operator(2));
        } else if idle && !self.start_awaited_final_fault() {
            let next = self.random.between(100 * MS, 2 * SECOND);
            self.schedule_in(next, Event::Operator(0));
        }
    }

    fn acknowledged(&mut self, task: Task) {
        self.report.acknowledged += 1;
        match task {
            Task::Put { if_match, version, body: sent } | Task::Patch { if_match, version, patch: sent } => {
                self.operators[0].current = self.operators[0].current.max(version);
                if let Some(other) = self.record.acknowledge(if_match, version, identity(&sent)) {
                    self.report_violation(format!(
                        "both {other} and {version} are acknowledged as changes of {if_match}"
                    ));
                }
                let check = Check::Applied { version, at: self.now };
                self.schedule_in(2 * SECOND, Event::Check(check));
                if let Some(within) = self.plan.revoke_within {
                    self.schedule_in(within, Event::Check(Check::Revoked { version }));
                }
            }
            Task::Announce { version } => {
                self.record.announced_versions.push(version);
                let check = Check::Loaded { version, at: self.now };
                self.schedule_in(8 * SECOND, Event::Check(check));
            }
            Task::Read => {}
        }
    }

    fn refused(&mut self, index: usize, task: Task) {
        self.report.refused += 1;
        let (Task::Put { if_match, version, body: sent } | Task::Patch { if_match, version, patch: sent }) =
            task
        else {
            return self.report_violation(format!("the operator's {task:?} is rejected"));
        };
        self.record.refused.insert(identity(&sent));
        let race_lost = self.record.acknowledged_on(if_match).is_some();
        let race_open = self.operators[1 - index].task.is_some();
        if !race_lost && !race_open {
            self.report_violation(format!(
                "configuration {version} on top of {if_match} is rejected without a concurrent change"
            ));
        }
    }
}

fn order_answered(machine: usize, incarnation: u64, order: Order, answer: OrderOutcome) -> Event {
    Event::OrderAnswered { machine, incarnation, order, answer }
}
