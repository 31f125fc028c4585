//! The applied state: contents by kind, and the last write of each session, so that a retried write takes effect once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// How many sessions are remembered; the least recently used one is evicted first. Eviction depends on the log alone, so
/// it is the same in every process.
const MAX_SESSIONS: usize = 10_000;

/// One kind of content. The ledger treats the bodies of its writes as opaque.
pub trait Content {
    /// The number of the kind, which is the same in all versions.
    fn kind(&self) -> u16;
    /// Applies the body of a write. The result must depend on the content and the body alone. Returns false if nothing
    /// changes.
    ///
    /// # Errors
    ///
    /// The reason why the write is refused; nothing has changed then.
    fn apply(&mut self, body: &[u8]) -> Result<bool, String>;
    /// Serializes the content for a snapshot.
    fn save(&self) -> Vec<u8>;
    /// Replaces the content by what [`Content::save`] returned.
    ///
    /// # Errors
    ///
    /// What is wrong with the saved content.
    fn load(&mut self, saved: &[u8]) -> Result<(), String>;
}

/// A write, as stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Write {
    /// The session of the writer: a number that each process draws at random when it starts.
    pub session: u64,
    /// The number of the write in its session, counted from 1. Each write waits for the one before it.
    pub number: u64,
    /// The kind of content.
    pub kind: u16,
    /// The body, opaque to the ledger.
    pub body: Vec<u8>,
}

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It was applied and changed something.
    Changed,
    /// It was applied and changed nothing.
    Same,
    /// It was refused, for this reason.
    Refused(String),
}

/// Why a saved ledger can not be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LedgerError {
    /// The serialized state is invalid.
    #[error(
        "the saved book can not be read ({0}); empty this keeper's disk, so that it is caught up by the others"
    )]
    Unreadable(String),
    /// It contains a kind of content that this version does not know.
    #[error(
        "the saved book holds content of kind {0}, which this version does not know; start the newer version here"
    )]
    UnknownKind(u16),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct Session {
    number: u64,
    outcome: Outcome,
    used: u64,
}

#[derive(Serialize, Deserialize)]
struct Saved {
    index: u64,
    sessions: BTreeMap<u64, Session>,
    contents: Vec<(u16, Vec<u8>)>,
}

/// The applied state of the log up to an index.
pub struct Ledger {
    index: u64,
    sessions: BTreeMap<u64, Session>,
    contents: BTreeMap<u16, Box<dyn Content>>,
}

impl Ledger {
    /// Creates an empty ledger with these kinds of content.
    pub fn new(contents: Vec<Box<dyn Content>>) -> Self {
        let contents = contents.into_iter().map(|content| (content.kind(), content)).collect();
        Ledger { index: 0, sessions: BTreeMap::new(), contents }
    }

    /// The index up to which the log is applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Advances to the index of an entry that changes nothing in the ledger.
    pub(crate) fn advance_to(&mut self, index: u64) {
        self.index = self.index.max(index);
    }

    /// True if this kind of content is known.
    pub fn knows(&self, kind: u16) -> bool {
        self.contents.contains_key(&kind)
    }

    /// Applies the write at an index. Returns none if that index was applied before.
    pub fn apply(&mut self, index: u64, write: &Write) -> Option<Outcome> {
        if index <= self.index {
            return None;
        }
        self.index = index;
        if let Some(session) = self.sessions.get(&write.session)
            && session.number >= write.number
        {
            // A retry gets the first outcome. A write before the session's last was answered long ago.
            return Some(session.outcome.clone());
        }
        let outcome = match self.contents.get_mut(&write.kind) {
            None => Outcome::Refused(format!("no version in charge knows content of kind {}", write.kind)),
            Some(content) => match content.apply(&write.body) {
                Ok(true) => Outcome::Changed,
                Ok(false) => Outcome::Same,
                Err(reason) => Outcome::Refused(reason),
            },
        };
        let session = Session { number: write.number, outcome: outcome.clone(), used: index };
        self.sessions.insert(write.session, session);
        if self.sessions.len() > MAX_SESSIONS {
            let oldest = self.sessions.iter().min_by_key(|(_, session)| session.used).map(|(id, _)| *id);
            oldest.map(|id| self.sessions.remove(&id));
        }
        Some(outcome)
    }

    /// The outcome of a write, if it was applied and is its session's last.
    pub fn outcome(&self, session: u64, number: u64) -> Option<&Outcome> {
        self.sessions.get(&session).filter(|held| held.number == number).map(|held| &held.outcome)
    }

    /// Serializes the ledger for a snapshot.
    pub fn save(&self) -> Vec<u8> {
        let contents = self.contents.values().map(|content| (content.kind(), content.save())).collect();
        let saved = Saved { index: self.index, sessions: self.sessions.clone(), contents };
        // Cannot fail: only custom serializers return errors, and these types derive theirs.
        postcard::to_stdvec(&saved).unwrap_or_default()
    }

    /// Replaces the ledger by what [`Ledger::save`] returned.
    ///
    /// # Errors
    ///
    /// It is invalid or contains a kind that this version does not know. Contents loaded before the error stay changed.
    pub fn load(&mut self, saved: &[u8]) -> Result<(), LedgerError> {
        let saved: Saved = postcard::from_bytes(saved).map_err(|e| LedgerError::Unreadable(e.to_string()))?;
        if let Some((kind, _)) = saved.contents.iter().find(|(kind, _)| !self.knows(*kind)) {
            return Err(LedgerError::UnknownKind(*kind));
        }
        for (kind, text) in &saved.contents {
            if let Some(content) = self.contents.get_mut(kind) {
                content.load(text).map_err(LedgerError::Unreadable)?;
            }
        }
        (self.index, self.sessions) = (saved.index, saved.sessions);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
