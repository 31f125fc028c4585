//! A data plane on the loopback between scripted servers and clients on raw sockets.
#![allow(dead_code, unused_imports, reason = "each test file uses a part")]

pub mod client;
pub mod configuration;
pub mod harness;
pub mod scripts;
pub mod servers;

use std::time::Duration;

pub use client::{BodyEnd, Client, ClientRequest, Response};
pub use configuration::{configuration, edited, route, with_tenants};
pub use harness::{Harness, Options};
pub use scripts::*;
pub use servers::{Gate, Script, ServerRequest, Step};

/// No test takes nearly as long: this only ends one that waits for what never comes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test as a node runs: on one thread.
#[track_caller]
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let ended = local.block_on(&runtime, async { tokio::time::timeout(TEST_TIMEOUT, test).await });
    assert!(ended.is_ok(), "it waits for what never comes");
}
