//! The compressed form in which large payloads are transferred, identified by its size and checksum.
//!
//! Two builds may compress the same payload to different bytes. Blocks of different encodings can't be combined, so every
//! block names its encoding.

use std::sync::Arc;

use miniz_oxide::deflate::compress_to_vec;
use miniz_oxide::inflate::decompress_to_vec_with_limit;

/// Compression level, from 0 (none) to 10 (slowest).
const COMPRESSION_LEVEL: u8 = 6;
/// The largest payload that is transferred in this form, in bytes. It bounds the output of the decompression.
const MAX_PAYLOAD_BYTES: usize = 32 * 1024 * 1024;

/// Identifies the encoded form of a payload.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EncodingId {
    /// Length of the encoded form, in bytes.
    pub bytes: u32,
    /// CRC-32 of the encoded form.
    pub checksum: u32,
}

impl EncodingId {
    fn of(content: &[u8]) -> Option<Self> {
        Some(Self { bytes: u32::try_from(content.len()).ok()?, checksum: crc32fast::hash(content) })
    }

    /// Length of the encoded form, in bytes.
    pub(crate) fn len(self) -> usize {
        self.bytes as usize
    }

    /// Whether the length is within the bounds of this form of transfer.
    pub(crate) fn is_plausible(self) -> bool {
        (1..=MAX_PAYLOAD_BYTES).contains(&self.len())
    }
}

/// The encoded form of a payload.
#[derive(Debug, Clone)]
pub(crate) struct Encoded {
    pub id: EncodingId,
    pub content: Arc<[u8]>,
}

impl Encoded {
    /// Encodes a payload; `None` if it is too long to be transferred in this form.
    pub(crate) fn of(payload: &[u8]) -> Option<Self> {
        if payload.len() > MAX_PAYLOAD_BYTES {
            return None;
        }
        let content = compress_to_vec(payload, COMPRESSION_LEVEL);
        let id = EncodingId::of(&content).filter(|id| id.is_plausible())?;
        Some(Self { id, content: Arc::from(content) })
    }

    /// Wraps a completely received encoded form; `None` if its length or checksum differs from `id`.
    pub(crate) fn received(id: EncodingId, content: Vec<u8>) -> Option<Self> {
        (EncodingId::of(&content) == Some(id)).then(|| Self { id, content: Arc::from(content) })
    }

    /// Decompresses the payload; `None` if the content is not valid.
    pub(crate) fn decode(&self) -> Option<Vec<u8>> {
        decompress_to_vec_with_limit(&self.content, MAX_PAYLOAD_BYTES).ok()
    }
}
