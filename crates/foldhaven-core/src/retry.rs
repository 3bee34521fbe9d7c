//! The retry budget: retries are a bounded share of successes, so that they cannot keep an
//! overload alive.

/// Counts successes in and retries out.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    share: f64,
    cap: f64,
    tokens: f64,
}

impl RetryBudget {
    /// A budget that earns `share` of a retry with each success and saves at most `cap` retries.
    /// It starts full, so that a fault met first can be retried.
    pub fn new(share: f64, cap: f64) -> Self {
        Self { share, cap, tokens: cap }
    }

    /// Earns for one success.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.cap);
    }

    /// Takes one retry out, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// The retries that could be taken now.
    pub fn available(&self) -> f64 {
        self.tokens
    }
}
