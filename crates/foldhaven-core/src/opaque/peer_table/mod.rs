//! The other VMs of the system, by their heartbeats.
//!
//! Inside a region each daemon sends its heartbeat to a few others in turn, and with it the pulses of
//! others that it heard: no more than whose sequence has risen. Nobody can keep a dead VM alive by
//! repeating what it said, since only a sequence that goes on rising counts. The load reports, which go
//! to everybody in a region, serve as pulses too, so that near VMs are missed sooner than far ones.
//! Between regions a few delegates speak for all VMs of theirs: they list those that they heard from
//! themselves a moment ago. A VM of which only a tag is known is asked for.

mod messages;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

pub use self::messages::{
    AskedBeats, BeatMessage, PeerBeat, PeerPhase, PeerPulse, ServiceTag, ServiceWait, VmLife, VmTag,
};
use crate::ids::{DataCentreName, IncarnationId, RegionName, VmName};
use crate::rank::rank_by;
use crate::time::MonoTime;

/// The time between two rounds of heartbeats.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How many VMs of the region get a heartbeat in one round.
const FAN_OUT: usize = 4;
/// A VM that is no delegate sends a heartbeat to one far VM in so many rounds, so that halves that
/// lost each other meet again whoever their delegates are.
const FAR_ROUNDS: u32 = 16;
/// How many pulses of others go with one's own heartbeat.
const RELAYED: usize = 24;
/// A VM of this region whose sequence has not risen for this long is not named to callers and gets
/// nothing. Load reports and heartbeats of it arrive several times in this time.
const NEAR_SILENT_LIMIT: Duration = Duration::from_millis(2_600);
/// The same for VMs of other regions, of which their delegates tell; callers must not be sent to a VM
/// that has been dead for eight seconds, and a delegate may have heard of it [`HEARD_LIMIT`] before.
const FAR_SILENT_LIMIT: Duration = Duration::from_millis(5_000);
/// A delegate tells of VMs that it heard from itself within this time.
const HEARD_LIMIT: Duration = Duration::from_millis(1_200);
/// How many VMs of a region tell the other regions of it.
const DELEGATES: usize = 2;
/// The key by which they are ranked.
const DELEGATE_KEY: &str = "region-delegate";
/// How many VMs of a larger region read the platform. Each call has a price.
const READERS: usize = 2;
/// The key by which they are ranked.
const READER_KEY: &str = "platform-reader";
/// So many VMs of this region that cannot read the platform tell of an outage for all, fewer of a
/// fault of their own.
const OUTAGE_REPORTS: usize = 2;
/// A VM silent for this long is forgotten. Until then it counts where limits are divided.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// The VMs heard of.
#[derive(Debug)]
pub struct PeerTable {
    own: VmName,
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
    /// Where in the common order of near VMs the next round of heartbeats begins.
    turn: usize,
    /// The same for far VMs.
    far_turn: usize,
    /// How many rounds of heartbeats were planned.
    rounds: u32,
    /// The same for the pulses that go with them.
    pulse_turn: usize,
}

impl PeerTable {
    /// Where a region has no more other VMs than this, each VM reads the platform itself: few calls
    /// are saved, and a VM that reads learns of a change within milliseconds.
    pub const ALL_READ: usize = 4;

    /// An empty table of the process `incarnation` of the daemon `own` in a region.
    pub fn new(own: VmName, incarnation: IncarnationId, region: RegionName) -> Self {
        // Each VM begins at another place of the common order; if all began at the first, they would
        // all turn to the same few VMs at a time.
        let turn = VmTag::of(&own).0 as usize;
        Self {
            own,
            incarnation,
            region,
            peers: BTreeMap::new(),
            tags: HashMap::new(),
            wanted: BTreeSet::new(),
            has_asked_all: false,
            turn,
            far_turn: turn,
            rounds: 0,
            pulse_turn: turn,
        }
    }

    /// Takes in a heartbeat. Returns whether it is news that others decide by: a new VM, a new
    /// lifetime, another phase, or the end of a silence.
    pub fn hear(&mut self, beat: PeerBeat, now: MonoTime) -> bool {
        if beat.vm == self.own {
            self.outlive(beat.incarnation);
            return false;
        }
        let Some(known) = self.peers.get(&beat.vm) else {
            self.tags.insert(VmTag::of(&beat.vm), beat.vm.clone());
            self.peers.insert(beat.vm.clone(), PeerEntry { beat, risen: now, heard: None });
            return true;
        };
        if beat.order() <= known.beat.order() {
            return false;
        }
        let is_news = !self.is_live(known, now)
            || beat.incarnation != known.beat.incarnation
            || beat.phase != known.beat.phase;
        let heard = known.heard;
        self.peers.insert(beat.vm.clone(), PeerEntry { beat, risen: now, heard });
        is_news
    }

