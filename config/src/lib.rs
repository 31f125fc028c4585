//! Settings of a process (`DEPLOY.md`) and the operator's configuration (`PROTOCOL.md`): parsed, checked, compared.
//!
//! The crate is apart from the planes that use it because both inputs come from outside: here they become typed values, or
//! [`Findings`], all of them together and each with its path. It opens no socket and reads no clock and no environment
//! variable; only [`Settings::load`] reads a file. Fields carry the standard terms of `docs/glossary.md`; the names of the
//! pages stand where they are read.

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
