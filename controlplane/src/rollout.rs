//! The roll-out: has servers load announced model versions. A singleton role of the primary. No I/O.
//!
//! Orders carry the epoch as their fencing token. None is sent until the lease of an earlier primary must have run out
//! and its last order must have ended. Only a few servers of a model load at once: each is reserved, so that it gets no
//! new requests, then sent an order, then queried until it has loaded the version.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_gossip::{Item, Stamp};
use gradepaddle_proto::{Decode, DecodeError, Encode, FieldWriter, Fields, Registration};

use crate::Micros;
use crate::item_kinds::{self, RESERVATION};
use crate::order::{MAX_ORDER_DURATION, Order, OrderOutcome};

/// Time between the reservation of a server and its order, so that all nodes know of the reservation by then.
const RESERVATION_DELAY: Micros = 120_000;
/// Interval at which a server that is loading is queried.
const QUERY_INTERVAL: Micros = 350_000;
/// An order that failed, or whose outcome is unknown, is sent again after this delay.
const ORDER_RETRY_DELAY: Micros = 500_000;
/// A server that has not loaded the version within this time is released, and reserved again after [`RETRY_DELAY`].
const LOAD_TIMEOUT: Micros = 7_000_000;
/// The time that a batch of servers takes, from the first reservation to the last release.
const BATCH_DURATION: Micros = 1_500_000;
/// A server that was released without the version is not reserved again for this long.
const RETRY_DELAY: Micros = 3_000_000;
/// One in this many servers of a model loads at once, but at least [`MIN_CONCURRENT`].
const CONCURRENT_SHARE: usize = 6;
const MIN_CONCURRENT: usize = 1;
/// If the deadlines require more servers to load at once, at most one in this many. Servers past their deadline, which
/// may not serve anyway, are not limited.
const MAX_CONCURRENT_SHARE: usize = 2;
/// Servers with an older version count as not serving from this long before their deadline: nodes stop choosing a server
/// once the expected wait there ends too late.
const VERSION_MARGIN: Micros = 1_500_000;
/// Added to the lease of the previous primary after a change of the primary: its last order has to have ended. Includes a
/// margin of 50 ms.
const LEASE_MARGIN: Micros = MAX_ORDER_DURATION.as_micros() as Micros + 50_000;

/// The registered servers by id.
pub type Servers = BTreeMap<Arc<str>, Registration>;

/// The payload of a server's reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The model.
    pub model: Arc<str>,
    /// The version that the server is to load.
    pub version: u64,
    /// The server has loaded the version. False in the tombstone of a server that was released without the version.
    pub loaded: bool,
}

impl Encode for Reservation {
    fn encode(&self, to: &mut FieldWriter) {
        to.string(1, &self.model);
        to.uint64(2, self.version);
        to.bool(3, self.loaded);
    }
}

impl Decode for Reservation {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Reservation { model: fields.string(1), version: fields.uint64(2), loaded: fields.bool(3) })
    }
}

/// An action that the roll-out asks the node to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Publish the reservation of a server, or its end.
    PublishReservation(Item),
    /// Send an order.
    SendOrder(Order),
    /// Query which versions a server has loaded.
    QueryServer {
        /// The server.
        server: Arc<str>,
        /// Where it is reached.
        address: SocketAddrV4,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Reserved,
    Ordered,
    Loading,
}

/// A load of a version that is in progress at a server.
struct ServerLoad {
    address: SocketAddrV4,
    model: Arc<str>,
    version: u64,
    /// The server took requests until it was reserved: its capacity is missing until it is released.
    was_serving: bool,
    stage: Stage,
    started: Micros,
    next_due: Micros,
}

impl ServerLoad {
    /// True if this order was sent for this load, under the fencing token in force.
    fn matches(&self, order: &Order, fencing_token: Option<u64>) -> bool {
        self.stage != Stage::Reserved
            && fencing_token == Some(order.fencing_token)
            && self.model == order.model
            && self.version == order.version
    }
}

/// A server whose version of a model is older than the newest.
struct Outdated<'a> {
    server: &'a Registration,
    /// When it starts to count as not serving, if that is known.
    deadline: Option<Micros>,
}

