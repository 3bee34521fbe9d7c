//! Membership: heartbeats within a data centre and summaries between data centres.
//!
//! Every input may be wrong. A member counts as reachable only while its heartbeats arrive *and*
//! this VM's own calls to it succeed, so that a one-way partition is detected on both sides.
//! Delegates are the live members with the lowest names. Two partitions of a data centre may
//! choose different delegates without harm.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::description::DescriptionStamp;
use crate::ids::{
    DataCentreName, IncarnationId, ModelName, RegionName, ServiceName, UpstreamName, VmName,
};
use crate::load::EngineLoad;
use crate::offers::SpareOffer;
use crate::rank::rank_by;
use crate::time::MonoTime;

/// Number of delegates: members of a data centre that exchange summaries with other data centres.
pub const DELEGATES_PER_CENTRE: usize = 2;

/// Number of members with which a daemon starts a heartbeat exchange in one round. The daemon
/// rotates through all members, so that its heartbeat cost does not grow with their number.
pub const HEARTBEAT_FANOUT: usize = 4;

/// Number of consecutive unanswered calls after which a member gets no new work.
const MAX_FAILED_CALLS: u32 = 2;
/// Number of full rotations through all members without a heartbeat after which a member is stale.
const STALE_ROTATIONS: f64 = 2.5;

/// Intervals and timeouts of the membership protocol.
#[derive(Debug, Clone, Copy)]
pub struct MembershipTimes {
    /// Time between two rounds of heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat from a member, or without a successful call to it, after which it
    /// gets no new work. Longer in data centres where a rotation through all members takes longer.
    pub suspect_after: Duration,
    /// Time without a heartbeat or summary after which a member or summary is removed.
    pub forget_after: Duration,
    /// Maximum age of a summary of another data centre. Older ones are not used for decisions.
    pub max_summary_age: Duration,
}

impl Default for MembershipTimes {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            suspect_after: Duration::from_millis(2_000),
            forget_after: Duration::from_secs(60),
            max_summary_age: Duration::from_secs(5),
        }
    }
}

/// The listening addresses of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmAddresses {
    /// Address to which callers send requests.
    pub caller: SocketAddr,
    /// Address to which other daemons forward requests and operators send queries.
    pub peer: SocketAddr,
    /// Address to which other daemons send heartbeats and from which they fetch descriptions.
    pub control: SocketAddr,
}

/// The state that a daemon announces about itself in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmHeartbeat {
    /// The VM.
    pub vm: VmName,
    /// The VM's data centre.
    pub data_centre: DataCentreName,
    /// The incarnation of the daemon.
    pub incarnation: IncarnationId,
    /// Sequence number, incremented with each heartbeat.
    pub sequence: u64,
    /// Whether the daemon is draining: it finishes its requests and accepts no new ones.
    pub leaving: bool,
    /// The stamp of the description that the VM has adopted, `None` if it has none yet.
    pub stamp: Option<DescriptionStamp>,
    /// Number of requests in flight at the VM.
    pub in_flight: u32,
    /// The VM's addresses.
    pub addresses: VmAddresses,
    /// The last load reports of the engines that the VM polls.
    pub loads: Vec<EngineLoad>,
    /// The upstreams that the VM saw leaving, each with its leaving incarnation.
    pub leaving_upstreams: Vec<(UpstreamName, u64)>,
    /// Number of requests from other data centres in flight at the VM, by model.
    #[serde(rename = "lent")]
    pub lent_requests: Vec<(ModelName, u32)>,
    /// The revision of the VM's list of upstreams, 0 if it has none.
    pub list_revision: u64,
}

/// Contact details of a member, as listed in a summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmContact {
    /// The VM.
    pub vm: VmName,
    /// The incarnation of the daemon.
    pub incarnation: IncarnationId,
    /// The VM's addresses.
    pub addresses: VmAddresses,
}

/// The capacity of a data centre for one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelCapacity {
    /// The model.
    pub model: ModelName,
    /// Number of slots of the engines that hold the model.
    pub slots: u32,
    /// Number of those slots that are free.
    pub free: u32,
    /// The expected wait for a slot, in milliseconds.
    pub wait_ms: u32,
}

