//! A request as the data plane passes it to the placer.

use std::sync::Arc;

use crate::time::Micros;

/// One chunk of a prompt; the operators' pages call it a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptChunk {
    /// Its id as a number, see [`PromptChunk::parse_id`].
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Whose cached chunks a request may reuse.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum CacheIsolation {
    /// Those of all tenants that are not isolated. The number is a hash of the set of isolated tenants: chunks cached
    /// before a change of that set are not reused after it.
    Shared(u64),
    /// Those of this isolated tenant only.
    Tenant(Arc<str>),
}

/// The properties of a request that the selection of a server depends on.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The service that its route leads to.
    pub service: &'a str,
    /// The model that it names.
    pub model: Option<&'a str>,
    /// The chunks of its prompt in order; the last one belongs to the request or its session alone.
    pub chunks: &'a [PromptChunk],
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that it may generate.
    pub max_output_tokens: u32,
    /// Its priority; 0 is the highest.
    pub priority: u8,
    /// The latency target of its first event in microseconds; 0 if there is none.
    pub latency_target: Micros,
    /// The target for the gaps between its events in microseconds; 0 if there is none.
    pub event_gap_target: Micros,
    /// The time until its deadline in microseconds.
    pub time_left: Micros,
    /// Whose cached chunks it may reuse.
    pub isolation: CacheIsolation,
    /// The id of the event after which a stream is resumed.
    pub resumed_from: Option<u64>,
}

/// The longest gap between two events of a stream that was received completely.
#[derive(Clone, Copy, Debug)]
pub struct StreamPause<'a> {
    /// The service that served the stream.
    pub service: &'a str,
    /// The gap in microseconds.
    pub longest: Micros,
}
