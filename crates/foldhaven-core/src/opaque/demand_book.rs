//! What VMs and regions tell each other of what the callers of limited accounts want.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{AccountName, IncarnationId};
use crate::opaque::limit_part::ToldWants;
use crate::opaque::peer_table::{RegionTag, VmTag};
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// Between two rounds in which VMs look what they have to tell. Delegates tell the other regions in each.
pub const DEMAND_INTERVAL: Duration = Duration::from_millis(300);
/// Each so many rounds a VM tells what has not changed much either, since messages are lost.
pub const REPEAT_ROUNDS: u32 = 6;
/// What was told of a region counts for this long: four rounds of its delegates.
const REGION_FRESH: Duration = Duration::from_millis(1_200);
/// The most accounts in one message; a datagram holds them.
pub const MAX_WANTS: usize = 1_200;
/// More than any deployment sends in a second.
const MAX_WANT: f32 = 1e15;

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
pub type AccountWant = (AccountTag, f32);

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
    pub wants: Vec<AccountWant>,
}

/// What is wanted in one region, as one of its delegates tells.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegionDemand {
    /// The region.
    pub region: RegionTag,
    /// The delegate.
    pub teller: VmTag,
    /// Its process lifetime.
    pub incarnation: IncarnationId,
    /// Rises with each message of one lifetime.
    pub sequence: u32,
    /// The regions that it hears of.
    pub hears: Vec<RegionTag>,
    /// What is wanted in all of the region.
    pub wants: Vec<AccountWant>,
}

/// What a VM tells the others of its region of what callers of limited accounts want.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct NearDemand {
    /// At this VM, when that has changed.
    pub own: Option<VmDemand>,
    /// In other regions, as their delegates told this VM.
    pub regions: Vec<RegionDemand>,
}

type ToldOrder = (IncarnationId, u32);

#[derive(Debug)]
struct HeardVm {
    order: ToldOrder,
    wants: BTreeMap<AccountTag, f64>,
}

#[derive(Debug)]
struct HeardRegion {
    heard: MonoTime,
    hears: Vec<RegionTag>,
    wants: BTreeMap<AccountTag, f64>,
}

/// The newest that others told.
#[derive(Debug)]
pub struct DemandBook {
    own_region: RegionTag,
    /// The other regions that there may be.
    regions: BTreeSet<RegionTag>,
    vms: BTreeMap<VmTag, HeardVm>,
    far: BTreeMap<RegionTag, HeardRegion>,
    /// The newest message of each delegate.
    tellers: BTreeMap<(RegionTag, VmTag), ToldOrder>,
}

impl DemandBook {
    /// An empty book of a VM of a region, of all that there may be.
    pub fn new(own_region: RegionTag, regions: impl IntoIterator<Item = RegionTag>) -> Self {
        let regions = regions.into_iter().filter(|region| *region != own_region).collect();
        let (vms, far, tellers) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Self { own_region, regions, vms, far, tellers }
    }

    /// How many regions there may be, the own one included.
    pub fn region_count(&self) -> usize {
        self.regions.len() + 1
    }

    /// Takes in what a VM of the own region tells. Returns whether it is newer than what is held.
    pub fn hear_vm(&mut self, demand: &VmDemand) -> bool {
        let order = (demand.incarnation, demand.sequence);
        if self.vms.get(&demand.vm).is_some_and(|held| order <= held.order) {
            return false;
        }
        let Some(wants) = read_wants(&demand.wants) else { return false };
        self.vms.insert(demand.vm, HeardVm { order, wants });
        true
    }

    /// Takes in what a delegate of another region tells. Returns whether it is newer than what was heard of it.
    pub fn hear_region(&mut self, demand: &RegionDemand, now: MonoTime) -> bool {
        if !self.regions.contains(&demand.region) || demand.hears.len() > self.region_count() {
            return false;
        }
        let teller = (demand.region, demand.teller);
        let order = (demand.incarnation, demand.sequence);
        if self.tellers.get(&teller).is_some_and(|held| order <= *held) {
            return false;
        }
        let Some(wants) = read_wants(&demand.wants) else { return false };
        self.tellers.insert(teller, order);
        let hears = demand.hears.clone();
        self.far.insert(demand.region, HeardRegion { heard: now, hears, wants });
        true
    }

    /// Leaves out VMs of which nothing is heard any more; a part is set aside for them instead.
    pub fn keep_only(&mut self, is_heard: impl Fn(VmTag) -> bool) {
        self.vms.retain(|vm, _| is_heard(*vm));
    }

    /// The regions of which something fresh is known.
    pub fn heard_regions(&self, now: MonoTime) -> Vec<RegionTag> {
        self.fresh(now).map(|(region, _)| region).collect()
    }

    /// For how long what is known of a region is; nothing where nothing is.
    pub fn region_age(&self, region: RegionTag, now: MonoTime) -> Option<Duration> {
        self.far.get(&region).map(|heard| now.since(heard.heard))
    }

    /// How many other regions are not heard of, or do not hear this one.
    pub fn silent_regions(&self, now: MonoTime) -> usize {
        self.regions.len() - self.mutual(now).count()
    }

    /// What was told of an account, where `own` is what this VM told.
    pub fn wants(&self, account: AccountTag, own: f64, now: MonoTime) -> ToldWants {
        let near = self.near_want(account);
        let far = self.mutual(now).map(|heard| heard.wants.get(&account).copied());
        let far = far.map(Option::unwrap_or_default).collect();
        ToldWants { own, near, far, region_before: own + near }
    }

    /// What the other VMs of the region told of an account.
    pub fn near_want(&self, account: AccountTag) -> f64 {
        self.vms.values().filter_map(|heard| heard.wants.get(&account)).sum()
    }

    fn fresh(&self, now: MonoTime) -> impl Iterator<Item = (RegionTag, &HeardRegion)> {
        let is_fresh = move |heard: &HeardRegion| now.since(heard.heard) <= REGION_FRESH;
        self.far.iter().filter(move |(_, heard)| is_fresh(heard)).map(|(tag, heard)| (*tag, heard))
    }

    /// The regions that are heard and hear this one.
    fn mutual(&self, now: MonoTime) -> impl Iterator<Item = &HeardRegion> {
        let fresh = self.fresh(now).map(|(_, heard)| heard);
        fresh.filter(|heard| heard.hears.contains(&self.own_region))
    }
}

/// What a message tells; nothing when it is none that a VM would send.
fn read_wants(wants: &[AccountWant]) -> Option<BTreeMap<AccountTag, f64>> {
    let is_want = |want: f32| (0.0..=MAX_WANT).contains(&want);
    if wants.len() > MAX_WANTS || !wants.iter().all(|(_, want)| is_want(*want)) {
        return None;
    }
    Some(wants.iter().map(|(account, want)| (*account, f64::from(*want))).collect())
}