/// The roll-out of all models, at the primary.
pub struct Rollout {
    lease: Micros,
    /// The epoch while this node is the primary.
    fencing_token: Option<u64>,
    /// The last epoch in which this node was the primary.
    last_epoch: u64,
    orders_allowed_at: Micros,
    loads: BTreeMap<Arc<str>, ServerLoad>,
    /// By server and model, the versions that servers have reported to this node and that their registrations may not
    /// show yet.
    reported: BTreeMap<Arc<str>, BTreeMap<Arc<str>, u64>>,
    /// Servers that were released without the version, and until when they are not reserved again.
    backoff_until: BTreeMap<Arc<str>, Micros>,
    /// Servers that have seen a higher fencing token than the one in force, so they take orders from another node.
    superseded: BTreeSet<Arc<str>>,
    /// For each version of each model, the time from which servers with older versions may start no requests.
    deadlines: BTreeMap<String, BTreeMap<u64, Micros>>,
    last_reservation: u64,
}

impl Rollout {
    /// The roll-out at a node that is not the primary. `lease` is the minimum time between orders of two different
    /// primaries, in microseconds.
    pub fn new(lease: Micros) -> Self {
        Rollout {
            lease,
            fencing_token: None,
            last_epoch: 0,
            orders_allowed_at: 0,
            loads: BTreeMap::new(),
            reported: BTreeMap::new(),
            backoff_until: BTreeMap::new(),
            superseded: BTreeSet::new(),
            deadlines: BTreeMap::new(),
            last_reservation: 0,
        }
    }

    /// This node becomes the primary in `epoch`. Orders wait until the lease of an earlier primary must have run out,
    /// except in the first epoch and if this node was also the primary in the previous epoch.
    pub fn become_primary(&mut self, now: Micros, epoch: u64) {
        let follows_itself = self.last_epoch > 0 && epoch <= self.last_epoch + 1;
        let allowed_at = if epoch <= 1 || follows_itself { now } else { now + self.lease + LEASE_MARGIN };
        // A wait for the lease of another primary continues if this node starts a new epoch itself.
        self.orders_allowed_at = self.orders_allowed_at.max(allowed_at);
        self.fencing_token = Some(epoch);
        self.last_epoch = epoch;
        self.superseded.clear();
        self.loads.clear();
        self.reported.clear();
    }

    /// This node is no longer the primary.
    pub fn step_down(&mut self) {
        self.fencing_token = None;
        self.loads.clear();
    }

    /// Sets the time from which servers with a version older than `version` may start no requests. A deadline that has
    /// passed is not changed: all nodes have stopped choosing such servers, and a later extension does not reverse
    /// that.
    ///
    /// Called at each node, since any of them may become the primary.
    pub fn set_deadline(&mut self, now: Micros, model: &str, version: u64, deadline: Micros) {
        self.discard_passed_deadlines(now, model);
        let deadlines = self.deadlines.entry(model.to_owned()).or_default();
        let current = deadlines.entry(version).or_insert(deadline);
        if *current > now {
            *current = deadline;
        }
    }

    /// Of the deadlines that have passed, keeps only that of the newest version: it covers all older versions.
    fn discard_passed_deadlines(&mut self, now: Micros, model: &str) {
        let Some(deadlines) = self.deadlines.get_mut(model) else { return };
        let passed = deadlines.iter().filter(|(_, deadline)| **deadline <= now).map(|(version, _)| *version);
        let newest_passed = passed.max();
        deadlines.retain(|version, deadline| *deadline > now || Some(*version) >= newest_passed);
    }

    /// When a server with this version starts to count as not serving; `None` if no newer version is known.
    fn out_of_service_at(&self, model: &str, loaded: u64) -> Option<Micros> {
        let newer = self.deadlines.get(model)?.range(loaded + 1..);
        newer.map(|(_, deadline)| deadline.saturating_sub(VERSION_MARGIN)).min()
    }

    /// The number of deadlines that are kept for a model.
    pub fn deadline_count(&self, model: &str) -> usize {
        self.deadlines.get(model).map_or(0, BTreeMap::len)
    }

    /// The steps that are due. `announced` are the newest versions by model.
    pub fn tick(&mut self, now: Micros, servers: &Servers, announced: &BTreeMap<String, u64>) -> Vec<Step> {
        let mut steps = Vec::new();
        let Some(token) = self.fencing_token.filter(|_| now >= self.orders_allowed_at) else { return steps };
        for (model, version) in announced {
            self.start_loads(now, token, servers, model, *version, &mut steps);
        }
        self.advance_loads(now, token, servers, &mut steps);
        steps
    }

