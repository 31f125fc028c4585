//! What changes for requests from one configuration to another.
//!
//! A route is the same one if its host and prefix are the same; a service or tenant, if its name is.

use crate::configuration::{Configuration, Limits, Route, Service, Target, Tenant, host_key};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;
use std::time::Duration;

/// A change for requests. `route` is the name of the route in the new configuration, where it has it.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A route is new.
    RouteAdded {
        /// Name of the route.
        route: Arc<str>,
    },
    /// A route is gone.
    RouteRemoved {
        /// Name of the route.
        route: Arc<str>,
    },
    /// The requests of a route go to other services.
    RouteServicesChanged {
        /// Name of the route.
        route: Arc<str>,
        /// Its services before.
        from: ServiceNames,
        /// Its services from now on.
        to: ServiceNames,
    },
    /// The services of a route get other parts of its requests.
    RouteWeightsChanged {
        /// Name of the route.
        route: Arc<str>,
    },
    /// The time-out of a route is another.
    RouteTimeout {
        /// Name of the route.
        route: Arc<str>,
        /// Time-out before.
        from: Duration,
        /// Time-out from now on.
        to: Duration,
    },
    /// Something else of a route is another.
    RouteChanged {
        /// Name of the route.
        route: Arc<str>,
        /// What is another.
        field: RouteField,
    },
    /// A service is new.
    ServiceAdded {
        /// Name of the service.
        service: Arc<str>,
    },
    /// A service is gone.
    ServiceRemoved {
        /// Name of the service.
        service: Arc<str>,
    },
    /// The terms of a service are others.
    ServiceChanged {
        /// Name of the service.
        service: Arc<str>,
    },
    /// A tenant has one more key.
    KeyAdded {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// The key, which isn't displayed.
        key: Arc<str>,
    },
    /// A tenant has lost a key.
    KeyRemoved {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// The key, which isn't displayed.
        key: Arc<str>,
    },
    /// A tenant shares cached parts no longer, or shares them again.
    Isolation {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// Whether it is isolated from now on.
        isolated: bool,
    },
    /// The rank of a tenant is another.
    TenantPriority {
        /// Name of the tenant.
        tenant: Arc<str>,
        /// Rank before.
        from: Option<u8>,
        /// Rank from now on.
        to: Option<u8>,
    },
    /// What clients may send, or how long they may take, is another.
    Limits {
        /// Limits before.
        from: Limits,
        /// Limits from now on.
        to: Limits,
    },
}

/// A value of a route beside its services and its time-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteField {
    /// [`Route::kind`]
    Kind,
    /// [`Route::latency_target`]
    LatencyTarget,
    /// [`Route::priority`]
    Priority,
    /// [`Route::max_attempts`]
    MaxAttempts,
    /// [`Route::public`]
    Public,
    /// [`Route::sticky`]
    Sticky,
    /// [`Route::resumable`]
    Resumable,
    /// [`Route::event_gap_target`]
    EventGapTarget,
}

/// Names of services in alphabetical order; displayed with commas between them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceNames(pub Vec<Arc<str>>);

/// What changes for requests: first routes by host and prefix, then services,
/// keys and tenants by name, then limits.
pub fn diff(old: &Configuration, new: &Configuration) -> Vec<Change> {
    let mut changes = Vec::new();
    compare_routes(old, new, &mut changes);
    compare_services(old, new, &mut changes);
    compare_tenants(old, new, &mut changes);
    if old.limits != new.limits {
        changes.push(Change::Limits { from: old.limits, to: new.limits });
    }
    changes
}

fn compare_routes(old: &Configuration, new: &Configuration, changes: &mut Vec<Change>) {
    for (before, after) in
        pairs(&old.routes, &new.routes, |route| (host_key(&route.host), &*route.path_prefix))
    {
        match (before, after) {
            (None, Some(route)) => changes.push(Change::RouteAdded { route: Arc::clone(&route.name) }),
            (Some(route), None) => changes.push(Change::RouteRemoved { route: Arc::clone(&route.name) }),
            (Some(before), Some(after)) => compare_route(before, after, changes),
            (None, None) => {}
        }
    }
}

fn compare_route(before: &Route, after: &Route, changes: &mut Vec<Change>) {
    let route = &after.name;
    let (from, to) = (ServiceNames::of(&before.split), ServiceNames::of(&after.split));
    if from != to {
        changes.push(Change::RouteServicesChanged { route: Arc::clone(route), from, to });
    } else if parts(&before.split) != parts(&after.split) {
        changes.push(Change::RouteWeightsChanged { route: Arc::clone(route) });
    }
    if before.timeout != after.timeout {
        changes.push(Change::RouteTimeout {
            route: Arc::clone(route),
            from: before.timeout,
            to: after.timeout,
        });
    }
    let altered = changed_fields(before, after);
    changes.extend(altered.map(|field| Change::RouteChanged { route: Arc::clone(route), field }));
}

fn changed_fields(before: &Route, after: &Route) -> impl Iterator<Item = RouteField> {
    let fields = [
        (RouteField::Kind, before.kind != after.kind),
        (RouteField::LatencyTarget, before.latency_target != after.latency_target),
        (RouteField::Priority, before.priority != after.priority),
        (RouteField::MaxAttempts, before.max_attempts != after.max_attempts),
        (RouteField::Public, before.public != after.public),
        (RouteField::Sticky, before.sticky != after.sticky),
        (RouteField::Resumable, before.resumable != after.resumable),
        (RouteField::EventGapTarget, before.event_gap_target != after.event_gap_target),
    ];
    fields.into_iter().filter(|(_, altered)| *altered).map(|(field, _)| field)
}

