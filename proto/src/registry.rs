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
        to.text(1, &self.model);
        to.number(2, self.version);
    }
}

impl Decode for ModelVersion {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ModelVersion { model: fields.text(1), version: fields.number(2) })
    }
}

impl Encode for Registration {
    fn encode(&self, to: &mut FieldWriter) {
        to.text(1, &self.id);
        to.text(2, &self.service);
        to.address(3, self.address);
        to.text(4, &self.zone);
        to.number(5, u64::from(self.slots));
        to.truth(6, self.draining);
        to.truth(7, self.lost);
        to.number(8, self.warmup_left_ms);
        to.messages(9, &self.models);
        to.address(10, self.owner);
    }
}

impl Decode for Registration {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        const NAME: &str = "registration";
        Ok(Registration {
            id: fields.text(1),
            service: fields.text(2),
            address: fields.address(NAME, 3)?,
            zone: fields.text(4),
            slots: fields.number(5) as u32,
            draining: fields.truth(6),
            lost: fields.truth(7),
            warmup_left_ms: fields.number(8),
            models: fields.messages(9)?,
            owner: fields.address(NAME, 10)?,
        })
    }
}
