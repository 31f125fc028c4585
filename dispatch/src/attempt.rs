//! One attempt: how much of it was written, what ended it, and the outcome that follows from the two.

use gradepaddle::{Id, Micros, Outcome};

use crate::fleet::Location;

/// How much of an attempt's message has been written to the app server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Extent {
    /// No byte was written.
    #[default]
    Nothing,
    /// Some bytes were written, but not the last: the app server has not begun to process the request.
    Part,
    /// The last byte was written: the request may have run, or may still run.
    Whole,
}

/// What ended an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// The app server sent a complete, successful response.
    Served,
    /// The app server rejected the request itself as invalid.
    Denied,
    /// The app server answered with an error.
    Failed,
    /// The app server rejected the request and states that it did not run.
    Unprocessed,
    /// The app server sent an invalid response.
    Spoilt,
    /// No connection could be established.
    NoConnection,
    /// The app server was closed to new requests before the first byte was written.
    Closed,
    /// No connection was attempted: no file descriptor was free, or the app server is unknown.
    NotTried,
    /// The connection was reset or closed.
    Broke,
    /// It timed out.
    OutOfTime,
    /// It was withdrawn.
    Withdrawn,
}

/// The outcome reported to the chooser for a probe that ended. A probe causes nothing that could run twice, so how much
/// of it was written does not matter; a response of any kind shows that the process is alive.
pub fn probe_outcome(cause: Cause) -> Outcome {
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

/// The outcome reported to the chooser for an attempt that ended. Whether it can have run follows from how much of it was
/// written, never from the cause alone. A cause that implies less written than the extent says counts as a reset, the
/// worst outcome consistent with both.
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
        // An app server does not begin to process a request before its last byte.
        (_, Extent::Nothing | Extent::Part) => Outcome::ConnectFailed,
    }
}

/// The record of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Attempt {
    pub server: Id,
    /// Where that app server is: some keyed requests may be repeated only in its zone or cell.
    pub location: Location,
    pub sent: Micros,
    pub extent: Extent,
    pub withdrawn: bool,
    /// None while it is in flight.
    pub outcome: Option<Outcome>,
}

impl Attempt {
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// True unless the outcome proves that the attempt never ran. One that is in flight may run at any moment.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }
}

#[cfg(test)]
mod tests;