/// The share of each service in a split.
fn parts(split: &[Target]) -> BTreeMap<&str, f64> {
    let sum: f64 = split.iter().map(|target| target.weight).sum();
    split.iter().map(|target| (&*target.service, target.weight / sum)).collect()
}

fn compare_services(old: &Configuration, new: &Configuration, changes: &mut Vec<Change>) {
    for (before, after) in pairs(&old.services, &new.services, |service| &*service.name) {
        changes.extend(service_change(before, after));
    }
}

fn service_change(before: Option<&Service>, after: Option<&Service>) -> Option<Change> {
    match (before, after) {
        (None, Some(service)) => Some(Change::ServiceAdded { service: Arc::clone(&service.name) }),
        (Some(service), None) => Some(Change::ServiceRemoved { service: Arc::clone(&service.name) }),
        (Some(before), Some(after)) if before != after => {
            Some(Change::ServiceChanged { service: Arc::clone(&after.name) })
        }
        _ => None,
    }
}

/// Compares the tenants. One that isn't there is as good as one without keys, rank and isolation.
fn compare_tenants(old: &Configuration, new: &Configuration, changes: &mut Vec<Change>) {
    compare_keys(&old.tenants, &new.tenants, changes);
    for (before, after) in pairs(&old.tenants, &new.tenants, |tenant| &*tenant.name) {
        let Some(named) = after.or(before) else { continue };
        let absent = Tenant { name: Arc::clone(&named.name), ..Tenant::default() };
        compare_tenant(before.unwrap_or(&absent), after.unwrap_or(&absent), changes);
    }
}

fn compare_keys(old: &[Tenant], new: &[Tenant], changes: &mut Vec<Change>) {
    let (old, new) = (keys_by_tenant(old), keys_by_tenant(new));
    for &(tenant, key) in old.difference(&new) {
        changes.push(Change::KeyRemoved { tenant: Arc::clone(tenant), key: Arc::clone(key) });
    }
    for &(tenant, key) in new.difference(&old) {
        changes.push(Change::KeyAdded { tenant: Arc::clone(tenant), key: Arc::clone(key) });
    }
}

/// Each key with the name of its tenant.
fn keys_by_tenant(tenants: &[Tenant]) -> BTreeSet<(&Arc<str>, &Arc<str>)> {
    tenants.iter().flat_map(|tenant| tenant.api_keys.iter().map(move |key| (&tenant.name, key))).collect()
}

fn compare_tenant(before: &Tenant, after: &Tenant, changes: &mut Vec<Change>) {
    let tenant = &after.name;
    if before.isolated != after.isolated {
        changes.push(Change::Isolation { tenant: Arc::clone(tenant), isolated: after.isolated });
    }
    if before.priority != after.priority {
        let (from, to) = (before.priority, after.priority);
        changes.push(Change::TenantPriority { tenant: Arc::clone(tenant), from, to });
    }
}

/// The elements of both sides, paired by key, in the order of the keys. Of several with one key on a side, the
/// first counts.
fn pairs<'a, T, K: Ord>(
    old: &'a [T],
    new: &'a [T],
    key: impl Fn(&'a T) -> K,
) -> impl Iterator<Item = (Option<&'a T>, Option<&'a T>)> {
    let mut pairs: BTreeMap<K, (Option<&T>, Option<&T>)> = BTreeMap::new();
    for element in old {
        pairs.entry(key(element)).or_default().0.get_or_insert(element);
    }
    for element in new {
        pairs.entry(key(element)).or_default().1.get_or_insert(element);
    }
    pairs.into_values()
}

impl ServiceNames {
    fn of(split: &[Target]) -> Self {
        let mut names: Vec<Arc<str>> = split.iter().map(|target| Arc::clone(&target.service)).collect();
        names.sort();
        Self(names)
    }
}

impl Display for ServiceNames {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0.join(", "))
    }
}

impl Display for RouteField {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Kind => "kind",
            Self::LatencyTarget => "target",
            Self::Priority => "priority",
            Self::MaxAttempts => "tries",
            Self::Public => "public",
            Self::Sticky => "sticky",
            Self::Resumable => "resumable",
            Self::EventGapTarget => "gap_aim",
        })
    }
}

impl Display for Change {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::RouteAdded { route } => write!(formatter, "route {route} added"),
            Self::RouteRemoved { route } => write!(formatter, "route {route} removed"),
            Self::RouteServicesChanged { route, from, to } => {
                write!(formatter, "route {route} moved from {from} to {to}")
            }
            Self::RouteWeightsChanged { route } => write!(formatter, "route {route} has other weights"),
            Self::RouteTimeout { route, from, to } => {
                write!(formatter, "route {route} has a time-out of {to:?} instead of {from:?}")
            }
            Self::RouteChanged { route, field } => write!(formatter, "route {route} has another {field}"),
            Self::ServiceAdded { service } => write!(formatter, "service {service} added"),
            Self::ServiceRemoved { service } => write!(formatter, "service {service} removed"),
            Self::ServiceChanged { service } => write!(formatter, "service {service} has other terms"),
            Self::KeyAdded { tenant, .. } => write!(formatter, "tenant {tenant} has one more key"),
            Self::KeyRemoved { tenant, .. } => write!(formatter, "tenant {tenant} has lost a key"),
            Self::Isolation { tenant, isolated: true } => {
                write!(formatter, "tenant {tenant} is isolated now")
            }
            Self::Isolation { tenant, isolated: false } => {
                write!(formatter, "tenant {tenant} is isolated no longer")
            }
            Self::TenantPriority { tenant, from, to } => {
                write!(formatter, "tenant {tenant} has the rank {to:?} instead of {from:?}")
            }
            Self::Limits { .. } => formatter.write_str("the limits are others"),
        }
    }
}
