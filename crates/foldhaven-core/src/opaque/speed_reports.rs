//! Speed reports: what the VMs of one region report to each other about the speeds of its
//! upstreams, so that each uses the measurements of all.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::IncarnationId;
use crate::opaque::affinity::UpstreamTag;
use crate::opaque::peer_table::VmTag;
use crate::opaque::upstream_speed::{SpeedSums, TimeSums};
use crate::time::MonoTime;

/// The interval between two reports of a VM. A fraction of the time in which sums decay.
pub const SPEED_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of upstreams in one report, about 1 kB. The others follow in the next one.
pub const MAX_NOTICES_PER_REPORT: usize = 48;
/// The age at which the measurements of a VM are dropped. They have decayed to a twentieth by then.
const MAX_AGE: Duration = Duration::from_secs(90);
/// Maximum sum in seconds that is accepted: that of a thousand streams over the time of decay.
const MAX_SUM_S: f32 = 30_000.0;

/// The sums of one VM for one kind of time, as of the moment at which they were sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportedSums {
    /// The expected times in seconds.
    pub expected_s: f32,
    /// The measured times in seconds.
    pub measured_s: f32,
}

impl ReportedSums {
    fn of(sums: TimeSums) -> Self {
        Self { expected_s: sums.expected_s as f32, measured_s: sums.measured_s as f32 }
    }

    /// Returns the sums, or `None` if they are not plausible.
    fn checked(self) -> Option<TimeSums> {
        let is_plausible = |sum: f32| (0.0..=MAX_SUM_S).contains(&sum);
        let Self { expected_s, measured_s } = self;
        (is_plausible(expected_s) && is_plausible(measured_s))
            .then(|| TimeSums { expected_s: expected_s.into(), measured_s: measured_s.into() })
    }
}

/// The measurements of one VM at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct SpeedNotice {
    /// The upstream.
    pub upstream: UpstreamTag,
    /// The sums of prefill times.
    pub prefill: ReportedSums,
    /// The sums of decode times.
    pub decode: ReportedSums,
}

impl SpeedNotice {
    /// Creates the notice of an upstream's sums, which were decayed to the present.
    pub fn of(upstream: UpstreamTag, sums: SpeedSums) -> Self {
        Self {
            upstream,
            prefill: ReportedSums::of(sums.prefill),
            decode: ReportedSums::of(sums.decode),
        }
    }

    fn checked(&self, now: MonoTime) -> Option<SpeedSums> {
        let (prefill, decode) = (self.prefill.checked()?, self.decode.checked()?);
        Some(SpeedSums { prefill, decode, updated: now })
    }
}

/// A report of one VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// The VM.
    pub vm: VmTag,
    /// Its process incarnation.
    pub incarnation: IncarnationId,
    /// Increases with each report of one incarnation.
    pub sequence: u32,
    /// The upstreams that the VM has measured since it last reported them.
    pub notices: Vec<SpeedNotice>,
}

/// The newest measurements of one VM at one upstream.
#[derive(Debug)]
struct ReceivedSpeed {
    order: (IncarnationId, u32),
    received: MonoTime,
    sums: SpeedSums,
}

/// The newest measurements of the other VMs.
#[derive(Debug, Default)]
pub struct SpeedTable {
    by_upstream: HashMap<UpstreamTag, BTreeMap<VmTag, ReceivedSpeed>>,
}

impl SpeedTable {
    /// Applies a report. Returns the upstreams of which it holds newer measurements. Notices of
    /// upstreams that are not listed and implausible ones are ignored.
    pub fn apply(
        &mut self,
        report: &SpeedReport,
        is_listed: impl Fn(UpstreamTag) -> bool,
        now: MonoTime,
    ) -> Vec<UpstreamTag> {
        let order = (report.incarnation, report.sequence);
        let mut affected = Vec::new();
        for notice in report.notices.iter().filter(|notice| is_listed(notice.upstream)) {
            let Some(sums) = notice.checked(now) else { continue };
            let by_vm = self.by_upstream.entry(notice.upstream).or_default();
            if by_vm.get(&report.vm).is_some_and(|newest| order <= newest.order) {
                continue;
            }
            by_vm.insert(report.vm, ReceivedSpeed { order, received: now, sums });
            affected.push(notice.upstream);
        }
        affected
    }

    /// Drops the measurements of upstreams that are not listed any more, and old ones.
    pub fn remove_expired(&mut self, is_listed: impl Fn(UpstreamTag) -> bool, now: MonoTime) {
        self.by_upstream.retain(|tag, by_vm| {
            by_vm.retain(|_, speed| now.since(speed.received) < MAX_AGE);
            !by_vm.is_empty() && is_listed(*tag)
        });
    }

    /// Returns the sums of all other VMs together for an upstream.
    pub fn total(&self, upstream: UpstreamTag, now: MonoTime) -> SpeedSums {
        let by_vm = self.by_upstream.get(&upstream).into_iter().flat_map(BTreeMap::values);
        let start = SpeedSums { updated: now, ..SpeedSums::default() };
        by_vm.fold(start, |sum, speed| sum.plus(&speed.sums, now))
    }

    /// Returns the number of upstreams of which other VMs have reported measurements.
    pub fn len(&self) -> usize {
        self.by_upstream.len()
    }

    /// Whether no measurements of other VMs are held.
    pub fn is_empty(&self) -> bool {
        self.by_upstream.is_empty()
    }
}
