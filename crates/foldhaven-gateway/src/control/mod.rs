//! The control actor: the one place where this daemon's beliefs change.

mod account_limits;
mod announcements;
mod catch_up;
mod feed_changes;
mod heartbeats;
mod load_reports;
mod members;
mod peer_changes;
mod rate_shares;
mod region_waits;
mod suspect_targets;
mod suspension;
mod traffic_view;
mod upstream_signals;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhaven_core::ids::{IncarnationId, UpstreamName, VmName};
use foldhaven_core::opaque::affinity::{PromptPlacement, UpstreamTag};
use foldhaven_core::opaque::belief_age::BeliefAge;
use foldhaven_core::opaque::demand::DemandPeak;
use foldhaven_core::opaque::demand_share::DemandShare;
use foldhaven_core::opaque::load_share::LoadBook;
use foldhaven_core::opaque::peer_table::{
    LEARNING_TIME, OfferedRevision, OwnVm, PeerPhase, PeerTable, RegionTag, SenderView, VmTag,
};
use foldhaven_core::opaque::region_book::{RegionBook, RegionReport};
use foldhaven_core::opaque::report_plan::ReportPlan;
use foldhaven_core::opaque::route_table::RouteVersion;
use foldhaven_core::opaque::sender_pact::SenderPact;
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
    PlanLoadReport, PlannedLoadReport, ReceiveLoadReport, ReceivePlacements, ReceiveRegionReport,
};
use self::members::LoggedMembers;
pub use self::peer_changes::{ApplyChanges, ApplySnapshot, ReceiveChanges, ReceiveEarlyChanges};
pub use self::rate_shares::{PlanAgreementRound, ReceiveAgreement};
pub use self::suspect_targets::{PlanSuspectTargets, SendReason, SuspectTargets};
pub use self::upstream_signals::{PlanSignalTargets, ReceiveLeavingNotices, ReceiveLimits};
use crate::demand_meter::DemandMeter;
use crate::feed::ReadAssignment;
use crate::platform_state::{PlatformState, StateOffer};
use crate::settings::GatewaySettings;
use crate::shared::GatewayShared;
use crate::upstream::Upstream;
use crate::view::PeerLink;

/// Where messages to the control actor go.
pub type ControlAddress = xtra::Address<ControlActor>;

/// It has heard of those there are when no further one came for this long: heartbeats are asked for several times in
/// it.
const LEARNING_QUIET_TIME: Duration = Duration::from_millis(750);
/// A VM that has not known for so long what others do looks whether its own call to the platform is still answered.
const SUPERSEDED_AFTER: Duration = Duration::from_millis(250);
/// After this time it takes them for all there are in any case.
const MAX_LEARNING_TIME: Duration = Duration::from_millis(4_000);

/// Which VMs of the region callers are sent to, as far as the log tells.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct InService {
    vms: usize,
    /// Whether this VM is one of them.
    is_own: bool,
}

