//! The content of a load report: the placer's figures as they travel, and which are accepted.

use gradepaddle_placement::{CachedTokens, LocalLoad, PrefillReport, PromptChunk, StoreUpdate};
use gradepaddle_proto::{KeptPrompt, LoadShare, PromptPart, ServerShare, StoreReport};

use super::resend_window::ResendWindow;

/// Cached prefixes in one report at most: a datagram has to hold them.
const MAX_PREFIXES: usize = 96;
/// Reports of cache stores in one load report at most.
const MAX_STORE_REPORTS: usize = 96;
/// Chunks in one report of a cache store at most.
const MAX_CHANGED_CHUNKS: usize = 1_024;
/// No node has more than this in flight at one server.
const MAX_RUNNING: u32 = 100_000;
/// No node has more than this to prefill at one server, in milliseconds: ten minutes.
const MAX_BACKLOG_MS: u32 = 600_000;
/// No prompt has more chunks.
const MAX_PROMPT_CHUNKS: usize = 256;

/// Prefixes seen cached in the last rounds.
pub(super) fn cached_prefix_window() -> ResendWindow<KeptPrompt> {
    ResendWindow::new(MAX_PREFIXES)
}

/// Changes of cache stores in the last rounds.
pub(super) fn store_report_window() -> ResendWindow<StoreReport> {
    ResendWindow::new(MAX_STORE_REPORTS)
}

pub(super) fn store_report(changes: &StoreUpdate) -> StoreReport {
    let chunks = changes.parts.iter().take(MAX_CHANGED_CHUNKS);
    let StoreUpdate { store, reset, .. } = *changes;
    let parts = chunks.map(|chunk| PromptPart { id: chunk.key, tokens: chunk.tokens }).collect();
    StoreReport { store, reset, parts }
}

pub(super) fn store_changes(report: &StoreReport) -> StoreUpdate {
    let chunks = report.parts.iter().map(|chunk| CachedTokens { key: chunk.id, tokens: chunk.tokens });
    let StoreReport { store, reset, .. } = *report;
    StoreUpdate { store, reset, parts: chunks.collect() }
}

pub(super) fn server_load(load: LocalLoad) -> ServerShare {
    ServerShare {
        server: load.server,
        backlog_ms: load.backlog_ms.max(0.0) as u32,
        running: load.running,
        tokens: load.tokens,
    }
}

pub(super) fn local_load(load: &ServerShare) -> LocalLoad {
    LocalLoad {
        server: load.server,
        backlog_ms: f64::from(load.backlog_ms),
        running: load.running,
        tokens: load.tokens,
    }
}

pub(super) fn cached_prefix(prefill_report: &PrefillReport) -> KeptPrompt {
    let chunks = prefill_report.parts.iter().map(|chunk| PromptPart { id: chunk.id, tokens: chunk.tokens });
    let PrefillReport { server, key, version, salt, .. } = *prefill_report;
    KeptPrompt { server, key, version, salt, parts: chunks.collect() }
}

pub(super) fn prefill_report(prefix: &KeptPrompt) -> PrefillReport {
    let chunks = prefix.parts.iter().map(|chunk| PromptChunk { id: chunk.id, tokens: chunk.tokens });
    let KeptPrompt { server, key, version, salt, .. } = *prefix;
    PrefillReport { server, key, version, salt, parts: chunks.collect() }
}

/// True if peers need no new report: they count down by themselves what is prefilled meanwhile.
pub(super) fn unchanged(now: &[ServerShare], reported: &[ServerShare]) -> bool {
    let without_backlog = |load: &ServerShare| (load.server, load.running, load.tokens);
    now.len() == reported.len() && now.iter().map(without_backlog).eq(reported.iter().map(without_backlog))
}

/// False for figures that no node can have.
pub(super) fn is_plausible(report: &LoadShare) -> bool {
    let possible = |load: &ServerShare| {
        load.running <= MAX_RUNNING && load.backlog_ms <= MAX_BACKLOG_MS && load.tokens <= u64::from(u32::MAX)
    };
    report.servers.iter().all(possible)
        && report.kept.len() <= MAX_PREFIXES
        && report.kept.iter().all(|prefix| prefix.parts.len() <= MAX_PROMPT_CHUNKS)
        && report.changes.len() <= MAX_STORE_REPORTS
        && report.changes.iter().all(|changes| changes.parts.len() <= MAX_CHANGED_CHUNKS)
}
