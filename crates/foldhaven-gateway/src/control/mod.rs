//! The control actor, which owns all of this daemon's control state.

mod account_limits;
mod announcements;
mod catch_up;
mod feed_changes;
mod heartbeats;
mod load_reports;
mod members;
mod path_notices;
mod peer_changes;
mod rate_shares;
mod region_waits;
mod software;
mod speed_reports;
mod suspension;
mod traffic_view;
mod update_targets;
mod upstream_signals;
mod upstreams;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{IncarnationId, RegionName, ServiceName, VmName};
use foldhaven_core::opaque::affinity::{PromptPlacement, UpstreamTag};
use foldhaven_core::opaque::cpu_demand::PeakCpuDemand;
use foldhaven_core::opaque::demand_exchange::DemandExchange;
use foldhaven_core::opaque::load_reports::LoadTable;
use foldhaven_core::opaque::peer_table::{
    ForwardTargets, LEARNING_TIME, OfferedRevision, OwnVm, PeerPhase, PeerTable, RegionTag,
    SenderView, VmTag,
};
use foldhaven_core::opaque::region_reports::{RegionReport, RegionReportTable};
use foldhaven_core::opaque::report_planner::ReportPlanner;
use foldhaven_core::opaque::room_reports::LevelRoomReport;
use foldhaven_core::opaque::route_table::{RouteTable, RouteVersion};
use foldhaven_core::opaque::sender_agreement::SenderAgreement;
use foldhaven_core::opaque::slot_share::SlotHolders;
use foldhaven_core::opaque::speed_reports::SpeedTable;
use foldhaven_core::opaque::view_staleness::ViewStaleness;
use foldhaven_core::time::MonoTime;
use tokio::sync::{mpsc, watch};
use xtra::{Context, Handler};

pub use self::account_limits::{PlanDemandReports, ReceiveLocalDemand, ReceiveRegionDemand};
use self::announcements::AnnouncedRevisions;
pub use self::announcements::{OutgoingChanges, OutgoingUpdate, ReceiveRevisionNotice};
use self::catch_up::LagState;
pub use self::catch_up::{CatchUpStep, FindNewerPeer, NewerPeer};
pub use self::heartbeats::{PlanHeartbeats, ReceiveHeartbeat, ReceiveView, ReceiveViewList};
pub use self::load_reports::{
    PlanLoadReport, PlannedLoadReport, ReceiveLevelReport, ReceiveLoadReport, ReceivePlacements,
    ReceiveRegionReport, ReceiveRoomReport,
};
use self::members::LoggedMembers;
pub use self::path_notices::ReceivePathNotices;
pub use self::peer_changes::{ApplyChanges, ApplySnapshot, ReceiveChanges, ReceiveEarlyChanges};
pub use self::rate_shares::{PlanAgreementRound, ReceiveAgreement};
pub use self::software::ReceiveSoftwareHistory;
pub use self::speed_reports::{PlanSpeedReport, ReceiveSpeedReport};
pub use self::update_targets::{PlanUpdateTargets, SendReason, UpdateTargets};
pub use self::upstream_signals::{
    PlanSignalTargets, ReceiveBrittleNotices, ReceiveLeavingNotices, ReceiveUpstreamRateLimits,
};
use self::upstreams::DescribedServices;
use crate::demand_meter::DemandMeter;
use crate::feed::ReadAssignment;
use crate::platform_state::{PlatformState, StateOffer};
use crate::settings::GatewaySettings;
use crate::shared::GatewayShared;
use crate::upstream::Upstream;
use crate::upstream_set::UpstreamSet;
use crate::view::{MemberView, PeerLink, RegionTraffic};

/// The address to which messages for the control actor are sent.
pub type ControlAddress = xtra::Address<ControlActor>;

/// The peer table counts as complete when no new VM was discovered for this long. Heartbeats are
/// requested several times within it.
const LEARNING_QUIET_TIME: Duration = Duration::from_millis(750);
/// How long other VMs must have known a newer revision before the feed checks whether its pending
/// platform call is still answered.
const SUPERSEDED_AFTER: Duration = Duration::from_millis(250);
/// After this uptime the peer table counts as complete in any case.
const MAX_LEARNING_TIME: Duration = Duration::from_millis(4_000);

