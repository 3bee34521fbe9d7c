//! Who is there: heartbeats inside a data centre, summaries between data centres.
//!
//! Every input may be wrong. A member counts as reachable only while it is heard from *and* our
//! own calls to it succeed, so that a one-way cut shows on both sides. Delegates are simply the
//! lowest live names; nothing breaks when two parts of a data centre choose different ones.

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

/// How many members of a data centre speak for it to other data centres.
pub const DELEGATES_PER_CENTRE: usize = 2;

/// How many members one daemon starts an exchange with in one round. It turns through all of them,
/// so that what heartbeats cost does not grow with the members.
pub const HEARTBEAT_FANOUT: usize = 4;

/// After how many calls in a row that were not answered a member gets no new work.
const MAX_FAILED_CALLS: u32 = 2;
/// A member is given this many turns through all members before its silence counts.
const STALE_ROTATIONS: f64 = 2.5;

/// The spans by which members are judged.
#[derive(Debug, Clone, Copy)]
pub struct MembershipTimes {
    /// Between two heartbeats to one member.
    pub heartbeat_interval: Duration,
    /// A member not heard from, or not reached, for this long gets no new work.
    pub suspect_after: Duration,
    /// A member not heard from for this long is forgotten.
    pub forget_after: Duration,
    /// A summary of another data centre older than this is not acted on.
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

/// The addresses at which a daemon is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmAddresses {
    /// Where callers send requests.
    pub caller: SocketAddr,
    /// Where other daemons forward requests, and operators ask.
    pub peer: SocketAddr,
    /// Where other daemons send heartbeats and fetch descriptions.
    pub control: SocketAddr,
}

/// What a daemon says of itself in a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmHeartbeat {
    /// The VM.
    pub vm: VmName,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Its process lifetime.
    pub incarnation: IncarnationId,
    /// Counts up with each heartbeat.
    pub sequence: u64,
    /// Whether it finishes its work and takes no more.
    pub leaving: bool,
    /// The stamp of the description in force there.
    pub stamp: Option<DescriptionStamp>,
    /// How many requests are under way there.
    pub in_flight: u32,
    /// Its addresses.
    pub addresses: VmAddresses,
    /// The engines that it polls, as it last saw them.
    pub loads: Vec<EngineLoad>,
    /// The upstreams that it saw leaving, with the process lifetime that leaves.
    pub leaving_upstreams: Vec<(UpstreamName, u64)>,
    /// Requests of other data centres under way here, by model.
    #[serde(rename = "lent")]
    pub lent_requests: Vec<(ModelName, u32)>,
    /// The revision of the list of upstreams that it holds; 0 for none.
    pub list_revision: u64,
}

/// One member as others see it in a summary.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmContact {
    /// The VM.
    pub vm: VmName,
    /// Its process lifetime.
    pub incarnation: IncarnationId,
    /// Its addresses.
    pub addresses: VmAddresses,
}

/// What a data centre can do for one model.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ModelCapacity {
    /// The model.
    pub model: ModelName,
    /// Slots of engines that hold it.
    pub slots: u32,
    /// Slots not in use.
    pub free: u32,
    /// The expected wait for a slot, in milliseconds.
    pub wait_ms: u32,
}

/// What a data centre says of itself to others, by one of its delegates.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CentreSummary {
    /// The data centre.
    pub data_centre: DataCentreName,
    /// The delegate that wrote this.
    pub author: VmName,
    /// The delegate's process lifetime and count of summaries: later ones are larger.
    pub version: (IncarnationId, u64),
    /// How old the content is, in milliseconds, added up over the hops it took.
    pub age_ms: u32,
    /// The lowest and the highest stamp in force among its serving members.
    pub stamps: Option<(DescriptionStamp, DescriptionStamp)>,
    /// Its serving members; the first few when there are many.
    pub vms: Vec<VmContact>,
    /// How many members serve there.
    pub serving: u32,
    /// What it can do for each model.
    pub models: Vec<ModelCapacity>,
    /// The plain services of which it has instances that take work.
    pub services: Vec<ServiceName>,
    /// Slices of spare capacity that it leases to others.
    pub offers: Vec<SpareOffer>,
}

/// How many members a summary names.
pub const MAX_SUMMARY_VMS: usize = 4;

/// How a member is judged now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Heard from and reached lately.
    Live,
    /// Live, but it takes no new work.
    Leaving,
    /// Not heard from, or not reached, for a while.
    Suspect,
}

#[derive(Debug, Clone)]
struct MemberEntry {
    beat: VmHeartbeat,
    heard: MonoTime,
    reached: MonoTime,
    failed_calls: u32,
}

#[derive(Debug, Clone)]
struct SummaryEntry {
    summary: CentreSummary,
    received: MonoTime,
    first_seen: MonoTime,
}

/// A summary with its present age.
#[derive(Debug, Clone, Copy)]
pub struct AgedSummary<'a> {
    /// The summary.
    pub summary: &'a CentreSummary,
    /// How old its content is now.
    pub age: Duration,
    /// For how long this data centre has been seen without a break.
    pub seen_for: Duration,
}

