//! The folder that the processes of one balancer share: small files, written whole or not at all.

use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use super::record::Process;

/// No file of ours is longer.
const MOST: u64 = 4 * 1024 * 1024;
/// A process's file has this length at all times, so that it is written in one piece over itself.
const LINE: usize = 160;

/// The folder.
pub struct Folder(PathBuf);

impl Folder {
    /// The folder of this balancer, made if need be.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the folder can't be made or opened.
    pub fn open(within: &Path, name: &str) -> io::Result<Folder> {
        let path = within.join(name);
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }

    /// Puts this text at a name, in place of what is there.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the text is not on disk, and what was there stays.
    pub fn write(&self, name: &str, text: &[u8]) -> io::Result<()> {
        let fresh = self.0.join(format!("new-{}-{name}", std::process::id()));
        let done = fs::write(&fresh, text).and_then(|()| fs::rename(&fresh, self.0.join(name)));
        if done.is_err() {
            // Nothing is left of it, as far as that can be had.
            let _ = fs::remove_file(&fresh);
        }
        done
    }

    /// What stands at a name.
    ///
    /// # Errors
    ///
    /// The error of the operating system, also where nothing has that name.
    pub fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let path = self.0.join(name);
        if fs::metadata(&path)?.len() > MOST {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        fs::read(path)
    }

    /// Takes a name away; no fault if it is not there.
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

    /// The names that begin so, in order.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the folder can't be listed.
    pub fn names(&self, prefix: &str) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.0)? {
            names.extend(entry?.file_name().into_string().ok().filter(|name| name.starts_with(prefix)));
        }
        names.sort();
        Ok(names)
    }

    /// Enters a process: its file is there only while it holds the lock on it.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the file can't be made or locked.
    pub fn enter(&self, name: &str, process: &Process) -> io::Result<Entry> {
        let fresh = self.0.join(format!("new-{name}"));
        let file = File::create(&fresh)?;
        file.lock()?;
        let entry = Entry(file);
        entry.say(process)?;
        fs::rename(fresh, self.0.join(name))?;
        Ok(entry)
    }

    /// Holds the others off while this process looks and says what it claims; none if another does just now.
    /// Not waited for: whoever holds it may have been stopped.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the lock's file can't be opened.
    pub fn turn(&self) -> io::Result<Option<File>> {
        let file = File::options().create(true).append(true).open(self.0.join("turn"))?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// The processes that live, but for the one of this name. What a dead one left is cleared away.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the folder can't be listed.
    pub fn processes(&self, but: &str) -> io::Result<Vec<Process>> {
        let mut live = Vec::new();
        for name in self.names("process-")? {
            if name == but {
                continue;
            }
            // Another may have cleared it away meanwhile.
            let Ok(file) = File::open(self.0.join(&name)) else { continue };
            match file.try_lock_shared() {
                Err(TryLockError::WouldBlock) => {}
                _ => {
                    self.remove(&name)?;
                    continue;
                }
            }
            let mut text = vec![0; LINE];
            let count = file.read_at(&mut text, 0)?;
            live.extend(serde_json::from_slice::<Process>(&text[..count]));
        }
        Ok(live)
    }
}

/// A process's own file, locked for as long as this is held.
pub struct Entry(File);

impl Entry {
    /// Says anew what holds of the process.
    ///
    /// # Errors
    ///
    /// The error of the operating system: the file can't be written.
    pub fn say(&self, process: &Process) -> io::Result<()> {
        let mut line = serde_json::to_vec(process)?;
        line.resize(LINE - 1, b' ');
        line.push(b'\n');
        self.0.write_all_at(&line, 0)
    }
}