/// A data centre's state, written by one of its delegates for the other data centres.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CentreSummary {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The delegate that wrote the summary.
    pub author: VmName,
    /// The delegate's incarnation and its count of summaries. Later summaries have larger versions.
    pub version: (IncarnationId, u64),
    /// Age of the content in milliseconds, accumulated over all hops.
    pub age_ms: u32,
    /// The lowest and the highest stamp of the descriptions that the serving members have adopted,
    /// `None` if no member has a description.
    pub stamps: Option<(DescriptionStamp, DescriptionStamp)>,
    /// The serving members, at most [`MAX_SUMMARY_VMS`] of them.
    pub vms: Vec<VmContact>,
    /// Number of serving members.
    pub serving: u32,
    /// The capacity for each model.
    pub models: Vec<ModelCapacity>,
    /// The plain services that have instances that accept work.
    pub services: Vec<ServiceName>,
    /// Slices of spare capacity leased to other data centres.
    pub offers: Vec<SpareOffer>,
}

/// Maximum number of members listed in a summary.
pub const MAX_SUMMARY_VMS: usize = 4;

/// Health of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Heartbeats arrive and calls succeed.
    Live,
    /// Live, but accepts no new work.
    Leaving,
    /// Heartbeats stopped, or calls to the member fail.
    Suspect,
}

#[derive(Debug, Clone)]
struct MemberEntry {
    heartbeat: VmHeartbeat,
    /// When the last heartbeat was received.
    last_received: MonoTime,
    /// When a call to the member last succeeded.
    last_reached: MonoTime,
    /// Number of consecutive unanswered calls.
    failed_calls: u32,
}

#[derive(Debug, Clone)]
struct SummaryEntry {
    summary: CentreSummary,
    /// When the summary's content was true, on this process's clock.
    observed: MonoTime,
    first_seen: MonoTime,
}

/// A summary with its current age.
#[derive(Debug, Clone, Copy)]
pub struct AgedSummary<'a> {
    /// The summary.
    pub summary: &'a CentreSummary,
    /// Current age of the content.
    pub age: Duration,
    /// How long the data centre has been seen without interruption.
    pub seen_for: Duration,
}

/// One daemon's view of the members of its data centre and of the other data centres.
pub struct MemberTable {
    own: VmName,
    centre: DataCentreName,
    times: MembershipTimes,
    members: BTreeMap<VmName, MemberEntry>,
    /// The highest incarnation of each member that announced its end.
    ended: BTreeMap<VmName, IncarnationId>,
    summaries: BTreeMap<DataCentreName, BTreeMap<VmName, SummaryEntry>>,
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new(own: VmName, centre: DataCentreName, times: MembershipTimes) -> Self {
        Self {
            own,
            centre,
            times,
            members: BTreeMap::new(),
            ended: BTreeMap::new(),
            summaries: BTreeMap::new(),
        }
    }

    /// Applies a heartbeat from a member of this data centre. Returns whether it updated the table:
    /// a heartbeat of an ended incarnation, or one that is not newer than the member's last, does
    /// not.
    pub fn apply_heartbeat(&mut self, heartbeat: VmHeartbeat, now: MonoTime) -> bool {
        if heartbeat.vm == self.own || heartbeat.data_centre != self.centre {
            return false;
        }
        if self.ended.get(&heartbeat.vm).is_some_and(|ended| heartbeat.incarnation <= *ended) {
            return false;
        }
        match self.members.get_mut(&heartbeat.vm) {
            Some(entry) => {
                let order = (heartbeat.incarnation, heartbeat.sequence);
                if order <= (entry.heartbeat.incarnation, entry.heartbeat.sequence) {
                    return false;
                }
                if heartbeat.incarnation > entry.heartbeat.incarnation {
                    entry.last_reached = now;
                    entry.failed_calls = 0;
                }
                entry.last_received = now;
                entry.heartbeat = heartbeat;
            }
            None => {
                let entry = MemberEntry {
                    heartbeat,
                    last_received: now,
                    last_reached: now,
                    failed_calls: 0,
                };
                self.members.insert(entry.heartbeat.vm.clone(), entry);
            }
        }
        true
    }

    /// Records that this daemon's call to a member was answered.
    pub fn record_reached(&mut self, vm: &VmName, now: MonoTime) {
        if let Some(entry) = self.members.get_mut(vm) {
            entry.last_reached = now;
            entry.failed_calls = 0;
        }
    }

    /// Records that this daemon's call to a member was not answered.
    pub fn record_failed_call(&mut self, vm: &VmName) {
        if let Some(entry) = self.members.get_mut(vm) {
            entry.failed_calls += 1;
        }
    }

