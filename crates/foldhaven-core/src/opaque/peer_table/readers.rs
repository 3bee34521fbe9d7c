//! Readers: the few VMs of a large region that read the platform for all of its VMs.

use std::time::Duration;

use super::{PeerHeartbeat, PeerPhase, PeerTable};
use crate::opaque::service_order::ServiceCandidate;
use crate::time::MonoTime;

/// Number of VMs of a large region that read the platform. Each call has a price.
const READERS: usize = 2;
/// Key by which the candidates for readers are ranked.
pub(super) const READER_KEY: &str = "platform-reader";
/// The platform state is fresh if an answer of the platform confirmed it within this time. The long
/// polls of the readers of all regions end at different moments, some of them each second.
const FRESH_FOR: Duration = Duration::from_millis(2_500);
/// Number of additional readers once the state is no longer fresh, and again after each further
/// [`ESCALATION_INTERVAL`]. A reader that gets no answer can't be told from one whose long poll has
/// no changes until the poll ends.
const EXTRA_READERS: usize = 2;
const ESCALATION_INTERVAL: Duration = Duration::from_millis(800);
/// Maximum number of readers of a region, however old the state is. During an outage all calls of
/// the readers are in vain.
const MAX_READERS: usize = 8;
/// Number of VMs of this region that must fail to read the platform before that counts as an
/// outage; fewer may have a fault of their own.
const MIN_OUTAGE_REPORTS: usize = 2;

impl PeerTable {
    /// If a region has fewer other VMs than this, each VM reads the platform itself: few calls
    /// would be saved, and a VM that reads learns of a change within milliseconds.
    pub const ALL_READ_BELOW: usize = 4;

    /// Returns whether this VM reads the platform: as one of the readers of its region, which pass
    /// changes on to the others, or because the region is small. The older the platform state is,
    /// by `age`, the more readers there are. VMs that fail to read the platform (`is_turned_away`)
    /// keep trying but don't count as readers.
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
        // A VM that fails to read the platform keeps trying, or it wouldn't notice when the
        // platform answers again.
        is_turned_away || self.is_among_first(reader_count(age), READER_KEY, candidates)
    }

    /// Returns whether enough VMs of this region report that they fail to read the platform. A VM
    /// that isn't a reader learns of outages in no other way.
    pub fn is_outage_reported(&self, now: MonoTime) -> bool {
        self.live_local(now).filter(|heartbeat| heartbeat.is_turned_away).count()
            >= MIN_OUTAGE_REPORTS
    }
}

/// Returns the number of readers of a region for an age of the platform state.
fn reader_count(age: Duration) -> usize {
    let Some(overdue) = age.checked_sub(FRESH_FOR) else { return READERS };
    let escalations = 1 + overdue.div_duration_f64(ESCALATION_INTERVAL) as usize;
    (READERS + escalations.saturating_mul(EXTRA_READERS)).min(MAX_READERS)
}
