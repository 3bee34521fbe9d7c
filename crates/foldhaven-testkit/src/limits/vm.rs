//! One VM of a play, and the ways in which it can keep its part of a limit.

use std::collections::BTreeMap;
use std::time::Duration;

use foldhaven_core::ids::IncarnationId;
use foldhaven_core::opaque::account_demand::{AccountTag, LocalDemand, RegionDemand};
use foldhaven_core::opaque::account_table::{AccountLimit, LimitUnit};
use foldhaven_core::opaque::demand_exchange::{DemandExchange, LimitedDemand, LocalSharers};
use foldhaven_core::opaque::limit_share::{LimitMeter, LimitShare, LimitSlack};
use foldhaven_core::opaque::peer_table::{RegionTag, VmTag};
use foldhaven_core::time::MonoTime;
use serde::{Deserialize, Serialize};

/// The limit of a play, in tokens a second.
pub(super) const RATE: f64 = 1_000_000.0;
/// What is permitted above it, as deployments have it.
pub(super) const SLACK: LimitSlack =
    LimitSlack { share: 0.25, extra: 190_000.0, window: Duration::from_secs(8) };
/// A VM that sent nothing for this long is not reckoned to be heard.
const HEARD_LIMIT: u64 = 1_500;
/// A process that has run for this long takes those it knows for all there are.
const LEARNT_AFTER: u64 = 1_500;
/// How much a VM is granted at once, in milliseconds of the limit.
const GRANT_MS: f64 = 20.0;
/// The account of the play.
const ACCOUNT: AccountTag = AccountTag(7);

/// How the limit is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitWay {
    /// Each VM has the same part.
    EqualParts,
    /// Each VM tells what it let through, and takes off what others told.
    AddedCounts,
    /// The first VM that is heard grants small amounts to those that ask.
    GrantingOwner,
    /// Each VM tells what its callers want, and all divide by that. The daemon does this.
    ToldWants,
}

/// What is sent from VM to VM.
#[derive(Debug, Clone)]
pub(super) enum Telling {
    Near(LocalDemand),
    Far(RegionDemand),
    /// How much a VM, by its number, has let through in its life.
    Count(usize, u64, f64),
    /// Asks for a grant.
    Ask(usize),
    Grant(f64),
}

/// The limit at a time, as VMs know it.
pub(super) fn limit_of(share: f64) -> AccountLimit {
    let per_s = RATE * share;
    AccountLimit { unit: LimitUnit::Tokens { default_tokens: 200 }, per_s, burst: per_s }
}

/// One VM.
pub(super) struct SimVm {
    pub number: usize,
    pub region: usize,
    regions: usize,
    region_vms: usize,
    way: LimitWay,
    life: u64,
    started: u64,
    pub meter: LimitMeter,
    demands: DemandExchange,
    /// When each VM of the region was heard last.
    heard: BTreeMap<usize, u64>,
    /// What each VM told that it let through, by its life.
    counts: BTreeMap<usize, (u64, f64)>,
    let_through: f64,
    /// What an owner may still grant, and of when that is.
    pool: (f64, u64),
    has_asked: Option<u64>,
    granted: f64,
    limit: AccountLimit,
}

/// How large a play is.
#[derive(Debug, Clone, Copy)]
pub(super) struct PlaySize {
    pub regions: usize,
    pub region_vms: usize,
}

impl SimVm {
    pub fn new(number: usize, region: usize, size: PlaySize, way: LimitWay, at: u64) -> Self {
        let PlaySize { regions, region_vms } = size;
        let tag = |region: usize| RegionTag(region as u32 + 1);
        let now = MonoTime::from_millis(at);
        let demands = DemandExchange::new(VmTag(number as u32), tag(region), (0..regions).map(tag));
        Self {
            number,
            region,
            regions,
            region_vms,
            way,
            life: at,
            started: at,
            meter: LimitMeter::new(LimitShare::default(), now, now),
            demands,
            heard: BTreeMap::new(),
            counts: BTreeMap::new(),
            let_through: 0.0,
            pool: (0.0, at),
            has_asked: None,
            granted: 0.0,
            limit: limit_of(1.0),
        }
    }

    /// The same VM with nothing known, as a process that starts.
    pub fn restart(&mut self, at: u64) {
        let size = PlaySize { regions: self.regions, region_vms: self.region_vms };
        *self = Self::new(self.number, self.region, size, self.way, at);
    }

    /// Notes that a VM of the region lives.
    pub fn note_heard(&mut self, vm: usize, at: u64) {
        self.heard.insert(vm, at);
    }

