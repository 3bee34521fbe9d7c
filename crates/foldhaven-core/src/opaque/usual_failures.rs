//! How often requests of one route fail by their nature, whichever upstream runs them.

/// The weight of one more end of a request. Small, so that an upstream that fails for some seconds does not
/// become what is usual.
const WEIGHT: f64 = 0.01;

/// The share of a route's requests that fail at upstreams.
#[derive(Debug, Clone, Copy, Default)]
pub struct UsualFailures {
    share: f64,
    ends: u32,
}

impl UsualFailures {
    /// Takes in how a request ended at an upstream. The first ones count evenly.
    pub fn record(&mut self, has_failed: bool) {
        self.ends = self.ends.saturating_add(1);
        let weight = WEIGHT.max(1.0 / f64::from(self.ends));
        self.share += (f64::from(u8::from(has_failed)) - self.share) * weight;
    }

    /// The share that is usual.
    pub fn share(&self) -> f64 {
        self.share
    }
}
