//! The other VMs of the system, by their heartbeats.
//!
//! Each daemon sends its own heartbeat to a few others in turn, and with it the pulses of others that
//! it heard: no more than whose sequence has risen. A pulse of an unknown VM makes the receiver ask for
//! all heartbeats. Nobody can keep a dead VM alive by repeating what it said, since only a sequence
//! that goes on rising counts. Inside a region the load reports, which go to everybody there, serve as
//! pulses too, so that near VMs are missed sooner than far ones.

mod messages;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

pub use self::messages::{
    BeatMessage, PeerBeat, PeerPhase, PeerPulse, ServiceTag, ServiceWait, VmTag,
};
use crate::ids::{IncarnationId, RegionName, VmName};
use crate::rank::rank_by;
use crate::time::MonoTime;

/// The time between two rounds of heartbeats.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How many VMs get a heartbeat in one round.
const FAN_OUT: usize = 4;
/// How many pulses of others go with one's own heartbeat.
const RELAYED: usize = 24;
/// A VM of this region whose sequence has not risen for this long is not named to callers and gets
/// nothing. Load reports and heartbeats of it arrive several times in this time.
const NEAR_SILENT_LIMIT: Duration = Duration::from_millis(2_600);
/// The same for VMs of other regions, whose pulses come through others; callers must not be sent to a
/// VM that has been dead for eight seconds.
const FAR_SILENT_LIMIT: Duration = Duration::from_millis(5_000);
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
    /// Whether no pulse of an unknown VM or lifetime came since all heartbeats were asked for.
    knows_all: bool,
    /// Where in the common order of VMs the next round of heartbeats begins.
    turn: usize,
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
            knows_all: false,
            turn,
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
            self.peers.insert(beat.vm.clone(), PeerEntry { beat, risen: now });
            return true;
        };
        if beat.order() <= known.beat.order() {
            return false;
        }
        let is_news = !self.is_live(known, now)
            || beat.incarnation != known.beat.incarnation
            || beat.phase != known.beat.phase;
        self.peers.insert(beat.vm.clone(), PeerEntry { beat, risen: now });
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
            self.knows_all = false;
            return false;
        };
        if pulse.incarnation > entry.beat.incarnation {
            self.knows_all = false;
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
        }
    }

    /// Whether the next round asks for all heartbeats; it does so once for each unknown VM heard of.
    pub fn take_asks_all(&mut self) -> bool {
        self.peers.is_empty() || !std::mem::replace(&mut self.knows_all, true)
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

    /// The VMs that get the next round: a few in turn, silent ones too, so that cuts that have
    /// healed are noticed.
    pub fn next_targets(&mut self) -> Vec<SocketAddr> {
        let all: Vec<SocketAddr> = self.peers.values().map(|entry| entry.beat.peer).collect();
        if all.is_empty() {
            return all;
        }
        let count = FAN_OUT.min(all.len());
        let targets = (0..count).map(|step| all[(self.turn + step) % all.len()]).collect();
        self.turn += count;
        targets
    }

    /// The addresses of all VMs, for news that does not wait for its turn.
    pub fn all_addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|entry| entry.beat.peer).collect()
    }

    /// The pulses that go with one's own heartbeat: none where everybody is reached directly within
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

#[derive(Debug, Clone)]
struct PeerEntry {
    beat: PeerBeat,
    /// When its sequence rose last, or a load report of it came.
    risen: MonoTime,
}
