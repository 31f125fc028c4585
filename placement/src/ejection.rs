//! Outlier ejection: servers that fail or reject requests are left out of the selection for a growing time.

use gradepaddle::cost::mix;

use crate::time::Micros;

/// The first ejection after a failure; each further one doubles it, up to the maximum.
const FAILURE_EJECTION: Micros = 200_000;
const MAX_FAILURE_EJECTION: Micros = 2_000_000;
const MAX_FAILURE_DOUBLINGS: u32 = 4;
/// The shortest ejection after a rejection. Jitter by a hash of the node makes it up to twice as long, and it doubles with
/// each consecutive rejection, up to `MAX_REJECTION_DOUBLINGS` times.
const REJECTION_EJECTION: Micros = 150_000;
const MAX_REJECTION_DOUBLINGS: u32 = 3;
/// The number of consecutive failures that a server counts with at least after another one answered at its address.
const MISDIRECTED_FAILURES: u32 = 3;

/// Why a server is ejected. If only ejected servers are left, those with the lowest reason in this order are selected first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum EjectionReason {
    /// It is not ejected.
    None,
    /// It rejected a request, or is paused for a roll-out.
    Rejecting,
    /// It failed.
    Failing,
    /// Its heartbeats timed out.
    Lost,
}

/// The ejection of a server, and the failures and rejections that it results from.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EjectionState {
    pub(crate) reason: EjectionReason,
    /// The end of the ejection.
    pub(crate) until: Micros,
    consecutive_failures: u32,
    consecutive_rejections: u32,
    last_failure: Micros,
}

impl EjectionState {
    pub(crate) fn new() -> EjectionState {
        EjectionState {
            reason: EjectionReason::None,
            until: 0,
            consecutive_failures: 0,
            consecutive_rejections: 0,
            last_failure: 0,
        }
    }

    /// Why the server is ejected at this time.
    pub(crate) fn reason_at(&self, now: Micros) -> EjectionReason {
        if self.until > now { self.reason } else { EjectionReason::None }
    }

    fn eject_unless_failing(&mut self, now: Micros, until: Micros) {
        if self.reason != EjectionReason::Failing || self.until <= now {
            self.reason = EjectionReason::Rejecting;
            self.until = until;
        }
    }

    /// Records that the server rejected a request. The ejection is jittered by node, so that not all nodes retry the server
    /// at once. A server that loads weights rejects everything until it is done, so it is retried at growing intervals.
    pub(crate) fn record_rejection(&mut self, now: Micros, jitter_seed: u64) {
        let span = REJECTION_EJECTION << self.consecutive_rejections.min(MAX_REJECTION_DOUBLINGS);
        self.consecutive_rejections += 1;
        self.eject_unless_failing(now, now + span + mix(jitter_seed ^ now) % span);
    }

    /// Records that the server started a request.
    pub(crate) fn record_start(&mut self) {
        self.consecutive_rejections = 0;
    }

    /// Ejects a server that is about to load weights for this long; 0 ends the ejection.
    pub(crate) fn pause(&mut self, now: Micros, span: Micros) {
        self.eject_unless_failing(now, now + span);
    }

    /// Records the failure of an attempt that was sent at `sent`. Failures of attempts that were sent before the last counted
    /// failure are not counted: they are assumed to have the same cause.
    pub(crate) fn record_failure(&mut self, now: Micros, sent: Micros) {
        if self.consecutive_failures > 0 && sent < self.last_failure {
            return;
        }
        let span = FAILURE_EJECTION << self.consecutive_failures.min(MAX_FAILURE_DOUBLINGS);
        self.consecutive_failures += 1;
        self.last_failure = now;
        self.reason = EjectionReason::Failing;
        self.until = now + span.min(MAX_FAILURE_EJECTION);
    }

    /// Records that the server answered an attempt that was sent at `sent`, which ends an ejection for earlier failures.
    pub(crate) fn record_answer(&mut self, sent: Micros) {
        if self.consecutive_failures > 0 && sent >= self.last_failure {
            self.consecutive_failures = 0;
            if self.reason == EjectionReason::Failing {
                self.until = 0;
            }
        }
    }

    /// Records that another server answered at the server's address.
    pub(crate) fn record_misdirection(&mut self, now: Micros) {
        self.consecutive_failures = self.consecutive_failures.max(MISDIRECTED_FAILURES);
        self.record_failure(now, now);
    }
}
