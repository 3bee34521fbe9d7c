//! The control actor: the one place where this daemon's beliefs change.

mod account_limits;
mod behind;
mod feed_changes;
mod heartbeats;
mod load_reports;
mod members;
mod news;
mod peer_changes;
mod rate_parts;
mod region_waits;
mod suspect_targets;
mod traffic_view;
mod upstream_signals;
mod waking;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{IncarnationId, UpstreamName, VmName};
use foldhaven_core::opaque::affinity::{PromptPlacement, UpstreamTag};
use foldhaven_core::opaque::cpu_demand::PeakCpuDemand;
use foldhaven_core::opaque::demand_exchange::DemandExchange;
use foldhaven_core::opaque::load_reports::LoadTable;
use foldhaven_core::opaque::peer_table::{
    LEARNING_TIME, OfferedRevision, OwnVm, PeerPhase, PeerTable, RegionTag, SenderView, VmTag,
};
use foldhaven_core::opaque::region_reports::{RegionReport, RegionReportTable};
use foldhaven_core::opaque::report_planner::ReportPlanner;
use foldhaven_core::opaque::route_table::RouteVersion;
use foldhaven_core::opaque::sender_agreement::SenderAgreement;
use foldhaven_core::opaque::view_staleness::ViewStaleness;
use foldhaven_core::time::MonoTime;
use tokio::sync::{mpsc, watch};
use xtra::{Context, Handler};

pub use self::account_limits::{HearNearDemand, HearRegionDemand, PlanDemands};
use self::behind::BehindMark;
pub use self::behind::{AheadPeer, FindAhead, NextAsking};
pub use self::heartbeats::{HearBeat, HearView, HearViewList, PlanBeats};
pub use self::load_reports::{HearLoad, HearPlacements, HearRegion, PlanReport, PlannedReport};
use self::members::LoggedMembers;
use self::news::ToldRevisions;
pub use self::news::{HearNews, ToldChanges, ToldNews};
pub use self::peer_changes::{HearChanges, HearEarly, OfferSnapshot, TakeChanges};
pub use self::rate_parts::{HearPact, PlanPact};
pub use self::suspect_targets::{PlanSuspectTargets, SuspectTargets, TellOccasion};
pub use self::upstream_signals::{HearLeavers, HearLimits, PlanSignalTargets};
use crate::demand_meter::DemandMeter;
use crate::feed::FeedTurn;
use crate::known::{PlatformKnowledge, StateOffer};
use crate::settings::GatewaySettings;
use crate::shared::GatewayShared;
use crate::upstream::Upstream;
use crate::view::PeerLink;

/// Where messages to the control actor go.
pub type KeeperAddress = xtra::Address<ControlKeeper>;

/// It has heard of those there are when no further one came for this long: heartbeats are asked for several times in
/// it.
const LEARNING_PAUSE: Duration = Duration::from_millis(750);
/// A VM that has not known for so long what others do looks whether its own call to the platform is still answered.
const OVERTAKEN_AFTER: Duration = Duration::from_millis(250);
/// After this time it takes them for all there are in any case.
const LONGEST_LEARNING: Duration = Duration::from_millis(4_000);

/// Which VMs of the region callers are sent to, as far as the log tells.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct InService {
    vms: usize,
    /// Whether this VM is one of them.
    is_own: bool,
}

