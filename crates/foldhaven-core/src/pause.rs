//! Detects pauses of this process, so that it does not act on a view from before the pause.

use std::time::Duration;

use crate::time::MonoTime;

/// Detects gaps between readings of the monotonic clock that are expected at regular intervals.
#[derive(Debug, Clone)]
pub struct PauseDetector {
    limit: Duration,
    last_tick: MonoTime,
    /// When the last pause was detected, `None` if there was none.
    resumed_at: Option<MonoTime>,
}

impl PauseDetector {
    /// Creates a detector for which a gap of more than `limit` between two ticks is a pause.
    pub fn new(limit: Duration, now: MonoTime) -> Self {
        Self { limit, last_tick: now, resumed_at: None }
    }

    /// Records a clock reading. Returns the length of the pause, or `None` if there was no pause
    /// since the last reading.
    pub fn tick(&mut self, now: MonoTime) -> Option<Duration> {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap <= self.limit {
            return None;
        }
        self.resumed_at = Some(now);
        Some(gap)
    }

    /// Returns whether the process may act on its view, which was last refreshed at `refreshed_at`.
    ///
    /// It may if it has not paused since the last tick and the view was refreshed after the last
    /// pause.
    pub fn may_act(&self, now: MonoTime, refreshed_at: MonoTime) -> bool {
        if now.since(self.last_tick) > self.limit {
            return false;
        }
        self.resumed_at.is_none_or(|resumed_at| refreshed_at > resumed_at)
    }
}
