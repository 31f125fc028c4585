//! The operator's configuration: routes, services, limits and tenants, read from a JSON body.
//!
//! A body is read in two passes: the first refuses objects with two fields of one name, the second reads the
//! fields that are known and ignores the rest. What has been read is then checked as a whole, and only a body
//! without findings becomes a [`Configuration`].

mod body;
mod build;
mod check;
mod limits;
pub(crate) mod object;
pub(crate) mod repeated_field;
mod route;
mod route_table;
mod service;

pub use limits::Limits;
pub use route::{Route, RouteKind, Target};
pub use service::{Engine, Service, ServiceKind};

pub(crate) use route_table::host_key;

use crate::finding::{Finding, Findings, Problem};
use body::Body;
use foldhash::HashMap;
use route_table::RouteTable;
use std::sync::Arc;

/// A configuration that is valid in itself.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// Version, above that of the configuration that it replaces.
    pub version: u64,
    /// Routes in the order of the body; no two have the same host and prefix.
    pub routes: Vec<Route>,
    /// Services in the order of the body.
    pub services: Vec<Service>,
    /// What clients may send, and how long they may take.
    pub limits: Limits,
    /// Tenants in the order of the body; no two hold the same key.
    pub tenants: Vec<Tenant>,
    route_table: RouteTable,
    service_by_name: HashMap<Arc<str>, usize>,
    tenant_by_key: HashMap<Arc<str>, usize>,
}

/// A tenant: who holds which keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenant {
    /// Name that servers are shown.
    pub name: Arc<str>,
    /// Keys that its requests carry; secrets.
    pub api_keys: Vec<Arc<str>>,
    /// Rank of its requests, which goes before the route's; 0 is the highest.
    pub priority: Option<u8>,
    /// Whether its requests share no cached part with those of other tenants.
    pub isolated: bool,
}

impl Configuration {
    /// Reads and checks a body.
    ///
    /// # Errors
    /// The body can't be read whole, or it breaks rules of a valid configuration: all of these together.
    /// Whether its version is above the current one is left to [`Configuration::check_successor`].
    pub fn parse(body: &[u8]) -> Result<Self, Findings> {
        repeated_field::check(body)?;
        let body = Body::read(body)?;
        Findings::or(check::check(&body), || build::build(body))
    }

    /// Checks that this configuration may follow the one in force.
    ///
    /// # Errors
    /// Its version isn't above `current`.
    pub fn check_successor(&self, current: u64) -> Result<(), Finding> {
        if self.version > current {
            return Ok(());
        }
        Err(Finding::new("version", Problem::VersionNotAbove { current, given: self.version }))
    }

    /// The route of a request: among those of the host, the one with the longest prefix that begins the path.
    ///
    /// `host` is the value of the `Host` header; its case and a port in it don't matter.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.route_table.find(host, path).map(|index| &self.routes[index])
    }

    /// The service of a name; the first one if several have it.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.service_by_name.get(name).map(|&index| &self.services[index])
    }

    /// The services that are stores.
    pub fn stores(&self) -> impl Iterator<Item = &Service> {
        self.services.iter().filter(|service| service.is_store())
    }

    /// Whether requests need a key, except on public routes: so where there are tenants.
    pub fn needs_key(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// The tenant that holds a key.
    pub fn tenant_by_key(&self, key: &str) -> Option<&Tenant> {
        self.tenant_by_key.get(key).map(|&index| &self.tenants[index])
    }

    /// The tenants that share no cached part with others, by name.
    pub fn isolated_tenants(&self) -> impl Iterator<Item = &Tenant> {
        let mut isolated: Vec<&Tenant> = self.tenants.iter().filter(|tenant| tenant.isolated).collect();
        isolated.sort_by(|one, other| one.name.cmp(&other.name));
        isolated.into_iter()
    }
}
