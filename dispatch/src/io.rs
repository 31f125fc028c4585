//! The inputs and outputs of dispatch.

use std::sync::Arc;

use gradepaddle::{Id, ListKind, LoadReport, Micros, Server};

use crate::attempt::{Cause, Extent};
use crate::guard::Defect;

/// Identifies a transaction within one dispatch. The caller assigns tickets and never reuses one; client request ids, in
/// contrast, may repeat.
pub type Ticket = u64;

/// A client's request: what the decisions need of it, and the message to forward.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Transaction<M> {
    /// The id that the client gave it.
    pub client_request_id: Arc<[u8]>,
    /// Position of its class in the settings.
    pub class: usize,
    /// Position of its tenant in the settings.
    pub tenant: Option<usize>,
    /// The key that the request is about, such as a user; requests with the same key are best served by the same app server.
    pub key: Option<String>,
    /// It may run only once, whatever its class allows: it has no idempotency key by which app servers could drop repeats.
    pub once: bool,
    /// The client's estimate of the work, in microseconds on a standard core.
    pub hint: Option<Micros>,
    /// When its last byte arrived; if the upload is not complete, when it was accepted.
    pub arrived: Micros,
    /// How long the client waits after the last byte of its upload.
    pub time_left: Micros,
    /// Its last byte has arrived. Otherwise [`Input::Uploaded`] follows when it does.
    pub upload_complete: bool,
    /// What goes to the app server; cloned for each attempt.
    pub message: M,
}

/// The one final answer of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer<R> {
    /// The response of an app server.
    Served(R),
    /// Refused for lack of capacity: the client can retry safely after this pause.
    Refused {
        /// How long the client should wait before it retries.
        pause: Micros,
    },
    /// Rejected: a transaction with the same client request id is open.
    DuplicateId,
    /// Failed, without a claim whether the request ran.
    Failed {
        /// No app server answered in time.
        timed_out: bool,
        /// The last app server's reply, if there is one that may be forwarded.
        reply: Option<R>,
    },
}

impl<R> FinalAnswer<R> {
    /// The kind of answer in one word, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Refused { .. } => "refused",
            FinalAnswer::DuplicateId => "known",
            FinalAnswer::Failed { .. } => "failed",
        }
    }
}

/// An input to dispatch. Inputs are passed in the order in which they happened, with times that never go back.
#[derive(Clone, Debug)]
pub enum Input<M, R> {
    /// A transaction was accepted. From here on it must get exactly one final answer.
    Accepted {
        /// Its ticket, never used before.
        ticket: Ticket,
        /// The transaction.
        transaction: Transaction<M>,
    },
    /// The client has disconnected and needs no answer any more. Ignored after the final answer.
    ClientDisconnected {
        /// The transaction.
        ticket: Ticket,
    },
    /// The last byte arrived of a transaction that was accepted during its upload. The client's waiting time starts.
    Uploaded {
        /// The transaction.
        ticket: Ticket,
    },
    /// This attempt has consumed the request body. It cannot be replayed, so no other attempt can be made.
    BodyConsumed {
        /// The transaction.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// How much of an attempt has been written so far. The caller may omit this and report it with the end only.
    Written {
        /// The transaction.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
        /// How far.
        extent: Extent,
    },
    /// An attempt has ended. The caller reports this exactly once for each attempt started.
    AttemptEnded {
        /// The transaction.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
        /// How much of it was written.
        extent: Extent,
        /// What ended it.
        cause: Cause,
        /// The app server's reply, if it may be forwarded.
        reply: Option<R>,
        /// The load report in the response.
        report: Option<LoadReport>,
    },
    /// A probe has ended. The caller reports this exactly once for each probe started.
    ProbeEnded {
        /// The app server.
        server: Id,
        /// What ended it; [`Cause::Denied`] if the app server has no probe endpoint.
        cause: Cause,
        /// The load report in the response.
        report: Option<LoadReport>,
    },
    /// The service table, or changes to it.
    ServerList {
        /// Whether the entries are changes or the full list, and where they come from.
        kind: ListKind,
        /// The entries.
        servers: Vec<Server>,
    },
    /// The operators ban an app server or end its ban. Repeating either changes nothing.
    Ban {
        /// The app server, listed or not.
        server: Id,
        /// Since when it is banned; none to end the ban. The drain grace counts from this time, also for a ban made before
        /// this process started.
        since: Option<Micros>,
    },
    /// The time returned by [`crate::Dispatch::next_tick_at`] has come.
    Tick,
}

/// What the caller has to do, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output<M, R> {
    /// Start an attempt.
    Start {
        /// The transaction.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
        /// The app server to send it to.
        server: Id,
        /// The message to send.
        message: M,
        /// When to give it up as timed out.
        until: Micros,
    },
    /// Withdraw an attempt. Its end is still reported, whether this ended it or something earlier.
    Withdraw {
        /// The transaction.
        ticket: Ticket,
        /// The attempt, counted from 0.
        attempt: u32,
    },
    /// Cancel this attempt if no byte of it has been written, as its client has disconnected. It then ends as if withdrawn,
    /// even where the settings forbid withdrawing running attempts. If a byte has been written it continues.
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
        /// The answer.
        answer: FinalAnswer<R>,
    },
    /// An app server is now open or closed to new requests. An attempt whose first byte has not been written when the app
    /// server is closed ends with [`Cause::Closed`]. Also emitted for each new app server.
    Availability {
        /// The app server.
        server: Id,
        /// True if it may be sent new requests.
        open: bool,
    },
    /// The app server left the service table long enough ago to be removed; no later output names it unless it returns.
    ServerRemoved {
        /// The app server.
        server: Id,
    },
    /// Close the idle connections to an app server.
    DropIdle {
        /// The app server.
        server: Id,
    },
    /// Subscribe to the service table at discovery.
    WatchServerList,
    /// Probe an app server. At most one probe per app server is in flight.
    Probe {
        /// The app server.
        server: Id,
    },
    /// A log line from the chooser for the operators.
    Log {
        /// The text.
        text: String,
    },
    /// An action that would have broken a rule was not carried out. Emitted for the first defect of each kind only;
    /// [`crate::Dispatch::defects`] has the counts.
    Defect {
        /// The rule.
        defect: Defect,
        /// The id of the transaction, as the chooser knows it; for a probe, that of the app server.
        request: Id,
    },
}
