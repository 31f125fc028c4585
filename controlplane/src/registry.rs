//! The model servers that send their heartbeats to this node: registration, draining, leaving, loss. No I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_gossip::{Gossip, Item};
use gradepaddle_proto::{Decode, Encode, ModelVersion, Registration};
use serde::Deserialize;

use crate::Micros;
use crate::item_kinds::{self, SERVER, SERVER_REMOVED, ServerObservation};

/// Number of missed heartbeats after which a server counts as lost.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// Maximum number of servers that have left and are remembered, so that a repeated leave call is acknowledged at once.
const MAX_REMEMBERED_LEAVES: usize = 4096;

/// The body of a server's heartbeat (`PUT /v1/servers/{id}`).
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Heartbeat {
    /// The service that it belongs to.
    pub backend: String,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// The number of requests that it processes concurrently.
    #[serde(default)]
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: String,
    /// Milliseconds of slow start that are left.
    #[serde(default)]
    pub warmup_left_ms: f64,
    /// Its loaded models.
    #[serde(default)]
    pub models: Vec<HeartbeatModel>,
    /// A counter that the server raises with each call.
    #[serde(default)]
    pub call_count: u64,
}

/// A loaded model in a [`Heartbeat`].
#[derive(Clone, Debug, Deserialize)]
pub struct HeartbeatModel {
    /// The model's name.
    pub name: String,
    /// The loaded version.
    #[serde(default)]
    pub version: u64,
}

/// What the node has to do before it acknowledges a server's call.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Nothing: the call changes nothing.
    Acknowledge,
    /// Publish the item. The acknowledgment doesn't wait for other nodes.
    Publish(Item),
    /// Publish the item and wait until other nodes have acknowledged it: the server relies on it when
    /// it ends.
    PublishAcknowledged(Item),
}

struct WatchedServer {
    last_heartbeat: Micros,
    call_count: u64,
}

/// The servers that send their heartbeats to this node.
pub struct Registry {
    own: SocketAddrV4,
    heartbeat_interval: Micros,
    watched: BTreeMap<Arc<str>, WatchedServer>,
    /// Servers whose draining other nodes have acknowledged.
    acknowledged_drains: BTreeSet<Arc<str>>,
    /// Servers whose leaving other nodes have acknowledged.
    acknowledged_leaves: BTreeSet<Arc<str>>,
}

impl Registry {
    /// An empty registry. `heartbeat_interval` is the interval between heartbeats of a server, in microseconds.
    pub fn new(own: SocketAddrV4, heartbeat_interval: Micros) -> Self {
        Registry {
            own,
            heartbeat_interval,
            watched: BTreeMap::new(),
            acknowledged_drains: BTreeSet::new(),
            acknowledged_leaves: BTreeSet::new(),
        }
    }

    /// Handles a heartbeat.
    pub fn heartbeat(&mut self, now: Micros, id: &str, heartbeat: &Heartbeat, gossip: &Gossip) -> Decision {
        if gossip.stamp(SERVER, id).is_some_and(|stamp| stamp.major > heartbeat.call_count) {
            // The call was overtaken by a later one, or the server has left.
            return Decision::Acknowledge;
        }
        let registration = self.registration(id, heartbeat);
        let watched = WatchedServer { last_heartbeat: now, call_count: heartbeat.call_count };
        self.watched.insert(registration.id.clone(), watched);
        let stamp = item_kinds::server_stamp(heartbeat.call_count, ServerObservation::Reported);
        let item = item_kinds::item(SERVER, id, stamp, registration.to_bytes());
        if registration.draining && !self.acknowledged_drains.contains(id) {
            return Decision::PublishAcknowledged(item);
        }
        let known = gossip.get(SERVER, id).and_then(|item| Registration::from_bytes(&item.payload).ok());
        if known.as_ref().is_some_and(|known| is_unchanged(known, &registration)) {
            return Decision::Acknowledge;
        }
        Decision::Publish(item)
    }

    /// Records that other nodes have acknowledged the draining of a server.
    pub fn drain_acknowledged(&mut self, id: &str) {
        self.acknowledged_drains.insert(Arc::from(id));
    }

    fn registration(&self, id: &str, heartbeat: &Heartbeat) -> Registration {
        let models = heartbeat.models.iter();
        Registration {
            id: Arc::from(id),
            service: Arc::from(&*heartbeat.backend),
            address: heartbeat.address,
            zone: Arc::from(&*heartbeat.zone),
            slots: heartbeat.slots,
            draining: heartbeat.state != "ready",
            lost: false,
            warmup_left_ms: heartbeat.warmup_left_ms.max(0.0) as u64,
            models: models
                .map(|model| ModelVersion { model: Arc::from(&*model.name), version: model.version })
                .collect(),
            owner: self.own,
        }
    }

    /// Handles the call by which a server leaves.
    pub fn leave(&mut self, id: &str, gossip: &Gossip) -> Decision {
        self.watched.remove(id);
        self.acknowledged_drains.remove(id);
        let published = gossip.stamp(SERVER, id) == Some(SERVER_REMOVED);
        if published && self.acknowledged_leaves.contains(id) {
            return Decision::Acknowledge;
        }
        Decision::PublishAcknowledged(item_kinds::tombstone(SERVER, id, SERVER_REMOVED))
    }

    /// Records that other nodes have acknowledged that a server has left.
    pub fn leave_acknowledged(&mut self, id: &str) {
        if self.acknowledged_leaves.len() >= MAX_REMEMBERED_LEAVES {
            self.acknowledged_leaves.clear();
        }
        self.acknowledged_leaves.insert(Arc::from(id));
    }

    /// Starts the heartbeat timeout of a server that called an earlier process of this node.
    pub fn adopt(&mut self, now: Micros, id: &Arc<str>, call_count: u64) {
        let adopted = WatchedServer { last_heartbeat: now, call_count };
        self.watched.entry(id.clone()).or_insert(adopted);
    }

    /// Returns the items to publish for servers whose heartbeats have timed out.
    pub fn tick(&mut self, now: Micros, gossip: &Gossip) -> Vec<Item> {
        let timeout = MAX_MISSED_HEARTBEATS * self.heartbeat_interval;
        let timed_out: Vec<(Arc<str>, u64)> = self
            .watched
            .iter()
            .filter(|(_, server)| now.saturating_sub(server.last_heartbeat) > timeout)
            .map(|(id, server)| (id.clone(), server.call_count))
            .collect();
        let mut lost = Vec::new();
        for (id, call_count) in timed_out {
            self.watched.remove(&id);
            let Some(item) = gossip.get(SERVER, &id) else { continue };
            let Ok(registration) = Registration::from_bytes(&item.payload) else { continue };
            // The server has called another node in the meantime.
            if registration.owner != self.own || item.stamp.major > call_count {
                continue;
            }
            let stamp = item_kinds::server_stamp(call_count, ServerObservation::Lost);
            let registration = Registration { lost: true, ..registration };
            lost.push(item_kinds::item(SERVER, &id, stamp, registration.to_bytes()));
        }
        lost
    }
}

/// True if two registrations differ at most in how much of the slow start is left.
fn is_unchanged(known: &Registration, reported: &Registration) -> bool {
    let same_warmup_state = (known.warmup_left_ms == 0) == (reported.warmup_left_ms == 0);
    let with_known_warmup = Registration { warmup_left_ms: known.warmup_left_ms, ..reported.clone() };
    same_warmup_state && *known == with_known_warmup
}
