//! What a node has in flight at servers, as it tells others by datagram.

use std::net::SocketAddrV4;

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields};

/// What one node has in flight at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerShare {
    /// A hash of the server's id, the same at all nodes.
    pub server: u64,
    /// Reading of prompts that is still to be done there, in milliseconds.
    pub backlog_ms: u32,
    /// Requests there.
    pub running: u32,
    /// Their tokens.
    pub tokens: u64,
}

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A server was seen to read a prompt, and so to keep its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptPrompt {
    /// A hash of the server's id.
    pub server: u64,
    /// The prompt's key.
    pub key: u64,
    /// The version of the weights under which it was read.
    pub version: u64,
    /// A hash of the salt that the parts are kept under.
    pub salt: u64,
    /// The parts in order.
    pub parts: Vec<PromptPart>,
}

/// What changed in a store since it was last told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoreReport {
    /// A hash of its name.
    pub store: u64,
    /// Nothing that it kept before is known to be left.
    pub reset: bool,
    /// Parts, each by the key that it has under its salt, with the tokens that are kept now.
    pub parts: Vec<PromptPart>,
}

/// What one node has in flight at all servers; servers that are left out have nothing of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadShare {
    /// Rises with each of this node's messages, so that one that was overtaken is known.
    pub sequence: u64,
    /// The node whose loads these are, where it isn't the sender's own message; `None` in those of older builds.
    pub origin: Option<SocketAddrV4>,
    /// The receiver is to pass it on to the other nodes of its zone.
    pub relay: bool,
    /// By server.
    pub servers: Vec<ServerShare>,
    /// What it has seen kept since its last message.
    pub kept: Vec<KeptPrompt>,
    /// What has changed since then at stores that it listens to.
    pub changes: Vec<StoreReport>,
}

impl Encode for ServerShare {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.server);
        to.number(2, u64::from(self.backlog_ms));
        to.number(3, u64::from(self.running));
        to.number(4, self.tokens);
    }
}

impl Decode for ServerShare {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ServerShare {
            server: fields.number(1),
            backlog_ms: fields.number(2) as u32,
            running: fields.number(3) as u32,
            tokens: fields.number(4),
        })
    }
}

impl Encode for PromptPart {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.id);
        to.number(2, u64::from(self.tokens));
    }
}

impl Decode for PromptPart {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(PromptPart { id: fields.number(1), tokens: fields.number(2) as u32 })
    }
}

impl Encode for KeptPrompt {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.server);
        to.number(2, self.key);
        to.number(3, self.version);
        to.number(4, self.salt);
        to.messages(5, &self.parts);
    }
}

impl Decode for KeptPrompt {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(KeptPrompt {
            server: fields.number(1),
            key: fields.number(2),
            version: fields.number(3),
            salt: fields.number(4),
            parts: fields.messages(5)?,
        })
    }
}

impl Encode for StoreReport {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.store);
        to.truth(2, self.reset);
        to.messages(3, &self.parts);
    }
}

impl Decode for StoreReport {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(StoreReport { store: fields.number(1), reset: fields.truth(2), parts: fields.messages(3)? })
    }
}

impl Encode for LoadShare {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.sequence);
        to.messages(2, &self.servers);
        to.messages(3, &self.kept);
        if let Some(origin) = self.origin {
            to.address(4, origin);
        }
        to.truth(5, self.relay);
        to.messages(6, &self.changes);
    }
}

impl Decode for LoadShare {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(LoadShare {
            sequence: fields.number(1),
            origin: fields.some_address(4),
            relay: fields.truth(5),
            servers: fields.messages(2)?,
            kept: fields.messages(3)?,
            changes: fields.messages(6)?,
        })
    }
}
