//! Computes what changes for requests from one configuration to another.
//!
//! Routes are matched by host and prefix, services and tenants by name.

mod change;

pub use change::{Change, RouteField, ServiceNames};

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::configuration::{Configuration, Route, Service, Target, Tenant, host_key};

/// The changes for requests: first routes by host and prefix, then services, keys and tenants by name, then limits.
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
        pair_by_key(&old.routes, &new.routes, |route| (host_key(&route.host), &*route.path_prefix))
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
    } else if shares(&before.split) != shares(&after.split) {
        changes.push(Change::RouteWeightsChanged { route: Arc::clone(route) });
    }
    if before.timeout != after.timeout {
        changes.push(Change::RouteTimeout {
            route: Arc::clone(route),
            from: before.timeout,
            to: after.timeout,
        });
    }
    let changed = changed_fields(before, after);
    changes.extend(changed.map(|field| Change::RouteChanged { route: Arc::clone(route), field }));
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
    fields.into_iter().filter(|(_, changed)| *changed).map(|(field, _)| field)
}

/// The share of each service in a split, between 0 and 1.
fn shares(split: &[Target]) -> BTreeMap<&str, f64> {
    let sum: f64 = split.iter().map(|target| target.weight).sum();
    split.iter().map(|target| (&*target.service, target.weight / sum)).collect()
}

fn compare_services(old: &Configuration, new: &Configuration, changes: &mut Vec<Change>) {
    for (before, after) in pair_by_key(&old.services, &new.services, |service| &*service.name) {
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

/// Compares the tenants. An absent tenant is equivalent to one without keys, priority and isolation.
fn compare_tenants(old: &Configuration, new: &Configuration, changes: &mut Vec<Change>) {
    compare_keys(&old.tenants, &new.tenants, changes);
    for (before, after) in pair_by_key(&old.tenants, &new.tenants, |tenant| &*tenant.name) {
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

/// Pairs the elements of both lists by key, in the order of the keys. Of several elements of a list with the same key, only
/// the first is used.
fn pair_by_key<'a, T, K: Ord>(
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
