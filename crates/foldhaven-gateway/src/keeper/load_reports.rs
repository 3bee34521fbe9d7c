//! Takes in load reports and prompt placements of other VMs, and plans those of this one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use foldhaven_core::ids::RegionName;
use foldhaven_core::opaque::affinity::PromptPlacement;
use foldhaven_core::opaque::load_share::{LoadReport, share_interval};
use foldhaven_core::opaque::peer_table::VmTag;
use xtra::{Context, Handler};

use super::ControlKeeper;

/// A load report of another VM of the region arrived.
pub struct HearLoad {
    pub report: LoadReport,
}

impl Handler<HearLoad> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: HearLoad, _: &mut Context<Self>) {
        let mut report = message.report;
        let placements = std::mem::take(&mut report.placements);
        let now = self.now();
        let (vm, incarnation) = (report.vm, report.incarnation);
        if !self.loads.hear(report, now) {
            return;
        }
        self.peers.note_report(vm, incarnation, now);
        self.note_placements(&placements);
    }
}

/// A VM of another region told of prompts that were sent there.
pub struct HearPlacements {
    pub placements: Vec<PromptPlacement>,
}

impl Handler<HearPlacements> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, message: HearPlacements, _: &mut Context<Self>) {
        self.note_placements(&message.placements);
        self.relayed.extend(message.placements);
    }
}

/// Asks for the load report of a round.
pub struct PlanReport;

/// A load report, whom to send it to, and when the next one is due.
pub struct PlannedReport {
    pub targets: Vec<SocketAddr>,
    pub report: LoadReport,
    /// A VM of each other region, which tells the rest there of these prompts.
    pub far_targets: Vec<SocketAddr>,
    pub far_placements: Vec<PromptPlacement>,
    pub interval: Duration,
}

impl Handler<PlanReport> for ControlKeeper {
    type Return = PlannedReport;

    async fn handle(&mut self, _: PlanReport, _: &mut Context<Self>) -> PlannedReport {
        self.reports += 1;
        self.take_totals();
        let targets = self.near_peers();
        let far_placements = std::mem::take(&mut *self.shared.placements.lock());
        let mut placements = std::mem::take(&mut self.relayed);
        placements.extend(far_placements.iter().cloned());
        let report = self.own_report(placements);
        let interval = share_interval(targets.len());
        PlannedReport { targets, report, far_targets: self.far_targets(), far_placements, interval }
    }
}

impl ControlKeeper {
    /// The requests that this VM has at each upstream, with prompts that others are to hear of.
    fn own_report(&self, placements: Vec<PromptPlacement>) -> LoadReport {
        let own = self.upstreams.values().map(|upstream| (upstream.tag, upstream.load.share()));
        LoadReport {
            vm: VmTag::of(&self.shared.settings.vm),
            incarnation: self.peers.incarnation(),
            sequence: self.reports,
            shares: own.filter(|(_, share)| share.in_flight > 0).collect(),
            placements,
        }
    }

    fn note_placements(&self, placements: &[PromptPlacement]) {
        let mut hints = self.shared.hints.lock();
        for placement in placements {
            hints.note(placement);
        }
    }

    /// Hands the requests that other VMs reported to the upstreams that they are at.
    fn take_totals(&mut self) {
        let interval = share_interval(self.near_peers().len());
        let totals = self.loads.totals(interval, self.now());
        for upstream in self.upstreams.values() {
            upstream.set_others(totals.get(&upstream.tag).copied().unwrap_or_default());
        }
    }

    /// One live VM of each other region, another one each time.
    fn far_targets(&self) -> Vec<SocketAddr> {
        let own_region = self.shared.settings.region();
        let mut regions: BTreeMap<&RegionName, Vec<SocketAddr>> = BTreeMap::new();
        for beat in self.peers.live(self.now()).filter(|beat| beat.region != *own_region) {
            regions.entry(&beat.region).or_default().push(beat.peer);
        }
        let turn = self.reports as usize;
        regions.into_values().map(|peers| peers[turn % peers.len()]).collect()
    }
}
