//! The state of a node for operators: `GET /v1/status`.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use gradepaddle_control::Role;
use gradepaddle_proto::Registration;
use serde::Serialize;

use super::Node;
use crate::Micros;
use crate::api::Response;
use crate::item_kinds::{CONFIGURATION, CONFIGURATION_KEY};
use crate::session_table;

/// The state of a node, as `GET /v1/status` shows it to operators. Field names are part of the API.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct Status {
    node: String,
    zone: String,
    address: SocketAddrV4,
    epoch: u64,
    primary: Option<SocketAddrV4>,
    members: Vec<SocketAddrV4>,
    role: Option<&'static str>,
    leading: Option<u64>,
    sequence: Option<u64>,
    #[serde(rename = "diskWell")]
    disk_healthy: Option<bool>,
    configuration_version: u64,
    #[serde(rename = "weights")]
    announced_versions: BTreeMap<String, u64>,
    balancers: Vec<BalancerStatus>,
    servers: Vec<ServerStatus>,
    items: usize,
}

/// Another member of the fleet in [`Status`].
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct BalancerStatus {
    name: String,
    address: SocketAddrV4,
    zone: String,
    control: bool,
    #[serde(rename = "sessionWith")]
    granted_by: SocketAddrV4,
}

/// A model server in [`Status`].
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct ServerStatus {
    id: String,
    service: String,
    address: SocketAddrV4,
    zone: String,
    state: &'static str,
    #[serde(rename = "heartbeatsAt")]
    owner: SocketAddrV4,
}

/// The name of a role in the operators' status.
fn role_name(role: Role) -> &'static str {
    match role {
        Role::NonMember => "outside",
        Role::Witness => "witness",
        Role::Backup => "backup",
        Role::Candidate => "candidate",
        Role::Primary => "primary",
    }
}

impl Node {
    pub(super) fn status(&self, now: Micros) -> Response {
        let identity = self.session.identity();
        let view = self.view_summary();
        let replica = self.replica.as_ref().map(gradepaddle_control::Replica::status);
        let configuration = self.gossip.get(CONFIGURATION, CONFIGURATION_KEY);
        let status = Status {
            node: identity.name.to_string(),
            zone: identity.zone.to_string(),
            address: self.own,
            epoch: view.epoch,
            primary: view.primary,
            members: view.members.clone(),
            role: replica.as_ref().map(|replica| role_name(replica.role)),
            leading: self.replica.as_ref().and_then(|replica| replica.leading(now)),
            sequence: replica.as_ref().and_then(|replica| replica.sequence),
            disk_healthy: replica.as_ref().map(|replica| replica.disk_healthy),
            configuration_version: configuration.map_or(0, |item| item.stamp.major),
            announced_versions: self.servers.announced_versions.clone(),
            balancers: self.balancer_status(&view.members),
            servers: self.servers.registered.values().map(server_status).collect(),
            items: self.gossip.len(),
        };
        // Serializing these types can't fail.
        let body = serde_json::to_vec(&status).unwrap_or_default();
        Response { body: body.into(), ..Response::bare(200) }
    }

    fn balancer_status(&self, members: &[SocketAddrV4]) -> Vec<BalancerStatus> {
        let sessions = session_table::live_sessions(&self.gossip);
        let mut all: Vec<BalancerStatus> = sessions
            .map(|(_, session)| BalancerStatus {
                name: session.identity.name.to_string(),
                address: session.identity.address,
                zone: session.identity.zone.to_string(),
                control: members.contains(&session.identity.address),
                granted_by: session.granted_by,
            })
            .collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }
}

fn server_status(server: &Registration) -> ServerStatus {
    ServerStatus {
        id: server.id.to_string(),
        service: server.service.to_string(),
        address: server.address,
        zone: server.zone.to_string(),
        state: match (server.lost, server.draining) {
            (true, _) => "lost",
            (_, true) => "draining",
            _ => "ready",
        },
        owner: server.owner,
    }
}
