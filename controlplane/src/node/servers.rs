//! Model servers: gossiped changes for the data plane, detection and removal of lost servers, and the singleton roles of
//! the primary.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use gradepaddle_gossip::{Item, Stamp};
use gradepaddle_placement::{ModelVersion, ServerEntry, ServerState};
use gradepaddle_proto::{Decode, Encode, Registration};

use super::{Event, Node, Output};
use crate::Micros;
use crate::absence_tracker::AbsenceTracker;
use crate::item_kinds::{self, CACHE_STORE, CONFIGURATION, MODEL_VERSION, RESERVATION, SERVER};
use crate::rollout::{Reservation, Servers, Step};
use crate::version_announcement::VersionAnnouncement;

/// A server counts as lost if its owner has been absent for this long and it has called no other node since.
const OWNER_TIMEOUT: Micros = 5_000_000;
/// A server that has been lost for this long is removed.
const REMOVE_AFTER: Micros = 60_000_000;
/// A reserved server gets no new requests for at most this long, as the item that ends the reservation may be lost.
const MAX_PAUSE: Micros = 8_000_000;

/// What a node knows of model servers and model versions.
#[derive(Default)]
pub(super) struct KnownServers {
    pub(super) registered: Servers,
    /// For each lost server, when its loss became known.
    lost_since: HashMap<Arc<str>, Micros>,
    absent_owners: AbsenceTracker,
    /// Servers that this node treats as lost because their owner is absent.
    without_owner: BTreeSet<Arc<str>>,
    /// The newest announced version of each model.
    pub(super) announced_versions: BTreeMap<String, u64>,
}

impl Node {
    /// Handles an item that is newer than the known one.
    pub(super) fn handle_item(&mut self, now: Micros, item: &Item, out: &mut Vec<Output>) {
        match item.kind {
            CONFIGURATION => out.push(Output::ApplyConfiguration(item.payload.clone())),
            MODEL_VERSION => self.handle_announced_version(now, item, out),
            SERVER if item.removed => {
                self.servers.registered.remove(&item.key);
                out.push(Output::ServerRemoved(item.key.clone()));
            }
            SERVER => {
                if let Ok(registration) = Registration::from_bytes(&item.payload) {
                    out.push(Output::ServerChanged(server_entry(&registration, registration.lost)));
                    if registration.owner == self.own && !registration.lost {
                        self.registry.adopt(now, &item.key, item.stamp.major);
                    }
                    self.servers.registered.insert(item.key.clone(), registration);
                }
            }
            RESERVATION => {
                if let Ok(reservation) = Reservation::from_bytes(&item.payload) {
                    let (server, span) = (item.key.clone(), if item.removed { 0 } else { MAX_PAUSE });
                    out.push(Output::PauseServer { server: server.clone(), span });
                    if reservation.loaded {
                        let Reservation { model, version, .. } = reservation;
                        out.push(Output::ServerHasVersion { server, model, version });
                    }
                }
            }
            CACHE_STORE => {
                let (name, alive) = (item.key.clone(), !item.payload.is_empty());
                out.push(Output::CacheStoreChanged { name, alive });
            }
            _ => {}
        }
    }

    /// Handles a newly announced version, or a new deadline of a known one. The deadline counts from the publication,
    /// however late this node learns of it.
    fn handle_announced_version(&mut self, now: Micros, item: &Item, out: &mut Vec<Output>) {
        let (model, version) = (item.key.clone(), item.stamp.major);
        let known = self.servers.announced_versions.insert(item.key.to_string(), version);
        let age = self.gossip.age(now, MODEL_VERSION, &model).unwrap_or(0);
        let since_announcement = age.saturating_add(announced_before(item));
        let deadline_in = self.version_deadlines.remaining(age, since_announcement);
        out.push(Output::Event(Event::VersionAnnounced { model: model.clone(), version, deadline_in }));
        self.rollout.set_deadline(now, &model, version, now + deadline_in);
        out.push(match known == Some(version) {
            true => Output::VersionDeadlineExtended { model, version, deadline_in },
            false => Output::VersionAnnounced { model, version, deadline_in },
        });
    }

