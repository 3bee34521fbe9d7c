//! Statistics of the requests of one route over all upstreams: how often they fail by their nature,
//! how many events their answers have, and how long they take.

use std::time::Duration;

use crate::opaque::answer_length::AnswerLengths;

/// The minimum weight of a new value. It is small, so that an upstream that fails for some seconds
/// does not change the usual failure share.
const MIN_WEIGHT: f64 = 0.01;

/// A running mean that weights the first values equally and later ones with a small constant
/// weight.
#[derive(Debug, Clone, Copy, Default)]
struct RunningMean {
    value: f64,
    count: u32,
}

impl RunningMean {
    fn record(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.count));
        self.value += (value - self.value) * weight;
    }
}

/// A maximum that declines slowly while all values are below it.
#[derive(Debug, Clone, Copy, Default)]
struct DecliningMaximum(Option<Duration>);

impl DecliningMaximum {
    fn record(&mut self, value: Duration) {
        let held = self.0.unwrap_or(value);
        self.0 = Some(value.max(held - held.saturating_sub(value).mul_f64(MIN_WEIGHT)));
    }
}

/// Statistics of the requests of one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct RouteHistory {
    failure_mean: RunningMean,
    event_mean: RunningMean,
    lengths: AnswerLengths,
    longest: DecliningMaximum,
}

impl RouteHistory {
    /// Records how a request ended at an upstream.
    pub fn record_outcome(&mut self, has_failed: bool) {
        self.failure_mean.record(f64::from(u8::from(has_failed)));
    }

    /// Records the number of events of a complete answer.
    pub fn record_event_count(&mut self, events: u32) {
        self.event_mean.record(f64::from(events));
    }

    /// Records a complete answer with the hint of its caller and the maximum that it named.
    pub fn record_length(&mut self, events: u32, hint: Option<u32>, max_tokens: u32) {
        self.lengths.record(events, hint, max_tokens);
    }

    /// Records how long a request took that was served, up to the end of its answer.
    pub fn record_duration(&mut self, duration: Duration) {
        self.longest.record(duration);
    }

    /// Returns how long requests take at most, apart from rare ones. `None` before the first one.
    pub fn longest_duration(&self) -> Option<Duration> {
        self.longest.0
    }

    /// Returns the tokens that an answer will probably have.
    pub fn expected_tokens(&self, hint: Option<u32>, max_tokens: u32) -> u32 {
        self.lengths.expected(hint, max_tokens)
    }

    /// Returns the usual share of requests that fail.
    pub fn failure_share(&self) -> f64 {
        self.failure_mean.value
    }

    /// Returns the usual number of events in an answer; 0 before the first answer.
    pub fn usual_event_count(&self) -> f64 {
        self.event_mean.value
    }
}
