//! Limits the usage of client accounts at this VM. The traffic thread checks requests against the
//! limits, and the control thread renews this VM's shares of them.

use std::collections::HashMap;
use std::time::Duration;

use foldhaven_core::ids::AccountName;
use foldhaven_core::opaque::account_table::{AccountLimit, ClientAccount};
use foldhaven_core::opaque::limit_share::{
    LimitMeter, LimitShare, LimitSlack, ReportedDemand, SharerView, limit_share,
};
use foldhaven_core::time::MonoTime;
use parking_lot::Mutex;

/// Why a request was refused by the limit of its account.
#[derive(Debug, Clone, Copy)]
pub struct OverLimit {
    /// The time after which a request could be let through.
    pub wait: Duration,
    /// The share of the limit that is in force at this VM.
    pub share: LimitShare,
    /// The time since the share was renewed.
    pub share_age: Duration,
    /// The amount that may be used at once, in the unit of the limit. A negative value is debt.
    pub level: f64,
}

/// The usage of one account.
#[derive(Debug, Clone, Copy)]
struct AccountEntry {
    meter: LimitMeter,
    /// The amount that was let through since startup, in the unit of the limit.
    let_through: f64,
    /// The number of requests that were refused since startup.
    refused: u64,
}

/// The usage of one account at this VM, as reported to operators.
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

/// Limits each account to this VM's share of its limit, and counts its usage.
pub struct AccountLimiter {
    slack: LimitSlack,
    inner: Mutex<LimiterState>,
}

struct LimiterState {
    view: SharerView,
    entries: HashMap<AccountName, AccountEntry>,
}

impl AccountLimiter {
    /// Creates the limiter of a process that has not heard from other VMs yet. `regions` is the
    /// number of regions that may exist.
    pub fn new(regions: usize, slack: LimitSlack) -> Self {
        let inner = LimiterState { view: SharerView::unknown(regions), entries: HashMap::new() };
        Self { slack, inner: Mutex::new(inner) }
    }

    /// Returns by how much the limits may be exceeded.
    pub fn slack(&self) -> &LimitSlack {
        &self.slack
    }

    /// Returns the last view of the VMs and regions that share the limits.
    pub fn view(&self) -> SharerView {
        self.inner.lock().view
    }

    /// Lets a request of an account through, or returns why it is refused. `cost` is what it counts
    /// for in the unit of the limit, and `started` is when this process started.
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
        let result = entry.meter.try_acquire(cost, now);
        match result {
            Ok(()) => entry.let_through += cost,
            Err(_) => entry.refused += 1,
        }
        let (share, level) = (entry.meter.share(), entry.meter.level());
        let share_age = entry.meter.share_age(now);
        result.map_err(|wait| OverLimit { wait, share, share_age, level })
    }

    /// Refunds the cost of a request that has not run.
    pub fn refund(&self, account: &AccountName, cost: f64) {
        if let Some(entry) = self.inner.lock().entries.get_mut(account) {
            entry.meter.refund(cost);
            entry.let_through -= cost;
        }
    }

    /// Returns the demand of each account's callers per second. Accounts without demand are left
    /// out.
    pub fn demands(&self, now: MonoTime) -> Vec<(AccountName, f64)> {
        let inner = self.inner.lock();
        let demands = inner.entries.iter().map(|(name, entry)| (name, entry.meter.demand(now)));
        demands
            .filter(|(_, demand)| *demand > 0.0)
            .map(|(name, demand)| (name.clone(), demand))
            .collect()
    }

    /// Puts new shares in force. `shares` lists all accounts that have limits; the usage of others
    /// is dropped. `started` is when this process started.
    pub fn renew(
        &self,
        view: SharerView,
        shares: Vec<(AccountName, LimitShare)>,
        started: MonoTime,
        now: MonoTime,
    ) {
        let mut inner = self.inner.lock();
        inner.view = view;
        let mut previous = std::mem::take(&mut inner.entries);
        for (name, share) in shares {
            let mut entry = previous.remove(&name).unwrap_or_else(|| {
                let meter = LimitMeter::new(share, started, now);
                AccountEntry { meter, let_through: 0.0, refused: 0 }
            });
            entry.meter.renew(share, now);
            inner.entries.insert(name, entry);
        }
    }

    /// Returns the usage of all accounts with limits, sorted by name.
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
