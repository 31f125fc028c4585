//! Amounts of work at a server.

/// Work at a server: of one node, of several, or a mean over servers.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Workload {
    /// Prefill that is still to be done, in milliseconds.
    pub(crate) backlog_ms: f64,
    /// Running requests.
    pub(crate) running: f64,
    /// Tokens of their prompts and responses.
    pub(crate) tokens: f64,
}

impl Workload {
    pub(crate) fn combine(self, other: Workload, combine: impl Fn(f64, f64) -> f64) -> Workload {
        Workload {
            backlog_ms: combine(self.backlog_ms, other.backlog_ms),
            running: combine(self.running, other.running),
            tokens: combine(self.tokens, other.tokens),
        }
    }

    pub(crate) fn plus(self, other: Workload) -> Workload {
        self.combine(other, |a, b| a + b)
    }

    pub(crate) fn times(self, factor: f64) -> Workload {
        self.combine(self, |a, _| a * factor)
    }
}
