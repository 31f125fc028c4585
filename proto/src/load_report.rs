//! Reports of the load that a node causes on servers, and of cache changes that it has observed, sent to its peers by UDP
//! datagram.
//!
//! Datagrams may be lost, duplicated or reordered, so each can be decoded and applied without the others.

use std::net::SocketAddrV4;

use crate::fields::{Decode, DecodeError, Encode, FieldWriter, Fields};

/// The load that one node causes on one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLoad {
    /// The hash of the server's id, the same at all nodes.
    pub server: u64,
    /// Remaining prefill time of the node's requests, in milliseconds.
    pub backlog_ms: u32,
    /// Requests in flight.
    pub running: u32,
    /// Tokens of these requests.
    pub tokens: u64,
}

/// A chunk of a prompt, the unit of prefix caching.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptChunk {
    /// The chunk's id, or its key in a cache store.
    pub id: u64,
    /// Its length, or the length of its cached part, in tokens.
    pub tokens: u32,
}

/// A prefix that a server has cached after its prefill.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedPrefix {
    /// The hash of the server's id.
    pub server: u64,
    /// The key of the prompt.
    pub key: u64,
    /// The version of the weights that prefilled it.
    pub version: u64,
    /// The hash of the salt that isolates the cached chunks between tenants.
    pub salt: u64,
    /// The chunks in the order of the prompt.
    pub chunks: Vec<PromptChunk>,
}

/// Changes of a cache store since its last report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CacheStoreReport {
    /// The hash of the store's name.
    pub store: u64,
    /// Whether all earlier reports on this store are invalid, since it is unknown what the store still holds.
    pub reset: bool,
    /// The changed chunks, each by its key under its salt, with the tokens that are cached now (0 for none).
    pub chunks: Vec<PromptChunk>,
}

/// A datagram with the load that one node causes on all servers. The node causes none on a server that is not listed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerLoadReport {
    /// Increases with each report of the origin, so that receivers detect reordered reports.
    pub sequence: u64,
    /// The node that causes the load; `None` in a datagram of an earlier build, where it is the sender.
    pub origin: Option<SocketAddrV4>,
    /// Whether the receiver must forward the report to the other nodes of its zone.
    pub relay: bool,
    /// The load by server.
    pub servers: Vec<ServerLoad>,
    /// Prefixes whose prefill the origin has observed since its last report.
    pub cached_prefixes: Vec<CachedPrefix>,
    /// Changes of the cache stores that the origin watches since its last report.
    pub cache_store_reports: Vec<CacheStoreReport>,
}

impl Encode for ServerLoad {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.server);
        to.uint64(2, u64::from(self.backlog_ms));
        to.uint64(3, u64::from(self.running));
        to.uint64(4, self.tokens);
    }
}

impl Decode for ServerLoad {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(ServerLoad {
            server: fields.uint64(1),
            backlog_ms: fields.uint64(2) as u32,
            running: fields.uint64(3) as u32,
            tokens: fields.uint64(4),
        })
    }
}

impl Encode for PromptChunk {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.id);
        to.uint64(2, u64::from(self.tokens));
    }
}

impl Decode for PromptChunk {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(PromptChunk { id: fields.uint64(1), tokens: fields.uint64(2) as u32 })
    }
}

impl Encode for CachedPrefix {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.server);
        to.uint64(2, self.key);
        to.uint64(3, self.version);
        to.uint64(4, self.salt);
        to.repeated_messages(5, &self.chunks);
    }
}

impl Decode for CachedPrefix {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(CachedPrefix {
            server: fields.uint64(1),
            key: fields.uint64(2),
            version: fields.uint64(3),
            salt: fields.uint64(4),
            chunks: fields.repeated_messages(5)?,
        })
    }
}

impl Encode for CacheStoreReport {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.store);
        to.bool(2, self.reset);
        to.repeated_messages(3, &self.chunks);
    }
}

impl Decode for CacheStoreReport {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(CacheStoreReport {
            store: fields.uint64(1),
            reset: fields.bool(2),
            chunks: fields.repeated_messages(3)?,
        })
    }
}

impl Encode for PeerLoadReport {
    fn encode(&self, to: &mut FieldWriter) {
        to.uint64(1, self.sequence);
        to.repeated_messages(2, &self.servers);
        to.repeated_messages(3, &self.cached_prefixes);
        if let Some(origin) = self.origin {
            to.address(4, origin);
        }
        to.bool(5, self.relay);
        to.repeated_messages(6, &self.cache_store_reports);
    }
}

impl Decode for PeerLoadReport {
    fn decode(fields: &Fields<'_>) -> Result<Self, DecodeError> {
        Ok(PeerLoadReport {
            sequence: fields.uint64(1),
            origin: fields.optional_address(4),
            relay: fields.bool(5),
            servers: fields.repeated_messages(2)?,
            cached_prefixes: fields.repeated_messages(3)?,
            cache_store_reports: fields.repeated_messages(6)?,
        })
    }
}
