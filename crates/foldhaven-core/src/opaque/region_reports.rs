//! Region reports: what regions report to each other about themselves, which are the VMs that serve
//! and the waits that requests would have at their upstreams.
//!
//! A few delegates of each region report on behalf of all its VMs, each time to one VM of each
//! other region, which relays the report within its region. This way, traffic between regions does
//! not grow with the square of the number of VMs, and every VM has a report as fresh as that of the
//! VM that received it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{IncarnationId, RegionName, ServiceName};
use crate::opaque::peer_table::{ServiceTag, ServiceWait, VmIncarnation, VmTag};
use crate::time::MonoTime;

/// The interval between two reports of a delegate.
pub const REGION_INTERVAL: Duration = Duration::from_millis(250);
/// One in this many reports lists the VMs that serve; every report contains waits.
pub const VM_LIST_EVERY: u32 = 3;
/// The maximum age of reported waits. Load peaks move within seconds.
const MAX_WAIT_AGE: Duration = Duration::from_secs(4);

/// A report of a delegate about its region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegionReport {
    /// The region.
    pub region: RegionName,
    /// The delegate.
    #[serde(rename = "teller")]
    pub delegate: VmTag,
    /// Its process incarnation.
    pub incarnation: IncarnationId,
    /// Increases with each report of one incarnation.
    pub sequence: u32,
    /// The waits at the upstreams of the region.
    pub waits: Vec<ServiceWait>,
    /// The VMs that serve in the region and from which the delegate recently received messages.
    /// Empty in most reports.
    #[serde(rename = "lives")]
    pub live_vms: Vec<VmIncarnation>,
}

#[derive(Debug)]
struct ReceivedReport {
    order: (IncarnationId, u32),
    received_at: MonoTime,
    waits: Vec<ServiceWait>,
}

/// The newest reports of the delegates of other regions.
#[derive(Debug, Default)]
pub struct RegionReportTable {
    reports: BTreeMap<(RegionName, VmTag), ReceivedReport>,
}

impl RegionReportTable {
    /// Applies a report. Returns whether it is newer than the one held from this delegate.
    pub fn apply(&mut self, report: &RegionReport, now: MonoTime) -> bool {
        let order = (report.incarnation, report.sequence);
        let key = (report.region.clone(), report.delegate);
        if self.reports.get(&key).is_some_and(|latest| order <= latest.order) {
            return false;
        }
        let received = ReceivedReport { order, received_at: now, waits: report.waits.clone() };
        self.reports.insert(key, received);
        true
    }

    /// Drops the reports of delegates that have stopped reporting.
    pub fn remove_stale(&mut self, now: MonoTime) {
        self.reports.retain(|_, report| now.since(report.received_at) < MAX_WAIT_AGE);
    }

    /// Returns the wait of a service in a region according to the newest report; `None` if the
    /// report is stale or lacks the service.
    pub fn wait(
        &self,
        region: &RegionName,
        service: &ServiceName,
        now: MonoTime,
    ) -> Option<ServiceWait> {
        let tag = ServiceTag::of(service);
        self.newest(region, now)?.waits.iter().find(|wait| wait.service == tag).copied()
    }

    /// Returns the services of which a region has accepting upstreams, according to its newest
    /// report; `None` if the report is stale.
    pub fn open_services(
        &self,
        region: &RegionName,
        now: MonoTime,
    ) -> Option<BTreeSet<ServiceTag>> {
        let report = self.newest(region, now)?;
        Some(report.waits.iter().map(|wait| wait.service).collect())
    }

    /// Whether the newest report of a region is fresh but lacks a wait for a service, which means
    /// that none of the service's upstreams there accepts requests.
    pub fn is_closed(&self, region: &RegionName, service: &ServiceName, now: MonoTime) -> bool {
        self.newest(region, now).is_some() && self.wait(region, service, now).is_none()
    }

    /// Returns the newest report of a region if it is fresh.
    fn newest(&self, region: &RegionName, now: MonoTime) -> Option<&ReceivedReport> {
        let of_region = self.reports.iter().filter(|((name, _), _)| name == region);
        let latest = of_region.map(|(_, report)| report).max_by_key(|report| report.received_at)?;
        (now.since(latest.received_at) < MAX_WAIT_AGE).then_some(latest)
    }
}
