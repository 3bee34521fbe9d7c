//! Detects that this process was suspended, alone or with its machine, and holds requests back
//! until other VMs have sent the changes that were made meanwhile.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;
use tokio::sync::Notify;

/// A process whose control thread did not run for this long counts as suspended. Published changes
/// must be in force within a little over three seconds. The thread checks four times a second, also
/// on a busy machine.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(2_000);
/// Time after a suspension at which a process accepts requests even if it received no updates. It
/// may be partitioned from the other VMs, and then continues with the state it has.
const MAX_CATCH_UP_TIME: Duration = Duration::from_millis(1_200);

/// Tracks whether the state of this process may be outdated after a suspension.
#[derive(Debug, Default)]
pub struct SuspensionDetector {
    /// The time of the last check by the control thread.
    last_check: AtomicU64,
    /// When a suspension was detected. `None` once the process has caught up.
    resumed_at: Mutex<Option<MonoTime>>,
    /// Notified when a suspension is detected.
    suspension_detected: Notify,
}

impl SuspensionDetector {
    /// Records a check by the control thread. Returns the time since the previous check if the
    /// process was suspended.
    pub fn check(&self, now: MonoTime) -> Option<Duration> {
        let last_check = MonoTime(self.last_check.swap(now.0, Ordering::Relaxed));
        let gap = now.since(last_check);
        if last_check == MonoTime::default() || gap <= SUSPENSION_THRESHOLD {
            return None;
        }
        *self.resumed_at.lock() = Some(now);
        self.suspension_detected.notify_waiters();
        Some(gap)
    }

    /// Whether the state may be used for requests. Request handling may call this after a
    /// suspension before the control thread has run.
    pub fn is_awake(&self, now: MonoTime) -> bool {
        let last_check = MonoTime(self.last_check.load(Ordering::Relaxed));
        let is_checked =
            last_check == MonoTime::default() || now.since(last_check) <= SUSPENSION_THRESHOLD;
        is_checked && self.resumed_at.lock().is_none()
    }

    /// Records whether the process has caught up after a suspension. Requests are accepted again if
    /// it has, or after [`MAX_CATCH_UP_TIME`]; then returns the time since the detection.
    pub fn record_caught_up(&self, has_caught_up: bool, now: MonoTime) -> Option<Duration> {
        let mut resumed_at = self.resumed_at.lock();
        let span = now.since((*resumed_at)?);
        if !has_caught_up && span < MAX_CATCH_UP_TIME {
            return None;
        }
        *resumed_at = None;
        Some(span)
    }

    /// Waits until a suspension is detected.
    pub async fn wait_for_suspension(&self) {
        self.suspension_detected.notified().await;
    }
}
