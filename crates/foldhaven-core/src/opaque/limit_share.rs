//! The part of a limit that one VM may use, where all VMs together have one limit and nobody keeps a common count.
//!
//! The pattern that it answers: a rate that holds over all VMs, callers that move from one region to another within a
//! second, one account that sends many times its usual, and VMs and regions that hear nobody, are killed together or wake
//! after seconds. Equal parts refuse callers far below the limit where they meet few VMs; counts that are added up let all
//! VMs spend the same room until they have heard of each other.
//!
//! Here each VM tells what its callers want, and all divide the limit by what was *told*: everybody gets what it told, and
//! an equal part of what nobody wants; when more is wanted than there is, parts are in proportion. A VM's own part goes by
//! what it told too, and not by what it sees now, so that the parts of VMs that heard the same add up to the limit whatever
//! callers do next. For those of which nothing is heard an equal part is set aside, and a region that does not hear another
//! one, or is not heard there, keeps to its own equal part and to what the others leave of theirs. The idea of dividing by
//! demand is that of distributed rate limiting (Raghavan et al., 2007); what is set aside for the silent is what leases
//! of equal parts would give them.

use std::time::Duration;

use crate::opaque::account_table::AccountLimit;
use crate::time::MonoTime;

/// The part of a limit that is given out. The rest covers what was told and has changed since.
const USED_SHARE: f64 = 0.97;
/// The part of what is permitted above a limit that VMs may owe at one moment: a request is let through whole while
/// anything is left, and a second request of a caller does not wait until the first one's debt is told.
const DEBT_SHARE: f64 = 0.5;
/// While a process does not know who there is, it takes its region for at least this large.
const MIN_ASSUMED_VMS: usize = 32;
/// The share of what nobody wants that all have equal parts of. The rest goes by wants as well: where many requests come, long
/// ones come in clusters too, and a VM that stands by needs no more than to begin with.
const EVEN_SPLIT_SHARE: f64 = 0.25;
/// How much a region may take of what the others leave to it before they know that it wants more: when callers come to
/// all regions at one moment, each of them would take the same room otherwise.
const MAX_GROWTH: f64 = 2.0;
/// The share of an equal part that a VM has whatever others want, for callers that it has not told of yet.
const MIN_EQUAL_SHARE: f64 = 0.2;
/// A part that was not renewed for this long is no permission beyond the equal part.
const SHARE_LIFETIME: Duration = Duration::from_millis(2_000);
/// The time over which the wants of callers are averaged.
const DEMAND_WINDOW: Duration = Duration::from_millis(2_000);

/// How sure a VM is of those that share its limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharerView {
    /// The regions that there may be, the own one included.
    pub regions: usize,
    /// Those of the others from which nothing fresh was heard, or that do not hear this one.
    pub silent_regions: usize,
    /// The VMs of the own region that there may be, the own one included.
    pub vms: usize,
    /// Those of the others from which nothing fresh was heard.
    pub silent_vms: usize,
    /// Whether this process has had the time to hear of the others, and has heard of one that all ask first.
    pub is_informed: bool,
}

impl SharerView {
    /// What a process knows that has heard nothing: that there are others.
    pub fn unknown(regions: usize) -> Self {
        let regions = regions.max(1);
        Self { regions, silent_regions: regions - 1, vms: 1, silent_vms: 0, is_informed: false }
    }

    /// How many VMs of the region are to be reckoned with.
    fn assumed_vms(&self) -> usize {
        match self.is_informed {
            true => self.vms.max(1),
            false => self.vms.max(MIN_ASSUMED_VMS),
        }
    }

    /// Those of them for which an equal part is set aside.
    fn reserved_vms(&self) -> usize {
        let unknown = self.assumed_vms() - self.vms.clamp(1, self.assumed_vms());
        self.silent_vms + unknown
    }
}

/// What callers of one account want, as it was told, by the second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReportedDemand {
    /// At this VM.
    pub own: f64,
    /// At the other VMs of the region that are heard of, together.
    pub local_peers: f64,
    /// In each other region that hears this one and is heard.
    pub other_regions: Vec<f64>,
    /// In this region, as the others know it by now.
    pub region_as_known_remotely: f64,
}

/// What is permitted above all limits of accounts, since VMs cannot know everything at once.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitSlack {
    /// As a share of what a limit permits in a window.
    pub share: f64,
    /// On top, in the unit of the limit.
    pub extra: f64,
    /// The window.
    pub window: Duration,
}

impl LimitSlack {
    /// How much may be owed by all VMs together.
    fn max_debt(&self, limit: &AccountLimit) -> f64 {
        let permitted = limit.per_s * self.window.as_secs_f64() + limit.burst;
        DEBT_SHARE * (self.share * permitted + self.extra)
    }
}

