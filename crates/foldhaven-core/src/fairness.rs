//! Fairness between accounts: each account's recent usage compared to its share of scarce capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::AccountName;
use crate::time::MonoTime;

const HALF_LIFE: Duration = Duration::from_secs(10);

/// Slot time used per account, with exponential decay.
#[derive(Debug, Default)]
pub struct UsageTracker {
    /// Decayed slot seconds of each active account.
    usage: BTreeMap<AccountName, f64>,
    /// Sum of `usage`.
    total: f64,
    /// Configured shares of the active accounts.
    shares: BTreeMap<AccountName, f64>,
    last_decay: MonoTime,
}

impl UsageTracker {
    /// Records that a request of an account was given `slot_time`.
    pub fn record(
        &mut self,
        account: &AccountName,
        share: f64,
        slot_time: Duration,
        now: MonoTime,
    ) {
        self.decay(now);
        let used = slot_time.as_secs_f64();
        *self.usage.entry(account.clone()).or_default() += used;
        self.shares.insert(account.clone(), share);
        self.total += used;
    }

    /// Returns the factor by which an account's price of scarce capacity is multiplied.
    ///
    /// This is the fraction that the account has of the usage of all active accounts, divided by
    /// the fraction that it has of their configured shares, limited to 0.25 to 4. It is 1 if the
    /// account used exactly its share.
    pub fn price_factor(&self, account: &AccountName, share: f64) -> f64 {
        let shares: f64 = self.shares.values().sum();
        let is_active = self.shares.contains_key(account);
        let shares = if is_active { shares } else { shares + share };
        if self.total <= 0.0 || shares <= 0.0 || share <= 0.0 {
            return 1.0;
        }
        let used = self.usage.get(account).copied().unwrap_or_default() / self.total;
        (used / (share / shares)).clamp(0.25, 4.0)
    }

    fn decay(&mut self, now: MonoTime) {
        const STEP: Duration = Duration::from_millis(500);
        const NEGLIGIBLE: f64 = 1e-3;
        let passed = now.since(self.last_decay);
        if passed < STEP {
            return;
        }
        self.last_decay = now;
        let factor = 0.5f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for used in self.usage.values_mut() {
            *used *= factor;
        }
        self.usage.retain(|_, used| *used > NEGLIGIBLE);
        let usage = &self.usage;
        self.shares.retain(|account, _| usage.contains_key(account));
        self.total = self.usage.values().sum();
    }
}
