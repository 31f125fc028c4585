//! Evidence of which configuration is the newest: it is queried from other nodes, passed on to them, and determines until
//! when this node's configuration is valid.

use std::net::SocketAddrV4;

use gradepaddle_proto::{Content, VersionQuery, VersionReply};

use super::{ConfigurationValidity, Node, Output};
use crate::Micros;
use crate::item_kinds::{CONFIGURATION, CONFIGURATION_KEY};
use crate::staleness::{NewestVersion, StalenessBound};

/// The evidence of a node, and the validity that was last reported to the data plane.
pub(super) struct Evidence {
    bound: StalenessBound,
    /// The validity that was last reported to the data plane.
    reported_validity: Option<ConfigurationValidity>,
    /// Selects the next nodes that are queried in addition to the usual one.
    next_target: usize,
}

impl Evidence {
    /// No evidence yet; `bound` as for [`StalenessBound::new`].
    pub(super) fn new(bound: Option<Micros>, now: Micros) -> Self {
        Evidence { bound: StalenessBound::new(bound, now), reported_validity: None, next_target: 0 }
    }

    /// When a query is due.
    pub(super) fn next_wake(&self) -> Micros {
        self.bound.next_wake()
    }
}

impl Node {
    /// Sends the queries that are due, and reports the validity of the configuration to the data plane where it changed.
    pub(super) fn tick_staleness(&mut self, now: Micros, out: &mut Vec<Output>) {
        if !self.evidence.bound.is_required() {
            return;
        }
        self.observe_own_state(now);
        if self.evidence.bound.poll_query_due(now) {
            for target in self.query_targets(now) {
                let query_id = self.calls.next_id();
                self.evidence.bound.query_sent(now, query_id);
                out.push(Output::Send {
                    to: target,
                    content: Content::VersionQuery(VersionQuery { query_id }),
                });
            }
        }
        let version = self.gossip.stamp(CONFIGURATION, CONFIGURATION_KEY).map_or(0, |stamp| stamp.major);
        let until = self.evidence.bound.valid_until(version);
        let validity = until.map(|until| ConfigurationValidity { version, until });
        if let Some(changed) = validity.filter(|_| validity != self.evidence.reported_validity) {
            self.evidence.reported_validity = validity;
            out.push(Output::ConfigurationValidity(changed));
        }
    }

    /// Records the version in this node's own control state if it is the primary, within its lease.
    fn observe_own_state(&mut self, now: Micros) {
        if let Some(read) = self.replica.as_ref().and_then(|replica| replica.read(now)) {
            self.evidence.bound.observe(now, read.state.current_version());
        }
    }

    /// The nodes to query: for a control balancer the primary, for any other node the control balancer of its session.
    /// While the evidence is stale, also one control balancer and one other node, in turn: any node may have evidence,
    /// even if no control balancer can be reached.
    fn query_targets(&mut self, now: Micros) -> Vec<SocketAddrV4> {
        let view = self.session.view();
        let is_member = view.members.contains(&self.own);
        let first = if is_member { view.primary } else { self.session.control_balancer() };
        let mut query_targets: Vec<SocketAddrV4> = first.into_iter().collect();
        if self.evidence.bound.is_stale(now) {
            let turn = self.evidence.next_target;
            self.evidence.next_target += 1;
            let in_turn = |nodes: &[SocketAddrV4]| nodes.get(turn % nodes.len().max(1)).copied();
            query_targets.extend(in_turn(&view.members));
            query_targets.extend(in_turn(&self.membership.peers));
        }
        query_targets.retain(|target| *target != self.own);
        query_targets.sort();
        query_targets.dedup();
        query_targets
    }

    /// Replies to another node's query, if there is evidence.
    pub(super) fn handle_version_query(
        &mut self,
        now: Micros,
        from: SocketAddrV4,
        query: VersionQuery,
        out: &mut Vec<Output>,
    ) {
        self.observe_own_state(now);
        if let Some(newest) = self.evidence.bound.newest(now) {
            let reply = VersionReply { query_id: query.query_id, version: newest.version, age: newest.age };
            out.push(Output::Send { to: from, content: Content::VersionReply(reply) });
        }
    }

    /// Handles the reply to a query.
    pub(super) fn handle_version_reply(&mut self, reply: VersionReply) {
        self.evidence
            .bound
            .handle_reply(reply.query_id, NewestVersion { version: reply.version, age: reply.age });
    }
}
