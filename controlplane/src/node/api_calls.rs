//! API calls: those of servers are handled at this node; those of operators are decided by the primary, to which other
//! nodes forward them.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_config::{Configuration, Findings, Patch};
use gradepaddle_control::{Change, ControlState, Input as ReplicaInput, Outcome, ProposalId};
use gradepaddle_gossip::{Item, ReplicationFactor, Stamp};
use gradepaddle_proto::{Content, ControlCall, ForwardedCall, ForwardedReply};

use super::{CallId, Node, Output};
use crate::Micros;
use crate::api::{Call, Response, fingerprint_number, invalid, patch_fingerprint_number};
use crate::item_kinds::{self, CONFIGURATION, CONFIGURATION_KEY, MODEL_VERSION};
use crate::registry::Decision;

/// The base of a patch while there is no configuration yet.
const EMPTY_CONFIGURATION: &[u8] = b"{}";
/// A call that the primary has not decided within this time is answered with 503. Callers try another node after 1 s
/// without a response, and sooner after a 503.
const CALL_TIMEOUT: Micros = 750_000;
/// Added to [`CALL_TIMEOUT`] for each byte of the call's body, which has to reach the primary and its backups first.
const CALL_TIMEOUT_PER_BYTE: Micros = 1;

/// Reads of a longer configuration are redirected to the primary: callers wait for 1 s, in which a link of 10 Mbit/s
/// carries 1.25 MB.
const REDIRECTED_READ_BYTES: usize = 256 * 1024;
/// Status of a reply between nodes: the configuration that the forwarding node has is the newest one.
const NOT_MODIFIED: u16 = 304;

/// Identifies a call that waits for a decision at this node, in messages to the primary and in proposals. Version queries
/// take their ids from the same sequence, so that no two messages of one process have the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingCallId(u64);

/// Where the response to a call is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    /// A caller at this node, by the driver's call id.
    Local(CallId),
    /// The node that forwarded the call, and the id that it gave the call.
    Peer(SocketAddrV4, PendingCallId),
}

/// The calls at a node that have no response yet.
pub(super) struct PendingCalls {
    /// Calls that wait for a decision, by this node's own call ids.
    pending: BTreeMap<PendingCallId, PendingCall>,
    /// Publications that other nodes have to acknowledge, by the driver's call ids.
    publications: HashMap<CallId, PendingPublication>,
    last_id: u64,
}

impl PendingCalls {
    /// No calls. Ids begin after `last_id`.
    pub(super) fn new(last_id: u64) -> Self {
        PendingCalls { pending: BTreeMap::new(), publications: HashMap::new(), last_id }
    }

    /// A new id, also for queries between nodes.
    pub(super) fn next_id(&mut self) -> u64 {
        self.last_id = self.last_id.wrapping_add(1);
        self.last_id
    }

    fn add(&mut self, pending: PendingCall) -> PendingCallId {
        let id = PendingCallId(self.next_id());
        self.pending.insert(id, pending);
        id
    }
}

/// A call that waits for a decision.
struct PendingCall {
    caller: Caller,
    /// Who decides it: this node, or the primary to which it was forwarded.
    decider: SocketAddrV4,
    since: Micros,
    until: Micros,
    /// For a forwarded read of the configuration: the configuration that this node had when it forwarded the call.
    known_configuration: Option<Arc<[u8]>>,
}

/// A server's call that waits until other nodes have acknowledged what it published.
enum PendingPublication {
    Drain(Arc<str>),
    Leave(Arc<str>),
}

impl Node {
    pub(super) fn handle_call(&mut self, now: Micros, call_id: CallId, call: Call, out: &mut Vec<Output>) {
        match call {
            Call::Heartbeat { id, heartbeat } => {
                let decision = self.registry.heartbeat(now, &id, &heartbeat, &self.gossip);
                self.publish_registration(
                    now,
                    call_id,
                    decision,
                    PendingPublication::Drain(Arc::from(id)),
                    out,
                );
            }
            Call::Leave { id } => {
                let decision = self.registry.leave(&id, &self.gossip);
                self.publish_registration(
                    now,
                    call_id,
                    decision,
                    PendingPublication::Leave(Arc::from(id)),
                    out,
                );
            }
            Call::Control(call) => self.decide(now, Caller::Local(call_id), call, true, out),
            Call::Status => out.push(Output::Respond { call_id, response: self.status(now) }),
        }
    }

