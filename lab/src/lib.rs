//! Experiments on the emulator: single runs, policies side by side, sweeps over parameters, plots and reports; and runs of
//! many real processes under faults.

pub mod error;
pub mod experiment;
pub mod file;
pub mod fleet;
pub mod plot;
pub mod report;
pub mod stats;

pub use error::Error;
