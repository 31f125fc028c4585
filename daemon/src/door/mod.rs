//! The operators' door: a listener of its own, one line to a connection, one line back. The line is read in
//! `wire`, its meaning in `call`; here are the sockets and who carries calls out.

mod call;
mod wire;

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
use crate::duty::Duty;
use crate::fleet::Book;
use crate::handover::Handover;
use crate::mail;
use crate::phase::Phase;
use call::Call;
use wire::Line;

/// The most callers at once: with the listener, the descriptors that the door has for itself.
pub const CALLERS: usize = 12;
/// A caller that has sent no line after this is closed.
const LINE_WITHIN: Duration = Duration::from_millis(2500);
/// Where all places are taken, one that has sent no line for this long makes room.
const PATIENCE: Duration = Duration::from_millis(100);
/// A caller has this long to take its answer and go.
const GO_WITHIN: Duration = Duration::from_millis(500);

/// Who carries calls out.
pub struct Context {
    /// Where bans go.
    pub decision: mail::Mailbox,
    /// True once this process can serve.
    pub ready: watch::Receiver<bool>,
    /// The daemon's clock.
    pub clock: Clock,
    /// What the process owes its clients.
    pub phase: Rc<Phase>,
    /// Where bans are written down, if anywhere.
    pub handover: Option<Rc<Handover>>,
    /// The book of the fleet, where there is one: bans hold at all balancers then.
    pub book: Option<Book>,
}

/// The callers that are there, in the order in which they came; told to go by their notice.
#[derive(Default)]
struct Callers {
    row: RefCell<BTreeMap<u64, (tokio::time::Instant, Rc<Notify>)>>,
    left: Notify,
}

/// A caller's place, given back when dropped.
struct Place(Rc<Callers>, u64);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.row.borrow_mut().remove(&self.1);
        self.0.left.notify_one();
    }
}

impl Callers {
    /// Waits for a place; the caller that has been there longest makes room.
    async fn room(&self) {
        while self.row.borrow().len() >= CALLERS {
            let first = self.row.borrow().first_key_value().map(|(_, (since, go))| (*since, go.clone()));
            let Some((since, go)) = first else { return };
            if since.elapsed() >= PATIENCE {
                go.notify_one();
            }
            let _ = timeout(PATIENCE / 4, self.left.notified()).await;
        }
    }
}

/// Takes callers until the process ends.
pub async fn run(listener: TcpListener, context: Rc<Context>) {
    let callers = Rc::new(Callers::default());
    for serial in 0.. {
        callers.room().await;
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!("accepting an operator's call failed: {e}");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let go = Rc::new(Notify::new());
        callers.row.borrow_mut().insert(serial, (tokio::time::Instant::now(), go.clone()));
        let (place, context) = (Place(callers.clone(), serial), context.clone());
        spawn_local(async move {
            tokio::select! {
                () = serve(stream, &context) => {}
                () = go.notified() => {}
            }
            drop(place);
        });
    }
}

/// One caller. Nothing it does or fails to do holds up another.
async fn serve(mut stream: TcpStream, context: &Context) {
    let Ok(Some(line)) = timeout(LINE_WITHIN, read(&mut stream)).await else { return };
    let answer = match line.map_err(|flaw| flaw.to_string()).and_then(|line| Call::parse(&line)) {
        Ok(call) => {
            let answer = carry_out(&call, context).await;
            match &answer {
                // A question changes nothing, and may come often.
                Ok(_) if call == Call::Book => {}
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
    // Closing with bytes unread would reset the connection, and the answer might be lost with it.
    let part = async {
        stream.write_all(answer.as_bytes()).await?;
        stream.shutdown().await?;
        let mut rest = [0; 256];
        while stream.read(&mut rest).await? > 0 {}
        Ok::<(), std::io::Error>(())
    };
    // It has its answer or has left.
    let _ = timeout(GO_WITHIN, part).await;
}

/// The caller's line; none if it left without one.
async fn read(stream: &mut TcpStream) -> Option<Result<String, wire::Flaw>> {
    let (mut line, mut bytes, mut any) = (Line::default(), [0; wire::MAX_LINE], false);
    loop {
        match stream.read(&mut bytes).await {
            Ok(0) => return any.then(|| Err(line.end())),
            Ok(count) => {
                any = true;
                if let Some(line) = line.take(&bytes[..count]) {
                    return Some(line);
                }
            }
            Err(_) => return None,
        }
    }
}

/// Carries a call out; what holds by now, or why nothing has changed.
async fn carry_out(call: &Call, context: &Context) -> Result<String, String> {
    let duty = context.phase.duty();
    match call {
        Call::Ready if duty.is_leaving() => Err("not ready: leaving after SIGTERM".into()),
        Call::Ready if duty.is_drained() => Err("not ready: drained".into()),
        Call::Ready if !*context.ready.borrow() => Err("not ready: starting".into()),
        Call::Ready => Ok("ready".into()),
        Call::Book => match &context.book {
            Some(book) => Ok(book.view()),
            None => Err("no book is kept: GRADEPADDLE_FLEET names no fleet file".into()),
        },
        Call::Disable(id) => ban(id, true, context).await,
        Call::Enable(id) => ban(id, false, context).await,
        Call::Drain => {
            let first = context.phase.tell(Duty::drain);
            Ok(if first { "draining" } else { "draining already" }.into())
        }
        Call::Resume => {
            let back = context.phase.tell(|duty, _| duty.resume());
            if back { Ok("in service".into()) } else { Err("leaving after SIGTERM".into()) }
        }
    }
}

async fn ban(id: &Id, out: bool, context: &Context) -> Result<String, String> {
    if !context.decision.knows(id.clone()).await {
        return Err(format!("{id:?} was never listed"));
    }
    let since = out.then(|| context.clock.now());
    let fresh = match &context.book {
        Some(book) => {
            // A ban holds here at once; it ends here when it ends for all, by the book.
            if out {
                context.decision.ban(id.clone(), true).await;
            }
            let outcome = book.ban(id, since).await.map_err(|why| match out {
                true => format!("{id} is out at this balancer, but not known to be at others: {why}"),
                false => format!("{id} is not known to serve again: {why}"),
            })?;
            if !out {
                context.decision.ban(id.clone(), false).await;
            }
            outcome == Outcome::Changed
        }
        None => {
            // Written down first: what has been said yes to must outlast this process.
            if let Some(handover) = &context.handover {
                handover.ban(id, since)?;
            }
            context.decision.ban(id.clone(), out).await
        }
    };
    Ok(match (out, fresh) {
        (true, true) => format!("{id} is out"),
        (true, false) => format!("{id} was out already"),
        (false, true) => format!("{id} may serve"),
        (false, false) => format!("{id} was not out"),
    })
}
