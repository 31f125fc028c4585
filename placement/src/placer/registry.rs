//! Updates of servers, services and stores from the registry and the configuration.

use super::Placer;
use crate::cache_holder::{CacheHolder, MAX_STORES};
use crate::cache_store::CacheStore;
use crate::endpoint::{CacheStoreService, ServerEntry, ServerState, ServiceSpec};
use crate::time::Micros;

impl Placer {
    /// Inserts or updates a server; one that is gone is removed.
    pub fn update_server(&mut self, now: Micros, entry: ServerEntry) {
        if entry.state == ServerState::Gone {
            return self.remove_server(now, &entry.id);
        }
        let server = self.fleet.upsert_server(now, &entry);
        if server.is_new {
            self.set_server_capacity(now, server.index);
        }
    }

    /// Removes a server.
    pub fn remove_server(&mut self, _now: Micros, id: &str) {
        if let Some(index) = self.fleet.remove_server(id) {
            self.prefix_index.forget_holder(CacheHolder::server(index));
        }
    }

    /// Applies the services and stores of the configuration in force.
    pub fn set_services(&mut self, now: Micros, services: Vec<ServiceSpec>) {
        let mut stores = Vec::new();
        for service in services {
            match service {
                ServiceSpec::Model(spec) => {
                    let index = self.fleet.service_index_or_insert(&spec.name);
                    self.fleet.services[index].spec = spec;
                }
                ServiceSpec::Store(spec) => stores.push(spec),
            }
        }
        stores.sort_by(|a, b| a.name.cmp(&b.name));
        stores.truncate(MAX_STORES as usize);
        self.set_stores(now, stores);
        for index in self.fleet.server_indices().collect::<Vec<_>>() {
            self.set_server_capacity(now, index);
            self.fleet.refresh_candidate(now, index);
        }
    }

    /// Sets how many balancers share the servers.
    pub fn set_balancer_count(&mut self, count: usize) {
        self.fleet.set_balancer_count(count);
    }

    /// Whether a request that was placed on this server shortly before may still be sent to it.
    pub fn accepts_requests(&self, server: &str) -> bool {
        let index = self.fleet.server_index(server);
        index.is_some_and(|index| self.fleet.servers[index as usize].is_selectable())
    }

    /// Leaves a server out of selections for this long, as long as others are left; 0 ends the pause.
    pub fn pause_server(&mut self, now: Micros, server: &str, span: Micros) {
        let Some(index) = self.fleet.server_index(server) else { return };
        self.fleet.servers[index as usize].ejection.pause(now, span);
        self.fleet.refresh_candidate(now, index);
    }

    fn set_server_capacity(&mut self, now: Micros, index: u32) {
        let service = self.fleet.servers[index as usize].service;
        let capacity = self.fleet.services[service as usize].spec.cache_tokens;
        self.prefix_index.set_capacity(now, CacheHolder::server(index), capacity);
    }

    /// Replaces the stores. They are identified by their index: if the list changes, the index entries of all stores are
    /// removed.
    fn set_stores(&mut self, now: Micros, specs: Vec<CacheStoreService>) {
        let is_same = |store: &CacheStore, spec: &CacheStoreService| {
            store.spec.name == spec.name && store.spec.address == spec.address
        };
        let stores = &self.fleet.stores;
        let unchanged = stores.len() == specs.len()
            && stores.iter().zip(&specs).all(|(store, spec)| is_same(store, spec));
        if !unchanged {
            self.fleet.stores.clear();
            CacheHolder::all_stores().for_each(|store| self.prefix_index.forget_holder(store));
        }
        for (index, spec) in specs.into_iter().enumerate() {
            let zone = self.fleet.zones.intern(&spec.zone) as u16;
            self.prefix_index.set_capacity(now, CacheHolder::store(index as u32), spec.cache_tokens);
            match self.fleet.stores.get_mut(index) {
                Some(store) => {
                    store.spec = spec;
                    store.zone = zone;
                }
                None => self.fleet.stores.push(CacheStore::new(spec, zone)),
            }
        }
    }
}
