//! The fleet file: who keeps the book, where, and under which keys. Unknown keys are refused; each error says where and
//! what to do.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use gradepaddle_book::frame::{ClusterKeys, Key};
use serde::Deserialize;
use thiserror::Error;

/// Why a fleet file is not taken.
#[derive(Debug, Error)]
pub enum FileError {
    /// It can not be read.
    #[error("{0}: {1}; name a file that can be read, or unset GRADEPADDLE_FLEET")]
    Unreadable(String, std::io::Error),
    /// It is no such file, with line and column.
    #[error("{0}: {1}")]
    Syntax(String, String),
    /// A value makes no sense.
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
    /// The settings forbid it.
    #[error("the settings say peers: false, so balancers must share nothing; unset GRADEPADDLE_FLEET")]
    Forbidden,
}

/// A keeper, as the file names it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Named {
    /// Its balancer's name.
    pub name: String,
    /// Where the others reach it.
    pub address: SocketAddr,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NamedKey {
    id: u32,
    secret: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    cluster: String,
    disk: Option<PathBuf>,
    listen: Option<SocketAddr>,
    #[serde(default)]
    keeper: Vec<Named>,
    #[serde(default)]
    key: Vec<NamedKey>,
}

/// What this process does in the fleet.
#[derive(Clone, Debug)]
pub struct File {
    /// The cluster's name and its keys.
    pub seal: ClusterKeys,
    /// All keepers.
    pub keepers: Vec<Named>,
    /// If this is one of them: where it listens, and its disk.
    pub keeps: Option<(SocketAddr, PathBuf)>,
}

impl File {
    /// Reads the file for the balancer of this name.
    ///
    /// # Errors
    ///
    /// [`FileError`] if the file can't be read, is not valid, or does not name this balancer.
    pub fn read(path: &Path, name: &str) -> Result<File, FileError> {
        let place = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| FileError::Unreadable(place.clone(), e))?;
        Self::parse(&text, &place, name)
    }

    fn parse(text: &str, place: &str, name: &str) -> Result<File, FileError> {
        let text: Text =
            toml::from_str(text).map_err(|e| FileError::Syntax(place.to_owned(), e.to_string()))?;
        let wrong = |field: &str, what: String, remedy| {
            Err(FileError::Value { file: place.to_owned(), field: field.to_owned(), what, remedy })
        };
        if !matches!(text.keeper.len(), 3 | 5 | 7) {
            let what = format!("{} of them", text.keeper.len());
            return wrong("keeper", what, "name 3, 5 or 7: an even number bears no more losses");
        }
        for (at, keeper) in text.keeper.iter().enumerate() {
            let twice = |other: &Named| other.name == keeper.name || other.address == keeper.address;
            if text.keeper[..at].iter().any(twice) {
                let field = format!("keeper {}", at + 1);
                return wrong(&field, "named twice".into(), "give each its own name and address");
            }
        }
        if !matches!(text.key.len(), 1 | 2) {
            let what = format!("{} of them", text.key.len());
            return wrong("key", what, "give one, or two during a rotation: the first signs");
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
                    return wrong(&format!("key {}", at + 1), what, "give each key its own number");
                }
                Err(_) => {
                    let what = "the secret is not 64 hexadecimal digits".to_owned();
                    return wrong(&format!("key {}", at + 1), what, "draw 32 random bytes for it");
                }
            }
        }
        let own = text.keeper.iter().find(|keeper| keeper.name == name);
        let keeps = match (own, text.disk) {
            (None, _) => None,
            (Some(keeper), Some(disk)) => Some((text.listen.unwrap_or(keeper.address), disk)),
            (Some(_), None) => {
                let what = format!("missing, and {name} keeps the book");
                return wrong("disk", what, "name a file in a folder that outlives the process");
            }
        };
        let seal = ClusterKeys { cluster: text.cluster, keys };
        Ok(File { seal, keepers: text.keeper, keeps })
    }
}

#[cfg(test)]
mod tests;
