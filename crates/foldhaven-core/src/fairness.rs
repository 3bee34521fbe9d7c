//! What each account used lately, against its part of scarce capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::AccountName;
use crate::time::MonoTime;

const HALF_LIFE: Duration = Duration::from_secs(10);

/// Slot time used per account, decaying.
#[derive(Debug, Default)]
pub struct UsageTracker {
    usage: BTreeMap<AccountName, f64>,
    total: f64,
    shares: BTreeMap<AccountName, f64>,
    decayed: MonoTime,
}

impl UsageTracker {
    /// Notes that a request of an account was given so much slot time.
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

    /// What the price of scarce capacity is to be multiplied by for an account: 1 when it used its
    /// part of what the active accounts used, more when it used more, within 0.25 to 4.
    pub fn price_factor(&self, account: &AccountName, share: f64) -> f64 {
        let shares: f64 = self.shares.values().sum();
        let known = self.shares.contains_key(account);
        let shares = if known { shares } else { shares + share };
        if self.total <= 0.0 || shares <= 0.0 || share <= 0.0 {
            return 1.0;
        }
        let used = self.usage.get(account).copied().unwrap_or_default() / self.total;
        (used / (share / shares)).clamp(0.25, 4.0)
    }

    fn decay(&mut self, now: MonoTime) {
        const STEP: Duration = Duration::from_millis(500);
        const NEGLIGIBLE: f64 = 1e-3;
        let passed = now.since(self.decayed);
        if passed < STEP {
            return;
        }
        self.decayed = now;
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
