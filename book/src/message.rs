//! Raft messages between keepers, in types of this crate: the library's protobuf decoder never reads input from the
//! network.

use protobuf::ProtobufEnum;
use raft::eraftpb;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::KeeperId;
use crate::log::{Entry, Snapshot};

/// A Raft message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Message {
    /// The library's number of the message type.
    pub kind: i32,
    /// The recipient.
    pub to: KeeperId,
    /// The sender.
    pub from: KeeperId,
    /// The sender's term.
    pub term: u64,
    /// The term of the entry before `entries`, or of the sender's last entry.
    pub log_term: u64,
    /// The index of that entry.
    pub index: u64,
    /// Entries to append.
    pub entries: Vec<Entry>,
    /// The sender's commit index.
    pub commit: u64,
    /// The term of the entry there.
    pub commit_term: u64,
    /// A snapshot in place of entries that the sender has compacted.
    pub snapshot: Option<Snapshot>,
    /// The index from which a snapshot is asked for.
    pub request_snapshot: u64,
    /// True if the request was rejected.
    pub reject: bool,
    /// In a rejection, the last index of the sender's log.
    pub reject_hint: u64,
    /// Opaque context of the library.
    pub context: Vec<u8>,
    /// The sender's election priority.
    pub priority: i64,
}

/// Why a message is not accepted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// This version does not know the message type.
    #[error(
        "a message of kind {0}, which this version does not know; finish the roll-out, one keeper at a time"
    )]
    UnknownKind(i32),
    /// It is addressed to another keeper.
    #[error("a message for keeper {0:x}; a disk was emptied or exchanged, and the sender will learn of it")]
    ForAnother(KeeperId),
    /// Another keeper knows of more acknowledged log than this keeper's disk holds: the disk is an old copy.
    #[error(
        "this keeper's disk holds the log up to {here}, but others had its word up to {known}; it is an old copy and has to be emptied"
    )]
    OldDisk {
        /// The last index of its log.
        here: u64,
        /// The commit index in the message, which this keeper must once have acknowledged.
        known: u64,
    },
    /// The Raft library rejected it.
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
    pub(crate) fn to_raft_message(&self) -> Result<eraftpb::Message, MessageError> {
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
