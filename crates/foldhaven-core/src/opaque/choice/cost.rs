//! Costs, as shares of what a request is worth, and what causes them.

use std::ops::Add;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The cost of being a whole target late or early, while that alone does not decide whether the
/// answer is in time. It keeps queues short at low load.
const TIME_SHARE: f64 = 0.2;
/// The spread of times around the expected one, as a share of the target.
const LATE_SPREAD: f64 = 0.15;
/// What reading all of a request's tokens again costs, as a share of what it is worth. The users pay 0.3 to
/// 1.0; halved and doubled it changes little (docs/decisions.md).
const REREAD_COST: f64 = 0.7;

/// What an answer loses that is late, as a share of what it is worth in time; the users pay late ones a tenth to
/// three tenths.
pub const LATE_VALUE_LOSS: f64 = 0.7;
/// What one second of writing events costs, as a share of what the stream is worth: its caller waits for the
/// end, and a stream may break with its upstream or VM.
const STREAM_SECOND_COST: f64 = 0.06;

/// What a decision costs, as a share of what the request is worth.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestCost(pub f64);

impl RequestCost {
    /// The cost of an answer that is expected after `time_to_first`: little while that is well before the
    /// target, then rising until almost all is lost.
    pub fn of_time(time_to_first: Duration, target: Duration) -> Self {
        let share = time_to_first.as_secs_f64() / target.as_secs_f64().max(1e-3);
        let late = lateness_probability(time_to_first, target);
        Self(TIME_SHARE * share + (1.0 - TIME_SHARE) * late)
    }

    /// The cost of reading tokens of a request of some size again.
    pub fn of_repeated_prefill(tokens: u32, size: u32) -> Self {
        Self(REREAD_COST * f64::from(tokens) / f64::from(size.max(1)))
    }

    /// The cost of a chance that a pause between events is longer than wanted.
    pub fn of_long_pause(chance: f64) -> Self {
        Self(LATE_VALUE_LOSS * chance)
    }

    /// The cost of writing events for so many seconds.
    pub fn of_streaming(seconds: f64) -> Self {
        Self(STREAM_SECOND_COST * seconds)
    }

    /// The cost of moving bytes of a request of some size, by what a byte costs against a token.
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

/// What a place costs, by what causes it; each a share of what the request is worth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct CostBreakdown {
    /// Being late, or nearer to that.
    pub time: f64,
    /// Reading shared parts of the prompt again that are held elsewhere, or taking them over.
    #[serde(rename = "rereading")]
    pub repeated_prefill: f64,
    /// Pauses of the streams there that reading breaks.
    #[serde(rename = "disturbance")]
    pub prefill_interference: f64,
    /// Long pauses that its own events probably meet there.
    #[serde(rename = "pauses")]
    pub long_pauses: f64,
    /// The time that its events take.
    pub streaming: f64,
    /// The time by which it lengthens the other streams there.
    #[serde(rename = "slowing")]
    pub decode_slowdown: f64,
    /// Failures there lately.
    pub failures: f64,
    /// Moving the body there.
    #[serde(rename = "moving")]
    pub transfer: f64,
}

impl CostBreakdown {
    /// What the requests there lose by it.
    pub fn interference(&self) -> f64 {
        self.prefill_interference + self.decode_slowdown
    }

    /// All of them together.
    pub fn total(&self) -> RequestCost {
        let there = self.long_pauses + self.streaming + self.failures;
        RequestCost(self.time + self.repeated_prefill + there + self.interference() + self.transfer)
    }
}

/// The chance that an answer that is expected after `time_to_first` misses its target.
pub fn lateness_probability(time_to_first: Duration, target: Duration) -> f64 {
    chance_beyond(time_to_first.as_secs_f64() / target.as_secs_f64().max(1e-3), LATE_SPREAD)
}

/// The chance that at least one pause of an answer is longer than wanted, by the share of pauses that are.
pub fn long_pause_probability(long_pause_share: f64, events: f64) -> f64 {
    1.0 - (1.0 - long_pause_share.clamp(0.0, 1.0)).powf(events.max(0.0))
}

/// The chance that a value exceeds its limit, by the share of the limit that is expected of it and the
/// spread around that share.
pub(super) fn chance_beyond(share: f64, spread: f64) -> f64 {
    1.0 / (1.0 + (-(share - 1.0) / spread).exp())
}
