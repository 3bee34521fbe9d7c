//! The other VMs of the system, by their heartbeats.
//!
//! Inside a region each daemon sends its heartbeat to a few others in turn, and with it the pulses of
//! others that it heard: no more than whose sequence has risen. Nobody can keep a dead VM alive by
//! repeating what it said, since only a sequence that goes on rising counts. The load reports, which go
//! to everybody in a region, serve as pulses too, so that near VMs are missed sooner than far ones.
//! Between regions a few delegates speak for all VMs of theirs: they list those that they heard from
//! themselves a moment ago. A VM of which only a tag is known is asked for.

mod asks;
mod delegates;
mod messages;
mod news;
mod readers;
mod rounds;
mod senders;
mod targets;
mod views;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

pub use self::messages::{
    AskedBeats, BeatMessage, PeerBeat, PeerPhase, PeerPulse, ServiceTag, ServiceWait, VmLife, VmTag,
};
pub use self::news::{NewsNotice, OfferedRevision};
pub use self::rounds::{HeardMessage, PlannedBeats, RoundCall};
pub use self::senders::SenderView;
pub use self::targets::BeatTargets;
use self::targets::FAN_OUT;
pub use self::views::{KnownCounts, RegionTag, ViewAnswer, ViewList, ViewNotice};
use crate::ids::{DataCentreName, IncarnationId, RegionName, VmName};
use crate::opaque::service_order::{ServiceCandidate, ServiceOrder};
use crate::rank::rank_by;
use crate::time::MonoTime;
use crate::units::CoreShare;

/// The time between two rounds of heartbeats.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A process that has just started does not take the VMs that it heard of for all there are.
pub const LEARNING_TIME: Duration = Duration::from_millis(1_500);
/// The time between two rounds of such a process: its seeds may start at the same moment and not have listened yet, and
/// until it hears of others it can send nothing to their regions.
pub const LEARNING_INTERVAL: Duration = Duration::from_millis(100);
/// A VM of this region whose sequence has not risen for this long is not named to callers and gets
/// nothing. Load reports and heartbeats of it arrive several times in this time.
const NEAR_SILENT_LIMIT: Duration = Duration::from_millis(2_600);
/// The same in a region with more VMs than heartbeats reach directly within two rounds: pulses of one that has no
/// requests need up to five rounds to reach all.
const LARGE_SILENT_LIMIT: Duration = Duration::from_millis(3_600);
/// The same for VMs of other regions, of which their delegates tell; callers must not be sent to a VM
/// that has been dead for eight seconds, and a delegate may have heard of it `HEARD_LIMIT` before.
const FAR_SILENT_LIMIT: Duration = Duration::from_millis(5_000);
/// A VM of this region that was silent for this long is not named to callers while others are: one that takes
/// requests is heard of several times a second, and half of the callers of one that has died are led elsewhere a
/// second sooner.
const DOUBT_AFTER: Duration = Duration::from_millis(1_500);
/// A VM silent for this long is forgotten. Until then it counts where limits are divided.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The VM that holds a table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnVm {
    /// Its name.
    pub vm: VmName,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// The region of that data centre.
    pub region: RegionName,
    /// The processor that it has.
    pub cores: CoreShare,
}

/// The VMs heard of.
#[derive(Debug)]
pub struct PeerTable {
    own: VmName,
    data_centre: DataCentreName,
    cores: CoreShare,
    /// The lifetime of this process, as others tell it from earlier ones.
    incarnation: IncarnationId,
    region: RegionName,
    peers: BTreeMap<VmName, PeerEntry>,
    /// The names behind the tags in pulses.
    tags: HashMap<VmTag, VmName>,
    /// VMs that were told of by tags or lifetimes that are not known.
    wanted: BTreeSet<VmTag>,
    /// Whether all heartbeats were asked for after the start.
    has_asked_all: bool,
    /// Where in the common order of VMs of this data centre the next round of heartbeats begins.
    near_turn: usize,
    /// The same for VMs of other data centres of the region.
    across_turn: usize,
    /// The same for far VMs.
    far_turn: usize,
    /// The same for what is told again beside heartbeats.
    told_turn: usize,
    /// The same for the pulses that go with them.
    pulse_turn: usize,
    /// The heartbeats of which others were told last.
    told: HashMap<VmTag, (IncarnationId, u32)>,
    /// How many rounds of heartbeats were planned.
    rounds: u32,
    /// Whose turn it is to get this VM's view.
    view_turn: usize,
    /// When a list of lives was sent last.
    listed: Option<MonoTime>,
    /// When another VM told of another view last.
    differed: Option<MonoTime>,
}

