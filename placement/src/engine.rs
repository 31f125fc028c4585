//! The engine: what the data plane calls.

use std::collections::HashMap;
use std::sync::Arc;

use gradepaddle::cost::hash;

use crate::api::*;
use crate::attempts::Attempt;
use crate::choice::{CostTerms, Selection, pick};
use crate::fleet::{Fleet, STORES};
use crate::kept::{CachedPrefix, PrefixCacheIndex};
use crate::kept_changes::{StoreUpdate, chunk_key};
use crate::keys::{KeyHolder, KeyTable};
use crate::moves::{TransferNeed, TransferSource};
use crate::prompt::{CacheSalts, lone_salt, shared};
use crate::sharing::ReportingPeers;
use crate::sightings::PendingPrefillReports;
use crate::sources::PrefillPlan;
use crate::status::Counters;
use crate::store::CacheStore;
use crate::version::VersionDeadlines;

/// A server that is warm by more than this is a source.
pub(crate) const SOURCE_WARM: f64 = 0.5;
/// When to come back where no server is ready; the shortest and longest pause where all are full.
const NO_SERVER: Micros = 300_000;
const PAUSE: [Micros; 2] = [50_000, 2_000_000];

/// Which model server gets a generation. No I/O, no clock: equal settings and calls give equal choices.
#[derive(Debug)]
pub struct Placer {
    pub(crate) config: PlacementConfig,
    pub(crate) own_zone: u16,
    pub(crate) fleet: Fleet,
    pub(crate) keys: KeyTable,
    pub(crate) kept: PrefixCacheIndex,
    pub(crate) versions: VersionDeadlines,
    pub(crate) salts: CacheSalts,
    pub(crate) attempts: HashMap<u64, Attempt>,
    pub(crate) tellers: ReportingPeers,
    pub(crate) sightings: PendingPrefillReports,
    pub(crate) store_changes: Vec<StoreUpdate>,
    pub(crate) made: u64,
    pub(crate) warm: Vec<f32>,
    pub(crate) counters: Counters,
}

impl Placer {
    /// An engine that knows no server yet.
    pub fn new(config: PlacementConfig) -> Placer {
        let mut fleet = Fleet::new(&config);
        let own_zone = fleet.zones.number(&config.own_zone) as u16;
        Placer {
            own_zone,
            fleet,
            keys: KeyTable::new(config.keys),
            kept: PrefixCacheIndex::new(config.kept),
            versions: VersionDeadlines::default(),
            salts: CacheSalts::default(),
            attempts: HashMap::new(),
            tellers: ReportingPeers::default(),
            sightings: PendingPrefillReports::default(),
            store_changes: Vec::new(),
            made: 0,
            warm: Vec::new(),
            counters: Counters::default(),
            config,
        }
    }

    /// Inserts or updates a server; one that is gone is forgotten.
    pub fn update_server(&mut self, now: Micros, entry: ServerEntry) {
        if entry.state == ServerState::Gone {
            return self.remove_server(now, &entry.id);
        }
        let (at, new) = self.fleet.set(now, entry);
        if new {
            let room =
                self.fleet.services[self.fleet.servers[at as usize].service as usize].spec.cache_tokens;
            self.kept.set_room(now, at + STORES, room);
        }
    }

    /// Forgets a server.
    pub fn remove_server(&mut self, _now: Micros, id: &str) {
        if let Some(at) = self.fleet.remove(id) {
            self.kept.forget(at + STORES);
        }
    }

    /// Takes over the services and stores of the configuration in force.
    pub fn set_services(&mut self, now: Micros, services: Vec<ServiceSpec>) {
        let mut stores = Vec::new();
        for service in services {
            match service {
                ServiceSpec::Model(spec) => {
                    let at = self.fleet.service_or_new(&spec.name);
                    self.fleet.services[at].spec = spec;
                }
                ServiceSpec::Store(spec) => stores.push(spec),
            }
        }
        stores.sort_by(|a, b| a.name.cmp(&b.name));
        stores.truncate(STORES as usize);
        self.set_stores(now, stores);
        for at in self.fleet.ids().collect::<Vec<_>>() {
            let room =
                self.fleet.services[self.fleet.servers[at as usize].service as usize].spec.cache_tokens;
            self.kept.set_room(now, at + STORES, room);
            self.fleet.seat(now, at);
        }
    }

    fn set_stores(&mut self, now: Micros, specs: Vec<CacheStoreService>) {
        let same = self.fleet.stores.len() == specs.len()
            && self
                .fleet
                .stores
                .iter()
                .zip(&specs)
                .all(|(a, b)| a.spec.name == b.name && a.spec.address == b.address);
        if !same {
            self.fleet.stores.clear();
            (0..STORES).for_each(|holder| self.kept.forget(holder));
        }
        for (at, spec) in specs.into_iter().enumerate() {
            let zone = self.fleet.zones.number(&spec.zone) as u16;
            self.kept.set_room(now, at as u32, spec.cache_tokens);
            match self.fleet.stores.get_mut(at) {
                Some(store) => (store.spec, store.zone) = (spec, zone),
                None => self.fleet.stores.push(CacheStore::new(spec, zone)),
            }
        }
    }

