//! Runs a node: its start, signals and shutdown.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_config::{Findings, Settings};
use gradepaddle_controlplane::api_server::serve_api;
use gradepaddle_controlplane::clock::Clock;
use gradepaddle_controlplane::driver::{Driver, DriverChannels, DriverEvent};
use gradepaddle_controlplane::inbox::inbox;
use gradepaddle_controlplane::node::Input;
use gradepaddle_controlplane::transport::{Transport, serve_peers};
use gradepaddle_dataplane::{
    DataPlane, receive_load_reports, send_load_reports, serve_clients, serve_readiness,
};
use gradepaddle_resources::{ClientLimiter, ResourcePlan};
use slog::{Logger, info, warn};
use snafu::{OptionExt, ResultExt};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep};

use crate::effects::NodeEffects;
use crate::error::{CommandError, NoSettingsSnafu, RuntimeSnafu};
use crate::limiter_report::LimiterReport;
use crate::listeners::{Listeners, peer_address, seed_addresses};
use crate::settings_file::SettingsFile;
use crate::{control_store, logging, planes, shutdown};

/// The environment variable that names the settings file.
const SETTINGS_VARIABLE: &str = "GRADEPADDLE_BOOT";
/// Interval of the checks whether the settings file has changed without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Interval at which idle connections are closed and refused clients are reported.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a node until SIGTERM.
///
/// # Errors
///
/// [`CommandError`] if it can't start.
pub fn run() -> Result<(), CommandError> {
    let file: PathBuf = std::env::var_os(SETTINGS_VARIABLE).context(NoSettingsSnafu)?.into();
    let settings = Settings::load(&file).map_err(|findings| CommandError::Settings { findings })?;
    let log = logging::logger(&settings.node_name);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context(RuntimeSnafu)?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, serve(file, settings, log))
}

/// Starts all tasks of the node, and serves until SIGTERM.
async fn serve(file: PathBuf, settings: Settings, log: Logger) -> Result<(), CommandError> {
    let mut signals = Signals::new()?;
    let resources = ResourcePlan::new(settings.limits.memory_mb, settings.limits.open_files);
    let listeners = Listeners::open(&settings, &resources)?;
    let started = Instant::now();
    let (events, event_receiver) = mpsc::unbounded_channel();
    let callers = ClientLimiter::new(resources.control.clients);
    let peers = ClientLimiter::new(resources.peers);
    let plane = planes::data_plane(&settings, resources, &log);
    let clock = Clock::new(started);
    let effects = Rc::new(NodeEffects {
        plane: plane.clone(),
        clock,
        writer: RefCell::new(None),
        ready_to_exit: Rc::new(Notify::new()),
        log: log.clone(),
    });
    let settings = Rc::new(settings);
    let driver_events = events.clone();
    plane.set_store_health_listener(Box::new(move |name, alive| {
        let input = Input::CacheStoreChanged { name: Arc::from(name), alive };
        // If the driver has ended, the process is about to exit.
        let _ = driver_events.send(DriverEvent::Input(input));
    }));
    let node = planes::control_plane(&settings);
    let (inbox, inbox_receiver) = inbox();
    let transport = Transport::new(peer_address(&settings), resources.peer_send_bytes);
    let channels = DriverChannels { events: event_receiver, inbox: inbox_receiver, loopback: events.clone() };
    let owner: Arc<str> = Arc::from(&*settings.node_name);
    let driver = Driver::new(node, channels, transport, effects.clone(), owner, clock);
    tokio::task::spawn_local(driver.run());
    tokio::task::spawn_local(control_store::open_until_healthy(
        settings.clone(),
        effects.clone(),
        events.clone(),
        clock,
    ));
    tokio::task::spawn_local(serve_peers(listeners.peers, inbox, peers.clone()));
    tokio::task::spawn_local(serve_api(listeners.control, events.clone(), clock, callers.clone()));
    tokio::task::spawn_local(serve_readiness(plane.clone(), listeners.readiness));
    tokio::task::spawn_local(serve_clients(plane.clone(), listeners.front));
    let limiters = vec![
        LimiterReport::new("front", plane.clients()),
        LimiterReport::new("controlPlane", &callers),
        LimiterReport::new("readiness", plane.readiness_clients()),
        LimiterReport::new("internalPorts", &peers),
    ];
    tokio::task::spawn_local(sweep(plane.clone(), limiters, log.clone()));
    tokio::task::spawn_local(receive_load_reports(plane.clone(), listeners.load_reports.clone()));
    tokio::task::spawn_local(send_load_reports(plane.clone(), listeners.load_reports));
    info!(log, "node started"; "zone" => &settings.zone, "first_boot" => settings.first_boot);
    let mut settings_file = SettingsFile::new(file);
    loop {
        // Cancellation safe: tokio keeps a signal that arrives in the meantime, and each iteration starts a new sleep.
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => apply_settings(settings_file.reload(), &events, &log),
            () = sleep(SETTINGS_POLL_INTERVAL) => {
                if let Some(changed) = settings_file.reload_if_changed() {
                    apply_settings(changed, &events, &log);
                }
            }
        }
    }
    info!(log, "shutdown started");
    shutdown::shut_down(&settings, &plane, &events, &effects.ready_to_exit).await;
    info!(log, "shutdown complete"; "requests" => plane.counters.requests.get(), "responses" => plane.counters.responses.get());
    Ok(())
}

struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    fn new() -> Result<Self, CommandError> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate()).context(RuntimeSnafu)?,
            hangup: signal(SignalKind::hangup()).context(RuntimeSnafu)?,
        })
    }
}

/// Applies the seeds, the only setting that may change while the process runs.
fn apply_settings(
    reloaded: Result<Settings, Findings>,
    events: &mpsc::UnboundedSender<DriverEvent>,
    log: &Logger,
) {
    match reloaded {
        Ok(settings) => {
            // If the driver has ended, the process is about to exit.
            let _ = events.send(DriverEvent::Input(Input::SeedsChanged(seed_addresses(&settings))));
            info!(log, "settings reloaded");
        }
        Err(findings) => warn!(log, "settings reload rejected"; "findings" => findings.to_string()),
    }
}

async fn sweep(plane: Rc<DataPlane>, mut limiters: Vec<LimiterReport>, log: Logger) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        plane.sweep();
        limiters.iter_mut().for_each(|limiter| limiter.report(&log));
    }
}