/// The control state.
#[derive(xtra::Actor)]
pub struct ControlActor {
    shared: Arc<GatewayShared>,
    /// The settings as they were read last; those of `shared` are the ones of the start.
    settings: GatewaySettings,
    /// What is known of the platform.
    platform: PlatformState,
    /// What other VMs may take over, as it was published last.
    offer: Option<Arc<StateOffer>>,
    /// Whether something has changed that traffic is still to be shown.
    needs_publish: bool,
    /// The upstreams as traffic uses them.
    upstreams: HashMap<UpstreamName, Arc<Upstream>>,
    /// The same by what they are called in messages.
    by_tag: HashMap<UpstreamTag, Arc<Upstream>>,
    /// The other VMs.
    peers: PeerTable,
    /// Connections to those of them that serve.
    links: HashMap<VmName, Arc<PeerLink>>,
    /// The load reports of other VMs.
    loads: LoadBook,
    /// Whom the next ones of this VM go to.
    report_plan: ReportPlan,
    /// The processor time that the requests of this VM take.
    meter: DemandMeter,
    /// The processor time that those of the region took in the last seconds at most.
    demand: DemandPeak,
    /// Which VMs of the region that puts in service.
    in_service: InService,
    /// Which VMs of the region are known, as far as the log tells.
    members: LoggedMembers,
    /// Who shares the limits of the region, as it was looked at last.
    senders: SenderView,
    /// Whether the VMs that share the limits of the region agree on who they are.
    agreement: SenderPact,
    /// What callers of limited accounts want, here and elsewhere.
    account_demands: DemandShare,
    /// Whether an upstream of the region is cold or names a limit.
    rate_watch: watch::Sender<bool>,
    /// What delegates of other regions told.
    regions: RegionBook,
    /// Reports of them, of which the VMs of this region are still to be told.
    relayed_regions: Vec<RegionReport>,
    /// When the other regions were told of this one.
    last_region_report: Option<MonoTime>,
    /// How often they were.
    region_report_count: u32,
    /// Prompts in other regions, of which the VMs of this region are still to be told.
    relayed_placements: Vec<PromptPlacement>,
    /// How many VMs were known when it was looked last, and when one was heard of that had not been.
    known_vms: usize,
    last_growth: MonoTime,
    /// How many rounds of heartbeats were sent.
    heartbeat_rounds: u32,
    /// How many rounds of load reports were made.
    load_report_rounds: u32,
    /// Since when another VM has known more of the platform's changes.
    lag: Option<LagState>,
    /// How often other VMs were asked for what they know more.
    catch_up_attempts: u32,
    /// How old what is believed of the platform is.
    staleness: BeliefAge,
    /// Whether it was so old that it was logged.
    is_staleness_logged: bool,
    /// Of which revisions others were told without waiting for heartbeats.
    announced: AnnouncedRevisions,
    /// Up to where other VMs offer changes that do not fit a datagram.
    offered: OfferedRevision,
    /// Whether the last reading of the platform failed.
    is_platform_unreachable: bool,
    /// Whether other VMs of the region tell of an outage of the platform.
    is_outage_reported: bool,
    /// Tells the feed when to read.
    assignment: watch::Sender<ReadAssignment>,
    /// Takes what other VMs are to be told.
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
        let agreement = SenderPact::new(VmTag::of(&settings.vm), incarnation, shared.now());
        let peers = PeerTable::new(own, incarnation);
        let regions = settings.regions.values().map(RegionTag::of);
        let account_demands =
            DemandShare::new(VmTag::of(&settings.vm), RegionTag::of(settings.region()), regions);
        Self {
            shared,
            settings,
            platform: PlatformState::default(),
            offer: None,
            needs_publish: false,
            upstreams: HashMap::new(),
            by_tag: HashMap::new(),
            peers,
            links: HashMap::new(),
            loads: LoadBook::default(),
            report_plan: ReportPlan::default(),
            meter: DemandMeter::default(),
            demand: DemandPeak::default(),
            in_service: InService::default(),
            members: LoggedMembers::default(),
            senders: SenderView::default(),
            agreement,
            account_demands,
            rate_watch: watch::Sender::new(false),
            regions: RegionBook::default(),
            relayed_regions: Vec::new(),
            last_region_report: None,
            region_report_count: 0,
            relayed_placements: Vec::new(),
            known_vms: 0,
            last_growth: MonoTime::default(),
            heartbeat_rounds: 0,
            load_report_rounds: 0,
            lag: None,
            catch_up_attempts: 0,
            staleness: BeliefAge::default(),
            is_staleness_logged: false,
            announced: AnnouncedRevisions::default(),
            offered: OfferedRevision::default(),
            is_platform_unreachable: false,
            is_outage_reported: false,
            assignment: watch::Sender::new(ReadAssignment {
                is_reader: true,
                known_revision: None,
                is_superseded: false,
            }),
            outgoing,
        }
    }

    /// When the feed is to read, and from where.
    pub fn read_assignments(&self) -> watch::Receiver<ReadAssignment> {
        self.assignment.subscribe()
    }

    /// Whether a rate that holds over the region is in use.
    pub fn rate_watch(&self) -> watch::Receiver<bool> {
        self.rate_watch.subscribe()
    }

    fn update_read_assignment(&self) {
        let is_reader = match self.has_learnt_peers() {
            true => {
                self.peers.is_reader(self.is_platform_unreachable, self.staleness(), self.now())
            }
            false => self.is_seed(),
        };
        let assignment = ReadAssignment {
            is_reader: !self.platform.has_state() || is_reader,
            known_revision: self.platform.has_state().then_some(self.platform.revision()),
            is_superseded: self.lag_time() >= SUPERSEDED_AFTER,
        };
        self.assignment.send_if_modified(|held| std::mem::replace(held, assignment) != assignment);
    }

    /// Whether this process has heard of the others. One that has just started knows few, and would take itself for
    /// one of those that read the platform for its region: of 295 VMs that start together all would, with 2,100 calls in
    /// two seconds.
    fn has_learnt_peers(&self) -> bool {
        let uptime = self.shared.uptime();
        let is_calm = self.now().since(self.last_growth) >= LEARNING_QUIET_TIME;
        uptime >= LEARNING_TIME && (is_calm || uptime >= MAX_LEARNING_TIME)
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
            (false, Some(_)) if !self.shared.is_prepared() => PeerPhase::Starting,
            (false, Some(_)) => PeerPhase::Serving,
        }
    }

    /// The other VMs of this region.
    fn local_peers(&self) -> Vec<SocketAddr> {
        self.peers.near(self.now()).map(|beat| beat.peer).collect()
    }

    /// How many VMs limits are divided by; nothing while this process is learning who there is.
    fn assumed_vms(&self) -> Option<usize> {
        let assumed = || usize::from(self.peers.assumed_counts(self.now()).all);
        (self.shared.uptime() >= LEARNING_TIME).then(assumed)
    }
}

/// Looks the state over: what has lapsed, who has been silent.
pub struct TickControl;

impl Handler<TickControl> for ControlActor {
    type Return = ();

    async fn handle(&mut self, _: TickControl, _: &mut Context<Self>) {
        self.check_suspension();
        let now = self.now();
        self.peers.forget(now);
        self.regions.forget(now);
        let peers = &self.peers;
        self.agreement.keep_only(|vm| peers.address_of(vm).is_some());
        self.shared.suspects.forget(&self.shared.change_context());
        self.forget_signals();
        self.note_growth();
        self.check_reported_outage();
        self.check_caught_up();
        self.report_staleness();
        self.check_resumed();
        if self.platform.table.expire(now) {
            tracing::info!("upstreams dropped that were not listed again");
        }
        self.publish();
    }
}

/// The settings have changed.
pub struct ReplaceSettings {
    pub settings: GatewaySettings,
}

impl Handler<ReplaceSettings> for ControlActor {
    type Return = ();

    async fn handle(&mut self, change: ReplaceSettings, _: &mut Context<Self>) {
        self.settings = change.settings;
        self.publish();
    }
}
