//! Helpers of several test files: addresses, nodes, servers, gossip without peers.

#![allow(dead_code, reason = "each test file uses its part")]

use std::net::{Ipv4Addr, SocketAddrV4};
use std::sync::Arc;

use gradepaddle_controlplane::Micros;
use gradepaddle_controlplane::registry::Heartbeat;
use gradepaddle_gossip::{Gossip, GossipConfig, Item};
use gradepaddle_proto::{
    Identity, ModelVersion, Registration, SessionHeartbeat, SessionHeartbeatReply, ViewSummary,
};

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SECOND: Micros = 1_000_000;

/// The address of the node with this number.
pub fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 9, 0, number), 7700)
}

/// Several addresses.
pub fn addresses(numbers: impl IntoIterator<Item = u8>) -> Vec<SocketAddrV4> {
    numbers.into_iter().map(address).collect()
}

/// A node without a replica.
pub fn identity(number: u8, incarnation: u64) -> Identity {
    Identity {
        address: address(number),
        incarnation,
        name: Arc::from(format!("node-{number}")),
        zone: Arc::from("west"),
        replica: None,
        first_boot: false,
    }
}

/// A core machine at the first start of the fleet.
pub fn core_identity(number: u8, zone: &str) -> Identity {
    Identity {
        replica: Some(u64::from(number) + 500),
        first_boot: true,
        zone: Arc::from(zone),
        ..identity(number, 1)
    }
}

/// A heartbeat of a node's session.
pub fn session_heartbeat(number: u8, incarnation: u64) -> SessionHeartbeat {
    SessionHeartbeat { identity: identity(number, incarnation), view_epoch: 0 }
}

/// A view as it is sent to other nodes; the first member is the primary.
pub fn view(epoch: u64, members: impl IntoIterator<Item = u8>) -> ViewSummary {
    let members = addresses(members);
    ViewSummary { epoch, primary: members.first().copied(), members }
}

/// A reply that grants a session.
pub fn grant(incarnation: u64, view: Option<ViewSummary>) -> SessionHeartbeatReply {
    SessionHeartbeatReply { incarnation, granted: true, seen_incarnation: 0, view }
}

/// A gossip state machine that knows no other node.
pub fn lone_gossip(number: u8) -> Gossip {
    Gossip::new(GossipConfig::builder().address(address(number)).seed(u64::from(number)).build(), 0)
}

/// Publishes an item. Returns true if it was newer than the known one.
pub fn publish(gossip: &mut Gossip, item: Item) -> bool {
    gossip.publish(0, item, &mut Vec::new())
}

/// A heartbeat of a server with one model.
pub fn heartbeat(state: &str, call_count: u64) -> Heartbeat {
    let body = serde_json::json!({
        "backend": "advice", "address": "10.9.9.1:8000", "zone": "west", "version": "r3", "slots": 16,
        "state": state, "warmupLeftMs": 0, "callCount": call_count,
        "models": [{"name": "advisor", "version": 1, "adapters": []}],
    });
    serde_json::from_value(body).expect("a heartbeat")
}

/// The registration of a server that is ready.
pub fn registration(id: &str, owner: u8, version: u64) -> Registration {
    Registration {
        id: Arc::from(id),
        service: Arc::from("advice"),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 9, 9, 1), 8000),
        zone: Arc::from("west"),
        slots: 16,
        draining: false,
        lost: false,
        warmup_left_ms: 0,
        models: vec![ModelVersion { model: Arc::from("advisor"), version }],
        owner: address(owner),
    }
}
