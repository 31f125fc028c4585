//! What keepers say to each other, in types of our own: the library's own coding never reads what came from elsewhere.

use protobuf::ProtobufEnum;
use raft::eraftpb;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::KeeperId;
use crate::log::{Entry, Snapshot};

/// A message of the consensus.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The library's number of what it is.
    pub kind: i32,
    /// For whom.
    pub to: KeeperId,
    /// By whom.
    pub from: KeeperId,
    /// The sender's term.
    pub term: u64,
    /// The term of the entry before `entries`, or of the sender's last.
    pub log_term: u64,
    /// The place of that entry.
    pub index: u64,
    /// Entries to be appended.
    pub entries: Vec<Entry>,
    /// Up to where the sender knows the log to be committed.
    pub commit: u64,
    /// The term of the entry there.
    pub commit_term: u64,
    /// In place of entries that the sender no longer has.
    pub snapshot: Option<Snapshot>,
    /// The index from which a snapshot is asked for.
    pub request_snapshot: u64,
    /// It is a refusal.
    pub reject: bool,
    /// Where the sender's log ends, with a refusal.
    pub reject_hint: u64,
    /// Carried along.
    pub context: Vec<u8>,
    /// The sender's priority at an election.
    pub priority: i64,
}

/// Why a message is not taken.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// It is none that this version knows.
    #[error(
        "a message of kind {0}, which this version does not know; finish the roll-out, one keeper at a time"
    )]
    UnknownKind(i32),
    /// It is meant for another keeper.
    #[error("a message for keeper {0:x}; a disk was emptied or exchanged, and the sender will learn of it")]
    ForAnother(KeeperId),
    /// The others remember more of this keeper's log than its disk holds.
    #[error(
        "this keeper's disk holds the log up to {here}, but others had its word up to {known}; it is an old copy and has to be emptied"
    )]
    OldDisk {
        /// Where its log ends.
        here: u64,
        /// What it has told once.
        known: u64,
    },
    /// The library turns it down.
    #[error("the consensus turned a message down ({0}); nothing has to be done unless it goes on")]
    TurnedDown(String),
}

impl From<&eraftpb::Message> for Message {
    fn from(message: &eraftpb::Message) -> Self {
        Message {
            kind: message.msg_type.value(),
            to: message.to,
            from: message.from,
            term: message.term,
            log_term: message.log_term,
            index: message.index,
            entries: message.entries.iter().map(Into::into).collect(),
            commit: message.commit,
            commit_term: message.commit_term,
            snapshot: message.snapshot.as_ref().map(Into::into),
            request_snapshot: message.request_snapshot,
            reject: message.reject,
            reject_hint: message.reject_hint,
            context: message.context.to_vec(),
            priority: message.priority,
        }
    }
}

impl Message {
    pub(crate) fn of_library(&self) -> Result<eraftpb::Message, MessageError> {
        let mut out = eraftpb::Message {
            msg_type: eraftpb::MessageType::from_i32(self.kind)
                .ok_or(MessageError::UnknownKind(self.kind))?,
            to: self.to,
            from: self.from,
            term: self.term,
            log_term: self.log_term,
            index: self.index,
            commit: self.commit,
            commit_term: self.commit_term,
            request_snapshot: self.request_snapshot,
            reject: self.reject,
            reject_hint: self.reject_hint,
            context: self.context.clone().into(),
            priority: self.priority,
            ..Default::default()
        };
        out.entries = self.entries.iter().map(Into::into).collect::<Vec<_>>().into();
        if let Some(snapshot) = &self.snapshot {
            out.set_snapshot(snapshot.into());
        }
        Ok(out)
    }
}