    /// How many balancers share the servers.
    pub fn set_balancer_count(&mut self, count: usize) {
        self.fleet.set_balancer_count(count);
    }

    /// Newer weights were named: from `binds_at` on nothing older may begin. Servers that have them are preferred from
    /// now on; those that don't are left out where a request could not be sure to begin in time.
    pub fn announce_version(&mut self, binds_at: Micros, model: &str, version: u64) {
        self.versions.name(model, version, binds_at);
    }

    /// Chooses a server and counts the attempt as in flight. Servers that were `tried` are chosen again only if no
    /// other is left and nothing speaks against them.
    pub fn place(
        &mut self,
        now: Micros,
        request: &PlacementRequest<'_>,
        tried: &[Arc<str>],
    ) -> Result<Placement, Rejection> {
        self.fleet.pass(now);
        let Some(service) = self.fleet.service(request.service) else { return self.no_server() };
        self.forget_silent(now);
        self.fleet.refresh(now, service);
        let tried: Vec<u32> = tried.iter().filter_map(|id| self.fleet.find(id)).collect();
        let (terms, heads) = self.terms(now, service, request);
        let rows = &self.fleet.services[service].rows;
        let picked = pick(&terms, rows, &self.warm, &self.fleet.servers, &tried);
        let Some(pick) = picked else { return self.no_server() };
        if pick.full && pick.least_ms * 1e3 > request.time_left as f64 {
            self.counters.overloaded += 1;
            let retry_after = ((pick.least_ms * 1e3) as Micros / 2).clamp(PAUSE[0], PAUSE[1]);
            return Err(Rejection::Overloaded { retry_after });
        }
        Ok(self.send(now, service, request, &terms, pick, &heads))
    }

    fn no_server(&mut self) -> Result<Placement, Rejection> {
        self.counters.no_server += 1;
        Err(Rejection::NoServer { retry_after: NO_SERVER })
    }

    fn send(
        &mut self,
        now: Micros,
        service: usize,
        request: &PlacementRequest<'_>,
        terms: &CostTerms,
        pick: Selection,
        heads: &[(u64, Vec<CachedPrefix>)],
    ) -> Placement {
        let server = self.fleet.services[service].rows[pick.row].server;
        let tokens: u32 = shared(request).iter().map(|part| part.tokens).sum();
        let (salt, found) = match (request.model, pick.version) {
            (Some(model), Some(version)) => (self.salts.of(model, version, &request.wall), true),
            _ => (lone_salt(self.config.seed, self.made), false),
        };
        let known = self.kept.head_of(server + STORES, hash(&salt), shared(request));
        let held = known.min(tokens).max((pick.warm * f64::from(tokens)) as u32);
        let need = TransferNeed { server, shared: tokens, held };
        let source = if found { self.find_source(now, service, terms, &pick, need, heads) } else { None };
        if let Some(source) = &source {
            self.fleet.begin_move(now, source);
        }
        let reads = tokens - held.min(tokens) - source.map_or(0, |s| s.gains.min(tokens));
        let last = shared(request).last().map_or(0, |part| chunk_key(&salt, part.id));
        let own = request.tokens_in.saturating_sub(tokens);
        let prompt = PrefillPlan { shared: tokens, reads, own, last };
        let save = if found { self.save(now, terms.key, pick.version, prompt, heads) } else { None };
        self.note(&pick, found, &source, save.is_some());
        let attempt =
            self.begin(now, service, server, request, &pick, reads, source, (terms.key, hash(&salt)));
        let chosen = &self.fleet.servers[server as usize];
        let member = KeyHolder { server, life: chosen.life, version: pick.version, used: now };
        let choice = Placement {
            attempt,
            server: chosen.id.clone(),
            address: chosen.address,
            fetch: source.map(|source| source.address),
            save: save.map(|store| self.fleet.stores[store as usize].spec.address),
            expect_version: pick.version,
            salt: Some(salt),
        };
        self.keys.join(terms.key, member);
        choice
    }

    fn note(&mut self, pick: &Selection, found: bool, source: &Option<TransferSource>, saves: bool) {
        let count = &mut self.counters;
        count.choices += 1;
        count.warm += u64::from(pick.warm >= SOURCE_WARM);
        count.infinite += u64::from(pick.infinite);
        count.unknown_versions += u64::from(!found);
        count.fetches += u64::from(source.is_some());
        count.guesses += u64::from(source.is_some_and(|source| source.gains == 0));
        count.saves += u64::from(saves);
    }

    /// Whether this node may send a request of the service to another server.
    pub fn may_retry(&mut self, now: Micros, service: &str) -> bool {
        self.fleet.pass(now);
        let service = self.fleet.service_or_new(service);
        self.fleet.services[service].budget.may_retry(now)
    }

    /// A request of a client for the service came.
    pub fn record_request(&mut self, now: Micros, service: &str) {
        self.fleet.pass(now);
        let service = self.fleet.service_or_new(service);
        self.fleet.services[service].budget.record_request(now);
    }

    /// A request was sent to another server.
    pub fn record_retry(&mut self, now: Micros, service: &str) {
        let service = self.fleet.service_or_new(service);
        self.fleet.services[service].budget.record_retry(now);
    }
}
