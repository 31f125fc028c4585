//! The log as the consensus library reads it: what is kept or about to be, in memory. What of it is on the disk is told
//! to the library separately.

use std::cell::RefCell;
use std::rc::Rc;

use protobuf::{Message as _, ProtobufEnum};
use raft::eraftpb;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};

use crate::KeeperId;
use crate::store::Batch;

/// One entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The library's number of what it is: 0 a write, 2 a change of members.
    pub kind: i32,
    /// The term of the leader that made it.
    pub term: u64,
    /// Its place, from 1.
    pub index: u64,
    /// What it carries.
    pub data: Vec<u8>,
    /// What comes with a change of members.
    pub context: Vec<u8>,
}

/// What a keeper must not forget beside the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that it knows.
    pub term: u64,
    /// Whom it has voted for in it; 0 for nobody.
    pub vote: KeeperId,
    /// Up to where it knows the log to be committed.
    pub commit: u64,
}

/// Who takes part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Those that count.
    pub voters: Vec<KeeperId>,
    /// Those that are caught up first.
    pub learners: Vec<KeeperId>,
    /// Amid a change: those that counted before it.
    pub outgoing: Vec<KeeperId>,
    /// Amid a change: those that become learners behind it.
    pub learners_next: Vec<KeeperId>,
    /// The change ends by itself.
    pub auto_leave: bool,
}

/// The applied state at an index, in place of the log up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Up to here.
    pub index: u64,
    /// The term of the entry there.
    pub term: u64,
    /// Who takes part at that index.
    pub members: Membership,
    /// The ledger and the names of its keepers.
    pub state: Vec<u8>,
}

/// All that a disk holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// Whose disk it is.
    pub id: KeeperId,
    /// Its promises.
    pub hard: HardState,
    /// Where the log begins.
    pub snapshot: Snapshot,
    /// The log behind that, without a gap.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Takes in a batch, as a disk does.
    pub fn apply(&mut self, batch: &Batch) {
        if let Some(snapshot) = &batch.snapshot {
            self.entries.retain(|entry| batch.first.is_some() && entry.index > snapshot.index);
            self.snapshot = snapshot.clone();
        }
        if let Some(first) = batch.entries.first() {
            self.entries.retain(|entry| entry.index < first.index);
            self.entries.extend_from_slice(&batch.entries);
        }
        if let Some(hard) = &batch.hard {
            self.hard = hard.clone();
        }
    }

    /// Nothing was ever kept: it is no member of any book.
    pub fn is_empty(&self) -> bool {
        self.snapshot.index == 0 && self.entries.is_empty() && self.hard.term == 0
    }
}

impl From<&eraftpb::Entry> for Entry {
    fn from(entry: &eraftpb::Entry) -> Self {
        Entry {
            kind: entry.entry_type.value(),
            term: entry.term,
            index: entry.index,
            data: entry.data.to_vec(),
            context: entry.context.to_vec(),
        }
    }
}

impl From<&Entry> for eraftpb::Entry {
    fn from(entry: &Entry) -> Self {
        eraftpb::Entry {
            entry_type: eraftpb::EntryType::from_i32(entry.kind).unwrap_or_default(),
            term: entry.term,
            index: entry.index,
            data: entry.data.clone().into(),
            context: entry.context.clone().into(),
            ..Default::default()
        }
    }
}

impl From<&eraftpb::HardState> for HardState {
    fn from(hard: &eraftpb::HardState) -> Self {
        HardState { term: hard.term, vote: hard.vote, commit: hard.commit }
    }
}

impl From<&eraftpb::ConfState> for Membership {
    fn from(state: &eraftpb::ConfState) -> Self {
        Membership {
            voters: state.voters.clone(),
            learners: state.learners.clone(),
            outgoing: state.voters_outgoing.clone(),
            learners_next: state.learners_next.clone(),
            auto_leave: state.auto_leave,
        }
    }
}

impl From<&Membership> for eraftpb::ConfState {
    fn from(members: &Membership) -> Self {
        eraftpb::ConfState {
            voters: members.voters.clone(),
            learners: members.learners.clone(),
            voters_outgoing: members.outgoing.clone(),
            learners_next: members.learners_next.clone(),
            auto_leave: members.auto_leave,
            ..Default::default()
        }
    }
}

impl From<&eraftpb::Snapshot> for Snapshot {
    fn from(snapshot: &eraftpb::Snapshot) -> Self {
        let meta = snapshot.get_metadata();
        Snapshot {
            index: meta.index,
            term: meta.term,
            members: meta.get_conf_state().into(),
            state: snapshot.data.to_vec(),
        }
    }
}