    /// Publishes the change that a server's call makes, and responds at once or once other nodes have acknowledged it.
    fn publish_registration(
        &mut self,
        now: Micros,
        call_id: CallId,
        decision: Decision,
        pending: PendingPublication,
        out: &mut Vec<Output>,
    ) {
        let mut results = Vec::new();
        match decision {
            Decision::Acknowledge => out.push(success(call_id)),
            Decision::Publish(item) => {
                self.gossip.publish(now, item, &mut results);
                out.push(success(call_id));
            }
            Decision::PublishAcknowledged(item) => {
                self.calls.publications.insert(call_id, pending);
                let core = self.other_control_balancers();
                let copies = self.required_copies(&core);
                self.gossip.publish_acknowledged(now, item, call_id.0, copies, &mut results);
            }
        }
        self.handle_gossip_outputs(now, results, out);
    }

    fn other_control_balancers(&self) -> Vec<SocketAddrV4> {
        self.session.view().members.iter().copied().filter(|member| *member != self.own).collect()
    }

    /// How many nodes need a copy of a server's draining or leaving before it is acknowledged.
    ///
    /// `machine_losses` control balancers may be lost at once, so `machine_losses + 1` of them need a copy; this node
    /// counts if it is a control balancer and is not shutting down. As all control balancers may also lose power at once,
    /// and any number of the other nodes may be lost, one node that is not a control balancer needs a copy, too.
    fn required_copies<'a>(&self, core: &'a [SocketAddrV4]) -> ReplicationFactor<'a> {
        let is_member = self.session.view().members.contains(&self.own);
        let counts_itself = !self.shutting_down && is_member;
        let inside = self.machine_losses + usize::from(!counts_itself);
        let outside = usize::from(self.shutting_down || is_member);
        ReplicationFactor { count: self.machine_losses + 1, group: core, inside, outside }
    }

    pub(super) fn handle_acknowledgment(
        &mut self,
        call_id: CallId,
        acknowledged: bool,
        out: &mut Vec<Output>,
    ) {
        let pending = self.calls.publications.remove(&call_id);
        if !acknowledged {
            let response = Response::unavailable("no other node holds it yet");
            out.push(Output::Respond { call_id, response });
            return;
        }
        match pending {
            Some(PendingPublication::Drain(id)) => self.registry.drain_acknowledged(&id),
            Some(PendingPublication::Leave(id)) => self.registry.leave_acknowledged(&id),
            None => {}
        }
        out.push(success(call_id));
    }

    /// Decides a call at this node if it is the primary; otherwise forwards it to the primary. A call that was forwarded
    /// already is not forwarded again.
    fn decide(
        &mut self,
        now: Micros,
        caller: Caller,
        call: ControlCall,
        may_forward: bool,
        out: &mut Vec<Output>,
    ) {
        if self.may_decide(now, &call) {
            return self.decide_here(now, caller, call, out);
        }
        let primary = self.session.view().primary.filter(|primary| *primary != self.own);
        match primary {
            Some(primary) if may_forward && self.is_long_read(&call) => {
                respond(now, caller, Response::redirect(self.control_address(primary)), out);
            }
            Some(primary) if may_forward => {
                let mut pending = PendingCall::new(now, caller, primary, &call);
                let mut known_version = 0;
                if let (ControlCall::GetConfiguration, Some(known)) = (&call, self.known_configuration()) {
                    known_version = known.stamp.major;
                    pending.known_configuration = Some(Arc::clone(&known.payload));
                }
                let id = self.calls.add(pending);
                let content = Content::ForwardedCall(ForwardedCall { call_id: id.0, call, known_version });
                out.push(Output::Send { to: primary, content });
            }
            _ => respond(now, caller, Response::unavailable("no primary is known"), out),
        }
    }

    /// True if a call reads a configuration that is too long to be relayed over a slow link before the caller times out.
    /// Core machines have fast links.
    fn is_long_read(&self, call: &ControlCall) -> bool {
        let is_member = self.session.view().members.contains(&self.own);
        let known = self.known_configuration();
        *call == ControlCall::GetConfiguration
            && !is_member
            && known.is_some_and(|item| item.payload.len() > REDIRECTED_READ_BYTES)
    }

    /// The control address of another node: ports are the same on all machines.
    fn control_address(&self, node: SocketAddrV4) -> SocketAddrV4 {
        SocketAddrV4::new(*node.ip(), self.control_port)
    }

    fn may_decide(&self, now: Micros, call: &ControlCall) -> bool {
        let Some(replica) = &self.replica else { return false };
        match call {
            ControlCall::GetConfiguration => replica.read(now).is_some(),
            _ => replica.leading(now).is_some(),
        }
    }

    fn decide_here(&mut self, now: Micros, caller: Caller, call: ControlCall, out: &mut Vec<Output>) {
        let pending = PendingCall::new(now, caller, self.own, &call);
        let change = match call {
            ControlCall::GetConfiguration => {
                return respond(now, caller, self.read_configuration(now, 0), out);
            }
            ControlCall::PutConfiguration { if_match, version, body } => {
                let fingerprint = fingerprint_number(&body);
                Change::PutConfiguration { if_match, version, body, fingerprint }
            }
            ControlCall::PatchConfiguration { if_match, version, patch } => {
                match self.change_of_patch(now, if_match, version, &patch) {
                    Ok(change) => change,
                    Err(response) => return respond(now, caller, response, out),
                }
            }
            ControlCall::NameVersion { model, version } => {
                Change::NameVersion { model: model.to_string(), version }
            }
        };
        let proposal_id = ProposalId(self.calls.add(pending).0);
        self.step_replica(now, ReplicaInput::Propose { proposal_id, change }, out);
    }

    /// The change that a patch makes to the configuration in force, if the patch applies to that version.
    ///
    /// A patch of a given base version always results in the same change: versions only rise, so no other configuration
    /// of that version is ever in force. If another configuration is committed before the change is proposed, the
    /// change is rejected like any other with an outdated base version.
    ///
    /// # Errors
    ///
    /// The response to a patch if it needs no decision of the replica, or if its result is invalid.
    fn change_of_patch(
        &self,
        now: Micros,
        if_match: u64,
        version: u64,
        patch: &[u8],
    ) -> Result<Change, Response> {
        let Some(read) = self.replica.as_ref().and_then(|replica| replica.read(now)) else {
            return Err(Response::unavailable("this node does not lead"));
        };
        let until = read.lease.until;
        let fingerprint = patch_fingerprint_number(if_match, patch);
        if let Some(outcome) = read.state.check_configuration(if_match, version, fingerprint).outcome() {
            return Err(response_to(outcome).with_deadline(until));
        }
        let base = read.state.configuration.as_ref().map_or(EMPTY_CONFIGURATION, |known| &known.body);
        match apply_patch(patch, base) {
            Ok(body) => Ok(Change::PutConfiguration { if_match, version, body, fingerprint }),
            Err(findings) => Err(invalid(findings).with_deadline(until)),
        }
    }

    /// The newest configuration that this node has received by gossip.
    fn known_configuration(&self) -> Option<&Item> {
        self.gossip.get(CONFIGURATION, CONFIGURATION_KEY)
    }

    /// The newest configuration, valid for as long as the lease lasts; without its body if `known_version` is the newest.
    fn read_configuration(&self, now: Micros, known_version: u64) -> Response {
        let Some(read) = self.replica.as_ref().and_then(|replica| replica.read(now)) else {
            return Response::unavailable("this node does not lead");
        };
        let response = match &read.state.configuration {
            Some(configuration) if configuration.version == known_version => Response::bare(NOT_MODIFIED),
            Some(configuration) => Response { body: Arc::clone(&configuration.body), ..Response::bare(200) },
            None => Response::message(404, "there is no configuration yet"),
        };
        response.with_deadline(read.lease.until)
    }

    /// Handles the replica's decision. A conclusive response may be sent within the lease only.
    pub(super) fn handle_decision(
        &mut self,
        now: Micros,
        proposal_id: ProposalId,
        outcome: Outcome,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.calls.pending.remove(&PendingCallId(proposal_id.0)) else { return };
        let lease = self.replica.as_ref().and_then(|replica| replica.lease(now));
        let lease_end = lease.map_or(now, |lease| lease.until);
        respond(now, pending.caller, response_to(outcome).with_deadline(lease_end.min(pending.until)), out);
    }

    pub(super) fn handle_forwarded_call(
        &mut self,
        now: Micros,
        from: SocketAddrV4,
        forwarded: ForwardedCall,
        out: &mut Vec<Output>,
    ) {
        let caller = Caller::Peer(from, PendingCallId(forwarded.call_id));
        if forwarded.call == ControlCall::GetConfiguration && self.may_decide(now, &forwarded.call) {
            let response = self.read_configuration(now, forwarded.known_version);
            return respond(now, caller, response, out);
        }
        self.decide(now, caller, forwarded.call, false, out);
    }

    /// Handles the reply to a forwarded call, if it comes from the node to which the call was forwarded. When the primary
    /// replied, its lease had `lease_remaining` left. It replied after the call was forwarded, so adding
    /// `lease_remaining` to the time of forwarding gives a time, by this node's clock, that is never after the end of
    /// the lease.
    pub(super) fn handle_forwarded_reply(
        &mut self,
        now: Micros,
        from: SocketAddrV4,
        reply: &ForwardedReply,
        out: &mut Vec<Output>,
    ) {
        let id = PendingCallId(reply.call_id);
        let expected = self.calls.pending.get(&id).is_some_and(|pending| pending.decider == from);
        if !expected {
            return;
        }
        let Some(pending) = self.calls.pending.remove(&id) else { return };
        let lease_end = pending.since.saturating_add(reply.lease_remaining);
        let response = match pending.known_configuration {
            Some(body) if reply.status == NOT_MODIFIED => Response { body, ..Response::bare(200) },
            _ => Response { body: reply.body.clone(), ..Response::bare(reply.status) },
        };
        respond(now, pending.caller, response.with_deadline(lease_end.min(pending.until)), out);
    }

    /// Responds to calls that have waited for too long.
    pub(super) fn tick_pending_calls(&mut self, now: Micros, out: &mut Vec<Output>) {
        let timed_out = self.calls.pending.iter().filter(|(_, pending)| pending.until <= now);
        let timed_out: Vec<PendingCallId> = timed_out.map(|(id, _)| *id).collect();
        for id in timed_out {
            if let Some(pending) = self.calls.pending.remove(&id) {
                let response = Response::unavailable("the primary did not answer in time");
                respond(now, pending.caller, response, out);
            }
        }
    }

    /// Gossips a committed state to all nodes.
    pub(super) fn publish_committed(&mut self, now: Micros, state: &ControlState, out: &mut Vec<Output>) {
        let mut results = Vec::new();
        if let Some(configuration) = &state.configuration {
            let stamp = Stamp { major: configuration.version, minor: 0 };
            let payload = configuration.body.to_vec();
            let item = item_kinds::item(CONFIGURATION, CONFIGURATION_KEY, stamp, payload);
            self.gossip.publish(now, item, &mut results);
        }
        for (model, version) in &state.models {
            let stamp = Stamp { major: *version, minor: 0 };
            let item = item_kinds::item(MODEL_VERSION, model, stamp, Vec::new());
            self.gossip.publish(now, item, &mut results);
        }
        self.handle_gossip_outputs(now, results, out);
    }
}

