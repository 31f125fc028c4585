//! What one frame carries.

use std::net::SocketAddrV4;

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields, UnknownVariantSnafu};
use crate::node::{Forward, Forwarded, NewestAsk, NewestTold, SessionBeat, SessionGrant};

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
    Spread(gradepaddle_spread::Message),
    /// A heartbeat of a session.
    SessionBeat(SessionBeat),
    /// The answer to it.
    SessionGrant(SessionGrant),
    /// The first view, told by the founder to each of its members.
    Found(gradepaddle_control::View),
    /// A call for the primary.
    Forward(Forward),
    /// Its answer.
    Forwarded(Forwarded),
    /// Which configuration is the newest?
    NewestAsk(NewestAsk),
    /// The answer to it.
    NewestTold(NewestTold),
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
            Content::Spread(message) => (SPREAD, message.to_bytes()),
            Content::SessionBeat(message) => (SESSION_BEAT, message.to_bytes()),
            Content::SessionGrant(message) => (SESSION_GRANT, message.to_bytes()),
            Content::Found(view) => (FOUND, view.to_bytes()),
            Content::Forward(message) => (FORWARD, message.to_bytes()),
            Content::Forwarded(message) => (FORWARDED, message.to_bytes()),
            Content::NewestAsk(message) => (NEWEST_ASK, message.to_bytes()),
            Content::NewestTold(message) => (NEWEST_TOLD, message.to_bytes()),
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
            SPREAD => Content::Spread(fields.message(NAME, 3)?),
            SESSION_BEAT => Content::SessionBeat(fields.message(NAME, 3)?),
            SESSION_GRANT => Content::SessionGrant(fields.message(NAME, 3)?),
            FOUND => Content::Found(fields.message(NAME, 3)?),
            FORWARD => Content::Forward(fields.message(NAME, 3)?),
            FORWARDED => Content::Forwarded(fields.message(NAME, 3)?),
            NEWEST_ASK => Content::NewestAsk(fields.message(NAME, 3)?),
            NEWEST_TOLD => Content::NewestTold(fields.message(NAME, 3)?),
            variant => return UnknownVariantSnafu { message: NAME, variant }.fail(),
        };
        Ok(Envelope { from: fields.address(NAME, 1)?, content })
    }
}
