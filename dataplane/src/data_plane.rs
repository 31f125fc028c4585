//! The state that the tasks of the data plane share.
//!
//! Everything runs on one thread, so cells suffice. No `RefCell` is borrowed across an `await`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_config::{Configuration, ServiceKind};
use gradepaddle_http::buffers::Pool;
use gradepaddle_placement::{Micros, Placer};
use slog::{Logger, info};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::cache_events::subscriptions::CacheStoreSubscriptions;
use crate::counters::Counters;
use crate::denied_requests::DeniedRequests;
use crate::key_validity::{KeyValidity, KeyValidityTracker};
use crate::lifecycle::{Lifecycle, OpenRequestGuard, Phase};
use crate::load_reports::state::{LoadReportCounters, LoadReports};
use crate::upstream_pool::{IdleLimits, UpstreamPool};

/// What a data plane is built from.
pub struct Setup {
    /// Decides which server gets a request.
    pub placer: Placer,
    /// The failure domain of this node.
    pub zone: Arc<str>,
    /// How many descriptors the process may open (`openFiles`).
    pub open_files: u64,
    /// Where to log.
    pub log: Logger,
}

/// The state that connections, attempts and the inputs of the control plane share.
pub struct DataPlane {
    /// Placement, fed by the control plane and by the results of attempts.
    pub placer: RefCell<Placer>,
    /// Counts since the start.
    pub counters: Counters,
    pub(crate) pool: Pool,
    pub(crate) upstreams: UpstreamPool,
    open_files: u64,
    /// All nodes, this one included.
    node_count: Cell<usize>,
    pub(crate) log: Logger,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) key_validity: KeyValidityTracker,
    pub(crate) denied_requests: DeniedRequests,
    pub(crate) cache_stores: CacheStoreSubscriptions,
    pub(crate) load_reports: LoadReports,
    /// Notified when a model version is announced or its deadline postponed.
    pub(crate) versions_changed: watch::Sender<()>,
    /// The origin of [`DataPlane::now`].
    pub(crate) started: Instant,
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// The version of the configuration in force, 0 before the first.
    version_in_force: watch::Sender<u64>,
    /// The version of a newer configuration that exists and has not arrived here yet.
    expected_version: Cell<Option<u64>>,
    /// Hash of the set of isolated tenants.
    shared_isolation: Cell<u64>,
    control_connected: Cell<bool>,
}

impl DataPlane {
    /// A data plane without a configuration, which is not ready.
    pub fn new(setup: Setup) -> Rc<Self> {
        Rc::new(DataPlane {
            placer: RefCell::new(setup.placer),
            counters: Counters::default(),
            pool: Pool::default(),
            upstreams: UpstreamPool::new(IdleLimits::new(setup.open_files, 1, std::iter::empty())),
            open_files: setup.open_files,
            node_count: Cell::new(1),
            log: setup.log,
            lifecycle: Lifecycle::new(),
            key_validity: KeyValidityTracker::default(),
            denied_requests: DeniedRequests::default(),
            cache_stores: CacheStoreSubscriptions::default(),
            load_reports: LoadReports::new(setup.zone),
            versions_changed: watch::Sender::new(()),
            started: Instant::now(),
            configuration: RefCell::new(None),
            version_in_force: watch::Sender::new(0),
            expected_version: Cell::new(None),
            shared_isolation: Cell::new(0),
            control_connected: Cell::new(false),
        })
    }

    /// Microseconds since the data plane was built, by the monotonic clock.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// The configuration in force at this node.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// The configuration in force, waited for at most this long if there is none yet. Cancellation safe.
    pub(crate) async fn wait_for_configuration(&self, limit: Duration) -> Option<Rc<Configuration>> {
        if self.configuration.borrow().is_none() {
            self.wait_for_version(1, limit).await;
        }
        self.configuration()
    }

    /// Waits until a configuration of this version or a newer one is in force, at most this long. Cancellation safe.
    pub(crate) async fn wait_for_version(&self, version: u64, limit: Duration) {
        let mut in_force = self.version_in_force.subscribe();
        // After a time-out the caller finds an older one in force, or none.
        let _ = timeout(limit, in_force.wait_for(|in_force| *in_force >= version)).await;
    }

