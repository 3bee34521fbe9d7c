//! What the VMs of one region tell each other of their requests at its upstreams, so that each can
//! expect the queues that all of them make.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::IncarnationId;
use crate::opaque::affinity::{PromptPlacement, UpstreamTag};
use crate::opaque::peer_table::VmTag;
use crate::opaque::queue_rank::UnreadTokens;
use crate::opaque::region_reports::RegionReport;
use crate::time::MonoTime;
use crate::units::CoreShare;

/// Between two reports of a VM, where few VMs share a region.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// With more VMs that have requests the interval grows by this for each of them, so that a VM hears about as many
/// reports a second in any region.
pub const REPORT_INTERVAL_PER_VM: Duration = Duration::from_millis(3);
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
struct ReceivedReport {
    order: (IncarnationId, u32),
    received: MonoTime,
    shares: Vec<(UpstreamTag, UpstreamShare)>,
    busy: CoreShare,
}

/// The requests of several VMs at one upstream. Wider than [`UpstreamShare`], so that what was added can be taken
/// off again whatever the sum.
#[derive(Debug, Clone, Copy, Default)]
struct ShareSum {
    vms: u32,
    in_flight: u64,
    whole: u64,
    behind: u64,
    unread_timely: u64,
    unread_behind: u64,
}

impl ShareSum {
    fn add(&mut self, share: &UpstreamShare) {
        self.vms += 1;
        self.in_flight += u64::from(share.in_flight);
        self.whole += u64::from(share.whole);
        self.behind += u64::from(share.behind);
        self.unread_timely += u64::from(share.unread.timely);
        self.unread_behind += u64::from(share.unread.behind);
    }

    fn subtract(&mut self, share: &UpstreamShare) {
        self.vms -= 1;
        self.in_flight -= u64::from(share.in_flight);
        self.whole -= u64::from(share.whole);
        self.behind -= u64::from(share.behind);
        self.unread_timely -= u64::from(share.unread.timely);
        self.unread_behind -= u64::from(share.unread.behind);
    }

    fn share(&self) -> UpstreamShare {
        let count = |sum: u64| u16::try_from(sum).unwrap_or(u16::MAX);
        let tokens = |sum: u64| u32::try_from(sum).unwrap_or(u32::MAX);
        UpstreamShare {
            in_flight: count(self.in_flight),
            whole: count(self.whole),
            behind: count(self.behind),
            unread: UnreadTokens {
                timely: tokens(self.unread_timely),
                behind: tokens(self.unread_behind),
            },
        }
    }
}

/// The newest reports of the other VMs, and their sums.
///
/// The sums follow each report at once. Taken only with the own reports they would be older by half of what lies
/// between these: with 51 VMs, 200 ms apart, in an overload of 1.4 times what 46 engines do, that is the
/// difference between 75 and 83 in 100 of the work answered in time (`foldhaven-testkit simulate`).
#[derive(Debug, Default)]
pub struct LoadTable {
    reports: BTreeMap<VmTag, ReceivedReport>,
    sums: HashMap<UpstreamTag, ShareSum>,
}

impl LoadTable {
    /// Takes in a report. Returns the upstreams at which its VM has or had requests; nothing when the report is not
    /// newer than the one held.
    pub fn apply(&mut self, report: LoadReport, now: MonoTime) -> Option<Vec<UpstreamTag>> {
        let order = (report.incarnation, report.sequence);
        if self.reports.get(&report.vm).is_some_and(|newest| order <= newest.order) {
            return None;
        }
        let mut affected: Vec<UpstreamTag> = report.shares.iter().map(|(tag, _)| *tag).collect();
        for (tag, share) in &report.shares {
            self.sums.entry(*tag).or_default().add(share);
        }
        let received =
            ReceivedReport { order, received: now, shares: report.shares, busy: report.busy };
        if let Some(previous) = self.reports.insert(report.vm, received) {
            affected.extend(previous.shares.iter().map(|(tag, _)| *tag));
            subtract(&mut self.sums, &previous);
        }
        affected.sort_unstable();
        affected.dedup();
        Some(affected)
    }

    /// Leaves out the VMs that reported nothing for some intervals, where `interval` lies between two reports.
    pub fn remove_stale(&mut self, interval: Duration, now: MonoTime) {
        let limit = interval * STALE_INTERVALS;
        let is_stale = |report: &ReceivedReport| now.since(report.received) >= limit;
        for stale in self.reports.extract_if(.., |_, report| is_stale(report)) {
            subtract(&mut self.sums, &stale.1);
        }
    }

    /// The sum over the other VMs for an upstream.
    pub fn total(&self, upstream: UpstreamTag) -> UpstreamShare {
        self.sums.get(&upstream).map_or(UpstreamShare::default(), ShareSum::share)
    }

    /// The VMs that had requests at an upstream by their newest reports.
    pub fn active_vms(&self) -> impl Iterator<Item = VmTag> {
        let active = self.reports.iter().filter(|(_, report)| !report.shares.is_empty());
        active.map(|(vm, _)| *vm)
    }

    /// The processor time that the requests of the other VMs take together.
    pub fn busy(&self) -> CoreShare {
        let reports = self.reports.values();
        reports.fold(CoreShare::default(), |sum, report| sum.plus(report.busy))
    }
}

/// Takes a report out of the sums.
fn subtract(sums: &mut HashMap<UpstreamTag, ShareSum>, report: &ReceivedReport) {
    for (tag, share) in &report.shares {
        if let Some(sum) = sums.get_mut(tag) {
            sum.subtract(share);
            if sum.vms == 0 {
                sums.remove(tag);
            }
        }
    }
}

/// The interval between two reports where so many other VMs report.
pub fn report_interval(others: usize) -> Duration {
    REPORT_INTERVAL.max(REPORT_INTERVAL_PER_VM * others as u32)
}
