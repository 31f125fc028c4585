//! The servers, services and stores that the engine knows, and the compact rows that a choice reads of each server.

use std::collections::HashMap;
use std::sync::Arc;

use gradepaddle::cost::hash;

use crate::api::*;
use crate::budget::RetryBudget;
use crate::load::{Decay, ServerLoad, ServiceAverages, Workload};
use crate::names::Interner;
use crate::pauses::StreamPauses;
use crate::server::{Ejection, Server};
use crate::store::CacheStore;
use crate::version::LoadedVersion;

/// The first holders of kept parts are the stores, then come the servers.
pub(crate) const STORES: u32 = 16;
/// How often Load and the recent means are renewed for all servers.
const TICK: Micros = 20_000;
/// For each so many servers, a tick is as much longer.
const MANY: u64 = 1_000;
/// A server that nothing was sent to counts as never seen for this long.
const NEW: Micros = 1_000_000;
/// Weight of a new request in a service's means.
const LEARN: f64 = 1.0 / 32.0;
/// What a request is taken to read and to stay, in milliseconds, before any has told.
const READ_MS: f64 = 30.0;
const HOLD_MS: f64 = 500.0;
/// Stands for a server that has no place among the rows.
const NOWHERE: u32 = u32::MAX;

/// What a choice reads of a server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) hash: u64,
    pub(crate) barred_until: Micros,
    /// Of the first model; the others are looked up.
    pub(crate) version: Option<u64>,
    pub(crate) model: u32,
    pub(crate) server: u32,
    pub(crate) load: f32,
    pub(crate) running: f32,
    pub(crate) slowed: f32,
    pub(crate) slots: f32,
    pub(crate) tokens: f32,
    pub(crate) speed: f32,
    pub(crate) zone: u16,
    pub(crate) bar: Ejection,
}

/// A service of model servers.
#[derive(Debug)]
pub(crate) struct ServicePool {
    pub(crate) name: Arc<str>,
    pub(crate) spec: ModelService,
    /// One for each server that is ready or lost.
    pub(crate) rows: Vec<Candidate>,
    pub(crate) common: ServiceAverages,
    /// Mean Load of the servers that were seen.
    pub(crate) mean_load: f64,
    /// The tightest aim of late, in milliseconds.
    pub(crate) tightest_ms: f64,
    /// What reading does to the streams that run beside it.
    pub(crate) pauses: StreamPauses,
    /// The versions that its servers have, by model.
    pub(crate) versions: Vec<(u32, u64)>,
    stale: bool,
    ticked: Micros,
    pub(crate) budget: RetryBudget,
}

impl ServicePool {
    /// Learns what its requests are like.
    pub(crate) fn learn_request(&mut self, aim_ms: f64, read_ms: f64, tokens: f64) {
        let near = |mean: &mut f64, x: f64| *mean += (x - *mean) * LEARN;
        near(&mut self.common.read_ms, read_ms);
        near(&mut self.common.tokens, tokens);
        // A tighter aim counts at once, and is forgotten slowly.
        self.tightest_ms = aim_ms.min(self.tightest_ms + (aim_ms - self.tightest_ms).max(0.0) * LEARN / 8.0);
    }

    pub(crate) fn learn_hold(&mut self, hold_ms: f64) {
        self.common.hold_ms += (hold_ms - self.common.hold_ms) * LEARN;
    }
}

/// All that is known of servers, services and stores.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) servers: Vec<Server>,
    ids: HashMap<Arc<str>, u32>,
    hashes: HashMap<u64, u32>,
    free: Vec<u32>,
    pub(crate) services: Vec<ServicePool>,
    service_numbers: HashMap<Arc<str>, u32>,
    pub(crate) stores: Vec<CacheStore>,
    pub(crate) zones: Interner,
    pub(crate) models: Interner,
    balancers: usize,
    balancers_since: Micros,
    retry: (f64, f64, Micros),
}

impl Fleet {
    pub(crate) fn new(config: &PlacementConfig) -> Fleet {
        let retry = (config.retry_ratio, config.retry_slack, config.retry_window);
        Fleet { balancers: 1, retry, ..Fleet::default() }
    }

    pub(crate) fn find(&self, id: &str) -> Option<u32> {
        self.ids.get(id).copied()
    }

