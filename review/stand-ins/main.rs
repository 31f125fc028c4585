//! Stand-ins for the review's cases: the platform that starts nodes, the operator, clients and model servers.
//!
//! `stand-ins CASE PROGRAM FOLDER TROUBLE` runs a case and exits with 1 if its rule was broken, 0 if it held, and 2 if the case
//! couldn't run. `stand-ins model-server ...` is one model server; cases start it as a process of its own.

mod first_start;
mod forgotten_leave;
mod http;
mod model_server;
mod platform;
mod record;
mod truncated_stream;

use std::path::PathBuf;
use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match words[..] {
        ["model-server", id, address, ref control @ ..] => return model_server::run(id, address, control),
        [case, program, folder, trouble] => {
            let (program, folder, trouble) = (PathBuf::from(program), PathBuf::from(folder), trouble != "0");
            match case {
                "first-start" => first_start::run(&program, &folder, trouble),
                "forgotten-leave" => forgotten_leave::run(&program, &folder, trouble),
                "truncated-stream" => truncated_stream::run(&program, &folder, trouble),
                _ => Err(format!("unknown case {case}")),
            }
        }
        _ => Err("usage: stand-ins CASE PROGRAM FOLDER TROUBLE".to_owned()),
    };
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(problem) => {
            eprintln!("the case couldn't run: {problem}");
            ExitCode::from(2)
        }
    }
}