impl From<&Snapshot> for eraftpb::Snapshot {
    fn from(snapshot: &Snapshot) -> Self {
        let mut out = eraftpb::Snapshot::default();
        let meta = out.mut_metadata();
        (meta.index, meta.term) = (snapshot.index, snapshot.term);
        meta.set_conf_state((&snapshot.members).into());
        out.data = snapshot.state.clone().into();
        out
    }
}

#[derive(Debug)]
struct Inner {
    hard: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// The log up to here is left out once it is in the snapshot and the others have it.
    first: u64,
    /// A newer snapshot is wanted: the one there is was made before somebody came in who needs it.
    wanted: bool,
}

/// The log in memory, shared with the library.
#[derive(Clone, Debug)]
pub(crate) struct Log(Rc<RefCell<Inner>>);

impl Log {
    pub fn new(kept: PersistentState) -> Self {
        let first = kept.snapshot.index + 1;
        let PersistentState { hard, snapshot, entries, .. } = kept;
        Log(Rc::new(RefCell::new(Inner { hard, snapshot, entries, first, wanted: false })))
    }

    pub fn set_hard(&self, hard: &HardState) {
        self.0.borrow_mut().hard = hard.clone();
    }

    pub fn append(&self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let inner = &mut *self.0.borrow_mut();
        let keep = first.index.saturating_sub(inner.first) as usize;
        inner.entries.truncate(keep);
        inner.entries.extend_from_slice(entries);
    }

    /// A snapshot from elsewhere takes the place of all.
    pub fn restore(&self, snapshot: Snapshot) {
        let inner = &mut *self.0.borrow_mut();
        inner.first = snapshot.index + 1;
        inner.hard.commit = inner.hard.commit.max(snapshot.index);
        inner.entries.clear();
        inner.snapshot = snapshot;
    }

    /// Our own snapshot takes the place of the log before it, but for the last `spare` entries: those that lag a
    /// little are caught up by them.
    pub fn compact(&self, snapshot: Snapshot, spare: u64) -> u64 {
        let inner = &mut *self.0.borrow_mut();
        let first = (snapshot.index + 1).saturating_sub(spare).max(inner.first);
        inner.entries.drain(..(first - inner.first) as usize);
        (inner.first, inner.snapshot, inner.wanted) = (first, snapshot, false);
        first
    }

    pub fn wants_snapshot(&self) -> bool {
        self.0.borrow().wanted
    }

    pub fn snapshot_index(&self) -> u64 {
        self.0.borrow().snapshot.index
    }

    pub fn last(&self) -> u64 {
        let inner = self.0.borrow();
        inner.first + inner.entries.len() as u64 - 1
    }

    pub fn term_at(&self, index: u64) -> Option<u64> {
        let inner = self.0.borrow();
        if index == inner.snapshot.index {
            return Some(inner.snapshot.term);
        }
        let at = index.checked_sub(inner.first)? as usize;
        inner.entries.get(at).map(|entry| entry.term)
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let inner = self.0.borrow();
        let hard = eraftpb::HardState {
            term: inner.hard.term,
            vote: inner.hard.vote,
            commit: inner.hard.commit,
            ..Default::default()
        };
        Ok(RaftState { hard_state: hard, conf_state: (&inner.snapshot.members).into() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        let inner = self.0.borrow();
        if low < inner.first {
            return Err(StorageError::Compacted.into());
        }
        let (from, to) = ((low - inner.first) as usize, (high - inner.first) as usize);
        let some = inner.entries.get(from..to).ok_or(StorageError::Unavailable)?;
        let mut entries: Vec<eraftpb::Entry> = some.iter().map(Into::into).collect();
        let (most, mut size) = (max_size.into().unwrap_or(u64::MAX), 0);
        let fits = |entry: &eraftpb::Entry| {
            size += u64::from(entry.compute_size());
            size <= most
        };
        // At least one, however long it is.
        let count = entries.iter().map_while(fits_once(fits)).count().max(1);
        entries.truncate(count);
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        match self.term_at(index) {
            Some(term) => Ok(term),
            None if index < self.0.borrow().first => Err(StorageError::Compacted.into()),
            None => Err(StorageError::Unavailable.into()),
        }
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.0.borrow().first)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<eraftpb::Snapshot> {
        let mut inner = self.0.borrow_mut();
        let Membership { voters, learners, outgoing, .. } = &inner.snapshot.members;
        // One that does not find itself in a snapshot passes it over.
        let is_in = [voters, learners, outgoing].iter().any(|ids| ids.contains(&to));
        if is_in && inner.snapshot.index >= request_index {
            return Ok((&inner.snapshot).into());
        }
        inner.wanted = true;
        Err(StorageError::SnapshotTemporarilyUnavailable.into())
    }
}

/// Turns a test into what `map_while` takes.
fn fits_once<T>(mut test: impl FnMut(&T) -> bool) -> impl FnMut(&T) -> Option<()> {
    move |it| test(it).then_some(())
}
