//! The inputs of a selection: the share of the shared prefix that each candidate has cached, from the key table and the
//! prefix index, and the terms of the costs.

use gradepaddle::cost::{hash, mix};

use super::{CACHED_SHARE, Placer, SelectionInputs};
use crate::kv_transfer::{miss_ms, prefill_ms};
use crate::prefix_index::VersionPrefixes;
use crate::prompt::{prompt_key, shared_prefix, token_count};
use crate::request::{PlacementRequest, PromptChunk};
use crate::selection::CostTerms;
use crate::server_load::DECODE_STEP_MS;
use crate::time::{Micros, to_ms};
use crate::version_deadline::VersionBounds;

/// LARD's lower load threshold as a share of the tightest latency target: clients do not notice a shorter wait.
const IDLE_SHARE: f64 = 0.03;
/// The cost of a stream that misses its event gap target because of a pause, as a share of the tightest latency target.
const PAUSE_COST_SHARE: f64 = 0.5;
/// The latency target of a request that has none.
const DEFAULT_LATENCY_TARGET: Micros = 1_000_000;
/// The half-life, in microseconds, of the cached share that the key table assumes for a server after it served the key.
const KEY_HALF_LIFE_US: f64 = 15e6;
/// The weight of the key table's assumption if the server reports its cache events and `EVENT_DELAY` has passed since it
/// served the key: the prefix index should have the chunks by then if they are still cached.
const UNCONFIRMED_WEIGHT: f64 = 0.3;
/// The time within which the cache events of a request are expected.
const EVENT_DELAY: Micros = 1_000_000;

impl Placer {
    /// Collects the inputs of a selection for a request, and adds the request to the averages of its service.
    pub(super) fn selection_inputs(
        &mut self,
        now: Micros,
        service: usize,
        request: &PlacementRequest<'_>,
    ) -> SelectionInputs {
        let key = prompt_key(request, mix(self.config.seed ^ self.attempt_count));
        let shared = shared_prefix(request);
        let model = request.model.map(|model| self.fleet.models.intern(model));
        let bounds = self.version_bounds(now, request);
        self.cached_shares.clear();
        self.cached_shares.resize(self.fleet.services[service].candidates.len(), 0.0);
        let prefixes = self.version_prefixes(now, service, request, bounds.lowest);
        self.apply_index(service, &prefixes, shared);
        self.apply_key_table(now, key, model);
        let has_source = self.has_source(&prefixes, token_count(shared));
        let terms = self.cost_terms(now, service, request, key, model, bounds, has_source);
        SelectionInputs { terms, prefixes }
    }

    fn version_bounds(&mut self, now: Micros, request: &PlacementRequest<'_>) -> VersionBounds {
        let margin = self.config.version_margin;
        let bounds = request.model.map(|model| self.versions.bounds(now, margin, model));
        bounds.unwrap_or_default()
    }

