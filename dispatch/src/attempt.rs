//! One attempt: how far it was written, what ended it, and what follows from the two.

use gradepaddle::{Id, Micros, Outcome};

use crate::fleet::Place;

/// How far an attempt's message has been written to the app server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Extent {
    /// No byte of it: nothing new has been sent.
    #[default]
    Nothing,
    /// Some bytes, not the last: the app server has not begun it.
    Part,
    /// The last byte too: it may have run, or may yet.
    Whole,
}

/// What ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The app server's answer is good and whole.
    Served,
    /// The app server found the request itself at fault.
    Denied,
    /// The app server answered with an error.
    Failed,
    /// The app server turned it away and says that it did not run.
    Unprocessed,
    /// What came back is no answer.
    Spoilt,
    /// No connection came up.
    NoConnection,
    /// The app server was closed to anything new before the first byte.
    Closed,
    /// It was not even tried: no descriptor to spare, or no such app server.
    NotTried,
    /// The connection broke or ended.
    Broke,
    /// Its time ran out.
    OutOfTime,
    /// It was withdrawn.
    Withdrawn,
}

/// What the decisions are told of a probe that ended. It asks for nothing that could run twice, so how far it was
/// written does not matter; an answer of any kind shows that the process is there.
pub fn probed(cause: Cause) -> Outcome {
    match cause {
        Cause::Served => Outcome::Ok,
        Cause::Denied => Outcome::Denied,
        Cause::Failed | Cause::Spoilt => Outcome::Error,
        Cause::Unprocessed => Outcome::Overloaded,
        Cause::NoConnection => Outcome::ConnectFailed,
        Cause::Broke => Outcome::Reset,
        Cause::OutOfTime => Outcome::TimedOut,
        Cause::Withdrawn => Outcome::Cancelled,
        Cause::Closed | Cause::NotTried => Outcome::NotSent,
    }
}

/// What the decisions are told of an attempt that ended: whether it can have run follows from how far it
/// was written, never from the cause alone. Causes that claim an earlier end than the extent allows are
/// taken for a break, which is the worst that fits.
pub fn outcome(extent: Extent, cause: Cause) -> Outcome {
    match (cause, extent) {
        (Cause::Served, _) => Outcome::Ok,
        (Cause::Denied, _) => Outcome::Denied,
        (Cause::Failed | Cause::Spoilt, _) => Outcome::Error,
        (Cause::Unprocessed, _) => Outcome::Overloaded,
        (Cause::Withdrawn, _) => Outcome::Cancelled,
        (Cause::NotTried, Extent::Nothing) => Outcome::NotSent,
        (Cause::OutOfTime, Extent::Whole) => Outcome::TimedOut,
        (Cause::Broke | Cause::NoConnection | Cause::Closed | Cause::NotTried, Extent::Whole) => {
            Outcome::Reset
        }
        // Before the last byte an app server has not begun it.
        (_, Extent::Nothing | Extent::Part) => Outcome::ConnectFailed,
    }
}

/// An attempt as dispatch keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Attempt {
    pub server: Id,
    /// Where that server stands, for what may be repeated only near it.
    pub place: Place,
    pub sent: Micros,
    pub extent: Extent,
    pub withdrawn: bool,
    /// None while it is out.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn is_out(&self) -> bool {
        self.outcome.is_none()
    }

    /// True unless it is proven that it never ran: one that is out may run at any moment.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

#[cfg(test)]
mod tests;
