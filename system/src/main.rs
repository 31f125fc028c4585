//! The program `gradepaddle-node`: a node of the router fleet, and the tools of its operators.
//!
//! It runs the control plane and the data plane, which are libraries, in one process, and has the code for settings,
//! sockets, the disk, signals and the log.

mod check;
mod command;
mod control_store;
mod effects;
mod error;
mod limiter_report;
mod listeners;
mod logging;
mod planes;
mod random;
mod recover;
mod run;
mod settings_file;
mod shutdown;
mod status;

use std::process::ExitCode;

use command::Command;
use recover::RecoveryRequest;

fn main() -> ExitCode {
    let result = match command::parse() {
        Command::Run => run::run(),
        Command::CheckSettings { file } => check::settings(&file),
        Command::CheckConfiguration { file, current } => check::configuration(&file, current),
        Command::Diff { old, new } => check::diff(&old, &new),
        Command::Status { address } => status::print(address),
        Command::RecoverState { from_nothing, accept_loss, file } => {
            recover::recover(&file, RecoveryRequest { from_nothing, accept_loss })
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("gradepaddle-node: {error}");
            error.exit_code()
        }
    }
}
