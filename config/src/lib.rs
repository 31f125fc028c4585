//! Parses, validates and compares the settings of a process (`DEPLOY.md`) and the operator's configuration (`PROTOCOL.md`).
//!
//! Both are untrusted input, so this crate is separate from the control plane and the data plane that use it: it turns
//! them into typed values or into [`Findings`], which list every problem with its path. It opens no sockets and reads
//! neither the clock nor environment variables; only [`Settings::load`] reads a file. Fields have the standard terms of
//! `docs/glossary.md`; the names in settings files and request bodies appear in the code that parses them.

pub mod configuration;
mod difference;
mod finding;
mod fingerprint;
mod number;
mod patch;
pub mod settings;

pub use configuration::{
    Configuration, Engine, Limits, Route, RouteKind, Service, ServiceKind, Target, Tenant, UnknownRouteKind,
};
pub use difference::{Change, RouteField, ServiceNames, diff};
pub use finding::{Finding, Findings, Problem, WHOLE_DOCUMENT};
pub use fingerprint::{Fingerprint, fingerprint};
pub use patch::Patch;
pub use settings::{FaultTolerance, Listen, MachineLimits, Settings, TimeBounds};
