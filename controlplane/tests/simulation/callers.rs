//! Calls from outside, and who makes them.

use gradepaddle_controlplane::api::Response;

/// Who made a call; the attempt tells answers of earlier attempts apart.
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
    /// Sends orders of before again, and reads, at any time.
    Resender {
        attempt: u64,
    },
    /// Reads the configuration at the end through one machine.
    Reader {
        machine: usize,
        attempt: u64,
    },
    /// Reads the configuration at one machine in the course of an outage.
    Prober {
        machine: usize,
        attempt: u64,
    },
}

/// What came of a call: an answer, or a connection that failed.
pub type Outcome = Option<Response>;

/// Whether the answer is a success.
pub fn success(outcome: &Outcome) -> bool {
    outcome.as_ref().is_some_and(|answer| (200..300).contains(&answer.status))
}
