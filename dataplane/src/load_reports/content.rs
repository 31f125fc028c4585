//! What a message of loads holds: the engine's figures as they travel, and which are believed.

use gradepaddle_placement::{CachedTokens, LocalLoad, PrefillReport, PromptChunk, StoreUpdate};
use gradepaddle_proto::{KeptPrompt, LoadShare, PromptPart, ServerShare, StoreReport};

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
pub(super) fn recent_prompts() -> ResendWindow<KeptPrompt> {
    ResendWindow::new(PROMPTS_MOST)
}

/// What changed at stores in the last rounds.
pub(super) fn recent_changes() -> ResendWindow<StoreReport> {
    ResendWindow::new(STORE_REPORTS_MOST)
}

pub(super) fn store_report(changes: &StoreUpdate) -> StoreReport {
    let parts = changes.parts.iter().take(CHANGED_PARTS_MOST);
    let StoreUpdate { store, reset, .. } = *changes;
    let parts = parts.map(|part| PromptPart { id: part.key, tokens: part.tokens }).collect();
    StoreReport { store, reset, parts }
}

pub(super) fn store_changes(report: &StoreReport) -> StoreUpdate {
    let parts = report.parts.iter().map(|part| CachedTokens { key: part.id, tokens: part.tokens });
    let StoreReport { store, reset, .. } = *report;
    StoreUpdate { store, reset, parts: parts.collect() }
}

pub(super) fn share(load: LocalLoad) -> ServerShare {
    ServerShare {
        server: load.server,
        backlog_ms: load.backlog_ms.max(0.0) as u32,
        running: load.running,
        tokens: load.tokens,
    }
}

pub(super) fn own_load(share: &ServerShare) -> LocalLoad {
    LocalLoad {
        server: share.server,
        backlog_ms: f64::from(share.backlog_ms),
        running: share.running,
        tokens: share.tokens,
    }
}

pub(super) fn kept_prompt(sighting: &PrefillReport) -> KeptPrompt {
    let parts = sighting.parts.iter().map(|part| PromptPart { id: part.id, tokens: part.tokens });
    let PrefillReport { server, key, version, salt, .. } = *sighting;
    KeptPrompt { server, key, version, salt, parts: parts.collect() }
}

pub(super) fn sighting(kept: &KeptPrompt) -> PrefillReport {
    let parts = kept.parts.iter().map(|part| PromptChunk { id: part.id, tokens: part.tokens });
    let KeptPrompt { server, key, version, salt, .. } = *kept;
    PrefillReport { server, key, version, salt, parts: parts.collect() }
}

/// True if others need not be told: what is read meanwhile they count down themselves.
pub(super) fn same(now: &[ServerShare], told: &[ServerShare]) -> bool {
    let timeless = |share: &ServerShare| (share.server, share.running, share.tokens);
    now.len() == told.len() && now.iter().map(timeless).eq(told.iter().map(timeless))
}

/// False for figures that no balancer can have.
pub(super) fn believable(message: &LoadShare) -> bool {
    let possible = |share: &ServerShare| {
        share.running <= RUNNING_MOST
            && share.backlog_ms <= BACKLOG_MOST_MS
            && share.tokens <= u64::from(u32::MAX)
    };
    message.servers.iter().all(possible)
        && message.kept.len() <= PROMPTS_MOST
        && message.kept.iter().all(|kept| kept.parts.len() <= PARTS_MOST)
        && message.changes.len() <= STORE_REPORTS_MOST
        && message.changes.iter().all(|changes| changes.parts.len() <= CHANGED_PARTS_MOST)
}
