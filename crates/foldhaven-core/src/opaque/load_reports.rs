//! Load reports: what the VMs of one region report to each other about their requests at its
//! upstreams, so that each can estimate the queues that all of them cause.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::IncarnationId;
use crate::opaque::affinity::{PromptPlacement, UpstreamTag};
use crate::opaque::level_loads::{LevelLoads, LevelShare};
use crate::opaque::peer_table::{ServiceTag, VmTag};
use crate::opaque::priority_level::{LEVEL_COUNT, PriorityLevel};
use crate::opaque::queue_rank::PrefillBacklog;
use crate::opaque::region_reports::RegionReport;
use crate::time::MonoTime;
use crate::units::CoreShare;

/// The minimum interval between two reports of a VM, which applies if few VMs share a region.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// The interval per other VM with requests, so that a VM receives about the same number of reports
/// per second in a region of any size.
pub const REPORT_INTERVAL_PER_VM: Duration = Duration::from_millis(3);
/// The report of a VM is dropped after this many intervals without a new one: the VM has no
/// requests any more, or its state is unknown.
const STALE_INTERVALS: u32 = 8;

/// The requests of one VM at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamShare {
    /// Requests in flight.
    pub in_flight: u16,
    /// Requests that can still be answered within their target.
    #[serde(rename = "whole")]
    pub on_track: u16,
    /// Unanswered deferred requests, which run after all timely ones.
    #[serde(rename = "behind")]
    pub deferred: u16,
    /// Prompt tokens of requests that have not been answered yet.
    #[serde(rename = "unread")]
    pub prefill_backlog: PrefillBacklog,
}

/// A report of one VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The VM.
    pub vm: VmTag,
    /// Its process incarnation.
    pub incarnation: IncarnationId,
    /// Increases with each report of one incarnation.
    pub sequence: u32,
    /// The upstreams at which the VM has requests.
    pub shares: Vec<(UpstreamTag, UpstreamShare)>,
    /// Long prompts that the VM sent since its last report.
    pub placements: Vec<PromptPlacement>,
    /// The reports of other regions' delegates that the VM received since its last report.
    pub regions: Vec<RegionReport>,
    /// The CPU time that the VM uses for its requests.
    pub busy: CoreShare,
}

impl LoadReport {
    /// Whether the VM has requests at any upstream.
    pub fn is_active(&self) -> bool {
        !self.shares.is_empty()
    }
}

/// How the requests of a load report are divided between priority levels, and how many requests
/// wait at the VM. Sent beside the load report, which earlier daemons read too.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LevelReport {
    /// The VM.
    pub vm: VmTag,
    /// Its process incarnation.
    pub incarnation: IncarnationId,
    /// The sequence number of the load report.
    pub sequence: u32,
    /// The levels at each upstream of the load report, in the same order.
    pub levels: Vec<Vec<LevelShare>>,
    /// The requests that wait at the VM, by service and level.
    pub waiting: Vec<(ServiceTag, Vec<(PriorityLevel, u16)>)>,
}

#[derive(Debug)]
struct ReceivedReport {
    order: (IncarnationId, u32),
    received: MonoTime,
    shares: Vec<(UpstreamTag, UpstreamShare)>,
    /// The levels of the requests, of this report or of the one before.
    levels: Vec<(UpstreamTag, LevelLoads)>,
    waiting: Vec<(ServiceTag, Vec<(PriorityLevel, u16)>)>,
    busy: CoreShare,
}

/// The requests of several VMs at one upstream. The counters are wider than those of
/// [`UpstreamShare`], so that subtraction is exact whatever the sum.
#[derive(Debug, Clone, Copy, Default)]
struct ShareSum {
    vms: u32,
    in_flight: u64,
    on_track: u64,
    deferred: u64,
    backlog_timely: u64,
    backlog_deferred: u64,
}

impl ShareSum {
    fn add(&mut self, share: &UpstreamShare) {
        self.vms += 1;
        self.in_flight += u64::from(share.in_flight);
        self.on_track += u64::from(share.on_track);
        self.deferred += u64::from(share.deferred);
        self.backlog_timely += u64::from(share.prefill_backlog.timely);
        self.backlog_deferred += u64::from(share.prefill_backlog.deferred);
    }

