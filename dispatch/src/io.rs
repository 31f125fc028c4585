//! What goes into dispatch and what comes out of it.

use std::sync::Arc;

use gradepaddle::{Id, ListKind, LoadReport, Micros, Server};

use crate::attempt::{Cause, Extent};
use crate::guard::Defect;

/// Names a transaction within one dispatch. The shell hands them out and never uses one again; clients'
/// own ids may repeat, these may not.
pub type Ticket = u64;

/// A client's request, as far as decisions need it, and the message to hand on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Transaction<M> {
    /// The client's own id for it.
    pub client_request_id: Arc<[u8]>,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings.
    pub tenant: Option<usize>,
    /// What it is about.
    pub key: Option<String>,
    /// Nothing names it to app servers that drop repeats: whatever its class says, it may run once only.
    pub once: bool,
    /// Its client's guess at the work, on a standard core.
    pub hint: Option<Micros>,
    /// When its last byte had come, or when it was taken.
    pub arrived: Micros,
    /// How long the client waits from its last byte on.
    pub time_left: Micros,
    /// Its last byte has come; else [`Input::Uploaded`] tells of that.
    pub upload_complete: bool,
    /// What goes to the app server; cloned for each attempt.
    pub message: M,
}

/// The one final answer that a transaction gets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer<R> {
    /// Served: an app server's answer.
    Served(R),
    /// A short-on-capacity reply: trying again after this pause is harmless.
    Refused {
        /// How long the client should stay away.
        pause: Micros,
    },
    /// Turned down: a transaction with the same id of its client's is open.
    DuplicateId,
    /// Failed, and nothing is said about what has happened.
    Failed {
        /// No app server answered in time.
        timed_out: bool,
        /// The last app server's own words, if it said any that may be passed on.
        reply: Option<R>,
    },
}

impl<R> FinalAnswer<R> {
    /// Its kind in one word, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Refused { .. } => "refused",
            FinalAnswer::DuplicateId => "known",
            FinalAnswer::Failed { .. } => "failed",
        }
    }
}

/// What dispatch is told. Inputs come in the order in which they happened, with times that never go back.
#[derive(Clone, Debug)]
pub enum Input<M, R> {
    /// A transaction has been taken. From here on it is owed one final answer.
    Accepted {
        /// Its name, never used before.
        ticket: Ticket,
        /// What it is.
        transaction: Transaction<M>,
    },
    /// The client has left; nothing is owed to it any more. Says nothing new after the final answer.
    ClientDisconnected {
        /// The transaction.
        ticket: Ticket,
    },
    /// The last byte of a transaction has come that was taken before that: its client's time begins.
    Uploaded {
        /// The transaction.
        ticket: Ticket,
    },
    /// What this attempt passes on is kept no more, so no other attempt can be made.
    BodyConsumed {
        /// The transaction.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// How far an attempt has been written by now. A shell may leave this out and say it at the end.
    Written {
        /// The transaction.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
        /// How far.
        extent: Extent,
    },
    /// An attempt has ended. Each one that was started is to end exactly once.
    AttemptEnded {
        /// The transaction.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
        /// How far it was written.
        extent: Extent,
        /// What ended it.
        cause: Cause,
        /// What the app server said, as far as it may be passed on.
        reply: Option<R>,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// A probe has ended. Each one that was started is to end exactly once.
    ProbeEnded {
        /// The app server.
        server: Id,
        /// What ended it; [`Cause::Denied`] if the app server has nothing to be probed at.
        cause: Cause,
        /// The load report that came along.
        report: Option<LoadReport>,
    },
    /// The service table, or changes of it.
    ServerList {
        /// What the entries stand for.
        kind: ListKind,
        /// The entries.
        servers: Vec<Server>,
    },
    /// The operators take an app server out, or call it back. Twice the same changes nothing.
    Ban {
        /// The app server, listed or not.
        server: Id,
        /// Since when it is out; none if it is called back. A ban of a process before this one has had its grace.
        since: Option<Micros>,
    },
    /// The time that [`crate::Dispatch::due`] named has come.
    Tick,
}

/// What the shell is to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<M, R> {
    /// Start an attempt.
    Start {
        /// The transaction.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
        /// Where.
        server: Id,
        /// What is sent.
        message: M,
        /// When to give it up.
        until: Micros,
    },
    /// Withdraw an attempt. It still ends, by this or by what came first.
    Withdraw {
        /// The transaction.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// Do not begin this attempt: its client has gone. One of which a byte is written goes on; the other ends as if it
    /// were withdrawn, also where running attempts may not be.
    CancelUnstarted {
        /// The transaction.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// Give the client its final answer.
    Answer {
        /// The transaction.
        ticket: Ticket,
        /// What it hears.
        answer: FinalAnswer<R>,
    },
    /// From now on an app server may, or may not, be sent anything new. An attempt whose first byte has
    /// not been written by then ends with [`Cause::Closed`]. New app servers come with one of these.
    Availability {
        /// The app server.
        server: Id,
        /// May it be sent anything new?
        open: bool,
    },
    /// The app server left the service table long ago: nothing names it any more.
    ServerRemoved {
        /// The app server.
        server: Id,
    },
    /// Close the idle connections to an app server.
    DropIdle {
        /// The app server.
        server: Id,
    },
    /// Watch the service table's source.
    WatchServerList,
    /// Probe an app server. One is out at each at most.
    Probe {
        /// The app server.
        server: Id,
    },
    /// A line of the decisions' for the operators.
    Log {
        /// The text.
        text: String,
    },
    /// An action that would have broken a rule was not carried out. Comes at the first of each kind;
    /// [`crate::Dispatch::defects`] has the counts.
    Defect {
        /// Which rule.
        defect: Defect,
        /// The transaction's id towards the decisions.
        request: Id,
    },
}