/// All that one daemon knows of members and of other data centres.
pub struct MemberTable {
    own: VmName,
    centre: DataCentreName,
    times: MembershipTimes,
    members: BTreeMap<VmName, MemberEntry>,
    gone: BTreeMap<VmName, IncarnationId>,
    summaries: BTreeMap<DataCentreName, BTreeMap<VmName, SummaryEntry>>,
}

impl MemberTable {
    /// A table for one daemon that knows nobody yet.
    pub fn new(own: VmName, centre: DataCentreName, times: MembershipTimes) -> Self {
        Self {
            own,
            centre,
            times,
            members: BTreeMap::new(),
            gone: BTreeMap::new(),
            summaries: BTreeMap::new(),
        }
    }

    /// Takes in a heartbeat of a member of this data centre. Returns whether it was news: a beat of
    /// an ended incarnation or an older sequence is not.
    pub fn apply_heartbeat(&mut self, beat: VmHeartbeat, now: MonoTime) -> bool {
        if beat.vm == self.own || beat.data_centre != self.centre {
            return false;
        }
        if self.gone.get(&beat.vm).is_some_and(|ended| beat.incarnation <= *ended) {
            return false;
        }
        match self.members.get_mut(&beat.vm) {
            Some(entry) => {
                let order = (beat.incarnation, beat.sequence);
                if order <= (entry.beat.incarnation, entry.beat.sequence) {
                    return false;
                }
                if beat.incarnation > entry.beat.incarnation {
                    entry.reached = now;
                    entry.failed_calls = 0;
                }
                entry.heard = now;
                entry.beat = beat;
            }
            None => {
                let entry = MemberEntry { beat, heard: now, reached: now, failed_calls: 0 };
                self.members.insert(entry.beat.vm.clone(), entry);
            }
        }
        true
    }

    /// Notes that a call of ours to a member was answered.
    pub fn record_reached(&mut self, vm: &VmName, now: MonoTime) {
        if let Some(entry) = self.members.get_mut(vm) {
            entry.reached = now;
            entry.failed_calls = 0;
        }
    }

    /// Notes that a call of ours to a member was not answered.
    pub fn record_failed_call(&mut self, vm: &VmName) {
        if let Some(entry) = self.members.get_mut(vm) {
            entry.failed_calls += 1;
        }
    }

    /// The members to start an exchange with in a round: [`HEARTBEAT_FANOUT`] of them, in turn.
    pub fn heartbeat_targets(&self, round: u64) -> Vec<&VmHeartbeat> {
        let beats: Vec<&VmHeartbeat> = self.members.values().map(|entry| &entry.beat).collect();
        let first = round as usize * HEARTBEAT_FANOUT;
        let count = HEARTBEAT_FANOUT.min(beats.len());
        (0..count).map(|at| beats[(first + at) % beats.len()]).collect()
    }

    /// How long a member may be silent: longer where a turn through all members takes longer.
    fn silence_limit(&self) -> Duration {
        let rounds = self.members.len().div_ceil(HEARTBEAT_FANOUT) as f64;
        self.times
            .suspect_after
            .max(self.times.heartbeat_interval.mul_f64(rounds * STALE_ROTATIONS))
    }

    /// Notes that a member said it ends this process lifetime.
    pub fn record_ended(&mut self, vm: &VmName, incarnation: IncarnationId) {
        let ended = self.gone.entry(vm.clone()).or_insert(incarnation);
        *ended = (*ended).max(incarnation);
        if self.members.get(vm).is_some_and(|entry| entry.beat.incarnation <= incarnation) {
            self.members.remove(vm);
        }
    }

