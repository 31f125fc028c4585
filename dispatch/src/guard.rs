//! The rules that hold whatever is chosen, each with a name. The guard never picks: it only keeps an action
//! that would break one from being carried out.

use std::fmt;

use gradepaddle::{Class, DeduplicationScope, Idempotency, Micros, Outcome, Settings};

use crate::attempt::{Attempt, Cause, Extent, outcome};
use crate::dispatch::Limits;
use crate::fleet::{Place, Standing};
use crate::transaction::Open;

/// A rule that an action would have broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Defect {
    /// Another attempt of a transaction that may have run, beyond what its class allows.
    RepeatedUnsafe,
    /// A second attempt while one is out, where the settings allow none.
    SecondCopy,
    /// More attempts than the settings allow.
    TooManyAttempts,
    /// A send to an app server that was told draining or gone longer ago than the grace.
    SentToClosed,
    /// A send to an app server that the service table does not name.
    SentToUnknown,
    /// A send to an app server that is not open to the class.
    SentOutsideClass,
    /// A send for a transaction that has its final answer.
    SentAfterAnswer,
    /// A send of what an earlier attempt has used up.
    SentAfterBodyConsumed,
    /// A refusal of a transaction that may have run, where that is not harmless.
    RefusedAfterRun,
    /// A final answer to a transaction that has one, or that nobody waits for.
    SecondAnswer,
    /// No final answer by the deadline.
    Unanswered,
    /// An attempt whose end was not told long after its time.
    NeverEnded,
    /// A probe of an app server that may be sent nothing, or where the settings allow none.
    ProbeNotAllowed,
}

impl Defect {
    /// All kinds, in the order of their counts.
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
            Defect::RepeatedUnsafe => "another attempt of what may have run",
            Defect::SecondCopy => "a second copy where none is allowed",
            Defect::TooManyAttempts => "more attempts than are allowed",
            Defect::SentToClosed => "a send to an app server that drains or is gone",
            Defect::SentToUnknown => "a send to an app server that is not in the table",
            Defect::SentOutsideClass => "a send to an app server that is not open to the class",
            Defect::SentAfterAnswer => "a send after the final answer",
            Defect::SentAfterBodyConsumed => "a send of what is kept no more",
            Defect::RefusedAfterRun => "a refusal of what may have run",
            Defect::SecondAnswer => "a second final answer",
            Defect::Unanswered => "no final answer by the deadline",
            Defect::NeverEnded => "an attempt that never ended",
            Defect::ProbeNotAllowed => "a probe where none may be sent",
        })
    }
}

/// How often each rule was about to be broken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Defects([u64; Defect::ALL.len()]);

impl Defects {
    /// How often this one.
    pub fn count(&self, defect: Defect) -> u64 {
        self.0[defect as usize]
    }

    /// All of them.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// Counts one more; true at the first of its kind.
    pub(crate) fn add(&mut self, defect: Defect) -> bool {
        self.0[defect as usize] += 1;
        self.0[defect as usize] == 1
    }
}

/// Where the rules can be replaced, so that the exhaustive check can show that it catches what they guard
/// against. [`Rules`] is the only one for service and overrides nothing.
pub trait Guard {
    /// Is this kept from being carried out?
    fn enforces(&self, _defect: Defect) -> bool {
        true
    }

    /// Whether an attempt that ended can have run, and how the decisions are to take it.
    fn outcome(&self, extent: Extent, cause: Cause) -> Outcome {
        outcome(extent, cause)
    }

    /// Is a transaction forgotten once it is answered and its last attempt has ended?
    fn removes_finished(&self) -> bool {
        true
    }

    /// Is what was not begun held back once its client has gone?
    fn cancels_unstarted(&self) -> bool {
        true
    }

    /// Does a transaction that the decisions forget fail by itself past its deadline?
    fn fails_overdue(&self) -> bool {
        true
    }
}

/// The rules, all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Rules;

impl Guard for Rules {}

/// What of the settings the guard goes by.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Rulebook {
    classes: Vec<Class>,
    max_attempts: usize,
    second_copies: bool,
    /// Running attempts may be withdrawn.
    pub cancel: bool,
    probes: bool,
    grace: Micros,
}

impl Rulebook {
    pub fn new(settings: &Settings, limits: &Limits) -> Self {
        Rulebook {
            classes: settings.classes.clone(),
            max_attempts: settings.max_attempts as usize,
            second_copies: settings.hedging,
            cancel: settings.cancel,
            probes: settings.probes,
            grace: limits.drain_grace,
        }
    }

    /// The rule that another attempt at this app server would break, if any.
    pub fn send<M, R>(
        &self,
        now: Micros,
        open: &Open<M, R>,
        server: Option<(Standing, Place)>,
    ) -> Option<Defect> {
        if !open.answer_pending {
            return Some(Defect::SentAfterAnswer);
        }
        if open.attempts.len() >= self.max_attempts {
            return Some(Defect::TooManyAttempts);
        }
        if open.spent.is_some() {
            return Some(Defect::SentAfterBodyConsumed);
        }
        let Some((standing, place)) = server else { return Some(Defect::SentToUnknown) };
        if standing.closed().is_some_and(|at| now > at.saturating_add(self.grace)) {
            return Some(Defect::SentToClosed);
        }
        // A class that is not in the settings has nothing that it may do.
        let Some(class) = self.classes.get(open.class) else { return Some(Defect::SentOutsideClass) };
        if !class.open_to(place.zone, place.kind) {
            return Some(Defect::SentOutsideClass);
        }
        if let Some(first) = open.attempts.iter().find(|attempt| attempt.may_have_run()) {
            let allowed = match effect(class, open) {
                Idempotency::Safe => true,
                Idempotency::Unsafe => false,
                Idempotency::Keyed { window, .. } if now > first.sent.saturating_add(window) => false,
                Idempotency::Keyed { scope: DeduplicationScope::All, .. } => true,
                Idempotency::Keyed { scope: DeduplicationScope::Zone, .. } => first.place.zone == place.zone,
                Idempotency::Keyed { scope: DeduplicationScope::Cell, .. } => first.place.cell == place.cell,
            };
            if !allowed {
                return Some(Defect::RepeatedUnsafe);
            }
        }
        if !self.second_copies && open.attempts.iter().any(Attempt::is_out) {
            return Some(Defect::SecondCopy);
        }
        None
    }

    /// The rule that a probe of this app server would break, if any. Unlike an attempt it has no grace: nobody
    /// waits for it.
    pub fn probe(&self, standing: Option<Standing>) -> Option<Defect> {
        (!self.probes || standing != Some(Standing::Open)).then_some(Defect::ProbeNotAllowed)
    }

    /// True if a refusal would promise what is not known.
    pub fn refusal_lies<M, R>(&self, open: &Open<M, R>) -> bool {
        let harmless = matches!(
            self.classes.get(open.class).map(|class| effect(class, open)),
            Some(Idempotency::Safe | Idempotency::Keyed { scope: DeduplicationScope::All, .. })
        );
        !harmless && open.attempts.iter().any(Attempt::may_have_run)
    }
}

/// What its class allows, unless nothing names it to those that would drop a repeat.
fn effect<M, R>(class: &Class, open: &Open<M, R>) -> Idempotency {
    if open.once && class.idempotency != Idempotency::Safe { Idempotency::Unsafe } else { class.idempotency }
}
