//! `gradepaddle`: an HTTP balancer on real sockets. The decisions are the library's; here is what they
//! need to run: connections, messages, time and the service table.

#![forbid(unsafe_code)]

mod app_server;
mod clock;
mod config;
mod decision;
mod door;
mod duty;
mod fleet;
mod handover;
mod http;
mod inherit;
mod mail;
mod phase;
mod probe;
mod routed_task;
mod service_table;
mod sockets;
mod terminal;
mod transaction;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use gradepaddle::Balancer;
use gradepaddle_dispatch::{Dispatch, Limits};
use gradepaddle_http::buffers::Pool;
use gradepaddle_http::idle_reuse::IdleReuse;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};
use tracing::{Level, debug, error, info, warn};

use crate::clock::Clock;
use crate::config::{Config, Occasion};
use crate::decision::{Decision, Known};
use crate::fleet::Book;
use crate::handover::Handover;
use crate::phase::Phase;
use crate::service_table::ServiceTable;

/// A process that follows another waits this long for discovery before it serves by what the other knew.
const HEAR: Duration = Duration::from_millis(1000);

fn main() -> ExitCode {
    // `GRADEPADDLE_LOG=debug` adds a line for each attempt, connect and answer, for counts over a fleet.
    let level = variable("GRADEPADDLE_LOG").map(|level| level.parse::<Level>());
    let most = match &level {
        Some(Ok(level)) => *level,
        _ => Level::INFO,
    };
    tracing_subscriber::fmt().with_target(false).with_ansi(false).with_max_level(most).init();
    if let Some(Err(fault)) = level {
        error!("GRADEPADDLE_LOG: {fault}");
        return ExitCode::FAILURE;
    }
    let config = match Config::read(variable, Occasion::Start) {
        Ok(config) => config,
        Err(fault) => {
            error!("configuration: {fault}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(fault) => {
            error!("starting: {fault}");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, serve(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            error!("ended: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Reads the configuration anew at each SIGHUP. What is bad changes nothing.
async fn reload(mut hangup: Signal, mut config: Config, table: service_table::Mailbox) {
    while hangup.recv().await.is_some() {
        let fresh = match Config::read(variable, Occasion::Anew) {
            Ok(fresh) => fresh,
            Err(fault) => {
                error!("SIGHUP: the configuration in use is kept: {fault}");
                continue;
            }
        };
        info!(discovery = %fresh.discovery, "SIGHUP: configuration read anew");
        for field in config.unheeded(&fresh) {
            warn!("SIGHUP: field {field} has changed; that is heeded at the next start");
        }
        if fresh.discovery != config.discovery {
            config.discovery = fresh.discovery;
            // The table ends only with the process.
            let _ = table.send(service_table::Ask::Move(fresh.discovery));
        }
    }
}

/// The folder shared with other processes of this balancer, where the platform gives one and it is of use.
fn handover(config: &Config, has_door: bool) -> Option<Rc<Handover>> {
    let within = std::env::var_os("TMPDIR").filter(|_| has_door || config.inherited.is_some())?;
    let sockets = config.inherited.map(|_| config.sockets);
    match Handover::enter(within.as_ref(), &config.name, sockets) {
        Ok(handover) => Some(handover),
        Err(fault) => {
            // What would be left there is lost with the process, but it serves.
            warn!("handover: {fault}");
            None
        }
    }
}

/// Serves until SIGTERM, then until all is answered.
async fn serve(mut config: Config) -> Result<(), String> {
    // Caught from the start on: either of them would end the process.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let listener = match config.inherited {
        Some(fd) => {
            let listener = inherit::listener(fd, config.listen)
                .and_then(|listener| TcpListener::from_std(listener).map_err(|e| e.to_string()));
            listener.map_err(|e| format!("RELAY_INHERITED_FD: descriptor {fd}: {e}"))?
        }
        None => {
            let listener = TcpListener::bind(config.listen).await;
            listener.map_err(|e| format!("field listen: {}: {e}", config.listen))?
        }
    };
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let door = match config.admin_addr {
        Some(at) => Some(TcpListener::bind(at).await.map_err(|e| format!("field admin_addr: {at}: {e}"))?),
        None => None,
    };
    let (clock, pool) = (Clock::start(), Pool::default());
    pool.set_limit(config.memory_mb * 1024 * 1024 / 2);
    let budget = sockets::Budget::new(config.sockets, door.as_ref().map_or(0, |_| door::CALLERS + 1));
    let handover = handover(&config, door.is_some());
    let older = handover.as_ref().is_some_and(|handover| handover.share(&budget, false).older);
    let balancer = Balancer::new(config.deployment.settings.clone(), config.seed);
    let balancer = balancer.map_err(|e| format!("field {e}"))?;
    let (table_known, mut known) = watch::channel(Known::default());
    let (ready, is_ready) = watch::channel(false);
    let phase = Rc::new(Phase::new(clock));
    let (decision, mails) = mail::Mailbox::new();
    let (table, asks) = mpsc::unbounded_channel();

    let routing = Rc::new(routed_task::Context {
        pool: pool.clone(),
        clock,
        budget: budget.clone(),
        dial_timeout: Duration::from_micros(config.deployment.connect_timeout),
        conn_idle: config.deployment.connection_idle_timeout,
        reports: config.deployment.reports,
        idle_reuse: IdleReuse::new(Instant::now()),
    });
    let limits = Limits { drain_grace: config.deployment.drain_grace, ..Limits::default() };
    let dispatch = Dispatch::new(balancer, &config.deployment.settings, &config.name, limits);
    let deciding = Decision::new(dispatch, decision.clone(), table.clone(), routing.clone(), table_known);
    let mut deciding = spawn_local(deciding.run(mails));
    let (at, deployment) = (config.discovery, config.deployment.clone());
    let listing = ServiceTable::new(at, deployment, decision.clone(), routing, handover.clone());
    let left = handover.as_ref().and_then(|handover| handover.last_table());
    let list = std::mem::take(&mut config.known).or_left(at, left, older);
    if let Some(handover) = &handover {
        // Before the table: nothing goes to one that is out.
        for (server, since) in handover.bans() {
            info!(%server, "handover: ban from before the start");
            decision.heed_ban(server, since);
        }
        spawn_local(handover.clone().run(decision.clone(), budget.clone(), phase.clone()));
    }
    let book = match variable("GRADEPADDLE_FLEET") {
        Some(path) => {
            let book = Book::open(path.as_ref(), &config.name, config.seed, config.deployment.peers).await;
            Some(book.map_err(|e| format!("GRADEPADDLE_FLEET: {e}"))?)
        }
        None => None,
    };
    if let Some(book) = book.clone() {
        let decision = decision.clone();
        spawn_local(book.follow(move |server, since| {
            info!(server, out = since.is_some(), "book: ban made or ended");
            decision.heed_ban(server.into(), since);
        }));
    }
    let mut listing = spawn_local(listing.run(list, asks));
    let (alive, mut ended) = mpsc::channel(1);
    let deployment = config.deployment.clone();
    let (calls, watched) = (decision.clone(), is_ready.clone());
    let terminals = terminal::Context {
        pool,
        clock,
        budget,
        deployment,
        decision,
        ready: is_ready.clone(),
        phase: phase.watch(),
    };
    // An inherited socket may be served by another process: what is taken off it must be served here.
    let when = config.inherited.map(|_| is_ready.clone());
    let terminals = Rc::new(terminals);
    spawn_local(terminal::hurry(terminals.clone()));
    let mut accepting = spawn_local(terminal::accept(listener, when, terminals, alive));
    info!(name = config.name, listen = %address, discovery = %config.discovery, "started");
    if let Some(door) = door {
        info!(admin_addr = %door.local_addr().map_err(|e| e.to_string())?, "operators' door open");
        let (phase, handover, book) = (phase.clone(), handover.clone(), book.clone());
        let context = door::Context { decision: calls, ready: watched, clock, phase, handover, book };
        spawn_local(door::run(door, Rc::new(context)));
    }
    debug!(settings = ?config.deployment, sockets = config.sockets, "told");
    // What an agent has counts from the first moment on, so that is heard before anything is served.
    let pushed = !config.deployment.settings.poll_discovery;
    spawn_local(reload(hangup, config, table));

    let entered = handover.clone();
    spawn_local(async move {
        // The decisions last as long as the process.
        let _ = known.wait_for(|known| known.named > 0).await;
        if older || pushed {
            // It serves in any case: discovery may be down, and the other may be stuck.
            let _ = timeout(HEAR, async {
                let _ = known.wait_for(|known| known.told).await;
                if let Some(handover) = &entered {
                    handover.room().await;
                }
            })
            .await;
        }
        if let Some(book) = book {
            // One that is cut off serves all the same: by the list, with the bans that it was told here.
            book.told(HEAR).await;
        }
        info!(app_servers = known.borrow().named, older, "ready");
        ready.send_replace(true);
        if let Some(handover) = entered {
            handover.ready();
        }
    });
    let turning = phase.clone();
    spawn_local(async move { turning.run().await });
    let leaving = async {
        terminate.recv().await;
        let heir = handover.as_ref().is_some_and(|handover| handover.others().heir);
        match heir {
            true => info!("SIGTERM: an heir serves, nothing more is accepted"),
            false => info!("SIGTERM: no longer ready, still answering"),
        }
        phase.tell(|duty, now| duty.leave(now, heir));
        // The phase lasts as long as this.
        let _ = phase.watch().wait_for(|stance| !stance.accepts).await;
        info!("closing");
    };
    // None of the actors ends by itself while the daemon serves: one that does has panicked.
    tokio::select! {
        biased;
        () = leaving => {}
        end = &mut deciding => return Err(format!("the decisions ended: {end:?}")),
        end = &mut listing => return Err(format!("the service table ended: {end:?}")),
        end = &mut accepting => return Err(format!("accepting ended: {end:?}")),
    }
    accepting.await.map_err(|e| format!("accepting ended: {e}"))?;
    // Every terminal holds a sender; the channel ends with the last of them.
    while ended.recv().await.is_some() {}
    info!("all is answered");
    Ok(())
}
