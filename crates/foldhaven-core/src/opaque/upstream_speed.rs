//! Estimates the lasting speed of each upstream relative to its service, for prefill and for decode.
//!
//! The upstreams of a service may run on machines of different speeds. The model of the service
//! describes an upstream of mean speed, and the factors of an upstream scale it. Measured times are
//! divided by these factors before the model learns from them, so that the model does not change
//! when more requests are sent to the fast upstreams.

use std::fmt;
use std::time::Duration;

use crate::opaque::short_slowdown::SlowdownFactor;
use crate::time::MonoTime;

/// The time in which recorded times lose weight by the factor e. It spans many short slowdowns, so
/// that these do not count as the speed of the upstream.
const DECAY_TIME: Duration = Duration::from_secs(30);
/// Expected prefill time, in seconds, of a prior measurement that matched its expectation.
const PRIOR_PREFILL_S: f64 = 0.3;
/// The same for decode.
const PRIOR_DECODE_S: f64 = 1.0;
/// Maximum ratio of a time to the one at mean speed, in either direction. Upstreams of one service
/// differ by less; a higher ratio has another cause.
const MAX_FACTOR: f64 = 4.0;
/// The weight of a new measurement in the mean factor of a service.
const MEAN_WEIGHT: f64 = 0.01;

/// The factors by which an upstream takes longer than one of mean speed; below 1 if it is faster.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SpeedFactors {
    /// The factor of prefill times.
    pub prefill: f64,
    /// The factor of the intervals between events.
    pub decode: f64,
}

impl Default for SpeedFactors {
    fn default() -> Self {
        Self { prefill: 1.0, decode: 1.0 }
    }
}

impl fmt::Display for SpeedFactors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "prefill {:.2}, decode {:.2}", self.prefill, self.decode)
    }
}

impl SpeedFactors {
    /// Returns the factors during a short slowdown.
    pub fn slowed_by(self, slowdown: SlowdownFactor) -> Self {
        let factor = slowdown.value();
        Self { prefill: self.prefill * factor, decode: self.decode * factor }
    }

    /// Returns the number of prompt tokens that an upstream of mean speed prefills in the time that
    /// this one takes for `tokens`.
    pub fn equivalent_tokens(self, tokens: u32) -> u32 {
        (f64::from(tokens) * self.prefill) as u32
    }
}

/// The decaying sums of expected and of measured times in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TimeSums {
    /// The expected times.
    pub expected_s: f64,
    /// The measured times.
    pub measured_s: f64,
}

impl TimeSums {
    fn add(&mut self, expected: Duration, measured: Duration) {
        let expected_s = expected.as_secs_f64();
        self.expected_s += expected_s;
        self.measured_s +=
            measured.as_secs_f64().clamp(expected_s / MAX_FACTOR, expected_s * MAX_FACTOR);
    }

    fn scaled(self, retention: f64) -> Self {
        Self { expected_s: self.expected_s * retention, measured_s: self.measured_s * retention }
    }

    fn plus(self, other: Self) -> Self {
        Self {
            expected_s: self.expected_s + other.expected_s,
            measured_s: self.measured_s + other.measured_s,
        }
    }

    fn factor(self, prior_s: f64) -> f64 {
        let ratio = (self.measured_s + prior_s) / (self.expected_s + prior_s);
        ratio.clamp(MAX_FACTOR.recip(), MAX_FACTOR)
    }
}

/// The sums of prefill and of decode times at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpeedSums {
    /// The sums of prefill times.
    pub prefill: TimeSums,
    /// The sums of decode times.
    pub decode: TimeSums,
    /// When the sums were updated; they decay from then on.
    pub updated: MonoTime,
}

impl SpeedSums {
    /// Returns the sums as they have decayed by now.
    pub fn decayed(&self, now: MonoTime) -> Self {
        let age = now.since(self.updated).as_secs_f64();
        let retention = (-age / DECAY_TIME.as_secs_f64()).exp();
        Self {
            prefill: self.prefill.scaled(retention),
            decode: self.decode.scaled(retention),
            updated: now,
        }
    }

    /// Returns the sum of both as they have decayed by now.
    pub fn plus(&self, other: &Self, now: MonoTime) -> Self {
        let (left, right) = (self.decayed(now), other.decayed(now));
        Self {
            prefill: left.prefill.plus(right.prefill),
            decode: left.decode.plus(right.decode),
            updated: now,
        }
    }
}

/// The measurements of one upstream's speed.
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamSpeed {
    /// The sums of this VM.
    own: SpeedSums,
    /// The sums of the other VMs.
    others: SpeedSums,
    /// Whether this VM has measurements that it has not reported to the others.
    has_unsent: bool,
}

impl UpstreamSpeed {
    /// Records the time of a prefill, and the time expected of an upstream of mean speed.
    pub fn record_prefill(&mut self, expected: Duration, measured: Duration, now: MonoTime) {
        self.own = self.own.decayed(now);
        self.own.prefill.add(expected, measured);
        self.has_unsent = true;
    }

    /// Records the time from the first to the last event of a stream, and the time expected of an
    /// upstream of mean speed.
    pub fn record_decode(&mut self, expected: Duration, measured: Duration, now: MonoTime) {
        self.own = self.own.decayed(now);
        self.own.decode.add(expected, measured);
        self.has_unsent = true;
    }

    /// Sets the sums of the other VMs.
    pub fn set_others(&mut self, others: SpeedSums) {
        self.others = others;
    }

    /// Returns the sums of this VM, if it has measured anything since the last call.
    pub fn take_unsent(&mut self, now: MonoTime) -> Option<SpeedSums> {
        std::mem::take(&mut self.has_unsent).then(|| self.own.decayed(now))
    }

    /// Returns the factors of the upstream. They return to 1 if nothing is measured any more.
    pub fn factors(&self, now: MonoTime) -> SpeedFactors {
        let all = self.own.plus(&self.others, now);
        SpeedFactors {
            prefill: all.prefill.factor(PRIOR_PREFILL_S),
            decode: all.decode.factor(PRIOR_DECODE_S),
        }
    }
}

/// The mean of the factors by which the measurements of a service were normalised.
///
/// The scale of the model and that of the factors are not determined by measurements alone. The
/// mean keeps the factors around 1.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FactorMean(f64);

impl Default for FactorMean {
    fn default() -> Self {
        Self(1.0)
    }
}

impl FactorMean {
    /// Returns the time that an upstream of mean speed would have taken in place of one with this
    /// factor.
    pub fn normalize(&mut self, measured: Duration, factor: f64) -> Duration {
        self.0 += (factor - self.0) * MEAN_WEIGHT;
        measured.mul_f64(self.0 / factor)
    }
}