    fn subtract(&mut self, share: &UpstreamShare) {
        self.vms -= 1;
        self.in_flight -= u64::from(share.in_flight);
        self.on_track -= u64::from(share.on_track);
        self.deferred -= u64::from(share.deferred);
        self.backlog_timely -= u64::from(share.prefill_backlog.timely);
        self.backlog_deferred -= u64::from(share.prefill_backlog.deferred);
    }

    fn share(&self) -> UpstreamShare {
        let count = |sum: u64| u16::try_from(sum).unwrap_or(u16::MAX);
        let tokens = |sum: u64| u32::try_from(sum).unwrap_or(u32::MAX);
        UpstreamShare {
            in_flight: count(self.in_flight),
            on_track: count(self.on_track),
            deferred: count(self.deferred),
            prefill_backlog: PrefillBacklog {
                timely: tokens(self.backlog_timely),
                deferred: tokens(self.backlog_deferred),
            },
        }
    }
}

/// The newest reports of the other VMs, and their sums.
///
/// The sums are updated with each report. If they were updated only when this VM reports, they
/// would be older by half of its report interval: with 51 VMs, an interval of 200 ms and an
/// overload of 1.4 times the capacity of 46 engines, 75 % instead of 83 % of the work is answered
/// in time.
#[derive(Debug, Default)]
pub struct LoadTable {
    reports: BTreeMap<VmTag, ReceivedReport>,
    sums: HashMap<UpstreamTag, ShareSum>,
    level_sums: HashMap<UpstreamTag, LevelSum>,
}

/// The requests of several VMs at one upstream by level.
#[derive(Debug, Clone, Copy, Default)]
struct LevelSum {
    vms: u32,
    in_flight: [u64; LEVEL_COUNT],
    prefill_backlog: [u64; LEVEL_COUNT],
    memory_tokens: [u64; LEVEL_COUNT],
}

impl LevelSum {
    fn add(&mut self, loads: &LevelLoads) {
        self.vms += 1;
        for share in loads.shares() {
            self.in_flight[share.level.index()] += u64::from(share.in_flight);
            self.prefill_backlog[share.level.index()] += u64::from(share.prefill_backlog);
            self.memory_tokens[share.level.index()] += u64::from(share.memory_tokens);
        }
    }

    fn subtract(&mut self, loads: &LevelLoads) {
        self.vms -= 1;
        for share in loads.shares() {
            self.in_flight[share.level.index()] -= u64::from(share.in_flight);
            self.prefill_backlog[share.level.index()] -= u64::from(share.prefill_backlog);
            self.memory_tokens[share.level.index()] -= u64::from(share.memory_tokens);
        }
    }

    fn loads(&self) -> LevelLoads {
        let mut loads = LevelLoads::default();
        for level in PriorityLevel::all() {
            let in_flight = self.in_flight[level.index()];
            let backlog = self.prefill_backlog[level.index()];
            let memory = self.memory_tokens[level.index()];
            loads.add(&LevelShare {
                level,
                in_flight: u16::try_from(in_flight).unwrap_or(u16::MAX),
                prefill_backlog: u32::try_from(backlog).unwrap_or(u32::MAX),
                memory_tokens: u32::try_from(memory).unwrap_or(u32::MAX),
            });
        }
        loads
    }
}

impl LoadTable {
    /// Applies a report. Returns the upstreams at which its VM has or had requests; `None` if the
    /// report is not newer than the one held.
    pub fn apply(&mut self, report: LoadReport, now: MonoTime) -> Option<Vec<UpstreamTag>> {
        let order = (report.incarnation, report.sequence);
        if self.reports.get(&report.vm).is_some_and(|newest| order <= newest.order) {
            return None;
        }
        let mut affected: Vec<UpstreamTag> = report.shares.iter().map(|(tag, _)| *tag).collect();
        for (tag, share) in &report.shares {
            self.sums.entry(*tag).or_default().add(share);
        }
        let mut received = ReceivedReport {
            order,
            received: now,
            shares: report.shares,
            levels: Vec::new(),
            waiting: Vec::new(),
            busy: report.busy,
        };
        if let Some(mut previous) = self.reports.remove(&report.vm) {
            affected.extend(previous.shares.iter().map(|(tag, _)| *tag));
            subtract(&mut self.sums, &previous);
            // The levels of this report arrive in a message of their own.
            received.levels = std::mem::take(&mut previous.levels);
            received.waiting = std::mem::take(&mut previous.waiting);
        }
        self.reports.insert(report.vm, received);
        affected.sort_unstable();
        affected.dedup();
        Some(affected)
    }

