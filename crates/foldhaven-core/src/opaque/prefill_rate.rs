//! Estimates how fast the upstreams of a service prefill prompts, from the times to their first
//! answers.

use std::time::Duration;

/// The rate before any measurement, in prompt tokens per second: that of a large engine that also
/// generates answers. It has little weight, so the first prompts replace it.
const INITIAL_RATE: f64 = 45_000.0;
/// The weight of the initial rate, in tokens.
const INITIAL_TOKENS: f64 = 4_000.0;
/// The number of further tokens after which a measurement's weight decays by the factor e: a few
/// seconds of traffic.
const DECAY_TOKENS: f64 = 200_000.0;
/// The decaying sums of recently prefilled tokens and of the time that took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    tokens: f64,
    seconds: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self { tokens: INITIAL_TOKENS, seconds: INITIAL_TOKENS / INITIAL_RATE }
    }
}

impl PrefillRate {
    /// Minimum number of tokens in a measurement; with fewer, the network round trip dominates the
    /// time.
    pub const MIN_TOKENS: u32 = 1_000;

    /// Records the time in which an upstream prefilled a number of tokens, including those of
    /// earlier requests, before it began to answer a request.
    pub fn record(&mut self, tokens: u32, took: Duration) {
        if tokens < Self::MIN_TOKENS {
            return;
        }
        let retention = (-f64::from(tokens) / DECAY_TOKENS).exp();
        self.tokens = self.tokens * retention + f64::from(tokens);
        self.seconds = self.seconds * retention + took.as_secs_f64();
    }

    /// Returns the rate of an upstream that takes longer by this factor.
    pub fn slowed_by(self, factor: f64) -> Self {
        Self { seconds: self.seconds * factor, ..self }
    }

    /// Returns the number of prompt tokens that an upstream prefills per second.
    pub fn rate(&self) -> f64 {
        self.tokens / self.seconds.max(f64::EPSILON)
    }
}