    /// Reserves servers that are to load: all that may start no requests any more, and others in the order of their
    /// deadlines, as long as no more than [`Rollout::max_concurrent`] are missing at once.
    fn start_loads(
        &mut self,
        now: Micros,
        fencing_token: u64,
        servers: &Servers,
        model: &str,
        version: u64,
        steps: &mut Vec<Step>,
    ) {
        self.backoff_until.retain(|_, until| *until > now);
        self.superseded.retain(|server| servers.contains_key(server));
        self.discard_passed_deadlines(now, model);
        let total = servers.values().filter(|server| registered_version(server, model).is_some()).count();
        let mut outdated = self.outdated(servers, model, version);
        outdated.sort_by_key(|server| server.deadline.unwrap_or(Micros::MAX));
        let max_missing = self.max_concurrent(now, total, &outdated);
        let loads = self.loads.values();
        let mut missing = loads.filter(|load| load.was_serving && &*load.model == model).count();
        for Outdated { server, deadline } in outdated {
            let serving = deadline.is_none_or(|deadline| now < deadline);
            let available = self.is_available(server) && !server.draining && !server.lost;
            if !available || (serving && missing >= max_missing) {
                continue;
            }
            missing += usize::from(serving);
            let load = ServerLoad {
                address: server.address,
                model: Arc::from(model),
                version,
                was_serving: serving,
                stage: Stage::Reserved,
                started: now,
                next_due: now + RESERVATION_DELAY,
            };
            self.reserve(fencing_token, server, load, steps);
        }
    }

    /// True if a load at this server may start: none is in progress, none was given up within [`RETRY_DELAY`], and the
    /// server has not seen a higher fencing token.
    fn is_available(&self, server: &Registration) -> bool {
        !self.loads.contains_key(&server.id)
            && !self.backoff_until.contains_key(&server.id)
            && !self.superseded.contains(&server.id)
    }

