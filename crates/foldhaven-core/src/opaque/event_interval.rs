//! How fast the upstreams of a service write events, by how many requests they have.
//!
//! Each token of an answer takes a step that all requests of an upstream share, and longer the more there
//! are; prompts are read in between. All of it is taken for a straight line over the number of requests,
//! fitted to the streams that ended lately.

use std::time::Duration;

/// What is left of the weight of earlier streams after one more; some hundred streams count.
const KEPT_WEIGHT: f64 = 0.99;

/// The sums of a line fitted by least squares.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct EventIntervalModel {
    weight: f64,
    load: f64,
    load_squared: f64,
    time: f64,
    time_by_load: f64,
}

impl EventIntervalModel {
    /// Takes in the mean time between two events of a stream, and how many requests its upstream had
    /// meanwhile.
    pub fn record(&mut self, between: Duration, load: f64) {
        let time = between.as_secs_f64();
        let add = |sum: &mut f64, value: f64| *sum = *sum * KEPT_WEIGHT + value;
        add(&mut self.weight, 1.0);
        add(&mut self.load, load);
        add(&mut self.load_squared, load * load);
        add(&mut self.time, time);
        add(&mut self.time_by_load, time * load);
    }

    /// The expected time between two events at an upstream with so many requests, in seconds; 0 before
    /// any stream has ended.
    pub fn interval(&self, load: f64) -> f64 {
        if self.weight <= 0.0 {
            return 0.0;
        }
        let mean_load = self.load / self.weight;
        let mean_time = self.time / self.weight;
        (mean_time + self.slope() * (load - mean_load)).max(0.0)
    }

    /// By how much one more request lengthens the time between two events of all others, in seconds:
    /// never negative, and never more than a time that begins at nothing.
    pub fn slope(&self) -> f64 {
        if self.weight <= 0.0 || self.load <= 0.0 {
            return 0.0;
        }
        let variance = self.load_squared - self.load * self.load / self.weight;
        let covariance = self.time_by_load - self.time * self.load / self.weight;
        let steepest = self.time / self.load;
        if variance <= f64::EPSILON * self.load_squared {
            return 0.0;
        }
        (covariance / variance).clamp(0.0, steepest)
    }
}
