//! The accepted configurations, so that an order that is sent again is known.

use std::collections::VecDeque;

use crate::Fingerprint;

/// How many accepted configurations are remembered.
///
/// A day holds hundreds of changes; this is one every ten seconds for a whole day, in about 200 KB encoded.
pub const ACCEPTED_HISTORY_ENTRIES: usize = 8_192;

/// About what one of them takes when it is encoded, in bytes.
pub const ACCEPTED_HISTORY_BYTES: usize = 24;

/// A configuration that has been put in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptedConfiguration {
    /// Its version.
    pub version: u64,
    /// The fingerprint of its bytes.
    pub fingerprint: Fingerprint,
}

/// What is known of an order that may have been taken before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryLookup {
    /// It was taken.
    Accepted,
    /// It was never taken.
    NotAccepted,
    /// Its version is so old that nothing is known of it any more.
    Truncated,
}

/// The latest accepted configurations, in the order of their versions, which only ever rise.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AcceptedHistory {
    latest: VecDeque<AcceptedConfiguration>,
    truncated_through: u64,
}

impl AcceptedHistory {
    /// A history of these configurations, the oldest first, with all up to a version forgotten (0 for none).
    pub fn new(latest: Vec<AcceptedConfiguration>, truncated_through: u64) -> AcceptedHistory {
        AcceptedHistory { latest: latest.into(), truncated_through }
    }

    /// The remembered configurations, the oldest first.
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &AcceptedConfiguration> {
        self.latest.iter()
    }

    /// The version up to which accepted configurations may have been forgotten, 0 if none was.
    pub fn truncated_through(&self) -> u64 {
        self.truncated_through
    }

    /// How many configurations are remembered.
    pub fn len(&self) -> usize {
        self.latest.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// What is known of a configuration.
    pub fn lookup(&self, version: u64, fingerprint: Fingerprint) -> HistoryLookup {
        let found = self.latest.binary_search_by_key(&version, |accepted| accepted.version);
        match found {
            Ok(index) if self.latest[index].fingerprint == fingerprint => HistoryLookup::Accepted,
            Ok(_) => HistoryLookup::NotAccepted,
            Err(_) if version <= self.truncated_through => HistoryLookup::Truncated,
            Err(_) => HistoryLookup::NotAccepted,
        }
    }

    /// Adds a configuration whose version is above all others, and forgets the oldest beyond [`ACCEPTED_HISTORY_ENTRIES`].
    pub(crate) fn push(&mut self, accepted: AcceptedConfiguration) {
        self.latest.push_back(accepted);
        if self.latest.len() > ACCEPTED_HISTORY_ENTRIES
            && let Some(oldest) = self.latest.pop_front()
        {
            self.truncated_through = oldest.version;
        }
    }
}
