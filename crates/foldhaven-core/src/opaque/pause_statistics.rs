//! Counts how often a pause between two events is too long, by the prefill backlog of the upstream.
//!
//! Each stream gets one token between two chunks of a prompt. Whether that makes pauses too long
//! depends on the sizes of the chunks and of the events. They are not configured, so long pauses
//! are counted.

/// Upper bounds of the backlog ranges in tokens; the last range has none.
const RANGE_BOUNDS: [u32; 8] = [500, 2_000, 4_000, 8_000, 16_000, 32_000, 64_000, 128_000];
const RANGES: usize = RANGE_BOUNDS.len() + 1;
/// The factor by which earlier pauses of a range lose weight with each new one.
const RETENTION: f64 = 0.999;
/// The weight of the prior probability, in pauses.
const PRIOR_WEIGHT: f64 = 5.0;

/// The weighted counts of pauses in one range.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct RangeCount {
    pauses: f64,
    long: f64,
}

/// The share of long pauses of a service's streams, by range of the prefill backlog.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PauseStatistics {
    ranges: [RangeCount; RANGES],
}

impl PauseStatistics {
    /// Records whether a pause was too long at an upstream with a backlog of this many tokens.
    pub fn record(&mut self, backlog: u32, is_long: bool) {
        let range = &mut self.ranges[range_of(backlog)];
        range.pauses = range.pauses * RETENTION + 1.0;
        range.long = range.long * RETENTION + f64::from(u8::from(is_long));
    }

    /// Returns the probability that a pause is too long at an upstream with a backlog of this many
    /// tokens. `prior` is the probability assumed without counts; its influence falls as pauses are
    /// counted.
    pub fn long_pause_probability(&self, backlog: u32, prior: f64) -> f64 {
        let RangeCount { pauses, long } = self.ranges[range_of(backlog)];
        (long + prior * PRIOR_WEIGHT) / (pauses + PRIOR_WEIGHT)
    }
}

/// Returns the index of the range that a backlog falls into.
fn range_of(backlog: u32) -> usize {
    RANGE_BOUNDS.partition_point(|bound| *bound <= backlog)
}
