//! The state of a node for operators.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use gradepaddle_control::Role;
use gradepaddle_proto::Registration;
use serde::Serialize;

use super::Node;
use crate::Micros;
use crate::calls::Answer;
use crate::kinds::{CONFIGURATION, CONFIGURATION_KEY};
use crate::sessions;

/// The state of a node for operators.
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
    disk_well: Option<bool>,
    configuration_version: u64,
    weights: BTreeMap<String, u64>,
    balancers: Vec<BalancerStatus>,
    servers: Vec<ServerStatus>,
    items: usize,
}

/// A node of the fleet for operators.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct BalancerStatus {
    name: String,
    address: SocketAddrV4,
    zone: String,
    control: bool,
    session_with: SocketAddrV4,
}

/// A model server for operators.
#[derive(Debug, Serialize)]
#[serde(rename_all = "camelCase")]
struct ServerStatus {
    id: String,
    service: String,
    address: SocketAddrV4,
    zone: String,
    state: &'static str,
    heartbeats_at: SocketAddrV4,
}

/// The name of a role as operators see it.
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
    pub(super) fn status(&self, now: Micros) -> Answer {
        let identity = self.session.identity();
        let view = self.view_summary();
        let replica = self.replica.as_ref().map(|replica| replica.status());
        let configuration = self.spread.get(CONFIGURATION, CONFIGURATION_KEY);
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
            disk_well: replica.as_ref().map(|replica| replica.disk_healthy),
            configuration_version: configuration.map_or(0, |item| item.stamp.major),
            weights: self.named.clone(),
            balancers: self.balancer_status(&view.members),
            servers: self.servers.values().map(server_status).collect(),
            items: self.spread.len(),
        };
        // These types always become JSON.
        let body = serde_json::to_vec(&status).unwrap_or_default();
        Answer { status: 200, body: body.into(), valid_until: None }
    }

    fn balancer_status(&self, members: &[std::net::SocketAddrV4]) -> Vec<BalancerStatus> {
        let sessions = sessions::live(&self.spread);
        let mut all: Vec<BalancerStatus> = sessions
            .map(|(_, session)| BalancerStatus {
                name: session.identity.name.to_string(),
                address: session.identity.address,
                zone: session.identity.zone.to_string(),
                control: members.contains(&session.identity.address),
                session_with: session.holder,
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
        heartbeats_at: server.owner,
    }
}
