//! One store of kept parts as this node knows it.

use crate::api::*;
use crate::saves::SaveTracker;

/// A store is a source for this long after it was heard.
pub(crate) const HEARD: Micros = 3_000_000;
/// A store that failed is left out for this long.
const STORE_FAILED: Micros = 2_000_000;

/// A store of kept parts.
#[derive(Debug)]
pub(crate) struct CacheStore {
    pub(crate) spec: CacheStoreService,
    pub(crate) zone: u16,
    pub(crate) heard: Option<Micros>,
    failed_until: Micros,
    pub(crate) moving_until: Micros,
    pub(crate) saves: SaveTracker,
}

impl CacheStore {
    pub(crate) fn new(spec: CacheStoreService, zone: u16) -> CacheStore {
        CacheStore {
            spec,
            zone,
            heard: None,
            failed_until: 0,
            moving_until: 0,
            saves: SaveTracker::default(),
        }
    }

    pub(crate) fn usable(&self, now: Micros) -> bool {
        now >= self.failed_until && self.heard.is_some_and(|at| now < at + HEARD)
    }

    pub(crate) fn fail(&mut self, now: Micros) {
        self.failed_until = now + STORE_FAILED;
    }
}