    /// Says which newer configuration exists that has not arrived here yet, if there is one.
    pub fn set_expected_configuration(&self, version: Option<u64>) {
        self.expected_version.set(version);
    }

    /// The version of a newer configuration than the one in force that is known to exist.
    pub(crate) fn newer_configuration(&self) -> Option<u64> {
        self.expected_version.get().filter(|expected| *expected > *self.version_in_force.borrow())
    }

    /// Replaces the configuration in force. `shared_isolation`: see [`DataPlane::shared_isolation`].
    pub(crate) fn replace_configuration(&self, configuration: Rc<Configuration>, shared_isolation: u64) {
        self.shared_isolation.set(shared_isolation);
        let version = configuration.version;
        *self.configuration.borrow_mut() = Some(configuration);
        self.version_in_force.send_replace(version);
    }

    /// Sets how many nodes there are, this one included.
    pub(crate) fn set_node_count(&self, nodes: usize) {
        self.node_count.set(nodes);
        self.update_idle_limits();
    }

    /// Divides the connections that servers accept, and this process's descriptors.
    pub(crate) fn update_idle_limits(&self) {
        let configuration = self.configuration.borrow();
        let services = configuration.iter().flat_map(|configuration| &configuration.services);
        let max_connections = services.filter_map(|service| match &service.kind {
            ServiceKind::Servers { max_connections, .. } => *max_connections,
            ServiceKind::Store { .. } => None,
        });
        self.upstreams.set_limits(IdleLimits::new(self.open_files, self.node_count.get(), max_connections));
    }

    /// The hash of the set of isolated tenants. It salts the cached prefixes of all other tenants, so that none that was
    /// made while a tenant was not yet isolated is reused.
    pub(crate) fn shared_isolation(&self) -> u64 {
        self.shared_isolation.get()
    }

    /// Says whether this node has been connected to the control plane.
    pub fn set_control_connected(&self, connected: bool) {
        self.control_connected.set(connected);
    }

    /// Takes the deadline of keys from the control plane. Without this call keys are valid for ever.
    pub fn set_key_validity(&self, validity: KeyValidity) {
        self.key_validity.set(validity);
        self.log_key_validity();
    }

    /// Logs when keys expire and when they are valid again.
    pub(crate) fn log_key_validity(&self) {
        let expired = self.keys_expired();
        if self.key_validity.note_expired(expired) {
            info!(self.log, "configuration validity changed"; "expired" => expired);
        }
    }

    /// True if it is not known whether keys are still valid.
    pub(crate) fn keys_expired(&self) -> bool {
        let version = self.configuration.borrow().as_ref().map(|configuration| configuration.version);
        self.key_validity.has_expired(self.now(), version)
    }

    /// True if new connections should come to this node.
    pub fn is_ready(&self) -> bool {
        let configuration = self.configuration.borrow();
        let serves = configuration.as_ref().is_some_and(|one| !one.needs_key() || !self.keys_expired());
        self.lifecycle.phase() == Phase::Serving && self.control_connected.get() && serves
    }

    /// Moves on to a later phase of shutdown.
    pub fn set_phase(&self, phase: Phase) {
        self.lifecycle.set_phase(phase);
    }

    /// Ready once the process is in this phase or a later one. Cancellation safe.
    pub async fn phase_reached(&self, reached: Phase) {
        self.lifecycle.phase_reached(reached).await;
    }

    /// True while requests that come are begun.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.lifecycle.phase() < Phase::Closing
    }

    /// True if each response closes its connection.
    pub(crate) fn closes_connections(&self) -> bool {
        self.lifecycle.phase() != Phase::Serving
    }

    /// Requests of which at least one byte was read and the response is not yet written to its end.
    pub fn open_requests(&self) -> usize {
        self.lifecycle.open_requests()
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn track_request(&self) -> OpenRequestGuard {
        self.lifecycle.track_request()
    }

    /// Closes idle connections to a server that takes nothing new.
    pub fn close_idle_connections(&self, server: &str) {
        self.upstreams.close_idle(server);
    }

    /// Counts of the load reports that nodes send each other.
    pub fn load_report_counters(&self) -> &LoadReportCounters {
        &self.load_reports.counters
    }
}