/// The control state.
#[derive(xtra::Actor)]
pub struct ControlKeeper {
    shared: Arc<GatewayShared>,
    /// The settings as they were read last; those of `shared` are the ones of the start.
    settings: GatewaySettings,
    /// What is known of the platform.
    known: PlatformKnowledge,
    /// What other VMs may take over, as it was published last.
    offer: Option<Arc<StateOffer>>,
    /// Whether something has changed that traffic is still to be shown.
    is_stale: bool,
    /// The upstreams as traffic uses them.
    upstreams: HashMap<UpstreamName, Arc<Upstream>>,
    /// The same by what they are called in messages.
    by_tag: HashMap<UpstreamTag, Arc<Upstream>>,
    /// The other VMs.
    peers: PeerTable,
    /// Connections to those of them that serve.
    links: HashMap<VmName, Arc<PeerLink>>,
    /// The load reports of other VMs.
    loads: LoadTable,
    /// Whom the next ones of this VM go to.
    report_plan: ReportPlanner,
    /// The processor time that the requests of this VM take.
    meter: DemandMeter,
    /// The processor time that those of the region took in the last seconds at most.
    demand: PeakCpuDemand,
    /// Which VMs of the region that puts in service.
    in_service: InService,
    /// Which VMs of the region are known, as far as the log tells.
    members: LoggedMembers,
    /// Who shares the limits of the region, as it was looked at last.
    senders: SenderView,
    /// Whether the VMs that share the limits of the region agree on who they are.
    pact: SenderAgreement,
    /// What callers of limited accounts want, here and elsewhere.
    demands: DemandExchange,
    /// Whether an upstream of the region is cold or names a limit.
    rate_watch: watch::Sender<bool>,
    /// What delegates of other regions told.
    regions: RegionReportTable,
    /// Reports of them, of which the VMs of this region are still to be told.
    relayed_regions: Vec<RegionReport>,
    /// When the other regions were told of this one.
    region_told: Option<MonoTime>,
    /// How often they were.
    region_reports: u32,
    /// Prompts in other regions, of which the VMs of this region are still to be told.
    relayed: Vec<PromptPlacement>,
    /// How many VMs were known when it was looked last, and when one was heard of that had not been.
    known_vms: usize,
    grown: MonoTime,
    /// How many rounds of heartbeats were sent.
    beats: u32,
    /// How many rounds of load reports were made.
    reports: u32,
    /// Since when another VM has known more of the platform's changes.
    behind: Option<BehindMark>,
    /// How often other VMs were asked for what they know more.
    askings: u32,
    /// How old what is believed of the platform is.
    belief: ViewStaleness,
    /// Whether it was so old that it was logged.
    is_belief_old: bool,
    /// Of which revisions others were told without waiting for heartbeats.
    told: ToldRevisions,
    /// Up to where other VMs offer changes that do not fit a datagram.
    offered: OfferedRevision,
    /// Whether the last reading of the platform failed.
    is_disturbed: bool,
    /// Whether other VMs of the region tell of an outage of the platform.
    is_told_outage: bool,
    /// Tells the feed when to read.
    turn: watch::Sender<FeedTurn>,
    /// Takes what other VMs are to be told.
    news: mpsc::UnboundedSender<ToldNews>,
}

impl ControlKeeper {
    pub fn new(
        shared: Arc<GatewayShared>,
        incarnation: IncarnationId,
        news: mpsc::UnboundedSender<ToldNews>,
    ) -> Self {
        let settings = shared.settings.clone();
        let own = OwnVm {
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            region: settings.region().clone(),
            cores: settings.cores,
        };
        let pact = SenderAgreement::new(VmTag::of(&settings.vm), incarnation, shared.now());
        let peers = PeerTable::new(own, incarnation);
        let regions = settings.regions.values().map(RegionTag::of);
        let demands =
            DemandExchange::new(VmTag::of(&settings.vm), RegionTag::of(settings.region()), regions);
        Self {
            shared,
            settings,
            known: PlatformKnowledge::default(),
            offer: None,
            is_stale: false,
            upstreams: HashMap::new(),
            by_tag: HashMap::new(),
            peers,
            links: HashMap::new(),
            loads: LoadTable::default(),
            report_plan: ReportPlanner::default(),
            meter: DemandMeter::default(),
            demand: PeakCpuDemand::default(),
            in_service: InService::default(),
            members: LoggedMembers::default(),
            senders: SenderView::default(),
            pact,
            demands,
            rate_watch: watch::Sender::new(false),
            regions: RegionReportTable::default(),
            relayed_regions: Vec::new(),
            region_told: None,
            region_reports: 0,
            relayed: Vec::new(),
            known_vms: 0,
            grown: MonoTime::default(),
            beats: 0,
            reports: 0,
            behind: None,
            askings: 0,
            belief: ViewStaleness::default(),
            is_belief_old: false,
            told: ToldRevisions::default(),
            offered: OfferedRevision::default(),
            is_disturbed: false,
            is_told_outage: false,
            turn: watch::Sender::new(FeedTurn { reads: true, known: None, is_overtaken: false }),
            news,
        }
    }

