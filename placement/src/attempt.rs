//! An attempt in flight, from its placement to its end.

use crate::request::PromptChunk;
use crate::server::ServerRef;
use crate::server_load::RequestWork;
use crate::time::Micros;

/// An attempt in flight.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) server: ServerRef,
    pub(crate) service: u32,
    pub(crate) sent_at: Micros,
    pub(crate) work: RequestWork,
    /// The expected time to its first event in milliseconds; `None` if a transfer or another request delays it.
    pub(crate) predicted_ms: Option<f64>,
    pub(crate) first_event_at: Option<Micros>,
    pub(crate) model: Option<u32>,
    /// The version that its server was believed to have.
    pub(crate) version: Option<u64>,
    pub(crate) key: u64,
    pub(crate) salt_hash: u64,
    pub(crate) chunks: Box<[PromptChunk]>,
}
