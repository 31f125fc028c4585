//! The [`Placer`], the interface that the data plane calls. Each submodule implements one group of its methods.

mod attempts;
mod cache_events;
mod cost_terms;
mod peers;
mod registry;
mod retries;
mod status;
mod transfers;
mod versions;

use std::collections::HashMap;
use std::sync::Arc;

use gradepaddle::cost::hash;

use crate::attempt::Attempt;
use crate::cache_event::{StoreUpdate, chunk_key};
use crate::cache_holder::CacheHolder;
use crate::cache_salt::{CacheSalts, single_use_salt};
use crate::config::PlacementConfig;
use crate::fleet::Fleet;
use crate::key_table::{KeyServer, KeyTable};
use crate::kv_transfer::{TransferNeed, TransferSource};
use crate::outcome::{Placement, Rejection};
use crate::peer_loads::ReportingPeers;
use crate::prefill_report::PendingPrefillReports;
use crate::prefix_index::{PrefixCacheIndex, VersionPrefixes};
use crate::prompt::{shared_prefix, token_count};
use crate::request::PlacementRequest;
use crate::selection::{CostTerms, Selection, select};
use crate::status::Counters;
use crate::time::{MICROS_PER_MS, Micros, from_ms};
use crate::version_deadline::VersionDeadlines;

/// A server with more than this share of a prefix counts as having it cached.
const CACHED_SHARE: f64 = 0.5;
/// The `retry_after` of a rejection if no server is ready.
const NO_SERVER_RETRY_AFTER: Micros = 300_000;
/// The bounds of the `retry_after` of a rejection if all servers are full.
const MIN_OVERLOAD_RETRY_AFTER: Micros = 50_000;
const MAX_OVERLOAD_RETRY_AFTER: Micros = 2_000_000;

/// Selects the model server of each request.
#[derive(Debug)]
pub struct Placer {
    config: PlacementConfig,
    own_zone: u16,
    fleet: Fleet,
    keys: KeyTable,
    prefix_index: PrefixCacheIndex,
    versions: VersionDeadlines,
    salts: CacheSalts,
    attempts: HashMap<u64, Attempt>,
    peers: ReportingPeers,
    prefill_reports: PendingPrefillReports,
    store_updates: Vec<StoreUpdate>,
    /// The number of attempts so far, which is also the id of the latest one.
    attempt_count: u64,
    /// For each candidate, the share of the shared prefix that it is believed to have cached. A field only so that selections
    /// reuse its memory.
    cached_shares: Vec<f32>,
    counters: Counters,
}

/// The inputs of a selection.
struct SelectionInputs {
    terms: CostTerms,
    /// The prefixes of the prompt that holders have cached, for each version that may be used.
    prefixes: Vec<VersionPrefixes>,
}

/// The salt of a request at the server that was selected for it.
struct SelectedSalt {
    text: Arc<str>,
    /// Whether other requests get the same salt, so that cached chunks can be found again.
    is_reusable: bool,
}

/// An attempt that is about to be sent.
struct NewAttempt<'a> {
    service: usize,
    request: &'a PlacementRequest<'a>,
    selection: &'a Selection,
    plan: PrefillPlan,
    /// The duration of the KV transfer that precedes its prefill, if there is one.
    transfer_ms: Option<f64>,
    key: u64,
    salt_hash: u64,
}

/// How the selected server obtains the tokens of a prompt.
#[derive(Clone, Copy, Debug)]
struct PrefillPlan {
    /// Tokens of the shared prefix.
    shared_tokens: u32,
    /// Those of them that are neither cached there nor transferred.
    computed_tokens: u32,
    /// Tokens of the request's own chunk.
    own_tokens: u32,
    /// The key of the last shared chunk under its salt; 0 if there is none.
    last_chunk_key: u64,
}

impl PrefillPlan {
    fn new(
        request: &PlacementRequest<'_>,
        need: &TransferNeed,
        source: Option<&TransferSource>,
        salt: &str,
    ) -> PrefillPlan {
        let shared_tokens = need.shared_tokens;
        let transferred = source.map_or(0, |source| source.gained_tokens.min(shared_tokens));
        let last = shared_prefix(request).last();
        PrefillPlan {
            shared_tokens,
            computed_tokens: need.missing_tokens() - transferred,
            own_tokens: request.prompt_tokens.saturating_sub(shared_tokens),
            last_chunk_key: last.map_or(0, |chunk| chunk_key(salt, chunk.id)),
        }
    }
}

impl Placer {
    /// Creates a placer without servers.
    pub fn new(config: PlacementConfig) -> Placer {
        let mut fleet = Fleet::new(&config);
        let own_zone = fleet.zones.intern(&config.own_zone) as u16;
        Placer {
            own_zone,
            fleet,
            keys: KeyTable::new(config.keys_per_generation),
            prefix_index: PrefixCacheIndex::new(config.max_index_entries),
            versions: VersionDeadlines::default(),
            salts: CacheSalts::default(),
            attempts: HashMap::new(),
            peers: ReportingPeers::default(),
            prefill_reports: PendingPrefillReports::default(),
            store_updates: Vec::new(),
            attempt_count: 0,
            cached_shares: Vec::new(),
            counters: Counters::default(),
            config,
        }
    }

