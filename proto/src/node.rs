//! Messages between nodes beside those of control replicas and of dissemination: sessions, founding, forwarded calls.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields, UnknownVariantSnafu};

/// Who a node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Where it is reached by other nodes.
    pub address: SocketAddrV4,
    /// Microseconds since 1970 at its start by its own time of day, raised where an older process was ahead of it.
    pub incarnation: u64,
    /// Its name.
    pub name: Arc<str>,
    /// Its zone.
    pub zone: Arc<str>,
    /// Its replica of the control state, if it keeps one.
    pub replica: Option<u64>,
    /// The whole system starts for the first time.
    pub first_boot: bool,
}

/// A heartbeat of a node's session with a control balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionHeartbeat {
    /// The node.
    pub identity: Identity,
    /// The epoch of the latest view that it knows.
    pub view_epoch: u64,
}

/// The members of the control state's view, as told to all nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewSummary {
    /// Its epoch.
    pub epoch: u64,
    /// Where its primary is reached.
    pub primary: Option<SocketAddrV4>,
    /// Where its members are reached.
    pub members: Vec<SocketAddrV4>,
}

/// The answer to a [`SessionHeartbeat`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionHeartbeatReply {
    /// The incarnation that was told.
    pub incarnation: u64,
    /// The session granted here. False: the node has to turn to a member of the view.
    pub granted: bool,
    /// An older process of this address had an incarnation up to this one.
    pub seen_incarnation: u64,
    /// The latest view that the answering node knows.
    pub view: Option<ViewSummary>,
}

/// Asks which configuration is the newest that can have been acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionQuery {
    /// Names the question.
    pub query_id: u64,
}

/// The answer to a [`VersionQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VersionReply {
    /// The question's name.
    pub query_id: u64,
    /// The version of the newest configuration, 0 if there was none.
    pub version: u64,
    /// How long before the answer that was so, in microseconds.
    pub age: u64,
}

/// A call for the primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ControlCall {
    /// Takes a configuration, whose body has been checked.
    PutConfiguration {
        /// The version that it builds on.
        if_match: u64,
        /// Its own version.
        version: u64,
        /// Its body as it was sent.
        body: Arc<[u8]>,
    },
    /// Takes a patch of a configuration, which has been read.
    PatchConfiguration {
        /// The version that it builds on.
        if_match: u64,
        /// The version that it makes.
        version: u64,
        /// The patch as it was sent.
        patch: Arc<[u8]>,
    },
    /// Reads the newest configuration.
    GetConfiguration,
    /// Names new weights.
    NameVersion {
        /// The model.
        model: Arc<str>,
        /// The version of its weights.
        version: u64,
    },
}

/// A call that a node passes on to the primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedCall {
    /// Names the call at the node that passes it on.
    pub call_id: u64,
    /// The call.
    pub call: ControlCall,
}

/// The answer to a [`ForwardedCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedReply {
    /// The call.
    pub call_id: u64,
    /// The answer's status.
    pub status: u16,
    /// The answer's body.
    pub body: Arc<[u8]>,
    /// For how much longer the lease was to last under which it was decided, in microseconds; 0 if there was none.
    pub lease_remaining: u64,
}

impl Encode for Identity {
    fn encode(&self, to: &mut FieldWriter) {
        to.address(1, self.address);
        to.number(2, self.incarnation);
        to.text(3, &self.name);
        to.text(4, &self.zone);
        to.some_number(5, self.replica);
        to.truth(6, self.first_boot);
    }
}

impl Decode for Identity {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Identity {
            address: fields.address("identity", 1)?,
            incarnation: fields.number(2),
            name: fields.text(3),
            zone: fields.text(4),
            replica: fields.some_number(5),
            first_boot: fields.truth(6),
        })
    }
}

impl Encode for SessionHeartbeat {
    fn encode(&self, to: &mut FieldWriter) {
        to.message(1, &self.identity);
        to.number(2, self.view_epoch);
    }
}

