//! The file system operations that the store needs; tests substitute a simulated disk.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, ErrorKind},
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

/// A directory. The content of a file is durable once the file has been synced, and its name once the directory has been.
pub trait Directory: Send {
    /// Reads a whole file, if one of this name exists.
    ///
    /// # Errors
    ///
    /// The error of the operating system, unless the file doesn't exist.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Opens a file for writing; creates an empty one if none exists.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn open(&self, name: &str) -> io::Result<Box<dyn WritableFile>>;
    /// Renames a file, replacing the one of the new name.
    ///
    /// # Errors
    ///
    /// The error of the operating system. The rename may have taken effect nevertheless.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Makes created and renamed names durable.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn sync(&self) -> io::Result<()>;
}

/// A file that is open for writing.
pub trait WritableFile: Send {
    /// Writes all bytes at an offset.
    ///
    /// # Errors
    ///
    /// The error of the operating system. Any part of the bytes may have been written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Truncates or extends the file to a length in bytes.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    fn set_len(&mut self, length: u64) -> io::Result<()>;
    /// Makes content and length durable.
    ///
    /// # Errors
    ///
    /// The error of the operating system. What was written since the last sync may or may not be durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Debug)]
pub struct FsDirectory {
    path: PathBuf,
}

impl FsDirectory {
    /// Creates the directory if it doesn't exist.
    ///
    /// # Errors
    ///
    /// The error of the operating system.
    pub fn new(path: &Path) -> io::Result<FsDirectory> {
        fs::create_dir_all(path)?;
        Ok(FsDirectory { path: path.to_owned() })
    }
}

impl Directory for FsDirectory {
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn WritableFile>> {
        let file = OpenOptions::new().write(true).create(true).truncate(false).open(self.path.join(name))?;
        Ok(Box::new(FsFile(file)))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

struct FsFile(File);

impl WritableFile for FsFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all_at(bytes, offset)
    }

    fn set_len(&mut self, length: u64) -> io::Result<()> {
        self.0.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.0.sync_all()
    }
}
