//! How fast the upstreams of a service read prompts, learnt from the times of their own first answers.

use std::time::Duration;

/// What is believed before anything was measured, in prompt tokens a second: what a large engine reads
/// beside the answers that it writes. It counts as little as the first prompts.
const FIRST_RATE: f64 = 45_000.0;
/// How many tokens that first belief counts for.
const FIRST_TOKENS: f64 = 4_000.0;
/// Measurements count less by the factor e after so many more tokens; a few seconds of traffic.
const KEPT_TOKENS: f64 = 200_000.0;
/// Fewer tokens say more of the way there than of reading.
const LEAST_TOKENS: u32 = 1_000;

/// The tokens that were read lately, and the time that this took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    tokens: f64,
    seconds: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self { tokens: FIRST_TOKENS, seconds: FIRST_TOKENS / FIRST_RATE }
    }
}

impl PrefillRate {
    /// Takes in that an upstream read so many tokens, those that it had before the request's own
    /// included, until it began to answer.
    pub fn record(&mut self, tokens: u32, took: Duration) {
        if tokens < LEAST_TOKENS {
            return;
        }
        let kept = (-f64::from(tokens) / KEPT_TOKENS).exp();
        self.tokens = self.tokens * kept + f64::from(tokens);
        self.seconds = self.seconds * kept + took.as_secs_f64();
    }

    /// The prompt tokens that an upstream reads in a second.
    pub fn rate(&self) -> f64 {
        self.tokens / self.seconds.max(f64::EPSILON)
    }
}