    /// Applies the levels of the newest load report of a VM. Returns the upstreams whose sums have
    /// changed; `None` if the load report is not the newest one.
    pub fn apply_levels(&mut self, report: LevelReport) -> Option<Vec<UpstreamTag>> {
        let order = (report.incarnation, report.sequence);
        let held = self.reports.get_mut(&report.vm).filter(|held| held.order == order)?;
        if report.levels.len() != held.shares.len() {
            return None;
        }
        let tags = held.shares.iter().map(|(tag, _)| *tag);
        let levels = tags.zip(&report.levels).map(|(tag, shares)| {
            let mut loads = LevelLoads::default();
            shares.iter().for_each(|share| loads.add(share));
            (tag, loads)
        });
        let previous = std::mem::replace(&mut held.levels, levels.collect());
        held.waiting = report.waiting;
        for (tag, loads) in &held.levels {
            self.level_sums.entry(*tag).or_default().add(loads);
        }
        let mut affected: Vec<UpstreamTag> = held.levels.iter().map(|(tag, _)| *tag).collect();
        affected.extend(previous.iter().map(|(tag, _)| *tag));
        subtract_levels(&mut self.level_sums, &previous);
        affected.sort_unstable();
        affected.dedup();
        Some(affected)
    }

    /// Returns the requests of all other VMs together at an upstream by level.
    pub fn total_levels(&self, upstream: UpstreamTag) -> LevelLoads {
        self.level_sums.get(&upstream).map_or(LevelLoads::default(), LevelSum::loads)
    }

    /// Returns the requests that wait at the other VMs, by service and level.
    pub fn waiting(&self) -> HashMap<ServiceTag, [u32; LEVEL_COUNT]> {
        let mut sums: HashMap<ServiceTag, [u32; LEVEL_COUNT]> = HashMap::new();
        for (service, levels) in self.reports.values().flat_map(|report| &report.waiting) {
            let counts = sums.entry(*service).or_default();
            levels.iter().for_each(|(level, count)| counts[level.index()] += u32::from(*count));
        }
        sums
    }

    /// Drops the VMs that have not reported for several intervals, where `interval` is the time
    /// between two reports. Returns the upstreams at which they had requests.
    pub fn remove_stale(&mut self, interval: Duration, now: MonoTime) -> Vec<UpstreamTag> {
        let limit = interval * STALE_INTERVALS;
        let is_stale = |report: &ReceivedReport| now.since(report.received) >= limit;
        let mut affected = Vec::new();
        for (_, stale) in self.reports.extract_if(.., |_, report| is_stale(report)) {
            subtract(&mut self.sums, &stale);
            subtract_levels(&mut self.level_sums, &stale.levels);
            affected.extend(stale.levels.iter().map(|(tag, _)| *tag));
            affected.extend(stale.shares.iter().map(|(tag, _)| *tag));
        }
        affected
    }

    /// Returns the requests of all other VMs together at an upstream.
    pub fn total(&self, upstream: UpstreamTag) -> UpstreamShare {
        self.sums.get(&upstream).map_or(UpstreamShare::default(), ShareSum::share)
    }

    /// Returns the VMs that had requests at any upstream according to their newest reports.
    pub fn active_vms(&self) -> impl Iterator<Item = VmTag> {
        let active = self.reports.iter().filter(|(_, report)| !report.shares.is_empty());
        active.map(|(vm, _)| *vm)
    }

    /// Returns the total CPU time that the other VMs use for their requests.
    pub fn busy(&self) -> CoreShare {
        let reports = self.reports.values();
        reports.fold(CoreShare::default(), |sum, report| sum.saturating_add(report.busy))
    }
}

/// Subtracts a report from the sums.
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

/// Subtracts the levels of a report from the sums.
fn subtract_levels(
    sums: &mut HashMap<UpstreamTag, LevelSum>,
    levels: &[(UpstreamTag, LevelLoads)],
) {
    for (tag, loads) in levels {
        if let Some(sum) = sums.get_mut(tag) {
            sum.subtract(loads);
            if sum.vms == 0 {
                sums.remove(tag);
            }
        }
    }
}

/// Returns the interval between two reports if `others` other VMs report.
pub fn report_interval(others: usize) -> Duration {
    REPORT_INTERVAL.max(REPORT_INTERVAL_PER_VM * others as u32)
}