    /// Takes in a summary of another data centre. Returns whether it was news.
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
        let received = now - age;
        let first_seen = seen_since.unwrap_or(now);
        let author = summary.author.clone();
        authors.insert(author, SummaryEntry { summary, received, first_seen });
        true
    }

    fn seen_since(&self, centre: &DataCentreName, now: MonoTime) -> Option<MonoTime> {
        let fresh = |entry: &&SummaryEntry| now.since(entry.received) <= self.times.max_summary_age;
        let authors = self.summaries.get(centre)?;
        authors.values().filter(fresh).map(|entry| entry.first_seen).min()
    }

    /// Drops members and summaries that have been silent for too long.
    pub fn evict_stale(&mut self, now: MonoTime) {
        let forget = self.times.forget_after;
        self.members.retain(|_, entry| now.since(entry.heard) < forget);
        for authors in self.summaries.values_mut() {
            authors.retain(|_, entry| now.since(entry.received) < forget);
        }
        self.summaries.retain(|_, authors| !authors.is_empty());
    }

    /// How a member is judged now; nothing when it is not known.
    pub fn state(&self, vm: &VmName, now: MonoTime) -> Option<MemberState> {
        self.members.get(vm).map(|entry| self.judge(entry, now))
    }

    fn judge(&self, entry: &MemberEntry, now: MonoTime) -> MemberState {
        let limit = self.silence_limit();
        let silent = now.since(entry.heard) > limit;
        let unreached = now.since(entry.reached) > limit || entry.failed_calls >= MAX_FAILED_CALLS;
        match (silent || unreached, entry.beat.leaving) {
            (true, _) => MemberState::Suspect,
            (false, true) => MemberState::Leaving,
            (false, false) => MemberState::Live,
        }
    }

    /// The other members of this data centre with their last heartbeats.
    pub fn members(&self, now: MonoTime) -> impl Iterator<Item = (&VmHeartbeat, MemberState)> {
        self.members.values().map(move |entry| (&entry.beat, self.judge(entry, now)))
    }

    /// The names of the members that serve, the own one included when `own_serves`, in order.
    pub fn serving(&self, own_serves: bool, now: MonoTime) -> Vec<VmName> {
        let live = self.members(now).filter(|(_, state)| *state == MemberState::Live);
        let mut names: Vec<VmName> = live.map(|(beat, _)| beat.vm.clone()).collect();
        if own_serves {
            names.push(self.own.clone());
        }
        names.sort();
        names
    }

    /// Whether this daemon is one of those that speak for its data centre.
    pub fn is_delegate(&self, own_serves: bool, now: MonoTime) -> bool {
        let serving = self.serving(own_serves, now);
        serving.iter().take(DELEGATES_PER_CENTRE).any(|name| *name == self.own)
    }

    /// The freshest summary of each other data centre that is young enough to act on.
    pub fn summaries(&self, now: MonoTime) -> Vec<AgedSummary<'_>> {
        let all = self.summaries.values();
        all.filter_map(|authors| self.freshest(authors, now)).collect()
    }

    fn freshest<'a>(
        &self,
        authors: &'a BTreeMap<VmName, SummaryEntry>,
        now: MonoTime,
    ) -> Option<AgedSummary<'a>> {
        let entry = authors.values().max_by_key(|entry| entry.received)?;
        let age = now.since(entry.received);
        if age > self.times.max_summary_age {
            return None;
        }
        let first = authors.values().map(|entry| entry.first_seen).min()?;
        Some(AgedSummary { summary: &entry.summary, age, seen_for: now.since(first) })
    }

    /// The versions of the summaries held, to ask a peer only for newer ones.
    pub fn summary_versions(&self) -> Vec<SummaryVersion> {
        let all = self.summaries.values().flat_map(BTreeMap::values);
        let version = |entry: &SummaryEntry| SummaryVersion {
            author: entry.summary.author.clone(),
            version: entry.summary.version,
        };
        all.map(version).collect()
    }

    /// The summaries held that are newer than what a peer holds, with their ages brought up to
    /// date.
    pub fn summaries_newer_than(
        &self,
        held: &[SummaryVersion],
        now: MonoTime,
    ) -> Vec<CentreSummary> {
        let held: BTreeMap<&VmName, (IncarnationId, u64)> =
            held.iter().map(|version| (&version.author, version.version)).collect();
        let all = self.summaries.values().flat_map(BTreeMap::values);
        let newer = |entry: &&SummaryEntry| {
            let fresh = now.since(entry.received) <= self.times.max_summary_age;
            let theirs = held.get(&entry.summary.author);
            fresh && theirs.is_none_or(|version| *version < entry.summary.version)
        };
        let aged = |entry: &SummaryEntry| {
            let age_ms = now.since(entry.received).as_millis() as u32;
            CentreSummary { age_ms, ..entry.summary.clone() }
        };
        all.filter(newer).map(aged).collect()
    }
}

/// Which summary of an author a daemon holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryVersion {
    /// The delegate that wrote it.
    pub author: VmName,
    /// Its version.
    pub version: (IncarnationId, u64),
}

/// How many data centres one data centre turns to by rank, next to its neighbours.
const RANKED_PARTNERS: usize = 2;
/// How many data centres after its own, in the order of names, one data centre turns to.
const RING_PARTNERS: usize = 2;

/// The data centres with which the delegates of `own` start exchanges: those of its region, the
/// next ones in the order of names (so that all are connected), and a few by rank (so that news
/// needs few steps). The set stays small however many data centres there are.
pub fn exchange_partners(
    own: &DataCentreName,
    centres: &[(DataCentreName, RegionName)],
) -> BTreeSet<DataCentreName> {
    let region = centres.iter().find(|(name, _)| name == own).map(|(_, region)| region);
    let mut names: Vec<&DataCentreName> = centres.iter().map(|(name, _)| name).collect();
    names.sort();
    let at = names.iter().position(|name| *name == own).unwrap_or_default();
    let near = centres.iter().filter(|(_, it)| Some(it) == region).map(|(name, _)| name.clone());
    let mut partners: BTreeSet<DataCentreName> = near.collect();
    let ring = (1..=RING_PARTNERS).map(|step| names[(at + step) % names.len().max(1)]);
    partners.extend(ring.cloned());
    let others = names.iter().copied().filter(|name| *name != own);
    let ranked = rank_by(own.as_str(), others, |name| name.as_str());
    partners.extend(ranked.into_iter().take(RANKED_PARTNERS).cloned());
    partners.remove(own);
    partners
}
