//! The state shared by the tasks of the data plane.
//!
//! Everything runs on one thread, so cells suffice. No `RefCell` is borrowed across an `await`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use gradepaddle_config::{Configuration, ServiceKind};
use gradepaddle_http::buffers::Pool;
use gradepaddle_placement::{Micros, Placer};
use gradepaddle_resources::{ClientLimiter, ResourcePlan};
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
    /// The division of the process's memory and descriptors.
    pub resources: ResourcePlan,
    /// The logger.
    pub log: Logger,
}

/// The state shared by connections, attempts and the inputs of the control plane.
pub struct DataPlane {
    /// Placement, fed by the control plane and by the results of attempts.
    pub placer: RefCell<Placer>,
    /// Counts since the start.
    pub counters: Counters,
    pub(crate) pool: Pool,
    pub(crate) upstreams: UpstreamPool,
    /// Limits the clients of the front.
    pub(crate) clients: ClientLimiter,
    /// Limits the callers of the readiness address.
    pub(crate) readiness_clients: ClientLimiter,
    max_idle_upstreams: usize,
    /// The number of nodes, this one included.
    node_count: Cell<usize>,
    pub(crate) log: Logger,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) key_validity: KeyValidityTracker,
    pub(crate) denied_requests: DeniedRequests,
    pub(crate) cache_stores: CacheStoreSubscriptions,
    pub(crate) load_reports: LoadReports,
    /// Notified when a model version is announced or its deadline is postponed.
    pub(crate) versions_changed: watch::Sender<()>,
    /// The origin of [`DataPlane::now`].
    pub(crate) started: Instant,
    configuration: RefCell<Option<Rc<Configuration>>>,
    /// The version of the configuration in force, 0 before the first.
    version_in_force: watch::Sender<u64>,
    /// The version of a configuration that is known to exist, and may not have arrived here yet.
    expected_version: Cell<Option<u64>>,
    /// See [`DataPlane::isolated_tenants_hash`].
    isolated_tenants_hash: Cell<u64>,
    control_connected: Cell<bool>,
}

/// The limit of a pool in which responses are forwarded in small parts from this many bytes on: three quarters of the limit.
fn pool_limit(response_bytes: usize) -> usize {
    response_bytes / 3 * 4
}

