//! Runs balancer instances over the simulator's wire protocol on standard input and output.

#![forbid(unsafe_code)]

use std::io::{self, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let stdin = io::stdin().lock();
    let stdout = io::stdout().lock();
    match gradepaddle::wire::serve(stdin, stdout) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            // Nothing more can be done if standard error is closed as well.
            let _ = writeln!(io::stderr(), "gradepaddle-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
