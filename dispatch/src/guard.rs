//! The rules that hold whatever the chooser decides, each with a name. The guard makes no decisions of its own: it
//! only stops actions that would break a rule.

use std::fmt;

use gradepaddle::{Class, DeduplicationScope, Idempotency, Micros, Outcome, Settings};

use crate::attempt::{Attempt, Cause, Extent, outcome};
use crate::dispatch::Limits;
use crate::fleet::{Availability, Location};
use crate::transaction::OpenTransaction;

/// A rule that an action would have broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Defect {
    /// Another attempt of a transaction that may have run, where its class does not allow a repeat.
    RepeatedUnsafe,
    /// A second attempt while one is in flight, where the settings do not allow it.
    SecondCopy,
    /// More attempts than the settings allow.
    TooManyAttempts,
    /// A send to an app server that was reported draining or gone longer ago than the drain grace.
    SentToClosed,
    /// A send to an app server that the service table does not name.
    SentToUnknown,
    /// A send to an app server that is not open to the class.
    SentOutsideClass,
    /// A send for a transaction that has its final answer.
    SentAfterAnswer,
    /// A send after an earlier attempt consumed the request body, which cannot be replayed.
    SentAfterBodyConsumed,
    /// A refusal, which invites a retry, of a transaction that may have run and is unsafe to repeat.
    RefusedAfterRun,
    /// A final answer to a transaction that already has one or whose client has disconnected.
    SecondAnswer,
    /// No final answer by the deadline.
    Unanswered,
    /// An attempt whose end was not reported long after its deadline.
    NeverEnded,
    /// A probe of an app server that is not open, or where the settings allow no probes.
    ProbeNotAllowed,
}

impl Defect {
    /// All defects, in the order in which [`Defects`] counts them.
    pub const ALL: [Defect; 13] = [
        Defect::RepeatedUnsafe,
        Defect::SecondCopy,
        Defect::TooManyAttempts,
        Defect::SentToClosed,
        Defect::SentToUnknown,
        Defect::SentOutsideClass,
        Defect::SentAfterAnswer,
        Defect::SentAfterBodyConsumed,
        Defect::RefusedAfterRun,
        Defect::SecondAnswer,
        Defect::Unanswered,
        Defect::NeverEnded,
        Defect::ProbeNotAllowed,
    ];
}

impl fmt::Display for Defect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Defect::RepeatedUnsafe => "another attempt of a transaction that may have run",
            Defect::SecondCopy => "a second concurrent attempt, which the settings do not allow",
            Defect::TooManyAttempts => "more attempts than the settings allow",
            Defect::SentToClosed => "a send to an app server that is draining or gone",
            Defect::SentToUnknown => "a send to an app server that is not in the service table",
            Defect::SentOutsideClass => "a send to an app server that is not open to the class",
            Defect::SentAfterAnswer => "a send after the final answer",
            Defect::SentAfterBodyConsumed => "a send after the request body was consumed",
            Defect::RefusedAfterRun => "a refusal of a transaction that may have run",
            Defect::SecondAnswer => "a second final answer",
            Defect::Unanswered => "no final answer by the deadline",
            Defect::NeverEnded => "an attempt that never ended",
            Defect::ProbeNotAllowed => "a probe that is not allowed",
        })
    }
}

/// How often an action would have broken each rule.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Defects([u64; Defect::ALL.len()]);

impl Defects {
    /// How often this rule would have been broken.
    pub fn count(&self, defect: Defect) -> u64 {
        self.0[defect as usize]
    }

    /// The sum over all rules.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Counts one defect; true if it is the first of its kind.
    pub(crate) fn add(&mut self, defect: Defect) -> bool {
        self.0[defect as usize] += 1;
        self.0[defect as usize] == 1
    }
}

/// Lets the exhaustive check switch off single rules, to show that it catches what they guard against. Production uses
/// [`Rules`], which overrides nothing.
pub trait Guard {
    /// True if actions with this defect are stopped.
    fn enforces(&self, _defect: Defect) -> bool {
        true
    }

    /// The outcome reported to the chooser for an attempt that ended; it says whether the attempt can have run.
    fn outcome(&self, extent: Extent, cause: Cause) -> Outcome {
        outcome(extent, cause)
    }

