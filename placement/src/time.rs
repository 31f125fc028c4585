//! The unit of time of this package.

/// A time of the caller's monotonic clock, or a span of time, in microseconds.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub(crate) const MICROS_PER_MS: f64 = 1e3;

/// A span in milliseconds.
pub(crate) fn to_ms(span: Micros) -> f64 {
    span as f64 / MICROS_PER_MS
}

/// A span of this many milliseconds; 0 for a negative number.
pub(crate) fn from_ms(ms: f64) -> Micros {
    (ms.max(0.0) * MICROS_PER_MS) as Micros
}
