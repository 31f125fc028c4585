//! Errors of the commands, with what an operator can do about each, and their exit codes.

use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;

use gradepaddle_config::Findings;
use snafu::Snafu;

/// The exit code of a command whose file has findings.
const FINDINGS_EXIT_CODE: u8 = 2;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CommandError {
    /// The variable that names the settings file is not set.
    #[snafu(display("GRADEPADDLE_BOOT is not set: let it name the settings file"))]
    NoSettings,
    /// The settings file is invalid.
    #[snafu(display("the settings have findings; correct them and start again:\n{findings}"))]
    Settings {
        /// All findings, each with its path in the document.
        findings: Findings,
    },
    /// The configuration is invalid.
    #[snafu(display("the configuration has findings:\n{findings}"))]
    Configuration {
        /// All findings, each with its path in the document.
        findings: Findings,
    },
    /// The configuration can't replace the one in force.
    #[snafu(display("the configuration can't follow the one in place: {finding}"))]
    Successor {
        /// The finding, with its path in the document.
        finding: gradepaddle_config::Finding,
    },
    /// A file can't be read.
    #[snafu(display("{} can't be read: {source}", file.display()))]
    File {
        /// The file.
        file: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}; is another process there?"))]
    Listen {
        /// The address.
        address: SocketAddrV4,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The settings lack an address that the role needs.
    #[snafu(display("listenOn.{name} is missing from the settings"))]
    NoAddress {
        /// The name in `listenOn`.
        name: &'static str,
    },
    /// The runtime or its signal handlers can't be set up.
    #[snafu(display("the runtime can't be set up: {source}"))]
    Runtime {
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The settings name no disk that keeps the control state.
    #[snafu(display("the settings name no disk that counts (dataPath, lossCounts): nothing is kept there"))]
    NoDisk,
    /// The disk with the control state fails.
    #[snafu(display("the control state can't be opened or written: {source}"))]
    Store {
        /// The error of the store.
        source: gradepaddle_store::StoreError,
    },
    /// The stored state can't be recovered.
    #[snafu(display("can't recover: {source}"))]
    Recovery {
        /// The reason.
        source: gradepaddle_control::RecoveryError,
    },
    /// A node does not respond.
    #[snafu(display("{address} does not answer; is it a control address?"))]
    NoAnswer {
        /// The address.
        address: SocketAddrV4,
    },
}

impl CommandError {
    /// 2 where a file has findings, 1 otherwise.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Settings { .. }
            | CommandError::Configuration { .. }
            | CommandError::Successor { .. } => ExitCode::from(FINDINGS_EXIT_CODE),
            _ => ExitCode::FAILURE,
        }
    }
}
