//! Compares the views of two VMs, that is, which VMs of a region each of them regards as live, and
//! repairs differences.
//!
//! This guards against two VMs that both know a third one but not each other. Each sends heartbeats
//! only to the VMs that it knows, in a small region no VM relays the heartbeats of others, and a VM
//! that knows another one doesn't request all heartbeats again. In each round a VM sends a digest
//! of the incarnations that it knows to one other VM. A receiver whose digest differs replies with
//! the list of its incarnations. The receiver of a list sends the heartbeats that the list lacks
//! and requests those that it lacks itself. This is push-pull anti-entropy (Demers et al., 1987)
//! with a digest in front, so that agreeing views cost one small message a round.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rounds::heartbeat_messages;
use super::targets::MAX_RELAYED;
use super::{
    HEARTBEAT_INTERVAL, HeartbeatMessage, LEARNING_INTERVAL, PeerHeartbeat, PeerTable,
    PlannedHeartbeats, RequestedHeartbeats, VmIncarnation, VmTag,
};
use crate::ids::{IncarnationId, RegionName};
use crate::rank::rank_hash;
use crate::time::MonoTime;

/// Minimum interval between two lists of incarnations that a VM sends, so that views that keep
/// changing while many VMs start cost little: a list of 295 incarnations has 1.8 KB.
const MIN_LIST_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of heartbeats in the reply to one list.
const MAX_HEARTBEATS_PER_LIST: usize = 112;

/// How long after receiving a different view a VM sends its own view to more VMs.
const VIEW_DIFFERENCE_PERIOD: Duration = Duration::from_millis(2_000);
/// Interval between two rounds of a VM that received a different view. With one message in twenty
/// lost, the four rounds in two seconds at the usual interval left a VM unknown in 1 of 400 healed
/// partitions of 4 VMs.
const VIEW_DIFFERENCE_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of VMs of a region that shortens its rounds after a view difference: the number
/// of liveness updates in three messages.
const MAX_FAST_SYNC_VMS: usize = 3 * MAX_RELAYED;

/// Identifies a region in messages between VMs by the hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RegionTag(pub u32);

impl RegionTag {
    /// Returns the tag of a region.
    pub fn of(name: &RegionName) -> Self {
        Self(rank_hash(&[name.as_str()]) as u32)
    }
}

/// Digest of a VM's view on which VMs of its region are live.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewDigest {
    /// Tag of the VM.
    pub vm: VmTag,
    /// Incarnation of its process.
    pub incarnation: IncarnationId,
    /// Tag of its region.
    pub region: RegionTag,
    /// Digest of the live incarnations, the same at all VMs that know the same ones.
    #[serde(rename = "lives")]
    pub digest: u64,
    /// Number of VMs that it knows, including itself.
    pub known: KnownCounts,
}

/// Numbers of VMs that a VM knows, live or stale.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownCounts {
    /// VMs of its region.
    #[serde(rename = "near")]
    pub local: u16,
    /// VMs of all regions.
    pub all: u16,
}

/// Full view of a VM: the live incarnations of one region that it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewList {
    /// Tag of the VM.
    pub vm: VmTag,
    /// Tag of the region.
    pub region: RegionTag,
    /// Live incarnations, including the sender's if it is in the region.
    #[serde(rename = "lives")]
    pub incarnations: Vec<VmIncarnation>,
}

/// Reply to a view digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewAnswer {
    /// No reply: the views agree, the sender isn't known with this incarnation, or a list was sent
    /// within `MIN_LIST_INTERVAL`.
    Nothing,
    /// The list of the incarnations that this VM knows, and its receiver.
    List(SocketAddr, ViewList),
}

impl PeerTable {
    /// Returns a digest of the live incarnations of this region, including this VM's own. Two VMs
    /// that know the same ones have the same digest; other sets hardly ever have it.
    pub fn region_digest(&self, now: MonoTime) -> u64 {
        digest_incarnations(self.incarnations_of(RegionTag::of(&self.region), now).into_iter())
    }