    pub(crate) fn ids(&self) -> impl Iterator<Item = u32> + '_ {
        self.ids.values().copied()
    }

    /// The server of an attempt, unless its place went to another since.
    pub(crate) fn at(&mut self, server: u32, life: u32) -> Option<&mut Server> {
        self.servers.get_mut(server as usize).filter(|s| s.life == life)
    }

    pub(crate) fn service(&self, name: &str) -> Option<usize> {
        self.service_numbers.get(name).map(|number| *number as usize)
    }

    pub(crate) fn service_or_new(&mut self, name: &str) -> usize {
        if let Some(known) = self.service(name) {
            return known;
        }
        let name: Arc<str> = Arc::from(name);
        let (ratio, slack, window) = self.retry;
        let mut budget = RetryBudget::new(ratio, slack, window);
        budget.set_balancer_count(0, self.balancers);
        let others = self.balancers.saturating_sub(1) as f64;
        self.services.push(ServicePool {
            spec: ModelService::builder().name(name.clone()).build(),
            name: name.clone(),
            rows: Vec::new(),
            common: ServiceAverages {
                others,
                read_ms: READ_MS,
                hold_ms: HOLD_MS,
                ..ServiceAverages::default()
            },
            mean_load: 0.0,
            tightest_ms: f64::INFINITY,
            pauses: StreamPauses::default(),
            versions: Vec::new(),
            stale: false,
            ticked: 0,
            budget,
        });
        self.service_numbers.insert(name, self.services.len() as u32 - 1);
        self.services.len() - 1
    }

    pub(crate) fn set_balancer_count(&mut self, count: usize) {
        self.balancers = count.max(1);
        for service in &mut self.services {
            service.common.others = self.balancers.saturating_sub(1) as f64;
            service.budget.set_balancer_count(self.balancers_since, self.balancers);
        }
    }

    /// So many of the other balancers tell what they have in flight.
    pub(crate) fn set_told_by(&mut self, count: usize) {
        for service in &mut self.services {
            service.common.told_by = (count as f64).min(service.common.others);
        }
    }

    /// The server with this hash of its id.
    pub(crate) fn by_hash(&self, hash: u64) -> Option<u32> {
        self.hashes.get(&hash).copied()
    }

    /// The store with this hash of its name.
    pub(crate) fn store_by_hash(&self, name: u64) -> Option<u32> {
        let at = self.stores.iter().position(|store| hash(&store.spec.name) == name)?;
        Some(at as u32)
    }

    /// The latest time that was heard of, for what is told without one.
    pub(crate) fn pass(&mut self, now: Micros) {
        self.balancers_since = self.balancers_since.max(now);
    }

    /// Inserts or updates a server; its place, and whether it is new.
    pub(crate) fn set(&mut self, now: Micros, entry: ServerEntry) -> (u32, bool) {
        let service = self.service_or_new(&entry.service) as u32;
        let zone = self.zones.number(&entry.zone) as u16;
        let models: Vec<(u32, u64)> =
            entry.models.iter().map(|m| (self.models.number(&m.model), m.version)).collect();
        let known = self.find(&entry.id);
        let at = known.unwrap_or_else(|| self.place(now, &entry, service, zone));
        let server = &mut self.servers[at as usize];
        if server.service != service {
            self.unseat(at);
        }
        let server = &mut self.servers[at as usize];
        (server.service, server.address, server.zone) = (service, entry.address, zone);
        (server.slots, server.state) = (entry.slots, entry.state);
        server.warm_at = now + entry.warmup_left;
        for (model, version) in models {
            self.observe(at, model, version);
        }
        self.seat(now, at);
        (at, known.is_none())
    }

    fn place(&mut self, now: Micros, entry: &ServerEntry, service: u32, zone: u16) -> u32 {
        let at = self.free.pop().unwrap_or(self.servers.len() as u32);
        let life = self.servers.get(at as usize).map_or(0, |s| s.life + 1);
        let server = Server {
            id: entry.id.clone(),
            service,
            address: entry.address,
            zone,
            slots: entry.slots,
            state: entry.state,
            life,
            hash: hash(&entry.id),
            weights: Vec::new(),
            load: ServerLoad::default(),
            seen: false,
            since: now,
            bar: Ejection::None,
            barred_until: 0,
            suspicion: 0,
            closings: 0,
            suspect_since: 0,
            warm_at: 0,
            moving_until: 0,
            heard: None,
            row: NOWHERE,
        };
        match self.servers.get_mut(at as usize) {
            Some(place) => *place = server,
            None => self.servers.push(server),
        }
        self.ids.insert(entry.id.clone(), at);
        self.hashes.insert(hash(&entry.id), at);
        at
    }

    /// Forgets a server; its former place.
    pub(crate) fn remove(&mut self, id: &str) -> Option<u32> {
        let at = self.ids.remove(id)?;
        self.hashes.remove(&hash(id));
        self.unseat(at);
        let server = &mut self.servers[at as usize];
        server.state = ServerState::Gone;
        server.life += 1;
        self.free.push(at);
        Some(at)
    }

    /// A server has this version of a model.
    pub(crate) fn observe(&mut self, at: u32, model: u32, version: u64) {
        let server = &mut self.servers[at as usize];
        let news = match server.weights.iter_mut().find(|w| w.model == model) {
            Some(known) => known.observe(version),
            None => {
                server.weights.push(LoadedVersion::new(model, version));
                true
            }
        };
        if news {
            self.services[server.service as usize].stale = true;
        }
    }

    pub(crate) fn deny(&mut self, at: u32, model: u32, version: u64) {
        let server = &mut self.servers[at as usize];
        server.weights.iter_mut().filter(|w| w.model == model).for_each(|w| w.deny(version));
        self.services[server.service as usize].stale = true;
    }

    fn unseat(&mut self, at: u32) {
        let server = &mut self.servers[at as usize];
        let row = std::mem::replace(&mut server.row, NOWHERE);
        if row == NOWHERE {
            return;
        }
        let service = &mut self.services[server.service as usize];
        service.rows.swap_remove(row as usize);
        service.stale = true;
        if let Some(moved) = service.rows.get(row as usize) {
            self.servers[moved.server as usize].row = row;
        }
    }

    /// Gives a server its row if it may be chosen at all, takes it if not, and renews it.
    pub(crate) fn seat(&mut self, now: Micros, at: u32) {
        let server = &self.servers[at as usize];
        if !matches!(server.state, ServerState::Ready | ServerState::Lost) {
            return self.unseat(at);
        }
        let service = &mut self.services[server.service as usize];
        let row = row(now, at, server, service);
        if server.row == NOWHERE {
            service.stale = true;
            self.servers[at as usize].row = service.rows.len() as u32;
            service.rows.push(row);
        } else {
            service.rows[server.row as usize] = row;
        }
    }

    /// The row of a server.
    pub(crate) fn row_of(&self, server: u32) -> Option<usize> {
        let row = self.servers[server as usize].row;
        (row != NOWHERE).then_some(row as usize)
    }

    /// Renews what time changes, for all servers of a service, once in a tick.
    pub(crate) fn refresh(&mut self, now: Micros, service: usize) {
        let rows = self.services[service].rows.len() as u64;
        let due = self.services[service].ticked + TICK * (1 + rows / MANY);
        if self.services[service].stale {
            self.list_versions(service);
        }
        if now >= due {
            self.tick(now, service);
        }
    }

    fn tick(&mut self, now: Micros, service: usize) {
        let service = &mut self.services[service];
        let tick = Decay::over(now.saturating_sub(service.ticked));
        service.ticked = now;
        let (mut sum, mut load, mut seen) = (Workload::default(), 0.0, 0.0);
        for row in &service.rows {
            let server = &mut self.servers[row.server as usize];
            sum = sum.add(server.load.tick(now, tick));
            if server.seen {
                (load, seen) = (load + f64::from(row.load), seen + 1.0);
            }
        }
        service.common.usual = sum.times(1.0 / service.rows.len().max(1) as f64);
        service.mean_load = if seen > 0.0 { load / seen } else { 0.0 };
        for at in 0..service.rows.len() {
            let server = service.rows[at].server;
            service.rows[at] = row(now, server, &self.servers[server as usize], service);
        }
    }

    fn list_versions(&mut self, service: usize) {
        let service = &mut self.services[service];
        service.stale = false;
        service.versions.clear();
        for row in &service.rows {
            for weights in &self.servers[row.server as usize].weights {
                let Some(version) = weights.version else { continue };
                let known = (weights.model, version);
                if !service.versions.contains(&known) {
                    service.versions.push(known);
                }
            }
        }
    }
}

fn row(now: Micros, at: u32, server: &Server, service: &ServicePool) -> Candidate {
    let estimate = server.load.estimate(now, server.slots, &service.common);
    // One that was never seen counts at the mean Load of the others. Not for ever: among jammed ones it would never
    // be chosen.
    let new = !server.seen && now < server.since + NEW;
    let load = if new { service.mean_load } else { estimate.load_ms };
    let first = server.weights.first();
    let lost = server.state != ServerState::Ready;
    Candidate {
        hash: server.hash,
        barred_until: if lost { Micros::MAX } else { server.barred_until },
        version: first.and_then(|w| w.version),
        model: first.map_or(u32::MAX, |w| w.model),
        server: at,
        load: load as f32,
        running: estimate.running as f32,
        slowed: estimate.slowed as f32,
        slots: server.slots.max(1) as f32,
        tokens: estimate.tokens as f32,
        speed: server.speed(now) as f32,
        zone: server.zone,
        bar: if lost { Ejection::Lost } else { server.bar },
    }
}
