//! The servers, services and cache stores that a placer knows, and the candidates of each service.

use std::collections::HashMap;
use std::sync::Arc;

use gradepaddle::cost::hash;

use crate::cache_store::CacheStore;
use crate::candidate::Candidate;
use crate::config::PlacementConfig;
use crate::endpoint::{ServerEntry, ServerState};
use crate::interner::Interner;
use crate::loaded_version::LoadedVersion;
use crate::retry_budget::RetryBudget;
use crate::server::{Server, ServerRef};
use crate::server_load::Decay;
use crate::service_pool::{ServedVersion, ServicePool};
use crate::time::Micros;
use crate::workload::Workload;

/// The interval at which Load and the recent means are updated for all servers of a service.
const UPDATE_INTERVAL: Micros = 20_000;
/// The interval is extended by `UPDATE_INTERVAL` for every this many servers of the service.
const SERVERS_PER_INTERVAL: u64 = 1_000;

/// The parameters of each service's retry budget.
#[derive(Clone, Copy, Debug, Default)]
struct RetryBudgetParams {
    ratio: f64,
    slack: f64,
    window: Micros,
}

/// A server that was inserted or updated.
pub(crate) struct UpsertedServer {
    pub(crate) index: u32,
    pub(crate) is_new: bool,
}

/// All that is known of servers, services and stores.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    pub(crate) servers: Vec<Server>,
    indices_by_id: HashMap<Arc<str>, u32>,
    indices_by_hash: HashMap<u64, u32>,
    free_indices: Vec<u32>,
    pub(crate) services: Vec<ServicePool>,
    service_indices: HashMap<Arc<str>, u32>,
    pub(crate) stores: Vec<CacheStore>,
    pub(crate) zones: Interner,
    pub(crate) models: Interner,
    balancers: usize,
    /// The latest time of any call, for changes that come without a time.
    latest_time: Micros,
    retry_budget: RetryBudgetParams,
}

impl Fleet {
    pub(crate) fn new(config: &PlacementConfig) -> Fleet {
        let retry_budget = RetryBudgetParams {
            ratio: config.retry_ratio,
            slack: config.retry_slack,
            window: config.retry_window,
        };
        Fleet { balancers: 1, retry_budget, ..Fleet::default() }
    }

    /// Records the time of a call.
    pub(crate) fn observe_time(&mut self, now: Micros) {
        self.latest_time = self.latest_time.max(now);
    }

    pub(crate) fn server_index(&self, id: &str) -> Option<u32> {
        self.indices_by_id.get(id).copied()
    }

    /// The server with this hash of its id.
    pub(crate) fn server_index_by_hash(&self, hash: u64) -> Option<u32> {
        self.indices_by_hash.get(&hash).copied()
    }

