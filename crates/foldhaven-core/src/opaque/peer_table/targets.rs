//! Whom a round of heartbeats goes to, and which pulses go with it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{PeerBeat, PeerEntry, PeerPhase, PeerPulse, PeerTable, VmTag};
use crate::ids::RegionName;
use crate::opaque::service_order::{ServiceCandidate, ServiceOrder};
use crate::time::MonoTime;

/// How many VMs of the region get a heartbeat in one round.
pub(super) const FAN_OUT: usize = 4;
/// How many of them stand in other data centres, where there are several: bytes between data centres are paid for.
const FAN_OUT_ACROSS: usize = 1;
/// A VM that is no delegate sends a heartbeat to one far VM in so many rounds, so that halves that
/// lost each other meet again whoever their delegates are.
const FAR_ROUNDS: u32 = 16;
/// How many pulses of others go with one's own heartbeat.
pub(super) const RELAYED: usize = 48;

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
        let near = self.peers.values().filter(|entry| entry.beat.region == self.region);
        let (same, across): (Vec<&PeerEntry>, Vec<&PeerEntry>) =
            near.partition(|entry| entry.beat.data_centre == self.data_centre);
        let addresses =
            |it: Vec<&PeerEntry>| it.iter().map(|it| it.beat.peer).collect::<Vec<SocketAddr>>();
        let (same, across) = (addresses(same), addresses(across));
        let within = FAN_OUT.saturating_sub(across.len().min(FAN_OUT_ACROSS));
        let mut near = take_in_turn(&same, within, &mut self.near_turn);
        let left = FAN_OUT - near.len();
        near.extend(take_in_turn(&across, left, &mut self.across_turn));
        BeatTargets { near, far: self.next_far_targets(now) }
    }

    /// The VMs that are told again in a round of something that may have been lost: a few of this region in turn, and of the
    /// other regions one each from a delegate. Their turn is not the one of heartbeats: of two that take turns in one, each
    /// might always meet the same VMs.
    pub fn next_told_targets(&mut self, now: MonoTime) -> BeatTargets {
        let near = self.addresses_of(|region, own| region == own);
        let near = take_in_turn(&near, FAN_OUT, &mut self.told_turn);
        let far = match self.is_delegate(now) {
            true => self.one_of_each_region_at(self.told_turn),
            false => Vec::new(),
        };
        BeatTargets { near, far }
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
        self.far_turn += 1;
        self.one_of_each_region_at(self.far_turn)
    }

    fn one_of_each_region_at(&self, turn: usize) -> Vec<SocketAddr> {
        let far = self.peers.values().filter(|entry| entry.beat.region != self.region);
        let mut regions: BTreeMap<&RegionName, Vec<SocketAddr>> = BTreeMap::new();
        for entry in far {
            regions.entry(&entry.beat.region).or_default().push(entry.beat.peer);
        }
        regions.into_values().map(|peers| peers[turn % peers.len()]).collect()
    }

    /// One VM of each other region that takes requests there, another one each time: it hears and tells the
    /// others of its region most often.
    pub fn one_in_service_of_each_region(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        self.far_turn += 1;
        let turn = self.far_turn;
        let serving = self.live(now).filter(|beat| beat.phase == PeerPhase::Serving);
        let far = serving.filter(|beat| beat.region != self.region);
        let mut regions: BTreeMap<&RegionName, Vec<&PeerBeat>> = BTreeMap::new();
        for beat in far {
            regions.entry(&beat.region).or_default().push(beat);
        }
        let in_turn = regions.into_values().filter_map(|beats| {
            let order = ServiceOrder::of(beats.iter().map(|beat| ServiceCandidate::of(beat)));
            let standing = order.baseline();
            let chosen = standing.get(turn % standing.len().max(1))?;
            beats.iter().find(|beat| beat.vm == *chosen.vm).map(|beat| beat.peer)
        });
        in_turn.collect()
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
    /// two rounds, else those of live VMs of the region of which this one has told nobody yet. Of far ones their
    /// delegates tell.
    pub fn relayed(&mut self, now: MonoTime) -> Vec<PeerPulse> {
        if !self.is_large() {
            return Vec::new();
        }
        let news = self.near(now).filter(|beat| self.is_to_be_told(beat));
        let news: Vec<PeerPulse> = news.map(PeerBeat::pulse).collect();
        let told = take_in_turn(&news, RELAYED, &mut self.pulse_turn);
        for pulse in &told {
            self.told.insert(pulse.vm, (pulse.incarnation, pulse.sequence));
        }
        told
    }

    /// Whether others were not told yet of a heartbeat. Telling of it once is enough: four VMs hear it from each
    /// that heard it, and a higher sequence comes within seconds.
    fn is_to_be_told(&self, beat: &PeerBeat) -> bool {
        self.told.get(&VmTag::of(&beat.vm)).is_none_or(|told| beat.order() > *told)
    }
}

/// At most so many of the items, from the one whose turn it is; the next call begins after them.
fn take_in_turn<T: Copy>(items: &[T], most: usize, turn: &mut usize) -> Vec<T> {
    let count = most.min(items.len());
    let taken = (0..count).map(|step| items[(*turn + step) % items.len()]).collect();
    *turn += count;
    taken
}