    /// Returns the live incarnations of a region, including this VM's own if it is in the region.
    fn incarnations_of(&self, region: RegionTag, now: MonoTime) -> BTreeSet<VmIncarnation> {
        let of_region =
            self.live(now).filter(|heartbeat| RegionTag::of(&heartbeat.region) == region);
        let mut incarnations: BTreeSet<VmIncarnation> =
            of_region.map(PeerHeartbeat::vm_incarnation).collect();
        if RegionTag::of(&self.region) == region {
            incarnations.insert(VmIncarnation::of(&self.own, self.incarnation));
        }
        incarnations
    }

    /// Applies the view digest of another VM and returns the reply.
    pub fn apply_view_digest(&mut self, view: &ViewDigest, now: MonoTime) -> ViewAnswer {
        let own_digest = digest_incarnations(self.incarnations_of(view.region, now).into_iter());
        let Some(entry) = self.entry_of_mut(view.vm) else {
            self.missing_heartbeats.insert(view.vm);
            return ViewAnswer::Nothing;
        };
        if entry.heartbeat.incarnation != view.incarnation {
            return ViewAnswer::Nothing;
        }
        entry.reported_counts = Some(view.known);
        let target = entry.heartbeat.peer;
        if own_digest == view.digest {
            return ViewAnswer::Nothing;
        }
        // Changes in other regions arrive late in any case, and shorter rounds wouldn't get them
        // sooner.
        if view.region == RegionTag::of(&self.region) {
            self.last_view_difference = Some(now);
        }
        if self
            .last_list_sent
            .is_some_and(|last_list_sent| now.since(last_list_sent) < MIN_LIST_INTERVAL)
        {
            return ViewAnswer::Nothing;
        }
        self.last_list_sent = Some(now);
        let incarnations = self.incarnations_of(view.region, now).into_iter().collect();
        let list = ViewList { vm: VmTag::of(&self.own), region: view.region, incarnations };
        ViewAnswer::List(target, list)
    }

    /// Applies the full view of another VM. Returns the heartbeats that the view lacks and a
    /// request for those that this VM lacks. `own` is the heartbeat of this VM.
    pub fn apply_view_list(
        &mut self,
        list: &ViewList,
        own: &PeerHeartbeat,
        now: MonoTime,
    ) -> PlannedHeartbeats {
        let Some(sender) = self.entry_of(list.vm).map(|entry| entry.heartbeat.peer) else {
            self.missing_heartbeats.insert(list.vm);
            return PlannedHeartbeats::new();
        };
        if list.region == RegionTag::of(&self.region) {
            self.last_view_difference = Some(now);
        }
        let their_incarnations: BTreeMap<VmTag, u16> = list
            .incarnations
            .iter()
            .map(|incarnation| (incarnation.vm, incarnation.incarnation_bits))
            .collect();
        let own_incarnations = self.incarnations_of(list.region, now);
        let missing_there = own_incarnations.iter().filter(|incarnation| {
            their_incarnations.get(&incarnation.vm) != Some(&incarnation.incarnation_bits)
        });
        let missing_there = missing_there.filter_map(|incarnation| self.entry_of(incarnation.vm));
        let answered: Vec<PeerHeartbeat> = missing_there
            .map(|entry| entry.heartbeat.clone())
            .take(MAX_HEARTBEATS_PER_LIST)
            .collect();
        let own_tag = VmTag::of(&self.own);
        // VMs that are known but stale here are requested too, because this VM may have been
        // partitioned from them.
        let missing_here = list.incarnations.iter().filter(|incarnation| {
            incarnation.vm != own_tag && !own_incarnations.contains(incarnation)
        });
        let requested: Vec<VmTag> = missing_here.map(|incarnation| incarnation.vm).collect();
        let mut planned = heartbeat_messages(sender, own, answered);
        if !requested.is_empty() {
            let requests = RequestedHeartbeats::Of(requested);
            planned.push((
                sender,
                HeartbeatMessage { requests, ..HeartbeatMessage::of(own.clone(), Vec::new()) },
            ));
        }
        planned
    }