    /// Selects a server and counts the attempt as in flight. Servers in `tried`, which earlier attempts of the request were
    /// sent to, are selected again only if no other one is left and they are not ejected.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if no server may be used, or all are full beyond the request's deadline.
    pub fn place(
        &mut self,
        now: Micros,
        request: &PlacementRequest<'_>,
        tried: &[Arc<str>],
    ) -> Result<Placement, Rejection> {
        self.fleet.observe_time(now);
        let Some(service) = self.fleet.service_index(request.service) else {
            return Err(self.reject_without_server());
        };
        self.expire_peers(now);
        self.fleet.refresh_service(now, service);
        let tried: Vec<u32> = tried.iter().filter_map(|id| self.fleet.server_index(id)).collect();
        let inputs = self.selection_inputs(now, service, request);
        let candidates = &self.fleet.services[service].candidates;
        let selection = select(&inputs.terms, candidates, &self.cached_shares, &self.fleet.servers, &tried);
        let Some(selection) = selection else { return Err(self.reject_without_server()) };
        if selection.all_full && selection.least_load_ms * MICROS_PER_MS > request.time_left as f64 {
            return Err(self.reject_overloaded(&selection));
        }
        Ok(self.place_at(now, service, request, &inputs, selection))
    }

    fn reject_without_server(&mut self) -> Rejection {
        self.counters.rejected_without_server += 1;
        Rejection::NoServer { retry_after: NO_SERVER_RETRY_AFTER }
    }

    fn reject_overloaded(&mut self, selection: &Selection) -> Rejection {
        self.counters.rejected_overloaded += 1;
        let half_wait = from_ms(selection.least_load_ms) / 2;
        Rejection::Overloaded {
            retry_after: half_wait.clamp(MIN_OVERLOAD_RETRY_AFTER, MAX_OVERLOAD_RETRY_AFTER),
        }
    }

    /// Decides on transfers for the selected server, and registers the attempt.
    fn place_at(
        &mut self,
        now: Micros,
        service: usize,
        request: &PlacementRequest<'_>,
        inputs: &SelectionInputs,
        selection: Selection,
    ) -> Placement {
        let server = self.fleet.services[service].candidates[selection.candidate].server;
        let salt = self.salt_for(request, selection.version);
        let need = self.transfer_need(server, request, &selection, hash(&salt.text));
        let source =
            if salt.is_reusable { self.find_source(now, service, inputs, &selection, need) } else { None };
        if let Some(source) = &source {
            self.fleet.record_transfer(now, source);
        }
        let plan = PrefillPlan::new(request, &need, source.as_ref(), &salt.text);
        let save = if salt.is_reusable { self.plan_save(now, inputs, selection.version, plan) } else { None };
        self.count_placement(&selection, &salt, source.as_ref(), save.is_some());
        let attempt = self.begin_attempt(
            now,
            &NewAttempt {
                service,
                request,
                selection: &selection,
                plan,
                transfer_ms: source.map(|source| source.duration_ms),
                key: inputs.terms.key,
                salt_hash: hash(&salt.text),
            },
        );
        let server = self.fleet.server_ref(server);
        self.keys.insert(inputs.terms.key, KeyServer { server, version: selection.version, last_used: now });
        let selected = &self.fleet.servers[server.index as usize];
        Placement {
            attempt,
            server: selected.id.clone(),
            address: selected.address,
            fetch: source.map(|source| source.address),
            save: save.map(|store| self.fleet.stores[store as usize].spec.address),
            expect_version: selection.version,
            salt: Some(salt.text),
        }
    }

    /// Returns the salt for the model and version. If either is unknown, the salt is used only once, so that chunks cached
    /// under it are never reused.
    fn salt_for(&mut self, request: &PlacementRequest<'_>, version: Option<u64>) -> SelectedSalt {
        match (request.model, version) {
            (Some(model), Some(version)) => {
                SelectedSalt { text: self.salts.salt(model, version, &request.isolation), is_reusable: true }
            }
            _ => SelectedSalt {
                text: single_use_salt(self.config.seed, self.attempt_count),
                is_reusable: false,
            },
        }
    }

    fn transfer_need(
        &self,
        server: u32,
        request: &PlacementRequest<'_>,
        selection: &Selection,
        salt_hash: u64,
    ) -> TransferNeed {
        let shared = shared_prefix(request);
        let shared_tokens = token_count(shared);
        let indexed = self.prefix_index.prefix_tokens(CacheHolder::server(server), salt_hash, shared);
        let believed = (selection.cached_share * f64::from(shared_tokens)) as u32;
        TransferNeed { server, shared_tokens, cached_tokens: indexed.min(shared_tokens).max(believed) }
    }

    fn count_placement(
        &mut self,
        selection: &Selection,
        salt: &SelectedSalt,
        source: Option<&TransferSource>,
        is_saved: bool,
    ) {
        let counters = &mut self.counters;
        counters.placements += 1;
        counters.cached += u64::from(selection.cached_share >= CACHED_SHARE);
        counters.all_overloaded += u64::from(selection.all_overloaded);
        counters.unknown_versions += u64::from(!salt.is_reusable);
        counters.fetches += u64::from(source.is_some());
        counters.guessed_fetches += u64::from(source.is_some_and(|source| source.gained_tokens == 0));
        counters.saves += u64::from(is_saved);
    }
}
