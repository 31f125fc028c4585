//! The replicated state, and how a change to it is checked and applied.

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

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ControlState {
    /// The configuration in force, if there has been one.
    pub configuration: Option<StoredConfiguration>,
    /// The latest accepted configurations.
    pub accepted: AcceptedHistory,
    /// The newest named version of the weights of each model.
    pub models: BTreeMap<String, u64>,
}

/// A proposed change. The caller has validated its content.
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
    /// Name a new version of a model's weights.
    NameVersion {
        /// The model.
        model: String,
        /// The version.
        version: u64,
    },
}

/// The result of checking a change against the committed state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeCheck {
    /// It was committed before.
    AlreadyApplied,
    /// Another version is current.
    Conflict {
        /// The version in force.
        current: u64,
    },
    /// Its version isn't higher than the current one.
    VersionNotHigher {
        /// The version in force.
        current: u64,
    },
    /// It is older than the history, so it may have been committed or not.
    HistoryTruncated,
    /// It builds on a version that isn't committed yet. Another copy of it could still be committed later, so its
    /// outcome is unknown.
    BaseNotCommitted,
    /// It has to be replicated.
    Proceed,
}

impl ChangeCheck {
    /// The outcome of a change that isn't replicated; `None` for one that is.
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

    /// Checks a change against this state.
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

    /// Checks a configuration that builds on the version `if_match`.
    pub fn check_configuration(&self, if_match: u64, version: u64, fingerprint: Fingerprint) -> ChangeCheck {
        let current = self.current_version();
        // A change whose version isn't higher than its own base was never accepted, however old it is.
        let acceptable = version > if_match;
        match self.accepted.lookup(version, fingerprint) {
            HistoryLookup::Accepted => ChangeCheck::AlreadyApplied,
            HistoryLookup::Truncated if acceptable => ChangeCheck::HistoryTruncated,
            _ if if_match > current && acceptable => ChangeCheck::BaseNotCommitted,
            _ if if_match != current => ChangeCheck::Conflict { current },
            _ if version <= current => ChangeCheck::VersionNotHigher { current },
            _ => ChangeCheck::Proceed,
        }
    }

    /// The state after a change whose check was [`ChangeCheck::Proceed`].
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
