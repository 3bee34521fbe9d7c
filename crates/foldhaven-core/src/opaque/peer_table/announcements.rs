//! Announcements of how much of the platform's changes a VM knows. They are sent without waiting
//! for heartbeats. Also selects the VMs that request changes from other regions.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::readers::READER_KEY;
use super::{PeerPhase, PeerTable, VmTag};
use crate::ids::IncarnationId;
use crate::opaque::service_order::{ServiceCandidate, ServiceOrder};
use crate::rank::rank_by;
use crate::time::MonoTime;

/// Number of VMs of each other region that receive an announcement, so that one lost message
/// doesn't delay a change.
const REMOTE_ANNOUNCEMENT_FAN_OUT: usize = 2;

/// Announces the revision up to which a VM knows the platform's changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionAnnouncement {
    /// Tag of the VM.
    pub vm: VmTag,
    /// Incarnation of its process.
    pub incarnation: IncarnationId,
    /// Revision up to which the VM knows all changes.
    pub revision: u64,
    /// Milliseconds since it was confirmed that there was no later revision; `None` if that was
    /// never confirmed.
    pub age_ms: Option<u32>,
    /// Whether the changes up to the revision must be requested, because they don't fit a datagram.
    pub is_offer: bool,
}

impl RevisionAnnouncement {
    /// Returns the time since it was confirmed that there was no later revision.
    pub fn age(&self) -> Option<Duration> {
        self.age_ms.map(|age_ms| Duration::from_millis(u64::from(age_ms)))
    }
}

/// The highest revision up to which other VMs offered changes that must be requested.
///
/// The offer is kept by revision, because applying changes up to an earlier revision doesn't
/// satisfy it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OfferedRevision(u64);

impl OfferedRevision {
    /// Records the revision of an announcement that is an offer.
    pub fn record(&mut self, announcement: &RevisionAnnouncement) {
        if announcement.is_offer {
            self.0 = self.0.max(announcement.revision);
        }
    }

    /// Returns whether the offered revision is later than the known one.
    pub fn is_beyond(self, known: u64) -> bool {
        self.0 > known
    }

    /// Drops the offer. Called when no VM that knows the revision is left.
    pub fn forget(&mut self) {
        *self = Self::default();
    }
}

impl PeerTable {
    /// Applies an announcement. Returns whether the VM is known with this incarnation. The
    /// heartbeat of an unknown VM is requested.
    pub fn apply_announcement(&mut self, announcement: &RevisionAnnouncement) -> bool {
        let Some(entry) = self.entry_of_mut(announcement.vm) else {
            self.missing_heartbeats.insert(announcement.vm);
            return false;
        };
        if entry.heartbeat.incarnation == announcement.incarnation {
            entry.heartbeat.revision = entry.heartbeat.revision.max(announcement.revision);
        }
        entry.heartbeat.incarnation == announcement.incarnation
    }

    /// Records the revision up to which a VM delivered its changes on request. If it had announced
    /// a later one, that is lowered, so that the VM isn't asked for it again.
    pub fn record_delivered_revision(&mut self, peer: SocketAddr, revision: u64) {
        let entry = self.peers.values_mut().find(|entry| entry.heartbeat.peer == peer);
        if let Some(entry) = entry {
            entry.heartbeat.revision = entry.heartbeat.revision.min(revision);
        }
    }

    /// Returns a few VMs of each other region, for announcements that don't wait for a round.
    pub fn remote_announcement_targets(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        let mut targets = BTreeSet::new();
        for _ in 0..REMOTE_ANNOUNCEMENT_FAN_OUT {
            targets.extend(self.one_serving_per_remote_region(now));
        }
        targets.into_iter().collect()
    }

    /// Returns the peer addresses of the other VMs of this region that take requests at any load.
    pub fn baseline_addresses(&self, now: MonoTime) -> Vec<SocketAddr> {
        let order = self.local_service_order(now);
        let baseline: BTreeSet<_> = order.baseline().iter().map(|it| it.vm).collect();
        let local = self.live_local(now).filter(|heartbeat| baseline.contains(&heartbeat.vm));
        local.map(|heartbeat| heartbeat.peer).collect()
    }

    /// Returns the rank of this VM among those that request changes from other regions, 0 for the
    /// first; `None` if it isn't one of them. It doesn't matter whether the VM can read the
    /// platform.
    pub fn fetch_rank(&self, now: MonoTime) -> Option<usize> {
        let serving =
            self.live_local(now).filter(|heartbeat| heartbeat.phase == PeerPhase::Serving);
        let candidates = serving.map(ServiceCandidate::of).chain([self.own_candidate()]);
        let order = ServiceOrder::of(candidates);
        let names = order.baseline().iter().map(|candidate| candidate.vm);
        let ranked = rank_by(READER_KEY, names, |name| name.as_str());
        ranked.into_iter().position(|name| *name == self.own)
    }
}
