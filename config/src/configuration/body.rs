//! The JSON body as it is deserialized, before validation. Fields have the names that `PROTOCOL.md` gives them, except
//! where an attribute renames them.

use super::object::Object;
use super::route::RouteKind;
use crate::finding::{Finding, WHOLE_DOCUMENT};
use crate::number::{Milliseconds, NonNegative, UnsignedInteger};
use serde::Deserialize;
use std::net::SocketAddrV4;

/// Path by which `serde_path_to_error` refers to the complete body.
const ROOT: &str = ".";

#[derive(Debug, Deserialize)]
pub(super) struct Body {
    pub version: UnsignedInteger,
    pub routes: Vec<Object<RouteBody>>,
    pub backends: Vec<Object<ServiceBody>>,
    pub limits: Option<Object<LimitsBody>>,
    pub customers: Option<Vec<Object<TenantBody>>>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct RouteBody {
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub kind: RouteKind,
    pub timeout_ms: Milliseconds,
    pub target_ms: Option<Milliseconds>,
    pub priority: Option<UnsignedInteger>,
    pub backend: Option<String>,
    pub traffic_split: Option<Vec<Object<TargetBody>>>,
    #[serde(rename = "tries")]
    pub max_attempts: Option<UnsignedInteger>,
    pub public: Option<bool>,
    pub sticky: Option<bool>,
    pub resumable: Option<bool>,
    #[serde(rename = "gap_aim_ms")]
    pub event_gap_target: Option<Milliseconds>,
}

#[derive(Debug, Deserialize)]
pub(super) struct TargetBody {
    pub backend: String,
    pub weight: NonNegative,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct ServiceBody {
    pub name: String,
    pub health_path: Option<String>,
    pub max_conns: Option<UnsignedInteger>,
    pub protocol: Option<String>,
    pub tls: Option<bool>,
    pub engine: Option<Object<EngineBody>>,
    pub cache_store: Option<SocketAddrV4>,
    pub zone: Option<String>,
    pub cache_tokens: Option<UnsignedInteger>,
    pub link_mbps: Option<NonNegative>,
    pub max_in_flight: Option<UnsignedInteger>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct EngineBody {
    pub slots: Option<UnsignedInteger>,
    pub cache_tokens: Option<UnsignedInteger>,
    pub token_bytes: Option<UnsignedInteger>,
    pub link_mbps: Option<NonNegative>,
    pub stride: Option<UnsignedInteger>,
    pub max_in_flight: Option<UnsignedInteger>,
    pub models: Option<Vec<Object<ModelBody>>>,
}

#[derive(Debug, Deserialize)]
pub(super) struct ModelBody {
    pub name: String,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct LimitsBody {
    pub max_header_bytes: Option<UnsignedInteger>,
    pub max_body_bytes: Option<UnsignedInteger>,
    pub header_timeout_ms: Option<Milliseconds>,
    pub idle_timeout_ms: Option<Milliseconds>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct TenantBody {
    pub name: String,
    pub api_keys: Option<Vec<String>>,
    pub priority: Option<UnsignedInteger>,
    pub isolated: Option<bool>,
}

impl Body {
    /// Parses a body; the finding is the first value that can't be parsed.
    ///
    /// Tracking paths costs more than parsing, so it is left to a second pass over an invalid body.
    ///
    /// # Errors
    ///
    /// `Problem::Unreadable` with the path of the first value that can't be parsed.
    pub fn read(body: &[u8]) -> Result<Self, Finding> {
        match serde_json::from_slice(body) {
            Ok(Object(read)) => Ok(read),
            Err(error) => Err(Self::locate_error(body, &error)),
        }
    }

    /// Finds the path of the value that can't be parsed.
    fn locate_error(body: &[u8], error: &serde_json::Error) -> Finding {
        let mut deserializer = serde_json::Deserializer::from_slice(body);
        let read: Result<Object<Self>, _> = serde_path_to_error::deserialize(&mut deserializer);
        let path = read.err().map(|error| error.path().to_string()).filter(|path| path != ROOT);
        Finding::unreadable(path.unwrap_or_else(|| WHOLE_DOCUMENT.to_owned()), error)
    }

    /// The tenants.
    pub fn tenants(&self) -> impl Iterator<Item = &TenantBody> {
        self.customers.iter().flatten().map(|Object(tenant)| tenant)
    }
}

impl RouteBody {
    /// The services with their weights and the paths at which the route names them.
    ///
    /// A split takes precedence over a single service, which may then be absent or empty. A single service that is named
    /// beside a split has weight 0: it must exist, but gets no requests.
    pub fn targets(&self) -> Vec<(&str, f64, String)> {
        let split = self.traffic_split.iter().flatten().enumerate();
        let mut targets: Vec<_> = split
            .map(|(index, Object(target))| {
                (target.backend.as_str(), target.weight.0, format!("trafficSplit[{index}].backend"))
            })
            .collect();
        match self.backend.as_deref() {
            Some(name) if targets.is_empty() => targets.push((name, 1.0, "backend".to_owned())),
            Some(name) if !name.is_empty() => targets.push((name, 0.0, "backend".to_owned())),
            _ => {}
        }
        targets
    }
}