    /// The servers with an older version of a model.
    fn outdated<'a>(&self, servers: &'a Servers, model: &str, version: u64) -> Vec<Outdated<'a>> {
        let loaded =
            servers.values().filter_map(|server| Some((server, self.loaded_version(server, model)?)));
        let older = loaded.filter(|(_, loaded)| *loaded < version);
        older
            .map(|(server, loaded)| Outdated { server, deadline: self.out_of_service_at(model, loaded) })
            .collect()
    }

    /// Starts a load and announces the reservation of its server to all nodes.
    fn reserve(
        &mut self,
        fencing_token: u64,
        server: &Registration,
        load: ServerLoad,
        steps: &mut Vec<Step>,
    ) {
        let reservation = Reservation { model: load.model.clone(), version: load.version, loaded: false };
        let item = self.reservation_item(fencing_token, &server.id, &reservation, false);
        steps.push(Step::PublishReservation(item));
        self.loads.insert(server.id.clone(), load);
    }

    /// How many serving servers may be missing at once: one in [`CONCURRENT_SHARE`], or more if that is necessary for
    /// every server to load by its deadline. `outdated` is sorted by deadline.
    fn max_concurrent(&self, now: Micros, total: usize, outdated: &[Outdated<'_>]) -> usize {
        let usual = (total / CONCURRENT_SHARE).max(MIN_CONCURRENT);
        let deadlines =
            outdated.iter().filter_map(|server| server.deadline).filter(|deadline| now < *deadline);
        let needed = deadlines.enumerate().map(|(earlier, deadline)| {
            let batches = (deadline - now) / BATCH_DURATION;
            (earlier + 1).div_ceil(batches.max(1) as usize)
        });
        usual.max(needed.max().unwrap_or(0).min(total / MAX_CONCURRENT_SHARE))
    }

    fn reservation_item(
        &mut self,
        fencing_token: u64,
        server: &str,
        reservation: &Reservation,
        released: bool,
    ) -> Item {
        self.last_reservation += 1;
        let stamp = Stamp { major: fencing_token, minor: self.last_reservation };
        let item = item_kinds::item(RESERVATION, server, stamp, reservation.to_bytes());
        // A reservation ends with a tombstone, which reaches all nodes and is discarded there after a while.
        Item { removed: released, ..item }
    }

    fn advance_loads(&mut self, now: Micros, fencing_token: u64, servers: &Servers, steps: &mut Vec<Step>) {
        let mut ended = Vec::new();
        for (id, load) in &mut self.loads {
            let server = servers.get(id).filter(|server| !server.lost);
            let registered = server.and_then(|server| registered_version(server, &load.model));
            let timed_out = now.saturating_sub(load.started) > LOAD_TIMEOUT;
            let loaded = registered.is_some_and(|registered| registered >= load.version);
            if registered.is_none() || loaded || timed_out {
                ended.push((id.clone(), loaded));
            } else if now >= load.next_due {
                match load.stage {
                    Stage::Reserved | Stage::Ordered => {
                        load.stage = Stage::Ordered;
                        load.next_due = now + ORDER_RETRY_DELAY;
                        steps.push(Step::SendOrder(Order {
                            server: id.clone(),
                            address: load.address,
                            model: load.model.clone(),
                            version: load.version,
                            fencing_token,
                        }));
                    }
                    Stage::Loading => {
                        load.next_due = now + QUERY_INTERVAL;
                        steps.push(Step::QueryServer { server: id.clone(), address: load.address });
                    }
                }
            }
        }
        for (id, loaded) in ended {
            if !loaded {
                self.backoff_until.insert(id.clone(), now + RETRY_DELAY);
            }
            self.release(&id, loaded, steps);
        }
    }

    /// The version that a server has loaded: the higher of its registration and its report to this node.
    fn loaded_version(&self, server: &Registration, model: &str) -> Option<u64> {
        let reported =
            self.reported.get(&server.id).and_then(|models| models.get(model)).copied().unwrap_or(0);
        registered_version(server, model).map(|registered| registered.max(reported))
    }

    /// Ends the reservation of a server and announces it to all nodes.
    fn release(&mut self, id: &str, loaded: bool, steps: &mut Vec<Step>) {
        let (Some(load), Some(token)) = (self.loads.remove(id), self.fencing_token) else { return };
        if loaded {
            let models = self.reported.entry(Arc::from(id)).or_default();
            models.insert(load.model.clone(), load.version);
        }
        let reservation = Reservation { model: load.model, version: load.version, loaded };
        steps.push(Step::PublishReservation(self.reservation_item(token, id, &reservation, true)));
    }

    /// Handles the outcome of an order. An outcome that comes after its load has ended does not affect a later load at
    /// the same server.
    pub fn handle_order_outcome(&mut self, now: Micros, order: &Order, outcome: OrderOutcome) -> Vec<Step> {
        let mut steps = Vec::new();
        let token = self.fencing_token;
        if outcome == OrderOutcome::Superseded && token == Some(order.fencing_token) {
            self.superseded.insert(order.server.clone());
            self.release(&order.server, false, &mut steps);
        }
        let Some(load) = self.loads.get_mut(&order.server) else { return steps };
        if !load.matches(order, token) {
            return steps;
        }
        match outcome {
            OrderOutcome::Loaded => self.release(&order.server, true, &mut steps),
            OrderOutcome::InProgress => {
                load.stage = Stage::Loading;
                load.next_due = now + QUERY_INTERVAL;
            }
            OrderOutcome::Superseded | OrderOutcome::Failed => {}
        }
        steps
    }

    /// Handles a server's report of the version that it has loaded.
    pub fn handle_report(&mut self, server: &str, model: &str, version: u64) -> Vec<Step> {
        let mut steps = Vec::new();
        let load = self.loads.get(server);
        if load.is_some_and(|load| &*load.model == model && version >= load.version) {
            self.release(server, true, &mut steps);
        }
        steps
    }

    /// True if an order with this fencing token may be sent now.
    pub fn may_send_order(&self, fencing_token: u64) -> bool {
        self.fencing_token == Some(fencing_token)
    }
}

/// The version of a model according to the server's registration; `None` if it does not serve the model.
fn registered_version(server: &Registration, model: &str) -> Option<u64> {
    server.models.iter().find(|loaded| &*loaded.model == model).map(|loaded| loaded.version)
}