    /// When the feed is to read, and from where.
    pub fn turns(&self) -> watch::Receiver<FeedTurn> {
        self.turn.subscribe()
    }

    /// Whether a rate that holds over the region is in use.
    pub fn rate_watch(&self) -> watch::Receiver<bool> {
        self.rate_watch.subscribe()
    }

    fn set_turn(&self) {
        let is_reader = match self.has_learnt() {
            true => self.peers.is_reader(self.is_disturbed, self.belief_age(), self.now()),
            false => self.is_seed(),
        };
        let turn = FeedTurn {
            reads: !self.known.has_state() || is_reader,
            known: self.known.has_state().then_some(self.known.revision()),
            is_overtaken: self.behind_for() >= OVERTAKEN_AFTER,
        };
        self.turn.send_if_modified(|held| std::mem::replace(held, turn) != turn);
    }

    /// Whether this process has heard of the others. One that has just started knows few, and would take itself for
    /// one of those that read the platform for its region: of 295 VMs that start together all would, with 2,100 calls in
    /// two seconds.
    fn has_learnt(&self) -> bool {
        let uptime = self.shared.uptime();
        let is_calm = self.now().since(self.grown) >= LEARNING_PAUSE;
        uptime >= LEARNING_TIME && (is_calm || uptime >= LONGEST_LEARNING)
    }

    /// Whether others ask this VM first when they start. Until the readers are known, those read.
    fn is_seed(&self) -> bool {
        let own = self.settings.addresses.peer.ip();
        self.settings.seeds.iter().any(|seed| seed.ip() == own)
    }

    /// Notes when this process has last heard of a VM that it did not know.
    fn note_growth(&mut self) {
        let known = self.peers.assumed_count();
        if known > self.known_vms {
            self.grown = self.now();
        }
        self.known_vms = known;
    }

    fn now(&self) -> MonoTime {
        self.shared.now()
    }

    fn version(&self) -> RouteVersion {
        self.known.version()
    }

    fn phase(&self) -> PeerPhase {
        match (self.shared.is_leaving(), self.known.routes()) {
            (true, _) => PeerPhase::Leaving,
            (false, None) => PeerPhase::Starting,
            (false, Some(_)) if self.shared.is_too_far_behind() => PeerPhase::Starting,
            (false, Some(_)) if !self.shared.is_prepared() => PeerPhase::Starting,
            (false, Some(_)) => PeerPhase::Serving,
        }
    }

    /// The other VMs of this region.
    fn near_peers(&self) -> Vec<SocketAddr> {
        self.peers.near(self.now()).map(|beat| beat.peer).collect()
    }

    /// How many VMs limits are divided by; nothing while this process is learning who there is.
    fn assumed_vms(&self) -> Option<usize> {
        let assumed = || usize::from(self.peers.assumed_counts(self.now()).all);
        (self.shared.uptime() >= LEARNING_TIME).then(assumed)
    }
}

/// Looks the state over: what has lapsed, who has been silent.
pub struct TickKeeper;

impl Handler<TickKeeper> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, _: TickKeeper, _: &mut Context<Self>) {
        self.note_standstill();
        let now = self.now();
        self.peers.forget(now);
        self.regions.remove_stale(now);
        let peers = &self.peers;
        self.pact.retain(|vm| peers.address_of(vm).is_some());
        self.shared.suspects.forget(&self.shared.change_context());
        self.forget_signals();
        self.note_growth();
        self.note_told_outage();
        self.note_progress();
        self.note_belief_age();
        self.note_awake();
        if self.known.table.expire(now) {
            tracing::info!("upstreams dropped that were not listed again");
        }
        self.publish();
    }
}

/// The settings have changed.
pub struct ReplaceSettings {
    pub settings: GatewaySettings,
}

impl Handler<ReplaceSettings> for ControlKeeper {
    type Return = ();

    async fn handle(&mut self, change: ReplaceSettings, _: &mut Context<Self>) {
        self.settings = change.settings;
        self.publish();
    }
}