/// A part of a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitShare {
    /// How much it permits a second.
    pub per_s: f64,
    /// The same when it is not renewed.
    pub equal_per_s: f64,
    /// How much it permits at once after a rest.
    pub burst: f64,
    /// How much may be owed.
    pub max_debt: f64,
}

/// Divides a limit: the part of a VM, by what was told and by how sure the VM is of that.
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

/// The part of the own region.
fn region_rate(rate: f64, demand: &ReportedDemand, view: &SharerView) -> f64 {
    let regions = view.regions.max(1) as f64;
    if view.silent_regions == 0 {
        let others = demand.other_regions.iter().sum::<f64>();
        let of = |own: f64| proportional_share(rate, own, own + others, regions);
        return of(demand.own + demand.local_peers)
            .min(of(demand.region_as_known_remotely) * MAX_GROWTH);
    }
    let equal = rate / regions;
    let others = (regions - 1.0).max(1.0);
    // Each other region may take the same of what is left over.
    let unused: f64 =
        demand.other_regions.iter().map(|region| (equal - region).max(0.0) / others).sum();
    equal + unused
}

/// What one of `count` gets that wants `own` of `all` that is wanted.
fn proportional_share(rate: f64, own: f64, all: f64, count: f64) -> f64 {
    if all > rate {
        return rate * own / all;
    }
    let by_demand = if all > 0.0 { own / all } else { 1.0 / count };
    own + (rate - all) * (EVEN_SPLIT_SHARE / count + (1.0 - EVEN_SPLIT_SHARE) * by_demand)
}

/// How much callers want a second, over about [`WANT_SPAN`].
#[derive(Debug, Clone, Copy, Default)]
struct DemandRate {
    per_s: f64,
    at: MonoTime,
}

impl DemandRate {
    fn now(&self, now: MonoTime) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.per_s * (-passed / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    fn record(&mut self, cost: f64, now: MonoTime) {
        self.per_s = self.now(now) + cost / DEMAND_WINDOW.as_secs_f64();
        self.at = now;
    }
}

/// Counts what one account uses at one VM.
#[derive(Debug, Clone, Copy)]
pub struct LimitMeter {
    share: LimitShare,
    /// When the part was renewed last.
    renewed: MonoTime,
    /// What may be used at once; below 0 it is owed.
    level: f64,
    /// Of when the level is.
    at: MonoTime,
    demand: DemandRate,
}

impl LimitMeter {
    /// The meter of an account of which nothing was used here since `started`. What was used by an earlier process is
    /// not known, so that it starts with all owed that may be.
    pub fn new(share: LimitShare, started: MonoTime, now: MonoTime) -> Self {
        let demand = DemandRate::default();
        let mut meter = Self { share, renewed: now, level: -share.max_debt, at: started, demand };
        meter.refill(now);
        meter
    }

    /// Puts a part in force.
    pub fn renew(&mut self, share: LimitShare, now: MonoTime) {
        self.refill(now);
        self.share = share;
        self.renewed = now;
        self.level = self.level.min(share.burst);
    }

    /// The part in force.
    pub fn share(&self) -> LimitShare {
        self.share
    }

    /// For how long it has been so.
    pub fn share_age(&self, now: MonoTime) -> Duration {
        now.since(self.renewed)
    }

    /// How much callers want a second.
    pub fn demand(&self, now: MonoTime) -> f64 {
        self.demand.now(now)
    }

    /// What may be used at once.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Lets a request through, or tells after which time one could be.
    pub fn try_acquire(&mut self, cost: f64, now: MonoTime) -> Result<(), Duration> {
        self.refill(now);
        self.demand.record(cost, now);
        let missing = -self.share.max_debt - self.level;
        if missing < 0.0 {
            self.level -= cost;
            return Ok(());
        }
        let per_s = self.per_s(now);
        let wait = Duration::try_from_secs_f64(missing / per_s).unwrap_or(MAX_WAIT);
        Err(wait.min(MAX_WAIT))
    }

    /// Gives back what a request counted for that has not run.
    pub fn refund(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.share.burst);
    }

    /// The part a second that counts at a time.
    fn per_s(&self, now: MonoTime) -> f64 {
        match self.share_age(now) <= SHARE_LIFETIME {
            true => self.share.per_s,
            false => self.share.per_s.min(self.share.equal_per_s),
        }
    }

    /// Adds what the time since the last look permits.
    fn refill(&mut self, now: MonoTime) {
        let valid_until = (self.renewed + SHARE_LIFETIME).max(self.at).min(now);
        let full = valid_until.since(self.at).as_secs_f64() * self.share.per_s;
        let equal =
            now.since(valid_until).as_secs_f64() * self.share.per_s.min(self.share.equal_per_s);
        self.level = (self.level + full + equal).min(self.share.burst);
        self.at = self.at.max(now);
    }
}

/// The longest time after which a caller is told to come back.
const MAX_WAIT: Duration = Duration::from_secs(30);
