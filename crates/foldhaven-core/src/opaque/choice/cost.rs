//! Costs of sending a request to a candidate, as fractions of the request's value.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The cost of a latency equal to the target, apart from the risk of missing the target. It keeps
/// queues short at low load.
const LATENCY_COST: f64 = 0.2;
/// The spread of the actual time around the expected one, as a fraction of the target.
const LATENESS_SPREAD: f64 = 0.15;
/// The cost of prefilling all of a request's tokens again, as a fraction of its value. Users price
/// it at 0.3 to 1.0. Results are not sensitive to it: half or twice the value changes little.
const REPEATED_PREFILL_COST: f64 = 0.7;

/// The fraction of its value that a late answer loses. Users pay 0.1 to 0.3 of the price for a late
/// answer.
pub const LATE_VALUE_LOSS: f64 = 0.7;
/// The cost of one second of streaming, as a fraction of the stream's value. The caller waits for
/// the end of the stream, and a longer stream is more likely to break because its upstream or VM
/// fails.
const STREAM_SECOND_COST: f64 = 0.06;

/// A cost as a fraction of the request's value.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestCost(pub f64);

impl RequestCost {
    /// Returns the cost of an answer that is expected after `time_to_first`. It is low well before
    /// the target and approaches the whole value after it.
    pub fn of_time(time_to_first: Duration, target: Duration) -> Self {
        let ratio = time_to_first.as_secs_f64() / target.as_secs_f64().max(1e-3);
        let late = lateness_probability(time_to_first, target);
        Self(LATENCY_COST * ratio + (1.0 - LATENCY_COST) * late)
    }

    /// Returns the cost of prefilling `tokens` again for a request of `size` tokens.
    pub fn of_repeated_prefill(tokens: u32, size: u32) -> Self {
        Self(REPEATED_PREFILL_COST * f64::from(tokens) / f64::from(size.max(1)))
    }

    /// Returns the cost of a pause between events exceeding the caller's limit with this
    /// probability.
    pub fn of_long_pause(probability: f64) -> Self {
        Self(LATE_VALUE_LOSS * probability)
    }

    /// Returns the cost of streaming events for a number of seconds.
    pub fn of_streaming(seconds: f64) -> Self {
        Self(STREAM_SECOND_COST * seconds)
    }

    /// Returns the cost of transferring `bytes` for a request of `size` tokens. `price` is the
    /// price of a byte relative to that of a token.
    pub fn of_bytes(bytes: usize, price: f64, size: u32) -> Self {
        Self(bytes as f64 * price / f64::from(size.max(1)))
    }
}

impl Add for RequestCost {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0 + other.0)
    }
}

/// The cost of sending a request to a candidate, by cause. Each is a fraction of the request's
/// value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct CostBreakdown {
    /// Latency and the risk of missing the target.
    pub time: f64,
    /// Prefilling shared prompt segments again that are cached elsewhere, or fetching them.
    #[serde(rename = "rereading")]
    pub repeated_prefill: f64,
    /// Pauses of other streams at the candidate that the prefill makes too long.
    #[serde(rename = "disturbance")]
    pub prefill_interference: f64,
    /// Long pauses to expect between the request's own events.
    #[serde(rename = "pauses")]
    pub long_pauses: f64,
    /// The time it takes to generate the request's events.
    pub streaming: f64,
    /// The time by which the request lengthens the other streams at the candidate.
    #[serde(rename = "slowing")]
    pub decode_slowdown: f64,
    /// Recent failures of the candidate beyond the usual share of the routes.
    pub failures: f64,
    /// The risk that the request takes the last place in the candidate's queue from another one, or
    /// finds none.
    #[serde(default)]
    pub overflow: f64,
    /// Transferring the body to the candidate.
    #[serde(rename = "moving")]
    pub transfer: f64,
}

impl CostBreakdown {
    /// Returns the cost to the other requests at the candidate.
    pub fn interference(&self) -> f64 {
        self.prefill_interference + self.decode_slowdown + self.overflow
    }

    /// Returns the sum of all costs.
    pub fn total(&self) -> RequestCost {
        let own = self.long_pauses + self.streaming + self.failures;
        RequestCost(self.time + self.repeated_prefill + own + self.interference() + self.transfer)
    }
}

/// Returns the probability that an answer that is expected after `time_to_first` misses its target.
pub fn lateness_probability(time_to_first: Duration, target: Duration) -> f64 {
    exceedance_probability(
        time_to_first.as_secs_f64() / target.as_secs_f64().max(1e-3),
        LATENESS_SPREAD,
    )
}

/// Returns the probability that at least one pause between `events` events is too long, given the
/// share of pauses that are.
pub fn long_pause_probability(long_pause_share: f64, events: f64) -> f64 {
    1.0 - (1.0 - long_pause_share.clamp(0.0, 1.0)).powf(events.max(0.0))
}

/// Returns the probability that a value exceeds its limit. `ratio` is the expected value divided by
/// the limit, and `spread` is the spread around it.
pub(crate) fn exceedance_probability(ratio: f64, spread: f64) -> f64 {
    1.0 / (1.0 + (-(ratio - 1.0) / spread).exp())
}
