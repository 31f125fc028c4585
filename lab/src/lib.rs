//! Experiments on the emulator: single runs, comparisons of policies, parameter sweeps, plots and reports;
//! and runs of real processes under faults.

pub mod error;
pub mod experiment;
pub mod file;
pub mod fleet;
pub mod plot;
pub mod report;
pub mod stats;

pub use error::Error;
