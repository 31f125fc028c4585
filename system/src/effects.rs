//! What the control plane does to the data plane, the disk and the log.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use gradepaddle_config::Configuration;
use gradepaddle_control::{Record, WriteId};
use gradepaddle_controlplane::clock::Clock;
use gradepaddle_controlplane::driver::Effects;
use gradepaddle_controlplane::node::{Event, KeysShown, MemberNode};
use gradepaddle_controlplane::rollout::OrderAnswer;
use gradepaddle_dataplane::load_reports::recipients::Peer;
use gradepaddle_dataplane::{DataPlane, KeyValidity};
use gradepaddle_placement::{Micros, ServerEntry, ServerState};
use gradepaddle_store::Writer;
use slog::{Logger, info, warn};
use tokio::sync::Notify;

/// Microseconds in a millisecond.
const MILLISECOND: Micros = 1_000;

fn millis(span: Micros) -> u64 {
    span / MILLISECOND
}

fn answer_name(answer: OrderAnswer) -> &'static str {
    match answer {
        OrderAnswer::InProgress => "in_progress",
        OrderAnswer::Holds => "holds",
        OrderAnswer::NotTaken => "not_taken",
    }
}

/// The node's own side of its control plane.
pub struct NodeEffects {
    /// The data plane.
    pub plane: Rc<DataPlane>,
    /// The disk, where this node keeps control state.
    pub writer: RefCell<Option<Writer>>,
    /// The clock of the control plane.
    pub clock: Clock,
    /// Told when the control state is in other hands.
    pub may_end: Rc<Notify>,
    /// Where to log.
    pub log: Logger,
}

impl Effects for NodeEffects {
    fn configure(&self, body: Arc<[u8]>) {
        match Configuration::parse(&body) {
            Ok(configuration) => self.plane.set_configuration(configuration),
            // It was checked before it was taken: another build may know more than this one.
            Err(findings) => {
                warn!(self.log, "configuration not understood"; "findings" => findings.to_string())
            }
        }
    }

    fn server(&self, entry: ServerEntry) {
        if !matches!(entry.state, ServerState::Ready) {
            self.plane.close_idle_connections(&entry.id);
        }
        let now = self.plane.now();
        self.plane.placer.borrow_mut().update_server(now, entry);
    }

    fn server_gone(&self, id: &str) {
        self.plane.close_idle_connections(id);
        let now = self.plane.now();
        self.plane.placer.borrow_mut().remove_server(now, id);
    }

    fn peers(&self, peers: Vec<MemberNode>) {
        let balancers = peers.len() + 1;
        self.plane.placer.borrow_mut().set_balancer_count(balancers);
        let peers = peers.into_iter().map(|node| Peer { address: node.address, zone: node.zone });
        self.plane.set_peers(&peers.collect::<Vec<_>>());
        info!(self.log, "members"; "count" => balancers);
    }

    fn rank(&self, rank: usize) {
        self.plane.set_listener_rank(rank);
    }

    fn store(&self, name: &str, alive: bool) {
        self.plane.set_reported_store_health(name, alive);
    }

    fn weights_named(&self, model: &str, version: u64, binds_in: Micros) {
        self.plane.announce_version(model, version, binds_in);
    }

    fn weights_postponed(&self, model: &str, version: u64, binds_in: Micros) {
        self.plane.postpone_version(model, version, binds_in);
    }

    fn hold(&self, server: &str, span: Micros) {
        let now = self.plane.now();
        self.plane.placer.borrow_mut().pause_server(now, server, span);
    }

    fn holds(&self, server: &str, model: &str, version: u64) {
        let now = self.plane.now();
        self.plane.placer.borrow_mut().observe_version(now, server, model, version);
    }

    fn in_touch(&self, in_touch: bool) {
        if in_touch {
            self.plane.set_control_connected(true);
        }
        info!(self.log, "control"; "in_touch" => in_touch);
    }

    fn keys(&self, shown: KeysShown) {
        // In this order, so that a pause between the two shortens the span.
        let now = self.plane.now();
        let span = shown.until.saturating_sub(self.clock.now());
        // 0 stands for no evidence at all, for which requests wait; what is over already is over.
        let until = if shown.until == 0 { 0 } else { now + span };
        self.plane.set_key_validity(KeyValidity { version: shown.version, valid_until: until });
    }

    fn event(&self, event: Event) {
        match event {
            Event::Leading { epoch } => info!(self.log, "leading"; "epoch" => epoch),
            Event::NotLeading => info!(self.log, "not leading"),
            Event::Founded { members } => info!(self.log, "first view told"; "members" => members),
            Event::ServerLost { id } => info!(self.log, "server lost"; "server" => &*id),
            Event::VersionNamed { model, version, binds_in } => {
                info!(self.log, "version named";
                    "model" => &*model, "version" => version, "binds_in_ms" => millis(binds_in));
            }
            Event::LoadingBegun { server, target } => {
                info!(self.log, "server held back";
                    "server" => &*server, "model" => &*target.model, "version" => target.version);
            }
            Event::LoadingEnded { server, target } => {
                info!(self.log, "server open again"; "server" => &*server,
                    "model" => &*target.model, "version" => target.version, "loaded" => target.done);
            }
            Event::OrderAnswered { order, answer } => {
                info!(self.log, "order answered"; "server" => &*order.server, "model" => &*order.model,
                    "version" => order.version, "fence" => order.fence, "answer" => answer_name(answer));
            }
        }
    }

    fn persist(&self, token: WriteId, records: Vec<Record>) {
        if let Some(writer) = &*self.writer.borrow() {
            writer.write(token, records);
        }
    }

    fn may_end(&self) {
        self.may_end.notify_one();
    }
}
