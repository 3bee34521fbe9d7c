//! Decides when a VM reports the demand of the callers of limited accounts, and divides the limits
//! by what was reported.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::ids::IncarnationId;
use crate::opaque::account_demand::{
    AccountDemand, AccountTag, DEMAND_INTERVAL, DemandTable, LocalDemand, MAX_ACCOUNTS_PER_MESSAGE,
    REPEAT_ROUNDS, RegionDemand, VmDemand,
};
use crate::opaque::account_table::AccountLimit;
use crate::opaque::limit_share::{LimitShare, LimitSlack, SharerView, limit_share};
use crate::opaque::peer_table::{RegionTag, VmTag};
use crate::time::MonoTime;

/// Demand up to this fraction of a VM's equal share is not reported.
const MIN_ANNOUNCED_SHARE: f64 = 0.1;
/// Demand is reported at once when it has changed by this fraction of the VM's share.
const ANNOUNCED_CHANGE_SHARE: f64 = 0.25;

/// The time after which all VMs of other regions know what was reported in this one: a round of its
/// delegates, a round of the VM that relays it there, and the transmission.
const REMOTE_DELAY: Duration = Duration::from_millis(800);

/// An account with a limit, and the demand of its callers at this VM.
#[derive(Debug, Clone, Copy)]
pub struct LimitedDemand {
    /// The account.
    pub account: AccountTag,
    /// Its limit.
    pub limit: AccountLimit,
    /// The demand, in units of the limit per second.
    pub demand: f64,
}

/// The VMs of its region that a VM shares limits with, as far as it knows them.
#[derive(Debug, Clone, Copy)]
pub struct LocalSharers {
    /// The number of VMs that may exist, including this one.
    pub vms: usize,
    /// The number of other VMs that were heard from recently.
    pub responsive: usize,
    /// Whether this process has run long enough to hear from the others, and has heard from a seed,
    /// one of the VMs that every starting process contacts first.
    pub is_informed: bool,
}

/// The demand that other VMs and regions have reported to this VM, and the demand that it has
/// reported to them.
#[derive(Debug)]
pub struct DemandExchange {
    vm: VmTag,
    region: RegionTag,
    table: DemandTable,
    /// What this VM last reported.
    announced: BTreeMap<AccountTag, f64>,
    /// Reports of other regions' delegates that are yet to be relayed to the VMs of this region.
    pending_relays: Vec<RegionDemand>,
    /// The demand in this region in the last rounds.
    region_history: BTreeMap<AccountTag, VecDeque<(MonoTime, f64)>>,
    rounds: u32,
    /// Increases with each message.
    sequence: u32,
}

impl DemandExchange {
    /// Creates the exchange of a VM of `region`, where `regions` are all that may exist.
    pub fn new(vm: VmTag, region: RegionTag, regions: impl IntoIterator<Item = RegionTag>) -> Self {
        let table = DemandTable::new(region, regions);
        let (announced, pending_relays) = (BTreeMap::new(), Vec::new());
        let region_history = BTreeMap::new();
        Self {
            vm,
            region,
            table,
            announced,
            pending_relays,
            region_history,
            rounds: 0,
            sequence: 0,
        }
    }

    /// Applies the report of another VM of this region.
    pub fn apply_local(&mut self, demand: &LocalDemand, now: MonoTime) {
        if let Some(own) = &demand.own {
            self.table.apply_vm(own);
        }
        for region in &demand.regions {
            self.table.apply_region(region, now);
        }
    }

    /// Applies the report of a delegate of another region, and queues it for the VMs of this
    /// region.
    pub fn apply_region(&mut self, demand: RegionDemand, now: MonoTime) {
        let age = self.table.region_age(demand.region, now);
        // Several delegates report to several VMs; one relay per round is enough for all.
        let is_due = age.is_none_or(|age| age >= DEMAND_INTERVAL);
        if self.table.apply_region(&demand, now) && is_due {
            self.pending_relays.push(demand);
        }
    }

    /// Returns what this VM knows about those that share limits with it.
    pub fn view(&self, local: LocalSharers, now: MonoTime) -> SharerView {
        let vms = local.vms.max(1);
        SharerView {
            regions: self.table.region_count(),
            silent_regions: self.table.silent_regions(now),
            vms,
            silent_vms: vms - 1 - local.responsive.min(vms - 1),
            is_informed: local.is_informed,
        }
    }

    /// Begins a round, where `responsive` are the VMs of the region that were heard from recently.
    /// Returns what to report to the VMs of the region; `None` if there is nothing new.
    pub fn next_local_update(
        &mut self,
        demands: &[LimitedDemand],
        view: &SharerView,
        responsive: &BTreeSet<VmTag>,
        incarnation: IncarnationId,
        now: MonoTime,
    ) -> Option<LocalDemand> {
        self.rounds = self.rounds.wrapping_add(1);
        self.table.retain_vms(|vm| responsive.contains(&vm));
        let own = self.own_demand(demands, view, incarnation, now);
        let regions = std::mem::take(&mut self.pending_relays);
        let has_update = own.is_some() || !regions.is_empty();
        has_update.then_some(LocalDemand { own, regions })
    }

