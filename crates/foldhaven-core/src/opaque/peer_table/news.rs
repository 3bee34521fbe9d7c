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
const FAR_TOLD: usize = 2;

/// How far a VM knows the platform's changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewsNotice {
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

impl NewsNotice {
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
    pub fn note(&mut self, notice: &NewsNotice) {
        if notice.is_offer {
            self.0 = self.0.max(notice.revision);
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
    pub fn take_news(&mut self, notice: &NewsNotice) -> bool {
        let Some(entry) = self.entry_of_mut(notice.vm) else {
            self.wanted.insert(notice.vm);
            return false;
        };
        if entry.beat.incarnation == notice.incarnation {
            entry.beat.revision = entry.beat.revision.max(notice.revision);
        }
        entry.beat.incarnation == notice.incarnation
    }

    /// Takes in up to which revision a VM told all it knows when it was asked. One that claimed more is not asked again for it.
    pub fn note_told_revision(&mut self, peer: SocketAddr, revision: u64) {
        let entry = self.peers.values_mut().find(|entry| entry.beat.peer == peer);
        if let Some(entry) = entry {
            entry.beat.revision = entry.beat.revision.min(revision);
        }
    }

    /// A few VMs of each other region, for news that does not wait for its turn.
    pub fn far_news_targets(&mut self, now: MonoTime) -> Vec<SocketAddr> {
        let mut targets = BTreeSet::new();
        for _ in 0..FAR_TOLD {
            targets.extend(self.one_in_service_of_each_region(now));
        }
        targets.into_iter().collect()
    }

    /// The other VMs of this region that take requests at any load, where they hear others.
    pub fn standing_addresses(&self, now: MonoTime) -> Vec<SocketAddr> {
        let order = self.near_order(now);
        let standing: BTreeSet<_> = order.baseline().iter().map(|it| it.vm).collect();
        let near = self.near(now).filter(|beat| standing.contains(&beat.vm));
        near.map(|beat| beat.peer).collect()
    }

    /// The place of this VM among those that ask other regions, the first one being 0; nothing when it is none of them.
    /// Whether the platform answers a VM does not matter for that.
    pub fn asking_place(&self, now: MonoTime) -> Option<usize> {
        let serving = self.near(now).filter(|beat| beat.phase == PeerPhase::Serving);
        let candidates = serving.map(ServiceCandidate::of).chain([self.own_candidate()]);
        let order = ServiceOrder::of(candidates);
        let names = order.baseline().iter().map(|candidate| candidate.vm);
        let ranked = rank_by(READER_KEY, names, |name| name.as_str());
        ranked.into_iter().position(|name| *name == self.own)
    }
}