    /// Takes in a pulse; as [`PeerTable::hear`]. An unknown VM, or a new lifetime of a known one, is
    /// asked for.
    pub fn hear_pulse(&mut self, pulse: PeerPulse, now: MonoTime) -> bool {
        if pulse.vm == VmTag::of(&self.own) {
            self.outlive(pulse.incarnation);
            return false;
        }
        let Some(entry) = self.tags.get(&pulse.vm).and_then(|name| self.peers.get(name)) else {
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

    /// Takes in the VMs that serve in another region, as a delegate of it tells. Returns whether it is
    /// news that others decide by.
    pub fn note_lives(&mut self, lives: &[VmLife], now: MonoTime) -> bool {
        let mut is_news = false;
        for life in lives {
            let Some(entry) = self.tags.get(&life.vm).and_then(|name| self.peers.get(name)) else {
                self.wanted.insert(life.vm);
                continue;
            };
            if entry.beat.life() != *life {
                self.wanted.insert(life.vm);
                continue;
            }
            is_news |= !self.is_live(entry, now) || entry.beat.phase == PeerPhase::Starting;
            let name = entry.beat.vm.clone();
            if let Some(entry) = self.peers.get_mut(&name) {
                entry.risen = now;
                // One that leaves tells so itself, and a delegate may not have heard it yet.
                if entry.beat.phase == PeerPhase::Starting {
                    entry.beat.phase = PeerPhase::Serving;
                }
            }
        }
        is_news
    }

    /// The VMs of this region that serve, of those that were heard from a moment ago; without this one.
    pub fn heard_lives(&self, now: MonoTime) -> Vec<VmLife> {
        let near = self.peers.values().filter(|entry| entry.beat.region == self.region);
        let heard = near.filter(|entry| {
            let is_recent = entry.heard.is_some_and(|heard| now.since(heard) < HEARD_LIMIT);
            is_recent && entry.beat.phase == PeerPhase::Serving
        });
        heard.map(|entry| entry.beat.life()).collect()
    }

    /// Whether this VM is one of those of its region that speak for it in the others.
    pub fn is_delegate(&self, now: MonoTime) -> bool {
        let serving = self.near(now).filter(|beat| beat.phase == PeerPhase::Serving);
        let mut names: Vec<&VmName> = serving.map(|beat| &beat.vm).collect();
        names.push(&self.own);
        let ranked = rank_by(DELEGATE_KEY, names, |name| name.as_str());
        ranked.into_iter().take(DELEGATES).any(|name| *name == self.own)
    }

    /// Which heartbeats the next round asks for: all of them after the start, later those of VMs that
    /// were told of and are not known.
    pub fn take_asks(&mut self) -> AskedBeats {
        let is_first = !std::mem::replace(&mut self.has_asked_all, true);
        let wanted = std::mem::take(&mut self.wanted);
        match is_first || self.peers.is_empty() {
            true => AskedBeats::All,
            false => AskedBeats::Of(wanted.into_iter().collect()),
        }
    }

    /// The heartbeats that were asked for, of those that are held.
    pub fn answers(&self, asked: &AskedBeats, now: MonoTime) -> Vec<PeerBeat> {
        match asked {
            AskedBeats::All => self.live(now).cloned().collect(),
            AskedBeats::Of(tags) => {
                let names = tags.iter().filter_map(|tag| self.tags.get(tag));
                let held = names.filter_map(|name| self.peers.get(name));
                held.filter(|entry| self.is_live(entry, now)).map(|it| it.beat.clone()).collect()
            }
        }
    }

    /// Drops VMs that have been silent for very long.
    pub fn forget(&mut self, now: MonoTime) {
        self.peers.retain(|_, entry| now.since(entry.risen) < FORGET_AFTER);
        let peers = &self.peers;
        self.tags.retain(|_, name| peers.contains_key(name));
    }

    /// How many VMs may exist, this one included; limits are divided by it.
    pub fn assumed_count(&self) -> usize {
        self.peers.len() + 1
    }

    fn is_live(&self, entry: &PeerEntry, now: MonoTime) -> bool {
        let limit = match entry.beat.region == self.region {
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

    /// When something was heard of any VM of each data centre.
    pub fn heard_by_centre(&self) -> HashMap<DataCentreName, MonoTime> {
        let mut heard: HashMap<DataCentreName, MonoTime> = HashMap::new();
        for entry in self.peers.values() {
            let newest = heard.entry(entry.beat.data_centre.clone()).or_default();
            *newest = entry.risen.max(*newest);
        }
        heard
    }

    /// Whether this VM is one of those of its region that read the platform; the others are told by
    /// them. VMs that the platform turns away do not count, unless it turns everybody away.
    pub fn is_reader(&self, is_turned_away: bool, now: MonoTime) -> bool {
        let near: Vec<&PeerBeat> = self.near(now).collect();
        if near.len() < Self::ALL_READ {
            return true;
        }
        let mut open: Vec<&VmName> = near
            .iter()
            .filter(|beat| !beat.is_turned_away && beat.phase == PeerPhase::Serving)
            .map(|beat| &beat.vm)
            .collect();
        if open.is_empty() {
            return true;
        }
        if !is_turned_away {
            open.push(&self.own);
        }
        let ranked = rank_by(READER_KEY, open, |name| name.as_str());
        // One that is turned away goes on asking, or it would not learn that this is over.
        is_turned_away || ranked.into_iter().take(READERS).any(|name| *name == self.own)
    }

    /// Whether VMs of this region tell of an outage of the platform. One that does not read it itself
    /// learns of outages in no other way.
    pub fn hears_of_outage(&self, now: MonoTime) -> bool {
        self.near(now).filter(|beat| beat.is_turned_away).count() >= OUTAGE_REPORTS
    }

    /// The VMs that get the next round: a few of this region in turn, and of the other regions one each
    /// from a delegate; silent ones too, so that cuts that have healed are noticed.
    pub fn next_targets(&mut self, now: MonoTime) -> BeatTargets {
        self.rounds += 1;
        let near = self.addresses_of(|region, own| region == own);
        let count = FAN_OUT.min(near.len());
        let near = (0..count).map(|step| near[(self.turn + step) % near.len()]).collect();
        self.turn += count;
        BeatTargets { near, far: self.next_far_targets(now) }
    }

    fn next_far_targets(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        if self.is_delegate(now) {
            return self.one_of_each_region();
        }
        if !self.rounds.is_multiple_of(FAR_ROUNDS) {
            return Vec::new();
        }
        let far = self.addresses_of(|region, own| region != own);
        self.far_turn += 1;
        far.get(self.far_turn % far.len().max(1)).copied().into_iter().collect()
    }

    /// One VM of each other region, another one each time.
    pub fn one_of_each_region(&mut self) -> Vec<SocketAddr> {
        let far = self.peers.values().filter(|entry| entry.beat.region != self.region);
        let mut regions: BTreeMap<&RegionName, Vec<SocketAddr>> = BTreeMap::new();
        for entry in far {
            regions.entry(&entry.beat.region).or_default().push(entry.beat.peer);
        }
        self.far_turn += 1;
        regions.into_values().map(|peers| peers[self.far_turn % peers.len()]).collect()
    }

    fn addresses_of(&self, is_meant: impl Fn(&RegionName, &RegionName) -> bool) -> Vec<SocketAddr> {
        let entries = self.peers.values();
        let meant = entries.filter(|entry| is_meant(&entry.beat.region, &self.region));
        meant.map(|entry| entry.beat.peer).collect()
    }

    /// The addresses of all VMs, for news that does not wait for its turn.
    pub fn all_addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|entry| entry.beat.peer).collect()
    }

    /// The pulses that go with one's own heartbeat: none where everybody near is reached directly within
    /// two rounds, else those of live VMs in turn.
    pub fn relayed(&mut self, now: MonoTime) -> Vec<PeerPulse> {
        if self.peers.len() <= 2 * FAN_OUT + 2 {
            return Vec::new();
        }
        let all: Vec<PeerPulse> = self.live(now).map(PeerBeat::pulse).collect();
        let count = RELAYED.min(all.len());
        let pulses = (0..count).map(|step| all[(self.pulse_turn + step) % all.len()]).collect();
        self.pulse_turn += count;
        pulses
    }
}

/// Whom a round of heartbeats goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BeatTargets {
    /// VMs of this region.
    pub near: Vec<SocketAddr>,
    /// VMs of other regions; they are told of others by delegates, and get no pulses.
    pub far: Vec<SocketAddr>,
}

#[derive(Debug, Clone)]
struct PeerEntry {
    beat: PeerBeat,
    /// When its sequence rose last, a load report of it came, or its delegate told of it.
    risen: MonoTime,
    /// When a message came from itself.
    heard: Option<MonoTime>,
}
