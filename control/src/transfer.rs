//! How long large messages may be on their way, so that what is sent again doesn't pile up on a slow link.

use crate::{ACCEPTED_HISTORY_BYTES, Change, ControlState};

/// What the slowest link that is planned for carries in a microsecond, in bytes: 8 Mbit/s.
const BYTES_PER_MICROSECOND: u64 = 1;
/// The spans between repetitions are doubled no more often than this.
const MAX_DOUBLINGS: u32 = 4;

/// How long so many bytes take on a slow link, in microseconds.
pub(crate) fn transfer_time(bytes: usize) -> u64 {
    bytes as u64 / BYTES_PER_MICROSECOND
}

/// How long to wait for an answer to something of so many bytes beyond the wait for something small, in microseconds.
/// It doubles with each repetition, so that a link slower than planned for isn't flooded either.
pub(crate) fn retransmission_delay(bytes: usize, repetitions: u32) -> u64 {
    transfer_time(bytes) << repetitions.min(MAX_DOUBLINGS)
}

/// About how many bytes the state takes on the wire.
pub(crate) fn state_bytes(state: &ControlState) -> usize {
    let body = state.configuration.as_ref().map_or(0, |configuration| configuration.body.len());
    body + state.accepted.len() * ACCEPTED_HISTORY_BYTES
}

/// About how many bytes a change takes on the wire.
pub(crate) fn change_bytes(change: &Change) -> usize {
    match change {
        Change::PutConfiguration { body, .. } => body.len(),
        Change::NameVersion { model, .. } => model.len(),
    }
}
