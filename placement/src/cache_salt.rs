//! Cache salts (`Cache-Salt`): servers reuse a cached chunk only for requests with the same salt, so that chunks of another
//! model version or beyond an isolation boundary are never reused.

use std::collections::HashMap;
use std::sync::Arc;

use gradepaddle::cost::{hash, mix};

use crate::request::CacheIsolation;

/// Separates the hashes of isolated tenants from those of the shared sets: the bytes of `tenant::`.
const TENANT_DOMAIN: u64 = 0x7465_6e61_6e74_3a3a;
/// The maximum number of salts that are kept; when it is reached, all are dropped and are computed again.
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

/// The salts that were computed so far.
#[derive(Debug, Default)]
pub(crate) struct CacheSalts {
    known: HashMap<SaltKey, Arc<str>>,
}

impl CacheSalts {
    /// Returns the salt of a model version within an isolation boundary, which is the same at every node.
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

/// Returns a salt that no other request gets, so that nothing cached under it is ever reused.
pub(crate) fn single_use_salt(seed: u64, number: u64) -> Arc<str> {
    Arc::from(format!("u{:016x}-{number:x}", mix(seed)))
}
