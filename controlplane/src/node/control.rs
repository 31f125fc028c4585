//! Calls that the primary decides: taken here, passed on, answered.

use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_config::{Configuration, Findings, Patch};
use gradepaddle_control::{Change, ControlState, Input as ReplicaInput, Outcome, ProposalId};
use gradepaddle_gossip::ReplicationFactor;
use gradepaddle_proto::{Content, ControlCall, ForwardedCall, ForwardedReply};

use super::{Asker, CALL_WITHIN, CALL_WITHIN_PER_BYTE, Confirming, Node, Output, Waiting};
use crate::Micros;
use crate::calls::{Answer, Call, fingerprint_number, patch_fingerprint_number, refused};
use crate::kinds::{self, CONFIGURATION, CONFIGURATION_KEY, WEIGHTS};
use crate::registry::Decision;

/// What the first configuration builds on.
const EMPTY: &[u8] = b"{}";

impl Node {
    pub(super) fn call(&mut self, now: Micros, ticket: u64, call: Call, out: &mut Vec<Output>) {
        match call {
            Call::Heartbeat { id, heartbeat } => {
                let decision = self.registry.beat(now, &id, &heartbeat, &self.spread);
                self.registered(now, ticket, decision, Confirming::Drain(Arc::from(id)), out);
            }
            Call::Leave { id } => {
                let decision = self.registry.leave(&id, &self.spread);
                self.registered(now, ticket, decision, Confirming::Leave(Arc::from(id)), out);
            }
            Call::PutConfiguration { if_match, version, body } => {
                let call = ControlCall::PutConfiguration { if_match, version, body };
                self.decide(now, Asker::Own(ticket), call, true, out);
            }
            Call::PatchConfiguration { if_match, version, patch } => {
                let call = ControlCall::PatchConfiguration { if_match, version, patch };
                self.decide(now, Asker::Own(ticket), call, true, out);
            }
            Call::GetConfiguration => {
                self.decide(now, Asker::Own(ticket), ControlCall::GetConfiguration, true, out);
            }
            Call::NameVersion { model, version } => {
                let call = ControlCall::NameVersion { model: Arc::from(model), version };
                self.decide(now, Asker::Own(ticket), call, true, out);
            }
            Call::Status => out.push(Output::Answer { ticket, answer: self.status(now) }),
        }
    }

    /// Publishes what a server's call told and answers it, at once or when others hold it.
    fn registered(
        &mut self,
        now: Micros,
        ticket: u64,
        decision: Decision,
        confirming: Confirming,
        out: &mut Vec<Output>,
    ) {
        let mut results = Vec::new();
        match decision {
            Decision::Acknowledge => out.push(self.acknowledgement(ticket)),
            Decision::Publish(item) => {
                self.spread.publish(now, item, &mut results);
                out.push(self.acknowledgement(ticket));
            }
            Decision::PublishConfirmed(item) => {
                self.confirming.insert(ticket, confirming);
                let core = self.other_control_balancers();
                let copies = self.copies(&core);
                self.spread.publish_acknowledged(now, item, ticket, copies, &mut results);
            }
        }
        self.on_spread_outputs(now, results, out);
    }

    fn other_control_balancers(&self) -> Vec<SocketAddrV4> {
        self.session.view().members.iter().copied().filter(|member| *member != self.own).collect()
    }

