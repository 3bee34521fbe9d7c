//! What limited accounts use at this VM, shared by both threads: traffic asks, the control thread renews the parts.

use std::collections::HashMap;
use std::time::Duration;

use foldhaven_core::ids::AccountName;
use foldhaven_core::opaque::account_table::{AccountLimit, ClientAccount};
use foldhaven_core::opaque::limit_share::{
    LimitMeter, LimitShare, LimitSlack, ReportedDemand, SharerView, limit_share,
};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;

/// What a limit said of a request that it did not let through.
#[derive(Debug, Clone, Copy)]
pub struct OverLimit {
    /// After which time one could be let through.
    pub wait: Duration,
    /// The part in force.
    pub share: LimitShare,
    /// For how long it has been.
    pub share_age: Duration,
    /// What is owed.
    pub level: f64,
}

/// One account at this VM.
#[derive(Debug, Clone, Copy)]
struct AccountEntry {
    meter: LimitMeter,
    /// How much was let through, and how much was not, in the unit of the limit.
    let_through: f64,
    refused: u64,
}

/// One account at this VM, as operators are told.
#[derive(Debug, Clone)]
pub struct AccountUsage {
    pub account: AccountName,
    pub share: LimitShare,
    pub share_age: Duration,
    pub level: f64,
    pub demand: f64,
    pub let_through: f64,
    pub refused: u64,
}

/// The accounts with limits.
pub struct AccountLimiter {
    slack: LimitSlack,
    inner: Mutex<LimiterState>,
}

struct LimiterState {
    view: SharerView,
    entries: HashMap<AccountName, AccountEntry>,
}

impl AccountLimiter {
    /// The desk of a process that has heard of nobody, in one of so many regions.
    pub fn new(regions: usize, slack: LimitSlack) -> Self {
        let inner = LimiterState { view: SharerView::unknown(regions), entries: HashMap::new() };
        Self { slack, inner: Mutex::new(inner) }
    }

    /// What is permitted above limits.
    pub fn slack(&self) -> &LimitSlack {
        &self.slack
    }

    /// Who shares the limits, as it was looked at last.
    pub fn view(&self) -> SharerView {
        self.inner.lock().view
    }

    /// Lets a request of an account through that counts for `cost`; `started` is when this process did.
    pub fn try_acquire(
        &self,
        account: &ClientAccount,
        limit: &AccountLimit,
        cost: f64,
        started: MonoTime,
        now: MonoTime,
    ) -> Result<(), OverLimit> {
        let mut inner = self.inner.lock();
        let view = inner.view;
        if !inner.entries.contains_key(&account.name) {
            let share = limit_share(limit, &ReportedDemand::default(), &view, &self.slack);
            let meter = LimitMeter::new(share, started, now);
            let entry = AccountEntry { meter, let_through: 0.0, refused: 0 };
            inner.entries.insert(account.name.clone(), entry);
        }
        let entry = inner.entries.get_mut(&account.name).expect("it was just made");
        let asked = entry.meter.try_acquire(cost, now);
        match asked {
            Ok(()) => entry.let_through += cost,
            Err(_) => entry.refused += 1,
        }
        let (share, level) = (entry.meter.share(), entry.meter.level());
        let share_age = entry.meter.share_age(now);
        asked.map_err(|wait| OverLimit { wait, share, share_age, level })
    }

    /// Gives back what a request counted for that has not run.
    pub fn refund(&self, account: &AccountName, cost: f64) {
        if let Some(entry) = self.inner.lock().entries.get_mut(account) {
            entry.meter.refund(cost);
            entry.let_through -= cost;
        }
    }

    /// What callers of each account want.
    pub fn demands(&self, now: MonoTime) -> Vec<(AccountName, f64)> {
        let inner = self.inner.lock();
        let demands = inner.entries.iter().map(|(name, entry)| (name, entry.meter.demand(now)));
        demands
            .filter(|(_, demand)| *demand > 0.0)
            .map(|(name, demand)| (name.clone(), demand))
            .collect()
    }

    /// Puts new parts in force, of all accounts that have limits. `started` is when this process did.
    pub fn renew(
        &self,
        view: SharerView,
        shares: Vec<(AccountName, LimitShare)>,
        started: MonoTime,
        now: MonoTime,
    ) {
        let mut inner = self.inner.lock();
        inner.view = view;
        let mut held = std::mem::take(&mut inner.entries);
        for (name, share) in shares {
            let mut entry = held.remove(&name).unwrap_or_else(|| {
                let meter = LimitMeter::new(share, started, now);
                AccountEntry { meter, let_through: 0.0, refused: 0 }
            });
            entry.meter.renew(share, now);
            inner.entries.insert(name, entry);
        }
    }

    /// The accounts that were used here.
    pub fn usages(&self, now: MonoTime) -> Vec<AccountUsage> {
        let inner = self.inner.lock();
        let mut usages: Vec<AccountUsage> = inner.entries.iter().map(usage_of(now)).collect();
        usages.sort_by(|left, right| left.account.cmp(&right.account));
        usages
    }
}

fn usage_of(now: MonoTime) -> impl Fn((&AccountName, &AccountEntry)) -> AccountUsage {
    move |(account, entry)| AccountUsage {
        account: account.clone(),
        share: entry.meter.share(),
        share_age: entry.meter.share_age(now),
        level: entry.meter.level(),
        demand: entry.meter.demand(now),
        let_through: entry.let_through,
        refused: entry.refused,
    }
}
