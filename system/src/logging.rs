//! The log: JSON lines on standard error.

use std::io;
use std::sync::Mutex;

use slog::{Drain, Logger, o};

/// Creates a logger that adds the node's name to each line.
pub fn logger(node: &str) -> Logger {
    let drain = slog_json::Json::default(io::stderr());
    let drain = Mutex::new(drain).map(slog::Fuse);
    let drain = slog::LevelFilter::new(drain, slog::Level::Info).map(slog::Fuse);
    Logger::root(drain, o!("node" => node.to_owned()))
}
