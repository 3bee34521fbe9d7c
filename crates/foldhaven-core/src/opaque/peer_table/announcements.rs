//! Which VM knows how much of the platform's changes, told without waiting for heartbeats, and who asks for them.

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

/// How many VMs of another region are told of a change, so that one lost message does not delay it.
const REMOTE_ANNOUNCEMENTS: usize = 2;

/// How far a VM knows the platform's changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionAnnouncement {
    /// The VM.
    pub vm: VmTag,
    /// Its process lifetime.
    pub incarnation: IncarnationId,
    /// The revision up to which it knows all.
    pub revision: u64,
    /// How many milliseconds ago it was proven that there was no later one; nothing when it never was.
    pub age_ms: Option<u32>,
    /// Whether the changes up to it have to be asked for, since they do not fit a datagram.
    pub is_offer: bool,
}

impl RevisionAnnouncement {
    /// How long ago it was proven that there was no later revision.
    pub fn age(&self) -> Option<Duration> {
        self.age_ms.map(|age_ms| Duration::from_millis(u64::from(age_ms)))
    }
}

/// Up to which revision other VMs offered changes that have to be asked for.
///
/// It is kept by revision: what brings a VM to an earlier one does not answer the offer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OfferedRevision(u64);

impl OfferedRevision {
    /// Takes in a notice.
    pub fn note(&mut self, announcement: &RevisionAnnouncement) {
        if announcement.is_offer {
            self.0 = self.0.max(announcement.revision);
        }
    }

    /// Whether there is more to ask for than a VM knows.
    pub fn is_beyond(self, known: u64) -> bool {
        self.0 > known
    }

    /// Forgets what was offered, as no VM that knows so much is left.
    pub fn forget(&mut self) {
        *self = Self::default();
    }
}

impl PeerTable {
    /// Takes in how far a VM knows the platform's changes. Returns whether that VM is known; else it is asked for.
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

    /// Takes in up to which revision a VM told all it knows when it was asked. One that claimed more is not asked again for it.
    pub fn record_delivered_revision(&mut self, peer: SocketAddr, revision: u64) {
        let entry = self.peers.values_mut().find(|entry| entry.heartbeat.peer == peer);
        if let Some(entry) = entry {
            entry.heartbeat.revision = entry.heartbeat.revision.min(revision);
        }
    }

    /// A few VMs of each other region, for news that does not wait for its turn.
    pub fn remote_announcement_targets(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        let mut targets = BTreeSet::new();
        for _ in 0..REMOTE_ANNOUNCEMENTS {
            targets.extend(self.one_serving_per_remote_region(now));
        }
        targets.into_iter().collect()
    }

    /// The other VMs of this region that take requests at any load, where they hear others.
    pub fn standing_addresses(&self, now: MonoTime) -> Vec<SocketAddr> {
        let order = self.local_service_order(now);
        let standing: BTreeSet<_> = order.standing().iter().map(|it| it.vm).collect();
        let local = self.live_local(now).filter(|heartbeat| standing.contains(&heartbeat.vm));
        local.map(|heartbeat| heartbeat.peer).collect()
    }

    /// The place of this VM among those that ask other regions, the first one being 0; nothing when it is none of them.
    /// Whether the platform answers a VM does not matter for that.
    pub fn fetch_rank(&self, now: MonoTime) -> Option<usize> {
        let serving =
            self.live_local(now).filter(|heartbeat| heartbeat.phase == PeerPhase::Serving);
        let candidates = serving.map(ServiceCandidate::of).chain([self.own_candidate()]);
        let order = ServiceOrder::of(candidates);
        let names = order.standing().iter().map(|candidate| candidate.vm);
        let ranked = rank_by(READER_KEY, names, |name| name.as_str());
        ranked.into_iter().position(|name| *name == self.own)
    }
}
