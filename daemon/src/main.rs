//! `gradepaddle`: an HTTP balancer on real sockets. The library makes the decisions; this program provides the connections,
//! messages, time and service table that it needs.

#![forbid(unsafe_code)]

mod admin;
mod app_server;
mod attempt;
mod clock;
mod config;
mod descriptor_budget;
mod dispatch_actor;
mod dispatch_handle;
mod drain_state;
mod fleet;
mod handover;
mod http;
mod inherited_listener;
mod lifecycle;
mod probe;
mod service_table;
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
use crate::config::{Config, ReadReason};
use crate::descriptor_budget::DescriptorBudget;
use crate::dispatch_actor::{DispatchActor, TableStatus};
use crate::dispatch_handle::DispatchHandle;
use crate::fleet::Book;
use crate::handover::Handover;
use crate::lifecycle::Lifecycle;
use crate::service_table::ServiceTable;

/// How long a process waits at its start for discovery, and for the fleet's book, before it serves with what it knows, such as
/// the table of the process that it succeeds.
const DISCOVERY_WAIT: Duration = Duration::from_millis(1000);

fn main() -> ExitCode {
    // `GRADEPADDLE_LOG=debug` adds a line for each attempt, connect and answer, from which counts over a fleet are made.
    let level = variable("GRADEPADDLE_LOG").map(|level| level.parse::<Level>());
    let most = match &level {
        Some(Ok(level)) => *level,
        _ => Level::INFO,
    };
    tracing_subscriber::fmt().with_target(false).with_ansi(false).with_max_level(most).init();
    if let Some(Err(error)) = level {
        error!("GRADEPADDLE_LOG: {error}");
        return ExitCode::FAILURE;
    }
    let config = match Config::read(variable, ReadReason::Start) {
        Ok(config) => config,
        Err(error) => {
            error!("configuration: {error}");
            return ExitCode::FAILURE;
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            error!("starting: {error}");
            return ExitCode::FAILURE;
        }
    };
    match LocalSet::new().block_on(&runtime, serve(config)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            error!("ended: {error}");
            ExitCode::FAILURE
        }
    }
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}

/// Reads the configuration again at each SIGHUP. An invalid one changes nothing.
async fn reload(mut hangup: Signal, mut config: Config, table: service_table::CommandSender) {
    while hangup.recv().await.is_some() {
        let new = match Config::read(variable, ReadReason::Reload) {
            Ok(new) => new,
            Err(error) => {
                error!("SIGHUP: the configuration in use is kept: {error}");
                continue;
            }
        };
        info!(discovery = %new.discovery, "SIGHUP: configuration reloaded");
        for field in config.restart_only_changes(&new) {
            warn!("SIGHUP: field {field} has changed; the change takes effect at the next start");
        }
        if new.discovery != config.discovery {
            config.discovery = new.discovery;
            // The table ends only with the process.
            let _ = table.send(service_table::Command::SetDiscovery(new.discovery));
        }
    }
}

/// Joins the directory that is shared with other processes of this balancer, if the platform provides one and it is needed.
fn join_handover(config: &Config, has_admin_listener: bool) -> Option<Rc<Handover>> {
    let parent =
        std::env::var_os("TMPDIR").filter(|_| has_admin_listener || config.inherited_fd.is_some())?;
    let descriptors = config.inherited_fd.map(|_| config.descriptors);
    match Handover::join(parent.as_ref(), &config.name, descriptors) {
        Ok(handover) => Some(handover),
        Err(error) => {
            // The process still serves, but its bans and table are lost when it ends.
            warn!("handover: {error}");
            None
        }
    }
}

