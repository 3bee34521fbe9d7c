//! Notices that this process slept, so that it does not act on what it believed before.

use std::time::Duration;

use crate::time::MonoTime;

/// Compares readings of the monotonic clock that should come at a steady pace.
#[derive(Debug, Clone)]
pub struct PauseDetector {
    limit: Duration,
    last: MonoTime,
    woke: Option<MonoTime>,
}

impl PauseDetector {
    /// A detector for which a gap of more than `limit` between two ticks is a pause.
    pub fn new(limit: Duration, now: MonoTime) -> Self {
        Self { limit, last: now, woke: None }
    }

    /// Takes a reading; returns the length of the pause if there was one since the last reading.
    pub fn tick(&mut self, now: MonoTime) -> Option<Duration> {
        let gap = now.since(self.last);
        self.last = now;
        if gap <= self.limit {
            return None;
        }
        self.woke = Some(now);
        Some(gap)
    }

    /// Whether the process may act on its view: it has not slept since the last tick, and after
    /// the last pause a view was read that is newer (`refreshed` is when that was).
    pub fn may_act(&self, now: MonoTime, refreshed: MonoTime) -> bool {
        if now.since(self.last) > self.limit {
            return false;
        }
        self.woke.is_none_or(|woke| refreshed > woke)
    }
}
