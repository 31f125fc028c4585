//! A node as a process: settings, listeners, planes, signals, the end.

use std::cell::RefCell;
use std::future::ready;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gradepaddle_config::Settings;
use gradepaddle_control::{RecoveredState, Replica, ReplicaConfig, ReplicaId};
use gradepaddle_controlplane::CLOCK_START;
use gradepaddle_controlplane::clock::Clock;
use gradepaddle_controlplane::door::serve_calls;
use gradepaddle_controlplane::driver::{Driver, DriverEvent, Ears};
use gradepaddle_controlplane::founding::Founding;
use gradepaddle_controlplane::links::{Links, serve_links};
use gradepaddle_controlplane::naming::VersionTimes;
use gradepaddle_controlplane::node::{Input, Node, NodeSetup};
use gradepaddle_controlplane::session::OwnSession;
use gradepaddle_dataplane::{
    DataPlane, Setup, ShutdownTimes, receive_load_reports, send_load_reports, serve_clients, serve_readiness,
    shut_down,
};
use gradepaddle_gossip::{Gossip, GossipConfig};
use gradepaddle_placement::{PlacementConfig, Placer};
use gradepaddle_proto::Identity;
use gradepaddle_store::{Storage, StoreError, WriteResult, Writer};
use slog::{Logger, info, warn};
use snafu::{OptionExt, ResultExt};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, sleep, timeout};

use crate::effects::NodeEffects;
use crate::error::{CommandError, ListenSnafu, NoAddressSnafu, NoSettingsSnafu, RuntimeSnafu};
use crate::logging;

/// The variable that names the settings file.
const SETTINGS_VARIABLE: &str = "GRADEPADDLE_BOOT";
/// Connections that wait to be taken.
const BACKLOG: u32 = 1024;
/// Between sweeps of idle connections.
const SWEEP_EVERY: Duration = Duration::from_secs(1);
/// After SIGTERM requests are begun for this long: the platform asks each second and wants two misses. What comes later
/// than three seconds must not be cut by the end, so it is refused before.
const BEGINS_REQUESTS_FOR: Duration = Duration::from_millis(2600);
/// The process ends this long before it would be killed.
const GRACE_MARGIN: Duration = Duration::from_millis(600);
/// A disk that refused is tried again after this.
const DISK_AGAIN_AFTER: Duration = Duration::from_millis(500);

/// Keys that may have been taken away stop working so long before they have to.
const REVOKE_MARGIN: Duration = Duration::from_millis(250);

/// Runs a node until it is told to end.
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

/// The sockets that a node listens on.
struct Listeners {
    front: TcpListener,
    readiness: TcpListener,
    control: TcpListener,
    links: TcpListener,
    loads: Rc<UdpSocket>,
}

impl Listeners {
    fn open(settings: &Settings) -> Result<Self, CommandError> {
        let listen = &settings.listen;
        Ok(Listeners {
            front: open(listen.front, "front")?,
            readiness: open(listen.readiness, "readiness")?,
            control: open(listen.control, "controlPlane")?,
            links: open(Some(link_address(settings)), "internalPorts")?,
            loads: Rc::new(datagrams(link_address(settings))?),
        })
    }
}

fn open(address: Option<SocketAddrV4>, name: &'static str) -> Result<TcpListener, CommandError> {
    let address = address.context(NoAddressSnafu { name })?;
    let listen = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address.into())?;
        socket.listen(BACKLOG)
    };
    listen().context(ListenSnafu { address })
}

fn datagrams(address: SocketAddrV4) -> Result<UdpSocket, CommandError> {
    let bind = || {
        let socket = std::net::UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        UdpSocket::from_std(socket)
    };
    bind().context(ListenSnafu { address })
}

/// Where other nodes reach this one: the first of the ports between nodes.
fn link_address(settings: &Settings) -> SocketAddrV4 {
    SocketAddrV4::new(settings.ip, settings.internal_ports.0)
}