    /// Returns the receivers of this VM's view in a round. During the learning time, and for
    /// `VIEW_DIFFERENCE_PERIOD` after a different view was received, these are all receivers of its
    /// heartbeats; otherwise one VM of its region in rotation. Seeds get the view with each
    /// heartbeat, because a VM that no VM of its region knows is known to the seeds alone.
    pub fn view_targets(
        &mut self,
        heartbeats: &PlannedHeartbeats,
        is_learning: bool,
        now: MonoTime,
    ) -> Vec<SocketAddr> {
        let local: BTreeSet<SocketAddr> = self.local_addresses();
        let (local, remote): (Vec<SocketAddr>, Vec<SocketAddr>) =
            heartbeats.iter().map(|(target, _)| *target).partition(|target| local.contains(target));
        self.view_cursor += 1;
        let rotated = local.get(self.view_cursor % local.len().max(1)).copied();
        match is_learning || self.has_recent_view_difference(now) {
            true => local.into_iter().chain(remote).collect(),
            false => rotated.into_iter().chain(remote).collect(),
        }
    }

    /// Returns the time until the next round of heartbeats.
    pub fn round_interval(&self, is_learning: bool, now: MonoTime) -> Duration {
        match (is_learning, self.has_recent_view_difference(now)) {
            (true, _) => LEARNING_INTERVAL,
            (false, true) => VIEW_DIFFERENCE_INTERVAL,
            (false, false) => HEARTBEAT_INTERVAL,
        }
    }

    /// Returns whether a different view was received within `VIEW_DIFFERENCE_PERIOD` and shorter
    /// rounds help. In a region with more VMs than relayed liveness updates can keep live at all
    /// VMs, views differ at any time. Shorter rounds there doubled the traffic of 300 VMs without
    /// load, from 5.1 to 10.4 KB/s.
    fn has_recent_view_difference(&self, now: MonoTime) -> bool {
        let is_recent = self.last_view_difference.is_some_and(|last_view_difference| {
            now.since(last_view_difference) < VIEW_DIFFERENCE_PERIOD
        });
        is_recent && self.region_vm_count() <= MAX_FAST_SYNC_VMS
    }

    fn local_addresses(&self) -> BTreeSet<SocketAddr> {
        let local = self.peers.values().filter(|entry| entry.heartbeat.region == self.region);
        local.map(|entry| entry.heartbeat.peer).collect()
    }

    /// Returns the numbers of VMs that this VM knows, including itself.
    pub fn known_counts(&self) -> KnownCounts {
        let count = |count: usize| u16::try_from(count).unwrap_or(u16::MAX);
        KnownCounts { local: count(self.region_vm_count()), all: count(self.peers.len() + 1) }
    }

    /// Returns the numbers of VMs that may exist, by which limits are divided: the maximum over
    /// this VM and all live VMs that reported their numbers. VMs that this VM doesn't know must not
    /// make its share larger.
    pub fn assumed_counts(&self, now: MonoTime) -> KnownCounts {
        let live = self.peers.values().filter(|entry| self.is_live(entry, now));
        let reported = live.filter_map(|entry| {
            let is_local = entry.heartbeat.region == self.region;
            let known = entry.reported_counts?;
            Some(KnownCounts { local: if is_local { known.local } else { 0 }, all: known.all })
        });
        reported.fold(self.known_counts(), |most, reported| KnownCounts {
            local: most.local.max(reported.local),
            all: most.all.max(reported.all),
        })
    }
}

/// Returns a digest of incarnations that doesn't depend on their order.
fn digest_incarnations(incarnations: impl Iterator<Item = VmIncarnation>) -> u64 {
    let hash = |incarnation: VmIncarnation| {
        rank_hash(&[&format!("{:08x}{:04x}", incarnation.vm.0, incarnation.incarnation_bits)])
    };
    incarnations.fold(0, |digest, incarnation| digest ^ hash(incarnation))
}
