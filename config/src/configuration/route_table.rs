//! Looks up the route of a request by its host and the longest matching prefix of its path.
//!
//! For each host there is a hash map of its prefixes and a list of their distinct lengths. A lookup tries these lengths
//! from the longest, so its cost grows with the number of distinct lengths and not with the number of routes.

use super::route::Route;
use foldhash::{HashMap, HashMapExt};
use std::borrow::Cow;
use std::sync::Arc;

/// The routes by host and prefix.
#[derive(Clone, Debug)]
pub(super) struct RouteTable {
    hosts: HashMap<String, Prefixes>,
}

/// The routes of one host.
#[derive(Clone, Debug, Default)]
struct Prefixes {
    /// Index of the route of each prefix.
    routes: HashMap<Arc<str>, usize>,
    /// The distinct lengths of the prefixes in bytes, the longest first.
    lengths: Vec<usize>,
}

impl RouteTable {
    pub fn new(routes: &[Route]) -> Self {
        let mut hosts = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let prefixes: &mut Prefixes = hosts.entry(host_key(&route.host).into_owned()).or_default();
            prefixes.insert(&route.path_prefix, index);
        }
        Self { hosts }
    }

    /// Index of the route of this host with the longest prefix that matches the path.
    pub fn find(&self, host: &str, path: &str) -> Option<usize> {
        self.hosts.get(host_key(host).as_ref())?.find(path)
    }
}

impl Prefixes {
    fn insert(&mut self, prefix: &Arc<str>, index: usize) {
        self.routes.insert(Arc::clone(prefix), index);
        if let Err(position) = self.lengths.binary_search_by(|length| prefix.len().cmp(length)) {
            self.lengths.insert(position, prefix.len());
        }
    }

    fn find(&self, path: &str) -> Option<usize> {
        let first = self.lengths.partition_point(|&length| length > path.len());
        let candidates = self.lengths[first..].iter().filter_map(|&length| path.get(..length));
        candidates.filter_map(|prefix| self.routes.get(prefix)).next().copied()
    }
}

/// Normalizes a host for comparison: in lower case and without a port.
pub(crate) fn host_key(host: &str) -> Cow<'_, str> {
    let name = without_port(host);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Cow::Owned(name.to_ascii_lowercase())
    } else {
        Cow::Borrowed(name)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
