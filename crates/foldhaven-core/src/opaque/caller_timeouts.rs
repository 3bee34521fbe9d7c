//! Estimates how long a caller has already waited, from the remaining time that it announces.
//!
//! A request that its caller retries, for example after many VMs failed, announces a shorter time
//! than the others of its route. It can no longer be answered within its target and should not
//! delay requests that can.

use std::time::Duration;

use crate::time::MonoTime;

/// The length of a window. The longest time announced in this and the previous window is assumed to
/// be the one that a request announces at its first attempt.
const WINDOW: Duration = Duration::from_secs(10);

/// The longest remaining times that callers of one route have recently announced.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerTimeouts {
    /// The longest time in the current window.
    current: Duration,
    /// When the current window began.
    began: MonoTime,
    /// The longest time in the previous window.
    previous: Duration,
}

impl CallerTimeouts {
    /// Records the remaining time that a caller announces. Returns how long it has already waited.
    pub fn record(&mut self, remaining: Duration, now: MonoTime) -> Duration {
        let age = now.since(self.began);
        if age >= WINDOW {
            self.previous = if age < WINDOW * 2 { self.current } else { Duration::ZERO };
            self.current = Duration::ZERO;
            self.began = now;
        }
        self.current = self.current.max(remaining);
        self.current.max(self.previous) - remaining
    }
}
