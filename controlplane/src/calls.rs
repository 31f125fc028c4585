//! Calls of servers and of the operator: one dispatch on method and path segments. No I/O.

use std::sync::Arc;

use gradepaddle_config::{Configuration, Findings, Patch, fingerprint};
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::registry::Heartbeat;

/// Comes before the bytes of a patch where its fingerprint is taken.
const PATCH_MARK: &[u8] = b"PATCH ";
/// The status of an answer that says nothing about the call.
const UNAVAILABLE: u16 = 503;

/// A call that makes sense.
#[derive(Clone, Debug)]
pub enum Call {
    /// A server's heartbeat.
    Heartbeat {
        /// The server's id.
        id: String,
        /// What it says.
        heartbeat: Heartbeat,
    },
    /// A server leaves.
    Leave {
        /// The server's id.
        id: String,
    },
    /// A whole configuration, found valid.
    PutConfiguration {
        /// The version that it builds on.
        if_match: u64,
        /// Its own version.
        version: u64,
        /// Its body as it was sent.
        body: Arc<[u8]>,
    },
    /// A patch of a configuration, well-formed.
    PatchConfiguration {
        /// The version that it builds on.
        if_match: u64,
        /// The version that it makes.
        version: u64,
        /// The patch as it was sent.
        patch: Arc<[u8]>,
    },
    /// The newest configuration is read.
    GetConfiguration,
    /// New weights are named.
    NameVersion {
        /// The model.
        model: String,
        /// The version of its weights.
        version: u64,
    },
    /// The state of this node and of the fleet as it sees it.
    Status,
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The body, JSON; empty where there is none.
    pub body: Arc<[u8]>,
    /// From this time of the node's steady clock on it must not be given any more: the lease under which it was
    /// decided may have passed to another. `None` where no lease is needed.
    pub valid_until: Option<Micros>,
}

/// Why a call was turned down, as its answer's body tells.
#[derive(Debug, Serialize)]
struct Message<'a> {
    message: &'a str,
}

/// The body of the call that names new weights.
#[derive(Debug, Deserialize)]
struct NamedVersion {
    model: String,
    version: u64,
}

impl Answer {
    /// Without a body.
    pub fn bare(status: u16) -> Self {
        Answer { status, body: Arc::from([]), valid_until: None }
    }

    /// With a message for people.
    pub fn message(status: u16, text: &str) -> Self {
        // A text always becomes JSON.
        let body = serde_json::to_vec(&Message { message: text }).unwrap_or_default();
        Answer { status, body: Arc::from(body), valid_until: None }
    }

    /// This answer, if it leaves before that time. One that says nothing may leave at any time.
    pub fn before(self, time: Micros) -> Self {
        let valid_until = (self.status != UNAVAILABLE).then_some(time);
        Answer { valid_until, ..self }
    }

    /// What may leave at this time: this answer, or nothing clear if its lease has run out. To be asked at the last
    /// moment, since a process may stand still between deciding and answering.
    pub fn at(self, now: Micros) -> Self {
        match self.valid_until {
            Some(until) if now >= until => Answer::unavailable("the lease ran out before the answer left"),
            _ => self,
        }
    }

    /// Nothing can be said now: the caller goes on to another node.
    pub fn unavailable(text: &str) -> Self {
        Answer::message(UNAVAILABLE, text)
    }
}

/// Reads a call. `if_match` is the field of that name.
///
/// # Errors
///
/// The answer to a call that makes no sense.
pub fn read(method: &str, path: &str, if_match: Option<&str>, body: &[u8]) -> Result<Call, Answer> {
    let mut segments = path.split('/').skip(1);
    let place = [segments.next(), segments.next(), segments.next(), segments.next()];
    match (method, place) {
        ("PUT", [Some("v1"), Some("servers"), Some(id), None]) if !id.is_empty() => {
            let heartbeat = json(body)?;
            Ok(Call::Heartbeat { id: id.to_owned(), heartbeat })
        }
        ("DELETE", [Some("v1"), Some("servers"), Some(id), None]) if !id.is_empty() => {
            Ok(Call::Leave { id: id.to_owned() })
        }
        ("PUT", [Some("v1"), Some("config"), None, None]) => put_configuration(if_match, body),
        ("PATCH", [Some("v1"), Some("config"), None, None]) => patch_configuration(if_match, body),
        ("GET", [Some("v1"), Some("config"), None, None]) => Ok(Call::GetConfiguration),
        ("POST", [Some("v1"), Some("version-put"), None, None]) => {
            let named: NamedVersion = json(body)?;
            Ok(Call::NameVersion { model: named.model, version: named.version })
        }
        ("GET", [Some("v1"), Some("status"), None, None]) => Ok(Call::Status),
        (_, [Some("v1"), Some("servers" | "config" | "version-put" | "status"), ..]) => {
            Err(Answer::message(405, "this path does not take that method"))
        }
        _ => Err(Answer::message(404, "there is no such call")),
    }
}

fn json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Answer> {
    serde_json::from_slice(body).map_err(|error| Answer::message(400, &error.to_string()))
}

/// The version that a change builds on.
fn base_version(if_match: Option<&str>) -> Result<u64, Answer> {
    match if_match.map(|text| text.trim().trim_matches('"').parse::<u64>()) {
        Some(Ok(version)) => Ok(version),
        Some(Err(_)) => Err(Answer::message(400, "If-Match is no version")),
        None => Err(Answer::message(400, "If-Match is missing")),
    }
}

fn patch_configuration(if_match: Option<&str>, body: &[u8]) -> Result<Call, Answer> {
    let if_match = base_version(if_match)?;
    let patch = Patch::parse(body).map_err(refused)?;
    Ok(Call::PatchConfiguration { if_match, version: patch.version, patch: Arc::from(body) })
}

fn put_configuration(if_match: Option<&str>, body: &[u8]) -> Result<Call, Answer> {
    let if_match = base_version(if_match)?;
    let configuration = Configuration::parse(body).map_err(refused)?;
    Ok(Call::PutConfiguration { if_match, version: configuration.version, body: Arc::from(body) })
}

/// The answer to a body with findings.
pub fn refused(findings: Findings) -> Answer {
    Answer::message(400, &findings.to_string())
}

/// The fingerprint by which a configuration that is sent again is known, as a number.
pub fn fingerprint_number(body: &[u8]) -> u128 {
    u128::from_le_bytes(fingerprint(body))
}

/// The fingerprint by which a patch that is sent again is known. The version that it builds on is part of what it asks
/// for, so a patch of the same bytes on another version is another change.
pub fn patch_fingerprint_number(if_match: u64, patch: &[u8]) -> u128 {
    let marked = [PATCH_MARK, &if_match.to_le_bytes(), patch].concat();
    u128::from_le_bytes(fingerprint(&marked))
}
