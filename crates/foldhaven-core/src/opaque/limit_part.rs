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
const OWED_SHARE: f64 = 0.5;
/// While a process does not know who there is, it takes its region for at least this large.
const ASSUMED_VMS: usize = 32;
/// The share of what nobody wants that all have equal parts of. The rest goes by wants as well: where many requests come, long
/// ones come in clusters too, and a VM that stands by needs no more than to begin with.
const EQUAL_SHARE: f64 = 0.25;
/// How much a region may take of what the others leave to it before they know that it wants more: when callers come to
/// all regions at one moment, each of them would take the same room otherwise.
const MOST_GROWTH: f64 = 2.0;
/// The share of an equal part that a VM has whatever others want, for callers that it has not told of yet.
const LEAST_SHARE: f64 = 0.2;
/// A part that was not renewed for this long is no permission beyond the equal part.
const PART_LASTS: Duration = Duration::from_millis(2_000);
/// The time over which the wants of callers are averaged.
const WANT_SPAN: Duration = Duration::from_millis(2_000);

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
            false => self.vms.max(ASSUMED_VMS),
        }
    }

    /// Those of them for which an equal part is set aside.
    fn set_aside(&self) -> usize {
        let unknown = self.assumed_vms() - self.vms.clamp(1, self.assumed_vms());
        self.silent_vms + unknown
    }
}

/// What callers of one account want, as it was told, by the second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ToldWants {
    /// At this VM.
    pub own: f64,
    /// At the other VMs of the region that are heard of, together.
    pub near: f64,
    /// In each other region that hears this one and is heard.
    pub far: Vec<f64>,
    /// In this region, as the others know it by now.
    pub region_before: f64,
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
    fn owed(&self, limit: &AccountLimit) -> f64 {
        let permitted = limit.per_s * self.window.as_secs_f64() + limit.burst;
        OWED_SHARE * (self.share * permitted + self.extra)
    }
}

/// A part of a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LimitPart {
    /// How much it permits a second.
    pub per_s: f64,
    /// The same when it is not renewed.
    pub equal_per_s: f64,
    /// How much it permits at once after a rest.
    pub burst: f64,
    /// How much may be owed.
    pub owed: f64,
}

/// Divides a limit: the part of a VM, by what was told and by how sure the VM is of that.
pub fn limit_part(
    limit: &AccountLimit,
    wants: &ToldWants,
    view: &SharerView,
    slack: &LimitSlack,
) -> LimitPart {
    let rate = limit.per_s * USED_SHARE;
    let (regions, vms) = (view.regions.max(1) as f64, view.assumed_vms() as f64);
    let in_region = region_rate(rate, wants, view);
    let silent = view.set_aside() as f64;
    let heard = (vms - silent).max(1.0);
    let there = in_region * (1.0 - silent / vms).max(1.0 / vms);
    let equal_per_s = rate / regions / vms;
    let by_wants = divide(there, wants.own, wants.own + wants.near, heard);
    let per_s = by_wants.max(equal_per_s * LEAST_SHARE);
    let share = per_s / limit.per_s;
    let owed = slack.owed(limit) * (per_s / rate).min(1.0);
    LimitPart { per_s, equal_per_s, burst: limit.burst * share, owed }
}

/// The part of the own region.
fn region_rate(rate: f64, wants: &ToldWants, view: &SharerView) -> f64 {
    let regions = view.regions.max(1) as f64;
    if view.silent_regions == 0 {
        let far = wants.far.iter().sum::<f64>();
        let of = |own: f64| divide(rate, own, own + far, regions);
        return of(wants.own + wants.near).min(of(wants.region_before) * MOST_GROWTH);
    }
    let equal = rate / regions;
    let others = (regions - 1.0).max(1.0);
    // Each other region may take the same of what is left over.
    let left: f64 = wants.far.iter().map(|far| (equal - far).max(0.0) / others).sum();
    equal + left
}