    /// Who has to hold what a server said of its end before it is acknowledged.
    ///
    /// Of the control balancers, `machine_losses` may be lost at once, so one more has to hold it, this node included if
    /// it is one that stays. All of them may lose power at once, and any number of the other nodes may go: so one of the
    /// others holds it, too.
    fn copies<'a>(&self, core: &'a [SocketAddrV4]) -> ReplicationFactor<'a> {
        let counts_itself = !self.leaving && self.session.view().members.contains(&self.own);
        let inside = self.machine_losses + usize::from(!counts_itself);
        let outside = usize::from(self.leaving || self.session.view().members.contains(&self.own));
        ReplicationFactor { count: self.machine_losses + 1, group: core, inside, outside }
    }

    fn acknowledgement(&self, ticket: u64) -> Output {
        Output::Answer { ticket, answer: Answer::bare(200) }
    }

    pub(super) fn confirmed(&mut self, ticket: u64, held: bool, out: &mut Vec<Output>) {
        let confirming = self.confirming.remove(&ticket);
        if !held {
            let answer = Answer::unavailable("no other node holds it yet");
            out.push(Output::Answer { ticket, answer });
            return;
        }
        match confirming {
            Some(Confirming::Drain(id)) => self.registry.drain_held(&id),
            Some(Confirming::Leave(id)) => self.registry.leave_held(&id),
            None => {}
        }
        out.push(self.acknowledgement(ticket));
    }

    /// Has a call decided: here, if this node leads, else by the primary, to whom it is passed on once.
    pub(super) fn decide(
        &mut self,
        now: Micros,
        asker: Asker,
        call: ControlCall,
        may_forward: bool,
        out: &mut Vec<Output>,
    ) {
        if self.may_decide(now, &call) {
            return self.decide_here(now, asker, call, out);
        }
        let primary = self.session.view().primary.filter(|primary| *primary != self.own);
        match primary {
            Some(primary) if may_forward => {
                let ticket = self.wait(Self::waiting_for(now, asker, primary, &call));
                let content = Content::ForwardedCall(ForwardedCall { call_id: ticket, call });
                out.push(Output::Send { to: primary, content });
            }
            _ => answer(now, asker, Answer::unavailable("no primary is known"), out),
        }
    }

    fn may_decide(&self, now: Micros, call: &ControlCall) -> bool {
        let Some(replica) = &self.replica else { return false };
        match call {
            ControlCall::GetConfiguration => replica.read(now).is_some(),
            _ => replica.leading(now).is_some(),
        }
    }

    fn decide_here(&mut self, now: Micros, asker: Asker, call: ControlCall, out: &mut Vec<Output>) {
        let waiting = Self::waiting_for(now, asker, self.own, &call);
        let change = match call {
            ControlCall::GetConfiguration => return answer(now, asker, self.configuration(now), out),
            ControlCall::PutConfiguration { if_match, version, body } => {
                let fingerprint = fingerprint_number(&body);
                Change::PutConfiguration { if_match, version, body, fingerprint }
            }
            ControlCall::PatchConfiguration { if_match, version, patch } => {
                match self.patched(now, if_match, version, &patch) {
                    Ok(change) => change,
                    Err(refusal) => return answer(now, asker, refusal, out),
                }
            }
            ControlCall::NameVersion { model, version } => {
                Change::NameVersion { model: model.to_string(), version }
            }
        };
        let proposal_id = ProposalId(self.wait(waiting));
        self.tell_replica(now, ReplicaInput::Propose { proposal_id, change }, out);
    }

    /// The change that a patch makes of the configuration that it builds on, which is in force; otherwise its answer.
    ///
    /// What builds on a version is the same change at all times: versions only rise, so no other configuration of that
    /// version is ever in force. If another one has come into force when the change is about to be replicated, it is
    /// refused like any that builds on an older version.
    fn patched(&self, now: Micros, if_match: u64, version: u64, patch: &[u8]) -> Result<Change, Answer> {
        let Some(reading) = self.replica.as_ref().and_then(|replica| replica.read(now)) else {
            return Err(Answer::unavailable("this node does not lead"));
        };
        let until = reading.lease.until;
        let fingerprint = patch_fingerprint_number(if_match, patch);
        if let Some(outcome) = reading.state.check_configuration(if_match, version, fingerprint).outcome() {
            return Err(outcome_answer(outcome).before(until));
        }
        let base = reading.state.configuration.as_ref().map_or(EMPTY, |known| &known.body);
        match apply_patch(patch, base) {
            Ok(body) => Ok(Change::PutConfiguration { if_match, version, body, fingerprint }),
            Err(findings) => Err(refused(findings).before(until)),
        }
    }

    /// The newest configuration, as long as the lease lasts.
    fn configuration(&self, now: Micros) -> Answer {
        let Some(reading) = self.replica.as_ref().and_then(|replica| replica.read(now)) else {
            return Answer::unavailable("this node does not lead");
        };
        let answer = match &reading.state.configuration {
            Some(configuration) => Answer { body: Arc::clone(&configuration.body), ..Answer::bare(200) },
            None => Answer::message(404, "there is no configuration yet"),
        };
        answer.before(reading.lease.until)
    }

    fn waiting_for(now: Micros, asker: Asker, decider: SocketAddrV4, call: &ControlCall) -> Waiting {
        let bytes = match call {
            ControlCall::PutConfiguration { body, .. } => body.len() as Micros,
            ControlCall::PatchConfiguration { patch, .. } => patch.len() as Micros,
            _ => 0,
        };
        Waiting { asker, decider, since: now, until: now + CALL_WITHIN + bytes * CALL_WITHIN_PER_BYTE }
    }

    fn wait(&mut self, waiting: Waiting) -> u64 {
        let ticket = self.ticket();
        self.waiting.insert(ticket, waiting);
        ticket
    }

    /// The replica has decided. What is clear is said within the lease only.
    pub(super) fn decided(&mut self, now: Micros, ticket: u64, outcome: Outcome, out: &mut Vec<Output>) {
        let Some(waiting) = self.waiting.remove(&ticket) else { return };
        let given = outcome_answer(outcome);
        let lease = self.replica.as_ref().and_then(|replica| replica.lease(now));
        let given = given.before(lease.map_or(now, |lease| lease.until).min(waiting.until));
        answer(now, waiting.asker, given, out);
    }

    pub(super) fn forwarded_call(
        &mut self,
        now: Micros,
        from: SocketAddrV4,
        forward: ForwardedCall,
        out: &mut Vec<Output>,
    ) {
        self.decide(now, Asker::Node(from, forward.call_id), forward.call, false, out);
    }

    /// Takes in the answer to a call that was passed on, if it comes from the node that was asked. Its lease was to last
    /// for so much longer when it answered, and that was after the call was passed on: an end of the lease that holds on
    /// this node's clock as well.
    pub(super) fn forwarded_answer(
        &mut self,
        now: Micros,
        from: SocketAddrV4,
        told: &ForwardedReply,
        out: &mut Vec<Output>,
    ) {
        let asked = self.waiting.get(&told.call_id).is_some_and(|waiting| waiting.decider == from);
        if !asked {
            return;
        }
        let Some(waiting) = self.waiting.remove(&told.call_id) else { return };
        let lease_ends = waiting.since.saturating_add(told.lease_remaining);
        let given = Answer { status: told.status, body: told.body.clone(), valid_until: None };
        answer(now, waiting.asker, given.before(lease_ends.min(waiting.until)), out);
    }

    /// Answers calls that have waited for too long.
    pub(super) fn tick_calls(&mut self, now: Micros, out: &mut Vec<Output>) {
        let late = |waiting: &Waiting| waiting.until <= now;
        let over: Vec<u64> =
            self.waiting.iter().filter(|(_, waiting)| late(waiting)).map(|(ticket, _)| *ticket).collect();
        for ticket in over {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                answer(now, waiting.asker, Answer::unavailable("the primary did not answer in time"), out);
            }
        }
    }

    /// A committed state is spread to all nodes.
    pub(super) fn committed(&mut self, now: Micros, state: &ControlState, out: &mut Vec<Output>) {
        let mut results = Vec::new();
        if let Some(configuration) = &state.configuration {
            let stamp = gradepaddle_gossip::Stamp { major: configuration.version, minor: 0 };
            let payload = configuration.body.to_vec();
            let item = kinds::item(CONFIGURATION, CONFIGURATION_KEY, stamp, payload);
            self.spread.publish(now, item, &mut results);
        }
        for (model, version) in &state.models {
            let stamp = gradepaddle_gossip::Stamp { major: *version, minor: 0 };
            self.spread.publish(now, kinds::item(WEIGHTS, model, stamp, Vec::new()), &mut results);
        }
        self.on_spread_outputs(now, results, out);
    }
}