impl PeerTable {
    /// An empty table of the process `incarnation` of the daemon on a VM.
    pub fn new(own: OwnVm, incarnation: IncarnationId) -> Self {
        let OwnVm { vm: own, data_centre, region, cores } = own;
        // Each VM begins at another place of the common order; if all began at the first, they would
        // all turn to the same few VMs at a time.
        let turn = VmTag::of(&own).0 as usize;
        Self {
            own,
            data_centre,
            cores,
            incarnation,
            region,
            peers: BTreeMap::new(),
            tags: HashMap::new(),
            wanted: BTreeSet::new(),
            has_asked_all: false,
            near_turn: turn,
            across_turn: turn,
            far_turn: turn,
            told_turn: turn,
            pulse_turn: turn,
            told: HashMap::new(),
            rounds: 0,
            view_turn: turn,
            listed: None,
            differed: None,
        }
    }

    /// Takes in a heartbeat. Returns whether it is news that others decide by: a new VM, a new
    /// lifetime, another phase, or the end of a silence.
    pub fn hear(&mut self, mut beat: PeerBeat, now: MonoTime) -> bool {
        if beat.vm == self.own {
            self.outlive(beat.incarnation);
            return false;
        }
        let Some(known) = self.peers.get(&beat.vm) else {
            self.tags.insert(VmTag::of(&beat.vm), beat.vm.clone());
            self.peers.insert(
                beat.vm.clone(),
                PeerEntry { beat, risen: now, heard: None, told_counts: None },
            );
            return true;
        };
        if beat.order() <= known.beat.order() {
            return false;
        }
        let is_news = !self.is_live(known, now)
            || beat.incarnation != known.beat.incarnation
            || beat.phase != known.beat.phase;
        // What was told is of the lifetime that told it.
        let is_same_life = beat.incarnation == known.beat.incarnation;
        let told_counts = known.told_counts.filter(|_| is_same_life);
        let heard = known.heard;
        if is_same_life {
            // A notice may have told of more than this heartbeat, which was sent before it.
            beat.revision = beat.revision.max(known.beat.revision);
        }
        self.peers.insert(beat.vm.clone(), PeerEntry { beat, risen: now, heard, told_counts });
        is_news
    }

    /// Takes in a pulse; as [`PeerTable::hear`]. An unknown VM, or a new lifetime of a known one, is
    /// asked for.
    pub fn hear_pulse(&mut self, pulse: PeerPulse, now: MonoTime) -> bool {
        if pulse.vm == VmTag::of(&self.own) {
            self.outlive(pulse.incarnation);
            return false;
        }
        let Some(entry) = self.entry_of(pulse.vm) else {
            self.wanted.insert(pulse.vm);
            return false;
        };
        if pulse.incarnation > entry.beat.incarnation {
            self.wanted.insert(pulse.vm);
            return false;
        }
        if (pulse.incarnation, pulse.sequence) <= entry.beat.order() {
            return false;
        }
        let beat = entry.beat.with_pulse(&pulse);
        self.hear(beat, now)
    }

    /// The lifetime of this process.
    pub fn incarnation(&self) -> IncarnationId {
        self.incarnation
    }

    /// Takes a lifetime after one that others still hold for this VM. Lifetimes are named by the time
    /// of day, which may have been set back between two starts; others ignore an earlier one.
    fn outlive(&mut self, held: IncarnationId) {
        if held > self.incarnation {
            self.incarnation = IncarnationId(held.0 + 1);
        }
    }

    /// The heartbeat held of a later lifetime of the VM that sent this one; the sender is to be told.
    pub fn later_lifetime(&self, vm: &VmName, incarnation: IncarnationId) -> Option<&PeerBeat> {
        let held = &self.peers.get(vm)?.beat;
        (held.incarnation > incarnation).then_some(held)
    }

    /// Takes in that a VM of this region reported its load: it lives.
    pub fn note_report(&mut self, vm: VmTag, incarnation: IncarnationId, now: MonoTime) {
        if let Some(entry) = self.tags.get(&vm).and_then(|name| self.peers.get_mut(name))
            && entry.beat.incarnation == incarnation
        {
            entry.risen = now;
            entry.heard = Some(now);
        }
    }

    /// Takes in that a message came from a VM itself.
    pub fn note_heard(&mut self, vm: &VmName, now: MonoTime) {
        if let Some(entry) = self.peers.get_mut(vm) {
            entry.heard = Some(now);
        }
    }

    /// Drops VMs that have been silent for very long.
    pub fn forget(&mut self, now: MonoTime) {
        self.peers.retain(|_, entry| now.since(entry.risen) < FORGET_AFTER);
        let peers = &self.peers;
        self.tags.retain(|_, name| peers.contains_key(name));
        let tags = &self.tags;
        self.told.retain(|tag, _| tags.contains_key(tag));
    }

