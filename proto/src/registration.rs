//! Registrations of model servers, which the node that receives the heartbeats gossips to the others.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields};

/// A version of a model's weights that a server has loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelVersion {
    /// The name of the model.
    pub model: Arc<str>,
    /// The version of the weights.
    pub version: u64,
}

/// The state that a server reported at the last heartbeat that changed it. The fields are those of `PROTOCOL.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registration {
    /// The id of the server, a new one at each start.
    pub id: Arc<str>,
    /// The name of its service.
    pub service: Arc<str>,
    /// The address at which it accepts requests.
    pub address: SocketAddrV4,
    /// The name of its zone.
    pub zone: Arc<str>,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining: it accepts no new requests and shuts down soon.
    pub draining: bool,
    /// Whether its heartbeats have timed out at its owner.
    pub lost: bool,
    /// The remaining time of its slow start, in milliseconds; 0 for a warm server.
    pub warmup_left_ms: u64,
    /// The model versions that it has loaded.
    pub models: Vec<ModelVersion>,
    /// The address of the node that receives its heartbeats.
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
