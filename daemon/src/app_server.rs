//! One actor for each app server: it holds the idle connections to it and starts its routed tasks.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use gradepaddle::Micros;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::buffers::Pool;
use crate::clock::Clock;
use crate::http::Connection;
use crate::routed_task::{self, Assignment};
use crate::sockets::{Budget, Side};

/// What an app server's actor is told.
pub enum Command {
    /// Start an attempt.
    Start(Assignment),
    /// A connection that can be used again.
    Park(Connection),
    /// Close the idle connections.
    DropIdle,
    /// What the service table now says.
    Entry(Entry),
}

/// What the service table says of one app server.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Entry {
    /// Where it listens.
    pub dial: SocketAddr,
    /// May it be sent anything new?
    pub open: bool,
}

/// The mailbox of an app server's actor.
pub type Mailbox = mpsc::UnboundedSender<Command>;

/// What all app servers' actors share.
pub struct Context {
    /// Where buffers come from.
    pub pool: Pool,
    /// The daemon's clock.
    pub clock: Clock,
    /// The descriptor budget.
    pub budget: Budget,
    /// How long a connection may take to come up.
    pub dial_timeout: Duration,
    /// App servers close connections idle for this long.
    pub conn_idle: Micros,
}

struct Idle {
    connection: Connection,
    since: Instant,
}

/// Starts the actor; it ends when its last mailbox is gone.
pub fn start(entry: Entry, context: Rc<Context>) -> Mailbox {
    let (mailbox, inbox) = mpsc::unbounded_channel();
    tokio::task::spawn_local(run(entry, inbox, mailbox.downgrade(), context));
    mailbox
}

async fn run(
    entry: Entry,
    mut inbox: mpsc::UnboundedReceiver<Command>,
    mailbox: mpsc::WeakUnboundedSender<Command>,
    context: Rc<Context>,
) {
    // A request written when the app server closes the connection is lost and may have run, so idle
    // connections go well before that.
    let keep = Duration::from_micros(context.conn_idle / 5 * 3);
    let (standing, view) = watch::channel(entry);
    // The oldest stands first; the one used last is used next.
    let mut idle: Vec<Idle> = Vec::new();
    loop {
        let expiry = idle.first().map(|oldest| oldest.since + keep);
        let command = tokio::select! {
            biased;
            () = sleep_until(expiry.unwrap_or_else(Instant::now)), if expiry.is_some() => {
                idle.remove(0);
                continue;
            }
            at = stirred(&idle) => {
                idle.remove(at);
                continue;
            }
            command = inbox.recv() => command,
        };
        match command {
            Some(Command::Start(assignment)) => {
                let mut reused = None;
                while let Some(last) = idle.pop() {
                    // It may have been closed since we last looked.
                    if last.connection.is_quiet() {
                        reused = Some(last.connection);
                        break;
                    }
                }
                let task =
                    routed_task::run(assignment, reused, view.clone(), mailbox.clone(), context.clone());
                tokio::task::spawn_local(task);
            }
            Some(Command::Park(connection)) => {
                if !keep.is_zero() && !context.budget.is_short(Side::Server) {
                    idle.push(Idle { connection, since: Instant::now() });
                }
            }
            Some(Command::DropIdle) => idle.clear(),
            Some(Command::Entry(new)) => {
                if standing.borrow().dial != new.dial || !new.open {
                    idle.clear();
                }
                standing.send_replace(new);
            }
            None => return,
        }
    }
}

/// The first idle connection that its app server has closed, or spoken on out of turn: an app server
/// that restarts leaves dead connections, and a request written to one counts as having run.
async fn stirred(idle: &[Idle]) -> usize {
    poll_fn(|cx| {
        let at = idle.iter().position(|one| one.connection.poll_stirred(cx).is_ready());
        at.map_or(Poll::Pending, Poll::Ready)
    })
    .await
}
