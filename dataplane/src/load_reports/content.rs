//! What a message of loads holds: the engine's figures as they travel, and which are believed.

use gradepaddle_placement::{CachedTokens, LocalLoad, PrefillReport, PromptChunk, StoreUpdate};
use gradepaddle_proto::{
    CacheStoreReport, CachedPrefix, PeerLoadReport, PromptChunk as ReportedChunk, ServerLoad,
};

use super::resend_window::ResendWindow;

/// Prompts told in one message at most.
const PROMPTS_MOST: usize = 96;
/// Reports of stores in one message at most, and parts in one of them: a datagram has to hold them.
const STORE_REPORTS_MOST: usize = 96;
const CHANGED_PARTS_MOST: usize = 1_024;
/// No balancer has more than this in flight at one server.
const RUNNING_MOST: u32 = 100_000;
/// No balancer has more than this to read at one server, in milliseconds: ten minutes.
const BACKLOG_MOST_MS: u32 = 600_000;
/// No prompt has more parts.
const PARTS_MOST: usize = 256;

/// Prompts seen kept in the last rounds.
pub(super) fn recent_prompts() -> ResendWindow<CachedPrefix> {
    ResendWindow::new(PROMPTS_MOST)
}

/// What changed at stores in the last rounds.
pub(super) fn recent_changes() -> ResendWindow<CacheStoreReport> {
    ResendWindow::new(STORE_REPORTS_MOST)
}

pub(super) fn store_report(changes: &StoreUpdate) -> CacheStoreReport {
    let parts = changes.parts.iter().take(CHANGED_PARTS_MOST);
    let StoreUpdate { store, reset, .. } = *changes;
    let parts = parts.map(|part| ReportedChunk { id: part.key, tokens: part.tokens }).collect();
    CacheStoreReport { store, reset, chunks: parts }
}

pub(super) fn store_changes(report: &CacheStoreReport) -> StoreUpdate {
    let parts = report.chunks.iter().map(|part| CachedTokens { key: part.id, tokens: part.tokens });
    let CacheStoreReport { store, reset, .. } = *report;
    StoreUpdate { store, reset, parts: parts.collect() }
}

pub(super) fn share(load: LocalLoad) -> ServerLoad {
    ServerLoad {
        server: load.server,
        backlog_ms: load.backlog_ms.max(0.0) as u32,
        running: load.running,
        tokens: load.tokens,
    }
}

pub(super) fn own_load(share: &ServerLoad) -> LocalLoad {
    LocalLoad {
        server: share.server,
        backlog_ms: f64::from(share.backlog_ms),
        running: share.running,
        tokens: share.tokens,
    }
}

pub(super) fn kept_prompt(sighting: &PrefillReport) -> CachedPrefix {
    let parts = sighting.parts.iter().map(|part| ReportedChunk { id: part.id, tokens: part.tokens });
    let PrefillReport { server, key, version, salt, .. } = *sighting;
    CachedPrefix { server, key, version, salt, chunks: parts.collect() }
}

pub(super) fn sighting(kept: &CachedPrefix) -> PrefillReport {
    let parts = kept.chunks.iter().map(|part| PromptChunk { id: part.id, tokens: part.tokens });
    let CachedPrefix { server, key, version, salt, .. } = *kept;
    PrefillReport { server, key, version, salt, parts: parts.collect() }
}

/// True if others need not be told: what is read meanwhile they count down themselves.
pub(super) fn same(now: &[ServerLoad], told: &[ServerLoad]) -> bool {
    let timeless = |share: &ServerLoad| (share.server, share.running, share.tokens);
    now.len() == told.len() && now.iter().map(timeless).eq(told.iter().map(timeless))
}

/// False for figures that no balancer can have.
pub(super) fn believable(message: &PeerLoadReport) -> bool {
    let possible = |share: &ServerLoad| {
        share.running <= RUNNING_MOST
            && share.backlog_ms <= BACKLOG_MOST_MS
            && share.tokens <= u64::from(u32::MAX)
    };
    message.servers.iter().all(possible)
        && message.cached_prefixes.len() <= PROMPTS_MOST
        && message.cached_prefixes.iter().all(|kept| kept.chunks.len() <= PARTS_MOST)
        && message.cache_store_reports.len() <= STORE_REPORTS_MOST
        && message.cache_store_reports.iter().all(|changes| changes.chunks.len() <= CHANGED_PARTS_MOST)
}
