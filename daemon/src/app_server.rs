//! One actor for each app server: it holds the idle connections to it and starts its attempts and probes.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use gradepaddle::Micros;
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep_until};

use crate::attempt::{self, Assignment, Context, Endpoint};
use crate::descriptor_budget::{EvictionEntry, Side, WaitKind};
use crate::http::Connection;
use crate::probe::{self, ProbeReporter};

/// A command to an app server's actor.
pub enum Command {
    /// Start an attempt.
    Start(Assignment),
    /// Send a probe.
    Probe(ProbeReporter),
    /// Close the idle connections.
    DropIdle,
    /// The app server listens at this address from now on.
    SetAddress(SocketAddr),
    /// Whether new requests may be sent from now on. None are before the first of these commands.
    SetOpen(bool),
}

/// The sender of commands to an app server's actor.
pub type CommandSender = mpsc::UnboundedSender<Command>;

struct IdleConnection {
    connection: Connection,
    since: Instant,
    /// Its entry among the idle connections of all app servers, of which the oldest is closed to make room for an attempt.
    _eviction_entry: EvictionEntry,
}

/// Starts the actor; it ends when its last sender is dropped.
pub fn start(address: SocketAddr, context: Rc<Context>) -> CommandSender {
    let (sender, commands) = mpsc::unbounded_channel();
    tokio::task::spawn_local(run(Endpoint { address, open: false }, commands, context));
    sender
}

/// How long a connection is kept idle, where app servers close connections that were idle for `conn_idle`. A request that is
/// written as the app server closes is lost and may have run, so connections are closed here earlier. They are not closed
/// much earlier: in a large fleet each balancer comes back to an app server only after seconds, and a new connection costs
/// both.
fn idle_timeout(conn_idle: Micros) -> Duration {
    Duration::from_micros(conn_idle / 10 * 9)
}

async fn run(endpoint: Endpoint, mut commands: mpsc::UnboundedReceiver<Command>, context: Rc<Context>) {
    let idle_timeout = idle_timeout(context.conn_idle);
    let (endpoint, endpoint_watch) = watch::channel(endpoint);
    let (pool_return, mut returned) = mpsc::unbounded_channel();
    let evicted = Rc::new(Notify::new());
    // Oldest first. The one used last is reused first.
    let mut idle: Vec<IdleConnection> = Vec::new();
    loop {
        let expiry = idle.first().map(|oldest| oldest.since + idle_timeout);
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
            at = disturbed(&idle) => {
                idle.remove(at);
                continue;
            }
            Some(connection) = returned.recv() => {
                if !idle_timeout.is_zero() && !context.budget.is_short(Side::AppServer) {
                    let _eviction_entry =
                        context.budget.wait_with_notify(WaitKind::IdleUpstream, evicted.clone());
                    idle.push(IdleConnection { connection, since: Instant::now(), _eviction_entry });
                }
                continue;
            }
            command = commands.recv() => command,
        };
        match command {
            Some(Command::Start(assignment)) => {
                let task = attempt::run(
                    assignment,
                    take_reusable(&mut idle, &context),
                    endpoint_watch.clone(),
                    pool_return.downgrade(),
                    context.clone(),
                );
                tokio::task::spawn_local(task);
            }
            Some(Command::Probe(reporter)) => {
                let reused = take_reusable(&mut idle, &context).map(|(connection, _)| connection);
                let task = probe::run(
                    reporter,
                    reused,
                    endpoint_watch.clone(),
                    pool_return.downgrade(),
                    context.clone(),
                );
                tokio::task::spawn_local(task);
            }
            Some(Command::DropIdle) => idle.clear(),
            Some(Command::SetAddress(address)) => {
                let changed =
                    |endpoint: &mut Endpoint| std::mem::replace(&mut endpoint.address, address) != address;
                if endpoint.send_if_modified(changed) {
                    idle.clear();
                }
            }
            Some(Command::SetOpen(open)) => {
                endpoint.send_modify(|endpoint| endpoint.open = open);
                if !open {
                    idle.clear();
                }
            }
            None => return,
        }
    }
}

/// The idle connection that was used last and how long ago, unless it has been idle for too long to be trusted. All others
/// have been idle for longer.
fn take_reusable(idle: &mut Vec<IdleConnection>, context: &Context) -> Option<(Connection, Duration)> {
    let now = Instant::now();
    let max_idle = context.idle_reuse.max_idle(now);
    while let Some(IdleConnection { connection, since, .. }) = idle.pop() {
        let age = now.saturating_duration_since(since);
        if age >= max_idle {
            idle.clear();
            return None;
        }
        // The app server may have closed it since it was last polled.
        if connection.is_idle() {
            return Some((connection, age));
        }
    }
    None
}

/// Waits for an idle connection that its app server has closed, or on which it has sent unsolicited bytes, and returns its
/// index. An app server that restarts leaves dead connections, and a request written to one counts as having run.
async fn disturbed(idle: &[IdleConnection]) -> usize {
    poll_fn(|cx| {
        let at = idle.iter().position(|one| one.connection.poll_disturbed(cx).is_ready());
        at.map_or(Poll::Pending, Poll::Ready)
    })
    .await
}

#[cfg(test)]
mod tests;
