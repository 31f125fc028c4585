//! The state that is replicated, and how a change to it is judged and applied.

use std::{collections::BTreeMap, sync::Arc};

use crate::Outcome;
use crate::history::{AcceptedConfiguration, AcceptedHistory, HistoryLookup};

/// Identifies the bytes of a configuration.
pub type Fingerprint = u128;

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredConfiguration {
    /// Its version.
    pub version: u64,
    /// Its bytes as the operator sent them.
    pub body: Arc<[u8]>,
    /// The fingerprint of the bytes.
    pub fingerprint: Fingerprint,
}

/// What the replicas keep.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlState {
    /// The configuration in force, if there has been one.
    pub configuration: Option<StoredConfiguration>,
    /// The latest accepted configurations.
    pub accepted: AcceptedHistory,
    /// The newest named version of the weights of each model.
    pub models: BTreeMap<String, u64>,
}

/// A change that is asked for. Its validity has been checked by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Put a configuration in force.
    PutConfiguration {
        /// The version on which it builds, 0 for the first.
        if_match: u64,
        /// Its own version.
        version: u64,
        /// Its bytes.
        body: Arc<[u8]>,
        /// The fingerprint of the bytes.
        fingerprint: Fingerprint,
    },
    /// Name a version of a model's weights.
    NameVersion {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
}

/// What is to be done with a change when its turn comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeCheck {
    /// It is in force already, or was.
    AlreadyApplied,
    /// Another version is current.
    Conflict {
        /// The version in force.
        current: u64,
    },
    /// Its version isn't above the current one.
    VersionNotHigher {
        /// The version in force.
        current: u64,
    },
    /// It is so old that it may have been taken or not.
    HistoryTruncated,
    /// It builds on a version that isn't in force yet: refused now, another copy of it could still be taken later.
    BaseNotCommitted,
    /// It is to be replicated.
    Proceed,
}

impl ChangeCheck {
    /// What becomes of a change that is not to be replicated; `None` for one that is.
    pub fn outcome(self) -> Option<Outcome> {
        match self {
            ChangeCheck::AlreadyApplied => Some(Outcome::Committed),
            ChangeCheck::Conflict { current } => Some(Outcome::Conflict { current }),
            ChangeCheck::VersionNotHigher { current } => Some(Outcome::VersionNotHigher { current }),
            ChangeCheck::HistoryTruncated | ChangeCheck::BaseNotCommitted => Some(Outcome::Unknown),
            ChangeCheck::Proceed => None,
        }
    }
}

impl ControlState {
    /// The version of the configuration in force, 0 if there is none.
    pub fn current_version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |configuration| configuration.version)
    }

    /// Judges a change against this state.
    pub(crate) fn check(&self, change: &Change) -> ChangeCheck {
        match change {
            Change::PutConfiguration { if_match, version, fingerprint, .. } => {
                self.check_configuration(*if_match, *version, *fingerprint)
            }
            Change::NameVersion { model, version } => match self.models.get(model) {
                Some(known) if known >= version => ChangeCheck::AlreadyApplied,
                _ => ChangeCheck::Proceed,
            },
        }
    }

    /// Judges a configuration that builds on the version `if_match`.
    pub fn check_configuration(&self, if_match: u64, version: u64, fingerprint: Fingerprint) -> ChangeCheck {
        let current = self.current_version();
        // One that isn't above its own base has never been taken, however old it is.
        let takeable = version > if_match;
        match self.accepted.lookup(version, fingerprint) {
            HistoryLookup::Accepted => ChangeCheck::AlreadyApplied,
            HistoryLookup::Truncated if takeable => ChangeCheck::HistoryTruncated,
            _ if if_match > current && takeable => ChangeCheck::BaseNotCommitted,
            _ if if_match != current => ChangeCheck::Conflict { current },
            _ if version <= current => ChangeCheck::VersionNotHigher { current },
            _ => ChangeCheck::Proceed,
        }
    }

    /// The state after a change that was judged to proceed.
    pub fn after(&self, change: &Change) -> ControlState {
        let mut next = self.clone();
        match change {
            Change::PutConfiguration { version, body, fingerprint, .. } => {
                next.configuration = Some(StoredConfiguration {
                    version: *version,
                    body: Arc::clone(body),
                    fingerprint: *fingerprint,
                });
                next.accepted.push(AcceptedConfiguration { version: *version, fingerprint: *fingerprint });
            }
            Change::NameVersion { model, version } => {
                next.models.insert(model.clone(), *version);
            }
        }
        next
    }
}