/// What a caller is told of a decision.
fn outcome_answer(outcome: Outcome) -> Answer {
    match outcome {
        Outcome::Committed => Answer::bare(200),
        Outcome::Conflict { current } => Answer::message(412, &format!("version {current} is in place")),
        Outcome::VersionNotHigher { current } => {
            Answer::message(400, &format!("the version is not above {current}, which is in place"))
        }
        Outcome::NotPrimary { .. } => Answer::unavailable("this node does not lead"),
        Outcome::Unknown => Answer::unavailable("the change may be in force or not"),
    }
}

/// The body of the configuration that a patch makes, if that is valid.
fn apply_patch(patch: &[u8], base: &[u8]) -> Result<Arc<[u8]>, Findings> {
    let body = Patch::parse(patch)?.apply(base)?;
    Configuration::parse(&body)?;
    Ok(Arc::from(body))
}

fn answer(now: Micros, asker: Asker, answer: Answer, out: &mut Vec<Output>) {
    let answer = answer.at(now);
    match asker {
        Asker::Own(ticket) => out.push(Output::Answer { ticket, answer }),
        Asker::Node(to, call_id) => {
            let Answer { status, body, valid_until } = answer;
            let lease_remaining = valid_until.map_or(0, |until| until - now);
            let told = ForwardedReply { call_id, status, body, lease_remaining };
            out.push(Output::Send { to, content: Content::ForwardedReply(told) });
        }
    }
}
