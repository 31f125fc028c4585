//! API calls that a node forwards to the primary.

use std::sync::Arc;

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields, UnknownVariantSnafu};

/// An API call that only the primary may process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Replaces the configuration. The forwarding node has checked that the body itself is valid.
    PutConfiguration {
        /// The version of the configuration that it replaces, 0 for the first.
        if_match: u64,
        /// The version of the new configuration.
        version: u64,
        /// The body as the operator sent it (JSON).
        body: Arc<[u8]>,
    },
    /// Patches the configuration. The forwarding node has checked that the patch is well-formed.
    PatchConfiguration {
        /// The version of the configuration that it replaces, 0 for the first.
        if_match: u64,
        /// The version of the resulting configuration.
        version: u64,
        /// The patch as the operator sent it (JSON).
        patch: Arc<[u8]>,
    },
    /// Reads the newest configuration under the primary's lease.
    GetConfiguration,
    /// Announces a version of a model's weights.
    NameVersion {
        /// The name of the model.
        model: Arc<str>,
        /// The announced version.
        version: u64,
    },
}

/// A call that is forwarded to the primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedCall {
    /// Identifies the call at the forwarding node.
    pub call_id: u64,
    /// The call itself.
    pub call: ControlCall,
    /// The version of the configuration that the forwarding node has, 0 if it has none. If that is the newest one, a read
    /// of the configuration is answered with status 304 and no body.
    pub known_version: u64,
}

/// The primary's answer to a [`ForwardedCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedReply {
    /// The id of the call that this answers.
    pub call_id: u64,
    /// The HTTP status.
    pub status: u16,
    /// The HTTP body.
    pub body: Arc<[u8]>,
    /// The remaining time of the lease under which the call was processed, in microseconds; 0 if there was none. The
    /// forwarding node counts it from the time at which it forwarded the call: clocks of two nodes are never compared.
    pub lease_remaining: u64,
}

/// Variant numbers of [`ControlCall`].
const PUT_CONFIGURATION: u64 = 1;
const GET_CONFIGURATION: u64 = 2;
const NAME_VERSION: u64 = 3;
const PATCH_CONFIGURATION: u64 = 4;

impl Encode for ControlCall {
    fn encode(&self, to: &mut FieldWriter) {
        match self {
            ControlCall::PutConfiguration { if_match, version, body } => {
                to.uint64(1, PUT_CONFIGURATION);
                to.uint64(2, *if_match);
                to.uint64(3, *version);
                to.bytes(4, body);
            }
            ControlCall::PatchConfiguration { if_match, version, patch } => {
                to.uint64(1, PATCH_CONFIGURATION);
                to.uint64(2, *if_match);
                to.uint64(3, *version);
                to.bytes(4, patch);
            }
            ControlCall::GetConfiguration => to.uint64(1, GET_CONFIGURATION),
            ControlCall::NameVersion { model, version } => {
                to.uint64(1, NAME_VERSION);
                to.uint64(3, *version);
                to.string(5, model);
            }
        }
    }
}

impl Decode for ControlCall {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(match fields.uint64(1) {
            PUT_CONFIGURATION => ControlCall::PutConfiguration {
                if_match: fields.uint64(2),
                version: fields.uint64(3),
                body: Arc::from(fields.bytes(4)),
            },
            PATCH_CONFIGURATION => ControlCall::PatchConfiguration {
                if_match: fields.uint64(2),
                version: fields.uint64(3),
                patch: Arc::from(fields.bytes(4)),
            },
            GET_CONFIGURATION => ControlCall::GetConfiguration,
            NAME_VERSION => ControlCall::NameVersion { model: fields.string(5), version: fields.uint64(3) },
            variant => return UnknownVariantSnafu { message: "control call", variant }.fail(),
        })
    }
}

impl Encode for ForwardedCall {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.call_id);
        to.message(2, &self.call);
        to.uint64(3, self.known_version);
    }
}

impl Decode for ForwardedCall {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ForwardedCall {
            call_id: fields.uint64(1),
            call: fields.message("forward", 2)?,
            known_version: fields.uint64(3),
        })
    }
}

impl Encode for ForwardedReply {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.call_id);
        to.uint64(2, u64::from(self.status));
        to.bytes(3, &self.body);
        to.uint64(4, self.lease_remaining);
    }
}

impl Decode for ForwardedReply {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ForwardedReply {
            call_id: fields.uint64(1),
            status: fields.uint64(2) as u16,
            body: Arc::from(fields.bytes(3)),
            lease_remaining: fields.uint64(4),
        })
    }
}