impl DataPlane {
    /// Creates a data plane without a configuration, which is not ready.
    pub fn new(setup: Setup) -> Rc<Self> {
        let resources = setup.resources;
        let pool = Pool::default();
        pool.set_limit(pool_limit(resources.response_bytes));
        Rc::new(DataPlane {
            placer: RefCell::new(setup.placer),
            counters: Counters::default(),
            pool,
            upstreams: UpstreamPool::new(IdleLimits::new(resources.idle_upstreams, 1, std::iter::empty())),
            clients: ClientLimiter::new(resources.front.clients),
            readiness_clients: ClientLimiter::new(resources.readiness.clients),
            max_idle_upstreams: resources.idle_upstreams,
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
            isolated_tenants_hash: Cell::new(0),
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

    /// The configuration in force. If there is none yet, waits for one, at most for `limit`. Cancellation safe.
    pub(crate) async fn wait_for_configuration(&self, limit: Duration) -> Option<Rc<Configuration>> {
        if self.configuration.borrow().is_none() {
            self.wait_for_version(1, limit).await;
        }
        self.configuration()
    }

    /// Waits until a configuration of this version or a newer one is in force, at most for `limit`. Cancellation safe.
    pub(crate) async fn wait_for_version(&self, version: u64, limit: Duration) {
        let mut in_force = self.version_in_force.subscribe();
        // After a time-out the caller finds an older configuration in force, or none.
        let _ = timeout(limit, in_force.wait_for(|in_force| *in_force >= version)).await;
    }

    /// Sets the version of a newer configuration that is known to exist and has not arrived here yet, if there is one.
    pub fn set_expected_configuration(&self, version: Option<u64>) {
        self.expected_version.set(version);
    }

    /// The version of a configuration that is known to exist and is newer than the one in force.
    pub(crate) fn newer_configuration_version(&self) -> Option<u64> {
        self.expected_version.get().filter(|expected| *expected > *self.version_in_force.borrow())
    }

    /// Replaces the configuration in force. `isolated_tenants_hash`: see [`DataPlane::isolated_tenants_hash`].
    pub(crate) fn replace_configuration(&self, configuration: Rc<Configuration>, isolated_tenants_hash: u64) {
        self.isolated_tenants_hash.set(isolated_tenants_hash);
        let version = configuration.version;
        *self.configuration.borrow_mut() = Some(configuration);
        self.version_in_force.send_replace(version);
    }

    /// Sets how many nodes there are, this one included.
    pub(crate) fn set_node_count(&self, nodes: usize) {
        self.node_count.set(nodes);
        self.update_idle_limits();
    }

    /// Recomputes this node's limits on idle connections to servers: its share of the connections that servers accept from
    /// all nodes, and of the file descriptors of the process.
    pub(crate) fn update_idle_limits(&self) {
        let configuration = self.configuration.borrow();
        let services = configuration.iter().flat_map(|configuration| &configuration.services);
        let max_connections = services.filter_map(|service| match &service.kind {
            ServiceKind::Servers { max_connections, .. } => *max_connections,
            ServiceKind::Store { .. } => None,
        });
        self.upstreams.set_limits(IdleLimits::new(
            self.max_idle_upstreams,
            self.node_count.get(),
            max_connections,
        ));
    }

    /// The hash of the set of isolated tenants. It is part of the cache salt of all other tenants, so that they reuse no
    /// prefix that was cached while one of the isolated tenants was not isolated yet.
    pub(crate) fn isolated_tenants_hash(&self) -> u64 {
        self.isolated_tenants_hash.get()
    }

    /// Sets whether this node is connected to the control plane.
    pub fn set_control_connected(&self, connected: bool) {
        self.control_connected.set(connected);
    }

    /// Sets until when the control plane vouches for the API keys. Without this call keys are valid for ever.
    pub fn set_key_validity(&self, validity: KeyValidity) {
        self.key_validity.set(validity);
        self.log_key_validity();
    }

    /// Logs once when keys expire and once when they are valid again.
    pub(crate) fn log_key_validity(&self) {
        let expired = self.keys_expired();
        if self.key_validity.note_expired(expired) {
            info!(self.log, "configuration validity changed"; "expired" => expired);
        }
    }

    /// True if it is unknown whether API keys are still valid.
    pub(crate) fn keys_expired(&self) -> bool {
        let version = self.configuration.borrow().as_ref().map(|configuration| configuration.version);
        self.key_validity.has_expired(self.now(), version)
    }

    /// True if new connections should be sent to this node.
    pub fn is_ready(&self) -> bool {
        let configuration = self.configuration.borrow();
        let can_serve = configuration
            .as_ref()
            .is_some_and(|configuration| !configuration.needs_key() || !self.keys_expired());
        self.lifecycle.phase() == Phase::Serving && self.control_connected.get() && can_serve
    }

    /// Moves on to a later phase of shutdown.
    pub fn set_phase(&self, phase: Phase) {
        self.lifecycle.set_phase(phase);
    }

    /// Waits until the process is in this phase or a later one. Cancellation safe.
    pub async fn phase_reached(&self, reached: Phase) {
        self.lifecycle.phase_reached(reached).await;
    }

    /// True while new requests are admitted.
    pub(crate) fn accepts_requests(&self) -> bool {
        self.lifecycle.phase() < Phase::Closing
    }

    /// True if connections are closed after their next response.
    pub(crate) fn closes_connections(&self) -> bool {
        self.lifecycle.phase() != Phase::Serving
    }

    /// The number of requests of which at least one byte was read and whose response has not been written completely.
    pub fn open_requests(&self) -> usize {
        self.lifecycle.open_requests()
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn track_request(&self) -> OpenRequestGuard {
        self.lifecycle.track_request()
    }

    /// Closes the idle connections to a server that accepts no new requests.
    pub fn close_idle_connections(&self, server: &str) {
        self.upstreams.close_idle(server);
    }

    /// The limiter of the front.
    pub fn clients(&self) -> &ClientLimiter {
        &self.clients
    }

    /// The limiter of the readiness address.
    pub fn readiness_clients(&self) -> &ClientLimiter {
        &self.readiness_clients
    }

    /// Counters of the load reports that nodes send each other.
    pub fn load_report_counters(&self) -> &LoadReportCounters {
        &self.load_reports.counters
    }
}
