//! How warm each server is for a prompt, by the key table and the index of kept parts, and what the scan goes by.

use gradepaddle::cost::{hash, mix};

use crate::api::*;
use crate::choice::CostTerms;
use crate::engine::{Placer, SOURCE_WARM};
use crate::fleet::STORES;
use crate::kept::CachedPrefix;
use crate::load::{STEP_MS, ms};
use crate::moves::{miss_ms, read_ms};
use crate::prompt::{key, shared};

/// L_idle as a share of the tightest aim: below it a wait is not felt.
const IDLE: f64 = 0.03;
/// What a stream that is late by a pause costs, as a share of the tightest aim.
const PAUSED: f64 = 0.5;
/// The aim of a request that has none.
const AIM: Micros = 1_000_000;
/// Half-life of a server's place in a key's set.
const KEPT_HALF: f64 = 15e6;
/// Where a server tells what it keeps, the table alone counts for less, once events have had time to come.
const TOLD: f64 = 0.3;
const TOLD_AFTER: Micros = 1_000_000;

impl Placer {
    /// Consults key table and index: what the scan goes by, each row's warmth, and who keeps what at which version.
    pub(crate) fn terms(
        &mut self,
        now: Micros,
        service: usize,
        request: &PlacementRequest<'_>,
    ) -> (CostTerms, Vec<(u64, Vec<CachedPrefix>)>) {
        let key = key(request, mix(self.config.seed ^ self.made));
        let head = shared(request);
        let tokens: u32 = head.iter().map(|part| part.tokens).sum();
        let model = request.model.map(|model| self.fleet.models.number(model));
        let margin = self.config.version_margin;
        let (newest, floor) = request.model.map_or((0, 0), |model| self.versions.bounds(now, margin, model));
        self.warm.clear();
        self.warm.resize(self.fleet.services[service].rows.len(), 0.0);
        let heads = self.heads(now, service, request, floor);
        self.warm_by_index(service, &heads, head);
        self.warm_by_table(now, key, model);
        let has_source = heads.iter().any(|(_, heads)| heads.iter().any(|h| 2 * h.tokens >= tokens))
            || self.warm.iter().any(|warm| f64::from(*warm) > SOURCE_WARM);
        let aim_ms = ms(if request.aim > 0 { request.aim } else { AIM });
        let service = &mut self.fleet.services[service];
        let all = f64::from(request.tokens_in) + f64::from(request.tokens_out);
        let own = read_ms(request.tokens_in.saturating_sub(tokens));
        service.learn_request(aim_ms, own, all);
        service.pauses.learn_bound(request.gap);
        let terms = CostTerms {
            now,
            key,
            idle: IDLE * service.tightest_ms,
            overload: aim_ms.max(service.tightest_ms),
            miss: miss_ms(&service.spec, tokens, has_source),
            read_ms: own,
            fetched: has_source,
            pause_ms: service.pauses.beside_reading_ms,
            paused: service.pauses.risk() * PAUSED * service.tightest_ms,
            write_ms: f64::from(request.tokens_out) * STEP_MS,
            tokens: all,
            memory: service.spec.cache_tokens as f64,
            model,
            newest,
            floor,
            ahead: request.model.map_or_else(Vec::new, |model| self.versions.ahead(now, model)),
            begin_margin: self.config.begin_margin,
            zone: self.own_zone,
        };
        (terms, heads)
    }

    /// Who keeps how much of the prompt, for each version that may be used.
    fn heads(
        &mut self,
        now: Micros,
        service: usize,
        request: &PlacementRequest<'_>,
        floor: u64,
    ) -> Vec<(u64, Vec<CachedPrefix>)> {
        let (head, Some(name)) = (shared(request), request.model) else { return Vec::new() };
        let Some(model) = self.fleet.models.find(name).filter(|_| !head.is_empty()) else {
            return Vec::new();
        };
        let versions = &self.fleet.services[service].versions;
        let versions = versions.iter().filter(|(of, version)| *of == model && *version >= floor);
        versions
            .map(|(_, version)| {
                let salt = hash(&self.salts.of(name, *version, &request.wall));
                let mut heads = self.kept.heads(now, salt, head);
                heads.retain(|h| {
                    h.holder < STORES
                        || self.fleet.servers[(h.holder - STORES) as usize].version_of(model)
                            == Some(*version)
                });
                (*version, heads)
            })
            .collect()
    }

    /// Only who keeps of the deepest shared part counts as warm. What lies before it is common to many keys: were
    /// its first holders preferred, they would become the home of all those keys, instead of each key's own.
    fn warm_by_index(&mut self, service: usize, heads: &[(u64, Vec<CachedPrefix>)], parts: &[PromptChunk]) {
        let shared: u32 = parts.iter().map(|part| part.tokens).sum();
        let common = shared - parts.last().map_or(0, |part| part.tokens);
        let servers = heads.iter().flat_map(|(_, heads)| heads);
        let servers = servers.filter(|head| head.holder >= STORES && head.tokens > common);
        for head in servers {
            let at = head.holder - STORES;
            if self.fleet.servers[at as usize].service as usize != service {
                continue;
            }
            if let Some(row) = self.fleet.row_of(at) {
                self.warm[row] = (head.tokens as f32 / shared.max(1) as f32).min(1.0) * head.trust;
            }
        }
    }

    fn warm_by_table(&mut self, now: Micros, key: u64, model: Option<u32>) {
        for member in &self.keys.recall(key).members {
            let Some(server) = self.fleet.at(member.server, member.life) else { continue };
            if model.is_some_and(|model| server.version_of(model) != member.version) {
                continue;
            }
            let age = now.saturating_sub(member.used);
            let told = server.heard.is_some_and(|at| at > member.used) && age > TOLD_AFTER;
            let warm = (-(age as f64) / KEPT_HALF).exp2() * if told { TOLD } else { 1.0 };
            if let Some(row) = self.fleet.row_of(member.server).filter(|row| *row < self.warm.len()) {
                self.warm[row] = self.warm[row].max(warm as f32);
            }
        }
    }
}