impl PendingCall {
    fn new(now: Micros, caller: Caller, decider: SocketAddrV4, call: &ControlCall) -> Self {
        let bytes = match call {
            ControlCall::PutConfiguration { body, .. } => body.len() as Micros,
            ControlCall::PatchConfiguration { patch, .. } => patch.len() as Micros,
            _ => 0,
        };
        let until = now + CALL_TIMEOUT + bytes * CALL_TIMEOUT_PER_BYTE;
        PendingCall { caller, decider, since: now, until, known_configuration: None }
    }
}

fn success(call_id: CallId) -> Output {
    Output::Respond { call_id, response: Response::bare(200) }
}

/// The response to a call with this outcome.
fn response_to(outcome: Outcome) -> Response {
    match outcome {
        Outcome::Committed => Response::bare(200),
        Outcome::Conflict { current } => Response::message(412, &format!("version {current} is in place")),
        Outcome::VersionNotHigher { current } => {
            Response::message(400, &format!("the version is not above {current}, which is in place"))
        }
        Outcome::NotPrimary { .. } => Response::unavailable("this node does not lead"),
        Outcome::Unknown => Response::unavailable("the change may be in force or not"),
    }
}

/// The body of the configuration that a patch makes.
///
/// # Errors
///
/// [`Findings`] if the patch does not apply, or its result is invalid.
fn apply_patch(patch: &[u8], base: &[u8]) -> Result<Arc<[u8]>, Findings> {
    let body = Patch::parse(patch)?.apply(base)?;
    Configuration::parse(&body)?;
    Ok(Arc::from(body))
}

fn respond(now: Micros, caller: Caller, response: Response, out: &mut Vec<Output>) {
    let response = response.unless_expired(now);
    match caller {
        Caller::Local(call_id) => out.push(Output::Respond { call_id, response }),
        Caller::Peer(to, PendingCallId(call_id)) => {
            let Response { status, body, valid_until, .. } = response;
            let lease_remaining = valid_until.map_or(0, |until| until - now);
            let reply = ForwardedReply { call_id, status, body, lease_remaining };
            out.push(Output::Send { to, content: Content::ForwardedReply(reply) });
        }
    }
}
