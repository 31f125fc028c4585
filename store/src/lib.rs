//! The control state of a replica on disk, which it recovers after a crash or a power loss.
//!
//! The file [`LOG_FILE`] holds a snapshot and the entries appended since. A checkpoint writes a new log to
//! [`CHECKPOINT_FILE`], syncs it and renames it over the old one. The checksum of each frame covers that of the previous
//! frame, so that neither a torn tail nor the remains of an earlier, failed write are read as entries.
//!
//! This is a separate crate because only it blocks on the disk: `gradepaddle-control` decides what must be durable and
//! does no I/O; [`Writer`] runs the writes on a dedicated thread. `okaywal` was considered and rejected: on a full disk it
//! panics during its rollback, and a segment whose creation was interrupted by a power loss keeps it from opening.

mod directory;
mod entry;
mod error;
mod frame;
mod log;
mod storage;
mod writer;

pub use directory::{Directory, FsDirectory, WritableFile};
pub use error::StoreError;
pub use log::{CHECKPOINT_FILE, LOG_FILE};
pub use storage::{CHECKPOINT_BYTES, LogLimits, Opened, Origin, Storage};
pub use writer::{WriteResult, Writer};
