//! Tracks how often requests of one route fail regardless of the upstream that runs them.

/// The weight of a new result. It is low so that an upstream that fails for a few seconds does not
/// change the usual share.
const WEIGHT: f64 = 0.01;

/// The share of a route's requests that fail at upstreams.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsualFailures {
    share: f64,
    results: u32,
}

impl UsualFailures {
    /// Records whether a request failed at an upstream. The first results have equal weights.
    pub fn record(&mut self, has_failed: bool) {
        self.results = self.results.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.results));
        self.share += (f64::from(u8::from(has_failed)) - self.share) * weight;
    }

    /// Returns the usual share of failures.
    pub fn share(&self) -> f64 {
        self.share
    }
}