/// The VMs of the region that get callers.
#[derive(Debug, Clone, Default)]
struct InService {
    vms: Vec<VmTag>,
    /// Whether this VM is one of them.
    is_own: bool,
}

/// The actor that holds the control state.
#[derive(xtra::Actor)]
pub struct ControlActor {
    shared: Arc<GatewayShared>,
    /// The current settings. `shared.settings` are those read at startup.
    settings: GatewaySettings,
    /// The state of the platform: routes, upstreams and evacuations.
    platform: PlatformState,
    /// The platform state that other VMs can fetch, as last published.
    offer: Option<Arc<StateOffer>>,
    /// Whether there are changes that are not yet in the published view.
    needs_publish: bool,
    /// Whether these include changes of the other VMs.
    has_member_change: bool,
    /// What the published view shows of the other VMs.
    members_view: Arc<MemberView>,
    /// The phase of this VM that it shows.
    published_phase: Option<PeerPhase>,
    /// The upstreams that may get requests.
    upstreams: UpstreamSet,
    /// The description that decided which upstreams these are, and its services.
    used_routes: Option<Arc<RouteTable>>,
    described_services: DescribedServices,
    /// The upstreams of this region that were cold when they were listed.
    cold_upstreams: HashMap<UpstreamTag, Arc<Upstream>>,
    /// How many idle connections this VM may keep to each upstream of a service.
    idle_limits: HashMap<ServiceName, usize>,
    /// The other VMs.
    peers: PeerTable,
    /// Connections to the other VMs that serve requests.
    links: HashMap<VmName, Arc<PeerLink>>,
    /// What this VM has sent to each region.
    region_traffic: HashMap<RegionName, Arc<RegionTraffic>>,
    /// The load reports of other VMs.
    loads: LoadTable,
    /// The speeds of upstreams that other VMs of the region have measured.
    speeds: SpeedTable,
    /// The number of speed reports sent.
    speed_report_rounds: u32,
    /// The VMs of the region that share the slots of its brittle upstreams.
    slot_holders: SlotHolders,
    /// Chooses the targets of this VM's load reports.
    report_plan: ReportPlanner,
    /// Estimates the processor time used by this VM's requests.
    meter: DemandMeter,
    /// The peak processor time that the region's requests used in the last few seconds.
    demand: PeakCpuDemand,
    /// The VMs of the region that are needed for this demand and so get callers, as last logged.
    in_service: InService,
    /// The VMs of the region that are known, as last logged.
    members: LoggedMembers,
    /// The VMs that share the region's rate limits, as of the last check.
    senders: SenderView,
    /// Tracks whether the VMs that share the region's rate limits agree on the list of senders.
    agreement: SenderAgreement,
    /// The demand of callers with account limits, here and on other VMs.
    account_demands: DemandExchange,
    /// Whether an upstream of the region is cold or has announced a rate limit.
    rate_watch: watch::Sender<bool>,
    /// The reports received from delegates of other regions.
    regions: RegionReportTable,
    /// Received reports of other regions that are still to be relayed to the VMs of this region.
    relayed_regions: Vec<RegionReport>,
    /// Rooms of other regions that are to be relayed to the VMs of this region.
    relayed_rooms: Vec<LevelRoomReport>,
    /// When this region was last reported to other regions. `None` if never.
    last_region_report: Option<MonoTime>,
    /// The number of those reports.
    region_report_count: u32,
    /// Prompt placements received from other regions that are still to be relayed to the VMs of
    /// this region.
    relayed_placements: Vec<PromptPlacement>,
    /// The number of known VMs at the last check, and the time at which it last grew.
    known_vms: usize,
    last_growth: MonoTime,
    /// The number of heartbeat rounds sent.
    heartbeat_rounds: u32,
    /// The number of load report rounds planned.
    load_report_rounds: u32,
    /// Set while another VM knows a newer revision of the platform than this one.
    lag: Option<LagState>,
    /// The number of requests for newer platform state sent to other VMs.
    catch_up_attempts: u32,
    /// How long ago the platform state was last confirmed as current.
    staleness: ViewStaleness,
    /// Whether the state is stale and this was logged.
    is_staleness_logged: bool,
    /// The revisions announced to other VMs outside of heartbeats.
    announced: AnnouncedRevisions,
    /// The revision up to which other VMs offer changes that do not fit into a datagram.
    offered: OfferedRevision,
    /// Whether the last attempt to read the platform failed.
    is_platform_unreachable: bool,
    /// Whether other VMs of the region report a platform outage.
    is_outage_reported: bool,
    /// Whether this VM is one of those that read the platform for their region.
    is_reader: bool,
    /// The VMs to which it forwards platform changes.
    forwarding: ForwardTargets,
    /// Tells the feed whether to read the platform, and from which revision.
    assignment: watch::Sender<ReadAssignment>,
    /// Queues updates for sending to other VMs.
    outgoing: mpsc::UnboundedSender<OutgoingUpdate>,
}

