//! What the data plane is told, and the duties round model servers.

use std::collections::BTreeSet;
use std::sync::Arc;

use gradepaddle_gossip::{Item, Stamp};
use gradepaddle_placement::{ModelVersion, ServerEntry, ServerState};
use gradepaddle_proto::{Decode, Encode, Registration};

use super::{Event, Node, Output};
use crate::Micros;
use crate::kinds::{self, CONFIGURATION, ORDERED, SERVER, STORE, WEIGHTS};
use crate::naming::Naming;
use crate::rollout::{Ordered, Step};

/// A server whose node has been missing for this long, and that no other node has heard of since, counts as lost.
const OWNERLESS_AFTER: Micros = 5_000_000;
/// A server that has been lost for this long is forgotten.
const FORGOTTEN_AFTER: Micros = 60_000_000;
/// A server that is being loaded gets nothing new for this long at the most.
const HOLD_FOR: Micros = 8_000_000;
/// Nothing new goes to servers with older weights from this long before they have to be gone.
const VERSION_MARGIN: Micros = 1_500_000;

impl Node {
    /// Takes in an item that is newer than what was held.
    pub(super) fn changed(&mut self, now: Micros, item: &Item, out: &mut Vec<Output>) {
        match item.kind {
            CONFIGURATION => out.push(Output::Configure(item.payload.clone())),
            WEIGHTS => self.weights_named(now, item, out),
            SERVER if item.removed => {
                self.servers.remove(&item.key);
                out.push(Output::ServerGone(item.key.clone()));
            }
            SERVER => {
                if let Ok(registration) = Registration::from_bytes(&item.payload) {
                    out.push(Output::Server(entry(&registration, registration.lost)));
                    if registration.owner == self.own && !registration.lost {
                        self.registry.adopt(now, &item.key, item.stamp.major);
                    }
                    self.servers.insert(item.key.clone(), registration);
                }
            }
            ORDERED => {
                if let Ok(ordered) = Ordered::from_bytes(&item.payload) {
                    let (server, span) = (item.key.clone(), if item.removed { 0 } else { HOLD_FOR });
                    out.push(Output::Hold { server: server.clone(), span });
                    if ordered.done {
                        let (model, version) = (ordered.model, ordered.version);
                        out.push(Output::Holds { server, model, version });
                    }
                }
            }
            STORE => {
                out.push(Output::Store { name: item.key.clone(), alive: !item.payload.is_empty() });
            }
            _ => {}
        }
    }

    /// Newer weights were named, or their time begins anew. It counts from the publication, however late that is heard.
    fn weights_named(&mut self, now: Micros, item: &Item, out: &mut Vec<Output>) {
        let (model, version) = (item.key.clone(), item.stamp.major);
        let known = self.named.insert(item.key.to_string(), version);
        let age = self.spread.age(now, WEIGHTS, &model).unwrap_or(0);
        let binds_in = self.version_times.binds_in(age, age.saturating_add(named_before(item)));
        out.push(Output::Event(Event::VersionNamed { model: model.clone(), version, binds_in }));
        self.rollout.set_due(&model, version, now + binds_in.saturating_sub(VERSION_MARGIN));
        out.push(match known == Some(version) {
            true => Output::WeightsPostponed { model, version, binds_in },
            false => Output::WeightsNamed { model, version, binds_in },
        });
    }

    /// The primary before this one fell silent, so the core was not stable: the time within which servers have to be
    /// brought to what was named counts from now.
    pub(super) fn postpone_weights(&mut self, now: Micros, epoch: u64, out: &mut Vec<Output>) {
        if !self.replica.as_ref().is_some_and(|replica| replica.took_over_after_timeout()) {
            return;
        }
        let mut results = Vec::new();
        for (model, version) in &self.named {
            let stamp = Stamp { major: *version, minor: epoch };
            let age = self.spread.age(now, WEIGHTS, model).unwrap_or(0);
            let before = self.spread.get(WEIGHTS, model).map_or(0, named_before);
            let naming = Naming { named_before: age.saturating_add(before) };
            self.spread.publish(now, kinds::item(WEIGHTS, model, stamp, naming.to_bytes()), &mut results);
        }
        self.on_spread_outputs(now, results, out);
    }

    /// Servers that a primary before this one held back are open again: it may never have ordered them.
    pub(super) fn release_marks(&mut self, now: Micros, epoch: u64, out: &mut Vec<Output>) {
        let old = self.spread.items(ORDERED).filter(|item| item.stamp.major < epoch);
        let old: Vec<Item> = old.cloned().collect();
        let mut results = Vec::new();
        for item in old {
            let stamp = Stamp { major: epoch, minor: 0 };
            self.spread.publish(now, Item { stamp, removed: true, ..item }, &mut results);
        }
        self.on_spread_outputs(now, results, out);
    }

    /// Has all nodes know whether a store answers.
    pub(super) fn store_changed(&mut self, now: Micros, name: &str, alive: bool, out: &mut Vec<Output>) {
        let minor =
            kinds::next_minor(self.spread.stamp(STORE, name).map_or(0, |stamp| stamp.minor), self.own);
        let payload = if alive { vec![1] } else { Vec::new() };
        let mut results = Vec::new();
        self.spread.publish(now, kinds::item(STORE, name, Stamp { major: 0, minor }, payload), &mut results);
        self.on_spread_outputs(now, results, out);
    }

