//! Services: groups of model servers, and cache stores.

use std::net::SocketAddrV4;
use std::sync::Arc;

/// Default path of health checks.
pub(super) const DEFAULT_HEALTH_PATH: &str = "/health";
/// Default protocol: HTTP/1.1.
pub(super) const DEFAULT_PROTOCOL: &str = "h1";

/// A service (`backends`).
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name.
    pub name: Arc<str>,
    /// What it consists of.
    pub kind: ServiceKind,
}

/// What a service consists of.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceKind {
    /// Servers, which register themselves.
    Servers {
        /// Path of health checks (`healthPath`); `/health` by default.
        health_path: Arc<str>,
        /// Connections that one server accepts from all callers together (`maxConns`); unlimited by default.
        max_connections: Option<u32>,
        /// Whether its servers require TLS; `false` by default.
        tls: bool,
        /// Protocol of its servers; `h1`, HTTP/1.1, by default.
        protocol: Arc<str>,
        /// The inference engine of each server, if they run models.
        engine: Option<Engine>,
    },
    /// A store of cached prompt chunks, which accepts no requests.
    Store {
        /// Its address (`cacheStore`).
        address: SocketAddrV4,
        /// Its zone; empty by default.
        zone: Arc<str>,
        /// Capacity in tokens (`cacheTokens`); 0 by default.
        cache_tokens: u64,
        /// Bandwidth of its link in Mbit/s (`linkMbps`); 0 by default.
        link_mbps: f64,
        /// Long-polling calls for events that it accepts at once (`maxInFlight`); at least 1, the default.
        max_in_flight: u32,
    },
}

/// The inference engine of each server of a service (`engine`).
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once; at least 1, the default.
    pub slots: u32,
    /// KV cache capacity for running requests and cached prefixes, in tokens; 0 by default.
    pub cache_tokens: u64,
    /// Size of a token's KV cache entry in bytes, when it is transferred; 0 by default.
    pub token_bytes: u64,
    /// Bandwidth of KV transfers in Mbit/s; 0 by default.
    pub link_mbps: f64,
    /// Most tokens in one event of a stream; at least 1, the default.
    pub stride: u32,
    /// Long-polling calls for events that a server accepts at once; at least 1, the default.
    pub max_in_flight: u32,
    /// Names of its models; none by default.
    pub models: Vec<Arc<str>>,
}

impl Service {
    /// Whether this is a cache store.
    pub fn is_store(&self) -> bool {
        matches!(self.kind, ServiceKind::Store { .. })
    }

    /// The inference engine of its servers, if they run models.
    pub fn engine(&self) -> Option<&Engine> {
        match &self.kind {
            ServiceKind::Servers { engine, .. } => engine.as_ref(),
            ServiceKind::Store { .. } => None,
        }
    }
}
