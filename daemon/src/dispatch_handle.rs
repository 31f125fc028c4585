//! The handle of the dispatch actor: the commands that client connections, attempts, probes and the service table send it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use gradepaddle::{Id, ListKind, LoadReport, Micros, Server};
use gradepaddle_dispatch::{Cause, Extent, Input, Ticket};
use tokio::sync::{mpsc, oneshot};

use crate::transaction::{FinalAnswer, Message, Reply, Transaction};

/// A command to the dispatch actor.
pub enum Command {
    /// Dispatches a transaction and sends its final answer to `answer`.
    Submit { ticket: Ticket, transaction: Transaction, answer: oneshot::Sender<FinalAnswer> },
    /// An input that is passed to dispatch unchanged.
    Input(Input<Rc<Message>, Reply>),
    /// The whole service table, or changes to it.
    UpdateTable(TableUpdate),
    /// Asks whether this app server is listed now, or was at any time.
    IsKnown { server: Id, reply: oneshot::Sender<bool> },
    /// Bans an app server on behalf of the operators, or lifts the ban; the reply says whether that changed anything.
    SetBan { server: Id, banned: bool, reply: oneshot::Sender<bool> },
}

/// The whole service table, or changes to it.
pub struct TableUpdate {
    /// The version of the list.
    pub seq: u64,
    /// Whether the entries are the whole table or changes.
    pub kind: ListKind,
    /// The entries, with an address for those that are not removed.
    pub entries: Vec<(Server, Option<SocketAddr>)>,
}

/// A handle of the dispatch actor.
#[derive(Clone)]
pub struct DispatchHandle {
    commands: mpsc::UnboundedSender<Command>,
    next_ticket: Rc<Cell<Ticket>>,
}

/// The receiving end of a [`DispatchHandle`].
pub type CommandReceiver = mpsc::UnboundedReceiver<Command>;

impl DispatchHandle {
    /// A handle and its receiving end.
    pub fn new() -> (Self, CommandReceiver) {
        let (commands, receiver) = mpsc::unbounded_channel();
        (DispatchHandle { commands, next_ticket: Rc::default() }, receiver)
    }

    // The dispatch actor ends only with the process, so a command that is not received can be dropped.
    fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }

    /// Submits a transaction and returns its pending answer. Dropping that before the answer has arrived reports that
    /// the client has disconnected.
    pub fn submit(&self, transaction: Transaction) -> PendingAnswer {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let (answer, receiver) = oneshot::channel();
        self.send(Command::Submit { ticket, transaction, answer });
        PendingAnswer { ticket, receiver, dispatch: self.clone(), done: false }
    }

    /// Reports how an attempt ended.
    pub fn attempt_ended(
        &self,
        ticket: Ticket,
        attempt: u32,
        extent: Extent,
        cause: Cause,
        (reply, report): (Option<Reply>, Option<LoadReport>),
    ) {
        self.send(Command::Input(Input::AttemptEnded { ticket, attempt, extent, cause, reply, report }));
    }

    /// Reports how a probe ended.
    pub fn probe_ended(&self, server: Id, cause: Cause, report: Option<LoadReport>) {
        self.send(Command::Input(Input::ProbeEnded { server, cause, report }));
    }

    /// Reports that an attempt has consumed a part of the request body that can't be replayed.
    pub fn body_consumed(&self, ticket: Ticket, attempt: u32) {
        self.send(Command::Input(Input::BodyConsumed { ticket, attempt }));
    }

    /// Passes on the service table or changes to it.
    pub fn update_table(&self, update: TableUpdate) {
        self.send(Command::UpdateTable(update));
    }

    /// True if the list has ever named this app server, or it is banned.
    pub async fn is_known(&self, server: Id) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(Command::IsKnown { server, reply });
        answer.await.unwrap_or(false)
    }

    /// Applies a ban, or the end of one, that another process has recorded. It may arrive before the list does.
    pub fn apply_ban(&self, server: Id, since: Option<Micros>) {
        self.send(Command::Input(Input::Ban { server, since }));
    }

    /// Bans an app server or lifts its ban; true if that changed anything. It is in effect when this returns.
    pub async fn set_ban(&self, server: Id, banned: bool) -> bool {
        let (reply, answer) = oneshot::channel();
        self.send(Command::SetBan { server, banned, reply });
        answer.await.unwrap_or(false)
    }
}

/// The final answer of a submitted transaction, once it arrives.
pub struct PendingAnswer {
    ticket: Ticket,
    receiver: oneshot::Receiver<FinalAnswer>,
    dispatch: DispatchHandle,
    done: bool,
}

impl PendingAnswer {
    /// Reports that the last byte of the request has been received.
    pub fn upload_complete(&self) {
        self.dispatch.send(Command::Input(Input::Uploaded { ticket: self.ticket }));
    }

    /// Waits for the final answer. Cancellation safe.
    pub async fn answer(&mut self) -> FinalAnswer {
        let answer = (&mut self.receiver).await;
        self.done = true;
        answer.unwrap_or(FinalAnswer::Failed { timed_out: false, reply: None })
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if !self.done {
            self.dispatch.send(Command::Input(Input::ClientDisconnected { ticket: self.ticket }));
        }
    }
}
