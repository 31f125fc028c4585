//! The stored state: opening it, appending records, and checkpoints.

use std::path::Path;

use gradepaddle_control::{Record, RecoveredState, ReplicaId};
use gradepaddle_proto::Encode;
use snafu::ResultExt;

use crate::{
    CHECKPOINT_FILE, Directory, FsDirectory, LOG_FILE, StoreError,
    entry::Entry,
    error::{LogFullSnafu, OpenDirectorySnafu, ReadSnafu, WriteSnafu},
    log::{Log, RecoveredLog},
};

/// A checkpoint is due once more bytes than this, and more than the snapshot has, were appended to the snapshot.
pub const CHECKPOINT_BYTES: u64 = 256 * 1024;
/// The maximum length of a log that can't be checkpointed, in bytes.
const MAX_LOG_BYTES: u64 = 24 * 1024 * 1024;

/// Limits on the growth of the log.
#[derive(Debug, Clone, Copy)]
pub struct LogLimits {
    /// A checkpoint is due once more bytes than this, and more than the snapshot has, were appended to the snapshot.
    pub checkpoint_bytes: u64,
    /// The maximum length of the log, in bytes. A write that would exceed it forces a checkpoint first, and fails if the log
    /// is still too long.
    pub max_log_bytes: u64,
}

impl Default for LogLimits {
    fn default() -> Self {
        LogLimits { checkpoint_bytes: CHECKPOINT_BYTES, max_log_bytes: MAX_LOG_BYTES }
    }
}

/// The origin of the state when it was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// It was recovered from the log.
    Recovered,
    /// There was no log.
    Created,
    /// The log had no valid snapshot, which a power loss does not cause; the replica starts empty with a new identity.
    Corrupted,
}

/// The result of opening the stored state.
#[must_use]
pub struct Opened {
    /// The open state.
    pub storage: Storage,
    /// The recovered state.
    pub recovered: RecoveredState,
    /// The origin of the state.
    pub origin: Origin,
}

/// The stored state: an append-only log with checkpoints.
pub struct Storage {
    directory: Box<dyn Directory>,
    limits: LogLimits,
    /// The state that results from all durable records.
    durable: RecoveredState,
    log: Log,
    name: NameState,
}

/// Which file [`LOG_FILE`] refers to after a power loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NameState {
    /// The file that entries are appended to.
    Durable,
    /// A power loss may undo the rename of the latest checkpoint.
    Unsynced,
    /// A rename failed, so it may be either file until another checkpoint succeeds.
    Unknown,
}

impl Storage {
    /// Opens the state in a directory of the file system. `fresh` is the identity if there is no valid log.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the disk fails, or a later version wrote the log.
    pub fn open(path: &Path, fresh: ReplicaId) -> Result<Opened, StoreError> {
        let directory = FsDirectory::new(path).context(OpenDirectorySnafu)?;
        Storage::open_in(Box::new(directory), LogLimits::default(), fresh)
    }

    /// Opens the state in a directory. `fresh` is the identity if there is no valid log.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the disk fails, or a later version wrote the log.
    pub fn open_in(
        directory: Box<dyn Directory>,
        limits: LogLimits,
        fresh: ReplicaId,
    ) -> Result<Opened, StoreError> {
        let file = directory.read(LOG_FILE).context(ReadSnafu)?;
        let origin = if file.is_some() { Origin::Corrupted } else { Origin::Created };
        if let Some(found) = file.as_deref().map(RecoveredLog::read).transpose()?.flatten() {
            let log = found.repair(&*directory).context(WriteSnafu)?;
            let durable = found.state.clone();
            let storage = Storage { directory, limits, durable, log, name: NameState::Durable };
            return Ok(Opened { storage, recovered: found.state, origin: Origin::Recovered });
        }
        let recovered = RecoveredState::empty(fresh);
        let log = Log::write_checkpoint(&*directory, &recovered).context(WriteSnafu)?;
        directory.rename(CHECKPOINT_FILE, LOG_FILE).context(WriteSnafu)?;
        directory.sync().context(WriteSnafu)?;
        let durable = recovered.clone();
        let storage = Storage { directory, limits, durable, log, name: NameState::Durable };
        Ok(Opened { storage, recovered, origin })
    }

    /// The state that results from all durable records.
    pub fn durable_state(&self) -> &RecoveredState {
        &self.durable
    }

    /// The length of the log in bytes.
    pub fn log_length(&self) -> u64 {
        self.log.length
    }

    /// Makes records durable, then writes a checkpoint if one is due. Blocks on the disk.
    ///
    /// # Errors
    ///
    /// Those of [`Storage::append_without_checkpoint`].
    pub fn append(&mut self, records: Vec<Record>) -> Result<(), StoreError> {
        self.append_without_checkpoint(records)?;
        self.maybe_checkpoint();
        Ok(())
    }

    /// Makes records durable atomically: after a crash either all or none of them are recovered. Blocks on the disk. An
    /// empty list checks whether the disk accepts writes. Call [`Storage::maybe_checkpoint`] afterwards.
    ///
    /// # Errors
    ///
    /// [`StoreError`] if the records aren't known to be durable. The write may be retried; until then a restart may or may
    /// not recover them.
    pub fn append_without_checkpoint(&mut self, records: Vec<Record>) -> Result<(), StoreError> {
        self.ensure_name_durable()?;
        let entry = Entry { id: None, records };
        let content = entry.to_bytes();
        self.ensure_capacity(content.len() as u64)?;
        self.log.append(&*self.directory, &content).context(WriteSnafu)?;
        entry.records.into_iter().for_each(|record| self.durable.apply(record));
        Ok(())
    }

    /// Writes a checkpoint if the log has grown enough.
    pub fn maybe_checkpoint(&mut self) {
        if self.log.checkpoint_due(self.limits) {
            // The records are durable without a checkpoint; a failed one is due again after the next entry.
            let _ = self.checkpoint();
        }
    }

    fn ensure_capacity(&mut self, additional: u64) -> Result<(), StoreError> {
        if self.log.length + additional > self.limits.max_log_bytes {
            self.checkpoint()?;
        }
        let length = self.log.length;
        if length + additional > self.limits.max_log_bytes { LogFullSnafu { length }.fail() } else { Ok(()) }
    }

    /// Replaces the log by one that consists of a snapshot.
    fn checkpoint(&mut self) -> Result<(), StoreError> {
        let log = Log::write_checkpoint(&*self.directory, &self.durable).context(WriteSnafu)?;
        // Set before the rename, since a rename that reports a failure may have taken effect.
        self.name = NameState::Unknown;
        self.directory.rename(CHECKPOINT_FILE, LOG_FILE).context(WriteSnafu)?;
        self.log = log;
        self.name = NameState::Unsynced;
        self.sync_name()
    }

    /// Ensures that entries are appended to the file that [`LOG_FILE`] refers to after a power loss.
    fn ensure_name_durable(&mut self) -> Result<(), StoreError> {
        match self.name {
            NameState::Durable => Ok(()),
            NameState::Unsynced => self.sync_name(),
            NameState::Unknown => self.checkpoint(),
        }
    }

    fn sync_name(&mut self) -> Result<(), StoreError> {
        self.directory.sync().context(WriteSnafu)?;
        self.name = NameState::Durable;
        Ok(())
    }
}