    /// Restarts the deadlines of all announced versions if this primary replaces one that was lost: the core was
    /// unstable, and no orders could be sent to servers.
    pub(super) fn extend_version_deadlines(&mut self, now: Micros, epoch: u64, out: &mut Vec<Output>) {
        if !self.replica.as_ref().is_some_and(gradepaddle_control::Replica::took_over_after_timeout) {
            return;
        }
        let mut results = Vec::new();
        for (model, version) in &self.servers.announced_versions {
            let stamp = Stamp { major: *version, minor: epoch };
            let age = self.gossip.age(now, MODEL_VERSION, model).unwrap_or(0);
            let before = self.gossip.get(MODEL_VERSION, model).map_or(0, announced_before);
            let announcement = VersionAnnouncement { announced_before: age.saturating_add(before) };
            let item = item_kinds::item(MODEL_VERSION, model, stamp, announcement.to_bytes());
            self.gossip.publish(now, item, &mut results);
        }
        self.handle_gossip_outputs(now, results, out);
    }

    /// Releases servers that an earlier primary reserved, as it may never have sent their orders.
    pub(super) fn release_earlier_reservations(&mut self, now: Micros, epoch: u64, out: &mut Vec<Output>) {
        let earlier = self.gossip.items(RESERVATION).filter(|item| item.stamp.major < epoch);
        let earlier: Vec<Item> = earlier.cloned().collect();
        let mut results = Vec::new();
        for item in earlier {
            let stamp = Stamp { major: epoch, minor: 0 };
            self.gossip.publish(now, Item { stamp, removed: true, ..item }, &mut results);
        }
        self.handle_gossip_outputs(now, results, out);
    }

    /// Publishes to all nodes whether a cache store responds.
    pub(super) fn cache_store_changed(
        &mut self,
        now: Micros,
        name: &str,
        alive: bool,
        out: &mut Vec<Output>,
    ) {
        let known = self.gossip.stamp(CACHE_STORE, name).map_or(0, |stamp| stamp.minor);
        let stamp = Stamp { major: 0, minor: item_kinds::next_minor(known, self.own) };
        let payload = if alive { vec![1] } else { Vec::new() };
        let mut results = Vec::new();
        self.gossip.publish(now, item_kinds::item(CACHE_STORE, name, stamp, payload), &mut results);
        self.handle_gossip_outputs(now, results, out);
    }

