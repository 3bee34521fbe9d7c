//! Handles the speed reports of other VMs, and plans those of this one.

use std::net::SocketAddr;

use foldhaven_core::opaque::affinity::RingPosition;
use foldhaven_core::opaque::peer_table::VmTag;
use foldhaven_core::opaque::speed_reports::{MAX_NOTICES_PER_REPORT, SpeedNotice, SpeedReport};
use xtra::{Context, Handler};

use super::ControlActor;

/// The speeds of upstreams that another VM of the region has measured.
pub struct ReceiveSpeedReport {
    pub report: SpeedReport,
}

impl Handler<ReceiveSpeedReport> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveSpeedReport, _: &mut Context<Self>) {
        let now = self.now();
        let upstreams = &self.upstreams;
        let is_listed = |tag| upstreams.find(tag).is_some();
        let affected = self.speeds.apply(&message.report, is_listed, now);
        let ignored = message.report.notices.len() - affected.len();
        self.shared.metrics.add_events("speed_notices_ignored", ignored as u64);
        self.shared.metrics.add_events("speed_notices_applied", affected.len() as u64);
        for upstream in affected.iter().filter_map(|tag| self.upstreams.find(*tag)) {
            let others = self.speeds.total(upstream.tag, now);
            upstream.performance.lock().speed.set_others(others);
        }
    }
}

/// Requests the speed report that this VM sends in one round.
pub struct PlanSpeedReport;

/// A speed report, and the VMs that it is sent to.
pub struct PlannedSpeedReport {
    pub report: SpeedReport,
    pub targets: Vec<SocketAddr>,
}

impl Handler<PlanSpeedReport> for ControlActor {
    /// `None` if this VM has measured nothing since its last report.
    type Return = Option<PlannedSpeedReport>;

    async fn handle(
        &mut self,
        _: PlanSpeedReport,
        _: &mut Context<Self>,
    ) -> Option<PlannedSpeedReport> {
        let notices = self.take_speed_notices();
        if notices.is_empty() {
            return None;
        }
        self.speed_report_rounds += 1;
        let report = SpeedReport {
            vm: VmTag::of(&self.shared.settings.vm),
            incarnation: self.peers.incarnation(),
            sequence: self.speed_report_rounds,
            notices,
        };
        Some(PlannedSpeedReport { report, targets: self.local_peers() })
    }
}

impl ControlActor {
    /// Returns the measurements of this VM that it has not reported yet, as far as they fit into
    /// one report. They begin with any upstream, so that none is left out for long.
    fn take_speed_notices(&self) -> Vec<SpeedNotice> {
        let now = self.now();
        let start = RingPosition(rand::random());
        let groups = self.upstreams.groups_in(self.shared.settings.region());
        let upstreams = groups.flat_map(|(_, group)| group.iter_from(start));
        let notices = upstreams.filter_map(|upstream| {
            let sums = upstream.performance.lock().speed.take_unsent(now)?;
            Some(SpeedNotice::of(upstream.tag, sums))
        });
        notices.take(MAX_NOTICES_PER_REPORT).collect()
    }

    /// Drops old measurements of other VMs.
    pub(super) fn forget_speeds(&mut self) {
        let upstreams = &self.upstreams;
        self.speeds.remove_expired(|tag| upstreams.find(tag).is_some(), self.shared.now());
        self.shared.metrics.set_level("reported_speeds", self.speeds.len() as u64);
    }
}