    /// How many VMs are known, live or silent for a short time, this one included.
    pub fn assumed_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Where the VM behind a tag hears others.
    pub fn address_of(&self, tag: VmTag) -> Option<SocketAddr> {
        self.entry_of(tag).map(|entry| entry.beat.peer)
    }

    /// Whether a VM is known that hears others at this address.
    pub fn is_known_at(&self, peer: SocketAddr) -> bool {
        self.peers.values().any(|entry| entry.beat.peer == peer)
    }

    /// What is known of the VM behind a tag.
    fn entry_of(&self, tag: VmTag) -> Option<&PeerEntry> {
        self.peers.get(self.tags.get(&tag)?)
    }

    fn entry_of_mut(&mut self, tag: VmTag) -> Option<&mut PeerEntry> {
        self.peers.get_mut(self.tags.get(&tag)?)
    }

    /// Whether there are more VMs than heartbeats reach directly within two rounds.
    fn is_large(&self) -> bool {
        self.peers.len() > 2 * FAN_OUT + 2
    }

    /// Whether an entry's sequence has risen a short time ago.
    fn is_live(&self, entry: &PeerEntry, now: MonoTime) -> bool {
        let limit = match entry.beat.region == self.region {
            true if self.is_large() => LARGE_SILENT_LIMIT,
            true => NEAR_SILENT_LIMIT,
            false => FAR_SILENT_LIMIT,
        };
        now.since(entry.risen) <= limit
    }

    /// The VMs whose heartbeats go on rising.
    pub fn live(&self, now: MonoTime) -> impl Iterator<Item = &PeerBeat> {
        self.peers.values().filter(move |entry| self.is_live(entry, now)).map(|entry| &entry.beat)
    }

    /// The live VMs of this region.
    pub fn near(&self, now: MonoTime) -> impl Iterator<Item = &PeerBeat> {
        self.live(now).filter(|beat| beat.region == self.region)
    }

    /// How many VMs of this region are known, live or not; this one included.
    pub fn region_count(&self) -> usize {
        self.peers.values().filter(|entry| entry.beat.region == self.region).count() + 1
    }

    /// When something was heard of any VM of each data centre.
    pub fn heard_by_centre(&self) -> HashMap<DataCentreName, MonoTime> {
        let mut heard: HashMap<DataCentreName, MonoTime> = HashMap::new();
        for entry in self.peers.values() {
            let newest = heard.entry(entry.beat.data_centre.clone()).or_default();
            *newest = entry.risen.max(*newest);
        }
        heard
    }

    /// This VM as the order of service looks at it.
    fn own_candidate(&self) -> ServiceCandidate<'_> {
        ServiceCandidate { vm: &self.own, data_centre: &self.data_centre, cores: self.cores }
    }

    /// Whether this VM is among the first so many for a duty, in the rank for its key, which is the same at all
    /// VMs. Only those that take requests at any load have duties: they know the load of the region, and the
    /// largest VMs are among them.
    fn is_among_first(&self, count: usize, key: &str, open: Vec<ServiceCandidate<'_>>) -> bool {
        let order = ServiceOrder::of(open);
        let names = order.baseline().iter().map(|candidate| candidate.vm);
        let ranked = rank_by(key, names, |name| name.as_str());
        ranked.into_iter().take(count).any(|name| *name == self.own)
    }

    /// The VMs of this region that serve and are heard of, this one included, in the order in which they take
    /// requests.
    pub fn near_order(&self, now: MonoTime) -> ServiceOrder<'_> {
        let near = self.near(now).filter(|beat| beat.phase == PeerPhase::Serving);
        let others = near.map(ServiceCandidate::of);
        ServiceOrder::of(others.chain([self.own_candidate()]))
    }

    /// The other VMs of this region of which something has come a moment ago.
    pub fn heard_near(&self, now: MonoTime) -> BTreeSet<VmTag> {
        let near = self.peers.values().filter(|entry| entry.beat.region == self.region);
        let heard = near.filter(|entry| now.since(entry.risen) <= DOUBT_AFTER);
        heard.map(|entry| VmTag::of(&entry.beat.vm)).collect()
    }

    /// The VMs of this region of which nothing has come for a while, though they may still live.
    pub fn doubted(&self, now: MonoTime) -> BTreeSet<VmName> {
        let near = self.peers.values().filter(|entry| entry.beat.region == self.region);
        let silent = near.filter(|entry| now.since(entry.risen) > DOUBT_AFTER);
        silent.map(|entry| entry.beat.vm.clone()).collect()
    }
}

/// What is known of one VM.
#[derive(Debug, Clone)]
struct PeerEntry {
    beat: PeerBeat,
    /// When its sequence rose last, a load report of it came, or its delegate told of it.
    risen: MonoTime,
    /// When a message came from itself.
    heard: Option<MonoTime>,
    /// How many VMs it knows, as it told last.
    told_counts: Option<KnownCounts>,
}
