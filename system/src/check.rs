//! Commands that check and compare files; none of them starts a node.

use std::path::Path;

use gradepaddle_config::{Configuration, Settings};
use snafu::ResultExt;

use crate::error::{CommandError, FileSnafu};

/// Checks a settings file.
///
/// # Errors
///
/// [`CommandError::Settings`] with every finding.
pub fn settings(file: &Path) -> Result<(), CommandError> {
    let settings = Settings::load(file).map_err(|findings| CommandError::Settings { findings })?;
    println!("{}: settings of {}, no finding", file.display(), settings.node_name);
    Ok(())
}

/// Checks a configuration, and whether it may replace version `current`.
///
/// # Errors
///
/// [`CommandError::Configuration`] with every finding, or [`CommandError::Successor`].
pub fn configuration(file: &Path, current: Option<u64>) -> Result<(), CommandError> {
    let configuration = read_configuration(file)?;
    if let Some(current) = current {
        configuration.check_successor(current).map_err(|finding| CommandError::Successor { finding })?;
    }
    println!("{}: configuration {}, no finding", file.display(), configuration.version);
    Ok(())
}

/// Prints what changes for requests from one configuration to the next.
///
/// # Errors
///
/// [`CommandError`] if either can't be read or has findings.
pub fn diff(old: &Path, new: &Path) -> Result<(), CommandError> {
    let changes = gradepaddle_config::diff(&read_configuration(old)?, &read_configuration(new)?);
    for change in &changes {
        println!("{change}");
    }
    if changes.is_empty() {
        println!("nothing changes for requests");
    }
    Ok(())
}

fn read_configuration(file: &Path) -> Result<Configuration, CommandError> {
    let body = std::fs::read(file).context(FileSnafu { file })?;
    Configuration::parse(&body).map_err(|findings| CommandError::Configuration { findings })
}
