//! Handles load reports, prompt placements and region reports of other VMs, and plans those of this
//! one.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::ids::ServiceName;
use foldhaven_core::opaque::affinity::PromptPlacement;
use foldhaven_core::opaque::load_reports::{LevelReport, LoadReport, report_interval};
use foldhaven_core::opaque::peer_table::{PeerHeartbeat, PeerPhase, ServiceTag, VmTag};
use foldhaven_core::opaque::region_reports::{REGION_INTERVAL, RegionReport, VM_LIST_EVERY};
use foldhaven_core::opaque::report_planner::{ReportBatch, ReportTarget, ReportUpdates};
use foldhaven_core::opaque::room_reports::LevelRoomReport;
use xtra::{Context, Handler};

use super::ControlActor;
use crate::destinations::own_room;

/// A load report received from another VM of the region.
pub struct ReceiveLoadReport {
    pub report: LoadReport,
}

impl Handler<ReceiveLoadReport> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveLoadReport, _: &mut Context<Self>) {
        let mut report = message.report;
        let placements = std::mem::take(&mut report.placements);
        let regions = std::mem::take(&mut report.regions);
        let now = self.now();
        let (vm, incarnation) = (report.vm, report.incarnation);
        let Some(touched) = self.loads.apply(report, now) else { return };
        for upstream in touched.iter().filter_map(|tag| self.upstreams.find(*tag)) {
            upstream.set_peer_load(self.loads.total(upstream.tag));
        }
        self.peers.record_load_report(vm, incarnation, now);
        self.record_placements(&placements);
        for region in &regions {
            self.apply_region_report(region);
        }
    }
}

/// The levels of a load report received from another VM of the region.
pub struct ReceiveLevelReport {
    pub report: LevelReport,
}

impl Handler<ReceiveLevelReport> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveLevelReport, _: &mut Context<Self>) {
        let Some(touched) = self.loads.apply_levels(message.report) else { return };
        for upstream in touched.iter().filter_map(|tag| self.upstreams.find(*tag)) {
            upstream.set_peer_levels(self.loads.total_levels(upstream.tag));
        }
        self.shared.set_waiting_elsewhere(self.loads.waiting());
    }
}

/// A region report received from a delegate of another region.
pub struct ReceiveRegionReport {
    pub report: RegionReport,
}

impl Handler<ReceiveRegionReport> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveRegionReport, _: &mut Context<Self>) {
        if self.apply_region_report(&message.report) {
            self.relayed_regions.push(message.report);
        }
    }
}

/// The room of another region, received from one of its delegates or from a VM of this region that
/// relays it.
pub struct ReceiveRoomReport {
    pub report: LevelRoomReport,
}

impl Handler<ReceiveRoomReport> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceiveRoomReport, _: &mut Context<Self>) {
        let report = message.report;
        if self.apply_room_report(&report) && !report.is_relayed {
            self.relayed_rooms.push(LevelRoomReport { is_relayed: true, ..report });
        }
    }
}

/// Prompt placements received from a VM of another region, which sent these prompts to its
/// upstreams.
pub struct ReceivePlacements {
    pub placements: Vec<PromptPlacement>,
}

impl Handler<ReceivePlacements> for ControlActor {
    type Return = ();

    async fn handle(&mut self, message: ReceivePlacements, _: &mut Context<Self>) {
        self.record_placements(&message.placements);
        self.relayed_placements.extend(message.placements);
    }
}

/// Requests the load report that this VM sends in one round.
pub struct PlanLoadReport {
    /// How late the timer of the round fired.
    pub timer_delay: Duration,
}

/// A load report, its targets, and the delay until the next report.
pub struct PlannedLoadReport {
    /// The load of this VM. Each of the batches adds its own placements and region reports.
    pub report: LoadReport,
    /// The priority levels of its requests. `None` if no service has levels.
    pub levels: Option<LevelReport>,
    pub batches: Vec<ReportBatch>,
    /// One VM of each other region, which relays the placements and the region report there.
    pub remote_targets: Vec<SocketAddr>,
    pub remote_placements: Vec<PromptPlacement>,
    /// The report of this region for the remote targets. `None` unless this VM is a delegate and a
    /// report is due.
    pub region: Option<RegionReport>,
    /// The room of this region for the remote targets, sent with the report of the region.
    pub rooms: Option<LevelRoomReport>,
    /// The rooms of other regions for the VMs of this one.
    pub relayed_rooms: Vec<LevelRoomReport>,
    pub interval: Duration,
}