impl ControlActor {
    pub fn new(
        shared: Arc<GatewayShared>,
        incarnation: IncarnationId,
        outgoing: mpsc::UnboundedSender<OutgoingUpdate>,
    ) -> Self {
        let settings = shared.settings.clone();
        let own = OwnVm {
            vm: settings.vm.clone(),
            data_centre: settings.data_centre.clone(),
            region: settings.region().clone(),
            cores: settings.cores,
        };
        let agreement = SenderAgreement::new(VmTag::of(&settings.vm), incarnation, shared.now());
        let peers = PeerTable::new(own, incarnation);
        let regions = settings.regions.values().map(RegionTag::of);
        let account_demands =
            DemandExchange::new(VmTag::of(&settings.vm), RegionTag::of(settings.region()), regions);
        Self {
            shared,
            settings,
            platform: PlatformState::default(),
            offer: None,
            needs_publish: false,
            has_member_change: true,
            members_view: Arc::default(),
            published_phase: None,
            upstreams: UpstreamSet::default(),
            used_routes: None,
            described_services: DescribedServices::default(),
            cold_upstreams: HashMap::new(),
            idle_limits: HashMap::new(),
            peers,
            links: HashMap::new(),
            region_traffic: HashMap::new(),
            loads: LoadTable::default(),
            speeds: SpeedTable::default(),
            speed_report_rounds: 0,
            slot_holders: SlotHolders::default(),
            report_plan: ReportPlanner::default(),
            meter: DemandMeter::default(),
            demand: PeakCpuDemand::default(),
            in_service: InService::default(),
            members: LoggedMembers::default(),
            senders: SenderView::default(),
            agreement,
            account_demands,
            rate_watch: watch::Sender::new(false),
            regions: RegionReportTable::default(),
            relayed_regions: Vec::new(),
            relayed_rooms: Vec::new(),
            last_region_report: None,
            region_report_count: 0,
            relayed_placements: Vec::new(),
            known_vms: 0,
            last_growth: MonoTime::default(),
            heartbeat_rounds: 0,
            load_report_rounds: 0,
            lag: None,
            catch_up_attempts: 0,
            staleness: ViewStaleness::default(),
            is_staleness_logged: false,
            announced: AnnouncedRevisions::default(),
            offered: OfferedRevision::default(),
            is_platform_unreachable: false,
            is_outage_reported: false,
            is_reader: false,
            forwarding: ForwardTargets::default(),
            assignment: watch::Sender::new(ReadAssignment {
                is_reader: true,
                known_revision: None,
                is_superseded: false,
            }),
            outgoing,
        }
    }

    /// Returns the receiver that tells the feed whether to read the platform, and from which
    /// revision.
    pub fn read_assignments(&self) -> watch::Receiver<ReadAssignment> {
        self.assignment.subscribe()
    }

    /// Returns a receiver that holds whether an upstream of the region has a rate that its VMs have
    /// to share.
    pub fn rate_watch(&self) -> watch::Receiver<bool> {
        self.rate_watch.subscribe()
    }

    /// Decides whether this VM reads the platform. Ranks the VMs of the region.
    fn update_reader_role(&mut self) {
        let is_reader = match self.has_learnt_peers() {
            true => {
                self.peers.is_reader(self.is_platform_unreachable, self.staleness(), self.now())
            }
            false => self.is_seed(),
        };
        if std::mem::replace(&mut self.is_reader, is_reader) != is_reader {
            let (known, age_ms) = (self.peers.region_vm_count(), self.staleness().as_millis());
            tracing::info!(is_reader, known, age_ms, "role of reading the platform changed");
        }
        self.forwarding = self.peers.forward_targets(self.is_platform_unreachable, self.now());
        self.update_read_assignment();
    }

