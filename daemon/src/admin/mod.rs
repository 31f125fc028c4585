//! The operators' admin listener: each connection sends one command line and gets one line back. [`line`] reads the line and
//! [`command`] parses it; this module holds the sockets and executes the commands.

mod command;
mod line;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle::Id;
use gradepaddle_book::Outcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::{info, warn};

use crate::clock::Clock;
use crate::dispatch_handle::DispatchHandle;
use crate::drain_state::DrainState;
use crate::fleet::Book;
use crate::handover::Handover;
use crate::lifecycle::Lifecycle;
use command::AdminCommand;
use line::LineReader;

/// The most connections at once. With the listener, these are the descriptors reserved for the operators.
pub const MAX_CONNECTIONS: usize = 12;
/// A connection that has sent no line within this time is closed.
const LINE_TIMEOUT: Duration = Duration::from_millis(2500);
/// While all places are taken, a connection that has sent no line within this time is closed to make room.
const MIN_CONNECTED: Duration = Duration::from_millis(100);
/// A caller has this long to read its answer and close the connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// What is needed to execute commands.
pub struct Context {
    /// Where bans are sent.
    pub dispatch: DispatchHandle,
    /// True once this process can serve.
    pub ready: watch::Receiver<bool>,
    /// The daemon's clock.
    pub clock: Clock,
    /// The drain state of the process.
    pub lifecycle: Rc<Lifecycle>,
    /// Where bans are stored, if anywhere.
    pub handover: Option<Rc<Handover>>,
    /// The book of the fleet, if there is one; bans then apply at all balancers.
    pub book: Option<Book>,
}

/// The open connections by serial number, in the order in which they were accepted, each with its notification to close.
#[derive(Default)]
struct Connections {
    open: RefCell<BTreeMap<u64, (tokio::time::Instant, Rc<Notify>)>>,
    released: Notify,
}

/// A connection's place, released when dropped.
struct Slot(Rc<Connections>, u64);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open.borrow_mut().remove(&self.1);
        self.0.released.notify_one();
    }
}

impl Connections {
    /// Waits for a free place; the connection that was accepted first is closed to make room.
    async fn wait_for_room(&self) {
        while self.open.borrow().len() >= MAX_CONNECTIONS {
            let first =
                self.open.borrow().first_key_value().map(|(_, (since, close))| (*since, close.clone()));
            let Some((since, close)) = first else { return };
            if since.elapsed() >= MIN_CONNECTED {
                close.notify_one();
            }
            let _ = timeout(MIN_CONNECTED / 4, self.released.notified()).await;
        }
    }
}

/// Accepts connections until the process ends.
pub async fn run(listener: TcpListener, context: Rc<Context>) {
    let connections = Rc::new(Connections::default());
    for serial in 0.. {
        connections.wait_for_room().await;
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!("accepting an operator's connection failed: {e}");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let close = Rc::new(Notify::new());
        connections.open.borrow_mut().insert(serial, (tokio::time::Instant::now(), close.clone()));
        let (slot, context) = (Slot(connections.clone(), serial), context.clone());
        spawn_local(async move {
            tokio::select! {
                () = serve(stream, &context) => {}
                () = close.notified() => {}
            }
            drop(slot);
        });
    }
}

/// Serves one connection. It runs in a task of its own, so that it never delays another connection.
async fn serve(mut stream: TcpStream, context: &Context) {
    let Ok(Some(line)) = timeout(LINE_TIMEOUT, read_line(&mut stream)).await else { return };
    let answer = match line.map_err(|error| error.to_string()).and_then(|line| AdminCommand::parse(&line)) {
        Ok(call) => {
            let answer = execute(&call, context).await;
            match &answer {
                // A query changes nothing and may come often, so it is not logged.
                Ok(_) if call == AdminCommand::Book => {}
                Ok(effect) => info!(?call, effect, "operator's call"),
                Err(why) => warn!(?call, why, "operator's call: not carried out"),
            }
            answer
        }
        Err(why) => {
            warn!(why, "operator's call: not understood");
            Err(why)
        }
    };
    let answer = match answer {
        Ok(effect) => format!("SUCCESS {effect}\n"),
        Err(why) => format!("FAILURE {why}\n"),
    };
    // Closing with unread bytes would reset the connection, and the answer might be lost with it.
    let finish = async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        let mut rest = [0; 256];
        while stream.read(&mut rest).await? > 0 {}
        Ok::<(), std::io::Error>(())
    };
    // The caller has its answer or has disconnected.
    let _ = timeout(CLOSE_TIMEOUT, finish).await;
}

/// The caller's line; none if it disconnected without sending any.
async fn read_line(stream: &mut TcpStream) -> Option<Result<String, line::InvalidLine>> {
    let (mut reader, mut bytes, mut any) = (LineReader::default(), [0; line::MAX_LINE], false);
    loop {
        match stream.read(&mut bytes).await {
            Ok(0) => return any.then(|| Err(reader.end_of_input())),
            Ok(count) => {
                any = true;
                if let Some(line) = reader.take(&bytes[..count]) {
                    return Some(line);
                }
            }
            Err(_) => return None,
        }
    }
}

/// Executes a command. Returns its effect, or why nothing has changed.
async fn execute(command: &AdminCommand, context: &Context) -> Result<String, String> {
    let state = context.lifecycle.state();
    match command {
        AdminCommand::Ready if state.is_terminating() => Err("not ready: leaving after SIGTERM".into()),
        AdminCommand::Ready if state.is_drained() => Err("not ready: drained".into()),
        AdminCommand::Ready if !*context.ready.borrow() => Err("not ready: starting".into()),
        AdminCommand::Ready => Ok("ready".into()),
        AdminCommand::Book => match &context.book {
            Some(book) => Ok(book.view()),
            None => Err("no book is kept: GRADEPADDLE_FLEET names no fleet file".into()),
        },
        AdminCommand::Disable(id) => set_ban(id, true, context).await,
        AdminCommand::Enable(id) => set_ban(id, false, context).await,
        AdminCommand::Drain => {
            let first = context.lifecycle.update(DrainState::drain);
            Ok(if first { "draining" } else { "draining already" }.into())
        }
        AdminCommand::Resume => {
            let resumed = context.lifecycle.update(|state, _| state.resume());
            if resumed { Ok("in service".into()) } else { Err("leaving after SIGTERM".into()) }
        }
    }
}

async fn set_ban(id: &Id, banned: bool, context: &Context) -> Result<String, String> {
    if !context.dispatch.is_known(id.clone()).await {
        return Err(format!("{id:?} was never listed"));
    }
    let since = banned.then(|| context.clock.now());
    let changed = match &context.book {
        Some(book) => {
            // A ban applies here at once. It ends here once the book has ended it for all balancers.
            if banned {
                context.dispatch.set_ban(id.clone(), true).await;
            }
            let outcome = book.set_ban(id, since).await.map_err(|why| match banned {
                true => format!("{id} is out at this balancer, but not known to be at others: {why}"),
                false => format!("{id} is not known to serve again: {why}"),
            })?;
            if !banned {
                context.dispatch.set_ban(id.clone(), false).await;
            }
            outcome == Outcome::Changed
        }
        None => {
            // Stored first: an acknowledged ban must outlast this process.
            if let Some(handover) = &context.handover {
                handover.store_ban(id, since)?;
            }
            context.dispatch.set_ban(id.clone(), banned).await
        }
    };
    Ok(match (banned, changed) {
        (true, true) => format!("{id} is out"),
        (true, false) => format!("{id} was out already"),
        (false, true) => format!("{id} may serve"),
        (false, false) => format!("{id} was not out"),
    })
}
