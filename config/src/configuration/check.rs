//! Validates a deserialized body.

use super::body::{Body, RouteBody, ServiceBody};
use super::object::Object;
use super::route_table::host_key;
use crate::finding::{Finding, Problem};
use foldhash::{HashMap, HashMapExt};
use std::collections::hash_map::Entry;

type ServicesByName<'a> = HashMap<&'a str, &'a ServiceBody>;

/// Returns all violations of the rules of a valid configuration.
pub(super) fn check(body: &Body) -> Vec<Finding> {
    let mut findings = Vec::new();
    check_routes(body, &mut findings);
    check_duplicate_routes(body, &mut findings);
    check_duplicate_keys(body, &mut findings);
    findings
}

fn check_routes(body: &Body, findings: &mut Vec<Finding>) {
    let mut services = ServicesByName::new();
    for Object(service) in &body.backends {
        services.entry(&service.name).or_insert(service);
    }
    for (index, Object(route)) in body.routes.iter().enumerate() {
        check_targets(index, route, &services, findings);
        check_timeout(index, route, findings);
    }
}

fn check_targets(
    index: usize,
    route: &RouteBody,
    services: &ServicesByName<'_>,
    findings: &mut Vec<Finding>,
) {
    let targets = route.targets();
    for (name, _, path) in &targets {
        let service = (*name).to_owned();
        let problem = match services.get(name) {
            None => Problem::UnknownService { service },
            Some(known) if known.cache_store.is_some() => Problem::StoreInRoute { service },
            Some(_) => continue,
        };
        findings.push(Finding::new(format!("routes[{index}].{path}"), problem));
    }
    if targets.is_empty() && route.traffic_split.is_none() {
        findings.push(Finding::new(format!("routes[{index}].backend"), Problem::Missing));
    } else if targets.iter().all(|(_, weight, _)| *weight == 0.0) {
        findings.push(Finding::new(format!("routes[{index}].trafficSplit"), Problem::ZeroWeight));
    }
}

fn check_timeout(index: usize, route: &RouteBody, findings: &mut Vec<Finding>) {
    if route.timeout_ms.0.is_zero() {
        findings.push(Finding::new(format!("routes[{index}].timeoutMs"), Problem::ZeroTimeout));
    }
}

fn check_duplicate_routes(body: &Body, findings: &mut Vec<Finding>) {
    let mut first_index = HashMap::new();
    for (index, Object(route)) in body.routes.iter().enumerate() {
        match first_index.entry((host_key(&route.host), route.path_prefix.as_str())) {
            Entry::Vacant(entry) => _ = entry.insert(index),
            Entry::Occupied(entry) => {
                let problem = Problem::DuplicateRoute { first: *entry.get() };
                findings.push(Finding::new(format!("routes[{index}]"), problem));
            }
        }
    }
}

fn check_duplicate_keys(body: &Body, findings: &mut Vec<Finding>) {
    let mut first_tenants = HashMap::new();
    for (index, tenant) in body.tenants().enumerate() {
        for (position, key) in tenant.api_keys.iter().flatten().enumerate() {
            let (first, first_tenant) =
                *first_tenants.entry(key.as_str()).or_insert((index, tenant.name.as_str()));
            if first != index {
                let problem = Problem::DuplicateKey { first, tenant: first_tenant.to_owned() };
                findings.push(Finding::new(format!("customers[{index}].apiKeys[{position}]"), problem));
            }
        }
    }
}
