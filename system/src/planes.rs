//! Builds the data plane and the control plane of a node from its settings.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gradepaddle_config::Settings;
use gradepaddle_controlplane::bootstrap::Bootstrap;
use gradepaddle_controlplane::node::{Node, NodeSetup};
use gradepaddle_controlplane::session_client::SessionClient;
use gradepaddle_controlplane::version_announcement::VersionDeadlines;
use gradepaddle_controlplane::{CLOCK_START, Micros};
use gradepaddle_dataplane::{DataPlane, Setup};
use gradepaddle_gossip::{Gossip, GossipConfig};
use gradepaddle_placement::{PlacementConfig, Placer};
use gradepaddle_proto::Identity;
use gradepaddle_resources::ResourcePlan;
use slog::Logger;

use crate::listeners::{peer_address, seed_addresses};
use crate::random::random;

/// Keys that may have been revoked are rejected this long before the bound for revocations (`revokeMs`).
const REVOKE_MARGIN: Duration = Duration::from_millis(250);

fn micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}

/// Builds the data plane.
pub fn data_plane(settings: &Settings, resources: ResourcePlan, log: &Logger) -> Rc<DataPlane> {
    let bounds = &settings.bounds;
    let config = PlacementConfig::builder()
        .own_zone(&*settings.zone)
        .seed(random())
        .retry_ratio(bounds.retry_ratio)
        .retry_slack(bounds.retry_slack)
        .retry_window(micros(bounds.retry_window))
        .build();
    DataPlane::new(Setup {
        placer: Placer::new(config),
        zone: Arc::from(&*settings.zone),
        resources,
        log: log.clone(),
    })
}

/// Builds the control plane. Its incarnation is the wall-clock time, in microseconds since the Unix epoch; if an earlier
/// process at this address had a higher one, the session raises it.
pub fn control_plane(settings: &Settings) -> Node {
    let own_address = peer_address(settings);
    let seeds = seed_addresses(settings);
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let identity = Identity {
        address: own_address,
        incarnation: since_epoch.as_micros() as u64,
        name: Arc::from(&*settings.node_name),
        zone: Arc::from(&*settings.zone),
        replica: None,
        first_boot: settings.first_boot,
    };
    let losses = settings.fault_tolerance.machine_losses as usize;
    Node::new(NodeSetup {
        session: SessionClient::new(identity, seeds.clone(), CLOCK_START),
        gossip: Gossip::new(GossipConfig::builder().address(own_address).seed(random()).build(), CLOCK_START),
        bootstrap: Bootstrap::new(own_address, &seeds, losses, settings.first_boot, CLOCK_START),
        heartbeat_interval: micros(settings.heartbeat_interval),
        order_lease: micros(settings.bounds.lease),
        version_deadlines: VersionDeadlines {
            from_publication: micros(settings.bounds.version),
            from_announcement: Some(micros(settings.bounds.version_all)).filter(|bound| *bound > 0),
        },
        revoke_within: settings
            .bounds
            .revoke_everywhere
            .then(|| micros(settings.bounds.revoke.saturating_sub(REVOKE_MARGIN))),
        machine_losses: losses,
        control_port: settings.listen.control.map_or(0, |address| address.port()),
        now: CLOCK_START,
    })
}
