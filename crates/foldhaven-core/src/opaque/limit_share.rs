//! The share of a limit that one VM may use, where one limit holds for all VMs together and there
//! is no shared counter.
//!
//! The limit must hold when callers move from one region to another within a second, when one
//! account sends many times its usual load, and when VMs and regions are partitioned, killed
//! together or resume after seconds. Equal shares would refuse callers far below the limit where
//! they reach only a few VMs. Counts that are added up would let all VMs spend the same headroom
//! until they have heard of each other.
//!
//! Instead, each VM reports the demand of its callers, and all VMs divide the limit by the
//! *reported* demand: each gets what it reported, plus a share of the capacity that nobody claims.
//! If the total demand exceeds the limit, shares are proportional to demand. A VM computes its own
//! share from what it reported too, not from what it measures now, so that the shares of VMs that
//! received the same reports add up to the limit whatever callers do next. An equal share is
//! reserved for each VM that is not heard from. A region that does not hear from another one, or is
//! not heard there, keeps to its own equal share and to what the others leave unused of theirs.
//! Division by demand follows distributed rate limiting (Raghavan et al., 2007); the reserve for
//! unresponsive sharers equals what leases of equal shares would grant them.

use std::time::Duration;

use crate::opaque::account_table::AccountLimit;
use crate::opaque::refusal::MAX_RETRY_DELAY;
use crate::time::MonoTime;

/// The fraction of a limit that is distributed. The rest covers demand that has changed since it
/// was reported.
const USED_SHARE: f64 = 0.97;
/// The fraction of the slack above a limit that the debts of all VMs together may reach. A request
/// is admitted at its full cost while the debt is below its maximum, and a caller's second request
/// does not wait until the debt of the first one is reported.
const DEBT_SHARE: f64 = 0.5;
/// The minimum region size that a process assumes until it knows the other VMs.
const MIN_ASSUMED_VMS: usize = 32;
/// The fraction of unclaimed capacity that is split equally. The rest is split by demand: where
/// many requests arrive, long ones cluster too, and a VM on standby needs only enough for its first
/// requests.
const EVEN_SPLIT_SHARE: f64 = 0.25;
/// The maximum growth factor of a region over the demand that the other regions know of. Without
/// it, regions that callers reach at the same moment would each take the same headroom.
const MAX_GROWTH: f64 = 2.0;
/// The minimum share of a VM, as a fraction of its equal share, for callers that it has not
/// reported yet.
const MIN_EQUAL_SHARE: f64 = 0.2;
/// How long a share is valid after its renewal. After that, only the equal share is permitted.
const SHARE_LIFETIME: Duration = Duration::from_millis(2_000);
/// The time constant over which the demand of callers is averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(2_000);

/// What a VM knows about the VMs and regions that share its limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharerView {
    /// The number of regions that may exist, including this one.
    pub regions: usize,
    /// The number of other regions that are not heard from, or that do not hear from this one.
    pub silent_regions: usize,
    /// The number of VMs that may exist in this region, including this one.
    pub vms: usize,
    /// The number of other VMs in this region that are not heard from.
    pub silent_vms: usize,
    /// Whether this process has run long enough to hear from the others, and has heard from a seed,
    /// one of the VMs that every starting process contacts first.
    pub is_informed: bool,
}

impl SharerView {
    /// Returns the view of a process that has heard from nobody and knows only that there are
    /// others.
    pub fn unknown(regions: usize) -> Self {
        let regions = regions.max(1);
        Self { regions, silent_regions: regions - 1, vms: 1, silent_vms: 0, is_informed: false }
    }

    /// The number of VMs in this region that its share is divided by.
    fn assumed_vms(&self) -> usize {
        match self.is_informed {
            true => self.vms.max(1),
            false => self.vms.max(MIN_ASSUMED_VMS),
        }
    }

    /// The number of VMs in this region for which an equal share is reserved.
    fn reserved_vms(&self) -> usize {
        let unknown = self.assumed_vms() - self.vms.clamp(1, self.assumed_vms());
        self.silent_vms + unknown
    }
}

/// The reported demand of the callers of one account, in units of the limit per second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReportedDemand {
    /// The demand at this VM.
    pub own: f64,
    /// The total demand at the other VMs of this region that are heard from.
    pub local_peers: f64,
    /// The demand in each other region that hears from this one and is heard from.
    pub other_regions: Vec<f64>,
    /// The demand in this region, as far as the other regions have received it by now.
    pub region_as_known_remotely: f64,
}

/// By how much the limit of each account may be exceeded, since VMs learn of each other's demand
/// with a delay.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitSlack {
    /// The excess as a fraction of what the limit permits in one window.
    pub share: f64,
    /// A fixed excess in addition to `share`, in the unit of the limit.
    pub extra: f64,
    /// The length of the window.
    pub window: Duration,
}

impl LimitSlack {
    /// The maximum debt of all VMs together.
    fn max_debt(&self, limit: &AccountLimit) -> f64 {
        let permitted = limit.per_s * self.window.as_secs_f64() + limit.burst;
        DEBT_SHARE * (self.share * permitted + self.extra)
    }
}

/// The share of a limit that one VM may use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitShare {
    /// The permitted rate per second.
    pub per_s: f64,
    /// The maximum permitted rate per second once the share has expired.
    pub equal_per_s: f64,
    /// The maximum amount that is permitted at once after a pause.
    pub burst: f64,
    /// The maximum debt.
    pub max_debt: f64,
}

