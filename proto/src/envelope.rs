//! The body of a frame: one message with its sender.

use std::net::SocketAddrV4;

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields, UnknownVariantSnafu};
use crate::{
    ForwardedCall, ForwardedReply, SessionHeartbeat, SessionHeartbeatReply, VersionQuery, VersionReply,
};

/// A message with its sender: the body of a frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// The address that the sender listens on; its connections originate from ephemeral ports.
    pub from: SocketAddrV4,
    /// The message.
    pub content: Content,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// Replication of the control state.
    Control(gradepaddle_control::Message),
    /// Gossip of fleet state.
    Gossip(gradepaddle_gossip::Message),
    /// Opens or renews a session.
    SessionHeartbeat(SessionHeartbeat),
    /// The answer to a [`Content::SessionHeartbeat`].
    SessionHeartbeatReply(SessionHeartbeatReply),
    /// The first view of the fleet, from the node that bootstraps it to each member.
    Bootstrap(gradepaddle_control::View),
    /// An API call for the primary.
    ForwardedCall(ForwardedCall),
    /// The answer to a [`Content::ForwardedCall`].
    ForwardedReply(ForwardedReply),
    /// Asks for the newest version of the configuration.
    VersionQuery(VersionQuery),
    /// The answer to a [`Content::VersionQuery`].
    VersionReply(VersionReply),
}

/// Variant numbers of [`Content`].
const CONTROL: u64 = 1;
const GOSSIP: u64 = 2;
const SESSION_HEARTBEAT: u64 = 3;
const SESSION_HEARTBEAT_REPLY: u64 = 4;
const BOOTSTRAP: u64 = 5;
const FORWARDED_CALL: u64 = 6;
const FORWARDED_REPLY: u64 = 7;
const VERSION_QUERY: u64 = 8;
const VERSION_REPLY: u64 = 9;

impl Encode for Envelope {
    fn encode(&self, to: &mut FieldWriter) {
        to.address(1, self.from);
        let (variant, bytes) = match &self.content {
            Content::Control(message) => (CONTROL, message.to_bytes()),
            Content::Gossip(message) => (GOSSIP, message.to_bytes()),
            Content::SessionHeartbeat(message) => (SESSION_HEARTBEAT, message.to_bytes()),
            Content::SessionHeartbeatReply(message) => (SESSION_HEARTBEAT_REPLY, message.to_bytes()),
            Content::Bootstrap(view) => (BOOTSTRAP, view.to_bytes()),
            Content::ForwardedCall(message) => (FORWARDED_CALL, message.to_bytes()),
            Content::ForwardedReply(message) => (FORWARDED_REPLY, message.to_bytes()),
            Content::VersionQuery(message) => (VERSION_QUERY, message.to_bytes()),
            Content::VersionReply(message) => (VERSION_REPLY, message.to_bytes()),
        };
        to.uint64(2, variant);
        to.bytes(3, &bytes);
    }
}

impl Decode for Envelope {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        const NAME: &str = "envelope";
        let content = match fields.uint64(2) {
            CONTROL => Content::Control(fields.message(NAME, 3)?),
            GOSSIP => Content::Gossip(fields.message(NAME, 3)?),
            SESSION_HEARTBEAT => Content::SessionHeartbeat(fields.message(NAME, 3)?),
            SESSION_HEARTBEAT_REPLY => Content::SessionHeartbeatReply(fields.message(NAME, 3)?),
            BOOTSTRAP => Content::Bootstrap(fields.message(NAME, 3)?),
            FORWARDED_CALL => Content::ForwardedCall(fields.message(NAME, 3)?),
            FORWARDED_REPLY => Content::ForwardedReply(fields.message(NAME, 3)?),
            VERSION_QUERY => Content::VersionQuery(fields.message(NAME, 3)?),
            VERSION_REPLY => Content::VersionReply(fields.message(NAME, 3)?),
            variant => return UnknownVariantSnafu { message: NAME, variant }.fail(),
        };
        Ok(Envelope { from: fields.address(NAME, 1)?, content })
    }
}