/// Where the seeds are reached by other nodes: ports are alike on all machines.
fn seed_links(settings: &Settings) -> Vec<SocketAddrV4> {
    let port = settings.internal_ports.0;
    settings.seed_nodes.iter().map(|seed| SocketAddrV4::new(*seed.ip(), port)).collect()
}

async fn serve(file: PathBuf, settings: Settings, log: Logger) -> Result<(), CommandError> {
    let mut signals = Signals::new()?;
    let listeners = Listeners::open(&settings)?;
    let started = Instant::now();
    let (back, events) = mpsc::unbounded_channel();
    let plane = data_plane(&settings, &log);
    let clock = Clock::new(started);
    let effects = Rc::new(NodeEffects {
        plane: plane.clone(),
        clock,
        writer: RefCell::new(None),
        may_end: Rc::new(Notify::new()),
        log: log.clone(),
    });
    let settings = Rc::new(settings);
    let told = back.clone();
    plane.set_store_health_listener(Box::new(move |name, alive| {
        let input = Input::Store { name: Arc::from(name), alive };
        // Without a driver nobody has to know.
        let _ = told.send(DriverEvent::Input(input));
    }));
    let node = node(&settings);
    let (inbox, envelopes) = mpsc::unbounded_channel();
    let links = Links::new(link_address(&settings));
    let ears = Ears { events, envelopes, back: back.clone() };
    let owner: Arc<str> = Arc::from(&*settings.node_name);
    let driver = Driver::new(node, ears, links, effects.clone(), owner, clock);
    tokio::task::spawn_local(driver.run());
    tokio::task::spawn_local(keep_control_state(settings.clone(), effects.clone(), back.clone(), clock));
    tokio::task::spawn_local(serve_links(listeners.links, inbox));
    tokio::task::spawn_local(serve_calls(listeners.control, back.clone(), clock));
    tokio::task::spawn_local(serve_readiness(plane.clone(), listeners.readiness));
    tokio::task::spawn_local(serve_clients(plane.clone(), listeners.front));
    tokio::task::spawn_local(sweep(plane.clone()));
    tokio::task::spawn_local(receive_load_reports(plane.clone(), listeners.loads.clone()));
    tokio::task::spawn_local(send_load_reports(plane.clone(), listeners.loads));
    info!(log, "started"; "zone" => &settings.zone, "first_boot" => settings.first_boot);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => reload(&file, &back, &log),
        }
    }
    info!(log, "ending");
    end(&settings, &plane, &back, &effects.may_end).await;
    info!(log, "ended"; "requests" => plane.counters.requests.get(), "served" => plane.counters.responses.get());
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

/// A number that no other process has.
fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn data_plane(settings: &Settings, log: &Logger) -> Rc<DataPlane> {
    let bounds = &settings.bounds;
    let micros = |span: Duration| span.as_micros() as u64;
    let engine = PlacementConfig::builder()
        .own_zone(&*settings.zone)
        .seed(random())
        .retry_ratio(bounds.retry_ratio)
        .retry_slack(bounds.retry_slack)
        .retry_window(micros(bounds.retry_window))
        .build();
    DataPlane::new(Setup { placer: Placer::new(engine), zone: Arc::from(&*settings.zone), log: log.clone() })
}

/// Opens the disk, where there is one whose loss counts, and starts the replica on it. A disk that refuses is tried again
/// until it is well: without its replica the node serves clients all the same.
async fn keep_control_state(
    settings: Rc<Settings>,
    effects: Rc<NodeEffects>,
    back: mpsc::UnboundedSender<DriverEvent>,
    clock: Clock,
) {
    let Some(path) = settings.data_path.as_ref().filter(|_| settings.loss_counts) else { return };
    loop {
        match open_disk(path, &back) {
            Ok((writer, recovered)) => {
                *effects.writer.borrow_mut() = Some(writer);
                let config = ReplicaConfig::builder()
                    .address(link_address(&settings))
                    .zone(&*settings.zone)
                    .first_boot(settings.first_boot)
                    .machine_losses(settings.fault_tolerance.machine_losses as usize)
                    .shutdown_timeout(settings.bounds.grace.saturating_sub(GRACE_MARGIN).as_micros() as u64)
                    .seed(random())
                    .build();
                let replica = Box::new(Replica::new(config, recovered, clock.now()));
                // Without a driver nobody needs it.
                let _ = back.send(DriverEvent::Input(Input::Replica(replica)));
                return;
            }
            Err(error) => warn!(effects.log, "control state not opened"; "error" => error.to_string()),
        }
        sleep(DISK_AGAIN_AFTER).await;
    }
}