    /// Returns the members with which to start a heartbeat exchange in a round:
    /// [`HEARTBEAT_FANOUT`] of them, in rotation.
    pub fn heartbeat_targets(&self, round: u64) -> Vec<&VmHeartbeat> {
        let members: Vec<&VmHeartbeat> =
            self.members.values().map(|entry| &entry.heartbeat).collect();
        let first = round as usize * HEARTBEAT_FANOUT;
        let count = HEARTBEAT_FANOUT.min(members.len());
        (0..count).map(|at| members[(first + at) % members.len()]).collect()
    }

    /// Returns the time without contact after which a member is suspect. It grows with the time of
    /// a full rotation through all members.
    fn staleness_limit(&self) -> Duration {
        let rounds = self.members.len().div_ceil(HEARTBEAT_FANOUT) as f64;
        self.times
            .suspect_after
            .max(self.times.heartbeat_interval.mul_f64(rounds * STALE_ROTATIONS))
    }

    /// Records that a member announced the end of an incarnation.
    pub fn record_ended(&mut self, vm: &VmName, incarnation: IncarnationId) {
        let ended = self.ended.entry(vm.clone()).or_insert(incarnation);
        *ended = (*ended).max(incarnation);
        if self.members.get(vm).is_some_and(|entry| entry.heartbeat.incarnation <= incarnation) {
            self.members.remove(vm);
        }
    }

    /// Applies a summary of another data centre. Returns whether it updated the table: a summary
    /// that is too old, or not newer than the author's last one, does not.
    pub fn apply_summary(&mut self, summary: CentreSummary, now: MonoTime) -> bool {
        if summary.data_centre == self.centre {
            return false;
        }
        let age = Duration::from_millis(summary.age_ms.into());
        if age > self.times.max_summary_age {
            return false;
        }
        let seen_since = self.seen_since(&summary.data_centre, now);
        let authors = self.summaries.entry(summary.data_centre.clone()).or_default();
        let newer = |entry: &SummaryEntry| entry.summary.version < summary.version;
        if !authors.get(&summary.author).is_none_or(newer) {
            return false;
        }
        let observed = now - age;
        let first_seen = seen_since.unwrap_or(now);
        let author = summary.author.clone();
        authors.insert(author, SummaryEntry { summary, observed, first_seen });
        true
    }

    /// Returns the time since which a data centre has been seen without interruption, `None` if
    /// there is no usable summary of it.
    fn seen_since(&self, centre: &DataCentreName, now: MonoTime) -> Option<MonoTime> {
        let is_fresh =
            |entry: &&SummaryEntry| now.since(entry.observed) <= self.times.max_summary_age;
        let authors = self.summaries.get(centre)?;
        authors.values().filter(is_fresh).map(|entry| entry.first_seen).min()
    }

    /// Removes members and summaries that were not updated within
    /// [`MembershipTimes::forget_after`].
    pub fn evict_stale(&mut self, now: MonoTime) {
        let forget_after = self.times.forget_after;
        self.members.retain(|_, entry| now.since(entry.last_received) < forget_after);
        for authors in self.summaries.values_mut() {
            authors.retain(|_, entry| now.since(entry.observed) < forget_after);
        }
        self.summaries.retain(|_, authors| !authors.is_empty());
    }

    /// Returns the state of a member, `None` if the member is unknown.
    pub fn state(&self, vm: &VmName, now: MonoTime) -> Option<MemberState> {
        self.members.get(vm).map(|entry| self.classify(entry, now))
    }

    fn classify(&self, entry: &MemberEntry, now: MonoTime) -> MemberState {
        let limit = self.staleness_limit();
        let is_stale = now.since(entry.last_received) > limit;
        let is_unreachable =
            now.since(entry.last_reached) > limit || entry.failed_calls >= MAX_FAILED_CALLS;
        match (is_stale || is_unreachable, entry.heartbeat.leaving) {
            (true, _) => MemberState::Suspect,
            (false, true) => MemberState::Leaving,
            (false, false) => MemberState::Live,
        }
    }

    /// Returns the other members of this data centre with their last heartbeats and states.
    pub fn members(&self, now: MonoTime) -> impl Iterator<Item = (&VmHeartbeat, MemberState)> {
        self.members.values().map(move |entry| (&entry.heartbeat, self.classify(entry, now)))
    }

    /// Returns the sorted names of the serving members. This daemon's VM is included if
    /// `is_own_serving`.
    pub fn serving(&self, is_own_serving: bool, now: MonoTime) -> Vec<VmName> {
        let live = self.members(now).filter(|(_, state)| *state == MemberState::Live);
        let mut names: Vec<VmName> = live.map(|(heartbeat, _)| heartbeat.vm.clone()).collect();
        if is_own_serving {
            names.push(self.own.clone());
        }
        names.sort();
        names
    }

