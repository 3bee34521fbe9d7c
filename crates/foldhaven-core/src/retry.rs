//! The retry budget: retries are a bounded share of successes, so that they cannot sustain an
//! overload.

/// A budget into which successes deposit and from which retries withdraw.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    retries_per_success: f64,
    capacity: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a budget that gains `retries_per_success` with each success, up to `capacity`
    /// retries. The budget starts full, so that a failure before the first success can be retried.
    pub fn new(retries_per_success: f64, capacity: f64) -> Self {
        Self { retries_per_success, capacity, balance: capacity }
    }

    /// Credits one success.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.retries_per_success).min(self.capacity);
    }

    /// Withdraws one retry. Returns whether one was available.
    pub fn try_withdraw(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    /// Returns the number of available retries, which may be fractional.
    pub fn available(&self) -> f64 {
        self.balance
    }
}
