//! Delegates: the few VMs of a region that tell the other regions which VMs of it live.

use std::time::Duration;

use super::{PeerPhase, PeerTable, VmIncarnation};
use crate::opaque::service_order::ServiceCandidate;
use crate::time::MonoTime;

/// A delegate tells of VMs that it heard from itself within this time.
const CONTACT_WINDOW: Duration = Duration::from_millis(1_200);
/// How many VMs of a region tell the other regions of it.
const DELEGATES: usize = 2;
/// The key by which they are ranked.
const DELEGATE_KEY: &str = "region-delegate";

impl PeerTable {
    /// Takes in the VMs that serve in another region, as a delegate of it tells. Returns whether it is
    /// news that others decide by.
    pub fn apply_reported_incarnations(
        &mut self,
        incarnations: &[VmIncarnation],
        now: MonoTime,
    ) -> bool {
        let mut is_membership_change = false;
        for incarnation in incarnations {
            is_membership_change |= self.apply_reported_incarnation(*incarnation, now);
        }
        is_membership_change
    }

    /// Takes in one of them. An unknown VM, or another lifetime of a known one, is asked for.
    fn apply_reported_incarnation(&mut self, incarnation: VmIncarnation, now: MonoTime) -> bool {
        let known = self
            .entry_of(incarnation.vm)
            .filter(|entry| entry.heartbeat.vm_incarnation() == incarnation);
        let Some(entry) = known else {
            self.missing_heartbeats.insert(incarnation.vm);
            return false;
        };
        let is_membership_change =
            !self.is_live(entry, now) || entry.heartbeat.phase == PeerPhase::Starting;
        let name = entry.heartbeat.vm.clone();
        if let Some(entry) = self.peers.get_mut(&name) {
            entry.last_seen = now;
            // One that leaves tells so itself, and a delegate may not have heard it yet.
            if entry.heartbeat.phase == PeerPhase::Starting {
                entry.heartbeat.phase = PeerPhase::Serving;
            }
        }
        is_membership_change
    }

    /// The VMs of this region that serve, of those that were heard from a moment ago; without this one.
    pub fn directly_seen_incarnations(&self, now: MonoTime) -> Vec<VmIncarnation> {
        let local = self.peers.values().filter(|entry| entry.heartbeat.region == self.region);
        let in_contact = local.filter(|entry| {
            let is_recent = entry.last_contact.is_some_and(|at| now.since(at) < CONTACT_WINDOW);
            is_recent && entry.heartbeat.phase == PeerPhase::Serving
        });
        in_contact.map(|entry| entry.heartbeat.vm_incarnation()).collect()
    }

    /// Whether this VM is one of those of its region that speak for it in the others.
    pub fn is_delegate(&self, now: MonoTime) -> bool {
        let serving =
            self.live_local(now).filter(|heartbeat| heartbeat.phase == PeerPhase::Serving);
        let mut candidates: Vec<ServiceCandidate<'_>> = serving.map(ServiceCandidate::of).collect();
        candidates.push(self.own_candidate());
        self.is_among_first(DELEGATES, DELEGATE_KEY, candidates)
    }
}
