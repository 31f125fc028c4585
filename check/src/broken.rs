//! Versions that are broken on purpose, to show that the checker finds the fault. Each is selected at run time and
//! lifts one safeguard, either in place of [`gradepaddle_dispatch::Rules`] or between the modelled environment and
//! dispatch. None of this code is compiled into the daemon.

use clap::ValueEnum;
use gradepaddle::Outcome;
use gradepaddle_dispatch::{Cause, Defect, Extent, Guard, outcome};

use crate::property::Property;
use crate::sizes::Sizes;

/// The fault that is injected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, ValueEnum)]
pub enum Broken {
    /// No fault: the production rules.
    #[default]
    Nothing,
    /// A connection reset after the last byte is taken as proof that the attempt did not run.
    ResendAfterReset,
    /// A timeout after the last byte is taken as proof that the attempt did not run.
    ResendAfterTimeOut,
    /// A transaction of an unsafe class may get another attempt while one is in flight.
    SecondCopyOfUnsafe,
    /// A concurrent attempt is sent although the settings do not allow it.
    SecondCopyUnset,
    /// A keyed transaction that may have run is retried in another zone, or after its deduplication window.
    KeyElsewhere,
    /// A transaction that may have run is refused.
    RefusalAfterRun,
    /// The limit on attempts is not enforced.
    BeyondLimit,
    /// A drain takes effect only with the next service table.
    DrainAtNextList,
    /// Attempts start at app servers that have been draining for longer than the drain grace.
    DrainForgotten,
    /// A service table that reports a banned app server ready ends its ban.
    ListEndsBan,
    /// Bans are lost when the balancer crashes.
    BanDiesToo,
    /// A request is sent again after an attempt has consumed part of its body, so the resent body is incomplete.
    SentSpent,
    /// An attempt writes its first byte without checking again whether the app server is open.
    FirstByteUnseen,
    /// Both an answer and a timeout are delivered to the client.
    AnswerAndTimeOut,
    /// The state of a finished transaction is not removed.
    EndedKept,
    /// A transaction that the chooser never answers does not time out.
    NoBackstop,
    /// Unstarted attempts whose client has disconnected are not cancelled, unless the chooser cancels them.
    BegunForNobody,
}

impl Broken {
    /// All versions that have a fault.
    pub fn all() -> impl Iterator<Item = Broken> {
        Broken::value_variants().iter().copied().filter(|broken| *broken != Broken::Nothing)
    }

    /// The version's name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
    }

    /// The property that the checker must find violated; `None` for [`Broken::Nothing`].
    pub fn expected_breach(self) -> Option<Property> {
        Some(match self {
            Broken::Nothing => return None,
            Broken::ResendAfterReset | Broken::ResendAfterTimeOut => Property::NoRepeat,
            Broken::SecondCopyOfUnsafe | Broken::SecondCopyUnset => Property::NoSecondCopy,
            Broken::KeyElsewhere => Property::KeptKey,
            Broken::RefusalAfterRun => Property::HonestRefusal,
            Broken::BeyondLimit => Property::AttemptLimit,
            Broken::DrainAtNextList
            | Broken::DrainForgotten
            | Broken::ListEndsBan
            | Broken::BanDiesToo
            | Broken::FirstByteUnseen => Property::NothingNewToClosed,
            Broken::SentSpent => Property::UsedOnce,
            Broken::AnswerAndTimeOut => Property::OneAnswer,
            Broken::EndedKept => Property::NothingKept,
            Broken::NoBackstop => Property::AnsweredInTime,
            Broken::BegunForNobody => Property::NothingForTheGone,
        })
    }

    /// The smallest case that still contains everything that the violation needs, so that its shortest path is found
    /// quickly.
    pub fn sizes(self) -> Sizes {
        let one = Sizes { transactions: 1, leaves: 0, ..Sizes::default() };
        match self {
            Broken::SecondCopyUnset => {
                Sizes { second_copies: false, classes: vec![crate::sizes::Kind::Safe], ..one }
            }
            Broken::BeyondLimit => Sizes { classes: vec![crate::sizes::Kind::Safe], ..one },
            Broken::ListEndsBan => {
                Sizes { bans: 1, drains: 0, old_lists: 1, classes: vec![crate::sizes::Kind::Unsafe], ..one }
            }
            Broken::BanDiesToo => {
                let classes = vec![crate::sizes::Kind::Unsafe];
                Sizes { bans: 1, drains: 0, crashes: 1, transactions: 2, classes, ..one }
            }
            Broken::KeyElsewhere => Sizes { classes: vec![crate::sizes::Kind::Keyed], ..one },
            Broken::SentSpent => Sizes { flows: true, classes: vec![crate::sizes::Kind::Unsafe], ..one },
            Broken::BegunForNobody => {
                let classes = vec![crate::sizes::Kind::Unsafe];
                Sizes { leaves: 1, attempts: 1, drains: 0, deadline: 1, classes, ..one }
            }
            _ => Sizes { classes: vec![crate::sizes::Kind::Unsafe], ..one },
        }
    }
}

impl Guard for Broken {
    fn enforces(&self, defect: Defect) -> bool {
        let lifted = match self {
            Broken::SecondCopyOfUnsafe => Defect::RepeatedUnsafe,
            Broken::SecondCopyUnset => Defect::SecondCopy,
            Broken::RefusalAfterRun => Defect::RefusedAfterRun,
            Broken::BeyondLimit => Defect::TooManyAttempts,
            Broken::DrainForgotten => Defect::SentToClosed,
            Broken::AnswerAndTimeOut => Defect::SecondAnswer,
            Broken::KeyElsewhere => Defect::RepeatedUnsafe,
            Broken::SentSpent => Defect::SentAfterBodyConsumed,
            _ => return true,
        };
        defect != lifted
    }

    fn outcome(&self, extent: Extent, cause: Cause) -> Outcome {
        match (self, cause) {
            (Broken::ResendAfterReset, Cause::Broke) => Outcome::ConnectFailed,
            (Broken::ResendAfterTimeOut, Cause::OutOfTime) => Outcome::ConnectFailed,
            _ => outcome(extent, cause),
        }
    }

    fn removes_finished(&self) -> bool {
        *self != Broken::EndedKept
    }

    fn cancels_unstarted(&self) -> bool {
        *self != Broken::BegunForNobody
    }

    fn fails_overdue(&self) -> bool {
        *self != Broken::NoBackstop
    }
}
