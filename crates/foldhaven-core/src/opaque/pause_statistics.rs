//! How often a pause between two events is longer than wanted, by how many prompt tokens their upstream had to
//! read meanwhile.
//!
//! Between two pieces of a prompt each stream gets a token. Whether that stretches pauses beyond what is
//! wanted depends on the size of the pieces and of the events, which nobody describes; so it is counted.

/// Upper ends of the ranges of unread tokens that are told apart; the last range is open.
const RANGE_ENDS: [u32; 8] = [500, 2_000, 4_000, 8_000, 16_000, 32_000, 64_000, 128_000];
const RANGES: usize = RANGE_ENDS.len() + 1;
/// What is left of the weight of earlier pauses of a range after one more.
const KEPT_WEIGHT: f64 = 0.999;
/// For how many pauses the guess counts that is made before any were counted.
const GUESS_WEIGHT: f64 = 5.0;

/// The pauses counted in one range.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct RangeCount {
    pauses: f64,
    long: f64,
}

/// The pauses of a service's streams, by range of unread tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PauseStatistics {
    ranges: [RangeCount; RANGES],
}

impl PauseStatistics {
    /// Takes in whether a pause with so many unread tokens was longer than wanted.
    pub fn record(&mut self, unread_tokens: u32, is_long: bool) {
        let range = &mut self.ranges[range_of(unread_tokens)];
        range.pauses = range.pauses * KEPT_WEIGHT + 1.0;
        range.long = range.long * KEPT_WEIGHT + f64::from(u8::from(is_long));
    }

    /// The chance that a pause with so many unread tokens is longer than wanted. `guess` is believed as far as few pauses were counted.
    pub fn chance(&self, unread_tokens: u32, guess: f64) -> f64 {
        let RangeCount { pauses, long } = self.ranges[range_of(unread_tokens)];
        (long + guess * GUESS_WEIGHT) / (pauses + GUESS_WEIGHT)
    }
}

fn range_of(unread_tokens: u32) -> usize {
    RANGE_ENDS.partition_point(|end| *end <= unread_tokens)
}