    /// Returns whether this daemon is a delegate of its data centre.
    pub fn is_delegate(&self, is_own_serving: bool, now: MonoTime) -> bool {
        let serving = self.serving(is_own_serving, now);
        serving.iter().take(DELEGATES_PER_CENTRE).any(|name| *name == self.own)
    }

    /// Returns the freshest summary of each other data centre. Data centres whose freshest summary
    /// exceeds [`MembershipTimes::max_summary_age`] are left out.
    pub fn summaries(&self, now: MonoTime) -> Vec<AgedSummary<'_>> {
        let all = self.summaries.values();
        all.filter_map(|authors| self.freshest(authors, now)).collect()
    }

    fn freshest<'a>(
        &self,
        authors: &'a BTreeMap<VmName, SummaryEntry>,
        now: MonoTime,
    ) -> Option<AgedSummary<'a>> {
        let entry = authors.values().max_by_key(|entry| entry.observed)?;
        let age = now.since(entry.observed);
        if age > self.times.max_summary_age {
            return None;
        }
        let first = authors.values().map(|entry| entry.first_seen).min()?;
        Some(AgedSummary { summary: &entry.summary, age, seen_for: now.since(first) })
    }

    /// Returns the versions of the stored summaries, used to request only newer ones from a peer.
    pub fn summary_versions(&self) -> Vec<SummaryVersion> {
        let all = self.summaries.values().flat_map(BTreeMap::values);
        let version = |entry: &SummaryEntry| SummaryVersion {
            author: entry.summary.author.clone(),
            version: entry.summary.version,
        };
        all.map(version).collect()
    }

    /// Returns the stored summaries that are newer than the versions known to a peer, with updated
    /// ages.
    pub fn summaries_newer_than(
        &self,
        known: &[SummaryVersion],
        now: MonoTime,
    ) -> Vec<CentreSummary> {
        let known: BTreeMap<&VmName, (IncarnationId, u64)> =
            known.iter().map(|version| (&version.author, version.version)).collect();
        let all = self.summaries.values().flat_map(BTreeMap::values);
        let newer = |entry: &&SummaryEntry| {
            let is_fresh = now.since(entry.observed) <= self.times.max_summary_age;
            let peer_version = known.get(&entry.summary.author);
            is_fresh && peer_version.is_none_or(|version| *version < entry.summary.version)
        };
        let aged = |entry: &SummaryEntry| {
            let age_ms = now.since(entry.observed).as_millis() as u32;
            CentreSummary { age_ms, ..entry.summary.clone() }
        };
        all.filter(newer).map(aged).collect()
    }
}

/// The version of an author's summary that a daemon holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryVersion {
    /// The delegate that wrote the summary.
    pub author: VmName,
    /// The version of the summary.
    pub version: (IncarnationId, u64),
}

/// Number of exchange partners that a data centre selects by rendezvous rank.
const RANKED_PARTNERS: usize = 2;
/// Number of exchange partners that follow a data centre in the ring of sorted names.
const RING_PARTNERS: usize = 2;

/// Returns the data centres with which the delegates of `own` start exchanges.
///
/// These are the data centres of the same region, the next ones in the ring of sorted names (which
/// keeps the graph connected), and a few by rank (so that updates spread in few hops). Apart from
/// the region's own data centres, the number of partners does not grow with the number of data
/// centres.
pub fn exchange_partners(
    own: &DataCentreName,
    centres: &[(DataCentreName, RegionName)],
) -> BTreeSet<DataCentreName> {
    let region = centres.iter().find(|(name, _)| name == own).map(|(_, region)| region);
    let mut names: Vec<&DataCentreName> = centres.iter().map(|(name, _)| name).collect();
    names.sort();
    let at = names.iter().position(|name| *name == own).unwrap_or_default();
    let local = centres.iter().filter(|(_, it)| Some(it) == region).map(|(name, _)| name.clone());
    let mut partners: BTreeSet<DataCentreName> = local.collect();
    let ring = (1..=RING_PARTNERS).map(|step| names[(at + step) % names.len().max(1)]);
    partners.extend(ring.cloned());
    let others = names.iter().copied().filter(|name| *name != own);
    let ranked = rank_by(own.as_str(), others, |name| name.as_str());
    partners.extend(ranked.into_iter().take(RANKED_PARTNERS).cloned());
    partners.remove(own);
    partners
}