impl Handler<PlanLoadReport> for ControlActor {
    type Return = PlannedLoadReport;

    async fn handle(&mut self, plan: PlanLoadReport, _: &mut Context<Self>) -> PlannedLoadReport {
        self.meter.record_timer_delay(plan.timer_delay);
        self.load_report_rounds += 1;
        self.publish_deferred();
        self.remove_stale_loads();
        let targets = self.report_targets();
        let remote_placements = self.shared.placements.lock().take();
        let mut placements = std::mem::take(&mut self.relayed_placements);
        placements.extend(remote_placements.iter().cloned());
        let updates =
            ReportUpdates { placements, regions: std::mem::take(&mut self.relayed_regions) };
        let (report, levels) = self.own_report();
        let (batches, interval) = self.plan_batches(&targets, updates, report.is_active());
        let region = self.due_region_report();
        let has_remote_updates = region.is_some() || !remote_placements.is_empty();
        let now = self.now();
        let remote_targets = match has_remote_updates {
            true => self.peers.one_serving_per_remote_region(now),
            false => Vec::new(),
        };
        PlannedLoadReport {
            report,
            levels,
            batches,
            remote_targets,
            remote_placements,
            rooms: region.as_ref().and_then(|region| self.own_rooms(region)),
            region,
            relayed_rooms: std::mem::take(&mut self.relayed_rooms),
            interval,
        }
    }
}

impl ControlActor {
    /// Returns the other VMs of this region, and whether each of them has requests in flight.
    fn report_targets(&self) -> Vec<ReportTarget> {
        let active: HashSet<VmTag> = self.loads.active_vms().collect();
        let local = self.peers.live_local(self.now());
        let target = |heartbeat: &PeerHeartbeat| ReportTarget {
            address: heartbeat.peer,
            is_active: active.contains(&VmTag::of(&heartbeat.vm)),
        };
        local.map(target).collect()
    }

    /// Returns the targets of this round, and the delay until the next one. A VM without requests
    /// reports that it is live only to the VMs that take requests at any load; the others learn it
    /// from heartbeats.
    fn plan_batches(
        &mut self,
        targets: &[ReportTarget],
        updates: ReportUpdates,
        is_active: bool,
    ) -> (Vec<ReportBatch>, Duration) {
        if !is_active {
            let interval = report_interval(targets.len());
            let baseline = self.peers.baseline_addresses(self.now());
            let batch = self.report_plan.plan_idle(targets, baseline, updates);
            return (vec![batch], interval);
        }
        let active = targets.iter().filter(|target| target.is_active).count();
        let interval = report_interval(active);
        (self.report_plan.plan_round(targets, updates, interval), interval)
    }

    /// Returns a report of the requests that this VM has at each upstream, and one of their levels.
    fn own_report(&mut self) -> (LoadReport, Option<LevelReport>) {
        let busy = self.meter.busy(self.shared.accepted_requests(), self.shared.settings.cores);
        let shares = self.shared.busy_upstreams.shares();
        let report = LoadReport {
            vm: VmTag::of(&self.shared.settings.vm),
            incarnation: self.peers.incarnation(),
            sequence: self.load_report_rounds,
            shares: shares.iter().map(|it| (it.tag, it.share)).collect(),
            placements: Vec::new(),
            regions: Vec::new(),
            busy,
        };
        let has_levels = self.shared.view().is_some_and(|view| view.routes.has_levels());
        let levels = has_levels.then(|| LevelReport {
            vm: report.vm,
            incarnation: report.incarnation,
            sequence: report.sequence,
            levels: shares.iter().map(|it| it.levels.shares().collect()).collect(),
            waiting: self.shared.waiting_rooms.counts(self.now()),
        });
        (report, levels)
    }

