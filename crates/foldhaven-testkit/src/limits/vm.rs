//! A simulated VM, and the strategies by which it enforces its share of a limit.

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

/// The account limit before any change, in tokens per second.
pub(super) const RATE: f64 = 1_000_000.0;
/// Permitted overrun of the limit, with the values that deployments use.
pub(super) const SLACK: LimitSlack =
    LimitSlack { share: 0.25, extra: 190_000.0, window: Duration::from_secs(8) };
/// A VM that sent no heartbeat for this long counts as unresponsive, in milliseconds.
const RESPONSIVE_TIMEOUT: u64 = 1_500;
/// A process that has run for this long assumes that it knows all VMs, in milliseconds.
const LEARNING_TIME: u64 = 1_500;
/// Size of a grant, in milliseconds of the limit's rate.
const GRANT_MS: f64 = 20.0;
/// The simulated account.
const ACCOUNT: AccountTag = AccountTag(7);

/// A strategy that enforces the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitStrategy {
    /// Each VM enforces an equal share of the limit.
    EqualParts,
    /// Each VM reports the cost that it admitted, and subtracts what others report.
    AddedCounts,
    /// An owner, the first VM of all or of a partitioned region, grants small amounts on request.
    GrantingOwner,
    /// Each VM reports its demand, and all divide the limit by it. The daemon uses this strategy.
    ToldWants,
}

/// A message between two VMs.
#[derive(Debug, Clone)]
pub(super) enum VmMessage {
    Local(LocalDemand),
    Region(RegionDemand),
    /// The number of a VM, its incarnation, and the cost that this incarnation has admitted.
    Count(usize, u64, f64),
    /// Requests a grant for the VM with this number.
    GrantRequest(usize),
    Grant(f64),
}

/// Returns the given share of the original limit as an account limit.
pub(super) fn limit_of(share: f64) -> AccountLimit {
    let per_s = RATE * share;
    AccountLimit { unit: LimitUnit::Tokens { default_tokens: 200 }, per_s, burst: per_s }
}

/// The state of one simulated VM.
pub(super) struct SimVm {
    pub number: usize,
    pub region: usize,
    regions: usize,
    region_vms: usize,
    strategy: LimitStrategy,
    incarnation: u64,
    started: u64,
    pub meter: LimitMeter,
    demands: DemandExchange,
    /// When the last heartbeat of each VM of the region was received.
    last_seen: BTreeMap<usize, u64>,
    /// The incarnation of each VM and the admitted cost that it reported.
    counts: BTreeMap<usize, (u64, f64)>,
    admitted: f64,
    /// The cost that an owner can still grant, and the time of that value.
    grant_pool: (f64, u64),
    /// Time of the first grant request that is still unanswered.
    requested_at: Option<u64>,
    granted: f64,
    limit: AccountLimit,
}

/// The number of regions, and of VMs in each.
#[derive(Debug, Clone, Copy)]
pub(super) struct DeploymentSize {
    pub regions: usize,
    pub region_vms: usize,
}

impl SimVm {
    pub fn new(
        number: usize,
        region: usize,
        size: DeploymentSize,
        strategy: LimitStrategy,
        at: u64,
    ) -> Self {
        let DeploymentSize { regions, region_vms } = size;
        let tag = |region: usize| RegionTag(region as u32 + 1);
        let now = MonoTime::from_millis(at);
        let demands = DemandExchange::new(VmTag(number as u32), tag(region), (0..regions).map(tag));
        Self {
            number,
            region,
            regions,
            region_vms,
            strategy,
            incarnation: at,
            started: at,
            meter: LimitMeter::new(LimitShare::default(), now, now),
            demands,
            last_seen: BTreeMap::new(),
            counts: BTreeMap::new(),
            admitted: 0.0,
            grant_pool: (0.0, at),
            requested_at: None,
            granted: 0.0,
            limit: limit_of(1.0),
        }
    }

    /// Resets the VM to the state of a newly started process.
    pub fn restart(&mut self, at: u64) {
        let size = DeploymentSize { regions: self.regions, region_vms: self.region_vms };
        *self = Self::new(self.number, self.region, size, self.strategy, at);
    }

    /// Records a heartbeat of a VM of the region.
    pub fn record_seen(&mut self, vm: usize, at: u64) {
        self.last_seen.insert(vm, at);
    }

    fn responsive_vms(&self, at: u64) -> impl Iterator<Item = usize> {
        let recent =
            self.last_seen.iter().filter(move |(_, seen_at)| at - **seen_at <= RESPONSIVE_TIMEOUT);
        recent.map(|(vm, _)| *vm)
    }

