//! When a VM tells what callers of limited accounts want, and how it divides their limits by what was told.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::ids::IncarnationId;
use crate::opaque::account_table::AccountLimit;
use crate::opaque::demand_book::{
    AccountTag, AccountWant, DEMAND_INTERVAL, DemandBook, MAX_WANTS, NearDemand, REPEAT_ROUNDS,
    RegionDemand, VmDemand,
};
use crate::opaque::limit_part::{LimitPart, LimitSlack, SharerView, limit_part};
use crate::opaque::peer_table::{RegionTag, VmTag};
use crate::time::MonoTime;

/// The share of a VM's equal part up to which a want is not worth telling.
const UNTOLD_SHARE: f64 = 0.1;
/// A want is told at once when it has changed by this share of the part.
const CHANGED_SHARE: f64 = 0.25;

/// After this time all VMs of other regions know what was told in this one: a round of its delegates, one of the VMs
/// that pass it on there, and the way.
const FAR_NEWS_AFTER: Duration = Duration::from_millis(800);

/// An account with a limit, and what its callers want at this VM.
#[derive(Debug, Clone, Copy)]
pub struct LimitedWant {
    /// The account.
    pub account: AccountTag,
    /// Its limit.
    pub limit: AccountLimit,
    /// What they want, in the unit of the limit by the second.
    pub want: f64,
}

/// The VMs of the region, as a VM knows them.
#[derive(Debug, Clone, Copy)]
pub struct NearSharers {
    /// How many there may be, this one included.
    pub vms: usize,
    /// How many of the others were heard a moment ago.
    pub heard: usize,
    /// Whether this process has had the time to hear of the others, and has heard of one that all ask first.
    pub is_informed: bool,
}

/// What a VM knows of wants, and what it told of its own.
#[derive(Debug)]
pub struct DemandShare {
    vm: VmTag,
    region: RegionTag,
    book: DemandBook,
    /// What this VM told last.
    told: BTreeMap<AccountTag, f64>,
    /// What delegates of other regions told, of which the VMs of this region are still to be told.
    relayed: Vec<RegionDemand>,
    /// What was wanted in the region in the last rounds.
    past: BTreeMap<AccountTag, VecDeque<(MonoTime, f64)>>,
    rounds: u32,
    /// Rises with each message.
    sequence: u32,
}

impl DemandShare {
    /// That of a VM of a region, of all regions that there may be.
    pub fn new(vm: VmTag, region: RegionTag, regions: impl IntoIterator<Item = RegionTag>) -> Self {
        let book = DemandBook::new(region, regions);
        let (told, relayed) = (BTreeMap::new(), Vec::new());
        let past = BTreeMap::new();
        Self { vm, region, book, told, relayed, past, rounds: 0, sequence: 0 }
    }

    /// Takes in what another VM of the region tells.
    pub fn hear_near(&mut self, demand: &NearDemand, now: MonoTime) {
        if let Some(own) = &demand.own {
            self.book.hear_vm(own);
        }
        for region in &demand.regions {
            self.book.hear_region(region, now);
        }
    }

    /// Takes in what a delegate of another region tells; the VMs of this region are told of it.
    pub fn hear_region(&mut self, demand: RegionDemand, now: MonoTime) {
        let age = self.book.region_age(demand.region, now);
        // Several delegates tell several VMs; one relay in each round is enough for all.
        let is_due = age.is_none_or(|age| age >= DEMAND_INTERVAL);
        if self.book.hear_region(&demand, now) && is_due {
            self.relayed.push(demand);
        }
    }

    /// How sure this VM is of those that share limits with it.
    pub fn view(&self, near: NearSharers, now: MonoTime) -> SharerView {
        let vms = near.vms.max(1);
        SharerView {
            regions: self.book.region_count(),
            silent_regions: self.book.silent_regions(now),
            vms,
            silent_vms: vms - 1 - near.heard.min(vms - 1),
            is_informed: near.is_informed,
        }
    }