    fn has_source(&self, prefixes: &[VersionPrefixes], shared_tokens: u32) -> bool {
        let mut all = prefixes.iter().flat_map(|of_version| &of_version.prefixes);
        all.any(|prefix| 2 * prefix.tokens >= shared_tokens)
            || self.cached_shares.iter().any(|share| f64::from(*share) > CACHED_SHARE)
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "intermediate results of `selection_inputs`, which a struct would only repeat"
    )]
    fn cost_terms(
        &mut self,
        now: Micros,
        service: usize,
        request: &PlacementRequest<'_>,
        key: u64,
        model: Option<u32>,
        bounds: VersionBounds,
        has_source: bool,
    ) -> CostTerms {
        let shared_tokens = token_count(shared_prefix(request));
        let target_ms =
            to_ms(if request.latency_target > 0 { request.latency_target } else { DEFAULT_LATENCY_TARGET });
        let tokens = f64::from(request.prompt_tokens) + f64::from(request.max_output_tokens);
        let own_prefill_ms = prefill_ms(request.prompt_tokens.saturating_sub(shared_tokens));
        let upcoming = request.model.map_or_else(Vec::new, |model| self.versions.upcoming(now, model));
        let service = &mut self.fleet.services[service];
        service.learn_request(target_ms, own_prefill_ms, tokens);
        service.pauses.learn_target(request.event_gap_target);
        CostTerms {
            now,
            key,
            idle_ms: IDLE_SHARE * service.tightest_target_ms,
            overload_ms: target_ms.max(service.tightest_target_ms),
            miss_ms: miss_ms(&service.spec, shared_tokens, has_source),
            prefill_ms: own_prefill_ms,
            has_source,
            stream_pause_ms: service.pauses.beside_prefill_ms,
            paused_stream_cost_ms: service.pauses.risk() * PAUSE_COST_SHARE * service.tightest_target_ms,
            decode_ms: f64::from(request.max_output_tokens) * DECODE_STEP_MS,
            tokens,
            memory_tokens: service.spec.cache_tokens as f64,
            model,
            newest_version: bounds.newest,
            lowest_version: bounds.lowest,
            upcoming_versions: upcoming,
            start_margin: self.config.start_margin,
            zone: self.own_zone,
        }
    }

    /// The prefixes of the prompt that holders have cached, for each version that may be used.
    fn version_prefixes(
        &mut self,
        now: Micros,
        service: usize,
        request: &PlacementRequest<'_>,
        lowest_version: u64,
    ) -> Vec<VersionPrefixes> {
        let shared = shared_prefix(request);
        let Some(name) = request.model else { return Vec::new() };
        let Some(model) = self.fleet.models.find(name).filter(|_| !shared.is_empty()) else {
            return Vec::new();
        };
        let served = self.fleet.services[service].versions.iter();
        let usable = served.filter(|served| served.model == model && served.version >= lowest_version);
        let prefixes = |version| {
            let salt = hash(&self.salts.salt(name, version, &request.isolation));
            let mut prefixes = self.prefix_index.prefixes(now, salt, shared);
            prefixes.retain(|prefix| match prefix.holder.as_server() {
                Some(server) => self.fleet.servers[server as usize].version_of(model) == Some(version),
                None => true,
            });
            VersionPrefixes { version, prefixes }
        };
        usable.map(|served| served.version).map(prefixes).collect()
    }

    /// Sets the cached shares of candidates from the prefix index. Only servers that have some of the last shared chunk
    /// count. The chunks before it are common to many keys: if their first holders were preferred, they would attract the
    /// requests of all those keys, instead of each key's own home.
    fn apply_index(&mut self, service: usize, prefixes: &[VersionPrefixes], shared: &[PromptChunk]) {
        let shared_tokens = token_count(shared);
        let common_tokens = shared_tokens - shared.last().map_or(0, |chunk| chunk.tokens);
        for prefix in prefixes.iter().flat_map(|of_version| &of_version.prefixes) {
            let Some(server) = prefix.holder.as_server() else { continue };
            let is_of_service = self.fleet.servers[server as usize].service as usize == service;
            if prefix.tokens <= common_tokens || !is_of_service {
                continue;
            }
            if let Some(candidate) = self.fleet.candidate_index(server) {
                let share = (prefix.tokens as f32 / shared_tokens.max(1) as f32).min(1.0);
                self.cached_shares[candidate] = share * prefix.confidence;
            }
        }
    }

    /// Raises the cached shares of candidates to what the key table assumes for servers that served the key recently.
    fn apply_key_table(&mut self, now: Micros, key: u64, model: Option<u32>) {
        for known in &self.keys.entry(key).servers {
            let Some(server) = self.fleet.server_mut(known.server) else { continue };
            if model.is_some_and(|model| server.version_of(model) != known.version) {
                continue;
            }
            let age = now.saturating_sub(known.last_used);
            let reported_since =
                server.last_contact.is_some_and(|at| at > known.last_used) && age > EVENT_DELAY;
            let weight = if reported_since { UNCONFIRMED_WEIGHT } else { 1.0 };
            let share = (-(age as f64) / KEY_HALF_LIFE_US).exp2() * weight;
            // The index of a server of another service may be out of range here.
            let candidate = self.fleet.candidate_index(known.server.index);
            if let Some(cached_share) = candidate.and_then(|index| self.cached_shares.get_mut(index)) {
                *cached_share = cached_share.max(share as f32);
            }
        }
    }
}
