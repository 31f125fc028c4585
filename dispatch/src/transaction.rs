//! An open transaction: one that is not answered yet or has an attempt in flight.

use std::sync::Arc;

use gradepaddle::{Id, Micros, Outcome};

use crate::attempt::{Attempt, Extent};
use crate::io::Ticket;

/// The record of an open transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OpenTransaction<M, R> {
    /// Its id, as the chooser knows it.
    pub id: Id,
    /// The id that the client gave it. No other transaction may use it while this one is open.
    pub client_request_id: Arc<[u8]>,
    pub class: usize,
    /// It may run only once, whatever its class allows.
    pub once: bool,
    pub message: M,
    /// When its client gives up; `Micros::MAX` while the client still uploads.
    pub deadline: Micros,
    /// How long the client waits after the last byte of its upload.
    pub time_left: Micros,
    /// When the last byte of the upload arrived.
    pub uploaded_at: Option<Micros>,
    /// The attempt that consumed the request body, which cannot be replayed.
    pub consumed_by: Option<u32>,
    /// Its final answer has not been given, and its client still waits for it.
    pub answer_pending: bool,
    pub attempts: Vec<Attempt>,
    /// The last attempt that ended timed out.
    pub last_timed_out: bool,
    /// The reply of the last attempt that ended, if it was not successful.
    pub reply: Option<R>,
    /// When it is next checked for being overdue.
    pub check_at: Micros,
}

impl<M, R> OpenTransaction<M, R> {
    /// True if a failure now is due to a missing response, not to an error response.
    pub fn is_timed_out(&self) -> bool {
        self.last_timed_out || self.reply.is_none() && self.attempts.iter().any(Attempt::is_in_flight)
    }

    pub fn is_done(&self) -> bool {
        !self.answer_pending && self.attempts.iter().all(|attempt| !attempt.is_in_flight())
    }
}

/// A read-only view of an open transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TransactionView<'a> {
    /// Its ticket.
    pub ticket: Ticket,
    /// Its id, as the chooser knows it.
    pub id: &'a str,
    /// The id that the client gave it.
    pub client_request_id: &'a [u8],
    /// Position of its class in the settings.
    pub class: usize,
    /// When its client gives up; `Micros::MAX` while the client still uploads.
    pub deadline: Micros,
    /// Its final answer has not been given, and its client still waits for it.
    pub answer_pending: bool,
    /// Its attempts so far.
    pub attempts: Vec<AttemptView>,
}

/// A read-only view of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptView {
    /// The app server.
    pub server: Id,
    /// When it was started.
    pub sent: Micros,
    /// How much of it was written, as last reported.
    pub extent: Extent,
    /// How it ended; none while it is in flight.
    pub outcome: Option<Outcome>,
}

impl<M, R> OpenTransaction<M, R> {
    pub fn view(&self, ticket: Ticket) -> TransactionView<'_> {
        let attempts = self.attempts.iter().map(|attempt| AttemptView {
            server: attempt.server.clone(),
            sent: attempt.sent,
            extent: attempt.extent,
            outcome: attempt.outcome,
        });
        TransactionView {
            ticket,
            id: &self.id,
            client_request_id: &self.client_request_id,
            class: self.class,
            deadline: self.deadline,
            answer_pending: self.answer_pending,
            attempts: attempts.collect(),
        }
    }
}
