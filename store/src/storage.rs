//! The file of the control state: opening, appending, checkpoints.

use std::{io, path::Path};

use gradepaddle_control::{Record, RecoveredState, ReplicaId};
use gradepaddle_proto::{Decode, Encode};
use snafu::ResultExt;

use crate::{
    Folder, OpenFile, RealFolder, StoreError,
    error::{FormatSnafu, OpenFolderSnafu, OvergrownSnafu, ReadSnafu, UnreadableSnafu, WriteSnafu},
    frame,
    snapshot::Entry,
};

/// The file that holds the state.
pub const STATE_FILE: &str = "control.log";
/// The file in which a checkpoint is prepared.
pub const FRESH_FILE: &str = "control.new";
/// A checkpoint is due once this many bytes, or as many as the snapshot has, were appended to it.
pub const CHECKPOINT_AFTER: u64 = 256 * 1024;
/// A log that can't be checkpointed grows no further than this, in bytes.
const LOG_LIMIT: u64 = 24 * 1024 * 1024;

/// How far the log may grow.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// A checkpoint is due after this many bytes, or as many as the snapshot has.
    pub checkpoint_after: u64,
    /// Without a checkpoint, the log grows no further than this many bytes.
    pub log_limit: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { checkpoint_after: CHECKPOINT_AFTER, log_limit: LOG_LIMIT }
    }
}

/// Where the state came from when it was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The disk held it.
    Kept,
    /// The disk was empty.
    New,
    /// The file was damaged beyond what a loss of power does; the replica begins anew under another identity.
    Damaged,
}

/// What opening gives.
pub struct Opened {
    /// The open state.
    pub storage: Storage,
    /// What it held.
    pub recovered: RecoveredState,
    /// Where it came from.
    pub origin: Origin,
}

/// The control state on disk.
pub struct Storage {
    folder: Box<dyn Folder>,
    limits: Limits,
    /// All that is durable.
    kept: RecoveredState,
    log: Log,
    names: Names,
}

/// What is known of the name of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Names {
    /// It stands for the file that is appended to.
    Lasting,
    /// The rename of the latest checkpoint may be taken back by a loss of power.
    Unsynced,
    /// A rename failed: the name may stand for either file until another checkpoint succeeds.
    InDoubt,
}

/// The file that is appended to.
struct Log {
    file: Box<dyn OpenFile>,
    /// Up to here the file is durable.
    length: u64,
    chain: u32,
    snapshot_length: u64,
    /// A write has failed: what follows `length` is to be cut off.
    torn: bool,
}

impl Storage {
    /// Opens the state in a folder of the operating system. An empty folder gets the fresh identity.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the disk refuses, or the file has an unknown format.
    pub fn open(path: &Path, fresh: ReplicaId) -> Result<Opened, StoreError> {
        let folder = RealFolder::new(path).context(OpenFolderSnafu)?;
        Storage::open_in(Box::new(folder), Limits::default(), fresh)
    }

    /// Opens the state in a folder.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the disk refuses, or the file has an unknown format.
    pub fn open_in(folder: Box<dyn Folder>, limits: Limits, fresh: ReplicaId) -> Result<Opened, StoreError> {
        let file = folder.read(STATE_FILE).context(ReadSnafu)?;
        let origin = if file.is_some() { Origin::Damaged } else { Origin::New };
        if let Some(found) = file.as_deref().map(read_log).transpose()?.flatten() {
            let log = found.settle(&*folder).context(WriteSnafu)?;
            let storage = Storage { folder, limits, kept: found.kept.clone(), log, names: Names::Lasting };
            return Ok(Opened { storage, recovered: found.kept, origin: Origin::Kept });
        }
        let recovered = RecoveredState::empty(fresh);
        let log = Log::write_fresh(&*folder, &recovered).context(WriteSnafu)?;
        folder.rename(FRESH_FILE, STATE_FILE).context(WriteSnafu)?;
        folder.sync().context(WriteSnafu)?;
        let storage = Storage { folder, limits, kept: recovered.clone(), log, names: Names::Lasting };
        Ok(Opened { storage, recovered, origin })
    }

    /// All that is durable.
    pub fn kept(&self) -> &RecoveredState {
        &self.kept
    }

    /// The length of the log in bytes.
    pub fn log_length(&self) -> u64 {
        self.log.length
    }

    /// Makes records durable, and the log shorter where that is due; blocks for the disk.
    ///
    /// # Errors
    ///
    /// Those of [`Storage::append_only`].
    pub fn append(&mut self, records: Vec<Record>) -> Result<(), StoreError> {
        self.append_only(records)?;
        self.checkpoint_if_due();
        Ok(())
    }

    /// Makes records durable, all or none of them once the process or the machine comes back; blocks for the disk.
    /// An empty list tests the disk. [`Storage::checkpoint_if_due`] is to be called after it.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if it isn't durable. It may be tried again; until then the records may be found or not.
    pub fn append_only(&mut self, records: Vec<Record>) -> Result<(), StoreError> {
        self.settle_names()?;
        let entry = Entry { id: None, records };
        let content = entry.to_bytes();
        self.make_room(content.len() as u64)?;
        self.log.append(&*self.folder, &content).context(WriteSnafu)?;
        entry.records.into_iter().for_each(|record| self.kept.apply(record));
        Ok(())
    }