    /// Applies a message. Returns the receiver and the content of the answer, if there is one.
    pub fn receive(&mut self, message: VmMessage, at: u64) -> Option<(usize, VmMessage)> {
        let now = MonoTime::from_millis(at);
        match message {
            VmMessage::Local(demand) => self.demands.apply_local(&demand, now),
            VmMessage::Region(demand) => self.demands.apply_region(demand, now),
            VmMessage::Count(vm, incarnation, count) => self.receive_count(vm, incarnation, count),
            VmMessage::GrantRequest(vm) => {
                return self.grant(at).map(|grant| (vm, VmMessage::Grant(grant)));
            }
            VmMessage::Grant(grant) => {
                self.granted += grant;
                self.requested_at = None;
            }
        }
        None
    }

    fn receive_count(&mut self, vm: usize, incarnation: u64, count: f64) {
        let before = self.counts.insert(vm, (incarnation, count));
        let previous =
            before.filter(|(counted, _)| *counted == incarnation).map_or(0.0, |(_, count)| count);
        self.meter.refund(previous - count);
    }

    /// Returns a grant if the limit has accrued enough for it.
    fn grant(&mut self, at: u64) -> Option<f64> {
        let (level, since) = self.grant_pool;
        let level = (level + (at - since) as f64 / 1e3 * self.limit.per_s).min(self.limit.burst);
        let grant = self.limit.per_s * GRANT_MS / 1e3;
        let is_granted = level >= grant;
        self.grant_pool = (if is_granted { level - grant } else { level }, at);
        is_granted.then_some(grant)
    }

    /// Renews the VM's share. Returns the messages to its own region and to other regions.
    pub fn run_round(
        &mut self,
        limit: AccountLimit,
        at: u64,
    ) -> (Option<VmMessage>, Option<VmMessage>) {
        let now = MonoTime::from_millis(at);
        self.limit = limit;
        match self.strategy {
            LimitStrategy::ToldWants => self.run_demand_round(now, at),
            LimitStrategy::EqualParts | LimitStrategy::GrantingOwner => {
                self.meter.renew(self.equal_share(), now);
                (None, None)
            }
            LimitStrategy::AddedCounts => {
                let share = LimitShare {
                    per_s: limit.per_s,
                    equal_per_s: limit.per_s,
                    burst: limit.burst,
                    max_debt: 0.0,
                };
                self.meter.renew(share, now);
                let local_update = VmMessage::Count(self.number, self.incarnation, self.admitted);
                (Some(local_update.clone()), Some(local_update))
            }
        }
    }

    fn run_demand_round(
        &mut self,
        now: MonoTime,
        at: u64,
    ) -> (Option<VmMessage>, Option<VmMessage>) {
        let responsive: Vec<usize> = self.responsive_vms(at).collect();
        let tags = responsive.iter().map(|vm| VmTag(*vm as u32)).collect();
        let known_vms = self.last_seen.len() + 1;
        let local_sharers = LocalSharers {
            vms: known_vms,
            responsive: responsive.len(),
            is_informed: at - self.started >= LEARNING_TIME && known_vms > 1
                || self.region_vms == 1,
        };
        let limited_demands =
            [LimitedDemand { account: ACCOUNT, limit: self.limit, demand: self.meter.demand(now) }];
        let view = self.demands.view(local_sharers, now);
        let incarnation = IncarnationId(self.incarnation);
        let local_update =
            self.demands.next_local_update(&limited_demands, &view, &tags, incarnation, now);
        self.meter.renew(self.demands.share(&limited_demands[0], &view, &SLACK, now), now);
        let region_update = self.demands.next_region_update(&limited_demands, incarnation, now);
        (local_update.map(VmMessage::Local), region_update.map(VmMessage::Region))
    }

    fn equal_share(&self) -> LimitShare {
        let count = (self.regions * self.region_vms) as f64;
        let per_s = self.limit.per_s / count;
        LimitShare { per_s, equal_per_s: per_s, burst: self.limit.burst / count, max_debt: 0.0 }
    }

    /// Admits or refuses a request. Returns whether it was admitted.
    pub fn try_admit(&mut self, cost: f64, at: u64) -> bool {
        let now = MonoTime::from_millis(at);
        let is_admitted = match self.strategy {
            LimitStrategy::GrantingOwner if self.granted > 0.0 => {
                self.granted -= cost;
                true
            }
            // Fall back to the equal share after 500 ms without an answer from an owner.
            LimitStrategy::GrantingOwner
                if self.requested_at.is_none_or(|asked| at < asked + 500) =>
            {
                false
            }
            _ => self.meter.try_acquire(cost, now).is_ok(),
        };
        if is_admitted {
            self.admitted += cost;
        }
        is_admitted
    }

    /// Returns whether the VM should request a grant now; if so, marks a request as pending.
    pub fn should_request_grant(&mut self, at: u64) -> bool {
        let may_request = self.requested_at.is_none_or(|asked| at >= asked + 200);
        if self.strategy != LimitStrategy::GrantingOwner || self.granted > 0.0 || !may_request {
            return false;
        }
        self.requested_at.get_or_insert(at);
        true
    }
}
