//! Prompts as the choice sees them: parts, their shared head, its key, and the salts that bound reuse.

use std::collections::HashMap;
use std::sync::Arc;

use gradepaddle::cost::{hash, mix};

use crate::api::{CacheIsolation, PlacementRequest, PromptChunk};

/// Keeps the hash of a tenant's wall apart from those of the shared ones.
const TENANT_MARK: u64 = 0x7465_6e61_6e74_3a3a;
/// CacheSalts that are remembered; more than that and they are made anew.
const SALTS: usize = 4_096;

impl PromptChunk {
    /// The number of a part from its id: the value of up to 16 hexadecimal digits, otherwise a hash of the text.
    pub fn id(text: &str) -> u64 {
        let digits = text.len() <= 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if digits && let Ok(id) = u64::from_str_radix(text, 16) { id } else { hash(text) }
    }

    /// Reads the value of `X-Prompt-Prefix`, `ID:TOKENS` separated by commas. None if it is malformed.
    pub fn list(text: &str) -> Option<Vec<PromptChunk>> {
        let part = |item: &str| {
            let (id, tokens) = item.trim().split_once(':')?;
            Some(PromptChunk { id: PromptChunk::id(id), tokens: tokens.parse().ok()? })
        };
        text.split(',').map(part).collect()
    }
}

/// The head of a prompt that other requests share: all parts but the last.
pub(crate) fn shared<'a>(request: &PlacementRequest<'a>) -> &'a [PromptChunk] {
    request.parts.split_last().map_or(&[], |(_, head)| head)
}

pub(crate) fn wall_hash(wall: &CacheIsolation) -> u64 {
    match wall {
        CacheIsolation::Shared(set) => mix(*set),
        CacheIsolation::Tenant(name) => mix(hash(name) ^ TENANT_MARK),
    }
}

/// The key of a prompt: a chain over its shared parts, or its only part, under model and wall. Requests without
/// any part share no key: each is its own.
pub(crate) fn key(request: &PlacementRequest<'_>, lone: u64) -> u64 {
    let start = mix(wall_hash(&request.wall) ^ hash(request.model.unwrap_or_default()));
    let chain =
        |parts: &[PromptChunk]| parts.iter().fold(start, |key, part| mix(key.rotate_left(5) ^ part.id));
    match request.parts {
        [] => mix(start ^ lone),
        [only] => chain(&[*only]),
        _ => chain(shared(request)),
    }
}

/// The texts under which parts are kept, each for one version of one model's weights and one wall.
#[derive(Debug, Default)]
pub(crate) struct CacheSalts {
    known: HashMap<(u64, u64, u64), Arc<str>>,
}

impl CacheSalts {
    /// The salt of a version of a model within a wall: equal at every node.
    pub(crate) fn of(&mut self, model: &str, version: u64, wall: &CacheIsolation) -> Arc<str> {
        let (model, wall) = (hash(model), wall_hash(wall));
        if self.known.len() >= SALTS {
            self.known.clear();
        }
        let make = || Arc::from(format!("v{version}-{model:016x}-{wall:016x}"));
        self.known.entry((model, version, wall)).or_insert_with(make).clone()
    }
}

/// A salt that no other request ever gets: what is read under it is never found again.
pub(crate) fn lone_salt(seed: u64, number: u64) -> Arc<str> {
    Arc::from(format!("u{:016x}-{number:x}", mix(seed)))
}
