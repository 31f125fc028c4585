//! Transmission times of large messages, so that retransmissions don't pile up on a slow link.

use crate::{ACCEPTED_HISTORY_BYTES, Change, ControlState, Micros};

/// Bytes per microsecond on the slowest link that is planned for: 8 Mbit/s.
const BYTES_PER_MICROSECOND: u64 = 1;
/// Exponential backoff of retransmissions stops after this many doublings.
const MAX_DOUBLINGS: u32 = 4;

/// How long this many bytes take on the slowest link, in microseconds.
pub(crate) fn transfer_time(bytes: usize) -> Micros {
    bytes as u64 / BYTES_PER_MICROSECOND
}

/// How much longer to wait before this many bytes are sent again than for a small message, in microseconds.
/// Doubles with each repetition, so that a link slower than planned for isn't flooded either.
pub(crate) fn retransmission_delay(bytes: usize, repetitions: u32) -> Micros {
    transfer_time(bytes) << repetitions.min(MAX_DOUBLINGS)
}

/// Approximate encoded size of the state in bytes.
pub(crate) fn state_bytes(state: &ControlState) -> usize {
    let body = state.configuration.as_ref().map_or(0, |configuration| configuration.body.len());
    body + state.accepted.len() * ACCEPTED_HISTORY_BYTES
}

/// Approximate encoded size of a change in bytes.
pub(crate) fn change_bytes(change: &Change) -> usize {
    match change {
        Change::PutConfiguration { body, .. } => body.len(),
        Change::NameVersion { model, .. } => model.len(),
    }
}
