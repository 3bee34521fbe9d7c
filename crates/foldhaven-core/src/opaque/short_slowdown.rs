//! Notices that an upstream is slow at this moment, from the intervals between events of the
//! streams that run there.
//!
//! An upstream that shares its machine may be several times as slow for some tenths of a second.
//! Requests that are sent there in this time wait for their answers, and their prefill lengthens
//! the pauses of all streams more than usual.

use std::time::Duration;

use crate::time::MonoTime;

/// The ratio of an interval to the expected one from which on the upstream counts as slow.
/// Intervals of a usual upstream vary by less.
const MIN_RATIO: f64 = 1.7;
/// Maximum slowdown that is assumed.
const MAX_RATIO: f64 = 4.0;
/// How long the last interval of an upstream without further streams counts.
const INTERVAL_VALIDITY: Duration = Duration::from_millis(150);
/// The silence from which on nothing is concluded: the streams stall, or this VM does not read
/// them.
const MAX_SILENCE: Duration = Duration::from_millis(600);
/// The expected remaining time of a slowdown. It bounds the delay of a long prefill.
const REMAINING_TIME: Duration = Duration::from_millis(250);

/// The factor by which an upstream is slow at this moment, beyond its lasting speed; 1 if it is
/// not.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct SlowdownFactor(f64);

impl Default for SlowdownFactor {
    fn default() -> Self {
        Self(1.0)
    }
}

impl SlowdownFactor {
    fn of(ratio: f64) -> Self {
        match ratio >= MIN_RATIO {
            true => Self(ratio.min(MAX_RATIO)),
            false => Self::default(),
        }
    }

    /// Returns the larger of this factor and one that the upstream tells.
    pub fn or_reported(self, told: f64) -> Self {
        Self(self.0.max(told).min(MAX_RATIO))
    }

    /// Returns the factor.
    pub fn value(self) -> f64 {
        self.0
    }

    /// Returns how long something takes that would take `time` without the slowdown.
    pub fn delay(self, time: Duration) -> Duration {
        let if_it_lasts = time.mul_f64(self.0);
        let if_it_ends = time + REMAINING_TIME.mul_f64(1.0 - self.0.recip());
        if_it_lasts.min(if_it_ends)
    }
}

/// The last interval between two events at one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlowdownMonitor {
    /// The expected interval; zero before the first one.
    expected: Duration,
    /// The ratio of the last interval to the expected one.
    ratio: f64,
    /// When the last event arrived.
    last_event: MonoTime,
}

impl SlowdownMonitor {
    /// Records an interval that ends now, and the one expected of the upstream at its speed and
    /// load.
    pub fn record(&mut self, interval: Duration, expected: Duration, now: MonoTime) {
        if expected.is_zero() {
            return;
        }
        *self = Self { expected, ratio: interval.div_duration_f64(expected), last_event: now };
    }

    /// Whether an event arrived after a time.
    pub fn has_event_since(&self, moment: MonoTime) -> bool {
        self.last_event > moment
    }

    /// Returns the present slowdown. `streams` is the number of streams of this VM at the upstream
    /// that have begun: their events are missed if they stay away.
    pub fn factor(&self, streams: u32, now: MonoTime) -> SlowdownFactor {
        let silence = now.since(self.last_event);
        let is_over = streams == 0 && silence > INTERVAL_VALIDITY;
        if self.expected.is_zero() || is_over || silence > MAX_SILENCE {
            return SlowdownFactor::default();
        }
        let missed = if streams > 0 { silence.div_duration_f64(self.expected) } else { 0.0 };
        SlowdownFactor::of(self.ratio.max(missed))
    }
}
