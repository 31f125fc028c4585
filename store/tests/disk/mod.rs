//! A simulated disk that on a power loss drops, keeps or tears each unsynced write at random.

#![allow(dead_code, reason = "each test file uses a part of the disk")]

use std::{
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard},
};

use gradepaddle_store::{Directory, WritableFile};

#[derive(Debug, Clone)]
enum UnsyncedOperation {
    Write { offset: u64, bytes: Vec<u8> },
    Length(u64),
}

#[derive(Debug, Clone, Default)]
struct Inode {
    durable: Vec<u8>,
    current: Vec<u8>,
    unsynced: Vec<UnsyncedOperation>,
}

/// The fault that the disk simulates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskFault {
    None,
    /// Every write, truncation, rename and creation of a file fails.
    Full,
    /// Half of each write takes effect, and it reports a failure.
    TornWrite,
    /// Syncs of files and of the directory fail.
    SyncFails,
    /// Renames take effect but report a failure.
    RenameReportsFailure,
}

#[derive(Debug)]
pub struct Contents {
    inodes: Vec<Inode>,
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    pub fault: DiskFault,
    /// The maximum total size of the files, in bytes.
    capacity: usize,
    random: u64,
}

/// A handle to the disk; clones share the disk.
#[derive(Debug, Clone)]
pub struct Disk(Arc<Mutex<Contents>>);

impl Disk {
    pub fn new(seed: u64) -> Disk {
        Disk(Arc::new(Mutex::new(Contents {
            inodes: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            fault: DiskFault::None,
            capacity: usize::MAX,
            random: seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
        })))
    }

    pub fn contents(&self) -> MutexGuard<'_, Contents> {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    pub fn set_fault(&self, fault: DiskFault) {
        self.contents().fault = fault;
    }

    /// Limits the total size of the files. A write beyond it is truncated and fails.
    pub fn set_capacity(&self, bytes: usize) {
        self.contents().capacity = bytes;
    }

    /// The total size of the files, in bytes.
    pub fn space(&self) -> usize {
        self.contents().space()
    }

    /// The contents of a file.
    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let contents = self.contents();
        contents.names.get(name).map(|inode| contents.inodes[*inode].current.clone()).unwrap_or_default()
    }

    /// Replaces the contents of a file durably.
    pub fn put(&self, name: &str, bytes: &[u8]) {
        let mut contents = self.contents();
        let inode = contents.inode(name);
        contents.inodes[inode] =
            Inode { durable: bytes.to_vec(), current: bytes.to_vec(), unsynced: Vec::new() };
        contents.durable_names = contents.names.clone();
    }

    /// Draws at random whether a fault occurs, which one, and whether power is lost.
    pub fn draw_faults(&self) -> (bool, u64, bool) {
        let mut contents = self.contents();
        (contents.below(4) == 0, contents.below(5), contents.below(6) == 0)
    }

    /// Simulates a power loss and a restart.
    pub fn lose_power(&self) {
        let mut contents = self.contents();
        contents.fault = DiskFault::None;
        let renamed = contents.below(2) == 0;
        contents.names = if renamed { contents.names.clone() } else { contents.durable_names.clone() };
        contents.durable_names = contents.names.clone();
        for index in 0..contents.inodes.len() {
            let operations = std::mem::take(&mut contents.inodes[index].unsynced);
            let mut bytes = contents.inodes[index].durable.clone();
            for operation in operations {
                match contents.below(3) {
                    0 => {}
                    1 => apply(&mut bytes, &operation),
                    _ => {
                        let torn = contents.torn(operation);
                        apply(&mut bytes, &torn);
                    }
                }
            }
            contents.inodes[index] = Inode { durable: bytes.clone(), current: bytes, unsynced: Vec::new() };
        }
    }
}

fn apply(bytes: &mut Vec<u8>, operation: &UnsyncedOperation) {
    match operation {
        UnsyncedOperation::Length(length) => bytes.resize(*length as usize, 0),
        UnsyncedOperation::Write { offset, bytes: written } => {
            let end = *offset as usize + written.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*offset as usize..end].copy_from_slice(written);
        }
    }
}

