//! Clocks: monotonic time for `foldhaven-core`, and the start time that identifies an incarnation.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::time::MonoTime;

/// A source of monotonic time.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> MonoTime;

    /// Converts a time to the [`Instant`] that the runtime's timers use.
    fn instant(&self, time: MonoTime) -> Instant;
}

/// The monotonic clock of this process.
#[derive(Debug, Clone)]
pub struct SystemClock {
    started_at: Instant,
}

/// Initial time of the clock. It is well above zero, so that durations can be subtracted from early
/// times.
const INITIAL_TIME: Duration = Duration::from_secs(3_600);

impl Default for SystemClock {
    fn default() -> Self {
        Self { started_at: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> MonoTime {
        MonoTime::default() + (self.started_at.elapsed() + INITIAL_TIME)
    }

    fn instant(&self, time: MonoTime) -> Instant {
        self.started_at + time.since(MonoTime::default() + INITIAL_TIME)
    }
}

/// Returns the incarnation of a process that starts now: the milliseconds since the epoch.
pub fn new_incarnation() -> IncarnationId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    IncarnationId(since_epoch.as_millis() as u64)
}

/// Returns the current time in seconds since the epoch, for the `created` field of answers.
pub fn epoch_secs() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
