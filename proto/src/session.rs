//! Sessions of nodes with the members of the view of the control state.

use std::net::SocketAddrV4;
use std::sync::Arc;

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields};

/// The identity of one process of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The address at which other nodes reach it.
    pub address: SocketAddrV4,
    /// Unique to one process at one address, and higher than that of each earlier process there: microseconds since the
    /// Unix epoch at its start by its local clock, increased if an earlier process had a higher incarnation.
    pub incarnation: u64,
    /// The name of the machine.
    pub name: Arc<str>,
    /// The zone of the machine.
    pub zone: Arc<str>,
    /// The id of its replica of the control state, if it has one.
    pub replica: Option<u64>,
    /// Whether the whole system starts for the first time, with empty disks (`firstBoot` in the settings).
    pub first_boot: bool,
}

/// Opens or renews the session of a node with a member of the control state's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionHeartbeat {
    /// The node whose session it is.
    pub identity: Identity,
    /// The epoch of the latest view that the node knows, 0 for none.
    pub view_epoch: u64,
}

/// The addresses in the view of the control state, which all nodes learn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewSummary {
    /// The epoch of the view, 0 if none is known.
    pub epoch: u64,
    /// The address of its primary.
    pub primary: Option<SocketAddrV4>,
    /// The addresses of its members.
    pub members: Vec<SocketAddrV4>,
}

/// The answer to a [`SessionHeartbeat`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SessionHeartbeatReply {
    /// The incarnation of the heartbeat that this answers.
    pub incarnation: u64,
    /// Whether the session is granted. If not, the node must try another member of the view.
    pub granted: bool,
    /// The highest incarnation that the answering node has seen at this address, if that is above the heartbeat's; 0
    /// otherwise.
    pub seen_incarnation: u64,
    /// The latest view that the answering node knows.
    pub view: Option<ViewSummary>,
}

impl Encode for Identity {
    fn encode(&self, to: &mut FieldWriter) {
        to.address(1, self.address);
        to.uint64(2, self.incarnation);
        to.string(3, &self.name);
        to.string(4, &self.zone);
        to.optional_uint64(5, self.replica);
        to.bool(6, self.first_boot);
    }
}

impl Decode for Identity {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(Identity {
            address: fields.address("identity", 1)?,
            incarnation: fields.uint64(2),
            name: fields.string(3),
            zone: fields.string(4),
            replica: fields.optional_uint64(5),
            first_boot: fields.bool(6),
        })
    }
}

impl Encode for SessionHeartbeat {
    fn encode(&self, to: &mut FieldWriter) {
        to.message(1, &self.identity);
        to.uint64(2, self.view_epoch);
    }
}

impl Decode for SessionHeartbeat {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(SessionHeartbeat { identity: fields.message("session beat", 1)?, view_epoch: fields.uint64(2) })
    }
}

impl Encode for ViewSummary {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.epoch);
        if let Some(primary) = self.primary {
            to.address(2, primary);
        }
        self.members.iter().for_each(|member| to.address(3, *member));
    }
}

impl Decode for ViewSummary {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ViewSummary {
            epoch: fields.uint64(1),
            primary: fields.optional_address(2),
            members: fields.repeated_addresses(3).collect(),
        })
    }
}

impl Encode for SessionHeartbeatReply {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.incarnation);
        to.bool(2, self.granted);
        to.uint64(3, self.seen_incarnation);
        if let Some(view) = &self.view {
            to.message(4, view);
        }
    }
}

impl Decode for SessionHeartbeatReply {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(SessionHeartbeatReply {
            incarnation: fields.uint64(1),
            granted: fields.bool(2),
            seen_incarnation: fields.uint64(3),
            view: fields.optional_message(4)?,
        })
    }
}