    fn own_demand(
        &mut self,
        demands: &[LimitedDemand],
        view: &SharerView,
        incarnation: IncarnationId,
        now: MonoTime,
    ) -> Option<VmDemand> {
        let is_repeat = self.rounds.is_multiple_of(REPEAT_ROUNDS) && !self.announced.is_empty();
        if !is_repeat && !demands.iter().any(|demand| self.has_changed(demand, view, now)) {
            return None;
        }
        let is_announced = |it: &&LimitedDemand| {
            it.demand > self.current_share(it, view, now).equal_per_s * MIN_ANNOUNCED_SHARE
        };
        let announced = demands
            .iter()
            .filter(is_announced)
            .map(|it| (it.account, it.demand))
            .take(MAX_ACCOUNTS_PER_MESSAGE);
        self.announced = announced.collect();
        self.sequence += 1;
        Some(VmDemand {
            vm: self.vm,
            incarnation,
            sequence: self.sequence,
            demands: self.announced.iter().map(|(tag, demand)| (*tag, *demand as f32)).collect(),
        })
    }

    /// Whether the demand differs so much from the last report that it is reported at once.
    fn has_changed(&self, demand: &LimitedDemand, view: &SharerView, now: MonoTime) -> bool {
        let change = (demand.demand - self.announced_demand(demand.account)).abs();
        change > self.current_share(demand, view, now).per_s * ANNOUNCED_CHANGE_SHARE
    }

    /// The share of this VM by the demand known now, without the demand of earlier rounds.
    fn current_share(
        &self,
        demand: &LimitedDemand,
        view: &SharerView,
        now: MonoTime,
    ) -> LimitShare {
        let reported =
            self.table.reported_demand(demand.account, self.announced_demand(demand.account), now);
        limit_share(&demand.limit, &reported, view, &LimitSlack::default())
    }

    fn announced_demand(&self, account: AccountTag) -> f64 {
        self.announced.get(&account).copied().unwrap_or_default()
    }

    /// Returns this VM's share of a limit.
    pub fn share(
        &mut self,
        demand: &LimitedDemand,
        view: &SharerView,
        slack: &LimitSlack,
        now: MonoTime,
    ) -> LimitShare {
        let announced = self.announced_demand(demand.account);
        let mut reported = self.table.reported_demand(demand.account, announced, now);
        reported.region_as_known_remotely = self.region_demand_known_remotely(
            demand.account,
            announced + reported.local_peers,
            now,
        );
        limit_share(&demand.limit, &reported, view, slack)
    }

    /// Returns the demand in this region as of the last report that other regions have received by
    /// now; `demand` is the current one.
    fn region_demand_known_remotely(
        &mut self,
        account: AccountTag,
        demand: f64,
        now: MonoTime,
    ) -> f64 {
        let region_history = self.region_history.entry(account).or_default();
        region_history.push_back((now, demand));
        while region_history.get(1).is_some_and(|(at, _)| now.since(*at) >= REMOTE_DELAY) {
            region_history.pop_front();
        }
        region_history
            .front()
            .filter(|(at, _)| now.since(*at) >= REMOTE_DELAY)
            .map_or(0.0, |(_, it)| *it)
    }

    /// Returns what to report to other regions if this VM is a delegate of its region; `None` if
    /// there is only one region.
    pub fn next_region_update(
        &mut self,
        demands: &[LimitedDemand],
        incarnation: IncarnationId,
        now: MonoTime,
    ) -> Option<RegionDemand> {
        if self.table.region_count() == 1 {
            return None;
        }
        let sum = |it: &LimitedDemand| {
            let sum = self.announced_demand(it.account) + self.table.local_peers_demand(it.account);
            (it.account, sum as f32)
        };
        let announced = demands
            .iter()
            .map(sum)
            .filter(|(_, demand)| *demand > 0.0)
            .take(MAX_ACCOUNTS_PER_MESSAGE);
        let announced: Vec<AccountDemand> = announced.collect();
        self.sequence += 1;
        Some(RegionDemand {
            region: self.region,
            delegate: self.vm,
            incarnation,
            sequence: self.sequence,
            heard_regions: self.table.heard_regions(now),
            demands: announced,
        })
    }

    /// Drops pending relays and past demand, which are not needed while no account has a limit.
    pub fn clear_pending(&mut self) {
        self.pending_relays.clear();
        self.region_history.clear();
    }
}
