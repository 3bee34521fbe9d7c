//! When a VM tells what callers of limited accounts want, and how it divides their limits by what was told.

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

/// The share of a VM's equal part up to which a want is not worth telling.
const MIN_ANNOUNCED_SHARE: f64 = 0.1;
/// A want is told at once when it has changed by this share of the part.
const ANNOUNCED_CHANGE_SHARE: f64 = 0.25;

/// After this time all VMs of other regions know what was told in this one: a round of its delegates, one of the VMs
/// that pass it on there, and the way.
const REMOTE_DELAY: Duration = Duration::from_millis(800);

/// An account with a limit, and what its callers want at this VM.
#[derive(Debug, Clone, Copy)]
pub struct LimitedDemand {
    /// The account.
    pub account: AccountTag,
    /// Its limit.
    pub limit: AccountLimit,
    /// What they want, in the unit of the limit by the second.
    pub demand: f64,
}

/// The VMs of the region, as a VM knows them.
#[derive(Debug, Clone, Copy)]
pub struct LocalSharers {
    /// How many there may be, this one included.
    pub vms: usize,
    /// How many of the others were heard a moment ago.
    pub heard: usize,
    /// Whether this process has had the time to hear of the others, and has heard of one that all ask first.
    pub is_informed: bool,
}

/// What a VM knows of wants, and what it told of its own.
#[derive(Debug)]
pub struct DemandExchange {
    vm: VmTag,
    region: RegionTag,
    table: DemandTable,
    /// What this VM told last.
    announced: BTreeMap<AccountTag, f64>,
    /// What delegates of other regions told, of which the VMs of this region are still to be told.
    relayed: Vec<RegionDemand>,
    /// What was wanted in the region in the last rounds.
    past: BTreeMap<AccountTag, VecDeque<(MonoTime, f64)>>,
    rounds: u32,
    /// Rises with each message.
    sequence: u32,
}

impl DemandExchange {
    /// That of a VM of a region, of all regions that there may be.
    pub fn new(vm: VmTag, region: RegionTag, regions: impl IntoIterator<Item = RegionTag>) -> Self {
        let table = DemandTable::new(region, regions);
        let (announced, relayed) = (BTreeMap::new(), Vec::new());
        let past = BTreeMap::new();
        Self { vm, region, table, announced, relayed, past, rounds: 0, sequence: 0 }
    }

    /// Takes in what another VM of the region tells.
    pub fn apply_local(&mut self, demand: &LocalDemand, now: MonoTime) {
        if let Some(own) = &demand.own {
            self.table.apply_vm(own);
        }
        for region in &demand.regions {
            self.table.apply_region(region, now);
        }
    }

    /// Takes in what a delegate of another region tells; the VMs of this region are told of it.
    pub fn apply_region(&mut self, demand: RegionDemand, now: MonoTime) {
        let age = self.table.region_age(demand.region, now);
        // Several delegates tell several VMs; one relay in each round is enough for all.
        let is_due = age.is_none_or(|age| age >= DEMAND_INTERVAL);
        if self.table.apply_region(&demand, now) && is_due {
            self.relayed.push(demand);
        }
    }

    /// How sure this VM is of those that share limits with it.
    pub fn view(&self, local: LocalSharers, now: MonoTime) -> SharerView {
        let vms = local.vms.max(1);
        SharerView {
            regions: self.table.region_count(),
            silent_regions: self.table.silent_regions(now),
            vms,
            silent_vms: vms - 1 - local.heard.min(vms - 1),
            is_informed: local.is_informed,
        }
    }

    /// Begins a round, in which of the VMs of the region those of `heard` were heard a moment ago. Returns what they are
    /// to be told; nothing while it is about what they know.
    pub fn next_local_update(
        &mut self,
        demands: &[LimitedDemand],
        view: &SharerView,
        heard: &BTreeSet<VmTag>,
        incarnation: IncarnationId,
        now: MonoTime,
    ) -> Option<LocalDemand> {
        self.rounds = self.rounds.wrapping_add(1);
        self.table.retain_vms(|vm| heard.contains(&vm));
        let own = self.own_demand(demands, view, incarnation, now);
        let regions = std::mem::take(&mut self.relayed);
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

    /// Whether a want is so far from what was told that others should divide by it.
    fn has_changed(&self, demand: &LimitedDemand, view: &SharerView, now: MonoTime) -> bool {
        let change = (demand.demand - self.announced_demand(demand.account)).abs();
        change > self.current_share(demand, view, now).per_s * ANNOUNCED_CHANGE_SHARE
    }

    /// The part of this VM, by what is known now alone.
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

    /// This VM's part of a limit now.
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

    /// What was wanted in this region when the news of it left that others have by now; `wanted` is what is now.
    fn region_demand_known_remotely(
        &mut self,
        account: AccountTag,
        demand: f64,
        now: MonoTime,
    ) -> f64 {
        let past = self.past.entry(account).or_default();
        past.push_back((now, demand));
        while past.get(1).is_some_and(|(at, _)| now.since(*at) >= REMOTE_DELAY) {
            past.pop_front();
        }
        past.front().filter(|(at, _)| now.since(*at) >= REMOTE_DELAY).map_or(0.0, |(_, it)| *it)
    }

    /// What other regions are told of this one, where this VM speaks for it; nothing where there is none.
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

    /// Forgets what is still to be passed on, where no account has a limit.
    pub fn clear_pending(&mut self) {
        self.relayed.clear();
        self.past.clear();
    }
}