impl Contents {
    pub fn below(&mut self, limit: u64) -> u64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % limit
    }

    fn space(&self) -> usize {
        self.names.values().map(|inode| self.inodes[*inode].current.len()).sum()
    }

    fn inode(&mut self, name: &str) -> usize {
        if let Some(inode) = self.names.get(name) {
            return *inode;
        }
        self.inodes.push(Inode::default());
        let inode = self.inodes.len() - 1;
        self.names.insert(name.to_owned(), inode);
        inode
    }

    fn torn(&mut self, operation: UnsyncedOperation) -> UnsyncedOperation {
        match operation {
            UnsyncedOperation::Write { offset, mut bytes } => {
                let kept = self.below(bytes.len() as u64 + 1) as usize;
                bytes.truncate(kept);
                UnsyncedOperation::Write { offset, bytes }
            }
            length => length,
        }
    }

    fn fail_on(&self, faults: &[DiskFault]) -> io::Result<()> {
        if faults.contains(&self.fault) { Err(io::Error::from(io::ErrorKind::StorageFull)) } else { Ok(()) }
    }

    fn apply_unsynced(&mut self, inode: usize, operation: UnsyncedOperation) {
        apply(&mut self.inodes[inode].current, &operation);
        self.inodes[inode].unsynced.push(operation);
    }
}

impl Directory for Disk {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let contents = self.contents();
        Ok(contents.names.get(name).map(|inode| contents.inodes[*inode].current.clone()))
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        let mut contents = self.contents();
        if !contents.names.contains_key(name) {
            contents.fail_on(&[DiskFault::Full])?;
        }
        let inode = contents.inode(name);
        Ok(Box::new(OpenFile { disk: self.clone(), inode, name: name.to_owned() }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut contents = self.contents();
        contents.fail_on(&[DiskFault::Full])?;
        let inode = contents.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        contents.names.insert(to.to_owned(), inode);
        contents.fail_on(&[DiskFault::RenameReportsFailure])
    }

    fn sync(&self) -> io::Result<()> {
        let mut contents = self.contents();
        contents.fail_on(&[DiskFault::SyncFails])?;
        contents.durable_names = contents.names.clone();
        Ok(())
    }
}

struct OpenFile {
    disk: Disk,
    inode: usize,
    name: String,
}

impl WritableFile for OpenFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut contents = self.disk.contents();
        contents.fail_on(&[DiskFault::Full])?;
        let grown = (offset as usize + bytes.len()).saturating_sub(contents.inodes[self.inode].current.len());
        if contents.space() + grown > contents.capacity {
            let available = contents.capacity.saturating_sub(contents.space()).min(bytes.len());
            contents.apply_unsynced(
                self.inode,
                UnsyncedOperation::Write { offset, bytes: bytes[..available].to_vec() },
            );
            return Err(io::Error::from(io::ErrorKind::StorageFull));
        }
        let is_torn = contents.fault == DiskFault::TornWrite;
        let bytes = if is_torn { bytes[..bytes.len() / 2].to_vec() } else { bytes.to_vec() };
        contents.apply_unsynced(self.inode, UnsyncedOperation::Write { offset, bytes });
        contents.fail_on(&[DiskFault::TornWrite])
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        let mut contents = self.disk.contents();
        contents.fail_on(&[DiskFault::Full])?;
        contents.apply_unsynced(self.inode, UnsyncedOperation::Length(length));
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut contents = self.disk.contents();
        contents.fail_on(&[DiskFault::SyncFails])?;
        let inode = &mut contents.inodes[self.inode];
        inode.durable = inode.current.clone();
        inode.unsynced.clear();
        let (name, inode) = (self.name.clone(), self.inode);
        // Syncing a new file also makes its name durable; a name that referred to another file becomes durable only when
        // the directory is synced.
        if contents.names.get(&name) == Some(&inode) {
            contents.durable_names.entry(name).or_insert(inode);
        }
        Ok(())
    }
}
