//! The applied state: contents by kind, and who has written what, so that a write that is tried again takes effect once.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// So many sessions are remembered; the one unused for longest is forgotten first. The same at every process, as it
/// follows from the log alone.
const SESSIONS: usize = 10_000;

/// One kind of content. The ledger does not look into what it carries.
pub trait Content {
    /// The number of the kind, the same in all versions.
    fn kind(&self) -> u16;
    /// Takes in the body of a write. Must follow from the content and the body alone. False if it changes nothing.
    ///
    /// # Errors
    ///
    /// Why it is turned down; nothing has changed then.
    fn apply(&mut self, body: &[u8]) -> Result<bool, String>;
    /// All of it, for a snapshot.
    fn save(&self) -> Vec<u8>;
    /// Becomes what [`Content::save`] gave.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn load(&mut self, saved: &[u8]) -> Result<(), String>;
}

/// A write, as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Write {
    /// Who writes: drawn by each process at its start.
    pub session: u64,
    /// Which of its writes, counted from 1; each waits for the one before.
    pub number: u64,
    /// The kind of content.
    pub kind: u16,
    /// What is written.
    pub body: Vec<u8>,
}

/// What came of a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// It holds, and changed something.
    Changed,
    /// It holds, as it did before.
    Same,
    /// It was turned down, for this reason.
    Refused(String),
}

/// Why a saved ledger can not be used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum LedgerError {
    /// It can not be read.
    #[error(
        "the saved book can not be read ({0}); empty this keeper's disk, so that it is caught up by the others"
    )]
    Unreadable(String),
    /// It holds a kind of content that is not known here.
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
    /// An empty one, with these kinds of content.
    pub fn new(contents: Vec<Box<dyn Content>>) -> Self {
        let contents = contents.into_iter().map(|content| (content.kind(), content)).collect();
        Ledger { index: 0, sessions: BTreeMap::new(), contents }
    }

    /// Up to where the log is applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Goes on to an index that changes nothing here.
    pub(crate) fn pass(&mut self, index: u64) {
        self.index = self.index.max(index);
    }

    /// Is this kind known here?
    pub fn knows(&self, kind: u16) -> bool {
        self.contents.contains_key(&kind)
    }

    /// Takes in the write at an index. One that was applied already is passed over: none is given back then.
    pub fn apply(&mut self, index: u64, write: &Write) -> Option<Outcome> {
        if index <= self.index {
            return None;
        }
        self.index = index;
        if let Some(session) = self.sessions.get(&write.session)
            && session.number >= write.number
        {
            // Tried again: what came of it the first time. An older one was answered long ago.
            return Some(session.outcome.clone());
        }
        let outcome = match self.contents.get_mut(&write.kind) {
            None => Outcome::Refused(format!("no version in charge knows content of kind {}", write.kind)),
            Some(content) => match content.apply(&write.body) {
                Ok(true) => Outcome::Changed,
                Ok(false) => Outcome::Same,
                Err(why) => Outcome::Refused(why),
            },
        };
        let session = Session { number: write.number, outcome: outcome.clone(), used: index };
        self.sessions.insert(write.session, session);
        if self.sessions.len() > SESSIONS {
            let oldest = self.sessions.iter().min_by_key(|(_, session)| session.used).map(|(id, _)| *id);
            oldest.map(|id| self.sessions.remove(&id));
        }
        Some(outcome)
    }

    /// What came of a write, if it was applied.
    pub fn outcome(&self, session: u64, number: u64) -> Option<&Outcome> {
        self.sessions.get(&session).filter(|held| held.number == number).map(|held| &held.outcome)
    }

    /// All of it.
    pub fn save(&self) -> Vec<u8> {
        let contents = self.contents.values().map(|content| (content.kind(), content.save())).collect();
        let saved = Saved { index: self.index, sessions: self.sessions.clone(), contents };
        // Only a value that refuses to be serialized could fail, and these are plain.
        postcard::to_stdvec(&saved).unwrap_or_default()
    }

    /// Becomes what [`Ledger::save`] gave.
    ///
    /// # Errors
    ///
    /// It is not read, or holds what this version does not know; nothing has changed then but contents that were read.
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
