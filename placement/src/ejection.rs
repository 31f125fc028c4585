//! Outlier ejection: servers that fail or reject requests are left out of the selection for a growing time.

use gradepaddle::cost::mix;

use crate::time::Micros;

/// The first ejection after a failure; each further one doubles it, up to the maximum.
const FAILURE_EJECTION: Micros = 200_000;
const MAX_FAILURE_EJECTION: Micros = 2_000_000;
const MAX_FAILURE_DOUBLINGS: u32 = 4;
/// The shortest ejection after a rejection; it is up to twice as long, by a hash of the node, and doubles with each further
/// rejection up to so many times.
const REJECTION_EJECTION: Micros = 150_000;
const MAX_REJECTION_DOUBLINGS: u32 = 3;
/// Failures that a server counts as having at least, once another one answered at its address.
const MISDIRECTED_FAILURES: u32 = 3;

/// Why a server is left out; in the order in which ejected servers are resorted to when no other one is left.
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

/// Whether a server is ejected, and what it did to get there.
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

    /// Why the server is left out at this time.
    pub(crate) fn reason_at(&self, now: Micros) -> EjectionReason {
        if self.until > now { self.reason } else { EjectionReason::None }
    }

    fn eject_unless_failing(&mut self, now: Micros, until: Micros) {
        if self.reason != EjectionReason::Failing || self.until <= now {
            self.reason = EjectionReason::Rejecting;
            self.until = until;
        }
    }

    /// It rejected a request. The ejection is jittered by node, so that not all nodes come back at once. A server that
    /// loads weights rejects everything until it is done: it is asked again at growing intervals.
    pub(crate) fn record_rejection(&mut self, now: Micros, jitter_seed: u64) {
        let span = REJECTION_EJECTION << self.consecutive_rejections.min(MAX_REJECTION_DOUBLINGS);
        self.consecutive_rejections += 1;
        self.eject_unless_failing(now, now + span + mix(jitter_seed ^ now) % span);
    }

    /// It started a request.
    pub(crate) fn record_start(&mut self) {
        self.consecutive_rejections = 0;
    }

    /// It is about to load weights: it is left out for this long, 0 ends that.
    pub(crate) fn pause(&mut self, now: Micros, span: Micros) {
        self.eject_unless_failing(now, now + span);
    }

    /// An attempt that was sent at `sent` failed. Failures of attempts that were sent before the last counted failure do
    /// not count again: they have one cause.
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

    /// It answered an attempt that was sent at this time.
    pub(crate) fn record_answer(&mut self, sent: Micros) {
        if self.consecutive_failures > 0 && sent >= self.last_failure {
            self.consecutive_failures = 0;
            if self.reason == EjectionReason::Failing {
                self.until = 0;
            }
        }
    }

    /// Another server answered at its address.
    pub(crate) fn record_misdirection(&mut self, now: Micros) {
        self.consecutive_failures = self.consecutive_failures.max(MISDIRECTED_FAILURES);
        self.record_failure(now, now);
    }
}
