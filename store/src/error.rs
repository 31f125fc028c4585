//! Errors of opening and writing the stored state.

use std::io;

use gradepaddle_proto::DecodeError;
use snafu::Snafu;

/// Why the stored state couldn't be read or made durable.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The directory couldn't be created or opened.
    #[snafu(display("the state directory can't be opened: {source}"))]
    OpenDirectory {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The log couldn't be read.
    #[snafu(display("the state can't be read: {source}"))]
    Read {
        /// The error of the operating system.
        source: io::Error,
    },
    /// A write failed; it may be retried.
    #[snafu(display("the state can't be written: {source}"))]
    Write {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The log has a format version that this build doesn't support.
    #[snafu(display("the log has format version {format}, which this build doesn't support"))]
    UnknownFormat {
        /// The format version of the log.
        format: u32,
    },
    /// An entry has a valid checksum, but this build can't decode it.
    #[snafu(display("the entry at byte {offset} has a valid checksum but can't be decoded by this build"))]
    UnreadableEntry {
        /// The offset of the entry in the log, in bytes.
        offset: usize,
        /// Why it can't be decoded.
        source: DecodeError,
    },
    /// The log has reached its maximum length, and no checkpoint has succeeded.
    #[snafu(display("the log has {length} bytes and can't be checkpointed"))]
    LogFull {
        /// The length of the log in bytes.
        length: u64,
    },
}
