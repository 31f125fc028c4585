//! The callers of the control API, and the outcomes of their calls.

use gradepaddle_controlplane::api::Response;

/// The caller of a call. `attempt` distinguishes the responses to repeated calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Caller {
    Server {
        index: usize,
        attempt: u64,
    },
    Operator {
        index: usize,
        attempt: u64,
    },
    /// Repeats earlier changes of operators, and reads the configuration, at any time.
    Resender {
        attempt: u64,
    },
    /// Reads the configuration through one machine at the end of the run.
    Reader {
        machine: usize,
        attempt: u64,
    },
    /// Reads the configuration at one machine during an outage.
    Prober {
        machine: usize,
        attempt: u64,
    },
}

/// The outcome of a call: its response, or `None` if the connection failed or the caller timed out.
pub type Outcome = Option<Response>;

/// True if the response is a success.
pub fn success(outcome: &Outcome) -> bool {
    outcome.as_ref().is_some_and(|answer| (200..300).contains(&answer.status))
}
