//! Delegates: the few VMs of a region that tell the other regions which VMs of it live.

use std::time::Duration;

use super::{PeerPhase, PeerTable, VmLife};
use crate::opaque::service_order::ServiceCandidate;
use crate::time::MonoTime;

/// A delegate tells of VMs that it heard from itself within this time.
const HEARD_LIMIT: Duration = Duration::from_millis(1_200);
/// How many VMs of a region tell the other regions of it.
const DELEGATES: usize = 2;
/// The key by which they are ranked.
const DELEGATE_KEY: &str = "region-delegate";

impl PeerTable {
    /// Takes in the VMs that serve in another region, as a delegate of it tells. Returns whether it is
    /// news that others decide by.
    pub fn note_lives(&mut self, lives: &[VmLife], now: MonoTime) -> bool {
        let mut is_news = false;
        for life in lives {
            is_news |= self.note_life(*life, now);
        }
        is_news
    }

    /// Takes in one of them. An unknown VM, or another lifetime of a known one, is asked for.
    fn note_life(&mut self, life: VmLife, now: MonoTime) -> bool {
        let known = self.entry_of(life.vm).filter(|entry| entry.beat.life() == life);
        let Some(entry) = known else {
            self.wanted.insert(life.vm);
            return false;
        };
        let is_news = !self.is_live(entry, now) || entry.beat.phase == PeerPhase::Starting;
        let name = entry.beat.vm.clone();
        if let Some(entry) = self.peers.get_mut(&name) {
            entry.risen = now;
            // One that leaves tells so itself, and a delegate may not have heard it yet.
            if entry.beat.phase == PeerPhase::Starting {
                entry.beat.phase = PeerPhase::Serving;
            }
        }
        is_news
    }

    /// The VMs of this region that serve, of those that were heard from a moment ago; without this one.
    pub fn heard_lives(&self, now: MonoTime) -> Vec<VmLife> {
        let near = self.peers.values().filter(|entry| entry.beat.region == self.region);
        let heard = near.filter(|entry| {
            let is_recent = entry.heard.is_some_and(|heard| now.since(heard) < HEARD_LIMIT);
            is_recent && entry.beat.phase == PeerPhase::Serving
        });
        heard.map(|entry| entry.beat.life()).collect()
    }

    /// Whether this VM is one of those of its region that speak for it in the others.
    pub fn is_delegate(&self, now: MonoTime) -> bool {
        let serving = self.near(now).filter(|beat| beat.phase == PeerPhase::Serving);
        let mut open: Vec<ServiceCandidate<'_>> = serving.map(ServiceCandidate::of).collect();
        open.push(self.own_candidate());
        self.is_among_first(DELEGATES, DELEGATE_KEY, open)
    }
}
