//! Evidence of which configuration is the newest: asked for, given to others, and what follows for keys.

use std::net::SocketAddrV4;

use gradepaddle_proto::{Content, VersionQuery, VersionReply};

use super::{KeysShown, Node, Output};
use crate::Micros;
use crate::freshness::Newest;
use crate::kinds::{CONFIGURATION, CONFIGURATION_KEY};

impl Node {
    /// Asks for evidence when it is time, and tells the data plane what follows from what is known.
    pub(super) fn tick_freshness(&mut self, now: Micros, out: &mut Vec<Output>) {
        if !self.freshness.is_required() {
            return;
        }
        self.note_own_evidence(now);
        if self.freshness.is_due(now) {
            for witness in self.witnesses(now) {
                let name = self.ticket();
                self.freshness.asks(now, name);
                out.push(Output::Send {
                    to: witness,
                    content: Content::VersionQuery(VersionQuery { query_id: name }),
                });
            }
        }
        let version = self.spread.stamp(CONFIGURATION, CONFIGURATION_KEY).map_or(0, |stamp| stamp.major);
        let shown = self.freshness.keys_until(version).map(|until| KeysShown { version, until });
        if let Some(news) = shown.filter(|_| shown != self.keys_shown) {
            self.keys_shown = shown;
            out.push(Output::Keys(news));
        }
    }

    /// A primary knows by itself, as long as its lease lasts.
    fn note_own_evidence(&mut self, now: Micros) {
        if let Some(reading) = self.replica.as_ref().and_then(|replica| replica.read(now)) {
            self.freshness.learn(now, reading.state.current_version());
        }
    }

    /// Whom to ask: a control balancer the primary, all others the control balancer of their session. If what is known is
    /// old, a control balancer and any other node besides, by turns: any node may know, also where the core can't be
    /// reached.
    fn witnesses(&mut self, now: Micros) -> Vec<SocketAddrV4> {
        let view = self.session.view();
        let member = view.members.contains(&self.own);
        let usual = if member { view.primary } else { self.session.control() };
        let mut witnesses: Vec<SocketAddrV4> = usual.into_iter().collect();
        if self.freshness.is_old(now) {
            let turn = self.next_witness;
            self.next_witness += 1;
            let by_turns = |nodes: &[SocketAddrV4]| nodes.get(turn % nodes.len().max(1)).copied();
            witnesses.extend(by_turns(&view.members));
            witnesses.extend(by_turns(&self.peers));
        }
        witnesses.retain(|witness| *witness != self.own);
        witnesses.sort();
        witnesses.dedup();
        witnesses
    }

    /// Another node asks.
    pub(super) fn newest_asked(
        &mut self,
        now: Micros,
        from: SocketAddrV4,
        ask: VersionQuery,
        out: &mut Vec<Output>,
    ) {
        self.note_own_evidence(now);
        if let Some(newest) = self.freshness.newest(now) {
            let told = VersionReply { query_id: ask.query_id, version: newest.version, age: newest.age };
            out.push(Output::Send { to: from, content: Content::VersionReply(told) });
        }
    }

    /// Another node answers.
    pub(super) fn newest_told(&mut self, told: VersionReply) {
        self.freshness.answered(told.query_id, Newest { version: told.version, age: told.age });
    }
}
