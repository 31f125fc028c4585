//! The framing of the log: a file header, then frames of length, checksum and content, all little-endian.
//!
//! The checksum of a frame also covers the checksum of the frame before it. A frame left behind by an earlier, failed write
//! therefore can't be mistaken for the successor of the current last frame.

use crc32fast::Hasher;

/// The magic number at the start of the file.
const MAGIC: &[u8; 4] = b"gpcs";
/// The format version of the file.
pub(crate) const FORMAT_VERSION: u32 = 1;
/// Length of magic number and format version, in bytes.
pub(crate) const FILE_HEADER_BYTES: usize = 8;
/// Length of the header of a frame, in bytes: length and checksum.
pub(crate) const FRAME_HEADER_BYTES: usize = 8;

/// The seed of the checksum of the first frame, in place of the previous checksum.
pub(crate) const INITIAL_CHECKSUM: u32 = FORMAT_VERSION;

/// The header of a file.
pub(crate) fn file_header() -> Vec<u8> {
    [MAGIC.as_slice(), &FORMAT_VERSION.to_le_bytes()].concat()
}

/// The format version of a file, if it starts with the magic number.
pub(crate) fn format_version(file: &[u8]) -> Option<u32> {
    let format = file.strip_prefix(MAGIC)?.get(..4)?;
    format.try_into().ok().map(u32::from_le_bytes)
}

/// Appends a frame and returns its checksum, which the checksum of the next frame covers.
pub(crate) fn append(to: &mut Vec<u8>, previous: u32, content: &[u8]) -> u32 {
    let checksum = checksum(previous, content);
    to.extend_from_slice(&u32::try_from(content.len()).unwrap_or(u32::MAX).to_le_bytes());
    to.extend_from_slice(&checksum.to_le_bytes());
    to.extend_from_slice(content);
    checksum
}

/// A decoded frame.
pub(crate) struct Frame<'a> {
    pub content: &'a [u8],
    /// Its checksum, which the checksum of the next frame covers.
    pub checksum: u32,
    /// The offset at which the next frame begins, in bytes.
    pub end: usize,
}

/// Reads the frame at an offset; `None` if it is truncated or its checksum over `previous` and the content doesn't match.
pub(crate) fn read(file: &[u8], offset: usize, previous: u32) -> Option<Frame<'_>> {
    let header = file.get(offset..offset.checked_add(FRAME_HEADER_BYTES)?)?;
    let (length, stored) = header.split_at(4);
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let stored = u32::from_le_bytes(stored.try_into().ok()?);
    let start = offset + FRAME_HEADER_BYTES;
    let end = start.checked_add(length)?;
    let content = file.get(start..end)?;
    (checksum(previous, content) == stored).then_some(Frame { content, checksum: stored, end })
}

fn checksum(previous: u32, content: &[u8]) -> u32 {
    let mut hasher = Hasher::new();
    hasher.update(&previous.to_le_bytes());
    hasher.update(&(content.len() as u64).to_le_bytes());
    hasher.update(content);
    hasher.finalize()
}
