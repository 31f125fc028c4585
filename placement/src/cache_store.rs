//! One cache store as this node knows it.

use crate::endpoint::CacheStoreService;
use crate::save_tracker::SaveTracker;
use crate::time::Micros;

/// A store is used for this long after its last answer to a call for its events.
const CONTACT_TIMEOUT: Micros = 3_000_000;
/// A store that failed is not used for this long.
const FAILURE_BACKOFF: Micros = 2_000_000;

/// A cache store.
#[derive(Debug)]
pub(crate) struct CacheStore {
    pub(crate) spec: CacheStoreService,
    pub(crate) zone: u16,
    pub(crate) last_contact: Option<Micros>,
    failed_until: Micros,
    /// When its link is expected to have completed the transfers that this node started.
    pub(crate) link_busy_until: Micros,
    pub(crate) saves: SaveTracker,
}

impl CacheStore {
    pub(crate) fn new(spec: CacheStoreService, zone: u16) -> CacheStore {
        CacheStore {
            spec,
            zone,
            last_contact: None,
            failed_until: 0,
            link_busy_until: 0,
            saves: SaveTracker::default(),
        }
    }

    pub(crate) fn is_usable(&self, now: Micros) -> bool {
        now >= self.failed_until && self.last_contact.is_some_and(|at| now < at + CONTACT_TIMEOUT)
    }

    pub(crate) fn record_failure(&mut self, now: Micros) {
        self.failed_until = now + FAILURE_BACKOFF;
    }
}
