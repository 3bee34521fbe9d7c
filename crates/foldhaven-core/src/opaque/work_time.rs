//! Estimates how long upstreams work on requests that are answered as a whole and have no prompt.
//!
//! The answer time of such a request contains its wait in the queue, which grows with the load. Only
//! the rest of it tells how fast slots become free.

use std::time::Duration;

/// The assumed time before any measurement.
const INITIAL_WORK_TIME: Duration = Duration::from_millis(60);
/// The number of measurements that the assumed time counts as.
const PRIOR_COUNT: u32 = 4;
/// The number of measurements that the mean is taken over.
const MEAN_COUNT: u32 = 50;

/// The mean time that the upstreams of a service work on one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkTime {
    mean: Duration,
    /// The number of measurements, [`MEAN_COUNT`] at most.
    count: u32,
}

impl Default for WorkTime {
    fn default() -> Self {
        Self { mean: INITIAL_WORK_TIME, count: PRIOR_COUNT }
    }
}

impl WorkTime {
    /// Records the time to an answer. `turns` is the number of times that all slots became free once
    /// while the request waited.
    pub fn record(&mut self, took: Duration, turns: f64) {
        let work = took.div_f64(1.0 + turns.max(0.0));
        self.count = (self.count + 1).min(MEAN_COUNT);
        let weight = f64::from(self.count).recip();
        self.mean = self.mean.mul_f64(1.0 - weight) + work.mul_f64(weight);
    }

    /// Returns the mean.
    pub fn mean(&self) -> Duration {
        self.mean
    }
}
