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
    pub own: Arc<[u8]>,
    pub class: usize,
    /// Whatever its class says, it may run once only.
    pub once: bool,
    pub message: M,
    /// When its client gives up; far off while the client still sends.
    pub ends: Micros,
    /// How long the client waits from its last byte on.
    pub time_left: Micros,
    /// When its last byte had come.
    pub whole: Option<Micros>,
    /// The attempt that has used up what cannot be had again.
    pub spent: Option<u32>,
    /// Its final answer is still to be given.
    pub owed: bool,
    pub attempts: Vec<Attempt>,
    /// The last outcome was a time-out.
    pub late: bool,
    /// What came with the last outcome, if that is no success.
    pub reply: Option<R>,
    /// Where it stands among the deadlines.
    pub due: Micros,
}

impl<M, R> Open<M, R> {
    /// True if it is for want of an answer that it fails, not for an answer that was bad.
    pub fn is_late(&self) -> bool {
        self.late || self.reply.is_none() && self.attempts.iter().any(Attempt::is_out)
    }

    pub fn is_done(&self) -> bool {
        !self.owed && self.attempts.iter().all(|attempt| !attempt.is_out())
    }
}

/// What a shell may look at of an open transaction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct View<'a> {
    /// Its name.
    pub ticket: Ticket,
    /// Its id towards the decisions.
    pub id: &'a str,
    /// Its client's id.
    pub own: &'a [u8],
    /// Position of its class in the settings.
    pub class: usize,
    /// When its client gives up.
    pub ends: Micros,
    /// Its final answer is still to be given.
    pub owed: bool,
    /// Its attempts so far.
    pub attempts: Vec<Standpoint>,
}

/// Where one attempt stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Standpoint {
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
    pub fn view(&self, ticket: Ticket) -> View<'_> {
        let attempts = self.attempts.iter().map(|attempt| Standpoint {
            server: attempt.server.clone(),
            sent: attempt.sent,
            extent: attempt.extent,
            outcome: attempt.outcome,
        });
        View {
            ticket,
            id: &self.id,
            own: &self.own,
            class: self.class,
            ends: self.ends,
            owed: self.owed,
            attempts: attempts.collect(),
        }
    }
}