    /// Begins a round, in which of the VMs of the region those of `heard` were heard a moment ago. Returns what they are
    /// to be told; nothing while it is about what they know.
    pub fn tell_near(
        &mut self,
        wants: &[LimitedWant],
        view: &SharerView,
        heard: &BTreeSet<VmTag>,
        incarnation: IncarnationId,
        now: MonoTime,
    ) -> Option<NearDemand> {
        self.rounds = self.rounds.wrapping_add(1);
        self.book.keep_only(|vm| heard.contains(&vm));
        let own = self.own_demand(wants, view, incarnation, now);
        let regions = std::mem::take(&mut self.relayed);
        let is_news = own.is_some() || !regions.is_empty();
        is_news.then_some(NearDemand { own, regions })
    }

    fn own_demand(
        &mut self,
        wants: &[LimitedWant],
        view: &SharerView,
        incarnation: IncarnationId,
        now: MonoTime,
    ) -> Option<VmDemand> {
        let is_repeat = self.rounds.is_multiple_of(REPEAT_ROUNDS) && !self.told.is_empty();
        if !is_repeat && !wants.iter().any(|want| self.has_changed(want, view, now)) {
            return None;
        }
        let is_told =
            |it: &&LimitedWant| it.want > self.plain_part(it, view, now).equal_per_s * UNTOLD_SHARE;
        let told = wants.iter().filter(is_told).map(|it| (it.account, it.want)).take(MAX_WANTS);
        self.told = told.collect();
        self.sequence += 1;
        Some(VmDemand {
            vm: self.vm,
            incarnation,
            sequence: self.sequence,
            wants: self.told.iter().map(|(tag, want)| (*tag, *want as f32)).collect(),
        })
    }

    /// Whether a want is so far from what was told that others should divide by it.
    fn has_changed(&self, want: &LimitedWant, view: &SharerView, now: MonoTime) -> bool {
        let change = (want.want - self.told_of(want.account)).abs();
        change > self.plain_part(want, view, now).per_s * CHANGED_SHARE
    }

    /// The part of this VM, by what is known now alone.
    fn plain_part(&self, want: &LimitedWant, view: &SharerView, now: MonoTime) -> LimitPart {
        let wants = self.book.wants(want.account, self.told_of(want.account), now);
        limit_part(&want.limit, &wants, view, &LimitSlack::default())
    }

    fn told_of(&self, account: AccountTag) -> f64 {
        self.told.get(&account).copied().unwrap_or_default()
    }

    /// This VM's part of a limit now.
    pub fn part(
        &mut self,
        want: &LimitedWant,
        view: &SharerView,
        slack: &LimitSlack,
        now: MonoTime,
    ) -> LimitPart {
        let told = self.told_of(want.account);
        let mut wants = self.book.wants(want.account, told, now);
        wants.region_before = self.region_before(want.account, told + wants.near, now);
        limit_part(&want.limit, &wants, view, slack)
    }

    /// What was wanted in this region when the news of it left that others have by now; `wanted` is what is now.
    fn region_before(&mut self, account: AccountTag, wanted: f64, now: MonoTime) -> f64 {
        let past = self.past.entry(account).or_default();
        past.push_back((now, wanted));
        while past.get(1).is_some_and(|(at, _)| now.since(*at) >= FAR_NEWS_AFTER) {
            past.pop_front();
        }
        past.front().filter(|(at, _)| now.since(*at) >= FAR_NEWS_AFTER).map_or(0.0, |(_, it)| *it)
    }

    /// What other regions are told of this one, where this VM speaks for it; nothing where there is none.
    pub fn tell_far(
        &mut self,
        wants: &[LimitedWant],
        incarnation: IncarnationId,
        now: MonoTime,
    ) -> Option<RegionDemand> {
        if self.book.region_count() == 1 {
            return None;
        }
        let sum = |it: &LimitedWant| {
            let sum = self.told_of(it.account) + self.book.near_want(it.account);
            (it.account, sum as f32)
        };
        let told = wants.iter().map(sum).filter(|(_, want)| *want > 0.0).take(MAX_WANTS);
        let told: Vec<AccountWant> = told.collect();
        self.sequence += 1;
        Some(RegionDemand {
            region: self.region,
            teller: self.vm,
            incarnation,
            sequence: self.sequence,
            hears: self.book.heard_regions(now),
            wants: told,
        })
    }

    /// Forgets what is still to be passed on, where no account has a limit.
    pub fn rest(&mut self) {
        self.relayed.clear();
        self.past.clear();
    }
}
