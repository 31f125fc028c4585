//! What must hold in every state that can be reached, in words and in code. `world.rs` finds a breach
//! where the event happens; here stands what each of them means.

use std::fmt;

/// A promise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Property {
    /// See [`Property::words`].
    OneAnswer,
    /// See [`Property::words`].
    OwnAnswer,
    /// See [`Property::words`].
    NoRepeat,
    /// See [`Property::words`].
    NoSecondCopy,
    /// See [`Property::words`].
    AttemptLimit,
    /// See [`Property::words`].
    NothingNewToClosed,
    /// See [`Property::words`].
    UsedOnce,
    /// See [`Property::words`].
    KeptKey,
    /// See [`Property::words`].
    HonestRefusal,
    /// See [`Property::words`].
    AnsweredInTime,
    /// See [`Property::words`].
    NothingKept,
    /// See [`Property::words`].
    NothingForTheGone,
    /// See [`Property::words`].
    NoDefect,
}

impl Property {
    /// All of them, in the order in which they are reported.
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

    /// Its name on the command line and in reports.
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

    /// What it promises.
    pub fn words(self) -> &'static str {
        match self {
            Property::OneAnswer => "a transaction gets one final answer, and none after its client has left",
            Property::OwnAnswer => {
                "what is served was made for this transaction, and no two with one id are open at once"
            }
            Property::NoRepeat => {
                "two attempts of an unsafe transaction are never both written whole, unless the app server \
                 of the first said that it did not run"
            }
            Property::NoSecondCopy => {
                "no attempt starts while another is out, where the class or the settings allow no second copy"
            }
            Property::AttemptLimit => "a transaction has no more attempts than the settings allow",
            Property::NothingNewToClosed => {
                "no attempt starts at, and no first byte goes to, an app server that was told draining or \
                 gone, or taken out by the operators, longer ago than the grace"
            }
            Property::KeptKey => {
                "once an attempt of a keyed transaction is out, or may have run, another starts only in its zone \
                 and while its key is remembered there"
            }
            Property::UsedOnce => "no attempt starts of what an earlier one has used up",
            Property::HonestRefusal => {
                "a transaction that may have run is never refused, unless it is safe to repeat"
            }
            Property::AnsweredInTime => "a transaction whose client waits is answered by its deadline",
            Property::NothingKept => {
                "nothing is kept of a transaction once it is answered and its attempts ended"
            }
            Property::NothingForTheGone => "no attempt begins once its client has left",
            Property::NoDefect => "the decisions in service ask for nothing that the guard forbids",
        }
    }
}

impl fmt::Display for Property {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}
