//! Whether the API keys of the configuration in force may still be relied on.
//!
//! While this node is partitioned from the control plane, a key may be revoked without its knowledge. The control plane
//! therefore sets a deadline, the staleness bound, after which every request that needs a key is rejected.

use std::cell::Cell;
use std::time::Duration;

use gradepaddle_placement::Micros;
use tokio::sync::watch;
use tokio::time::timeout;

/// Evidence from the control plane that the keys of a configuration are valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyValidity {
    /// The version of the configuration that the evidence is for; it holds for later ones too.
    pub version: u64,
    /// Deadline, in microseconds of [`DataPlane::now`](crate::DataPlane::now); 0 if there is no evidence yet.
    pub valid_until: Micros,
}

/// Tracks the latest evidence. A data plane without a control plane has none and needs none.
#[derive(Default)]
pub(crate) struct KeyValidityTracker {
    latest: Cell<Option<KeyValidity>>,
    /// Notified of each new evidence.
    changed: watch::Sender<()>,
    /// The state that was logged last.
    logged_expired: Cell<bool>,
}

impl KeyValidityTracker {
    /// Replaces the evidence.
    pub fn set(&self, validity: KeyValidity) {
        self.latest.set(Some(validity));
        self.changed.send_replace(());
    }

    /// True if it is unknown whether keys are still valid. `version` is that of the configuration in force.
    pub fn has_expired(&self, now: Micros, version: Option<u64>) -> bool {
        let Some(validity) = self.latest.get() else { return false };
        // A later configuration, which this build could not read, may be in force at all other nodes.
        let outdated = version.is_some_and(|version| version < validity.version);
        outdated || now >= validity.valid_until
    }

    /// Records whether keys have expired. Returns true if that has changed since the last call.
    pub fn note_expired(&self, expired: bool) -> bool {
        self.logged_expired.replace(expired) != expired
    }

    /// Waits for the first evidence, which arrives soon after the configuration, at most for `limit`. Cancellation safe.
    pub async fn wait_for_first(&self, limit: Duration) {
        let mut changes = self.changed.subscribe();
        let first_evidence = async {
            while self.latest.get().is_some_and(|validity| validity.valid_until == 0) {
                // An error would mean that the sender is gone; it lives as long as `self`.
                drop(changes.changed().await);
            }
        };
        // After a time-out the caller finds that the keys have expired.
        let _ = timeout(limit, first_evidence).await;
    }
}
