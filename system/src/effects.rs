//! Applies the outputs of the control plane to the data plane, the disk and the log.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use gradepaddle_config::Configuration;
use gradepaddle_control::{Record, WriteId};
use gradepaddle_controlplane::clock::Clock;
use gradepaddle_controlplane::driver::Effects;
use gradepaddle_controlplane::node::{ConfigurationValidity, Event, MemberNode};
use gradepaddle_controlplane::order::OrderOutcome;

use gradepaddle_dataplane::load_reports::recipients::Peer;
use gradepaddle_dataplane::{DataPlane, KeyValidity};
use gradepaddle_gossip::{FetchEvent, FetchStep};
use gradepaddle_placement::{Micros, ServerEntry, ServerState};
use gradepaddle_store::Writer;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

/// Microseconds in a millisecond.
const MILLISECOND: Micros = 1_000;

fn millis(duration: Micros) -> u64 {
    duration / MILLISECOND
}

fn outcome_name(outcome: OrderOutcome) -> &'static str {
    match outcome {
        OrderOutcome::InProgress => "in_progress",
        OrderOutcome::Loaded => "loaded",
        OrderOutcome::Superseded => "superseded",
        OrderOutcome::Failed => "failed",
    }
}

/// The parts of this node that the control plane acts on.
pub struct NodeEffects {
    /// The data plane.
    pub plane: Rc<DataPlane>,
    /// The disk, where this node has a replica.
    pub writer: RefCell<Option<Writer>>,
    /// The clock of the control plane.
    pub clock: Clock,
    /// Notified when the control state has been handed over.
    pub ready_to_exit: Rc<Notify>,
    /// The log.
    pub log: Logger,
}

impl NodeEffects {
    fn log_fetch(&self, FetchEvent { entry, peer, step }: &FetchEvent) {
        let version = entry.stamp.major;
        match step {
            FetchStep::Started => {
                info!(self.log, "configuration fetch started"; "version" => version, "peer" => %peer);
            }
            FetchStep::Retried { received } => {
                info!(self.log, "configuration fetch retried";
                    "version" => version, "peer" => %peer, "received_bytes" => received);
            }
            FetchStep::Abandoned => {
                info!(self.log, "configuration fetch abandoned"; "version" => version, "peer" => %peer);
            }
            FetchStep::Completed { elapsed, attempts } => {
                info!(self.log, "configuration fetched"; "version" => version, "peer" => %peer,
                    "elapsed_ms" => millis(*elapsed), "attempts" => attempts);
            }
        }
    }
}

impl Effects for NodeEffects {
    fn apply_configuration(&self, body: Arc<[u8]>) {
        let started = self.plane.now();
        match Configuration::parse(&body) {
            Ok(configuration) => {
                let version = configuration.version;
                self.plane.set_configuration(configuration);
                let elapsed = self.plane.now().saturating_sub(started);
                info!(self.log, "configuration processed";
                    "version" => version, "bytes" => body.len(), "elapsed_ms" => millis(elapsed));
            }
            // The primary has validated it, but may run a newer build that accepts more than this one.
            Err(findings) => {
                warn!(self.log, "configuration rejected"; "findings" => findings.to_string());
            }
        }
    }

    fn configuration_expected(&self, version: Option<u64>) {
        self.plane.set_expected_configuration(version);
    }

    fn server_changed(&self, entry: ServerEntry) {
        if !matches!(entry.state, ServerState::Ready) {
            self.plane.close_idle_connections(&entry.id);
        }
        let now = self.plane.now();
        self.plane.placer.borrow_mut().update_server(now, entry);
    }

    fn server_removed(&self, id: &str) {
        self.plane.close_idle_connections(id);
        let now = self.plane.now();
        self.plane.placer.borrow_mut().remove_server(now, id);
    }

    fn peers_changed(&self, peers: Vec<MemberNode>) {
        let balancers = peers.len() + 1;
        self.plane.placer.borrow_mut().set_balancer_count(balancers);
        let peers = peers.into_iter().map(|node| Peer { address: node.address, zone: node.zone });
        self.plane.set_peers(&peers.collect::<Vec<_>>());
        info!(self.log, "membership changed"; "members" => balancers);
    }

    fn rank_changed(&self, rank: usize) {
        self.plane.set_subscriber_rank(rank);
    }

    fn cache_store_changed(&self, name: &str, alive: bool) {
        self.plane.set_reported_store_health(name, alive);
    }

    fn version_announced(&self, model: &str, version: u64, deadline_in: Micros) {
        self.plane.announce_version(model, version, deadline_in);
    }

    fn version_deadline_extended(&self, model: &str, version: u64, deadline_in: Micros) {
        self.plane.postpone_version(model, version, deadline_in);
    }

    fn pause_server(&self, server: &str, span: Micros) {
        let now = self.plane.now();
        self.plane.placer.borrow_mut().pause_server(now, server, span);
    }

    fn server_has_version(&self, server: &str, model: &str, version: u64) {
        let now = self.plane.now();
        self.plane.placer.borrow_mut().observe_version(now, server, model, version);
    }

    fn connected(&self, connected: bool) {
        if connected {
            self.plane.set_control_connected(true);
        }
        info!(self.log, "control session changed"; "connected" => connected);
    }

    fn configuration_validity(&self, validity: ConfigurationValidity) {
        // The data plane's clock is read first: if the process is suspended between the two reads, the validity gets
        // shorter.
        let now = self.plane.now();
        let remaining = validity.until.saturating_sub(self.clock.now());
        // 0 means that there is no evidence yet, and requests wait for it; any other value may have expired already.
        let until = if validity.until == 0 { 0 } else { now + remaining };
        self.plane.set_key_validity(KeyValidity { version: validity.version, valid_until: until });
    }

    fn event(&self, event: Event) {
        match event {
            Event::BecamePrimary { epoch } => info!(self.log, "became primary"; "epoch" => epoch),
            Event::SteppedDown => info!(self.log, "stepped down"),
            Event::Bootstrapped { members } => info!(self.log, "bootstrap view sent"; "members" => members),
            Event::ServerTimedOut { id } => info!(self.log, "server heartbeat timed out"; "server" => &*id),
            Event::VersionAnnounced { model, version, deadline_in } => {
                info!(self.log, "model version announced";
                    "model" => &*model, "version" => version, "deadline_ms" => millis(deadline_in));
            }
            Event::ServerReserved { server, reservation } => {
                info!(self.log, "server reserved for rollout";
                    "server" => &*server, "model" => &*reservation.model, "version" => reservation.version);
            }
            Event::ServerReleased { server, reservation } => {
                info!(self.log, "server released after rollout"; "server" => &*server,
                    "model" => &*reservation.model, "version" => reservation.version, "loaded" => reservation.loaded);
            }
            Event::OrderCompleted { order, outcome } => {
                info!(self.log, "server order answered"; "server" => &*order.server, "model" => &*order.model,
                    "version" => order.version, "fencing_token" => order.fencing_token, "result" => outcome_name(outcome));
            }
            Event::ConfigurationFetch(event) => self.log_fetch(&event),
            Event::MessagesDropped { peer, count, total } => {
                warn!(self.log, "received messages dropped"; "peer" => %peer, "count" => count, "total" => total);
            }
        }
    }

    fn persist(&self, write_id: WriteId, records: Vec<Record>) {
        if let Some(writer) = &*self.writer.borrow() {
            writer.write(write_id, records);
        }
    }

    fn ready_to_exit(&self) {
        self.ready_to_exit.notify_one();
    }
}
