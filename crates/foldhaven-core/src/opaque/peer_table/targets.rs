//! Whom a round of heartbeats goes to, and which pulses go with it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{PeerBeat, PeerPulse, PeerTable};
use crate::ids::RegionName;
use crate::time::MonoTime;

/// How many VMs of the region get a heartbeat in one round.
const FAN_OUT: usize = 4;
/// A VM that is no delegate sends a heartbeat to one far VM in so many rounds, so that halves that
/// lost each other meet again whoever their delegates are.
const FAR_ROUNDS: u32 = 16;
/// How many pulses of others go with one's own heartbeat.
const RELAYED: usize = 24;

/// Whom a round of heartbeats goes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BeatTargets {
    /// VMs of this region.
    pub near: Vec<SocketAddr>,
    /// VMs of other regions; they are told of others by delegates, and get no pulses.
    pub far: Vec<SocketAddr>,
}

impl PeerTable {
    /// The VMs that get the next round: a few of this region in turn, and of the other regions one each
    /// from a delegate; silent ones too, so that cuts that have healed are noticed.
    pub fn next_targets(&mut self, now: MonoTime) -> BeatTargets {
        self.rounds += 1;
        let near = self.addresses_of(|region, own| region == own);
        let near = take_in_turn(&near, FAN_OUT, &mut self.near_turn);
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
        take_in_turn(&all, RELAYED, &mut self.pulse_turn)
    }
}

/// At most so many of the items, from the one whose turn it is; the next call begins after them.
fn take_in_turn<T: Copy>(items: &[T], most: usize, turn: &mut usize) -> Vec<T> {
    let count = most.min(items.len());
    let taken = (0..count).map(|step| items[(*turn + step) % items.len()]).collect();
    *turn += count;
    taken
}
