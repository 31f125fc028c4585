//! What a message of loads holds: the engine's figures as they travel, and which are believed.

use std::collections::VecDeque;

use gradepaddle_engine::{OwnLoad, Part, Sighting};
use gradepaddle_proto::{KeptPrompt, LoadShare, PromptPart, ServerShare};

/// Prompts told in one message at most.
const PROMPTS_MOST: usize = 96;
/// No balancer has more than this in flight at one server.
const RUNNING_MOST: u32 = 100_000;
/// No balancer has more than this to read at one server, in milliseconds: ten minutes.
const BACKLOG_MOST_MS: u32 = 600_000;
/// No prompt has more parts.
const PARTS_MOST: usize = 256;

/// What was seen kept in the last rounds: where not all others are told each time, each is told once in several.
#[derive(Default)]
pub(super) struct KeptWindow(VecDeque<Vec<KeptPrompt>>);

impl KeptWindow {
    pub fn keep(&mut self, fresh: Vec<Sighting>, rounds: usize) {
        let fresh = fresh.iter().take(PROMPTS_MOST).map(kept_prompt).collect();
        self.0.push_back(fresh);
        while self.0.len() > rounds {
            self.0.pop_front();
        }
    }

    /// The latest, as many as a message holds.
    pub fn all(&self) -> Vec<KeptPrompt> {
        self.0.iter().rev().flatten().take(PROMPTS_MOST).cloned().collect()
    }
}

pub(super) fn share(load: OwnLoad) -> ServerShare {
    ServerShare {
        server: load.server,
        backlog_ms: load.backlog_ms.max(0.0) as u32,
        running: load.running,
        tokens: load.tokens,
    }
}

pub(super) fn own_load(share: &ServerShare) -> OwnLoad {
    OwnLoad {
        server: share.server,
        backlog_ms: f64::from(share.backlog_ms),
        running: share.running,
        tokens: share.tokens,
    }
}

fn kept_prompt(sighting: &Sighting) -> KeptPrompt {
    let parts = sighting.parts.iter().map(|part| PromptPart { id: part.id, tokens: part.tokens });
    let Sighting { server, key, version, salt, .. } = *sighting;
    KeptPrompt { server, key, version, salt, parts: parts.collect() }
}

pub(super) fn sighting(kept: &KeptPrompt) -> Sighting {
    let parts = kept.parts.iter().map(|part| Part { id: part.id, tokens: part.tokens });
    let KeptPrompt { server, key, version, salt, .. } = *kept;
    Sighting { server, key, version, salt, parts: parts.collect() }
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
}