    /// Servers that have fallen silent, here or with the node that heard them.
    pub(super) fn tick_servers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let lost = self.registry.tick(now, &self.spread);
        let mut results = Vec::new();
        for item in lost {
            out.push(Output::Event(Event::ServerLost { id: item.key.clone() }));
            self.spread.publish(now, item, &mut results);
        }
        self.on_spread_outputs(now, results, out);
    }

    /// Servers whose node is gone, and that no other node has heard of since, count as lost.
    pub(super) fn ownerless(&mut self, now: Micros, out: &mut Vec<Output>) {
        let alive = |owner| owner == self.own || self.peers.binary_search(&owner).is_ok();
        let missing = self.servers.values().map(|server| server.owner).filter(|owner| !alive(*owner));
        self.owners.update(now, missing);
        let lost: BTreeSet<Arc<str>> = self
            .servers
            .values()
            .filter(|server| !server.lost && !server.draining)
            .filter(|server| self.owners.longer_than(server.owner, now, OWNERLESS_AFTER))
            .map(|server| server.id.clone())
            .collect();
        for id in lost.symmetric_difference(&self.ownerless) {
            if let Some(server) = self.servers.get(id) {
                out.push(Output::Server(entry(server, server.lost || lost.contains(id))));
            }
        }
        self.ownerless = lost;
    }

    /// Servers that have been lost for long are forgotten by all; one that comes back is a new incarnation, or says so.
    pub(super) fn remove_lost(&mut self, now: Micros, out: &mut Vec<Output>) {
        let lost = self.servers.iter().filter(|(_, server)| server.lost).map(|(id, _)| id.clone());
        let lost: Vec<Arc<str>> = lost.collect();
        self.lost.retain(|id, _| lost.contains(id));
        for id in &lost {
            self.lost.entry(id.clone()).or_insert(now);
        }
        if !self.leading {
            return;
        }
        let old = |id: &&Arc<str>| {
            self.lost.get(*id).is_some_and(|since| now.saturating_sub(*since) > FORGOTTEN_AFTER)
        };
        let mut results = Vec::new();
        for id in lost.iter().filter(old) {
            let Some(stamp) = self.spread.stamp(SERVER, id) else { continue };
            let stamp = Stamp { minor: stamp.minor + 1, ..stamp };
            self.spread.publish(now, kinds::removal(SERVER, id, stamp), &mut results);
        }
        self.on_spread_outputs(now, results, out);
    }

    pub(super) fn tick_duties(&mut self, now: Micros, out: &mut Vec<Output>) {
        let leads = self.replica.as_ref().is_some_and(|replica| replica.leading(now).is_some());
        if !leads || self.named.is_empty() {
            return;
        }
        let steps = self.rollout.tick(now, &self.servers, &self.named);
        self.take_steps(now, steps, out);
    }

    pub(super) fn take_steps(&mut self, now: Micros, steps: Vec<Step>, out: &mut Vec<Output>) {
        let mut results = Vec::new();
        for step in steps {
            match step {
                Step::Mark(item) => {
                    out.extend(loading_event(&item).map(Output::Event));
                    self.spread.publish(now, item, &mut results);
                }
                Step::Order(order) => out.push(Output::Order(order)),
                Step::Ask { server, address } => out.push(Output::Ask { server, address }),
            }
        }
        self.on_spread_outputs(now, results, out);
    }

    /// True if an order may leave at this moment: this node leads under its fence, within its lease.
    pub fn may_order(&self, now: Micros, fence: u64) -> bool {
        self.order_deadline(now, fence).is_some()
    }

    /// Until when an order under this fence may leave, if it may leave now: the end of the lease.
    pub fn order_deadline(&self, now: Micros, fence: u64) -> Option<Micros> {
        let lease = self.replica.as_ref()?.lease(now)?;
        (lease.epoch == fence && self.rollout.may_order(fence)).then_some(lease.until)
    }
}

/// How long before its publication a version was named.
fn named_before(item: &Item) -> Micros {
    Naming::from_bytes(&item.payload).unwrap_or_default().named_before
}

/// What a mark of this node's own roll-out says, for the log.
fn loading_event(mark: &Item) -> Option<Event> {
    let target = Ordered::from_bytes(&mark.payload).ok()?;
    let server = mark.key.clone();
    Some(match mark.removed {
        true => Event::LoadingEnded { server, target },
        false => Event::LoadingBegun { server, target },
    })
}

/// A server as the data plane's engine knows it.
fn entry(registration: &Registration, lost: bool) -> ServerEntry {
    let state = match (registration.draining, lost) {
        (true, _) => ServerState::Draining,
        (_, true) => ServerState::Lost,
        _ => ServerState::Ready,
    };
    let weights = registration.models.iter();
    ServerEntry {
        id: registration.id.clone(),
        service: registration.service.clone(),
        address: registration.address,
        zone: registration.zone.clone(),
        slots: registration.slots,
        state,
        warmup_left: registration.warmup_left_ms * 1000,
        models: weights.map(|one| ModelVersion { model: one.model.clone(), version: one.version }).collect(),
    }
}