    /// Tells the feed what it has to read.
    fn update_read_assignment(&self) {
        let assignment = ReadAssignment {
            is_reader: !self.platform.has_state() || self.is_reader,
            known_revision: self.platform.has_state().then_some(self.platform.revision()),
            is_superseded: self.lag_time() >= SUPERSEDED_AFTER,
        };
        self.assignment.send_if_modified(|held| std::mem::replace(held, assignment) != assignment);
    }

    /// Returns whether this process knows its peers. A process that has just started knows few VMs
    /// and would appoint itself as one of the readers of its region: with 295 VMs that start
    /// together, all of them would, and make 2,100 calls in two seconds.
    fn has_learnt_peers(&self) -> bool {
        let uptime = self.shared.uptime();
        let is_calm = self.now().since(self.last_growth) >= LEARNING_QUIET_TIME;
        uptime >= LEARNING_TIME && (is_calm || uptime >= MAX_LEARNING_TIME)
    }

    /// Returns whether this VM is a seed, which other VMs contact first when they start. The seeds
    /// read the platform until the readers are known.
    fn is_seed(&self) -> bool {
        let own = self.settings.addresses.peer.ip();
        self.settings.seeds.iter().any(|seed| seed.ip() == own)
    }

    /// Records the time when the number of known VMs grows.
    fn record_growth(&mut self) {
        let known = self.peers.vm_count();
        if known > self.known_vms {
            self.last_growth = self.now();
        }
        self.known_vms = known;
    }

    fn now(&self) -> MonoTime {
        self.shared.now()
    }

    fn version(&self) -> RouteVersion {
        self.platform.version()
    }

    fn phase(&self) -> PeerPhase {
        match (self.shared.is_leaving(), self.platform.routes()) {
            (true, _) => PeerPhase::Leaving,
            (false, None) => PeerPhase::Starting,
            (false, Some(_)) if self.shared.is_too_far_behind() => PeerPhase::Starting,
            (false, Some(_)) if !self.shared.is_ready() => PeerPhase::Starting,
            (false, Some(_)) => PeerPhase::Serving,
        }
    }

    /// Returns the addresses of the other VMs of this region.
    fn local_peers(&self) -> Vec<SocketAddr> {
        self.peers.live_local(self.now()).map(|heartbeat| heartbeat.peer).collect()
    }

    /// Returns the number of VMs by which limits are divided. `None` while this process is still
    /// learning its peers.
    fn assumed_vms(&self) -> Option<usize> {
        let assumed = || usize::from(self.peers.assumed_counts(self.now()).all);
        (self.shared.uptime() >= LEARNING_TIME).then(assumed)
    }
}

/// Runs the periodic checks of the control state, such as expiry and staleness.
pub struct TickControl;

impl Handler<TickControl> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: TickControl, _: &mut Context<Self>) {
        self.check_suspension();
        let now = self.now();
        self.peers.remove_expired(now);
        self.regions.remove_stale(now);
        let peers = &self.peers;
        self.agreement.retain(|vm| peers.address_of(vm).is_some());
        self.shared.suspects.remove_expired(&self.shared.change_context());
        self.forget_signals();
        self.forget_speeds();
        self.shared.paths.remove_expired(&self.shared);
        self.record_growth();
        self.check_reported_outage();
        self.check_caught_up();
        self.report_staleness();
        self.check_resumed();
        if self.platform.table.expire(now) {
            tracing::info!("dropped upstreams that were not listed again");
        }
        self.publish_members();
    }
}

/// Replaces the settings after they were reloaded.
pub struct ReplaceSettings {
    pub settings: GatewaySettings,
}

impl Handler<ReplaceSettings> for ControlActor {
    type Return = ();

    async fn handle(&mut self, change: ReplaceSettings, _: &mut Context<Self>) {
        self.settings = change.settings;
        self.platform.table.mark_all_changed();
        self.publish_members();
    }
}