    fn heard_now(&self, at: u64) -> impl Iterator<Item = usize> {
        let fresh = self.heard.iter().filter(move |(_, heard)| at - **heard <= HEARD_LIMIT);
        fresh.map(|(vm, _)| *vm)
    }

    /// Takes in a message; returns an answer.
    pub fn hear(&mut self, telling: Telling, at: u64) -> Option<(usize, Telling)> {
        let now = MonoTime::from_millis(at);
        match telling {
            Telling::Near(demand) => self.demands.apply_local(&demand, now),
            Telling::Far(demand) => self.demands.apply_region(demand, now),
            Telling::Count(vm, life, count) => self.hear_count(vm, life, count),
            Telling::Ask(vm) => return self.grant(at).map(|grant| (vm, Telling::Grant(grant))),
            Telling::Grant(grant) => {
                self.granted += grant;
                self.has_asked = None;
            }
        }
        None
    }

    fn hear_count(&mut self, vm: usize, life: u64, count: f64) {
        let before = self.counts.insert(vm, (life, count));
        let known = before.filter(|(held, _)| *held == life).map_or(0.0, |(_, count)| count);
        self.meter.refund(known - count);
    }

    /// Grants an amount out of what the limit permits by now.
    fn grant(&mut self, at: u64) -> Option<f64> {
        let (level, since) = self.pool;
        let level = (level + (at - since) as f64 / 1e3 * self.limit.per_s).min(self.limit.burst);
        let grant = self.limit.per_s * GRANT_MS / 1e3;
        let is_granted = level >= grant;
        self.pool = (if is_granted { level - grant } else { level }, at);
        is_granted.then_some(grant)
    }

    /// The round of a VM: renews its part, and says what is to be told near and far.
    pub fn round(&mut self, limit: AccountLimit, at: u64) -> (Option<Telling>, Option<Telling>) {
        let now = MonoTime::from_millis(at);
        self.limit = limit;
        match self.way {
            LimitWay::ToldWants => self.told_round(now, at),
            LimitWay::EqualParts | LimitWay::GrantingOwner => {
                self.meter.renew(self.equal_part(), now);
                (None, None)
            }
            LimitWay::AddedCounts => {
                let part = LimitShare {
                    per_s: limit.per_s,
                    equal_per_s: limit.per_s,
                    burst: limit.burst,
                    max_debt: 0.0,
                };
                self.meter.renew(part, now);
                let told = Telling::Count(self.number, self.life, self.let_through);
                (Some(told.clone()), Some(told))
            }
        }
    }

    fn told_round(&mut self, now: MonoTime, at: u64) -> (Option<Telling>, Option<Telling>) {
        let heard: Vec<usize> = self.heard_now(at).collect();
        let tags = heard.iter().map(|vm| VmTag(*vm as u32)).collect();
        let known = self.heard.len() + 1;
        let near = LocalSharers {
            vms: known,
            responsive: heard.len(),
            is_informed: at - self.started >= LEARNT_AFTER && known > 1 || self.region_vms == 1,
        };
        let wants =
            [LimitedDemand { account: ACCOUNT, limit: self.limit, demand: self.meter.demand(now) }];
        let view = self.demands.view(near, now);
        let life = IncarnationId(self.life);
        let told = self.demands.next_local_update(&wants, &view, &tags, life, now);
        self.meter.renew(self.demands.share(&wants[0], &view, &SLACK, now), now);
        let far = self.demands.next_region_update(&wants, life, now);
        (told.map(Telling::Near), far.map(Telling::Far))
    }

    fn equal_part(&self) -> LimitShare {
        let count = (self.regions * self.region_vms) as f64;
        let per_s = self.limit.per_s / count;
        LimitShare { per_s, equal_per_s: per_s, burst: self.limit.burst / count, max_debt: 0.0 }
    }

    /// Whether a request is let through.
    pub fn ask(&mut self, cost: f64, at: u64) -> bool {
        let now = MonoTime::from_millis(at);
        let is_let = match self.way {
            LimitWay::GrantingOwner if self.granted > 0.0 => {
                self.granted -= cost;
                true
            }
            // Without an answer of an owner for a while, the equal part is left.
            LimitWay::GrantingOwner if self.has_asked.is_none_or(|asked| at < asked + 500) => false,
            _ => self.meter.try_acquire(cost, now).is_ok(),
        };
        if is_let {
            self.let_through += cost;
        }
        is_let
    }

    /// Whether it asks an owner for more now.
    pub fn wants_grant(&mut self, at: u64) -> bool {
        let may_ask = self.has_asked.is_none_or(|asked| at >= asked + 200);
        if self.way != LimitWay::GrantingOwner || self.granted > 0.0 || !may_ask {
            return false;
        }
        self.has_asked.get_or_insert(at);
        true
    }
}
