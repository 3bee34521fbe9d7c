//! The demand of the callers of limited accounts, as VMs and regions report it to each other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, IncarnationId};
use crate::opaque::limit_share::ReportedDemand;
use crate::opaque::peer_table::{RegionTag, VmTag};
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// The interval between two rounds in which a VM checks what it has to report. Delegates report to
/// the other regions in each round.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(300);
/// A VM repeats unchanged demand every this many rounds, since messages can be lost.
pub const REPEAT_ROUNDS: u32 = 6;
/// How long the report of a region is valid: four rounds of its delegates.
const MAX_REGION_AGE: Duration = Duration::from_millis(1_200);
/// The maximum number of accounts in one message, which must fit into a datagram.
pub const MAX_ACCOUNTS_PER_MESSAGE: usize = 1_200;
/// The maximum valid demand; more than any deployment sends in a second.
const MAX_DEMAND_PER_S: f32 = 1e15;

/// Identifies an account in messages between VMs by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountTag(pub u32);

impl AccountTag {
    /// Returns the tag of an account.
    pub fn of(name: &AccountName) -> Self {
        Self(rank_hash(&[name.as_str()]) as u32)
    }
}

/// The demand of the callers of one account, in units of its limit per second.
pub type AccountDemand = (AccountTag, f32);

/// The demand at one VM. Accounts with almost no demand are left out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmDemand {
    /// The VM.
    pub vm: VmTag,
    /// Its process incarnation.
    pub incarnation: IncarnationId,
    /// Increases with each message of one incarnation.
    pub sequence: u32,
    /// The demand of each account at the VM.
    #[serde(rename = "wants")]
    pub demands: Vec<AccountDemand>,
}

/// The demand in one region, as reported by one of its delegates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegionDemand {
    /// The region.
    pub region: RegionTag,
    /// The delegate.
    #[serde(rename = "teller")]
    pub delegate: VmTag,
    /// Its process incarnation.
    pub incarnation: IncarnationId,
    /// Increases with each message of one incarnation.
    pub sequence: u32,
    /// The regions that the delegate hears from.
    #[serde(rename = "hears")]
    pub heard_regions: Vec<RegionTag>,
    /// The demand of each account in the whole region.
    #[serde(rename = "wants")]
    pub demands: Vec<AccountDemand>,
}

/// The demand that a VM reports to the other VMs of its region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LocalDemand {
    /// The demand at this VM; `None` if it has not changed.
    pub own: Option<VmDemand>,
    /// The demand in other regions, as their delegates reported it to this VM.
    pub regions: Vec<RegionDemand>,
}

type MessageOrder = (IncarnationId, u32);

#[derive(Debug)]
struct VmEntry {
    order: MessageOrder,
    demands: BTreeMap<AccountTag, f64>,
}

#[derive(Debug)]
struct RegionEntry {
    received: MonoTime,
    heard_regions: Vec<RegionTag>,
    demands: BTreeMap<AccountTag, f64>,
}

/// The newest reports of other VMs and regions.
#[derive(Debug)]
pub struct DemandTable {
    own_region: RegionTag,
    /// The other regions that may exist.
    regions: BTreeSet<RegionTag>,
    vms: BTreeMap<VmTag, VmEntry>,
    other_regions: BTreeMap<RegionTag, RegionEntry>,
    /// The newest message of each delegate.
    newest_by_delegate: BTreeMap<(RegionTag, VmTag), MessageOrder>,
}

impl DemandTable {
    /// Creates an empty table for a VM of `own_region`, where `regions` are all that may exist.
    pub fn new(own_region: RegionTag, regions: impl IntoIterator<Item = RegionTag>) -> Self {
        let regions = regions.into_iter().filter(|region| *region != own_region).collect();
        let (vms, other_regions, newest_by_delegate) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { own_region, regions, vms, other_regions, newest_by_delegate }
    }

    /// Returns the number of regions that may exist, including this one.
    pub fn region_count(&self) -> usize {
        self.regions.len() + 1
    }