/// Computes this VM's share of a limit from the reported demand and from its view of the other
/// sharers.
pub fn limit_share(
    limit: &AccountLimit,
    demand: &ReportedDemand,
    view: &SharerView,
    slack: &LimitSlack,
) -> LimitShare {
    let rate = limit.per_s * USED_SHARE;
    let (regions, vms) = (view.regions.max(1) as f64, view.assumed_vms() as f64);
    let region_total = region_rate(rate, demand, view);
    let reserved = view.reserved_vms() as f64;
    let reporting = (vms - reserved).max(1.0);
    let available = region_total * (1.0 - reserved / vms).max(1.0 / vms);
    let equal_per_s = rate / regions / vms;
    let by_demand =
        proportional_share(available, demand.own, demand.own + demand.local_peers, reporting);
    let per_s = by_demand.max(equal_per_s * MIN_EQUAL_SHARE);
    let fraction = per_s / limit.per_s;
    let max_debt = slack.max_debt(limit) * (per_s / rate).min(1.0);
    LimitShare { per_s, equal_per_s, burst: limit.burst * fraction, max_debt }
}

/// Returns the rate that this region may use.
fn region_rate(rate: f64, demand: &ReportedDemand, view: &SharerView) -> f64 {
    let regions = view.regions.max(1) as f64;
    if view.silent_regions == 0 {
        let others = demand.other_regions.iter().sum::<f64>();
        let share_of = |own: f64| proportional_share(rate, own, own + others, regions);
        return share_of(demand.own + demand.local_peers)
            .min(share_of(demand.region_as_known_remotely) * MAX_GROWTH);
    }
    let equal = rate / regions;
    let others = (regions - 1.0).max(1.0);
    // Each other region may take the same amount of what is left unused.
    let unused: f64 =
        demand.other_regions.iter().map(|region| (equal - region).max(0.0) / others).sum();
    equal + unused
}

/// Returns the share of `rate` for one of `count` sharers, with demand `own` out of a total demand
/// of `all`.
fn proportional_share(rate: f64, own: f64, all: f64, count: f64) -> f64 {
    if all > rate {
        return rate * own / all;
    }
    let by_demand = if all > 0.0 { own / all } else { 1.0 / count };
    own + (rate - all) * (EVEN_SPLIT_SHARE / count + (1.0 - EVEN_SPLIT_SHARE) * by_demand)
}

/// The demand of callers per second, averaged over about [`DEMAND_WINDOW`].
#[derive(Debug, Clone, Copy, Default)]
struct DemandRate {
    per_s: f64,
    updated_at: MonoTime,
}

impl DemandRate {
    fn current(&self, now: MonoTime) -> f64 {
        let passed = now.since(self.updated_at).as_secs_f64();
        self.per_s * (-passed / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    fn record(&mut self, cost: f64, now: MonoTime) {
        self.per_s = self.current(now) + cost / DEMAND_WINDOW.as_secs_f64();
        self.updated_at = now;
    }
}

/// Meters the use of one account at one VM.
#[derive(Debug, Clone, Copy)]
pub struct LimitMeter {
    share: LimitShare,
    /// When the share was last renewed.
    renewed: MonoTime,
    /// The amount that may be used at once; a negative value is debt.
    level: f64,
    /// When `level` was last updated.
    updated_at: MonoTime,
    demand: DemandRate,
}

impl LimitMeter {
    /// Creates the meter of an account that has not been used here since `started`. The use by an
    /// earlier process is unknown, so the meter starts with the maximum debt.
    pub fn new(share: LimitShare, started: MonoTime, now: MonoTime) -> Self {
        let demand = DemandRate::default();
        let mut meter =
            Self { share, renewed: now, level: -share.max_debt, updated_at: started, demand };
        meter.refill(now);
        meter
    }

    /// Replaces the share.
    pub fn renew(&mut self, share: LimitShare, now: MonoTime) {
        self.refill(now);
        self.share = share;
        self.renewed = now;
        self.level = self.level.min(share.burst);
    }

    /// Returns the share in force.
    pub fn share(&self) -> LimitShare {
        self.share
    }

    /// Returns the time since the share was last renewed.
    pub fn share_age(&self, now: MonoTime) -> Duration {
        now.since(self.renewed)
    }

    /// Returns the demand of callers per second.
    pub fn demand(&self, now: MonoTime) -> f64 {
        self.demand.current(now)
    }

    /// Returns the amount that may be used at once.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Admits a request, or returns the time after which one could be admitted.
    pub fn try_acquire(&mut self, cost: f64, now: MonoTime) -> Result<(), Duration> {
        self.refill(now);
        self.demand.record(cost, now);
        let missing = -self.share.max_debt - self.level;
        if missing < 0.0 {
            self.level -= cost;
            return Ok(());
        }
        let per_s = self.per_s(now);
        let wait = Duration::try_from_secs_f64(missing / per_s).unwrap_or(MAX_RETRY_DELAY);
        Err(wait.min(MAX_RETRY_DELAY))
    }

    /// Gives back the cost of an admitted request that has not run.
    pub fn refund(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.share.burst);
    }

    /// The rate per second that is permitted now.
    fn per_s(&self, now: MonoTime) -> f64 {
        match self.share_age(now) <= SHARE_LIFETIME {
            true => self.share.per_s,
            false => self.share.per_s.min(self.share.equal_per_s),
        }
    }

    /// Raises the level by the amount that has become permitted since the last update.
    fn refill(&mut self, now: MonoTime) {
        let valid_until = (self.renewed + SHARE_LIFETIME).max(self.updated_at).min(now);
        let full = valid_until.since(self.updated_at).as_secs_f64() * self.share.per_s;
        let equal =
            now.since(valid_until).as_secs_f64() * self.share.per_s.min(self.share.equal_per_s);
        self.level = (self.level + full + equal).min(self.share.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
