//! Prompts as placement sees them: chunks, the prefix that is shared with other requests, and its key.

use gradepaddle::cost::{hash, mix};

use crate::cache_salt::isolation_hash;
use crate::request::{PlacementRequest, PromptChunk};

/// Chunk ids up to this length are read as hexadecimal numbers; longer ones are hashed.
const MAX_NUMBER_DIGITS: usize = 16;

impl PromptChunk {
    /// The number of a chunk from its id: the value of up to 16 hexadecimal digits, otherwise a hash of the text.
    pub fn parse_id(text: &str) -> u64 {
        let is_number = text.len() <= MAX_NUMBER_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if is_number && let Ok(id) = u64::from_str_radix(text, 16) { id } else { hash(text) }
    }

    /// Reads the value of `X-Prompt-Prefix`, `ID:TOKENS` separated by commas; `None` if it is malformed.
    pub fn parse_list(text: &str) -> Option<Vec<PromptChunk>> {
        let chunk = |item: &str| {
            let (id, tokens) = item.trim().split_once(':')?;
            Some(PromptChunk { id: PromptChunk::parse_id(id), tokens: tokens.parse().ok()? })
        };
        text.split(',').map(chunk).collect()
    }
}

/// The prefix of a prompt that other requests share: all chunks but the last.
pub(crate) fn shared_prefix<'a>(request: &PlacementRequest<'a>) -> &'a [PromptChunk] {
    request.chunks.split_last().map_or(&[], |(_, prefix)| prefix)
}

/// The total number of tokens of the chunks.
pub(crate) fn token_count(chunks: &[PromptChunk]) -> u32 {
    chunks.iter().map(|chunk| chunk.tokens).sum()
}

/// The key of a prompt: a chained hash of its shared prefix, or of its only chunk, under its model and isolation. It does
/// not depend on the model version, so that a key's home outlives a roll-out. Requests without chunks share no key: each
/// gets one from `unique`.
pub(crate) fn prompt_key(request: &PlacementRequest<'_>, unique: u64) -> u64 {
    let start = mix(isolation_hash(&request.isolation) ^ hash(request.model.unwrap_or_default()));
    let chain =
        |chunks: &[PromptChunk]| chunks.iter().fold(start, |key, chunk| mix(key.rotate_left(5) ^ chunk.id));
    match request.chunks {
        [] => mix(start ^ unique),
        [only] => chain(&[*only]),
        _ => chain(shared_prefix(request)),
    }
}
