//! What all connections of the data plane share.

use std::cell::{Cell, RefCell};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_config::{Configuration, Service, ServiceKind};
use gradepaddle_http::buffers::Pool;
use gradepaddle_placement::{AttemptId, CacheStoreService, Micros, ModelService, Placer, ServiceSpec};
use slog::{Logger, info};
use tokio::sync::watch;
use tokio::time::{Instant, timeout, timeout_at};

use crate::cache_events::CacheStoreSubscriptions;
use crate::load_reports::LoadReports;
use crate::upstream_pool::UpstreamPool;

/// How far the process is from its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are taken.
    Serving,
    /// The end is announced: requests are still served, each answer ends its connection.
    Draining,
    /// Nothing new is begun: connections without a request are closed, and a request that still comes is refused.
    /// Requests that are open go on.
    Closing,
    /// No connection is taken any more.
    Closed,
}

/// What the data plane is told at its start.
pub struct Setup {
    /// Placement of generations.
    pub placer: Placer,
    /// Where this node stands.
    pub zone: Arc<str>,
    /// Where to log.
    pub log: Logger,
}

/// What shows that the keys of a configuration are good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyValidity {
    /// The version of the configuration, or a later one.
    pub version: u64,
    /// Until when (by [`DataPlane::now`]); 0 if nothing shows it yet.
    pub valid_until: Micros,
}

/// Counts since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests that were read whole.
    pub requests: Cell<u64>,
    /// Answers with a server's success.
    pub responses: Cell<u64>,
    /// Refusals with a promise that the request did not run.
    pub rejected: Cell<u64>,
    /// Requests turned down as not allowed by the configuration.
    pub denied: Cell<u64>,
    /// Requests that failed, or whose answer was cut.
    pub failed: Cell<u64>,
    /// Attempts beyond the first of a request.
    pub retries: Cell<u64>,
    /// Attempts taken back, since they had not begun as their server's weights got too old.
    pub withdrawn: Cell<u64>,
    /// Streams taken up at another server.
    pub resumed: Cell<u64>,
}

