//! A keeper's disk: one `redb` database file in which every record carries its own hash. A disk that fails these checks
//! is reported as an error, and its keeper does not start.

use std::path::Path;

use redb::{Database, ReadableDatabase, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::KeeperId;
use crate::log::{Entry, HardState, PersistentState, Snapshot};

/// One atomic write to the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The number to pass to [`crate::Keeper::persisted`] once it is on the disk; 0 if nothing waits for it.
    pub number: u64,
    /// The new hard state.
    pub hard: Option<HardState>,
    /// A new snapshot, which replaces the log up to its index.
    pub snapshot: Option<Snapshot>,
    /// New entries. They replace the log from the index of the first of them on.
    pub entries: Vec<Entry>,
    /// For a keeper's own snapshot: the first entry to keep in the log. If none, the snapshot is from another keeper and
    /// replaces the whole log.
    pub first: Option<u64>,
}

/// Why a disk can not be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file can not be opened.
    #[error(
        "the book's disk can not be opened ({0}); see that its folder is there, may be written and has room, or, if the file is damaged, move it away: the others catch this keeper up"
    )]
    Open(String),
    /// A record does not match its hash.
    #[error(
        "record {0} on the book's disk does not match its hash; move the file away: the others catch this keeper up"
    )]
    Rotten(String),
    /// A record is missing.
    #[error(
        "the log on the book's disk has a gap before {0}; move the file away: the others catch this keeper up"
    )]
    Gap(u64),
    /// The file was made by another version.
    #[error(
        "the book's disk has format {0}, and this version reads format {FORMAT}; start the version that made it, or move the file away"
    )]
    Format(u32),
    /// It can not be written.
    #[error(
        "the book's disk can not be written ({0}); make room or mend it, then start this balancer anew: it has stepped down"
    )]
    Write(String),
}

/// The version of the record format.
const FORMAT: u32 = 1;
const HEADS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("heads");
const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const HASH_BYTES: usize = blake3::OUT_LEN;

/// The disk of one keeper.
#[derive(Debug)]
pub struct Disk {
    file: Database,
}

fn encode_record(name: &str, value: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    let mut bytes = postcard::to_stdvec(value).map_err(|e| StoreError::Write(e.to_string()))?;
    let hash = hash(name, &bytes);
    bytes.extend_from_slice(hash.as_bytes());
    Ok(bytes)
}

/// Includes the name of the record, so that one record cannot pass for another.
fn hash(name: &str, bytes: &[u8]) -> blake3::Hash {
    blake3::Hasher::new().update(name.as_bytes()).update(&[0]).update(bytes).finalize()
}

fn decode_record<T: DeserializeOwned>(name: &str, sealed: &[u8]) -> Result<T, StoreError> {
    let mismatch = || StoreError::Rotten(name.to_owned());
    let (bytes, stored_hash) =
        sealed.split_at_checked(sealed.len().wrapping_sub(HASH_BYTES)).ok_or_else(mismatch)?;
    if *hash(name, bytes).as_bytes() != *stored_hash {
        return Err(mismatch());
    }
    postcard::from_bytes(bytes).map_err(|_| mismatch())
}

fn disk_error(e: impl std::fmt::Display) -> StoreError {
    StoreError::Write(e.to_string())
}

fn entry_name(index: u64) -> String {
    format!("log {index}")
}

impl Disk {
    /// Opens the file, or creates one for a keeper with the id `fresh`.
    ///
    /// # Errors
    ///
    /// The file can not be read or written, or fails its checks.
    pub fn open(path: &Path, fresh: KeeperId) -> Result<(Disk, PersistentState), StoreError> {
        let file = Database::create(path).map_err(|e| StoreError::Open(e.to_string()))?;
        Self::with_database(file, fresh)
    }