/// What one of `count` gets that wants `own` of `all` that is wanted.
fn divide(rate: f64, own: f64, all: f64, count: f64) -> f64 {
    if all > rate {
        return rate * own / all;
    }
    let by_want = if all > 0.0 { own / all } else { 1.0 / count };
    own + (rate - all) * (EQUAL_SHARE / count + (1.0 - EQUAL_SHARE) * by_want)
}

/// How much callers want a second, over about [`WANT_SPAN`].
#[derive(Debug, Clone, Copy, Default)]
struct WantRate {
    per_s: f64,
    at: MonoTime,
}

impl WantRate {
    fn now(&self, now: MonoTime) -> f64 {
        let passed = now.since(self.at).as_secs_f64();
        self.per_s * (-passed / WANT_SPAN.as_secs_f64()).exp()
    }

    fn note(&mut self, cost: f64, now: MonoTime) {
        self.per_s = self.now(now) + cost / WANT_SPAN.as_secs_f64();
        self.at = now;
    }
}

/// Counts what one account uses at one VM.
#[derive(Debug, Clone, Copy)]
pub struct LimitMeter {
    part: LimitPart,
    /// When the part was renewed last.
    renewed: MonoTime,
    /// What may be used at once; below 0 it is owed.
    level: f64,
    /// Of when the level is.
    at: MonoTime,
    want: WantRate,
}

impl LimitMeter {
    /// The meter of an account of which nothing was used here since `started`. What was used by an earlier process is
    /// not known, so that it starts with all owed that may be.
    pub fn new(part: LimitPart, started: MonoTime, now: MonoTime) -> Self {
        let want = WantRate::default();
        let mut meter = Self { part, renewed: now, level: -part.owed, at: started, want };
        meter.refill(now);
        meter
    }

    /// Puts a part in force.
    pub fn renew(&mut self, part: LimitPart, now: MonoTime) {
        self.refill(now);
        self.part = part;
        self.renewed = now;
        self.level = self.level.min(part.burst);
    }

    /// The part in force.
    pub fn part(&self) -> LimitPart {
        self.part
    }

    /// For how long it has been so.
    pub fn part_age(&self, now: MonoTime) -> Duration {
        now.since(self.renewed)
    }

    /// How much callers want a second.
    pub fn want(&self, now: MonoTime) -> f64 {
        self.want.now(now)
    }

    /// What may be used at once.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Lets a request through, or tells after which time one could be.
    pub fn ask(&mut self, cost: f64, now: MonoTime) -> Result<(), Duration> {
        self.refill(now);
        self.want.note(cost, now);
        let missing = -self.part.owed - self.level;
        if missing < 0.0 {
            self.level -= cost;
            return Ok(());
        }
        let per_s = self.per_s(now);
        let wait = Duration::try_from_secs_f64(missing / per_s).unwrap_or(LONGEST_WAIT);
        Err(wait.min(LONGEST_WAIT))
    }

    /// Gives back what a request counted for that has not run.
    pub fn give_back(&mut self, cost: f64) {
        self.level = (self.level + cost).min(self.part.burst);
    }

    /// The part a second that counts at a time.
    fn per_s(&self, now: MonoTime) -> f64 {
        match self.part_age(now) <= PART_LASTS {
            true => self.part.per_s,
            false => self.part.per_s.min(self.part.equal_per_s),
        }
    }

    /// Adds what the time since the last look permits.
    fn refill(&mut self, now: MonoTime) {
        let lasts = (self.renewed + PART_LASTS).max(self.at).min(now);
        let full = lasts.since(self.at).as_secs_f64() * self.part.per_s;
        let equal = now.since(lasts).as_secs_f64() * self.part.per_s.min(self.part.equal_per_s);
        self.level = (self.level + full + equal).min(self.part.burst);
        self.at = self.at.max(now);
    }
}

/// The longest time after which a caller is told to come back.
const LONGEST_WAIT: Duration = Duration::from_secs(30);
