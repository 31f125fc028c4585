//! Experiments on the emulator: single runs, policies side by side, sweeps over parameters, plots and reports.

pub mod experiment;
pub mod file;
pub mod plot;
pub mod report;
pub mod stats;
