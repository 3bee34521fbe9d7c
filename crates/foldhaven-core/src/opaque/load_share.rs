//! What the VMs of one region tell each other of their requests at its upstreams, so that each can
//! expect the queues that all of them make.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::IncarnationId;
use crate::opaque::affinity::{PromptPlacement, UpstreamTag};
use crate::opaque::peer_table::VmTag;
use crate::opaque::queue_rank::UnreadTokens;
use crate::opaque::region_book::RegionReport;
use crate::time::MonoTime;
use crate::units::CoreShare;

/// Between two reports of a VM, where few VMs share a region.
pub const SHARE_INTERVAL: Duration = Duration::from_millis(50);
/// With more VMs that have requests the interval grows by this for each of them, so that a VM hears about as many
/// reports a second in any region.
pub const SHARE_INTERVAL_PER_VM: Duration = Duration::from_millis(3);
/// A VM that reported nothing for this many intervals has no requests any more, or nobody knows.
const STALE_INTERVALS: u32 = 8;

/// The requests of one VM at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamShare {
    /// Requests that it has.
    pub in_flight: u16,
    /// Those of them that can still be answered as wanted.
    pub whole: u16,
    /// Those that go behind all others, and were not answered yet.
    pub behind: u16,
    /// Prompt tokens of those that were not answered yet.
    pub unread: UnreadTokens,
}

/// What one VM reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The VM.
    pub vm: VmTag,
    /// Its process lifetime.
    pub incarnation: IncarnationId,
    /// Rises with each report of one lifetime.
    pub sequence: u32,
    /// The upstreams at which it has requests.
    pub shares: Vec<(UpstreamTag, UpstreamShare)>,
    /// Long prompts that it sent since its last report.
    pub placements: Vec<PromptPlacement>,
    /// What delegates of other regions told it since its last report.
    pub regions: Vec<RegionReport>,
    /// The processor time that its requests take.
    pub busy: CoreShare,
}

impl LoadReport {
    /// Whether its VM has requests at an upstream.
    pub fn is_active(&self) -> bool {
        !self.shares.is_empty()
    }
}

#[derive(Debug)]
struct HeardReport {
    order: (IncarnationId, u32),
    heard: MonoTime,
    shares: Vec<(UpstreamTag, UpstreamShare)>,
    busy: CoreShare,
}

/// The newest reports of the other VMs.
#[derive(Debug, Default)]
pub struct LoadBook {
    reports: BTreeMap<VmTag, HeardReport>,
}

impl LoadBook {
    /// Takes in a report. Returns whether it is newer than the one held.
    pub fn hear(&mut self, report: LoadReport, now: MonoTime) -> bool {
        let order = (report.incarnation, report.sequence);
        if self.reports.get(&report.vm).is_some_and(|held| order <= held.order) {
            return false;
        }
        let heard = HeardReport { order, heard: now, shares: report.shares, busy: report.busy };
        self.reports.insert(report.vm, heard);
        true
    }

    /// The sum over the other VMs for each upstream, where `interval` lies between two reports.
    pub fn totals(
        &mut self,
        interval: Duration,
        now: MonoTime,
    ) -> HashMap<UpstreamTag, UpstreamShare> {
        let limit = interval * STALE_INTERVALS;
        self.reports.retain(|_, report| now.since(report.heard) < limit);
        let mut totals: HashMap<UpstreamTag, UpstreamShare> = HashMap::new();
        for (tag, share) in self.reports.values().flat_map(|report| &report.shares) {
            let total = totals.entry(*tag).or_default();
            total.in_flight = total.in_flight.saturating_add(share.in_flight);
            total.whole = total.whole.saturating_add(share.whole);
            total.behind = total.behind.saturating_add(share.behind);
            total.unread = total.unread.plus(share.unread);
        }
        totals
    }

    /// The VMs that had requests at an upstream by their newest reports.
    pub fn active(&self) -> impl Iterator<Item = VmTag> {
        let with_requests = self.reports.iter().filter(|(_, report)| !report.shares.is_empty());
        with_requests.map(|(vm, _)| *vm)
    }

    /// The processor time that the requests of the other VMs take together.
    pub fn busy(&self) -> CoreShare {
        let reports = self.reports.values();
        reports.fold(CoreShare::default(), |sum, report| sum.plus(report.busy))
    }
}

/// The interval between two reports where so many other VMs report.
pub fn share_interval(others: usize) -> Duration {
    SHARE_INTERVAL.max(SHARE_INTERVAL_PER_VM * others as u32)
}