    /// Like [`Disk::open`], on a database that is already open.
    ///
    /// # Errors
    ///
    /// As for [`Disk::open`].
    pub fn with_database(file: Database, fresh: KeeperId) -> Result<(Disk, PersistentState), StoreError> {
        let disk = Disk { file };
        let is_new = {
            let read = disk.file.begin_read().map_err(disk_error)?;
            match read.open_table(HEADS) {
                Ok(heads) => heads.get("format").map_err(disk_error)?.is_none(),
                Err(redb::TableError::TableDoesNotExist(_)) => true,
                Err(e) => return Err(disk_error(e)),
            }
        };
        if is_new {
            let write = disk.file.begin_write().map_err(disk_error)?;
            {
                let mut heads = write.open_table(HEADS).map_err(disk_error)?;
                write.open_table(LOG).map_err(disk_error)?;
                heads.insert("format", &encode_record("format", &FORMAT)?[..]).map_err(disk_error)?;
                heads.insert("id", &encode_record("id", &fresh)?[..]).map_err(disk_error)?;
            }
            write.commit().map_err(disk_error)?;
        }
        let kept = disk.read()?;
        Ok((disk, kept))
    }

    /// Reads and checks everything on the disk.
    fn read(&self) -> Result<PersistentState, StoreError> {
        let read = self.file.begin_read().map_err(disk_error)?;
        let heads = read.open_table(HEADS).map_err(disk_error)?;
        let format: u32 = match heads.get("format").map_err(disk_error)? {
            Some(sealed) => decode_record("format", sealed.value())?,
            None => 0,
        };
        if format != FORMAT {
            return Err(StoreError::Format(format));
        }
        let mut kept = PersistentState::default();
        match heads.get("id").map_err(disk_error)? {
            Some(sealed) => kept.id = decode_record("id", sealed.value())?,
            None => return Err(StoreError::Rotten("id".into())),
        }
        if let Some(sealed) = heads.get("hard").map_err(disk_error)? {
            kept.hard = decode_record("hard", sealed.value())?;
        }
        if let Some(sealed) = heads.get("snapshot").map_err(disk_error)? {
            kept.snapshot = decode_record("snapshot", sealed.value())?;
        }
        let log = read.open_table(LOG).map_err(disk_error)?;
        let first = kept.snapshot.index + 1;
        for (index, record) in (first..).zip(log.range(first..).map_err(disk_error)?) {
            let (found, sealed) = record.map_err(disk_error)?;
            if found.value() != index {
                return Err(StoreError::Gap(found.value()));
            }
            kept.entries.push(decode_record(&entry_name(index), sealed.value())?);
        }
        Ok(kept)
    }

    /// Writes a batch durably: once this returns, the batch survives a power failure.
    ///
    /// # Errors
    ///
    /// The batch may have been written or not. The keeper must not continue with this disk until it has been reopened.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let write = self.file.begin_write().map_err(disk_error)?;
        {
            let mut heads = write.open_table(HEADS).map_err(disk_error)?;
            let mut log = write.open_table(LOG).map_err(disk_error)?;
            if let Some(snapshot) = &batch.snapshot {
                heads.insert("snapshot", &encode_record("snapshot", snapshot)?[..]).map_err(disk_error)?;
                // Entries that our own snapshot covers are not needed after a restart; a snapshot from another keeper
                // replaces the whole log.
                let gone = if batch.first.is_some() { snapshot.index + 1 } else { u64::MAX };
                log.retain_in(..gone, |_, _| false).map_err(disk_error)?;
            }
            if let Some(first) = batch.entries.first() {
                log.retain_in(first.index.., |_, _| false).map_err(disk_error)?;
            }
            for entry in &batch.entries {
                log.insert(entry.index, &encode_record(&entry_name(entry.index), entry)?[..])
                    .map_err(disk_error)?;
            }
            if let Some(hard) = &batch.hard {
                heads.insert("hard", &encode_record("hard", hard)?[..]).map_err(disk_error)?;
            }
        }
        write.commit().map_err(disk_error)
    }
}