    /// Applies the report of a VM of this region. Returns whether it is valid and newer than the
    /// one held.
    pub fn apply_vm(&mut self, demand: &VmDemand) -> bool {
        let order = (demand.incarnation, demand.sequence);
        if self.vms.get(&demand.vm).is_some_and(|newest| order <= newest.order) {
            return false;
        }
        let Some(demands) = parse_demands(&demand.demands) else { return false };
        self.vms.insert(demand.vm, VmEntry { order, demands });
        true
    }

    /// Applies the report of a delegate of another region. Returns whether it is valid and newer
    /// than the last one from this delegate.
    pub fn apply_region(&mut self, demand: &RegionDemand, now: MonoTime) -> bool {
        if !self.regions.contains(&demand.region)
            || demand.heard_regions.len() > self.region_count()
        {
            return false;
        }
        let delegate = (demand.region, demand.delegate);
        let order = (demand.incarnation, demand.sequence);
        if self.newest_by_delegate.get(&delegate).is_some_and(|newest| order <= *newest) {
            return false;
        }
        let Some(demands) = parse_demands(&demand.demands) else { return false };
        self.newest_by_delegate.insert(delegate, order);
        let heard_regions = demand.heard_regions.clone();
        self.other_regions
            .insert(demand.region, RegionEntry { received: now, heard_regions, demands });
        true
    }

    /// Drops the reports of VMs that are no longer heard from. Instead of a share by demand, an
    /// equal share is reserved for each of them.
    pub fn retain_vms(&mut self, is_heard: impl Fn(VmTag) -> bool) {
        self.vms.retain(|vm, _| is_heard(*vm));
    }

    /// Returns the regions with a fresh report.
    pub fn heard_regions(&self, now: MonoTime) -> Vec<RegionTag> {
        self.fresh(now).map(|(region, _)| region).collect()
    }

    /// Returns the age of the newest report of a region; `None` if there is none.
    pub fn region_age(&self, region: RegionTag, now: MonoTime) -> Option<Duration> {
        self.other_regions.get(&region).map(|received| now.since(received.received))
    }

    /// Returns the number of other regions that are not heard from, or that do not hear from this
    /// one.
    pub fn silent_regions(&self, now: MonoTime) -> usize {
        self.regions.len() - self.mutual(now).count()
    }

    /// Returns the reported demand of an account, where `own` is what this VM reported. It assumes
    /// that other regions already know the current demand of this one.
    pub fn reported_demand(&self, account: AccountTag, own: f64, now: MonoTime) -> ReportedDemand {
        let local_peers = self.local_peers_demand(account);
        let other_regions =
            self.mutual(now).map(|received| received.demands.get(&account).copied());
        let other_regions = other_regions.map(Option::unwrap_or_default).collect();
        ReportedDemand {
            own,
            local_peers,
            other_regions,
            region_as_known_remotely: own + local_peers,
        }
    }

    /// Returns the demand of an account that the other VMs of this region reported.
    pub fn local_peers_demand(&self, account: AccountTag) -> f64 {
        self.vms.values().filter_map(|received| received.demands.get(&account)).sum()
    }

    fn fresh(&self, now: MonoTime) -> impl Iterator<Item = (RegionTag, &RegionEntry)> {
        let is_fresh = move |received: &RegionEntry| now.since(received.received) <= MAX_REGION_AGE;
        self.other_regions
            .iter()
            .filter(move |(_, received)| is_fresh(received))
            .map(|(tag, received)| (*tag, received))
    }

    /// The regions whose report is fresh and says that they receive reports of this one.
    fn mutual(&self, now: MonoTime) -> impl Iterator<Item = &RegionEntry> {
        let fresh = self.fresh(now).map(|(_, received)| received);
        fresh.filter(|received| received.heard_regions.contains(&self.own_region))
    }
}

/// Parses the demands of a message; `None` if there are too many or one is out of range.
fn parse_demands(demands: &[AccountDemand]) -> Option<BTreeMap<AccountTag, f64>> {
    let is_valid = |demand: f32| (0.0..=MAX_DEMAND_PER_S).contains(&demand);
    if demands.len() > MAX_ACCOUNTS_PER_MESSAGE
        || !demands.iter().all(|(_, demand)| is_valid(*demand))
    {
        return None;
    }
    Some(demands.iter().map(|(account, demand)| (*account, f64::from(*demand))).collect())
}
