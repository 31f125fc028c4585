//! What a node has in flight at servers, as it tells others by datagram.

use std::net::SocketAddrV4;

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields};

/// What one node has in flight at one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
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
pub struct PromptChunk {
    /// Its id.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A server was seen to read a prompt, and so to keep its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// A hash of the server's id.
    pub server: u64,
    /// The prompt's key.
    pub key: u64,
    /// The version of the weights under which it was read.
    pub version: u64,
    /// A hash of the salt that the parts are kept under.
    pub salt: u64,
    /// The parts in order.
    pub chunks: Vec<PromptChunk>,
}

/// What changed in a store since it was last told.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheStoreReport {
    /// A hash of its name.
    pub store: u64,
    /// Nothing that it kept before is known to be left.
    pub reset: bool,
    /// Parts, each by the key that it has under its salt, with the tokens that are kept now.
    pub chunks: Vec<PromptChunk>,
}

/// What one node has in flight at all servers; servers that are left out have nothing of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerLoadReport {
    /// Rises with each of this node's messages, so that one that was overtaken is known.
    pub sequence: u64,
    /// The node whose loads these are, where it isn't the sender's own message; `None` in those of older builds.
    pub origin: Option<SocketAddrV4>,
    /// The receiver is to pass it on to the other nodes of its zone.
    pub relay: bool,
    /// By server.
    pub servers: Vec<ServerLoad>,
    /// What it has seen kept since its last message.
    pub cached_prefixes: Vec<CachedPrefix>,
    /// What has changed since then at stores that it listens to.
    pub cache_store_reports: Vec<CacheStoreReport>,
}

impl Encode for ServerLoad {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.server);
        to.number(2, u64::from(self.backlog_ms));
        to.number(3, u64::from(self.running));
        to.number(4, self.tokens);
    }
}

impl Decode for ServerLoad {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ServerLoad {
            server: fields.number(1),
            backlog_ms: fields.number(2) as u32,
            running: fields.number(3) as u32,
            tokens: fields.number(4),
        })
    }
}

impl Encode for PromptChunk {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.id);
        to.number(2, u64::from(self.tokens));
    }
}

impl Decode for PromptChunk {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(PromptChunk { id: fields.number(1), tokens: fields.number(2) as u32 })
    }
}

impl Encode for CachedPrefix {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.server);
        to.number(2, self.key);
        to.number(3, self.version);
        to.number(4, self.salt);
        to.messages(5, &self.chunks);
    }
}

impl Decode for CachedPrefix {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(CachedPrefix {
            server: fields.number(1),
            key: fields.number(2),
            version: fields.number(3),
            salt: fields.number(4),
            chunks: fields.messages(5)?,
        })
    }
}

impl Encode for CacheStoreReport {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.store);
        to.truth(2, self.reset);
        to.messages(3, &self.chunks);
    }
}

impl Decode for CacheStoreReport {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(CacheStoreReport { store: fields.number(1), reset: fields.truth(2), chunks: fields.messages(3)? })
    }
}

impl Encode for PeerLoadReport {
    fn encode(&self, to: &mut FieldWriter) {
        to.number(1, self.sequence);
        to.messages(2, &self.servers);
        to.messages(3, &self.cached_prefixes);
        if let Some(origin) = self.origin {
            to.address(4, origin);
        }
        to.truth(5, self.relay);
        to.messages(6, &self.cache_store_reports);
    }
}

impl Decode for PeerLoadReport {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(PeerLoadReport {
            sequence: fields.number(1),
            origin: fields.some_address(4),
            relay: fields.truth(5),
            servers: fields.messages(2)?,
            cached_prefixes: fields.messages(3)?,
            cache_store_reports: fields.messages(6)?,
        })
    }
}