    /// Begins a new log with a snapshot once this one has grown enough. What was appended is durable without it: one
    /// that fails is tried again after the next entry.
    pub fn checkpoint_if_due(&mut self) {
        if self.log.due(self.limits) {
            let _ = self.checkpoint();
        }
    }

    fn make_room(&mut self, wanted: u64) -> Result<(), StoreError> {
        if self.log.length + wanted > self.limits.log_limit {
            self.checkpoint()?;
        }
        let length = self.log.length;
        if length + wanted > self.limits.log_limit { OvergrownSnafu { length }.fail() } else { Ok(()) }
    }

    /// Puts a file with nothing but a snapshot in the place of the log.
    fn checkpoint(&mut self) -> Result<(), StoreError> {
        let fresh = Log::write_fresh(&*self.folder, &self.kept).context(WriteSnafu)?;
        self.names = Names::InDoubt;
        self.folder.rename(FRESH_FILE, STATE_FILE).context(WriteSnafu)?;
        self.log = fresh;
        self.names = Names::Unsynced;
        self.sync_names()
    }

    /// Appends go only to the file that the name is certain to stand for, also after a loss of power.
    fn settle_names(&mut self) -> Result<(), StoreError> {
        match self.names {
            Names::Lasting => Ok(()),
            Names::Unsynced => self.sync_names(),
            Names::InDoubt => self.checkpoint(),
        }
    }

    fn sync_names(&mut self) -> Result<(), StoreError> {
        self.folder.sync().context(WriteSnafu)?;
        self.names = Names::Lasting;
        Ok(())
    }
}

impl Log {
    /// Writes a file that holds a snapshot, durable but not yet in its place.
    fn write_fresh(folder: &dyn Folder, kept: &RecoveredState) -> io::Result<Log> {
        let mut bytes = frame::head();
        let chain = frame::append(&mut bytes, frame::FIRST_CHAIN, &Entry::snapshot(kept).to_bytes());
        let mut file = folder.open(FRESH_FILE)?;
        file.set_length(0)?;
        file.write_at(0, &bytes)?;
        file.sync()?;
        let length = bytes.len() as u64;
        Ok(Log { file, length, chain, snapshot_length: length, torn: false })
    }

    fn due(&self, limits: Limits) -> bool {
        self.length - self.snapshot_length > limits.checkpoint_after.max(self.snapshot_length)
    }

    fn append(&mut self, folder: &dyn Folder, content: &[u8]) -> io::Result<()> {
        if self.torn {
            self.file = folder.open(STATE_FILE)?;
            self.file.set_length(self.length)?;
        }
        self.torn = true;
        let mut bytes = Vec::with_capacity(content.len() + frame::FRAME_HEAD_BYTES);
        let chain = frame::append(&mut bytes, self.chain, content);
        self.file.write_at(self.length, &bytes)?;
        self.file.sync()?;
        self.torn = false;
        self.length += bytes.len() as u64;
        self.chain = chain;
        Ok(())
    }
}

/// What a file was found to hold.
struct Found {
    kept: RecoveredState,
    length: u64,
    chain: u32,
    snapshot_length: u64,
}

impl Found {
    /// Cuts off the torn tail and makes the rest durable, as it may be known only to the system's memory so far.
    fn settle(&self, folder: &dyn Folder) -> io::Result<Log> {
        let mut file = folder.open(STATE_FILE)?;
        file.set_length(self.length)?;
        file.sync()?;
        folder.sync()?;
        let Found { length, chain, snapshot_length, .. } = *self;
        Ok(Log { file, length, chain, snapshot_length, torn: false })
    }
}

/// Reads the snapshot and the entries after it up to the first that is torn; none if there is no snapshot.
fn read_log(file: &[u8]) -> Result<Option<Found>, StoreError> {
    match frame::format_of(file) {
        Some(frame::FORMAT) => {}
        Some(format) => return FormatSnafu { format }.fail(),
        None => return Ok(None),
    }
    let Some(first) = frame::read(file, frame::HEAD_BYTES, frame::FIRST_CHAIN) else { return Ok(None) };
    let Ok(Entry { id: Some(id), records }) = Entry::from_bytes(first.content) else { return Ok(None) };
    let mut kept = RecoveredState::empty(id);
    records.into_iter().for_each(|record| kept.apply(record));
    let (mut end, mut chain) = (first.end, first.chain);
    while let Some(next) = frame::read(file, end, chain) {
        let Ok(entry) = Entry::from_bytes(next.content) else {
            return UnreadableSnafu { offset: end }.fail();
        };
        entry.records.into_iter().for_each(|record| kept.apply(record));
        (end, chain) = (next.end, next.chain);
    }
    let snapshot_length = first.end as u64;
    Ok(Some(Found { kept, length: end as u64, chain, snapshot_length }))
}
