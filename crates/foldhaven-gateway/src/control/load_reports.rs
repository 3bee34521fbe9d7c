//! Takes in load reports, prompt placements and reports of whole regions, and plans those of this VM.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::opaque::affinity::PromptPlacement;
use foldhaven_core::opaque::load_share::{LoadReport, share_interval};
use foldhaven_core::opaque::peer_table::{PeerBeat, PeerPhase, VmTag};
use foldhaven_core::opaque::region_book::{LIVES_EVERY, REGION_INTERVAL, RegionReport};
use foldhaven_core::opaque::report_plan::{ReportLeg, ReportNews, ReportTarget};
use xtra::{Context, Handler};

use super::ControlActor;

/// A load report of another VM of the region arrived.
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
        let Some(touched) = self.loads.hear(report, now) else { return };
        for upstream in touched.iter().filter_map(|tag| self.by_tag.get(tag)) {
            upstream.set_others(self.loads.total(upstream.tag));
        }
        self.peers.note_report(vm, incarnation, now);
        self.record_placements(&placements);
        for region in &regions {
            self.apply_region_report(region);
        }
    }
}

/// A delegate of another region told of it.
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

/// A VM of another region told of prompts that were sent there.
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

/// Asks for the load report of a round.
pub struct PlanLoadReport {
    /// How much later than planned the timer of the round fired.
    pub timer_delay: Duration,
}

/// A load report, whom to send it to, and when the next one is due.
pub struct PlannedLoadReport {
    /// The load; each leg has its own news.
    pub report: LoadReport,
    pub legs: Vec<ReportLeg>,
    /// A VM of each other region, which tells the rest there of these prompts.
    pub remote_targets: Vec<SocketAddr>,
    pub remote_placements: Vec<PromptPlacement>,
    /// What the VMs of the far targets are told of this region, where this VM speaks for it.
    pub region: Option<RegionReport>,
    pub interval: Duration,
}

impl Handler<PlanLoadReport> for ControlActor {
    type Return = PlannedLoadReport;

    async fn handle(&mut self, plan: PlanLoadReport, _: &mut Context<Self>) -> PlannedLoadReport {
        self.meter.record_timer_delay(plan.timer_delay);
        self.load_report_rounds += 1;
        self.publish_deferred();
        self.update_peer_loads();
        let targets = self.report_targets();
        let remote_placements = std::mem::take(&mut *self.shared.placements.lock());
        let mut placements = std::mem::take(&mut self.relayed_placements);
        placements.extend(remote_placements.iter().cloned());
        let news = ReportNews { placements, regions: std::mem::take(&mut self.relayed_regions) };
        let report = self.own_report();
        let (legs, interval) = self.plan_legs(&targets, news, report.is_active());
        let region = self.due_region_report();
        let has_remote_news = region.is_some() || !remote_placements.is_empty();
        let now = self.now();
        let remote_targets = match has_remote_news {
            true => self.peers.one_in_service_of_each_region(now),
            false => Vec::new(),
        };
        PlannedLoadReport { report, legs, remote_targets, remote_placements, region, interval }
    }
}

impl ControlActor {
    /// The other VMs of this region, and which of them have requests.
    fn report_targets(&self) -> Vec<ReportTarget> {
        let active: HashSet<VmTag> = self.loads.active().collect();
        let local = self.peers.near(self.now());
        let target = |beat: &PeerBeat| ReportTarget {
            address: beat.peer,
            is_active: active.contains(&VmTag::of(&beat.vm)),
        };
        local.map(target).collect()
    }

    /// Who is told in this round, and when the next one is due. A VM without requests tells that it lives to those
    /// that speak for the region; others hear of that by heartbeats.
    fn plan_legs(
        &mut self,
        targets: &[ReportTarget],
        news: ReportNews,
        is_active: bool,
    ) -> (Vec<ReportLeg>, Duration) {
        if !is_active {
            let interval = share_interval(targets.len());
            let standing = self.peers.standing_addresses(self.now());
            let leg = self.report_plan.next_idle(targets, standing, news);
            return (vec![leg], interval);
        }
        let active = targets.iter().filter(|target| target.is_active).count();
        let interval = share_interval(active);
        (self.report_plan.next(targets, news, interval), interval)
    }

    /// The requests that this VM has at each upstream.
    fn own_report(&mut self) -> LoadReport {
        let busy = self.meter.busy(self.shared.taken(), self.shared.settings.cores);
        let own = self.upstreams.values().map(|upstream| (upstream.tag, upstream.load.share()));
        LoadReport {
            vm: VmTag::of(&self.shared.settings.vm),
            incarnation: self.peers.incarnation(),
            sequence: self.load_report_rounds,
            shares: own.filter(|(_, share)| share.in_flight > 0).collect(),
            placements: Vec::new(),
            regions: Vec::new(),
            busy,
        }
    }

    /// The report of this region to the others, when this VM speaks for it and one is due.
    fn due_region_report(&mut self) -> Option<RegionReport> {
        let now = self.now();
        let is_due = self.last_region_report.is_none_or(|told| now.since(told) >= REGION_INTERVAL);
        if !is_due || self.phase() != PeerPhase::Serving || !self.peers.is_delegate(now) {
            return None;
        }
        self.last_region_report = Some(now);
        self.region_report_count += 1;
        let mut lives = Vec::new();
        if self.region_report_count.is_multiple_of(LIVES_EVERY) {
            lives = self.peers.heard_lives(now);
            lives.push(self.own_heartbeat().life());
        }
        Some(RegionReport {
            region: self.shared.settings.region().clone(),
            teller: VmTag::of(&self.shared.settings.vm),
            incarnation: self.peers.incarnation(),
            sequence: self.region_report_count,
            waits: self.local_waits(),
            lives,
        })
    }

    /// Takes in what a delegate tells of its region. Returns whether it is new.
    fn apply_region_report(&mut self, report: &RegionReport) -> bool {
        let now = self.now();
        if report.region == *self.shared.settings.region() || !self.regions.hear(report, now) {
            return false;
        }
        if self.peers.note_lives(&report.lives, now) {
            self.publish_later();
        }
        true
    }

    fn record_placements(&self, placements: &[PromptPlacement]) {
        let mut hints = self.shared.hints.lock();
        for placement in placements {
            hints.note(placement);
        }
    }

    /// Leaves out VMs that are silent, and hands the requests of the others to the upstreams that they are at.
    fn update_peer_loads(&mut self) {
        let interval = share_interval(self.local_peers().len());
        self.loads.forget_silent(interval, self.now());
        for upstream in self.upstreams.values() {
            upstream.set_others(self.loads.total(upstream.tag));
        }
    }
}
