//! The log file: a snapshot, and the entries appended to it.

use std::io;

use gradepaddle_control::RecoveredState;
use gradepaddle_proto::{Decode, Encode};
use snafu::ResultExt;

use crate::{
    Directory, LogLimits, StoreError, WritableFile,
    entry::Entry,
    error::{UnknownFormatSnafu, UnreadableEntrySnafu},
    frame,
};

/// The name of the log file, which holds the state.
pub const LOG_FILE: &str = "control.log";
/// The name of the file that a checkpoint is written to before it replaces the log.
pub const CHECKPOINT_FILE: &str = "control.new";

/// The log file, open for appending.
pub(crate) struct Log {
    file: Box<dyn WritableFile>,
    /// The file is durable up to this length, in bytes.
    pub length: u64,
    /// The checksum of the last frame.
    checksum: u32,
    /// Length of the header and the snapshot, in bytes.
    snapshot_length: u64,
    /// Whether a write has failed, so that the file must be truncated to `length` before the next one.
    torn: bool,
}

impl Log {
    /// Writes a log that consists of a snapshot to [`CHECKPOINT_FILE`] and syncs it.
    pub fn write_checkpoint(directory: &dyn Directory, state: &RecoveredState) -> io::Result<Log> {
        let mut bytes = frame::file_header();
        let checksum = frame::append(&mut bytes, frame::INITIAL_CHECKSUM, &Entry::snapshot(state).to_bytes());
        let mut file = directory.open(CHECKPOINT_FILE)?;
        file.set_len(0)?;
        file.write_at(0, &bytes)?;
        file.sync()?;
        let length = bytes.len() as u64;
        Ok(Log { file, length, checksum, snapshot_length: length, torn: false })
    }

    /// Whether more has been appended since the snapshot than the limit and the length of the snapshot itself.
    pub fn checkpoint_due(&self, limits: LogLimits) -> bool {
        self.length - self.snapshot_length > limits.checkpoint_bytes.max(self.snapshot_length)
    }

    /// Appends a frame with this content and syncs the file. After an error, a restart recovers the log with or without the
    /// frame.
    pub fn append(&mut self, directory: &dyn Directory, content: &[u8]) -> io::Result<()> {
        if self.torn {
            self.file = directory.open(LOG_FILE)?;
            self.file.set_len(self.length)?;
        }
        self.torn = true;
        let mut bytes = Vec::with_capacity(content.len() + frame::FRAME_HEADER_BYTES);
        let checksum = frame::append(&mut bytes, self.checksum, content);
        self.file.write_at(self.length, &bytes)?;
        self.file.sync()?;
        self.torn = false;
        self.length += bytes.len() as u64;
        self.checksum = checksum;
        Ok(())
    }
}

/// The contents recovered from a log file.
pub(crate) struct RecoveredLog {
    pub state: RecoveredState,
    length: u64,
    checksum: u32,
    snapshot_length: u64,
}

impl RecoveredLog {
    /// Reads the snapshot and the entries after it up to the first invalid frame; `None` if there is no valid snapshot.
    ///
    /// # Errors
    ///
    /// [`StoreError::UnknownFormat`] and [`StoreError::UnreadableEntry`] if a later version wrote the file.
    pub fn read(file: &[u8]) -> Result<Option<RecoveredLog>, StoreError> {
        match frame::format_version(file) {
            Some(frame::FORMAT_VERSION) => {}
            Some(format) => return UnknownFormatSnafu { format }.fail(),
            None => return Ok(None),
        }
        let Some(first) = frame::read(file, frame::FILE_HEADER_BYTES, frame::INITIAL_CHECKSUM) else {
            return Ok(None);
        };
        let Ok(Entry { id: Some(id), records }) = Entry::from_bytes(first.content) else { return Ok(None) };
        let mut state = RecoveredState::empty(id);
        records.into_iter().for_each(|record| state.apply(record));
        let (mut end, mut checksum) = (first.end, first.checksum);
        while let Some(next) = frame::read(file, end, checksum) {
            let entry = Entry::from_bytes(next.content).context(UnreadableEntrySnafu { offset: end })?;
            entry.records.into_iter().for_each(|record| state.apply(record));
            (end, checksum) = (next.end, next.checksum);
        }
        let snapshot_length = first.end as u64;
        Ok(Some(RecoveredLog { state, length: end as u64, checksum, snapshot_length }))
    }

    /// Truncates the torn tail and syncs the rest, which may have been read from the page cache without being durable.
    pub fn repair(&self, directory: &dyn Directory) -> io::Result<Log> {
        let mut file = directory.open(LOG_FILE)?;
        file.set_len(self.length)?;
        file.sync()?;
        directory.sync()?;
        let RecoveredLog { length, checksum, snapshot_length, .. } = *self;
        Ok(Log { file, length, checksum, snapshot_length, torn: false })
    }
}
