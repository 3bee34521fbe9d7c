//! What VMs and regions tell each other of what the callers of limited accounts want.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, IncarnationId};
use crate::opaque::limit_share::ReportedDemand;
use crate::opaque::peer_table::{RegionTag, VmTag};
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// Between two rounds in which VMs look what they have to tell. Delegates tell the other regions in each.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(300);
/// Each so many rounds a VM tells what has not changed much either, since messages are lost.
pub const REPEAT_ROUNDS: u32 = 6;
/// What was told of a region counts for this long: four rounds of its delegates.
const MAX_REGION_AGE: Duration = Duration::from_millis(1_200);
/// The most accounts in one message; a datagram holds them.
pub const MAX_ACCOUNTS_PER_MESSAGE: usize = 1_200;
/// More than any deployment sends in a second.
const MAX_DEMAND_PER_S: f32 = 1e15;

/// An account in messages between VMs: the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountTag(pub u32);

impl AccountTag {
    /// The tag of an account.
    pub fn of(name: &AccountName) -> Self {
        Self(rank_hash(&[name.as_str()]) as u32)
    }
}

/// What the callers of one account want, in the unit of its limit by the second.
pub type AccountDemand = (AccountTag, f32);

/// What is wanted at one VM; accounts that are not among it want next to nothing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmDemand {
    /// The VM.
    pub vm: VmTag,
    /// Its process lifetime.
    pub incarnation: IncarnationId,
    /// Rises with each message of one lifetime.
    pub sequence: u32,
    /// What is wanted there.
    #[serde(rename = "wants")]
    pub demands: Vec<AccountDemand>,
}

/// What is wanted in one region, as one of its delegates tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegionDemand {
    /// The region.
    pub region: RegionTag,
    /// The delegate.
    #[serde(rename = "teller")]
    pub delegate: VmTag,
    /// Its process lifetime.
    pub incarnation: IncarnationId,
    /// Rises with each message of one lifetime.
    pub sequence: u32,
    /// The regions that it hears of.
    #[serde(rename = "hears")]
    pub heard_regions: Vec<RegionTag>,
    /// What is wanted in all of the region.
    #[serde(rename = "wants")]
    pub demands: Vec<AccountDemand>,
}

/// What a VM tells the others of its region of what callers of limited accounts want.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LocalDemand {
    /// At this VM, when that has changed.
    pub own: Option<VmDemand>,
    /// In other regions, as their delegates told this VM.
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

/// The newest that others told.
#[derive(Debug)]
pub struct DemandTable {
    own_region: RegionTag,
    /// The other regions that there may be.
    regions: BTreeSet<RegionTag>,
    vms: BTreeMap<VmTag, VmEntry>,
    other_regions: BTreeMap<RegionTag, RegionEntry>,
    /// The newest message of each delegate.
    newest_by_delegate: BTreeMap<(RegionTag, VmTag), MessageOrder>,
}

impl DemandTable {
    /// An empty book of a VM of a region, of all that there may be.
    pub fn new(own_region: RegionTag, regions: impl IntoIterator<Item = RegionTag>) -> Self {
        let regions = regions.into_iter().filter(|region| *region != own_region).collect();
        let (vms, other_regions, newest_by_delegate) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { own_region, regions, vms, other_regions, newest_by_delegate }
    }

    /// How many regions there may be, the own one included.
    pub fn region_count(&self) -> usize {
        self.regions.len() + 1
    }

    /// Takes in what a VM of the own region tells. Returns whether it is newer than what is held.
    pub fn apply_vm(&mut self, demand: &VmDemand) -> bool {
        let order = (demand.incarnation, demand.sequence);
        if self.vms.get(&demand.vm).is_some_and(|newest| order <= newest.order) {
            return false;
        }
        let Some(demands) = parse_demands(&demand.demands) else { return false };
        self.vms.insert(demand.vm, VmEntry { order, demands });
        true
    }

    /// Takes in what a delegate of another region tells. Returns whether it is newer than what was heard of it.
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

    /// Leaves out VMs of which nothing is heard any more; a part is set aside for them instead.
    pub fn retain_vms(&mut self, is_heard: impl Fn(VmTag) -> bool) {
        self.vms.retain(|vm, _| is_heard(*vm));
    }

    /// The regions of which something fresh is known.
    pub fn heard_regions(&self, now: MonoTime) -> Vec<RegionTag> {
        self.fresh(now).map(|(region, _)| region).collect()
    }

    /// For how long what is known of a region is; nothing where nothing is.
    pub fn region_age(&self, region: RegionTag, now: MonoTime) -> Option<Duration> {
        self.other_regions.get(&region).map(|received| now.since(received.received))
    }

    /// How many other regions are not heard of, or do not hear this one.
    pub fn silent_regions(&self, now: MonoTime) -> usize {
        self.regions.len() - self.mutual(now).count()
    }

    /// What was told of an account, where `own` is what this VM told.
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

    /// What the other VMs of the region told of an account.
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

    /// The regions that are heard and hear this one.
    fn mutual(&self, now: MonoTime) -> impl Iterator<Item = &RegionEntry> {
        let fresh = self.fresh(now).map(|(_, received)| received);
        fresh.filter(|received| received.heard_regions.contains(&self.own_region))
    }
}

/// What a message tells; nothing when it is none that a VM would send.
fn parse_demands(demands: &[AccountDemand]) -> Option<BTreeMap<AccountTag, f64>> {
    let is_valid = |demand: f32| (0.0..=MAX_DEMAND_PER_S).contains(&demand);
    if demands.len() > MAX_ACCOUNTS_PER_MESSAGE
        || !demands.iter().all(|(_, demand)| is_valid(*demand))
    {
        return None;
    }
    Some(demands.iter().map(|(account, demand)| (*account, f64::from(*demand))).collect())
}
