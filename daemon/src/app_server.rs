//! One actor for each app server: it holds the idle connections to it and starts its routed tasks.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use gradepaddle::Micros;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::http::Connection;
use crate::probe::{self, Duty};
use crate::routed_task::{self, Assignment, Context, Entry};
use crate::sockets::{Side, Wait, Waiting};

/// What an app server's actor is told.
pub enum Command {
    /// Start an attempt.
    Start(Assignment),
    /// Probe it.
    Probe(Duty),
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
    /// Its place among all idle ones, of which the oldest makes room for an attempt.
    _waiting: Waiting,
}

/// Starts the actor; it ends when its last mailbox is gone.
pub fn start(dial: SocketAddr, context: Rc<Context>) -> Mailbox {
    let (mailbox, inbox) = mpsc::unbounded_channel();
    tokio::task::spawn_local(run(Entry { dial, open: false }, inbox, context));
    mailbox
}

/// How long a connection is kept idle, where app servers close those idle for `conn_idle`. A request written
/// as that happens is lost and may have run, so ours go before it; but in a large fleet each balancer comes
/// back to an app server only after seconds, and a new connection costs both.
fn kept(conn_idle: Micros) -> Duration {
    Duration::from_micros(conn_idle / 10 * 9)
}

async fn run(entry: Entry, mut inbox: mpsc::UnboundedReceiver<Command>, context: Rc<Context>) {
    let keep = kept(context.conn_idle);
    let (standing, view) = watch::channel(entry);
    let (park, mut parked) = mpsc::unbounded_channel();
    let evicted = Rc::new(Notify::new());
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
            () = evicted.notified(), if !idle.is_empty() => {
                idle.remove(0);
                continue;
            }
            at = stirred(&idle) => {
                idle.remove(at);
                continue;
            }
            Some(connection) = parked.recv() => {
                if !keep.is_zero() && !context.budget.is_short(Side::Server) {
                    let _waiting = context.budget.wait_with(Wait::Idle, evicted.clone());
                    idle.push(Idle { connection, since: Instant::now(), _waiting });
                }
                continue;
            }
            command = inbox.recv() => command,
        };
        match command {
            Some(Command::Start(assignment)) => {
                let task = routed_task::run(
                    assignment,
                    reused(&mut idle, &context),
                    view.clone(),
                    park.downgrade(),
                    context.clone(),
                );
                tokio::task::spawn_local(task);
            }
            Some(Command::Probe(duty)) => {
                let reused = reused(&mut idle, &context).map(|(connection, _)| connection);
                let task = probe::run(duty, reused, view.clone(), park.downgrade(), context.clone());
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

/// The idle connection that was used last, and how long ago, if it can be trusted. Those under it are older.
fn reused(idle: &mut Vec<Idle>, context: &Context) -> Option<(Connection, Duration)> {
    let now = Instant::now();
    let trusted = context.idle_reuse.max_idle(now);
    while let Some(Idle { connection, since, .. }) = idle.pop() {
        let age = now.saturating_duration_since(since);
        if age >= trusted {
            idle.clear();
            return None;
        }
        // It may have been closed since we last looked.
        if connection.is_idle() {
            return Some((connection, age));
        }
    }
    None
}

/// The first idle connection that its app server has closed, or spoken on out of turn: an app server
/// that restarts leaves dead connections, and a request written to one counts as having run.
async fn stirred(idle: &[Idle]) -> usize {
    poll_fn(|cx| {
        let at = idle.iter().position(|one| one.connection.poll_disturbed(cx).is_ready());
        at.map_or(Poll::Pending, Poll::Ready)
    })
    .await
}

#[cfg(test)]
mod tests;