    /// Returns the report of this region for other regions, if this VM is a delegate and a report
    /// is due.
    fn due_region_report(&mut self) -> Option<RegionReport> {
        let now = self.now();
        let is_due =
            self.last_region_report.is_none_or(|reported| now.since(reported) >= REGION_INTERVAL);
        if !is_due || self.phase() != PeerPhase::Serving || !self.peers.is_delegate(now) {
            return None;
        }
        self.last_region_report = Some(now);
        self.region_report_count += 1;
        let mut incarnations = Vec::new();
        if self.region_report_count.is_multiple_of(VM_LIST_EVERY) {
            incarnations = self.peers.directly_seen_incarnations(now);
            incarnations.push(self.own_heartbeat().vm_incarnation());
        }
        Some(RegionReport {
            region: self.shared.settings.region().clone(),
            delegate: VmTag::of(&self.shared.settings.vm),
            incarnation: self.peers.incarnation(),
            sequence: self.region_report_count,
            waits: self.local_waits(),
            live_vms: incarnations,
        })
    }

    /// Returns the room of the services with priority levels in this region. `None` if there are
    /// none.
    fn own_rooms(&self, region: &RegionReport) -> Option<LevelRoomReport> {
        let view = self.shared.view().filter(|view| view.routes.has_levels())?;
        let services = view.upstreams.keys().filter(|it| view.routes.levels(it).is_some());
        let remote_rooms = self.shared.remote_rooms.lock();
        let rooms = services.filter_map(|service| {
            let own = own_room(&self.shared, &view, service)?;
            let tag = ServiceTag::of(service);
            Some((tag, remote_rooms.reported_rooms(tag, &own, self.now())))
        });
        Some(LevelRoomReport {
            region: region.region.clone(),
            delegate: region.delegate,
            incarnation: region.incarnation,
            sequence: region.sequence,
            is_relayed: false,
            rooms: rooms.collect(),
        })
    }

    /// Applies the room of another region. Returns whether it is new.
    fn apply_room_report(&mut self, report: &LevelRoomReport) -> bool {
        if report.region == *self.shared.settings.region() {
            return false;
        }
        let Some(view) = self.shared.view() else { return false };
        let own = |tag: ServiceTag| {
            let service = view.upstreams.keys().find(|service| ServiceTag::of(service) == tag)?;
            own_room(&self.shared, &view, service)
        };
        let now = self.now();
        self.shared.remote_rooms.lock().apply(report, own, rand::random(), now)
    }

    /// Applies the report of another region. Returns whether it is new.
    fn apply_region_report(&mut self, report: &RegionReport) -> bool {
        let now = self.now();
        if report.region == *self.shared.settings.region() {
            return false;
        }
        let open_before = self.regions.open_services(&report.region, now);
        if !self.regions.apply(report, now) {
            return false;
        }
        let open_now = self.regions.open_services(&report.region, now);
        if open_before != open_now {
            self.log_open_services(report, open_now.unwrap_or_default());
        }
        if self.peers.apply_reported_incarnations(&report.live_vms, now) {
            self.publish_members_later();
        }
        true
    }

    /// Logs of which services a region has accepting upstreams, and which delegate reported it.
    fn log_open_services(&self, report: &RegionReport, open: BTreeSet<ServiceTag>) {
        self.shared.metrics.count_event("region_services_changed");
        if !self.shared.quota.take(true) {
            return;
        }
        let listed = self.upstreams.groups_in(&report.region).map(|(service, _)| service);
        let closed: Vec<&str> = listed
            .filter(|service| !open.contains(&ServiceTag::of(service)))
            .map(ServiceName::as_str)
            .collect();
        let (region, delegate) = (&report.region, report.delegate.0);
        let open = open.len();
        tracing::info!(%region, delegate, open, ?closed, "open services of a region changed");
    }

    fn record_placements(&self, placements: &[PromptPlacement]) {
        let mut prefix_caches = self.shared.prefix_caches.lock();
        for placement in placements {
            let upstream = self.upstreams.find(placement.upstream);
            let capacity = upstream.map_or(0, |upstream| upstream.identity.prompt_memory);
            prefix_caches.record(placement, capacity);
        }
    }

    /// Drops the loads of VMs that stopped reporting.
    fn remove_stale_loads(&mut self) {
        let interval = report_interval(self.local_peers().len());
        let touched = self.loads.remove_stale(interval, self.now());
        if touched.is_empty() {
            return;
        }
        for upstream in touched.iter().filter_map(|tag| self.upstreams.find(*tag)) {
            upstream.set_peer_load(self.loads.total(upstream.tag));
            upstream.set_peer_levels(self.loads.total_levels(upstream.tag));
        }
        self.shared.set_waiting_elsewhere(self.loads.waiting());
    }
}
