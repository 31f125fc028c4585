//! Builds a configuration from a body that has been checked.

use super::body::{Body, EngineBody, LimitsBody, RouteBody, ServiceBody, TenantBody};
use super::object::Object;
use super::route::{DEFAULT_MAX_ATTEMPTS, DEFAULT_PRIORITY};
use super::route_table::RouteTable;
use super::service::{DEFAULT_HEALTH_PATH, DEFAULT_PROTOCOL};
use super::{Configuration, Engine, Limits, Route, Service, ServiceKind, Target, Tenant};
use crate::number::UnsignedInteger;
use foldhash::{HashMap, HashMapExt};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Builds a configuration with its lookup tables.
pub(super) fn build(body: Body) -> Configuration {
    let tenants: Vec<Tenant> = body.tenants().map(tenant).collect();
    let services: Vec<Service> = body.backends.iter().map(|Object(body)| service(body)).collect();
    let service_by_name = index_services(&services);
    let routes: Vec<Route> =
        body.routes.into_iter().map(|Object(body)| route(body, &service_by_name)).collect();
    Configuration {
        version: body.version.0,
        limits: limits(body.limits.map(|Object(body)| body)),
        route_table: RouteTable::new(&routes),
        tenant_by_key: index_keys(&tenants),
        service_by_name,
        routes,
        services,
        tenants,
    }
}

fn index_services(services: &[Service]) -> HashMap<Arc<str>, usize> {
    let mut index_by_name = HashMap::with_capacity(services.len());
    for (index, service) in services.iter().enumerate() {
        index_by_name.entry(Arc::clone(&service.name)).or_insert(index);
    }
    index_by_name
}

fn index_keys(tenants: &[Tenant]) -> HashMap<Arc<str>, usize> {
    let indexed_tenants = tenants.iter().enumerate();
    indexed_tenants
        .flat_map(|(index, tenant)| tenant.api_keys.iter().map(move |key| (Arc::clone(key), index)))
        .collect()
}

fn route(body: RouteBody, services: &HashMap<Arc<str>, usize>) -> Route {
    let split = split(&body, services);
    Route {
        name: body.name.into(),
        host: body.host.into(),
        path_prefix: body.path_prefix.into(),
        kind: body.kind,
        timeout: body.timeout_ms.0,
        latency_target: body.target_ms.unwrap_or(body.timeout_ms).0,
        priority: body.priority.map_or(DEFAULT_PRIORITY, UnsignedInteger::saturating_into),
        split,
        max_attempts: body.max_attempts.map_or(DEFAULT_MAX_ATTEMPTS, UnsignedInteger::saturating_into).max(1),
        public: body.public.unwrap_or_default(),
        sticky: body.sticky.unwrap_or_default(),
        resumable: body.resumable.unwrap_or_default(),
        event_gap_target: body.event_gap_target.map(|target| target.0),
    }
}

fn split(body: &RouteBody, services: &HashMap<Arc<str>, usize>) -> Vec<Target> {
    let mut split: Vec<Target> = Vec::new();
    for (name, weight, _) in body.targets().into_iter().filter(|(_, weight, _)| *weight > 0.0) {
        match split.iter_mut().find(|target| &*target.service == name) {
            Some(target) => target.weight += weight,
            None => split.push(Target { service: shared_name(name, services), weight }),
        }
    }
    split
}

/// The name of a service, sharing the allocation with [`Service::name`].
fn shared_name(name: &str, services: &HashMap<Arc<str>, usize>) -> Arc<str> {
    services.get_key_value(name).map_or_else(|| Arc::from(name), |(known, _)| Arc::clone(known))
}

fn service(body: &ServiceBody) -> Service {
    let kind = match body.cache_store {
        Some(address) => store(body, address),
        None => servers(body),
    };
    Service { name: Arc::from(body.name.as_str()), kind }
}

fn servers(body: &ServiceBody) -> ServiceKind {
    ServiceKind::Servers {
        health_path: text_or(body.health_path.as_deref(), DEFAULT_HEALTH_PATH),
        max_connections: body.max_conns.map(UnsignedInteger::saturating_into),
        tls: body.tls.unwrap_or_default(),
        protocol: text_or(body.protocol.as_deref(), DEFAULT_PROTOCOL),
        engine: body.engine.as_ref().map(|Object(body)| engine(body)),
    }
}

fn store(body: &ServiceBody, address: SocketAddrV4) -> ServiceKind {
    ServiceKind::Store {
        address,
        zone: text_or(body.zone.as_deref(), ""),
        cache_tokens: body.cache_tokens.map_or(0, |tokens| tokens.0),
        link_mbps: body.link_mbps.map_or(0.0, |rate| rate.0),
        max_in_flight: count_of_one_or_more(body.max_in_flight),
    }
}

fn engine(body: &EngineBody) -> Engine {
    Engine {
        slots: count_of_one_or_more(body.slots),
        cache_tokens: body.cache_tokens.map_or(0, |tokens| tokens.0),
        token_bytes: body.token_bytes.map_or(0, |bytes| bytes.0),
        link_mbps: body.link_mbps.map_or(0.0, |rate| rate.0),
        stride: count_of_one_or_more(body.stride),
        max_in_flight: count_of_one_or_more(body.max_in_flight),
        models: body.models.iter().flatten().map(|Object(model)| Arc::from(model.name.as_str())).collect(),
    }
}

fn limits(body: Option<LimitsBody>) -> Limits {
    let default = Limits::default();
    let Some(body) = body else { return default };
    Limits {
        max_header_bytes: body
            .max_header_bytes
            .map_or(default.max_header_bytes, UnsignedInteger::saturating_into),
        max_body_bytes: body.max_body_bytes.map_or(default.max_body_bytes, UnsignedInteger::saturating_into),
        header_timeout: body.header_timeout_ms.map_or(default.header_timeout, |timeout| timeout.0),
        idle_timeout: body.idle_timeout_ms.map_or(default.idle_timeout, |timeout| timeout.0),
    }
}

fn tenant(body: &TenantBody) -> Tenant {
    Tenant {
        name: Arc::from(body.name.as_str()),
        api_keys: body.api_keys.iter().flatten().map(|key| Arc::from(key.as_str())).collect(),
        priority: body.priority.map(UnsignedInteger::saturating_into),
        isolated: body.isolated.unwrap_or_default(),
    }
}

/// A count; 1 where it is absent or 0.
fn count_of_one_or_more(count: Option<UnsignedInteger>) -> u32 {
    count.map_or(1, UnsignedInteger::saturating_into).max(1)
}

fn text_or(text: Option<&str>, default: &str) -> Arc<str> {
    Arc::from(text.unwrap_or(default))
}
