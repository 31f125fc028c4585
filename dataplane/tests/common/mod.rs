//! A data plane on the loopback interface, between scripted servers and clients on raw sockets.
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

/// Far longer than any test takes: it only ends a test that waits for an event that never occurs.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on one thread, as a node does.
#[track_caller]
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let local = tokio::task::LocalSet::new();
    let result = local.block_on(&runtime, async { tokio::time::timeout(TEST_TIMEOUT, test).await });
    assert!(result.is_ok(), "the test timed out");
}
