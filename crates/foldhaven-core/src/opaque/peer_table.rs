//! The other VMs of the system, by their heartbeats.
//!
//! Each daemon sends its own heartbeat to a few others in turn, and with it the newest ones that it
//! heard. What counts is whether a VM's sequence goes on rising, so that nobody can keep a dead VM
//! alive by repeating what it said.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{DataCentreName, IncarnationId, RegionName, ServiceName, VmName};
use crate::opaque::route_table::RouteVersion;
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// Between two rounds of heartbeats.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How many VMs get a heartbeat in one round.
const FAN_OUT: usize = 4;
/// How many heartbeats of others go with one's own, where not everybody is reached in two rounds.
const RELAYED: usize = 6;
/// A VM whose sequence has not risen for this long is not named to callers and gets nothing.
const SILENT_LIMIT: Duration = Duration::from_millis(2_600);
/// A VM silent for this long is forgotten. Until then it counts where limits are divided.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// What a VM says of itself for others' decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerPhase {
    /// It has no description yet.
    Starting,
    /// It takes requests.
    Serving,
    /// It is about to end and takes nothing new.
    Leaving,
}

/// A service in messages between VMs: the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServiceTag(pub u32);

impl ServiceTag {
    /// The tag of a service.
    pub fn of(name: &ServiceName) -> Self {
        Self(rank_hash(&[name.as_str()]) as u32)
    }
}

/// The wait that a request of a service would meet in a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWait {
    /// The service.
    pub service: ServiceTag,
    /// The wait in milliseconds.
    pub wait_ms: u16,
}

/// The heartbeat of a VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerBeat {
    /// The VM.
    pub vm: VmName,
    /// The process lifetime; a later one is larger.
    pub incarnation: IncarnationId,
    /// Rises with each heartbeat of one lifetime.
    pub sequence: u32,
    /// The data centre that it stands in.
    pub data_centre: DataCentreName,
    /// The region of that data centre.
    pub region: RegionName,
    /// Where callers reach it.
    pub caller: SocketAddr,
    /// Where other VMs reach it.
    pub peer: SocketAddr,
    /// What it does.
    pub phase: PeerPhase,
    /// The description that it has in force.
    pub version: RouteVersion,
    /// How far it has read the platform's changes.
    pub revision: u64,
    /// For each service that has upstreams in its region: the wait that a request would meet there.
    pub waits: Vec<ServiceWait>,
}

/// What one VM sends another in a round.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BeatMessage {
    /// The sender's heartbeat.
    pub own: PeerBeat,
    /// Heartbeats that the sender heard.
    pub heard: Vec<PeerBeat>,
    /// Whether the sender knows nobody yet and asks for all heartbeats.
    pub asks_all: bool,
}

#[derive(Debug, Clone)]
struct PeerEntry {
    beat: PeerBeat,
    risen: MonoTime,
}

/// The VMs heard of.
#[derive(Debug)]
pub struct PeerTable {
    own: VmName,
    peers: BTreeMap<VmName, PeerEntry>,
    turn: usize,
}

impl PeerTable {
    /// An empty table of the daemon `own`.
    pub fn new(own: VmName) -> Self {
        Self { own, peers: BTreeMap::new(), turn: 0 }
    }

    /// Takes in a heartbeat. Returns whether it is news that others decide by: a new VM, a new
    /// lifetime, or another phase.
    pub fn hear(&mut self, beat: PeerBeat, now: MonoTime) -> bool {
        if beat.vm == self.own {
            return false;
        }
        let Some(known) = self.peers.get_mut(&beat.vm) else {
            self.peers.insert(beat.vm.clone(), PeerEntry { beat, risen: now });
            return true;
        };
        let order = |beat: &PeerBeat| (beat.incarnation, beat.sequence);
        if order(&beat) <= order(&known.beat) {
            return false;
        }
        let is_back = now.since(known.risen) > SILENT_LIMIT;
        let is_news = beat.incarnation != known.beat.incarnation || beat.phase != known.beat.phase;
        *known = PeerEntry { beat, risen: now };
        is_news || is_back
    }

    /// Drops VMs that have been silent for very long.
    pub fn forget(&mut self, now: MonoTime) {
        self.peers.retain(|_, entry| now.since(entry.risen) < FORGET_AFTER);
    }

    /// How many VMs may exist, this one included; limits are divided by it.
    pub fn assumed_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Whether any other VM has been heard.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// The VMs whose heartbeats go on rising.
    pub fn live(&self, now: MonoTime) -> impl Iterator<Item = &PeerBeat> {
        let is_live = move |entry: &&PeerEntry| now.since(entry.risen) <= SILENT_LIMIT;
        self.peers.values().filter(is_live).map(|entry| &entry.beat)
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
        self.turn = (self.turn + count) % all.len();
        targets
    }

    /// The addresses of all VMs, for news that does not wait for its turn.
    pub fn all_addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|entry| entry.beat.peer).collect()
    }

    /// The heartbeats that go with one's own: none where everybody is reached directly, else the
    /// ones that were heard last.
    pub fn relayed(&self, now: MonoTime) -> Vec<PeerBeat> {
        if self.peers.len() <= 2 * FAN_OUT + 2 {
            return Vec::new();
        }
        let mut fresh: Vec<&PeerEntry> = self.peers.values().collect();
        fresh.retain(|entry| now.since(entry.risen) <= SILENT_LIMIT);
        fresh.sort_by_key(|entry| std::cmp::Reverse(entry.risen));
        fresh.into_iter().take(RELAYED).map(|entry| entry.beat.clone()).collect()
    }
}
