//! Deserializes non-negative numbers from TOML and JSON, where an integer may be written as `7` or `7.0`.

use serde::de::{Error, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use std::fmt::{self, Formatter};
use std::time::Duration;

/// The longest duration, one year. Longer ones are clamped to it, so that adding a duration to a clock reading can't
/// overflow.
const MAX_DURATION: Duration = Duration::from_secs(365 * 24 * 3600);
/// 2^64, the smallest integer that `u64` can't hold.
const TWO_POW_64: f64 = 18_446_744_073_709_551_616.0;
const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// An integer of 0 or more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UnsignedInteger(pub u64);

impl UnsignedInteger {
    /// Converts to a smaller type and saturates at its largest value.
    pub fn saturating_into<T: TryFrom<u64> + Bounded>(self) -> T {
        T::try_from(self.0).unwrap_or(T::LARGEST)
    }
}

/// An integer type with a largest value.
pub(crate) trait Bounded {
    const LARGEST: Self;
}

impl Bounded for u8 {
    const LARGEST: Self = Self::MAX;
}

impl Bounded for u32 {
    const LARGEST: Self = Self::MAX;
}

impl Bounded for usize {
    const LARGEST: Self = Self::MAX;
}

/// A finite number of 0 or more, with or without a fraction.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct NonNegative(pub f64);

/// A duration given in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Milliseconds(pub Duration);

/// A duration given in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Seconds(pub Duration);

impl<'de> Deserialize<'de> for UnsignedInteger {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(UnsignedIntegerVisitor).map(Self)
    }
}

impl<'de> Deserialize<'de> for NonNegative {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NonNegativeVisitor).map(Self)
    }
}

impl<'de> Deserialize<'de> for Milliseconds {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let NonNegative(milliseconds) = NonNegative::deserialize(deserializer)?;
        Ok(Self(duration(milliseconds / MILLISECONDS_PER_SECOND)))
    }
}

impl<'de> Deserialize<'de> for Seconds {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        NonNegative::deserialize(deserializer).map(|NonNegative(seconds)| Self(duration(seconds)))
    }
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).map_or(MAX_DURATION, |duration| duration.min(MAX_DURATION))
}

struct UnsignedIntegerVisitor;

impl Visitor<'_> for UnsignedIntegerVisitor {
    type Value = u64;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("a whole number of 0 or more")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<u64, E> {
        Ok(number)
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<u64, E> {
        u64::try_from(number).map_err(|_| E::invalid_value(Unexpected::Signed(number), &self))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<u64, E> {
        if (0.0..TWO_POW_64).contains(&number) && number.fract() == 0.0 {
            Ok(number as u64)
        } else {
            Err(E::invalid_value(Unexpected::Float(number), &self))
        }
    }
}

struct NonNegativeVisitor;

impl Visitor<'_> for NonNegativeVisitor {
    type Value = f64;

    fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("a number of 0 or more")
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<f64, E> {
        Ok(number as f64)
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<f64, E> {
        if number >= 0 { Ok(number as f64) } else { Err(E::invalid_value(Unexpected::Signed(number), &self)) }
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<f64, E> {
        if number >= 0.0 && number.is_finite() {
            Ok(number)
        } else {
            Err(E::invalid_value(Unexpected::Float(number), &self))
        }
    }
}
