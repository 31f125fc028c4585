//! The mailbox of the decisions: what terminals, routed tasks and the service table tell them.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use gradepaddle::{Id, ListKind, LoadReport, Micros, Server};
use gradepaddle_dispatch::{Cause, Extent, Input, Ticket};
use tokio::sync::{mpsc, oneshot};

use crate::transaction::{FinalAnswer, Message, Reply, Transaction};

/// What the decisions are told.
pub enum Mail {
    /// A transaction, and where its final answer goes.
    Asked { ticket: Ticket, transaction: Transaction, answer: oneshot::Sender<FinalAnswer> },
    /// What dispatch takes as it is.
    Input(Input<Rc<Message>, Reply>),
    /// The service table, or changes of it.
    Table(Change),
    /// Is this app server known, listed now or once?
    Knows { server: Id, told: oneshot::Sender<bool> },
    /// The operators take an app server out, or call it back; told whether that is new.
    Ban { server: Id, out: bool, told: oneshot::Sender<bool> },
}

/// A change of the service table.
pub struct Change {
    /// The list's version.
    pub seq: u64,
    /// What the entries stand for.
    pub kind: ListKind,
    /// The entries, with an address for those that are not gone.
    pub entries: Vec<(Server, Option<SocketAddr>)>,
}

/// The mailbox of the decisions.
#[derive(Clone)]
pub struct Mailbox {
    mails: mpsc::UnboundedSender<Mail>,
    tickets: Rc<Cell<Ticket>>,
}

/// What comes out of a [`Mailbox`].
pub type Inbox = mpsc::UnboundedReceiver<Mail>;

impl Mailbox {
    /// A mailbox and what comes out of it.
    pub fn new() -> (Self, Inbox) {
        let (mails, inbox) = mpsc::unbounded_channel();
        (Mailbox { mails, tickets: Rc::default() }, inbox)
    }

    // The decisions end only with the process, so a mail that nobody takes is owed to nobody.
    fn send(&self, mail: Mail) {
        let _ = self.mails.send(mail);
    }

    /// Hands a transaction over and waits for its final answer. Dropped before that, it tells that the
    /// client has left.
    pub fn ask(&self, transaction: Transaction) -> Pending {
        let ticket = self.tickets.get();
        self.tickets.set(ticket + 1);
        let (answer, answered) = oneshot::channel();
        self.send(Mail::Asked { ticket, transaction, answer });
        Pending { ticket, answered, decision: self.clone(), done: false }
    }

    /// Tells how an attempt ended.
    pub fn ended(
        &self,
        ticket: Ticket,
        attempt: u32,
        extent: Extent,
        cause: Cause,
        (reply, report): (Option<Reply>, Option<LoadReport>),
    ) {
        self.send(Mail::Input(Input::AttemptEnded { ticket, attempt, extent, cause, reply, report }));
    }

    /// Tells how a probe ended.
    pub fn probed(&self, server: Id, cause: Cause, report: Option<LoadReport>) {
        self.send(Mail::Input(Input::ProbeEnded { server, cause, report }));
    }

    /// Tells that an attempt has used up what cannot be had again.
    pub fn spent(&self, ticket: Ticket, attempt: u32) {
        self.send(Mail::Input(Input::BodyConsumed { ticket, attempt }));
    }

    /// Tells what the service table says.
    pub fn table(&self, change: Change) {
        self.send(Mail::Table(change));
    }

    /// True if the list has ever named this app server, or it is out.
    pub async fn knows(&self, server: Id) -> bool {
        let (told, answer) = oneshot::channel();
        self.send(Mail::Knows { server, told });
        answer.await.unwrap_or(false)
    }

    /// Heeds a ban, or its end, that another process has written down: it may come before the list.
    pub fn heed_ban(&self, server: Id, since: Option<Micros>) {
        self.send(Mail::Input(Input::Ban { server, since }));
    }

    /// Takes an app server out or calls it back: true if that is new. It holds when this returns.
    pub async fn ban(&self, server: Id, out: bool) -> bool {
        let (told, answer) = oneshot::channel();
        self.send(Mail::Ban { server, out, told });
        answer.await.unwrap_or(false)
    }
}

/// A transaction whose final answer is awaited.
pub struct Pending {
    ticket: Ticket,
    answered: oneshot::Receiver<FinalAnswer>,
    decision: Mailbox,
    done: bool,
}

impl Pending {
    /// Tells that the last byte has come.
    pub fn uploaded(&self) {
        self.decision.send(Mail::Input(Input::Uploaded { ticket: self.ticket }));
    }

    /// The final answer. Safe to drop midway and call again.
    pub async fn answer(&mut self) -> FinalAnswer {
        let answer = (&mut self.answered).await;
        self.done = true;
        answer.unwrap_or(FinalAnswer::Failed { timed_out: false, reply: None })
    }
}

impl Drop for Pending {
    fn drop(&mut self) {
        if !self.done {
            self.decision.send(Mail::Input(Input::ClientDisconnected { ticket: self.ticket }));
        }
    }
}
