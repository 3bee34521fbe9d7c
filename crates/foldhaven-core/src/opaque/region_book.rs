//! What regions tell each other of themselves: which of their VMs serve, and the waits that requests
//! would meet at their upstreams.
//!
//! A few delegates of each region report for all of its VMs, to one VM of each other region at a time,
//! which tells the rest there. So what crosses regions does not grow with the square of the VMs, and is
//! as fresh at every VM as at the one that took it.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{IncarnationId, RegionName, ServiceName};
use crate::opaque::peer_table::{ServiceTag, ServiceWait, VmIncarnation, VmTag};
use crate::time::MonoTime;

/// Between two reports of a delegate.
pub const REGION_INTERVAL: Duration = Duration::from_millis(250);
/// Each so many reports tell who serves; waits go with all of them.
pub const LIVES_EVERY: u32 = 3;
/// Waits that were told this long ago are not believed any more: a peak moves within seconds.
const WAIT_LIMIT: Duration = Duration::from_secs(4);

/// What a delegate tells of its region.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RegionReport {
    /// The region.
    pub region: RegionName,
    /// The delegate.
    pub teller: VmTag,
    /// Its process lifetime.
    pub incarnation: IncarnationId,
    /// Rises with each report of one lifetime.
    pub sequence: u32,
    /// The waits at the upstreams of the region.
    pub waits: Vec<ServiceWait>,
    /// The VMs that serve there, as the delegate heard from each of them; empty in most reports.
    pub lives: Vec<VmIncarnation>,
}

#[derive(Debug)]
struct HeardRegion {
    order: (IncarnationId, u32),
    heard: MonoTime,
    waits: Vec<ServiceWait>,
}

/// The newest reports of the delegates of other regions.
#[derive(Debug, Default)]
pub struct RegionBook {
    reports: BTreeMap<(RegionName, VmTag), HeardRegion>,
}

impl RegionBook {
    /// Takes in a report. Returns whether it is newer than the one held of its delegate.
    pub fn hear(&mut self, report: &RegionReport, now: MonoTime) -> bool {
        let order = (report.incarnation, report.sequence);
        let key = (report.region.clone(), report.teller);
        if self.reports.get(&key).is_some_and(|held| order <= held.order) {
            return false;
        }
        let heard = HeardRegion { order, heard: now, waits: report.waits.clone() };
        self.reports.insert(key, heard);
        true
    }

    /// Drops reports of delegates that tell nothing any more.
    pub fn forget(&mut self, now: MonoTime) {
        self.reports.retain(|_, report| now.since(report.heard) < WAIT_LIMIT);
    }

    /// What a request for a service would meet in a region by the newest report; nothing when none is
    /// fresh.
    pub fn wait(
        &self,
        region: &RegionName,
        service: &ServiceName,
        now: MonoTime,
    ) -> Option<ServiceWait> {
        let tag = ServiceTag::of(service);
        self.newest(region, now)?.waits.iter().find(|wait| wait.service == tag).copied()
    }

    /// Whether a region tells of itself, but of no wait for a service: none of its upstreams takes requests.
    pub fn is_closed(&self, region: &RegionName, service: &ServiceName, now: MonoTime) -> bool {
        self.newest(region, now).is_some() && self.wait(region, service, now).is_none()
    }

    /// The newest report of a region, if it is fresh.
    fn newest(&self, region: &RegionName, now: MonoTime) -> Option<&HeardRegion> {
        let of_region = self.reports.iter().filter(|((name, _), _)| name == region);
        let newest = of_region.map(|(_, report)| report).max_by_key(|report| report.heard)?;
        (now.since(newest.heard) < WAIT_LIMIT).then_some(newest)
    }
}