/// Serves until SIGTERM, then until all requests are answered.
async fn serve(mut config: Config) -> Result<(), String> {
    // Installed first, because either signal would end the process by default.
    let hangup = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let listener = match config.inherited_fd {
        Some(fd) => {
            let listener = inherited_listener::adopt(fd, config.listen)
                .and_then(|listener| TcpListener::from_std(listener).map_err(|e| e.to_string()));
            listener.map_err(|e| format!("RELAY_INHERITED_FD: descriptor {fd}: {e}"))?
        }
        None => {
            let listener = TcpListener::bind(config.listen).await;
            listener.map_err(|e| format!("field listen: {}: {e}", config.listen))?
        }
    };
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let admin_listener = match config.admin_addr {
        Some(at) => Some(TcpListener::bind(at).await.map_err(|e| format!("field admin_addr: {at}: {e}"))?),
        None => None,
    };
    let (clock, pool) = (Clock::start(), Pool::default());
    pool.set_limit(config.memory_mb * 1024 * 1024 / 2);
    let budget = DescriptorBudget::new(
        config.descriptors,
        admin_listener.as_ref().map_or(0, |_| admin::MAX_CONNECTIONS + 1),
    );
    let handover = join_handover(&config, admin_listener.is_some());
    let older = handover.as_ref().is_some_and(|handover| handover.share(&budget, false).older);
    let balancer = Balancer::new(config.deployment.settings.clone(), config.seed);
    let balancer = balancer.map_err(|e| format!("field {e}"))?;
    let (table_status_sender, mut table_status) = watch::channel(TableStatus::default());
    let (ready_sender, ready) = watch::channel(false);
    let lifecycle = Rc::new(Lifecycle::new(clock));
    let (dispatch_handle, dispatch_commands) = DispatchHandle::new();
    let (table_sender, table_commands) = mpsc::unbounded_channel();

    let attempt_context = Rc::new(attempt::Context {
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
    let dispatch_actor = DispatchActor::new(
        dispatch,
        dispatch_handle.clone(),
        table_sender.clone(),
        attempt_context.clone(),
        table_status_sender,
    );
    let mut dispatch_task = spawn_local(dispatch_actor.run(dispatch_commands));
    let (discovery, deployment) = (config.discovery, config.deployment.clone());
    let service_table =
        ServiceTable::new(discovery, deployment, dispatch_handle.clone(), attempt_context, handover.clone());
    let stored_table = handover.as_ref().and_then(|handover| handover.stored_table());
    let initial_table =
        std::mem::take(&mut config.initial_table).or_handed_over(discovery, stored_table, older);
    if let Some(handover) = &handover {
        // Before the table is applied, so that a banned app server gets no request.
        for (server, since) in handover.ban_changes() {
            info!(%server, "handover: ban from before the start");
            dispatch_handle.apply_ban(server, since);
        }
        spawn_local(handover.clone().run(dispatch_handle.clone(), budget.clone(), lifecycle.clone()));
    }
    let book = match variable("GRADEPADDLE_FLEET") {
        Some(path) => {
            let book = Book::open(path.as_ref(), &config.name, config.seed, config.deployment.peers).await;
            Some(book.map_err(|e| format!("GRADEPADDLE_FLEET: {e}"))?)
        }
        None => None,
    };
    if let Some(book) = book.clone() {
        let dispatch_handle = dispatch_handle.clone();
        spawn_local(book.follow(move |server, since| {
            info!(server, out = since.is_some(), "book: ban made or ended");
            dispatch_handle.apply_ban(server.into(), since);
        }));
    }
    let mut table_task = spawn_local(service_table.run(initial_table, table_commands));
    let (alive, mut all_closed) = mpsc::channel(1);
    let deployment = config.deployment.clone();
    let (admin_dispatch, admin_ready) = (dispatch_handle.clone(), ready.clone());
    let terminals = terminal::Context {
        pool,
        clock,
        budget,
        deployment,
        dispatch: dispatch_handle,
        ready: ready.clone(),
        policy: lifecycle.watch(),
    };
    // Another process may serve an inherited socket, so nothing is accepted from it before it can be served here.
    let start_when = config.inherited_fd.map(|_| ready.clone());
    let terminals = Rc::new(terminals);
    spawn_local(terminal::evict_stalled(terminals.clone()));
    let mut accept_task = spawn_local(terminal::accept(listener, start_when, terminals, alive));
    info!(name = config.name, listen = %address, discovery = %config.discovery, "started");
    if let Some(admin_listener) = admin_listener {
        info!(admin_addr = %admin_listener.local_addr().map_err(|e| e.to_string())?, "admin listener open");
        let (lifecycle, handover, book) = (lifecycle.clone(), handover.clone(), book.clone());
        let context =
            admin::Context { dispatch: admin_dispatch, ready: admin_ready, clock, lifecycle, handover, book };
        spawn_local(admin::run(admin_listener, Rc::new(context)));
    }
    debug!(settings = ?config.deployment, sockets = config.descriptors, "configuration");
    // A pushed list counts from the start, so it is waited for before anything is served.
    let pushed = !config.deployment.settings.poll_discovery;
    spawn_local(reload(hangup, config, table_sender));

    let ready_handover = handover.clone();
    spawn_local(async move {
        // The sender, in the dispatch actor, lives as long as the process.
        let _ = table_status.wait_for(|status| status.servers > 0).await;
        if older || pushed {
            // It serves after the timeout in any case: discovery may be down, and the other process may be stuck.
            let _ = timeout(DISCOVERY_WAIT, async {
                let _ = table_status.wait_for(|status| status.from_discovery).await;
                if let Some(handover) = &ready_handover {
                    handover.room().await;
                }
            })
            .await;
        }
        if let Some(book) = book {
            // A process that can't reach the book still serves: by the list, with the bans that are known here.
            book.wait_until_known(DISCOVERY_WAIT).await;
        }
        info!(app_servers = table_status.borrow().servers, older, "ready");
        ready_sender.send_replace(true);
        if let Some(handover) = ready_handover {
            handover.set_ready();
        }
    });
    let running_lifecycle = lifecycle.clone();
    spawn_local(async move { running_lifecycle.run().await });
    let terminated = async {
        terminate.recv().await;
        let has_successor = handover.as_ref().is_some_and(|handover| handover.others().ready_successor);
        match has_successor {
            true => info!("SIGTERM: a successor serves, no more connections are accepted"),
            false => info!("SIGTERM: no longer ready, still answering"),
        }
        lifecycle.update(|state, now| state.terminate(now, has_successor));
        // The sender lives as long as `lifecycle`, which is held here.
        let _ = lifecycle.watch().wait_for(|policy| !policy.accepts).await;
        info!("closing");
    };
    // No actor ends while the daemon serves; one that does has panicked.
    tokio::select! {
        biased;
        () = terminated => {}
        end = &mut dispatch_task => return Err(format!("the dispatch actor ended: {end:?}")),
        end = &mut table_task => return Err(format!("the service table ended: {end:?}")),
        end = &mut accept_task => return Err(format!("accepting ended: {end:?}")),
    }
    accept_task.await.map_err(|e| format!("accepting ended: {e}"))?;
    // Every terminal holds a sender, so the channel is closed when the last terminal has ended.
    while all_closed.recv().await.is_some() {}
    info!("all is answered");
    Ok(())
}
