//! Delegates: the few VMs of a region that report its live VMs to the other regions.

use std::time::Duration;

use super::{PeerPhase, PeerTable, VmIncarnation};
use crate::opaque::service_order::ServiceCandidate;
use crate::time::MonoTime;

/// A delegate reports VMs that it received a message from within this time.
const CONTACT_WINDOW: Duration = Duration::from_millis(1_200);
/// Number of delegates of a region.
const DELEGATES: usize = 2;
/// Key by which the candidates for delegates are ranked.
const DELEGATE_KEY: &str = "region-delegate";

impl PeerTable {
    /// Applies a delegate's list of the VMs that serve in another region. Returns whether it
    /// changes the membership that others decide by.
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

    /// Applies one entry of the list. The heartbeat of an unknown VM, or of another incarnation of
    /// a known one, is requested.
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
            // A leaving VM announces that itself, and the delegate may not have received it yet.
            if entry.heartbeat.phase == PeerPhase::Starting {
                entry.heartbeat.phase = PeerPhase::Serving;
            }
        }
        is_membership_change
    }

    /// Returns the serving VMs of this region that a message was received from within
    /// `CONTACT_WINDOW`, without this VM.
    pub fn directly_seen_incarnations(&self, now: MonoTime) -> Vec<VmIncarnation> {
        let local = self.peers.values().filter(|entry| entry.heartbeat.region == self.region);
        let in_contact = local.filter(|entry| {
            let is_recent = entry.last_contact.is_some_and(|at| now.since(at) < CONTACT_WINDOW);
            is_recent && entry.heartbeat.phase == PeerPhase::Serving
        });
        in_contact.map(|entry| entry.heartbeat.vm_incarnation()).collect()
    }

    /// Returns whether this VM is one of the delegates of its region.
    pub fn is_delegate(&self, now: MonoTime) -> bool {
        let serving =
            self.live_local(now).filter(|heartbeat| heartbeat.phase == PeerPhase::Serving);
        let mut candidates: Vec<ServiceCandidate<'_>> = serving.map(ServiceCandidate::of).collect();
        candidates.push(self.own_candidate());
        self.is_among_first(DELEGATES, DELEGATE_KEY, candidates)
    }
}