impl Decode for SessionHeartbeat {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(SessionHeartbeat { identity: fields.message("session beat", 1)?, view_epoch: fields.number(2) })
    }
}

impl Encode for ViewSummary {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.epoch);
        if let Some(primary) = self.primary {
            to.address(2, primary);
        }
        self.members.iter().for_each(|member| to.address(3, *member));
    }
}

impl Decode for ViewSummary {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ViewSummary {
            epoch: fields.number(1),
            primary: fields.some_address(2),
            members: fields.addresses(3).collect(),
        })
    }
}

impl Encode for SessionHeartbeatReply {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.incarnation);
        to.truth(2, self.granted);
        to.number(3, self.seen_incarnation);
        if let Some(view) = &self.view {
            to.message(4, view);
        }
    }
}

impl Decode for SessionHeartbeatReply {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(SessionHeartbeatReply {
            incarnation: fields.number(1),
            granted: fields.truth(2),
            seen_incarnation: fields.number(3),
            view: fields.some_message(4)?,
        })
    }
}

const PUT_CONFIGURATION: u64 = 1;
const GET_CONFIGURATION: u64 = 2;
const NAME_VERSION: u64 = 3;
const PATCH_CONFIGURATION: u64 = 4;

impl Encode for ControlCall {
    fn encode(&self, to: &mut FieldWriter) {
        match self {
            ControlCall::PutConfiguration { if_match, version, body } => {
                to.number(1, PUT_CONFIGURATION);
                to.number(2, *if_match);
                to.number(3, *version);
                to.bytes(4, body);
            }
            ControlCall::PatchConfiguration { if_match, version, patch } => {
                to.number(1, PATCH_CONFIGURATION);
                to.number(2, *if_match);
                to.number(3, *version);
                to.bytes(4, patch);
            }
            ControlCall::GetConfiguration => to.number(1, GET_CONFIGURATION),
            ControlCall::NameVersion { model, version } => {
                to.number(1, NAME_VERSION);
                to.number(3, *version);
                to.text(5, model);
            }
        }
    }
}

impl Decode for ControlCall {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(match fields.number(1) {
            PUT_CONFIGURATION => ControlCall::PutConfiguration {
                if_match: fields.number(2),
                version: fields.number(3),
                body: Arc::from(fields.bytes(4)),
            },
            PATCH_CONFIGURATION => ControlCall::PatchConfiguration {
                if_match: fields.number(2),
                version: fields.number(3),
                patch: Arc::from(fields.bytes(4)),
            },
            GET_CONFIGURATION => ControlCall::GetConfiguration,
            NAME_VERSION => ControlCall::NameVersion { model: fields.text(5), version: fields.number(3) },
            variant => return UnknownVariantSnafu { message: "control call", variant }.fail(),
        })
    }
}

impl Encode for VersionQuery {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.query_id);
    }
}

impl Decode for VersionQuery {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(VersionQuery { query_id: fields.number(1) })
    }
}

impl Encode for VersionReply {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.query_id);
        to.number(2, self.version);
        to.number(3, self.age);
    }
}

impl Decode for VersionReply {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(VersionReply { query_id: fields.number(1), version: fields.number(2), age: fields.number(3) })
    }
}

impl Encode for ForwardedCall {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.call_id);
        to.message(2, &self.call);
    }
}

impl Decode for ForwardedCall {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ForwardedCall { call_id: fields.number(1), call: fields.message("forward", 2)? })
    }
}

impl Encode for ForwardedReply {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.call_id);
        to.number(2, u64::from(self.status));
        to.bytes(3, &self.body);
        to.number(4, self.lease_remaining);
    }
}

impl Decode for ForwardedReply {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ForwardedReply {
            call_id: fields.number(1),
            status: fields.number(2) as u16,
            body: Arc::from(fields.bytes(3)),
            lease_remaining: fields.number(4),
        })
    }
}
