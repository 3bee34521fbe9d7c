//! Readers: the few VMs of a large region that read the platform for all of it.

use super::{PeerBeat, PeerPhase, PeerTable};
use crate::opaque::service_order::ServiceCandidate;
use crate::time::MonoTime;

/// How many VMs of a larger region read the platform. Each call has a price.
const READERS: usize = 2;
/// The key by which they are ranked.
const READER_KEY: &str = "platform-reader";
/// So many VMs of this region that cannot read the platform tell of an outage for all, fewer of a
/// fault of their own.
const OUTAGE_REPORTS: usize = 2;

impl PeerTable {
    /// Where a region has fewer other VMs than this, each VM reads the platform itself: few calls
    /// are saved, and a VM that reads learns of a change within milliseconds.
    pub const ALL_READ: usize = 4;

    /// Whether this VM is one of those of its region that read the platform; the others are told by
    /// them. VMs that the platform turns away do not count, unless it turns everybody away.
    pub fn is_reader(&self, is_turned_away: bool, now: MonoTime) -> bool {
        let near: Vec<&PeerBeat> = self.near(now).collect();
        if near.len() < Self::ALL_READ {
            return true;
        }
        let mut open: Vec<ServiceCandidate<'_>> = near
            .iter()
            .filter(|beat| !beat.is_turned_away && beat.phase == PeerPhase::Serving)
            .map(|beat| ServiceCandidate::of(beat))
            .collect();
        if open.is_empty() {
            return true;
        }
        if !is_turned_away {
            open.push(self.own_candidate());
        }
        // One that is turned away goes on asking, or it would not learn that this is over.
        is_turned_away || self.is_among_first(READERS, READER_KEY, open)
    }

    /// Whether VMs of this region tell of an outage of the platform. One that does not read it itself
    /// learns of outages in no other way.
    pub fn hears_of_outage(&self, now: MonoTime) -> bool {
        self.near(now).filter(|beat| beat.is_turned_away).count() >= OUTAGE_REPORTS
    }
}
