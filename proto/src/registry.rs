//! A model server as the nodes tell each other of it.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields};

/// Weights that a server holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelVersion {
    /// The model.
    pub model: Arc<str>,
    /// The version of its weights.
    pub version: u64,
}

/// What a server said of itself at its last registration that told something new.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// Its id, new at each start.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it takes requests.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: Arc<str>,
    /// Requests that it works on at once.
    pub slots: u32,
    /// It leaves soon and takes nothing new.
    pub draining: bool,
    /// No heartbeat has come for a while.
    pub lost: bool,
    /// Milliseconds for which it is still slow.
    pub warmup_left_ms: u64,
    /// Its weights.
    pub models: Vec<ModelVersion>,
    /// The node that takes its heartbeats.
    pub owner: SocketAddrV4,
}

impl Encode for ModelVersion {
    fn encode(&self, to: &mut FieldWriter) {
        to.string(1, &self.model);
        to.uint64(2, self.version);
    }
}

impl Decode for ModelVersion {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ModelVersion { model: fields.string(1), version: fields.uint64(2) })
    }
}

impl Encode for Registration {
    fn encode(&self, to: &mut FieldWriter) {
        to.string(1, &self.id);
        to.string(2, &self.service);
        to.address(3, self.address);
        to.string(4, &self.zone);
        to.uint64(5, u64::from(self.slots));
        to.bool(6, self.draining);
        to.bool(7, self.lost);
        to.uint64(8, self.warmup_left_ms);
        to.repeated_messages(9, &self.models);
        to.address(10, self.owner);
    }
}

impl Decode for Registration {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        const NAME: &str = "registration";
        Ok(Registration {
            id: fields.string(1),
            service: fields.string(2),
            address: fields.address(NAME, 3)?,
            zone: fields.string(4),
            slots: fields.uint64(5) as u32,
            draining: fields.bool(6),
            lost: fields.bool(7),
            warmup_left_ms: fields.uint64(8),
            models: fields.repeated_messages(9)?,
            owner: fields.address(NAME, 10)?,
        })
    }
}
