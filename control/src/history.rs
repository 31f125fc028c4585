//! The bounded history of accepted configurations, by which a change that is sent again is recognised.

use std::collections::VecDeque;

use crate::Fingerprint;

/// How many accepted configurations the history holds.
///
/// Operators make hundreds of changes a day; this is enough for one every ten seconds for a whole day, and takes about
/// 200 KB encoded.
pub const ACCEPTED_HISTORY_ENTRIES: usize = 8_192;

/// Approximate encoded size of one entry in bytes.
pub const ACCEPTED_HISTORY_BYTES: usize = 24;

/// A configuration that was committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptedConfiguration {
    /// Its version.
    pub version: u64,
    /// The fingerprint of its bytes.
    pub fingerprint: Fingerprint,
}

/// Result of a lookup in the history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryLookup {
    /// It was accepted.
    Accepted,
    /// It was never accepted.
    NotAccepted,
    /// Its version is older than the history, so it may have been accepted or not.
    Truncated,
}

/// The latest accepted configurations in ascending order of their versions.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AcceptedHistory {
    latest: VecDeque<AcceptedConfiguration>,
    truncated_through: u64,
}

impl AcceptedHistory {
    /// A history of these configurations, the oldest first, truncated through a version (0 for none).
    pub fn new(latest: Vec<AcceptedConfiguration>, truncated_through: u64) -> AcceptedHistory {
        AcceptedHistory { latest: latest.into(), truncated_through }
    }

    /// The entries, the oldest first.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &AcceptedConfiguration> {
        self.latest.iter()
    }

    /// The version through which the history is truncated, 0 if it is complete.
    pub fn truncated_through(&self) -> u64 {
        self.truncated_through
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// Looks up a configuration by version and fingerprint.
    pub fn lookup(&self, version: u64, fingerprint: Fingerprint) -> HistoryLookup {
        let found = self.latest.binary_search_by_key(&version, |accepted| accepted.version);
        match found {
            Ok(index) if self.latest[index].fingerprint == fingerprint => HistoryLookup::Accepted,
            Ok(_) => HistoryLookup::NotAccepted,
            Err(_) if version <= self.truncated_through => HistoryLookup::Truncated,
            Err(_) => HistoryLookup::NotAccepted,
        }
    }

    /// Appends a configuration whose version is higher than all others; drops the oldest beyond
    /// [`ACCEPTED_HISTORY_ENTRIES`].
    pub(crate) fn push(&mut self, accepted: AcceptedConfiguration) {
        self.latest.push_back(accepted);
        if self.latest.len() > ACCEPTED_HISTORY_ENTRIES
            && let Some(oldest) = self.latest.pop_front()
        {
            self.truncated_through = oldest.version;
        }
    }
}
