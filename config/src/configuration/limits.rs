//! Limits on clients.

use std::time::Duration;

/// What clients may send, and how long they may take (`limits`).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Longest request head in bytes (`maxHeaderBytes`); 32 KiB by default.
    pub max_header_bytes: usize,
    /// Longest request body in bytes (`maxBodyBytes`); 8 MiB by default.
    pub max_body_bytes: usize,
    /// Longest time for a request head to arrive (`headerTimeoutMs`); 5 s by default.
    pub header_timeout: Duration,
    /// Longest time that a connection may be idle (`idleTimeoutMs`); 30 s by default.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 32 * 1024,
            max_body_bytes: 8 * 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(30),
        }
    }
}