    /// True if a transaction is removed once it is answered and its last attempt has ended.
    fn removes_finished(&self) -> bool {
        true
    }

    /// True if attempts that have not begun are cancelled when their client disconnects.
    fn cancels_unstarted(&self) -> bool {
        true
    }

    /// True if a transaction that the chooser leaves unanswered past its deadline fails by itself.
    fn fails_overdue(&self) -> bool {
        true
    }
}

/// Enforces every rule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Rules;

impl Guard for Rules {}

/// Checks actions against the rules, with the settings that the rules depend on.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RuleChecker {
    classes: Vec<Class>,
    max_attempts: usize,
    hedging: bool,
    /// Running attempts may be withdrawn.
    pub cancel: bool,
    probes: bool,
    drain_grace: Micros,
}

impl RuleChecker {
    pub fn new(settings: &Settings, limits: &Limits) -> Self {
        RuleChecker {
            classes: settings.classes.clone(),
            max_attempts: settings.max_attempts as usize,
            hedging: settings.hedging,
            cancel: settings.cancel,
            probes: settings.probes,
            drain_grace: limits.drain_grace,
        }
    }

    /// The rule that another attempt at this app server would break, if any.
    pub fn check_send<M, R>(
        &self,
        now: Micros,
        open: &OpenTransaction<M, R>,
        server: Option<(Availability, Location)>,
    ) -> Option<Defect> {
        if !open.answer_pending {
            return Some(Defect::SentAfterAnswer);
        }
        if open.attempts.len() >= self.max_attempts {
            return Some(Defect::TooManyAttempts);
        }
        if open.consumed_by.is_some() {
            return Some(Defect::SentAfterBodyConsumed);
        }
        let Some((availability, location)) = server else { return Some(Defect::SentToUnknown) };
        if availability.closed_since().is_some_and(|at| now > at.saturating_add(self.drain_grace)) {
            return Some(Defect::SentToClosed);
        }
        // A class that is not in the settings may be sent nowhere.
        let Some(class) = self.classes.get(open.class) else { return Some(Defect::SentOutsideClass) };
        if !class.open_to(location.zone, location.kind) {
            return Some(Defect::SentOutsideClass);
        }
        if let Some(first) = open.attempts.iter().find(|attempt| attempt.may_have_run()) {
            let allowed = match idempotency(class, open) {
                Idempotency::Safe => true,
                Idempotency::Unsafe => false,
                Idempotency::Keyed { window, .. } if now > first.sent.saturating_add(window) => false,
                Idempotency::Keyed { scope: DeduplicationScope::All, .. } => true,
                Idempotency::Keyed { scope: DeduplicationScope::Zone, .. } => {
                    first.location.zone == location.zone
                }
                Idempotency::Keyed { scope: DeduplicationScope::Cell, .. } => {
                    first.location.cell == location.cell
                }
            };
            if !allowed {
                return Some(Defect::RepeatedUnsafe);
            }
        }
        if !self.hedging && open.attempts.iter().any(Attempt::is_in_flight) {
            return Some(Defect::SecondCopy);
        }
        None
    }

    /// The rule that a probe of this app server would break, if any. Unlike an attempt, a probe has no drain grace: no
    /// client waits for it.
    pub fn check_probe(&self, availability: Option<Availability>) -> Option<Defect> {
        (!self.probes || availability != Some(Availability::Open)).then_some(Defect::ProbeNotAllowed)
    }

    /// True if a refusal would claim that the request can be retried safely although an attempt may have run.
    pub fn refusal_would_mislead<M, R>(&self, open: &OpenTransaction<M, R>) -> bool {
        let harmless = matches!(
            self.classes.get(open.class).map(|class| idempotency(class, open)),
            Some(Idempotency::Safe | Idempotency::Keyed { scope: DeduplicationScope::All, .. })
        );
        !harmless && open.attempts.iter().any(Attempt::may_have_run)
    }
}

/// The repeats that the transaction's class allows. Without an idempotency key (`once`) app servers cannot drop repeats,
/// so only safe classes may be repeated.
fn idempotency<M, R>(class: &Class, open: &OpenTransaction<M, R>) -> Idempotency {
    if open.once && class.idempotency != Idempotency::Safe { Idempotency::Unsafe } else { class.idempotency }
}