    /// Publishes the loss of servers whose heartbeats to this node have timed out.
    pub(super) fn tick_servers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let lost = self.registry.tick(now, &self.gossip);
        let mut results = Vec::new();
        for item in lost {
            out.push(Output::Event(Event::ServerTimedOut { id: item.key.clone() }));
            self.gossip.publish(now, item, &mut results);
        }
        self.handle_gossip_outputs(now, results, out);
    }

    /// Treats servers as lost if their owner is absent and they have called no other node since.
    pub(super) fn tick_absent_owners(&mut self, now: Micros, out: &mut Vec<Output>) {
        let is_alive = |owner| owner == self.own || self.membership.peers.binary_search(&owner).is_ok();
        let absent =
            self.servers.registered.values().map(|server| server.owner).filter(|owner| !is_alive(*owner));
        self.servers.absent_owners.update(now, absent);
        let owner_is_gone =
            |owner| self.servers.absent_owners.absent_for_longer_than(owner, now, OWNER_TIMEOUT);
        let without_owner: BTreeSet<Arc<str>> = self
            .servers
            .registered
            .values()
            .filter(|server| !server.lost && !server.draining)
            .filter(|server| owner_is_gone(server.owner))
            .map(|server| server.id.clone())
            .collect();
        for id in without_owner.symmetric_difference(&self.servers.without_owner) {
            if let Some(server) = self.servers.registered.get(id) {
                let lost = server.lost || without_owner.contains(id);
                out.push(Output::ServerChanged(server_entry(server, lost)));
            }
        }
        self.servers.without_owner = without_owner;
    }

    /// At the primary, removes servers that have been lost for longer than [`REMOVE_AFTER`]. A server that comes back
    /// registers again as a new incarnation, or with its next heartbeat.
    pub(super) fn remove_lost_servers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let lost = self.servers.registered.iter().filter(|(_, server)| server.lost).map(|(id, _)| id.clone());
        let lost: Vec<Arc<str>> = lost.collect();
        self.servers.lost_since.retain(|id, _| lost.contains(id));
        for id in &lost {
            self.servers.lost_since.entry(id.clone()).or_insert(now);
        }
        if !self.primary {
            return;
        }
        let is_due = |id: &&Arc<str>| {
            self.servers.lost_since.get(*id).is_some_and(|since| now.saturating_sub(*since) > REMOVE_AFTER)
        };
        let mut results = Vec::new();
        for id in lost.iter().filter(is_due) {
            let Some(stamp) = self.gossip.stamp(SERVER, id) else { continue };
            let stamp = Stamp { minor: stamp.minor + 1, ..stamp };
            self.gossip.publish(now, item_kinds::tombstone(SERVER, id, stamp), &mut results);
        }
        self.handle_gossip_outputs(now, results, out);
    }

    /// Runs the singleton role of the primary: the roll-out of model versions.
    pub(super) fn tick_singleton_roles(&mut self, now: Micros, out: &mut Vec<Output>) {
        if !self.is_primary_within_lease(now) || self.servers.announced_versions.is_empty() {
            return;
        }
        let steps = self.rollout.tick(now, &self.servers.registered, &self.servers.announced_versions);
        self.carry_out_steps(now, steps, out);
    }

    pub(super) fn carry_out_steps(&mut self, now: Micros, steps: Vec<Step>, out: &mut Vec<Output>) {
        let mut results = Vec::new();
        for step in steps {
            match step {
                Step::PublishReservation(item) => {
                    out.extend(reservation_event(&item).map(Output::Event));
                    self.gossip.publish(now, item, &mut results);
                }
                Step::SendOrder(order) => out.push(Output::SendOrder(order)),
                Step::QueryServer { server, address } => out.push(Output::QueryServer { server, address }),
            }
        }
        self.handle_gossip_outputs(now, results, out);
    }

    /// True if an order with this fencing token may be sent now: this node is the primary in that epoch, within its
    /// lease.
    pub fn may_send_order(&self, now: Micros, fencing_token: u64) -> bool {
        self.order_deadline(now, fencing_token).is_some()
    }

    /// The end of the lease within which an order with this fencing token may be sent; `None` if it may not be sent.
    pub fn order_deadline(&self, now: Micros, fencing_token: u64) -> Option<Micros> {
        let lease = self.replica.as_ref()?.lease(now)?;
        let may_send = lease.epoch == fencing_token && self.rollout.may_send_order(fencing_token);
        may_send.then_some(lease.until)
    }
}

/// How long before the publication of this item its version was first announced.
fn announced_before(item: &Item) -> Micros {
    VersionAnnouncement::from_bytes(&item.payload).unwrap_or_default().announced_before
}

/// The event for a reservation of this node's own roll-out.
fn reservation_event(item: &Item) -> Option<Event> {
    let reservation = Reservation::from_bytes(&item.payload).ok()?;
    let server = item.key.clone();
    Some(match item.removed {
        true => Event::ServerReleased { server, reservation },
        false => Event::ServerReserved { server, reservation },
    })
}

/// A server as the data plane's engine knows it.
fn server_entry(registration: &Registration, lost: bool) -> ServerEntry {
    let state = match (registration.draining, lost) {
        (true, _) => ServerState::Draining,
        (_, true) => ServerState::Lost,
        _ => ServerState::Ready,
    };
    let models = registration.models.iter();
    ServerEntry {
        id: registration.id.clone(),
        service: registration.service.clone(),
        address: registration.address,
        zone: registration.zone.clone(),
        slots: registration.slots,
        state,
        warmup_left: registration.warmup_left_ms * 1000,
        models: models
            .map(|loaded| ModelVersion { model: loaded.model.clone(), version: loaded.version })
            .collect(),
    }
}
