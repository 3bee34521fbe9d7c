//! Readers: the few VMs of a large region that read the platform for all of it.

use std::time::Duration;

use super::{PeerHeartbeat, PeerPhase, PeerTable};
use crate::opaque::service_order::ServiceCandidate;
use crate::time::MonoTime;

/// How many VMs of a larger region read the platform. Each call has a price.
const READERS: usize = 2;
/// The key by which they are ranked.
pub(super) const READER_KEY: &str = "platform-reader";
/// What is believed is young while an answer of the platform proved it within this time. The waits of the readers of all regions
/// end at different moments, some of them each second.
const FRESH_FOR: Duration = Duration::from_millis(2_500);
/// Then so many more VMs read, and as many again after each further [`ESCALATION_INTERVAL`]: a reader that is not answered cannot be told
/// from one with nothing to tell until its wait is over.
const EXTRA_READERS: usize = 2;
const ESCALATION_INTERVAL: Duration = Duration::from_millis(800);
/// The most VMs of a region that read because of the age of what is believed. In an outage all that read call in vain.
const MAX_READERS: usize = 8;
/// So many VMs of this region that cannot read the platform tell of an outage for all, fewer of a
/// fault of their own.
const MIN_OUTAGE_REPORTS: usize = 2;

impl PeerTable {
    /// Where a region has fewer other VMs than this, each VM reads the platform itself: few calls
    /// are saved, and a VM that reads learns of a change within milliseconds.
    pub const ALL_READ_BELOW: usize = 4;

    /// Whether this VM is one of those of its region that read the platform; the others are told by
    /// them. VMs that the platform turns away do not count, unless it turns everybody away. The older what is believed is, the
    /// more of them there are.
    pub fn is_reader(&self, is_turned_away: bool, age: Duration, now: MonoTime) -> bool {
        let local: Vec<&PeerHeartbeat> = self.live_local(now).collect();
        if local.len() < Self::ALL_READ_BELOW {
            return true;
        }
        let mut candidates: Vec<ServiceCandidate<'_>> = local
            .iter()
            .filter(|heartbeat| !heartbeat.is_turned_away && heartbeat.phase == PeerPhase::Serving)
            .map(|heartbeat| ServiceCandidate::of(heartbeat))
            .collect();
        if candidates.is_empty() {
            return true;
        }
        if !is_turned_away {
            candidates.push(self.own_candidate());
        }
        // One that is turned away goes on asking, or it would not learn that this is over.
        is_turned_away || self.is_among_first(reader_count(age), READER_KEY, candidates)
    }

    /// Whether VMs of this region tell of an outage of the platform. One that does not read it itself
    /// learns of outages in no other way.
    pub fn is_outage_reported(&self, now: MonoTime) -> bool {
        self.live_local(now).filter(|heartbeat| heartbeat.is_turned_away).count()
            >= MIN_OUTAGE_REPORTS
    }
}

/// How many VMs of a region read the platform when what is believed has this age.
fn reader_count(age: Duration) -> usize {
    let Some(overdue) = age.checked_sub(FRESH_FOR) else { return READERS };
    let escalations = 1 + overdue.div_duration_f64(ESCALATION_INTERVAL) as usize;
    (READERS + escalations.saturating_mul(EXTRA_READERS)).min(MAX_READERS)
}
