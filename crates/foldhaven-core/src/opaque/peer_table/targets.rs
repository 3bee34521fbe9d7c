//! Receivers of a round of heartbeats, and the liveness updates that are relayed to them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::{LivenessUpdate, PeerEntry, PeerHeartbeat, PeerPhase, PeerTable, VmTag};
use crate::ids::RegionName;
use crate::opaque::service_order::{ServiceCandidate, ServiceOrder};
use crate::time::MonoTime;

/// Number of VMs of the region that get a heartbeat in one round.
pub(super) const FAN_OUT: usize = 4;
/// How many of [`FAN_OUT`] are in other data centres, if there are any: traffic between data
/// centres is paid for.
const CROSS_CENTRE_FAN_OUT: usize = 1;
/// A VM that isn't a delegate sends a heartbeat to one VM of another region in every n-th round, so
/// that the two sides of a partition find each other again whichever VMs are their delegates.
const REMOTE_ROUND_INTERVAL: u32 = 16;
/// Maximum number of liveness updates that are relayed with a heartbeat.
pub(super) const MAX_RELAYED: usize = 48;

/// Receivers of a round of heartbeats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeartbeatTargets {
    /// VMs of this region.
    pub local: Vec<SocketAddr>,
    /// VMs of other regions. They learn of other VMs from delegates and get no liveness updates.
    pub remote: Vec<SocketAddr>,
}

impl PeerTable {
    /// Returns the receivers of the next round: a few VMs of this region in rotation and, if this
    /// VM is a delegate, one of each other region. A VM that isn't a delegate sends to another
    /// region only in every `REMOTE_ROUND_INTERVAL`-th round. Stale VMs are included, so that
    /// healed partitions are noticed.
    pub fn next_targets(&mut self, now: MonoTime) -> HeartbeatTargets {
        self.rounds += 1;
        let local = self.peers.values().filter(|entry| entry.heartbeat.region == self.region);
        let (same_centre, other_centres): (Vec<&PeerEntry>, Vec<&PeerEntry>) =
            local.partition(|entry| entry.heartbeat.data_centre == self.data_centre);
        let addresses = |it: Vec<&PeerEntry>| {
            it.iter().map(|it| it.heartbeat.peer).collect::<Vec<SocketAddr>>()
        };
        let (same_centre, other_centres) = (addresses(same_centre), addresses(other_centres));
        let within = FAN_OUT.saturating_sub(other_centres.len().min(CROSS_CENTRE_FAN_OUT));
        let mut local = take_rotating(&same_centre, within, &mut self.local_cursor);
        let left = FAN_OUT - local.len();
        local.extend(take_rotating(&other_centres, left, &mut self.cross_centre_cursor));
        HeartbeatTargets { local, remote: self.next_remote_targets(now) }
    }

    /// Returns the receivers of updates that are resent in a round because they may have been lost:
    /// a few VMs of this region in rotation and, if this VM is a delegate, one of each other
    /// region. Their rotation is separate from the one of heartbeats: if both shared a position,
    /// each might always get the same VMs.
    pub fn next_resend_targets(&mut self, now: MonoTime) -> HeartbeatTargets {
        let local = self.addresses_where(|region, own| region == own);
        let local = take_rotating(&local, FAN_OUT, &mut self.resend_cursor);
        let remote = match self.is_delegate(now) {
            true => self.one_per_remote_region_at(self.resend_cursor),
            false => Vec::new(),
        };
        HeartbeatTargets { local, remote }
    }

    fn next_remote_targets(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        if self.is_delegate(now) {
            return self.one_per_remote_region();
        }
        if !self.rounds.is_multiple_of(REMOTE_ROUND_INTERVAL) {
            return Vec::new();
        }
        let remote = self.addresses_where(|region, own| region != own);
        self.remote_cursor += 1;
        remote.get(self.remote_cursor % remote.len().max(1)).copied().into_iter().collect()
    }

