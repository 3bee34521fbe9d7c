//! The clock of one process.

use std::time::{Duration, Instant};

use foldhaven_core::time::MonoTime;

/// Readings start well above zero, so that spans can be taken off early ones.
const HEAD_START: Duration = Duration::from_secs(3_600);

/// A clock that never steps back.
#[derive(Debug, Clone, Copy)]
pub struct MonoClock {
    /// The start of the process.
    zero: Instant,
}

impl MonoClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { zero: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> MonoTime {
        MonoTime::default() + (self.uptime() + HEAD_START)
    }

    /// How long it has run.
    pub fn uptime(&self) -> Duration {
        self.zero.elapsed()
    }
}
