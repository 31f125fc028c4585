//! The unit of time of the protocol.

/// Microseconds: a point in time of the monotonic clock of one process, or a span. Points of two processes can't be
/// compared.
pub type Micros = u64;

/// One millisecond.
pub(crate) const MILLISECOND: Micros = 1_000;
