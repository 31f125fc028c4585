//! One actor for each app server: it holds the idle connections to it and starts its routed tasks.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::http::Connection;
use crate::routed_task::{self, Assignment, Context, Entry};
use crate::sockets::Side;

/// What an app server's actor is told.
pub enum Command {
    /// Start an attempt.
    Start(Assignment),
    /// Close the idle connections.
    DropIdle,
    /// Where it listens from now on.
    Dial(SocketAddr),
    /// May it be sent anything new from now on? Not before it is told so.
    Standing(bool),
}

/// The mailbox of an app server's actor.
pub type Mailbox = mpsc::UnboundedSender<Command>;

struct Idle {
    connection: Connection,
    since: Instant,
}

/// Starts the actor; it ends when its last mailbox is gone.
pub fn start(dial: SocketAddr, context: Rc<Context>) -> Mailbox {
    let (mailbox, inbox) = mpsc::unbounded_channel();
    tokio::task::spawn_local(run(Entry { dial, open: false }, inbox, context));
    mailbox
}

async fn run(entry: Entry, mut inbox: mpsc::UnboundedReceiver<Command>, context: Rc<Context>) {
    // A request written when the app server closes the connection is lost and may have run, so idle
    // connections go well before that.
    let keep = Duration::from_micros(context.conn_idle / 5 * 3);
    let (standing, view) = watch::channel(entry);
    let (park, mut parked) = mpsc::unbounded_channel();
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
            Some(connection) = parked.recv() => {
                if !keep.is_zero() && !context.budget.is_short(Side::Server) {
                    idle.push(Idle { connection, since: Instant::now() });
                }
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
                    routed_task::run(assignment, reused, view.clone(), park.downgrade(), context.clone());
                tokio::task::spawn_local(task);
            }
            Some(Command::DropIdle) => idle.clear(),
            Some(Command::Dial(dial)) => {
                let changed = |entry: &mut Entry| std::mem::replace(&mut entry.dial, dial) != dial;
                if standing.send_if_modified(changed) {
                    idle.clear();
                }
            }
            Some(Command::Standing(open)) => {
                standing.send_modify(|entry| entry.open = open);
                if !open {
                    idle.clear();
                }
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
