//! The invariants that must hold in every reachable state, with their names and descriptions. `world.rs` detects a
//! violation at the event that causes it.

use std::fmt;

/// An invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Property {
    /// A transaction gets at most one final answer, and none after its client has disconnected.
    OneAnswer,
    /// A served answer belongs to its transaction, and no two open transactions have the same client request id.
    OwnAnswer,
    /// Two attempts of an unsafe transaction are never both written completely, unless the app server of the first
    /// reported that it did not run.
    NoRepeat,
    /// No attempt starts while another is in flight, where the class or the settings allow no concurrent attempts.
    NoSecondCopy,
    /// A transaction has no more attempts than the settings allow.
    AttemptLimit,
    /// No attempt starts at, and no first byte is written to, an app server that was reported draining or gone, or
    /// banned by the operators, longer ago than the drain grace.
    NothingNewToClosed,
    /// No attempt starts after an earlier one has consumed part of the request body.
    UsedOnce,
    /// Once an attempt of a keyed transaction is in flight, or may have run, another starts only in its zone and
    /// while the zone remembers the key.
    KeptKey,
    /// A transaction that may have run is never refused, unless it is safe to repeat.
    HonestRefusal,
    /// A transaction whose client waits is answered by its deadline.
    AnsweredInTime,
    /// No state is kept for a transaction that is answered and whose attempts have ended.
    NothingKept,
    /// No attempt writes its first byte after its client has disconnected.
    NothingForTheGone,
    /// The production chooser requests nothing that the guard forbids.
    NoDefect,
}

impl Property {
    /// All properties, in the order in which they are reported.
    pub const ALL: [Property; 13] = [
        Property::OneAnswer,
        Property::OwnAnswer,
        Property::NoRepeat,
        Property::NoSecondCopy,
        Property::AttemptLimit,
        Property::NothingNewToClosed,
        Property::UsedOnce,
        Property::KeptKey,
        Property::HonestRefusal,
        Property::AnsweredInTime,
        Property::NothingKept,
        Property::NothingForTheGone,
        Property::NoDefect,
    ];

    /// The property's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Property::OneAnswer => "one-answer",
            Property::OwnAnswer => "own-answer",
            Property::NoRepeat => "no-repeat",
            Property::NoSecondCopy => "no-second-copy",
            Property::AttemptLimit => "attempt-limit",
            Property::NothingNewToClosed => "nothing-new-to-closed",
            Property::UsedOnce => "used-once",
            Property::KeptKey => "kept-key",
            Property::HonestRefusal => "honest-refusal",
            Property::AnsweredInTime => "answered-in-time",
            Property::NothingKept => "nothing-kept",
            Property::NothingForTheGone => "nothing-for-the-gone",
            Property::NoDefect => "no-defect",
        }
    }

    /// What the property requires, as one sentence.
    pub fn description(self) -> &'static str {
        match self {
            Property::OneAnswer => {
                "a transaction gets at most one final answer, and none after its client has disconnected"
            }
            Property::OwnAnswer => {
                "a served answer belongs to its transaction, and no two open transactions have the same \
                 client request id"
            }
            Property::NoRepeat => {
                "two attempts of an unsafe transaction are never both written completely, unless the app \
                 server of the first reported that it did not run"
            }
            Property::NoSecondCopy => {
                "no attempt starts while another is in flight, where the class or the settings allow no \
                 concurrent attempts"
            }
            Property::AttemptLimit => "a transaction has no more attempts than the settings allow",
            Property::NothingNewToClosed => {
                "no attempt starts at, and no first byte is written to, an app server that was reported \
                 draining or gone, or banned by the operators, longer ago than the drain grace"
            }
            Property::KeptKey => {
                "once an attempt of a keyed transaction is in flight, or may have run, another starts only in \
                 its zone and while the zone remembers the key"
            }
            Property::UsedOnce => {
                "no attempt starts after an earlier one has consumed part of the request body"
            }
            Property::HonestRefusal => {
                "a transaction that may have run is never refused, unless it is safe to repeat"
            }
            Property::AnsweredInTime => "a transaction whose client waits is answered by its deadline",
            Property::NothingKept => {
                "no state is kept for a transaction that is answered and whose attempts have ended"
            }
            Property::NothingForTheGone => {
                "no attempt writes its first byte after its client has disconnected"
            }
            Property::NoDefect => "the production chooser requests nothing that the guard forbids",
        }
    }
}

impl fmt::Display for Property {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
