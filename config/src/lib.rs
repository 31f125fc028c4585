//! Settings of a process and the operator's configuration: parsed, checked, compared.
//!
//! The crate opens no socket, reads no clock and no environment variable. Both inputs are text from outside;
//! what is wrong with one is reported as [`Findings`], all together and each with its place.

pub mod configuration;
mod difference;
mod finding;
mod fingerprint;
mod number;
mod patch;
pub mod settings;

pub use configuration::{
    Configuration, Engine, Limits, Route, RouteKind, Service, ServiceKind, Target, Tenant,
};
pub use difference::{Change, RouteField, ServiceNames, diff};
pub use finding::{Finding, Findings, Problem, WHOLE_DOCUMENT};
pub use fingerprint::{Fingerprint, fingerprint};
pub use patch::Patch;
pub use settings::{FaultTolerance, Listen, MachineLimits, Settings, TimeBounds};
