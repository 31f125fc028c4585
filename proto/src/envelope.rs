//! What one frame carries.

use std::net::SocketAddrV4;

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields, UnknownVariantSnafu};
use crate::node::{
    ForwardedCall, ForwardedReply, SessionHeartbeat, SessionHeartbeatReply, VersionQuery, VersionReply,
};

/// A message with its sender.
#[derive(Clone, Debug, PartialEq)]
pub struct Envelope {
    /// Where the sender is reached.
    pub from: SocketAddrV4,
    /// The message.
    pub content: Content,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// Between replicas of the control state.
    Control(gradepaddle_control::Message),
    /// Dissemination.
    Gossip(gradepaddle_gossip::Message),
    /// A heartbeat of a session.
    SessionHeartbeat(SessionHeartbeat),
    /// The answer to it.
    SessionHeartbeatReply(SessionHeartbeatReply),
    /// The first view, told by the founder to each of its members.
    Bootstrap(gradepaddle_control::View),
    /// A call for the primary.
    ForwardedCall(ForwardedCall),
    /// Its answer.
    ForwardedReply(ForwardedReply),
    /// Which configuration is the newest?
    VersionQuery(VersionQuery),
    /// The answer to it.
    VersionReply(VersionReply),
}

const CONTROL: u64 = 1;
const SPREAD: u64 = 2;
const SESSION_BEAT: u64 = 3;
const SESSION_GRANT: u64 = 4;
const FOUND: u64 = 5;
const FORWARD: u64 = 6;
const FORWARDED: u64 = 7;
const NEWEST_ASK: u64 = 8;
const NEWEST_TOLD: u64 = 9;

impl Encode for Envelope {
    fn encode(&self, to: &mut FieldWriter) {
        to.address(1, self.from);
        let (variant, bytes) = match &self.content {
            Content::Control(message) => (CONTROL, message.to_bytes()),
            Content::Gossip(message) => (SPREAD, message.to_bytes()),
            Content::SessionHeartbeat(message) => (SESSION_BEAT, message.to_bytes()),
            Content::SessionHeartbeatReply(message) => (SESSION_GRANT, message.to_bytes()),
            Content::Bootstrap(view) => (FOUND, view.to_bytes()),
            Content::ForwardedCall(message) => (FORWARD, message.to_bytes()),
            Content::ForwardedReply(message) => (FORWARDED, message.to_bytes()),
            Content::VersionQuery(message) => (NEWEST_ASK, message.to_bytes()),
            Content::VersionReply(message) => (NEWEST_TOLD, message.to_bytes()),
        };
        to.number(2, variant);
        to.bytes(3, &bytes);
    }
}

impl Decode for Envelope {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        const NAME: &str = "envelope";
        let content = match fields.number(2) {
            CONTROL => Content::Control(fields.message(NAME, 3)?),
            SPREAD => Content::Gossip(fields.message(NAME, 3)?),
            SESSION_BEAT => Content::SessionHeartbeat(fields.message(NAME, 3)?),
            SESSION_GRANT => Content::SessionHeartbeatReply(fields.message(NAME, 3)?),
            FOUND => Content::Bootstrap(fields.message(NAME, 3)?),
            FORWARD => Content::ForwardedCall(fields.message(NAME, 3)?),
            FORWARDED => Content::ForwardedReply(fields.message(NAME, 3)?),
            NEWEST_ASK => Content::VersionQuery(fields.message(NAME, 3)?),
            NEWEST_TOLD => Content::VersionReply(fields.message(NAME, 3)?),
            variant => return UnknownVariantSnafu { message: NAME, variant }.fail(),
        };
        Ok(Envelope { from: fields.address(NAME, 1)?, content })
    }
}
