//! How long a caller has waited already, from the time that it still gives.
//!
//! A request that is tried again by its caller, as after a loss of many VMs, names a shorter time than
//! the others of its route. It cannot be answered within its target any more, and should not hold up
//! those that can.

use std::time::Duration;

use crate::time::MonoTime;

/// The longest time named in this span stands for a request that nobody has tried before.
const SPAN: Duration = Duration::from_secs(10);

/// The longest times that callers of one route have named lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerTimeouts {
    /// The longest of the current span, and when that began.
    current: Duration,
    began: MonoTime,
    /// The longest of the span before.
    previous: Duration,
}

impl CallerTimeouts {
    /// Takes in the time that a caller still gives. Returns how long it has waited already.
    pub fn record(&mut self, remaining: Duration, now: MonoTime) -> Duration {
        let age = now.since(self.began);
        if age >= SPAN {
            self.previous = if age < SPAN * 2 { self.current } else { Duration::ZERO };
            self.current = Duration::ZERO;
            self.began = now;
        }
        self.current = self.current.max(remaining);
        self.current.max(self.previous) - remaining
    }
}
