//! Model servers, services and cache stores, as the registry and the configuration describe them.

use std::net::SocketAddrV4;
use std::sync::Arc;

use typed_builder::TypedBuilder;

use crate::time::Micros;

/// The state of a server in the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It accepts requests.
    Ready,
    /// It announced its shutdown and gets no new requests.
    Draining,
    /// Its heartbeats timed out; it is used only where no other server is left.
    Lost,
    /// It left, or was replaced.
    Gone,
}

/// The version of a model that a server has loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelVersion {
    /// The model's name.
    pub model: Arc<str>,
    /// The version of its weights; at one server it only grows.
    pub version: u64,
}

/// One incarnation of a server, as the registry knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerEntry {
    /// The id of the incarnation.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// The address that requests are sent to.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it may be selected.
    pub state: ServerState,
    /// How long its slow start still lasts, in microseconds.
    pub warmup_left: Micros,
    /// The model versions that it has loaded.
    pub models: Vec<ModelVersion>,
}

/// A service of model servers, as configured.
#[derive(Clone, Debug, PartialEq, TypedBuilder)]
pub struct ModelService {
    /// Its name.
    #[builder(setter(into))]
    pub name: Arc<str>,
    /// Requests that one of its servers runs at once.
    #[builder(default = 0)]
    pub slots: u32,
    /// Tokens that the memory of one server holds, of running requests and cached chunks together; 0 if unknown.
    #[builder(default = 0)]
    pub cache_tokens: u64,
    /// Bytes of KV cache of one token on a link.
    #[builder(default = 0)]
    pub token_bytes: u64,
    /// Bandwidth of a server's link for KV transfers, in Mbit/s.
    #[builder(default = 0.0)]
    pub link_mbps: f64,
    /// The models that it serves.
    #[builder(default)]
    pub models: Vec<Arc<str>>,
    /// Connections that one server accepts from all callers together; 0 if unknown.
    #[builder(default = 0)]
    pub max_connections: u32,
}

/// A cache store, as configured.
#[derive(Clone, Debug, PartialEq, TypedBuilder)]
pub struct CacheStoreService {
    /// Its name, by which it also appears as a holder of cached chunks.
    #[builder(setter(into))]
    pub name: Arc<str>,
    /// Its address.
    pub address: SocketAddrV4,
    /// Its zone.
    #[builder(setter(into))]
    pub zone: Arc<str>,
    /// Its capacity in tokens.
    #[builder(default = 0)]
    pub cache_tokens: u64,
    /// Bandwidth of its link in Mbit/s.
    #[builder(default = 0.0)]
    pub link_mbps: f64,
}

/// One service of the configuration in force.
#[derive(Clone, Debug, PartialEq)]
pub enum ServiceSpec {
    /// Servers that run requests.
    Model(ModelService),
    /// A cache store.
    Store(CacheStoreService),
}
