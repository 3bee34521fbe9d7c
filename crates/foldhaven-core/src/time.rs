//! Monotonic time as a number, so that this crate does not read a clock.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A reading of a process's monotonic clock, in microseconds since an origin chosen by the process.
///
/// Readings of different processes are not comparable. Messages carry ages instead.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Creates a reading from milliseconds since the clock's origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time since an earlier reading, zero if `earlier` is later than `self`.
    pub fn since(self, earlier: MonoTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = MonoTime;

    fn add(self, span: Duration) -> MonoTime {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        MonoTime(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for MonoTime {
    type Output = MonoTime;

    fn sub(self, span: Duration) -> MonoTime {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        MonoTime(self.0.saturating_sub(micros))
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