    /// The indices of all servers, in no particular order.
    pub(crate) fn server_indices(&self) -> impl Iterator<Item = u32> + '_ {
        self.indices_by_id.values().copied()
    }

    pub(crate) fn server_ref(&self, index: u32) -> ServerRef {
        ServerRef { index, generation: self.servers[index as usize].generation }
    }

    /// The server, unless it was removed since.
    pub(crate) fn server_mut(&mut self, server: ServerRef) -> Option<&mut Server> {
        self.servers.get_mut(server.index as usize).filter(|known| known.generation == server.generation)
    }

    pub(crate) fn service_index(&self, name: &str) -> Option<usize> {
        self.service_indices.get(name).map(|index| *index as usize)
    }

    /// The index of a service, which is added if it is not known.
    pub(crate) fn service_index_or_insert(&mut self, name: &str) -> usize {
        if let Some(known) = self.service_index(name) {
            return known;
        }
        let name: Arc<str> = Arc::from(name);
        let RetryBudgetParams { ratio, slack, window } = self.retry_budget;
        let mut budget = RetryBudget::new(ratio, slack, window);
        budget.set_balancer_count(0, self.balancers);
        let index = self.services.len();
        self.services.push(ServicePool::new(name.clone(), self.other_balancers(), budget));
        self.service_indices.insert(name, index as u32);
        index
    }

    /// The store with this hash of its name.
    pub(crate) fn store_index_by_hash(&self, name_hash: u64) -> Option<u32> {
        let index = self.stores.iter().position(|store| hash(&store.spec.name) == name_hash)?;
        Some(index as u32)
    }

    fn other_balancers(&self) -> f64 {
        self.balancers.saturating_sub(1) as f64
    }

    pub(crate) fn set_balancer_count(&mut self, count: usize) {
        self.balancers = count.max(1);
        let other_balancers = self.other_balancers();
        for service in &mut self.services {
            service.averages.other_balancers = other_balancers;
            service.retry_budget.set_balancer_count(self.latest_time, self.balancers);
        }
    }

    /// Sets how many of the other balancers report what they have in flight.
    pub(crate) fn set_reporting_peers(&mut self, count: usize) {
        for service in &mut self.services {
            service.averages.reporting_peers = (count as f64).min(service.averages.other_balancers);
        }
    }

    /// Inserts or updates a server.
    pub(crate) fn upsert_server(&mut self, now: Micros, entry: &ServerEntry) -> UpsertedServer {
        let service = self.service_index_or_insert(&entry.service) as u32;
        let zone = self.zones.intern(&entry.zone) as u16;
        let known = self.server_index(&entry.id);
        let index = known.unwrap_or_else(|| self.insert_server(now, entry, service, zone));
        if self.servers[index as usize].service != service {
            self.remove_candidate(index);
        }
        let server = &mut self.servers[index as usize];
        server.service = service;
        server.address = entry.address;
        server.zone = zone;
        server.slots = entry.slots;
        server.state = entry.state;
        server.slow_start_until = now + entry.warmup_left;
        for loaded in &entry.models {
            let model = self.models.intern(&loaded.model);
            self.record_version(index, model, loaded.version);
        }
        self.refresh_candidate(now, index);
        UpsertedServer { index, is_new: known.is_none() }
    }

    fn insert_server(&mut self, now: Micros, entry: &ServerEntry, service: u32, zone: u16) -> u32 {
        let index = self.free_indices.pop().unwrap_or(self.servers.len() as u32);
        let generation = self.servers.get(index as usize).map_or(0, |former| former.generation + 1);
        let server = Server::new(now, entry, service, zone, generation);
        match self.servers.get_mut(index as usize) {
            Some(former) => *former = server,
            None => self.servers.push(server),
        }
        self.indices_by_id.insert(entry.id.clone(), index);
        self.indices_by_hash.insert(hash(&entry.id), index);
        index
    }

    /// Removes a server, and returns its former index.
    pub(crate) fn remove_server(&mut self, id: &str) -> Option<u32> {
        let index = self.indices_by_id.remove(id)?;
        self.indices_by_hash.remove(&hash(id));
        self.remove_candidate(index);
        let server = &mut self.servers[index as usize];
        server.state = ServerState::Gone;
        server.generation += 1;
        self.free_indices.push(index);
        Some(index)
    }

    /// Records that a server has this version of a model.
    pub(crate) fn record_version(&mut self, index: u32, model: u32, version: u64) {
        let server = &mut self.servers[index as usize];
        let changed = match server.loaded_versions.iter_mut().find(|loaded| loaded.model == model) {
            Some(loaded) => loaded.record_report(version),
            None => {
                server.loaded_versions.push(LoadedVersion::new(model, version));
                true
            }
        };
        if changed {
            self.services[server.service as usize].versions_stale = true;
        }
    }

    /// Records that a server denied having this version of a model.
    pub(crate) fn record_version_denial(&mut self, index: u32, model: u32, version: u64) {
        let server = &mut self.servers[index as usize];
        for loaded in server.loaded_versions.iter_mut().filter(|loaded| loaded.model == model) {
            loaded.record_denial(version);
        }
        self.services[server.service as usize].versions_stale = true;
    }

    fn remove_candidate(&mut self, index: u32) {
        let server = &mut self.servers[index as usize];
        let Some(candidate) = server.candidate.take() else { return };
        let service = &mut self.services[server.service as usize];
        service.candidates.swap_remove(candidate as usize);
        service.versions_stale = true;
        if let Some(moved) = service.candidates.get(candidate as usize) {
            self.servers[moved.server as usize].candidate = Some(candidate);
        }
    }

    /// Updates the candidate record of a server, which exists only while the server may be selected at all.
    pub(crate) fn refresh_candidate(&mut self, now: Micros, index: u32) {
        let server = &mut self.servers[index as usize];
        if !server.is_selectable() {
            return self.remove_candidate(index);
        }
        let service = &mut self.services[server.service as usize];
        let candidate = Candidate::new(now, index, server, &service.averages, service.mean_load_ms);
        match server.candidate {
            Some(known) => service.candidates[known as usize] = candidate,
            None => {
                server.candidate = Some(service.candidates.len() as u32);
                service.candidates.push(candidate);
                service.versions_stale = true;
            }
        }
    }

    /// The index of a server among the candidates of its service.
    pub(crate) fn candidate_index(&self, server: u32) -> Option<usize> {
        self.servers[server as usize].candidate.map(|candidate| candidate as usize)
    }

    /// Updates what changes with time for all servers of a service, if the update interval has passed.
    pub(crate) fn refresh_service(&mut self, now: Micros, service: usize) {
        let pool = &self.services[service];
        let servers = pool.candidates.len() as u64;
        let due = pool.updated_at + UPDATE_INTERVAL * (1 + servers / SERVERS_PER_INTERVAL);
        if pool.versions_stale {
            self.rebuild_versions(service);
        }
        if now >= due {
            self.update_means(now, service);
        }
    }

    fn update_means(&mut self, now: Micros, service: usize) {
        let service = &mut self.services[service];
        let decay = Decay::over(now.saturating_sub(service.updated_at));
        service.updated_at = now;
        let mut own_work = Workload::default();
        let (mut load_sum, mut load_count) = (0.0, 0.0);
        for candidate in &service.candidates {
            let server = &mut self.servers[candidate.server as usize];
            own_work = own_work.plus(server.load.update_means(now, decay));
            if server.has_load_data {
                load_sum += f64::from(candidate.load_ms);
                load_count += 1.0;
            }
        }
        service.averages.own_work = own_work.times(1.0 / service.candidates.len().max(1) as f64);
        service.mean_load_ms = if load_count > 0.0 { load_sum / load_count } else { 0.0 };
        for candidate in &mut service.candidates {
            let index = candidate.server;
            let server = &self.servers[index as usize];
            *candidate = Candidate::new(now, index, server, &service.averages, service.mean_load_ms);
        }
    }

    fn rebuild_versions(&mut self, service: usize) {
        let service = &mut self.services[service];
        service.versions_stale = false;
        service.versions.clear();
        for candidate in &service.candidates {
            for loaded in &self.servers[candidate.server as usize].loaded_versions {
                let Some(version) = loaded.version else { continue };
                let served = ServedVersion { model: loaded.model, version };
                if !service.versions.contains(&served) {
                    service.versions.push(served);
                }
            }
        }
    }
}
