//! Salts (`Cache-Salt`): texts under which servers cache chunks, so that chunks of another model version or beyond an
//! isolation boundary are never found.

use std::collections::HashMap;
use std::sync::Arc;

use gradepaddle::cost::{hash, mix};

use crate::request::CacheIsolation;

/// Keeps the hashes of isolated tenants apart from those of the shared sets.
const TENANT_DOMAIN: u64 = 0x7465_6e61_6e74_3a3a;
/// Salts that are remembered; all are forgotten, and made anew, when there are more.
const MAX_SALTS: usize = 4_096;

pub(crate) fn isolation_hash(isolation: &CacheIsolation) -> u64 {
    match isolation {
        CacheIsolation::Shared(set) => mix(*set),
        CacheIsolation::Tenant(name) => mix(hash(name) ^ TENANT_DOMAIN),
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SaltKey {
    model_hash: u64,
    version: u64,
    isolation_hash: u64,
}

/// The salts in use.
#[derive(Debug, Default)]
pub(crate) struct CacheSalts {
    known: HashMap<SaltKey, Arc<str>>,
}

impl CacheSalts {
    /// The salt of a model version within an isolation boundary: the same text at every node.
    pub(crate) fn salt(&mut self, model: &str, version: u64, isolation: &CacheIsolation) -> Arc<str> {
        let (model, isolation) = (hash(model), isolation_hash(isolation));
        if self.known.len() >= MAX_SALTS {
            self.known.clear();
        }
        let make = || Arc::from(format!("v{version}-{model:016x}-{isolation:016x}"));
        let key = SaltKey { model_hash: model, version, isolation_hash: isolation };
        self.known.entry(key).or_insert_with(make).clone()
    }
}

/// A salt that no other request gets: nothing that is cached under it is ever found again.
pub(crate) fn single_use_salt(seed: u64, number: u64) -> Arc<str> {
    Arc::from(format!("u{:016x}-{number:x}", mix(seed)))
}
