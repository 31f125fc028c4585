//! The fleet file: the keepers of the book, their addresses, and the keys of the cluster. Unknown fields are rejected; each
//! error names the place in the file and a remedy.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use gradepaddle_book::frame::{ClusterKeys, Key};
use serde::Deserialize;
use thiserror::Error;

/// Why a fleet file is rejected.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file can't be read.
    #[error("{0}: {1}; name a file that can be read, or unset GRADEPADDLE_FLEET")]
    Unreadable(String, std::io::Error),
    /// The file is not valid TOML or has unknown or missing fields; the message has the line and column.
    #[error("{0}: {1}")]
    Syntax(String, String),
    /// A value is invalid.
    #[error("{file}: {field}: {what}; {remedy}")]
    Value {
        /// The file.
        file: String,
        /// The field.
        field: String,
        /// What is wrong.
        what: String,
        /// What to do.
        remedy: &'static str,
    },
    /// The settings forbid balancers to share anything.
    #[error("the settings say peers: false, so balancers must share nothing; unset GRADEPADDLE_FLEET")]
    Forbidden,
}

/// A keeper's name and address.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeeperAddress {
    /// Its balancer's name.
    pub name: String,
    /// Where the other processes connect to it.
    pub address: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KeyEntry {
    id: u32,
    secret: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFile {
    cluster: String,
    disk: Option<PathBuf>,
    listen: Option<SocketAddr>,
    #[serde(default)]
    keeper: Vec<KeeperAddress>,
    #[serde(default)]
    key: Vec<KeyEntry>,
}

/// A valid fleet file, as seen by one balancer.
#[derive(Clone, Debug)]
pub struct FleetFile {
    /// The cluster's name and its keys.
    pub seal: ClusterKeys,
    /// All keepers.
    pub keepers: Vec<KeeperAddress>,
    /// If this balancer is a keeper: where it listens, and the file of its disk.
    pub own_keeper: Option<(SocketAddr, PathBuf)>,
}

impl FleetFile {
    /// Reads the file for the balancer of this name.
    ///
    /// # Errors
    ///
    /// [`FileError`] if the file can't be read or is not valid.
    pub fn read(path: &Path, name: &str) -> Result<FleetFile, FileError> {
        let path_text = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| FileError::Unreadable(path_text.clone(), e))?;
        Self::parse(&text, &path_text, name)
    }

    fn parse(text: &str, path_text: &str, name: &str) -> Result<FleetFile, FileError> {
        let text: RawFile =
            toml::from_str(text).map_err(|e| FileError::Syntax(path_text.to_owned(), e.to_string()))?;
        let invalid = |field: &str, what: String, remedy| {
            Err(FileError::Value { file: path_text.to_owned(), field: field.to_owned(), what, remedy })
        };
        if !matches!(text.keeper.len(), 3 | 5 | 7) {
            let what = format!("{} of them", text.keeper.len());
            return invalid("keeper", what, "name 3, 5 or 7: an even number bears no more losses");
        }
        for (at, keeper) in text.keeper.iter().enumerate() {
            let is_duplicate =
                |other: &KeeperAddress| other.name == keeper.name || other.address == keeper.address;
            if text.keeper[..at].iter().any(is_duplicate) {
                let field = format!("keeper {}", at + 1);
                return invalid(&field, "named twice".into(), "give each its own name and address");
            }
        }
        if !matches!(text.key.len(), 1 | 2) {
            let what = format!("{} of them", text.key.len());
            return invalid("key", what, "give one, or two during a rotation: the first signs");
        }
        let mut keys = Vec::new();
        for (at, key) in text.key.iter().enumerate() {
            let secret = blake3::Hash::from_hex(&key.secret).map(|bytes| *bytes.as_bytes());
            match secret {
                Ok(secret) if keys.iter().all(|known: &Key| known.id != key.id) => {
                    keys.push(Key { id: key.id, secret });
                }
                Ok(_) => {
                    let what = format!("number {} comes twice", key.id);
                    return invalid(&format!("key {}", at + 1), what, "give each key its own number");
                }
                Err(_) => {
                    let what = "the secret is not 64 hexadecimal digits".to_owned();
                    return invalid(&format!("key {}", at + 1), what, "draw 32 random bytes for it");
                }
            }
        }
        let own_entry = text.keeper.iter().find(|keeper| keeper.name == name);
        let own_keeper = match (own_entry, text.disk) {
            (None, _) => None,
            (Some(keeper), Some(disk)) => Some((text.listen.unwrap_or(keeper.address), disk)),
            (Some(_), None) => {
                let what = format!("missing, and {name} keeps the book");
                return invalid("disk", what, "name a file in a folder that outlives the process");
            }
        };
        let seal = ClusterKeys { cluster: text.cluster, keys };
        Ok(FleetFile { seal, keepers: text.keeper, own_keeper })
    }
}

#[cfg(test)]
mod tests;