fn open_disk(
    path: &Path,
    back: &mpsc::UnboundedSender<DriverEvent>,
) -> Result<(Writer, RecoveredState), StoreError> {
    let opened = Storage::open(path, ReplicaId(random()))?;
    let back = back.clone();
    let on_result = move |write: WriteResult| {
        let input = match write.result {
            Ok(()) => Input::Persisted(write.write_id),
            Err(_) => Input::PersistFailed(write.write_id),
        };
        // Without a driver nobody waits for it.
        let _ = back.send(DriverEvent::Input(input));
    };
    let writer = Writer::start(opened.storage, Box::new(on_result))?;
    Ok((writer, opened.recovered))
}

fn node(settings: &Settings) -> Node {
    let own = link_address(settings);
    let seeds = seed_links(settings);
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let identity = Identity {
        address: own,
        incarnation: since.as_micros() as u64,
        name: Arc::from(&*settings.node_name),
        zone: Arc::from(&*settings.zone),
        replica: None,
        first_boot: settings.first_boot,
    };
    let micros = |span: Duration| span.as_micros() as u64;
    let losses = settings.fault_tolerance.machine_losses as usize;
    Node::new(NodeSetup {
        session: OwnSession::new(identity, seeds.clone(), CLOCK_START),
        spread: Gossip::new(GossipConfig::builder().address(own).seed(random()).build(), CLOCK_START),
        founding: Founding::new(own, &seeds, losses, settings.first_boot, CLOCK_START),
        beat_every: micros(settings.heartbeat_interval),
        order_lease: micros(settings.bounds.lease),
        version_times: VersionTimes {
            within: micros(settings.bounds.version),
            in_all: Some(micros(settings.bounds.version_all)).filter(|bound| *bound > 0),
        },
        revoke_within: settings
            .bounds
            .revoke_everywhere
            .then(|| micros(settings.bounds.revoke.saturating_sub(REVOKE_MARGIN))),
        machine_losses: losses,
        now: CLOCK_START,
    })
}

/// Takes over what may change while the process runs: the seeds.
fn reload(file: &PathBuf, back: &mpsc::UnboundedSender<DriverEvent>, log: &Logger) {
    match Settings::load(file) {
        Ok(settings) => {
            // Without a driver the process is about to end.
            let _ = back.send(DriverEvent::Input(Input::Seeds(seed_links(&settings))));
            info!(log, "settings read again");
        }
        Err(findings) => warn!(log, "settings not taken"; "findings" => findings.to_string()),
    }
}

async fn sweep(plane: Rc<DataPlane>) {
    loop {
        sleep(SWEEP_EVERY).await;
        plane.sweep();
    }
}

/// Serves what still comes, then what is open; hands over what others have to go on with; then ends.
async fn end(
    settings: &Settings,
    plane: &Rc<DataPlane>,
    back: &mpsc::UnboundedSender<DriverEvent>,
    may_end: &Notify,
) {
    // Without a driver there is nothing to hand over.
    let _ = back.send(DriverEvent::Input(Input::Leaving));
    let times = ShutdownTimes {
        accepts_requests_for: BEGINS_REQUESTS_FOR,
        grace_period: settings.bounds.grace.saturating_sub(GRACE_MARGIN),
    };
    // What this machine holds may be needed for longer than its clients need it. A control state that nobody has taken
    // over in time stays on the disk.
    let hand_over = timeout(times.grace_period, may_end.notified());
    let (_, _) = tokio::join!(shut_down(plane, times, ready(())), hand_over);
}
