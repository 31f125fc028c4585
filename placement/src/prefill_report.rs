//! Reports of completed prefills, which balancers exchange so that each one has an index of the whole fleet's prefix caches.

use crate::request::PromptChunk;

/// The maximum number of reports that wait to be sent; further ones are dropped, which costs a cache miss each at most.
const MAX_PENDING: usize = 512;

/// A server completed the prefill of a prompt, and so has its chunks cached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefillReport {
    /// A hash of the server's id, the same at all nodes.
    pub server: u64,
    /// The prompt's key.
    pub key: u64,
    /// The model version that computed it.
    pub version: u64,
    /// A hash of the salt that the chunks are cached under.
    pub salt: u64,
    /// The chunks in order.
    pub chunks: Vec<PromptChunk>,
}

/// The reports of this node that were not sent yet.
#[derive(Debug, Default)]
pub(crate) struct PendingPrefillReports(Vec<PrefillReport>);

impl PendingPrefillReports {
    pub(crate) fn push(&mut self, report: PrefillReport) {
        if self.0.len() < MAX_PENDING {
            self.0.push(report);
        }
    }

    pub(crate) fn take(&mut self) -> Vec<PrefillReport> {
        std::mem::take(&mut self.0)
    }
}