    /// Returns one VM of each other region, another one each time.
    pub fn one_per_remote_region(&mut self) -> Vec<SocketAddr> {
        self.remote_cursor += 1;
        self.one_per_remote_region_at(self.remote_cursor)
    }

    fn one_per_remote_region_at(&self, cursor: usize) -> Vec<SocketAddr> {
        let remote = self.peers.values().filter(|entry| entry.heartbeat.region != self.region);
        let mut regions: BTreeMap<&RegionName, Vec<SocketAddr>> = BTreeMap::new();
        for entry in remote {
            regions.entry(&entry.heartbeat.region).or_default().push(entry.heartbeat.peer);
        }
        regions.into_values().map(|peers| peers[cursor % peers.len()]).collect()
    }

    /// Returns one VM of each other region that takes requests there, another one each time. Such a
    /// VM exchanges messages with the others of its region most often.
    pub fn one_serving_per_remote_region(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        self.remote_cursor += 1;
        let cursor = self.remote_cursor;
        let serving = self.live(now).filter(|heartbeat| heartbeat.phase == PeerPhase::Serving);
        let remote = serving.filter(|heartbeat| heartbeat.region != self.region);
        let mut regions: BTreeMap<&RegionName, Vec<&PeerHeartbeat>> = BTreeMap::new();
        for heartbeat in remote {
            regions.entry(&heartbeat.region).or_default().push(heartbeat);
        }
        let chosen_addresses = regions.into_values().filter_map(|heartbeats| {
            let order = ServiceOrder::of(
                heartbeats.iter().map(|heartbeat| ServiceCandidate::of(heartbeat)),
            );
            let baseline = order.baseline();
            let chosen = baseline.get(cursor % baseline.len().max(1))?;
            heartbeats
                .iter()
                .find(|heartbeat| heartbeat.vm == *chosen.vm)
                .map(|heartbeat| heartbeat.peer)
        });
        chosen_addresses.collect()
    }

    fn addresses_where(
        &self,
        matches: impl Fn(&RegionName, &RegionName) -> bool,
    ) -> Vec<SocketAddr> {
        let entries = self.peers.values();
        let matching = entries.filter(|entry| matches(&entry.heartbeat.region, &self.region));
        matching.map(|entry| entry.heartbeat.peer).collect()
    }

    /// Returns the addresses of all VMs, for changes that don't wait for the rotation.
    pub fn all_addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|entry| entry.heartbeat.peer).collect()
    }

    /// Returns the liveness updates that are relayed with this VM's heartbeat: those of live VMs of
    /// the region that this VM hasn't relayed yet. There are none if there are so few VMs that
    /// heartbeats reach all of them directly within two rounds. VMs of other regions are reported
    /// by their delegates.
    pub fn next_liveness_updates(&mut self, now: MonoTime) -> Vec<LivenessUpdate> {
        if !self.is_large_fleet() {
            return Vec::new();
        }
        let updates = self.live_local(now).filter(|heartbeat| self.needs_relay(heartbeat));
        let updates: Vec<LivenessUpdate> = updates.map(PeerHeartbeat::liveness_update).collect();
        let relayed = take_rotating(&updates, MAX_RELAYED, &mut self.relay_cursor);
        for update in &relayed {
            self.last_relayed.insert(update.vm, (update.incarnation, update.sequence));
        }
        relayed
    }

    /// Returns whether a heartbeat hasn't been relayed yet. Relaying it once is enough: each VM
    /// that receives it relays it to four others, and a higher sequence follows within seconds.
    fn needs_relay(&self, heartbeat: &PeerHeartbeat) -> bool {
        self.last_relayed
            .get(&VmTag::of(&heartbeat.vm))
            .is_none_or(|previous| heartbeat.order() > *previous)
    }
}

/// Returns up to `limit` items, starting at the rotation position, and advances the position past
/// them.
fn take_rotating<T: Copy>(items: &[T], limit: usize, cursor: &mut usize) -> Vec<T> {
    let count = limit.min(items.len());
    let chosen = (0..count).map(|step| items[(*cursor + step) % items.len()]).collect();
    *cursor += count;
    chosen
}