/// Adds one.
pub(crate) fn count(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// The state that connections, attempts and the control plane share.
pub struct DataPlane {
    /// Placement, fed by the control plane and by what attempts show.
    pub placer: RefCell<Placer>,
    /// Counts since the start.
    pub counters: Counters,
    pub(crate) pool: Pool,
    pub(crate) upstreams: UpstreamPool,
    pub(crate) log: Logger,
    configuration: RefCell<Option<Rc<Configuration>>>,
    shared_isolation: Cell<u64>,
    started: Instant,
    configured: watch::Sender<bool>,
    phase: watch::Sender<Phase>,
    open: Cell<usize>,
    has_control: Cell<bool>,
    /// What shows that keys are good; none where that needs nothing.
    keys: Cell<Option<KeyValidity>>,
    /// Whether they could be when that was last looked at, for the log.
    keys_lapsed: Cell<bool>,
    /// Told when there is other evidence of keys.
    keys_changed: watch::Sender<()>,
    /// Told when versions are named or postponed.
    versions_changed: watch::Sender<()>,
    pub(crate) cache_stores: CacheStoreSubscriptions,
    pub(crate) load_reports: LoadReports,
}

impl DataPlane {
    /// A data plane without a configuration, which is not ready.
    pub fn new(setup: Setup) -> Rc<Self> {
        Rc::new(DataPlane {
            placer: RefCell::new(setup.placer),
            counters: Counters::default(),
            pool: Pool::default(),
            upstreams: UpstreamPool::new(),
            log: setup.log,
            configuration: RefCell::new(None),
            shared_isolation: Cell::new(0),
            started: Instant::now(),
            configured: watch::Sender::new(false),
            phase: watch::Sender::new(Phase::Serving),
            open: Cell::new(0),
            has_control: Cell::new(false),
            keys: Cell::new(None),
            keys_lapsed: Cell::new(false),
            keys_changed: watch::Sender::new(()),
            versions_changed: watch::Sender::new(()),
            cache_stores: CacheStoreSubscriptions::default(),
            load_reports: LoadReports::new(setup.zone),
        })
    }

    /// Microseconds since the start.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// The configuration in force at this node.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// The configuration in force, waited for if there is none yet.
    pub(crate) async fn wait_for_configuration(&self, span: Duration) -> Option<Rc<Configuration>> {
        if self.configuration.borrow().is_none() {
            let mut configured = self.configured.subscribe();
            // Without one in time the caller is told that there is none.
            let _ = timeout(span, configured.wait_for(|there| *there)).await;
        }
        self.configuration()
    }

    /// Puts a configuration in force, unless one of the same or a later version is.
    pub fn set_configuration(self: &Rc<Self>, configuration: Configuration) {
        if self.configuration.borrow().as_ref().is_some_and(|old| old.version >= configuration.version) {
            return;
        }
        let mut hasher = DefaultHasher::new();
        for tenant in configuration.isolated_tenants() {
            tenant.name.hash(&mut hasher);
        }
        self.shared_isolation.set(hasher.finish());
        let now = self.now();
        self.placer.borrow_mut().set_services(now, services(&configuration));
        info!(self.log, "configuration applied"; "version" => configuration.version);
        *self.configuration.borrow_mut() = Some(Rc::new(configuration));
        self.configured.send_replace(true);
        self.update_subscriptions();
    }

    /// The identity of the set of isolated tenants, which keeps parts made under another set apart.
    pub(crate) fn shared_isolation(&self) -> u64 {
        self.shared_isolation.get()
    }

    /// Newer weights were named: nothing older may begin from `binds_in` after now.
    pub fn announce_version(&self, model: &str, version: u64, binds_in: Micros) {
        let binds_at = self.now() + binds_in;
        self.placer.borrow_mut().announce_version(binds_at, model, version);
        self.versions_changed.send_replace(());
    }

    /// The time within which a version has to be in use began anew: it ends `binds_in` after now.
    pub fn postpone_version(&self, model: &str, version: u64, binds_in: Micros) {
        let binds_at = self.now() + binds_in;
        self.placer.borrow_mut().extend_version_deadline(binds_at, model, version);
        self.versions_changed.send_replace(());
    }

    /// Ready once an attempt has to be taken back: it has not begun, and its server's weights are about to be too old.
    pub(crate) async fn version_deadline_passed(&self, attempt: AttemptId) {
        let mut changes = self.versions_changed.subscribe();
        loop {
            // The sender lives as long as this does: a change or a time-out ends each wait.
            let by = self.placer.borrow().start_deadline(attempt);
            match by {
                Some(by) if by <= self.now() => return,
                Some(by) => {
                    drop(timeout_at(self.started + Duration::from_micros(by), changes.changed()).await)
                }
                None => drop(changes.changed().await),
            }
        }
    }

    /// An attempt was taken back, since it had not begun as its server's weights got too old.
    pub(crate) fn attempt_withdrawn(&self, server: &str) {
        count(&self.counters.withdrawn);
        info!(self.log, "request withdrawn"; "server" => server);
    }

    /// Says whether the node has been in touch with control.
    pub fn set_control_connected(&self, has: bool) {
        self.has_control.set(has);
    }

    /// Until when keys may be acted on: after that one of them may have been taken away without word of it. Without this
    /// call they may be for ever.
    pub fn set_key_validity(&self, evidence: KeyValidity) {
        self.keys.set(Some(evidence));
        self.keys_changed.send_replace(());
        self.log_key_validity();
    }

    /// Logs when keys lapse and when they are good again.
    fn log_key_validity(&self) {
        let lapsed = self.key_validity_expired();
        if self.keys_lapsed.replace(lapsed) != lapsed {
            info!(self.log, "configuration validity changed"; "expired" => lapsed);
        }
    }

    /// Waits for the first evidence that keys are good: it comes soon after the configuration.
    pub(crate) async fn wait_for_key_validity(&self, span: Duration) {
        let mut changes = self.keys_changed.subscribe();
        let shown = async {
            while self.keys.get().is_some_and(|evidence| evidence.valid_until == 0) {
                // The sender lives as long as this does.
                drop(changes.changed().await);
            }
        };
        // Without any in time the caller finds that they have lapsed.
        let _ = timeout(span, shown).await;
    }

    /// True if it is not known whether keys are still good.
    pub(crate) fn key_validity_expired(&self) -> bool {
        let Some(evidence) = self.keys.get() else { return false };
        // A configuration that this build could not read may be in force everywhere else.
        let older = self.configuration.borrow().as_ref().is_some_and(|one| one.version < evidence.version);
        older || self.now() >= evidence.valid_until
    }

    /// True if new connections are welcome.
    pub fn is_ready(&self) -> bool {
        let configuration = self.configuration.borrow();
        let serves =
            configuration.as_ref().is_some_and(|one| !one.needs_key() || !self.key_validity_expired());
        *self.phase.borrow() == Phase::Serving && self.has_control.get() && serves
    }

    /// True while requests that come are begun.
    pub(crate) fn accepts_requests(&self) -> bool {
        *self.phase.borrow() < Phase::Closing
    }

    /// Moves on towards the end.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.send_replace(phase);
    }

    /// Waits until the process is that far on its way to the end.
    pub async fn phase_reached(&self, reached: Phase) {
        // The sender lives as long as this does.
        let _ = self.phase.subscribe().wait_for(|phase| *phase >= reached).await;
    }

    /// True if each answer ends its connection.
    pub(crate) fn closes_connections(&self) -> bool {
        *self.phase.borrow() != Phase::Serving
    }

    /// Requests that have been read and not yet answered whole.
    pub fn open_requests(&self) -> usize {
        self.open.get()
    }

    pub(crate) fn track_request(self: &Rc<Self>) -> OpenRequestGuard {
        self.open.set(self.open.get() + 1);
        OpenRequestGuard(self.clone())
    }

    /// Closes idle connections to a server that takes nothing new.
    pub fn close_idle_connections(&self, id: &str) {
        self.upstreams.close_idle(id);
    }

    /// Housekeeping, about once a second.
    pub fn sweep(&self) {
        self.log_key_validity();
        self.upstreams.sweep();
        self.renew_reported_stores();
    }
}

/// Counts an open request until it is dropped.
pub(crate) struct OpenRequestGuard(Rc<DataPlane>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

fn services(configuration: &Configuration) -> Vec<ServiceSpec> {
    configuration.services.iter().map(service).collect()
}

fn service(service: &Service) -> ServiceSpec {
    match &service.kind {
        ServiceKind::Servers { max_connections, engine, .. } => {
            let spec = ModelService::builder().name(service.name.clone());
            let spec = spec.max_connections(max_connections.unwrap_or(0));
            ServiceSpec::Model(match engine {
                Some(engine) => spec
                    .slots(engine.slots)
                    .cache_tokens(engine.cache_tokens)
                    .token_bytes(engine.token_bytes)
                    .link_mbps(engine.link_mbps)
                    .models(engine.models.clone())
                    .build(),
                None => spec.build(),
            })
        }
        ServiceKind::Store { address, zone, cache_tokens, link_mbps, .. } => ServiceSpec::Store(
            CacheStoreService::builder()
                .name(service.name.clone())
                .address(*address)
                .zone(zone.clone())
                .cache_tokens(*cache_tokens)
                .link_mbps(*link_mbps)
                .build(),
        ),
    }
}
