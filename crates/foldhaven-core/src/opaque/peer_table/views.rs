//! Compares which VMs of a region two VMs hold to live, and mends what differs.
//!
//! The pattern that it answers: two VMs that both know a third and not each other. Each sends heartbeats to those that it knows;
//! in a small region nobody repeats what others said, and who has heard of somebody does not ask for all again. In each
//! round a VM sends a digest of the lives that it knows to one other. One whose digest differs answers with the list of
//! its lives; whoever gets that tells what the list lacks and asks for what it lacks itself. This is anti-entropy by
//! push and pull (Demers et al., 1987) with a digest in front, so that agreement costs one small message a round.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rounds::told_beats;
use super::targets::RELAYED;
use super::{
    AskedBeats, BEAT_INTERVAL, BeatMessage, LEARNING_INTERVAL, PeerBeat, PeerTable, PlannedBeats,
    VmLife, VmTag,
};
use crate::ids::{IncarnationId, RegionName};
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// Between two lists of lives that a VM sends, so that views that go on changing while many VMs start cost little: a list
/// of 295 lives has 1.8 KB.
const LIST_PAUSE: Duration = Duration::from_millis(200);
/// The most heartbeats that one list is answered with.
const MOST_TOLD: usize = 112;

/// So long after a VM met another view it tells its own to more VMs.
const DIFFERED_FOR: Duration = Duration::from_millis(2_000);
/// The time between two rounds of a VM that met another view. With one message in twenty lost, four rounds in two
/// seconds left a VM unknown in 1 of 400 cuts of 4 VMs that healed.
const DIFFERED_INTERVAL: Duration = Duration::from_millis(200);

/// The most VMs of a region that hurry: those whose pulses three messages hold.
const MOST_HURRYING: usize = 3 * RELAYED;

/// A region in messages between VMs: the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RegionTag(pub u32);

impl RegionTag {
    /// The tag of a region.
    pub fn of(name: &RegionName) -> Self {
        Self(rank_hash(&[name.as_str()]) as u32)
    }
}

/// Which VMs of its region a VM holds to live, in short.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewNotice {
    /// The VM.
    pub vm: VmTag,
    /// Its process lifetime.
    pub incarnation: IncarnationId,
    /// Its region.
    pub region: RegionTag,
    /// The same at all VMs that hold the same lives.
    pub lives: u64,
    /// How many VMs it knows, itself included.
    pub known: KnownCounts,
}

/// How many VMs one of them knows, live or silent for a short time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownCounts {
    /// In its region.
    pub near: u16,
    /// In all regions.
    pub all: u16,
}

/// The lives of one region that a VM knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewList {
    /// The VM.
    pub vm: VmTag,
    /// The region.
    pub region: RegionTag,
    /// Its lives, the sender's among them where it stands there.
    pub lives: Vec<VmLife>,
}

/// A view in short or in full, with its receiver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewAnswer {
    /// The views agree, or the other one is not known yet.
    Nothing,
    /// The list of the lives that this VM knows.
    List(SocketAddr, ViewList),
}

impl PeerTable {
    /// A number that two VMs share when they hold the same lives of a region, each its own among them; other sets of lives
    /// hardly ever have the same one.
    pub fn region_digest(&self, now: MonoTime) -> u64 {
        digest_of(self.lives_of(RegionTag::of(&self.region), now).into_iter())
    }

    /// The lives of a region that this VM knows, its own among them where it stands there.
    fn lives_of(&self, region: RegionTag, now: MonoTime) -> BTreeSet<VmLife> {
        let of_region = self.live(now).filter(|beat| RegionTag::of(&beat.region) == region);
        let mut lives: BTreeSet<VmLife> = of_region.map(PeerBeat::life).collect();
        if RegionTag::of(&self.region) == region {
            lives.insert(VmLife::of(&self.own, self.incarnation));
        }
        lives
    }

    /// Takes in the view of another VM in short.
    pub fn take_view(&mut self, notice: &ViewNotice, now: MonoTime) -> ViewAnswer {
        let own = digest_of(self.lives_of(notice.region, now).into_iter());
        let Some(entry) = self.entry_of_mut(notice.vm) else {
            self.wanted.insert(notice.vm);
            return ViewAnswer::Nothing;
        };
        if entry.beat.incarnation != notice.incarnation {
            return ViewAnswer::Nothing;
        }
        entry.told_counts = Some(notice.known);
        let target = entry.beat.peer;
        if own == notice.lives {
            return ViewAnswer::Nothing;
        }
        // Of another region this VM hears late, and hurrying would bring no news of it.
        if notice.region == RegionTag::of(&self.region) {
            self.differed = Some(now);
        }
        if self.listed.is_some_and(|listed| now.since(listed) < LIST_PAUSE) {
            return ViewAnswer::Nothing;
        }
        self.listed = Some(now);
        let lives = self.lives_of(notice.region, now).into_iter().collect();
        let list = ViewList { vm: VmTag::of(&self.own), region: notice.region, lives };
        ViewAnswer::List(target, list)
    }

