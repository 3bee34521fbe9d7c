//! Models the interval between the events of a stream as a function of the upstream's load.
//!
//! Each token of an answer takes one decode step, which all requests of an upstream share. A step
//! takes longer the more requests there are, and prefill runs between steps. The model is a
//! straight line over the number of requests, fitted to the streams that ended recently.

use std::time::Duration;

/// The factor by which earlier streams lose weight with each new one; the fit covers about 100
/// streams.
const RETENTION: f64 = 0.99;

/// The weighted sums of a least-squares fit of the event interval over the load.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EventIntervalModel {
    weight: f64,
    load: f64,
    load_squared: f64,
    time: f64,
    time_by_load: f64,
}

impl EventIntervalModel {
    /// Records the mean interval between the events of a stream, and the mean number of requests at
    /// its upstream during the stream.
    pub fn record(&mut self, interval: Duration, load: f64) {
        let time = interval.as_secs_f64();
        let add = |sum: &mut f64, value: f64| *sum = *sum * RETENTION + value;
        add(&mut self.weight, 1.0);
        add(&mut self.load, load);
        add(&mut self.load_squared, load * load);
        add(&mut self.time, time);
        add(&mut self.time_by_load, time * load);
    }

    /// Returns the model of an upstream whose intervals are longer by this factor.
    pub fn slowed_by(self, factor: f64) -> Self {
        Self { time: self.time * factor, time_by_load: self.time_by_load * factor, ..self }
    }

    /// Returns the expected interval between two events in seconds at an upstream with `load`
    /// requests; 0 before any stream was recorded.
    pub fn interval(&self, load: f64) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        let mean_load = self.load / self.weight;
        let mean_time = self.time / self.weight;
        (mean_time + self.slope() * (load - mean_load)).max(0.0)
    }

    /// Returns by how many seconds one more request lengthens the event interval of the others. It
    /// is at least 0, and at most the slope at which the interval would be 0 without requests.
    pub fn slope(&self) -> f64 {
        if self.weight <= 0.0 || self.load <= 0.0 {
            return 0.0;
        }
        let variance = self.load_squared - self.load * self.load / self.weight;
        let covariance = self.time_by_load - self.time * self.load / self.weight;
        let max_slope = self.time / self.load;
        if variance <= f64::EPSILON * self.load_squared {
            return 0.0;
        }
        (covariance / variance).clamp(0.0, max_slope)
    }
}
