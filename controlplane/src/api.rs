//! The control API: the calls, by method and path, and their responses. No I/O.

use std::net::SocketAddrV4;
use std::sync::Arc;

use gradepaddle_config::{Configuration, Findings, Patch, fingerprint};
use gradepaddle_proto::ControlCall;
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::registry::Heartbeat;

/// Hashed before the bytes of a patch, so that its fingerprint differs from that of every configuration.
const PATCH_PREFIX: &[u8] = b"PATCH ";
/// The status of an inconclusive response: the call may or may not have taken effect.
const UNAVAILABLE: u16 = 503;
/// The status of a response that sends the caller to another node.
const TEMPORARY_REDIRECT: u16 = 307;

/// A well-formed call.
#[derive(Clone, Debug)]
pub enum Call {
    /// A server's heartbeat.
    Heartbeat {
        /// The server's id.
        id: String,
        /// The body.
        heartbeat: Heartbeat,
    },
    /// A server leaves.
    Leave {
        /// The server's id.
        id: String,
    },
    /// A call that the primary decides. Configurations are valid, patches well-formed.
    Control(ControlCall),
    /// Reads the state of this node, and of the fleet as far as this node knows it.
    Status,
}

/// The response to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use = "a call without a response looks like a lost node"]
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body, JSON; empty where there is none.
    pub body: Arc<[u8]>,
    /// The response must not be sent from this time of the driver's clock on: another primary may hold the lease by then.
    /// `None` if the response does not depend on a lease.
    pub valid_until: Option<Micros>,
    /// The control address to which the caller is redirected (307).
    pub location: Option<SocketAddrV4>,
}

/// The body of a response that rejects a call.
#[derive(Debug, Serialize)]
struct Message<'a> {
    message: &'a str,
}

/// The body of a call that announces a model version.
#[derive(Debug, Deserialize)]
struct AnnounceVersionBody {
    model: String,
    version: u64,
}

impl Response {
    /// A response without a body.
    pub fn bare(status: u16) -> Self {
        Response { status, body: Arc::from([]), valid_until: None, location: None }
    }

    /// A redirect to another node.
    pub fn redirect(location: SocketAddrV4) -> Self {
        Response { location: Some(location), ..Response::bare(TEMPORARY_REDIRECT) }
    }

    /// A response with a human-readable message.
    pub fn message(status: u16, text: &str) -> Self {
        // Serializing a struct of one string can't fail.
        let body = serde_json::to_vec(&Message { message: text }).unwrap_or_default();
        Response { body: Arc::from(body), ..Response::bare(status) }
    }

    /// This response, to be sent only before `deadline`. An inconclusive response (503) may be sent at any time.
    pub fn with_deadline(self, deadline: Micros) -> Self {
        let valid_until = (self.status != UNAVAILABLE).then_some(deadline);
        Response { valid_until, ..self }
    }

    /// The response that may be sent at the time `now`: this one, or 503 once its lease has expired. Must be called right
    /// before sending, as the process may be stopped between the decision and the send.
    pub fn unless_expired(self, now: Micros) -> Self {
        match self.valid_until {
            Some(until) if now >= until => Response::unavailable("the lease ran out before the answer left"),
            _ => self,
        }
    }

    /// An inconclusive response (503): the caller should try another node.
    pub fn unavailable(text: &str) -> Self {
        Response::message(UNAVAILABLE, text)
    }
}

/// Parses a call. `if_match` is the value of the `If-Match` field.
///
/// # Errors
///
/// The response to a call that is malformed or unknown.
pub fn parse(method: &str, path: &str, if_match: Option<&str>, body: &[u8]) -> Result<Call, Response> {
    let mut segments = path.split('/').skip(1);
    let segments = [segments.next(), segments.next(), segments.next(), segments.next()];
    match (method, segments) {
        ("PUT", [Some("v1"), Some("servers"), Some(id), None]) if !id.is_empty() => {
            let heartbeat = parse_json(body)?;
            Ok(Call::Heartbeat { id: id.to_owned(), heartbeat })
        }
        ("DELETE", [Some("v1"), Some("servers"), Some(id), None]) if !id.is_empty() => {
            Ok(Call::Leave { id: id.to_owned() })
        }
        ("PUT", [Some("v1"), Some("config"), None, None]) => put_configuration(if_match, body),
        ("PATCH", [Some("v1"), Some("config"), None, None]) => patch_configuration(if_match, body),
        ("GET", [Some("v1"), Some("config"), None, None]) => Ok(Call::Control(ControlCall::GetConfiguration)),
        ("POST", [Some("v1"), Some("version-put"), None, None]) => {
            let AnnounceVersionBody { model, version } = parse_json(body)?;
            Ok(Call::Control(ControlCall::NameVersion { model: Arc::from(model), version }))
        }
        ("GET", [Some("v1"), Some("status"), None, None]) => Ok(Call::Status),
        (_, [Some("v1"), Some("servers" | "config" | "version-put" | "status"), ..]) => {
            Err(Response::message(405, "this path does not take that method"))
        }
        _ => Err(Response::message(404, "there is no such call")),
    }
}

fn parse_json<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Response> {
    serde_json::from_slice(body).map_err(|error| Response::message(400, &error.to_string()))
}

/// The version on which a change is based, from the `If-Match` field (RFC 9110, section 13.1.1), quoted or not.
fn base_version(if_match: Option<&str>) -> Result<u64, Response> {
    match if_match.map(|text| text.trim().trim_matches('"').parse::<u64>()) {
        Some(Ok(version)) => Ok(version),
        Some(Err(_)) => Err(Response::message(400, "If-Match is no version")),
        None => Err(Response::message(400, "If-Match is missing")),
    }
}

fn patch_configuration(if_match: Option<&str>, body: &[u8]) -> Result<Call, Response> {
    let if_match = base_version(if_match)?;
    let patch = Patch::parse(body).map_err(invalid)?;
    let call = ControlCall::PatchConfiguration { if_match, version: patch.version, patch: Arc::from(body) };
    Ok(Call::Control(call))
}

fn put_configuration(if_match: Option<&str>, body: &[u8]) -> Result<Call, Response> {
    let if_match = base_version(if_match)?;
    let configuration = Configuration::parse(body).map_err(invalid)?;
    let version = configuration.version;
    Ok(Call::Control(ControlCall::PutConfiguration { if_match, version, body: Arc::from(body) }))
}

/// The response to an invalid configuration or patch.
pub fn invalid(findings: Findings) -> Response {
    Response::message(400, &findings.to_string())
}

/// The fingerprint by which a repeated configuration is recognized.
pub fn fingerprint_number(body: &[u8]) -> u128 {
    u128::from_le_bytes(fingerprint(body))
}

/// The fingerprint by which a repeated patch is recognized. It includes the version to which the patch applies: the same
/// bytes on another version are another change.
pub fn patch_fingerprint_number(if_match: u64, patch: &[u8]) -> u128 {
    let prefixed = [PATCH_PREFIX, &if_match.to_le_bytes(), patch].concat();
    u128::from_le_bytes(fingerprint(&prefixed))
}
