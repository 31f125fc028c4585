//! Versions that are broken on purpose, chosen at run time: each takes one guard away, in place of
//! [`gradepaddle_dispatch::Rules`] or between the world and dispatch. The daemon holds none of this.

use clap::ValueEnum;
use gradepaddle::Outcome;
use gradepaddle_dispatch::{Cause, Defect, Extent, Guard, outcome};

use crate::property::Property;
use crate::sizes::Sizes;

/// What is broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, ValueEnum)]
pub enum Broken {
    /// Nothing: the rules in service.
    #[default]
    Nothing,
    /// A connection that broke behind the last byte is taken to prove that the attempt never ran.
    ResendAfterReset,
    /// A time-out behind the last byte is taken to prove that the attempt never ran.
    ResendAfterTimeOut,
    /// A transaction of an unsafe class may get another attempt while one is out.
    SecondCopyOfUnsafe,
    /// A second copy is sent where the settings allow none.
    SecondCopyUnset,
    /// A keyed transaction that may have run is tried in another zone, or after its key is forgotten.
    KeyElsewhere,
    /// A transaction that may have run is refused.
    RefusalAfterRun,
    /// The limit of attempts is not heeded.
    BeyondLimit,
    /// A drain is heeded only when the next list comes.
    DrainAtNextList,
    /// Attempts are started at app servers that have drained for longer than the grace.
    DrainForgotten,
    /// A list that calls a banned app server ready ends its ban.
    ListEndsBan,
    /// Bans are forgotten when the balancer dies.
    BanDiesToo,
    /// What an attempt has used up is sent again in part.
    SentSpent,
    /// An attempt writes its first byte without another look at the app server's standing.
    FirstByteUnseen,
    /// An answer and a time-out are both delivered.
    AnswerAndTimeOut,
    /// An ended transaction is kept.
    EndedKept,
    /// What the chooser forgets is never answered.
    NoBackstop,
    /// Attempts begin though their client has gone, where the chooser does not withdraw them.
    BegunForNobody,
}

impl Broken {
    /// All that are broken.
    pub fn all() -> impl Iterator<Item = Broken> {
        Broken::value_variants().iter().copied().filter(|broken| *broken != Broken::Nothing)
    }

    /// Its name on the command line.
    pub fn name(self) -> String {
        self.to_possible_value().map_or_else(String::new, |value| value.get_name().to_owned())
    }

    /// The promise that it must be seen to break.
    pub fn breaks(self) -> Option<Property> {
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

    /// A case small enough to show the shortest way, yet with all that the breach needs.
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
