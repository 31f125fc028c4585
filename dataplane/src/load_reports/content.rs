//! The content of a load report: conversion between the placer's types and the messages, and which figures are plausible.

use gradepaddle_placement::{CachedTokens, LocalLoad, PrefillReport, PromptChunk, StoreUpdate};
use gradepaddle_proto::{
    CacheStoreReport, CachedPrefix, PeerLoadReport, PromptChunk as ReportedChunk, ServerLoad,
};

use super::resend_window::ResendWindow;

/// Maximum number of cached prefixes in one report, which has to fit into a datagram.
const MAX_PREFIXES: usize = 96;
/// Maximum number of cache store reports in one load report.
const MAX_STORE_REPORTS: usize = 96;
/// Maximum number of chunks in one cache store report.
const MAX_CHANGED_CHUNKS: usize = 1_024;
/// No node has more requests than this in flight at one server.
const MAX_RUNNING: u32 = 100_000;
/// No node has a longer prefill backlog than this at one server, in milliseconds: ten minutes.
const MAX_BACKLOG_MS: u32 = 600_000;
/// No prompt has more chunks than this.
const MAX_PROMPT_CHUNKS: usize = 256;

/// An empty window for the prefixes seen cached in the last rounds.
pub(super) fn cached_prefix_window() -> ResendWindow<CachedPrefix> {
    ResendWindow::new(MAX_PREFIXES)
}

/// An empty window for the updates of cache stores in the last rounds.
pub(super) fn store_report_window() -> ResendWindow<CacheStoreReport> {
    ResendWindow::new(MAX_STORE_REPORTS)
}

pub(super) fn store_report(update: &StoreUpdate) -> CacheStoreReport {
    let chunks = update.chunks.iter().take(MAX_CHANGED_CHUNKS);
    let StoreUpdate { store, reset, .. } = *update;
    let chunks = chunks.map(|chunk| ReportedChunk { id: chunk.key, tokens: chunk.tokens }).collect();
    CacheStoreReport { store, reset, chunks }
}

pub(super) fn store_update(report: &CacheStoreReport) -> StoreUpdate {
    let chunks = report.chunks.iter().map(|chunk| CachedTokens { key: chunk.id, tokens: chunk.tokens });
    let CacheStoreReport { store, reset, .. } = *report;
    StoreUpdate { store, reset, chunks: chunks.collect() }
}

pub(super) fn server_load(load: LocalLoad) -> ServerLoad {
    ServerLoad {
        server: load.server,
        backlog_ms: load.backlog_ms.max(0.0) as u32,
        running: load.running,
        tokens: load.tokens,
    }
}

pub(super) fn local_load(load: &ServerLoad) -> LocalLoad {
    LocalLoad {
        server: load.server,
        backlog_ms: f64::from(load.backlog_ms),
        running: load.running,
        tokens: load.tokens,
    }
}

pub(super) fn cached_prefix(prefill_report: &PrefillReport) -> CachedPrefix {
    let chunks =
        prefill_report.chunks.iter().map(|chunk| ReportedChunk { id: chunk.id, tokens: chunk.tokens });
    let PrefillReport { server, key, version, salt, .. } = *prefill_report;
    CachedPrefix { server, key, version, salt, chunks: chunks.collect() }
}

pub(super) fn prefill_report(prefix: &CachedPrefix) -> PrefillReport {
    let chunks = prefix.chunks.iter().map(|chunk| PromptChunk { id: chunk.id, tokens: chunk.tokens });
    let CachedPrefix { server, key, version, salt, .. } = *prefix;
    PrefillReport { server, key, version, salt, chunks: chunks.collect() }
}

/// True if peers need no new report. The backlog is not compared: peers count it down themselves as prompts are prefilled.
pub(super) fn unchanged(now: &[ServerLoad], reported: &[ServerLoad]) -> bool {
    let without_backlog = |load: &ServerLoad| (load.server, load.running, load.tokens);
    now.len() == reported.len() && now.iter().map(without_backlog).eq(reported.iter().map(without_backlog))
}

/// False for a report with figures that no node can have.
pub(super) fn is_plausible(report: &PeerLoadReport) -> bool {
    let is_possible = |load: &ServerLoad| {
        load.running <= MAX_RUNNING && load.backlog_ms <= MAX_BACKLOG_MS && load.tokens <= u64::from(u32::MAX)
    };
    report.servers.iter().all(is_possible)
        && report.cached_prefixes.len() <= MAX_PREFIXES
        && report.cached_prefixes.iter().all(|prefix| prefix.chunks.len() <= MAX_PROMPT_CHUNKS)
        && report.cache_store_reports.len() <= MAX_STORE_REPORTS
        && report.cache_store_reports.iter().all(|update| update.chunks.len() <= MAX_CHANGED_CHUNKS)
}
