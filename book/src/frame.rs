//! What goes between processes: a value with version, cluster, key, sender and serial, and a keyed hash over all of it. What
//! does not fit is named and not looked into.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The version of what is sent.
pub const VERSION: u16 = 1;
/// The longest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 1024 * 1024;
const HASH: usize = blake3::OUT_LEN;

/// A key and its number.
#[derive(Clone, PartialEq, Eq)]
pub struct Key {
    /// Its number.
    pub id: u32,
    /// The key.
    pub secret: [u8; 32],
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "key {}", self.id)
    }
}

/// Why a frame is not taken.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum FrameError {
    /// Not readable at all.
    #[error("a frame that can not be read; see who else sends to this address")]
    Unreadable,
    /// Too long to be sent or taken.
    #[error("a frame of {0} bytes, over {MAX_FRAME_BYTES}; the book holds too much, see its page")]
    TooLong(usize),
    /// Another version.
    #[error("a frame of version {0}, and this is version {VERSION}; finish the roll-out")]
    Version(u16),
    /// Another cluster.
    #[error("a frame of cluster {0:?}; see the addresses in the fleet file")]
    Cluster(String),
    /// A key that is not known here.
    #[error(
        "a frame under key {0}, which the fleet file here does not have; give every process both keys before the old one goes"
    )]
    UnknownKey(u32),
    /// The hash is wrong.
    #[error("a frame whose keyed hash is wrong; the keys differ, or somebody forges")]
    Forged,
    /// It was made for another connection, or came before.
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
    /// The number that the other side drew for this connection; 0 in the first frame, which says no more than that
    /// side's own number and who it is.
    draw: u64,
    serial: u64,
    #[serde(borrow)]
    body: &'a [u8],
}

/// The cluster's name and keys: the first signs, any is accepted.
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
    seal: ClusterKeys,
    name: String,
    /// What this side has drawn; the other side's frames carry it.
    own: u64,
    /// What the other side has drawn; none before its first frame.
    other: Option<u64>,
    sent: u64,
    taken: u64,
}

impl Session {
    /// A side that has drawn this number, and is called so.
    pub fn new(seal: ClusterKeys, name: &str, own: u64) -> Self {
        Session { seal, name: name.to_owned(), own, other: None, sent: 0, taken: 0 }
    }

    /// True once the other side's first frame has come: only then may more than the first be sent.
    pub fn is_established(&self) -> bool {
        self.other.is_some()
    }

    /// The first frame: what this side has drawn.
    ///
    /// # Errors
    ///
    /// None but what [`Session::encode`] has.
    pub fn handshake(&mut self) -> Result<Vec<u8>, FrameError> {
        self.write(0, &self.own.to_le_bytes())
    }

    /// A frame with this in it.
    ///
    /// # Errors
    ///
    /// It is too long, or cannot be written down.
    pub fn encode(&mut self, value: &impl Serialize) -> Result<Vec<u8>, FrameError> {
        let body = postcard::to_stdvec(value).map_err(|_| FrameError::Unreadable)?;
        self.write(self.other.unwrap_or(0), &body)
    }

    fn write(&mut self, draw: u64, body: &[u8]) -> Result<Vec<u8>, FrameError> {
        let key = self.seal.keys.first().ok_or(FrameError::UnknownKey(0))?;
        let frame = Frame {
            version: VERSION,
            cluster: &self.seal.cluster,
            key: key.id,
            from: &self.name,
            draw,
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
        let at = bytes.len().checked_sub(HASH).ok_or(FrameError::Unreadable)?;
        let (text, hash) = bytes.split_at(at);
        let frame: Frame<'a> = postcard::from_bytes(text).map_err(|_| FrameError::Unreadable)?;
        if frame.version != VERSION {
            return Err(FrameError::Version(frame.version));
        }
        if frame.cluster != self.seal.cluster {
            return Err(FrameError::Cluster(frame.cluster.chars().take(64).collect()));
        }
        let key = self.seal.keys.iter().find(|key| key.id == frame.key);
        let key = key.ok_or(FrameError::UnknownKey(frame.key))?;
        let told: [u8; HASH] = hash.try_into().map_err(|_| FrameError::Unreadable)?;
        // Compared in constant time, as the library does for its own type.
        if blake3::keyed_hash(&key.secret, text) != told {
            return Err(FrameError::Forged);
        }
        Ok(frame)
    }

    /// Takes the other side's first frame, and gives back its name.
    ///
    /// # Errors
    ///
    /// It is none.
    pub fn accept_handshake(&mut self, bytes: &[u8]) -> Result<String, FrameError> {
        let frame = self.open(bytes)?;
        let drawn = frame.body.try_into().map_err(|_| FrameError::Unreadable)?;
        if frame.serial != 0 || frame.draw != 0 {
            return Err(FrameError::Replayed);
        }
        (self.other, self.taken) = (Some(u64::from_le_bytes(drawn)), 1);
        Ok(frame.from.to_owned())
    }

    /// Takes any further frame.
    ///
    /// # Errors
    ///
    /// It is not from the other side, or not the next of this connection.
    pub fn decode<T: DeserializeOwned>(&mut self, bytes: &[u8]) -> Result<T, FrameError> {
        let frame = self.open(bytes)?;
        if frame.draw != self.own || frame.serial != self.taken {
            return Err(FrameError::Replayed);
        }
        let value = postcard::from_bytes(frame.body).map_err(|_| FrameError::Unreadable)?;
        self.taken += 1;
        Ok(value)
    }
}

#[cfg(test)]
mod tests;
