//! The directory that the processes of one balancer share: small files that are written atomically.

use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use super::record::Process;

/// The size limit of a file in bytes; the daemon writes none that is larger.
const MAX_FILE_SIZE: u64 = 4 * 1024 * 1024;
/// The size of a process file in bytes. It is constant, so that the file is overwritten in place by one write.
const PROCESS_FILE_SIZE: usize = 160;

/// The directory.
pub struct SharedDirectory(PathBuf);

impl SharedDirectory {
    /// Opens the directory of this balancer, and creates it if it is missing.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the directory can't be created or opened.
    pub fn open(parent: &Path, name: &str) -> io::Result<SharedDirectory> {
        let path = parent.join(name);
        fs::create_dir_all(&path)?;
        Ok(SharedDirectory(path))
    }

    /// Replaces a file's content, or creates the file.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the text is not on disk, and the previous content stays.
    pub fn write(&self, name: &str, text: &[u8]) -> io::Result<()> {
        let temporary = self.0.join(format!("new-{}-{name}", std::process::id()));
        let result = fs::write(&temporary, text).and_then(|()| fs::rename(&temporary, self.0.join(name)));
        if result.is_err() {
            // Best effort: the temporary file may not exist.
            let _ = fs::remove_file(&temporary);
        }
        result
    }

    /// Reads a file.
    ///
    /// # Errors
    ///
    /// The error of the operating system, also if there is no such file.
    pub fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let path = self.0.join(name);
        if fs::metadata(&path)?.len() > MAX_FILE_SIZE {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        fs::read(path)
    }

    /// Removes a file; not an error if there is none.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn remove(&self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.0.join(name)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// The names of all files with this prefix, in order.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the directory can't be listed.
    pub fn names(&self, prefix: &str) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.0)? {
            names.extend(entry?.file_name().into_string().ok().filter(|name| name.starts_with(prefix)));
        }
        names.sort();
        Ok(names)
    }

    /// Adds a process. Its file gets its name only after it is locked, and counts only while the process holds the lock.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the file can't be created or locked.
    pub fn add_process(&self, name: &str, process: &Process) -> io::Result<ProcessFile> {
        let temporary = self.0.join(format!("new-{name}"));
        let file = File::create(&temporary)?;
        file.lock()?;
        let entry = ProcessFile(file);
        entry.write(process)?;
        fs::rename(temporary, self.0.join(name))?;
        Ok(entry)
    }

    /// The lock under which a process reads the claims of the others and writes its own; none if another process holds it. It
    /// is not waited for, because the process that holds it may have been stopped.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the lock's file can't be opened.
    pub fn try_lock(&self) -> io::Result<Option<File>> {
        let file = File::options().create(true).append(true).open(self.0.join("turn"))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// The running processes, without the one of this name. Files of processes that have ended are removed.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the directory can't be listed.
    pub fn processes(&self, own_name: &str) -> io::Result<Vec<Process>> {
        let mut running = Vec::new();
        for name in self.names("process-")? {
            if name == own_name {
                continue;
            }
            // Another process may have removed it meanwhile.
            let Ok(file) = File::open(self.0.join(&name)) else { continue };
            match file.try_lock_shared() {
                Err(TryLockError::WouldBlock) => {}
                _ => {
                    self.remove(&name)?;
                    continue;
                }
            }
            let mut text = vec![0; PROCESS_FILE_SIZE];
            let count = file.read_at(&mut text, 0)?;
            running.extend(serde_json::from_slice::<Process>(&text[..count]));
        }
        Ok(running)
    }
}

/// A process's own file, locked until this is dropped.
pub struct ProcessFile(File);

impl ProcessFile {
    /// Overwrites the file with the process's current record.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the file can't be written.
    pub fn write(&self, process: &Process) -> io::Result<()> {
        let mut line = serde_json::to_vec(process)?;
        line.resize(PROCESS_FILE_SIZE - 1, b' ');
        line.push(b'\n');
        self.0.write_all_at(&line, 0)
    }
}
