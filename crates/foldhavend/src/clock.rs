//! The clock border: monotonic readings for the core, and the start time that names a lifetime.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::time::MonoTime;

/// Where time comes from.
pub trait Clock: Send + Sync {
    /// The present reading.
    fn now(&self) -> MonoTime;

    /// The instant of the runtime's timers that a reading stands for.
    fn instant(&self, time: MonoTime) -> Instant;
}

/// The monotonic clock of this process.
#[derive(Debug, Clone)]
pub struct SystemClock {
    zero: Instant,
}

/// Readings start well above zero, so that spans can be taken off early ones.
const HEAD_START: Duration = Duration::from_secs(3_600);

impl Default for SystemClock {
    fn default() -> Self {
        Self { zero: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> MonoTime {
        MonoTime::default() + (self.zero.elapsed() + HEAD_START)
    }

    fn instant(&self, time: MonoTime) -> Instant {
        self.zero + time.since(MonoTime::default() + HEAD_START)
    }
}

/// The incarnation of a process that starts now.
pub fn new_incarnation() -> IncarnationId {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    IncarnationId(since_epoch.as_millis() as u64)
}

/// The present time in seconds since the epoch, for the `created` field of answers.
pub fn epoch_secs() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
