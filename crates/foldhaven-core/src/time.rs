//! Monotonic time as a plain number, so that the core needs no clock of its own.

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A reading of one process's monotonic clock, in microseconds since that process chose its zero.
///
/// Readings of two processes cannot be compared; messages carry ages instead.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// A reading that many milliseconds after the zero of the clock.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// The time since an earlier reading; zero when `earlier` is in fact later.
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
