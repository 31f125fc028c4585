//! The operator's configuration: routes, services, limits and tenants, parsed from a JSON body (`PROTOCOL.md`).
//!
//! A body is parsed in two passes: the first rejects objects with duplicate fields, the second reads the known fields and
//! ignores the rest. The result is then checked, and only a body without findings becomes a
//! [`Configuration`].

mod body;
mod build;
mod check;
pub(crate) mod duplicate_field;
mod limits;
pub(crate) mod object;
mod route;
mod route_table;
mod service;

pub use limits::Limits;
pub use route::{Route, RouteKind, Target, UnknownRouteKind};
pub use service::{Engine, Service, ServiceKind};

pub(crate) use route_table::host_key;

use crate::finding::{Finding, Findings, Problem};
use body::Body;
use foldhash::HashMap;
use route_table::RouteTable;
use std::sync::Arc;

/// A valid configuration. Whether it may replace the current one is checked by [`Configuration::check_successor`].
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version (`version`), which must be higher than that of the configuration that it replaces.
    pub version: u64,
    /// Routes (`routes`) in the order of the body; no two have the same host and prefix.
    pub routes: Vec<Route>,
    /// Services (`backends`) in the order of the body.
    pub services: Vec<Service>,
    /// Limits of clients (`limits`).
    pub limits: Limits,
    /// Tenants (`customers`) in the order of the body; no two have the same key.
    pub tenants: Vec<Tenant>,
    route_table: RouteTable,
    service_by_name: HashMap<Arc<str>, usize>,
    tenant_by_key: HashMap<Arc<str>, usize>,
}

/// A tenant with its API keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenant {
    /// Name, as it is sent to servers.
    pub name: Arc<str>,
    /// Keys (`apiKeys`) by which its requests are authenticated; secrets. None by default.
    pub api_keys: Vec<Arc<str>>,
    /// Priority of its requests, which overrides the route's; 0 is the highest. By default the route's priority applies.
    pub priority: Option<u8>,
    /// Whether its requests share no cached prefix with those of other tenants; `false` by default.
    pub isolated: bool,
}

impl Configuration {
    /// Parses and checks a body.
    ///
    /// # Errors
    ///
    /// The first [`Problem::Unreadable`] value, or all [`Problem::DuplicateField`]s, or all violations of the rules of
    /// a valid configuration.
    pub fn parse(body: &[u8]) -> Result<Self, Findings> {
        duplicate_field::check(body)?;
        let body = Body::read(body)?;
        Findings::ok_if_empty(check::check(&body), || build::build(body))
    }

    /// Checks that this configuration may replace the current one.
    ///
    /// # Errors
    ///
    /// [`Problem::VersionNotAbove`] if its version isn't above `current`.
    pub fn check_successor(&self, current: u64) -> Result<(), Finding> {
        if self.version > current {
            return Ok(());
        }
        Err(Finding::new("version", Problem::VersionNotAbove { current, given: self.version }))
    }

    /// The route of a request: among the routes of its host, the one with the longest prefix that matches the path.
    ///
    /// `host` is the value of the `Host` header; letter case and a port are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.route_table.find(host, path).map(|index| &self.routes[index])
    }

    /// The service with this name; the first one if several have it.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.service_by_name.get(name).map(|&index| &self.services[index])
    }

    /// The services that are cache stores.
    pub fn stores(&self) -> impl Iterator<Item = &Service> {
        self.services.iter().filter(|service| service.is_store())
    }

    /// Whether requests to routes that aren't public need an API key, which is so if there are tenants.
    pub fn needs_key(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// The tenant that has this API key.
    pub fn tenant_by_key(&self, key: &str) -> Option<&Tenant> {
        self.tenant_by_key.get(key).map(|&index| &self.tenants[index])
    }

    /// The isolated tenants, sorted by name.
    pub fn isolated_tenants(&self) -> impl Iterator<Item = &Tenant> {
        let mut isolated: Vec<&Tenant> = self.tenants.iter().filter(|tenant| tenant.isolated).collect();
        isolated.sort_by(|one, other| one.name.cmp(&other.name));
        isolated.into_iter()
    }
}
