//! The in-memory log that the Raft library reads. It holds entries that are persisted or about to be; the library is told
//! separately which of them are on the disk.

use std::cell::RefCell;
use std::rc::Rc;

use protobuf::{Message as _, ProtobufEnum};
use raft::eraftpb;
use raft::{GetEntriesContext, RaftState, Storage, StorageError};
use serde::{Deserialize, Serialize};

use crate::KeeperId;
use crate::store::Batch;

/// One log entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The library's number of the entry type: 0 for a write, 2 for a membership change.
    pub kind: i32,
    /// The term of the leader that created it.
    pub term: u64,
    /// Its index, counted from 1.
    pub index: u64,
    /// Its payload.
    pub data: Vec<u8>,
    /// The context of a membership change.
    pub context: Vec<u8>,
}

/// The Raft hard state: what a keeper must persist besides the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term that it knows.
    pub term: u64,
    /// The keeper that it voted for in that term; 0 for none.
    pub vote: KeeperId,
    /// Up to where it knows the log to be committed.
    pub commit: u64,
}

/// The Raft configuration: which keepers are members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// The voters.
    pub voters: Vec<KeeperId>,
    /// Members without a vote that are still catching up.
    pub learners: Vec<KeeperId>,
    /// During a joint change: the voters before it.
    pub outgoing: Vec<KeeperId>,
    /// During a joint change: voters that become learners when it ends.
    pub learners_next: Vec<KeeperId>,
    /// True if the leader ends the joint change automatically.
    pub auto_leave: bool,
}

/// The applied state at an index, which replaces the log up to there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry that it includes.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The members at that index.
    pub membership: Membership,
    /// The serialized ledger, with the id of the book and the names of its keepers.
    pub state: Vec<u8>,
}

/// Everything that a keeper has on its disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The id of the keeper.
    pub id: KeeperId,
    /// The Raft hard state.
    pub hard: HardState,
    /// The snapshot before the log.
    pub snapshot: Snapshot,
    /// The log entries after the snapshot, without a gap.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Applies a batch, with the same effect as writing it to the disk.
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

    /// True if nothing was ever persisted: the keeper belongs to no book yet.
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
            membership: meta.get_conf_state().into(),
            state: snapshot.data.to_vec(),
        }
    }
}

impl From<&Snapshot> for eraftpb::Snapshot {
    fn from(snapshot: &Snapshot) -> Self {
        let mut out = eraftpb::Snapshot::default();
        let meta = out.mut_metadata();
        (meta.index, meta.term) = (snapshot.index, snapshot.term);
        meta.set_conf_state((&snapshot.membership).into());
        out.data = snapshot.state.clone().into();
        out
    }
}

#[derive(Debug)]
struct LogState {
    hard: HardState,
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// The index of the first entry. Earlier ones were compacted into the snapshot.
    first: u64,
    /// True if a newer snapshot is needed: the current one predates the joining of a member that is to receive it.
    snapshot_requested: bool,
}

/// The log in memory, shared with the library.
#[derive(Clone, Debug)]
pub(crate) struct Log(Rc<RefCell<LogState>>);

impl Log {
    pub fn new(persisted: PersistentState) -> Self {
        let first = persisted.snapshot.index + 1;
        let PersistentState { hard, snapshot, entries, .. } = persisted;
        Log(Rc::new(RefCell::new(LogState { hard, snapshot, entries, first, snapshot_requested: false })))
    }

    pub fn set_hard(&self, hard: &HardState) {
        self.0.borrow_mut().hard = hard.clone();
    }

    pub fn append(&self, entries: &[Entry]) {
        let Some(first) = entries.first() else { return };
        let state = &mut *self.0.borrow_mut();
        let keep = first.index.saturating_sub(state.first) as usize;
        state.entries.truncate(keep);
        state.entries.extend_from_slice(entries);
    }

    /// Replaces the whole log by a snapshot from another keeper.
    pub fn restore(&self, snapshot: Snapshot) {
        let state = &mut *self.0.borrow_mut();
        state.first = snapshot.index + 1;
        state.hard.commit = state.hard.commit.max(snapshot.index);
        state.entries.clear();
        state.snapshot = snapshot;
    }

    /// Replaces the log before our own snapshot, except for the last `retained_entries` entries, which bring members that
    /// lag a little up to date. Returns the index of the first entry left.
    pub fn compact(&self, snapshot: Snapshot, retained_entries: u64) -> u64 {
        let state = &mut *self.0.borrow_mut();
        let first = (snapshot.index + 1).saturating_sub(retained_entries).max(state.first);
        state.entries.drain(..(first - state.first) as usize);
        (state.first, state.snapshot, state.snapshot_requested) = (first, snapshot, false);
        first
    }

    pub fn is_snapshot_requested(&self) -> bool {
        self.0.borrow().snapshot_requested
    }

    pub fn snapshot_index(&self) -> u64 {
        self.0.borrow().snapshot.index
    }

    pub fn last_entry_index(&self) -> u64 {
        let state = self.0.borrow();
        state.first + state.entries.len() as u64 - 1
    }

    pub fn term_at(&self, index: u64) -> Option<u64> {
        let state = self.0.borrow();
        if index == state.snapshot.index {
            return Some(state.snapshot.term);
        }
        let at = index.checked_sub(state.first)? as usize;
        state.entries.get(at).map(|entry| entry.term)
    }
}

impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let state = self.0.borrow();
        let hard = eraftpb::HardState {
            term: state.hard.term,
            vote: state.hard.vote,
            commit: state.hard.commit,
            ..Default::default()
        };
        Ok(RaftState { hard_state: hard, conf_state: (&state.snapshot.membership).into() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _context: GetEntriesContext,
    ) -> raft::Result<Vec<eraftpb::Entry>> {
        let state = self.0.borrow();
        if low < state.first {
            return Err(StorageError::Compacted.into());
        }
        let (from, to) = ((low - state.first) as usize, (high - state.first) as usize);
        let some = state.entries.get(from..to).ok_or(StorageError::Unavailable)?;
        let mut entries: Vec<eraftpb::Entry> = some.iter().map(Into::into).collect();
        let (most, mut size) = (max_size.into().unwrap_or(u64::MAX), 0);
        let fits = |entry: &eraftpb::Entry| {
            size += u64::from(entry.compute_size());
            size <= most
        };
        // At least one entry, however large it is.
        let count = entries.iter().map_while(filter_to_option(fits)).count().max(1);
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
        Ok(self.last_entry_index())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<eraftpb::Snapshot> {
        let mut state = self.0.borrow_mut();
        let Membership { voters, learners, outgoing, .. } = &state.snapshot.membership;
        // A keeper ignores a snapshot whose membership does not include it.
        let is_in = [voters, learners, outgoing].iter().any(|ids| ids.contains(&to));
        if is_in && state.snapshot.index >= request_index {
            return Ok((&state.snapshot).into());
        }
        state.snapshot_requested = true;
        Err(StorageError::SnapshotTemporarilyUnavailable.into())
    }
}

/// Adapts a predicate for `map_while`.
fn filter_to_option<T>(mut test: impl FnMut(&T) -> bool) -> impl FnMut(&T) -> Option<()> {
    move |it| test(it).then_some(())
}
