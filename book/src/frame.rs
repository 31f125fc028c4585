//! Frames between processes: a value with version, cluster name, key id, sender, nonce and serial number, and a keyed hash
//! over all of it. A frame that fails a check is rejected with the reason, and its body is not decoded.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of the frame format.
pub const VERSION: u16 = 1;
/// The longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
const HASH_BYTES: usize = blake3::OUT_LEN;

/// A shared key and its id.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Its id.
    pub id: u32,
    /// The secret.
    pub secret: [u8; 32],
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "key {}", self.id)
    }
}

/// Why a frame is not accepted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// It can not be decoded.
    #[error("a frame that can not be read; see who else sends to this address")]
    Unreadable,
    /// It is longer than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes, over {MAX_FRAME_BYTES}; the book holds too much, see its page")]
    TooLong(usize),
    /// It has another format version.
    #[error("a frame of version {0}, and this is version {VERSION}; finish the roll-out")]
    Version(u16),
    /// It belongs to another cluster.
    #[error("a frame of cluster {0:?}; see the addresses in the fleet file")]
    Cluster(String),
    /// Its key is not known here.
    #[error(
        "a frame under key {0}, which the fleet file here does not have; give every process both keys before the old one goes"
    )]
    UnknownKey(u32),
    /// Its keyed hash is wrong.
    #[error("a frame whose keyed hash is wrong; the keys differ, or somebody forges")]
    Forged,
    /// It was made for another connection, or was received before.
    #[error("a frame that was sent before or for another connection; somebody replays, or a proxy doubles")]
    Replayed,
}

#[derive(Serialize, Deserialize)]
struct Frame<'a> {
    version: u16,
    #[serde(borrow)]
    cluster: &'a str,
    key: u32,
    #[serde(borrow)]
    from: &'a str,
    /// The nonce that the receiver drew for this connection; 0 in the first frame, which carries only the sender's own nonce
    /// and name.
    nonce: u64,
    serial: u64,
    #[serde(borrow)]
    body: &'a [u8],
}

/// The cluster's name and keys. The first key signs; all of them are accepted.
#[derive(Clone, Debug)]
pub struct ClusterKeys {
    /// The cluster's name.
    pub cluster: String,
    /// One key, or two during a rotation.
    pub keys: Vec<Key>,
}

/// One side of a connection.
#[derive(Debug)]
pub struct Session {
    cluster_keys: ClusterKeys,
    name: String,
    /// The nonce of this side; the peer's frames carry it.
    own_nonce: u64,
    /// The peer's nonce; none before its first frame.
    peer_nonce: Option<u64>,
    sent: u64,
    received: u64,
}

impl Session {
    /// Creates one side of a connection, with its name and the nonce that it has drawn.
    pub fn new(cluster_keys: ClusterKeys, name: &str, own_nonce: u64) -> Self {
        Session { cluster_keys, name: name.to_owned(), own_nonce, peer_nonce: None, sent: 0, received: 0 }
    }

    /// True once the peer's first frame has been accepted. Only then may frames after the first be sent.
    pub fn is_established(&self) -> bool {
        self.peer_nonce.is_some()
    }

    /// Encodes the first frame, which carries this side's nonce.
    ///
    /// # Errors
    ///
    /// As for [`Session::encode`].
    pub fn handshake(&mut self) -> Result<Vec<u8>, FrameError> {
        self.seal(0, &self.own_nonce.to_le_bytes())
    }

    /// Encodes a frame with this value as its body.
    ///
    /// # Errors
    ///
    /// It is too long, or the value cannot be serialized.
    pub fn encode(&mut self, value: &impl Serialize) -> Result<Vec<u8>, FrameError> {
        let body = postcard::to_stdvec(value).map_err(|_| FrameError::Unreadable)?;
        self.seal(self.peer_nonce.unwrap_or(0), &body)
    }

    fn seal(&mut self, nonce: u64, body: &[u8]) -> Result<Vec<u8>, FrameError> {
        let key = self.cluster_keys.keys.first().ok_or(FrameError::UnknownKey(0))?;
        let frame = Frame {
            version: VERSION,
            cluster: &self.cluster_keys.cluster,
            key: key.id,
            from: &self.name,
            nonce,
            serial: self.sent,
            body,
        };
        let mut bytes = postcard::to_stdvec(&frame).map_err(|_| FrameError::Unreadable)?;
        let hash = blake3::keyed_hash(&key.secret, &bytes);
        bytes.extend_from_slice(hash.as_bytes());
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(bytes.len()));
        }
        self.sent += 1;
        Ok(bytes)
    }

    fn open<'a>(&self, bytes: &'a [u8]) -> Result<Frame<'a>, FrameError> {
        if bytes.len() > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong(bytes.len()));
        }
        let at = bytes.len().checked_sub(HASH_BYTES).ok_or(FrameError::Unreadable)?;
        let (text, hash) = bytes.split_at(at);
        let frame: Frame<'a> = postcard::from_bytes(text).map_err(|_| FrameError::Unreadable)?;
        if frame.version != VERSION {
            return Err(FrameError::Version(frame.version));
        }
        if frame.cluster != self.cluster_keys.cluster {
            return Err(FrameError::Cluster(frame.cluster.chars().take(64).collect()));
        }
        let key = self.cluster_keys.keys.iter().find(|key| key.id == frame.key);
        let key = key.ok_or(FrameError::UnknownKey(frame.key))?;
        let received: [u8; HASH_BYTES] = hash.try_into().map_err(|_| FrameError::Unreadable)?;
        // `blake3::Hash` compares in constant time.
        if blake3::keyed_hash(&key.secret, text) != received {
            return Err(FrameError::Forged);
        }
        Ok(frame)
    }

    /// Accepts the peer's first frame and returns the peer's name.
    ///
    /// # Errors
    ///
    /// It is not a valid first frame.
    pub fn accept_handshake(&mut self, bytes: &[u8]) -> Result<String, FrameError> {
        let frame = self.open(bytes)?;
        let nonce = frame.body.try_into().map_err(|_| FrameError::Unreadable)?;
        if frame.serial != 0 || frame.nonce != 0 {
            return Err(FrameError::Replayed);
        }
        (self.peer_nonce, self.received) = (Some(u64::from_le_bytes(nonce)), 1);
        Ok(frame.from.to_owned())
    }

    /// Checks and decodes any later frame.
    ///
    /// # Errors
    ///
    /// It is not from the peer, or not the next frame of this connection.
    pub fn decode<T: DeserializeOwned>(&mut self, bytes: &[u8]) -> Result<T, FrameError> {
        let frame = self.open(bytes)?;
        if frame.nonce != self.own_nonce || frame.serial != self.received {
            return Err(FrameError::Replayed);
        }
        let value = postcard::from_bytes(frame.body).map_err(|_| FrameError::Unreadable)?;
        self.received += 1;
        Ok(value)
    }
}

#[cfg(test)]
mod tests;
