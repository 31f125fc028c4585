//! What a keeper puts on its disk, and the disk: one file of the `redb` store, in which every record carries a hash of
//! its own. A disk that can not be trusted is named, and its keeper does not go on.

use std::path::Path;

use redb::{Database, ReadableDatabase, TableDefinition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::KeeperId;
use crate::log::{Entry, HardState, PersistentState, Snapshot};

/// What goes to the disk in one step: all of it or nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// What [`crate::Keeper::kept`] is told when it is done; 0 if nothing waits for it.
    pub number: u64,
    /// New promises.
    pub hard: Option<HardState>,
    /// In place of the log up to its index.
    pub snapshot: Option<Snapshot>,
    /// The log from the first of these on; what was there before from that place on goes.
    pub entries: Vec<Entry>,
    /// With a snapshot of one's own: entries before this one go, the others stay. Without it all of them go.
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

/// The version of the records.
const FORMAT: u32 = 1;
const HEADS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("heads");
const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");
const HASH: usize = blake3::OUT_LEN;

/// The disk of one keeper.
#[derive(Debug)]
pub struct Disk {
    file: Database,
}

fn seal(name: &str, value: &impl Serialize) -> Result<Vec<u8>, StoreError> {
    let mut bytes = postcard::to_stdvec(value).map_err(|e| StoreError::Write(e.to_string()))?;
    let hash = hash(name, &bytes);
    bytes.extend_from_slice(hash.as_bytes());
    Ok(bytes)
}

/// With the name in it, so that a record does not pass for another.
fn hash(name: &str, bytes: &[u8]) -> blake3::Hash {
    blake3::Hasher::new().update(name.as_bytes()).update(&[0]).update(bytes).finalize()
}

fn unseal<T: DeserializeOwned>(name: &str, sealed: &[u8]) -> Result<T, StoreError> {
    let rotten = || StoreError::Rotten(name.to_owned());
    let (bytes, told) = sealed.split_at_checked(sealed.len().wrapping_sub(HASH)).ok_or_else(rotten)?;
    if *hash(name, bytes).as_bytes() != *told {
        return Err(rotten());
    }
    postcard::from_bytes(bytes).map_err(|_| rotten())
}

fn broken(e: impl std::fmt::Display) -> StoreError {
    StoreError::Write(e.to_string())
}

fn at(index: u64) -> String {
    format!("log {index}")
}

impl Disk {
    /// Opens the file, or makes one for a keeper of this number.
    ///
    /// # Errors
    ///
    /// It can not be trusted, written or read.
    pub fn open(path: &Path, fresh: KeeperId) -> Result<(Disk, PersistentState), StoreError> {
        let file = Database::create(path).map_err(|e| StoreError::Open(e.to_string()))?;
        Self::with(file, fresh)
    }

    /// The same on a store that is open.
    ///
    /// # Errors
    ///
    /// As for [`Disk::open`].
    pub fn with(file: Database, fresh: KeeperId) -> Result<(Disk, PersistentState), StoreError> {
        let disk = Disk { file };
        let is_new = {
            let read = disk.file.begin_read().map_err(broken)?;
            match read.open_table(HEADS) {
                Ok(heads) => heads.get("format").map_err(broken)?.is_none(),
                Err(redb::TableError::TableDoesNotExist(_)) => true,
                Err(e) => return Err(broken(e)),
            }
        };
        if is_new {
            let write = disk.file.begin_write().map_err(broken)?;
            {
                let mut heads = write.open_table(HEADS).map_err(broken)?;
                write.open_table(LOG).map_err(broken)?;
                heads.insert("format", &seal("format", &FORMAT)?[..]).map_err(broken)?;
                heads.insert("id", &seal("id", &fresh)?[..]).map_err(broken)?;
            }
            write.commit().map_err(broken)?;
        }
        let kept = disk.read()?;
        Ok((disk, kept))
    }

    /// All that it holds.
    fn read(&self) -> Result<PersistentState, StoreError> {
        let read = self.file.begin_read().map_err(broken)?;
        let heads = read.open_table(HEADS).map_err(broken)?;
        let format: u32 = match heads.get("format").map_err(broken)? {
            Some(sealed) => unseal("format", sealed.value())?,
            None => 0,
        };
        if format != FORMAT {
            return Err(StoreError::Format(format));
        }
        let mut kept = PersistentState::default();
        match heads.get("id").map_err(broken)? {
            Some(sealed) => kept.id = unseal("id", sealed.value())?,
            None => return Err(StoreError::Rotten("id".into())),
        }
        if let Some(sealed) = heads.get("hard").map_err(broken)? {
            kept.hard = unseal("hard", sealed.value())?;
        }
        if let Some(sealed) = heads.get("snapshot").map_err(broken)? {
            kept.snapshot = unseal("snapshot", sealed.value())?;
        }
        let log = read.open_table(LOG).map_err(broken)?;
        let first = kept.snapshot.index + 1;
        for (index, record) in (first..).zip(log.range(first..).map_err(broken)?) {
            let (found, sealed) = record.map_err(broken)?;
            if found.value() != index {
                return Err(StoreError::Gap(found.value()));
            }
            kept.entries.push(unseal(&at(index), sealed.value())?);
        }
        Ok(kept)
    }

    /// Puts a batch on the disk. When this returns it is there, whatever happens to the machine's power.
    ///
    /// # Errors
    ///
    /// It may be there or not; the keeper must not go on with this disk before it was opened anew.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let write = self.file.begin_write().map_err(broken)?;
        {
            let mut heads = write.open_table(HEADS).map_err(broken)?;
            let mut log = write.open_table(LOG).map_err(broken)?;
            if let Some(snapshot) = &batch.snapshot {
                heads.insert("snapshot", &seal("snapshot", snapshot)?[..]).map_err(broken)?;
                // What a snapshot of one's own covers is of no use after a restart; one from elsewhere replaces all.
                let gone = if batch.first.is_some() { snapshot.index + 1 } else { u64::MAX };
                log.retain_in(..gone, |_, _| false).map_err(broken)?;
            }
            if let Some(first) = batch.entries.first() {
                log.retain_in(first.index.., |_, _| false).map_err(broken)?;
            }
            for entry in &batch.entries {
                log.insert(entry.index, &seal(&at(entry.index), entry)?[..]).map_err(broken)?;
            }
            if let Some(hard) = &batch.hard {
                heads.insert("hard", &seal("hard", hard)?[..]).map_err(broken)?;
            }
        }
        write.commit().map_err(broken)
    }
}
