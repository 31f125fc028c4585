//! Model servers: what they say, who watches whom, when silence means that one is lost. No I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_gossip::{Gossip, Item};
use gradepaddle_proto::{Decode, Encode, ModelVersion, Registration};
use serde::Deserialize;

use crate::Micros;
use crate::kinds::{self, Conclusion, SERVER, SERVER_GONE};

/// Heartbeats that may be missing before a server counts as lost.
const MISSED_MOST: u64 = 3;

/// Servers that have left and are remembered for a call that comes twice.
const LEAVES_MOST: usize = 4096;

/// The body of a server's call.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Heartbeat {
    /// Its service.
    pub backend: String,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Requests that it works on at once.
    #[serde(default)]
    pub slots: u32,
    /// `ready` or `draining`.
    pub state: String,
    /// Milliseconds for which it is still slow.
    #[serde(default)]
    pub warmup_left_ms: f64,
    /// Its weights.
    #[serde(default)]
    pub models: Vec<HeartbeatModel>,
    /// Rises with each call.
    #[serde(default)]
    pub call_count: u64,
}

/// Weights as a server tells them.
#[derive(Clone, Debug, Deserialize)]
pub struct HeartbeatModel {
    /// The model.
    pub name: String,
    /// The version of its weights.
    #[serde(default)]
    pub version: u64,
}

/// What a server's call leads to.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Nothing new: it is acknowledged.
    Acknowledge,
    /// Something new that the others learn in passing.
    Publish(Item),
    /// It leaves: others have to hold that before it is acknowledged.
    PublishConfirmed(Item),
}

struct Watched {
    heard: Micros,
    call_count: u64,
}

/// The servers whose heartbeats come to this node.
pub struct Registry {
    own: SocketAddrV4,
    beat_every: Micros,
    watched: BTreeMap<Arc<str>, Watched>,
    /// Servers whose draining others are known to hold.
    drains_held: BTreeSet<Arc<str>>,
    /// Servers whose leaving others are known to hold.
    leaves_held: BTreeSet<Arc<str>>,
}

impl Registry {
    /// No server has called yet.
    pub fn new(own: SocketAddrV4, beat_every: Micros) -> Self {
        Registry {
            own,
            beat_every,
            watched: BTreeMap::new(),
            drains_held: BTreeSet::new(),
            leaves_held: BTreeSet::new(),
        }
    }

    /// Takes in a heartbeat.
    pub fn beat(&mut self, now: Micros, id: &str, heartbeat: &Heartbeat, spread: &Gossip) -> Decision {
        if spread.stamp(SERVER, id).is_some_and(|stamp| stamp.major > heartbeat.call_count) {
            // A late call, or one of a server that has left.
            return Decision::Acknowledge;
        }
        let told = self.registration(id, heartbeat);
        self.watched.insert(told.id.clone(), Watched { heard: now, call_count: heartbeat.call_count });
        let stamp = kinds::server_stamp(heartbeat.call_count, Conclusion::Told);
        let item = kinds::item(SERVER, id, stamp, told.to_bytes());
        if told.draining && !self.drains_held.contains(id) {
            return Decision::PublishConfirmed(item);
        }
        let before = spread.get(SERVER, id).and_then(|item| Registration::from_bytes(&item.payload).ok());
        if before.as_ref().is_some_and(|before| same(before, &told)) {
            return Decision::Acknowledge;
        }
        Decision::Publish(item)
    }

    /// Others hold that this server drains.
    pub fn drain_held(&mut self, id: &str) {
        self.drains_held.insert(Arc::from(id));
    }

    fn registration(&self, id: &str, heartbeat: &Heartbeat) -> Registration {
        let weights = heartbeat.models.iter();
        Registration {
            id: Arc::from(id),
            service: Arc::from(&*heartbeat.backend),
            address: heartbeat.address,
            zone: Arc::from(&*heartbeat.zone),
            slots: heartbeat.slots,
            draining: heartbeat.state != "ready",
            lost: false,
            warmup_left_ms: heartbeat.warmup_left_ms.max(0.0) as u64,
            models: weights
                .map(|one| ModelVersion { model: Arc::from(&*one.name), version: one.version })
                .collect(),
            owner: self.own,
        }
    }

    /// Takes in that a server leaves.
    pub fn leave(&mut self, id: &str, spread: &Gossip) -> Decision {
        self.watched.remove(id);
        self.drains_held.remove(id);
        let told = spread.stamp(SERVER, id) == Some(SERVER_GONE);
        if told && self.leaves_held.contains(id) {
            return Decision::Acknowledge;
        }
        Decision::PublishConfirmed(kinds::removal(SERVER, id, SERVER_GONE))
    }

    /// Others hold that this server has left.
    pub fn leave_held(&mut self, id: &str) {
        if self.leaves_held.len() >= LEAVES_MOST {
            self.leaves_held.clear();
        }
        self.leaves_held.insert(Arc::from(id));
    }

    /// Watches a server that, by what all know, calls this node: it did so before this process started.
    pub fn adopt(&mut self, now: Micros, id: &Arc<str>, call_count: u64) {
        self.watched.entry(id.clone()).or_insert(Watched { heard: now, call_count });
    }

    /// Servers that have fallen silent, as items to publish.
    pub fn tick(&mut self, now: Micros, spread: &Gossip) -> Vec<Item> {
        let limit = MISSED_MOST * self.beat_every;
        let silent: Vec<(Arc<str>, u64)> = self
            .watched
            .iter()
            .filter(|(_, watched)| now.saturating_sub(watched.heard) > limit)
            .map(|(id, watched)| (id.clone(), watched.call_count))
            .collect();
        let mut lost = Vec::new();
        for (id, call_count) in silent {
            self.watched.remove(&id);
            let Some(item) = spread.get(SERVER, &id) else { continue };
            let Ok(registration) = Registration::from_bytes(&item.payload) else { continue };
            // Another node has heard of it since.
            if registration.owner != self.own || item.stamp.major > call_count {
                continue;
            }
            let stamp = kinds::server_stamp(call_count, Conclusion::Lost);
            let registration = Registration { lost: true, ..registration };
            lost.push(kinds::item(SERVER, &id, stamp, registration.to_bytes()));
        }
        lost
    }
}

/// True if two registrations say the same but for time that has passed.
fn same(before: &Registration, told: &Registration) -> bool {
    let warm = (before.warmup_left_ms == 0) == (told.warmup_left_ms == 0);
    let timeless = Registration { warmup_left_ms: before.warmup_left_ms, ..told.clone() };
    warm && *before == timeless
}