    /// Takes in the lives that another VM knows. Returns the heartbeats that it lacks, and asks for those that are not
    /// known here, where `own` is this VM's.
    pub fn take_list(&mut self, list: &ViewList, own: &PeerBeat, now: MonoTime) -> PlannedBeats {
        let Some(teller) = self.entry_of(list.vm).map(|entry| entry.beat.peer) else {
            self.wanted.insert(list.vm);
            return PlannedBeats::new();
        };
        if list.region == RegionTag::of(&self.region) {
            self.differed = Some(now);
        }
        let theirs: BTreeMap<VmTag, u16> =
            list.lives.iter().map(|life| (life.vm, life.lifetime)).collect();
        let mine = self.lives_of(list.region, now);
        let lacked = mine.iter().filter(|life| theirs.get(&life.vm) != Some(&life.lifetime));
        let lacked = lacked.filter_map(|life| self.entry_of(life.vm));
        let told: Vec<PeerBeat> = lacked.map(|entry| entry.beat.clone()).take(MOST_TOLD).collect();
        let own_tag = VmTag::of(&self.own);
        // One that is known and silent here is asked for too: it may have been cut off.
        let unknown = list.lives.iter().filter(|life| life.vm != own_tag && !mine.contains(life));
        let asked: Vec<VmTag> = unknown.map(|life| life.vm).collect();
        let mut planned = told_beats(teller, own, told);
        if !asked.is_empty() {
            let asks = AskedBeats::Of(asked);
            planned
                .push((teller, BeatMessage { asks, ..BeatMessage::of(own.clone(), Vec::new()) }));
        }
        planned
    }

    /// Whom this VM's view goes to in a round: while it is learning, and a moment after it met another view, all that get
    /// its heartbeats; later one of its region in turn. Seeds get it with each heartbeat, as a VM that nobody of its
    /// region knows is known to them alone.
    pub fn view_targets(
        &mut self,
        beats: &PlannedBeats,
        is_learning: bool,
        now: MonoTime,
    ) -> Vec<SocketAddr> {
        let near: BTreeSet<SocketAddr> = self.near_addresses();
        let (near, far): (Vec<SocketAddr>, Vec<SocketAddr>) =
            beats.iter().map(|(target, _)| *target).partition(|target| near.contains(target));
        self.view_turn += 1;
        let in_turn = near.get(self.view_turn % near.len().max(1)).copied();
        match is_learning || self.has_differed(now) {
            true => near.into_iter().chain(far).collect(),
            false => in_turn.into_iter().chain(far).collect(),
        }
    }

    /// The time until the next round of heartbeats.
    pub fn round_pause(&self, is_learning: bool, now: MonoTime) -> Duration {
        match (is_learning, self.has_differed(now)) {
            (true, _) => LEARNING_INTERVAL,
            (false, true) => DIFFERED_INTERVAL,
            (false, false) => BEAT_INTERVAL,
        }
    }

    /// Whether this VM met another view a moment ago, and hurrying helps. In a region of more VMs than pulses can keep alive at
    /// all others, views differ at any time: hurrying there doubled the bytes of 300 VMs in calm, from 5.1 to 10.4 KB/s.
    fn has_differed(&self, now: MonoTime) -> bool {
        let is_recent = self.differed.is_some_and(|differed| now.since(differed) < DIFFERED_FOR);
        is_recent && self.region_count() <= MOST_HURRYING
    }

    fn near_addresses(&self) -> BTreeSet<SocketAddr> {
        let near = self.peers.values().filter(|entry| entry.beat.region == self.region);
        near.map(|entry| entry.beat.peer).collect()
    }

    /// How many VMs this one knows, itself included.
    pub fn known_counts(&self) -> KnownCounts {
        let count = |count: usize| u16::try_from(count).unwrap_or(u16::MAX);
        KnownCounts { near: count(self.region_count()), all: count(self.peers.len() + 1) }
    }

    /// How many VMs may exist; limits are divided by it. The most that this VM or one that lives and that it hears knows:
    /// what a VM does not know itself must not make its part larger.
    pub fn assumed_counts(&self, now: MonoTime) -> KnownCounts {
        let live = self.peers.values().filter(|entry| self.is_live(entry, now));
        let told = live.filter_map(|entry| {
            let is_near = entry.beat.region == self.region;
            let known = entry.told_counts?;
            Some(KnownCounts { near: if is_near { known.near } else { 0 }, all: known.all })
        });
        told.fold(self.known_counts(), |most, told| KnownCounts {
            near: most.near.max(told.near),
            all: most.all.max(told.all),
        })
    }
}

/// A digest of lives, whatever their order.
fn digest_of(lives: impl Iterator<Item = VmLife>) -> u64 {
    let hash = |life: VmLife| rank_hash(&[&format!("{:08x}{:04x}", life.vm.0, life.lifetime)]);
    lives.fold(0, |digest, life| digest ^ hash(life))
}
