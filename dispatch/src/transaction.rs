//! A transaction while it is open: until it is answered and its last attempt has ended.

use std::sync::Arc;

use gradepaddle::{Id, Micros, Outcome};

use crate::attempt::{Attempt, Extent};
use crate::io::Ticket;

/// A transaction as dispatch keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Open<M, R> {
    /// Its id towards the decisions.
    pub id: Id,
    /// Its client's id, which no other may use meanwhile.
    pub client_request_id: Arc<[u8]>,
    pub class: usize,
    /// Whatever its class says, it may run once only.
    pub once: bool,
    pub message: M,
    /// When its client gives up; far off while the client still sends.
    pub deadline: Micros,
    /// How long the client waits from its last byte on.
    pub time_left: Micros,
    /// When its last byte had come.
    pub uploaded_at: Option<Micros>,
    /// The attempt that has used up what cannot be had again.
    pub spent: Option<u32>,
    /// Its final answer is still to be given.
    pub answer_pending: bool,
    pub attempts: Vec<Attempt>,
    /// The last outcome was a time-out.
    pub last_timed_out: bool,
    /// What came with the last outcome, if that is no success.
    pub reply: Option<R>,
    /// Where it stands among the deadlines.
    pub due: Micros,
}

impl<M, R> Open<M, R> {
    /// True if it is for want of an answer that it fails, not for an answer that was bad.
    pub fn is_timed_out(&self) -> bool {
        self.last_timed_out || self.reply.is_none() && self.attempts.iter().any(Attempt::is_out)
    }

    pub fn is_done(&self) -> bool {
        !self.answer_pending && self.attempts.iter().all(|attempt| !attempt.is_out())
    }
}

/// What a shell may look at of an open transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TransactionView<'a> {
    /// Its name.
    pub ticket: Ticket,
    /// Its id towards the decisions.
    pub id: &'a str,
    /// Its client's id.
    pub client_request_id: &'a [u8],
    /// Position of its class in the settings.
    pub class: usize,
    /// When its client gives up.
    pub deadline: Micros,
    /// Its final answer is still to be given.
    pub answer_pending: bool,
    /// Its attempts so far.
    pub attempts: Vec<AttemptView>,
}

/// Where one attempt stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptView {
    /// The app server.
    pub server: Id,
    /// When it was started.
    pub sent: Micros,
    /// How far it was written, as far as was told.
    pub extent: Extent,
    /// How it ended; none while it is out.
    pub outcome: Option<Outcome>,
}

impl<M, R> Open<M, R> {
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
